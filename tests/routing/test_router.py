"""The core alone: a scripted module and links without wires."""

import asyncio
import logging
from dataclasses import replace

from hazelbend.decisions import interface as face
from hazelbend.decisions.interface import Outcome, WorkerState
from hazelbend.routing.clock import Clock
from hazelbend.routing.ports import (
    AttemptResult,
    AttemptWritten,
    Endpoint,
    EndpointList,
    Job,
    ProgressReport,
    Verdict,
)
from hazelbend.routing.router import Router
from hazelbend.routing.table import BackendTable, stable_id

ENTRY = Endpoint("s-1", "h:1", 0, 0, 0, WorkerState.READY, 1.0, 0)
ID = stable_id("s-1")
JOB = Job("9b", 0, 0, 500_000)


class ScriptedModule:
    """Does what a test says on each kind of event; keeps the events."""

    def __init__(self, **script):
        self.script, self.events = script, []

    def handle(self, event, now):
        self.events.append(event)
        answer = self.script.get(type(event).__name__, [])
        return answer(event) if callable(answer) else answer

    def may_still_send(self, request, attempt, now):
        return True

    def workers_in_backoff(self, now):
        return set()

    def of(self, kind):
        return [event for event in self.events if isinstance(event, kind)]


class FakeBackendClient:
    def __init__(self, ending=None, news=()):
        self.ending, self.news, self.calls = ending, news, 0

    async def attempt(self, job, before_first_byte, on_progress):
        if before_first_byte() is None:
            return AttemptResult(Outcome.NOT_SENT)
        self.calls += 1
        on_progress(AttemptWritten())
        for each in self.news:
            on_progress(each)
        if self.ending is None:
            await asyncio.Event().wait()
        if isinstance(self.ending, Exception):
            raise self.ending
        return self.ending

    def close(self):
        pass


def play(module, link, *jobs, before=None):
    """The answers to these jobs, and the router."""

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: link))
        router.start(EndpointList((ENTRY,), is_complete=True))
        flows = [router.accept(job) for job in jobs]
        if before:
            before(router)
        answers = [await asyncio.wait_for(flow.answered, 10) for flow in flows]
        await asyncio.wait_for(router.wait_idle(), 10)
        return answers, router

    return asyncio.run(run())


def send(event):
    return [face.Send(event.request, ID)]


def test_a_flow_from_its_arrival_to_its_one_answer():
    module = ScriptedModule(RequestArrived=send)
    link = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"), [ProgressReport(), ProgressReport(0.5)])
    [answer], router = play(module, link, JOB)
    assert (answer.verdict, answer.result) == (Verdict.SERVED, b"r")
    assert [type(event).__name__ for event in module.events] == [
        "MembershipUpdate", "RequestArrived", "JobStarted", "JobProgress", "AttemptEnded"
    ]  # fmt: skip
    [ended] = module.of(face.AttemptEnded)
    assert ended.closed and ended.outcome is Outcome.SERVED and router.requests == {}


def test_a_server_that_drains_between_decision_and_first_byte_gets_nothing():
    """Guards the drain rule: the module's Send is an intention."""
    for state, held in ((WorkerState.DRAINING, False), (WorkerState.GONE, False), (WorkerState.READY, True)):
        module = ScriptedModule(RequestArrived=send, AttemptEnded=lambda event: [face.Refuse(event.request)])
        link = FakeBackendClient(AttemptResult(Outcome.SERVED))

        def change(router, state=state, held=held):
            entry = Endpoint("s-1", "h:1", 0, 0, 0, state, 1.0, 0)
            router.table.apply(EndpointList((entry,)))
            router.set_manual_drain("s-1", held)

        [answer], _ = play(module, link, JOB, before=change)
        assert answer.verdict is Verdict.REFUSED and link.calls == 0
        assert module.of(face.AttemptEnded)[0].outcome is Outcome.NOT_SENT


