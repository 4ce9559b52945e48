"""Races in a router's calls to workers, on real sockets: docs/design/0008-worker-calls.md.

The worker is a raw socket server that a script of the test controls step by step.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from hazelbend.forwarding.errors import (
    InvalidResponseError,
    NotSentError,
    OutcomeUnknownError,
    ResponseBrokenError,
)
from hazelbend.forwarding.ports import ClientRequest, WorkerCall
from hazelbend.transport.http import aiohttp_client
from hazelbend.transport.http.worker_client import HttpWorkerClient
from tests.support.scripted_worker import HOST, TEST_TIMEOUT_S, Connection, ScriptedWorker, running_worker
from tests.support.socket_kit import eventually

pytestmark = pytest.mark.anyio
LARGE = b"0123456789abcdef" * 262_144  # 4 MiB, more than the kernel buffers


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def response_to(
    number: int, body: bytes = b"ok", status: bytes = b"200 OK", extra_headers: bytes = b""
) -> bytes:
    headers = b"HTTP/1.1 %b\r\nRequest-Id: q%d\r\n%bContent-Length: %d\r\n\r\n"
    return headers % (status, number, extra_headers, len(body)) + body


@pytest.fixture
async def client() -> AsyncIterator[HttpWorkerClient]:
    created = HttpWorkerClient(10)
    yield created
    await created.close()


def call(worker: ScriptedWorker, number: int, body: bytes = b"xy", method: str = "POST") -> WorkerCall:
    request = ClientRequest(f"q{number}", method, "/a", "h", (), body, 0, None)
    return WorkerCall(worker.address, request, (("Expect-Instance", "i-1"),))


async def fetch_body(client: HttpWorkerClient, call: WorkerCall) -> bytes:
    """Send a call and return the complete body of its response."""
    response = await client.send(call, lambda: 1_000_000)
    try:
        return await response.body()
    finally:
        response.close()


# --- reused connections ---


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_call_is_not_resent_when_its_reused_connection_ends(client, method, ending):
    requests = []

    async def script(connection: Connection, number: int) -> None:
        requests.append(await connection.request())
        await connection.send(response_to(1))
        requests.append(await connection.request())
        getattr(connection, ending)()

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1, b"", method)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await fetch_body(client, call(worker, 2, b"", method))
        await asyncio.sleep(0.05)
        assert [b"q2" in request for request in requests] == [False, True] and worker.connections == 1


@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_closed_connection_is_detected_before_the_first_byte_of_the_next_call(
    client, ending, monkeypatch
):
    """The worker ends the connection in the loop iteration in which the call is written, before the loop has
    read that. No byte is lost: the call is sent on another connection."""
    ends, original_send = [], aiohttp_client.CheckedRequest.send

    async def send(request, connection):
        if ends:
            ends.pop()()
            time.sleep(0.02)  # noqa: ASYNC251 - lets the kernel receive it; the loop must not run
        return await original_send(request, connection)

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(number))
        if number == 1:
            ends.append(getattr(connection, ending))
        await asyncio.sleep(TEST_TIMEOUT_S)

    monkeypatch.setattr(aiohttp_client.CheckedRequest, "send", send)
    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        await asyncio.sleep(0.02)
        assert await fetch_body(client, call(worker, 2)) == b"ok" and worker.connections == 2


async def test_planted_library_retry_is_detected(monkeypatch):
    """Shows that these tests detect the defect: with the library's own retry one call runs twice."""
    original_open_session = aiohttp_client.open_session

    def retrying(*arguments: object, **options: object):
        session = original_open_session(*arguments, **options)
        session._retry_connection = True
        return session

    monkeypatch.setattr(aiohttp_client, "open_session", retrying)
    client = HttpWorkerClient(10)
    requests = []

    async def script(connection: Connection, number: int) -> None:
        while True:
            requests.append(await connection.request())
            if len(requests) == 2:
                return
            await connection.send(response_to(len(requests) - (len(requests) > 2)))

    async with running_worker(script) as worker:
        await fetch_body(client, call(worker, 1, b"", "GET"))
        with contextlib.suppress(OutcomeUnknownError):
            await fetch_body(client, call(worker, 2, b"", "GET"))
        await client.close()
    assert sum(b"Request-Id: q2" in request for request in requests) == 2


async def test_late_response_to_another_request_is_rejected(client):
    may_continue = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1))
        await connection.request()
        await connection.send(response_to(1, b"late") + response_to(2))
        await may_continue.wait()

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await fetch_body(client, call(worker, 2))
        may_continue.set()


