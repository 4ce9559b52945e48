"""Data types of the job queue: a client's terms for a job, the bounds, and the effects of the engine.

Times are whole microseconds of the router's monotonic clock. Only `not_before` is Unix time by the wall
clock, since clients name start times by that clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

JobKey: TypeAlias = tuple[str, str]  # the client, and the id that it gave to the job


class DependencyCondition(Enum):
    """Which outcome of a parent its child requires."""

    SERVED = "served"
    ENDED = "ended"  # any outcome, except that it was never submitted


class JobOutcome(Enum):
    """How a job ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CLIENT_DISCONNECTED = "its client left"
    EXPIRED = "expired"
    NEVER_SUBMITTED = "never came"  # of an id that another job waited for


@dataclass(slots=True, frozen=True)
class Dependency:
    """A job of the same client that this one waits for."""

    id: str
    condition: DependencyCondition = DependencyCondition.SERVED


@dataclass(slots=True, frozen=True)
class JobTerms:
    """A client's terms for a job: when it may start, when it is due, and whether it takes results."""

    after: tuple[Dependency, ...] = ()
    not_before: int | None = None  # earliest start, by the wall clock
    # An answer by then has its full value. 0: due by the class's objective, from when the job is ready.
    due_at: int = 0
    takes_results: bool = False  # whether its parents' results are added to its body

    @property
    def waits(self) -> bool:
        """Whether the job may have to wait for anything other than a slot."""
        return bool(self.after) or self.not_before is not None


@dataclass(slots=True, frozen=True)
class JobRequest:
    """The properties of a job that the engine uses."""

    key: JobKey
    class_index: int
    tenant: int
    deadline: int  # when its client stops waiting
    size_bytes: int = 0  # memory that it uses while it waits
    terms: JobTerms = JobTerms()
    objective: int = 0  # latency objective of its class; 0: none but the deadline
    late_value: float = 0.0  # share of the full value that a late answer has
    bypasses_admission: bool = False  # uses no slot; submitted only so that others can wait for it


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds on waiting and running jobs. The settings are described in `deploy/waiting.toml`."""

    max_waiting: int = 10_000  # waiting jobs, whatever they wait for
    max_waiting_bytes: int = 64 * 1024 * 1024
    by_client: int = 1_000  # waiting jobs of one client
    parents: int = 64  # of one job
    children: int = 1_000  # of one job
    depth: int = 100  # length of a chain of jobs that wait for each other
    submission_timeout_us: int = 5_000_000  # how long to wait for a parent that is not submitted yet
    max_ended_jobs: int = 10_000  # outcomes of ended jobs, retained for children that are submitted later
    ended_job_ttl_us: int = 60_000_000  # how long they are retained
    result_bytes: int = 65_536  # results of parents that one child receives
    slots: int = 0  # jobs that may run at once; 0: unlimited, without admission
    by_class: tuple[tuple[int, int], ...] = ()  # class, its maximum of running jobs
    shares: tuple[tuple[int, float], ...] = ()  # tenant, its share of `slots`
    aged: int = 1  # of `slots`, those for aged jobs while jobs in time are queued


@dataclass(slots=True, frozen=True)
class Release:
    """The job may run now. `results` are those of its parents, if it takes them."""

    key: JobKey
    results: tuple[tuple[str, bytes], ...] = ()


@dataclass(slots=True, frozen=True)
class Rejection:
    """The final answer of a job that has not run, so it is safe to retry."""

    key: JobKey
    end: JobOutcome
    reason: str
    retry_after: int = 0  # microseconds; 0: unknown


Effect: TypeAlias = Release | Rejection


class TermsError(ValueError):
    """The terms can never be met, or the id is in use; the message is for the client."""
