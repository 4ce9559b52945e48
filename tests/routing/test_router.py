"""The router alone, with a scripted decision module and fake backend clients without sockets."""

import asyncio
import logging
from dataclasses import replace

from hazelbend.decisions import interface as decisions
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
    """A decision module that returns scripted actions for each type of event, and records the events."""

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
    """Returns `result` for each attempt, raises it if it is an exception, and never returns if it is None."""

    def __init__(self, result=None, progress=()):
        self.result, self.progress, self.calls = result, progress, 0

    async def attempt(self, job, before_first_byte, on_progress):
        if before_first_byte() is None:
            return AttemptResult(Outcome.NOT_SENT)
        self.calls += 1
        on_progress(AttemptWritten())
        for report in self.progress:
            on_progress(report)
        if self.result is None:
            await asyncio.Event().wait()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    def close(self):
        pass


def run_jobs(module, client, *jobs, before=None):
    """Run these jobs to their end; return their answers and the router."""

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: client))
        router.start(EndpointList((ENTRY,), is_complete=True))
        requests = [router.accept(job) for job in jobs]
        if before:
            before(router)
        answers = [await asyncio.wait_for(request.answered, 10) for request in requests]
        await asyncio.wait_for(router.wait_idle(), 10)
        return answers, router

    return asyncio.run(run())


def send(event):
    return [decisions.Send(event.request, ID)]


def test_served_request_sends_each_event_to_the_module_in_order():
    module = ScriptedModule(RequestArrived=send)
    client = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"), [ProgressReport(), ProgressReport(0.5)])
    [answer], router = run_jobs(module, client, JOB)
    assert (answer.verdict, answer.result) == (Verdict.SERVED, b"r")
    assert [type(event).__name__ for event in module.events] == [
        "MembershipUpdate", "RequestArrived", "JobStarted", "JobProgress", "AttemptEnded"
    ]  # fmt: skip
    [ended] = module.of(decisions.AttemptEnded)
    assert ended.closed and ended.outcome is Outcome.SERVED and router.requests == {}


def test_backend_drained_between_decision_and_first_byte_gets_no_request():
    """A backend may stop accepting work after the module has decided on a Send, and must get nothing then."""
    for state, is_manually_drained in (
        (WorkerState.DRAINING, False),
        (WorkerState.GONE, False),
        (WorkerState.READY, True),
    ):
        module = ScriptedModule(
            RequestArrived=send, AttemptEnded=lambda event: [decisions.Refuse(event.request)]
        )
        client = FakeBackendClient(AttemptResult(Outcome.SERVED))

        def change(router, state=state, is_manually_drained=is_manually_drained):
            entry = Endpoint("s-1", "h:1", 0, 0, 0, state, 1.0, 0)
            router.table.apply(EndpointList((entry,)))
            router.set_manual_drain("s-1", is_manually_drained)

        [answer], _ = run_jobs(module, client, JOB, before=change)
        assert answer.verdict is Verdict.REFUSED and client.calls == 0
        assert module.of(decisions.AttemptEnded)[0].outcome is Outcome.NOT_SENT


def test_client_disconnect_cancels_the_attempt_in_flight_and_prevents_further_ones():
    module = ScriptedModule(
        RequestArrived=send, ClientGone=lambda event: [decisions.Cancel(event.request, 0), *send(event)]
    )
    client = FakeBackendClient()

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: client))
        router.start(EndpointList((ENTRY,), is_complete=True))
        request = router.accept(JOB)
        while not client.calls:
            await asyncio.sleep(0)
        request.on_client_disconnected()
        await asyncio.wait_for(router.wait_idle(), 10)
        return router

    router = asyncio.run(run())
    assert sorted(event.outcome for event in module.of(decisions.AttemptEnded)) == [
        Outcome.CANCELLED,
        Outcome.NOT_SENT,
    ]
    assert all(event.closed for event in module.of(decisions.AttemptEnded))
    assert router.counters.abandoned == 1 and not router.counters.answers.total()


