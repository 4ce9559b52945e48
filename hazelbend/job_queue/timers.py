"""The timers of jobs: a heap of start times by the wall clock, and one of deadlines and submission timeouts.

An entry is not removed when its job ends, so the caller must check whether a popped entry still applies.
"""

from __future__ import annotations

import heapq
from typing import TypeAlias

from hazelbend.job_queue.terms import JobKey

TimerEntry: TypeAlias = tuple[int, int, JobKey]  # microseconds, number of the entry, job


class JobTimers:
    """Two heaps, by two clocks, since a step of the wall clock must not move deadlines."""

    def __init__(self) -> None:
        self.starts: list[TimerEntry] = []  # wall clock
        self.deadlines: list[TimerEntry] = []  # monotonic clock; also submission timeouts
        self._entry_count = 0

    def add_start(self, at: int, key: JobKey) -> None:
        """Add the wall time from which a job may start."""
        self._entry_count += 1
        heapq.heappush(self.starts, (at, self._entry_count, key))

    def add_deadline(self, at: int, key: JobKey) -> None:
        """Add the monotonic time at which a job's deadline or submission timeout is to be checked."""
        self._entry_count += 1
        heapq.heappush(self.deadlines, (at, self._entry_count, key))

    def pop_start(self, wall: int) -> JobKey | None:
        """Remove and return the next job whose start time has passed, if there is one."""
        if self.starts and self.starts[0][0] <= wall:
            return heapq.heappop(self.starts)[2]
        return None

    def pop_deadline(self, now: int) -> JobKey | None:
        """Remove and return the next job whose deadline has passed, if there is one."""
        if self.deadlines and self.deadlines[0][0] <= now:
            return heapq.heappop(self.deadlines)[2]
        return None

    def next_times(self, now: int, wall: int) -> list[int]:
        """Return the first time of each heap, by the monotonic clock."""
        times = [self.deadlines[0][0]] if self.deadlines else []
        if self.starts:
            times.append(now + self.starts[0][0] - wall)
        return times
