"""The attempts of one request: each selects a worker, sends the request and relays the response.

A connection is established some time after its worker was selected. `_check_before_first_byte` therefore
repeats the checks that allow the send, in the iteration of the event loop in which the request is written.
"""

from __future__ import annotations

from collections.abc import Callable

from hazelbend.forwarding.errors import NotSentError, OutcomeUnknownError, WorkerFailedError
from hazelbend.forwarding.first_byte_timeout import FirstByteTimeout, first_byte_timeout_us
from hazelbend.forwarding.fleet_state import FleetState, outcome_of
from hazelbend.forwarding.ports import ClientResponse, WorkerClient
from hazelbend.forwarding.prefill import PrefillStage
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.forwarding.response_relay import ResponseRelay
from hazelbend.forwarding.retry_policy import MAX_ATTEMPTS, RetryPolicy
from hazelbend.forwarding.send_log import log_not_sent, log_rejection, log_unknown_outcome
from hazelbend.forwarding.worker_selection import WorkerSelector
from hazelbend.placement.choices import Choice
from hazelbend.placement.reliability import AttemptOutcome


class AttemptRunner:
    """Sends a request to one worker after another, until one gives the final response."""

    def __init__(
        self,
        fleet: FleetState,
        client: WorkerClient,
        clock: Callable[[], int],
        retry_policy: RetryPolicy,
        prefill: PrefillStage,
    ) -> None:
        """`clock` returns microseconds."""
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._retry_policy = retry_policy
        self._prefill = prefill
        self._selector = WorkerSelector(fleet, clock)
        self._relay = ResponseRelay(fleet, clock)

    async def run(self, context: RequestContext, client_response: ClientResponse) -> bool:
        """Return True once the client has its final response, False if no further attempt is allowed."""
        if context.uses_prefill_workers:
            await self._prefill.run(context)
        for _ in range(MAX_ATTEMPTS):
            if self._retry_policy.remaining_us(context) < context.min_send_time:
                return False
            if context.sends and not self._retry_policy.take_retry(context):
                return False
            choice = self._selector.select(context)
            if choice is None and not context.tried_instances:
                choice = await self._selector.wait_for_worker(context)
            if choice is None:
                return False
            if await self._attempt(context, choice, client_response):
                return True
        return False

    async def _attempt(
        self, context: RequestContext, choice: Choice, client_response: ClientResponse
    ) -> bool:
        """Send the request to one worker; return True once the client has its final response."""
        placement = self._fleet.placement
        context.tried_instances.add(choice.worker.record.instance)
        attempt = placement.begin_attempt(choice, context.prompt, self._clock(), takes_slot=True)
        sends_before = context.sends
        outcome: AttemptOutcome | None = None
        try:
            call = context.worker_call(choice)
            async with FirstByteTimeout(
                first_byte_timeout_us(choice), lambda: self._retry_policy.may_abandon(context)
            ) as timeout:
                response = await self._client.send(
                    call, lambda: self._check_before_first_byte(context, choice)
                )
                try:
                    self._fleet.record_response(attempt, response, self._clock())
                    outcome = outcome_of(response)
                    if response.not_executed:
                        log_rejection(context, choice, response)
                        return False
                    if response.status >= 500 and self._retry_policy.may_abandon(context):
                        raise WorkerFailedError(f"status {response.status}")
                    if context.kv_handle is not None:
                        placement.record_kv_transfer(attempt, context.prompt)
                        context.kv_handle = None  # the worker owns the KV cache now
                    await self._relay.relay(context, attempt, response, client_response, timeout)
                    if response.status < 500:
                        placement.observe_service_time(attempt, self._clock())
                    return True
                finally:
                    response.close()
        except NotSentError as error:
            context.sends = sends_before
            self._fleet.record_not_sent(choice, error, self._clock())
            log_not_sent(context, choice, error)
            return False
        except OutcomeUnknownError as error:
            outcome = AttemptOutcome.FAILED
            self._record_possible_execution(context, error)
            log_unknown_outcome(context, choice, error)
            return False
        finally:
            if outcome is not None:
                self._fleet.record_outcome(context, attempt, outcome, self._clock())
            placement.end_attempt(attempt)

    def _check_before_first_byte(self, context: RequestContext, choice: Choice) -> int | None:
        """Return the remaining time, or None to withdraw the send. Called once the connection is open."""
        remaining = self._fleet.time_to_send(context, choice, self._clock())
        if remaining is not None:
            context.sends += 1
        return remaining

    def _record_possible_execution(self, context: RequestContext, error: OutcomeUnknownError) -> None:
        context.possible_executions += 1
        statistics = self._fleet.placement.statistics
        statistics.unknown_outcomes[type(error).__name__] += 1
        statistics.retries += self._retry_policy.may_execute_again(context)
        context.kv_handle = None  # the worker may own the KV cache now
