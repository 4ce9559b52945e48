"""A reference model: passes events to a dispatcher and checks each action against the rules."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from hazelbend.decisions import interface
from hazelbend.decisions.dispatcher import Dispatcher

ANSWER_SLACK_US = 16_000


@dataclass
class Attempt:
    worker: interface.WorkerEntry
    sent_at: int
    outcome: interface.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in interface.NEVER_RAN


@dataclass
class Job:
    job_class: interface.JobClass
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    closed_at: int | None = None

    @property
    def first_possibly_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Model:
    """Passes events to one dispatcher and asserts the rules on each of its actions. Times in microseconds."""

    def __init__(self, settings: interface.Settings, seed: int = 1) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 1_000_000
        self.jobs: dict[int, Job] = {}
        self.listed_workers: dict[int, interface.WorkerEntry] = {}
        self.unavailable_since: dict[int, int] = {}  # when it was reported as draining or gone
        self.timers: list[tuple[int, int]] = []
        self.sends: list[tuple[int, int, int]] = []  # time, worker, request
        self.refused: list[int] = []
        self.failed: list[int] = []
        self.cancels: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.subscriptions: list[int] = []
        self.last_actions: list[interface.Action] = []  # the actions after the last event

    # --- events ---

    def handle_event(self, event: interface.Event) -> list[interface.Action]:
        actions = self.last_actions = self.dispatcher.handle(event, self.now)
        for action in actions:
            self._check(action)
        return actions

    def list_workers(
        self, *entries: interface.WorkerEntry, kind: interface.ListKind = interface.ListKind.FULL
    ) -> None:
        if kind is not interface.ListKind.DELTA:
            for absent in set(self.listed_workers) - {entry.worker for entry in entries}:
                self.unavailable_since.setdefault(absent, self.now)
        for entry in entries:
            self.listed_workers[entry.worker] = entry
            if entry.state is interface.WorkerState.READY:
                self.unavailable_since.pop(entry.worker, None)
            else:
                self.unavailable_since.setdefault(entry.worker, self.now)
        self.handle_event(interface.MembershipUpdate(kind, entries))

    def arrive(
        self, request: int, client_timeout: int = 5_000_000, job_class: int = 0, **fields: int
    ) -> None:
        self.jobs[request] = Job(self.settings.classes[job_class], self.now + client_timeout)
        self.handle_event(interface.RequestArrived(request, client_timeout, job_class, **fields))

    def start_job(self, request: int, attempt: int = 0) -> None:
        worker = self.jobs[request].attempts[attempt].worker.worker
        self.handle_event(interface.JobStarted(request, worker, attempt))

    def end_attempt(
        self,
        request: int,
        outcome: interface.Outcome,
        attempt: int = 0,
        load: interface.LoadReport | None = None,
        stale: bool = False,
    ) -> None:
        job = self.jobs[request]
        record = job.attempts[attempt]
        record.outcome = outcome
        if outcome is interface.Outcome.SERVED and job.closed_at is None:
            job.closed_at = self.now
        closed = job.closed_at is not None
        elapsed = self.now - record.sent_at
        worker = record.worker.worker
        self.handle_event(
            interface.AttemptEnded(request, worker, attempt, outcome, closed, elapsed, load, stale)
        )

    def leave(self, request: int) -> None:
        if self.jobs[request].closed_at is None:
            self.jobs[request].closed_at = self.now
        self.handle_event(interface.ClientGone(request))

    def advance(self, duration: int) -> None:
        """Advance the clock: timers fire, and attempts in flight at their client's deadline time out."""
        until = self.now + duration
        while True:
            due = [
                (job.deadline, request, number)
                for request, job in self.jobs.items()
                for number, attempt in enumerate(job.attempts)
                if attempt.outcome is None and job.deadline <= until
            ]
            first = min(due, default=None)
            next_timer_at = self.timers[0][0] if self.timers else until + 1
            if next_timer_at <= min(until, first[0] if first else until):
                at, token = heapq.heappop(self.timers)
                self.now = max(self.now, at)
                self.handle_event(interface.TimerFired(token))
            elif first is not None:
                self.now = max(self.now, first[0])
                self.end_attempt(first[1], interface.Outcome.TIMED_OUT, first[2])
            else:
                break
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request, job in self.jobs.items():
            ended = self.now if job.closed_at is None else job.closed_at
            assert ended <= job.deadline + ANSWER_SLACK_US, (
                f"request {request} was not answered by its deadline"
            )

    def finish(self) -> None:
        """Run until every request must have been answered."""
        last = max((job.deadline for job in self.jobs.values()), default=self.now)
        self.advance(max(last + ANSWER_SLACK_US + 1 - self.now, 1))
        assert all(job.closed_at is not None for job in self.jobs.values())

    def attempts_in_flight(self) -> list[tuple[int, int]]:
        """Return the attempts in flight as pairs of request and attempt number."""
        return [
            (request, number)
            for request, job in self.jobs.items()
            for number, attempt in enumerate(job.attempts)
            if attempt.outcome is None
        ]

    # --- checks ---

    def _check(self, action: interface.Action) -> None:
        match action:
            case interface.Send():
                self._check_send(action)
            case interface.Refuse(request=request):
                job = self._close(request)
                self.refused.append(request)
                if job.first_possibly_run is not None:
                    assert job.job_class.idempotency is not interface.Idempotency.UNSAFE
                    if job.job_class.idempotency is interface.Idempotency.KEYED:
                        assert job.job_class.dedup_scope is interface.DedupScope.ALL
            case interface.Fail(request=request):
                self._close(request)
                self.failed.append(request)
            case interface.Cancel(request=request, attempt=attempt):
                assert self.settings.cancel_allowed
                assert attempt < len(self.jobs[request].attempts)
                self.cancels.append((request, attempt))
            case interface.StartTimer(delay=delay, token=token):
                assert delay >= 0
                heapq.heappush(self.timers, (self.now + max(delay, 1), token))
            case interface.Probe(worker=worker):
                assert self.settings.probes_allowed
                assert worker in self.listed_workers
                self.probes.append(worker)
            case interface.Subscribe():
                self.subscriptions.append(self.now)

    def _close(self, request: int) -> Job:
        job = self.jobs[request]
        assert job.closed_at is None, f"request {request} got a second final answer"
        job.closed_at = self.now
        return job

    def _check_send(self, action: interface.Send) -> None:
        job, entry = self.jobs[action.request], self.listed_workers[action.worker]
        assert job.closed_at is None, "sent for a request that has its final answer already"
        unavailable_at = self.unavailable_since.get(action.worker)
        assert unavailable_at is None or self.now == unavailable_at, "sent to a worker that drains or is gone"
        assert len(job.attempts) < self.settings.max_attempts
        if not self.settings.hedging_allowed:
            assert all(attempt.outcome is not None for attempt in job.attempts)
        first, job_class = job.first_possibly_run, job.job_class
        if first is not None:
            assert job_class.idempotency is not interface.Idempotency.UNSAFE, (
                "an unsafe request that may have run is sent again"
            )
            if job_class.idempotency is interface.Idempotency.KEYED:
                assert self.now < first.sent_at + job_class.dedup_window
                if job_class.dedup_scope is interface.DedupScope.ZONE:
                    assert entry.zone == first.worker.zone
                elif job_class.dedup_scope is interface.DedupScope.CELL:
                    assert entry.cell == first.worker.cell
        job.attempts.append(Attempt(entry, self.now))
        self.sends.append((self.now, action.worker, action.request))
