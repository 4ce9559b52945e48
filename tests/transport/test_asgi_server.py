"""The HTTP server of control processes, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from hazelbend.transport.connection_memory import (
    HEAD_COPIES,
    LARGE_REQUEST_BYTES,
    ConnectionMemory,
    connection_limits,
)
from hazelbend.transport.http.asgi_connection import MAX_HEAD_BYTES, MAX_PIPELINED_REQUESTS
from hazelbend.transport.http.asgi_server import AsgiServer, HttpRequest, HttpResponse
from tests.support.socket_kit import HOST, eventually, exchange

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


async def test_requests_get_responses_and_bodies_are_limited():
    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, request.body + request.headers["x-a"].encode(), headers={"X-B": "c"})

    server = AsgiServer(handle, 10, 4, ConnectionMemory(connection_limits(256)))
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    response = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nX-A: z\r\nContent-Length: 2\r\n\r\nab")
    assert response.startswith(b"HTTP/1.1 200") and b"x-b: c" in response and response.endswith(b"abz")
    too_large = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11)
    assert too_large.startswith(b"HTTP/1.1 413")
    await server.close()


async def answer_ok(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b"ok")


def free_memory() -> ConnectionMemory:
    return ConnectionMemory(connection_limits(256))


def full_memory(free_bytes: int) -> ConnectionMemory:
    """A memory in which a request that is being served leaves this much to others."""
    memory = ConnectionMemory(connection_limits(256))
    account = memory.open_account(lambda: None, lambda: False)
    assert account.charge(LARGE_REQUEST_BYTES, 0.0)
    memory.held_bytes = memory.limits.held_bytes - free_bytes
    return memory


@pytest.mark.parametrize(
    ("memory", "sent", "status"),
    [
        (full_memory(100), b"POST /p HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 100, b"503"),
        (free_memory(), b"\r\n" * MAX_HEAD_BYTES, b"431"),
        (
            ConnectionMemory(connection_limits(256)),
            b"GET /p HTTP/1.1\r\nA: " + b"x" * 2 * MAX_HEAD_BYTES,
            b"431",
        ),
    ],
    ids=["no memory", "empty lines", "a field without end"],
)
async def test_request_beyond_a_limit_is_rejected_before_it_is_complete(memory, sent, status):
    """Guards against heads without end, and bodies that no memory is left for."""
    server = AsgiServer(answer_ok, 1_000, 4, memory)
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 " + status)
    writer.close()
    await server.close()


async def test_connection_with_too_many_pipelined_requests_is_closed():
    """Guards against requests that are queued without a bound behind one that is being served."""
    server = AsgiServer(answer_ok, 1_000, 4, ConnectionMemory(connection_limits(256)))
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"GET /p HTTP/1.1\r\n\r\n" * (MAX_PIPELINED_REQUESTS + 10))
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(100_000), 10)
    writer.close()
    response = await exchange(port, b"GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    assert response.endswith(b"ok")
    await server.close()


async def test_head_that_follows_a_large_request_is_measured_by_itself():
    """Guards callers with kept connections: what completes a request is not part of the next head."""
    server = AsgiServer(answer_ok, 100_000, 4, free_memory())
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    for _ in range(3):
        writer.write(b"POST /p HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + b"x" * 90_000)
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        [connection] = server._open
        assert connection._is_idle
        received_bytes = connection._head_bytes
        writer.write(b"GET /p HTTP/1.1\r\nA: b\r\n")
        async with asyncio.timeout(10):
            while connection._head_bytes == received_bytes:
                await asyncio.sleep(0)
        writer.write(b"\r\n")
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
    writer.close()
    await server.close()


async def test_requests_that_wait_behind_others_stay_charged_until_they_are_answered():
    """Guards against memory of pipelined requests that nobody counts once the first one is answered."""
    may_answer = asyncio.Semaphore(1)
    received: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        received.append(request)
        await may_answer.acquire()
        return HttpResponse(200, b"ok")

    server = AsgiServer(handle, 1_000, 4, free_memory())
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write((b"GET /p HTTP/1.1\r\nLong: " + b"x" * 500 + b"\r\n\r\n") * 4)
    await eventually(lambda: len(received) == 2)
    assert server.memory.held_bytes >= 3 * HEAD_COPIES * 500
    for _ in range(3):
        may_answer.release()
    await eventually(lambda: len(received) == 4 and server.memory.held_bytes == 0)
    writer.close()
    await server.close()
