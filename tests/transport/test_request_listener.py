"""The router's listener for clients, on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from hazelbend.forwarding.ports import ClientRequest, ClientResponse
from hazelbend.transport.connection_memory import (
    HEAD_COPIES,
    MIN_STALL_S,
    ConnectionMemory,
    connection_limits,
)
from hazelbend.transport.http.request_listener import RequestListener
from tests.support.socket_kit import HOST, TIMEOUT_S, eventually, exchange

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


HEAD = b"POST /x/1?q=%20a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nDeadline-Ms: 900\r\n"


@pytest.fixture
async def listener():
    """A listener whose `serve` a test sets."""

    class ScriptedListener(RequestListener):
        serve: Callable[[ClientRequest, ClientResponse], Awaitable[None]]

        async def forward(self, request: ClientRequest, response: ClientResponse) -> None:
            self.received.append(request)
            await self.serve(request, response)

    created = ScriptedListener.__new__(ScriptedListener)
    created.received = []
    RequestListener.__init__(
        created, created.forward, lambda: 0, 100, ConnectionMemory(connection_limits(256))
    )
    await created.listen(HOST, 0)
    yield created
    await created.close()


async def test_request_arrives_complete_without_hop_by_hop_headers(listener):
    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.answer(201, (("Server-Signature", "s"),), b"done")

    listener.serve = serve
    fields = b"X-Drop: 1\r\nConnection: keep-alive, x-drop\r\nModel: m\r\nTransfer-Encoding: chunked\r\n\r\n"
    raw_response = await exchange(listener.port, HEAD + fields + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
    [request] = listener.received
    assert (request.target, request.body, request.timeout_us) == ("/x/1?q=%20a", b"abc", 900_000)
    assert dict(request.headers) == {"Model": "m"}
    assert (
        raw_response.startswith(b"HTTP/1.1 201")
        and b"Server-Signature: s" in raw_response
        and raw_response.endswith(b"done")
    )


async def test_events_are_forwarded_as_they_arrive(listener):
    may_continue = asyncio.Event()

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.begin(200, (("Content-Type", "text/event-stream"),))
        await response.write(b"id: 1\n\n")
        await may_continue.wait()
        await response.write(b"id: 2\n\n")
        await response.finish()

    listener.serve = serve
    reader, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    async with asyncio.timeout(TIMEOUT_S):
        first = await reader.readuntil(b"id: 1\n\n")
        may_continue.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
    assert b"200" in first and b"id: 2" in rest
    writer.close()


async def test_aborted_stream_is_not_terminated_as_complete(listener):
    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.begin(200, ())
        await response.write(b"id: 1\n\n")
        response.abort()

    listener.serve = serve
    raw_response = await exchange(listener.port, HEAD + b"Content-Length: 0\r\n\r\n")
    assert b"0\r\n\r\n" not in raw_response


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (HEAD + b"Content-Length: 50\r\n\r\n", b"413"),
        (HEAD + b"X-Long: " + b"a" * 3_000 + b"\r\nContent-Length: 0\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", b"400"),
        (HEAD.replace(b"900", b"9x") + b"Content-Length: 0\r\n\r\n", b"400"),
    ],
)
async def test_malformed_or_too_large_requests_are_rejected(listener, request_bytes, status):
    listener.max_body_bytes, listener.max_header_bytes = 40, 2_000
    raw_response = await exchange(listener.port, request_bytes)
    assert raw_response.split(b" ")[1] == status and listener.received == []


async def test_client_disconnect_cancels_its_request(listener):
    ended = asyncio.Event()

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    listener.serve = serve
    _, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    await eventually(lambda: bool(listener.received))
    writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        await ended.wait()


# --- uploads that end as their connection is about to be closed ---

UPLOAD = HEAD + b"Content-Length: 4\r\n\r\nab"


async def upload_in_progress(listener):
    """Begin an upload; returns the client's streams and the listener's connection."""

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.answer(201, (), b"done")

    listener.serve = serve
    reader, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(UPLOAD)
    await eventually(lambda: any(connection._current_request for connection in listener._open))
    [connection] = listener._open
    return reader, writer, connection


@pytest.mark.parametrize("close", ["time out", "evict"])
async def test_upload_whose_end_has_just_been_read_is_served_and_gets_no_408(listener, close):
    """Guards a machine that stood still, and one that drains: the request got 408 and was served."""
    reader, writer, connection = await upload_in_progress(listener)
    connection.data_received(b"cd")
    if close == "time out":
        connection.enforce_deadline(connection.deadline + 100.0)
    else:
        connection.last_active_at -= 100.0
        listener._evict_connection()
    async with asyncio.timeout(TIMEOUT_S):
        assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 201")
    assert len(listener.received) == 1
    writer.close()


async def test_request_whose_connection_was_closed_before_it_was_handed_on_is_not_served(listener):
    """Guards an unsafe request whose client was told that it would not be executed."""
    reader, writer, connection = await upload_in_progress(listener)
    connection.data_received(b"cd")
    connection.force_close()
    async with asyncio.timeout(TIMEOUT_S):
        assert await reader.read() == b""
    assert listener.received == []
    writer.close()


async def test_body_that_finds_no_memory_is_rejected_with_a_promise_that_it_is_not_executed(listener):
    """Guards against many bodies at once that take more memory than the process has."""
    other = listener.memory.open_account(lambda: None, lambda: False)
    assert other.charge(1_000_000, 0.0)
    listener.memory.held_bytes = listener.memory.limits.held_bytes - 1_000
    raw_response = await exchange(listener.port, HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 8_000)
    assert raw_response.startswith(b"HTTP/1.1 503") and b"Retry-After: " in raw_response
    assert not listener.received


async def test_stalled_body_is_evicted_for_a_request_that_finds_no_memory(listener):
    """Guards against bodies that stop short of their end and keep ordinary requests out."""

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.answer(200, (), b"done")

    listener.serve = serve
    stalled_reader, stalled_writer = await asyncio.open_connection(HOST, listener.port)
    stalled_writer.write(HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 8_000)
    await eventually(lambda: listener.memory.held_bytes > 8_000)
    [connection] = listener._open
    connection._account.progressed_at -= MIN_STALL_S
    listener.memory.held_bytes = listener.memory.limits.held_bytes
    raw_response = await exchange(listener.port, HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nab")
    assert raw_response.startswith(b"HTTP/1.1 200")
    assert (await stalled_reader.read()).startswith(b"HTTP/1.1 503")
    stalled_writer.close()


@pytest.mark.parametrize("endless", [b"\r\n", b"Name: %s\r\n" % (b"v" * 200)], ids=["empty lines", "fields"])
async def test_head_without_end_is_rejected_once_it_exceeds_its_limit(listener, endless):
    """Guards against a head that is measured only once it is complete."""
    listener.max_header_bytes = 1_000
    start = b"" if endless == b"\r\n" else HEAD
    raw_response = await exchange(listener.port, start + endless * (10_000 // len(endless)))
    assert raw_response.startswith(b"HTTP/1.1 431")


async def test_large_bodies_arrive_whole_on_a_kept_connection_while_reading_is_paused(listener):
    """Guards against input that was dropped when a body arrived faster than it was read."""
    size = 2_000_000

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.answer(200, (), b"%d" % len(request.body))

    listener.serve = serve
    reader, writer = await asyncio.open_connection(HOST, listener.port)
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    for _ in range(3):
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
        assert (await reader.readuntil(b"%d" % size)).startswith(b"HTTP/1.1 200")
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 32 + b"0\r\n\r\n")
        assert (await reader.readuntil(b"%d" % (32 * 65_536))).startswith(b"HTTP/1.1 200")
    writer.close()


@pytest.mark.parametrize(
    "fields",
    [b"Long: " + b"x" * 16_000 + b"\r\n", b"".join(b"f%d: %9d\r\n" % (each, each) for each in range(900))],
    ids=["one long field", "many short fields"],
)
async def test_head_within_its_limit_is_accepted_however_its_fields_are_divided(listener, fields):
    """Guards proper requests: a field of over 8,190 bytes got 431, and more than 128 fields 400."""

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await response.answer(200, (), b"%d" % len(request.headers))

    listener.serve = serve
    raw_response = await exchange(listener.port, HEAD + fields + b"Content-Length: 2\r\n\r\nab")
    assert raw_response.startswith(b"HTTP/1.1 200")
    assert raw_response.endswith(b"%d" % fields.count(b"\r\n"))


async def test_request_that_is_being_served_keeps_its_memory_while_others_are_rejected(listener):
    """Guards requests that a worker may be executing: they were read completely, and must not be ended."""
    may_answer = asyncio.Event()

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await may_answer.wait()
        await response.answer(200, (), b"%d" % len(request.body))

    listener.serve = serve
    body = b"Content-Length: 8000\r\n\r\n" + b"x" * 8_000
    served = asyncio.create_task(exchange(listener.port, HEAD + body))
    await eventually(lambda: listener.received)
    [connection] = listener._open
    connection._account.progressed_at -= MIN_STALL_S
    listener.memory.held_bytes = listener.memory.limits.held_bytes
    assert (await exchange(listener.port, HEAD + body)).startswith(b"HTTP/1.1 503")
    may_answer.set()
    assert (await served).endswith(b"8000")


async def test_requests_that_wait_behind_others_stay_charged_until_they_are_answered(listener):
    """Guards against memory of pipelined requests that nobody counts once the first one is answered."""
    may_answer = asyncio.Semaphore(1)

    async def serve(request: ClientRequest, response: ClientResponse) -> None:
        await may_answer.acquire()
        await response.answer(200, (), b"done")

    listener.serve = serve
    long_head = HEAD + b"Long: " + b"x" * 1_000 + b"\r\nContent-Length: 0\r\n\r\n"
    reader, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(long_head * 4)
    await eventually(lambda: len(listener.received) == 2)
    assert listener.memory.held_bytes >= 3 * HEAD_COPIES * 1_000
    for _ in range(3):
        may_answer.release()
    await eventually(lambda: len(listener.received) == 4)
    writer.close()
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S)
    await eventually(lambda: listener.memory.held_bytes == 0)
