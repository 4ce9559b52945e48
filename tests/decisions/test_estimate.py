"""The job count estimate and the load model, compared with distributions that are computed in another way."""

from __future__ import annotations

from math import exp, factorial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.decisions import interface
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.job_count import MAX_JOB_COUNT, expected_jobs, expected_remaining
from hazelbend.decisions.request import Attempt, Request
from hazelbend.decisions.worker import Worker
from tests.support.model import Model


def poisson(d: int, load: float) -> float:
    return exp(-load) * load**d / factorial(d)


def depart(probabilities: list[float], load: float, floor: int) -> list[float]:
    """The paper's UPDATE without arrivals, where `floor` jobs are known not to have departed."""
    after = [0.0] * len(probabilities)
    for n, chance in enumerate(probabilities):
        left = chance
        for d in range(n - floor):
            after[n - d] += chance * poisson(d, load)
            left -= chance * poisson(d, load)
        after[max(floor, 0) if n >= floor else n] += left
    return after


def create_worker(rate: float = 1e-6) -> Worker:
    worker = Worker(interface.WorkerEntry(1), 1.0)
    worker.rate = rate
    worker.weight = 1.0
    return worker


def send(worker: Worker, at: int, cost: float = 1.0) -> Attempt:
    request = Request(1, interface.JobClass(), 0, 10**9, 10**9, 1.0, 1.0, 0)
    attempt = Attempt(request, 0, worker, at, cost=cost)
    worker.add(attempt)
    return attempt


def create_dispatcher(worker: Worker) -> Dispatcher:
    dispatcher = Dispatcher(interface.Settings(), 1)
    dispatcher.workers[1] = worker
    return dispatcher


@given(count=st.integers(0, MAX_JOB_COUNT), load=st.floats(0, 40))
def test_expected_remaining_is_mean_of_distribution(count, load):
    probabilities = depart([0.0] * count + [1.0], load, 0)
    assert sum(probabilities) == pytest.approx(1.0)
    assert expected_remaining(count, load) == pytest.approx(
        sum(n * p for n, p in enumerate(probabilities)), abs=1e-9
    )


@given(count=st.integers(0, MAX_JOB_COUNT), first=st.floats(0, 20), second=st.floats(0, 20))
def test_expected_remaining_composes_over_time(count, first, second):
    after_both = depart(depart([0.0] * count + [1.0], first, 0), second, 0)
    assert expected_remaining(count, first + second) == pytest.approx(
        sum(n * p for n, p in enumerate(after_both)), abs=1e-9
    )


@given(peer_jobs=st.integers(0, 12), own=st.integers(0, 8), elapsed=st.integers(0, 10_000_000))
def test_expected_jobs_matches_paper_with_own_jobs_as_lower_bound(peer_jobs, own, elapsed):
    worker = create_worker()
    for _ in range(own):
        send(worker, 0)
    worker.peer_jobs = peer_jobs
    share = peer_jobs / (peer_jobs + own) if peer_jobs else 0.0
    probabilities = depart([0.0] * (peer_jobs + own) + [1.0], 1e-6 * share * elapsed, own)
    mean = sum(n * p for n, p in enumerate(probabilities))
    assert expected_jobs(worker, elapsed, 1e-6) == pytest.approx(mean, abs=1e-9)


@given(peer_jobs=st.integers(0, MAX_JOB_COUNT), level=st.floats(0.1, 15), slots=st.integers(1, 8))
def test_expected_jobs_goes_from_report_to_usual_level_with_age(peer_jobs, level, slots):
    """Guards against herding: once all jobs of an old report had departed, its worker seemed empty to all."""
    worker = create_worker()
    worker.peer_jobs, worker.concurrency, worker.background_load = peer_jobs, float(slots), level / 1e-6
    assert expected_jobs(worker, 0, 1e-6) == pytest.approx(peer_jobs)
    assert expected_jobs(worker, 10**9, 1e-6) == pytest.approx(level, rel=1e-3)


