"""Requests that are not answered yet, and their attempts: state that the decisions read and update."""

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
from hazelbend.decisions.worker import ColdAttempt, Worker


@dataclass(slots=True, eq=False)
class Request:
    """A request that has no answer yet, or an attempt in flight. Times in microseconds."""

    id: RequestId
    job: JobClass
    class_index: int
    deadline: int  # when the client gives up
    target: float  # an answer until then earns the full value
    work: float  # expected run time
    cost: float  # its work, in mean jobs
    key: int  # what the request is about; 0: nothing
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    pending_probes: int = 0  # that the selection of its worker waits for
    candidates: list[Worker] = field(default_factory=list)  # that it is selected from once they answer

    @property
    def first_possible_run(self) -> Attempt | None:
        """The first attempt that is not proved never to have run."""
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
    suspicion_timeout: float = 0.0  # how long silence after it is no cause for suspicion
    cost: float = 1.0  # its work, in mean jobs
    fetches: bool = False  # its key's data is not believed to be cached there
    process_started_at: int = 0  # of the worker's process, by the membership list at that time
    cold_attempt: ColdAttempt | None = None  # what it takes from the slow-start budget of the worker
    started_at: int = 0
    last_signal_at: int = 0
    overtaken_by: int = 0  # later attempts at the same worker that have started before it
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it is not proved that it never ran."""
        return self.outcome not in NEVER_RAN


def find_attempt(
    requests: dict[RequestId, Request], event: JobStarted | JobProgress | StreamStarted | AttemptEnded
) -> Attempt | None:
    """Return the attempt that an event is about, if it is still in flight."""
    request = requests.get(event.request)
    if request is None or event.attempt >= len(request.attempts):
        return None
    attempt = request.attempts[event.attempt]
    return attempt if attempt.outcome is None else None
