"""Spreads the jobs of a fleet of dispatchers over workers that report no load.

Without load reports a dispatcher knows only its own jobs, which are a tiny part of all jobs in a large fleet.
If 200 dispatchers each see a worker idle by their own jobs, all of them send to it at once: to the fastest
worker, or to the first in a key's preference order. Each dispatcher does know, however, that its peers see
the same kind of jobs and the same membership list, and apply the same rule. A dispatcher without peers needs
no plan.

Own jobs are too coarse a sample: in a large fleet a dispatcher sends to a given worker once or twice a
minute, so all dispatchers see the same workers idle, and go through a key's preference order in step. But
every dispatcher can compute by itself, with the same result as its peers, what share of all work each worker
should get: its part of the sum of all workers' rates. `FleetPlan` holds these shares. Keys that are frequent
enough for an estimate of their share of all jobs are assigned to workers, the most popular key first and in
its own preference order, until its share is placed; no worker gets more than its own share. The remaining
capacity is for all other keys. A job goes to one of a few workers that are drawn by the plan; since the plan
fills them equally, own jobs and own results decide between them. Consistent hashing with bounded loads
(Mirrokni, Thorup, Zadimoghaddam 2016) bounds the jobs of a worker in the same way, but uses job counts that
are not available here.

The plan spreads the jobs, but does not say how many there are. Where workers report job starts, the own jobs
that have not started show how long all jobs wait (`FleetPlan.queueing_delay`), and jobs that would be late
are rejected. Otherwise a fleet that has lost workers never recovers: the queues fill up, and every answer is
late.
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

MIN_POPULAR_JOBS = 3.0  # own jobs of a key, from which its frequency is not put down to chance
MAX_COUNTED_JOBS = 1_024  # own jobs in the popularity estimate, and so the limit on the number of keys
START_MEMORY_US = 2_000_000  # time constant with which counted starts fade
PRIOR_STARTS = 2.0  # added to the counted starts
# Of the work that makes a warming-up worker collapse: the fraction that all dispatchers together may send it.
SAFE_WARMUP_FRACTION = 0.6


def work_shares(workers: Iterable[Worker], settings: Settings, now: int) -> dict[Worker, float]:
    """Return each worker's share of all work, by its rate and warm-up. The sum is 1 if any worker is warm.

    A warming-up worker collapses when it gets `collapse_multiple` times what it can do at that time. The load
    is at most about what all workers could do if they were warm (the rest is rejected as late). A warming-up
    worker's share in proportion to its current rate, times a safe fraction of that multiple, is therefore
    safe however few workers are warm. Warm workers get the rest, since their queues can hold it; if no worker
    is warm, jobs have to wait.
    """
    safe_multiple = SAFE_WARMUP_FRACTION * settings.collapse_multiple
    current_rates = {
        worker: worker.rate * settings.capacity_fraction(worker.entry.started_at, now) for worker in workers
    }
    full_rate = sum(worker.rate for worker in current_rates)
    current_rate = sum(current_rates.values())
    warming_shares = {
        worker: rate / max(current_rate, full_rate / safe_multiple)
        for worker, rate in current_rates.items()
        if rate < worker.rate
    }
    warm_rate = sum(rate for worker, rate in current_rates.items() if worker not in warming_shares)
    warm_share = 1.0 - sum(warming_shares.values())
    return {
        worker: warming_shares[worker] if worker in warming_shares else warm_share * rate / warm_rate
        for worker, rate in current_rates.items()
    }


def preference_order(key: int, workers: Iterable[Worker]) -> dict[Worker, int]:
    """Return each worker's position in a key's preference order, which is the same for all dispatchers.

    A key that needs several workers thus stays on a few.
    """
    ranks = {worker: key_rank(worker.entry.worker, key) / worker.weight for worker in workers}
    return {worker: position for position, worker in enumerate(sorted(ranks, key=ranks.__getitem__))}


@dataclass(slots=True, eq=False)
class FleetPlan:
    """The plan, and the counts of own jobs that it is computed from. Times in microseconds."""

    key_counts: dict[int, float] = field(default_factory=dict)  # recent own jobs by key
    job_count: float = 0.0  # the sum of `key_counts`
    key_orders: dict[int, list[Worker]] = field(default_factory=dict)  # preference orders of popular keys
    # Shares of all work, for each popular key and then for all other keys together.
    popular_shares: dict[int, dict[Worker, float]] = field(default_factory=dict)
    other_shares: dict[Worker, float] = field(default_factory=dict)
    unassigned: float = 0.0  # the share of all work that no worker may get, as too few are warm
    starts: float = 0.0  # recent starts of own jobs, with exponential forgetting
    started_at: int = 0  # the last of these starts

    def count_job(self, key: int) -> None:
        """Count a job that needs the data of this key; 0: of none."""
        self.key_counts[key] = self.key_counts.get(key, 0.0) + 1
        self.job_count += 1
        if self.job_count >= MAX_COUNTED_JOBS:  # drop keys seen once, and halve the other counts
            self.key_counts = {key: count / 2 for key, count in self.key_counts.items() if count > 1}
            self.job_count = sum(self.key_counts.values())

    def update(self, workers: list[Worker], settings: Settings, now: int) -> None:
        """Recompute the plan for the workers that may be used."""
        if {*workers} != {*self.other_shares}:
            self.key_orders = {}
        self.other_shares = work_shares(workers, settings, now)
        self.unassigned = 1.0 - sum(self.other_shares.values()) if self.other_shares else 0.0
        popular = [
            (count, key) for key, count in self.key_counts.items() if key and count >= MIN_POPULAR_JOBS
        ]
        self.popular_shares = {key: self._assign(key, count) for count, key in sorted(popular, reverse=True)}

    def _assign(self, key: int, count: float) -> dict[Worker, float]:
        """Assign a key's share of all work to the workers, in the key's preference order."""
        order = self.key_orders.get(key)
        if order is None:
            order = list(preference_order(key, self.other_shares))
            self.key_orders[key] = order
        needed = (count - 1) / self.job_count  # minus one: a key selected by its high count is overestimated
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
        """Estimate how long a job waits for its start, from own attempts that wait at healthy workers.

        By Little's law the number of waiting jobs is the rate of starts times the wait. Own attempts and own
        starts are the same sample of all jobs, so their ratio gives the wait. It is bounded by twice the mean
        age of the waiting attempts, as an attempt has on average spent half of its wait, or more: a few
        recent attempts do not show a queue.
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
        """Return the weights, in any unit, by which jobs of this key go to these workers; never all 0."""
        plan = self.popular_shares.get(key) or self.other_shares
        weights = [plan.get(worker, 0.0) for worker in workers]
        return weights if any(weights) else [worker.rate for worker in workers]
