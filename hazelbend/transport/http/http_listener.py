"""An HTTP/1.1 listener based on aiohttp's low-level server, with limits on connections and deadlines."""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import REQUEST_TIMEOUT_S, ClientConnection
from hazelbend.transport.http.half_close import LINGER_S
from hazelbend.transport.listening_sockets import ACCEPTS_PER_TURN, prepare_listener

log = logging.getLogger("hazelbend.client_listener")

SWEEP_PERIOD_S = 0.2  # between two checks of the connections' deadlines
MIN_PARTIAL_REQUEST_AGE_S = 0.25  # a connection with a younger partial request is not evicted
ACCEPT_BACKLOG = 1_024  # connections that wait in the kernel to be accepted, at most
MIN_ACCEPT_BACKLOG = 128  # the same for a listener of few connections
MAX_LINGERING = 32  # half-closed connections beside the open ones; they use the reserved descriptors
MAX_EXCESS = 16  # connections above the limit if none can be evicted; further new ones are closed
CLOSED_POLL_S = 0.02  # between two checks whether all connections are closed
SHUTDOWN_TIMEOUT_S = 1.0  # for responses in progress to be written at shutdown
READ_BUFFER_BYTES = 16 * 1024  # of a body that its task has not read yet; the parser stops above twice that
DEFAULT_MAX_HEADER_BYTES = 64 * 1024
AIOHTTP_LINGERING_S = 0.5  # for which aiohttp reads the rest of a body whose request is already answered


@dataclass(slots=True, frozen=True)
class ParserLimits:
    """What aiohttp's parser accepts in a head."""

    line_bytes: int = 8_190  # of the first line, or of a field
    fields: int = 128


class _Server(web.Server):
    def __init__(self, owner: HttpListener, **options: Any) -> None:
        super().__init__(owner._serve, **options)
        self._owner = owner

    def __call__(self) -> RequestHandler:
        limits = self._owner.parser_limits
        return ClientConnection(
            self._owner,
            self,
            loop=self._loop,
            max_line_size=limits.line_bytes,
            max_field_size=limits.line_bytes,
            max_headers=limits.fields,
            **self._kwargs,
        )


