"""Tests of a control process on virtual time, in particular while its store refuses writes."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from hazelbend.control import messages as m
from hazelbend.control.engine import ControlEngine
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import WorkerRecord, WorkerState, WorkerStateChange
from hazelbend.system import control_api, control_event_log, control_node, control_status, state_persister
from hazelbend.system.clock import SECOND_US
from hazelbend.system.control_api import ControlApi
from hazelbend.system.control_event_log import ControlEventLog
from hazelbend.system.control_node import OUTCOME_TIMEOUT_S, SAVE_RETRY_DELAY_S, ControlNode
from hazelbend.system.state_persister import worker_row
from hazelbend.transport.background_work import FailureRegistry
from hazelbend.transport.http.asgi_server import HttpRequest, HttpResponse
from hazelbend.transport.storage.control_store import WorkerRow
from tests.support.virtual_loop import VirtualLoop

ADDRESS = "127.0.0.1:7000"
CONFIGURATION = Path("example/fleet/configuration.json").read_bytes()
PUT = HttpRequest("POST", "/config/put", {}, CONFIGURATION)
GET = HttpRequest("GET", "/config/get", {}, b"")
HEARTBEAT_BODY = b'{"backend":"s","addr":"10.9.0.1:80","zone":"z","seq":1}'
HEARTBEAT = HttpRequest("POST", "/instances/i-1/heartbeat", {}, HEARTBEAT_BODY)
DEREGISTER = HttpRequest("POST", "/instances/i-1/deregister", {}, b"{}")
REFOUND = HttpRequest("POST", "/refound", {}, b"")
AT_ONCE_S = 0.05


class Store:
    """A store that discards what it is given. It refuses writes while its disk is full, and they wait while
    its disk stalls.
    """

    def __init__(self) -> None:
        self.worker_rows: tuple[WorkerRow, ...] = ()
        self.is_full = False
        self.is_writable = asyncio.Event()
        self.is_writable.set()

    async def open(self, address: str) -> None:
        return None

    async def save(self, records: object, commit_index: int) -> None:
        await self.is_writable.wait()
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")


class Log:
    """Records the lines at level warning or error, and in `info_lines` the others."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.info_lines: list[str] = []

    def info(self, text: str, *values: object) -> None:
        self.info_lines.append(text % values)

    def warning(self, text: str, *values: object) -> None:
        self.lines.append(text % values)

    error = warning


async def timed_call(api: ControlApi, request: HttpRequest) -> tuple[HttpResponse, float]:
    """Return the response to a request, and the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response = await api.handle(request)
    return response, loop.time() - started_at


class Link:
    """Records the frames to a control process. `on_open` reports that the link is connected."""

    def __init__(self, address: str, on_frame: object, on_open: Callable[[], None]) -> None:
        self.address = address
        self.on_open = on_open
        self.sent: list[m.Body] = []

    def send(self, frame: bytes) -> None:
        self.sent.append(m.decode(frame))

    def reconnect(self) -> None:
        pass


async def call_during_stall(api: ControlApi, store: Store, request: HttpRequest) -> HttpResponse:
    """Return the response to a request that the store's disk delays. There must be none before its end."""
    store.is_writable.clear()
    call = asyncio.ensure_future(timed_call(api, request))
    await asyncio.sleep(OUTCOME_TIMEOUT_S / 2)
    assert not call.done()
    store.is_writable.set()
    return (await call)[0]


Scenario = Callable[[ControlNode, ControlApi, Store], Awaitable[None]]


@pytest.fixture
def play(monkeypatch):
    """Return a function that runs a scenario with a process that is the only one of its cluster."""

    async def run(scenario: Scenario) -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(control_node, "clock", lambda: round(loop.time() * SECOND_US))
        monkeypatch.setattr(control_api, "clock", lambda: round(loop.time() * SECOND_US))
        monkeypatch.setattr(control_api.time, "monotonic", loop.time)
        settings = ControlSettings(
            ADDRESS,
            (ADDRESS,),
            counts_for_quorum=True,
            may_bootstrap=True,
            tolerance=0,
            heartbeat_us=SECOND_US,
        )
        store = Store()
        node = ControlNode(
            settings, store, on_config=lambda config: None, on_workers=lambda workers, expired: None
        )
        await node.restore()
        node.advance()
        while not node.engine.raft.has_committed_in_term or node.engine.has_durable_output:
            await asyncio.sleep(0.01)
        await scenario(node, ControlApi(node, ADDRESS), store)
        await node.close()

    def play(scenario: Scenario) -> None:
        loop = VirtualLoop()
        try:
            loop.run_until_complete(run(scenario))
        finally:
            loop.close()

    return play


