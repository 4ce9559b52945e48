"""Slow start: what one dispatcher may send to a worker that is warming up.

A cold worker collapses when it gets `fall_multiple` times what it can do by now within `collapse_window`. All
dispatchers together must keep to that budget, and they share no state: each takes a share by its part of all
traffic. Where a share is less than one job, a random number drawn for each window decides who may send that
job, so that the sum over a fleet is the budget on average.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

from hazelbend.decisions.discovery_retry import LARGE_FLEET
from hazelbend.decisions.fleet_plan import SAFE_COLD_FRACTION
from hazelbend.decisions.interface import Settings
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import ColdAttempt, Worker

MAX_EQUAL_SHARES = 4.0  # most equal shares of the budget that one dispatcher of a small fleet may take
MIN_COST = 1.0  # in mean jobs: a job counts as no lighter, else the lightest ones would be let in first


def safe_budget(settings: Settings) -> float:
    """Return what all dispatchers may send in a window to a cold worker of rate one, in jobs."""
    return SAFE_COLD_FRACTION * settings.collapse_multiple * settings.collapse_window


@dataclass(slots=True, eq=False)
class SlowStart:
    """This dispatcher's share of the budget of every cold worker, and its random numbers of this window."""

    own_traffic: Mean  # own part of all jobs in flight
    share: float = 0.0  # in jobs, for a worker of rate one
    drawn_at: int = 0  # start of this window
    memory: float = 60.0  # windows that `own_traffic` rests on

    def draw(self, workers: Collection[Worker], settings: Settings, rng: random.Random, now: int) -> None:
        """Start a window: compute the share from own traffic, and draw a number for each cold worker."""
        own = sum(worker.own_load for worker in workers)
        peers = sum(worker.background_load * worker.rate for worker in workers)
        self.own_traffic.add(own / max(own + peers, 1.0), self.memory)
        # In a large fleet the load of peers is a guess from a few old reports: only equal shares add up.
        shares = 1.0 if settings.fleet_size >= LARGE_FLEET else MAX_EQUAL_SHARES
        largest = shares / settings.fleet_size
        self.drawn_at = now
        self.share = safe_budget(settings) * min(self.own_traffic.value, largest, 1.0)
        for worker in workers:
            is_cold = settings.capacity_fraction(worker.entry.started_at, now) < 1.0
            worker.lottery_number = rng.random() if is_cold else 0.0

    def may_use(self, worker: Worker) -> bool:
        """Whether a worker is warm, the share there is a job or more, or its number of this window wins."""
        return worker.lottery_number <= self.share * worker.rate

    def allows(
        self, worker: Worker, cost: float, rate: float, settings: Settings, born: int, now: int
    ) -> bool:
        """Whether a job of this cost may be sent to a cold worker now.

        Args:
            worker: the cold worker.
            cost: of the job, in mean jobs.
            rate: what the worker can do by now, in jobs a microsecond.
            settings: of the site.
            born: when this dispatcher started.
            now: the time.
        """
        since = now - settings.collapse_window
        share = self.share * rate
        if since < born:
            return False  # what this dispatcher sent before its restart may have used up the window
        cost = max(cost, MIN_COST)
        if share >= cost:
            return worker.cold_cost_since(since) + cost <= share
        # Chance is bounded by the last report, which shows what all have sent and is still there.
        capacity = safe_budget(settings) * rate - worker.peer_jobs - worker.own_load
        return worker.lottery_number * cost < share and cost <= capacity and not worker.cold_cost_since(since)


def spend_budget(attempt: Attempt, now: int) -> None:
    """Count an attempt at a cold worker in the window that ends now."""
    attempt.cold_attempt = ColdAttempt(now, max(attempt.cost, MIN_COST))
    attempt.worker.cold_attempts.append(attempt.cold_attempt)


def release_budget(attempt: Attempt) -> None:
    """Give back what an attempt took that was not sent, or not yet."""
    cold_attempt = attempt.cold_attempt
    attempt.cold_attempt = None
    if cold_attempt is not None and cold_attempt in attempt.worker.cold_attempts:
        attempt.worker.cold_attempts.remove(cold_attempt)
