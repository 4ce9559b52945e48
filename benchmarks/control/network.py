"""Simulates the links between machines: delay, loss, partitions, bandwidth, and frames that arrive late."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

MS = 1_000  # microseconds
S = 1_000_000  # microseconds
DELAY_RANGE_US = (200, 3_000)
LATE_DELAY_RANGE_US = (500 * MS, 6 * S)  # of frames that were delayed by an earlier connection
FRAME_OVERHEAD_BYTES = 80


class Network:
    """Transmits frames between addresses. Times are microseconds."""

    def __init__(self, rng: random.Random, loss: float) -> None:
        self.loss = loss
        self.late_fraction = 0.0  # of frames that arrive much later, possibly at another incarnation
        self.partitions: set[tuple[str, str]] = set()
        self.bytes = 0
        self._rng = rng
        self._speeds: dict[str, float] = {}  # bytes per second, of machines whose links are slow
        self._free_at: dict[str, int] = {}  # when the slow link of a machine has sent all queued frames
        # By receiver (until, arrival): frames that are sent before `until` arrive at `arrival`.
        self._held: dict[str, tuple[int, int]] = {}

    def hold(self, to: str, until: int, arrival: int) -> None:
        """Hold all frames that are sent to this address before `until`; they arrive together at `arrival`.

        This simulates a connection that is being established, or receive buffers that are not read.
        Partitions do not stop these frames any more.
        """
        self._held[to] = (until, arrival)

    def partition(self, one: str, other: str, *, both_ways: bool = True) -> None:
        """Drop all frames between these two addresses."""
        self.partitions.add((one, other))
        if both_ways:
            self.partitions.add((other, one))

    def isolate(self, side: Iterable[str], others: Iterable[str]) -> None:
        """Partition each address of `side` from each of `others`."""
        for one in side:
            for other in others:
                if one != other:
                    self.partition(one, other)

    def heal(self) -> None:
        """End all partitions and restore the full bandwidth of all links."""
        self.partitions.clear()
        self._speeds.clear()

    def slow(self, address: str, bytes_per_s: float) -> None:
        """Limit the bandwidth of this machine's link, for both directions together."""
        self._speeds[address] = bytes_per_s

    def has_normal_delay(self, address: str, now: int) -> bool:
        """Whether frames to and from this address arrive with the normal delay."""
        return (
            not self.late_fraction
            and address not in self._speeds
            and now >= self._held.get(address, (0, 0))[1]
        )

    def send(
        self, sender: str, to: str, frame: bytes, now: int,
        call_later: Callable[[int, Callable[[], None]], None],
        deliver: Callable[[bool], None],
    ) -> None:  # fmt: skip
        """Call `deliver` after the delay, unless the frame is lost. Its argument is True if partitions must
        not stop the frame.
        """
        self.bytes += len(frame)
        if (sender, to) in self.partitions or self._rng.random() < self.loss:
            return
        until, arrival = self._held.get(to, (0, 0))
        if now < until:
            call_later(arrival - now, lambda: deliver(True))
            return
        delay = self._rng.randint(*DELAY_RANGE_US)
        if self.late_fraction and self._rng.random() < self.late_fraction:
            delay += self._rng.randint(*LATE_DELAY_RANGE_US)
        call_later(delay + self._queue(sender, to, len(frame), now), lambda: deliver(False))

    def _queue(self, sender: str, to: str, size: int, now: int) -> int:
        """How long the frame is queued on slow links."""
        wait = 0
        for address in (sender, to):
            speed = self._speeds.get(address)
            if speed is not None:
                starts_at = max(self._free_at.get(address, 0), now)
                self._free_at[address] = starts_at + round((size + FRAME_OVERHEAD_BYTES) / speed * S)
                wait = max(wait, self._free_at[address] - now)
        return wait
