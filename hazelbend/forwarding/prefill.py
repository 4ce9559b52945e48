"""Disaggregated prefill: one worker computes the KV cache of a prompt, another one loads it and decodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Annotated, TypeAlias

import msgspec

from hazelbend.forwarding.errors import InvalidResponseError, NotSentError, OutcomeUnknownError
from hazelbend.forwarding.first_byte_timeout import FirstByteTimeout, first_byte_timeout_us
from hazelbend.forwarding.fleet_state import FleetState, outcome_of
from hazelbend.forwarding.ports import WorkerClient, WorkerResponse
from hazelbend.forwarding.request_context import KvHandle, RequestContext
from hazelbend.forwarding.retry_policy import MAX_ATTEMPTS, RetryPolicy
from hazelbend.placement.choices import Choice, Stage
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.retry_budget import RetryBudget

MAX_PREFILL_SENDS = 2  # prefill calls that may reach workers for one request
# Each of these prompt sizes that is reached lowers the priority by one level.
PRIORITY_BOUNDS_TOKENS = (1_000, 2_500, 6_000, 12_000, 25_000)
MAX_RESULT_BYTES = 64 * 1024  # of the body of a worker's response to a prefill call
# What can stand in a header and as a segment of a path (RFC 3986, section 3.3), with a bound on its length.
HANDLE_PATTERN = r"^(?!\.)[A-Za-z0-9._~!$&'()*+,;=:@-]{1,256}\Z"
KvHandleName: TypeAlias = Annotated[str, msgspec.Meta(pattern=HANDLE_PATTERN)]


class PrefillResult(msgspec.Struct):
    """The body of a worker's response to a prefill call."""

    handle: KvHandleName = msgspec.field(name="kvHandle")
    tokens: int = 0


_result_decoder = msgspec.json.Decoder(PrefillResult)


def prefill_priority(tokens: int) -> int:
    """Return the value of the header `Priority`, where 0 is the highest: short prompts delay others least."""
    return sum(tokens >= bound for bound in PRIORITY_BOUNDS_TOKENS)


async def _read_result(response: WorkerResponse) -> PrefillResult:
    """Return the result in the body of a response.

    Raises:
        InvalidResponseError: the body is too large, or not a result.
        ResponseBrokenError: the body ended prematurely.
    """
    body = bytearray()
    async for chunk in response.chunks():
        body += chunk
        if len(body) > MAX_RESULT_BYTES:
            raise InvalidResponseError("the result of a prefill call is too large")
    try:
        return _result_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidResponseError(str(error)) from None


class PrefillStage:
    """Sends prefill calls, and frees KV caches that no worker has loaded. Times are in microseconds."""

    def __init__(
        self,
        fleet: FleetState,
        client: WorkerClient,
        clock: Callable[[], int],
        retry_policy: RetryPolicy,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._retry_policy = retry_policy
        self._free_tasks: set[asyncio.Task[None]] = set()

    async def run(self, context: RequestContext) -> None:
        """Prefill the prompt and set the context's KV handle.

        The handle stays None on failure: the decode worker then prefills the prompt itself.
        """
        placement = self._fleet.placement
        budget = self._retry_policy.budget(context.service)
        tried_instances: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            if not budget.allows_retry(self._clock(), self._fleet.max_routers):
                return  # a rejected prefill call would be charged to the budget
            if context.prefill_sends and not self._take_retry(context, budget):
                return
            pair = placement.selector.choose_pair(
                context.service, context.prompt, self._clock(), tried_instances, context.failure_costs
            )
            if pair is None or pair.prefill is None:
                return
            tried_instances.add(pair.prefill.worker.record.instance)
            context.kv_handle = await self._prefill_at(context, pair.prefill)
            if context.kv_handle is not None:
                return

    def _take_retry(self, context: RequestContext, budget: RetryBudget) -> bool:
        if context.prefill_sends >= MAX_PREFILL_SENDS:
            return False
        return budget.try_spend(self._clock(), self._fleet.max_routers)

    async def _prefill_at(self, context: RequestContext, choice: Choice) -> KvHandle | None:
        """Send the prefill call to one worker; the timeout applies to its complete response."""
        placement = self._fleet.placement
        attempt = placement.begin_attempt(choice, context.prompt, self._clock(), takes_slot=False)
        sends_before = context.prefill_sends
        priority = str(prefill_priority(choice.prefill_tokens))
        call = context.worker_call(choice, (("Phase", Stage.PREFILL.value), ("Priority", priority)))
        outcome: AttemptOutcome | None = None
        try:
            async with FirstByteTimeout(
                first_byte_timeout_us(choice), lambda: self._retry_policy.allows_retry(context)
            ):
                response = await self._client.send(
                    call, lambda: self._check_before_first_byte(context, choice)
                )
                try:
                    self._fleet.record_response(attempt, response, self._clock())
                    if response.not_executed:
                        self._retry_policy.budget(context.service).charge(self._clock())
                    outcome = outcome_of(response)
                    if response.status != 200:
                        return None
                    result = await _read_result(response)
                    placement.observe_prefill(attempt, self._clock())
                    return KvHandle(choice.worker.record, result.handle)
                finally:
                    response.close()
        except NotSentError as error:
            context.prefill_sends = sends_before
            self._fleet.record_not_sent(choice, error, self._clock())
            return None
        except OutcomeUnknownError:
            outcome = AttemptOutcome.FAILED
            return None
        finally:
            if outcome is not None:
                self._fleet.record_outcome(context, attempt, outcome, self._clock())
            placement.end_attempt(attempt)

    def _check_before_first_byte(self, context: RequestContext, choice: Choice) -> int | None:
        """Return the remaining time, or None to withdraw the call. Called once the connection is open."""
        remaining = self._fleet.time_to_send(context, choice, self._clock())
        if remaining is not None:
            context.prefill_sends += 1
        return remaining

    def free_handle(self, context: RequestContext) -> None:
        """Start a task that frees a KV cache that no worker has loaded, as it uses memory of the worker."""
        if context.kv_handle is None:
            return
        worker = context.kv_handle.worker
        task = asyncio.create_task(
            self._client.free_handle(worker.address, worker.instance, context.kv_handle.name)
        )
        self._free_tasks.add(task)
        task.add_done_callback(self._free_tasks.discard)
        context.kv_handle = None

    async def close(self) -> None:
        """Cancel the calls that are in flight."""
        tasks = list(self._free_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
