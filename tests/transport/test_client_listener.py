"""The edge connections: what clients may do wrong, and what they get; the program goes on."""

import asyncio
import os
import random

import pytest

from hazelbend.transport.http import client_connection, client_listener, http_listener
from tests.support.parser_kit import garbage, pieces
from tests.support.site_kit import site, wait_until

HEAD = (
    "POST /nearby/17 HTTP/1.1\r\nHost: x\r\nX-Request-ID: {}\r\nX-Tenant-Id: ege-volt\r\nX-Timeout-Ms: {}\r\n"
)


def request(job_id: str = "9b", body: bytes = b"1", timeout: int = 4_000, more: str = "") -> bytes:
    return (HEAD.format(job_id, timeout) + f"{more}Content-Length: {len(body)}\r\n\r\n").encode() + body


async def send_and_receive(port: int, *data: bytes, end: bool = False) -> bytes:
    """Send it all, in these pieces, and perhaps an end; what comes back until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in data:
        writer.write(piece)
        await writer.drain()
    if end:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return answer


async def open_keep_alive(port: int, job_id: str = "first"):
    """A connection that has had an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request(job_id))
    assert (await reader.readuntil(b"did " + job_id.encode())).startswith(b"HTTP/1.1 200 ")
    return reader, writer


CHUNKED = "Transfer-Encoding: chunked\r\n"
BAD = {
    "two lengths that differ": (request(more="Content-Length: 5\r\n"), 400),
    "a negative length": (request().replace(b"Length: 1", b"Length: -1"), 400),
    "a huge length": (request().replace(b"Length: 1", b"Length: 99999999999999999999"), 400),
    "a length and chunks": (request(more=CHUNKED, body=b"0\r\n\r\n" + request("hidden")), 400),
    "an encoding that is not known": (request(more="Transfer-Encoding: gzip, chunked\r\n"), 400),
    "chunks that cannot be read": (
        request(more=CHUNKED).replace(b"Content-Length: 1\r\n\r\n", b"\r\nzz\r\n"),
        400,
    ),
    "two ids": (request(more="X-Request-ID: other\r\nConnection: close\r\n"), 400),
    "another class than the path's": (
        request(more="X-Priority-Class: reserve\r\nIdempotency-Key: k\r\nConnection: close\r\n"),
        400,
    ),
    "a class that does not exist": (
        request(more="Connection: close\r\n").replace(b"/nearby/", b"/bogus/"),
        400,
    ),
    "a key that cannot go on": (
        request(more="Connection: close\r\nIdempotency-Key: \r\n").replace(b"Key: ", b"Key: \x80"),
        400,
    ),
    "a time-out below zero": (request(more="Connection: close\r\n").replace(b"4000", b"-400"), 400),
    "no HTTP": (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
    "a line that is too long": (b"POST /" + b"x" * 10_000 + b" HTTP/1.1\r\n\r\n", 431),
    "a field that is too long": (request(more=f"X-Long: {'x' * 10_000}\r\n"), 431),
    "too large a body, as said": (request(more="Connection: close\r\n", body=b"x" * 65_537), 413),
    "a bad length": (b"POST /nearby/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", 400),
    "no id": (request(job_id="", more="Connection: close\r\n"), 400),
    "a time-out of words": (request(more="Connection: close\r\n").replace(b"4000", b"soon"), 400),
    "a fragment": (request(more="Connection: close\r\n").replace(b"/17", b"/17#x"), 400),
    "another method": (b"DELETE /nearby/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 405),
}


def test_bad_input_gets_its_status_and_the_program_goes_on(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            for name, (data, status) in BAD.items():
                answer = await send_and_receive(app.client_listener.port, data)
                assert answer[:13] in (b"HTTP/1.1 %d " % status, b"HTTP/1.0 %d " % status), (name, answer)
            chunked = request(more="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 1\r\n", b"")
            too_much = b"%x\r\n" % 70_000 + b"x" * 70_000 + b"\r\n0\r\n\r\n"
            assert b"HTTP/1.1 413 " in await send_and_receive(
                app.client_listener.port, chunked.partition(b"\r\n\r\n")[0] + b"\r\n\r\n", too_much
            )
            assert app.router.counters.received == 0
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, request(more="Connection: close\r\n")
            )

    asyncio.run(run())


def test_a_connection_is_usable_after_a_bad_request(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            bad = request().replace(b"ege-volt", b"nobody")
            answer = await send_and_receive(
                app.client_listener.port, bad + request(more="Connection: close\r\n")
            )
            assert answer.startswith(b"HTTP/1.1 400 ") and answer.count(b"HTTP/1.1 200 ") == 1

    asyncio.run(run())


def test_a_client_that_waits_to_be_told_to_go_on_is_told(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            answer = await send_and_receive(
                app.client_listener.port, request(more="Expect: 100-continue\r\nConnection: close\r\n")
            )
            assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ")

    asyncio.run(run())


def test_over_the_share_of_descriptors_connections_are_not_kept(tmp_path):
    """Guards the limit on sockets: kept connections of clients must not take what the servers' side needs."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            app.client_listener.connection_limit = 1
            running = asyncio.create_task(send_and_receive(app.client_listener.port, request("run", b"300")))
            await wait_until(lambda: app.router.requests)
            assert b"\r\nConnection: close\r\n" in await send_and_receive(app.client_listener.port, request())
            app.client_listener.connection_limit = 0
            assert b"\r\nConnection: close\r\n" in await running

    asyncio.run(run())


def test_random_cuts_and_garbage_on_the_socket(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            good = request(more="Connection: close\r\n")
            for seed in range(25):
                cut = [piece for piece in pieces(good, seed) if piece]
                assert b" 200 " in await send_and_receive(app.client_listener.port, *cut)
                wrong = garbage(good, seed)
                if random.Random(seed).random() < 0.5:
                    wrong = b"\0" + wrong
                answer = await send_and_receive(app.client_listener.port, wrong, end=True)
                assert not answer or answer.startswith(b"HTTP/1.")
            await wait_until(lambda: not app.router.requests)

    asyncio.run(run())


def test_a_client_that_goes_away_cancels_its_job(tmp_path):
    """Guards against servers' work for nobody: waste is charged."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            _, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request(body=b"hang"))
            await wait_until(lambda: toy.ran)
            writer.close()
            await wait_until(lambda: toy.holds == 0 and not app.router.requests)
            assert app.router.counters.abandoned == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    ("body", "status"),
    [(b"1", 200), (b"return", 503), (b"1 fail", 503), (b"hang", 503)],
    ids=["done", "full", "fail", "late"],
)
def test_each_answer_has_its_status(tmp_path, body, status):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            data = request(body=body, timeout=400, more="Connection: close\r\n")
            answer = await send_and_receive(app.client_listener.port, data)
            assert answer.startswith(b"HTTP/1.1 %d " % status)
            if status == 503 and body != b"hang":
                retry_after = answer.partition(b"Retry-After: ")[2].split(b"\r\n")[0]
                assert float(retry_after) > 0
            if status == 200:
                assert answer.endswith(b"\r\n\r\ntoy-0 did 9b")

    asyncio.run(run())


def test_a_job_that_may_have_run_is_failed_where_a_repeat_may_do_harm(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            data = request(body=b"hang", timeout=400, more="Connection: close\r\nIdempotency-Key: k\r\n")
            assert (
                await send_and_receive(app.client_listener.port, data.replace(b"/nearby", b"/reserve"))
            ).startswith(b"HTTP/1.1 504 ")
            lost = data.replace(b"/nearby", b"/reserve").replace(b"hang", b"fail")
            assert (await send_and_receive(app.client_listener.port, lost)).startswith(b"HTTP/1.1 50")

    asyncio.run(run())


def test_when_the_doors_close_idle_connections_close_and_busy_ones_finish(tmp_path):
    """Guards against connections that stay open and deaf: what clients send on them would be lost."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            kept, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request())
            assert (await kept.read(65_536)).startswith(b"HTTP/1.1 200 ")
            data = request("slow", b"100")
            reader, busy = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            busy.write(data[:-2])  # its body is still to come
            await wait_until(lambda: app.client_listener.connections == 2)
            running = asyncio.create_task(send_and_receive(app.client_listener.port, request("run", b"200")))
            await wait_until(lambda: app.router.requests)
            app.client_listener.stop_accepting()
            assert await asyncio.wait_for(kept.read(), 10) == b""
            busy.write(data[-2:])
            for answer in await asyncio.gather(running, asyncio.wait_for(reader.read(), 10)):
                assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
            for each in (writer, busy):
                each.close()

    asyncio.run(run())


def test_a_request_that_comes_as_the_doors_close_is_answered(tmp_path):
    """Guards a client that sends on its resting connection in the moment of the close: its bytes lay unread
    in the kernel, the connection was reset over them, and the request, which counts as taken, was lost."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            kept = [await asyncio.open_connection("127.0.0.1", app.client_listener.port) for _ in range(8)]
            for number, (reader, writer) in enumerate(kept):
                writer.write(request(f"first{number}"))
                assert (await reader.read(65_536)).startswith(b"HTTP/1.1 200 ")
            for number, (_, writer) in enumerate(kept):
                handle = writer.get_extra_info("socket")
                os.write(handle.fileno(), request(f"second{number}"))  # at once, in this turn of the loop
            app.client_listener.stop_accepting()
            for reader, writer in kept:
                answer = await asyncio.wait_for(reader.read(), 10)
                assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
                writer.close()

    asyncio.run(run())


def test_an_id_that_another_flow_holds_is_turned_away(tmp_path):
    """Guards the flow that holds it: servers know a job by its id, and would take one for the other."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            running = asyncio.create_task(
                send_and_receive(app.client_listener.port, request(body=b"200", more="Connection: close\r\n"))
            )
            await wait_until(lambda: toy.ran)
            again = await send_and_receive(app.client_listener.port, request(more="Connection: close\r\n"))
            assert again.startswith(b"HTTP/1.1 409 ") and b" 200 " in await running
            assert toy.ran == ["9b"] and app.router.counters.received == 1
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, request(more="Connection: close\r\n")
            )

    asyncio.run(run())


@pytest.fixture
def hurried(monkeypatch):
    """Short times for clients; as they stand they must keep within the 3 s that a client is owed."""
    assert http_listener.REQUEST_TIMEOUT_S + 3 * http_listener.SWEEP_PERIOD_S < 3.0
    monkeypatch.setattr(http_listener, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(http_listener, "SWEEP_PERIOD_S", 0.02)


SLOW = {
    "silent": (b"", b""),
    "part of a head": (b"POST /nea", b"408"),
    "part of a body": (request(body=b"x" * 100)[:-50], b"408"),
    "a chunk without end": (
        request(more=CHUNKED).replace(b"Content-Length: 1\r\n\r\n1", b"\r\n5\r\nx"),
        b"408",
    ),
}


@pytest.mark.parametrize("name", SLOW)
def test_a_client_that_is_silent_or_slow_is_given_up(tmp_path, hurried, name):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            assert app.client_listener.request_timeout_s == 0.2
            data, status = SLOW[name]
            answer = await send_and_receive(app.client_listener.port, data)
            assert answer[9:12] == status
            await wait_until(lambda: app.client_listener.connections == 0)
            assert app.router.counters.received == 0

    asyncio.run(run())


def test_a_kept_connection_may_be_idle_but_its_next_request_may_not_be_slow(tmp_path, hurried):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            for job in ("a", "b"):
                writer.write(request(job, b"400"))  # a job may take longer than a client to send it
                assert b" 200 " in await reader.readuntil(b"did " + job.encode())
                await asyncio.sleep(0.3)
            writer.write(request("c")[:40])
            assert (await asyncio.wait_for(reader.read(), 10)).startswith(b"HTTP/1.1 408 ")
            writer.close()

    asyncio.run(run())


def test_room_is_made_for_those_who_ask(tmp_path):
    """Guards the usual clients: connections that say nothing once took all descriptors."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            app.client_listener.connection_limit = 4
            kept = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            kept[1].write(request("kept"))
            assert b" 200 " in await kept[0].readuntil(b"did kept")
            data = request("run", b"300", more="Connection: close\r\n")
            running = asyncio.create_task(send_and_receive(app.client_listener.port, data))
            await wait_until(lambda: "run" in toy.ran)
            silent = []
            for _ in range(20):
                silent.append(await asyncio.open_connection("127.0.0.1", app.client_listener.port))
            await wait_until(lambda: app.client_listener.connections <= 4)
            assert b"HTTP/1.1 200 " in await send_and_receive(
                app.client_listener.port, request("new", more="Connection: close\r\n")
            )
            assert await asyncio.wait_for(silent[0][0].read(), 10) == b"", "the oldest of the silent go first"
            kept[1].write(request("again"))
            assert b" 200 " in await kept[0].readuntil(b"did again"), "who has asked stays before the silent"
            assert b" 200 " in await running, "what is at work is never closed"
            for _, writer in (kept, *silent):
                writer.close()

    asyncio.run(run())


def test_the_same_bad_request_again_at_once_waits_for_its_answer(tmp_path):
    """Guards the others' time: one connection used to get as many answers as the program could write."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            bad = request().replace(b"/nearby/", b"/bogus/")
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await send_and_receive(
                app.client_listener.port, bad * 3 + request(more="Connection: close\r\n")
            )
            assert answer.count(b"HTTP/1.1 400 ") == 3 and answer.count(b"HTTP/1.1 200 ") == 1
            assert loop.time() - began >= client_listener.INVALID_REQUEST_DELAY_S * (1 + 2)

    asyncio.run(run())


def test_a_fault_over_one_connection_does_not_end_the_watch_over_the_others(tmp_path, hurried, monkeypatch):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            look, faults = client_connection.ClientConnection.enforce_deadline, []

            def faulty(connection, now):
                if not faults:
                    faults.append(connection)
                    raise OSError("as the test asks")
                look(connection, now)

            monkeypatch.setattr(client_connection.ClientConnection, "enforce_deadline", faulty)
            assert (
                await asyncio.gather(*(send_and_receive(app.client_listener.port) for _ in range(3)))
                == [b""] * 3
            )
            assert len(faults) == 1

    asyncio.run(run())
