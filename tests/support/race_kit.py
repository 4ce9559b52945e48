"""Peers on real sockets that block at a step until the test releases it, so that a race is deterministic.

`BlockedConnects` delays new connections; `ScriptedBackend` handles each request as the test says and records
it; `yield_to_event_loop` runs some iterations of the event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field, replace

from hazelbend.protocol.worker_lines import LoadReportFields
from hazelbend.routing.clock import Clock
from hazelbend.routing.decision_module import DecisionModule
from hazelbend.routing.ports import Endpoint, EndpointList
from hazelbend.routing.router import Router
from hazelbend.routing.table import BackendTable
from hazelbend.transport.http.backend_client import ConnectionPool, PoolSettings

OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def done_response(job_id: str, result: str = "r") -> bytes:
    """Return a complete response to this job."""
    return (
        OK_HEAD
        + chunk(b'{"id":"%b","state":"done","result":"%b"}\n' % (job_id.encode(), result.encode()))
        + b"0\r\n\r\n"
    )


async def yield_to_event_loop(iterations: int = 20) -> None:
    """Let the event loop run this many iterations."""
    for _ in range(iterations):
        await asyncio.sleep(0)


class BlockedConnects:
    """Blocks new connections to a port, before their first packet, until `release`."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.waiting = 0
        self._released = asyncio.Event()

    def release(self) -> None:
        self._released.set()

    @contextmanager
    def installed(self):
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def blocked_connect(sock, address):
            if address[1] == self.port:
                self.waiting += 1
                await self._released.wait()
            return await connect(sock, address)

        loop.sock_connect = blocked_connect
        try:
            yield self
        finally:
            loop.sock_connect = connect


@dataclass
class ReceivedRequest:
    """One request as received: the raw head and body."""

    head: bytes
    body: bytes

    def field(self, name: str) -> str:
        for row in self.head.decode().split("\r\n"):
            key, _, value = row.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        raise KeyError(name)


Responder = Callable[[asyncio.StreamWriter, ReceivedRequest], Awaitable[None]]


@dataclass
class ScriptedBackend:
    """Handles each request by `respond`; without it, answers at once that the job is done."""

    respond: Responder | None = None
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    closed: int = 0  # connections that the client has closed
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0
    _server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                received = ReceivedRequest(head, await reader.readexactly(size))
                self.requests.append(received)
                if self.respond is not None:
                    await self.respond(writer, received)
                else:
                    writer.write(done_response(received.field("X-Request-ID")))
        except (asyncio.IncompleteReadError, OSError):
            self.closed += 1


@dataclass
class RouterWithBackend:
    """A router with one scripted backend on a real socket."""

    router: Router
    backend: ScriptedBackend
    entry: Endpoint

    def update_list(self, *entries: Endpoint, is_complete: bool = False) -> None:
        """Apply an endpoint list: a complete one, or a delta."""
        self.router.apply_list(EndpointList(entries, is_complete=is_complete))


@asynccontextmanager
async def router_with_backend(
    decision_module: DecisionModule, entry: Endpoint, backend: ScriptedBackend, connect_timeout: float = 10.0
) -> AsyncIterator[RouterWithBackend]:
    """Run a router with a connection pool in front of this backend; `entry` gets the backend's port."""
    await backend.listen()
    pool = ConnectionPool(PoolSettings(connect_timeout, 60.0, 8, LoadReportFields({})))
    router = Router(decision_module, Clock(), BackendTable(lambda each: pool.client(each.dial)))
    listed = replace(entry, dial=f"127.0.0.1:{backend.port}")
    router.start(EndpointList((listed,), is_complete=True))
    try:
        yield RouterWithBackend(router, backend, listed)
    finally:
        router.close()
        backend.close()
        await pool.close()
