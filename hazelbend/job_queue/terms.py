"""What a client may ask of a waiting job, what bounds it, and what the engine says. No logic.

Times are whole microseconds: on the core's monotonic clock, but for `not_before`, which is Unix time by the
wall clock, as a reservation for six o'clock is for six by the clock on the wall.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

Key: TypeAlias = tuple[str, str]  # a client, and its own id of the job


class Edge(Enum):
    """What a job needs of one that it waits for."""

    SERVED = "served"
    ENDED = "ended"  # however


class End(Enum):
    """How a job ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LEFT = "its client left"
    EXPIRED = "expired"
    NEVER_CAME = "never came"


@dataclass(slots=True, frozen=True)
class After:
    id: str
    edge: Edge = Edge.SERVED


@dataclass(slots=True, frozen=True)
class Terms:
    after: tuple[After, ...] = ()
    not_before: int | None = None  # wall clock
    wanted_by: int = (
        0  # an answer by then earns the full worth; 0: its class's objective from when it is ready
    )
    takes_results: bool = False  # its parents' results go with it

    @property
    def waits(self) -> bool:
        return bool(self.after) or self.not_before is not None


@dataclass(slots=True, frozen=True)
class Request:
    """A job as the engine sees it."""

    key: Key
    class_index: int
    tenant: int
    deadline: int  # when its client gives up
    size: int = 0  # bytes that it holds while it waits
    terms: Terms = Terms()
    objective: int = 0  # of its class; 0: none but the deadline
    late_worth: float = 0.0  # part of the worth that a late answer earns
    passes: bool = False  # it takes no place: it is here for others to wait for


@dataclass(slots=True, frozen=True)
class Bounds:
    waiting: int = 10_000  # jobs that wait, on whatever
    waiting_bytes: int = 64 * 1024 * 1024
    by_client: int = 1_000
    parents: int = 64  # of one job
    children: int = 1_000
    depth: int = 100  # of a chain of jobs that wait on each other
    come_within: int = 5_000_000  # how long an id that is not known yet may take to come
    remember: int = 10_000  # jobs that ended, for those that come later and name them
    remember_for: int = 60_000_000
    result_bytes: int = 65_536  # handed to one child
    in_service: int = 0  # jobs at once; 0: no admission, whatever is ready goes
    by_class: tuple[tuple[int, int], ...] = ()  # class, jobs of it at once
    shares: tuple[tuple[int, float], ...] = ()  # tenant, its part of `in_service`
    aged: int = 1  # of `in_service`: how many may be late ones or a tenant's excess while others queue


@dataclass(slots=True, frozen=True)
class Release:
    """It may run now; with its parents' results, where it asked for them."""

    key: Key
    results: tuple[tuple[str, bytes], ...] = ()


@dataclass(slots=True, frozen=True)
class Refusal:
    """Its one final answer. It has not run, so that trying again does no harm."""

    key: Key
    end: End
    reason: str
    retry_after: int = 0


Effect: TypeAlias = Release | Refusal


class TermsError(ValueError):
    """The terms cannot be met by any wait; the text tells the client why."""
