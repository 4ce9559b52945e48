"""A job of the queue with its state and its edges in the dependency graph, and totals over all jobs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hazelbend.job_queue.terms import DependencyCondition, JobKey, JobOutcome, JobRequest


class JobState(Enum):
    """The state of a job. The table of transitions is in `engine`."""

    EXPECTED = "not come yet"  # not submitted, but named as a parent by another job
    BLOCKED = "blocked"
    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class QueuedJob:
    """A job until its final answer, or an id that is not submitted yet and that others wait for.

    Times are microseconds.
    """

    key: JobKey
    state: JobState
    request: JobRequest | None = None  # None in state EXPECTED
    arrived_at: int = 0
    queued_at: int = 0
    started_at: int = 0
    parents: dict[JobKey, DependencyCondition] = field(default_factory=dict)  # that have not ended
    children: dict[JobKey, None] = field(default_factory=dict)
    results: dict[str, bytes] = field(default_factory=dict)
    depth: int = 0  # length of the longest chain of parents above it
    not_before: int | None = None  # start time by the wall clock; None once it has passed
    aged: bool = False  # late, or beyond its tenant's share
    queue_entry: int = 0  # number of its valid queue entry; its entries with other numbers are invalid
    submission_deadline: int = 0  # in state EXPECTED: when to give up waiting for the submission

    @property
    def is_waiting(self) -> bool:
        """Whether it was submitted and is not running yet."""
        return self.state in (JobState.BLOCKED, JobState.QUEUED)


@dataclass(slots=True)
class Totals:
    """Counts since the start, for the `waiting.*` statistics."""

    waited: int = 0
    released: int = 0
    missed: int = 0  # jobs queued as in time that then missed their latest start
    rejected: Counter[JobOutcome] = field(default_factory=Counter)
    longest_wait_us: dict[int, int] = field(default_factory=dict)  # of released jobs, by class
