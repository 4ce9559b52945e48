"""A router's estimates for each worker: job counts from delayed information, rates, health, prefix cache.

Job counts are computed by the decision module (`expected_jobs`, the estimate of SED_e of Hyytia and Righter)
from the jobs of all peers in the last load report, own attempts in flight, and Poisson departures since the
report. Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions.interface import WorkerEntry
from hazelbend.decisions.job_count import expected_jobs
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import Worker
from hazelbend.placement.prefix_cache import PrefixCache
from hazelbend.placement.reliability import Reliability

RATE_MEMORY_SAMPLES = 30.0  # number of samples that a measured rate remembers
LEVEL_MEMORY_REPORTS = 10.0  # number of reports that the usual job count of peers remembers
# Backoff after failures to connect, which doubles with each one.
MIN_CONNECT_BACKOFF_US = 500_000
MAX_CONNECT_BACKOFF_US = 4_000_000


@dataclass(slots=True, eq=False)
class QueueEstimate:
    """E[N], the expected number of jobs of one kind at one worker, and mu, the worker's service rate."""

    rate: float  # mu, in jobs per microsecond
    concurrency: float  # the most jobs in service at once
    jobs: Worker = field(default_factory=lambda: Worker(WorkerEntry(0), 1.0))
    rate_samples: Mean = field(default_factory=Mean)
    own_jobs: int = 0  # attempts in flight from this router

    def expected(self, now: int) -> float:
        """Estimate E[N]."""
        self.jobs.concurrency = self.concurrency
        self.jobs.background_load = self.jobs.peer_load_level.value / self.rate
        return expected_jobs(self.jobs, now, self.rate)

    def delay(self, size: float, now: int) -> float:
        """Estimate the delay of a new job of `size`: (E[N] + size) / mu, in microseconds."""
        return (self.expected(now) + size) / self.rate

    def add(self, size: float) -> None:
        """Count an own attempt of `size` jobs that is sent."""
        self.jobs.own_load += size
        self.own_jobs += 1

    def remove(self, size: float) -> None:
        """Remove an own attempt of `size` jobs that has ended."""
        self.own_jobs -= 1
        self.jobs.own_load = max(self.jobs.own_load - size, 0.0) if self.own_jobs else 0.0

    def apply_report(self, peer_jobs: int, now: int) -> None:
        """Set the jobs of all peers from a load report: n0 at time t0 in the paper."""
        self.jobs.peer_jobs = peer_jobs
        self.jobs.peer_jobs_at = now
        self.jobs.peer_load_level.add(peer_jobs, LEVEL_MEMORY_REPORTS)

    def add_rate_sample(self, rate: float) -> None:
        """Update the rate by a measured one."""
        self.rate_samples.add(rate, RATE_MEMORY_SAMPLES)
        self.rate = self.rate_samples.with_prior(self.rate, 1.0)


@dataclass(slots=True, eq=False)
class WorkerEstimate:
    """The estimates for one worker."""

    record: WorkerRecord
    prefill: QueueEstimate  # in prefill units
    requests: QueueEstimate  # running requests
    misses_heartbeats: bool = False  # its heartbeats are missing
    expired: bool = False  # heartbeats missing for so long that it is dropped once no attempt is in flight
    slowness: Mean = field(default_factory=Mean)  # ratio of its prefill times to those of its kind
    prefix_cache: PrefixCache = field(default_factory=PrefixCache)
    reliability: Reliability = field(default_factory=Reliability)
    was_suspect: bool = False  # as last reported to `PlacementEngine.on_suspicion_changed`
    backoff_until: int = 0
    backoff: int = 0
    answered_at: int = 0  # time of the last answer to an own attempt
    answer_deadlines: dict[object, int] = field(default_factory=dict)  # by own attempt that is not answered

    @property
    def accepts_work(self) -> bool:
        """Whether the worker is listed as ready."""
        return self.record.state is WorkerState.READY

    @property
    def has_attempts(self) -> bool:
        """Whether own attempts are in flight at the worker."""
        return bool(self.prefill.own_jobs or self.requests.own_jobs)

    def record_connect_failure(self, now: int) -> None:
        """Start or double the backoff after a failure to connect."""
        self.backoff = min(max(2 * self.backoff, MIN_CONNECT_BACKOFF_US), MAX_CONNECT_BACKOFF_US)
        self.backoff_until = now + self.backoff

    def record_answer(self, now: int) -> None:
        """End the backoff: the worker has answered."""
        self.answered_at = now
        self.backoff = 0
        self.backoff_until = 0

    def is_answer_overdue(self, now: int) -> bool:
        """Whether an answer is overdue and the worker has given no answer since its deadline."""
        return any(
            deadline < now and deadline > self.answered_at for deadline in self.answer_deadlines.values()
        )
