"""The core: it takes jobs from the fronts, asks the decision module, and carries out what it says.

The life of a request is `Router._live`, from top to bottom. The module is told of every event, and what it
wants done about a flow lands in that flow's inbox, in order.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, Protocol, TypeAlias

from hazelbend.decisions import interface as face
from hazelbend.decisions.interface import ListKind, Outcome
from hazelbend.routing.clock import Clock
from hazelbend.routing.ports import (
    Answer,
    AttemptResult,
    BackendClient,
    Discovery,
    Endpoint,
    EndpointList,
    Forwarded,
    Job,
    News,
    Tally,
    Verdict,
)
from hazelbend.routing.table import Backend, BackendTable

log = logging.getLogger("hazelbend.routing")

GRACE = 0.025  # seconds past a flow's end that the module has to say its last word
FAULT_PAUSE = 0.5  # seconds until a timer whose handling failed is tried again


class Decider(Protocol):
    """The decision module."""

    def handle(self, event: face.Event, now: int) -> list[face.Action]:
        """What is to be done about this event."""

    def may_begin(self, request: face.RequestId, attempt: int, now: int) -> bool:
        """Whether an attempt whose connection is there may still be sent."""

    def avoided(self, now: int) -> set[face.WorkerId]:
        """The listed workers that it shuts out now."""


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt is over."""

    number: int
    ending: AttemptResult


@dataclass(slots=True, frozen=True)
class Told:
    """A backend has said how far an attempt is."""

    number: int
    news: News


class Left:
    """The client has gone."""


class Overdue:
    """The flow's time is over."""


