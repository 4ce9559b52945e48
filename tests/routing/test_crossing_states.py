"""Every order of events in the life of requests: a state machine over the real core and the real decisions.

Requests come and go, connections come up, attempts end, backends drain, restart and vanish, and time
passes, in orders that hypothesis draws from fixed seeds. What must hold is checked at each first byte and
after each step.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import DedupScope, Idempotency, JobClass, Outcome, Settings, WorkerState
from hazelbend.routing.ports import AttemptResult, AttemptWritten, Endpoint, EndpointList, Job, ProgressReport
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.router import DECISION_GRACE_S, Router
from hazelbend.routing.table import BackendTable
from tests.support.virtual_loop import VirtualLoop

SAFE, KEYED, UNSAFE = range(3)
CLASSES = (
    JobClass(idempotency=Idempotency.SAFE, objective=2_000_000),
    JobClass(
        idempotency=Idempotency.KEYED, dedup_scope=DedupScope.ZONE, dedup_window=800_000, objective=2_000_000
    ),
    JobClass(idempotency=Idempotency.UNSAFE, objective=2_000_000),
)
BACKENDS = 5
ENDINGS = [Outcome.SERVED, Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED]
TURNS = 40  # rounds of the loop in which whatever an event leads to is over


@dataclass
class LoopClock:
    loop: VirtualLoop

    def now(self) -> int:
        return round(self.loop.time() * 1e6)


@dataclass(eq=False)
class Held:
    """An attempt at a backend: it waits for its connection, then for its end, until the test lets it go
    on."""

    job: Job
    backend: int
    connected: asyncio.Event = field(default_factory=asyncio.Event)
    ending: asyncio.Future[AttemptResult] | None = None
    on_progress: object = None
    begun_at: int | None = None
    over: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.begun_at is not None and self.over not in (Outcome.FULL, Outcome.CONNECT_FAILED)


class BlockedBackendClient:
    def __init__(self, machine: CrossingMachine, entry: Endpoint) -> None:
        self.machine, self.backend = machine, int(entry.host)

    async def attempt(self, job, before_first_byte, on_progress):
        held = Held(job, self.backend, on_progress=on_progress)
        self.machine.attempts.append(held)
        self.machine.running += 1
        try:
            await held.connected.wait()
            left = before_first_byte()
            if left is None:
                held.over = Outcome.NOT_SENT
                return AttemptResult(Outcome.NOT_SENT)
            try:
                self.machine.first_byte(held, left)
            except AssertionError as broken:  # the core would take it for the link's fault
                self.machine.broken.append(str(broken))
            on_progress(AttemptWritten())
            held.ending = asyncio.get_running_loop().create_future()
            ending = await held.ending
            held.over = ending.outcome
        except asyncio.CancelledError:
            held.over = held.over or Outcome.CANCELLED
            raise
        else:
            return ending
        finally:
            self.machine.running -= 1

    async def probe(self, timeout_us):
        return AttemptResult(Outcome.CONNECT_FAILED)

    def close(self):
        pass


class CrossingMachine(RuleBasedStateMachine):
    """Cancel may be allowed or not, and second copies; the rest is one site."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.attempts: list[Held] = []
        self.flows: dict[str, RequestContext] = {}
        self.classes: dict[str, int] = {}
        self.running = 0
        self.broken: list[str] = []  # rules, at first bytes
        self.states = dict.fromkeys(range(BACKENDS), WorkerState.READY)
        self.started = dict.fromkeys(range(BACKENDS), 0)

    def do(self, what=None, turns: int = TURNS) -> None:
        async def run():
            if what is not None:
                what()
            for _ in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())

    @initialize(cancel=st.booleans(), copies=st.booleans(), attempts=st.integers(1, 4))
    def begin(self, cancel, copies, attempts):
        self.settings = Settings(
            classes=CLASSES,
            cancel_allowed=cancel,
            hedging_allowed=copies,
            max_attempts=attempts,
            reports_job_starts=True,
            progress_interval=200_000,
            collapse_multiple=100.0,  # so that a restart does not keep a backend out of the rest
            warmup_duration=500_000,
        )

        def build():
            self.dispatcher = Dispatcher(self.settings, 1)
            self.router = Router(
                self.dispatcher,
                LoopClock(self.loop),
                BackendTable(lambda entry: BlockedBackendClient(self, entry)),
            )
            self.router.start(EndpointList(tuple(map(self.entry, range(BACKENDS))), is_complete=True))

        self.do(build)

    def entry(self, backend: int) -> Endpoint:
        return Endpoint(
            str(backend), "h:1", backend % 2, 0, 0, self.states[backend], 1.0, self.started[backend]
        )

    def teardown(self) -> None:
        if hasattr(self, "router"):
            for held in self.attempts:
                held.connected.set()
            self.loop.run_until_complete(asyncio.sleep(20))
            self.check()
            assert not self.router.requests and self.running == 0, "every request is over in the end"
            assert not self.dispatcher.requests and not self.router.open_ids
            self.router.close()
            self.do()
        self.loop.close()

    # --- what may happen ---

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]), patience=st.integers(20_000, 3_000_000))
    def arrive(self, job_class, patience):
        name = f"r{len(self.flows)}"
        self.classes[name] = job_class

        def take():
            self.flows[name] = self.router.accept(Job(name, job_class, 0, patience))

        self.do(take)

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]))
    def arrive_and_begin(self, job_class):
        self.arrive(job_class, 3_000_000)
        self.do(lambda: [held.connected.set() for held in self.connecting()])

    @precondition(lambda self: self.out())
    @rule(data=st.data(), outcome=st.sampled_from(ENDINGS[1:]), late=st.sampled_from([0.0, 0.3, 0.6, 1.0]))
    def end_and_repeat(self, data, outcome, late):
        """An attempt fails; what it leads to has its connection some time later."""
        held = data.draw(st.sampled_from(self.out()))
        self.do(lambda: held.ending.set_result(AttemptResult(outcome)))
        self.loop.run_until_complete(asyncio.sleep(late))
        self.do(lambda: [held.connected.set() for held in self.connecting()])

    @precondition(lambda self: self.out())
    @rule(data=st.data(), turns=st.integers(0, 4))
    def leave(self, data, turns):
        """At any of the first turns after what came before: the rest is done in the next step."""
        held = data.draw(st.sampled_from(self.out()))
        self.do(self.flows[held.job.id].leave, turns)

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]), turns=st.integers(0, 6))
    def arrive_and_leave(self, job_class, turns):
        name = f"r{len(self.flows)}"
        self.classes[name] = job_class

        def take():
            self.flows[name] = self.router.accept(Job(name, job_class, 0, 1_000_000))

        self.do(take, turns)
        self.do(self.flows[name].leave)

    @precondition(lambda self: self.connecting())
    @rule(data=st.data(), together=st.booleans(), late=st.sampled_from([0.0, 0.05, 0.4, 0.9]))
    def connect(self, data, together, late):
        """After a while one connection comes up, or all that are awaited in the same turn."""
        self.loop.run_until_complete(asyncio.sleep(late))
        waiting = self.connecting()
        if not waiting:
            return
        chosen = waiting if together else [data.draw(st.sampled_from(waiting))]
        self.do(lambda: [held.connected.set() for held in chosen])

    @precondition(lambda self: self.connecting())
    @rule(data=st.data(), what=st.sampled_from(["drain", "leave", "restart"]))
    def connect_as_something_changes(self, data, what):
        """In one turn, the change behind the connection and before it."""
        held = data.draw(st.sampled_from(self.connecting()))
        first = data.draw(st.booleans())

        def cross():
            if first:
                held.connected.set()
            if what == "leave":
                self.flows[held.job.id].leave()
            elif what == "drain":
                self.states[held.backend] = WorkerState.DRAINING
                self.tell(held.backend)
            else:
                self.started[held.backend] = self.router.clock.now()
                self.tell(held.backend)
            held.connected.set()

        self.do(cross)

    @precondition(lambda self: self.out())
    @rule(data=st.data(), outcome=st.sampled_from(ENDINGS), again=st.booleans())
    def end(self, data, outcome, again):
        held = data.draw(st.sampled_from(self.out()))

        def finish():
            if not held.ending.done():
                held.ending.set_result(AttemptResult(outcome, b"r"))
            if again:  # a client that goes in the turn of the answer
                self.flows[held.job.id].leave()

        self.do(finish)

    @precondition(lambda self: self.out())
    @rule(outcome=st.sampled_from([Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED]))
    def end_all(self, outcome):
        """What a lost zone does: all that is out ends alike, and goes elsewhere where it may."""
        self.do(lambda: [held.ending.set_result(AttemptResult(outcome)) for held in self.out()])

    @precondition(lambda self: self.connecting())
    @rule()
    def connect_all(self):
        self.do(lambda: [held.connected.set() for held in self.connecting()])

    @precondition(lambda self: self.out())
    @rule(data=st.data(), fraction=st.sampled_from([None, 0.5]))
    def speak(self, data, fraction):
        held = data.draw(st.sampled_from(self.out()))
        self.do(lambda: held.on_progress(ProgressReport(fraction)))

    @rule(
        backend=st.integers(0, BACKENDS - 1), state=st.sampled_from([WorkerState.READY, WorkerState.DRAINING])
    )
    def list_changes(self, backend, state):
        self.states[backend] = state
        self.do(lambda: self.tell(backend))

    @rule(backend=st.integers(0, BACKENDS - 1))
    def restart(self, backend):
        def change():
            self.started[backend] = self.router.clock.now()
            self.tell(backend)

        self.do(change)

    @rule(absent=st.sets(st.integers(0, BACKENDS - 1), max_size=BACKENDS - 1))
    def whole_list(self, absent):
        """Some are gone, and come back with a later list."""
        rows = tuple(self.entry(each) for each in range(BACKENDS) if each not in absent)
        self.do(lambda: self.router.apply_list(EndpointList(rows, is_complete=True)))

    @rule(seconds=st.sampled_from([0.001, 0.02, 0.1, 0.5, 2.0]))
    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    # --- what must hold ---

    def first_byte(self, held: Held, left: int) -> None:
        """The rules on sends, in the turn in which one begins."""
        flow, server = self.flows[held.job.id], self.router.table.by_host(str(held.backend))
        now, job = self.router.clock.now(), CLASSES[self.classes[held.job.id]]
        assert not flow.client_disconnected, "its client has gone"
        assert not flow.answered.done(), "it has its answer"
        assert 0 < left <= flow.deadline - now, "more time than is left"
        assert server is not None and server.accepts_work, "drained or gone"
        earlier = [each for each in self.attempts if each.job.id == held.job.id and each.begun_at is not None]
        ran = [each for each in earlier if each.may_have_run]
        assert len(earlier) < self.settings.max_attempts
        if not self.settings.hedging_allowed:
            assert all(each.over is not None for each in earlier), "two attempts out"
        if ran and job.idempotency is Idempotency.UNSAFE:
            raise AssertionError("it may have run")
        if ran and job.idempotency is Idempotency.KEYED:
            assert now < ran[0].begun_at + job.dedup_window, "its window is over"
            assert ran[0].backend % 2 == held.backend % 2, "in another zone"
        held.begun_at = now

    def connecting(self) -> list[Held]:
        return [each for each in self.attempts if not each.connected.is_set() and each.over is None]

    def out(self) -> list[Held]:
        return [each for each in self.attempts if each.ending is not None and not each.ending.done()]

    def tell(self, backend: int) -> None:
        self.router.apply_list(EndpointList((self.entry(backend),)))

    @invariant()
    def check(self) -> None:
        if not hasattr(self, "router"):
            return
        self.do()
        assert not self.broken
        tally, now = self.router.counters, self.router.clock.now()
        open_flows = [flow for flow in self.flows.values() if not flow.answered.done() and not flow.abandoned]
        assert tally.answers.total() + tally.abandoned + len(open_flows) == tally.received == len(self.flows)
        for flow in open_flows:
            assert now <= flow.deadline + round(DECISION_GRACE_S * 1e6) + 1_000, "no answer by its time"
        out = Counter(
            each.worker_id for flow in self.flows.values() for each in flow.attempts if not each.is_finished
        )
        assert sum(out.values()) == self.running, "attempts out and attempts counted"
        for number, worker in self.dispatcher.workers.items():
            counted = self.router.table.servers[number].in_flight
            mine = sum(
                each.backend is self.router.table.servers[number]
                for flow in self.flows.values()
                for each in flow.attempts
                if not each.is_finished
            )
            assert counted == mine and len(worker.attempts) <= out[number]


TestCrossings = CrossingMachine.TestCase
TestCrossings.settings = settings(
    settings.get_profile("steady"), max_examples=200, stateful_step_count=50, deadline=None
)
