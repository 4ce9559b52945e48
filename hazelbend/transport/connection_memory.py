"""The memory that all connections of a process may hold together.

A listener charges what it receives and what it has not sent yet to the `MemoryAccount` of the connection, and
`ConnectionMemory` bounds the sum. If a charge exceeds the bound, the connections that have made no progress
for longest are evicted. If that is not enough, the charge is refused, and the listener rejects the request or
waits. What the kernel holds is bounded by the receive buffers of the sockets: accepted connections inherit a
small one, and those that send large requests get a larger one as long as `ConnectionMemory` has room for it.
A receive buffer is never reduced: the peer may already have been told that there is more room.

Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass

log = logging.getLogger("hazelbend.connections")

BYTES_PER_MB = 1_000_000
PROCESS_MB = 64.0  # of a process without connections, with room for its own data
MIN_CONNECTIONS_RATIO = 0.25  # of the memory of a small process that is left to connections all the same
HELD_RATIO = 0.5  # of the memory for connections: what they hold in this process
UNREAD_RATIO = 0.25  # the same: what the kernel holds for them; the rest is for their objects
CONNECTION_BYTES = 24 * 1024  # of the objects of one connection
SMALL_RECEIVE_BUFFER_BYTES = 4 * 1024  # values of SO_RCVBUF
LARGE_RECEIVE_BUFFER_BYTES = 64 * 1024
KERNEL_BUFFER_FACTOR = 2  # the kernel doubles the value of SO_RCVBUF (man 7 socket)
COPIES = 2  # of a body at the same time: as it is kept, and in the buffer of the connection it is written to
HEAD_COPIES = 24  # the same of a head: objects for each of its fields, of 16 bytes or more on average
LARGE_REQUEST_BYTES = 64 * 1024
LARGE_RATIO = 0.75  # of the bound for requests above that size, so that small ones find room
LOG_PERIOD_S = 10.0  # between two log lines about a lack of memory
MIN_STALL_S = 0.25  # without progress; a connection that has progressed since is not evicted


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """What the connections of a process may hold together, and the most connections of one listener."""

    held_bytes: int
    unread_bytes: int
    connections: int


def connection_limits(memory_mb: float) -> ConnectionLimits:
    """Divide the memory of a process, in MB of 10^6 bytes."""
    available_mb = max(memory_mb - PROCESS_MB, memory_mb * MIN_CONNECTIONS_RATIO)
    available = round(available_mb * BYTES_PER_MB)
    objects = available * (1 - HELD_RATIO - UNREAD_RATIO)
    return ConnectionLimits(
        held_bytes=round(available * HELD_RATIO),
        unread_bytes=round(available * UNREAD_RATIO),
        connections=max(round(objects / CONNECTION_BYTES), 1),
    )


def bound_receive_buffer(sock: socket.socket, size: int = SMALL_RECEIVE_BUFFER_BYTES) -> None:
    """Set SO_RCVBUF, of a listening socket for all connections that it will accept."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


class MemoryAccount:
    """What one connection holds, in bytes.

    `evict` is called once it must give that up, and `may_evict` before; it returns False while a request is
    being served or about to be.
    """

    __slots__ = ("_evict", "_may_evict", "_memory", "held_bytes", "progressed_at")

    def __init__(
        self, memory: ConnectionMemory, evict: Callable[[], None], may_evict: Callable[[], bool]
    ) -> None:
        self._memory = memory
        self._evict = evict
        self._may_evict = may_evict
        self.held_bytes = 0
        self.progressed_at = 0.0  # when bytes were last received or sent

    def charge(self, size: int, now: float) -> bool:
        """Hold `size` bytes more. Returns False, without any change, if the bound does not allow that."""
        self.progressed_at = now
        return self._memory.charge(self, size, now)

    def release(self, size: int) -> None:
        """Hold `size` bytes less, at most all of them."""
        self._memory.release(self, min(size, self.held_bytes))

    def close(self) -> None:
        """Release all bytes: the connection is closed."""
        self.release(self.held_bytes)

    def is_stalled(self, now: float) -> bool:
        """Whether the connection has made no progress of late and may be evicted."""
        return now >= self.progressed_at + MIN_STALL_S and self._may_evict()

    def evict(self) -> None:
        """End the connection, or its request. All bytes count as released."""
        self.close()
        self._evict()


