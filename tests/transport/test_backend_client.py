"""Links to real servers: every way that an attempt can end, and what went over the socket."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from hazelbend.decisions.interface import LoadReport, Outcome
from hazelbend.protocol.worker_lines import LoadReportFields
from hazelbend.routing.ports import AttemptWritten, Job, ProgressReport
from hazelbend.transport.http.backend_client import ConnectionPool, PoolSettings
from tests.support.crossing_kit import OK, ScriptedBackend, chunk
from tests.support.site_kit import wait_until

JOB = Job("9b", 0, 0, 1_000_000, target="/nearby/%31?q=%20+&x=", body=b"a\0b", idempotency_key="k")
DONE = b'{"id":"9b","state":"done","result":"r"}\n'
STARTED = b'{"id":"9b","state":"started"}\n'


class Script:
    """A server that answers each request with given bytes, then closes if told so; it keeps what came."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self.answers, self.close, self.heard, self.connections = list(answers), close, [], 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                self.heard.append(head + await reader.readexactly(size))
                writer.write(self.answers.pop(0))
                await writer.drain()
                if self.close:
                    break
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


@asynccontextmanager
async def linked(script: Script, keepalive: float = 60.0, places: int = 4):
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    pool = ConnectionPool(PoolSettings(0.25, keepalive, places, LoadReportFields({"inflight": "in_flight"})))
    try:
        yield pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), server
    finally:
        server.close()
        await pool.close()


def test_an_attempt_is_written_in_the_turn_of_its_last_check():
    """Guards a busy process, in which the next turn comes late: the time that its server is told was over
    by then. Given an attempt with a body, when it is checked, then its bytes go out before all else."""
    events = []

    def check() -> int:
        asyncio.get_running_loop().call_soon(events.append, "another callback")
        events.append("checked")
        return 500_000

    async def run() -> None:
        async with linked(Script([CASES["done"][0]])) as (link, _):
            await link.attempt(JOB, check, lambda message: events.append(type(message).__name__))

    asyncio.run(run())
    assert events[:3] == ["checked", "AttemptWritten", "another callback"]


def attempt(script: Script, times: int = 1):
    """The endings of so many attempts, one after the other, and the news."""

    async def run():
        news = []
        async with linked(script) as (link, _):
            return [await link.attempt(JOB, lambda: 500_000, news.append) for _ in range(times)], news

    return asyncio.run(run())


