"""A small HTTP server on one address, based on uvicorn, for requests that fit into memory.

Unlike uvicorn's own command, it does not install signal handlers, and it wakes up only for its connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import uvicorn

from hazelbend.transport.connection_memory import ConnectionMemory, bound_receive_buffer
from hazelbend.transport.http.asgi_connection import AsgiConnection
from hazelbend.transport.listening_sockets import ACCEPTS_PER_TURN, prepare_listener

BACKLOG = 512  # connections that wait in the kernel to be accepted
KEEP_ALIVE_TIMEOUT_S = 30
STARTED_POLL_S = 0.005  # between two checks whether uvicorn has started
SHUTDOWN_TIMEOUT_S = 1.0  # for requests in flight to finish at shutdown
PAYLOAD_TOO_LARGE = 413


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request that has been read completely."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A response with its complete body. `headers` are sent beside Content-Type and Content-Length."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"
    headers: dict[str, str] = field(default_factory=dict)


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
AsgiEvent = dict[str, Any]
AsgiReceive = Callable[[], Awaitable[AsgiEvent]]
AsgiSend = Callable[[AsgiEvent], Awaitable[None]]


class _UvicornServer(uvicorn.Server):
    """A uvicorn server without its signal handlers and its periodic timer."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the program handles its signals itself."""
        yield

    async def main_loop(self) -> None:
        """Wait for shutdown. uvicorn's own loop wakes up ten times a second, for features not used here."""
        await self.stopping.wait()


class AsgiServer:
    """Serves one address. `handler` answers each request with a body of at most `max_body_bytes`.

    Above `connection_limit`, the oldest connection that is not being served is closed for each new one.
    """

    def __init__(
        self, handler: RequestHandler, max_body_bytes: int, connection_limit: int, memory: ConnectionMemory
    ) -> None:
        """`memory` bounds what all connections of the process hold together."""
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._connection_limit = connection_limit
        self.memory = memory
        self._open: dict[AsgiConnection, None] = {}  # in the order in which they were accepted
        self._server: _UvicornServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start serving. Raises OSError if the address cannot be bound."""
        listener = _bound_socket(host, port)
        bound_receive_buffer(listener)  # before the first connection
        self.memory.add_small_buffers(self._connection_limit + BACKLOG)
        protocol: Any = functools.partial(AsgiConnection, self)  # uvicorn only calls it
        config = uvicorn.Config(
            self._serve,
            loop="none",
            http=protocol,
            ws="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            backlog=ACCEPTS_PER_TURN,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=round(SHUTDOWN_TIMEOUT_S),
        )
        self._server = _UvicornServer(config)
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        while not self._server.started and not self._task.done():  # noqa: ASYNC110 (uvicorn has only a flag)
            await asyncio.sleep(STARTED_POLL_S)
        prepare_listener(listener, BACKLOG)

    async def close(self) -> None:
        """Accept no more connections and let requests in flight finish."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            self._server.stopping.set()
            await asyncio.wait([self._task], timeout=2 * SHUTDOWN_TIMEOUT_S)

    # --- connections: implements `asgi_connection.ConnectionOwner` ---

    def connection_opened(self, connection: AsgiConnection) -> None:
        """Add an accepted connection, and close another one if there are too many."""
        self._open[connection] = None
        if len(self._open) > self._connection_limit:
            victim = next(candidate for candidate in self._open if not candidate.is_being_served)
            del self._open[victim]  # its end is reported one iteration of the event loop later
            victim.transport.abort()

    def connection_closed(self, connection: AsgiConnection) -> None:
        """Remove a connection that is closed."""
        self._open.pop(connection, None)

    # --- requests ---

    async def _serve(self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        """The ASGI application (https://asgi.readthedocs.io, "HTTP Connection Scope")."""
        body = await self._read_body(receive)
        if body is None:
            return  # the client has disconnected
        if len(body) > self._max_body_bytes:
            # The connection is closed, as the rest of the body would have to be read.
            response = HttpResponse(
                PAYLOAD_TOO_LARGE, b"the body is too large\n", headers={"Connection": "close"}
            )
        else:
            headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
            response = await self._handler(HttpRequest(scope["method"], scope["path"], headers, body))
        await _send_response(response, send)

    async def _read_body(self, receive: AsgiReceive) -> bytes | None:
        """Return the body, read only until it exceeds the limit, or None if the client has disconnected."""
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] != "http.request":
                return None
            body += event.get("body", b"")
            if len(body) > self._max_body_bytes or not event.get("more_body"):
                return bytes(body)


def _bound_socket(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


async def _send_response(response: HttpResponse, send: AsgiSend) -> None:
    fields = {"content-type": response.content_type, "content-length": str(len(response.body))}
    fields |= response.headers
    headers = [(name.lower().encode(), value.encode("latin-1")) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})
