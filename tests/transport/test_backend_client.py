"""The HTTP backend client against scripted servers: every outcome of an attempt, and the bytes it sends."""

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
from tests.support.race_kit import OK_HEAD, ScriptedBackend, chunk
from tests.support.scripted_worker import Connection, running_worker
from tests.support.site_kit import wait_until

CONNECT_TIMEOUT_S = 5.0  # sufficient on a busy machine; no test here is about this timeout
JOB = Job("9b", 0, 0, 1_000_000, target="/nearby/%31?q=%20+&x=", body=b"a\0b", idempotency_key="k")
DONE = b'{"id":"9b","state":"done","result":"r"}\n'
STARTED = b'{"id":"9b","state":"started"}\n'


class ScriptedServer:
    """A server that records requests and answers them with given bytes. `close`: it closes after each."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self.answers, self.close, self.requests, self.connections = list(answers), close, [], 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                self.requests.append(head + await reader.readexactly(size))
                writer.write(self.answers.pop(0))
                await writer.drain()
                if self.close:
                    break
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def connected_client(scripted: ScriptedServer, keepalive: float = 60.0, max_connections: int = 4):
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    pool = ConnectionPool(
        PoolSettings(
            CONNECT_TIMEOUT_S, keepalive, max_connections, LoadReportFields({"inflight": "in_flight"})
        )
    )
    try:
        yield pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), server
    finally:
        server.close()
        await pool.close()


def test_attempt_is_written_in_the_same_loop_iteration_as_its_last_check():
    """Guards a busy process, where the next loop iteration starts late: the remaining time sent to the server
    had passed by then. After the check, the attempt's bytes are written before any other callback runs."""
    events = []

    def check() -> int:
        asyncio.get_running_loop().call_soon(events.append, "another callback")
        events.append("checked")
        return 500_000

    async def run() -> None:
        async with connected_client(ScriptedServer(CASES["done"][0])) as (client, _):
            await client.attempt(JOB, check, lambda message: events.append(type(message).__name__))

    asyncio.run(run())
    assert events[:3] == ["checked", "AttemptWritten", "another callback"]


def run_attempts(scripted: ScriptedServer, times: int = 1):
    """Run `times` attempts in sequence; return their results and the progress updates."""

    async def run():
        updates = []
        async with connected_client(scripted) as (client, _):
            return [await client.attempt(JOB, lambda: 500_000, updates.append) for _ in range(times)], updates

    return asyncio.run(run())


