"""Decides whether a request may be sent again, by its own limits and the retry budget of its service."""

from __future__ import annotations

from collections.abc import Callable

from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.retry_budget import RetryBudget

MAX_ATTEMPTS = 6  # attempts of one request per stage, including workers that could not be reached
MAX_SENDS = 3  # sends of one request that may have reached a worker, without prefill calls


class RetryPolicy:
    """The retry budgets by service, and the limits of one request. Times are in microseconds."""

    def __init__(
        self, fleet: FleetState, clock: Callable[[], int], new_budget: Callable[[], RetryBudget]
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self._new_budget()
        return budget

    def remaining_us(self, context: RequestContext) -> int:
        """Return the time until the deadline of the request."""
        return context.deadline - self._clock()

    def take_retry(self, context: RequestContext) -> bool:
        """Return whether a request that was sent before may be sent again; if so, charge the budget."""
        if context.sends >= MAX_SENDS:
            return False
        if context.possible_executions and not self.may_execute_again(context):
            return False
        return self.budget(context.service).try_spend(self._clock(), self._fleet.max_routers)

    @staticmethod
    def may_execute_again(context: RequestContext, in_flight: int = 0) -> bool:
        """Whether another execution of the request is allowed.

        `in_flight` executions count in addition to those whose outcome is unknown. A response that has
        started can only be continued if its events were tracked.
        """
        if context.response_started and context.event_splitter is None:
            return False
        route = context.route
        return route.is_idempotent and context.possible_executions + in_flight < route.retries

    def may_abandon(self, context: RequestContext) -> bool:
        """Whether the send in flight may be abandoned for another worker, although it may be executed."""
        return (
            context.sends < MAX_SENDS
            and self.may_execute_again(context, in_flight=1)
            and self.remaining_us(context) >= context.min_send_time
            and self.allows_retry(context)
        )

    def allows_retry(self, context: RequestContext) -> bool:
        """Whether the retry budget of the request's service allows one more send."""
        return self.budget(context.service).allows_retry(self._clock(), self._fleet.max_routers)
