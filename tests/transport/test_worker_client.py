"""The router's HTTP client for workers, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import ClassVar

import pytest

from hazelbend.forwarding.errors import OutcomeUnknownError, SendWithdrawnError, WorkerUnreachableError
from hazelbend.forwarding.ports import ClientRequest, WorkerCall
from hazelbend.transport.http.worker_client import HttpWorkerClient
from tests.support.socket_kit import HOST

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture
async def worker():
    """A worker that sends scripted responses and records the requests."""

    class Worker:
        responses: ClassVar[list[bytes]] = []
        requests: ClassVar[list[bytes]] = []
        connections = 0

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            try:
                while self.responses:
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await reader.readexactly(2)
                    self.requests.append(head + body)
                    writer.write(self.responses.pop(0))
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

    created = Worker()
    created.responses, created.requests = [], []
    server = await asyncio.start_server(created.serve, HOST, 0)
    created.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    yield created
    server.close()


@pytest.fixture
async def client():
    created = HttpWorkerClient(10)
    yield created
    await created.close()


def call_of(worker: object, number: int = 1) -> WorkerCall:
    request = ClientRequest(f"q{number}", "POST", "/a?b", "h", (("Model", "m"),), b"xy", 0, None)
    return WorkerCall(worker.address, request, (("Expect-Instance", "i-1"),))


OK = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Load: 3,1,8\r\nContent-Length: 2\r\n\r\nok"


async def test_call_is_sent_unchanged_with_its_remaining_time(worker, client):
    worker.responses = [OK]
    response = await client.send(call_of(worker), lambda: 250_000)
    assert (response.status, response.reported_in_flight, response.not_executed) == (200, 4, False)
    assert await response.body() == b"ok"
    [request] = worker.requests
    for part in (b"POST /a?b HTTP/1.1", b"Host: h", b"Request-Id: q1", b"Expect-Instance: i-1", b"Model: m"):
        assert part in request
    assert b"Deadline-Ms: 250" in request and b"X-Timeout-Ms" not in request


@pytest.mark.parametrize(
    ("report", "in_flight"),
    [(b"9999,0,8", 9_999), (b" 3 ,\t1", 4), (b"00,0,0", 0), (b"3", None), (b"", None), (b"-1,1,8", None),
     (b"3,10000,8", None), (b"1.5,1,8", None), (b"\xd9\xa3,\xd9\xa1,8", None), (b"3,,8", None)],
)  # fmt: skip
async def test_load_report_counts_only_with_two_usable_numbers(worker, client, report, in_flight):
    worker.responses = [OK.replace(b"3,1,8", report)]
    response = await client.send(call_of(worker), lambda: 250_000)
    assert response.reported_in_flight == in_flight
    response.close()


async def test_withdrawn_call_sends_nothing(worker, client):
    worker.responses = [OK]
    with pytest.raises(SendWithdrawnError):
        await client.send(call_of(worker), lambda: None)
    assert worker.requests == []


async def test_call_to_an_unreachable_worker_counts_as_not_executed(client):
    class UnreachableWorker:
        address = f"{HOST}:9"

    with pytest.raises(WorkerUnreachableError):
        await client.send(call_of(UnreachableWorker), lambda: 1_000_000)


@pytest.mark.parametrize(
    "truncated",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b"nonsense\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"],
)  # fmt: skip
async def test_truncated_response_means_an_unknown_outcome(worker, client, truncated):
    worker.responses = [truncated]
    with pytest.raises(OutcomeUnknownError):
        response = await client.send(call_of(worker), lambda: 1_000_000)
        await response.body()


# --- responses that end with their connection ---

UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Type: text/event-stream\r\n\r\n"


async def body_of(response) -> bytes:
    return await response.body()


async def chunks_of(response) -> bytes:
    return b"".join([chunk async for chunk in response.chunks()])


@pytest.fixture
async def ending_worker():
    """A worker that sends `response` and, once `may_end` is set, ends the connection by FIN or RST."""

    class Worker:
        response, reset = b"", False

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                writer.write(self.response)
                await writer.drain()
                await self.may_end.wait()
                if self.reset:
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                writer.close()

    created = Worker()
    created.may_end = asyncio.Event()
    server = await asyncio.start_server(created.serve, HOST, 0)
    created.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    yield created
    server.close()


@pytest.mark.parametrize("read", [body_of, chunks_of])
@pytest.mark.parametrize("part", [b"", b"part of it", b"id: 1\ndata: a\n\nid: 2\nda"])
async def test_reset_of_a_response_without_a_length_makes_it_incomplete(ending_worker, client, part, read):
    ending_worker.response, ending_worker.reset = UNFRAMED + part, True
    response = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.may_end.set()
    with pytest.raises(OutcomeUnknownError):
        await read(response)


@pytest.mark.parametrize("read", [body_of, chunks_of])
@pytest.mark.parametrize("part", [b"", b"all of it"])
async def test_response_without_a_length_ends_with_its_connection(ending_worker, client, part, read):
    ending_worker.response = UNFRAMED + part
    response = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.may_end.set()
    assert await read(response) == part


@pytest.mark.parametrize("reset", [False, True])
async def test_close_before_the_response_headers_means_an_unknown_outcome(ending_worker, client, reset):
    ending_worker.reset = reset
    ending_worker.may_end.set()
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(ending_worker), lambda: 1_000_000)


async def test_reset_after_a_complete_response_with_a_length_is_ignored(ending_worker, client):
    ending_worker.response, ending_worker.reset = OK, True
    response = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.may_end.set()
    assert await response.body() == b"ok"


async def test_response_to_another_request_is_rejected(worker, client):
    worker.responses = [OK.replace(b"q1", b"q7")]
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(worker), lambda: 1_000_000)


async def test_success_without_a_request_id_is_rejected(worker, client):
    worker.responses = [OK.replace(b"Request-Id: q1\r\n", b"")]
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(worker), lambda: 1_000_000)


async def test_surplus_response_is_not_matched_to_the_next_call(worker, client):
    worker.responses = [OK + OK, OK.replace(b"q1", b"q2").replace(b"ok", b"22")]
    response = await client.send(call_of(worker), lambda: 1_000_000)
    assert await response.body() == b"ok"
    response.close()
    await asyncio.sleep(0)
    second = await client.send(call_of(worker, 2), lambda: 1_000_000)
    assert await second.body() == b"22" and worker.connections == 2


async def test_not_executed_header_is_reported(worker, client):
    worker.responses = [b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"]
    response = await client.send(call_of(worker), lambda: 1_000_000)
    assert response.not_executed


async def test_idle_connections_are_closed_before_the_worker_closes_them(worker, client):
    worker.responses = [OK.replace(b"Server-Load: 3,1,8", b"Keep-Alive: timeout=2")]
    response = await client.send(call_of(worker), lambda: 1_000_000)
    await response.body()
    assert client.session.connector._keepalive_timeout < 2
