"""The admission queue: which ready job gets a free place in service, and ageing.

Two queues for each class. `in time` goes by the latest start (wanted time less the expected run), `aged` by
when a job was queued. The rule and why it holds: docs/design/0002-waiting.md.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from typing import TypeAlias

from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import Bounds, JobKey

INITIAL_RUN_TIME_US = 500_000.0  # expected run of a class before one has been seen
MEAN_RUN_WINDOW = 50.0  # runs that a class's mean rests on

QueueEntry: TypeAlias = tuple[int, int, JobKey]  # microseconds to order by, number of the entry, job
Queues: TypeAlias = dict[int, list[QueueEntry]]  # heaps by class


class AdmissionQueue:
    """The jobs that are ready and wait for a place, and the counts of those that have one."""

    def __init__(self, bounds: Bounds, jobs: dict[JobKey, QueuedJob]) -> None:
        self.bounds = bounds
        self.running: Counter[int] = Counter()  # by class
        self.running_by_tenant: Counter[int] = Counter()
        self.running_aged = 0
        self.mean_run_us: dict[int, float] = {}  # by class: mean run in microseconds
        self.queued_in_time: Counter[int] = Counter()  # by class
        self._jobs = jobs
        self._in_time: Queues = {}
        self._aged: Queues = {}
        self._entries = 0

    # --- estimates ---

    def expected_run_us(self, class_index: int) -> float:
        """Mean run of the class in microseconds."""
        return self.mean_run_us.get(class_index, INITIAL_RUN_TIME_US)

    def observe_run_time(self, class_index: int, run: int) -> None:
        """Take a run, in microseconds, into its class's moving mean."""
        mean = self.mean_run_us.get(class_index, float(run))
        self.mean_run_us[class_index] = mean + (run - mean) / MEAN_RUN_WINDOW

    def expected_wait_us(self, class_index: int) -> float:
        """About how long, in microseconds, the jobs in time take on the places that ageing does not use."""
        places = max(self.bounds.in_service - self.bounds.aged, 1)
        work = sum(count * self.expected_run_us(index) for index, count in self.queued_in_time.items())
        if not work and self.running_count < self.bounds.in_service:
            return 0.0
        return work / places + self.expected_run_us(class_index) / places

    # --- places ---

    @property
    def running_count(self) -> int:
        """How many jobs run."""
        return sum(self.running.values())

    def has_slot_for(self, job: QueuedJob) -> bool:
        """Whether there is a place for it now."""
        assert job.request is not None
        limit = dict(self.bounds.by_class).get(job.request.class_index)
        if limit is not None and self.running[job.request.class_index] >= limit:
            return False
        return not self.bounds.in_service or self.running_count < self.bounds.in_service

    def is_over_share(self, tenant: int) -> bool:
        """Whether a tenant uses its share of the places already."""
        share = dict(self.bounds.shares).get(tenant)
        return share is not None and self.running_by_tenant[tenant] >= share * self.bounds.in_service

    def occupy(self, job: QueuedJob) -> None:
        """Give a job that `pop_next` returned its place."""
        assert job.request is not None
        job.queue_entry = 0
        self.running[job.request.class_index] += 1
        self.running_by_tenant[job.request.tenant] += 1
        self.running_aged += job.aged

    def vacate(self, job: QueuedJob) -> None:
        """Take back the place of a job that ended."""
        assert job.request is not None
        self.running[job.request.class_index] -= 1
        self.running_by_tenant[job.request.tenant] -= 1
        self.running_aged -= job.aged

    # --- queues ---

    def enqueue(self, job: QueuedJob, latest_start: int) -> None:
        """Put a job into the queue that its `aged` says."""
        assert job.request is not None
        queues = self._aged if job.aged else self._in_time
        queue = queues.setdefault(job.request.class_index, [])
        self._entries += 1
        job.queue_entry = self._entries
        heapq.heappush(queue, (job.queued_at if job.aged else latest_start, job.queue_entry, job.key))
        if not job.aged:
            self.queued_in_time[job.request.class_index] += 1

    def discard(self, job: QueuedJob) -> None:
        """Make a job's entry void; it leaves the heap when it comes to its head."""
        assert job.request is not None
        if job.state is JobState.QUEUED and not job.aged and job.queue_entry:
            self.queued_in_time[job.request.class_index] -= 1
        job.queue_entry = 0

    def pop_next(self) -> QueuedJob | None:
        """Take out the next job to run, if there is a place for one."""
        in_time = self._head(self._in_time)
        aged = self._head(self._aged)
        if aged is not None and (in_time is None or self.running_aged < self.bounds.aged):
            return self._pop(self._aged, aged)
        if in_time is None:
            return None
        assert in_time.request is not None
        self.queued_in_time[in_time.request.class_index] -= 1
        return self._pop(self._in_time, in_time)

    def pop_late(self, now: int) -> Iterator[tuple[QueuedJob, int]]:
        """Jobs whose latest start has passed and that have no place, marked as aged; each with that start.

        The caller queues or rejects each one before it takes the next.
        """
        # A copy: the end of a rejected job may queue its child, the first of its class.
        for queue in list(self._in_time.values()):
            while queue and (queue[0][0] < now or self._is_void(queue[0])):
                latest_start, _, key = queue[0]
                job = self._jobs.get(key)
                if job is None or self._is_void(queue[0]):
                    heapq.heappop(queue)
                    continue
                if self.has_slot_for(job):
                    break
                heapq.heappop(queue)
                assert job.request is not None
                self.queued_in_time[job.request.class_index] -= 1
                job.aged = True
                job.queue_entry = 0
                yield job, latest_start

    def first_latest_starts(self) -> list[int]:
        """The latest start at the head of each queue of jobs in time."""
        return [queue[0][0] for queue in self._in_time.values() if queue]

    def _is_void(self, entry: QueueEntry) -> bool:
        job = self._jobs.get(entry[2])
        return job is None or job.queue_entry != entry[1]

    def _head(self, queues: Queues) -> QueuedJob | None:
        """The first job over the queues of all classes that there is a place for."""
        best: QueueEntry | None = None
        for queue in queues.values():
            while queue and self._is_void(queue[0]):
                heapq.heappop(queue)
            if queue and (best is None or queue[0] < best) and self.has_slot_for(self._jobs[queue[0][2]]):
                best = queue[0]
        return self._jobs[best[2]] if best is not None else None

    @staticmethod
    def _pop(queues: Queues, job: QueuedJob) -> QueuedJob:
        assert job.request is not None
        heapq.heappop(queues[job.request.class_index])
        return job