NOT_PROCESSED = (
    b'HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nX-Server-Load: {"inflight":7}\r\nContent-Length: 0\r\n\r\n'
)
CASES = {
    "done": (OK_HEAD + chunk(STARTED) + chunk(DONE) + b"0\r\n\r\n", Outcome.SERVED),
    "two lines in one chunk": (OK_HEAD + chunk(STARTED + DONE) + b"0\r\n\r\n", Outcome.SERVED),
    "a line over two chunks": (OK_HEAD + chunk(DONE[:9]) + chunk(DONE[9:]) + b"0\r\n\r\n", Outcome.SERVED),
    "failed": (OK_HEAD + chunk(b'{"id":"9b","state":"failed"}\n') + b"0\r\n\r\n", Outcome.ERROR),
    "returned": (OK_HEAD + chunk(b'{"id":"9b","state":"returned"}\n') + b"0\r\n\r\n", Outcome.FULL),
    "lost": (OK_HEAD + chunk(b'{"id":"9b","state":"lost"}\n') + b"0\r\n\r\n", Outcome.RESET),
    "500": (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    "503, not processed": (NOT_PROCESSED, Outcome.FULL),
    "503 that may have run": (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    "a redirect is not followed": (
        b"HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        Outcome.ERROR,
    ),
    "closed at once": (b"", Outcome.RESET),
    "closed after the start": (OK_HEAD + chunk(STARTED), Outcome.RESET),
    "closed within a line": (OK_HEAD + chunk(DONE[:-1]), Outcome.RESET),
    "ended before the last line": (OK_HEAD + chunk(STARTED) + b"0\r\n\r\n", Outcome.RESET),
    "status 000": (NOT_PROCESSED.replace(b"503", b"000"), Outcome.RESET),
    "status 101": (NOT_PROCESSED.replace(b"503", b"101"), Outcome.RESET),
    "status 999": (NOT_PROCESSED.replace(b"503", b"999"), Outcome.RESET),
    "not HTTP": (b"SSH-2.0\r\n\r\n", Outcome.RESET),
    "not JSON": (OK_HEAD + chunk(b"hello\n"), Outcome.ERROR),
    "another's job": (OK_HEAD + chunk(DONE.replace(b"9b", b"9c")), Outcome.ERROR),
    "an endless line": (OK_HEAD + chunk(b"x" * 600_000), Outcome.ERROR),
}


@pytest.mark.parametrize("name", CASES)
def test_each_response_maps_to_its_outcome(name):
    answer, outcome = CASES[name]
    scripted = ScriptedServer(answer, close=True)
    [result], _ = run_attempts(scripted)
    assert result.outcome is outcome
    assert len(scripted.requests) == 1, "the client does not retry by itself"


def test_result_progress_and_load_report_are_returned():
    [result], updates = run_attempts(ScriptedServer(CASES["done"][0]))
    assert result.result == b"r" and updates == [AttemptWritten(), ProgressReport()]
    [result], _ = run_attempts(ScriptedServer(NOT_PROCESSED))
    assert result.load == LoadReport(in_flight=7.0)


def test_method_target_body_and_ids_are_forwarded_unchanged():
    scripted = ScriptedServer(CASES["done"][0])
    run_attempts(scripted)
    head, _, body = scripted.requests[0].partition(b"\r\n\r\n")
    first, *rows = head.split(b"\r\n")
    assert first == b"POST /nearby/%31?q=%20+&x= HTTP/1.1" and body == JOB.body
    assert {b"X-Request-ID: 9b", b"Idempotency-Key: k", b"X-Timeout-Ms: 500"} <= set(rows)
    assert not [row for row in rows if row.lower().startswith((b"accept", b"user-agent", b"cookie"))]


def test_empty_query_is_preserved():
    """Guards against yarl, which drops the question mark of an empty query."""

    async def run():
        scripted = ScriptedServer(CASES["done"][0])
        async with connected_client(scripted) as (client, _):
            await client.attempt(replace(JOB, target="/nearby/1?"), lambda: 500_000, lambda update: None)
        assert scripted.requests[0].startswith(b"POST /nearby/1? HTTP/1.1\r\n")

    asyncio.run(run())


def test_connection_is_reused_after_a_complete_response():
    scripted = ScriptedServer(*[CASES["done"][0]] * 3)
    results, _ = run_attempts(scripted, 3)
    assert [result.outcome for result in results] == [Outcome.SERVED] * 3
    assert scripted.connections == 1


def test_idle_connection_is_closed_before_the_server_closes_it():
    """Guards against a reset: a request written to a connection that the server closes at the same time."""

    async def run():
        scripted = ScriptedServer(*[CASES["done"][0]] * 2)
        async with connected_client(scripted, keepalive=0.2) as (client, _):
            await client.attempt(JOB, lambda: 500_000, lambda update: None)
            await asyncio.sleep(0.15)  # beyond the client's keep-alive timeout, below the server's 0.2 s
            await client.attempt(JOB, lambda: 500_000, lambda update: None)
        assert scripted.connections == 2

    asyncio.run(run())


def test_refused_connection_is_reported_as_connect_failed():
    async def run():
        async with connected_client(ScriptedServer()) as (client, server):
            server.close()
            await server.wait_closed()
            assert (
                await client.attempt(JOB, lambda: 500_000, lambda update: None)
            ).outcome is Outcome.CONNECT_FAILED
            assert (await client.probe(100_000)).outcome is Outcome.CONNECT_FAILED

    asyncio.run(run())


def test_cancelled_attempt_closes_its_connection():
    """Guards against a server that continues work that is no longer wanted."""

    async def run():
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"a\0b")
            writer.write(OK_HEAD + chunk(STARTED))
            await reader.read()
            closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 60.0, 4, LoadReportFields({})))
        client, started = pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), asyncio.Event()
        task = asyncio.create_task(client.attempt(JOB, lambda: 500_000, lambda update: started.set()))
        await asyncio.wait_for(started.wait(), 10)
        task.cancel()
        await asyncio.wait_for(closed.wait(), 10)
        server.close()
        await pool.close()

    asyncio.run(run())


def test_reset_on_a_reused_connection_is_marked_stale():
    """Guards against ejecting a healthy server because a pooled connection broke since its last use."""

    async def run():
        scripted = ScriptedServer(CASES["done"][0], b"")
        async with connected_client(scripted) as (client, _):
            first = await client.attempt(JOB, lambda: 500_000, lambda update: None)
            scripted.close = True  # the next request on the pooled connection is read, then reset
            stale = await client.attempt(JOB, lambda: 500_000, lambda update: None)
            scripted.answers.append(b"")
            fresh = await client.attempt(JOB, lambda: 500_000, lambda update: None)
        return [(result.outcome, result.stale) for result in (first, stale, fresh)]

    assert asyncio.run(run()) == [
        (Outcome.SERVED, False),
        (Outcome.RESET, True),
        (Outcome.RESET, False),
    ]


