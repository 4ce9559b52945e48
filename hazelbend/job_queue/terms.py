"""The types of the job queue: what a client asks for a job, the bounds, and the engine's effects. No logic.

Times are whole microseconds of the router's monotonic clock. Only `not_before` is Unix time by the wall
clock: a reservation for six o'clock is for six by that clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

JobKey: TypeAlias = tuple[str, str]  # a client, and its own id of the job


class DependencyCondition(Enum):
    """Which end of its parent a job needs."""

    SERVED = "served"
    ENDED = "ended"  # in any way


class JobOutcome(Enum):
    """How a job ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CLIENT_DISCONNECTED = "its client left"
    EXPIRED = "expired"
    NEVER_SUBMITTED = "never came"


@dataclass(slots=True, frozen=True)
class Dependency:
    """A job of the same client that this one waits for."""

    id: str
    condition: DependencyCondition = DependencyCondition.SERVED


@dataclass(slots=True, frozen=True)
class JobTerms:
    """What a client asks for a job."""

    after: tuple[Dependency, ...] = ()
    not_before: int | None = None  # wall clock
    # An answer by then has its full value; 0: by its class's objective, from when the job is ready.
    due_at: int = 0
    takes_results: bool = False  # its parents' results are added to its body

    @property
    def waits(self) -> bool:
        """Whether the job may wait for more than a place."""
        return bool(self.after) or self.not_before is not None


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A job as the engine sees it."""

    key: JobKey
    class_index: int
    tenant: int
    deadline: int  # when its client gives up
    size_bytes: int = 0  # bytes that it holds while it waits
    terms: JobTerms = JobTerms()
    objective: int = 0  # of its class; 0: none but the deadline
    late_value: float = 0.0  # part of the value that a late answer has
    bypasses_admission: bool = False  # takes no place; submitted so that others can wait for it


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds on the queue and on what is in service. They are described in `deploy/waiting.toml`."""

    waiting: int = 10_000  # jobs that wait, on whatever
    waiting_bytes: int = 64 * 1024 * 1024
    by_client: int = 1_000
    parents: int = 64  # of one job
    children: int = 1_000
    depth: int = 100  # of a chain of jobs that wait on each other
    submission_timeout_us: int = 5_000_000  # how long others may wait for an id that was not submitted
    remember: int = 10_000  # jobs that ended, for those that come later and name them
    ended_job_ttl_us: int = 60_000_000
    result_bytes: int = 65_536  # handed to one child
    in_service: int = 0  # jobs at once; 0: no admission, whatever is ready goes
    by_class: tuple[tuple[int, int], ...] = ()  # class, jobs of it at once
    shares: tuple[tuple[int, float], ...] = ()  # tenant, its part of `in_service`
    aged: int = 1  # of `in_service`: how many may be late ones or a tenant's excess while others queue


@dataclass(slots=True, frozen=True)
class Release:
    """The job may run now, with its parents' results if it asked for them."""

    key: JobKey
    results: tuple[tuple[str, bytes], ...] = ()


@dataclass(slots=True, frozen=True)
class Rejection:
    """The final answer of a job that has not run, so that a retry is harmless."""

    key: JobKey
    end: JobOutcome
    reason: str
    retry_after: int = 0  # microseconds; 0: not known


Effect: TypeAlias = Release | Rejection


class TermsError(ValueError):
    """The terms cannot be met by any wait; the text tells the client why."""
