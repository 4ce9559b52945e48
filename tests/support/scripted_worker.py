"""A worker that does what the script of a test says, step by step, on a raw socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 5.0  # limit for a test, in seconds, sufficient on a busy machine


class Connection:
    """The worker's side of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._loop = sock, asyncio.get_running_loop()
        self._unread = b""

    async def read_headers(self) -> bytes:
        """Read the headers of the next request."""
        while b"\r\n\r\n" not in self._unread:
            data = await self._loop.sock_recv(self._sock, 65_536)
            if not data:
                raise EOFError
            self._unread += data
        headers, _, self._unread = self._unread.partition(b"\r\n\r\n")
        return headers

    async def read_exactly(self, size: int) -> bytes:
        """Read `size` bytes of a body."""
        while len(self._unread) < size:
            data = await self._loop.sock_recv(self._sock, 65_536)
            if not data:
                raise EOFError
            self._unread += data
        content, self._unread = self._unread[:size], self._unread[size:]
        return content

    async def request(self) -> bytes:
        """Read a complete request: its headers and body."""
        headers = await self.read_headers()
        length = [line for line in headers.split(b"\r\n") if line.lower().startswith(b"content-length:")]
        size = int(length[0].split(b":")[1]) if length else 0
        return headers + b"\r\n\r\n" + await self.read_exactly(size)

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._sock, data)

    def reset(self) -> None:
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._sock.close()

    def close(self) -> None:
        self._sock.close()


class ScriptedWorker:
    """Accepts connections and runs `script` on each, with the number of the connection."""

    def __init__(self, script: Callable[[Connection, int], Awaitable[None]]) -> None:
        self._script, self.connections = script, 0
        self._tasks: list[asyncio.Task[None]] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._tasks.append(asyncio.create_task(self._accept()))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            self.connections += 1
            self._tasks.append(asyncio.create_task(self._play(Connection(sock), self.connections)))

    async def _play(self, connection: Connection, number: int) -> None:
        with contextlib.suppress(EOFError, OSError):
            await self._script(connection, number)
        with contextlib.suppress(OSError):
            connection.close()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._listener.close()


@contextlib.asynccontextmanager
async def running_worker(
    script: Callable[[Connection, int], Awaitable[None]],
) -> AsyncIterator[ScriptedWorker]:
    worker = ScriptedWorker(script)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield worker
    finally:
        worker.close()
