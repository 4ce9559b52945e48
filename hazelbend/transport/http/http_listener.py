"""A listening address for HTTP/1.1, by aiohttp's low-level server, with bounds on connections and time."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hazelbend.transport.http.client_connection import REQUEST_WAIT, ClientConnection
from hazelbend.transport.http.half_close import LINGER

log = logging.getLogger("hazelbend.client_listener")

SWEEP = 0.2  # seconds between looks at who has run out of time
YOUNG = 0.25  # seconds that a connection which has sent part of a request is not closed to make room
QUEUE = 1_024  # connections that wait in the kernel to be accepted
ACCEPTS = 16  # of them accepted in one go, so that room can be made before the next ones come
MOST_LINGERING = 32  # half-closed connections beside those that are open: out of the reserved descriptors
EMPTY_CHECK = 0.02  # seconds between looks at whether all are closed
SHUTDOWN_WAIT = 1.0  # seconds that answers which are being written have at the end
MOST_OVER = 16  # connections over the limit, where none can be closed, before new ones are shut


class _Server(web.Server):
    def __init__(self, listener: HttpListener, **options: Any) -> None:
        super().__init__(listener._serve, **options)
        self._listener = listener

    def __call__(self) -> RequestHandler:
        return ClientConnection(self._listener, self, loop=self._loop, **self._kwargs)


def passed_listener(descriptor: int) -> socket.socket:
    """The listener that this process was given; OSError if there is none at this descriptor."""
    try:
        given = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"RELAY_PASSED_SOCKET: descriptor {descriptor} is no socket: {error}") from None
    if given.type != socket.SOCK_STREAM or not given.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        given.detach()
        raise OSError(f"RELAY_PASSED_SOCKET: descriptor {descriptor} is no listening socket")
    given.setblocking(False)
    return given


class HttpListener:
    """One address. What is made of a request is for `_serve` to say."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.request_wait = REQUEST_WAIT
        self._open: dict[ClientConnection, None] = {}  # in the order in which they came
        self._lingering: set[ClientConnection] = set()  # half-closed
        self._accepting: set[asyncio.Task[Any]] = set()
        self._shared = False  # others hold the listening socket as well
        self._server = _Server(
            self,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=0.5,
        )
        self._listener: asyncio.Server | None = None
        self._stopping: asyncio.Handle | None = None  # closes the listener, a turn after the last accept
        self._sweeping: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> int:
        """So many are open."""
        return len(self._open)

    @property
    def _is_serving(self) -> bool:
        return self._listener is not None and self._listener.is_serving() and self._stopping is None

    @property
    def port(self) -> int:
        """Where it listens."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """At this address; or on a listener that others hold as well, so it is closed, never shut down."""
        loop = asyncio.get_running_loop()
        if passed is not None:
            self._shared = True
            self._listener = await loop.create_server(self._server, sock=passed, backlog=ACCEPTS)
        else:
            self._listener = await loop.create_server(
                self._server, host, port, backlog=ACCEPTS, reuse_address=True
            )
        # asyncio takes one number for both; many may wait, but few are accepted in one go.
        for each in self._listener.sockets:
            with socket.socket(fileno=socket.dup(each.fileno())) as same:
                same.listen(QUEUE)
        self._sweep()

    def stop_accepting(self) -> None:
        """No new connections. Those that wait to be accepted would be reset with the socket: they are
        served."""
        if self._listener is None or not self._is_serving:
            return
        loop = asyncio.get_running_loop()
        for each in self._listener.sockets:
            loop.remove_reader(each.fileno())
        if not self._shared:
            self._accept_waiting()
        # asyncio attaches a connection to its server a turn after it has accepted it, and drops it with all
        # that it sent if the server is closed by then.
        self._stopping = loop.call_soon(self._close_listener)

    def _close_listener(self) -> None:
        assert self._listener is not None
        self._stopping = None
        if not self._shared:
            self._accept_waiting()
        self._listener.close()

    def _accept_waiting(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for each in self._listener.sockets:
            with socket.socket(fileno=socket.dup(each.fileno())) as same:
                same.setblocking(False)
                for _ in range(QUEUE):
                    try:
                        connection, _address = same.accept()
                    except OSError:  # nobody waits, or no descriptor is left
                        break
                    connection.setblocking(False)
                    task = loop.create_task(loop.connect_accepted_socket(self._server, connection))
                    self._accepting.add(task)
                    task.add_done_callback(self._accepting.discard)

    async def emptied(self, seconds: float) -> None:
        """Until no connection is open, or so long."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (self._stopping or self._accepting or self._open or self._lingering) and loop.time() < end:
            await asyncio.sleep(EMPTY_CHECK)

    async def close(self) -> None:
        """What is open ends by halves, so that what was written arrives."""
        self.stop_accepting()
        if self._sweeping is not None:
            self._sweeping.cancel()
        await self._server.shutdown(SHUTDOWN_WAIT)
        await self.emptied(LINGER)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError

    # --- room and time ---

    def joined(self, connection: ClientConnection) -> None:
        """A connection has come."""
        self._open[connection] = None
        if len(self._open) > self.limit:
            self._make_room()
        if len(self._open) > self.limit + MOST_OVER:
            connection.force_close()  # all others are at work

    def left(self, connection: ClientConnection) -> None:
        """It is gone."""
        self._open.pop(connection, None)
        self._lingering.discard(connection)

    def may_linger(self, connection: ClientConnection) -> bool:
        """Its writing side ends: whether it may be read on for a while, beside those that are open."""
        self._open.pop(connection, None)
        if self._is_serving and len(self._lingering) >= MOST_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def _make_room(self) -> None:
        """Over the share of the descriptors: first goes who has asked for nothing, the oldest first; then who
        has been idle longest. What is at work is never closed."""
        now = asyncio.get_running_loop().time()
        silent = (
            each
            for each in self._open
            if not each.asked
            and (each.is_idle or each.part)
            and (not each.part or now > each.began_at + YOUNG)
            and not each.has_unread
        )
        victim = next(silent, None)
        if victim is None:
            idle = (each for each in self._open if each.is_idle and not each.part and not each.has_unread)
            victim = min(idle, key=lambda each: each.began_at, default=None)
        if victim is not None:
            victim.force_close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeping = loop.call_later(SWEEP, self._sweep)  # first: no fault may end it
        for connection in list(self._open):
            try:
                self._look(connection, loop.time())
            except Exception:
                log.exception("a connection: fault")
                connection.force_close()

    def _look(self, connection: ClientConnection, now: float) -> None:
        connection.look(now)
