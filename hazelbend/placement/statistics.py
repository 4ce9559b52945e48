"""Counters of a router's own decisions: outcomes, and measured times relative to expected ones.

The counts are kept for the lifetime of the process; `hazelbend.system.metrics` exports them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hazelbend.placement.reliability import AttemptOutcome

RATIO_BOUNDS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)  # upper bounds of measured over expected time


class Refusal(Enum):
    """Why the router gave up a request; the values are labels of a metric."""

    NO_CONFIGURATION = "no_configuration"
    NO_WORKER = "no_worker"  # no worker left, or no budget or time for a retry
    OUT_OF_TIME = "out_of_time"
    FAILED = "failed"  # it may have been executed, and must not be executed again


@dataclass(slots=True)
class RatioHistogram:
    """A histogram of measured times as multiples of the expected ones."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(RATIO_BOUNDS) + 1))
    total: float = 0.0

    def add(self, elapsed: float, expected: float) -> None:
        """Count a measured time, in the unit of `expected`; ignored if `expected` is not positive."""
        if expected <= 0:
            return
        ratio = elapsed / expected
        self.counts[bisect_left(RATIO_BOUNDS, ratio)] += 1
        self.total += ratio

    def cumulative(self) -> list[tuple[float, int]]:
        """Return the number of ratios up to each upper bound; the last bound is infinite."""
        total = 0
        buckets = []
        for bound, count in zip((*RATIO_BOUNDS, float("inf")), self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


@dataclass(slots=True)
class WorkerStatistics:
    """Counters of this router's attempts at one worker."""

    outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    prefill_ratios: RatioHistogram = field(default_factory=RatioHistogram)
    first_event_ratios: RatioHistogram = field(default_factory=RatioHistogram)
    prefilled_tokens: int = 0  # expected to be prefilled at the worker
    cached_tokens: int = 0  # assumed to be in its prefix cache


@dataclass(slots=True)
class Statistics:
    """Counters of one router."""

    workers: dict[str, WorkerStatistics] = field(default_factory=dict)  # by instance
    refusals: Counter[Refusal] = field(default_factory=Counter)
    retries: int = 0  # attempts after one that may have been executed
    unknown_outcomes: Counter[str] = field(default_factory=Counter)  # by the class of the error

    def for_worker(self, instance: str) -> WorkerStatistics:
        """Return the counters of a worker, created at its first attempt."""
        return self.workers.setdefault(instance, WorkerStatistics())

    def forget(self, instance: str) -> None:
        """Drop the counters of a worker that has left."""
        self.workers.pop(instance, None)
