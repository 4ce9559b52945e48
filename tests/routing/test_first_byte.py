"""Changes between the decision to send and the first byte, while the connection is being established."""

import asyncio
from dataclasses import replace

import pytest

from hazelbend.decisions import interface as decisions
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import (
    DedupScope,
    Idempotency,
    JobClass,
    Outcome,
    Settings,
    WorkerEntry,
    WorkerState,
)
from hazelbend.routing.ports import Verdict
from tests.routing.test_router import ENTRY, ID, JOB, ScriptedModule, send
from tests.support.model import Model
from tests.support.race_kit import BlockedConnects, ScriptedBackend, router_with_backend, yield_to_event_loop
from tests.support.site_kit import wait_until

LONG = replace(JOB, timeout_us=20_000_000)


def refuse(event):
    return [decisions.Refuse(event.request)]


def change_during_connect(change, module=None, job=LONG):
    """Run one job and make `change` before its connection is established, then run a second job."""

    async def run():
        decision_module = module or ScriptedModule(RequestArrived=send, AttemptEnded=refuse)
        backend = ScriptedBackend()
        async with router_with_backend(decision_module, ENTRY, backend) as site:
            with BlockedConnects(backend.port).installed() as connects:
                request = site.router.accept(job)
                await wait_until(lambda: connects.waiting)
                await change(site, request)
                await yield_to_event_loop()
                connects.release()
                async with asyncio.timeout(10):
                    await site.router.wait_idle()
            again = site.router.accept(replace(LONG, id="again"))
            async with asyncio.timeout(10):
                await again.answered
            return decision_module, site, request

    return asyncio.run(run())


async def drain(site, request):
    site.update_list(replace(site.entry, state=WorkerState.DRAINING))


async def remove(site, request):
    site.update_list(is_complete=True)


async def move(site, request):
    site.update_list(replace(site.entry, dial="127.0.0.1:1"))


async def drain_manually(site, request):
    assert site.router.set_manual_drain(site.entry.host, True)


@pytest.mark.parametrize("change", [drain, remove, move, drain_manually])
def test_backend_that_stops_accepting_work_during_the_connect_gets_no_request(change):
    """Connecting may take up to 1.5 s, which is longer than the grace period of a drain."""
    module, site, request = change_during_connect(change)
    assert request.answered.result().verdict is Verdict.REFUSED
    assert module.of(decisions.AttemptEnded)[0].outcome is Outcome.NOT_SENT
    assert site.backend.requests == []


def test_connection_of_an_attempt_that_may_not_be_sent_is_reused_by_the_next():
    """The check comes before anything is written, so the connection is unused and need not be closed."""

    class RejectsFirstAttempt(ScriptedModule):
        checks = 0

        def may_still_send(self, request, attempt, now):
            self.checks += 1
            return self.checks > 1

    async def change_nothing(site, request):
        pass

    module, site, _request = change_during_connect(
        change_nothing, RejectsFirstAttempt(RequestArrived=send, AttemptEnded=refuse)
    )
    assert [received.field("X-Request-ID") for received in site.backend.requests] == ["again"]
    assert site.backend.connections == 1 and module.checks == 2


async def disconnect_client(site, request):
    request.leave()


def test_client_disconnect_during_the_connect_withdraws_the_attempt():
    """A module that must not cancel attempts does not withdraw this one, so the router has to.

    In a benchmark with cancel not allowed, 13 requests of one day were sent after their clients had
    disconnected, one of them 0.16 s later.
    """
    module, site, _request = change_during_connect(disconnect_client)
    assert [received.field("X-Request-ID") for received in site.backend.requests] == ["again"]
    assert module.of(decisions.AttemptEnded)[0].outcome is Outcome.NOT_SENT
    assert site.router.counters.abandoned == 1


def test_send_queued_before_the_client_disconnects_is_not_written():
    """In the inbox the Send precedes the event that the client has disconnected."""

    async def run():
        module = ScriptedModule()
        backend = ScriptedBackend()
        async with router_with_backend(module, ENTRY, backend) as site:
            request = site.router.accept(LONG)
            await yield_to_event_loop()
            request.inbox.put_nowait(decisions.Send(request.number, ID))
            request.leave()
            async with asyncio.timeout(10):
                await site.router.wait_idle()
            return module, backend

    module, backend = asyncio.run(run())
    assert [event.outcome for event in module.of(decisions.AttemptEnded)] == [Outcome.NOT_SENT]
    assert backend.requests == [] and len(module.of(decisions.ClientGone)) == 1


def test_timeout_header_gives_the_time_that_remains_after_the_connect():
    """Guards against a request header that is built before a slow connect and gives too long a timeout.

    In a benchmark 9 of 24 further attempts gave more time than remained.
    """

    async def wait(site, request):
        while site.router.clock.now() < request.arrived_at + 300_000:
            await asyncio.sleep(0.01)

    _, site, request = change_during_connect(wait, ScriptedModule(RequestArrived=send))
    timeouts_ms = [int(received.field("X-Timeout-Ms")) for received in site.backend.requests]
    assert timeouts_ms[0] <= (request.job.timeout_us - 300_000) // 1_000 < timeouts_ms[1]


