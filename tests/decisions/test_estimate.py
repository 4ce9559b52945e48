"""The estimate against distributions worked out in another way."""

from __future__ import annotations

from math import exp, factorial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.decisions import interface as dy
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.job_count import MAX_JOB_COUNT, drained, expected_jobs
from hazelbend.decisions.request import Attempt, Request
from hazelbend.decisions.worker import Worker
from tests.support.model import Model


def poisson(d: int, load: float) -> float:
    return exp(-load) * load**d / factorial(d)


def update(chances: list[float], load: float, floor: int) -> list[float]:
    """The paper's UPDATE with no arrival, in which `floor` jobs are known not to have left."""
    after = [0.0] * len(chances)
    for n, chance in enumerate(chances):
        left = chance
        for d in range(n - floor):
            after[n - d] += chance * poisson(d, load)
            left -= chance * poisson(d, load)
        after[max(floor, 0) if n >= floor else n] += left
    return after


def make_worker(rate: float = 1e-6) -> Worker:
    worker = Worker(dy.WorkerEntry(1), 1.0)
    worker.rate = rate
    worker.weight = 1.0
    return worker


def send(worker: Worker, at: int, cost: float = 1.0) -> Attempt:
    request = Request(1, dy.JobClass(), 0, 10**9, 10**9, 1.0, 1.0, 0)
    attempt = Attempt(request, 0, worker, at, cost=cost)
    worker.add(attempt)
    return attempt


def make_dispatcher(worker: Worker) -> Dispatcher:
    dispatcher = Dispatcher(dy.Settings(), 1)
    dispatcher.workers[1] = worker
    return dispatcher


@given(count=st.integers(0, MAX_JOB_COUNT), load=st.floats(0, 40))
def test_short_sum_is_the_mean_of_the_distribution(count, load):
    chances = update([0.0] * count + [1.0], load, 0)
    assert sum(chances) == pytest.approx(1.0)
    assert drained(count, load) == pytest.approx(sum(n * p for n, p in enumerate(chances)), abs=1e-9)


@given(count=st.integers(0, MAX_JOB_COUNT), first=st.floats(0, 20), second=st.floats(0, 20))
def test_draining_composes(count, first, second):
    twice = update(update([0.0] * count + [1.0], first, 0), second, 0)
    assert drained(count, first + second) == pytest.approx(sum(n * p for n, p in enumerate(twice)), abs=1e-9)


@given(others=st.integers(0, 12), own=st.integers(0, 8), elapsed=st.integers(0, 10_000_000))
def test_estimate_is_the_papers_with_own_unfinished_jobs_as_floor(others, own, elapsed):
    worker = make_worker()
    for _ in range(own):
        send(worker, 0)
    worker.peer_jobs = others
    share = others / (others + own) if others else 0.0
    chances = update([0.0] * (others + own) + [1.0], 1e-6 * share * elapsed, own)
    mean = sum(n * p for n, p in enumerate(chances))
    assert expected_jobs(worker, elapsed, 1e-6) == pytest.approx(mean, abs=1e-9)


@given(others=st.integers(0, MAX_JOB_COUNT), level=st.floats(0.1, 15), slots=st.integers(1, 8))
def test_an_old_report_says_nothing_and_a_new_one_all(others, level, slots):
    """Guards against the herd on workers whose old reports, drained to nothing, made them look empty."""
    worker = make_worker()
    worker.peer_jobs, worker.concurrency, worker.background_load = others, float(slots), level / 1e-6
    assert expected_jobs(worker, 0, 1e-6) == pytest.approx(others)
    assert expected_jobs(worker, 10**9, 1e-6) == pytest.approx(level, rel=1e-3)


def test_free_slots_let_no_job_go():
    """Two jobs on a worker of eight slots leave no faster than two run."""
    wide, narrow = make_worker(8e-6), make_worker(2e-6)
    wide.peer_jobs, wide.concurrency, narrow.peer_jobs, narrow.concurrency = 2, 8.0, 2, 2.0
    assert expected_jobs(wide, 500_000, 8e-6) == pytest.approx(expected_jobs(narrow, 500_000, 2e-6))


def test_the_usual_level_is_that_of_the_kind_until_the_worker_has_told_its_own():
    dispatcher = Dispatcher(dy.Settings(), 1)
    entries = [dy.WorkerEntry(worker, machine_kind=worker % 2) for worker in range(8)]
    dispatcher.handle(dy.MembershipUpdate(dy.ListKind.FULL, tuple(entries)), 1_000)
    for worker in (0, 2, 4):
        dispatcher.load_model.apply_report(dispatcher.workers[worker], dy.LoadReport(8.0, 4.0, 0.0), 2_000)
    dispatcher.load_model.apply_report(dispatcher.workers[1], dy.LoadReport(0.0, 0.0, 4.0), 2_000)
    for worker in dispatcher.workers.values():
        dispatcher.load_model.update_rate(worker, 3_000)
    level = {each: worker.background_load * worker.rate for each, worker in dispatcher.workers.items()}
    assert level[6] > 1.0
    assert level[3] == 0.0


@pytest.mark.parametrize("weights_tell", [True, False])
def test_a_guess_of_how_long_jobs_run_does_not_fill_an_idle_server(weights_tell):
    """The level of the first report, kept by a rate of the first guess, stood for 26 jobs that nobody had
    sent once runs of a thousandth of it had come: after two idle seconds a lone server was refused."""
    settings = dy.Settings(classes=(dy.JobClass(objective=2_000_000),), weights_enabled=weights_tell)
    model = Model(settings)
    model.list_workers(dy.WorkerEntry(1))
    worker = model.dispatcher.workers[1]
    for request in range(30):
        model.arrive(request)
        model.advance(2_000)
        model.end_attempt(
            request, dy.Outcome.SERVED, load=dy.LoadReport(in_flight=1.0, queued=0.0, free_slots=3.0)
        )
        model.advance(2_000_000)
        assert worker.background_load * worker.rate < 2.0, "a report of one job stands for no more"
        assert expected_jobs(worker, model.now, worker.rate) < worker.concurrency
    assert not model.refused


