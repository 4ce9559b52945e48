"""Checks of the job queue's invariants, for tests. The invariants are listed in `engine`."""

from __future__ import annotations

from collections import Counter

from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.job_queue.job import JobState, QueuedJob


def check_invariants(engine: JobQueueEngine) -> None:
    """Check all invariants. The AssertionError starts with the number of the violated one."""
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
    if engine.bounds.slots:
        assert len(running) <= engine.bounds.slots, "3: too many jobs run"
    queued = [job for job in waiting if job.state is JobState.QUEUED]
    assert not any(engine.admission.has_slot_for(job) for job in queued), "3: a slot is free for a queued job"
    for job in jobs:
        assert job.state is not JobState.EXPECTED or job.children, "4: an expected job without children"
        assert not engine.graph.reaches(dict(job.parents), job.key), "4: a cycle"


def _check_counts(engine: JobQueueEngine, waiting: list[QueuedJob], running: list[QueuedJob]) -> None:
    admission = engine.admission
    assert engine.waiting == len(waiting), "1: number of waiting jobs"
    assert engine.waiting_bytes == sum(job.request.size_bytes for job in waiting if job.request), (
        "1: bytes of waiting jobs"
    )
    assert +engine.by_client == Counter(job.key[0] for job in waiting), "1: waiting jobs by client"
    assert +admission.running == Counter(job.request.class_index for job in running if job.request), (
        "1: running jobs"
    )
    assert admission.running_aged == sum(job.aged for job in running), "1: running aged jobs"
    in_time = Counter(
        job.request.class_index
        for job in waiting
        if job.request and job.state is JobState.QUEUED and not job.aged
    )
    assert +admission.queued_in_time == in_time, "1: queued jobs in time"