def inherited_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that this process has inherited as this file descriptor.

    Raises:
        OSError: the descriptor is not a listening socket.
    """
    try:
        inherited = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"RELAY_PASSED_SOCKET: descriptor {descriptor} is no socket: {error}") from None
    is_stream = inherited.type == socket.SOCK_STREAM
    if not is_stream or not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        inherited.detach()
        raise OSError(f"RELAY_PASSED_SOCKET: descriptor {descriptor} is no listening socket")
    inherited.setblocking(False)
    return inherited


class HttpListener:
    """Listens on one address. Subclasses implement `_serve`, which answers a request.

    Above `connection_limit`, one connection is evicted for each new one, as `_evict_connection` selects it.
    """

    def __init__(self, connection_limit: int, memory: ConnectionMemory) -> None:
        """`memory` bounds what all connections of the process hold together."""
        self.connection_limit = connection_limit
        self.memory = memory
        self.max_header_bytes = DEFAULT_MAX_HEADER_BYTES
        self.request_timeout_s = REQUEST_TIMEOUT_S
        self._open: dict[ClientConnection, None] = {}  # in the order in which they were accepted
        self._lingering: set[ClientConnection] = set()  # half-closed
        self._accepting: set[asyncio.Task[Any]] = set()
        self._is_shared = False  # other processes hold the listening socket as well
        self._server = _Server(
            self,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=AIOHTTP_LINGERING_S,
        )
        self._listener: asyncio.Server | None = None
        self._closing_listener: asyncio.Handle | None = None  # runs one loop iteration after the last accept
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def parser_limits(self) -> ParserLimits:
        """The limits of connections that are accepted from now on."""
        return ParserLimits()

    @property
    def connections(self) -> int:
        """The number of open connections, without half-closed ones."""
        return len(self._open)

    @property
    def _is_serving(self) -> bool:
        return self._listener is not None and self._listener.is_serving() and self._closing_listener is None

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Listen on an address, or on an inherited socket.

        An inherited socket is shared with other processes, so it is closed but never shut down.
        """
        loop = asyncio.get_running_loop()
        if inherited is not None:
            self._is_shared = True
            self._listener = await loop.create_server(self._server, sock=inherited, backlog=ACCEPTS_PER_TURN)
        else:
            self._listener = await loop.create_server(
                self._server, host, port, backlog=ACCEPTS_PER_TURN, reuse_address=True
            )
        backlog = min(ACCEPT_BACKLOG, max(self.connection_limit, MIN_ACCEPT_BACKLOG))
        self.memory.add_small_buffers(self.connection_limit + MAX_EXCESS + MAX_LINGERING + backlog)
        for listening in self._listener.sockets:
            prepare_listener(listening, backlog)
        self._sweep()

    def stop_accepting(self) -> None:
        """Stop accepting, after accepting those that wait in the kernel: the close would reset them."""
        if self._listener is None or not self._is_serving:
            return
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            loop.remove_reader(listening.fileno())
        if not self._is_shared:
            self._accept_waiting()
        # asyncio attaches a connection to its server one loop iteration after accepting it. If the server is
        # closed by then, asyncio drops the connection together with its unread input.
        self._closing_listener = loop.call_soon(self._close_listener)

    def _close_listener(self) -> None:
        assert self._listener is not None
        self._closing_listener = None
        if not self._is_shared:
            self._accept_waiting()
        self._listener.close()

    def _accept_waiting(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            with socket.socket(fileno=socket.dup(listening.fileno())) as duplicate:
                duplicate.setblocking(False)
                for _ in range(ACCEPT_BACKLOG):
                    try:
                        connection, _address = duplicate.accept()
                    except OSError:  # no connection waits, or the process is out of file descriptors
                        break
                    connection.setblocking(False)
                    task = loop.create_task(loop.connect_accepted_socket(self._server, connection))
                    self._accepting.add(task)
                    task.add_done_callback(self._accepting.discard)

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until no connection is open, for at most `timeout_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self._has_connections() and loop.time() < deadline:  # noqa: ASYNC110 (four collections)
            await asyncio.sleep(CLOSED_POLL_S)

    def _has_connections(self) -> bool:
        return bool(self._closing_listener or self._accepting or self._open or self._lingering)

    async def close(self) -> None:
        """Close the listener and half-close the connections, so that responses already written arrive."""
        self.stop_accepting()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
        await self.wait_closed(LINGER_S)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError

    # --- connections: implements `client_connection.ConnectionOwner` ---

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add an accepted connection, and evict another one if there are too many."""
        self._open[connection] = None
        if len(self._open) > self.connection_limit:
            self._evict_connection()
        if len(self._open) > self.connection_limit + MAX_EXCESS:
            connection.force_close()  # all others are being served

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self._open.pop(connection, None)
        self._lingering.discard(connection)

    def may_linger(self, connection: ClientConnection) -> bool:
        """Return whether a half-closed connection may be read for a while before it is closed."""
        self._open.pop(connection, None)
        if self._is_serving and len(self._lingering) >= MAX_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def _evict_connection(self) -> None:
        """Close one connection that is not being served.

        The oldest connection without a valid request is closed first; else the one that is idle longest.
        """
        now = asyncio.get_running_loop().time()
        silent = (candidate for candidate in self._open if _is_silent(candidate, now))
        victim = next(silent, None)
        if victim is None:
            idle = (candidate for candidate in self._open if _is_keep_alive_idle(candidate))
            victim = min(idle, key=lambda candidate: candidate.last_active_at, default=None)
        if victim is not None:
            victim.force_close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        # The next sweep is scheduled first, so that an error in this one does not end the sweeps.
        self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)
        for connection in list(self._open):
            try:
                self._check_connection(connection, loop.time())
            except Exception:
                log.exception("client connection: unexpected error while checking its deadline")
                connection.force_close()

    def _check_connection(self, connection: ClientConnection, now: float) -> None:
        connection.enforce_deadline(now)


def _is_silent(connection: ClientConnection, now: float) -> bool:
    """Return whether the connection has sent no valid request and is not about to complete one."""
    if connection.has_valid_request:
        return False
    if connection.has_complete_request:
        is_stalled = False
    elif connection.has_partial_request:
        is_stalled = now > connection.last_active_at + MIN_PARTIAL_REQUEST_AGE_S
    else:
        is_stalled = connection.is_idle
    return is_stalled and not connection.has_unread


def _is_keep_alive_idle(connection: ClientConnection) -> bool:
    return connection.is_idle and not connection.has_partial_request and not connection.has_unread
