"""What passes between two processes of one dispatcher in an upgrade; and that nothing of it can do harm."""

import asyncio
import socket
from contextlib import asynccontextmanager
from hashlib import blake2b

import orjson
import pytest
from hypothesis import given

from hazelbend.decisions import Dispatcher, Settings
from hazelbend.decisions import interface as face
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

ENTRIES = (face.WorkerEntry(1), face.WorkerEntry(2, started_at=900_000), face.WorkerEntry(3, machine_kind=1))
SETTINGS = Settings(collapse_window=1, warmup_duration=1)
BUSY = face.LoadReport(in_flight=9.0, queued=5.0, free_slots=0.0)
IDLE = face.LoadReport(in_flight=0.0, queued=0.0, free_slots=4.0)


def fresh() -> Dispatcher:
    dispatcher = Dispatcher(SETTINGS, 7)
    dispatcher.handle(face.MembershipUpdate(face.ListKind.FULL, ENTRIES), 1_000_000)
    return dispatcher


def seasoned() -> Dispatcher:
    """One that knows worker 1 to be busy, 2 to have gone silent, 3 to be idle, and has a job out on 3."""
    dispatcher, now, loads = fresh(), 1_000_000, {1: BUSY, 2: None, 3: IDLE}
    for number in range(60):
        now += 50_000
        for action in dispatcher.handle(face.RequestArrived(number, 5_000_000), now):
            if isinstance(action, face.Send):
                outcome = face.Outcome.CONNECT_FAILED if action.worker == 2 else face.Outcome.SERVED
                event = face.AttemptEnded(number, action.worker, 0, outcome, load=loads[action.worker])
                dispatcher.handle(event, now + 40_000)
    suspect(dispatcher.workers[2], dispatcher.random, now)
    dispatcher.workers[2].reliability.record(now, is_error=True)
    dispatcher.handle(face.RequestArrived(1_000, 5_000_000), 4_100_000)
    return dispatcher


def passed(memory: dict) -> dict:
    return orjson.loads(orjson.dumps(memory))


def test_what_was_learnt_goes_on():
    old, new, now = seasoned(), fresh(), 4_200_000
    assert old.workers_in_backoff(now) == {2} and new.workers_in_backoff(now) == set()
    import_state(new, passed(export_state(old, now)), now)
    assert new.workers_in_backoff(now) == {2}
    assert [each.value for each in new.load_model.run_times] == [
        each.value for each in old.load_model.run_times
    ]
    held = {number: len(worker.attempts) for number, worker in old.workers.items()}
    assert held[3]
    for number, worker in new.workers.items():
        assert worker.rate == old.workers[number].rate and not worker.attempts
        assert (
            worker.usual_level == old.workers[number].usual_level and worker.size == old.workers[number].size
        )
        assert worker.reliability.risk(now) == old.workers[number].reliability.risk(now)
        assert worker.peer_jobs >= bool(held[number]), "the old one's jobs run there still"
    [sent] = [
        each for each in new.handle(face.RequestArrived(1, 5_000_000), now) if isinstance(each, face.Send)
    ]
    assert sent.worker == 3, "1 is known to be busy, 2 to be silent"


def test_a_worker_whose_process_is_new_starts_afresh():
    old, new = seasoned(), Dispatcher(SETTINGS, 7)
    entries = (ENTRIES[0], face.WorkerEntry(2, started_at=4_000_000))
    new.handle(face.MembershipUpdate(face.ListKind.FULL, entries), 4_150_000)
    import_state(new, passed(export_state(old, 4_200_000)), 4_200_000)
    assert new.workers_in_backoff(4_200_000) == set() and new.workers[1].peer_jobs and 3 not in new.workers


