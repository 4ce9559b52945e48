"""The state of open requests and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.decisions.interface import (
    NEVER_RAN,
    AttemptEnded,
    JobClass,
    JobProgress,
    JobStarted,
    Outcome,
    RequestId,
    StreamStarted,
)
from hazelbend.decisions.worker import WarmupAttempt, Worker


@dataclass(slots=True, eq=False)
class Request:
    """A request that is unanswered or has an attempt in flight. Times in microseconds."""

    id: RequestId
    job: JobClass
    class_index: int
    deadline: int  # when the client gives up
    target: float  # an answer by then earns the full value
    work: float  # expected run time
    cost: float  # its work, in mean jobs
    key: int  # identifies the data that it needs; 0: none
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False  # it has its final response, or the client has disconnected
    pending_probes: int = 0  # probes whose answers the selection of a worker waits for
    candidates: list[Worker] = field(default_factory=list)  # for the next selection; empty: all workers

    @property
    def first_possible_run(self) -> Attempt | None:
        """The first attempt that the worker may have executed."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    @property
    def in_flight(self) -> list[Attempt]:
        """The attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return bool(self.in_flight)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a worker. Times in microseconds."""

    request: Request
    number: int
    worker: Worker
    sent_at: int
    suspicion_timeout: float = 0.0  # without a signal for longer, the worker counts as unresponsive
    cost: float = 1.0  # its work, in mean jobs
    fetches: bool = False  # its key's data is assumed not to be cached at the worker
    process_started_at: int = 0  # start of the worker's process, as listed when the attempt was decided
    warmup_attempt: WarmupAttempt | None = None  # its charge to the slow-start budget of the worker
    started_at: int = 0  # start of the job; 0: not reported
    last_signal_at: int = 0
    overtaken_by: int = 0  # number of later attempts at the same worker that have started before it
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have executed it."""
        return self.outcome not in NEVER_RAN


def find_attempt(
    requests: dict[RequestId, Request], event: JobStarted | JobProgress | StreamStarted | AttemptEnded
) -> Attempt | None:
    """Return the attempt of an event, or None if it is not in flight."""
    request = requests.get(event.request)
    if request is None or event.attempt >= len(request.attempts):
        return None
    attempt = request.attempts[event.attempt]
    return attempt if attempt.outcome is None else None
