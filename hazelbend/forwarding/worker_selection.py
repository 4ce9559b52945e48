"""Selects the worker for a request's next send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hazelbend.forwarding.fleet_state import MIN_REMAINING_US, FleetState
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.choices import Choice

MAX_WORKER_WAIT_US = 700_000  # that a request waits for any worker of its service to be known
WORKER_POLL_S = 0.02


class WorkerSelector:
    """Asks the placement, and waits where no worker of the service is known yet. Times are microseconds."""

    def __init__(self, fleet: FleetState, clock: Callable[[], int]) -> None:
        self._fleet = fleet
        self._clock = clock

    def select(self, context: RequestContext) -> Choice | None:
        """Return the worker that executes or decodes the request, None where there is none left."""
        selector = self._fleet.placement.selector
        now = self._clock()
        if not context.uses_prefill_workers:
            return selector.choose(context.service, now, context.tried_instances, context.failure_costs)
        kv_source = context.kv_handle.worker if context.kv_handle is not None else None
        return selector.choose_decode_worker(
            context.service,
            context.prompt,
            kv_source,
            now,
            context.tried_instances,
            context.failure_costs,
        )

    async def wait_for_worker(self, context: RequestContext) -> Choice | None:
        """After a start the first workers of the service are about to be known."""
        wait_until = min(self._clock() + MAX_WORKER_WAIT_US, context.deadline - MIN_REMAINING_US)
        while self._clock() < wait_until:
            await asyncio.sleep(WORKER_POLL_S)
            choice = self.select(context)
            if choice is not None:
                return choice
        return None
