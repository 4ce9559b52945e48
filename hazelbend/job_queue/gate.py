"""Between the fronts and the core: every job comes here first where deploy/waiting.toml is enabled, waits by
the engine's word, and goes on as a flow. A job that waits is one of the core's ids, and gets one answer."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hazelbend.job_queue.engine import Engine, Node, State
from hazelbend.job_queue.terms import Bounds, Effect, End, Key, Refusal, Release, Request, Terms, TermsError
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.router import Router

LONGEST_SLEEP = 1.0  # seconds between looks at the wall's clock, which may step
ENDS = {Verdict.SERVED: End.SERVED, Verdict.REFUSED: End.REFUSED, Verdict.FAILED: End.FAILED}


def wall_now() -> int:
    return time.time_ns() // 1_000


@dataclass(slots=True, eq=False)
class Held:
    """A job between its coming and its answer; to a front it is as a flow is."""

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
        """The final answer in a future that the caller may cancel; `answered` stays whole."""
        return asyncio.shield(self.answered)

    def leave(self) -> None:
        """The client has gone: what waits is cancelled, what runs is given up."""
        self.left = True
        if self.flow is not None:
            self.flow.leave()
        else:
            self.gate.cancel(self.key, End.LEFT)


@dataclass(slots=True, frozen=True)
class WaitingRow:
    """What operators see of a waiting job."""

    client: str
    id: str
    class_index: int
    tenant: int
    age: int  # microseconds
    left: int  # until its deadline
    why: str


class Gate:
    def __init__(
        self,
        router: Router,
        bounds: Bounds,
        ordinary: bool,
        late_worth: Callable[[int], float],
        objective: Callable[[int], int],
        wall: Callable[[], int] = wall_now,
    ) -> None:
        self.router, self.engine, self.ordinary = router, Engine(bounds), ordinary
        self._late_worth, self._objective, self._wall = late_worth, objective, wall
        self.held: dict[Key, Held] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._leaving: tuple[str, int] | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    # --- what fronts call ---

    def take(self, job: Job, key: Key, terms: Terms, patience: int) -> Held:
        """A job has come. TermsError if its terms cannot be; else it gets its one final answer."""
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
        """False if no such job waits; one that runs goes on."""
        held = self.held.get(key)
        if held is None or held.flow is not None:
            return False
        self._carry_out(self.engine.cancel(key, end, self.router.clock.now()))
        self._wake()
        return True

    # --- life ---

    def change(self, bounds: Bounds, ordinary: bool) -> None:
        self.ordinary = ordinary
        self._carry_out(self.engine.change(bounds, self.router.clock.now()))
        self._wake()

    def leave(self, reason: str, unless_by: int) -> None:
        """The program ends: what cannot run until then (wall clock) is refused at once, also what comes."""
        self._leaving = reason, unless_by
        self._carry_out(self.engine.refuse_all(reason, self.router.clock.now(), unless_by))

    def refuse_rest(self, reason: str) -> None:
        """Nothing that waits will run here any more."""
        self._carry_out(self.engine.refuse_all(reason, self.router.clock.now()))

    async def drained(self) -> None:
        """Until nothing waits or runs."""
        await self._idle.wait()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.refuse_rest("the dispatcher ends")

    # --- what operators see ---

    def rows(self) -> list[WaitingRow]:
        now = self.router.clock.now()
        rows = []
        for node in self.engine.nodes.values():
            if node.request is not None and node.state in (State.BLOCKED, State.QUEUED):
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
            found[f"waiting.longest_ms.{name}"] = totals.longest.get(index, 0) // 1_000
        return found

    def _why(self, node: Node) -> str:
        if node.state is State.QUEUED:
            return "a place" + (", late or over its share" if node.aged else "")
        why = [f"the end of {key[1]}" for key in list(node.parents)[:3]]
        if len(node.parents) > 3:
            why.append(f"{len(node.parents) - 3} more")
        if node.clock is not None:
            why.append(f"its time, in {max(node.clock - self._wall(), 0) / 1e6:.1f} s")
        return ", ".join(why)

    # --- the engine's word ---

    def _carry_out(self, effects: list[Effect]) -> None:
        # What is released may end at once, and release others: a list, not recursion, is worked off.
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
        end = End.LEFT if held.left else ENDS[answer.verdict]
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
        """Come back when the engine may have something."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.router.clock.now()
        if (at := self.engine.next_at(now, self._wall())) is not None:
            wait = min(max(at - now, 0) / 1e6, LONGEST_SLEEP)
            self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        try:
            self._carry_out(self.engine.tick(self.router.clock.now(), self._wall()))
        finally:
            self._wake()


def with_results(body: bytes, results: tuple[tuple[str, bytes], ...]) -> bytes:
    """A JSON object: the job's own `body`, and `results` by the ids of the jobs that it waited for. What is
    not UTF-8 stands there as {"base64": ...}."""

    def shown(data: bytes) -> object:
        try:
            return data.decode()
        except UnicodeDecodeError:
            return {"base64": base64.b64encode(data).decode()}

    found = {"body": shown(body), "results": {name: shown(result) for name, result in results}}
    return json.dumps(found, ensure_ascii=False).encode()
