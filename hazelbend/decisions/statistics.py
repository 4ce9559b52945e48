"""Statistics for the decision module: a mean with exponential forgetting, and a count with its history."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from math import inf

MIN_HISTORY_STEPS = 64  # a shorter history is never truncated


@dataclass(slots=True)
class Mean:
    """A mean of samples. Samples that are added with a `memory` make older ones fade."""

    count: float = 0.0
    total: float = 0.0

    def add(self, value: float, memory: float = inf) -> None:
        """Add a sample; the weight of older ones decays so that about `memory` samples count."""
        self.count += 1 - self.count / memory
        self.total += value - self.total / memory

    @property
    def value(self) -> float:
        """The mean; 0 without samples."""
        return self.total / self.count if self.count else 0.0

    def with_prior(self, guess: float, weight: float) -> float:
        """Return the mean of the samples and of a prior `guess` that counts as `weight` samples (> 0)."""
        return (weight * guess + self.total) / (weight + self.count)


@dataclass(slots=True, eq=False)
class CountHistory:
    """A count that changes over time, with its recent history.

    A query takes O(log n), a change amortized O(1). Times must not decrease.
    """

    times: list[int] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)  # counts[i] holds from times[i] on
    current: int = 0

    def change(self, at: int, by: int) -> None:
        """Add `by` to the count, from time `at` on."""
        self.current += by
        self.times.append(at)
        self.counts.append(self.current)

    def at(self, time: int) -> int:
        """Return the count at `time`."""
        index = bisect_right(self.times, time)
        return self.counts[index - 1] if index else 0

    def forget(self, before: int) -> None:
        """Drop history that is older than `before`, once that is half of it."""
        if len(self.times) > MIN_HISTORY_STEPS and self.times[len(self.times) // 2] < before:
            dropped = bisect_left(self.times, before) - 1  # keeps the last old step: its count still holds
            del self.times[:dropped]
            del self.counts[:dropped]
