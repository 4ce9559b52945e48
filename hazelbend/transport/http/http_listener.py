"""A listening address for HTTP/1.1, by aiohttp's low-level server, with limits on connections and time."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hazelbend.transport.http.client_connection import REQUEST_TIMEOUT_S, ClientConnection
from hazelbend.transport.http.half_close import LINGER_S

log = logging.getLogger("hazelbend.client_listener")

SWEEP_PERIOD_S = 0.2  # between checks of the connections' deadlines
MIN_PARTIAL_REQUEST_AGE_S = 0.25  # a connection with part of a request is not evicted before
ACCEPT_BACKLOG = 1_024  # connections that wait in the kernel to be accepted
ACCEPTS_PER_TURN = 16  # of them accepted in one turn of the loop, so that others can be evicted in between
MAX_LINGERING = 32  # half-closed connections beside the open ones: from the reserved descriptors
MAX_EXCESS = 16  # connections above the limit, where none can be evicted, before new ones are closed
CLOSED_POLL_S = 0.02  # between checks whether all connections are closed
SHUTDOWN_TIMEOUT_S = 1.0  # that responses being written have at the end
AIOHTTP_LINGERING_S = 0.5  # that aiohttp reads on in the body of a request that was answered before its end


class _Server(web.Server):
    def __init__(self, owner: HttpListener, **options: Any) -> None:
        super().__init__(owner._serve, **options)
        self._owner = owner

    def __call__(self) -> RequestHandler:
        return ClientConnection(self._owner, self, loop=self._loop, **self._kwargs)


def inherited_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that this process has inherited at a descriptor.

    Raises:
        OSError: there is none.
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
    """One address. Subclasses implement `_serve`, which answers a request.

    Above `connection_limit`, the least useful connection is evicted for each new one.
    """

    def __init__(self, connection_limit: int) -> None:
        self.connection_limit = connection_limit
        self.request_timeout_s = REQUEST_TIMEOUT_S
        self._open: dict[ClientConnection, None] = {}  # in the order of their connecting
        self._lingering: set[ClientConnection] = set()  # half-closed
        self._accepting: set[asyncio.Task[Any]] = set()
        self._is_shared = False  # other processes hold the listening socket as well
        self._server = _Server(
            self,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=AIOHTTP_LINGERING_S,
        )
        self._listener: asyncio.Server | None = None
        self._closing_listener: asyncio.Handle | None = None  # runs a turn after the last accept
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> int:
        """The number of open connections, without half-closed ones."""
        return len(self._open)

    @property
    def _is_serving(self) -> bool:
        return self._listener is not None and self._listener.is_serving() and self._closing_listener is None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Listen on an address, or on an inherited socket.

        Other processes hold an inherited socket as well, so it is closed and never shut down.
        """
        loop = asyncio.get_running_loop()
        if inherited is not None:
            self._is_shared = True
            self._listener = await loop.create_server(self._server, sock=inherited, backlog=ACCEPTS_PER_TURN)
        else:
            self._listener = await loop.create_server(
                self._server, host, port, backlog=ACCEPTS_PER_TURN, reuse_address=True
            )
        # asyncio takes one number for the backlog and the accepts in one turn: many may wait, but few are
        # accepted at once.
        for listening in self._listener.sockets:
            with socket.socket(fileno=socket.dup(listening.fileno())) as duplicate:
                duplicate.listen(ACCEPT_BACKLOG)
        self._sweep()

    def stop_accepting(self) -> None:
        """Accept no new connections, but those that wait in the kernel: the close would reset them."""
        if self._listener is None or not self._is_serving:
            return
        loop = asyncio.get_running_loop()
        for listening in self._listener.sockets:
            loop.remove_reader(listening.fileno())
        if not self._is_shared:
            self._accept_waiting()
        # asyncio attaches a connection to its server a turn after it has accepted it, and drops it with all
        # that it sent if the server is closed by then.
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
                    except OSError:  # none waits, or no descriptor is left
                        break
                    connection.setblocking(False)
                    task = loop.create_task(loop.connect_accepted_socket(self._server, connection))
                    self._accepting.add(task)
                    task.add_done_callback(self._accepting.discard)

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until no connection is open, at most so long."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self._has_connections() and loop.time() < deadline:  # noqa: ASYNC110 (four collections)
            await asyncio.sleep(CLOSED_POLL_S)

    def _has_connections(self) -> bool:
        return bool(self._closing_listener or self._accepting or self._open or self._lingering)

    async def close(self) -> None:
        """Close the listener and half-close the connections, so that what was written arrives."""
        self.stop_accepting()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
        await self.wait_closed(LINGER_S)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError

    # --- connections: implements `client_connection.ConnectionOwner` ---

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection was accepted."""
        self._open[connection] = None
        if len(self._open) > self.connection_limit:
            self._evict_connection()
        if len(self._open) > self.connection_limit + MAX_EXCESS:
            connection.force_close()  # all others are being served

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection is closed."""
        self._open.pop(connection, None)
        self._lingering.discard(connection)

    def may_linger(self, connection: ClientConnection) -> bool:
        """The connection is half-closed: return whether it may be read for a while."""
        self._open.pop(connection, None)
        if self._is_serving and len(self._lingering) >= MAX_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def _evict_connection(self) -> None:
        """Close one connection, never one that is being served.

        First the oldest that has not sent a valid request; else the one that is idle longest.
        """
        now = asyncio.get_running_loop().time()
        silent = (each for each in self._open if _is_silent(each, now))
        victim = next(silent, None)
        if victim is None:
            idle = (each for each in self._open if _is_kept_idle(each))
            victim = min(idle, key=lambda each: each.last_active_at, default=None)
        if victim is not None:
            victim.force_close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)  # first: no error may end it
        for connection in list(self._open):
            try:
                self._check_connection(connection, loop.time())
            except Exception:
                log.exception("client connection: unexpected error in the check of its deadline")
                connection.force_close()

    def _check_connection(self, connection: ClientConnection, now: float) -> None:
        connection.enforce_deadline(now)


def _is_silent(connection: ClientConnection, now: float) -> bool:
    """Whether it has sent no valid request, and is not about to complete one."""
    if connection.has_valid_request:
        return False
    if connection.has_partial_request:
        is_settled = now > connection.last_active_at + MIN_PARTIAL_REQUEST_AGE_S
    else:
        is_settled = connection.is_idle
    return is_settled and not connection.has_unread


def _is_kept_idle(connection: ClientConnection) -> bool:
    return connection.is_idle and not connection.has_partial_request and not connection.has_unread
