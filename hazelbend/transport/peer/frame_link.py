"""Length-prefixed frames over TCP, for the processes of the router fleet.

A frame is a big-endian length of four bytes, followed by that many bytes of content. `FrameConnection` is one
connection, `FrameLink` maintains a connection to one address and reconnects with backoff, `FrameServer`
accepts connections. Delivery is not guaranteed: a frame may be dropped, and callers must handle that.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.connection_memory import (
    COPIES,
    ConnectionMemory,
    MemoryAccount,
)
from hazelbend.transport.listening_sockets import ACCEPTS_PER_TURN, prepare_listener

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024  # enough for a configuration of the largest size and its history
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # above this the peer counts as not reading, and frames are dropped
BACKLOG = 100  # connections that wait in the kernel to be accepted
MAX_PENDING_FRAMES = 16  # frames that wait while a connection is being established
USER_TIMEOUT_MS = 1_200  # after which the kernel ends a connection whose data is not acknowledged
KEEPALIVE_S = 1  # idle time before the first TCP keepalive, and the interval between two
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S = 0.05  # between two connection attempts
MAX_BACKOFF_S = 0.4
BACKOFF_FACTOR = 2


class FrameConnection(asyncio.Protocol):
    """One TCP connection that carries frames in both directions.

    `on_frame` receives the content of each frame. `on_open` and `on_close` are called once each.
    """

    def __init__(
        self,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_open: Callable[[FrameConnection], None],
        on_close: Callable[[FrameConnection], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_open = on_open
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.peer_ip = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options and report the open connection; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.peer_ip = transport.get_extra_info("peername")[0]
        _set_socket_options(transport.get_extra_info("socket"))
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; called by asyncio. A frame that is too large ends the connection."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_PREFIX_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = LENGTH_PREFIX_BYTES + length
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[LENGTH_PREFIX_BYTES:end])
            del self._buffer[:end]
            self.frame_received(content)

    def frame_received(self, content: bytes) -> None:
        """Pass on the content of a complete frame."""
        self._on_frame(self, content)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection; called by asyncio."""
        self._transport = None
        self._on_close(self)

    @property
    def is_open(self) -> bool:
        """Whether frames may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def send(self, content: bytes) -> bool:
        """Send one frame. Returns False if it was dropped: the connection is closed or the peer too slow."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        transport.write(len(content).to_bytes(LENGTH_PREFIX_BYTES, "big") + content)
        return True

    def close(self) -> None:
        """Abort the connection without flushing it, as the peer may have stopped reading."""
        if self._transport is not None:
            self._transport.abort()


def _set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and detect a dead peer within seconds. Unsupported options are skipped."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


