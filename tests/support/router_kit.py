"""A router's listener, forwarder and client on real sockets, without control processes.

The test adds the workers, which are scripted: `tests/support/scripted_worker.py`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from hazelbend.control.configuration_reader import read_configuration
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.forwarding.ports import ClientRequest
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import RouteTable
from hazelbend.system.clock import SECOND_US, clock
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.http.request_listener import RequestListener
from hazelbend.transport.http.worker_client import HttpWorkerClient
from tests.forwarding.test_forwarding import RecordedResponse
from tests.support.scripted_worker import Connection, ScriptedWorker
from tests.support.socket_kit import HOST, exchange

SERVICE = "cards"
ROUTE = {"name": "r", "host": "a.example", "prefix": "/x/", "kind": "unsafe", "timeoutMs": 3_000,
         "backend": SERVICE, "retries": 1}  # fmt: skip
SUCCESS = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%b"
REQUEST = (
    b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %b\r\nDeadline-Ms: %d\r\n"
    b"Content-Length: 2\r\n\r\nxy"
)

DEADLINE_MS = 2_000


def header(request: bytes, name: bytes) -> bytes:
    """The value of a header of a request."""
    [line] = [line for line in request.split(b"\r\n") if line.startswith(name + b": ")]
    return line.partition(b": ")[2]


def success_of(request_id: bytes) -> bytes:
    """A worker's response to a request that it has run; its body names the request."""
    body = b"ran " + request_id
    return SUCCESS % (request_id, len(body), body)


class RouterUnderTest:
    """A router with one route; `route` overrides its fields."""

    def __init__(self, **route: Any) -> None:
        self._writers: list[asyncio.StreamWriter] = []  # of clients
        self._is_listening = False
        self._placement = PlacementEngine("z", 1)
        self._state = FleetState(self._placement)
        self._state.has_current_config = lambda: True
        document = {"version": 1, "routes": [ROUTE | route], "services": [{"name": SERVICE}]}
        self._state.apply_configuration(RouteTable(read_configuration(json.dumps(document).encode())))
        self._client = HttpWorkerClient(10)
        self._forwarder = Forwarder(
            self._state, self._client, clock, lambda: RetryBudget(0.2, 100.0, 10 * SECOND_US), 1
        )
        memory = ConnectionMemory(connection_limits(256))
        self._listener = RequestListener(self._forwarder.serve, clock, 100, memory)

    def add_worker(self, instance: str, worker: ScriptedWorker) -> None:
        record = WorkerRecord(instance, SERVICE, worker.address, "z", WorkerState.READY, 1, 6)
        self._placement.merge(record)

    async def serve(self, request_id: str) -> RecordedResponse:
        """Serve a request without the listener."""
        reply = RecordedResponse()
        request = ClientRequest(request_id, "POST", "/x/1", "a.example", (), b"xy", clock(), 2 * SECOND_US)
        await self._forwarder.serve(request, reply)
        return reply

    async def listen(self) -> None:
        await self._listener.listen(HOST, 0)
        self._is_listening = True

    async def post(self, request_id: bytes) -> bytes:
        """Send a request on a connection of its own; return the bytes that the client gets."""
        return await exchange(self._listener.port, REQUEST % (request_id, DEADLINE_MS))

    async def start_post(self, request_id: bytes, deadline_ms: int) -> asyncio.StreamReader:
        """Send a request on a connection of its own, which ends with the router; return what it receives."""
        reader, writer = await asyncio.open_connection(HOST, self._listener.port)
        writer.write(REQUEST % (request_id, deadline_ms))
        self._writers.append(writer)
        return reader

    async def close(self) -> None:
        for writer in self._writers:
            writer.close()
        await self._forwarder.close()
        await self._client.close()
        if self._is_listening:
            await self._listener.close()


@asynccontextmanager
async def listening_router(**route: Any) -> AsyncIterator[RouterUnderTest]:
    """Run a router that accepts clients."""
    router = RouterUnderTest(**route)
    await router.listen()
    try:
        yield router
    finally:
        await router.close()


class Runs:
    """The requests that workers have run, in order."""

    def __init__(self) -> None:
        self.request_ids: list[bytes] = []

    async def serve(self, connection: Connection) -> None:
        """Run the next request on this connection and respond."""
        await self.run(connection, await connection.request())

    async def run(self, connection: Connection, request: bytes) -> None:
        """Run a request and respond."""
        request_id = header(request, b"Request-Id")
        self.request_ids.append(request_id)
        await connection.send(success_of(request_id))


def other_worker(runs: Runs) -> Callable[[Connection, int], Awaitable[None]]:
    """The script of a worker that runs every request."""

    async def script(connection: Connection, number: int) -> None:
        while True:
            await runs.serve(connection)

    return script
