"""The STOMP listener on loopback: each request gets one final answer, across disconnects and reconnects."""

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


async def connect_client(
    port: int, login: str = "dashboard", ack: str = "auto", **headers: str
) -> FakeStompClient:
    peer = await FakeStompClient.connect(port, login, **headers)
    assert peer.frames[0].command == "CONNECTED", peer.frames
    peer.send("SUBSCRIBE", ack=ack, **ANSWERS)
    return peer


async def post_job(
    port: int, request_id: str, body: bytes, job_class: str = "nearby", timeout: int = 4_000
) -> int:
    """Send a job over HTTP/1.1 and return the status."""
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
async def worker_and_client(folder):
    """Run a site whose only backend is a STOMP worker, with one connected client."""
    async with site(folder, toys=0) as (app, _):
        worker = await FakeStompWorker.connect(app.stomp.port, "box-1")
        worker.send("SUBSCRIBE", **WORK)
        await wait_until(lambda: app.stomp_workers.connected == 1)
        yield app, worker, await connect_client(app.stomp.port)


def job_id_of(request_id: str) -> str:
    """Return the id by which backends identify a STOMP job; it is the same after a restart."""
    return blake2b(f"dashboard\0{request_id}".encode(), digest_size=16).hexdigest()


def test_each_request_over_http_and_stomp_gets_one_final_answer(tmp_path):
    """Clients and backends use both protocols; final answers are counted against accepted requests."""

    async def run():
        async with site(tmp_path, toys=1) as (app, [toy]):
            port = app.stomp.port
            worker = await FakeStompWorker.connect(port, "box-1")
            worker.send("SUBSCRIBE", **WORK)
            await wait_until(lambda: app.stomp_workers.connected == 1)
            peer = await connect_client(port)
            leaving = await connect_client(port, "partner")
            leaving.job("gone", b"500", "reserve", tenant="toros-sarj")
            await wait_until(lambda: worker.started_job_ids or toy.started_job_ids)
            await leaving.drop()  # its job continues to run
            bodies = [b"20", b"20 fail", b"20 lose", b"return", b"5 reset", b"hang"]
            plan = [(b, c) for b in bodies for c in ("nearby", "reserve") * 2]
            posts = []
            for number, (body, job_class) in enumerate(plan):
                if number == plan.index((b"hang", "nearby")):  # jobs queued behind it would time out as well
                    await wait_until(lambda: not app.router.requests)
                # Receipts are requested and must not count as answers.
                headers = {"deadline": "1500", "receipt": f"r{number}", "key": f"k{number}"}
                peer.job(f"s{number}", body, job_class, **headers)
                posts.append(
                    asyncio.create_task(
                        post_job(app.client_listener.port, f"h{number}", body, job_class, 1_500)
                    )
                )
                await wait_until(lambda: app.router.counters.received == 2 * len(posts) + 1)
            statuses = await asyncio.gather(*posts)
            await wait_until(lambda: len(peer.answers()) == len(plan))
            await wait_until(lambda: not app.router.requests)
            reconnected = await connect_client(port, "partner")
            await wait_until(lambda: reconnected.answers())
            peer.send("DISCONNECT", receipt="last")
            await wait_until(lambda: peer.closed)

            answers = {**peer.answers(), **reconnected.answers()}
            assert all(len(job_statuses) == 1 for job_statuses in answers.values()), answers
            assert len(answers) + len(statuses) == app.router.counters.received
            assert sum(app.router.counters.verdicts.values()) == app.router.counters.received
            assert len(peer.of("RECEIPT")) == len(plan) + 1
            assert answers["gone"] == ["served"] and leaving.answers() == {}
            served = statuses.count(200) + sum(
                job_statuses == ["served"] for job_statuses in answers.values()
            )
            assert app.router.counters.verdicts[next(iter(app.router.counters.verdicts))] == served
            assert worker.started_job_ids and toy.started_job_ids, (
                "both kinds of backend must have executed jobs"
            )
            ran = {*worker.started_job_ids, *toy.started_job_ids}
            for number, (body, job_class) in enumerate(plan):
                [status], code = answers[f"s{number}"], statuses[number]
                refused = {"s": status == "refused", "h": code == 503}
                if body in (b"20", b"return"):  # under load it may be refused, but it never fails
                    assert status != "failed" and code in (200, 503)
                else:
                    assert status != "served" and code != 200
                for protocol, job_id in (("s", job_id_of(f"s{number}")), ("h", f"h{number}")):
                    # Duplicates are dropped in one zone only: a job that may have run must not be refused.
                    assert not (job_class == "reserve" and job_id in ran and refused[protocol])
            assert 200 in statuses and ["served"] in answers.values()

    asyncio.run(run())


