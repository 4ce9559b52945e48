"""Selects the worker for the next send of a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.choices import Choice

MAX_WORKER_WAIT_US = 700_000  # the longest wait of a request until any worker of its service is known
WORKER_POLL_S = 0.02


class WorkerSelector:
    """Selects by the placement engine, and waits while it knows no worker. Times are in microseconds."""

    def __init__(self, fleet: FleetState, clock: Callable[[], int]) -> None:
        self._fleet = fleet
        self._clock = clock

    def select(self, context: RequestContext) -> Choice | None:
        """Return the worker that executes or decodes the request, or None if none is left."""
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
        """Wait for the first worker of the service, which becomes known soon after a start."""
        wait_until = min(self._clock() + MAX_WORKER_WAIT_US, context.deadline - context.min_send_time)
        while self._clock() < wait_until:
            await asyncio.sleep(WORKER_POLL_S)
            choice = self.select(context)
            if choice is not None:
                return choice
        return None
