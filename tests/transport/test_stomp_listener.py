"""The STOMP front on loopback: one final answer for each request, whoever leaves and comes back."""

import asyncio
import socket
from contextlib import asynccontextmanager
from hashlib import blake2b

import stomp

from hazelbend.transport.stomp import stomp_session
from tests.support.parser_kit import garbage, pieces
from tests.support.site_kit import (
    SECRET,
    STOMP,
    FakeStompClient,
    FakeStompWorker,
    site,
    wait_until,
    write_frame,
)

ANSWERS = {"id": "a", "destination": "/hazelbend/answers"}
WORK = {"id": "w", "destination": "/hazelbend/work"}


async def client(port: int, login: str = "dashboard", ack: str = "auto", **headers: str) -> FakeStompClient:
    peer = await FakeStompClient.connect(port, login, **headers)
    assert peer.frames[0].command == "CONNECTED", peer.frames
    peer.send("SUBSCRIBE", ack=ack, **ANSWERS)
    return peer


async def post(
    port: int, request_id: str, body: bytes, job_class: str = "nearby", timeout: int = 4_000
) -> int:
    """A job over HTTP/1.1, by hand; the status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /{job_class}/17 HTTP/1.1\r\nHost: x\r\nX-Request-ID: {request_id}\r\nX-Tenant-Id: ege-volt\r\n"
        f"X-Timeout-Ms: {timeout}\r\nIdempotency-Key: k{request_id}\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])


@asynccontextmanager
async def box_and_client(folder):
    """A site whose only server is a box."""
    async with site(folder, toys=0) as (app, _):
        box = await FakeStompWorker.connect(app.stomp.port, "box-1")
        box.send("SUBSCRIBE", **WORK)
        await wait_until(lambda: app.stomp_workers.connected == 1)
        yield app, box, await client(app.stomp.port)


def job_id_of(request_id: str) -> str:
    """The id that servers know a STOMP job by; a stable one, alike after a restart."""
    return blake2b(f"dashboard\0{request_id}".encode(), digest_size=16).hexdigest()


def test_both_protocols_mixed_every_request_has_one_final_answer(tmp_path):
    """Clients and servers on each; final answers are counted against requests taken."""

    async def run():
        async with site(tmp_path, toys=1) as (app, [toy]):
            port = app.stomp.port
            box = await FakeStompWorker.connect(port, "box-1")
            box.send("SUBSCRIBE", **WORK)
            await wait_until(lambda: app.stomp_workers.connected == 1)
            peer = await client(port)
            leaving = await client(port, "partner")
            leaving.job("gone", b"500", "reserve", tenant="toros-sarj")
            await wait_until(lambda: box.ran or toy.ran)
            await leaving.drop()  # its reserve runs on
            bodies = [b"20", b"20 fail", b"20 lose", b"return", b"5 reset", b"hang"]
            plan = [(b, c) for b in bodies for c in ("nearby", "reserve") * 2]
            posts = []
            for number, (body, job_class) in enumerate(plan):
                if number == plan.index((b"hang", "nearby")):  # what waited behind one would time out as well
                    await wait_until(lambda: not app.router.requests)
                # Receipts are asked for, and must not count.
                more = {"deadline": "1500", "receipt": f"r{number}", "key": f"k{number}"}
                peer.job(f"s{number}", body, job_class, **more)
                posts.append(
                    asyncio.create_task(post(app.client_listener.port, f"h{number}", body, job_class, 1_500))
                )
                await wait_until(lambda: app.router.counters.received == 2 * len(posts) + 1)
            statuses = await asyncio.gather(*posts)
            await wait_until(lambda: len(peer.answers()) == len(plan))
            await wait_until(lambda: not app.router.requests)
            back = await client(port, "partner")
            await wait_until(lambda: back.answers())
            peer.send("DISCONNECT", receipt="last")
            await wait_until(lambda: peer.closed)

            answers = {**peer.answers(), **back.answers()}
            assert all(len(each) == 1 for each in answers.values()), answers
            assert len(answers) + len(statuses) == app.router.counters.received
            assert sum(app.router.counters.verdicts.values()) == app.router.counters.received
            assert len(peer.of("RECEIPT")) == len(plan) + 1
            assert answers["gone"] == ["served"] and leaving.answers() == {}
            served = statuses.count(200) + sum(each == ["served"] for each in answers.values())
            assert app.router.counters.verdicts[next(iter(app.router.counters.verdicts))] == served
            assert box.ran and toy.ran, "both kinds of server must have had work"
            ran = {*box.ran, *toy.ran}
            for number, (body, job_class) in enumerate(plan):
                [status], code = answers[f"s{number}"], statuses[number]
                refused = {"s": status == "refused", "h": code == 503}
                if body in (b"20", b"return"):  # by chance of load it may not get in, but it never fails
                    assert status != "failed" and code in (200, 503)
                else:
                    assert status != "served" and code != 200
                for protocol, job_id in (("s", job_id_of(f"s{number}")), ("h", f"h{number}")):
                    # Its repeats are dropped in one zone only: once it may have run, no refusal is true.
                    assert not (job_class == "reserve" and job_id in ran and refused[protocol])
            assert 200 in statuses and ["served"] in answers.values()

    asyncio.run(run())


def test_an_answer_waits_for_its_client_and_keeps_its_message_id_until_acked(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            first = await client(app.stomp.port, ack="client-individual")
            first.job("one", b"1")
            await wait_until(lambda: first.answers())
            sent = first.of("MESSAGE")[0]
            await first.drop()
            second = await client(app.stomp.port, ack="client-individual")
            await wait_until(lambda: second.answers())
            again = second.of("MESSAGE")[0]
            assert again.headers["message-id"] == sent.headers["message-id"]
            assert again.body == sent.body
            second.send("ACK", id=again.headers["ack"], receipt="acked")
            await wait_until(lambda: second.of("RECEIPT"))
            await second.drop()
            third = await client(app.stomp.port, ack="client-individual")
            third.job("one", b"1", receipt="sent")  # known: it attaches, nothing runs anew
            await wait_until(lambda: third.answers())
            assert third.of("MESSAGE")[0].body == sent.body
            assert len(toy.ran) == app.router.counters.received == 1

    asyncio.run(run())


def test_a_client_that_is_silent_at_first_keeps_its_mailbox(tmp_path):
    """Guards against a mailbox cleared away as empty under a client that then sends its first job."""

    async def run():
        async with site(tmp_path) as (app, _):
            quiet = await FakeStompClient.connect(app.stomp.port)
            await client(app.stomp.port, client_id="another")
            quiet.job("one", b"1", receipt="taken")
            await wait_until(lambda: quiet.of("RECEIPT"))
            await quiet.drop()
            back = await client(app.stomp.port)
            await wait_until(lambda: back.answers())
            assert back.answers() == {"one": ["served"]}

    asyncio.run(run())


def test_a_repeated_send_attaches_to_the_flow_under_way(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            peer = await client(app.stomp.port)
            for _ in range(3):
                peer.job("one", b"100", "reserve", key="k")
            await wait_until(lambda: peer.answers())
            peer.send("DISCONNECT", receipt="end")
            await wait_until(lambda: peer.closed)
            assert peer.answers() == {"one": ["served"]}
            assert len(toy.ran) == 1

    asyncio.run(run())


def test_a_deadline_is_answered_before_the_client_gives_up(tmp_path):
    async def run():
        async with site(tmp_path) as (app, _):
            peer = await client(app.stomp.port)
            peer.job("late", b"hang", "reserve", deadline="300")
            await wait_until(lambda: app.router.requests)
            taken = list(app.router.requests.values())
            await wait_until(lambda: peer.answers())
            assert peer.answers() == {"late": ["failed"]}
            assert peer.of("MESSAGE")[0].headers["reason"] == "deadline"
            [flow] = taken
            assert flow.job.timeout_us < 300_000, "some of the client's time is kept for the way back"

    asyncio.run(run())


def test_a_box_that_is_lost_resets_its_jobs_and_leaves_the_table(tmp_path):
    async def run():
        async with box_and_client(tmp_path) as (app, box, peer):
            [server] = app.router.table.servers.values()
            assert server.entry.started_at > app.router.started_at, "a box that connects is cold"
            peer.job("one", b"hang", "reserve")
            await wait_until(lambda: box.ran)
            await box.drop()
            await wait_until(lambda: peer.answers())
            assert peer.answers() == {"one": ["failed"]}, "it may have run: no refusal"
            assert not app.router.table.servers

    asyncio.run(run())


def test_a_box_that_unsubscribes_finishes_what_it_has_and_gets_nothing_new(tmp_path):
    async def run():
        async with box_and_client(tmp_path) as (app, box, peer):
            peer.job("first", b"20")
            await wait_until(lambda: box.ran)
            box.send("UNSUBSCRIBE", id="w")
            await wait_until(lambda: not next(iter(app.router.table.servers.values())).accepts_work)
            peer.job("second", b"20", deadline="300")
            await wait_until(lambda: len(peer.answers()) == 2)
            assert peer.answers() == {"first": ["served"], "second": ["refused"]}
            assert len(box.ran) == 1

    asyncio.run(run())


def test_a_second_connection_of_a_box_takes_the_place_of_the_first(tmp_path):
    """Guards against a box that came back while its old connection was not yet known to be dead."""

    async def run():
        async with box_and_client(tmp_path) as (app, box, peer):
            peer.job("one", b"hang", "reserve", deadline="500")
            await wait_until(lambda: box.ran)
            again = await FakeStompWorker.connect(app.stomp.port, "box-1")
            again.send("SUBSCRIBE", **WORK)
            await wait_until(lambda: box.closed)
            assert "taken its place" in box.of("ERROR")[0].headers["message"]
            peer.job("two", b"1")
            await wait_until(lambda: len(peer.answers()) == 2)
            # The first was reset; its repeat may go to a server of the same zone, which is what it did.
            assert peer.answers() == {"one": ["failed"], "two": ["served"]}
            assert box.ran[0] in again.ran and len(again.ran) == 2
            assert app.stomp_workers.connected == 1

    asyncio.run(run())


def test_garbage_on_the_socket_does_no_harm(tmp_path):
    async def run():
        async with site(tmp_path) as (app, _):
            hello = write_frame(
                "CONNECT", {"accept-version": "1.2", "login": "dashboard", "passcode": SECRET}
            )
            subscribe = write_frame("SUBSCRIBE", ANSWERS)
            for seed in range(40):
                reader, writer = await asyncio.open_connection("127.0.0.1", app.stomp.port)
                for piece in pieces(hello + garbage(subscribe * 2, seed), seed):
                    writer.write(piece)
                writer.write_eof()
                answer = await asyncio.wait_for(reader.read(), 10)
                assert answer.startswith(b"CONNECTED\n")
                writer.close()
            await wait_until(lambda: app.stomp.connections == 0)

    asyncio.run(run())


def test_a_deadline_cancels_the_job_at_its_box(tmp_path):
    async def run():
        async with box_and_client(tmp_path) as (_app, box, peer):
            peer.job("one", b"hang", deadline="300")
            await wait_until(lambda: box.cancelled)
            assert box.cancelled == box.ran

    asyncio.run(run())


def refusals() -> dict[str, tuple[str, dict[str, str]]]:
    jobs = {"destination": "/hazelbend/jobs", "class": "nearby", "tenant": "ege-volt", "request-id": "1"}
    return {
        "transactions are not supported": ("BEGIN", {"transaction": "t"}),
        "unknown class": ("SEND", jobs | {"class": "nowhere"}),
        "unknown tenant": ("SEND", jobs | {"tenant": "nobody"}),
        "whole number of milliseconds": ("SEND", jobs | {"deadline": "soon"}),
        "request-id is missing": ("SEND", jobs | {"request-id": ""}),
        "no such destination": ("SEND", {"destination": "/queue/x"}),
        "ack is unknown": ("SUBSCRIBE", ANSWERS | {"ack": "sometimes"}),
        "no subscription": ("UNSUBSCRIBE", {"id": "z"}),
        "names no message": ("ACK", {}),
        "unknown command": ("CONNECTED", {}),
        "not expected here": ("CONNECT", {}),
    }


def test_what_cannot_be_done_is_told_by_an_error_and_a_close(tmp_path):
    async def run():
        async with site(tmp_path) as (app, _):
            for words, (command, headers) in refusals().items():
                peer = await client(app.stomp.port)
                peer.send(command, receipt="r", **headers)
                await wait_until(lambda peer=peer: peer.closed)
                [error] = peer.of("ERROR")
                assert words in error.headers["message"]
                assert not peer.of("RECEIPT")
            stranger = await FakeStompClient.connect(app.stomp.port, "dashboard", passcode="guess")
            await wait_until(lambda: stranger.closed)
            assert [frame.command for frame in stranger.frames] == ["ERROR"]
            old = await FakeStompClient.connect(app.stomp.port, accept_version="1.0")
            assert old.frames[0].headers["version"] == "1.1,1.2", "the specification asks to name them"
            other = await client(app.stomp.port, "partner")
            other.job("1", tenant="ege-volt")
            await wait_until(lambda: other.closed)
            assert "may not send for that tenant" in other.of("ERROR")[0].headers["message"]
            assert app.router.counters.received == 0

    asyncio.run(run())


def test_a_full_mailbox_refuses_and_a_silent_peer_is_closed(tmp_path):
    async def run():
        text = "waiting = 1\nheart_beat_in_ms = 50\n"
        async with site(tmp_path, stomp=STOMP.replace("[[client]]", text + "[[client]]", 1)) as (app, _):
            peer = await client(app.stomp.port)
            peer.job("one", b"100")
            peer.job("two", b"100")
            await wait_until(lambda: len(peer.answers()) == 2)
            assert peer.answers() == {"one": ["served"], "two": ["refused"]}
            assert float(peer.of("MESSAGE")[0].headers["retry-after"]) > 0
            silent = await client(app.stomp.port, heart_beat="50,50")
            await wait_until(lambda: silent.closed)
            assert "nothing came in time" in silent.of("ERROR")[0].headers["message"]

    asyncio.run(run())


def test_all_mailboxes_together_are_bounded_and_settled_answers_go_first(tmp_path):
    """Guards the program's memory: a client may have many names, and each name a mailbox."""

    async def run():
        text = STOMP.replace("[[client]]", "total_bytes = 65536\n[[client]]", 1)
        async with site(tmp_path, stomp=text) as (app, _):
            first, second = await client(app.stomp.port), await client(app.stomp.port, client_id="b")
            first.job("one", b"1 ".ljust(60_000))
            await wait_until(lambda: first.answers())  # settled: the room of its job is free again
            second.job("two", b"hang ".ljust(65_500), deadline="1000")
            await wait_until(lambda: app.router.requests)
            first.job("three", b"1 ".ljust(100))
            await wait_until(lambda: len(first.answers()) == 2 and second.answers())
            assert first.answers() == {"one": ["served"], "three": ["refused"]}
            first.job("four", b"1 ".ljust(60_000))
            await wait_until(lambda: len(first.answers()) == 3)
            assert first.answers()["four"] == ["served"]

    asyncio.run(run())


