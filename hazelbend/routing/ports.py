"""The router's interface to its surroundings: value types, and Protocols for clients and discovery."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeAlias

from hazelbend.decisions.interface import LoadReport, Outcome, WorkerState


@dataclass(slots=True, frozen=True)
class Job:
    """A client's job. Routing uses the numeric fields; the other fields are forwarded unchanged."""

    id: str
    class_index: int
    tenant: int
    timeout_us: int  # from its arrival until the client gives up
    key: int = 0  # affinity key; 0: none
    slots: float = 1.0
    expected_work: int = 0  # the client's estimate of the cost; 0: not given
    target: str = "/"
    body: bytes = b""
    idempotency_key: str | None = None


class Verdict(Enum):
    """How a request ends."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a job."""

    verdict: Verdict
    result: bytes = b""
    retry_after: int = 0  # microseconds
    is_expired: bool = False  # it failed because its deadline passed
    reason: str = ""  # further explanation for the client, if there is any


class PendingJob(Protocol):
    """An accepted job that is being routed, or is queued for routing."""

    @property
    def answered(self) -> asyncio.Future[Answer]:
        """A future that is done once the final answer is set."""

    def on_client_disconnected(self) -> None:
        """Handle the disconnection of the client."""

    def reply(self) -> asyncio.Future[Answer]:
        """Return a new future of the final answer, which the caller may cancel."""


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The result of an attempt, as reported by the backend's client."""

    outcome: Outcome
    result: bytes = b""
    load: LoadReport | None = None
    stale: bool = False  # a reused connection was reset before any byte of the response arrived


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """A backend's report that a job has started, or how much of it is done."""

    fraction: float | None = None  # from 0 to 1; None: the job has just started


@dataclass(slots=True, frozen=True)
class AttemptWritten:
    """The last byte of an attempt was written to its backend: from now on the backend may execute it."""


BeforeFirstByte: TypeAlias = Callable[[], int | None]
"""Called as soon as an attempt can be written, in the same iteration of the event loop as the write. Returns
the microseconds that remain for the attempt, which are sent in its header, or None if it may no longer be
sent and must end as `NOT_SENT`."""


AttemptCallback: TypeAlias = Callable[[ProgressReport | AttemptWritten], None]
"""Called once with `AttemptWritten`, then with each progress report."""


class BackendClient(Protocol):
    """The client of one backend."""

    async def attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        """Connect, call `before_first_byte`, write the job, and read the response.

        Cancelling the call aborts the attempt, so that the backend stops it.
        """

    async def probe(self, timeout_us: int) -> AttemptResult:
        """Request a load report; give up after `timeout_us`."""

    def close(self) -> None:
        """Release the client of a backend that is no longer listed."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of an endpoint list: a backend server."""

    host: str
    dial: str  # the address to connect to
    zone: int
    kind: int  # of machine
    cell: int
    state: WorkerState
    weight: float
    started_at: int  # Unix time in microseconds; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A complete endpoint list, or the changed entries of one."""

    entries: tuple[Endpoint, ...] = ()
    is_complete: bool = False
    failed: bool = False  # the call for a list failed; there are no entries
    seq: int = 0  # sequence number of the list


class Discovery(Protocol):
    """A source of endpoint lists."""

    def subscribe(self, on_list: Callable[[EndpointList], None]) -> None:
        """Call `on_list` with exactly one list, then with its changes, until one of them is `failed`."""


@dataclass(slots=True)
class RequestCounters:
    """Counters since the start of the process. Every interface that shows counts reads them here."""

    received: int = 0
    abandoned: int = 0  # the client disconnected before the answer
    answers: Counter[tuple[int, Verdict]] = field(default_factory=Counter)  # by class index and verdict
    forwards: int = 0  # attempts written completely
    outcomes: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))

    @property
    def verdicts(self) -> dict[Verdict, int]:
        """Answers of all classes, by verdict."""
        return {
            verdict: sum(count for (_, answered), count in self.answers.items() if answered is verdict)
            for verdict in Verdict
        }