@pytest.mark.parametrize("late", [response_to(1, b""), response_to(1, b"late")])
async def test_connection_with_a_mismatched_response_is_not_reused(client, late):
    """The late response is complete at once; the next call would read the response it displaced."""

    async def script(connection: Connection, number: int) -> None:
        if number == 2:
            await connection.request()
            await connection.send(response_to(3))
            return
        await connection.request()
        await connection.send(response_to(1))
        await connection.request()
        await connection.send(late)
        await connection.request()
        await connection.send(response_to(2))

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await fetch_body(client, call(worker, 2))
        assert await fetch_body(client, call(worker, 3)) == b"ok" and worker.connections == 2


@pytest.mark.parametrize("status", [b"503 Full", b"500 Bad"])
async def test_response_on_a_reused_connection_must_have_a_request_id(client, status):
    """Without an id it may be a late response to the previous request: `Not-Executed` must be ignored."""
    response_without_id = b"HTTP/1.1 %b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" % status

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1) if number == 1 else response_without_id)
        await connection.request()
        await connection.send(response_without_id)

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await client.send(call(worker, 2), lambda: 1_000_000)
        fresh = await client.send(call(worker, 3), lambda: 1_000_000)
        assert fresh.not_executed, "there is no other request on a new connection"
        fresh.close()


# --- bodies and responses ---


async def test_early_response_is_accepted_and_no_other_bytes_replace_the_body(client):
    """The worker responds after the headers, keeps the connection open, and reads on once the next call has
    started."""
    may_continue, bodies = asyncio.Event(), []

    async def script(connection: Connection, number: int) -> None:
        if number > 1:
            await connection.request()
            await connection.send(response_to(2))
            return
        await connection.read_headers()
        await connection.send(response_to(1, b"too long", b"413 Large"))
        await may_continue.wait()
        with contextlib.suppress(EOFError, OSError):
            bodies.append(await connection.read_exactly(len(LARGE)))

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1, LARGE)) == b"too long"
        second = asyncio.create_task(fetch_body(client, call(worker, 2)))
        assert await second == b"ok", "it does not wait behind bytes that the worker leaves unread"
        may_continue.set()
        await asyncio.sleep(0.1)
    assert all(body == LARGE for body in bodies)


@pytest.mark.parametrize(
    "malformed",
    [b"XX\r\n", b"-1\r\n", b" 2\r\nok\r\n", b"fffffffffffffffff\r\n", b"2\r\nokXX", b"2;a=\x01\r\nok\r\n",
     b"0\r\nA\x01: b\r\n\r\n", b"0\r\n A: b\r\n\r\n", b"0\r\nContent-Length: 2\r\n\r\n"],
)  # fmt: skip
@pytest.mark.parametrize("reads_chunks", [False, True])
async def test_malformed_chunk_breaks_the_response_at_once(client, malformed, reads_chunks):
    # The worker keeps the connection open. The head has been passed on, and the body is being read.
    head_was_read = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(
            b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
        )
        await head_was_read.wait()
        await connection.send(malformed)
        await connection.request()

    async with running_worker(script) as worker:
        response = await client.send(call(worker, 1), lambda: 1_000_000)
        head_was_read.set()
        with pytest.raises(ResponseBrokenError):
            if reads_chunks:
                async for _ in response.chunks():
                    pass
            else:
                await response.body()
        response.close()


async def test_reset_within_the_body_means_an_unknown_outcome(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.read_headers()
        connection.reset()

    async with running_worker(script) as worker:
        with pytest.raises(OutcomeUnknownError):
            await fetch_body(client, call(worker, 1, LARGE))


async def test_call_with_bytes_in_the_kernel_never_counts_as_not_sent(client):
    """The headers are sent and the connection is lost before the body is sent: the call may have run."""
    headers_received = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.read_headers()
        headers_received.set()
        await asyncio.sleep(0.05)
        connection.reset()

    async with running_worker(script) as worker:
        sending = asyncio.create_task(client.send(call(worker, 1, LARGE), lambda: 1_000_000))
        await headers_received.wait()
        with pytest.raises(OutcomeUnknownError):
            await sending


async def test_call_on_a_refused_connection_counts_as_not_sent(client):
    sock = socket.socket()
    sock.bind((HOST, 0))

    class ClosedWorker:
        address = f"{HOST}:{sock.getsockname()[1]}"

    with pytest.raises(NotSentError):
        await client.send(call(ClosedWorker, 1), lambda: 1_000_000)
    sock.close()


async def test_interim_responses_are_skipped(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(b"HTTP/1.1 102 Processing\r\n\r\n" + response_to(1))
        await connection.request()

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"


# --- cancelled calls ---


@pytest.mark.parametrize("at", ["head", "body"])
async def test_response_to_a_cancelled_call_does_not_reach_another_call(client, at):
    """Cancelled before the response headers or within the body: the connection is closed, and the next call
    uses another one."""
    may_continue, part_sent = asyncio.Event(), asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        if number == 2:
            await connection.send(response_to(2))
            return
        part = response_to(1, b"one and two")
        await connection.send(part[:-4] if at == "body" else b"")
        part_sent.set()
        await may_continue.wait()
        await connection.send(part if at == "head" else part[-4:])

    async with running_worker(script) as worker:
        first = asyncio.create_task(fetch_body(client, call(worker, 1)))
        await part_sent.wait()
        await asyncio.sleep(0.02)
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        second = asyncio.create_task(fetch_body(client, call(worker, 2)))
        may_continue.set()
        assert await second == b"ok" and worker.connections == 2


async def test_call_cancelled_while_connecting_writes_nothing(client):
    requests = []

    async def script(connection: Connection, number: int) -> None:
        requests.append(await connection.read_headers())

    async with running_worker(script) as worker:
        sending = asyncio.create_task(client.send(call(worker, 1), lambda: 1_000_000))
        await asyncio.sleep(0)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        await asyncio.sleep(0.05)
    assert requests == []


async def test_free_handle_ignores_a_connection_with_late_bytes(client):
    may_continue = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1))
        await may_continue.wait()
        await connection.send(response_to(1))

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        may_continue.set()
        await asyncio.sleep(0.05)
        await client.free_handle(worker.address, "i-1", "h1")


