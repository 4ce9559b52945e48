"""A model of the rules: it hands a dispatcher events and checks each action against what the rules allow."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from hazelbend.decisions import interface as dy
from hazelbend.decisions.dispatcher import Dispatcher

SLACK = 16_000


@dataclass
class Try:
    worker: dy.WorkerEntry
    sent_at: int
    outcome: dy.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in dy.NEVER_RAN


@dataclass
class Job:
    job_class: dy.JobClass
    deadline: int
    attempts: list[Try] = field(default_factory=list)
    closed_at: int | None = None

    @property
    def first_that_may_have_run(self) -> Try | None:
        return next((each for each in self.attempts if each.may_have_run), None)


class Model:
    """Plays events to one dispatcher and asserts the rules on everything that it does."""

    def __init__(self, settings: dy.Settings, seed: int = 1) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 1_000_000
        self.jobs: dict[int, Job] = {}
        self.listed: dict[int, dy.WorkerEntry] = {}
        self.stopped_at: dict[int, int] = {}  # when the dispatcher was told of a drain or an end
        self.timers: list[tuple[int, int]] = []
        self.sends: list[tuple[int, int, int]] = []  # time, worker, request
        self.refused: list[int] = []
        self.failed: list[int] = []
        self.cancels: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.subscriptions: list[int] = []
        self.last_actions: list[dy.Action] = []  # what the last event led to

    # --- events ---

    def handle_event(self, event: dy.Event) -> list[dy.Action]:
        actions = self.last_actions = self.dispatcher.handle(event, self.now)
        for action in actions:
            self._check(action)
        return actions

    def list_workers(self, *entries: dy.WorkerEntry, kind: dy.ListKind = dy.ListKind.FULL) -> None:
        if kind is not dy.ListKind.DELTA:
            for absent in set(self.listed) - {entry.worker for entry in entries}:
                self.stopped_at.setdefault(absent, self.now)
        for entry in entries:
            self.listed[entry.worker] = entry
            if entry.state is dy.WorkerState.READY:
                self.stopped_at.pop(entry.worker, None)
            else:
                self.stopped_at.setdefault(entry.worker, self.now)
        self.handle_event(dy.MembershipUpdate(kind, entries))

    def arrive(self, request: int, client_timeout: int = 5_000_000, job_class: int = 0, **more: int) -> None:
        self.jobs[request] = Job(self.settings.classes[job_class], self.now + client_timeout)
        self.handle_event(dy.RequestArrived(request, client_timeout, job_class, **more))

    def start_job(self, request: int, attempt: int = 0) -> None:
        worker = self.jobs[request].attempts[attempt].worker.worker
        self.handle_event(dy.JobStarted(request, worker, attempt))

    def end_attempt(
        self,
        request: int,
        outcome: dy.Outcome,
        attempt: int = 0,
        load: dy.LoadReport | None = None,
        stale: bool = False,
    ) -> None:
        job = self.jobs[request]
        each = job.attempts[attempt]
        each.outcome = outcome
        if outcome is dy.Outcome.SERVED and job.closed_at is None:
            job.closed_at = self.now
        closed = job.closed_at is not None
        elapsed = self.now - each.sent_at
        worker = each.worker.worker
        self.handle_event(dy.AttemptEnded(request, worker, attempt, outcome, closed, elapsed, load, stale))

    def leave(self, request: int) -> None:
        if self.jobs[request].closed_at is None:
            self.jobs[request].closed_at = self.now
        self.handle_event(dy.ClientGone(request))

    def advance(self, duration: int) -> None:
        """Let time pass: timers ring, and attempts still out at a client's deadline time out."""
        until = self.now + duration
        while True:
            due = [
                (job.deadline, request, number)
                for request, job in self.jobs.items()
                for number, each in enumerate(job.attempts)
                if each.outcome is None and job.deadline <= until
            ]
            first = min(due, default=None)
            ring = self.timers[0][0] if self.timers else until + 1
            if ring <= min(until, first[0] if first else until):
                at, token = heapq.heappop(self.timers)
                self.now = max(self.now, at)
                self.handle_event(dy.TimerFired(token))
            elif first is not None:
                self.now = max(self.now, first[0])
                self.end_attempt(first[1], dy.Outcome.TIMED_OUT, first[2])
            else:
                break
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request, job in self.jobs.items():
            ended = self.now if job.closed_at is None else job.closed_at
            assert ended <= job.deadline + SLACK, f"request {request} had no answer in time"

    def finish(self) -> None:
        """Run until every request must have had its answer."""
        last = max((job.deadline for job in self.jobs.values()), default=self.now)
        self.advance(max(last + SLACK + 1 - self.now, 1))
        assert all(job.closed_at is not None for job in self.jobs.values())

    def attempts_in_flight(self) -> list[tuple[int, int]]:
        """The attempts still out."""
        return [
            (request, number)
            for request, job in self.jobs.items()
            for number, each in enumerate(job.attempts)
            if each.outcome is None
        ]

    # --- checks ---

    def _check(self, action: dy.Action) -> None:
        match action:
            case dy.Send():
                self._check_send(action)
            case dy.Refuse(request=request):
                job = self._close(request)
                self.refused.append(request)
                if job.first_that_may_have_run is not None:
                    assert job.job_class.idempotency is not dy.Idempotency.UNSAFE
                    if job.job_class.idempotency is dy.Idempotency.KEYED:
                        assert job.job_class.dedup_scope is dy.DedupScope.ALL
            case dy.Fail(request=request):
                self._close(request)
                self.failed.append(request)
            case dy.Cancel(request=request, attempt=attempt):
                assert self.settings.cancel_allowed
                assert attempt < len(self.jobs[request].attempts)
                self.cancels.append((request, attempt))
            case dy.StartTimer(delay=delay, token=token):
                assert delay >= 0
                heapq.heappush(self.timers, (self.now + max(delay, 1), token))
            case dy.Probe(worker=worker):
                assert self.settings.probes_allowed
                assert worker in self.listed
                self.probes.append(worker)
            case dy.Subscribe():
                self.subscriptions.append(self.now)

    def _close(self, request: int) -> Job:
        job = self.jobs[request]
        assert job.closed_at is None, f"request {request} got a second final answer"
        job.closed_at = self.now
        return job

    def _check_send(self, action: dy.Send) -> None:
        job, entry = self.jobs[action.request], self.listed[action.worker]
        assert job.closed_at is None, "nothing is sent for a request that has its answer"
        stopped = self.stopped_at.get(action.worker)
        assert stopped is None or self.now == stopped, "the worker drains or is gone"
        assert len(job.attempts) < self.settings.max_attempts
        if not self.settings.hedging_allowed:
            assert all(each.outcome is not None for each in job.attempts)
        first, job_class = job.first_that_may_have_run, job.job_class
        if first is not None:
            assert job_class.idempotency is not dy.Idempotency.UNSAFE, "unsafe, and it may have run"
            if job_class.idempotency is dy.Idempotency.KEYED:
                assert self.now < first.sent_at + job_class.dedup_window
                if job_class.dedup_scope is dy.DedupScope.ZONE:
                    assert entry.zone == first.worker.zone
                elif job_class.dedup_scope is dy.DedupScope.CELL:
                    assert entry.cell == first.worker.cell
        job.attempts.append(Try(entry, self.now))
        self.sends.append((self.now, action.worker, action.request))