REFUSED = (
    b'HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nX-Server-Load: {"inflight":7}\r\nContent-Length: 0\r\n\r\n'
)
CASES = {
    "done": (OK + chunk(STARTED) + chunk(DONE) + b"0\r\n\r\n", Outcome.SERVED),
    "two lines in one chunk": (OK + chunk(STARTED + DONE) + b"0\r\n\r\n", Outcome.SERVED),
    "a line over two chunks": (OK + chunk(DONE[:9]) + chunk(DONE[9:]) + b"0\r\n\r\n", Outcome.SERVED),
    "failed": (OK + chunk(b'{"id":"9b","state":"failed"}\n') + b"0\r\n\r\n", Outcome.ERROR),
    "returned": (OK + chunk(b'{"id":"9b","state":"returned"}\n') + b"0\r\n\r\n", Outcome.FULL),
    "lost": (OK + chunk(b'{"id":"9b","state":"lost"}\n') + b"0\r\n\r\n", Outcome.RESET),
    "500": (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    "503, not processed": (REFUSED, Outcome.FULL),
    "503 that may have run": (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    "a redirect is not followed": (
        b"HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        Outcome.ERROR,
    ),
    "closed at once": (b"", Outcome.RESET),
    "closed after the start": (OK + chunk(STARTED), Outcome.RESET),
    "closed within a line": (OK + chunk(DONE[:-1]), Outcome.RESET),
    "ended before the last line": (OK + chunk(STARTED) + b"0\r\n\r\n", Outcome.RESET),
    "not HTTP": (b"SSH-2.0\r\n\r\n", Outcome.RESET),
    "not JSON": (OK + chunk(b"hello\n"), Outcome.ERROR),
    "another's job": (OK + chunk(DONE.replace(b"9b", b"9c")), Outcome.ERROR),
    "an endless line": (OK + chunk(b"x" * 600_000), Outcome.ERROR),
}


@pytest.mark.parametrize("name", CASES)
def test_each_way_that_an_attempt_ends(name):
    answer, outcome = CASES[name]
    script = Script(answer, close=True)
    [ending], _ = attempt(script)
    assert ending.outcome is outcome
    assert len(script.heard) == 1, "no attempt is sent again by itself"


def test_the_result_news_and_load_come_through():
    [ending], news = attempt(Script(CASES["done"][0]))
    assert ending.result == b"r" and news == [AttemptWritten(), ProgressReport()]
    [ending], _ = attempt(Script(REFUSED))
    assert ending.load == LoadReport(in_flight=7.0)


def test_method_target_body_and_ids_pass_on_as_they_came():
    script = Script(CASES["done"][0])
    attempt(script)
    head, _, body = script.heard[0].partition(b"\r\n\r\n")
    first, *rows = head.split(b"\r\n")
    assert first == b"POST /nearby/%31?q=%20+&x= HTTP/1.1" and body == JOB.body
    assert {b"X-Request-ID: 9b", b"Idempotency-Key: k", b"X-Timeout-Ms: 500"} <= set(rows)
    assert not [row for row in rows if row.lower().startswith((b"accept", b"user-agent", b"cookie"))]


def test_an_empty_query_is_not_lost():
    """Guards against yarl, which drops the mark of a query that is empty."""

    async def run():
        script = Script(CASES["done"][0])
        async with linked(script) as (link, _):
            await link.attempt(replace(JOB, target="/nearby/1?"), lambda: 500_000, lambda news: None)
        assert script.heard[0].startswith(b"POST /nearby/1? HTTP/1.1\r\n")

    asyncio.run(run())


def test_a_connection_is_used_again_after_a_whole_answer():
    script = Script(*[CASES["done"][0]] * 3)
    endings, _ = attempt(script, 3)
    assert [each.outcome for each in endings] == [Outcome.SERVED] * 3
    assert script.connections == 1


def test_an_idle_connection_is_dropped_before_the_servers_limit():
    """Guards against a request written to a connection that the server closes at that moment: a reset."""

    async def run():
        script = Script(*[CASES["done"][0]] * 2)
        async with linked(script, keepalive=0.2) as (link, _):
            await link.attempt(JOB, lambda: 500_000, lambda news: None)
            await asyncio.sleep(0.15)  # over what is kept of the limit of 0.2 s, and under the limit
            await link.attempt(JOB, lambda: 500_000, lambda news: None)
        assert script.connections == 2

    asyncio.run(run())


def test_a_refused_connection_never_ran():
    async def run():
        async with linked(Script()) as (link, server):
            server.close()
            await server.wait_closed()
            assert (
                await link.attempt(JOB, lambda: 500_000, lambda news: None)
            ).outcome is Outcome.CONNECT_FAILED
            assert (await link.probe(100_000)).outcome is Outcome.CONNECT_FAILED

    asyncio.run(run())


def test_a_cancelled_attempt_closes_its_connection():
    """Guards against work that goes on at a server though nobody waits for it."""

    async def run():
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"a\0b")
            writer.write(OK + chunk(STARTED))
            await reader.read()
            closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(PoolSettings(0.25, 60.0, 4, LoadReportFields({})))
        link, started = pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), asyncio.Event()
        task = asyncio.create_task(link.attempt(JOB, lambda: 500_000, lambda news: started.set()))
        await asyncio.wait_for(started.wait(), 10)
        task.cancel()
        await asyncio.wait_for(closed.wait(), 10)
        server.close()
        await pool.close()

    asyncio.run(run())


def test_a_reset_on_a_kept_connection_is_told_apart():
    """Guards against shutting out a server that is well for a connection that had died since its last use."""

    async def run():
        script = Script(CASES["done"][0], b"")
        async with linked(script) as (link, _):
            first = await link.attempt(JOB, lambda: 500_000, lambda news: None)
            script.close = True  # the next request on the kept connection is read, then reset
            stale = await link.attempt(JOB, lambda: 500_000, lambda news: None)
            script.answers.append(b"")
            fresh = await link.attempt(JOB, lambda: 500_000, lambda news: None)
        return [(each.outcome, each.stale) for each in (first, stale, fresh)]

    assert asyncio.run(run()) == [
        (Outcome.SERVED, False),
        (Outcome.RESET, True),
        (Outcome.RESET, False),
    ]


