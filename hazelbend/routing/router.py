"""Routes jobs: passes events to the decision module and carries out the actions that it returns.

Each request has a task, `Router._serve`, and an inbox. The module's actions for the request and the events of
its attempts are put into the inbox, and the task handles them in order.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace
from typing import Any

from hazelbend.decisions import interface as decisions
from hazelbend.decisions.interface import ListKind, Outcome
from hazelbend.routing.attempt_runner import AttemptRunner
from hazelbend.routing.clock import Clock
from hazelbend.routing.decision_module import DecisionModule
from hazelbend.routing.ports import (
    Answer,
    AttemptResult,
    BackendClient,
    Discovery,
    Endpoint,
    EndpointList,
    Job,
    RequestCounters,
    Verdict,
)
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.request_events import (
    AttemptFinished,
    AttemptProgressed,
    ClientDisconnected,
    DeadlinePassed,
)
from hazelbend.routing.table import BackendTable

log = logging.getLogger("hazelbend.routing")

DECISION_GRACE_S = 0.025  # after a request's deadline, the module may still decide for this long
TIMER_RETRY_S = 0.5  # delay before a module timer whose handling raised an error fires again
EXPIRY_TOLERANCE_US = 50_000  # a request that fails this close to its deadline counts as expired
PROBE_TIMEOUT_US = 300_000
NOT_BACKEND_FAILURES = (Outcome.CANCELLED, Outcome.FULL, Outcome.NOT_SENT)


class Router:
    """Gives each accepted job exactly one final answer. Times are microseconds."""

    def __init__(self, module: DecisionModule, clock: Clock, table: BackendTable) -> None:
        self.module = module
        self.clock = clock
        self.table = table
        self.discovery: Discovery | None = None
        self.requests: dict[int, RequestContext] = {}  # the open requests, by number
        self._open_ids: set[str] = set()
        # During an upgrade two processes of one dispatcher run. `is_open_elsewhere` returns whether a job id
        # is open in the other process; `on_open_ids_changed` reports this process's ids to it.
        self.is_open_elsewhere: Callable[[str], bool] = lambda job_id: False
        self.on_open_ids_changed: Callable[[str, bool], None] = lambda job_id, is_open: None
        self.on_registered_changed: Callable[[Endpoint], None] = lambda entry: None
        self.counters = RequestCounters()
        self.started_at = clock.now()
        self.list_received = asyncio.Event()  # set once discovery has sent a list
        self._known_list = EndpointList()
        self._next_number = 1
        self._is_closed = False
        self._final_deadline: int | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_idle = asyncio.Event()
        self._is_idle.set()
        self._attempts = AttemptRunner(module, clock, table, self.counters)
        # A table by type, because the last case in it costs no more than the first.
        self._event_handlers: Mapping[type, Callable[[RequestContext, Any], None]] = {
            decisions.Send: self._attempts.start,
            decisions.Cancel: self._cancel_attempt,
            decisions.Refuse: self._reject,
            decisions.Fail: self._fail,
            AttemptProgressed: self._on_attempt_progressed,
            AttemptFinished: self._on_attempt_finished,
            ClientDisconnected: self._on_client_disconnected,
            DeadlinePassed: self._on_deadline_passed,
        }

    # --- jobs ---

    def accept(self, job: Job) -> RequestContext:
        """Accept a job. From now on it is certain to get exactly one final answer."""
        now = self.clock.now()
        if self._final_deadline is not None:
            job = replace(job, timeout_us=min(job.timeout_us, max(self._final_deadline - now, 1)))
        request = RequestContext(self._next_number, job, now)
        self._next_number += 1
        self.requests[request.number] = request
        self._open_ids.add(job.id)
        self.on_open_ids_changed(job.id, True)
        self.counters.received += 1
        self._is_idle.clear()
        request.task = asyncio.create_task(self._serve(request))
        request.task.add_done_callback(lambda task: self._on_task_done(request))
        return request

    def reject(self, job: Job, retry_after: int, reason: str = "") -> Answer:
        """Count a job that a listener rejects for lack of capacity, and return its answer.

        `retry_after` is in microseconds.
        """
        self.counters.received += 1
        self.counters.answers[job.class_index, Verdict.REFUSED] += 1
        return Answer(Verdict.REFUSED, retry_after=retry_after, reason=reason)

    def count_abandoned(self) -> None:
        """Count a job whose client disconnected before the job was accepted."""
        self.counters.received += 1
        self.counters.abandoned += 1

    def reserve_id(self, job_id: str) -> None:
        """Mark a job id as open before the job is accepted."""
        self._open_ids.add(job_id)
        self.on_open_ids_changed(job_id, True)

    def release_id(self, job_id: str) -> None:
        """Mark a job id as closed: its request has ended, or was never accepted."""
        self._open_ids.discard(job_id)
        self.on_open_ids_changed(job_id, False)

    def is_open(self, job_id: str) -> bool:
        """Whether a request with this job id is open, here or in the other process of this dispatcher.

        Backends identify a job by its id, so two open requests must not share one.
        """
        return job_id in self._open_ids or self.is_open_elsewhere(job_id)

    @property
    def open_ids(self) -> tuple[str, ...]:
        """The job ids that are open in this process."""
        return tuple(self._open_ids)

    # --- backends ---

    def start(self, known_list: EndpointList) -> None:
        """Start from the last known list. The module subscribes to a newer one."""
        self._known_list = known_list
        self._notify(self.table.apply(known_list, ListKind.CACHED))

    def apply_list(self, endpoints: EndpointList) -> None:
        """Apply an endpoint list, or changes to one."""
        self._notify(self.table.apply(endpoints))

    def register(self, entry: Endpoint, client: BackendClient) -> None:
        """Add a backend that has connected to the dispatcher itself, over STOMP."""
        self._notify(self.table.register(entry, client))
        self.on_registered_changed(entry)

    def change_registered(self, host: str, state: decisions.WorkerState) -> None:
        """Set the state of a registered backend: draining, ready again, or gone."""
        backend = self.table.by_host(host)
        self._notify(self.table.change_registered(host, state))
        if backend is not None:
            self.on_registered_changed(backend.entry)

    def set_manual_drain(self, host: str, is_drained: bool) -> bool:
        """Drain or undrain a backend on an operator's command; return False if the host is not listed."""
        update = self.table.set_manual_drain(host, is_drained)
        if update is not None:
            self._notify(update)
        return update is not None

    # --- lifecycle ---

    def apply_settings(self, settings: decisions.Settings) -> None:
        """Use new settings for new requests. Open requests keep the settings under which they arrived."""
        self._notify(decisions.SettingsChanged(settings))

    def set_final_deadline(self, deadline: int | None) -> None:
        """Limit the deadlines of new requests to this time, because the program ends or drains its clients.

        None removes the limit.
        """
        self._final_deadline = deadline

    def close(self) -> None:
        """Cancel all tasks. Timers that fire later have no effect."""
        self._is_closed = True
        for task in [*self._tasks, *(request.task for request in self.requests.values() if request.task)]:
            task.cancel()

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        await self._is_idle.wait()

    # --- one request ---

    async def _serve(self, request: RequestContext) -> None:
        """Report the request's arrival to the module, and handle its inbox until the request has ended."""
        job = request.job
        deadline_timer = asyncio.get_running_loop().call_later(
            job.timeout_us / 1e6 + DECISION_GRACE_S, request.inbox.put_nowait, DeadlinePassed()
        )
        try:
            arrival = decisions.RequestArrived(
                request.number,
                job.timeout_us,
                job.class_index,
                job.tenant,
                job.slots,
                job.expected_work,
                job.key,
            )
            self._notify(arrival, request)
            # Until all attempts have ended: the module expects an outcome for each `Send`, even a late one.
            while not request.is_closed or request.has_pending_events:
                event = await request.inbox.get()
                self._event_handlers[type(event)](request, event)
        except Exception:
            # An error in one request ends only that request; the other requests and the program continue.
            log.exception("request %s: internal error; failing the request", job.id)
            self._answer(request, Answer(Verdict.FAILED))
            self._forget_attempts(request)
        finally:
            deadline_timer.cancel()
            request.cancel_attempts()
            self._answer(request, Answer(Verdict.FAILED))

    def _on_task_done(self, request: RequestContext) -> None:
        """Remove a request whose task has ended."""
        if not request.answered.done():  # the task was cancelled before it ran for the first time
            self._answer(request, Answer(Verdict.FAILED))
        self.requests.pop(request.number, None)
        self._open_ids.discard(request.job.id)
        self.on_open_ids_changed(request.job.id, False)
        if not self.requests:
            self._is_idle.set()

    def _answer(self, request: RequestContext, answer: Answer) -> None:
        """Set the final answer. Any later answer is dropped."""
        if request.answered.done():
            return
        request.answered.set_result(answer)
        for reply in request.replies:
            if not reply.done():
                reply.set_result(answer)
        request.replies.clear()
        request.withdraw_attempts()
        if not request.abandoned:
            self.counters.answers[request.job.class_index, answer.verdict] += 1

    def _forget_attempts(self, request: RequestContext) -> None:
        """After an error, report to the module that the request's open attempts have ended.

        Otherwise the module would count them as load on their backends for ever.
        """
        events: list[decisions.Event] = [decisions.ClientGone(request.number)]
        for number, attempt in enumerate(request.attempts):
            if attempt.is_finished:
                continue
            outcome = Outcome.CANCELLED
            events.append(
                decisions.AttemptEnded(request.number, attempt.worker_id, number, outcome, closed=True)
            )
            if attempt.backend is not None and attempt.task is not None:
                attempt.backend.in_flight -= 1
        for event in events:
            try:
                self.module.handle(event, self.clock.now())
            except Exception:
                log.exception(
                    "request %s: the decision module failed to end its attempts after an error",
                    request.job.id,
                )

    # --- handlers of a request's events ---

    def _cancel_attempt(self, request: RequestContext, cancel: decisions.Cancel) -> None:
        if cancel.attempt >= len(request.attempts):
            return
        task = request.attempts[cancel.attempt].task
        if task is not None:
            task.cancel()

    def _reject(self, request: RequestContext, refuse: decisions.Refuse) -> None:
        self._answer(request, Answer(Verdict.REFUSED, retry_after=refuse.retry_after))

    def _fail(self, request: RequestContext, fail: decisions.Fail) -> None:
        is_expired = self.clock.now() >= request.deadline - EXPIRY_TOLERANCE_US
        self._answer(request, Answer(Verdict.FAILED, is_expired=is_expired))

    def _on_attempt_progressed(self, request: RequestContext, event: AttemptProgressed) -> None:
        worker = request.attempts[event.number].worker_id
        fraction = event.report.fraction
        if fraction is None:
            self._notify(decisions.JobStarted(request.number, worker, event.number), request)
        else:
            self._notify(decisions.JobProgress(request.number, worker, event.number, fraction), request)

    def _on_attempt_finished(self, request: RequestContext, event: AttemptFinished) -> None:
        attempt = request.attempts[event.number]
        result = event.result
        attempt.is_finished = True
        backend = attempt.backend
        if backend is not None and attempt.task is not None:
            backend.in_flight -= 1
            if result.outcome is Outcome.SERVED:
                backend.served += 1
            elif result.outcome not in NOT_BACKEND_FAILURES:
                backend.failed += 1
        self.counters.outcomes[result.outcome] += 1
        if result.outcome is Outcome.SERVED:
            self._answer(request, Answer(Verdict.SERVED, result.result))
        ended = decisions.AttemptEnded(
            request.number,
            attempt.worker_id,
            event.number,
            result.outcome,
            request.is_closed,
            self.clock.now() - attempt.started_at,
            result.load,
            result.stale,
        )
        self._notify(ended, request)

    def _on_client_disconnected(self, request: RequestContext, event: ClientDisconnected) -> None:
        if request.answered.done():
            return
        request.abandoned = True
        self.counters.abandoned += 1
        request.withdraw_attempts()
        self._notify(decisions.ClientGone(request.number), request)

    def _on_deadline_passed(self, request: RequestContext, event: DeadlinePassed) -> None:
        if request.is_closed:
            return
        log.error("request %s: no decision before its deadline; failing the request", request.job.id)
        self._answer(request, Answer(Verdict.FAILED, is_expired=True))
        self._notify(decisions.ClientGone(request.number), request)

    # --- the decision module ---

    def _notify(self, event: decisions.Event, request: RequestContext | None = None) -> None:
        """Pass an event to the module and carry out the actions that it returns.

        If the module raises an error on an event of a request, it is raised here and ends that request.
        """
        if self._is_closed:
            return
        try:
            actions = self.module.handle(event, self.clock.now())
        except Exception:
            if request is not None:
                raise
            log.exception("the decision module raised an error on %s", type(event).__name__)
            # The module's timers drive its periodic work and its subscriptions: one error must not stop them.
            if isinstance(event, decisions.TimerFired):
                self._notify_later(TIMER_RETRY_S, event)
            return
        for action in actions:
            match action:
                case decisions.StartTimer(delay=delay, token=token):
                    self._notify_later(delay / 1e6, decisions.TimerFired(token))
                case decisions.Probe(worker=worker):
                    self._spawn(self._probe(worker))
                case decisions.Subscribe():
                    self._subscribe()
                case _:
                    target = self.requests.get(action.request)
                    if target is not None:
                        target.inbox.put_nowait(action)

    def _notify_later(self, delay_s: float, event: decisions.Event) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._notify, event)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, worker: int) -> None:
        started_at = self.clock.now()
        result = AttemptResult(Outcome.CONNECT_FAILED)
        backend = self.table.backends.get(worker)
        if backend is not None:
            try:
                result = await backend.client.probe(PROBE_TIMEOUT_US)
            except Exception:
                log.exception("probe of %s: unexpected error in its client", backend.entry.host)
        elapsed = self.clock.now() - started_at
        self._notify(decisions.ProbeEnded(worker, result.outcome, elapsed, result.load))

    def _subscribe(self) -> None:
        if self.discovery is not None:
            self.discovery.subscribe(self._on_list)
        else:  # without discovery the known list remains valid
            asyncio.get_running_loop().call_soon(self._on_list, self._known_list)

    def _on_list(self, endpoints: EndpointList) -> None:
        self.apply_list(endpoints)
        if not endpoints.failed:
            self.list_received.set()
