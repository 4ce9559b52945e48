"""The engine of the job queue: dependencies, start times, admission and ageing.

It does no I/O, and the caller passes the time.

A job is in one state, and moves only downwards:

    state     what it waits for                      leaves it by
    -------   ------------------------------------   -------------------------------------------------
    BLOCKED   parents, or its time                   the last parent's end, its time: to QUEUED
    QUEUED    a place in service                     a free place: to RUNNING (by `Release`)
    RUNNING   its answer, which the router gives     `ended`
    (ended)   remembered for a while, for children   time, or the bound on their number

From BLOCKED and QUEUED it may also end at once, by `Rejection`: it has not run, so that a retry is harmless.
What a parent's end means for its children:

    parent's end                        edge SERVED             edge ENDED
    ---------------------------------   ---------------------   ----------
    served                              one parent less         one less
    refused, failed, cancelled,
    its client left, expired            refused, names parent   one less
    never came                          refused, names parent   refused

A parent that is not known yet is expected for `submission_timeout_us`. Chains, fans, bytes and numbers are bounded.

Admission. At most `in_service` jobs run, and of a class so many. Of those that queue

    in time   latest start first: due_at less the expected run. New jobs of short classes have later times
              than old ones of long classes, so that a flood of them cannot hold an old one back past its own
    aged      what will not be in time (if a late answer earns anything; else it is refused at once), and
              what a tenant has over its share: first come, first served, on at most `aged` places while
              anything in time queues

A job whose wait, by what queues in time on the `in_service - aged` places that are never lent, would miss its
wanted time is not in time as it comes; a refusal then tells when that line will have drained.

Two claims, argued in docs/design/0002-waiting.md and held by tests: ageing takes nothing from jobs in time,
as they are admitted against places that it does not use; and no aged job waits longer than those before it in
its line, one run after the other on `aged` places.

Invariants (`invariants` evaluates them; tests do after every event):
    1. A job is in one state; the counts of places, clients, tenants and bytes are those of the jobs.
    2. A BLOCKED job has a parent that has not ended or a time that has not come; a QUEUED one neither.
    3. RUNNING is within the bounds, and if a place is free for a queued job, it has it.
    4. The graph has no cycle, and each edge is known at both ends.
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
    """Takes events with their time, and returns what the caller must do: release or refuse jobs.

    `now` is always the monotonic clock, `wall` Unix time by the wall clock, both in microseconds.
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
        """Outcomes of the last jobs that ended, the oldest first."""
        return self.graph.ended_jobs

    # --- events ---

    def submit(self, request: JobRequest, now: int, wall: int) -> list[Effect]:
        """A job has come.

        Raises:
            TermsError: its terms cannot be met; nothing has changed.
        """
        self._effects = []
        known = self.jobs.get(request.key)
        if known is not None and known.state is not JobState.EXPECTED:
            raise TermsError("a job of this id is open")
        parents = self.graph.parents_of(request, known)
        if self._needs_room(request) and (rejection := self._rejection_if_full(request)) is not None:
            self._reject_unknown(request.key, known, rejection, now)
            return self._effects
        job = known or QueuedJob(request.key, JobState.BLOCKED)
        job.state = JobState.BLOCKED
        job.request = request
        job.arrived_at = now
        self.jobs[request.key] = job
        self._count(job, 1)
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

    def ended(self, key: JobKey, end: JobOutcome, result: bytes, now: int) -> list[Effect]:
        """A released job has its final answer."""
        self._effects = []
        job = self.jobs.get(key)
        if job is None or job.state is not JobState.RUNNING:
            return self._effects
        if end is JobOutcome.SERVED and job.request is not None:
            self.admission.observe_run_time(job.request.class_index, max(now - job.started_at, 1))
        self._finish(job, end, result, now)
        self._admit(now)
        return self._effects

    def cancel(self, key: JobKey, end: JobOutcome, now: int, reason: str = "") -> list[Effect]:
        """End a waiting job, as its client asks or has left. A running one is the router's to end."""
        self._effects = []
        job = self.jobs.get(key)
        if job is not None and job.is_waiting:
            self._reject(job, end, reason or end.value, now)
            self._admit(now)
        return self._effects

    def reject_all(self, reason: str, now: int, start_by: int | None = None) -> list[Effect]:
        """Refuse what cannot run any more when the process ends.

        That is a job that waits for a time after `start_by` (wall clock) or for a parent that has not come,
        and the jobs that wait for it. Without `start_by`: every waiting job.
        """
        self._effects = []
        for job in list(self.jobs.values()):
            # A refusal may have ended jobs that are still ahead in this list.
            if self.jobs.get(job.key) is not job or not job.is_waiting:
                continue
            if start_by is None or self._cannot_start_by(job, start_by):
                self._reject(job, JobOutcome.REFUSED, reason, now)
        if start_by is not None:
            self._admit(now)
        return self._effects

    def tick(self, now: int, wall: int) -> list[Effect]:
        """Handle the times that have come."""
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
        """Apply other bounds: what waits stays, and new places are used at once."""
        self._effects = []
        self.bounds = bounds
        self.graph.bounds = bounds
        self.admission.bounds = bounds
        self._admit(now)
        return self._effects

    def next_at(self, now: int, wall: int) -> int | None:
        """When `tick` may have something, on the monotonic clock; None: only after another event."""
        times = self.timers.next_times(now, wall)
        starts = (max(at, now) + 1 for at in self.admission.first_latest_starts())
        return min([*times, *starts], default=None)

    # --- steps of a submission ---

    def _needs_room(self, request: JobRequest) -> bool:
        crowded = (
            0 < self.bounds.in_service <= self.admission.running_count and not request.bypasses_admission
        )
        return request.terms.waits or crowded

    def _rejection_if_full(self, request: JobRequest) -> Rejection | None:
        bounds = self.bounds
        full = (
            self.waiting >= bounds.waiting or self.waiting_bytes + request.size_bytes > bounds.waiting_bytes
        )
        if not full and self.by_client[request.key[0]] < bounds.by_client:
            return None
        self.totals.rejected[JobOutcome.REFUSED] += 1
        reason = QUEUE_FULL if full else CLIENT_QUEUE_FULL
        return Rejection(request.key, JobOutcome.REFUSED, reason, round(INITIAL_RUN_TIME_US))

    def _reject_unknown(self, key: JobKey, known: QueuedJob | None, rejection: Rejection, now: int) -> None:
        """Refuse a job that there is no room for, and tell those that expected it."""
        self._effects.append(rejection)
        self.graph.remember(key, JobOutcome.REFUSED, b"", now)
        if known is not None:
            self._end_parent(known, JobOutcome.REFUSED, b"", now)
            del self.jobs[key]

    def _add_parent(
        self, job: QueuedJob, key: JobKey, edge: DependencyCondition, now: int
    ) -> tuple[JobKey, JobOutcome] | None:
        """Wait for a parent; its key and outcome if it has ended in a way that fails the child."""
        past = self.graph.ended_jobs.get(key)
        parent = self.jobs.get(key)
        if past is not None and parent is None:
            if fails_child(past.outcome, edge):
                return key, past.outcome
            self.graph.add_parent_result(job, key, past.outcome, past.result)
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
            self._count(job, -1)
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
            self._end_parent(job, JobOutcome.NEVER_SUBMITTED, b"", now)
            del self.jobs[job.key]
        elif job.is_waiting and job.request and job.request.deadline <= now:
            self._reject(job, JobOutcome.EXPIRED, DEADLINE_PASSED, now)

    def _end_parent(self, parent: QueuedJob, outcome: JobOutcome, result: bytes, now: int) -> None:
        """Let the children know of their parent's end, and theirs in turn.

        A list and no recursion: a chain may be longer than the stack.
        """
        ends: list[tuple[QueuedJob, JobOutcome, bytes]] = [(parent, outcome, result)]
        while ends:
            ended, how, result = ends.pop()
            for key in ended.children:
                child = self.jobs.get(key)
                if child is None or ended.key not in child.parents:
                    continue
                condition = child.parents.pop(ended.key)
                if fails_child(how, condition):
                    self._take_out(child, JobOutcome.REFUSED, _parent_reason(ended.key, how), now)
                    ends.append((child, JobOutcome.REFUSED, b""))
                    continue
                self.graph.add_parent_result(child, ended.key, how, result)
                if not child.parents and child.not_before is None:
                    self._queue(child, now)
            ended.children.clear()

    # --- admission ---

    def _queue(self, job: QueuedJob, now: int) -> None:
        """Queue a job that is ready, or refuse it at once if it would be late and that earns nothing."""
        assert job.request is not None
        request = job.request
        job.state = JobState.QUEUED
        job.queued_at = now
        run = self.admission.expected_run_us(request.class_index)
        objective = now + request.objective if request.objective else request.deadline
        due_at = min(request.terms.due_at or objective, request.deadline)
        if self.bounds.in_service:
            wait = self.admission.expected_wait_us(request.class_index)
            late = now + wait + run > due_at and not self.admission.has_slot_for(job)
            if late and not request.late_value:
                self._reject(job, JobOutcome.REFUSED, WOULD_BE_LATE, now, round(wait) or 1)
                return
            # In time it would delay jobs that were admitted as such.
            job.aged = late or self.admission.is_over_share(request.tenant)
        self.admission.enqueue(job, round(due_at - run))

    def _admit(self, now: int) -> None:
        """Fill the free places."""
        while (job := self._next_to_run(now)) is not None:
            assert job.request is not None
            self._count(job, -1)
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
        """Let a job that missed its latest start age, or refuse it if a late answer earns nothing."""
        assert job.request is not None
        self.totals.missed += 1
        if not job.request.late_value and self.bounds.in_service:
            wait = round(self.admission.expected_wait_us(job.request.class_index))
            self._reject(job, JobOutcome.REFUSED, WOULD_BE_LATE, now, wait or 1)
        else:
            self.admission.enqueue(job, latest_start)

    # --- ends ---

    def _reject(self, job: QueuedJob, end: JobOutcome, reason: str, now: int, retry_after: int = 0) -> None:
        self._take_out(job, end, reason, now, retry_after)
        self._end_parent(job, end, b"", now)

    def _take_out(self, job: QueuedJob, end: JobOutcome, reason: str, now: int, retry_after: int = 0) -> None:
        """Refuse a job that has not run. The caller lets its children know."""
        self.admission.discard(job)
        self.graph.remove(job)
        self._count(job, -1)
        self.totals.rejected[end] += 1
        self.graph.remember(job.key, end, b"", now)
        self._effects.append(Rejection(job.key, end, reason, retry_after))

    def _finish(self, job: QueuedJob, end: JobOutcome, result: bytes, now: int) -> None:
        assert job.request is not None
        if not job.request.bypasses_admission:
            self.admission.vacate(job)
        del self.jobs[job.key]
        self.graph.remember(job.key, end, result, now)
        self._end_parent(job, end, result, now)

    def _count(self, job: QueuedJob, by: int) -> None:
        """Add a job to the counts of what waits (`by` 1), or take it off (-1)."""
        assert job.request is not None
        client = job.key[0]
        self.waiting += by
        self.waiting_bytes += by * job.request.size_bytes
        self.by_client[client] += by
        if not self.by_client[client]:
            del self.by_client[client]


def _parent_reason(key: JobKey, end: JobOutcome) -> str:
    return f"{key[1]}, for which it waited: {end.value}"