def test_nothing_is_sent_once_the_client_has_left_and_what_is_out_is_called_back():
    module = ScriptedModule(
        RequestArrived=send, ClientGone=lambda event: [face.Cancel(event.request, 0), *send(event)]
    )
    link = FakeBackendClient()

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: link))
        router.start(EndpointList((ENTRY,), is_complete=True))
        flow = router.accept(JOB)
        while not link.calls:
            await asyncio.sleep(0)
        flow.leave()
        await asyncio.wait_for(router.wait_idle(), 10)
        return router

    router = asyncio.run(run())
    assert sorted(event.outcome for event in module.of(face.AttemptEnded)) == [
        Outcome.CANCELLED,
        Outcome.NOT_SENT,
    ]
    assert all(event.closed for event in module.of(face.AttemptEnded))
    assert router.counters.abandoned == 1 and not router.counters.answers.total()


def test_a_scheduling_cancelled_before_its_task_first_runs_is_over_all_the_same():
    """Guards the end of flows whose clients leave in the moment of a send: they stayed open for ever, and the
    load on the server, the id and the end of the program hung on them."""
    module = ScriptedModule(
        RequestArrived=lambda event: [*send(event), face.Cancel(event.request, 0)],
        AttemptEnded=lambda event: [face.Refuse(event.request)],
    )
    link = FakeBackendClient()
    [answer], router = play(module, link, JOB)
    assert answer.verdict is Verdict.REFUSED and link.calls == 0
    [ended] = module.of(face.AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT, "not a byte went out"
    assert [server.in_flight for server in router.table.servers.values()] == [0]
    assert not router.is_open(JOB.id)


def test_flows_whose_clients_leave_at_every_step_all_end():
    """A storm of leaves, each so many turns of the loop after its job came: none may stay."""

    async def run():
        module = ScriptedModule(
            RequestArrived=send, ClientGone=lambda event: [face.Cancel(event.request, 0), *send(event)]
        )
        router = Router(module, Clock(), BackendTable(lambda entry: FakeBackendClient()))
        router.start(EndpointList((ENTRY,), is_complete=True))
        for turns in range(8):
            for number in range(4):
                flow = router.accept(replace(JOB, id=f"{turns}-{number}"))
                for _ in range(turns):
                    await asyncio.sleep(0)
                flow.leave()
        async with asyncio.timeout(10):
            await router.wait_idle()
        return router, module

    router, module = asyncio.run(run())
    assert len(module.of(face.AttemptEnded)) == 2 * 32, "each send and its end, once"
    assert [server.in_flight for server in router.table.servers.values()] == [0]
    assert router.counters.abandoned == 32 and not router.open_ids


def test_a_flow_ended_before_its_task_first_runs_leaves_nothing():
    async def run():
        router = Router(ScriptedModule(), Clock(), BackendTable(lambda entry: FakeBackendClient()))
        flow = router.accept(JOB)
        router.close()
        async with asyncio.timeout(10):
            await router.wait_idle()
        return await flow.answered, router

    answer, router = asyncio.run(run())
    assert answer.verdict is Verdict.FAILED and not router.is_open(JOB.id)


def test_a_second_answer_is_dropped_and_a_late_attempt_still_reported():
    """The attempt is under way by then: one of which nothing was written would be withdrawn."""
    answered = asyncio.Event()

    class LateLink(FakeBackendClient):
        async def attempt(self, job, before_first_byte, on_progress):
            ending = await super().attempt(job, before_first_byte, on_progress)
            await answered.wait()
            return ending

    def started(event):
        asyncio.get_running_loop().call_soon(answered.set)
        return [face.Refuse(event.request), face.Fail(event.request)]

    module = ScriptedModule(RequestArrived=send, JobStarted=started)
    [answer], router = play(module, LateLink(AttemptResult(Outcome.SERVED), [ProgressReport()]), JOB)
    assert answer.verdict is Verdict.REFUSED and router.counters.verdicts[Verdict.REFUSED] == 1
    assert [event.outcome for event in module.of(face.AttemptEnded)] == [Outcome.SERVED]


def test_an_attempt_ends_at_the_deadline_and_a_silent_module_is_overruled():
    module = ScriptedModule(RequestArrived=send)
    [answer], _ = play(module, FakeBackendClient(), Job("9b", 0, 0, 50_000))
    assert answer.verdict is Verdict.FAILED and answer.is_expired
    assert module.of(face.AttemptEnded)[0].outcome is Outcome.TIMED_OUT
    assert module.of(face.ClientGone), "the module is told, so that it lets go of the flow"


def test_an_attempts_own_time_out_comes_first():
    module = ScriptedModule(
        RequestArrived=lambda event: [face.Send(event.request, ID, timeout=20_000)],
        AttemptEnded=lambda event: [face.Fail(event.request)],
    )
    [answer], _ = play(module, FakeBackendClient(), JOB)
    assert answer.verdict is Verdict.FAILED and not answer.is_expired


def test_a_fault_in_one_flow_ends_that_flow_alone(caplog):
    def arrived(event):
        if event.request == 1:
            raise RuntimeError("the module's fault")
        return send(event)

    with caplog.at_level(logging.CRITICAL):
        answers, _ = play(
            ScriptedModule(RequestArrived=arrived), FakeBackendClient(AttemptResult(Outcome.SERVED)), JOB, JOB
        )
    assert [answer.verdict for answer in answers] == [Verdict.FAILED, Verdict.SERVED]


def test_after_a_fault_the_module_hears_the_end_of_what_was_out(caplog):
    """Guards against load that the module would count on a server for ever."""

    def started(event):
        raise RuntimeError("the module's fault")

    module = ScriptedModule(RequestArrived=send, JobStarted=started)
    with caplog.at_level(logging.CRITICAL):
        [answer], router = play(module, FakeBackendClient(news=[ProgressReport()]), JOB)
    [ended] = module.of(face.AttemptEnded)
    assert (answer.verdict, ended.outcome, ended.closed) == (Verdict.FAILED, Outcome.CANCELLED, True)
    assert [server.in_flight for server in router.table.servers.values()] == [0]


def test_a_fault_in_a_link_is_an_error_of_that_attempt(caplog):
    module = ScriptedModule(RequestArrived=send, AttemptEnded=lambda event: [face.Fail(event.request)])
    with caplog.at_level(logging.CRITICAL):
        [answer], _ = play(module, FakeBackendClient(RuntimeError("fault")), JOB)
    assert answer.verdict is Verdict.FAILED and module.of(face.AttemptEnded)[0].outcome is Outcome.ERROR


def test_a_timer_whose_handling_failed_rings_again(caplog, monkeypatch):
    """Guards the module's upkeep and its asking for lists, which live on timers that it sets itself."""
    monkeypatch.setattr("hazelbend.routing.router.TIMER_RETRY_S", 0.01)
    rings = []

    def ring(event):
        rings.append(event.token)
        if len(rings) == 1:
            raise RuntimeError("once")
        return [face.Refuse(1)]

    script = {"RequestArrived": [face.StartTimer(1_000, 7)], "TimerFired": ring}
    with caplog.at_level(logging.CRITICAL):
        [answer], _ = play(ScriptedModule(**script), FakeBackendClient(), JOB)
    assert rings == [7, 7] and answer.verdict is Verdict.REFUSED


def test_without_discovery_a_subscription_is_answered_from_what_is_known():
    module = ScriptedModule(RequestArrived=lambda event: [face.Subscribe(), face.Refuse(event.request)])
    play(module, FakeBackendClient(), JOB)
    kinds = [event.kind for event in module.of(face.MembershipUpdate)]
    assert kinds == [face.ListKind.CACHED, face.ListKind.FULL]


def test_a_whole_list_keeps_boxes_that_connected_by_themselves():
    table = BackendTable(lambda entry: FakeBackendClient())
    changes = []
    table.on_accepts_work_changed = lambda server, up: changes.append((server.entry.host, up))
    table.register(Endpoint("box", "", 0, 0, 0, WorkerState.READY, 1.0, 9), FakeBackendClient())
    update = table.apply(EndpointList((ENTRY,), is_complete=True))
    assert {entry.worker for entry in update.entries} == {ID, stable_id("box")}
    update = table.apply(EndpointList((), is_complete=True))
    assert [entry.worker for entry in update.entries] == [stable_id("box")]
    assert table.change_registered("box", WorkerState.GONE).entries[0].state is WorkerState.GONE
    assert changes == [("box", True), ("s-1", True), ("s-1", False), ("box", False)]
    assert not table.servers


def test_a_drain_by_hand_outlasts_an_absence_from_the_list():
    table = BackendTable(lambda entry: FakeBackendClient())
    table.apply(EndpointList((ENTRY,), is_complete=True))
    table.set_manual_drain("s-1", True)
    table.apply(EndpointList((), is_complete=True))
    [entry] = table.apply(EndpointList((ENTRY,), is_complete=True)).entries
    assert entry.state is WorkerState.DRAINING


def test_ids_are_the_same_at_every_dispatcher():
    assert stable_id("s-5be2a07c") == 54_393_183_237_098


def test_the_clock_is_unix_time_and_never_steps_back(monkeypatch):
    import time

    clock = Clock()
    assert abs(clock.now() - time.time_ns() // 1_000) < 1_000_000
    before = clock.now()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert clock.now() >= before


def test_before_the_programs_end_a_flow_gets_no_more_time_than_there_is():
    """Guards a planned restart: a flow that is still open when the program is killed is lost."""
    module = ScriptedModule(RequestArrived=lambda event: [face.Fail(event.request)])

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: FakeBackendClient()))
        await router.accept(JOB).answered
        router.set_final_deadline(router.clock.now() + 200_000)
        for patience in (100_000, 500_000):
            await router.accept(replace(JOB, timeout_us=patience)).answered
        router.set_final_deadline(router.clock.now() - 1)
        await router.accept(JOB).answered

    asyncio.run(run())
    before, short, long, after = (event.client_timeout for event in module.of(face.RequestArrived))
    assert (before, short, after) == (500_000, 100_000, 1) and long <= 200_000