class FrameLink:
    """A connection to one address that is re-established whenever it ends, until `close`.

    `on_open` and `on_close` are called once for each connection that was established.
    """

    def __init__(
        self,
        address: str,
        on_frame: Callable[[bytes], None],
        on_open: Callable[[], None] = lambda: None,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self._on_frame = on_frame
        self._on_open = on_open
        self._on_close = on_close
        self._connection: FrameConnection | None = None
        self._connecting = True
        self._disconnected = asyncio.Event()
        self._pending_frames: list[bytes] = []  # to be sent once the link is connected
        self._task = start_background_task(f"link to {address}", self._stay_connected)

    @property
    def is_open(self) -> bool:
        """Whether the link is connected."""
        return self._connection is not None and self._connection.is_open

    def send(self, content: bytes) -> bool:
        """Send one frame, or queue it while connecting. Returns False if it was dropped."""
        if self._connection is not None:
            return self._connection.send(content)
        if self._connecting and len(self._pending_frames) < MAX_PENDING_FRAMES:
            self._pending_frames.append(content)
            return True
        return False

    def reconnect(self) -> None:
        """End the current connection, for example because the peer is silent, and establish another one."""
        if self._connection is not None:
            self._connection.close()

    async def close(self) -> None:
        """Close the link permanently, also if the caller is cancelled meanwhile."""
        self._task.cancel()
        try:
            await asyncio.wait([self._task])  # raises only the caller's cancellation
        finally:
            self.reconnect()

    async def _stay_connected(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            self._disconnected.clear()
            self._connecting = True
            try:
                connection = await self._connect()
            except (OSError, TimeoutError):
                self._connecting = False
                self._pending_frames.clear()
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if connection.is_open:
                await self._disconnected.wait()
            await asyncio.sleep(backoff_s)

    async def _connect(self) -> FrameConnection:
        """Raises OSError or TimeoutError."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection(self._frame_received, self._connected, self._connection_lost),
                host,
                int(port),
            )
        return connection

    def _frame_received(self, connection: FrameConnection, content: bytes) -> None:
        self._on_frame(content)

    def _connected(self, connection: FrameConnection) -> None:
        self._connection = connection
        self._connecting = False
        self._on_open()
        for content in self._pending_frames:
            connection.send(content)
        self._pending_frames.clear()

    def _connection_lost(self, connection: FrameConnection) -> None:
        if self._connection is connection:
            self._connection = None
        self._disconnected.set()
        self._on_close()


class AcceptedFrameConnection(FrameConnection):
    """A connection that may be a stranger's: what it has sent of an incomplete frame is charged."""

    def __init__(
        self,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_open: Callable[[FrameConnection], None],
        on_close: Callable[[FrameConnection], None],
        memory: ConnectionMemory,
    ) -> None:
        """`memory` bounds what all connections of the process hold together."""
        super().__init__(on_frame, on_open, on_close)
        self._memory = memory
        self._account: MemoryAccount = memory.open_account(self.close, may_evict=lambda: True)
        self._has_large_buffer = False  # the kernel's, for input
        self.has_sent_frame = False

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; called by asyncio. Close the connection if there is no room."""
        if not self._account.charge(COPIES * len(data), asyncio.get_running_loop().time()):
            self.close()
            return
        super().data_received(data)
        self._account.release(self._account.held_bytes - COPIES * len(self._buffer))

    def frame_received(self, content: bytes) -> None:
        """Pass on a complete frame. A connection that remains open after its first one is no stranger's."""
        super().frame_received(content)
        if not self.has_sent_frame and self._transport is not None and self.is_open:
            self.has_sent_frame = True
            self._has_large_buffer = self._memory.enlarge_buffer(self._transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Release what the connection holds; called by asyncio."""
        self._account.close()
        if self._has_large_buffer:
            self._memory.large_buffer_closed()
        super().connection_lost(error)


class FrameServer:
    """Accepts connections on one address. `on_close` is called once for each connection that has ended.

    Above `connection_limit`, the oldest connection that has sent no frame is closed for each new one.
    """

    def __init__(
        self,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_close: Callable[[FrameConnection], None],
        connection_limit: int,
        memory: ConnectionMemory,
    ) -> None:
        """`memory` bounds what all connections of the process hold together."""
        self._on_frame = on_frame
        self._on_close = on_close
        self._connection_limit = connection_limit
        self._memory = memory
        self._server: asyncio.Server | None = None
        self.connections: dict[AcceptedFrameConnection, None] = {}  # in the order of their acceptance

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections. Raises OSError if the address cannot be bound."""
        self._server = await asyncio.get_running_loop().create_server(
            self._new_connection, host, port, backlog=ACCEPTS_PER_TURN
        )
        self._memory.add_small_buffers(self._connection_limit + BACKLOG)
        for listening in self._server.sockets:
            prepare_listener(listening, BACKLOG)

    async def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def _new_connection(self) -> AcceptedFrameConnection:
        return AcceptedFrameConnection(
            self._on_frame, self._connection_opened, self._connection_lost, self._memory
        )

    def _connection_opened(self, connection: FrameConnection) -> None:
        assert isinstance(connection, AcceptedFrameConnection)
        self.connections[connection] = None
        if len(self.connections) > self._connection_limit:
            strangers = (each for each in self.connections if not each.has_sent_frame)
            victim = next(strangers)
            del self.connections[victim]  # its end is reported one iteration of the event loop later
            victim.close()

    def _connection_lost(self, connection: FrameConnection) -> None:
        assert isinstance(connection, AcceptedFrameConnection)
        self.connections.pop(connection, None)
        self._on_close(connection)