def test_attempt_above_the_connection_limit_is_not_sent():
    """Guards against ejecting a server as unreachable because the local connection limit was reached."""

    async def run():
        scripted = ScriptedServer(b"", *[CASES["done"][0]] * 2)
        async with connected_client(scripted, max_connections=1) as (client, _):
            in_flight = asyncio.create_task(client.attempt(JOB, lambda: 500_000, lambda update: None))
            while not scripted.requests:
                await asyncio.sleep(0.005)
            second = await client.attempt(JOB, lambda: 500_000, lambda update: None)
            in_flight.cancel()
            await asyncio.gather(in_flight, return_exceptions=True)
            third = await client.attempt(JOB, lambda: 500_000, lambda update: None)
        return second.outcome, third.outcome

    assert asyncio.run(run()) == (Outcome.NOT_SENT, Outcome.SERVED)


def test_late_second_response_is_not_matched_to_the_next_request(monkeypatch):
    """Guards a request that must not run twice: a second response, `not processed`, that arrived on the idle
    connection was taken for the response to the next request there, which had run."""

    async def run():
        backend = ScriptedBackend()
        await backend.listen()
        pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 60.0, 4, LoadReportFields({})))
        client = pool.client(f"127.0.0.1:{backend.port}")
        first = await client.attempt(JOB, lambda: 500_000, lambda update: None)
        backend.writers[0].write(NOT_PROCESSED)
        connector = pool.session.connector
        await wait_until(lambda: any(idle.should_close for idle, _ in next(iter(connector._conns.values()))))
        second = await client.attempt(JOB, lambda: 500_000, lambda update: None)
        backend.close()
        await pool.close()
        return first.outcome, second.outcome, backend

    first, second, backend = asyncio.run(run())
    assert (first, second) == (Outcome.SERVED, Outcome.SERVED)
    assert backend.connections == 2 and len(backend.requests) == 2


def test_surplus_rejection_is_not_matched_to_the_next_job():
    """Guards a job that must not run twice: the copy of a rejection, which names no job, arrived where the
    response to the next job was due, which had run."""
    served = OK_HEAD + chunk(DONE) + b"0\r\n\r\n"

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(NOT_PROCESSED if number == 1 else served)
        await connection.request()
        await connection.send(NOT_PROCESSED + served)

    async def run():
        pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 60.0, 4, LoadReportFields({})))
        async with running_worker(script) as backend:
            client = pool.client(backend.address)
            results = [await client.attempt(JOB, lambda: 500_000, lambda update: None) for _ in range(2)]
            await pool.close()
            return [result.outcome for result in results]

    assert asyncio.run(run()) == [Outcome.FULL, Outcome.SERVED]


def test_surplus_head_before_a_response_does_not_turn_it_into_a_rejection():
    """Guards a job that must not run twice: the response was read as the end of a surplus `not processed`."""
    served = OK_HEAD + chunk(DONE) + b"0\r\n\r\n"
    surplus = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nX-Note: "

    async def run():
        scripted = ScriptedServer(served, surplus + served)
        async with connected_client(scripted) as (client, _):
            return [await client.attempt(JOB, lambda: 500_000, lambda update: None) for _ in range(2)]

    first, second = asyncio.run(run())
    assert (first.outcome, second.outcome) == (Outcome.SERVED, Outcome.RESET)


@pytest.mark.parametrize("size", [1, 8_000_000], ids=["after the last byte", "before it"])
def test_reset_after_the_request_was_passed_to_the_socket_counts_as_possibly_run(size):
    """If the body does not fit into the socket's buffers, its last byte may not have been sent. This cannot
    be detected, so the request counts as possibly executed, which costs a retry and does no harm."""

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
        pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 60.0, 4, LoadReportFields({})))
        client, updates = pool.client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), []
        result = await client.attempt(replace(JOB, body=b"x" * size), lambda: 500_000, updates.append)
        server.close()
        await pool.close()
        return result.outcome, updates

    assert asyncio.run(run()) == (Outcome.RESET, [AttemptWritten()])


def test_idle_connections_stay_within_the_connection_limit():
    """Guards the file descriptors: each used backend held one for its keep-alive time, however many backends
    there were. The longest idle connection is closed first."""

    async def run():
        backends = [ScriptedBackend() for _ in range(5)]
        pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 60.0, 3, LoadReportFields({})))
        for backend in backends:
            await backend.listen()
            client = pool.client(f"127.0.0.1:{backend.port}")
            assert (await client.attempt(JOB, lambda: 500_000, lambda update: None)).outcome is Outcome.SERVED
        idle_count = sum(map(len, pool.session.connector._conns.values()))
        await wait_until(lambda: backends[0].closed and backends[1].closed)
        last = pool.client(f"127.0.0.1:{backends[4].port}")
        await last.attempt(JOB, lambda: 500_000, lambda update: None)
        await wait_until(lambda: backends[2].closed)
        closed = [backend.closed for backend in backends]
        for backend in backends:
            backend.close()
        await pool.close()
        return idle_count, closed, backends[4].connections

    assert asyncio.run(run()) == (3, [1, 1, 1, 0, 0], 1)
