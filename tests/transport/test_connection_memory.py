"""Tests of the bound on what all connections of a process hold together."""

from __future__ import annotations

import asyncio

import pytest

from hazelbend.transport.connection_memory import (
    COPIES,
    LARGE_RATIO,
    LARGE_RECEIVE_BUFFER_BYTES,
    LARGE_REQUEST_BYTES,
    MIN_STALL_S,
    ConnectionLimits,
    ConnectionMemory,
    connection_limits,
)

LIMIT = 1_000_000
LARGE = LARGE_REQUEST_BYTES * COPIES + 1


class Holders:
    """Accounts of one `ConnectionMemory`, and the names of those that were evicted."""

    def __init__(self, unread_bytes: int = 0) -> None:
        self.memory = ConnectionMemory(ConnectionLimits(LIMIT, unread_bytes, 10))
        self.evicted: list[str] = []

    def open(self, name: str, may_evict: bool = True):
        return self.memory.open_account(lambda: self.evicted.append(name), lambda: may_evict)


def test_sum_of_all_charges_is_bounded_and_releases_make_room():
    holders = Holders()
    first, second = holders.open("first"), holders.open("second")
    assert first.charge(LARGE, 0.0)
    assert not second.charge(LIMIT, 0.0)
    assert holders.memory.held_bytes == LARGE and holders.memory.refusals == 1 and not holders.evicted
    first.release(LARGE + 5)
    assert holders.memory.held_bytes == 0 and second.charge(LARGE, 0.0)
    second.close()
    assert holders.memory.held_bytes == 0 and holders.memory.peak_bytes == LARGE


def test_connections_that_made_no_progress_for_longest_are_evicted_first_and_only_as_many_as_needed():
    holders = Holders()
    size = round(LIMIT * LARGE_RATIO) // 3
    for number, started_at in enumerate((0.2, 0.1, 0.3)):
        assert holders.open(f"c{number}").charge(size, started_at)
    assert not holders.open("early").charge(size, 0.1 + MIN_STALL_S - 0.01), "nobody has stalled yet"
    assert holders.open("late").charge(size, 1.0)
    assert holders.evicted == ["c1"]


def test_request_that_is_being_served_is_not_evicted():
    holders = Holders()
    served = holders.open("served", may_evict=False)
    assert served.charge(round(LIMIT * LARGE_RATIO), 0.0)
    assert not holders.open("other").charge(LARGE, 100.0)
    assert not holders.evicted


def test_small_requests_find_room_that_large_ones_may_not_take():
    holders = Holders()
    assert holders.open("large").charge(round(LIMIT * LARGE_RATIO), 0.0)
    assert not holders.open("second large").charge(LARGE, 0.0)
    assert holders.open("small").charge(1_000, 0.0)


def test_waiting_charge_is_made_once_others_release():
    async def run() -> None:
        holders = Holders()
        first, second = holders.open("first", may_evict=False), holders.open("second")
        assert first.charge(round(LIMIT * LARGE_RATIO), asyncio.get_running_loop().time())
        waiting = asyncio.create_task(holders.memory.charge_when_possible(second, LARGE))
        await asyncio.sleep(0)
        assert not waiting.done()
        first.close()
        await waiting
        assert second.held_bytes == holders.memory.held_bytes == LARGE

    asyncio.run(run())


class RecordedSocket:
    """Records the values of SO_RCVBUF."""

    def __init__(self) -> None:
        self.sizes: list[int] = []

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.sizes.append(value)


def test_large_receive_buffers_are_given_as_long_as_there_is_room_beside_the_small_ones():
    holders = Holders(unread_bytes=5 * LARGE_RECEIVE_BUFFER_BYTES)
    sock = RecordedSocket()
    assert holders.memory.enlarge_buffer(sock) and holders.memory.enlarge_buffer(sock)
    assert not holders.memory.enlarge_buffer(sock)
    holders.memory.large_buffer_closed()
    assert holders.memory.enlarge_buffer(sock)
    holders.memory.large_buffer_closed()
    holders.memory.add_small_buffers(100)
    assert not holders.memory.enlarge_buffer(sock)
    assert sock.sizes == [LARGE_RECEIVE_BUFFER_BYTES] * 3


@pytest.mark.parametrize("memory_mb", [1, 64, 128, 200, 300, 4_000])
def test_parts_of_the_memory_for_connections_stay_within_that_of_the_process(memory_mb):
    limits = connection_limits(memory_mb)
    assert limits.held_bytes > 0 and limits.unread_bytes > 0 and limits.connections >= 1
    assert limits.held_bytes + limits.unread_bytes < memory_mb * 1_000_000
