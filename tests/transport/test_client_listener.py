"""The client listener: invalid, slow and disconnecting clients, connection limits and closing."""

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
    """Send the chunks, then EOF if `end` is set; return all that is received until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for chunk in data:
        writer.write(chunk)
        await writer.drain()
    if end:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return answer


async def open_keep_alive(port: int, job_id: str = "first"):
    """Open a connection on which one request has been answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request(job_id))
    assert (await reader.readuntil(b"did " + job_id.encode())).startswith(b"HTTP/1.1 200 ")
    return reader, writer


CHUNKED = "Transfer-Encoding: chunked\r\n"
INVALID_REQUESTS = {
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
    "a class that contradicts the path": (
        request(more="X-Priority-Class: reserve\r\nIdempotency-Key: k\r\nConnection: close\r\n"),
        400,
    ),
    "a class that does not exist": (
        request(more="Connection: close\r\n").replace(b"/nearby/", b"/bogus/"),
        400,
    ),
    "a key with a byte that is not ASCII": (
        request(more="Connection: close\r\nIdempotency-Key: \r\n").replace(b"Key: ", b"Key: \x80"),
        400,
    ),
    "a negative timeout": (request(more="Connection: close\r\n").replace(b"4000", b"-400"), 400),
    "no HTTP": (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
    "a line that is too long": (b"POST /" + b"x" * 10_000 + b" HTTP/1.1\r\n\r\n", 431),
    "a field that is too long": (request(more=f"X-Long: {'x' * 10_000}\r\n"), 431),
    "a declared body over the limit": (request(more="Connection: close\r\n", body=b"x" * 65_537), 413),
    "a length that is not a number": (
        b"POST /nearby/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
        400,
    ),
    "no id": (request(job_id="", more="Connection: close\r\n"), 400),
    "a timeout that is not a number": (request(more="Connection: close\r\n").replace(b"4000", b"soon"), 400),
    "a fragment": (request(more="Connection: close\r\n").replace(b"/17", b"/17#x"), 400),
    "another method": (b"DELETE /nearby/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 405),
}


def test_invalid_request_gets_its_error_status_and_serving_continues(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            for name, (data, status) in INVALID_REQUESTS.items():
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


def test_connection_is_usable_after_an_invalid_request(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            bad = request().replace(b"ege-volt", b"nobody")
            answer = await send_and_receive(
                app.client_listener.port, bad + request(more="Connection: close\r\n")
            )
            assert answer.startswith(b"HTTP/1.1 400 ") and answer.count(b"HTTP/1.1 200 ") == 1

    asyncio.run(run())


def test_expect_100_continue_gets_a_continue_response(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            answer = await send_and_receive(
                app.client_listener.port, request(more="Expect: 100-continue\r\nConnection: close\r\n")
            )
            assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ")

    asyncio.run(run())


def test_connections_above_the_limit_are_not_kept_alive(tmp_path):
    """Guards the limit on sockets: idle client connections must not use up the descriptors for backends."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            app.client_listener.connection_limit = 1
            running = asyncio.create_task(send_and_receive(app.client_listener.port, request("run", b"300")))
            await wait_until(lambda: app.router.requests)
            assert b"\r\nConnection: close\r\n" in await send_and_receive(app.client_listener.port, request())
            app.client_listener.connection_limit = 0
            assert b"\r\nConnection: close\r\n" in await running

    asyncio.run(run())


def test_fragmented_requests_are_served_and_garbage_does_no_harm(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            good = request(more="Connection: close\r\n")
            for seed in range(25):
                chunks = [chunk for chunk in pieces(good, seed) if chunk]
                assert b" 200 " in await send_and_receive(app.client_listener.port, *chunks)
                wrong = garbage(good, seed)
                if random.Random(seed).random() < 0.5:
                    wrong = b"\0" + wrong
                answer = await send_and_receive(app.client_listener.port, wrong, end=True)
                assert not answer or answer.startswith(b"HTTP/1.")
            await wait_until(lambda: not app.router.requests)

    asyncio.run(run())


def test_client_disconnect_cancels_its_job(tmp_path):
    """Guards against backends that continue work whose client has disconnected: wasted work is charged."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            _, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request(body=b"hang"))
            await wait_until(lambda: toy.started_job_ids)
            writer.close()
            await wait_until(lambda: toy.jobs_in_flight == 0 and not app.router.requests)
            assert app.router.counters.abandoned == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    ("body", "status"),
    [(b"1", 200), (b"return", 503), (b"1 fail", 503), (b"hang", 503)],
    ids=["done", "full", "fail", "late"],
)
def test_each_job_outcome_maps_to_its_status(tmp_path, body, status):
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


def test_job_that_may_have_run_fails_where_a_retry_is_unsafe(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            data = request(body=b"hang", timeout=400, more="Connection: close\r\nIdempotency-Key: k\r\n")
            assert (
                await send_and_receive(app.client_listener.port, data.replace(b"/nearby", b"/reserve"))
            ).startswith(b"HTTP/1.1 504 ")
            lost = data.replace(b"/nearby", b"/reserve").replace(b"hang", b"fail")
            assert (await send_and_receive(app.client_listener.port, lost)).startswith(b"HTTP/1.1 50")

    asyncio.run(run())


def test_stop_accepting_closes_idle_connections_and_lets_busy_ones_finish(tmp_path):
    """Guards against connections that stay open but are not read: requests sent on them would be lost."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            idle, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request())
            assert (await idle.read(65_536)).startswith(b"HTTP/1.1 200 ")
            data = request("slow", b"100")
            reader, busy = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            busy.write(data[:-2])  # the rest of its body follows later
            await wait_until(lambda: app.client_listener.connections == 2)
            running = asyncio.create_task(send_and_receive(app.client_listener.port, request("run", b"200")))
            await wait_until(lambda: app.router.requests)
            app.client_listener.stop_accepting()
            assert await asyncio.wait_for(idle.read(), 10) == b""
            busy.write(data[-2:])
            for answer in await asyncio.gather(running, asyncio.wait_for(reader.read(), 10)):
                assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
            for open_writer in (writer, busy):
                open_writer.close()

    asyncio.run(run())


def test_request_that_arrives_as_accepting_stops_is_answered(tmp_path):
    """Guards a client that sends on its idle connection just as it is closed: the request lay unread in the
    kernel, closing reset the connection, and the request, which counts as accepted, was lost."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            idle = [await asyncio.open_connection("127.0.0.1", app.client_listener.port) for _ in range(8)]
            for number, (reader, writer) in enumerate(idle):
                writer.write(request(f"first{number}"))
                assert (await reader.read(65_536)).startswith(b"HTTP/1.1 200 ")
            for number, (_, writer) in enumerate(idle):
                handle = writer.get_extra_info("socket")
                os.write(handle.fileno(), request(f"second{number}"))  # within this iteration of the loop
            app.client_listener.stop_accepting()
            for reader, writer in idle:
                answer = await asyncio.wait_for(reader.read(), 10)
                assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
                writer.close()

    asyncio.run(run())


def test_request_id_of_an_open_job_is_rejected(tmp_path):
    """Guards the open job: backends identify a job by its id and would confuse the two."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            running = asyncio.create_task(
                send_and_receive(app.client_listener.port, request(body=b"200", more="Connection: close\r\n"))
            )
            await wait_until(lambda: toy.started_job_ids)
            again = await send_and_receive(app.client_listener.port, request(more="Connection: close\r\n"))
            assert again.startswith(b"HTTP/1.1 409 ") and b" 200 " in await running
            assert toy.started_job_ids == ["9b"] and app.router.counters.received == 1
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, request(more="Connection: close\r\n")
            )

    asyncio.run(run())


@pytest.fixture
def short_timeouts(monkeypatch):
    """Shorten the client timeouts. The defaults must close a silent connection within 3 s."""
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
def test_silent_or_slow_client_times_out(tmp_path, short_timeouts, name):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            assert app.client_listener.request_timeout_s == 0.2
            data, status = SLOW[name]
            answer = await send_and_receive(app.client_listener.port, data)
            assert answer[9:12] == status
            await wait_until(lambda: app.client_listener.connections == 0)
            assert app.router.counters.received == 0

    asyncio.run(run())


def test_keep_alive_connection_may_idle_but_a_slow_request_times_out(tmp_path, short_timeouts):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            for job in ("a", "b"):
                writer.write(request(job, b"400"))  # the job takes longer than the request timeout
                assert b" 200 " in await reader.readuntil(b"did " + job.encode())
                await asyncio.sleep(0.3)
            writer.write(request("c")[:40])
            assert (await asyncio.wait_for(reader.read(), 10)).startswith(b"HTTP/1.1 408 ")
            writer.close()

    asyncio.run(run())


def test_silent_connections_are_evicted_before_used_ones(tmp_path):
    """Guards active clients: silent connections once used up all descriptors."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            app.client_listener.connection_limit = 4
            used = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            used[1].write(request("kept"))
            assert b" 200 " in await used[0].readuntil(b"did kept")
            data = request("run", b"300", more="Connection: close\r\n")
            running = asyncio.create_task(send_and_receive(app.client_listener.port, data))
            await wait_until(lambda: "run" in toy.started_job_ids)
            silent = []
            for _ in range(20):
                silent.append(await asyncio.open_connection("127.0.0.1", app.client_listener.port))
            await wait_until(lambda: app.client_listener.connections <= 4)
            assert b"HTTP/1.1 200 " in await send_and_receive(
                app.client_listener.port, request("new", more="Connection: close\r\n")
            )
            assert await asyncio.wait_for(silent[0][0].read(), 10) == b"", (
                "the oldest silent one is evicted first"
            )
            used[1].write(request("again"))
            assert b" 200 " in await used[0].readuntil(b"did again"), "silent ones are evicted before it"
            assert b" 200 " in await running, "a connection that is being served is never evicted"
            for _, writer in (used, *silent):
                writer.close()

    asyncio.run(run())


def test_repeated_invalid_requests_are_delayed(tmp_path):
    """Guards the other clients: one connection used to get responses as fast as the program could write."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            bad = request().replace(b"/nearby/", b"/bogus/")
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await send_and_receive(
                app.client_listener.port, bad * 3 + request(more="Connection: close\r\n")
            )
            assert answer.count(b"HTTP/1.1 400 ") == 3 and answer.count(b"HTTP/1.1 200 ") == 1
            assert loop.time() - started_at >= client_listener.INVALID_REQUEST_DELAY_S * (1 + 2)

    asyncio.run(run())


def test_error_in_one_deadline_check_does_not_stop_the_sweep(tmp_path, short_timeouts, monkeypatch):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            enforce_deadline, faults = client_connection.ClientConnection.enforce_deadline, []

            def faulty(connection, now):
                if not faults:
                    faults.append(connection)
                    raise OSError("injected by the test")
                enforce_deadline(connection, now)

            monkeypatch.setattr(client_connection.ClientConnection, "enforce_deadline", faulty)
            assert (
                await asyncio.gather(*(send_and_receive(app.client_listener.port) for _ in range(3)))
                == [b""] * 3
            )
            assert len(faults) == 1

    asyncio.run(run())
