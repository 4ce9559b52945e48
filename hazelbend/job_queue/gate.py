"""The gate between the listeners and the router, used when deploy/waiting.toml is enabled.

Every job is submitted here first. It waits until the engine releases it, and is then passed to the router.
The id of a waiting job is reserved in the router. Each job gets exactly one answer.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import (
    Bounds,
    Effect,
    JobKey,
    JobOutcome,
    JobRequest,
    JobTerms,
    Rejection,
    Release,
    TermsError,
)
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.router import Router

# The wall clock may step, so the engine checks it at least this often.
MAX_SLEEP_S = 1.0
SHOWN_PARENTS = 3  # parents named in the text of what a job waits for
US_PER_S = 1e6
US_PER_MS = 1_000
OUTCOMES = {
    Verdict.SERVED: JobOutcome.SERVED,
    Verdict.REFUSED: JobOutcome.REFUSED,
    Verdict.FAILED: JobOutcome.FAILED,
}


def wall_now() -> int:
    """Return Unix time in microseconds."""
    return time.time_ns() // 1_000


@dataclass(slots=True, eq=False)
class PendingJob:
    """A job from its submission to its answer. It has the methods of `RequestContext` that listeners use."""

    key: JobKey
    job: Job
    deadline: int
    gate: JobGate
    answered: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    context: RequestContext | None = None
    client_disconnected: bool = False

    def reply(self) -> asyncio.Future[Answer]:
        """Return a future of the final answer. Cancelling it does not cancel `answered`."""
        return asyncio.shield(self.answered)

    def on_client_disconnected(self) -> None:
        """Handle the disconnection of the client: cancel a waiting job, abandon a running one."""
        self.client_disconnected = True
        if self.context is not None:
            self.context.on_client_disconnected()
        else:
            self.gate.cancel(self.key, JobOutcome.CLIENT_DISCONNECTED)


@dataclass(slots=True, frozen=True)
class WaitingJob:
    """A waiting job, in the form that the console shows."""

    client: str
    id: str
    class_index: int
    tenant: int
    age_us: int
    remaining_us: int  # until its deadline
    waits_for: str


class JobGate:
    """Carries out the engine's effects: starts jobs in the router, rejects jobs, and sets the timer."""

    def __init__(
        self,
        router: Router,
        bounds: Bounds,
        admission_for_all: bool,
        late_value: Callable[[int], float],
        objective: Callable[[int], int],
        wall: Callable[[], int] = wall_now,
    ) -> None:
        """`admission_for_all`: whether admission also applies to jobs without terms.

        `late_value` and `objective` return these properties of a class, by its index.
        """
        self.router = router
        self.engine = JobQueueEngine(bounds)
        self.admission_for_all = admission_for_all
        self._late_value = late_value
        self._objective = objective
        self._wall = wall
        self.pending: dict[JobKey, PendingJob] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._shutdown: tuple[str, int] | None = None  # the arguments of `begin_shutdown`
        self._idle = asyncio.Event()
        self._idle.set()

    # --- called by listeners ---

    def submit(self, job: Job, key: JobKey, terms: JobTerms, timeout_us: int) -> PendingJob:
        """Submit a job. `timeout_us` is for how long its client waits.

        Raises:
            TermsError: its terms cannot be met, or its id is in use.
        """
        now = self.router.clock.now()
        if key in self.pending:
            raise TermsError("a job of this id is open")
        request = JobRequest(
            key,
            job.class_index,
            job.tenant,
            now + timeout_us,
            len(job.body),
            terms,
            self._objective(job.class_index),
            self._late_value(job.class_index),
            bypasses_admission=not terms.waits and not self.admission_for_all,
        )
        pending = PendingJob(key, job, now + timeout_us, self)
        self.pending[key] = pending
        try:
            effects = self.engine.submit(request, now, self._wall())
        except TermsError:
            del self.pending[key]
            raise
        self._idle.clear()
        self.router.reserve_id(job.id)
        self._carry_out(effects)
        if self._shutdown is not None:
            self.begin_shutdown(*self._shutdown)
        self._reset_timer()
        return pending

    def cancel(self, key: JobKey, outcome: JobOutcome = JobOutcome.CANCELLED) -> bool:
        """Cancel a waiting job. Returns False if no such job is waiting; a running job continues."""
        pending = self.pending.get(key)
        if pending is None or pending.context is not None:
            return False
        self._carry_out(self.engine.cancel(key, outcome, self.router.clock.now()))
        self._reset_timer()
        return True

    # --- reload and shutdown ---

    def change(self, bounds: Bounds, admission_for_all: bool) -> None:
        """Apply reloaded settings."""
        self.admission_for_all = admission_for_all
        self._carry_out(self.engine.change(bounds, self.router.clock.now()))
        self._reset_timer()

    def begin_shutdown(self, reason: str, start_by: int) -> None:
        """Reject all jobs, also those submitted later, that cannot start by `start_by` (wall clock)."""
        self._shutdown = reason, start_by
        self._carry_out(self.engine.reject_all(reason, self.router.clock.now(), start_by))

    def reject_waiting(self, reason: str) -> None:
        """Reject every waiting job."""
        self._carry_out(self.engine.reject_all(reason, self.router.clock.now()))

    async def wait_drained(self) -> None:
        """Wait until no job is waiting or running."""
        await self._idle.wait()

    def close(self) -> None:
        """Stop the timer and reject every waiting job."""
        if self._timer is not None:
            self._timer.cancel()
        self.reject_waiting("the dispatcher ends")

    # --- shown to operators ---

    def rows(self) -> list[WaitingJob]:
        """Return the waiting jobs, oldest first."""
        now = self.router.clock.now()
        rows = []
        for job in self.engine.jobs.values():
            if job.request is not None and job.is_waiting:
                request = job.request
                rows.append(
                    WaitingJob(
                        *job.key,
                        request.class_index,
                        request.tenant,
                        now - job.arrived_at,
                        max(request.deadline - now, 0),
                        self._waits_for(job),
                    )
                )
        return sorted(rows, key=lambda row: -row.age_us)

    def counts(self, classes: list[str]) -> dict[str, int]:
        """Return the `waiting.*` statistics. `classes` are the names by class index."""
        totals = self.engine.totals
        counts = {
            "waiting.jobs": self.engine.waiting,
            "waiting.bytes": self.engine.waiting_bytes,
            "waiting.released": totals.released,
            "waiting.missed": totals.missed,
            "waiting.refused": totals.rejected[JobOutcome.REFUSED],
            "waiting.expired": totals.rejected[JobOutcome.EXPIRED],
            "waiting.cancelled": totals.rejected[JobOutcome.CANCELLED]
            + totals.rejected[JobOutcome.CLIENT_DISCONNECTED],
        }
        for index, name in enumerate(classes):
            counts[f"waiting.longest_ms.{name}"] = totals.longest_wait_us.get(index, 0) // US_PER_MS
        return counts

    def _waits_for(self, job: QueuedJob) -> str:
        if job.state is JobState.QUEUED:
            return "a place" + (", late or over its share" if job.aged else "")
        waits_for = [f"the end of {key[1]}" for key in list(job.parents)[:SHOWN_PARENTS]]
        if len(job.parents) > SHOWN_PARENTS:
            waits_for.append(f"{len(job.parents) - SHOWN_PARENTS} more")
        if job.not_before is not None:
            waits_for.append(f"its time, in {max(job.not_before - self._wall(), 0) / US_PER_S:.1f} s")
        return ", ".join(waits_for)

    # --- effects of the engine ---

    def _carry_out(self, effects: list[Effect]) -> None:
        # This may recurse, since a released job may end at once and release others.
        for effect in effects:
            pending = self.pending.get(effect.key)
            if pending is None:
                continue
            if isinstance(effect, Release):
                self._start(pending, effect)
            else:
                self._reject(pending, effect)

    def _start(self, pending: PendingJob, release: Release) -> None:
        remaining_us = pending.deadline - self.router.clock.now()
        job = replace(pending.job, timeout_us=max(min(remaining_us, pending.job.timeout_us), 1))
        if release.results:
            job = replace(job, body=with_results(job.body, release.results))
        context = self.router.accept(job)
        pending.context = context
        context.answered.add_done_callback(lambda done: self._ended(pending, done))

    def _ended(self, pending: PendingJob, done: asyncio.Future[Answer]) -> None:
        answer = done.result() if not done.cancelled() else Answer(Verdict.FAILED)
        outcome = JobOutcome.CLIENT_DISCONNECTED if pending.client_disconnected else OUTCOMES[answer.verdict]
        self._complete(pending, answer)
        self._carry_out(self.engine.ended(pending.key, outcome, answer.result, self.router.clock.now()))
        self._reset_timer()

    def _reject(self, pending: PendingJob, rejection: Rejection) -> None:
        self.router.release_id(pending.job.id)
        if pending.client_disconnected:
            self.router.count_abandoned()
            answer = Answer(Verdict.REFUSED)
        else:
            answer = self.router.reject(pending.job, rejection.retry_after, rejection.reason)
        self._complete(pending, answer)

    def _complete(self, pending: PendingJob, answer: Answer) -> None:
        self.pending.pop(pending.key, None)
        if not pending.answered.done():
            pending.answered.set_result(answer)
        if not self.pending:
            self._idle.set()

    def _reset_timer(self) -> None:
        """Set the timer to the engine's next tick."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.router.clock.now()
        if (at := self.engine.next_at(now, self._wall())) is not None:
            wait = min(max(at - now, 0) / US_PER_S, MAX_SLEEP_S)
            self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        try:
            self._carry_out(self.engine.tick(self.router.clock.now(), self._wall()))
        finally:
            self._reset_timer()


def with_results(body: bytes, results: tuple[tuple[str, bytes], ...]) -> bytes:
    """Return a JSON object with the job's own `body` and its parents' `results` by id.

    Data that is not UTF-8 is encoded as {"base64": ...}.
    """

    def as_json(data: bytes) -> object:
        try:
            return data.decode()
        except UnicodeDecodeError:
            return {"base64": base64.b64encode(data).decode()}

    combined = {"body": as_json(body), "results": {name: as_json(result) for name, result in results}}
    return json.dumps(combined, ensure_ascii=False).encode()
