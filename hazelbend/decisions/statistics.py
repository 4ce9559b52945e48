"""Small statistics that the decisions rest on: a fading mean, and a count with its recent history."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from math import inf

MIN_HISTORY_STEPS = 64  # kept of a history before any is forgotten


@dataclass(slots=True)
class Mean:
    """A mean of samples. Where samples are added with a memory, older ones fade."""

    count: float = 0.0
    total: float = 0.0

    def add(self, value: float, memory: float = inf) -> None:
        """Add a sample to a mean that rests on about `memory` samples."""
        self.count += 1 - self.count / memory
        self.total += value - self.total / memory

    @property
    def value(self) -> float:
        """The mean; 0 without samples."""
        return self.total / self.count if self.count else 0.0

    def with_prior(self, guess: float, weight: float) -> float:
        """Return the mean together with a guess that counts as `weight` samples, more than 0."""
        return (weight * guess + self.total) / (weight + self.count)


@dataclass(slots=True, eq=False)
class CountHistory:
    """A count that goes up and down, with its recent past.

    A question takes O(log n), a change O(1) amortised. Times never fall.
    """

    times: list[int] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)  # each from its time on
    current: int = 0

    def change(self, at: int, by: int) -> None:
        """Change the count from `at` on."""
        self.current += by
        self.times.append(at)
        self.counts.append(self.current)

    def at(self, time: int) -> int:
        """Return what the count was at `time`."""
        index = bisect_right(self.times, time)
        return self.counts[index - 1] if index else 0

    def forget(self, before: int) -> None:
        """Drop what is older than `before`, once that is half of the history."""
        if len(self.times) > MIN_HISTORY_STEPS and self.times[len(self.times) // 2] < before:
            dropped = bisect_left(self.times, before) - 1  # the last old step holds until the next one
            del self.times[:dropped]
            del self.counts[:dropped]