def test_a_consumer_that_does_not_read_is_cut_off_and_its_answers_wait(tmp_path):
    async def run():
        text = STOMP.replace("[[client]]", "write_limit = 65536\n[[client]]", 1)
        async with site(tmp_path, stomp=text) as (app, _):
            _reader, writer = await asyncio.open_connection("127.0.0.1", app.stomp.port, limit=1_024)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            writer.transport.pause_reading()
            hello = {"accept-version": "1.2", "login": "dashboard", "passcode": SECRET}
            writer.write(
                write_frame("CONNECT", hello) + write_frame("SUBSCRIBE", ANSWERS | {"ack": "client"})
            )
            receipts = write_frame("ACK", {"id": "none", "receipt": "r" * 8_000}) * 600
            writer.write(receipts)
            await wait_until(lambda: app.stomp.connections == 0)
            writer.close()

    asyncio.run(run())


class Heard(stomp.ConnectionListener):
    def __init__(self):
        self.messages, self.receipts = [], []

    def on_message(self, frame):
        self.messages.append(frame)

    def on_receipt(self, frame):
        self.receipts.append(frame)


def test_stomp_py_can_use_the_front_in_both_versions(tmp_path):
    """A client library of others' making, as a check on our reading of the specification."""

    def talk(port, kind, number):
        heard, connection = Heard(), kind([("127.0.0.1", port)], heartbeats=(1_000, 1_000))
        connection.set_listener("", heard)
        connection.connect("dashboard", SECRET, wait=True, headers={"client-id": str(number)})
        connection.subscribe("/hazelbend/answers", id="1", ack="client-individual")
        headers = {"class": "reserve", "tenant": "ege-volt", "request-id": "a:b\\c", "key": "üsküdar"}
        connection.send("/hazelbend/jobs", "1", headers=headers, receipt="taken")
        return heard, connection

    async def run():
        async with site(tmp_path) as (app, [toy]):
            for number, kind in enumerate((stomp.Connection11, stomp.Connection12)):
                heard, connection = await asyncio.to_thread(talk, app.stomp.port, kind, number)
                await wait_until(lambda heard=heard: heard.messages)
                [message] = heard.messages
                assert message.headers["status"] == "served"
                assert message.headers["request-id"] == "a:b\\c"
                assert "did" in message.body
                assert [frame.headers["receipt-id"] for frame in heard.receipts] == ["taken"]
                await asyncio.to_thread(connection.disconnect)
            assert toy.targets == ["/reserve/%C3%BCsk%C3%BCdar"] * 2

    asyncio.run(run())