class ConnectionMemory:
    """Bounds what all connections of a process hold together."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.peak_bytes = 0
        self.evictions = 0
        self.refusals = 0
        self._buffer_bytes = 0  # of receive buffers, at most
        self._holders: dict[MemoryAccount, None] = {}
        self._released = asyncio.Event()
        self._waiting = 0
        self._logged_at = -math.inf

    def open_account(self, evict: Callable[[], None], may_evict: Callable[[], bool]) -> MemoryAccount:
        """Return an empty account of a connection; see `MemoryAccount`."""
        return MemoryAccount(self, evict, may_evict)

    def add_small_buffers(self, connections: int) -> None:
        """Count the receive buffers of a listener's connections, accepted ones and those that wait for it."""
        self._buffer_bytes += connections * SMALL_RECEIVE_BUFFER_BYTES * KERNEL_BUFFER_FACTOR

    def enlarge_buffer(self, sock: socket.socket) -> bool:
        """Give a connection a large receive buffer. Returns False if there is no room for one."""
        size = LARGE_RECEIVE_BUFFER_BYTES * KERNEL_BUFFER_FACTOR
        if self._buffer_bytes + size > self.limits.unread_bytes:
            return False
        self._buffer_bytes += size
        bound_receive_buffer(sock, LARGE_RECEIVE_BUFFER_BYTES)
        return True

    def large_buffer_closed(self) -> None:
        """Count a large receive buffer as free: its connection is closed."""
        self._buffer_bytes -= LARGE_RECEIVE_BUFFER_BYTES * KERNEL_BUFFER_FACTOR

    def charge(self, account: MemoryAccount, size: int, now: float) -> bool:
        """See `MemoryAccount.charge`."""
        limit = self._limit(account.held_bytes + size)
        if self.held_bytes + size > limit:
            self._evict_stalled(account, limit - size, now)
        if self.held_bytes + size > limit:
            self.refusals += 1
            self._log_shortage(now)
            return False
        account.held_bytes += size
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        self._holders[account] = None
        return True

    def release(self, account: MemoryAccount, size: int) -> None:
        """See `MemoryAccount.release`."""
        account.held_bytes -= size
        self.held_bytes -= size
        if not account.held_bytes:
            self._holders.pop(account, None)
        if size and self._waiting:
            self._released.set()

    async def charge_when_possible(self, account: MemoryAccount, size: int) -> None:
        """Hold `size` bytes more, as soon as the bound allows that. The caller limits the time."""
        loop = asyncio.get_running_loop()
        while not account.charge(size, loop.time()):
            self._released.clear()
            self._waiting += 1
            try:
                async with asyncio.timeout(MIN_STALL_S):  # others may count as stalled by then
                    await self._released.wait()
            except TimeoutError:
                pass
            finally:
                self._waiting -= 1

    def _log_shortage(self, now: float) -> None:
        if now < self._logged_at + LOG_PERIOD_S:
            return
        self._logged_at = now
        log.warning(
            "connections hold %d of %d bytes: evicted %d and refused %d charges so far",
            self.held_bytes,
            self.limits.held_bytes,
            self.evictions,
            self.refusals,
        )

    def _limit(self, size: int) -> int:
        is_large = size > LARGE_REQUEST_BYTES * COPIES
        return round(self.limits.held_bytes * LARGE_RATIO) if is_large else self.limits.held_bytes

    def _evict_stalled(self, charged: MemoryAccount, target_bytes: int, now: float) -> None:
        """Evict the accounts that have stalled for longest, until `target_bytes` or fewer are held."""
        stalled = [each for each in self._holders if each is not charged and each.is_stalled(now)]
        stalled.sort(key=lambda account: account.progressed_at)
        for account in stalled:
            if self.held_bytes <= target_bytes:
                return
            self.evictions += 1
            account.evict()