def test_attempt_cancelled_before_its_task_first_runs_ends_as_not_sent():
    """Guards requests whose clients disconnect just as an attempt is started.

    Such requests stayed open for ever. The backend's load, the job id and the shutdown of the program depend
    on their end.
    """
    module = ScriptedModule(
        RequestArrived=lambda event: [*send(event), decisions.Cancel(event.request, 0)],
        AttemptEnded=lambda event: [decisions.Refuse(event.request)],
    )
    client = FakeBackendClient()
    [answer], router = run_jobs(module, client, JOB)
    assert answer.verdict is Verdict.REFUSED and client.calls == 0
    [ended] = module.of(decisions.AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT, "no byte was written"
    assert [server.in_flight for server in router.table.backends.values()] == [0]
    assert not router.is_open(JOB.id)


def test_requests_end_whenever_their_clients_disconnect():
    """Clients disconnect after 0 to 7 iterations of the event loop; no request may stay open."""

    async def run():
        module = ScriptedModule(
            RequestArrived=send, ClientGone=lambda event: [decisions.Cancel(event.request, 0), *send(event)]
        )
        router = Router(module, Clock(), BackendTable(lambda entry: FakeBackendClient()))
        router.start(EndpointList((ENTRY,), is_complete=True))
        for iterations in range(8):
            for number in range(4):
                request = router.accept(replace(JOB, id=f"{iterations}-{number}"))
                for _ in range(iterations):
                    await asyncio.sleep(0)
                request.on_client_disconnected()
        async with asyncio.timeout(10):
            await router.wait_idle()
        return router, module

    router, module = asyncio.run(run())
    assert len(module.of(decisions.AttemptEnded)) == 2 * 32, "one end for each of the two sends per request"
    assert [server.in_flight for server in router.table.backends.values()] == [0]
    assert router.counters.abandoned == 32 and not router.open_ids


def test_request_cancelled_before_its_task_first_runs_is_removed():
    async def run():
        router = Router(ScriptedModule(), Clock(), BackendTable(lambda entry: FakeBackendClient()))
        request = router.accept(JOB)
        router.close()
        async with asyncio.timeout(10):
            await router.wait_idle()
        return await request.answered, router

    answer, router = asyncio.run(run())
    assert answer.verdict is Verdict.FAILED and not router.is_open(JOB.id)


def test_second_answer_is_dropped_and_late_attempt_result_is_reported_to_the_module():
    """The attempt has been written by then. One of which nothing was written would be withdrawn."""
    answered = asyncio.Event()

    class LateLink(FakeBackendClient):
        async def attempt(self, job, before_first_byte, on_progress):
            result = await super().attempt(job, before_first_byte, on_progress)
            await answered.wait()
            return result

    def started(event):
        asyncio.get_running_loop().call_soon(answered.set)
        return [decisions.Refuse(event.request), decisions.Fail(event.request)]

    module = ScriptedModule(RequestArrived=send, JobStarted=started)
    [answer], router = run_jobs(module, LateLink(AttemptResult(Outcome.SERVED), [ProgressReport()]), JOB)
    assert answer.verdict is Verdict.REFUSED and router.counters.verdicts[Verdict.REFUSED] == 1
    assert [event.outcome for event in module.of(decisions.AttemptEnded)] == [Outcome.SERVED]


def test_request_fails_after_its_deadline_if_the_module_makes_no_decision():
    module = ScriptedModule(RequestArrived=send)
    [answer], _ = run_jobs(module, FakeBackendClient(), Job("9b", 0, 0, 50_000))
    assert answer.verdict is Verdict.FAILED and answer.is_expired
    assert module.of(decisions.AttemptEnded)[0].outcome is Outcome.TIMED_OUT
    assert module.of(decisions.ClientGone), "the module gets an event, so that it drops the request"


def test_attempt_timeout_ends_the_attempt_before_the_request_deadline():
    module = ScriptedModule(
        RequestArrived=lambda event: [decisions.Send(event.request, ID, timeout=20_000)],
        AttemptEnded=lambda event: [decisions.Fail(event.request)],
    )
    [answer], _ = run_jobs(module, FakeBackendClient(), JOB)
    assert answer.verdict is Verdict.FAILED and not answer.is_expired


def test_module_error_on_one_request_fails_only_that_request(caplog):
    def arrived(event):
        if event.request == 1:
            raise RuntimeError("error in the module")
        return send(event)

    with caplog.at_level(logging.CRITICAL):
        answers, _ = run_jobs(
            ScriptedModule(RequestArrived=arrived), FakeBackendClient(AttemptResult(Outcome.SERVED)), JOB, JOB
        )
    assert [answer.verdict for answer in answers] == [Verdict.FAILED, Verdict.SERVED]


def test_after_a_module_error_the_attempt_in_flight_is_reported_as_cancelled(caplog):
    """Otherwise the module would count the attempt as load on the backend for ever."""

    def started(event):
        raise RuntimeError("error in the module")

    module = ScriptedModule(RequestArrived=send, JobStarted=started)
    with caplog.at_level(logging.CRITICAL):
        [answer], router = run_jobs(module, FakeBackendClient(progress=[ProgressReport()]), JOB)
    [ended] = module.of(decisions.AttemptEnded)
    assert (answer.verdict, ended.outcome, ended.closed) == (Verdict.FAILED, Outcome.CANCELLED, True)
    assert [server.in_flight for server in router.table.backends.values()] == [0]


def test_exception_in_a_backend_client_ends_the_attempt_with_an_error(caplog):
    module = ScriptedModule(RequestArrived=send, AttemptEnded=lambda event: [decisions.Fail(event.request)])
    with caplog.at_level(logging.CRITICAL):
        [answer], _ = run_jobs(module, FakeBackendClient(RuntimeError("error in the client")), JOB)
    assert answer.verdict is Verdict.FAILED and module.of(decisions.AttemptEnded)[0].outcome is Outcome.ERROR


def test_timer_fires_again_after_its_handling_failed(caplog, monkeypatch):
    """The module's periodic work and its subscriptions to lists depend on timers that it sets itself."""
    monkeypatch.setattr("hazelbend.routing.router.TIMER_RETRY_S", 0.01)
    tokens = []

    def fail_once(event):
        tokens.append(event.token)
        if len(tokens) == 1:
            raise RuntimeError("once")
        return [decisions.Refuse(1)]

    script = {"RequestArrived": [decisions.StartTimer(1_000, 7)], "TimerFired": fail_once}
    with caplog.at_level(logging.CRITICAL):
        [answer], _ = run_jobs(ScriptedModule(**script), FakeBackendClient(), JOB)
    assert tokens == [7, 7] and answer.verdict is Verdict.REFUSED


def test_subscription_without_discovery_gets_the_last_known_list():
    module = ScriptedModule(
        RequestArrived=lambda event: [decisions.Subscribe(), decisions.Refuse(event.request)]
    )
    run_jobs(module, FakeBackendClient(), JOB)
    kinds = [event.kind for event in module.of(decisions.MembershipUpdate)]
    assert kinds == [decisions.ListKind.CACHED, decisions.ListKind.FULL]


def test_complete_list_keeps_registered_backends():
    table = BackendTable(lambda entry: FakeBackendClient())
    changes = []
    table.on_accepts_work_changed = lambda backend, accepts: changes.append((backend.entry.host, accepts))
    table.register(Endpoint("box", "", 0, 0, 0, WorkerState.READY, 1.0, 9), FakeBackendClient())
    update = table.apply(EndpointList((ENTRY,), is_complete=True))
    assert {entry.worker for entry in update.entries} == {ID, stable_id("box")}
    update = table.apply(EndpointList((), is_complete=True))
    assert [entry.worker for entry in update.entries] == [stable_id("box")]
    assert table.change_registered("box", WorkerState.GONE).entries[0].state is WorkerState.GONE
    assert changes == [("box", True), ("s-1", True), ("s-1", False), ("box", False)]
    assert not table.backends


def test_manual_drain_survives_absence_from_the_list():
    table = BackendTable(lambda entry: FakeBackendClient())
    table.apply(EndpointList((ENTRY,), is_complete=True))
    table.set_manual_drain("s-1", True)
    table.apply(EndpointList((), is_complete=True))
    [entry] = table.apply(EndpointList((ENTRY,), is_complete=True)).entries
    assert entry.state is WorkerState.DRAINING


def test_stable_id_of_a_host_does_not_change():
    assert stable_id("s-5be2a07c") == 54_393_183_237_098


def test_clock_is_unix_time_and_ignores_steps_of_the_system_clock(monkeypatch):
    import time

    clock = Clock()
    assert abs(clock.now() - time.time_ns() // 1_000) < 1_000_000
    before = clock.now()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert clock.now() >= before


def test_final_deadline_limits_the_timeouts_of_new_requests():
    """Guards a planned restart: a request that is still open when the program is killed gets no answer."""
    module = ScriptedModule(RequestArrived=lambda event: [decisions.Fail(event.request)])

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: FakeBackendClient()))
        await router.accept(JOB).answered
        router.set_final_deadline(router.clock.now() + 200_000)
        for timeout_us in (100_000, 500_000):
            await router.accept(replace(JOB, timeout_us=timeout_us)).answered
        router.set_final_deadline(router.clock.now() - 1)
        await router.accept(JOB).answered

    asyncio.run(run())
    before, short, long, after = (event.client_timeout for event in module.of(decisions.RequestArrived))
    assert (before, short, after) == (500_000, 100_000, 1) and long <= 200_000


