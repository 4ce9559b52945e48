"""Crowds of clients that don't behave, on real sockets, and a watch over the process that they connect to.

Each member of a crowd sends its input and then stays open, until it is cut off or the crowd is closed. What
is checked does not depend on the machine's speed: that the process lives, that its memory, with the bytes
that wait in the kernel to be read, and its descriptors stay under the limits of its settings, and that an
ordinary request is answered afterwards, while the members are still open.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024  # in /proc/PID/status
TIMEOUT_S = 60.0  # for any condition, also on a busy machine; the limit only ends a test that has failed
STALL_S = 1.0  # a crowd of which nobody could send anything for so long has sent what it can
POLL_S = 0.02
CONNECT_TOGETHER = 64  # members that connect at the same time
ESTABLISHED_STATES = ("01", "08")  # of /proc/net/tcp: ESTABLISHED, CLOSE_WAIT


@dataclass(frozen=True)
class Input:
    """What one member sends: `head`, then `piece` `repeats` times, then `end`."""

    head: bytes = b""
    piece: bytes = b""
    repeats: int = 0
    end: bytes = b""


class Crowd:
    """Connections of one test. Use as an asynchronous context manager; they are closed at its end."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []
        self.sent_bytes = 0

    async def __aenter__(self) -> Crowd:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    async def send(self, members: int, inputs: list[Input]) -> None:
        """Open connections that send these inputs in turn; return when nobody can send any more."""
        gate = asyncio.Semaphore(CONNECT_TOGETHER)
        tasks = [
            asyncio.create_task(self._run_member(each, gate))
            for each in itertools.islice(itertools.cycle(inputs), members)
        ]
        try:
            await self._wait_until_stalled(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_until_stalled(self, tasks: list[asyncio.Task[None]]) -> None:
        loop = asyncio.get_running_loop()
        progress, progressed_at = (-1, -1), loop.time()
        while not all(task.done() for task in tasks) and loop.time() < progressed_at + STALL_S:
            if progress != (self.sent_bytes, len(self._sockets)):
                progress, progressed_at = (self.sent_bytes, len(self._sockets)), loop.time()
            await asyncio.sleep(POLL_S)

    async def _run_member(self, member: Input, gate: asyncio.Semaphore) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # it is refused or cut off
            async with gate:
                await loop.sock_connect(sock, self._address)
            for data in (member.head, *itertools.repeat(member.piece, member.repeats), member.end):
                await loop.sock_sendall(sock, data)
                self.sent_bytes += len(data)


class ProcessWatch:
    """Samples the memory and the descriptors of a process, as an asynchronous context manager."""

    def __init__(self, pid: int, addresses: list[tuple[str, int]]) -> None:
        """`addresses`: where the process listens; unread bytes of its connections there count as memory."""
        self._pid = pid
        self._local = {_proc_address(*address) for address in addresses}
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> ProcessWatch:
        self._task = asyncio.create_task(self._sample_forever())
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        with contextlib.suppress(OSError):  # the process has ended
            self.sample()

    async def _sample_forever(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.sample()
                await asyncio.sleep(POLL_S)

    def sample(self) -> None:
        """Read the figures of now. Raises OSError if the process has ended."""
        unread = _unread_bytes(self._local)
        resident, peak = (_status_kb(self._pid, name) * BYTES_PER_KB for name in ("VmRSS", "VmHWM"))
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, peak, resident + unread)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self._pid}/fd")))

    def check(self, memory_mb: float, max_descriptors: int) -> None:
        """Fail unless the process has stayed under these limits."""
        peak_mb = self.peak_bytes / BYTES_PER_MB
        unread_mb = self.peak_unread_bytes / BYTES_PER_MB
        assert peak_mb <= memory_mb, f"{peak_mb:.0f} MB, up to {unread_mb:.0f} of them unread"
        assert self.peak_descriptors <= max_descriptors


def _status_kb(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise ProcessLookupError(f"process {pid} has no {name}: it has ended")


def _proc_address(ip: str, port: int) -> str:
    """The address as in /proc/net/tcp on a little-endian machine."""
    return f"{int.from_bytes(socket.inet_aton(ip), 'little'):08X}:{port:04X}"


def _unread_bytes(local_addresses: set[str]) -> int:
    """The bytes that the kernel holds for connections to these addresses, accepted ones or not."""
    total = 0
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            _, local, _, state, queues, *_ = line.split()
            if local in local_addresses and state in ESTABLISHED_STATES:
                total += int(queues.partition(":")[2], 16)
    return total


async def eventually(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the condition is true."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(POLL_S)
