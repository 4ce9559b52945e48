"""State and updates exchanged by the two processes of a dispatcher during an upgrade, valid and malformed."""

import asyncio
import socket
from contextlib import asynccontextmanager
from hashlib import blake2b

import orjson
import pytest
from hypothesis import given

from hazelbend.decisions import Dispatcher, Settings, interface
from hazelbend.decisions.health import suspect
from hazelbend.decisions.learned_state import export_state, import_state
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.protocol.handover import (
    HandoverState,
    JobIdUpdate,
    decode_state,
    decode_update,
    encode_state,
    encode_update,
)
from hazelbend.transport.peer import handover
from hazelbend.transport.peer.handover import Handover
from tests.support.parser_kit import SEEDS, garbage, survives
from tests.support.site_kit import FakeStompClient, host_entry, site, wait_until
from tests.transport.test_client_listener import request, send_and_receive

ENTRIES = (
    interface.WorkerEntry(1),
    interface.WorkerEntry(2, started_at=900_000),
    interface.WorkerEntry(3, machine_kind=1),
)
SETTINGS = Settings(collapse_window=1, warmup_duration=1)
BUSY = interface.LoadReport(in_flight=9.0, queued=5.0, free_slots=0.0)
IDLE = interface.LoadReport(in_flight=0.0, queued=0.0, free_slots=4.0)


def new_dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(SETTINGS, 7)
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, ENTRIES), 1_000_000)
    return dispatcher


def dispatcher_with_history() -> Dispatcher:
    """A dispatcher that knows worker 1 as busy, 2 as silent and 3 as idle, with a job in flight on 3."""
    dispatcher, now, loads = new_dispatcher(), 1_000_000, {1: BUSY, 2: None, 3: IDLE}
    for number in range(60):
        now += 50_000
        for action in dispatcher.handle(interface.RequestArrived(number, 5_000_000), now):
            if isinstance(action, interface.Send):
                outcome = interface.Outcome.CONNECT_FAILED if action.worker == 2 else interface.Outcome.SERVED
                event = interface.AttemptEnded(number, action.worker, 0, outcome, load=loads[action.worker])
                dispatcher.handle(event, now + 40_000)
    suspect(dispatcher.workers[2], dispatcher.random, now)
    dispatcher.workers[2].reliability.record(now, is_error=True)
    dispatcher.handle(interface.RequestArrived(1_000, 5_000_000), 4_100_000)
    return dispatcher


def through_json(learned_state: dict) -> dict:
    return orjson.loads(orjson.dumps(learned_state))


def test_learned_state_is_restored():
    old, new, now = dispatcher_with_history(), new_dispatcher(), 4_200_000
    assert old.workers_in_backoff(now) == {2} and new.workers_in_backoff(now) == set()
    import_state(new, through_json(export_state(old, now)), now)
    assert new.workers_in_backoff(now) == {2}
    assert [run_time.value for run_time in new.load_model.run_times] == [
        run_time.value for run_time in old.load_model.run_times
    ]
    in_flight = {number: len(worker.attempts) for number, worker in old.workers.items()}
    assert in_flight[3]
    for number, worker in new.workers.items():
        assert worker.rate == old.workers[number].rate and not worker.attempts
        assert (
            worker.usual_level == old.workers[number].usual_level and worker.size == old.workers[number].size
        )
        assert worker.reliability.risk(now) == old.workers[number].reliability.risk(now)
        assert worker.peer_jobs >= bool(in_flight[number]), "the jobs of the old process still run there"
    [sent] = [
        action
        for action in new.handle(interface.RequestArrived(1, 5_000_000), now)
        if isinstance(action, interface.Send)
    ]
    assert sent.worker == 3, "worker 1 is known as busy, 2 as silent"


def test_restarted_worker_starts_without_learned_state():
    old, new = dispatcher_with_history(), Dispatcher(SETTINGS, 7)
    entries = (ENTRIES[0], interface.WorkerEntry(2, started_at=4_000_000))
    new.handle(interface.MembershipUpdate(interface.ListKind.FULL, entries), 4_150_000)
    import_state(new, through_json(export_state(old, 4_200_000)), 4_200_000)
    assert new.workers_in_backoff(4_200_000) == set() and new.workers[1].peer_jobs and 3 not in new.workers


