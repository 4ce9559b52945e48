"""The life of a request, from top to bottom: route, prompt, attempts, answer.

An attempt is an intention until its first byte: `_may_write` looks again at what allowed it once the
connection is there. A request gets one final answer: what the worker said, or 503 with `Retry-After` where it
surely never ran, 502 where it may have run, 504 where its time is over.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable

from hazelbend.forwarding.event_stream import EVENT_END, EventSplitter
from hazelbend.forwarding.flow import LEAST_LEFT, MOST_TRIES, FleetState, Flow, end_of
from hazelbend.forwarding.patience import Patience, WorkerSilentError, patience_with
from hazelbend.forwarding.ports import (
    BrokenError,
    ClientReply,
    ClientRequest,
    Headers,
    NotSentError,
    WorkerAnswer,
    WorkerClient,
)
from hazelbend.forwarding.prefill import PromptReader
from hazelbend.placement.choices import Attempt, Choice
from hazelbend.placement.prompt import parse_prompt
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import Route, RouteTable
from hazelbend.placement.statistics import Refusal

MARGIN = 8_000  # microseconds of the client's time that are kept for the way back
MOST_SENDS = 3  # arrivals at workers that one try may cause
WORKER_WAIT = 700_000  # microseconds that a request waits for any worker of its service to be known
TABLE_WAIT = 1_200_000  # and until a configuration is
WORKER_LOOK = 0.02  # seconds
PROBE_PART = 0.05  # of the requests that may be repeated: they find out whether a worker is well again
RETRY_AFTER_S = 0.25  # where nothing better is known
RETRY_AFTER_STARTING_S = 0.5
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say that a request has not run and never will
SIGNATURE = "server-signature"
REASONS = {404: b"no such route\n", 502: b"a worker failed\n", 503: b"refused\n", 504: b"too late\n"}


class Forwarder:
    """Serves requests, each in the task that calls `serve`."""

    def __init__(
        self,
        state: FleetState,
        client: WorkerClient,
        clock: Callable[[], int],
        budget: Callable[[], RetryBudget],
        seed: int,
    ) -> None:
        self._state, self._client, self._clock, self._new_budget = state, client, clock, budget
        self._random = random.Random(seed)
        self._budgets: dict[str, RetryBudget] = {}
        self._prompts = PromptReader(state, client, clock, self._budget)
        self.open = 0

    async def serve(self, request: ClientRequest, reply: ClientReply) -> None:
        """Give the request its one final answer."""
        table = self._state.table or await self._wait_for_table(request)
        route = table.find(request.host, request.path) if table is not None else None
        if table is None or (route is None and not self._state.is_current()):
            self._count(Refusal.NO_CONFIGURATION)
            await self._refuse(reply, RETRY_AFTER_STARTING_S)
            return
        if route is None:
            await self._fail(reply, 404)
            return
        flow = self._flow(request, route)
        self._budget(flow.service).record_request(self._clock())
        self.open += 1
        try:
            left = flow.deadline - self._clock()
            async with asyncio.timeout(max(left, 0) / 1e6):
                await self._run(flow, reply)
        except TimeoutError:
            self._count(Refusal.OUT_OF_TIME)
            if flow.begun:
                reply.abort()
            elif flow.may_have_run or flow.sends:
                await self._fail(reply, 504)
            else:
                await self._refuse(reply, RETRY_AFTER_S)
        finally:
            self.open -= 1
            self._prompts.free(flow)

    async def _wait_for_table(self, request: ClientRequest) -> RouteTable | None:
        """No configuration is known: after a start it is about to come."""
        patience = TABLE_WAIT if request.patience is None else min(TABLE_WAIT, request.patience // 2)
        while self._state.table is None and self._clock() < request.arrived_at + patience:
            await asyncio.sleep(WORKER_LOOK)
        return self._state.table

    def _flow(self, request: ClientRequest, route: Route) -> Flow:
        patience = route.timeout_ms * 1_000
        if request.patience is not None:
            patience = min(patience, request.patience)
        service = route.pick_service(self._random)
        return Flow(
            request=request,
            route=route,
            service=service,
            has_phases=route.is_stream and self._state.placement.has_phases(service),
            prompt=parse_prompt(request.token_usage, request.prefix_hash),
            probes=route.is_idempotent and self._random.random() < PROBE_PART,
            deadline=request.arrived_at + patience - min(MARGIN, patience // 10),
        )

    async def _run(self, flow: Flow, reply: ClientReply) -> None:
        if flow.has_phases:
            await self._prompts.read(flow)
        for _ in range(MOST_TRIES):
            if self._left(flow) < LEAST_LEFT:
                break
            if flow.sends and not self._may_send_again(flow):
                break
            choice = self._choose(flow)
            if choice is None and not flow.tried:
                choice = await self._wait_for_worker(flow)
            if choice is None:
                break
            if await self._attempt(flow, choice, reply):
                return
        await self._give_up(flow, reply)

    async def _give_up(self, flow: Flow, reply: ClientReply) -> None:
        self._count(Refusal.FAILED if flow.may_have_run else Refusal.NO_WORKER)
        if flow.begun:
            reply.abort()
        elif flow.may_have_run:
            await self._fail(reply, 502)
        else:
            await self._refuse(reply, RETRY_AFTER_S)

    # --- attempts ---

    async def _wait_for_worker(self, flow: Flow) -> Choice | None:
        """No worker of the service is known: after a start they are about to be."""
        end = min(self._clock() + WORKER_WAIT, flow.deadline - LEAST_LEFT)
        while self._clock() < end:
            await asyncio.sleep(WORKER_LOOK)
            choice = self._choose(flow)
            if choice is not None:
                return choice
        return None

    def _choose(self, flow: Flow) -> Choice | None:
        placement, now = self._state.placement, self._clock()
        if not flow.has_phases:
            return placement.selector.choose(flow.service, now, flow.tried, flow.failure_costs)
        source = flow.handle.reader if flow.handle is not None else None
        return placement.selector.choose_decode_worker(
            flow.service, flow.prompt, source, now, flow.tried, flow.failure_costs
        )

    async def _attempt(self, flow: Flow, choice: Choice, reply: ClientReply) -> bool:
        """One attempt. True: the client has its answer."""
        placement = self._state.placement
        flow.tried.add(choice.worker.record.instance)
        send = placement.begin_attempt(choice, flow.prompt, self._clock(), takes_slot=True)
        extra: Headers = ()
        if flow.handle is not None:
            extra += (("Kv-From", flow.handle.source),)
        if flow.events is not None and flow.events.last_id:
            extra += (("Last-Event-Id", flow.events.last_id),)
        sends = flow.sends
        end: AttemptOutcome | None = None
        try:
            call = flow.call(choice, extra)
            async with Patience(patience_with(choice), lambda: self._may_give_up(flow)) as patience:
                answer = await self._client.send(call, lambda: self._may_write(flow, choice))
                try:
                    self._state.heard(send, answer, self._clock())
                    end = end_of(answer)
                    return await self._pass_on(flow, send, answer, reply, patience)
                finally:
                    answer.close()
        except NotSentError as error:
            flow.sends = sends
            self._state.not_reached(choice, error, self._clock())
            return False
        except (BrokenError, WorkerSilentError):
            end = AttemptOutcome.FAILED
            flow.may_have_run += 1
            self._state.placement.statistics.retries += self._may_run_again(flow)
            flow.handle = None
            return False
        finally:
            if end is not None:
                self._state.tell_of(flow, send, end, self._clock())
            placement.end_attempt(send)

    def _may_give_up(self, flow: Flow) -> bool:
        """Whether a worker that says nothing can be left for another one."""
        return self._may_repeat(flow) and self._budget(flow.service).allows_retry(
            self._clock(), self._state.routers
        )

    async def _pass_on(
        self, flow: Flow, send: Attempt, answer: WorkerAnswer, reply: ClientReply, patience: Patience
    ) -> bool:
        if answer.not_executed:
            return False
        if answer.status >= 500 and self._may_give_up(flow):
            raise BrokenError("the worker has failed, and another one may run it")
        if flow.handle is not None:
            self._state.placement.record_kv_transfer(send, flow.prompt)
            flow.handle = None  # taken
        if flow.route.is_stream and 200 <= answer.status < 300 and _is_genuine(answer):
            await self._stream(flow, send, answer, reply, patience)
        elif flow.begun:
            raise BrokenError  # a resumed run that failed: nothing of it is for the client
        elif 200 <= answer.status < 300 and not _is_genuine(answer):
            raise BrokenError  # bytes that are not the worker's answer
        elif answer.status in PROMISES:
            raise BrokenError  # it promises what the worker has not said: that the request has not run
        else:
            patience.sign_came()
            body = await answer.body()
            await reply.answer(answer.status, answer.headers, body)
        if answer.status < 500:
            self._state.placement.observe_service_time(send, self._clock())
        return True

    async def _stream(
        self, flow: Flow, send: Attempt, answer: WorkerAnswer, reply: ClientReply, patience: Patience
    ) -> None:
        def first_event() -> None:
            patience.sign_came()
            self._first_event(send)

        if not flow.begun:
            flow.begun = True
            await reply.begin(answer.status, answer.headers)
        if not flow.route.resume:
            last = b""
            async for chunk in _after_first(answer.chunks(), first_event):
                await reply.write(chunk)
                last = (last + chunk)[-len(EVENT_END) :]
            if last and last != EVENT_END:
                raise BrokenError("the stream ends inside an event")
        else:
            if flow.events is None:
                flow.events = EventSplitter()
            flow.events.restart()
            async for chunk in _after_first(answer.chunks(), first_event):
                if whole := flow.events.feed(chunk):
                    await reply.write(whole)
            if flow.events.has_rest:
                raise BrokenError
        await reply.finish()

    def _first_event(self, send: Attempt) -> None:
        placement, now = self._state.placement, self._clock()
        if send.prefill_units:  # it has read the prompt itself
            placement.observe_prefill(send, now)
            placement.end_prefill(send)
        else:
            placement.observe_first_event(send, now)

    def _may_write(self, flow: Flow, choice: Choice) -> int | None:
        """The connection is there: what is left, or None where the worker must not get the request now."""
        left = self._state.time_to_write(flow, choice, self._clock())
        if left is not None:
            flow.sends += 1
        return left

    # --- bounds ---

    def _left(self, flow: Flow) -> int:
        return flow.deadline - self._clock()

    def _may_send_again(self, flow: Flow) -> bool:
        if flow.sends >= MOST_SENDS or (flow.may_have_run and not self._may_run_again(flow)):
            return False
        return self._spend(flow)

    @staticmethod
    def _may_run_again(flow: Flow, runs: int = 0) -> bool:
        """Whether one more run does no harm; `runs`: beside those that are known to have been."""
        if flow.begun and flow.events is None:
            return False
        return flow.route.is_idempotent and flow.may_have_run + runs < flow.route.retries

    def _may_repeat(self, flow: Flow) -> bool:
        """Whether the send that is under way may be followed by another, though it may have run."""
        return flow.sends < MOST_SENDS and self._may_run_again(flow, 1) and self._left(flow) >= LEAST_LEFT

    def _spend(self, flow: Flow) -> bool:
        return self._budget(flow.service).try_spend(self._clock(), self._state.routers)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._new_budget()
        return budget

    def _count(self, reason: Refusal) -> None:
        self._state.placement.statistics.refusals[reason] += 1

    # --- answers of our own ---

    async def _refuse(self, reply: ClientReply, after: float) -> None:
        await reply.answer(503, (("Retry-After", f"{after:.3f}"),), REASONS[503])

    async def _fail(self, reply: ClientReply, status: int) -> None:
        await reply.answer(status, (), REASONS[status])

    async def close(self) -> None:
        """End what is still under way beside requests."""
        await self._prompts.close()


def _is_genuine(answer: WorkerAnswer) -> bool:
    """Whether a success bears its worker's stamp, and a body that is as the worker made it."""
    names = {name.lower() for name, _ in answer.headers}
    return SIGNATURE in names and "content-encoding" not in names


async def _after_first(chunks: AsyncIterator[bytes], tell: Callable[[], None]) -> AsyncIterator[bytes]:
    """The same chunks; `tell` is called as the first one comes."""
    first = True
    async for chunk in chunks:
        if first:
            first = False
            tell()
        yield chunk