def test_an_attempts_end_reaches_its_flow_in_the_turn_that_it_ends():
    """Guards CPU and time per job: told by the task's done callback, the end waited a turn of the event
    loop, which on the standing days is CPU that the client's answer waits for. Turns counted from the take:
    the flow starts, the attempt starts and ends in its first, and the flow answers in the next."""

    async def run():
        router = Router(ScriptedModule(RequestArrived=send), Clock(), BackendTable(lambda entry: link))
        router.start(EndpointList((ENTRY,), is_complete=True))
        flow, turns = router.accept(JOB), 0
        while not flow.answered.done():
            await asyncio.sleep(0)
            turns += 1
        return turns

    link = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"))
    assert asyncio.run(run()) == 3


def test_a_reply_comes_in_the_turn_of_the_answer_and_a_cancelled_one_leaves_the_flow_whole():
    """Guards a turn of the event loop a job (a shield of `answered` is set a turn after it) and the one
    answer: a front cancelled as its client leaves cancels its reply, and the flow still hears it left."""

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: link))
        router.start(EndpointList((ENTRY,), is_complete=True))
        served = router.accept(JOB)
        reply = served.reply()
        while not served.answered.done():
            await asyncio.sleep(0)
        in_the_same_turn = reply.done()
        link.ending = None
        hangs = router.accept(replace(JOB, id="9c"))
        left = hangs.reply()
        await asyncio.sleep(0)
        left.cancel()
        hangs.leave()
        await asyncio.wait_for(router.wait_idle(), 10)
        return in_the_same_turn, reply.result(), hangs.answered.result()

    module = ScriptedModule(RequestArrived=send)
    link = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"))
    in_the_same_turn, answer, other = asyncio.run(run())
    assert in_the_same_turn and answer.verdict is Verdict.SERVED
    assert other.verdict is Verdict.FAILED and len(module.of(face.ClientGone)) == 1
