"""What a dispatcher believes of one worker: state that the decisions read and update."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hazelbend.decisions.interface import LoadReport, WorkerEntry
from hazelbend.decisions.reliability import FailureEstimate
from hazelbend.decisions.statistics import CountHistory, Mean

if TYPE_CHECKING:
    from hazelbend.decisions.request import Attempt, Request

# The most jobs seen running at once is a high-water mark that rises fast and falls slowly: reports are noisy.
SLOTS_RISE = 0.3
SLOTS_FALL = 0.02
LONG_AGO = -(10**12)


@dataclass(slots=True, eq=False)
class ColdAttempt:
    """An attempt at a worker that was warming up."""

    at: int
    cost: float  # in mean jobs


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, and all that is believed of it. Times in microseconds."""

    entry: WorkerEntry
    weight: float
    # The job count: own attempts in flight, and the jobs of peers at the time that the last report is about.
    attempts: dict[Attempt, None] = field(default_factory=dict)
    own_load: float = 0.0  # own attempts in flight by their work, in mean jobs
    peer_jobs: int = 0
    peer_jobs_at: int = 0
    own_jobs: CountHistory = field(default_factory=CountHistory)
    usual_level: Mean = field(default_factory=Mean)  # jobs of peers over the size, by reports
    background_load: float = 0.0  # usual jobs of peers over the rate
    # The rate: most jobs running at once over their mean run time, the latter as a ratio to the expected.
    slots: float = 0.0
    run_time_ratio: Mean = field(default_factory=Mean)
    rate: float = 0.0
    rated_at: int = 0
    concurrency: float = 1.0  # most mean jobs that run at once
    # The unit in which the jobs of peers are counted: jobs at once, times the speed beside what the list or
    # the machine kind leads to expect. It is not the rate: that starts from a guess of how long jobs run, and
    # a level counted by the guess would grow as many times as the guess was wrong.
    size: float = 1.0
    round_trip: int = 0
    reported_at: int = 0
    last_report: LoadReport | None = None
    last_report_at: int = 0  # when that report came first
    probed_at: int = 0
    connection_idle_at: int = LONG_AGO  # when an own attempt last left a connection idle
    # Health.
    last_signal_at: int = 0
    backoff_until: int = 0
    backoff: int = 0
    resets: int = 0  # connections that broke since it was last heard of
    reliability: FailureEstimate = field(default_factory=FailureEstimate)
    # Slow start, keys, probes.
    cold_attempts: deque[ColdAttempt] = field(default_factory=deque)
    lottery_number: float = 0.0  # drawn for this window while it warms up; 0: it is warm
    cached_keys: dict[int, None] = field(default_factory=dict)  # used by own attempts, oldest use first
    waiting_requests: list[Request] = field(default_factory=list)  # that wait for its answer to a probe

    def add(self, attempt: Attempt) -> None:
        """Count an own attempt that was sent."""
        self.attempts[attempt] = None
        self.own_load += attempt.cost
        self.own_jobs.change(attempt.sent_at, 1)

    def remove(self, attempt: Attempt, now: int, memory: int) -> None:
        """Take out an own attempt that has ended; the history of `memory` is kept."""
        self.connection_idle_at = now
        if attempt in self.attempts:
            del self.attempts[attempt]
            self.own_load = self.own_load - attempt.cost if self.attempts else 0.0
            self.own_jobs.change(now, -1)
            self.own_jobs.forget(now - memory)

    def load_from_weight(self, full_weight: float) -> LoadReport | None:
        """Infer the load from a weight that falls with it: the full weight over 1 and the jobs per slot."""
        jobs = (full_weight / self.weight - 1) * self.slots
        self.weight = full_weight
        if not self.slots:
            return None
        queued = max(jobs - self.slots, 0.0)
        return LoadReport(jobs, queued, self.slots - jobs + queued)

    def observe_slots(self, seen: float) -> None:
        """Learn from a report that shows so many slots."""
        change = (seen - self.slots) * (SLOTS_RISE if seen > self.slots else SLOTS_FALL)
        self.slots = self.slots + change if self.slots else seen

    def cold_cost_since(self, at: int) -> float:
        """Return the cost of attempts sent after `at` while it was warming up; older ones are forgotten."""
        while self.cold_attempts and self.cold_attempts[0].at <= at:
            self.cold_attempts.popleft()
        return sum(attempt.cost for attempt in self.cold_attempts)

    def mark_key_cached(self, key: int, capacity: float) -> None:
        """Mark the data of a key as cached there, where so many keys are kept."""
        self.cached_keys.pop(key, None)
        self.cached_keys[key] = None
        if len(self.cached_keys) > capacity:
            del self.cached_keys[next(iter(self.cached_keys))]