def test_free_slots_do_not_increase_departures():
    """Two jobs at a worker with eight slots depart no faster than at a worker with two slots."""
    wide, narrow = create_worker(8e-6), create_worker(2e-6)
    wide.peer_jobs, wide.concurrency, narrow.peer_jobs, narrow.concurrency = 2, 8.0, 2, 2.0
    assert expected_jobs(wide, 500_000, 8e-6) == pytest.approx(expected_jobs(narrow, 500_000, 2e-6))


def test_peer_load_level_is_that_of_machine_kind_until_worker_has_reported():
    dispatcher = Dispatcher(interface.Settings(), 1)
    entries = [interface.WorkerEntry(worker, machine_kind=worker % 2) for worker in range(8)]
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, tuple(entries)), 1_000)
    for worker in (0, 2, 4):
        dispatcher.load_model.apply_report(
            dispatcher.workers[worker], interface.LoadReport(8.0, 4.0, 0.0), 2_000
        )
    dispatcher.load_model.apply_report(dispatcher.workers[1], interface.LoadReport(0.0, 0.0, 4.0), 2_000)
    for worker in dispatcher.workers.values():
        dispatcher.load_model.update_rate(worker, 3_000)
    level = {number: worker.background_load * worker.rate for number, worker in dispatcher.workers.items()}
    assert level[6] > 1.0
    assert level[3] == 0.0


@pytest.mark.parametrize("weights_enabled", [True, False])
def test_wrong_run_time_guess_does_not_make_idle_worker_seem_full(weights_enabled):
    """Guards against a load level in units of a guessed rate.

    The level of the first report stood for 26 jobs that did not exist once runs took a thousandth of the
    guessed time, and requests for a single idle worker were rejected after two seconds.
    """
    settings = interface.Settings(
        classes=(interface.JobClass(objective=2_000_000),), weights_enabled=weights_enabled
    )
    model = Model(settings)
    model.list_workers(interface.WorkerEntry(1))
    worker = model.dispatcher.workers[1]
    for request in range(30):
        model.arrive(request)
        model.advance(2_000)
        model.end_attempt(
            request,
            interface.Outcome.SERVED,
            load=interface.LoadReport(in_flight=1.0, queued=0.0, free_slots=3.0),
        )
        model.advance(2_000_000)
        assert worker.background_load * worker.rate < 2.0, "a report of one job counts as about one job"
        assert expected_jobs(worker, model.now, worker.rate) < worker.concurrency
    assert not model.refused


def test_worker_without_reports_is_estimated_as_loaded_as_its_kind():
    """Guards against a default size of one job for workers without reports, which made them seem emptier than
    all others.

    With 200 dispatchers, each of which has no report of most workers, a scenario with a network cut lost 0.18
    of its score by this.
    """
    model = Model(interface.Settings(classes=(interface.JobClass(objective=100_000),), weights_enabled=False))
    model.list_workers(*[interface.WorkerEntry(number) for number in range(4)])
    for request in range(40):
        model.arrive(request)
        model.advance(100_000)
        if model.jobs[request].attempts[0].worker.worker != 3:
            report = interface.LoadReport(in_flight=8.0, queued=0.0, free_slots=0.0)
            model.end_attempt(request, interface.Outcome.SERVED, load=report)
    workers = model.dispatcher.workers
    usual = [worker.background_load * worker.rate for worker in workers.values()]
    model.dispatcher.load_model.update_rate(workers[3], model.now)
    assert workers[3].slots == 0
    assert workers[3].background_load * workers[3].rate > 0.7 * min(usual[:3]) > 4.0


def test_own_attempt_included_in_report_is_not_counted_twice():
    worker = create_worker()
    send(worker, 100)
    create_dispatcher(worker).load_model.apply_report(worker, interface.LoadReport(in_flight=1.0), 1_000_000)
    assert (worker.peer_jobs, expected_jobs(worker, 1_000_000, 1e-6)) == (0, 1.0)


