"""Slow start: limits what one dispatcher may send to a worker that is warming up.

A warming-up worker collapses when it gets `collapse_multiple` times what it can do at that time within
`collapse_window`. All dispatchers together must stay below that budget, but they share no state: each takes a
share of the budget in proportion to its part of all traffic. Where a share is less than one job, a random
number that each dispatcher draws for each window decides whether it may send that job, so that the sum over
the fleet is the budget on average.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

from hazelbend.decisions.discovery_retry import LARGE_FLEET
from hazelbend.decisions.fleet_plan import SAFE_WARMUP_FRACTION
from hazelbend.decisions.interface import Settings
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import WarmupAttempt, Worker

MAX_EQUAL_SHARES = 4.0  # a dispatcher of a small fleet may take at most so many equal shares of the budget
MIN_COST = 1.0  # in mean jobs: the least cost that is charged, else the lightest jobs would be admitted first


def safe_budget(settings: Settings) -> float:
    """Return how many jobs all dispatchers together may send in a window to a warming-up worker of rate 1."""
    return SAFE_WARMUP_FRACTION * settings.collapse_multiple * settings.collapse_window


@dataclass(slots=True, eq=False)
class SlowStart:
    """This dispatcher's share of each warming-up worker's budget, and its random draws for this window."""

    own_traffic: Mean  # the own fraction of all jobs in flight
    share: float = 0.0  # in jobs, for a worker of rate 1
    window_started_at: int = 0
    memory: float = 60.0  # number of windows that `own_traffic` remembers

    def draw(self, workers: Collection[Worker], settings: Settings, rng: random.Random, now: int) -> None:
        """Start a window: compute the share from own traffic, draw a number for each warming-up worker."""
        own = sum(worker.own_load for worker in workers)
        peers = sum(worker.background_load * worker.rate for worker in workers)
        self.own_traffic.add(own / max(own + peers, 1.0), self.memory)
        # In a large fleet the load of peers is estimated from a few old reports, and only equal shares are
        # sure to add up to the budget.
        shares = 1.0 if settings.fleet_size >= LARGE_FLEET else MAX_EQUAL_SHARES
        largest = shares / settings.fleet_size
        self.window_started_at = now
        self.share = safe_budget(settings) * min(self.own_traffic.value, largest, 1.0)
        for worker in workers:
            is_warming_up = settings.capacity_fraction(worker.entry.started_at, now) < 1.0
            worker.slow_start_draw = rng.random() if is_warming_up else 0.0

    def is_selectable(self, worker: Worker) -> bool:
        """Whether a worker is warm, its share is a job or more, or the draw for this window allows a job."""
        return worker.slow_start_draw <= self.share * worker.rate

    def allows(
        self, worker: Worker, cost: float, rate: float, settings: Settings, started_at: int, now: int
    ) -> bool:
        """Whether a job of this cost may be sent to a warming-up worker now.

        Args:
            worker: the warming-up worker.
            cost: the cost of the job, in mean jobs.
            rate: the current rate of the worker, in jobs per microsecond.
            settings: the settings of the dispatcher.
            started_at: the start of this dispatcher.
            now: the time.
        """
        since = now - settings.collapse_window
        share = self.share * rate
        if since < started_at:
            return False  # what this dispatcher sent before a restart may have spent the budget
        cost = max(cost, MIN_COST)
        if share >= cost:
            return worker.warmup_cost_since(since) + cost <= share
        # The last report shows what all dispatchers have sent that is still there: an upper bound, however
        # many of them win their draw.
        capacity = safe_budget(settings) * rate - worker.peer_jobs - worker.own_load
        return (
            worker.slow_start_draw * cost < share and cost <= capacity and not worker.warmup_cost_since(since)
        )


def spend_budget(attempt: Attempt, now: int) -> None:
    """Charge an attempt at a warming-up worker to the window that ends now."""
    attempt.warmup_attempt = WarmupAttempt(now, max(attempt.cost, MIN_COST))
    attempt.worker.warmup_attempts.append(attempt.warmup_attempt)


def release_budget(attempt: Attempt) -> None:
    """Refund the charge of an attempt that was not sent, or not yet."""
    warmup_attempt = attempt.warmup_attempt
    attempt.warmup_attempt = None
    if warmup_attempt is not None and warmup_attempt in attempt.worker.warmup_attempts:
        attempt.worker.warmup_attempts.remove(warmup_attempt)