def test_levels_of_an_earlier_version_are_ignored():
    """They have another unit, about 10^5 of the new one, so that every server would long seem full."""
    old, new, now = dispatcher_with_history(), new_dispatcher(), 4_200_000
    learned_state = through_json(export_state(old, now))
    learned_state["levels"] = [[kind, [10.0, 1e7]] for kind, _ in learned_state.pop("usuals")]
    for worker_state in learned_state["workers"]:
        worker_state["level"] = worker_state.pop("usual")
        del worker_state["size"]
    import_state(new, learned_state, now)
    assert new.load_model.usual_levels == {} and new.workers_in_backoff(now) == {2}
    for worker in new.workers.values():
        new.load_model.update_rate(worker, now)
        assert worker.background_load == 0.0


def test_traffic_share_of_warming_workers_is_read_from_the_earlier_format():
    """An earlier version stored it among the means, later ones store it separately. If it is missing, the own
    value of the new process stays."""
    old, now = dispatcher_with_history(), 4_200_000
    old.slow_start.own_traffic.add(0.25, 60.0)
    for location in ("share", "means", "nowhere"):
        new, learned_state = new_dispatcher(), through_json(export_state(old, now))
        before = new.slow_start.own_traffic.value
        share = learned_state.pop("share") if location != "share" else None
        if location == "means":
            learned_state["means"]["share"] = share
        import_state(new, learned_state, now)
        expected = before if location == "nowhere" else old.slow_start.own_traffic.value
        assert new.slow_start.own_traffic.value == pytest.approx(expected)


@given(SEEDS)
def test_unusable_learned_state_changes_nothing(seed):
    state_bytes, new = orjson.dumps(export_state(dispatcher_with_history(), 4_200_000)), new_dispatcher()
    before = export_state(new, 4_200_000)
    try:
        learned_state = orjson.loads(garbage(state_bytes, seed))
        import_state(new, learned_state if isinstance(learned_state, dict) else {}, 4_200_000)
    except ValueError:
        assert export_state(new, 4_200_000) == before
    actions = new.handle(interface.RequestArrived(1, 5_000_000), 4_300_000)
    assert any(isinstance(action, interface.Send) for action in actions) or new.queued, (
        "the dispatcher still makes decisions"
    )


CODEC = EndpointListCodec(("ankara-1", "konya-1"), ("big-box",))
KNOWN = CODEC.from_object({"seq": 0, "whole": True, "hosts": [host_entry("s-1", "127.0.0.1:9")]})
STATE = HandoverState(("nearby", "reserve"), KNOWN, ("s-1",), ("a", "b"), {"means": {}})


@given(SEEDS)
def test_any_line_is_decoded_or_rejected(seed):
    survives(lambda line: decode_state(line, CODEC), garbage(encode_state(STATE, CODEC), seed), ValueError)
    survives(decode_update, garbage(encode_update(JobIdUpdate("9b", True)), seed), ValueError)


def test_state_and_updates_survive_a_round_trip():
    assert (
        decode_state(encode_state(STATE, CODEC), EndpointListCodec(("konya-1",), ()))
        .endpoints.entries[0]
        .zone
        == 1
    ), "zones are encoded by name: the next process may have them in another order"
    assert decode_state(encode_state(STATE, CODEC), CODEC) == STATE
    assert [decode_update(encode_update(JobIdUpdate("9b", is_open))) for is_open in (True, False)] == [
        JobIdUpdate("9b", True), JobIdUpdate("9b", False)
    ]  # fmt: skip
    assert decode_update(b'{"something": "later versions say"}') is None


class RecordingOwner:
    def __init__(self):
        self.counts = []

    def state(self):
        return STATE

    def siblings_changed(self, count):
        self.counts.append(count)


@asynccontextmanager
async def listening_handover(path):
    owner = RecordingOwner()
    local = Handover(path, owner, lambda: CODEC)
    await local.listen()
    yield local, owner
    await local.close()


def test_job_ids_are_exchanged_until_one_process_ends(tmp_path):
    async def run():
        path = tmp_path / "next"
        async with listening_handover(path) as (old, old_owner):
            new_owner = RecordingOwner()
            new = Handover(path, new_owner, lambda: CODEC)
            assert await new.fetch_state() == STATE
            assert new.is_open_elsewhere("a") and not new.is_open_elsewhere("c") and new_owner.counts == [1]
            old.broadcast_update("c", True)
            old.broadcast_update("a", False)
            await wait_until(lambda: new.is_open_elsewhere("c") and not new.is_open_elsewhere("a"))
            new.broadcast_update("d", True)
            await wait_until(lambda: old.is_open_elsewhere("d"))
            await new.listen()
            await old.close()
            await wait_until(lambda: new_owner.counts == [1, 0])
            assert not new.is_open_elsewhere("c") and path.exists(), "the new process has replaced the socket"
            await new.close()
            assert not path.exists() and not list(tmp_path.iterdir())
        assert old_owner.counts == [1, 0]

    asyncio.run(run())


