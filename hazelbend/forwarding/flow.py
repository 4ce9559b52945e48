"""What a router knows of one request on its way, and of the fleet around it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hazelbend.control.workers import WorkerRecord
from hazelbend.forwarding.event_stream import EventSplitter
from hazelbend.forwarding.ports import ClientRequest, Headers, NotSentError, WorkerAnswer, WorkerCall
from hazelbend.placement.engine import Choice, Placement, Send
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.routes import Route, RouteTable

LEAST_LEFT = 30_000  # microseconds below which nothing is sent any more
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
    handle: Handle | None = None
    begun: bool = False  # the head of the answer has gone to the client
    events: EventSplitter | None = None

    def call(self, choice: Choice, extra: Headers) -> WorkerCall:
        """This request as a call to the worker that was chosen, and to no other at its address."""
        record = choice.worker.record
        return WorkerCall(record.address, self.request, (("Expect-Instance", record.instance), *extra))


class FleetState:
    """What a router knows of the fleet. Changed by the watch, read by the forwarder."""

    def __init__(self, placement: Placement) -> None:
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
        if left < LEAST_LEFT or current is None or not current.takes_work:
            return None
        return left

    def heard(self, send: Send, answer: WorkerAnswer, now: int) -> None:
        """A worker has answered."""
        worker = send.worker
        self.placement.heard_of(send, now)
        if answer.held is not None and not worker.record.phase:
            worker.running.reported(max(answer.held - worker.running.own, 0), now)

    def not_reached(self, choice: Choice, error: NotSentError, now: int) -> None:
        """A call was not sent: a sign against the worker, unless it was withdrawn by our own check."""
        if not error.withdrawn:
            choice.worker.failed(now)
