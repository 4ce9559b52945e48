"""The dependency graph of the jobs, bounds on its size, and the outcomes of ended jobs.

Its nodes are jobs. An edge leads from a parent to each child that waits for it. The graph has no cycles.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import Bounds, DependencyCondition, JobKey, JobOutcome, JobRequest, TermsError


@dataclass(slots=True, frozen=True)
class EndedJob:
    """The outcome of a job, retained for children that are submitted later."""

    outcome: JobOutcome
    result: bytes
    ended_at: int


class DependencyGraph:
    """The open jobs by key, and the outcomes of the last jobs that ended."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.jobs: dict[JobKey, QueuedJob] = {}
        self.ended_jobs: OrderedDict[JobKey, EndedJob] = OrderedDict()

    # --- checks before a job is added ---

    def parents_of(self, request: JobRequest, known: QueuedJob | None) -> dict[JobKey, DependencyCondition]:
        """Return the parents that a request names, by key. Changes nothing.

        `known` is the entry that already exists for this id because other jobs wait for it.

        Raises:
            TermsError: the request would close a cycle or exceed a bound.
        """
        parents = self._named_parents(request)
        self._check_parents(parents)
        above = max((self.depth_of(key) + 1 for key in parents), default=0)
        below = 0
        if known is not None and known.children:
            if self.reaches(parents, request.key):
                raise TermsError("it waits for a job that waits for it")
            below = self._height(known)
        if above + below > self.bounds.depth:
            raise TermsError(f"a chain of over {self.bounds.depth} jobs that wait for each other")
        return parents

    @staticmethod
    def _named_parents(request: JobRequest) -> dict[JobKey, DependencyCondition]:
        client, own_id = request.key
        parents: dict[JobKey, DependencyCondition] = {}
        for dependency in request.terms.after:
            if dependency.id == own_id:
                raise TermsError("it waits for itself")
            # If a parent is named twice, the stricter condition applies.
            key = client, dependency.id
            strict = DependencyCondition.SERVED in (dependency.condition, parents.get(key))
            parents[key] = DependencyCondition.SERVED if strict else dependency.condition
        return parents

    def _check_parents(self, parents: dict[JobKey, DependencyCondition]) -> None:
        if len(parents) > self.bounds.parents:
            raise TermsError(f"it waits for {len(parents)} jobs; at most {self.bounds.parents} may be named")
        for key in parents:
            parent = self.jobs.get(key)
            if parent is not None and len(parent.children) >= self.bounds.children:
                raise TermsError(f"{self.bounds.children} jobs wait for {key[1]!r} already")

    def depth_of(self, key: JobKey) -> int:
        """Return the length of the chain of parents above a job; 0 if there is no such job."""
        job = self.jobs.get(key)
        return job.depth if job is not None else 0

    def reaches(self, starts: dict[JobKey, DependencyCondition], target: JobKey) -> bool:
        """Return whether one of `starts` waits, directly or through other jobs, for `target`."""
        seen = set(starts)
        unvisited = list(starts)
        while unvisited:
            key = unvisited.pop()
            if key == target:
                return True
            job = self.jobs.get(key)
            for parent in job.parents if job is not None else ():
                if parent not in seen:
                    seen.add(parent)
                    unvisited.append(parent)
        return False

    def _height(self, job: QueuedJob) -> int:
        """Return the length of the longest chain below a job; the search stops beyond the bound."""
        level = {job.key}
        height = 0
        while level := {child for key in level for child in self.jobs[key].children}:
            height += 1
            if height > self.bounds.depth:
                break
        return height

    # --- changes ---

    def set_depth(self, job: QueuedJob, depth: int) -> None:
        """Set a job's depth, and increase that of its descendants where necessary."""
        level = {job.key: depth}
        while level:
            next_level: dict[JobKey, int] = {}
            for key, min_depth in level.items():
                descendant = self.jobs[key]
                if descendant is job or descendant.depth < min_depth:
                    descendant.depth = min_depth
                    next_level.update(dict.fromkeys(descendant.children, min_depth + 1))
            level = next_level

    def add_edge(self, parent: QueuedJob, child: QueuedJob, edge: DependencyCondition) -> None:
        """Make `child` wait for `parent`."""
        parent.children[child.key] = None
        child.parents[parent.key] = edge

    def remove(self, job: QueuedJob) -> None:
        """Remove a job that has not run, its edges, and expected parents that have no other child."""
        for key in job.parents:
            parent = self.jobs.get(key)
            if parent is not None:
                parent.children.pop(job.key, None)
                if parent.state is JobState.EXPECTED and not parent.children:
                    del self.jobs[key]
        job.parents = {}
        del self.jobs[job.key]

    def add_parent_result(self, child: QueuedJob, parent: JobKey, outcome: JobOutcome, result: bytes) -> None:
        """Store a parent's result for a child that asked for results, if the bound on bytes allows it."""
        if child.request is None or not child.request.terms.takes_results or outcome is not JobOutcome.SERVED:
            return
        if sum(map(len, child.results.values())) + len(result) <= self.bounds.result_bytes:
            child.results[parent[1]] = result

    def remember(self, key: JobKey, outcome: JobOutcome, result: bytes, now: int) -> None:
        """Retain the outcome of a job that ended. Beyond the bound on their number the oldest is deleted."""
        retained = result if len(result) <= self.bounds.result_bytes else b""
        self.ended_jobs.pop(key, None)
        self.ended_jobs[key] = EndedJob(outcome, retained, now)
        while len(self.ended_jobs) > self.bounds.max_ended_jobs:
            self.ended_jobs.popitem(last=False)

    def expire_ended_jobs(self, now: int) -> None:
        """Delete the outcomes that are older than their TTL."""
        while (
            self.ended_jobs
            and next(iter(self.ended_jobs.values())).ended_at + self.bounds.ended_job_ttl_us <= now
        ):
            self.ended_jobs.popitem(last=False)


def fails_child(outcome: JobOutcome, edge: DependencyCondition) -> bool:
    """Return whether a child with this edge to its parent cannot run after this outcome of the parent."""
    if outcome is JobOutcome.SERVED:
        return False
    return edge is DependencyCondition.SERVED or outcome is JobOutcome.NEVER_SUBMITTED
