"""The reading of a request's prompt by a worker of its own, before another one makes the tokens."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from hazelbend.forwarding.flow import MOST_TRIES, FleetState, Flow, Handle, end_of
from hazelbend.forwarding.patience import Patience, WorkerSilentError, patience_with
from hazelbend.forwarding.ports import BrokenError, NotSentError, WorkerClient
from hazelbend.placement.choices import Choice, Stage
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.retry_budget import RetryBudget

MOST_READS = 2  # calls that have a request's prompt read apart
READ_RANKS = (1_000, 2_500, 6_000, 12_000, 25_000)  # tokens from which a read waits for shorter ones


class _PrefillResult(msgspec.Struct):
    handle: str = msgspec.field(name="kvHandle")
    tokens: int = 0


_results = msgspec.json.Decoder(_PrefillResult)


def rank_of_read(tokens: int) -> int:
    """Short reads go first: they hold up the others least."""
    return sum(tokens >= bound for bound in READ_RANKS)


class PromptReader:
    """Has prompts read, and frees what was read and not taken. Times in microseconds."""

    def __init__(
        self,
        state: FleetState,
        client: WorkerClient,
        clock: Callable[[], int],
        budget: Callable[[str], RetryBudget],
    ) -> None:
        """`budget`: that of a service."""
        self._state, self._client, self._clock, self._budget = state, client, clock, budget
        self._freeing: set[asyncio.Task[None]] = set()

    async def read(self, flow: Flow) -> None:
        """Have a worker read the prompt; without success the worker that makes the tokens reads it."""
        placement = self._state.placement
        tried: set[str] = set()
        budget = self._budget(flow.service)
        for _ in range(MOST_TRIES):
            if not budget.allows_retry(self._clock(), self._state.routers):
                return  # a read that is rejected counts as one send more
            if flow.reads and not self._may_read_again(flow, budget):
                return
            pair = placement.selector.choose_pair(
                flow.service, flow.prompt, self._clock(), tried, flow.failure_costs
            )
            if pair is None or pair.prefill is None:
                return
            tried.add(pair.prefill.worker.record.instance)
            flow.handle = await self._read_at(flow, pair.prefill)
            if flow.handle is not None:
                return

    def _may_read_again(self, flow: Flow, budget: RetryBudget) -> bool:
        return flow.reads < MOST_READS and budget.try_spend(self._clock(), self._state.routers)

    async def _read_at(self, flow: Flow, choice: Choice) -> Handle | None:
        placement = self._state.placement
        send = placement.begin_attempt(choice, flow.prompt, self._clock(), takes_slot=False)
        reads = flow.reads
        rank = str(rank_of_read(choice.prefill_tokens))
        call = flow.call(choice, (("Phase", Stage.PREFILL.value), ("Priority", rank)))
        end: AttemptOutcome | None = None
        try:
            async with Patience(patience_with(choice), lambda: self._may_give_up(flow)):
                answer = await self._client.send(call, lambda: self._may_write(flow, choice))
                try:
                    self._state.heard(send, answer, self._clock())
                    if answer.not_executed:
                        self._budget(flow.service).charge(self._clock())
                    end = end_of(answer)
                    if answer.status != 200:
                        return None
                    result = _results.decode(await answer.body())
                    placement.observe_prefill(send, self._clock())
                    return Handle(choice.worker.record, result.handle)
                finally:
                    answer.close()
        except NotSentError as error:
            flow.reads = reads
            self._state.not_reached(choice, error, self._clock())
            return None
        except (BrokenError, msgspec.DecodeError, WorkerSilentError):
            end = AttemptOutcome.FAILED
            return None
        finally:
            if end is not None:
                self._state.tell_of(flow, send, end, self._clock())
            placement.end_attempt(send)

    def _may_give_up(self, flow: Flow) -> bool:
        """Whether another worker can be asked to read the prompt, or the one that makes the tokens can."""
        return self._budget(flow.service).allows_retry(self._clock(), self._state.routers)

    def _may_write(self, flow: Flow, choice: Choice) -> int | None:
        left = self._state.time_to_write(flow, choice, self._clock())
        if left is not None:
            flow.reads += 1
        return left

    def free(self, flow: Flow) -> None:
        """A handle that nobody has taken keeps memory from others."""
        if flow.handle is None:
            return
        reader = flow.handle.reader
        task = asyncio.create_task(
            self._client.free_handle(reader.address, reader.instance, flow.handle.name)
        )
        self._freeing.add(task)
        task.add_done_callback(self._freeing.discard)
        flow.handle = None

    async def close(self) -> None:
        """End what is still under way."""
        tasks = list(self._freeing)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