def test_answer_is_redelivered_with_its_message_id_until_acknowledged(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            first = await connect_client(app.stomp.port, ack="client-individual")
            first.job("one", b"1")
            await wait_until(lambda: first.answers())
            sent = first.of("MESSAGE")[0]
            await first.drop()
            second = await connect_client(app.stomp.port, ack="client-individual")
            await wait_until(lambda: second.answers())
            again = second.of("MESSAGE")[0]
            assert again.headers["message-id"] == sent.headers["message-id"]
            assert again.body == sent.body
            second.send("ACK", id=again.headers["ack"], receipt="acked")
            await wait_until(lambda: second.of("RECEIPT"))
            await second.drop()
            third = await connect_client(app.stomp.port, ack="client-individual")
            third.job("one", b"1", receipt="sent")  # the id is known: it attaches and is not run again
            await wait_until(lambda: third.answers())
            assert third.of("MESSAGE")[0].body == sent.body
            assert len(toy.started_job_ids) == app.router.counters.received == 1

    asyncio.run(run())


def test_mailbox_of_a_silent_connected_client_is_kept(tmp_path):
    """Guards against deleting an empty mailbox whose connected client then sends its first job."""

    async def run():
        async with site(tmp_path) as (app, _):
            quiet = await FakeStompClient.connect(app.stomp.port)
            await connect_client(app.stomp.port, client_id="another")
            quiet.job("one", b"1", receipt="taken")
            await wait_until(lambda: quiet.of("RECEIPT"))
            await quiet.drop()
            reconnected = await connect_client(app.stomp.port)
            await wait_until(lambda: reconnected.answers())
            assert reconnected.answers() == {"one": ["served"]}

    asyncio.run(run())


def test_repeated_send_attaches_to_the_running_job(tmp_path):
    async def run():
        async with site(tmp_path) as (app, [toy]):
            peer = await connect_client(app.stomp.port)
            for _ in range(3):
                peer.job("one", b"100", "reserve", key="k")
            await wait_until(lambda: peer.answers())
            peer.send("DISCONNECT", receipt="end")
            await wait_until(lambda: peer.closed)
            assert peer.answers() == {"one": ["served"]}
            assert len(toy.started_job_ids) == 1

    asyncio.run(run())


def test_deadline_is_answered_before_the_client_times_out(tmp_path):
    async def run():
        async with site(tmp_path) as (app, _):
            peer = await connect_client(app.stomp.port)
            peer.job("late", b"hang", "reserve", deadline="300")
            await wait_until(lambda: app.router.requests)
            accepted = list(app.router.requests.values())
            await wait_until(lambda: peer.answers())
            assert peer.answers() == {"late": ["failed"]}
            assert peer.of("MESSAGE")[0].headers["reason"] == "deadline"
            [open_request] = accepted
            assert open_request.job.timeout_us < 300_000, (
                "part of the client's timeout is reserved for the response"
            )

    asyncio.run(run())


def test_lost_worker_resets_its_jobs_and_is_removed(tmp_path):
    async def run():
        async with worker_and_client(tmp_path) as (app, worker, peer):
            [server] = app.router.table.servers.values()
            assert server.entry.started_at > app.router.started_at, "a worker that connects is in slow start"
            peer.job("one", b"hang", "reserve")
            await wait_until(lambda: worker.started_job_ids)
            await worker.drop()
            await wait_until(lambda: peer.answers())
            assert peer.answers() == {"one": ["failed"]}, "it may have run, so it is not refused"
            assert not app.router.table.servers

    asyncio.run(run())


def test_unsubscribed_worker_finishes_its_jobs_and_gets_no_new_ones(tmp_path):
    async def run():
        async with worker_and_client(tmp_path) as (app, worker, peer):
            peer.job("first", b"20")
            await wait_until(lambda: worker.started_job_ids)
            worker.send("UNSUBSCRIBE", id="w")
            await wait_until(lambda: not next(iter(app.router.table.servers.values())).accepts_work)
            peer.job("second", b"20", deadline="300")
            await wait_until(lambda: len(peer.answers()) == 2)
            assert peer.answers() == {"first": ["served"], "second": ["refused"]}
            assert len(worker.started_job_ids) == 1

    asyncio.run(run())


def test_second_connection_of_a_worker_replaces_the_first(tmp_path):
    """Guards a worker that reconnects before its old connection is detected as dead."""

    async def run():
        async with worker_and_client(tmp_path) as (app, worker, peer):
            peer.job("one", b"hang", "reserve", deadline="500")
            await wait_until(lambda: worker.started_job_ids)
            second = await FakeStompWorker.connect(app.stomp.port, "box-1")
            second.send("SUBSCRIBE", **WORK)
            await wait_until(lambda: worker.closed)
            assert "taken its place" in worker.of("ERROR")[0].headers["message"]
            peer.job("two", b"1")
            await wait_until(lambda: len(peer.answers()) == 2)
            # The first job was reset; its retry may use a backend of the same zone, and it did.
            assert peer.answers() == {"one": ["failed"], "two": ["served"]}
            assert worker.started_job_ids[0] in second.started_job_ids and len(second.started_job_ids) == 2
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
                for chunk in pieces(hello + garbage(subscribe * 2, seed), seed):
                    writer.write(chunk)
                writer.write_eof()
                answer = await asyncio.wait_for(reader.read(), 10)
                assert answer.startswith(b"CONNECTED\n")
                writer.close()
            await wait_until(lambda: app.stomp.connections == 0)

    asyncio.run(run())


def test_deadline_cancels_the_job_at_its_worker(tmp_path):
    async def run():
        async with worker_and_client(tmp_path) as (_app, worker, peer):
            peer.job("one", b"hang", deadline="300")
            await wait_until(lambda: worker.cancelled)
            assert worker.cancelled == worker.started_job_ids

    asyncio.run(run())


def rejected_frames() -> dict[str, tuple[str, dict[str, str]]]:
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


def test_unsupported_frame_gets_an_error_and_a_close(tmp_path):
    async def run():
        async with site(tmp_path) as (app, _):
            for message, (command, headers) in rejected_frames().items():
                peer = await connect_client(app.stomp.port)
                peer.send(command, receipt="r", **headers)
                await wait_until(lambda peer=peer: peer.closed)
                [error] = peer.of("ERROR")
                assert message in error.headers["message"]
                assert not peer.of("RECEIPT")
            unauthenticated = await FakeStompClient.connect(app.stomp.port, "dashboard", passcode="guess")
            await wait_until(lambda: unauthenticated.closed)
            assert [frame.command for frame in unauthenticated.frames] == ["ERROR"]
            old = await FakeStompClient.connect(app.stomp.port, accept_version="1.0")
            assert old.frames[0].headers["version"] == "1.1,1.2", "the specification requires listing them"
            other = await connect_client(app.stomp.port, "partner")
            other.job("1", tenant="ege-volt")
            await wait_until(lambda: other.closed)
            assert "may not send for that tenant" in other.of("ERROR")[0].headers["message"]
            assert app.router.counters.received == 0

    asyncio.run(run())


def test_full_mailbox_refuses_jobs_and_silent_client_is_disconnected(tmp_path):
    async def run():
        settings = "waiting = 1\nheart_beat_in_ms = 50\n"
        async with site(tmp_path, stomp=STOMP.replace("[[client]]", settings + "[[client]]", 1)) as (app, _):
            peer = await connect_client(app.stomp.port)
            peer.job("one", b"100")
            peer.job("two", b"100")
            await wait_until(lambda: len(peer.answers()) == 2)
            assert peer.answers() == {"one": ["served"], "two": ["refused"]}
            assert float(peer.of("MESSAGE")[0].headers["retry-after"]) > 0
            silent = await connect_client(app.stomp.port, heart_beat="50,50")
            await wait_until(lambda: silent.closed)
            assert "nothing came in time" in silent.of("ERROR")[0].headers["message"]

    asyncio.run(run())


def test_total_mailbox_size_is_limited_and_acknowledged_answers_are_dropped_first(tmp_path):
    """Guards memory: a client may use many identities, each with its own mailbox."""

    async def run():
        text = STOMP.replace("[[client]]", "total_bytes = 65536\n[[client]]", 1)
        async with site(tmp_path, stomp=text) as (app, _):
            first, second = (
                await connect_client(app.stomp.port),
                await connect_client(app.stomp.port, client_id="b"),
            )
            first.job("one", b"1 ".ljust(60_000))
            await wait_until(lambda: first.answers())  # the bytes of its job are released
            second.job("two", b"hang ".ljust(65_500), deadline="1000")
            await wait_until(lambda: app.router.requests)
            first.job("three", b"1 ".ljust(100))
            await wait_until(lambda: len(first.answers()) == 2 and second.answers())
            assert first.answers() == {"one": ["served"], "three": ["refused"]}
            first.job("four", b"1 ".ljust(60_000))
            await wait_until(lambda: len(first.answers()) == 3)
            assert first.answers()["four"] == ["served"]

    asyncio.run(run())


def test_client_that_does_not_read_is_disconnected(tmp_path):
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


class RecordingListener(stomp.ConnectionListener):
    def __init__(self):
        self.messages, self.receipts = [], []

    def on_message(self, frame):
        self.messages.append(frame)

    def on_receipt(self, frame):
        self.receipts.append(frame)


def test_stomp_py_works_with_both_protocol_versions(tmp_path):
    """Checks this implementation of the specification against an independent client library."""

    def send_job(port, kind, number):
        listener, connection = RecordingListener(), kind([("127.0.0.1", port)], heartbeats=(1_000, 1_000))
        connection.set_listener("", listener)
        connection.connect("dashboard", SECRET, wait=True, headers={"client-id": str(number)})
        connection.subscribe("/hazelbend/answers", id="1", ack="client-individual")
        headers = {"class": "reserve", "tenant": "ege-volt", "request-id": "a:b\\c", "key": "üsküdar"}
        connection.send("/hazelbend/jobs", "1", headers=headers, receipt="taken")
        return listener, connection

    async def run():
        async with site(tmp_path) as (app, [toy]):
            for number, kind in enumerate((stomp.Connection11, stomp.Connection12)):
                listener, connection = await asyncio.to_thread(send_job, app.stomp.port, kind, number)
                await wait_until(lambda listener=listener: listener.messages)
                [message] = listener.messages
                assert message.headers["status"] == "served"
                assert message.headers["request-id"] == "a:b\\c"
                assert "did" in message.body
                assert [frame.headers["receipt-id"] for frame in listener.receipts] == ["taken"]
                await asyncio.to_thread(connection.disconnect)
            assert toy.targets == ["/reserve/%C3%BCsk%C3%BCdar"] * 2

    asyncio.run(run())


def test_frames_of_the_fakes_are_parsed_by_stomp_py():
    frame = stomp.utils.parse_frame(write_frame("SEND", {"destination": "/a:b"}, b"x\x00y")[:-1])
    assert frame.cmd == "SEND"
    assert frame.headers["destination"] == "/a:b"


def test_unauthenticated_connections_are_evicted_for_new_ones(tmp_path):
    """Guards the connection limit: silent connections once used up all of it for 10 s."""

    async def run():
        text = STOMP.replace("[[client]]", "connections = 3\n[[client]]", 1)
        async with site(tmp_path, stomp=text) as (app, _):
            authenticated = await FakeStompClient.connect(app.stomp.port)
            silent = [await asyncio.open_connection("127.0.0.1", app.stomp.port) for _ in range(8)]
            await wait_until(lambda: app.stomp.connections == 3)
            peer = await FakeStompClient.connect(app.stomp.port, "partner")
            assert peer.of("CONNECTED") and not authenticated.closed and app.stomp.connections <= 3
            assert b"others wait" in await asyncio.wait_for(silent[0][0].read(), 10)
            for _, writer in silent:
                writer.close()

    asyncio.run(run())


def test_connection_without_connect_frame_times_out(tmp_path, monkeypatch):
    assert stomp_session.CONNECT_TIMEOUT_S < 3.0
    monkeypatch.setattr(stomp_session, "CONNECT_TIMEOUT_S", 0.05)

    async def run():
        async with site(tmp_path) as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.stomp.port)
            writer.write(b"CONNECT\nlogin:dash")
            assert b"no CONNECT came in time" in await asyncio.wait_for(reader.read(), 10)
            writer.close()

    asyncio.run(run())