def test_report_age_is_learnt_from_own_jobs():
    """Reports lag by 800 ms. If their age were ignored, own attempts sent since would count as included."""
    worker = create_worker()
    dispatcher = create_dispatcher(worker)
    in_flight: list[Attempt] = []
    for step in range(401):  # the last step brings a report
        now = step * 100_000
        if step % 20 < 8:
            in_flight.append(send(worker, now))
        elif in_flight:
            worker.remove(in_flight.pop(0), now, 10**9)
        if step % 5 == 0:
            seen = worker.own_jobs.at(now - 800_000)
            dispatcher.load_model.apply_report(
                worker, interface.LoadReport(in_flight=seen + 3.0, free_slots=step / 1e6), now
            )
    assert now - worker.peer_jobs_at == pytest.approx(800_000, abs=100_001)


def test_own_load_counts_jobs_by_work():
    worker = create_worker()
    attempt = send(worker, 0, cost=3.5)
    assert expected_jobs(worker, 0, 1e-6) == 3.5
    worker.remove(attempt, 10, 10**9)
    assert expected_jobs(worker, 10, 1e-6) == 0.0


def test_timed_out_attempt_counts_until_next_report():
    settings = interface.Settings(classes=(interface.JobClass(idempotency=interface.Idempotency.UNSAFE),))
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, (interface.WorkerEntry(1),)), 1_000)
    dispatcher.handle(interface.RequestArrived(5, 1_000_000), 2_000)
    dispatcher.handle(interface.AttemptEnded(5, 1, 0, interface.Outcome.TIMED_OUT), 1_002_000)
    worker = dispatcher.workers[1]
    assert expected_jobs(worker, 1_002_000, worker.rate) == pytest.approx(1.0)
    dispatcher.load_model.apply_report(worker, interface.LoadReport(in_flight=0.0), 2_000_000)
    assert expected_jobs(worker, 2_000_000, worker.rate) == 0.0


def test_warming_up_worker_is_not_estimated_as_loaded_as_its_kind():
    """Guards against new workers that stayed unused after a deploy while queued requests expired."""
    settings = interface.Settings(warmup_duration=10_000_000, initial_capacity=0.2)
    dispatcher, now = Dispatcher(settings, 1), 10**9
    entries = (interface.WorkerEntry(1), interface.WorkerEntry(2), interface.WorkerEntry(3, started_at=now))
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.CACHED, entries), now)
    for worker in (1, 2):
        dispatcher.load_model.apply_report(
            dispatcher.workers[worker], interface.LoadReport(9.0, 5.0, 0.0), now
        )
    for worker in dispatcher.workers.values():
        dispatcher.load_model.update_rate(worker, now)
    assert dispatcher.workers[3].background_load == 0.0 < dispatcher.workers[2].background_load
    dispatcher.slow_start.draw(
        dispatcher.workers.values(), dispatcher.settings, dispatcher.random, now + 10_000_000
    )
    dispatcher.load_model.update_rate(dispatcher.workers[3], now + 10_000_000)
    assert dispatcher.workers[3].background_load > 0.0


@given(
    st.lists(st.tuples(st.integers(0, 40), st.booleans(), st.integers(0, 5)), max_size=400),
    st.lists(st.integers(0, 300), min_size=1),
)
def test_own_job_history_matches_scan_of_all_jobs(moves, ages):
    """Compares the count history with a scan of all jobs, and checks that it keeps enough history."""
    worker, spans, in_flight, now, memory = create_worker(), [], [], 0, 300
    for step, ends, which in moves:
        now += step
        if ends and in_flight:
            attempt = in_flight.pop(which % len(in_flight))
            worker.remove(attempt, now, memory)
            spans.append((attempt.sent_at, now))
        else:
            in_flight.append(send(worker, now))
    spans += [(attempt.sent_at, 10**9) for attempt in in_flight]
    for age in ages:
        at = now - age
        assert worker.own_jobs.at(at) == sum(sent <= at < ended for sent, ended in spans)


def test_own_job_history_is_bounded():
    """Guards the cost of a report, which grew with the number of jobs in the last seconds."""
    worker = create_worker()
    for now in range(0, 10_000_000, 1_000):
        worker.remove(send(worker, now), now + 500, 100_000)
    assert len(worker.own_jobs.times) <= 2 * (2 * 100 + 64)
