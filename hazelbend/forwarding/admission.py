"""The first step of a request: wait for a configuration, and create the context for forwarding."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from hazelbend.control.configuration import Route
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.ports import ClientRequest
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.prompt import parse_prompt
from hazelbend.placement.routes import RouteTable

RESPONSE_MARGIN_US = 8_000  # part of the timeout that is reserved for the response to reach the client
RESPONSE_MARGIN_DIVISOR = 10  # the margin is at most the timeout divided by this
MAX_CONFIGURATION_WAIT_US = 1_200_000  # wait of a request for the first configuration after a start
CONFIGURATION_POLL_S = 0.02
EXPLORATION_RATIO = 0.05  # fraction of idempotent requests that test whether failing workers have recovered


class Admission:
    """Waits for the configuration, and creates the context of each request. Times are in microseconds."""

    def __init__(self, fleet: FleetState, clock: Callable[[], int], seed: int) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = random.Random(seed)

    async def wait_for_configuration(self, request: ClientRequest) -> RouteTable | None:
        """Wait for the first configuration, which arrives soon after a start; None if it does not in time."""
        wait = MAX_CONFIGURATION_WAIT_US
        if request.timeout_us is not None:
            wait = min(wait, request.timeout_us // 2)
        wait_until = request.arrived_at + wait
        while self._fleet.route_table is None and self._clock() < wait_until:  # noqa: ASYNC110 (virtual clock)
            await asyncio.sleep(CONFIGURATION_POLL_S)
        return self._fleet.route_table

    def create_context(self, request: ClientRequest, route: Route) -> RequestContext:
        """Choose the service, set the deadline and parse the prompt's headers."""
        timeout = route.timeout_ms * 1_000
        if request.timeout_us is not None:
            timeout = min(timeout, request.timeout_us)
        margin = min(RESPONSE_MARGIN_US, timeout // RESPONSE_MARGIN_DIVISOR)
        service = route.pick_service(self._random)
        return RequestContext(
            request=request,
            route=route,
            service=service,
            prompt=parse_prompt(request.token_usage, request.prefix_hash),
            uses_prefill_workers=route.is_stream and self._fleet.placement.has_phases(service),
            deadline=request.arrived_at + timeout - margin,
            is_exploration=route.is_idempotent and self._random.random() < EXPLORATION_RATIO,
        )
