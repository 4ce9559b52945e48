"""The engine of the job queue: dependencies, start times, admission and ageing.

It does no I/O, and the caller passes the current time.

A job is in exactly one state, and moves only downwards:

    state     waits for                                  transition
    -------   ----------------------------------------   ------------------------------------------------
    BLOCKED   its parents, or its start time             to QUEUED when nothing blocks it any more
    QUEUED    a slot                                     to RUNNING when a slot is free, by `Release`
    RUNNING   its answer, from the router                ends by `ended`
    (ended)   (its outcome is retained for children)     deleted after a TTL, or beyond the bound on number

A BLOCKED or QUEUED job may also end by `Rejection`. It has not run, so it is safe to retry.
The outcome of a parent affects its children by the condition of the edge:

    parent's outcome                    edge SERVED               edge ENDED
    ---------------------------------   -----------------------   ----------------
    served                              parent removed            parent removed
    refused, failed, cancelled,
    client disconnected, expired        rejected, naming parent   parent removed
    never submitted                     rejected, naming parent   rejected

A child waits for a parent that is not submitted yet for up to `submission_timeout_us`. The length of chains,
the number of parents and children, and the number and bytes of waiting jobs are bounded.

Admission: at most `slots` jobs run at once, and of some classes at most a number of their own. There are
two queues:

    in time   Ordered by latest start: due_at minus the expected run time. New jobs of short classes have a
              later latest start than old jobs of long classes, so a flood of short jobs cannot delay an old
              job beyond its own latest start.
    aged      Jobs that would be late (if a late answer still has a value; otherwise they are rejected at
              once), and jobs of a tenant beyond its share. First come, first served, on at most `aged` slots
              while jobs that are in time are queued.

When a job is queued, its wait is estimated from the jobs queued in time and from the `slots - aged`
slots that aged jobs do not use. If it would miss its due time by this estimate, it does not count as in time.
If it is then rejected, `retry_after` is the time in which that queue is expected to drain.

Two guarantees, derived in docs/design/0002-waiting.md and checked by tests: aged jobs do not delay jobs that
are in time, as these are admitted by the slots that aged jobs do not use; and an aged job waits no longer
than the aged jobs ahead of it take when they run one after the other on `aged` slots.

Invariants (`invariants` checks them; tests do so after every event):
    1. A job is in one state; the counts of slots, clients, tenants and bytes match the jobs.
    2. A BLOCKED job has a parent that has not ended, or a start time in the future; a QUEUED job has neither.
    3. The number of RUNNING jobs is within the bounds, and no slot is free that a queued job could have.
    4. The graph has no cycle, and each edge is recorded at both jobs.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

from hazelbend.job_queue.admission import INITIAL_RUN_TIME_US, AdmissionQueue
from hazelbend.job_queue.dependency_graph import DependencyGraph, EndedJob, fails_child
from hazelbend.job_queue.job import JobState, QueuedJob, Totals
from hazelbend.job_queue.terms import (
    Bounds,
    DependencyCondition,
    Effect,
    JobKey,
    JobOutcome,
    JobRequest,
    Rejection,
    Release,
    TermsError,
)
from hazelbend.job_queue.timers import JobTimers

DEADLINE_PASSED = "its time is over"
WOULD_BE_LATE = "its wanted time would be missed"
QUEUE_FULL = "too many jobs wait"
CLIENT_QUEUE_FULL = "too many jobs of this client wait"


class JobQueueEngine:
    """Handles events, and returns the effects that the caller must carry out: jobs to release or reject.

    `now` is the time of the monotonic clock, `wall` is Unix time by the wall clock, both in microseconds.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.graph = DependencyGraph(bounds)
        self.jobs: dict[JobKey, QueuedJob] = self.graph.jobs
        self.admission = AdmissionQueue(bounds, self.jobs)
        self.timers = JobTimers()
        self.totals = Totals()
        self.waiting = 0
        self.waiting_bytes = 0
        self.by_client: Counter[str] = Counter()
        self._effects: list[Effect] = []

    @property
    def ended_jobs(self) -> OrderedDict[JobKey, EndedJob]:
        """The outcomes of the last jobs that ended, oldest first."""
        return self.graph.ended_jobs

    # --- events ---

    def submit(self, request: JobRequest, now: int, wall: int) -> list[Effect]:
        """Submit a job.

        Raises:
            TermsError: its terms cannot be met; the engine's state is unchanged.
        """
        self._effects = []
        known = self.jobs.get(request.key)
        if known is not None and known.state is not JobState.EXPECTED:
            raise TermsError("a job of this id is open")
        parents = self.graph.parents_of(request, known)
        if self._may_have_to_wait(request) and (rejection := self._rejection_if_full(request)) is not None:
            self._reject_submission(request.key, known, rejection, now)
            return self._effects
        job = known or QueuedJob(request.key, JobState.BLOCKED)
        job.state = JobState.BLOCKED
        job.request = request
        job.arrived_at = now
        self.jobs[request.key] = job
        self._add_to_counts(job, 1)
        self.graph.set_depth(job, max((self.graph.depth_of(key) + 1 for key in parents), default=0))
        failed: tuple[JobKey, JobOutcome] | None = None
        for key, edge in parents.items():
            failed = failed or self._add_parent(job, key, edge, now)
        if failed is not None:
            self._reject(job, JobOutcome.REFUSED, _parent_reason(*failed), now)
            return self._effects
        self._start_or_block(job, request, now, wall)
        self._admit(now)
        return self._effects

    def ended(self, key: JobKey, outcome: JobOutcome, result: bytes, now: int) -> list[Effect]:
        """Record the final answer of a released job. Has no effect on a job that is not running."""
        self._effects = []
        job = self.jobs.get(key)
        if job is None or job.state is not JobState.RUNNING:
            return self._effects
        if outcome is JobOutcome.SERVED and job.request is not None:
            self.admission.observe_run_time(job.request.class_index, max(now - job.started_at, 1))
        self._finish(job, outcome, result, now)
        self._admit(now)
        return self._effects

    def cancel(self, key: JobKey, outcome: JobOutcome, now: int, reason: str = "") -> list[Effect]:
        """End a waiting job whose client cancelled it or disconnected. Has no effect on a running job."""
        self._effects = []
        job = self.jobs.get(key)
        if job is not None and job.is_waiting:
            self._reject(job, outcome, reason or outcome.value, now)
            self._admit(now)
        return self._effects

    def reject_all(self, reason: str, now: int, start_by: int | None = None) -> list[Effect]:
        """Reject the waiting jobs that cannot start before the process ends.

        These are the jobs with a start time after `start_by` (wall clock), those with a parent that is not
        submitted yet, and all jobs that depend on them. Without `start_by`, reject every waiting job.
        """
        self._effects = []
        for job in list(self.jobs.values()):
            # An earlier rejection may have ended jobs that come later in this list.
            if self.jobs.get(job.key) is not job or not job.is_waiting:
                continue
            if start_by is None or self._cannot_start_by(job, start_by):
                self._reject(job, JobOutcome.REFUSED, reason, now)
        if start_by is not None:
            self._admit(now)
        return self._effects

    def tick(self, now: int, wall: int) -> list[Effect]:
        """Handle the start times, deadlines and timeouts that have passed."""
        self._effects = []
        while (key := self.timers.pop_start(wall)) is not None:
            job = self.jobs.get(key)
            if job is not None and job.not_before is not None and job.not_before <= wall:
                job.not_before = None
                if not job.parents:
                    self._queue(job, now)
        while (key := self.timers.pop_deadline(now)) is not None:
            job = self.jobs.get(key)
            if job is not None:
                self._check_deadline(job, now)
        self.graph.expire_ended_jobs(now)
        self._admit(now)
        return self._effects

    def change(self, bounds: Bounds, now: int) -> list[Effect]:
        """Apply new bounds. Waiting jobs stay queued, and additional slots are filled at once."""
        self._effects = []
        self.bounds = bounds
        self.graph.bounds = bounds
        self.admission.bounds = bounds
        self._admit(now)
        return self._effects

    def next_at(self, now: int, wall: int) -> int | None:
        """Return when to call `tick` next, by the monotonic clock; None if not before another event."""
        times = self.timers.next_times(now, wall)
        starts = (max(at, now) + 1 for at in self.admission.first_latest_starts())
        return min([*times, *starts], default=None)

    # --- steps of a submission ---

    def _may_have_to_wait(self, request: JobRequest) -> bool:
        slots_full = 0 < self.bounds.slots <= self.admission.running_count and not request.bypasses_admission
        return request.terms.waits or slots_full

    def _rejection_if_full(self, request: JobRequest) -> Rejection | None:
        bounds = self.bounds
        full = (
            self.waiting >= bounds.max_waiting
            or self.waiting_bytes + request.size_bytes > bounds.max_waiting_bytes
        )
        if not full and self.by_client[request.key[0]] < bounds.by_client:
            return None
        self.totals.rejected[JobOutcome.REFUSED] += 1
        reason = QUEUE_FULL if full else CLIENT_QUEUE_FULL
        return Rejection(request.key, JobOutcome.REFUSED, reason, round(INITIAL_RUN_TIME_US))

    def _reject_submission(
        self, key: JobKey, known: QueuedJob | None, rejection: Rejection, now: int
    ) -> None:
        """Reject a job at its submission, with the children that waited for it."""
        self._effects.append(rejection)
        self.graph.remember(key, JobOutcome.REFUSED, b"", now)
        if known is not None:
            self._resolve_children(known, JobOutcome.REFUSED, b"", now)
            del self.jobs[key]

    def _add_parent(
        self, job: QueuedJob, key: JobKey, edge: DependencyCondition, now: int
    ) -> tuple[JobKey, JobOutcome] | None:
        """Add a parent to a job. Returns its key and outcome if it has ended and this fails the job."""
        ended = self.graph.ended_jobs.get(key)
        parent = self.jobs.get(key)
        if ended is not None and parent is None:
            if fails_child(ended.outcome, edge):
                return key, ended.outcome
            self.graph.add_parent_result(job, key, ended.outcome, ended.result)
            return None
        if parent is None:
            parent = QueuedJob(
                key, JobState.EXPECTED, submission_deadline=now + self.bounds.submission_timeout_us
            )
            self.jobs[key] = parent
            self.timers.add_deadline(parent.submission_deadline, key)
        self.graph.add_edge(parent, job, edge)
        return None

    def _start_or_block(self, job: QueuedJob, request: JobRequest, now: int, wall: int) -> None:
        if request.terms.not_before is not None and request.terms.not_before > wall:
            job.not_before = request.terms.not_before
            self.timers.add_start(job.not_before, request.key)
        self.timers.add_deadline(request.deadline, request.key)
        if job.parents or job.not_before is not None:
            self.totals.waited += 1
        elif request.bypasses_admission:
            self._add_to_counts(job, -1)
            job.state = JobState.RUNNING
            job.started_at = now
            self._effects.append(Release(job.key))
        else:
            self._queue(job, now)

    # --- steps of the other events ---

    def _cannot_start_by(self, job: QueuedJob, wall: int) -> bool:
        if any(self.jobs[key].state is JobState.EXPECTED for key in job.parents):
            return True
        return job.not_before is not None and job.not_before > wall

    def _check_deadline(self, job: QueuedJob, now: int) -> None:
        if job.state is JobState.EXPECTED and job.submission_deadline <= now:
            self.graph.remember(job.key, JobOutcome.NEVER_SUBMITTED, b"", now)
            self._resolve_children(job, JobOutcome.NEVER_SUBMITTED, b"", now)
            del self.jobs[job.key]
        elif job.is_waiting and job.request and job.request.deadline <= now:
            self._reject(job, JobOutcome.EXPIRED, DEADLINE_PASSED, now)

    def _resolve_children(self, parent: QueuedJob, outcome: JobOutcome, result: bytes, now: int) -> None:
        """Unblock or reject the children of a parent that has ended, and so on for rejected children.

        It uses a list in place of recursion, since a chain may be longer than the stack allows.
        """
        pending: list[tuple[QueuedJob, JobOutcome, bytes]] = [(parent, outcome, result)]
        while pending:
            ended, outcome, result = pending.pop()
            for key in ended.children:
                child = self.jobs.get(key)
                if child is None or ended.key not in child.parents:
                    continue
                condition = child.parents.pop(ended.key)
                if fails_child(outcome, condition):
                    self._remove_rejected(child, JobOutcome.REFUSED, _parent_reason(ended.key, outcome), now)
                    pending.append((child, JobOutcome.REFUSED, b""))
                    continue
                self.graph.add_parent_result(child, ended.key, outcome, result)
                if not child.parents and child.not_before is None:
                    self._queue(child, now)
            ended.children.clear()

    # --- admission ---

    def _queue(self, job: QueuedJob, now: int) -> None:
        """Queue a job that is ready, or reject it if it would be late and a late answer has no value."""
        assert job.request is not None
        request = job.request
        job.state = JobState.QUEUED
        job.queued_at = now
        run_us = self.admission.expected_run_us(request.class_index)
        objective = now + request.objective if request.objective else request.deadline
        due_at = min(request.terms.due_at or objective, request.deadline)
        if self.bounds.slots:
            wait_us = self.admission.expected_wait_us(request.class_index)
            late = now + wait_us + run_us > due_at and not self.admission.has_slot_for(job)
            if late and not request.late_value:
                self._reject(job, JobOutcome.REFUSED, WOULD_BE_LATE, now, round(wait_us) or 1)
                return
            # Queued as in time, it would delay the jobs that are already queued there.
            job.aged = late or self.admission.is_over_share(request.tenant)
        self.admission.enqueue(job, round(due_at - run_us))

    def _admit(self, now: int) -> None:
        """Fill the free slots."""
        while (job := self._next_to_run(now)) is not None:
            assert job.request is not None
            self._add_to_counts(job, -1)
            job.state = JobState.RUNNING
            job.started_at = now
            self.admission.occupy(job)
            self.totals.released += 1
            index = job.request.class_index
            self.totals.longest_wait_us[index] = max(
                self.totals.longest_wait_us.get(index, 0), now - job.arrived_at
            )
            self._effects.append(Release(job.key, tuple(job.results.items())))
            job.results = {}

    def _next_to_run(self, now: int) -> QueuedJob | None:
        for job, latest_start in self.admission.pop_late(now):
            self._requeue_late(job, latest_start, now)
        return self.admission.pop_next()

    def _requeue_late(self, job: QueuedJob, latest_start: int, now: int) -> None:
        """Queue a job that missed its latest start as aged, or reject it if a late answer has no value."""
        assert job.request is not None
        self.totals.missed += 1
        if not job.request.late_value and self.bounds.slots:
            wait_us = round(self.admission.expected_wait_us(job.request.class_index))
            self._reject(job, JobOutcome.REFUSED, WOULD_BE_LATE, now, wait_us or 1)
        else:
            self.admission.enqueue(job, latest_start)

    # --- ends ---

    def _reject(
        self, job: QueuedJob, outcome: JobOutcome, reason: str, now: int, retry_after: int = 0
    ) -> None:
        self._remove_rejected(job, outcome, reason, now, retry_after)
        self._resolve_children(job, outcome, b"", now)

    def _remove_rejected(
        self, job: QueuedJob, outcome: JobOutcome, reason: str, now: int, retry_after: int = 0
    ) -> None:
        """Reject a job that has not run. The caller must then handle its children."""
        self.admission.discard(job)
        self.graph.remove(job)
        self._add_to_counts(job, -1)
        self.totals.rejected[outcome] += 1
        self.graph.remember(job.key, outcome, b"", now)
        self._effects.append(Rejection(job.key, outcome, reason, retry_after))

    def _finish(self, job: QueuedJob, outcome: JobOutcome, result: bytes, now: int) -> None:
        assert job.request is not None
        if not job.request.bypasses_admission:
            self.admission.vacate(job)
        del self.jobs[job.key]
        self.graph.remember(job.key, outcome, result, now)
        self._resolve_children(job, outcome, result, now)

    def _add_to_counts(self, job: QueuedJob, by: int) -> None:
        """Add a job to the counts of waiting jobs (`by` is 1), or remove it from them (-1)."""
        assert job.request is not None
        client = job.key[0]
        self.waiting += by
        self.waiting_bytes += by * job.request.size_bytes
        self.by_client[client] += by
        if not self.by_client[client]:
            del self.by_client[client]


def _parent_reason(key: JobKey, outcome: JobOutcome) -> str:
    return f"{key[1]}, for which it waited: {outcome.value}"
