"""What a router knows of one request on its way, and of the fleet around it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hazelbend.control.workers import WorkerRecord
from hazelbend.forwarding.event_stream import EventSplitter
from hazelbend.forwarding.ports import ClientRequest, Headers, NotSentError, WorkerAnswer, WorkerCall
from hazelbend.placement.choices import Attempt, Choice
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.reliability import NO_FAILURE_COSTS, AttemptOutcome, FailureCosts
from hazelbend.placement.routes import Route, RouteTable

LEAST_LEFT = 30_000  # microseconds below which nothing is sent any more
REJECTION_PART = 0.1  # of a route's target, that a rejection is worth
MOST_TRIES = 6  # workers that one try may turn to for a stage, those that were not reached included


@dataclass(slots=True, frozen=True)
class Handle:
    """A prompt's memory, kept by the worker that has read it."""

    reader: WorkerRecord
    name: str

    @property
    def source(self) -> str:
        """What `Kv-From` says."""
        return f"{self.reader.address}/{self.name}"


@dataclass(slots=True, eq=False)
class Flow:
    """One request, and what has become of it so far."""

    request: ClientRequest
    route: Route
    service: str
    prompt: Prompt
    has_phases: bool  # its prompt may be read by one worker and answered by another
    deadline: int
    tried: set[str] = field(default_factory=set)  # instances
    sends: int = 0  # that may have arrived at a worker, beyond the reading of the prompt
    reads: int = 0
    may_have_run: int = 0  # of the sends
    failures: int = 0  # of sends and reads
    handle: Handle | None = None
    probes: bool = False  # it is sent where it is served soonest if all workers are well
    begun: bool = False  # the head of the answer has gone to the client
    events: EventSplitter | None = None

    @property
    def failure_costs(self) -> FailureCosts:
        """A run that fails costs the time in which another one may end, or all there was if it may not be
        repeated; a rejection costs a way there and back, and a part of the retry budget."""
        if self.probes:
            return NO_FAILURE_COSTS
        target = self.route.target_ms * 1_000.0
        failure = target if self.route.is_idempotent else max(target, self.route.timeout_ms * 1_000.0)
        return FailureCosts(failure, REJECTION_PART * target, target)

    def call(self, choice: Choice, extra: Headers) -> WorkerCall:
        """This request as a call to the worker that was chosen, and to no other at its address."""
        record = choice.worker.record
        return WorkerCall(record.address, self.request, (("Expect-Instance", record.instance), *extra))


class FleetState:
    """What a router knows of the fleet. Changed by the watch, read by the forwarder."""

    def __init__(self, placement: PlacementEngine) -> None:
        self.placement = placement
        self.table: RouteTable | None = None
        self.routers = 1  # the most that there have been
        self.is_current: Callable[[], bool] = lambda: False  # whether a majority has confirmed it of late

    def use(self, table: RouteTable) -> bool:
        """Put a configuration in force. False: a newer one is."""
        if self.table is not None and table.configuration.version <= self.table.configuration.version:
            return False
        self.table = table
        self.placement.services = table.services
        return True

    def time_to_write(self, flow: Flow, choice: Choice, now: int) -> int | None:
        """A connection is there: the microseconds that are left, or None where the worker must not get the
        request now."""
        left, current = flow.deadline - now, self.placement.workers.get(choice.worker.record.instance)
        if left < LEAST_LEFT or current is None or not current.accepts_work:
            return None
        return left

    def heard(self, send: Attempt, answer: WorkerAnswer, now: int) -> None:
        """A worker has answered."""
        worker = send.worker
        self.placement.record_answer(send, now)
        if answer.held is not None and not worker.record.phase:
            worker.requests.apply_report(max(answer.held - worker.requests.own_jobs, 0), now)

    def tell_of(self, flow: Flow, send: Attempt, end: AttemptOutcome, now: int) -> None:
        """A send has ended. Of a request that has failed elsewhere before it may be at fault itself."""
        if end is not AttemptOutcome.FAILED or not flow.failures:
            self.placement.record_outcome(send, end, now)
        flow.failures += end is AttemptOutcome.FAILED

    def not_reached(self, choice: Choice, error: NotSentError, now: int) -> None:
        """A call was not sent: a sign against the worker, unless it was withdrawn by our own check."""
        if not error.withdrawn:
            choice.worker.record_connect_failure(now)


def end_of(answer: WorkerAnswer) -> AttemptOutcome | None:
    """What the head of an answer tells of its worker; None: nothing, as a request whose time is over in the
    worker's hands may have had too little of it, and one that asked for another instance is not its own."""
    if answer.status in (421, 504):
        return None
    if answer.not_executed:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.FAILED if answer.status >= 500 else AttemptOutcome.SERVED