def test_a_want_of_places_is_no_fault_of_the_server():
    """Guards against our own queue looking like a server that cannot be reached: it was shut out for that."""

    async def run():
        script = Script(b"", *[CASES["done"][0]] * 2)
        async with linked(script, places=1) as (link, _):
            held = asyncio.create_task(link.attempt(JOB, lambda: 500_000, lambda news: None))
            while not script.heard:
                await asyncio.sleep(0.005)
            second = await link.attempt(JOB, lambda: 500_000, lambda news: None)
            held.cancel()
            await asyncio.gather(held, return_exceptions=True)
            third = await link.attempt(JOB, lambda: 500_000, lambda news: None)
        return second.outcome, third.outcome

    assert asyncio.run(run()) == (Outcome.NOT_SENT, Outcome.SERVED)


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_ones(monkeypatch):
    """Guards a request of an unsafe class: a second answer, `never ran`, that came on the resting
    connection was taken for the answer to the next request there, which had run."""

    async def run():
        backend = ScriptedBackend()
        await backend.listen()
        pool = ConnectionPool(PoolSettings(0.25, 60.0, 4, LoadReportFields({})))
        client = pool.client(f"127.0.0.1:{backend.port}")
        first = await client.attempt(JOB, lambda: 500_000, lambda news: None)
        backend.writers[0].write(REFUSED)
        connector = pool.session.connector
        await wait_until(lambda: any(held.should_close for held, _ in next(iter(connector._conns.values()))))
        second = await client.attempt(JOB, lambda: 500_000, lambda news: None)
        backend.close()
        await pool.close()
        return first.outcome, second.outcome, backend

    first, second, backend = asyncio.run(run())
    assert (first, second) == (Outcome.SERVED, Outcome.SERVED)
    assert backend.connections == 2 and len(backend.requests) == 2


@pytest.mark.parametrize("size", [1, 8_000_000], ids=["after the last byte", "before it"])
def test_a_reset_once_the_request_is_handed_to_the_socket_may_have_run(size):
    """Of a body that the socket's buffers do not hold the last byte may not have gone out: nobody tells,
    so it is held to have run, which costs a repeat and does no harm."""

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            if size == 1:
                await reader.readexactly(1)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(PoolSettings(0.25, 60.0, 4, LoadReportFields({})))
        client, told = pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), []
        ending = await client.attempt(replace(JOB, body=b"x" * size), lambda: 500_000, told.append)
        server.close()
        await pool.close()
        return ending.outcome, told

    assert asyncio.run(run()) == (Outcome.RESET, [AttemptWritten()])


def test_idle_connections_are_no_more_than_there_are_places():
    """Guards the descriptors: each backend that had been used held one for as long as its keep-alive, however
    many backends there were; the longest idle goes first."""

    async def run():
        backends = [ScriptedBackend() for _ in range(5)]
        pool = ConnectionPool(PoolSettings(0.25, 60.0, 3, LoadReportFields({})))
        for backend in backends:
            await backend.listen()
            client = pool.client(f"127.0.0.1:{backend.port}")
            assert (await client.attempt(JOB, lambda: 500_000, lambda news: None)).outcome is Outcome.SERVED
        resting = sum(map(len, pool.session.connector._conns.values()))
        await wait_until(lambda: backends[0].closed and backends[1].closed)
        last = pool.client(f"127.0.0.1:{backends[4].port}")
        await last.attempt(JOB, lambda: 500_000, lambda news: None)
        await wait_until(lambda: backends[2].closed)
        closed = [backend.closed for backend in backends]
        for backend in backends:
            backend.close()
        await pool.close()
        return resting, closed, backends[4].connections

    assert asyncio.run(run()) == (3, [1, 1, 1, 0, 0], 1)
