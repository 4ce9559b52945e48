"""What a router counts of its own decisions: how they ended, and how far the expected was from what came.

Pure counts, kept for the life of the process; `hazelbend.system.metrics` shows them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hazelbend.placement.reliability import AttemptOutcome

RATIO_BOUNDS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)  # of the time that came to the expected


class Refusal(Enum):
    """Why a request was given up by the router itself."""

    NO_CONFIGURATION = "no_configuration"
    NO_WORKER = "no_worker"  # or no budget, or no time, to turn to another one
    OUT_OF_TIME = "out_of_time"
    FAILED = "failed"  # it may have run, and may not run again


@dataclass(slots=True)
class RatioHistogram:
    """Times that came, as multiples of the expected."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(RATIO_BOUNDS) + 1))
    total: float = 0.0

    def add(self, elapsed: float, expected: float) -> None:
        """One more, in the same unit; nothing where nothing was expected."""
        if expected <= 0:
            return
        ratio = elapsed / expected
        self.counts[bisect_left(RATIO_BOUNDS, ratio)] += 1
        self.total += ratio

    def cumulative(self) -> list[tuple[float, int]]:
        """How many were at most each bound; the last bound is infinite."""
        total, found = 0, []
        for bound, count in zip((*RATIO_BOUNDS, float("inf")), self.counts, strict=True):
            total += count
            found.append((bound, total))
        return found


@dataclass(slots=True)
class WorkerStatistics:
    """Of own sends to one worker."""

    outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    reads: RatioHistogram = field(default_factory=RatioHistogram)
    first_events: RatioHistogram = field(default_factory=RatioHistogram)
    prefilled_tokens: int = 0  # expected to be read
    cached_tokens: int = 0  # believed to be kept there, and not read


@dataclass(slots=True)
class Statistics:
    """Of one router."""

    workers: dict[str, WorkerStatistics] = field(default_factory=dict)  # by instance
    refusals: Counter[Refusal] = field(default_factory=Counter)
    retries: int = 0  # sends after one that may have run

    def for_worker(self, instance: str) -> WorkerStatistics:
        """Those of a worker, begun if need be."""
        return self.workers.setdefault(instance, WorkerStatistics())

    def forget(self, instance: str) -> None:
        """The worker has gone for good."""
        self.workers.pop(instance, None)