def test_attempt_that_times_out_before_it_is_written_ends_as_not_sent():
    """A request of an unsafe class that never left this process can be refused, as it was not executed."""

    async def run():
        module = ScriptedModule(RequestArrived=send, AttemptEnded=refuse)
        backend = ScriptedBackend()
        async with router_with_backend(module, ENTRY, backend) as site:
            with BlockedConnects(backend.port).installed():
                request = site.router.accept(replace(JOB, timeout_us=100_000))
                async with asyncio.timeout(10):
                    await site.router.wait_idle()
        return module, request

    module, request = asyncio.run(run())
    assert module.of(decisions.AttemptEnded)[0].outcome is Outcome.NOT_SENT
    assert request.answered.result().verdict is Verdict.REFUSED


# --- the decision module's check before the first byte ---

KEYED = JobClass(idempotency=Idempotency.KEYED, dedup_scope=DedupScope.ALL, dedup_window=1_000_000)


def model_with_two_workers(settings: Settings, **entry: int) -> Model:
    model = Model(settings)
    model.list_workers(WorkerEntry(1, **entry), WorkerEntry(2, **entry))
    model.now += 20_000_000
    return model


def test_attempt_may_not_be_sent_after_its_worker_restarts_or_its_client_disconnects():
    model = model_with_two_workers(Settings(classes=(JobClass(),)))
    model.arrive(1)
    [job] = model.jobs.values()
    worker = job.attempts[0].worker.worker
    assert model.dispatcher.may_still_send(1, 0, model.now + 1_000)
    model.list_workers(WorkerEntry(worker, started_at=model.now), kind=decisions.ListKind.DELTA)
    assert not model.dispatcher.may_still_send(1, 0, model.now), "the worker's process is a new one, and cold"
    model.leave(1)
    assert not model.dispatcher.may_still_send(1, 0, model.now)


@pytest.mark.parametrize("window", [100_000, 400_000, 1_000_000])
def test_retry_may_not_be_sent_after_its_deduplication_window(window):
    """Guards against a second execution: workers forget an idempotency key some time after its first send."""
    job = replace(KEYED, dedup_window=window)
    model = model_with_two_workers(Settings(classes=(job,)))
    model.arrive(1)
    first = model.now
    model.end_attempt(1, Outcome.RESET)
    assert len(model.jobs[1].attempts) == 2, (
        "a window shorter than the usual pause of a worker still allows a retry"
    )
    assert model.dispatcher.may_still_send(1, 1, first + window // 2)
    assert not model.dispatcher.may_still_send(1, 1, first + window)


def test_second_attempt_may_not_be_sent_while_the_first_is_in_flight_without_hedging():
    model = model_with_two_workers(
        Settings(classes=(JobClass(idempotency=Idempotency.SAFE),), max_attempts=4)
    )
    model.arrive(1)
    request = model.dispatcher.requests[1]
    model.end_attempt(1, Outcome.NOT_SENT)
    request.attempts[0].outcome = None
    assert not model.dispatcher.may_still_send(1, 1, model.now), "the first attempt is in flight"


def dispatcher_with_cold_worker(now: int) -> tuple[Dispatcher, int]:
    """Return a dispatcher with one cold worker that has one attempt, and the present time."""
    settings = Settings(
        classes=(JobClass(idempotency=Idempotency.SAFE),),
        warmup_duration=60_000_000,
        initial_capacity=0.5,
        collapse_multiple=4.0,
    )
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(
        decisions.MembershipUpdate(decisions.ListKind.FULL, (WorkerEntry(1, started_at=now),)), now
    )
    now += 2 * settings.collapse_window
    dispatcher.slow_start.draw(dispatcher.workers.values(), settings, dispatcher.random, now)
    dispatcher.handle(decisions.RequestArrived(1, 5_000_000), now)
    return dispatcher, now


def test_cold_worker_budget_is_spent_in_the_window_of_the_first_byte():
    """Attempts that are sent within a second reach a cold worker together if all their connects are slow."""
    dispatcher, now = dispatcher_with_cold_worker(10**9)
    [worker] = dispatcher.workers.values()
    assert [attempt.at for attempt in worker.cold_attempts] == [now]
    late = now + 900_000
    assert dispatcher.may_still_send(1, 0, late) and [attempt.at for attempt in worker.cold_attempts] == [
        late
    ]
    worker.cold_attempts.append(type(worker.cold_attempts[0])(late, 10**6))
    assert not dispatcher.may_still_send(1, 0, late + 10_000), "another attempt has spent the window's budget"


def test_attempt_that_was_not_sent_spends_no_budget_of_a_cold_worker():
    for outcome in (Outcome.NOT_SENT, Outcome.CONNECT_FAILED):
        dispatcher, now = dispatcher_with_cold_worker(10**9)
        [worker] = dispatcher.workers.values()
        dispatcher.handle(decisions.AttemptEnded(1, 1, 0, outcome, closed=True), now + 1_000)
        assert not worker.cold_attempts
    dispatcher, now = dispatcher_with_cold_worker(10**9)
    [worker] = dispatcher.workers.values()
    dispatcher.handle(decisions.AttemptEnded(1, 1, 0, Outcome.FULL, closed=True), now + 1_000)
    assert worker.cold_attempts, "rejecting an attempt also costs the worker"
