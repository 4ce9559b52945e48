"""A plan of how a fleet of dispatchers spreads its jobs where no worker reports its load. Estimates only.

Without reports a dispatcher sees its own jobs and no others. In a large fleet those are next to nothing: 200
dispatchers that each find a worker idle, by their own jobs, all send there at once, to the fastest worker or
to the first in a key's order. What each can know is that its peers see the same kind of jobs and the same
membership list, and choose by the same rule. A dispatcher without peers needs no plan.

Own jobs are a sample of all jobs, but a coarse one: of a large fleet a dispatcher meets a worker once or
twice a minute, so by own jobs all find the same workers idle, and walk a key's order in step. Yet each
dispatcher can compute alone, and all alike, what every worker ought to get: its part of all workers' rates.
`FleetPlan` is that plan. Keys that are frequent enough to estimate their part of all jobs are assigned to
workers, the most popular first, each in its own order, until its part is placed; no worker gets more than
its own part. What is left of the workers is for all other keys. A job goes to one of some workers drawn by
the plan: since all are filled alike, own jobs and own results tell them apart. Consistent hashing with
bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016) bounds a worker's jobs in the same way, but by counts
that are not available here.

A plan spreads the jobs and does not know how many they are. Where workers tell when a job starts, own jobs
without a start tell how long all wait (`FleetPlan.queueing_delay`), and what would be late by it is rejected.
Otherwise a fleet that has lost workers never recovers: the queues fill, and all that is served is late.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from hazelbend.decisions.rendezvous import key_rank

if TYPE_CHECKING:
    from hazelbend.decisions.interface import Settings
    from hazelbend.decisions.request import Request
    from hazelbend.decisions.worker import Worker

MIN_POPULAR_JOBS = 3.0  # counted own jobs of a key, which are not put down to chance
MAX_COUNTED_JOBS = 1_024  # that the popularity of keys rests on, and so the most keys that are counted
START_MEMORY_US = 2_000_000  # in which own starts are counted
PRIOR_STARTS = 2.0  # starts that are counted besides
SAFE_COLD_FRACTION = 0.6  # of what makes a cold worker collapse, that all dispatchers together send it


def work_shares(workers: Iterable[Worker], settings: Settings, now: int) -> dict[Worker, float]:
    """Return each worker's part of all work, by its rate and warmth; 1 in all where some are warm.

    A cold worker collapses when it gets `fall_multiple` times what it can do by now. The load is about what
    all workers could do if they were warm, or less (the rest is rejected as late), so a part of it that goes
    with a worker's own rate and warmth, and a safe fraction of that multiple, is safe however few workers
    are warm. What the cold ones do not get is for the warm ones, whose queues can hold it; with none, jobs
    have to wait.
    """
    safe_multiple = SAFE_COLD_FRACTION * settings.collapse_multiple
    current_rates = {
        worker: worker.rate * settings.capacity_fraction(worker.entry.started_at, now) for worker in workers
    }
    full_rate = sum(worker.rate for worker in current_rates)
    current_rate = sum(current_rates.values())
    cold_shares = {
        worker: rate / max(current_rate, full_rate / safe_multiple)
        for worker, rate in current_rates.items()
        if rate < worker.rate
    }
    warm_rate = sum(rate for worker, rate in current_rates.items() if worker not in cold_shares)
    warm_share = 1.0 - sum(cold_shares.values())
    return {
        worker: cold_shares[worker] if worker in cold_shares else warm_share * rate / warm_rate
        for worker, rate in current_rates.items()
    }


def preference_order(key: int, workers: Iterable[Worker]) -> dict[Worker, int]:
    """Return each worker's position in a key's order, the same for all dispatchers.

    A key that needs several workers so stays on a few.
    """
    ranks = {worker: key_rank(worker.entry.worker, key) / worker.weight for worker in workers}
    return {worker: position for position, worker in enumerate(sorted(ranks, key=ranks.__getitem__))}


@dataclass(slots=True, eq=False)
class FleetPlan:
    """The plan, and the own jobs that it is made from. Times in microseconds."""

    key_counts: dict[int, float] = field(default_factory=dict)  # recent own jobs by key
    job_count: float = 0.0  # the sum of those
    key_orders: dict[int, list[Worker]] = field(default_factory=dict)  # of popular keys
    popular_shares: dict[int, dict[Worker, float]] = field(default_factory=dict)  # by key: parts of all work
    other_shares: dict[Worker, float] = field(default_factory=dict)  # what is left for all other keys
    unassigned: float = 0.0  # the part of all work that no worker may get, as too few are warm
    starts: float = 0.0  # recent starts of own jobs, fading
    started_at: int = 0  # the last of them

    def count_job(self, key: int) -> None:
        """Count a job about this key; 0: about none."""
        self.key_counts[key] = self.key_counts.get(key, 0.0) + 1
        self.job_count += 1
        if self.job_count >= MAX_COUNTED_JOBS:  # keys seen once are dropped, and the other counts halved
            self.key_counts = {key: count / 2 for key, count in self.key_counts.items() if count > 1}
            self.job_count = sum(self.key_counts.values())

    def update(self, workers: list[Worker], settings: Settings, now: int) -> None:
        """Make the plan anew for the workers that may be used."""
        if {*workers} != {*self.other_shares}:
            self.key_orders = {}
        self.other_shares = work_shares(workers, settings, now)
        self.unassigned = 1.0 - sum(self.other_shares.values()) if self.other_shares else 0.0
        popular = [
            (count, key) for key, count in self.key_counts.items() if key and count >= MIN_POPULAR_JOBS
        ]
        self.popular_shares = {key: self._assign(key, count) for count, key in sorted(popular, reverse=True)}

    def _assign(self, key: int, count: float) -> dict[Worker, float]:
        """Assign a key's part of all work to the workers, in the key's order."""
        order = self.key_orders.get(key)
        if order is None:
            order = list(preference_order(key, self.other_shares))
            self.key_orders[key] = order
        needed = (count - 1) / self.job_count  # less one: it is counted because it is frequent
        shares: dict[Worker, float] = {}
        for worker in order:
            if needed <= 0:
                break
            share = min(needed, self.other_shares[worker])
            if share > 0:
                shares[worker] = share
                self.other_shares[worker] -= share
                needed -= share
        return shares

    def count_start(self, now: int) -> None:
        """Count the start of an own job."""
        self.starts = self._recent_starts(now) + 1
        self.started_at = now

    def queueing_delay(self, requests: Iterable[Request], now: int) -> float:
        """Estimate how long a job waits for its start, from own attempts without one at healthy workers.

        Little's law: as many jobs wait as start in the time that each waits; own attempts and own starts are
        the same sample of all. A few recent attempts show no wait: on average an attempt that waits has
        waited for half of its time, or for more.
        """
        in_flight = (attempt for request in requests for attempt in request.in_flight)
        ages = [
            now - attempt.sent_at
            for attempt in in_flight
            if not attempt.started_at and not attempt.worker.backoff
        ]
        if not ages:
            return 0.0
        by_starts = len(ages) * START_MEMORY_US / (self._recent_starts(now) + PRIOR_STARTS)
        return min(by_starts, 2 * sum(ages) / len(ages))

    def _recent_starts(self, now: int) -> float:
        return self.starts * exp(min(self.started_at - now, 0) / START_MEMORY_US)

    def weights(self, key: int, workers: Sequence[Worker]) -> list[float]:
        """Return how the jobs about this key are spread over these workers, in any unit; never all 0."""
        plan = self.popular_shares.get(key) or self.other_shares
        weights = [plan.get(worker, 0.0) for worker in workers]
        return weights if any(weights) else [worker.rate for worker in workers]