def test_call_in_flight_when_the_disk_fills_gets_503_at_once(play):
    """Guards against a response only after the timeout: once the write failed, the outcome stays unknown. No
    configuration comes into force.
    """

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        store.is_full = True
        response, seconds = await timed_call(api, PUT)
        assert (response.status, response.body) == (503, control_api.CONFIG_OUTCOME_UNKNOWN.body)
        assert seconds < AT_ONCE_S < OUTCOME_TIMEOUT_S
        assert node.config.version == 0 and node.is_abstaining

    play(scenario)


def test_calls_are_rejected_while_the_store_refuses_writes_and_accepted_again_afterwards(play):
    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        store.is_full = True
        await timed_call(api, PUT)
        for request in (PUT, GET):
            response, seconds = await timed_call(api, request)
            assert (response.status, response.body) == (503, b"the store refuses writes\n")
            assert seconds < AT_ONCE_S
        store.is_full = False
        await asyncio.sleep(2 * SAVE_RETRY_DELAY_S)
        assert not node.is_abstaining
        # The change of the first call was in the log and is in force now, so repeating the call succeeds.
        response, _ = await timed_call(api, PUT)
        assert (response.status, response.body) == (200, b'{"version":1}')

    play(scenario)


def test_announcement_of_a_worker_is_acknowledged_only_after_it_is_stored(play):
    """Guards against an acknowledgement that a kill of all processes right after it loses (review/2)."""

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        response = await call_during_stall(api, store, DEREGISTER)
        assert response.status == 200
        store.is_full = True
        response, _ = await timed_call(api, HttpRequest("POST", "/instances/i-2/deregister", {}, b"{}"))
        assert response.status == 503

    play(scenario)


def test_stored_workers_are_tracked_after_a_restart_and_an_undecodable_one_is_logged(play, monkeypatch):
    log = Log()
    monkeypatch.setattr(state_persister, "log", log)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        ended = WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.GONE, 2)
        store.worker_rows = (worker_row(WorkerStateChange("i-1", ended)), WorkerRow("i-2", b"damaged"))
        await node.restore()
        assert [worker.record for worker in node.engine.registry.tracked.values()] == [ended]

    play(scenario)
    [line] = log.lines
    assert line.startswith("control: store: worker i-2: ignored, undecodable")


def test_heartbeat_gets_503_until_the_process_knows_which_workers_have_ended(play, monkeypatch):
    """Guards against a late heartbeat that a process which has just started takes for a new worker's."""
    log = Log()
    monkeypatch.setattr(control_event_log, "log", log)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        await node.restore()
        response, _ = await timed_call(api, HEARTBEAT)
        assert (response.status, response.body) == (503, control_api.WORKERS_NOT_RECOVERED.body)
        assert not node.engine.registry.tracked
        node.advance()
        await asyncio.sleep(AT_ONCE_S)
        response, _ = await timed_call(api, HEARTBEAT)
        assert response.status == 200
        assert set(node.engine.registry.tracked) == {"i-1"}

    play(scenario)
    assert [line for line in log.info_lines if "recovered" in line] == [
        "control: workers recovered in 0.000 s, sources: 1"
    ]


def test_recovery_without_a_majority_is_given_up_with_a_warning(play, monkeypatch):
    log = Log()
    monkeypatch.setattr(control_event_log, "log", log)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        event_log = ControlEventLog()
        engine = ControlEngine("a", node.engine.settings, 1, 0, lambda: 0.0)
        for now in (0, engine.settings.contact_us - 1, engine.settings.contact_us, SECOND_US * 60):
            event_log.observe(engine, now)

    play(scenario)
    [line] = [line for line in log.lines if "majority within" in line]
    assert line == "control: no majority within 3.0 s: heartbeats are taken without its workers"


def test_link_that_opens_is_sent_a_hello_and_then_all_workers(play, monkeypatch):
    """Guards against a snapshot before the hello, which the peer ignores: a process that was killed for less
    than a second then lacks the end of a worker until it asks for all records (review/3).
    """
    links: list[Link] = []

    def link(*arguments: Any) -> Link:
        links.append(Link(*arguments))
        return links[-1]

    monkeypatch.setattr(control_node, "FrameLink", link)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        await api.handle(DEREGISTER)
        node.engine.add_seed_addresses(
            ("127.0.0.2:7000",), round(SECOND_US * asyncio.get_running_loop().time())
        )
        await asyncio.sleep(1)
        [other] = [each for each in links if each.address == "127.0.0.2:7000"]
        other.sent.clear()
        other.on_open()
        hello, update = other.sent
        assert isinstance(hello, m.PeerHello) and hello.identity == node.engine.identity
        assert isinstance(update, m.WorkerUpdate) and [each.instance for each in update.records] == ["i-1"]

    play(scenario)


