"""Tests of a router's subscriptions to control processes, on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hazelbend.control import messages as m
from hazelbend.control.load_table import CachedPrefix, Load, LoadUpdate, RouterLoad
from hazelbend.system import control_subscriptions
from hazelbend.system.control_subscriptions import ControlSubscriptions
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.peer.frame_link import FrameConnection, FrameServer

pytestmark = pytest.mark.anyio
EVENTUALLY_TIMEOUT_S = 5.0


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture(autouse=True)
def short_periods(monkeypatch):
    """Shorten the periods between checks and the timeout for silence."""
    monkeypatch.setattr(control_subscriptions, "CHECK_PERIOD_S", 0.02)
    monkeypatch.setattr(control_subscriptions, "PING_PERIOD_S", 0.05)
    monkeypatch.setattr(control_subscriptions, "SILENCE_TIMEOUT_S", 0.4)


async def eventually(condition) -> None:
    """Wait until the condition is true."""
    async with asyncio.timeout(EVENTUALLY_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class Control:
    """A control process that only accepts subscriptions."""

    def __init__(self, version: int = 1) -> None:
        self.version, self.is_silent = version, False
        self.reject: Callable[[FrameConnection], object] | None = (
            None  # called instead of accepting a subscription
        )
        self.subscribers: dict[FrameConnection, m.SubscribeRequest] = {}
        self.loads: list[RouterLoad] = []
        self.resync_requests = 0
        self.server = FrameServer(
            self._frame_received,
            lambda connection: self.subscribers.pop(connection, None),
            10,
            ConnectionMemory(connection_limits(256)),
        )
        self.address = ""

    async def start(self) -> None:
        await self.server.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server._server.sockets[0].getsockname()[1]}"

    def _frame_received(self, connection: FrameConnection, frame: bytes) -> None:
        if self.is_silent:
            return
        match m.decode(frame):
            case m.SubscribeRequest() if self.reject is not None:
                self.reject(connection)
            case m.SubscribeRequest() as request:
                self.subscribers[connection] = request
                if self.version > request.version:
                    connection.send(m.encode(m.ConfigUpdate(self.version, b"")))
            case m.Ping():
                connection.send(frame)
            case m.WorkerSyncRequest():
                self.resync_requests += 1
            case RouterLoad() as load:
                self.loads.append(load)

    def broadcast(self, body: m.Body) -> None:
        for connection in self.subscribers:
            connection.send(m.encode(body))


class Updates:
    """The updates that a router has received."""

    def __init__(self) -> None:
        self.received: list[object] = []
        self.version = 0
        self.sources: list[str] = []
        self.wants_resync = False

    def apply_config(self, update: m.ConfigUpdate) -> None:
        self.version = max(self.version, update.version)

    def subscription_opened(self, source: str) -> None:
        self.sources.append(source)

    def subscription_ended(self, source: str) -> None:
        self.sources.remove(source)

    def take_resync_request(self, source: str) -> bool:
        return self.wants_resync

    def apply_workers(self, source: str, update: m.WorkerUpdate) -> None:
        self.received.append(update)

    def apply_fleet_status(self, source: str, update: m.FleetStatus) -> None:
        self.received.append(update)

    def apply_loads(self, update: LoadUpdate) -> None:
        self.received.append(update)

    def config_version(self) -> int:
        return self.version


@pytest.fixture
async def controls():
    started = [Control(version) for version in (3, 3, 4)]
    for control in started:
        await control.start()
    yield started
    for control in started:
        await control.server.close()


async def subscribed(controls: list[Control], count: int = 3) -> tuple[ControlSubscriptions, Updates]:
    updates = Updates()
    subscriptions = ControlSubscriptions(
        "r1", tuple(control.address for control in controls[:count]), updates, seed=1
    )
    subscriptions.start()
    return subscriptions, updates


def with_subscribers(controls: list[Control]) -> list[Control]:
    return [control for control in controls if control.subscribers]


async def test_router_subscribes_to_two_control_processes_and_reports_loads_to_one(controls):
    subscriptions, updates = await subscribed(controls)
    await eventually(lambda: len(with_subscribers(controls)) == 2 and updates.version >= 3)
    await eventually(
        lambda: sum(request.loads for control in controls for request in control.subscribers.values()) == 1
    )
    subscriptions.send(RouterLoad("r1", 1, {}))
    await eventually(lambda: sum(len(control.loads) for control in controls) == 1)
    await subscriptions.close()


async def test_load_updates_are_applied_only_from_the_primary(controls):
    """Guards the router's copy of the loads: load updates are relative to earlier ones of one process."""
    subscriptions, updates = await subscribed(controls)
    await eventually(
        lambda: sum(request.loads for control in controls for request in control.subscribers.values()) == 1
    )
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    for control in controls:
        for connection, request in control.subscribers.items():
            part = CachedPrefix(f"i-{request.loads}", "p", 1)
            connection.send(m.encode(LoadUpdate({"i": Load(1, 1)}, (part,))))
    await eventually(lambda: len(updates.received) == 2)
    loads = {update.cached[0].instance: update.loads for update in updates.received}
    assert loads == {"i-True": {"i": Load(1, 1)}, "i-False": {}}, "cache contents are applied from both"
    await subscriptions.close()