def test_the_stand_ins_write_frames_as_stomp_py_reads_them():
    frame = stomp.utils.parse_frame(write_frame("SEND", {"destination": "/a:b"}, b"x\x00y")[:-1])
    assert frame.cmd == "SEND"
    assert frame.headers["destination"] == "/a:b"


def test_connections_that_do_not_say_who_they_are_keep_nobody_out(tmp_path):
    """Guards the places of clients and boxes: connections that say nothing once took them all, for 10 s."""

    async def run():
        text = STOMP.replace("[[client]]", "connections = 3\n[[client]]", 1)
        async with site(tmp_path, stomp=text) as (app, _):
            known = await FakeStompClient.connect(app.stomp.port)
            silent = [await asyncio.open_connection("127.0.0.1", app.stomp.port) for _ in range(8)]
            await wait_until(lambda: app.stomp.connections == 3)
            peer = await FakeStompClient.connect(app.stomp.port, "partner")
            assert peer.of("CONNECTED") and not known.closed and app.stomp.connections <= 3
            assert b"others wait" in await asyncio.wait_for(silent[0][0].read(), 10)
            for _, writer in silent:
                writer.close()

    asyncio.run(run())


def test_a_connection_has_little_time_to_say_who_it_is(tmp_path, monkeypatch):
    assert stomp_session.CONNECT_TIMEOUT_S < 3.0
    monkeypatch.setattr(stomp_session, "CONNECT_TIMEOUT_S", 0.05)

    async def run():
        async with site(tmp_path) as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.stomp.port)
            writer.write(b"CONNECT\nlogin:dash")
            assert b"no CONNECT came in time" in await asyncio.wait_for(reader.read(), 10)
            writer.close()

    asyncio.run(run())