def test_one_that_has_said_nothing_is_taken_to_be_as_full_as_its_kind():
    """Given the size of one job it seemed emptier than all that had spoken: with 200 dispatchers, to each of
    which most servers have said nothing yet, the day of a cut lost 0.18 of its score by it."""
    model = Model(dy.Settings(classes=(dy.JobClass(objective=100_000),), weights_enabled=False))
    model.list_workers(*[dy.WorkerEntry(number) for number in range(4)])
    for request in range(40):
        model.arrive(request)
        model.advance(100_000)
        if model.jobs[request].attempts[0].worker.worker != 3:
            report = dy.LoadReport(in_flight=8.0, queued=0.0, free_slots=0.0)
            model.end_attempt(request, dy.Outcome.SERVED, load=report)
    workers = model.dispatcher.workers
    usual = [worker.background_load * worker.rate for worker in workers.values()]
    model.dispatcher.load_model.update_rate(workers[3], model.now)
    assert workers[3].slots == 0
    assert workers[3].background_load * workers[3].rate > 0.7 * min(usual[:3]) > 4.0


def test_a_send_that_a_report_holds_is_not_counted_twice():
    worker = make_worker()
    send(worker, 100)
    make_dispatcher(worker).load_model.apply_report(worker, dy.LoadReport(in_flight=1.0), 1_000_000)
    assert (worker.peer_jobs, expected_jobs(worker, 1_000_000, 1e-6)) == (0, 1.0)


def test_age_of_reports_is_learned_from_own_jobs():
    """Reports that lag by 800 ms: without the age, each would take own sends made since as held in it."""
    worker = make_worker()
    dispatcher = make_dispatcher(worker)
    out: list[Attempt] = []
    for step in range(401):  # the last step brings a report
        now = step * 100_000
        if step % 20 < 8:
            out.append(send(worker, now))
        elif out:
            worker.remove(out.pop(0), now, 10**9)
        if step % 5 == 0:
            seen = worker.own_jobs.at(now - 800_000)
            dispatcher.load_model.apply_report(
                worker, dy.LoadReport(in_flight=seen + 3.0, free_slots=step / 1e6), now
            )
    assert now - worker.peer_jobs_at == pytest.approx(800_000, abs=100_001)


def test_heavy_and_wide_jobs_count_by_their_work():
    worker = make_worker()
    attempt = send(worker, 0, cost=3.5)
    assert expected_jobs(worker, 0, 1e-6) == 3.5
    worker.remove(attempt, 10, 10**9)
    assert expected_jobs(worker, 10, 1e-6) == 0.0


def test_timed_out_send_stays_until_a_later_report():
    settings = dy.Settings(classes=(dy.JobClass(idempotency=dy.Idempotency.UNSAFE),))
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(dy.MembershipUpdate(dy.ListKind.FULL, (dy.WorkerEntry(1),)), 1_000)
    dispatcher.handle(dy.RequestArrived(5, 1_000_000), 2_000)
    dispatcher.handle(dy.AttemptEnded(5, 1, 0, dy.Outcome.TIMED_OUT), 1_002_000)
    worker = dispatcher.workers[1]
    assert expected_jobs(worker, 1_002_000, worker.rate) == pytest.approx(1.0)
    dispatcher.load_model.apply_report(worker, dy.LoadReport(in_flight=0.0), 2_000_000)
    assert expected_jobs(worker, 2_000_000, worker.rate) == 0.0


def test_a_cold_worker_is_not_taken_to_be_as_full_as_the_warm_of_its_kind():
    """Taken so, successors stood unused after a deploy while requests waited here and were given up."""
    settings = dy.Settings(warmup_duration=10_000_000, initial_capacity=0.2)
    dispatcher, now = Dispatcher(settings, 1), 10**9
    entries = (dy.WorkerEntry(1), dy.WorkerEntry(2), dy.WorkerEntry(3, started_at=now))
    dispatcher.handle(dy.MembershipUpdate(dy.ListKind.CACHED, entries), now)
    for worker in (1, 2):
        dispatcher.load_model.apply_report(dispatcher.workers[worker], dy.LoadReport(9.0, 5.0, 0.0), now)
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
def test_own_jobs_at_a_time_gone_by_are_those_sent_by_then_and_not_yet_ended(moves, ages):
    """The count that is kept in steps, against a look at every job; and it forgets no more than it may."""
    worker, spans, out, now, memory = make_worker(), [], [], 0, 300
    for step, ends, which in moves:
        now += step
        if ends and out:
            attempt = out.pop(which % len(out))
            worker.remove(attempt, now, memory)
            spans.append((attempt.sent_at, now))
        else:
            out.append(send(worker, now))
    spans += [(each.sent_at, 10**9) for each in out]
    for age in ages:
        at = now - age
        assert worker.own_jobs.at(at) == sum(sent <= at < ended for sent, ended in spans)


def test_own_jobs_are_remembered_in_bounded_room():
    """Guards the cost of a report, which grew with all the jobs of the last seconds."""
    worker = make_worker()
    for now in range(0, 10_000_000, 1_000):
        worker.remove(send(worker, now), now + 500, 100_000)
    assert len(worker.own_jobs.times) <= 2 * (2 * 100 + 64)