async def test_router_learns_the_voters_addresses_from_a_process_without_a_vote(controls):
    """Guards the start of a router all of whose seeds are processes without a vote."""
    for observer, voter in ((controls[0], controls[2]), (controls[1], controls[2])):
        status = m.FleetStatus((voter.address,), 1, {})
        observer.reject = lambda connection, status=status: (
            connection.send(m.encode(status)),
            connection.close(),
        )
    subscriptions, updates = await subscribed(controls, count=2)
    updates.apply_fleet_status = lambda source, status: subscriptions.set_alive(status.control_addresses)
    await eventually(lambda: bool(controls[2].subscribers) and updates.version == 4)
    await subscriptions.close()


async def test_subscription_to_a_silent_or_failed_control_process_is_replaced(controls):
    subscriptions, _updates = await subscribed(controls)
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    silent, failing = with_subscribers(controls)
    [third] = [control for control in controls if not control.subscribers]
    silent.is_silent = True
    await eventually(lambda: bool(third.subscribers))
    await failing.server.close()
    silent.is_silent = False
    await eventually(lambda: bool(silent.subscribers) and bool(third.subscribers))
    await subscriptions.close()


async def test_router_learns_addresses_from_the_fleet_status_and_requests_only_newer_versions(controls):
    subscriptions, updates = await subscribed(controls, count=1)
    await eventually(lambda: updates.version == 3 and len(with_subscribers(controls)) == 1)
    controls[0].broadcast(m.FleetStatus(tuple(control.address for control in controls), 5, {}))
    await eventually(lambda: any(isinstance(update, m.FleetStatus) for update in updates.received))
    subscriptions.set_alive(updates.received[-1].control_addresses)
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    [other] = [control for control in controls[1:] if control.subscribers]
    assert next(request.version for request in other.subscribers.values()) >= 3
    await subscriptions.close()


async def test_undecodable_message_causes_a_reconnect(controls):
    subscriptions, _updates = await subscribed(controls, count=1)
    await eventually(lambda: len(with_subscribers(controls)) == 1)
    [connection] = controls[0].subscribers
    connection.send(b"\xff\xffnonsense")
    await eventually(lambda: list(controls[0].subscribers) not in ([], [connection]))
    await subscriptions.close()


async def test_cache_contents_are_requested_once_and_not_again_from_a_replacement(controls):
    """Guards links of 5 Mbit/s. At each failure of a control process, a third of the routers received all
    cache contents twice, and a configuration was delayed behind them.
    """
    subscriptions, updates = await subscribed(controls)
    await eventually(
        lambda: sum(request.caches for control in controls for request in control.subscribers.values()) == 1
    )
    [sender] = [
        control for control in controls if any(request.caches for request in control.subscribers.values())
    ]
    sender.broadcast(m.CacheUpdate.from_prefixes({"i-1": {"p": 10}}))
    await eventually(lambda: LoadUpdate({}, (CachedPrefix("i-1", "p", 10),)) in updates.received)
    await eventually(lambda: subscriptions._caches_known_at is not None)
    await sender.server.close()
    for connection in list(sender.subscribers):
        connection.close()
    [third] = [control for control in controls if not control.subscribers and control is not sender]
    await eventually(lambda: bool(third.subscribers))
    assert not any(
        request.caches
        for control in controls
        if control is not sender
        for request in control.subscribers.values()
    )
    await subscriptions.close()


async def test_known_cache_contents_expire_without_an_open_subscription(controls):
    subscriptions, _ = await subscribed(controls)
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    now = asyncio.get_running_loop().time()
    subscriptions._caches_known_at = now - control_subscriptions.CACHE_STATE_TTL_S / 2
    assert subscriptions._caches_known(now)
    subscriptions._caches_known_at = now - 2 * control_subscriptions.CACHE_STATE_TTL_S
    assert not subscriptions._caches_known(now)
    await subscriptions.close()


async def test_all_workers_are_requested_where_they_differ_and_ended_subscriptions_are_reported(controls):
    subscriptions, updates = await subscribed(controls)
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    first, second = with_subscribers(controls)
    assert sorted(updates.sources) == sorted([first.address, second.address])
    updates.wants_resync = True
    first.broadcast(m.FleetStatus((), 1, {}))
    await eventually(lambda: first.resync_requests == 1)
    second.is_silent = True
    await eventually(lambda: second.address not in updates.sources)
    await subscriptions.close()


# Guards against a router whose shutdown fails while it drops a control process that has fallen silent.
async def test_close_while_a_silent_control_process_is_dropped_ends_all_subscriptions(controls, monkeypatch):
    subscriptions, updates = await subscribed(controls)
    await eventually(lambda: len(with_subscribers(controls)) == 2)
    closing: list[asyncio.Task[None]] = []
    monkeypatch.setattr(
        updates,
        "subscription_ended",
        lambda source: closing.append(asyncio.create_task(subscriptions.close())),
    )
    with_subscribers(controls)[0].is_silent = True
    await eventually(lambda: closing)
    await closing[0]
    await eventually(lambda: not with_subscribers(controls))
    assert subscriptions._task is not None and subscriptions._task.done()
