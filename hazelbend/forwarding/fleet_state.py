"""A router's state of the fleet: the routes, the workers and the number of routers."""

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

# Statuses that say nothing about the worker's health: the request may have arrived with too little time left,
# or was meant for an instance that had the address before (RFC 9110, sections 15.6.5 and 15.5.20).
NEUTRAL_STATUSES = frozenset({HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.MISDIRECTED_REQUEST})


class FleetState:
    """The state that watches update and the forwarder reads. Times are in microseconds."""

    def __init__(self, placement: PlacementEngine) -> None:
        self.placement = placement
        self.route_table: RouteTable | None = None
        self.max_routers = 1  # the highest number of routers so far
        self.has_current_config: Callable[[], bool] = lambda: False  # confirmed by a recent majority

    def apply_configuration(self, route_table: RouteTable) -> bool:
        """Apply a configuration; return False if the current one is at least as new."""
        known = self.route_table
        if known is not None and route_table.configuration.version <= known.configuration.version:
            return False
        self.route_table = route_table
        self.placement.services = route_table.services
        return True

    def time_to_send(self, context: RequestContext, choice: Choice, now: int) -> int | None:
        """Return the remaining microseconds, or None if the worker must not get the request any more.

        Called when the connection is established: the worker may have started draining since it was selected,
        and time has passed.
        """
        remaining = context.deadline - now
        worker = self.placement.workers.get(choice.worker.record.instance)
        if remaining < context.min_send_time or worker is None or not worker.accepts_work:
            return None
        return remaining

    def record_response(self, attempt: Attempt, response: WorkerResponse, now: int) -> None:
        """Record the head of a worker's response."""
        worker = attempt.worker
        self.placement.record_answer(attempt, now)
        if response.reported_in_flight is not None and not worker.record.phase:
            worker.requests.apply_report(max(response.reported_in_flight - worker.requests.own_jobs, 0), now)

    def record_outcome(
        self, context: RequestContext, attempt: Attempt, outcome: AttemptOutcome, now: int
    ) -> None:
        """Record the outcome of a send.

        A request that has failed at another worker before may itself be the cause, so its next failure is not
        counted against the worker.
        """
        if outcome is not AttemptOutcome.FAILED or not context.failed_sends:
            self.placement.record_outcome(attempt, outcome, now)
        context.failed_sends += outcome is AttemptOutcome.FAILED

    def record_not_sent(self, choice: Choice, error: NotSentError, now: int) -> None:
        """Record a call that was not sent: a connect failure of the worker, unless the router withdrew it."""
        if not isinstance(error, SendWithdrawnError):
            choice.worker.record_connect_failure(now)


def outcome_of(response: WorkerResponse) -> AttemptOutcome | None:
    """Return the outcome that the head of a response shows, or None if it says nothing about the worker."""
    if response.status in NEUTRAL_STATUSES:
        return None
    if response.not_executed:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.FAILED if response.status >= 500 else AttemptOutcome.SERVED
