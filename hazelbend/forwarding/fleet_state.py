"""What a router knows about the fleet: its routes, its workers, and how many routers there are."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from hazelbend.forwarding.errors import NotSentError, SendWithdrawnError
from hazelbend.forwarding.ports import WorkerResponse
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.choices import Attempt, Choice
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.routes import RouteTable

MIN_REMAINING_US = 30_000  # nothing is sent any more with less time than this
# They say nothing about a worker: it may have got the request with too little time left, or the request was
# meant for an instance that had its address before (RFC 9110, sections 15.6.5 and 15.5.20).
NEUTRAL_STATUSES = frozenset({HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.MISDIRECTED_REQUEST})


class FleetState:
    """The watches change it, and the forwarder reads it. Times are microseconds."""

    def __init__(self, placement: PlacementEngine) -> None:
        self.placement = placement
        self.route_table: RouteTable | None = None
        self.max_routers = 1  # the most that there have been
        self.has_current_config: Callable[[], bool] = lambda: False  # confirmed by a recent majority

    def apply_configuration(self, route_table: RouteTable) -> bool:
        """Put a configuration in force; return False where the known one is as new or newer."""
        known = self.route_table
        if known is not None and route_table.configuration.version <= known.configuration.version:
            return False
        self.route_table = route_table
        self.placement.services = route_table.services
        return True

    def time_to_send(self, context: RequestContext, choice: Choice, now: int) -> int | None:
        """Return the microseconds that remain, or None where the worker must not get the request now.

        Called when the connection is established: the worker may have started draining, and time has passed.
        """
        remaining = context.deadline - now
        worker = self.placement.workers.get(choice.worker.record.instance)
        if remaining < MIN_REMAINING_US or worker is None or not worker.accepts_work:
            return None
        return remaining

    def record_response(self, attempt: Attempt, response: WorkerResponse, now: int) -> None:
        """The head of a worker's response has arrived."""
        worker = attempt.worker
        self.placement.record_answer(attempt, now)
        if response.reported_in_flight is not None and not worker.record.phase:
            worker.requests.apply_report(max(response.reported_in_flight - worker.requests.own_jobs, 0), now)

    def record_outcome(
        self, context: RequestContext, attempt: Attempt, outcome: AttemptOutcome, now: int
    ) -> None:
        """A send has ended.

        A request that has failed on another worker before may itself be the cause, so its next failure is not
        counted against the worker.
        """
        if outcome is not AttemptOutcome.FAILED or not context.failed_sends:
            self.placement.record_outcome(attempt, outcome, now)
        context.failed_sends += outcome is AttemptOutcome.FAILED

    def record_not_sent(self, choice: Choice, error: NotSentError, now: int) -> None:
        """A call was not sent: a failure of the worker, unless our own check withdrew the call."""
        if not isinstance(error, SendWithdrawnError):
            choice.worker.record_connect_failure(now)


def outcome_of(response: WorkerResponse) -> AttemptOutcome | None:
    """Return what the head of a response says about its worker; None: nothing."""
    if response.status in NEUTRAL_STATUSES:
        return None
    if response.not_executed:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.FAILED if response.status >= 500 else AttemptOutcome.SERVED
