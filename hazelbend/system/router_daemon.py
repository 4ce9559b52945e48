"""The router process: watches, placement, forwarder, listeners, wired together."""

from __future__ import annotations

import asyncio
import secrets
import zlib

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.load_table import LoadNews, LoadView, RouterLoad
from hazelbend.control.workers import EXPIRY_HEARTBEATS, WorkerRecord
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import decode_route_table
from hazelbend.system.clock import clock
from hazelbend.system.control_subscriptions import ControlSubscriptions
from hazelbend.system.settings import Settings, split_address
from hazelbend.transport.http.asgi_server import AsgiServer, HttpRequest, HttpResponse
from hazelbend.transport.http.request_listener import RequestListener
from hazelbend.transport.http.worker_client import HttpWorkerClient

log = picologging.getLogger("hazelbend.router")

RESERVED_DESCRIPTORS = 64
PLATFORM_NOTICES = 2.6  # seconds until the platform sends no new connections to one that is not ready
LAST_WORD = 0.8  # seconds of the grace that are kept for closing
SMALL_BODY = 64 * 1024
LOAD_DELAY = 0.015  # seconds in which changes of the own load are told together
CLOSE_LOOK = 0.02


class RouterDaemon:
    """Everything that runs in a router process. Implements `UpdateHandler`."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        seed = secrets.randbits(63)
        self._placement = PlacementEngine(settings.zone, seed)
        self._state = FleetState(self._placement)
        half = (settings.max_file_descriptors - RESERVED_DESCRIPTORS) // 2
        self._client: HttpWorkerClient
        self._forwarder: Forwarder
        self._listener: RequestListener
        self._connections = half
        self._readiness = AsgiServer(self._ready, SMALL_BODY)
        self._subscriptions = ControlSubscriptions(
            settings.node_name, settings.seed_peer_addresses, self, seed
        )
        self._seed = seed
        self._confirmed_at = 0  # when the configuration was surely the newest, by this process's clock
        self._state.has_current_config = lambda: clock() - self._confirmed_at < self._settings.config_apply_us
        self._load_timer: asyncio.TimerHandle | None = None
        self._others = LoadView()
        self._load_seq = clock()  # rises over restarts too
        self._placement.on_load_changed = self._load_changed
        self._placement.on_suspicion_changed = _log_suspicion

    # --- its life ---

    async def start(self) -> None:
        """Serve; ready once a configuration is known."""
        self._client = HttpWorkerClient(self._connections)
        self._forwarder = Forwarder(self._state, self._client, clock, self._new_budget, self._seed)
        self._listener = RequestListener(self._forwarder.serve, clock, self._connections)
        self._subscriptions.start()
        await self._listener.listen(*split_address(self._settings.http_address))
        await self._readiness.listen(*split_address(self._settings.readiness_address))
        log.info("router: %s serves at %s", self._settings.node_name, self._settings.http_address)

    async def close(self) -> None:
        """Not ready from now on; every request that was read is answered; then the end."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._settings.grace_us / 1e6 - LAST_WORD
        noticed = loop.time() + PLATFORM_NOTICES
        self._listener.empty(noticed, noticed)
        await asyncio.sleep(PLATFORM_NOTICES)
        self._listener.stop_accepting()
        while self._forwarder.in_flight and loop.time() < end:
            await asyncio.sleep(CLOSE_LOOK)
        await self._listener.close()
        await self._subscriptions.close()
        await self._readiness.close()
        await self._forwarder.close()
        await self._client.close()

    def reload(self, settings: Settings) -> None:
        """The settings file has changed: the seeds may be others."""
        self._settings = settings
        self._subscriptions.seeds = settings.seed_peer_addresses

    def _new_budget(self) -> RetryBudget:
        settings = self._settings
        return RetryBudget(settings.retry_ratio, settings.retry_slack, settings.retry_window_us)

    async def _ready(self, call: HttpRequest) -> HttpResponse:
        if call.path == "/metrics":
            from hazelbend.system import metrics  # it takes time that a start does not have

            return HttpResponse(200, metrics.render(self._placement.statistics), metrics.CONTENT_TYPE)
        if call.path != "/readyz":
            return HttpResponse(404, b"no such call\n")
        if self._state.route_table is None or not self._listener.takes_clients:
            return HttpResponse(503, b"not ready\n")
        return HttpResponse(200, b"ready\n")

    # --- news of the fleet ---

    def config_version(self) -> int:
        """See `UpdateHandler`."""
        return self._state.route_table.configuration.version if self._state.route_table is not None else 0

    def apply_config(self, update: m.ConfigNews) -> None:
        """See `UpdateHandler`."""
        if update.version <= self.config_version():
            return
        try:
            table = decode_route_table(zlib.decompress(update.body))
        except (msgspec.DecodeError, zlib.error) as error:
            log.error("router: configuration %d can't be read: %s", update.version, error)
            return
        if self._state.apply_configuration(table):
            limits = table.configuration.limits
            self._listener.largest_body = limits.max_body_bytes
            self._listener.largest_head = limits.max_header_bytes
            self._listener.request_wait = limits.header_timeout_ms / 1_000
            log.info("router: configuration %d is in force", update.version)

    def apply_workers(self, update: m.WorkerNews) -> None:
        """See `UpdateHandler`."""
        for record in update.records:
            self._placement.merge(record)

    def apply_fleet_status(self, update: m.FleetNews) -> None:
        """See `UpdateHandler`."""
        self._subscriptions.set_alive(update.controls)
        self._state.max_routers = max(self._state.max_routers, update.routers)
        self._placement.set_switching(set(update.switching))
        self._placement.update_silence(update.silent, EXPIRY_HEARTBEATS * self._settings.heartbeat_us)
        self._load_changed()  # told again now and then, as words may be lost

    def config_confirmed(self, version: int, at_s: float) -> None:
        """See `UpdateHandler`."""
        if self.config_version() >= version:
            self._confirmed_at = max(self._confirmed_at, round(at_s * 1e6))

    def apply_loads(self, update: LoadNews) -> None:
        """See `UpdateHandler`."""
        self._others.take(update)
        self._placement.apply_load_report(self._others.loads, update.cached, clock())
        self._placement.apply_peer_outcomes(update.outcomes, clock())

    def _load_changed(self) -> None:
        if self._load_timer is None:
            self._load_timer = asyncio.get_running_loop().call_later(LOAD_DELAY, self._send_load)

    def _send_load(self) -> None:
        """Let other routers know what this one has under way."""
        self._load_timer = None
        self._load_seq += 1
        cached, self._placement.newly_cached = tuple(self._placement.newly_cached), []
        loads = self._placement.own_loads(clock())
        outcomes = self._placement.take_outcomes()
        self._subscriptions.send(
            RouterLoad(self._settings.node_name, self._load_seq, loads, cached, outcomes)
        )


def _log_suspicion(record: WorkerRecord, suspect: bool) -> None:
    text = "fails or rejects: set behind the others" if suspect else "is well again"
    log.info("router: worker %s of %s %s", record.instance, record.service, text)
