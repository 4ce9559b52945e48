"""The times that jobs wait for: heaps of wall-clock starts, deadlines and the end of expectations.

An entry is not removed when its job ends; whoever takes it out checks whether it still holds.
"""

from __future__ import annotations

import heapq
from typing import TypeAlias

from hazelbend.job_queue.terms import JobKey

TimerEntry: TypeAlias = tuple[int, int, JobKey]  # microseconds, number of the entry, job


class JobTimers:
    """Two heaps, as a step of the wall clock must not move deadlines."""

    def __init__(self) -> None:
        self.starts: list[TimerEntry] = []  # wall clock
        self.deadlines: list[TimerEntry] = []  # monotonic: deadlines, and ids that never came
        self._entries = 0

    def add_start(self, at: int, key: JobKey) -> None:
        """The job may start at this wall time."""
        self._entries += 1
        heapq.heappush(self.starts, (at, self._entries, key))

    def add_deadline(self, at: int, key: JobKey) -> None:
        """Look at the job at this monotonic time."""
        self._entries += 1
        heapq.heappush(self.deadlines, (at, self._entries, key))

    def pop_start(self, wall: int) -> JobKey | None:
        """The next job whose wall time has come."""
        if self.starts and self.starts[0][0] <= wall:
            return heapq.heappop(self.starts)[2]
        return None

    def pop_deadline(self, now: int) -> JobKey | None:
        """The next job whose monotonic time has come."""
        if self.deadlines and self.deadlines[0][0] <= now:
            return heapq.heappop(self.deadlines)[2]
        return None

    def next_times(self, now: int, wall: int) -> list[int]:
        """The first time of each heap, on the monotonic clock."""
        times = [self.deadlines[0][0]] if self.deadlines else []
        if self.starts:
            times.append(now + self.starts[0][0] - wall)
        return times
