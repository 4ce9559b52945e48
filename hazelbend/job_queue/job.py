"""One job of the queue: its state, its position in the dependency graph, and the totals over all jobs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hazelbend.job_queue.terms import DependencyCondition, JobKey, JobOutcome, JobRequest


class JobState(Enum):
    """Where a job stands. The table of transitions is in `engine`."""

    EXPECTED = "not come yet"
    BLOCKED = "blocked"
    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class QueuedJob:
    """A job from its submission to its final answer, or an id that others wait for. Times in microseconds."""

    key: JobKey
    state: JobState
    request: JobRequest | None = None  # None: EXPECTED
    arrived_at: int = 0
    queued_at: int = 0
    started_at: int = 0
    parents: dict[JobKey, DependencyCondition] = field(default_factory=dict)  # that have not ended
    children: dict[JobKey, None] = field(default_factory=dict)
    results: dict[str, bytes] = field(default_factory=dict)
    depth: int = 0  # length of the chain of parents above it
    not_before: int | None = None  # wall time that has not come
    aged: bool = False
    queue_entry: int = 0  # number of its valid entry in a queue; entries with other numbers are void
    submission_deadline: int = 0  # EXPECTED: when it counts as never come

    @property
    def is_waiting(self) -> bool:
        """Whether it was submitted and does not run yet."""
        return self.state in (JobState.BLOCKED, JobState.QUEUED)


@dataclass(slots=True)
class Totals:
    """Counts since the start, for the `waiting.*` figures."""

    waited: int = 0
    released: int = 0
    missed: int = 0  # were in time when they were queued, and no longer when they would have started
    rejected: Counter[JobOutcome] = field(default_factory=Counter)
    longest_wait_us: dict[int, int] = field(default_factory=dict)  # by class, of released jobs
