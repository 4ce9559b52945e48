"""The decision logic of a dispatcher that pushes jobs to workers: events in, actions out.

Most requests are placed by SED_e (Shortest Expected Delay, Hyytia and Righter): the job count of each worker
is estimated from its last load report, own attempts in flight and Poisson departures, and the request goes to
the worker with the least (E[N] + 1) / mu. Each concern has its own module:

    membership.py  the listed workers                 load_model.py  the load and speed of workers
    selection.py   the best worker for a request      admission.py   whether the request may go there now
    health.py      backoff of unhealthy workers       probing.py     which workers to probe for load reports
    slow_start.py  what warming-up workers may be sent      fleet_plan.py  placement without load reports
    retry_rules.py whether an attempt may be repeated

A request goes through these states:

    arrived --best worker has capacity--> in flight --answer--> closed
    arrived --it would be late there----> queued here, newest first, or rejected
    arrived --reports are old-----------> waits for probes, then as after its arrival
    in flight --failure-----------------> as after its arrival, where another attempt is allowed

"Own" attempts and jobs are those of this dispatcher; its peers are the other dispatchers of the fleet. The
types of events and actions are in interface.py. Times are in microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import takewhile
from typing import Any

from hazelbend.decisions.admission import Admission
from hazelbend.decisions.discovery_retry import DiscoveryRetry
from hazelbend.decisions.fleet_plan import FleetPlan
from hazelbend.decisions.health import (
    MAX_RESETS,
    end_backoff,
    is_unresponsive,
    start_backoff,
    suspicion_timeout,
)
from hazelbend.decisions.interface import (
    NEVER_ARRIVED,
    Action,
    AttemptEnded,
    Cancel,
    ClientGone,
    DedupScope,
    Event,
    Fail,
    Idempotency,
    JobProgress,
    JobStarted,
    ListKind,
    MembershipUpdate,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestId,
    Send,
    Settings,
    SettingsChanged,
    StartTimer,
    StreamStarted,
    Subscribe,
    TimerFired,
    WorkerId,
)
from hazelbend.decisions.job_count import MAX_JOB_COUNT
from hazelbend.decisions.load_model import MEMORY_SAMPLES, LoadModel
from hazelbend.decisions.membership import Membership
from hazelbend.decisions.probing import Prober
from hazelbend.decisions.report_age import CANDIDATE_AGES_US
from hazelbend.decisions.request import Attempt, Request, find_attempt
from hazelbend.decisions.retry_rules import allows_attempt, still_allows_attempt
from hazelbend.decisions.selection import Option, WorkerSelector
from hazelbend.decisions.slow_start import SlowStart, release_budget, spend_budget
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import Worker

# The upkeep period is half of the mean run time, within these bounds.
MIN_UPKEEP_US = 100_000
MAX_UPKEEP_US = 500_000
# Timer tokens. From FIRST_REQUEST_TIMER on, each request has two: its expiry in the queue, and its wait for
# probes.
UPKEEP_TIMER = 0
SUBSCRIBE_TIMER = 1
FIRST_REQUEST_TIMER = 2


class Dispatcher:
    """The state of one dispatcher. `handle` takes an event and the time, and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without workers; `seed` initializes the random number generator."""
        self.settings = settings
        self.random = random.Random(seed)
        self.requests: dict[RequestId, Request] = {}  # unanswered, or with attempts in flight
        self.queued: dict[RequestId, Request] = {}  # waiting in this dispatcher for capacity
        self.discovery_retry = DiscoveryRetry()
        self.load_model = LoadModel(settings)
        self.membership = Membership(self.load_model)
        self.slow_start = SlowStart(Mean(MEMORY_SAMPLES, MEMORY_SAMPLES / settings.fleet_size))
        self.plan = FleetPlan()
        self.selector = WorkerSelector(
            self.membership, self.load_model, self.slow_start, self.plan, self.requests, self.random
        )
        self.admission = Admission(settings, self.load_model)
        self.prober = Prober(settings, self.membership, self.load_model, self.selector, self.random)
        self._started_at = -1
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            JobProgress: self._on_worker_signal,
            JobStarted: self._on_worker_signal,
            StreamStarted: self._on_worker_signal,
            TimerFired: self._on_timer,
            MembershipUpdate: self._on_membership,
            ClientGone: self._on_client_gone,
            ProbeEnded: self._on_probe_ended,
            SettingsChanged: self._on_settings,
        }

    @property
    def workers(self) -> dict[WorkerId, Worker]:
        """The listed workers."""
        return self.membership.workers

    def handle(self, event: Event, now: int) -> list[Action]:
        """Process an event at time `now`; return the actions to carry out, in order."""
        self._actions = []
        if self._started_at < 0:
            self._start(now)
        self._handlers[type(event)](event, now)
        return self._actions

    def workers_in_backoff(self, now: int) -> set[WorkerId]:
        """Return the listed workers that get no requests for now because they seem unhealthy."""
        return {number for number, worker in self.workers.items() if worker.backoff_until > now}

    def _start(self, now: int) -> None:
        self._started_at = now
        self.selector.started_at = now
        self._actions.append(StartTimer(self.random.randrange(MIN_UPKEEP_US), UPKEEP_TIMER))
        if self.settings.list_is_watched:
            delay = self.discovery_retry.first_delay(self.settings, self.random)
            self._actions.append(StartTimer(delay, SUBSCRIBE_TIMER) if delay else Subscribe())

    # --- settings and membership ---

    def _on_settings(self, event: SettingsChanged, now: int) -> None:
        was_watched = self.settings.list_is_watched
        self.settings = event.settings
        self.load_model.apply_settings(event.settings)
        self.admission.settings = event.settings
        self.prober.apply_settings(event.settings)
        if self.settings.list_is_watched and not was_watched:
            self._actions.append(Subscribe())
        self._try_queued(now)

    def _on_membership(self, event: MembershipUpdate, now: int) -> None:
        if event.kind is ListKind.FAILED:
            delay = self.discovery_retry.retry_delay(self.settings, self.random)
            self._actions.append(StartTimer(delay, SUBSCRIBE_TIMER))
            return
        is_first = self.discovery_retry.failures == 0 and not self.workers
        if is_first and self.prober.refreshes_reports:
            self.prober.refresh_budget = float(len(event.entries))
        self.discovery_retry.failures = 0
        self.membership.apply(event, now)
        self._try_queued(now)

    # --- requests ---

    def _on_request(self, event: RequestArrived, now: int) -> None:
        model = self.load_model
        job = self.settings.classes[event.job_class]
        work = event.expected_work or model.run_times[event.job_class].value
        model.work.add(work)
        model.request_slots.add(event.slots)
        self.prober.count_arrival()
        request = Request(
            event.request,
            job,
            event.job_class,
            deadline=now + event.client_timeout,
            target=now + job.objective + job.stretch * work,
            work=work,
            cost=work / model.work.value * event.slots / model.request_slots.value,
            key=event.key,
        )
        self.requests[request.id] = request
        if model.uses_plan:
            self.plan.count_job(event.key)
        if not self._wait_for_probes(request, now):
            self._dispatch(request, now)

    def _wait_for_probes(self, request: Request, now: int) -> bool:
        """Probe the best workers whose reports are old; return whether the request waits for the answers."""
        wait = self.prober.probe_wait(request, now)
        if wait is None:
            return False
        workers = self.prober.choose_for(request, now)
        request.pending_probes = len(workers)
        for worker in workers:
            if not worker.waiting_requests:
                self._probe(worker, now)
            worker.waiting_requests.append(request)
        if workers:
            self._actions.append(StartTimer(wait, FIRST_REQUEST_TIMER + 2 * request.id + 1))
        return bool(workers)

    def _dispatch(self, request: Request, now: int) -> None:
        """Send a request to its best worker, queue it here, or give the final response."""
        allowed = allows_attempt(request, self.settings, now)
        option = self.selector.select(request, now) if allowed else None
        if option and not self.admission.is_too_late(request, option, now):
            self._send(request, option, now)
        elif request.is_in_flight:
            return
        elif not allowed or (option and not request.job.late_value_fraction):
            # A late answer would earn nothing, while a retry by the client may be answered in time.
            self._close(request, now, option)
        else:
            self._queue(request, now)

    def _queue(self, request: Request, now: int) -> None:
        if request.id not in self.queued:
            expires_at = request.deadline - 2 * self.settings.tick
            if not request.job.late_value_fraction:
                # A late answer earns nothing: the request is rejected as soon as it would be late.
                expires_at = min(expires_at, round(request.target))
            delay = max(expires_at - now, 0)
            self._actions.append(StartTimer(delay, FIRST_REQUEST_TIMER + 2 * request.id))
        self.queued[request.id] = request

    def _try_queued(self, now: int, freed: Worker | None = None) -> None:
        """Try to send the newest queued request: under overload only that one can still be in time."""
        request = next(reversed(self.queued.values()), None)
        if request is None or request.pending_probes > 0:
            return
        if freed is None and self._wait_for_probes(request, now):
            return
        request.candidates = [freed] if freed else []  # nothing has changed at the other workers
        self._dispatch(request, now)

    def _finish(self, request: Request) -> None:
        """Close a request and cancel its attempts in flight; drop it once no attempt is in flight."""
        self.queued.pop(request.id, None)
        if not request.closed and self.settings.cancel_allowed:
            self._actions += [Cancel(request.id, attempt.number) for attempt in request.in_flight]
        request.closed = True
        if not request.is_in_flight:
            self.requests.pop(request.id, None)

    def _close(self, request: Request, now: int, option: Option | None = None) -> None:
        """Give the final response: a rejection where a retry is known to be safe, else a failure."""
        job = request.job
        may_have_run = request.first_possible_run is not None
        is_repeatable = job.idempotency is Idempotency.SAFE or (
            job.idempotency is Idempotency.KEYED and job.dedup_scope is DedupScope.ALL
        )
        retry_after = self.admission.retry_after(request, option, self.membership.ready, now)
        if is_repeatable or not may_have_run:
            self._actions.append(Refuse(request.id, retry_after))
        else:
            self._actions.append(Fail(request.id))
        self._finish(request)

    def _on_client_gone(self, event: ClientGone, now: int) -> None:
        if event.request in self.requests:
            self._finish(self.requests[event.request])

    # --- attempts ---

    def _send(self, request: Request, option: Option, now: int) -> None:
        self.queued.pop(request.id, None)
        worker = option.worker
        attempt = Attempt(
            request,
            len(request.attempts),
            worker,
            sent_at=now,
            suspicion_timeout=suspicion_timeout(option.delay),
            cost=request.cost,
            fetches=request.key != 0 and request.key not in worker.cached_keys,
            process_started_at=worker.entry.started_at,
        )
        request.attempts.append(attempt)
        # A queued request may be sent before all its probes have ended: their answers must not send it again.
        request.pending_probes = 0
        worker.add(attempt)
        if worker.backoff:  # a trial request: the next one only after another backoff, or a signal of health
            start_backoff(worker, self.random, now)
        if request.key:
            # A worker is assumed to cache at least the data that its slots need.
            worker.mark_key_cached(request.key, max(worker.slots, 1.0))
        if worker.slow_start_draw:
            spend_budget(attempt, now)
        self._actions.append(Send(request.id, worker.entry.worker))

    def may_still_send(self, request_id: RequestId, number: int, now: int) -> bool:
        """Whether an attempt may still be sent. Called once its connection is open."""
        request = self.requests.get(request_id)
        if request is None or request.closed:
            return False
        attempt = request.attempts[number]
        worker = attempt.worker
        is_same_process = worker.entry.started_at == attempt.process_started_at
        if attempt.outcome is not None or worker not in self.membership.ready or not is_same_process:
            return False
        if not still_allows_attempt(attempt, self.settings, now):
            return False
        is_late = now > attempt.sent_at + self.settings.tick
        if not is_late or not worker.slow_start_draw:
            return True
        return self._move_budget(attempt, now)

    def _move_budget(self, attempt: Attempt, now: int) -> bool:
        """Charge a late attempt to the slow-start window in which it arrives; False if that has no budget."""
        worker = attempt.worker
        release_budget(attempt)
        rate = worker.rate * self.settings.capacity_fraction(worker.entry.started_at, now)
        allowed = self.selector.has_budget(worker, attempt.cost, rate, now)
        if allowed:
            spend_budget(attempt, now)
        return allowed

    def _on_attempt_ended(self, event: AttemptEnded, now: int) -> None:
        attempt = find_attempt(self.requests, event)
        if attempt is None:
            return
        request, worker = attempt.request, attempt.worker
        attempt.outcome = event.outcome
        if event.outcome in NEVER_ARRIVED:
            release_budget(attempt)
        worker.remove(attempt, now, CANDIDATE_AGES_US[-1] + worker.round_trip)
        if event.load is not None:
            self.load_model.apply_report(worker, event.load, now)
        self._apply_outcome(attempt, event, now)
        if event.closed or request.closed:
            self._finish(request)
        elif not request.is_in_flight:
            self._dispatch(request, now)

    def _apply_outcome(self, attempt: Attempt, event: AttemptEnded, now: int) -> None:
        """Update the estimates and the health of a worker by the outcome of an attempt there."""
        worker = attempt.worker
        if event.outcome is Outcome.SERVED:
            worker.reliability.record(now, is_error=False)
            end_backoff(worker, now)
            self.load_model.learn_run_time(attempt, now)
            self._try_queued(now, worker)
        elif event.outcome is Outcome.ERROR:
            self.load_model.error_time.add(now - attempt.sent_at, MEMORY_SAMPLES)
            other_attempts = [other for other in attempt.request.attempts if other is not attempt]
            if all(other.outcome is not Outcome.ERROR for other in other_attempts):
                # A request that fails at several workers is itself the likely cause.
                worker.reliability.record(now, is_error=True)
        elif event.outcome is Outcome.TIMED_OUT:
            # The job may still run there, so it is counted like a job of a peer until it departs. A timeout
            # starts no backoff.
            worker.peer_jobs += 1
            worker.peer_jobs_at = now
        elif event.outcome is Outcome.FULL:
            # Equivalent to a report of the highest job count that the estimate can hold.
            end_backoff(worker, now)
            worker.peer_jobs = max(MAX_JOB_COUNT - len(worker.attempts), 0)
            worker.peer_jobs_at = now
        elif event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED) and not event.stale:
            # One reset may be the fault of the connection. If the process has died, the next connection fails
            # as well.
            worker.resets += 1
            connect_failed = event.outcome is Outcome.CONNECT_FAILED
            if connect_failed or worker.backoff or worker.resets > MAX_RESETS:
                start_backoff(worker, self.random, now)

    def _on_worker_signal(self, event: JobStarted | JobProgress | StreamStarted, now: int) -> None:
        attempt = find_attempt(self.requests, event)
        if attempt is None:
            return
        attempt.last_signal_at = now
        if isinstance(event, JobStarted):
            attempt.started_at = now
            if self.load_model.uses_plan:
                self.plan.count_start(now)
            for earlier in takewhile(lambda other: other is not attempt, attempt.worker.attempts):
                earlier.overtaken_by += 1
        end_backoff(attempt.worker, now)

    # --- probes ---

    def _probe(self, worker: Worker, now: int) -> None:
        worker.probed_at = now
        self._actions.append(Probe(worker.entry.worker))

    def _on_probe_ended(self, event: ProbeEnded, now: int) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        if event.outcome is Outcome.SERVED:
            worker.last_signal_at = now
        if event.load is not None:
            worker.round_trip = min(worker.round_trip or event.elapsed, event.elapsed)
            self.load_model.apply_report(worker, event.load, now)
        waiting = worker.waiting_requests
        worker.waiting_requests = []
        for request in waiting:
            request.pending_probes -= 1
            if request.pending_probes == 0 and not request.closed:
                self._dispatch(request, now)
        if worker.peer_jobs + worker.own_load + 1 <= worker.concurrency:
            self._try_queued(now, worker)

    # --- timers and upkeep ---

    def _on_timer(self, event: TimerFired, now: int) -> None:
        if event.token == UPKEEP_TIMER:
            self._upkeep(now)
            return
        if event.token == SUBSCRIBE_TIMER:
            self._actions.append(Subscribe())
            return
        request_id, is_for_probes = divmod(event.token - FIRST_REQUEST_TIMER, 2)
        if not is_for_probes:
            if request_id in self.queued:
                self._close(self.queued[request_id], now)
            return
        request = self.requests.get(request_id)
        if request is not None and request.pending_probes > 0:
            request.pending_probes = 0
            self._dispatch(request, now)

    def _upkeep(self, now: int) -> None:
        """Check for unresponsive workers, renew the plan, slow start and reports, try a queued request."""
        period = round(min(max(self.load_model.work.value / 2, MIN_UPKEEP_US), MAX_UPKEEP_US))
        self._actions.append(StartTimer(period, UPKEEP_TIMER))
        in_flight = [attempt for request in self.requests.values() for attempt in request.in_flight]
        for attempt in in_flight:
            if is_unresponsive(attempt, self.settings, now) and not self._probe_if_overloaded(attempt, now):
                self._handle_unresponsive(attempt, now)
        if self.load_model.uses_plan:
            healthy = [worker for worker in self.membership.ready if worker.backoff_until <= now]
            self.plan.update(healthy, self.settings, now)
        elif now >= self.slow_start.window_started_at + self.settings.collapse_window:
            self.slow_start.draw(self.workers.values(), self.settings, self.random, now)
        for worker in self.prober.take_stale_workers(now):
            self._probe(worker, now)
        self._try_queued(now)

    def _probe_if_overloaded(self, attempt: Attempt, now: int) -> bool:
        """Probe an unresponsive worker that may only be busy with peers' jobs.

        Returns whether its answer is still pending.
        """
        if not self.prober.may_be_overloaded(attempt):
            return False
        worker = attempt.worker
        if worker.probed_at <= max(worker.last_signal_at, attempt.sent_at):
            self._probe(worker, now)
        return self.prober.awaits_probe_answer(worker, now)

    def _handle_unresponsive(self, attempt: Attempt, now: int) -> None:
        """Back off from an unresponsive worker, and hedge at another one where the class allows it."""
        worker, request = attempt.worker, attempt.request
        last_signal_at = max(attempt.last_signal_at, attempt.sent_at)
        # If other attempts there have had signals since, only this connection is at fault.
        if not worker.backoff and worker.last_signal_at <= last_signal_at:
            start_backoff(worker, self.random, now)
        if attempt is request.attempts[-1] and allows_attempt(request, self.settings, now):
            self._dispatch(request, now)