# --- surplus bytes ---


async def test_head_with_a_second_status_line_is_an_invalid_response(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(b"HTTP/1.1 421 Mis" + response_to(1))

    async with running_worker(script) as worker:
        with pytest.raises(InvalidResponseError):
            await client.send(call(worker, 1), lambda: 1_000_000)


SURPLUS_HEADS = [
    response_to(1, b"", b"421 Misdirected Request", b"Instance-Id: i-2\r\n"),
    response_to(1, b"", b"503 Busy", b"Not-Executed: 1\r\nRetry-After: 1\r\n"),
    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    response_to(1, b"another body", extra_headers=b"Server-Signature: s\r\n"),
]


@pytest.mark.parametrize("surplus", SURPLUS_HEADS)
async def test_surplus_bytes_cut_at_any_place_never_change_the_response_that_follows_them(client, surplus):
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1))
        await connection.request()
        await connection.send(surplus[:number])
        await connection.send(response_to(2, b"true"))

    async with running_worker(script) as worker:
        while worker.connections < len(surplus):
            assert await fetch_body(client, call(worker, 1)) == b"ok"
            try:
                response = await client.send(call(worker, 2), lambda: 1_000_000)
            except OutcomeUnknownError:
                continue
            assert (response.status, response.not_executed, await response.body()) == (200, False, b"true")


async def test_reason_phrase_that_is_not_utf_8_is_accepted(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1, status=b"200 \xe9\xff"))

    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"


async def test_next_send_of_a_request_uses_a_connection_without_late_responses_to_its_earlier_sends(client):
    """Prefill and decode calls of a request, and its retries, have the same id."""
    used_connections: set[object] = set()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(1, b"%d" % number))
        await connection.request()
        await connection.send(response_to(1, b"late"))

    async with running_worker(script) as worker:
        for number in (b"1", b"2"):
            sent = replace(call(worker, 1), used_connections=used_connections)
            assert await fetch_body(client, sent) == number


async def test_worker_that_writes_before_the_request_is_given_up_after_one_connection(client, monkeypatch):
    """Guards a worker that was connected to again and again until the deadline of the request."""
    original_send = aiohttp_client.CheckedRequest.send

    async def send(request, connection):
        await eventually(lambda: connection.protocol.should_close)
        return await original_send(request, connection)

    async def script(connection: Connection, number: int) -> None:
        await connection.send(response_to(1))
        await asyncio.sleep(TEST_TIMEOUT_S)

    monkeypatch.setattr(aiohttp_client.CheckedRequest, "send", send)
    async with running_worker(script) as worker:
        with pytest.raises(NotSentError):
            await client.send(call(worker, 1), lambda: 1_000_000)
        assert worker.connections == 1


async def test_connection_with_a_part_of_a_surplus_head_is_not_used_again(client):
    """Guards the next request there: the rest of the surplus head broke its response."""
    surplus_due = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(response_to(number))
        await surplus_due.wait()
        await connection.send(b"HTTP/1.1 421 Mis")
        await connection.request()
        await connection.send(b"directed Request\r\n\r\n" + response_to(2))

    aiohttp_client.set_keepalive(client.session, 60.0)
    async with running_worker(script) as worker:
        assert await fetch_body(client, call(worker, 1)) == b"ok"
        [(connection, _)] = next(iter(client.session.connector._conns.values()))
        surplus_due.set()
        await eventually(lambda: connection.should_close)
        assert await fetch_body(client, call(worker, 2)) == b"ok"
        assert worker.connections == 2