def test_levels_by_the_rate_that_an_earlier_version_passes_on_are_not_taken():
    """They are of another unit: some 10^5 of the new one, so that every server would seem full for long."""
    old, new, now = seasoned(), fresh(), 4_200_000
    memory = passed(export_state(old, now))
    memory["levels"] = [[kind, [10.0, 1e7]] for kind, _ in memory.pop("usuals")]
    for each in memory["workers"]:
        each["level"] = each.pop("usual")
        del each["size"]
    import_state(new, memory, now)
    assert new.load_model.usual_levels == {} and new.workers_in_backoff(now) == {2}
    for worker in new.workers.values():
        new.load_model.update_rate(worker, now)
        assert worker.background_load == 0.0


def test_the_share_of_cold_workers_is_read_where_an_earlier_version_has_it():
    """It stood among the means, and stands by itself now; a version that passes none on leaves the own."""
    old, now = seasoned(), 4_200_000
    old.slow_start.own_traffic.add(0.25, 60.0)
    for place in ("share", "means", "nowhere"):
        new, memory = fresh(), passed(export_state(old, now))
        before = new.slow_start.own_traffic.value
        share = memory.pop("share") if place != "share" else None
        if place == "means":
            memory["means"]["share"] = share
        import_state(new, memory, now)
        kept = before if place == "nowhere" else old.slow_start.own_traffic.value
        assert new.slow_start.own_traffic.value == pytest.approx(kept)


@given(SEEDS)
def test_a_memory_that_is_no_use_changes_nothing(seed):
    text, new = orjson.dumps(export_state(seasoned(), 4_200_000)), fresh()
    before = export_state(new, 4_200_000)
    try:
        memory = orjson.loads(garbage(text, seed))
        import_state(new, memory if isinstance(memory, dict) else {}, 4_200_000)
    except ValueError:
        assert export_state(new, 4_200_000) == before
    actions = new.handle(face.RequestArrived(1, 5_000_000), 4_300_000)
    assert any(isinstance(each, face.Send) for each in actions) or new.queued, "it goes on deciding"


READER = EndpointListCodec(("ankara-1", "konya-1"), ("big-box",))
KNOWN = READER.from_object({"seq": 0, "whole": True, "hosts": [host_entry("s-1", "127.0.0.1:9")]})
STATE = HandoverState(("nearby", "reserve"), KNOWN, ("s-1",), ("a", "b"), {"means": {}})


@given(SEEDS)
def test_any_line_is_read_or_refused(seed):
    survives(lambda line: decode_state(line, READER), garbage(encode_state(STATE, READER), seed), ValueError)
    survives(decode_update, garbage(encode_update(JobIdUpdate("9b", True)), seed), ValueError)


def test_a_state_and_news_are_read_as_they_were_written():
    assert (
        decode_state(encode_state(STATE, READER), EndpointListCodec(("konya-1",), ()))
        .endpoints.entries[0]
        .zone
        == 1
    ), "zones go by name: the next process may have them in another order"
    assert decode_state(encode_state(STATE, READER), READER) == STATE
    assert [decode_update(encode_update(JobIdUpdate("9b", taken))) for taken in (True, False)] == [
        JobIdUpdate("9b", True), JobIdUpdate("9b", False)
    ]  # fmt: skip
    assert decode_update(b'{"something": "later versions say"}') is None


class Told:
    def __init__(self):
        self.counts = []

    def state(self):
        return STATE

    def siblings_changed(self, count):
        self.counts.append(count)


@asynccontextmanager
async def listening(path):
    told = Told()
    here = Handover(path, told, lambda: READER)
    await here.listen()
    yield here, told
    await here.close()


def test_ids_pass_both_ways_until_either_ends(tmp_path):
    async def run():
        path = tmp_path / "next"
        async with listening(path) as (old, old_told):
            new_told = Told()
            new = Handover(path, new_told, lambda: READER)
            assert await new.fetch_state() == STATE
            assert new.is_open_elsewhere("a") and not new.is_open_elsewhere("c") and new_told.counts == [1]
            old.broadcast_update("c", True)
            old.broadcast_update("a", False)
            await wait_until(lambda: new.is_open_elsewhere("c") and not new.is_open_elsewhere("a"))
            new.broadcast_update("d", True)
            await wait_until(lambda: old.is_open_elsewhere("d"))
            await new.listen()
            await old.close()
            await wait_until(lambda: new_told.counts == [1, 0])
            assert not new.is_open_elsewhere("c") and path.exists(), "the socket is the new one's by now"
            await new.close()
            assert not path.exists() and not list(tmp_path.iterdir())
        assert old_told.counts == [1, 0]

    asyncio.run(run())