Step: TypeAlias = face.Send | face.Refuse | face.Fail | face.Cancel | Ended | Told | Left | Overdue


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt."""

    server: Backend | None
    worker: int
    began_at: int
    ends_at: int  # when it times out
    client: BackendClient | None  # to the backend's address of that time
    task: asyncio.Task[AttemptResult] | None = None
    begun: bool = False  # its first byte was let go: it can no longer be withdrawn
    forwarded: bool = False  # its last byte was written: from now on it may run
    over: bool = False
    told: bool = False  # its end is in the flow's inbox


@dataclass(slots=True, eq=False)
class Flow:
    """One request, from its arrival until it is answered and its last attempt is over."""

    number: int
    job: Job
    arrived_at: int
    inbox: asyncio.Queue[Step] = field(default_factory=asyncio.Queue)
    attempts: list[Attempt] = field(default_factory=list)
    answered: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    client_left: bool = False  # known at once; `Left` tells the module in its turn
    abandoned: bool = False  # counted as given up by its client
    task: asyncio.Task[None] | None = None
    replies: list[asyncio.Future[Answer]] = field(default_factory=list)

    @property
    def deadline(self) -> int:
        """When the client gives up."""
        return self.arrived_at + self.job.patience

    @property
    def is_closed(self) -> bool:
        """Whether nothing more may be sent: it has its answer, or its client has gone."""
        return self.client_left or self.answered.done()

    def leave(self) -> None:
        """The client has gone: the flow is given up, and nothing of it is sent from this moment on."""
        if not self.client_left:
            self.client_left = True
            self.inbox.put_nowait(Left())

    def reply(self) -> asyncio.Future[Answer]:
        """The final answer in a future of the caller's own, set in the turn in which it is given (callbacks
        of `answered` come a turn later): the caller may cancel it as its client leaves, `answered` stays.
        """
        reply = asyncio.get_running_loop().create_future()
        if self.answered.done():
            reply.set_result(self.answered.result())
        else:
            self.replies.append(reply)
        return reply


class Router:
    """The core: one task for each request, between the fronts, the decision module and the backends."""

    def __init__(self, decider: Decider, clock: Clock, table: BackendTable) -> None:
        self.decider, self.clock, self.table = decider, clock, table
        self.discovery: Discovery | None = None
        self.flows: dict[int, Flow] = {}
        self._ids: set[str] = set()
        # Another process of this dispatcher, in an upgrade: what it holds, and who tells it what is open.
        self.held_elsewhere: Callable[[str], bool] = lambda job_id: False
        self.id_watcher: Callable[[str, bool], None] = lambda job_id, taken: None
        self.guest_watcher: Callable[[Endpoint], None] = lambda entry: None
        self.tally = Tally()
        self.last_known = EndpointList()
        self.started_at = clock.now()
        self._next = 1
        self._closed = False
        self._last_moment: int | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.listed = asyncio.Event()  # discovery has told its list

    # --- what fronts and wiring call ---

    def begin(self, known: EndpointList) -> None:
        """Start from the list as last known; the module asks for more itself."""
        self.last_known = known
        self._ask(self.table.apply(known, ListKind.CACHED))

    def take(self, job: Job) -> Flow:
        """A request has come: from here on it gets exactly one final answer."""
        now = self.clock.now()
        if self._last_moment is not None:
            job = replace(job, patience=min(job.patience, max(self._last_moment - now, 1)))
        flow = Flow(self._next, job, now)
        self._next += 1
        self.flows[flow.number] = flow
        self._ids.add(job.id)
        self.id_watcher(job.id, True)
        self.tally.taken += 1
        self._idle.clear()
        flow.task = asyncio.create_task(self._live(flow))
        flow.task.add_done_callback(lambda task: self._over(flow))
        return flow

    def refuse(self, job: Job, retry_after: int, reason: str = "") -> Answer:
        """A front has no room for this job: it is counted like any other, and was never taken up."""
        self.tally.taken += 1
        self.tally.answers[job.class_index, Verdict.REFUSED] += 1
        return Answer(Verdict.REFUSED, retry_after=retry_after, reason=reason)

    def abandon(self) -> None:
        """A job that was never taken up, and whose client has left: counted like any other."""
        self.tally.taken += 1
        self.tally.abandoned += 1

    def hold_id(self, job_id: str) -> None:
        """A job of this id is open, though not taken up yet."""
        self._ids.add(job_id)
        self.id_watcher(job_id, True)

    def free_id(self, job_id: str) -> None:
        """The request of this id is over, or was never taken up."""
        self._ids.discard(job_id)
        self.id_watcher(job_id, False)

    def holds(self, job_id: str) -> bool:
        """Whether a flow of this id is open: servers know a job by it, so there must not be two."""
        return job_id in self._ids or self.held_elsewhere(job_id)

    @property
    def open_ids(self) -> tuple[str, ...]:
        """The ids of the requests that are open."""
        return tuple(self._ids)

    def hear(self, news: EndpointList) -> None:
        """A list or changes that discovery was not asked for: other sources of servers have them."""
        self._ask(self.table.apply(news))

    def add_guest(self, entry: Endpoint, client: BackendClient) -> None:
        """A server has come by itself, not by a list."""
        self._ask(self.table.add_guest(entry, client))
        self.guest_watcher(entry)

    def change_guest(self, host: str, state: face.WorkerState) -> None:
        """A backend that came by itself drains, is back, or is gone."""
        server = self.table.by_host(host)
        self._ask(self.table.change_guest(host, state))
        if server is not None:
            self.guest_watcher(server.entry)

    def hold_back(self, host: str, held: bool) -> bool:
        """Drain or undrain a server by hand; False if none of that name is listed."""
        update = self.table.hold_back(host, held)
        if update is not None:
            self._ask(update)
        return update is not None

    def change_settings(self, settings: face.Settings) -> None:
        """For what comes from now on; flows that are open keep the rules that they came under."""
        self._ask(face.SettingsChanged(settings))

    def end_by(self, end: int | None) -> None:
        """What is taken from now on must be over by then: the program ends, or sends its clients away."""
        self._last_moment = end

    def close(self) -> None:
        """The end: timers that still ring find nothing to do."""
        self._closed = True
        for task in [*self._tasks, *(flow.task for flow in self.flows.values() if flow.task)]:
            task.cancel()

    async def drained(self) -> None:
        """Until no flow is left."""
        await self._idle.wait()

    # --- the life of a request ---

    async def _live(self, flow: Flow) -> None:
        """Arrive, ask, schedule, hear the outcome, answer once; over when the last attempt is."""
        loop = asyncio.get_running_loop()
        job = flow.job
        end = loop.call_later(job.patience / 1e6 + GRACE, flow.inbox.put_nowait, Overdue())
        try:
            self._ask(
                face.RequestArrived(
                    flow.number,
                    job.patience,
                    job.class_index,
                    job.tenant,
                    job.slots,
                    job.expected_work,
                    job.key,
                ),
                flow,
            )
            # Read to its end: the module waits for the outcome of each Send, even of one that came too late.
            while not (flow.is_closed and flow.inbox.empty() and all(e.over for e in flow.attempts)):
                match await flow.inbox.get():
                    case face.Send() as send:
                        self._start_attempt(flow, send)
                    case face.Cancel(attempt=number) if number < len(flow.attempts):
                        if (task := flow.attempts[number].task) is not None:
                            task.cancel()
                    case face.Refuse(retry_after=retry_after):
                        self._answer(flow, Answer(Verdict.REFUSED, retry_after=retry_after))
                    case face.Fail():
                        overdue = self.clock.now() >= flow.deadline - 50_000
                        self._answer(flow, Answer(Verdict.FAILED, overdue=overdue))
                    case Told(number=number, news=news):
                        self._ask(self._news(flow, number, news), flow)
                    case Ended(number=number, ending=ending):
                        self._end(flow, number, ending)
                    case Left() if not flow.answered.done():
                        flow.abandoned = True
                        self.tally.abandoned += 1
                        self._withdraw(flow)
                        self._ask(face.ClientGone(flow.number), flow)
                    case Overdue() if not flow.is_closed:
                        log.error("flow %s: no decision by its deadline; failed", job.id)
                        self._answer(flow, Answer(Verdict.FAILED, overdue=True))
                        self._ask(face.ClientGone(flow.number), flow)
        except Exception:
            # A fault in one flow ends that flow alone: the others and the program go on.
            log.exception("flow %s: fault; failed", job.id)
            self._answer(flow, Answer(Verdict.FAILED))
            self._forget(flow)
        finally:
            end.cancel()
            for each in flow.attempts:
                if each.task is not None and not each.over:
                    each.task.cancel()
            self._answer(flow, Answer(Verdict.FAILED))

    def _over(self, flow: Flow) -> None:
        """The flow's task is done, even if it was ended before it first ran: nothing is kept of it."""
        self._answer(flow, Answer(Verdict.FAILED))
        self.flows.pop(flow.number, None)
        self._ids.discard(flow.job.id)
        self.id_watcher(flow.job.id, False)
        if not self.flows:
            self._idle.set()

    def _answer(self, flow: Flow, answer: Answer) -> None:
        """The one final answer; any later one is dropped."""
        if flow.answered.done():
            return
        flow.answered.set_result(answer)
        for reply in flow.replies:
            if not reply.done():
                reply.set_result(answer)
        flow.replies.clear()
        self._withdraw(flow)
        if not flow.abandoned:
            self.tally.answers[flow.job.class_index, answer.verdict] += 1

    def _forget(self, flow: Flow) -> None:
        """After a fault: the module counts an attempt as load on its server until it hears of its end."""
        events: list[face.Event] = [face.ClientGone(flow.number)]
        for number, each in enumerate(flow.attempts):
            if not each.over:
                outcome = Outcome.CANCELLED
                events.append(face.AttemptEnded(flow.number, each.worker, number, outcome, closed=True))
                if each.server is not None and each.task is not None:
                    each.server.out -= 1
        for event in events:
            try:
                self.decider.handle(event, self.clock.now())
            except Exception:
                log.exception("flow %s: the module could not let it go", flow.job.id)

    # --- attempts ---

    def _start_attempt(self, flow: Flow, send: face.Send) -> None:
        """The module's Send is an intention: what has changed since is seen before the first byte."""
        now = self.clock.now()
        server = self.table.servers.get(send.worker)
        left = flow.deadline - now
        wait = min(send.timeout or left, left)
        client = server.client if server is not None else None
        attempt = Attempt(server, send.worker, now, now + wait, client)
        flow.attempts.append(attempt)
        number = len(flow.attempts) - 1
        if server is None or client is None or not server.takes_work or flow.is_closed or wait <= 0:
            flow.inbox.put_nowait(Ended(number, AttemptResult(Outcome.NOT_SENT)))
            return
        server.out += 1
        attempt.task = asyncio.create_task(self._run(flow, number, client))
        # A task that is cancelled before it first runs never runs `_run`: its end is told by the task's own.
        attempt.task.add_done_callback(lambda task: self._untold(flow, number, task))

    async def _run(self, flow: Flow, number: int, client: BackendClient) -> AttemptResult:
        """The attempt tells its own end: by the task's done callback the flow would hear of it a turn of the
        loop later, and the client would wait as long for its answer.
        """
        ending = await self._attempt(flow, number, client)
        flow.attempts[number].told = True
        flow.inbox.put_nowait(Ended(number, ending))
        return ending

    @staticmethod
    def _untold(flow: Flow, number: int, task: asyncio.Task[AttemptResult]) -> None:
        if not flow.attempts[number].told:
            ending = AttemptResult(Outcome.NOT_SENT) if task.cancelled() else task.result()
            flow.inbox.put_nowait(Ended(number, ending))

    async def _attempt(self, flow: Flow, number: int, client: BackendClient) -> AttemptResult:
        """Every way out of here is an AttemptResult. What was not written whole has surely not run."""
        attempt = flow.attempts[number]
        try:
            async with asyncio.timeout(max(attempt.ends_at - self.clock.now(), 0) / 1e6):
                return await client.attempt(
                    flow.job,
                    lambda: self._before_first_byte(flow, number),
                    lambda news: self._hear(flow, number, news),
                )
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT if attempt.forwarded else Outcome.NOT_SENT)
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED if attempt.forwarded else Outcome.NOT_SENT)
        except Exception:
            log.exception("flow %s: attempt %d: fault in the client", flow.job.id, number)
            return AttemptResult(Outcome.ERROR)

    def _before_first_byte(self, flow: Flow, number: int) -> int | None:
        """The microseconds that are left for this attempt, now that its connection is there; None where what
        allowed it has changed while it came up.
        """
        attempt, now = flow.attempts[number], self.clock.now()
        left, server = attempt.ends_at - now, attempt.server
        if flow.is_closed or left <= 0 or server is None:
            return None
        if not server.takes_work or server.client is not attempt.client:
            return None
        if not self.decider.may_begin(flow.number, number, now):
            return None
        attempt.begun = True
        return left

    def _withdraw(self, flow: Flow) -> None:
        """The flow is closed: attempts of which nothing was written end here, whatever cancel is allowed."""
        for each in flow.attempts:
            if each.task is not None and not each.begun and not each.over:
                each.task.cancel()

    def _hear(self, flow: Flow, number: int, news: News | Forwarded) -> None:
        if isinstance(news, Forwarded):
            flow.attempts[number].forwarded = True
            self.tally.forwards += 1
        else:
            flow.inbox.put_nowait(Told(number, news))

    def _news(self, flow: Flow, number: int, news: News) -> face.Event:
        worker = flow.attempts[number].worker
        if news.fraction is None:
            return face.JobStarted(flow.number, worker, number)
        return face.JobProgress(flow.number, worker, number, news.fraction)

    def _end(self, flow: Flow, number: int, ending: AttemptResult) -> None:
        attempt = flow.attempts[number]
        attempt.over = True
        if (server := attempt.server) is not None and attempt.task is not None:
            server.out -= 1
            if ending.outcome is Outcome.SERVED:
                server.served += 1
            elif ending.outcome not in (Outcome.CANCELLED, Outcome.FULL, Outcome.NOT_SENT):
                server.failed += 1
        self.tally.outcomes[ending.outcome] += 1
        if ending.outcome is Outcome.SERVED:
            self._answer(flow, Answer(Verdict.SERVED, ending.result))
        elapsed = self.clock.now() - attempt.began_at
        self._ask(
            face.AttemptEnded(
                flow.number,
                attempt.worker,
                number,
                ending.outcome,
                flow.is_closed,
                elapsed,
                ending.load,
                ending.stale,
            ),
            flow,
        )

    # --- asking the module ---

    def _ask(self, event: face.Event, flow: Flow | None = None) -> None:
        """Tell the module; do what it says. A fault over a flow's event is raised into that flow."""
        if self._closed:
            return
        try:
            actions = self.decider.handle(event, self.clock.now())
        except Exception:
            if flow is not None:
                raise
            log.exception("the decision module failed on %s", type(event).__name__)
            # Its own timers carry its upkeep and its asking for lists: they must not die with one fault.
            if isinstance(event, face.TimerFired):
                self._later(FAULT_PAUSE, event)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: face.Action) -> None:
        match action:
            case face.StartTimer(delay=delay, token=token):
                self._later(delay / 1e6, face.TimerFired(token))
            case face.Probe(worker=worker):
                self._spawn(self._probe(worker))
            case face.Subscribe():
                self._subscribe()
            case _:
                if (flow := self.flows.get(action.request)) is not None:
                    flow.inbox.put_nowait(action)

    def _later(self, seconds: float, event: face.Event) -> None:
        asyncio.get_running_loop().call_later(seconds, self._ask, event)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, worker: int) -> None:
        began_at, ending = self.clock.now(), AttemptResult(Outcome.CONNECT_FAILED)
        if (server := self.table.servers.get(worker)) is not None:
            try:
                ending = await server.client.probe(300_000)
            except Exception:
                log.exception("probe of %s: fault in the client", server.entry.host)
        self._ask(face.ProbeEnded(worker, ending.outcome, self.clock.now() - began_at, ending.load))

    def _subscribe(self) -> None:
        if self.discovery is not None:
            self.discovery.subscribe(self._listed)
        else:  # a site without discovery stays with the list it was given
            asyncio.get_running_loop().call_soon(self._listed, self.last_known)

    def _listed(self, news: EndpointList) -> None:
        self.hear(news)
        if not news.failed:
            self.listed.set()
