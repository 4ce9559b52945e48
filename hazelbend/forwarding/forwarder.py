"""Serves a request from arrival to final response: route, attempts, final response.

A request gets exactly one final response: a worker's; or 503 with `Retry-After` if it was certainly not
executed, 502 if it may have been executed, and 504 if its deadline has passed. If the head of a streamed
response has been sent already, the connection is aborted instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from hazelbend.forwarding.admission import Admission
from hazelbend.forwarding.attempts import AttemptRunner
from hazelbend.forwarding.final_responses import RETRY_AFTER_STARTING_S, fail, reject
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.ports import ClientRequest, ClientResponse, WorkerClient
from hazelbend.forwarding.prefill import PrefillStage
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.forwarding.retry_policy import RetryPolicy
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.statistics import Refusal


class Forwarder:
    """Serves requests, each in the task that calls `serve`."""

    def __init__(
        self,
        fleet: FleetState,
        client: WorkerClient,
        clock: Callable[[], int],
        new_budget: Callable[[], RetryBudget],
        seed: int,
    ) -> None:
        """`clock` returns microseconds; `new_budget` creates the retry budget of one service."""
        self._fleet = fleet
        self._clock = clock
        self.retry_policy = RetryPolicy(fleet, clock, new_budget)
        self._admission = Admission(fleet, clock, seed)
        self._prefill = PrefillStage(fleet, client, clock, self.retry_policy)
        self._attempts = AttemptRunner(fleet, client, clock, self.retry_policy, self._prefill)
        self.in_flight = 0

    async def serve(self, request: ClientRequest, client_response: ClientResponse) -> None:
        """Serve a request: send its one final response to the client."""
        table = self._fleet.route_table or await self._admission.wait_for_configuration(request)
        route = table.find(request.host, request.path) if table is not None else None
        if table is None or (route is None and not self._fleet.has_current_config()):
            self._count(Refusal.NO_CONFIGURATION)
            await reject(client_response, RETRY_AFTER_STARTING_S)
            return
        if route is None:
            await fail(client_response, HTTPStatus.NOT_FOUND)
            return
        context = self._admission.create_context(request, route)
        self.retry_policy.budget(context.service).record_request(self._clock())
        self.in_flight += 1
        try:
            remaining = context.deadline - self._clock()
            async with asyncio.timeout(max(remaining, 0) / 1e6):
                if not await self._attempts.run(context, client_response):
                    await self._give_up(context, client_response)
        except TimeoutError:
            await self._time_out(context, client_response)
        finally:
            self.in_flight -= 1
            self._prefill.free_handle(context)

    async def _give_up(self, context: RequestContext, client_response: ClientResponse) -> None:
        """Send the final response where no further attempt is allowed although time remains."""
        self._count(Refusal.FAILED if context.possible_executions else Refusal.NO_WORKER)
        if context.response_started:
            client_response.abort()
        elif context.possible_executions:
            await fail(client_response, HTTPStatus.BAD_GATEWAY)
        else:
            await reject(client_response)

    async def _time_out(self, context: RequestContext, client_response: ClientResponse) -> None:
        """Send the final response after the deadline. A cancelled send may have been executed."""
        self._count(Refusal.OUT_OF_TIME)
        if context.response_started:
            client_response.abort()
        elif context.possible_executions or context.sends:
            await fail(client_response, HTTPStatus.GATEWAY_TIMEOUT)
        else:
            await reject(client_response)

    def _count(self, reason: Refusal) -> None:
        self._fleet.placement.statistics.refusals[reason] += 1

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self._prefill.close()
