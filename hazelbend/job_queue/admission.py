"""The admission queues, which decide which ready job gets a free slot, and ageing of late jobs.

A slot is the right of one job to run. Each class has two queues: `in time`, ordered by
latest start (due time minus expected run time), and `aged`, ordered by when jobs were queued. The rule and
the argument for it are in docs/design/0002-waiting.md.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from typing import TypeAlias

from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import Bounds, JobKey

INITIAL_RUN_TIME_US = 500_000.0  # expected run time of a class without completed runs
MEAN_RUN_WINDOW = 50.0  # number of runs over which a class's mean run time is smoothed

QueueEntry: TypeAlias = tuple[int, int, JobKey]  # sort key in microseconds, number of the entry, job
Queues: TypeAlias = dict[int, list[QueueEntry]]  # a heap for each class


class AdmissionQueue:
    """The jobs that wait for a slot, and the counts of those that have one."""

    def __init__(self, bounds: Bounds, jobs: dict[JobKey, QueuedJob]) -> None:
        self.bounds = bounds
        self.running: Counter[int] = Counter()  # by class
        self.running_by_tenant: Counter[int] = Counter()
        self.running_aged = 0
        self.mean_run_us: dict[int, float] = {}  # mean run time by class
        self.queued_in_time: Counter[int] = Counter()  # by class
        self._jobs = jobs
        self._in_time: Queues = {}
        self._aged: Queues = {}
        self._entry_count = 0

    # --- estimates ---

    def expected_run_us(self, class_index: int) -> float:
        """Return the mean run time of the class, in microseconds."""
        return self.mean_run_us.get(class_index, INITIAL_RUN_TIME_US)

    def observe_run_time(self, class_index: int, run_us: int) -> None:
        """Update the moving mean of a class with the run time of one job."""
        mean = self.mean_run_us.get(class_index, float(run_us))
        self.mean_run_us[class_index] = mean + (run_us - mean) / MEAN_RUN_WINDOW

    def expected_wait_us(self, class_index: int) -> float:
        """Return the estimated microseconds in which the queue of jobs in time drains.

        It counts only the slots that aged jobs never use.
        """
        slots_in_time = max(self.bounds.slots - self.bounds.aged, 1)
        work = sum(count * self.expected_run_us(index) for index, count in self.queued_in_time.items())
        if not work and self.running_count < self.bounds.slots:
            return 0.0
        return work / slots_in_time + self.expected_run_us(class_index) / slots_in_time

    # --- slots ---

    @property
    def running_count(self) -> int:
        """The number of running jobs."""
        return sum(self.running.values())

    def has_slot_for(self, job: QueuedJob) -> bool:
        """Whether a slot is free for this job now."""
        assert job.request is not None
        limit = dict(self.bounds.by_class).get(job.request.class_index)
        if limit is not None and self.running[job.request.class_index] >= limit:
            return False
        return not self.bounds.slots or self.running_count < self.bounds.slots

    def is_over_share(self, tenant: int) -> bool:
        """Whether a tenant already uses its whole share of the slots."""
        share = dict(self.bounds.shares).get(tenant)
        return share is not None and self.running_by_tenant[tenant] >= share * self.bounds.slots

    def occupy(self, job: QueuedJob) -> None:
        """Give a slot to a job that `pop_next` returned."""
        assert job.request is not None
        job.queue_entry = 0
        self.running[job.request.class_index] += 1
        self.running_by_tenant[job.request.tenant] += 1
        self.running_aged += job.aged

    def vacate(self, job: QueuedJob) -> None:
        """Free the slot of a job that has ended."""
        assert job.request is not None
        self.running[job.request.class_index] -= 1
        self.running_by_tenant[job.request.tenant] -= 1
        self.running_aged -= job.aged

    # --- queues ---

    def enqueue(self, job: QueuedJob, latest_start: int) -> None:
        """Add a job to its class's queue, which is the aged one if `job.aged` is set."""
        assert job.request is not None
        queues = self._aged if job.aged else self._in_time
        queue = queues.setdefault(job.request.class_index, [])
        self._entry_count += 1
        job.queue_entry = self._entry_count
        heapq.heappush(queue, (job.queued_at if job.aged else latest_start, job.queue_entry, job.key))
        if not job.aged:
            self.queued_in_time[job.request.class_index] += 1

    def discard(self, job: QueuedJob) -> None:
        """Invalidate a job's entry; it is removed from the heap when it reaches the head."""
        assert job.request is not None
        if job.state is JobState.QUEUED and not job.aged and job.queue_entry:
            self.queued_in_time[job.request.class_index] -= 1
        job.queue_entry = 0

    def pop_next(self) -> QueuedJob | None:
        """Remove and return the next job to run, if a slot is free for one."""
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
        """Remove the jobs that missed their latest start without a slot, and yield each with that start.

        They are marked as aged. The caller must queue or reject each job before it requests the next one.
        """
        # A copy, since the rejection of a job may queue a child that is the first job of its class.
        for queue in list(self._in_time.values()):
            while queue and (queue[0][0] < now or self._is_invalid(queue[0])):
                latest_start, _, key = queue[0]
                job = self._jobs.get(key)
                if job is None or self._is_invalid(queue[0]):
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
        """Return the latest start at the head of each queue of jobs in time."""
        return [queue[0][0] for queue in self._in_time.values() if queue]

    def _is_invalid(self, entry: QueueEntry) -> bool:
        job = self._jobs.get(entry[2])
        return job is None or job.queue_entry != entry[1]

    def _head(self, queues: Queues) -> QueuedJob | None:
        """Return the first job, over the queues of all classes, that a slot is free for."""
        best: QueueEntry | None = None
        for queue in queues.values():
            while queue and self._is_invalid(queue[0]):
                heapq.heappop(queue)
            if queue and (best is None or queue[0] < best) and self.has_slot_for(self._jobs[queue[0][2]]):
                best = queue[0]
        return self._jobs[best[2]] if best is not None else None

    @staticmethod
    def _pop(queues: Queues, job: QueuedJob) -> QueuedJob:
        assert job.request is not None
        heapq.heappop(queues[job.request.class_index])
        return job
