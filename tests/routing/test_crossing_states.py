"""Request lifecycles under random orders of events: a state machine over the real router and decision module.

Requests arrive, clients disconnect, connections are established, attempts end, backends drain, restart and
disappear from the list, and time passes, in orders that hypothesis draws from fixed seeds. The rules for
sending are checked at the first byte of each attempt, the invariants after each step.
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
OUTCOMES = [Outcome.SERVED, Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED]
SETTLE_ITERATIONS = 40  # iterations of the event loop that are enough to handle all consequences of an event


@dataclass
class LoopClock:
    loop: VirtualLoop

    def now(self) -> int:
        return round(self.loop.time() * 1e6)


@dataclass(eq=False)
class BlockedAttempt:
    """An attempt at a backend that waits until the test sets `connected`, and then until it sets `result`."""

    job: Job
    backend: int
    connected: asyncio.Event = field(default_factory=asyncio.Event)
    result: asyncio.Future[AttemptResult] | None = None
    on_progress: object = None
    first_byte_at: int | None = None
    outcome: Outcome | None = None

    @property
    def may_have_been_executed(self) -> bool:
        return self.first_byte_at is not None and self.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED)


class BlockedBackendClient:
    """A backend client whose attempts are `BlockedAttempt`s."""

    def __init__(self, machine: RequestLifecycleMachine, entry: Endpoint) -> None:
        self.machine, self.backend = machine, int(entry.host)

    async def attempt(self, job, before_first_byte, on_progress):
        attempt = BlockedAttempt(job, self.backend, on_progress=on_progress)
        self.machine.attempts.append(attempt)
        self.machine.running_attempts += 1
        try:
            await attempt.connected.wait()
            remaining = before_first_byte()
            if remaining is None:
                attempt.outcome = Outcome.NOT_SENT
                return AttemptResult(Outcome.NOT_SENT)
            try:
                self.machine.check_first_byte(attempt, remaining)
            except AssertionError as violation:  # the router would handle it as an error in the client
                self.machine.violations.append(str(violation))
            on_progress(AttemptWritten())
            attempt.result = asyncio.get_running_loop().create_future()
            result = await attempt.result
            attempt.outcome = result.outcome
        except asyncio.CancelledError:
            attempt.outcome = attempt.outcome or Outcome.CANCELLED
            raise
        else:
            return result
        finally:
            self.machine.running_attempts -= 1

    async def probe(self, timeout_us):
        return AttemptResult(Outcome.CONNECT_FAILED)

    def close(self):
        pass


class RequestLifecycleMachine(RuleBasedStateMachine):
    """One site. Cancelling attempts and hedging (two attempts in flight) may each be allowed or not."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.attempts: list[BlockedAttempt] = []
        self.requests: dict[str, RequestContext] = {}
        self.classes: dict[str, int] = {}
        self.running_attempts = 0
        self.violations: list[str] = []  # of the rules that are checked at first bytes
        self.states = dict.fromkeys(range(BACKENDS), WorkerState.READY)
        self.started_at = dict.fromkeys(range(BACKENDS), 0)

    def do(self, action=None, iterations: int = SETTLE_ITERATIONS) -> None:
        """Call `action` in the event loop, and run this many iterations of the loop."""

        async def run():
            if action is not None:
                action()
            for _ in range(iterations):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())

    @initialize(cancel_allowed=st.booleans(), hedging_allowed=st.booleans(), max_attempts=st.integers(1, 4))
    def start_router(self, cancel_allowed, hedging_allowed, max_attempts):
        self.settings = Settings(
            classes=CLASSES,
            cancel_allowed=cancel_allowed,
            hedging_allowed=hedging_allowed,
            max_attempts=max_attempts,
            reports_job_starts=True,
            progress_interval=200_000,
            collapse_multiple=100.0,  # so that a restart does not exclude a backend from the rest of the run
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
            str(backend), "h:1", backend % 2, 0, 0, self.states[backend], 1.0, self.started_at[backend]
        )

    def teardown(self) -> None:
        if hasattr(self, "router"):
            for attempt in self.attempts:
                attempt.connected.set()
            self.loop.run_until_complete(asyncio.sleep(20))
            self.check()
            assert not self.router.requests and self.running_attempts == 0, "all requests have ended"
            assert not self.dispatcher.requests and not self.router.open_ids
            self.router.close()
            self.do()
        self.loop.close()

    # --- events ---

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]), timeout_us=st.integers(20_000, 3_000_000))
    def request_arrives(self, job_class, timeout_us):
        job_id = f"r{len(self.requests)}"
        self.classes[job_id] = job_class

        def accept():
            self.requests[job_id] = self.router.accept(Job(job_id, job_class, 0, timeout_us))

        self.do(accept)

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]))
    def request_arrives_and_connects(self, job_class):
        self.request_arrives(job_class, 3_000_000)
        self.do(lambda: [attempt.connected.set() for attempt in self.connecting()])

    @precondition(lambda self: self.in_flight())
    @rule(
        data=st.data(), outcome=st.sampled_from(OUTCOMES[1:]), delay_s=st.sampled_from([0.0, 0.3, 0.6, 1.0])
    )
    def attempt_fails_and_retry_connects(self, data, outcome, delay_s):
        """An attempt fails. The attempts that follow from it are connected after a delay."""
        attempt = data.draw(st.sampled_from(self.in_flight()))
        self.do(lambda: attempt.result.set_result(AttemptResult(outcome)))
        self.loop.run_until_complete(asyncio.sleep(delay_s))
        self.do(lambda: [attempt.connected.set() for attempt in self.connecting()])

    @precondition(lambda self: self.in_flight())
    @rule(data=st.data(), iterations=st.integers(0, 4))
    def client_disconnects(self, data, iterations):
        """A client disconnects. Only a few loop iterations follow; the others run in the next step."""
        attempt = data.draw(st.sampled_from(self.in_flight()))
        self.do(self.requests[attempt.job.id].on_client_disconnected, iterations)

    @rule(job_class=st.sampled_from([SAFE, KEYED, UNSAFE]), iterations=st.integers(0, 6))
    def request_arrives_and_client_disconnects(self, job_class, iterations):
        job_id = f"r{len(self.requests)}"
        self.classes[job_id] = job_class

        def accept():
            self.requests[job_id] = self.router.accept(Job(job_id, job_class, 0, 1_000_000))

        self.do(accept, iterations)
        self.do(self.requests[job_id].on_client_disconnected)

    @precondition(lambda self: self.connecting())
    @rule(data=st.data(), all_at_once=st.booleans(), delay_s=st.sampled_from([0.0, 0.05, 0.4, 0.9]))
    def attempt_connects(self, data, all_at_once, delay_s):
        """After a delay one pending connection is established, or all of them in the same loop iteration."""
        self.loop.run_until_complete(asyncio.sleep(delay_s))
        connecting = self.connecting()
        if not connecting:
            return
        chosen = connecting if all_at_once else [data.draw(st.sampled_from(connecting))]
        self.do(lambda: [attempt.connected.set() for attempt in chosen])

    @precondition(lambda self: self.connecting())
    @rule(data=st.data(), change=st.sampled_from(["drain", "leave", "restart"]))
    def attempt_connects_during_a_change(self, data, change):
        """A connection is established immediately before or after a change, in the same loop iteration."""
        attempt = data.draw(st.sampled_from(self.connecting()))
        connects_first = data.draw(st.booleans())

        def connect_and_change():
            if connects_first:
                attempt.connected.set()
            if change == "leave":
                self.requests[attempt.job.id].on_client_disconnected()
            elif change == "drain":
                self.states[attempt.backend] = WorkerState.DRAINING
                self.apply_entry(attempt.backend)
            else:
                self.started_at[attempt.backend] = self.router.clock.now()
                self.apply_entry(attempt.backend)
            attempt.connected.set()

        self.do(connect_and_change)

    @precondition(lambda self: self.in_flight())
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES), with_disconnect=st.booleans())
    def attempt_ends(self, data, outcome, with_disconnect):
        attempt = data.draw(st.sampled_from(self.in_flight()))

        def finish():
            if not attempt.result.done():
                attempt.result.set_result(AttemptResult(outcome, b"r"))
            if with_disconnect:  # the client disconnects in the same loop iteration as the answer
                self.requests[attempt.job.id].on_client_disconnected()

        self.do(finish)

    @precondition(lambda self: self.in_flight())
    @rule(outcome=st.sampled_from([Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED]))
    def all_attempts_end(self, outcome):
        """All attempts in flight end with the same outcome, as when a zone fails; allowed retries follow."""
        self.do(lambda: [attempt.result.set_result(AttemptResult(outcome)) for attempt in self.in_flight()])

    @precondition(lambda self: self.connecting())
    @rule()
    def all_attempts_connect(self):
        self.do(lambda: [attempt.connected.set() for attempt in self.connecting()])

    @precondition(lambda self: self.in_flight())
    @rule(data=st.data(), fraction=st.sampled_from([None, 0.5]))
    def attempt_reports_progress(self, data, fraction):
        attempt = data.draw(st.sampled_from(self.in_flight()))
        self.do(lambda: attempt.on_progress(ProgressReport(fraction)))

    @rule(
        backend=st.integers(0, BACKENDS - 1), state=st.sampled_from([WorkerState.READY, WorkerState.DRAINING])
    )
    def backend_state_changes(self, backend, state):
        self.states[backend] = state
        self.do(lambda: self.apply_entry(backend))

    @rule(backend=st.integers(0, BACKENDS - 1))
    def backend_restarts(self, backend):
        def restart():
            self.started_at[backend] = self.router.clock.now()
            self.apply_entry(backend)

        self.do(restart)

    @rule(removed=st.sets(st.integers(0, BACKENDS - 1), max_size=BACKENDS - 1))
    def complete_list_arrives(self, removed):
        """A complete list lacks some backends; a later list has them again."""
        entries = tuple(self.entry(backend) for backend in range(BACKENDS) if backend not in removed)
        self.do(lambda: self.router.apply_list(EndpointList(entries, is_complete=True)))

    @rule(seconds=st.sampled_from([0.001, 0.02, 0.1, 0.5, 2.0]))
    def time_passes(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    # --- rules and invariants ---

    def check_first_byte(self, attempt: BlockedAttempt, remaining: int) -> None:
        """Check the rules for sending, in the loop iteration in which an attempt is written."""
        request, backend = self.requests[attempt.job.id], self.router.table.by_host(str(attempt.backend))
        now, job_class = self.router.clock.now(), CLASSES[self.classes[attempt.job.id]]
        assert not request.client_disconnected, "its client has disconnected"
        assert not request.answered.done(), "it has its answer"
        assert 0 < remaining <= request.deadline - now, "its timeout exceeds the remaining time"
        assert backend is not None and backend.accepts_work, "the backend is drained or gone"
        earlier = [
            other
            for other in self.attempts
            if other.job.id == attempt.job.id and other.first_byte_at is not None
        ]
        executed = [other for other in earlier if other.may_have_been_executed]
        assert len(earlier) < self.settings.max_attempts
        if not self.settings.hedging_allowed:
            assert all(other.outcome is not None for other in earlier), "two attempts are in flight"
        if executed and job_class.idempotency is Idempotency.UNSAFE:
            raise AssertionError("it may have been executed")
        if executed and job_class.idempotency is Idempotency.KEYED:
            assert now < executed[0].first_byte_at + job_class.dedup_window, (
                "its deduplication window has ended"
            )
            assert executed[0].backend % 2 == attempt.backend % 2, "the retry is in another zone"
        attempt.first_byte_at = now

    def connecting(self) -> list[BlockedAttempt]:
        return [
            attempt for attempt in self.attempts if not attempt.connected.is_set() and attempt.outcome is None
        ]

    def in_flight(self) -> list[BlockedAttempt]:
        return [
            attempt for attempt in self.attempts if attempt.result is not None and not attempt.result.done()
        ]

    def apply_entry(self, backend: int) -> None:
        """Apply a list that has changed the entry of this backend."""
        self.router.apply_list(EndpointList((self.entry(backend),)))

    @invariant()
    def check(self) -> None:
        if not hasattr(self, "router"):
            return
        self.do()
        assert not self.violations
        counters, now = self.router.counters, self.router.clock.now()
        open_requests = [
            request
            for request in self.requests.values()
            if not request.answered.done() and not request.abandoned
        ]
        assert (
            counters.answers.total() + counters.abandoned + len(open_requests)
            == counters.received
            == len(self.requests)
        )
        for request in open_requests:
            assert now <= request.deadline + round(DECISION_GRACE_S * 1e6) + 1_000, (
                "no answer by its deadline"
            )
        unfinished = Counter(
            attempt.worker_id
            for request in self.requests.values()
            for attempt in request.attempts
            if not attempt.is_finished
        )
        assert sum(unfinished.values()) == self.running_attempts, "unfinished and running attempts differ"
        for worker_id, worker in self.dispatcher.workers.items():
            counted = self.router.table.backends[worker_id].in_flight
            expected = sum(
                attempt.backend is self.router.table.backends[worker_id]
                for request in self.requests.values()
                for attempt in request.attempts
                if not attempt.is_finished
            )
            assert counted == expected and len(worker.attempts) <= unfinished[worker_id]


TestRequestLifecycle = RequestLifecycleMachine.TestCase
TestRequestLifecycle.settings = settings(
    settings.get_profile("steady"), max_examples=200, stateful_step_count=50, deadline=None
)
