"""The gate between the listeners and the router, when deploy/waiting.toml is enabled.

Every job is submitted here first. It waits until the engine releases it, and is then accepted by the router.
A waiting job holds its id in the router, and gets one answer.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hazelbend.job_queue.engine import Engine
from hazelbend.job_queue.job import JobState, QueuedJob
from hazelbend.job_queue.terms import Bounds, Effect, End, Key, Refusal, Release, Request, Terms, TermsError
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.router import Router

# The wall clock may step: it is looked at as often as this.
MAX_SLEEP_S = 1.0
SHOWN_PARENTS = 3  # in the text of what a job waits for
US_PER_S = 1e6
US_PER_MS = 1_000
OUTCOMES = {Verdict.SERVED: End.SERVED, Verdict.REFUSED: End.REFUSED, Verdict.FAILED: End.FAILED}


def wall_now() -> int:
    """Unix time in microseconds."""
    return time.time_ns() // 1_000


@dataclass(slots=True, eq=False)
class Held:
    """A job from its submission to its answer. Listeners use it as they use a `RequestContext`."""

    key: Key
    job: Job
    deadline: int
    gate: Gate
    answered: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    flow: RequestContext | None = None
    left: bool = False

    def reply(self) -> asyncio.Future[Answer]:
        """The final answer in a future that the caller may cancel; `answered` is not cancelled with it."""
        return asyncio.shield(self.answered)

    def leave(self) -> None:
        """The client has left: cancel a waiting job, abandon a running one."""
        self.left = True
        if self.flow is not None:
            self.flow.leave()
        else:
            self.gate.cancel(self.key, End.LEFT)


@dataclass(slots=True, frozen=True)
class WaitingRow:
    """A waiting job as the console shows it."""

    client: str
    id: str
    class_index: int
    tenant: int
    age: int  # microseconds
    left: int  # until its deadline
    why: str


class Gate:
    """Carries out what the engine says: starts jobs in the router, rejects them, keeps the timer."""

    def __init__(
        self,
        router: Router,
        bounds: Bounds,
        ordinary: bool,
        late_worth: Callable[[int], float],
        objective: Callable[[int], int],
        wall: Callable[[], int] = wall_now,
    ) -> None:
        self.router = router
        self.engine = Engine(bounds)
        self.ordinary = ordinary
        self._late_worth = late_worth
        self._objective = objective
        self._wall = wall
        self.held: dict[Key, Held] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._leaving: tuple[str, int] | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    # --- called by listeners ---

    def take(self, job: Job, key: Key, terms: Terms, patience: int) -> Held:
        """Submit a job; `patience` is how long its client waits, in microseconds.

        Raises:
            TermsError: its terms cannot be met, or its id is open.
        """
        now = self.router.clock.now()
        if key in self.held:
            raise TermsError("a job of this id is open")
        request = Request(
            key,
            job.class_index,
            job.tenant,
            now + patience,
            len(job.body),
            terms,
            self._objective(job.class_index),
            self._late_worth(job.class_index),
            passes=not terms.waits and not self.ordinary,
        )
        held = Held(key, job, now + patience, self)
        self.held[key] = held
        try:
            effects = self.engine.submit(request, now, self._wall())
        except TermsError:
            del self.held[key]
            raise
        self._idle.clear()
        self.router.reserve_id(job.id)
        self._carry_out(effects)
        if self._leaving is not None:
            self.leave(*self._leaving)
        self._wake()
        return held

    def cancel(self, key: Key, end: End = End.CANCELLED) -> bool:
        """Cancel a waiting job. False if no such job waits; a running one goes on."""
        held = self.held.get(key)
        if held is None or held.flow is not None:
            return False
        self._carry_out(self.engine.cancel(key, end, self.router.clock.now()))
        self._wake()
        return True

    # --- reload and end ---

    def change(self, bounds: Bounds, ordinary: bool) -> None:
        """Apply reloaded settings."""
        self.ordinary = ordinary
        self._carry_out(self.engine.change(bounds, self.router.clock.now()))
        self._wake()

    def leave(self, reason: str, unless_by: int) -> None:
        """The process ends: reject at once what cannot start by then (wall clock), also of jobs to come."""
        self._leaving = reason, unless_by
        self._carry_out(self.engine.refuse_all(reason, self.router.clock.now(), unless_by))

    def refuse_rest(self, reason: str) -> None:
        """Reject every waiting job."""
        self._carry_out(self.engine.refuse_all(reason, self.router.clock.now()))

    async def drained(self) -> None:
        """Return when no job waits or runs."""
        await self._idle.wait()

    def close(self) -> None:
        """Stop the timer and reject every waiting job."""
        if self._timer is not None:
            self._timer.cancel()
        self.refuse_rest("the dispatcher ends")

    # --- shown to operators ---

    def rows(self) -> list[WaitingRow]:
        """The waiting jobs, the oldest first."""
        now = self.router.clock.now()
        rows = []
        for node in self.engine.nodes.values():
            if node.request is not None and node.is_waiting:
                request = node.request
                rows.append(
                    WaitingRow(
                        *node.key,
                        request.class_index,
                        request.tenant,
                        now - node.arrived_at,
                        max(request.deadline - now, 0),
                        self._why(node),
                    )
                )
        return sorted(rows, key=lambda row: -row.age)

    def counts(self, classes: list[str]) -> dict[str, int]:
        """The `waiting.*` figures; `classes` are the names by class index."""
        totals = self.engine.totals
        found = {
            "waiting.jobs": self.engine.waiting,
            "waiting.bytes": self.engine.waiting_bytes,
            "waiting.released": totals.released,
            "waiting.missed": totals.missed,
            "waiting.refused": totals.refused[End.REFUSED],
            "waiting.expired": totals.refused[End.EXPIRED],
            "waiting.cancelled": totals.refused[End.CANCELLED] + totals.refused[End.LEFT],
        }
        for index, name in enumerate(classes):
            found[f"waiting.longest_ms.{name}"] = totals.longest.get(index, 0) // US_PER_MS
        return found

    def _why(self, node: QueuedJob) -> str:
        if node.state is JobState.QUEUED:
            return "a place" + (", late or over its share" if node.aged else "")
        why = [f"the end of {key[1]}" for key in list(node.parents)[:SHOWN_PARENTS]]
        if len(node.parents) > SHOWN_PARENTS:
            why.append(f"{len(node.parents) - SHOWN_PARENTS} more")
        if node.not_before is not None:
            why.append(f"its time, in {max(node.not_before - self._wall(), 0) / US_PER_S:.1f} s")
        return ", ".join(why)

    # --- effects of the engine ---

    def _carry_out(self, effects: list[Effect]) -> None:
        # A released job may end at once and release others.
        for effect in effects:
            held = self.held.get(effect.key)
            if held is None:
                continue
            if isinstance(effect, Release):
                self._run(held, effect)
            else:
                self._refuse(held, effect)

    def _run(self, held: Held, release: Release) -> None:
        left = held.deadline - self.router.clock.now()
        job = replace(held.job, timeout_us=max(min(left, held.job.timeout_us), 1))
        if release.results:
            job = replace(job, body=with_results(job.body, release.results))
        flow = held.flow = self.router.accept(job)
        flow.answered.add_done_callback(lambda done: self._ended(held, done))

    def _ended(self, held: Held, done: asyncio.Future[Answer]) -> None:
        answer = done.result() if not done.cancelled() else Answer(Verdict.FAILED)
        end = End.LEFT if held.left else OUTCOMES[answer.verdict]
        self._forget(held, answer)
        self._carry_out(self.engine.ended(held.key, end, answer.result, self.router.clock.now()))
        self._wake()

    def _refuse(self, held: Held, refusal: Refusal) -> None:
        self.router.release_id(held.job.id)
        if held.left:
            self.router.count_abandoned()
            answer = Answer(Verdict.REFUSED)
        else:
            answer = self.router.reject(held.job, refusal.retry_after, refusal.reason)
        self._forget(held, answer)

    def _forget(self, held: Held, answer: Answer) -> None:
        self.held.pop(held.key, None)
        if not held.answered.done():
            held.answered.set_result(answer)
        if not self.held:
            self._idle.set()

    def _wake(self) -> None:
        """Set the timer for when the engine may have something."""
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
            self._wake()


def with_results(body: bytes, results: tuple[tuple[str, bytes], ...]) -> bytes:
    """A JSON object of the job's own `body` and its parents' `results` by id.

    What is not UTF-8 is {"base64": ...}.
    """

    def shown(data: bytes) -> object:
        try:
            return data.decode()
        except UnicodeDecodeError:
            return {"base64": base64.b64encode(data).decode()}

    found = {"body": shown(body), "results": {name: shown(result) for name, result in results}}
    return json.dumps(found, ensure_ascii=False).encode()
