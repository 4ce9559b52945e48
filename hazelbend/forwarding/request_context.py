"""The state of one request from its arrival to its final response."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control.configuration import Route
from hazelbend.control.workers import WorkerRecord
from hazelbend.forwarding.event_stream import EventSplitter
from hazelbend.forwarding.ports import ClientRequest, Headers, WorkerCall
from hazelbend.placement.choices import Choice
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.reliability import NO_FAILURE_COSTS, FailureCosts

# With less time left nothing is sent: at most this, and this part of the route's timeout if that is short.
MAX_MIN_SEND_TIME_US = 30_000
MIN_SEND_TIME_DIVISOR = 2
REJECTION_COST_RATIO = 0.1  # cost of a rejection to a request, as a fraction of its route's latency target


@dataclass(slots=True, frozen=True)
class KvHandle:
    """Refers to the KV cache of a prompt, kept by the worker that has prefilled it."""

    worker: WorkerRecord
    name: str

    @property
    def kv_from(self) -> str:
        """The value of the header `Kv-From`."""
        return f"{self.worker.address}/{self.name}"


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request and its progress so far. Times are in microseconds."""

    request: ClientRequest
    route: Route
    service: str
    prompt: Prompt
    uses_prefill_workers: bool  # one worker may prefill the prompt, and another one decode
    deadline: int
    tried_instances: set[str] = field(default_factory=set)
    used_connections: set[object] = field(default_factory=set)  # see `WorkerCall`
    sends: int = 0  # sends that may have reached a worker, without prefill calls
    prefill_sends: int = 0
    possible_executions: int = 0  # those of `sends` whose outcome is unknown
    failed_sends: int = 0  # including prefill calls
    kv_handle: KvHandle | None = None
    is_exploration: bool = False  # workers are chosen regardless of their past failures
    response_started: bool = False  # the head of the response has been sent to the client
    event_splitter: EventSplitter | None = None

    @property
    def failure_costs(self) -> FailureCosts:
        """The costs of a worker's failures to this request, as time.

        A failed execution costs the time of another one, or the whole timeout if the request must not be
        repeated. A rejection costs a round trip and a part of the retry budget.
        """
        if self.is_exploration:
            return NO_FAILURE_COSTS
        target = self.route.target_ms * 1_000.0
        failure = target if self.route.is_idempotent else max(target, self.route.timeout_ms * 1_000.0)
        return FailureCosts(failure, REJECTION_COST_RATIO * target, target)

    @property
    def min_send_time(self) -> int:
        """The remaining time with which the request is still sent to a worker."""
        return min(MAX_MIN_SEND_TIME_US, self.route.timeout_ms * 1_000 // MIN_SEND_TIME_DIVISOR)

    def worker_call(self, choice: Choice, extra_headers: Headers = ()) -> WorkerCall:
        """Return this request as a call to the chosen worker.

        With `Expect-Instance`, another worker that has taken over the address answers 421. Further headers
        name the prefilled KV cache, and the last event that was sent to the client, if there are any.
        """
        record = choice.worker.record
        headers: Headers = (("Expect-Instance", record.instance), *extra_headers)
        if self.kv_handle is not None:
            headers += (("Kv-From", self.kv_handle.kv_from),)
        if self.event_splitter is not None and self.event_splitter.last_event_id:
            headers += (("Last-Event-Id", self.event_splitter.last_event_id),)
        return WorkerCall(record.address, self.request, headers, self.used_connections)