def test_forced_new_cluster_is_acknowledged_only_after_it_is_stored(play):
    """Guards against an epoch that an operator was told and that a kill right after it loses."""

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        node.engine.raft.leader = ""
        response = await call_during_stall(api, store, REFOUND)
        assert response.status == 200
        assert json.loads(response.body) == {"epoch": node.engine.raft.persistent.epoch}
        node.engine.raft.leader = ""
        store.is_full = True
        response, _ = await timed_call(api, REFOUND)
        assert response.status == 503

    play(scenario)


def test_refused_writes_and_their_end_are_logged_once_each(play, monkeypatch):
    log = Log()
    monkeypatch.setattr(control_node, "log", log)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        store.is_full = True
        await timed_call(api, PUT)
        await asyncio.sleep(5 * SAVE_RETRY_DELAY_S)
        store.is_full = False
        await asyncio.sleep(2 * SAVE_RETRY_DELAY_S)

    play(scenario)
    assert [line.split(": ")[-1] for line in log.lines] == [
        "[Errno 28] no space left on device; this process abstains until writes succeed",
        "writes succeed again",
    ]


def test_engine_continues_after_an_error_in_a_tick_and_the_status_counts_it(play, monkeypatch):
    """The engine raises an error in one tick. Its timer must still be set for the next one."""
    failures = FailureRegistry()
    monkeypatch.setattr(control_status, "FAILURES", failures)

    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        node._tick_timer._failures = failures
        ticks = []
        tick = node.engine.tick

        def fail_once(now: int) -> None:
            ticks.append(now)
            if len(ticks) == 1:
                raise KeyError("not expected")
            tick(now)

        monkeypatch.setattr(node.engine, "tick", fail_once)
        await asyncio.sleep(3)
        assert len(ticks) > 2
        response, _ = await timed_call(api, HttpRequest("GET", "/status", {}, b""))
        errors = json.loads(response.body)["unexpected_errors"]
        assert errors == {"control engine": {"count": 1, "last_error": "KeyError('not expected')"}}

    play(scenario)


# Guards against a stricter check that refuses a change which an earlier release has acknowledged (review/5).
def test_change_that_an_earlier_release_accepted_is_acknowledged_again_although_it_is_invalid_now(play):
    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        accepted_before = CONFIGURATION.replace(b'"retries": 2', b'"resume": "false"')
        invalid = HttpRequest("POST", "/config/put", {}, accepted_before)
        assert (await api.handle(invalid)).status == 400
        request_id = node.engine.put_config(0, 1, accepted_before, node.engine.next_tick_at)
        assert request_id is not None
        await node.wait_for_outcome(request_id)
        response = await api.handle(invalid)
        assert (response.status, response.body) == (200, b"{}")
        other_base = HttpRequest("POST", "/config/put", {"base-version": "1"}, accepted_before)
        response = await api.handle(other_base)
        assert response.status == 400 and b"routes[0].resume: Expected `bool`" in response.body

    play(scenario)


def test_invalid_change_gets_no_clear_answer_where_it_is_unknown_whether_it_was_accepted(play, monkeypatch):
    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        invalid = HttpRequest("POST", "/config/put", {}, b"{}")
        node.engine.config_state.floor = 1
        assert (await api.handle(invalid)).status == 503
        node.engine.config_state.floor = 0
        assert (await api.handle(invalid)).status == 400
        monkeypatch.setattr(node.engine, "read_config", lambda now: None)
        assert (await api.handle(invalid)).status == 503

    play(scenario)


@pytest.mark.parametrize("base", ["x", "-1", "", "9" * 20, "9" * 5_000, "\u0663"])
def test_base_version_that_is_no_version_is_refused(play, base):
    async def scenario(node: ControlNode, api: ControlApi, store: Store) -> None:
        response = await api.handle(HttpRequest("POST", "/config/put", {"base-version": base}, CONFIGURATION))
        assert response.status == 400 and response.body.startswith(b"Base-Version")

    play(scenario)
