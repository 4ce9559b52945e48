"""The invariants of the job queue, for tests. They are listed in `engine`."""

from __future__ import annotations

from collections import Counter

from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.job_queue.job import JobState, QueuedJob


def check_invariants(engine: JobQueueEngine) -> None:
    """Raise an AssertionError that names the invariant that does not hold."""
    jobs = engine.jobs.values()
    waiting = [job for job in jobs if job.is_waiting]
    running = [
        job
        for job in jobs
        if job.state is JobState.RUNNING and job.request and not job.request.bypasses_admission
    ]
    _check_counts(engine, waiting, running)
    for job in waiting:
        blocked = bool(job.parents) or (job.not_before is not None)
        assert blocked is (job.state is JobState.BLOCKED), "2"
        assert all(job.key in engine.jobs[key].children for key in job.parents), "4: edges"
    if engine.bounds.in_service:
        assert len(running) <= engine.bounds.in_service, "3: places"
    queued = [job for job in waiting if job.state is JobState.QUEUED]
    assert not any(engine.admission.has_slot_for(job) for job in queued), "3: a free place"
    for job in jobs:
        assert job.state is not JobState.EXPECTED or job.children, "4: expected by nobody"
        assert not engine.graph.reaches(dict(job.parents), job.key), "4: a cycle"


def _check_counts(engine: JobQueueEngine, waiting: list[QueuedJob], running: list[QueuedJob]) -> None:
    admission = engine.admission
    assert engine.waiting == len(waiting), "1: the number that waits"
    assert engine.waiting_bytes == sum(job.request.size_bytes for job in waiting if job.request), "1: bytes"
    assert +engine.by_client == Counter(job.key[0] for job in waiting), "1: clients"
    assert +admission.running == Counter(job.request.class_index for job in running if job.request), "1"
    assert admission.running_aged == sum(job.aged for job in running), "1: aged"
    in_time = Counter(
        job.request.class_index
        for job in waiting
        if job.request and job.state is JobState.QUEUED and not job.aged
    )
    assert +admission.queued_in_time == in_time, "1: the lines"
