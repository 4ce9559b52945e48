"""Frames over TCP: a length of four bytes, then the content. Used inside the fleet, in `portRange`."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

LENGTH = 4  # bytes
LARGEST = 16 * 1024 * 1024  # bytes of a frame: a configuration of the largest size and its history
UNSENT = 4 * 1024 * 1024  # bytes that may wait to be sent; more is dropped, as the other side does not read
USER_TIMEOUT_MS = 1_200  # without a sign that bytes have arrived, the connection ends
KEEPALIVE_S, KEEPALIVE_PROBES = 1, 2
MOST_UNSENT = 16  # frames that wait for a connection
CONNECT_WAIT = 0.5  # seconds
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 0.4  # seconds between two tries to connect


class FrameConnection(asyncio.Protocol):
    """One connection. `hear` gets each frame, `closed` is called once at its end."""

    def __init__(
        self,
        hear: Callable[[FrameConnection, bytes], None],
        opened: Callable[[FrameConnection], None],
        closed: Callable[[FrameConnection], None],
    ) -> None:
        self._hear, self._opened, self._closed = hear, opened, closed
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.heard_at = 0.0  # loop time
        self.peer = ""  # the other side's IP address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.heard_at = asyncio.get_running_loop().time()
        self.peer = transport.get_extra_info("peername")[0]
        _bound_silence(transport.get_extra_info("socket"))
        self._opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        self.heard_at = asyncio.get_running_loop().time()
        self._buffer += data
        while len(self._buffer) >= LENGTH:
            length = int.from_bytes(self._buffer[:LENGTH], "big")
            if length > LARGEST:
                self.close()
                return
            if len(self._buffer) < LENGTH + length:
                return
            frame = bytes(self._buffer[LENGTH : LENGTH + length])
            del self._buffer[: LENGTH + length]
            self._hear(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._transport = None
        self._closed(self)

    @property
    def is_open(self) -> bool:
        """Whether frames may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, content: bytes) -> bool:
        """Hand a frame to the kernel, or drop it: False."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > UNSENT:
            return False
        transport.write(len(content).to_bytes(LENGTH, "big") + content)
        return True

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self) -> None:
        """End it at once: the other side may be silent."""
        if self._transport is not None:
            self._transport.abort()


def _bound_silence(sock: socket.socket) -> None:
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
    """A connection to one address that is made again whenever it ends."""

    def __init__(
        self,
        address: str,
        hear: Callable[[bytes], None],
        opened: Callable[[], None] = lambda: None,
        closed: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self._hear, self._opened, self._closed = hear, opened, closed
        self._connection: FrameConnection | None = None
        self._connecting = True
        self._ended = asyncio.Event()
        self._unsent: list[bytes] = []  # while it is being connected
        self._task = asyncio.create_task(self._keep())

    @property
    def is_open(self) -> bool:
        """Whether it is connected."""
        return self._connection is not None and self._connection.is_open

    @property
    def heard_at(self) -> float:
        """Loop time at which the other side was last heard; 0 while there is no connection."""
        return self._connection.heard_at if self._connection is not None else 0.0

    def send(self, content: bytes) -> bool:
        """Send a frame. While a connection is being made a few may wait; else it is lost: False."""
        if self._connection is not None:
            return self._connection.send(content)
        if self._connecting and len(self._unsent) < MOST_UNSENT:
            self._unsent.append(content)
            return True
        return False

    def restart(self) -> None:
        """The other side is silent: end the connection and make another."""
        if self._connection is not None:
            self._connection.close()

    async def _keep(self) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE
        while True:
            self._ended.clear()
            self._connecting = True
            try:
                async with asyncio.timeout(CONNECT_WAIT):
                    _, connection = await loop.create_connection(
                        lambda: FrameConnection(self._heard, self._up, self._down), host, int(port)
                    )
            except (OSError, TimeoutError):
                self._connecting = False
                self._unsent.clear()
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE)
                continue
            pause = FIRST_PAUSE
            if connection.is_open:
                await self._ended.wait()
            await asyncio.sleep(pause)

    def _heard(self, connection: FrameConnection, frame: bytes) -> None:
        self._hear(frame)

    def _up(self, connection: FrameConnection) -> None:
        self._connection, self._connecting = connection, False
        self._opened()
        for content in self._unsent:
            connection.send(content)
        self._unsent.clear()

    def _down(self, connection: FrameConnection) -> None:
        if self._connection is connection:
            self._connection = None
        self._ended.set()
        self._closed()

    async def close(self) -> None:
        """End it for good."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self.restart()


class FrameServer:
    """Accepts connections at one address."""

    def __init__(
        self,
        hear: Callable[[FrameConnection, bytes], None],
        closed: Callable[[FrameConnection], None],
    ) -> None:
        self._hear, self._closed = hear, closed
        self._server: asyncio.Server | None = None
        self.connections: set[FrameConnection] = set()

    async def listen(self, host: str, port: int) -> None:
        """At this address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(self._hear, self.connections.add, self._gone), host, port
        )

    def _gone(self, connection: FrameConnection) -> None:
        self.connections.discard(connection)
        self._closed(connection)

    async def close(self) -> None:
        """No new connections, and the end of those that are open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