@pytest.mark.parametrize("sent", [b"", b"{", b'{"known": 5}\n', b'{"classes": [1]}\n', None, "stale", "file"])
def test_unusable_state_of_the_previous_process_is_ignored(tmp_path, monkeypatch, sent):
    monkeypatch.setattr(handover, "FETCH_TIMEOUT_S", 0.2)

    async def send(reader, writer):
        if sent is not None:
            writer.write(sent)
            writer.close()

    async def run():
        path, server = tmp_path / "next", None
        if sent == "stale":
            with socket.socket(socket.AF_UNIX) as stale_socket:
                stale_socket.bind(str(path))
        elif sent == "file":
            path.write_text("what is this")
        else:
            server = await asyncio.start_unix_server(send, str(path))
        owner = RecordingOwner()
        new = Handover(path, owner, lambda: CODEC)
        assert await new.fetch_state() is None and owner.counts == []
        await new.listen()
        assert path.is_socket()
        await new.close()
        if server is not None:
            server.close()

    asyncio.run(run())


def test_malformed_update_disconnects_the_sibling(tmp_path):
    async def run():
        async with listening_handover(tmp_path / "next") as (old, owner):
            _, writer = await asyncio.open_unix_connection(str(tmp_path / "next"), limit=2**22)
            await wait_until(lambda: owner.counts == [1])
            writer.write(b'{"taken": "x"}\n\x00\xff\n')
            await wait_until(lambda: owner.counts == [1, 0])
            assert not old.is_open_elsewhere("x")
            writer.close()

    asyncio.run(run())


def test_too_long_socket_path_is_tolerated(tmp_path):
    async def run():
        new = Handover(tmp_path / ("x" * 200), RecordingOwner(), lambda: CODEC)
        assert await new.fetch_state() is None
        await new.listen()
        await new.close()

    asyncio.run(run())


def test_job_id_open_in_the_other_process_is_rejected(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            full_limit = app.client_listener.connection_limit
            local = Handover(tmp_path / "next", app, lambda: app.conf.reader)
            app.router.is_open_elsewhere, app.router.on_open_ids_changed = (
                local.is_open_elsewhere,
                local.broadcast_update,
            )
            await local.listen()
            remote_owner = RecordingOwner()
            remote = Handover(tmp_path / "next", remote_owner, lambda: app.conf.reader)
            running = asyncio.create_task(
                send_and_receive(app.client_listener.port, request("a", b"300", more="Connection: close\r\n"))
            )
            await wait_until(lambda: toy.jobs_in_flight)
            state = await remote.fetch_state()
            assert state.open_job_ids == ("a",) and [entry.host for entry in state.endpoints.entries] == [
                "toy-0"
            ]
            assert (
                app.client_listener.connection_limit < full_limit / 2
                and app.pool.settings.max_connections < full_limit / 2
            )
            remote.broadcast_update("b", True)
            await wait_until(lambda: local.is_open_elsewhere("b"))
            again = request("b", more="Connection: close\r\n")
            assert b" 409 " in await send_and_receive(app.client_listener.port, again)
            own_id = blake2b(b"dashboard\0s", digest_size=16).hexdigest()
            remote.broadcast_update(own_id, True)
            await wait_until(lambda: local.is_open_elsewhere(own_id))
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.job("s", b"1")
            await wait_until(lambda: peer.closed)
            assert "open in another process" in peer.of("ERROR")[0].headers["message"], "over STOMP as well"
            remote.broadcast_update("b", False)
            await wait_until(lambda: not local.is_open_elsewhere("b"))
            assert b" 200 " in await send_and_receive(app.client_listener.port, again)
            assert b" 200 " in await running
            await wait_until(lambda: not remote.is_open_elsewhere("a"))
            await remote.close()
            await wait_until(lambda: app.client_listener.connection_limit == full_limit)
            await local.close()

    asyncio.run(run())