@pytest.mark.parametrize("said", [b"", b"{", b'{"known": 5}\n', b'{"classes": [1]}\n', None, "stale", "file"])
def test_what_the_process_before_left_does_no_harm(tmp_path, monkeypatch, said):
    monkeypatch.setattr(handover, "FETCH_WAIT", 0.2)

    async def speak(reader, writer):
        if said is not None:
            writer.write(said)
            writer.close()

    async def run():
        path, server = tmp_path / "next", None
        if said == "stale":
            with socket.socket(socket.AF_UNIX) as left:
                left.bind(str(path))
        elif said == "file":
            path.write_text("what is this")
        else:
            server = await asyncio.start_unix_server(speak, str(path))
        told = Told()
        new = Handover(path, told, lambda: READER)
        assert await new.fetch_state() is None and told.counts == []
        await new.listen()
        assert path.is_socket()
        await new.close()
        if server is not None:
            server.close()

    asyncio.run(run())


def test_nonsense_from_the_other_process_parts_the_two(tmp_path):
    async def run():
        async with listening(tmp_path / "next") as (old, told):
            _, writer = await asyncio.open_unix_connection(str(tmp_path / "next"), limit=2**22)
            await wait_until(lambda: told.counts == [1])
            writer.write(b'{"taken": "x"}\n\x00\xff\n')
            await wait_until(lambda: told.counts == [1, 0])
            assert not old.is_open_elsewhere("x")
            writer.close()

    asyncio.run(run())


def test_a_path_that_is_too_long_is_gone_without(tmp_path):
    async def run():
        new = Handover(tmp_path / ("x" * 200), Told(), lambda: READER)
        assert await new.fetch_state() is None
        await new.listen()
        await new.close()

    asyncio.run(run())


def test_an_id_that_is_open_in_the_other_process_is_turned_away(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            whole = app.client_listener.connection_limit
            here = Handover(tmp_path / "next", app, lambda: app.conf.reader)
            app.router.is_open_elsewhere, app.router.on_open_ids_changed = (
                here.is_open_elsewhere,
                here.broadcast_update,
            )
            await here.listen()
            other = Told()
            there = Handover(tmp_path / "next", other, lambda: app.conf.reader)
            running = asyncio.create_task(
                send_and_receive(app.client_listener.port, request("a", b"300", more="Connection: close\r\n"))
            )
            await wait_until(lambda: toy.holds)
            state = await there.fetch_state()
            assert state.open_job_ids == ("a",) and [each.host for each in state.endpoints.entries] == [
                "toy-0"
            ]
            assert (
                app.client_listener.connection_limit < whole / 2
                and app.pool.settings.max_connections < whole / 2
            )
            there.broadcast_update("b", True)
            await wait_until(lambda: here.is_open_elsewhere("b"))
            again = request("b", more="Connection: close\r\n")
            assert b" 409 " in await send_and_receive(app.client_listener.port, again)
            own_id = blake2b(b"dashboard\0s", digest_size=16).hexdigest()
            there.broadcast_update(own_id, True)
            await wait_until(lambda: here.is_open_elsewhere(own_id))
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.job("s", b"1")
            await wait_until(lambda: peer.closed)
            assert "open in another process" in peer.of("ERROR")[0].headers["message"], "the other front"
            there.broadcast_update("b", False)
            await wait_until(lambda: not here.is_open_elsewhere("b"))
            assert b" 200 " in await send_and_receive(app.client_listener.port, again)
            assert b" 200 " in await running
            await wait_until(lambda: not there.is_open_elsewhere("a"))
            await there.close()
            await wait_until(lambda: app.client_listener.connection_limit == whole)
            await here.close()

    asyncio.run(run())
