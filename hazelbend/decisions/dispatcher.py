"""The decisions of a dispatcher that pushes jobs to workers: events in, actions out.

The ordinary path of a request is SED_e of Hyytia and Righter: the job count of each worker is estimated from
its last report, own attempts in flight and Poisson departures, and the request goes to the least
(E[N] + 1) / mu. The parts stand in modules of their own:

    membership.py  which workers are listed           load_model.py  how loaded and how fast they are
    selection.py   the best worker for a request      admission.py   whether it may go there now
    health.py      which workers are left alone       probing.py     which are asked for a report
    slow_start.py  what cold workers are sent         fleet_plan.py  where no worker reports its load
    retry_rules.py whether an attempt may be repeated

A request goes through these states:

    arrived --best worker has capacity--> in flight --answer--> closed
    arrived --it would be late there----> queued here, newest first, or rejected
    arrived --reports are old-----------> waits for probes, then as after its arrival
    in flight --failure-----------------> as after its arrival, where another attempt is allowed

Types of events and actions are in interface.py. Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import takewhile
from typing import Any

from hazelbend.decisions.admission import Admission
from hazelbend.decisions.discovery_retry import DiscoveryRetry
from hazelbend.decisions.fleet_plan import FleetPlan
from hazelbend.decisions.health import MAX_RESETS, is_silent, silence_limit, suspect, trust
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

# The period of upkeep is half of a mean job, within these bounds.
MIN_UPKEEP_US = 100_000
MAX_UPKEEP_US = 500_000
# Tokens of timers. Each request has two from the first on: for its end, and for its probes.
UPKEEP_TIMER = 0
SUBSCRIBE_TIMER = 1
FIRST_REQUEST_TIMER = 2


class Dispatcher:
    """Decides for one dispatcher. It is told of events and of the time, and answers with actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without workers; `seed` is for random choices."""
        self.settings = settings
        self.random = random.Random(seed)
        self.requests: dict[RequestId, Request] = {}  # not answered, or with attempts in flight
        self.queued: dict[RequestId, Request] = {}  # those that wait here for capacity
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
            JobProgress: self._on_sign_of_life,
            JobStarted: self._on_sign_of_life,
            StreamStarted: self._on_sign_of_life,
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
        """Return what is to be done about an event, in this order."""
        self._actions = []
        if self._started_at < 0:
            self._start(now)
        self._handlers[type(event)](event, now)
        return self._actions

    def workers_in_backoff(self, now: int) -> set[WorkerId]:
        """Return the listed workers that are sent nothing for now, as they seem unhealthy."""
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
        model.width.add(event.slots)
        self.prober.count_arrival()
        request = Request(
            event.request,
            job,
            event.job_class,
            deadline=now + event.client_timeout,
            target=now + job.objective + job.stretch * work,
            work=work,
            cost=work / model.work.value * event.slots / model.width.value,
            key=event.key,
        )
        self.requests[request.id] = request
        if model.uses_plan:
            self.plan.count_job(event.key)
        if not self._wait_for_probes(request, now):
            self._dispatch(request, now)

    def _wait_for_probes(self, request: Request, now: int) -> bool:
        """Probe the best workers where their reports are old; return whether the request waits for them."""
        wait = self.prober.request_wait(request, now)
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
        """Send a request to its best worker, queue it here, or give the final answer."""
        allowed = allows_attempt(request, self.settings, now)
        option = self.selector.select(request, now) if allowed else None
        if option and not self.admission.is_too_late(request, option, now):
            self._send(request, option, now)
        elif request.is_in_flight:
            return
        elif not allowed or (option and not request.job.late_value_fraction):
            # Where a late answer earns nothing, a client that tries again may get one in time.
            self._close(request, now, option)
        else:
            self._queue(request, now)

    def _queue(self, request: Request, now: int) -> None:
        if request.id not in self.queued:
            expires_at = request.deadline - 2 * self.settings.tick
            if not request.job.late_value_fraction:
                # Where a late answer earns nothing, what is late is given up, and answered at once.
                expires_at = min(expires_at, round(request.target))
            delay = max(expires_at - now, 0)
            self._actions.append(StartTimer(delay, FIRST_REQUEST_TIMER + 2 * request.id))
        self.queued[request.id] = request

    def _try_queued(self, now: int, freed: Worker | None = None) -> None:
        """Try the newest queued request: under overload it alone can be in time."""
        request = next(reversed(self.queued.values()), None)
        if request is None or request.pending_probes > 0:
            return
        if freed is None and self._wait_for_probes(request, now):
            return
        request.candidates = [freed] if freed else []  # nothing new is known of the others
        self._dispatch(request, now)

    def _finish(self, request: Request) -> None:
        """Forget an answered request with its last attempt; cancel the attempts that are in flight."""
        self.queued.pop(request.id, None)
        if not request.closed and self.settings.cancel_allowed:
            self._actions += [Cancel(request.id, attempt.number) for attempt in request.in_flight]
        request.closed = True
        if not request.is_in_flight:
            self.requests.pop(request.id, None)

    def _close(self, request: Request, now: int, option: Option | None = None) -> None:
        """Give the final answer: a rejection where it is true that trying again does no harm."""
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
            silence_limit=silence_limit(option.delay),
            cost=request.cost,
            fetches=request.key != 0 and request.key not in worker.cached_keys,
            process_started_at=worker.entry.started_at,
        )
        request.attempts.append(attempt)
        # A queued request may be sent before all its probes have ended: those make no second copy then.
        request.pending_probes = 0
        worker.add(attempt)
        if worker.backoff:  # one trial at a time: the next one after another wait, unless there is a sign
            suspect(worker, self.random, now)
        if request.key:
            worker.use_key(request.key, max(worker.slots, 1.0))  # it caches at least the data its slots need
        if worker.lottery_number:
            spend_budget(attempt, now)
        self._actions.append(Send(request.id, worker.entry.worker))

    def may_still_send(self, request_id: RequestId, number: int, now: int) -> bool:
        """Whether an attempt may still be sent, now that its connection is open."""
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
        if not is_late or not worker.lottery_number:
            return True
        return self._move_budget(attempt, now)

    def _move_budget(self, attempt: Attempt, now: int) -> bool:
        """Move a late attempt's slow-start cost to the window in which it arrives; False if that is full."""
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
        self._learn_outcome(attempt, event, now)
        if event.closed or request.closed:
            self._finish(request)
        elif not request.is_in_flight:
            self._dispatch(request, now)

    def _learn_outcome(self, attempt: Attempt, event: AttemptEnded, now: int) -> None:
        """Update what is believed of a worker by the outcome of an attempt there."""
        worker = attempt.worker
        if event.outcome is Outcome.SERVED:
            worker.reliability.record(now, is_error=False)
            trust(worker, now)
            self.load_model.learn_run_time(attempt, now)
            self._try_queued(now, worker)
        elif event.outcome is Outcome.ERROR:
            self.load_model.error_time.add(now - attempt.sent_at, MEMORY_SAMPLES)
            others = [other for other in attempt.request.attempts if other is not attempt]
            if all(other.outcome is not Outcome.ERROR for other in others):
                worker.reliability.record(now, is_error=True)  # a request that fails everywhere is at fault
        elif event.outcome is Outcome.TIMED_OUT:
            # It may still run there unseen, so it departs like the jobs of peers. The worker is not
            # suspected.
            worker.peer_jobs += 1
            worker.peer_jobs_at = now
        elif event.outcome is Outcome.FULL:
            # As good as a report that the worker has as many jobs as are counted.
            trust(worker, now)
            worker.peer_jobs = max(MAX_JOB_COUNT - len(worker.attempts), 0)
            worker.peer_jobs_at = now
        elif event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED) and not event.stale:
            # One reset may be the connection's own; a process that died fails the next one as well.
            worker.resets += 1
            connect_failed = event.outcome is Outcome.CONNECT_FAILED
            if connect_failed or worker.backoff or worker.resets > MAX_RESETS:
                suspect(worker, self.random, now)

    def _on_sign_of_life(self, event: JobStarted | JobProgress | StreamStarted, now: int) -> None:
        attempt = find_attempt(self.requests, event)
        if attempt is None:
            return
        attempt.heard_at = now
        if isinstance(event, JobStarted):
            attempt.started_at = now
            if self.load_model.uses_plan:
                self.plan.count_start(now)
            for earlier in takewhile(lambda other: other is not attempt, attempt.worker.attempts):
                earlier.overtaken_by += 1
        trust(attempt.worker, now)

    # --- probes ---

    def _probe(self, worker: Worker, now: int) -> None:
        worker.probed_at = now
        self._actions.append(Probe(worker.entry.worker))

    def _on_probe_ended(self, event: ProbeEnded, now: int) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        if event.outcome is Outcome.SERVED:
            worker.heard_at = now
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
        """Look after silent workers, the plan, slow start, old reports and queued requests."""
        period = round(min(max(self.load_model.work.value / 2, MIN_UPKEEP_US), MAX_UPKEEP_US))
        self._actions.append(StartTimer(period, UPKEEP_TIMER))
        in_flight = [attempt for request in self.requests.values() for attempt in request.in_flight]
        for attempt in in_flight:
            if is_silent(attempt, self.settings, now) and not self._awaits_probe(attempt, now):
                self._leave_silent(attempt, now)
        if self.load_model.uses_plan:
            healthy = [worker for worker in self.membership.ready if worker.backoff_until <= now]
            self.plan.update(healthy, self.settings, now)
        elif now >= self.slow_start.drawn_at + self.settings.collapse_window:
            self.slow_start.draw(self.workers.values(), self.settings, self.random, now)
        for worker in self.prober.take_old_reports(now):
            self._probe(worker, now)
        self._try_queued(now)

    def _awaits_probe(self, attempt: Attempt, now: int) -> bool:
        """Probe a silent worker that may just be full of peers' jobs; return whether it may still answer."""
        if not self.prober.explains_silence(attempt):
            return False
        worker = attempt.worker
        if worker.probed_at <= max(worker.heard_at, attempt.sent_at):
            self._probe(worker, now)
        return self.prober.awaits_answer(worker, now)

    def _leave_silent(self, attempt: Attempt, now: int) -> None:
        """Suspect a silent worker, and send a second copy elsewhere where the class allows it."""
        worker, request = attempt.worker, attempt.request
        heard_at = max(attempt.heard_at, attempt.sent_at)
        if not worker.backoff and worker.heard_at <= heard_at:  # else it is that connection alone
            suspect(worker, self.random, now)
        if attempt is request.attempts[-1] and allows_attempt(request, self.settings, now):
            self._dispatch(request, now)
