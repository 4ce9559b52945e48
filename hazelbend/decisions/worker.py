"""The state of one worker as a dispatcher estimates it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hazelbend.decisions.interface import LoadReport, WorkerEntry
from hazelbend.decisions.reliability import FailureEstimate
from hazelbend.decisions.statistics import CountHistory, Mean

if TYPE_CHECKING:
    from hazelbend.decisions.request import Attempt, Request

# Weights of a new sample of a worker's slots, which is the most jobs seen running at once. It is a high-water
# mark that rises fast and falls slowly, because reports are noisy.
SLOTS_RISE = 0.3
SLOTS_FALL = 0.02
LONG_AGO = -(10**12)


@dataclass(slots=True, eq=False)
class WarmupAttempt:
    """An attempt at a worker that was warming up, as a charge to its slow-start budget."""

    at: int  # microseconds
    cost: float  # in mean jobs


@dataclass(slots=True, eq=False)
class Worker:
    """A listed worker and the estimates for it. Times in microseconds."""

    entry: WorkerEntry
    weight: float
    # The job count: own attempts in flight, and the jobs of peers as of the last load report.
    attempts: dict[Attempt, None] = field(default_factory=dict)
    own_load: float = 0.0  # the work of own attempts in flight, in mean jobs
    peer_jobs: int = 0
    peer_jobs_at: int = 0  # the time for which `peer_jobs` was reported
    own_jobs: CountHistory = field(default_factory=CountHistory)
    peer_load_level: Mean = field(default_factory=Mean)  # reported jobs of peers divided by `size`
    background_load: float = 0.0  # usual jobs of peers divided by `rate`
    # The rate: the most jobs that run at once divided by their mean run time, measured as a ratio to the
    # expected run time.
    slots: float = 0.0
    run_time_ratio: Mean = field(default_factory=Mean)
    rate: float = 0.0
    rated_at: int = 0  # when `rate` was computed
    concurrency: float = 1.0  # the most mean jobs that run at once
    # The unit in which the jobs of peers are counted: the concurrency, times the speed relative to what the
    # list or the machine kind leads to expect. The rate cannot be the unit, since it starts from a guess of
    # the run time, and a level relative to it would be wrong by the same factor as that guess.
    size: float = 1.0
    round_trip: int = 0
    reported_at: int = 0
    last_report: LoadReport | None = None
    last_report_at: int = 0  # when `last_report` first arrived
    probed_at: int = 0
    connection_idle_at: int = LONG_AGO  # when an own attempt last left a connection idle
    # Health.
    last_signal_at: int = 0
    backoff_until: int = 0
    backoff: int = 0  # duration of the current backoff; 0: the worker is healthy
    resets: int = 0  # connections reset since the last signal
    reliability: FailureEstimate = field(default_factory=FailureEstimate)
    # Slow start, keys, probes.
    warmup_attempts: deque[WarmupAttempt] = field(default_factory=deque)
    slow_start_draw: float = 0.0  # random, for this window, while the worker warms up; 0: it is warm
    cached_keys: dict[int, None] = field(default_factory=dict)  # used by own attempts, least recent first
    waiting_requests: list[Request] = field(default_factory=list)  # waiting for its answer to a probe

    def add(self, attempt: Attempt) -> None:
        """Count an own attempt that is sent."""
        self.attempts[attempt] = None
        self.own_load += attempt.cost
        self.own_jobs.change(attempt.sent_at, 1)

    def remove(self, attempt: Attempt, now: int, memory: int) -> None:
        """Remove an own attempt that has ended. The job count history of the last `memory` is kept."""
        self.connection_idle_at = now
        if attempt in self.attempts:
            del self.attempts[attempt]
            self.own_load = self.own_load - attempt.cost if self.attempts else 0.0
            self.own_jobs.change(now, -1)
            self.own_jobs.forget(now - memory)

    def load_from_weight(self, full_weight: float) -> LoadReport | None:
        """Infer the load from a weight that falls with it: weight = full_weight / (1 + jobs per slot).

        Sets the weight back to the full one. Returns None while the number of slots is unknown.
        """
        jobs = (full_weight / self.weight - 1) * self.slots
        self.weight = full_weight
        if not self.slots:
            return None
        queued = max(jobs - self.slots, 0.0)
        return LoadReport(jobs, queued, self.slots - jobs + queued)

    def observe_slots(self, seen: float) -> None:
        """Update the estimate of the slots from a report that shows `seen` of them."""
        change = (seen - self.slots) * (SLOTS_RISE if seen > self.slots else SLOTS_FALL)
        self.slots = self.slots + change if self.slots else seen

    def warmup_cost_since(self, at: int) -> float:
        """Return the cost of attempts sent after `at` while the worker was warming up; drop older ones."""
        while self.warmup_attempts and self.warmup_attempts[0].at <= at:
            self.warmup_attempts.popleft()
        return sum(attempt.cost for attempt in self.warmup_attempts)

    def mark_key_cached(self, key: int, capacity: float) -> None:
        """Mark the data of a key as cached at the worker, and evict the oldest key beyond `capacity`."""
        self.cached_keys.pop(key, None)
        self.cached_keys[key] = None
        if len(self.cached_keys) > capacity:
            del self.cached_keys[next(iter(self.cached_keys))]
