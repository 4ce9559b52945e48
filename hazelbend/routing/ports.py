"""The values that cross the core's border, and the Protocols that clients and discovery implement."""

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
    """What a client requests. Routing goes by the numbers; the rest is forwarded unchanged."""

    id: str
    class_index: int
    tenant: int
    timeout_us: int  # until the client gives up
    key: int = 0
    slots: float = 1.0
    expected_work: int = 0
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
    """The one final answer of a flow."""

    verdict: Verdict
    result: bytes = b""
    retry_after: int = 0  # microseconds
    is_expired: bool = False  # failed because its time was over
    reason: str = ""  # for the client, where there is more to say


class PendingJob(Protocol):
    """A job that was accepted: it is routed, or waits to be."""

    @property
    def answered(self) -> asyncio.Future[Answer]:
        """Done with the one final answer."""

    def on_client_disconnected(self) -> None:
        """The client has disconnected."""

    def reply(self) -> asyncio.Future[Answer]:
        """Return the answer in a future that the caller may cancel."""


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended, as its client saw it."""

    outcome: Outcome
    result: bytes = b""
    load: LoadReport | None = None
    stale: bool = False  # reset on a reused connection before a byte of the answer came


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """A job has started (no fraction yet) or got on."""

    fraction: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptWritten:
    """The last byte of an attempt was written to its server: from now on it may run."""


BeforeFirstByte: TypeAlias = Callable[[], int | None]
"""Called in the turn of the loop in which an attempt can be written. Returns the microseconds that remain
for it, which go into its head, or None where it may no longer be sent and ends as `NOT_SENT`."""


AttemptCallback: TypeAlias = Callable[[ProgressReport | AttemptWritten], None]
"""Called with `AttemptWritten` once, then with the progress reports."""


class BackendClient(Protocol):
    """The client of one backend. To cancel a call aborts the attempt, so that the backend stops it."""

    async def attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        """Connect, call `before_first_byte`, write, and read the answer."""

    async def probe(self, timeout_us: int) -> AttemptResult:
        """Ask for the load report; give up after `timeout_us`."""

    def close(self) -> None:
        """The backend is no longer listed."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list of backend servers."""

    host: str
    dial: str
    zone: int
    kind: int
    cell: int
    state: WorkerState
    weight: float
    started_at: int  # Unix time in microseconds; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A complete list, or the entries that changed; no entries and `failed` when a call gave nothing."""

    entries: tuple[Endpoint, ...] = ()
    is_complete: bool = False
    failed: bool = False
    seq: int = 0


class Discovery(Protocol):
    """Where lists come from. Each `subscribe` brings exactly one list, then its changes."""

    def subscribe(self, on_list: Callable[[EndpointList], None]) -> None:
        """Call `on_list` with one list, then with its changes, until one is `failed`."""


@dataclass(slots=True)
class RequestCounters:
    """Counts since the start of the process; all that shows counts reads them here."""

    received: int = 0
    abandoned: int = 0  # the client left before the answer
    answers: Counter[tuple[int, Verdict]] = field(default_factory=Counter)  # by class
    forwards: int = 0  # attempts written completely
    outcomes: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))

    @property
    def verdicts(self) -> dict[Verdict, int]:
        """Answers of all classes, by verdict."""
        return {
            verdict: sum(count for (_, answered), count in self.answers.items() if answered is verdict)
            for verdict in Verdict
        }
