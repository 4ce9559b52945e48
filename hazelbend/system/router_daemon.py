"""The router process, which connects the subscriptions, the placement, the forwarder and the listeners."""

from __future__ import annotations

import asyncio
import secrets

import picologging

from hazelbend.control import messages as m
from hazelbend.control.configuration import Limits
from hazelbend.control.workers import WorkerRecord
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.system.clock import SECOND_US, clock
from hazelbend.system.control_subscriptions import ControlSubscriptions
from hazelbend.system.load_reporter import LoadReporter
from hazelbend.system.router_update_handler import RouterUpdateHandler
from hazelbend.system.settings import Settings, split_address
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.http.asgi_server import AsgiServer, HttpRequest, HttpResponse
from hazelbend.transport.http.request_listener import RequestListener
from hazelbend.transport.http.worker_client import HttpWorkerClient

log = picologging.getLogger("hazelbend.router")

RESERVED_FILE_DESCRIPTORS = 128  # for other uses; clients and workers get half of the rest each
MAX_PROBE_CONNECTIONS = 32
READINESS_PROPAGATION_S = 2.6  # until the platform sends no new connections to a router that is not ready
SHUTDOWN_RESERVE_S = 0.8  # part of the grace period that is reserved for closing connections
DRAIN_POLL_S = 0.02
MAX_PROBE_BODY_BYTES = 64 * 1024
MILLISECONDS = 1_000  # per second


class RouterDaemon:
    """All components of a router process."""

    def __init__(self, settings: Settings) -> None:
        seed = secrets.randbits(63)
        self._settings = settings
        self._seed = seed
        self._max_connections = max((settings.max_file_descriptors - RESERVED_FILE_DESCRIPTORS) // 2, 1)
        self._memory = ConnectionMemory(connection_limits(settings.memory_mb))
        self._placement = PlacementEngine(settings.zone, seed)
        self._state = FleetState(self._placement)
        self._client: HttpWorkerClient
        self._forwarder: Forwarder
        self._listener: RequestListener
        self._readiness = AsgiServer(
            self._answer_probe, MAX_PROBE_BODY_BYTES, MAX_PROBE_CONNECTIONS, self._memory
        )
        self._updates = RouterUpdateHandler(
            settings, self._state, on_limits=self._set_limits, on_fleet_status=self._fleet_status_received
        )
        self._subscriptions = ControlSubscriptions(
            settings.node_name, settings.seed_peer_addresses, self._updates, seed
        )
        self._load_reporter = LoadReporter(settings.node_name, self._placement, self._subscriptions.send)
        self._state.has_current_config = self._updates.has_current_config
        self._placement.on_load_changed = self._load_reporter.schedule_report
        self._placement.on_suspicion_changed = _log_suspicion

    async def start(self) -> None:
        """Start serving. The router is ready once it has a configuration."""
        self._client = HttpWorkerClient(self._max_connections)
        self._forwarder = Forwarder(self._state, self._client, clock, self._new_retry_budget, self._seed)
        self._listener = RequestListener(self._forwarder.serve, clock, self._max_connections, self._memory)
        self._subscriptions.start()
        await self._listener.listen(*split_address(self._settings.http_address))
        await self._readiness.listen(*split_address(self._settings.readiness_address))
        log.info("router: %s serves at %s", self._settings.node_name, self._settings.http_address)

    async def close(self) -> None:
        """Report not ready, drain, then stop.

        Connections are accepted until the platform knows that this router is not ready. All requests that
        were received get a response within the grace period.
        """
        loop = asyncio.get_running_loop()
        drain_deadline = loop.time() + self._settings.grace_us / SECOND_US - SHUTDOWN_RESERVE_S
        propagated_at = loop.time() + READINESS_PROPAGATION_S
        self._listener.start_draining(propagated_at, propagated_at)
        await asyncio.sleep(READINESS_PROPAGATION_S)
        self._listener.stop_accepting()
        while self._forwarder.in_flight and loop.time() < drain_deadline:  # noqa: ASYNC110 (it is a counter)
            await asyncio.sleep(DRAIN_POLL_S)
        await self._listener.close()
        await self._subscriptions.close()
        await self._readiness.close()
        await self._forwarder.close()
        await self._client.close()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings. Addresses and limits on connections change only at the next start."""
        self._settings = settings
        self._updates.settings = settings
        self._subscriptions.seeds = settings.seed_peer_addresses

    def _new_retry_budget(self) -> RetryBudget:
        settings = self._settings
        return RetryBudget(settings.retry_ratio, settings.retry_slack, settings.retry_window_us)

    async def _answer_probe(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/metrics":
                from hazelbend.system import metrics  # imported on demand: slow to import

                updates = self._updates
                config = metrics.ConfigVersions(updates.config_version(), updates.unreadable_version)
                content = metrics.render(self._placement.statistics, config, self._memory)
                return HttpResponse(200, content, metrics.CONTENT_TYPE)
            case "/readyz" if self._is_ready:
                return HttpResponse(200, b"ready\n")
            case "/readyz":
                return HttpResponse(503, b"not ready\n")
        return HttpResponse(404, b"no such call\n")

    @property
    def _is_ready(self) -> bool:
        return self._state.route_table is not None and self._listener.accepts_clients

    def _set_limits(self, limits: Limits) -> None:
        self._listener.max_body_bytes = limits.max_body_bytes
        self._listener.max_header_bytes = limits.max_header_bytes
        self._listener.request_timeout_s = limits.header_timeout_ms / MILLISECONDS

    def _fleet_status_received(self, status: m.FleetStatus) -> None:
        self._subscriptions.set_alive(status.control_addresses)
        self._load_reporter.schedule_report()  # reported again periodically, since reports may be lost


def _log_suspicion(record: WorkerRecord, suspect: bool) -> None:
    text = (
        "deprioritized: it fails or rejects requests"
        if suspect
        else "no longer deprioritized: it is healthy again"
    )
    log.info("router: worker %s of %s %s", record.instance, record.service, text)
