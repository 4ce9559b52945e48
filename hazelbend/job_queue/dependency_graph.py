"""The dependency graph of the jobs: who waits for whom, bounds on its shape, and the outcomes of ended jobs.

Jobs are its nodes, an edge leads from a parent to each child that waits for it. The graph has no cycle.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import Bounds, DependencyCondition, JobKey, JobOutcome, JobRequest, TermsError


@dataclass(slots=True, frozen=True)
class EndedJob:
    """The outcome of a job, retained for children that come later."""

    outcome: JobOutcome
    result: bytes
    ended_at: int


class DependencyGraph:
    """The open jobs by key, and the last ones that ended."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.jobs: dict[JobKey, QueuedJob] = {}
        self.ended_jobs: OrderedDict[JobKey, EndedJob] = OrderedDict()

    # --- checks before a job is added ---

    def parents_of(self, request: JobRequest, known: QueuedJob | None) -> dict[JobKey, DependencyCondition]:
        """The parents that a request names, by key. Changes nothing.

        `known`: the job of this id that others wait for already.

        Raises:
            TermsError: the request would close a cycle or exceed a bound.
        """
        found = self._named_parents(request)
        self._check_parents(found)
        above = max((self.depth_of(key) + 1 for key in found), default=0)
        below = 0
        if known is not None and known.children:
            if self.reaches(found, request.key):
                raise TermsError("it waits for a job that waits for it")
            below = self._height(known)
        if above + below > self.bounds.depth:
            raise TermsError(f"a chain of over {self.bounds.depth} jobs that wait for each other")
        return found

    @staticmethod
    def _named_parents(request: JobRequest) -> dict[JobKey, DependencyCondition]:
        client, own_id = request.key
        found: dict[JobKey, DependencyCondition] = {}
        for dependency in request.terms.after:
            if dependency.id == own_id:
                raise TermsError("it waits for itself")
            # If a parent is named twice, the stricter edge counts.
            key = client, dependency.id
            strict = DependencyCondition.SERVED in (dependency.condition, found.get(key))
            found[key] = DependencyCondition.SERVED if strict else dependency.condition
        return found

    def _check_parents(self, parents: dict[JobKey, DependencyCondition]) -> None:
        if len(parents) > self.bounds.parents:
            raise TermsError(f"it waits for {len(parents)} jobs; at most {self.bounds.parents} may be named")
        for key in parents:
            parent = self.jobs.get(key)
            if parent is not None and len(parent.children) >= self.bounds.children:
                raise TermsError(f"{self.bounds.children} jobs wait for {key[1]!r} already")

    def depth_of(self, key: JobKey) -> int:
        """The length of the chain above a job; 0 if it is not known."""
        job = self.jobs.get(key)
        return job.depth if job is not None else 0

    def reaches(self, starts: dict[JobKey, DependencyCondition], wanted: JobKey) -> bool:
        """Whether one of `starts` waits, directly or through other jobs, for `wanted`."""
        seen = set(starts)
        ahead = list(starts)
        while ahead:
            key = ahead.pop()
            if key == wanted:
                return True
            job = self.jobs.get(key)
            for parent in job.parents if job is not None else ():
                if parent not in seen:
                    seen.add(parent)
                    ahead.append(parent)
        return False

    def _height(self, job: QueuedJob) -> int:
        """The longest chain below a job; the search ends beyond the bound."""
        level = {job.key}
        height = 0
        while level := {child for key in level for child in self.jobs[key].children}:
            height += 1
            if height > self.bounds.depth:
                break
        return height

    # --- changes ---

    def set_depth(self, job: QueuedJob, depth: int) -> None:
        """Set a job's depth, and raise that of the jobs below it where they are deeper by it."""
        level = {job.key: depth}
        while level:
            below: dict[JobKey, int] = {}
            for key, least in level.items():
                reached = self.jobs[key]
                if reached is job or reached.depth < least:
                    reached.depth = least
                    below.update(dict.fromkeys(reached.children, least + 1))
            level = below

    def add_edge(self, parent: QueuedJob, child: QueuedJob, edge: DependencyCondition) -> None:
        """Let `child` wait for `parent`."""
        parent.children[child.key] = None
        child.parents[parent.key] = edge

    def remove(self, job: QueuedJob) -> None:
        """Remove a job that has not run, with its edges to parents and ids that only it waited for."""
        for key in job.parents:
            parent = self.jobs.get(key)
            if parent is not None:
                parent.children.pop(job.key, None)
                if parent.state is JobState.EXPECTED and not parent.children:
                    del self.jobs[key]
        job.parents = {}
        del self.jobs[job.key]

    def add_parent_result(self, child: QueuedJob, parent: JobKey, outcome: JobOutcome, result: bytes) -> None:
        """Keep a parent's result for a child that asked for it, within the bound on bytes."""
        if child.request is None or not child.request.terms.takes_results or outcome is not JobOutcome.SERVED:
            return
        if sum(map(len, child.results.values())) + len(result) <= self.bounds.result_bytes:
            child.results[parent[1]] = result

    def remember(self, key: JobKey, outcome: JobOutcome, result: bytes, now: int) -> None:
        """Retain the outcome of a job that ended; the oldest is dropped beyond the bound."""
        retained = result if len(result) <= self.bounds.result_bytes else b""
        self.ended_jobs.pop(key, None)
        self.ended_jobs[key] = EndedJob(outcome, retained, now)
        while len(self.ended_jobs) > self.bounds.remember:
            self.ended_jobs.popitem(last=False)

    def expire_ended_jobs(self, now: int) -> None:
        """Drop outcomes older than the bound on their time."""
        while (
            self.ended_jobs
            and next(iter(self.ended_jobs.values())).ended_at + self.bounds.ended_job_ttl_us <= now
        ):
            self.ended_jobs.popitem(last=False)


def fails_child(outcome: JobOutcome, edge: DependencyCondition) -> bool:
    """Whether a parent's outcome means that the child on this edge cannot run."""
    if outcome is JobOutcome.SERVED:
        return False
    return edge is DependencyCondition.SERVED or outcome is JobOutcome.NEVER_SUBMITTED