def test_attempt_result_reaches_its_request_in_the_same_loop_iteration():
    """Guards CPU and time per job.

    When the task's done callback reported the result, it reached the request one iteration of the event loop
    later. On the benchmark's standard days the client's answer waited for the CPU time of that iteration.
    Counted from `accept`, the request starts in the first iteration, the attempt starts and ends in the
    second, and the request answers in the third.
    """

    async def run():
        router = Router(ScriptedModule(RequestArrived=send), Clock(), BackendTable(lambda entry: client))
        router.start(EndpointList((ENTRY,), is_complete=True))
        request, iterations = router.accept(JOB), 0
        while not request.answered.done():
            await asyncio.sleep(0)
            iterations += 1
        return iterations

    client = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"))
    assert asyncio.run(run()) == 3


def test_reply_is_set_with_the_answer_and_cancelling_it_does_not_affect_the_request():
    """Guards the time to an answer, and the handling of a disconnect.

    A shield of `answered` would be set one iteration of the event loop after it. When a listener's task is
    cancelled because its client disconnects, it cancels its reply, and the request must still get the event.
    """

    async def run():
        router = Router(module, Clock(), BackendTable(lambda entry: client))
        router.start(EndpointList((ENTRY,), is_complete=True))
        served = router.accept(JOB)
        reply = served.reply()
        while not served.answered.done():
            await asyncio.sleep(0)
        in_same_iteration = reply.done()
        client.result = None
        pending = router.accept(replace(JOB, id="9c"))
        pending_reply = pending.reply()
        await asyncio.sleep(0)
        pending_reply.cancel()
        pending.on_client_disconnected()
        await asyncio.wait_for(router.wait_idle(), 10)
        return in_same_iteration, reply.result(), pending.answered.result()

    module = ScriptedModule(RequestArrived=send)
    client = FakeBackendClient(AttemptResult(Outcome.SERVED, b"r"))
    in_same_iteration, answer, other = asyncio.run(run())
    assert in_same_iteration and answer.verdict is Verdict.SERVED
    assert other.verdict is Verdict.FAILED and len(module.of(decisions.ClientGone)) == 1
