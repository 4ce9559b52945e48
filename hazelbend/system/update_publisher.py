"""Publishes updates to the routers that are subscribed to this control process.

A new subscriber is sent the complete state and then changes of it: configurations, workers, loads and cache
contents. A subscriber that reads so slowly that a change cannot be sent is disconnected. It subscribes again
and is sent the complete state.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.load_table import CachedPrefix, CacheTable, LoadTable, LoadUpdate, Outcomes, RouterLoad
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.system.clock import clock
from hazelbend.system.control_node import ControlNode
from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.peer.frame_link import FrameConnection

log = picologging.getLogger("hazelbend.control")

FLEET_STATUS_PERIOD_S = 0.5
# The time between load updates grows with the number of routers, so that a large fleet costs no more than a
# small one: it is the longer one of a minimum and of a time per router.
LOADS_PERIOD_S = 0.04
LOADS_PERIOD_PER_ROUTER_S = 0.002
MAX_UNSENT_BEFORE_CONFIG_BYTES = 64 * 1024  # with more unsent bytes, a configuration stays pending


@dataclass(slots=True)
class _Subscriber:
    router: str
    wants_loads: bool
    version: int | None = None  # of the configuration in force there, as it told last
    config_pending: bool = False  # whether to send the newest configuration once it has read earlier data


class UpdatePublisher:
    """Manages the subscriptions to this process, and sends the updates."""

    def __init__(self, node: ControlNode, caches: CacheTable) -> None:
        self.loads = LoadTable()
        self._node = node
        self._caches = caches
        self._subscribers: dict[FrameConnection, _Subscriber] = {}
        self._loads_changed = False
        self._unpublished_cached: list[CachedPrefix] = []
        self._unpublished_outcomes: list[tuple[str, Outcomes]] = []  # each with the router that reported it
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start sending the periodic updates."""
        self._tasks += [
            start_background_task("fleet status", self._publish_fleet_status_regularly),
            start_background_task("loads", self._publish_loads_regularly),
        ]

    def close(self) -> None:
        """Stop the periodic updates."""
        for task in self._tasks:
            task.cancel()

    # --- from routers ---

    def subscribe(self, connection: FrameConnection, request: m.SubscribeRequest) -> None:
        """Send a router the complete state, and all changes from now on.

        A process that cannot become a voter has no configuration to send. It sends the addresses of those
        that can, and disconnects.
        """
        engine = self._node.engine
        if not engine.settings.counts_for_quorum:
            connection.send(m.encode(engine.fleet_status(clock())))
            connection.close()
            return
        self._subscribers[connection] = _Subscriber(request.router, request.loads)
        self._update_router_set()
        for body in self._complete_state(request):
            connection.send(m.encode(body))

    def connection_closed(self, connection: FrameConnection) -> None:
        """Handle the end of a connection, which need not be that of a subscriber."""
        if self._subscribers.pop(connection, None) is not None:
            self._update_router_set()

    def record_ping(self, connection: FrameConnection, ping: m.Ping) -> None:
        """Record which configuration is in force at a router."""
        subscriber = self._subscribers.get(connection)
        if (
            subscriber is not None
            and ping.version is not msgspec.UNSET
            and ping.version != subscriber.version
        ):
            subscriber.version = ping.version
            self._update_router_set()

    def merge_router_load(self, connection: FrameConnection, load: RouterLoad) -> None:
        """Merge a router's load report, sent by the router or forwarded by another control process."""
        if not self.loads.merge(load, clock()):
            return
        self._unpublished_cached += load.cached
        self._unpublished_outcomes += [(load.router, outcomes) for outcomes in load.outcomes]
        self._caches.add(load.cached)
        self._loads_changed = True
        is_from_router = connection in self._subscribers
        if is_from_router:  # forward it, since other control processes have other subscribers
            frame = m.encode(load)
            for address in self._node.engine.peers.alive_quorum_peers(clock()):
                self._node.send(address, frame)

    def _update_router_set(self) -> None:
        routers = {subscriber.router for subscriber in self._subscribers.values()}
        self._node.engine.subscribed_routers = routers
        self._node.router_versions = {
            subscriber.router: subscriber.version
            for subscriber in self._subscribers.values()
            if subscriber.version is not None
        }

    def _complete_state(self, request: m.SubscribeRequest) -> list[m.Body]:
        """Return the messages with the complete state: those needed to serve first, the largest last."""
        engine = self._node.engine
        config = self._node.config
        loads = self.loads.all_other_loads(request.router) if request.loads else {}
        bodies: list[m.Body] = [self._all_workers()]
        # A router decides by itself which of these it can read: it may be of another release.
        for each in (config.readable, config) if config.readable is not config else (config,):
            if each.version > request.version:
                bodies.append(m.ConfigUpdate(each.version, each.body))
        bodies.append(engine.fleet_status(clock()))
        bodies.append(LoadUpdate(loads, complete=request.loads))
        if request.caches:
            bodies.append(m.CacheUpdate.from_prefixes(self._caches.by_instance))
        return bodies

    def _all_workers(self) -> m.WorkerUpdate:
        return m.WorkerUpdate(0, self._node.engine.records_for_routers(), complete=True)

    # --- to routers ---

    def send_all_workers(self, connection: FrameConnection) -> None:
        """Send a router all records again, because its replica of them differs."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            log.warning("control: router %s has other workers; sending it all of them", subscriber.router)
            _send_or_disconnect(connection, m.encode(self._all_workers()))

    def publish_config(self, config: StoredConfig) -> None:
        """Send a configuration that has come into force.

        A slow subscriber is sent only the newest one, after it has read the data sent before. Otherwise a
        burst of large configurations would prevent it from ever receiving a complete one.
        """
        for subscriber in self._subscribers.values():
            subscriber.config_pending = True
        self._send_pending_configs(config)

    def _send_pending_configs(self, config: StoredConfig) -> None:
        frame = m.encode(m.ConfigUpdate(config.version, config.body))
        for connection, subscriber in list(self._subscribers.items()):
            if not subscriber.config_pending or connection.unsent_bytes > MAX_UNSENT_BEFORE_CONFIG_BYTES:
                continue
            subscriber.config_pending = False
            _send_or_disconnect(connection, frame)

    def publish_workers(self, records: list[WorkerRecord], expired: list[str]) -> None:
        """Send changed workers, and the instances of those that have expired or are superseded."""
        for instance in expired:
            self._caches.remove(instance)
            log.info("control: worker %s is removed: no heartbeats", instance)
        for record in records:
            if record.state is WorkerState.GONE:
                self._caches.remove(record.instance)
            state = record.state.name.lower()
            log.info("control: worker %s %s %s %s", record.instance, record.service, record.phase, state)
        self._broadcast(m.WorkerUpdate(0, tuple(records), expired=tuple(expired)))

    def publish_fleet_status(self) -> None:
        """Send the fleet status now, in addition to the periodic updates."""
        self._broadcast(self._node.engine.fleet_status(clock()))

    def _broadcast(self, body: m.Body) -> None:
        frame = m.encode(body)
        for connection in list(self._subscribers):
            _send_or_disconnect(connection, frame)

    async def _publish_fleet_status_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLEET_STATUS_PERIOD_S)
            self.publish_fleet_status()
            if any(subscriber.config_pending for subscriber in self._subscribers.values()):
                self._send_pending_configs(self._node.config)

    async def _publish_loads_regularly(self) -> None:
        while True:
            await asyncio.sleep(max(LOADS_PERIOD_S, LOADS_PERIOD_PER_ROUTER_S * len(self._subscribers)))
            self.loads.expire(clock())
            if self._loads_changed:
                self._loads_changed = False
                self._publish_loads()

    def _publish_loads(self) -> None:
        cached = tuple(self._unpublished_cached)
        self._unpublished_cached = []
        outcomes = self._unpublished_outcomes
        self._unpublished_outcomes = []
        changed = self.loads.take_changed()
        for connection, subscriber in list(self._subscribers.items()):
            if not subscriber.wants_loads:
                continue
            loads = self.loads.other_loads(subscriber.router, changed)
            others = tuple(outcome for router, outcome in outcomes if router != subscriber.router)
            _send_or_disconnect(connection, m.encode(LoadUpdate(loads, cached, outcomes=others)))


def _send_or_disconnect(connection: FrameConnection, frame: bytes) -> None:
    """Send a change, or disconnect: the subscriber then subscribes again and is sent the complete state."""
    if not connection.send(frame):
        connection.close()
