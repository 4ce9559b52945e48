"""The four rules, on generated sequences of events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.decisions import interface as dy
from tests.support.model import Model

CLASSES = (
    dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=400_000),
    dy.JobClass(idempotency=dy.Idempotency.UNSAFE, objective=300_000),
    dy.JobClass(idempotency=dy.Idempotency.KEYED, dedup_scope=dy.DedupScope.ALL, dedup_window=2_000_000),
    dy.JobClass(idempotency=dy.Idempotency.KEYED, dedup_scope=dy.DedupScope.ZONE, dedup_window=2_000_000),
    dy.JobClass(idempotency=dy.Idempotency.KEYED, dedup_scope=dy.DedupScope.CELL, dedup_window=2_000_000),
)
READY = dy.WorkerState.READY
STATES = st.sampled_from([READY, READY, dy.WorkerState.DRAINING, dy.WorkerState.GONE])
LOADS = st.none() | st.builds(
    dy.LoadReport, in_flight=st.floats(0, 40), queued=st.floats(0, 30), free_slots=st.floats(0, 8)
)


def entry(worker: int, state: dy.WorkerState = dy.WorkerState.READY, started_at: int = 0) -> dy.WorkerEntry:
    return dy.WorkerEntry(worker, zone=worker % 2, cell=worker % 3, state=state, started_at=started_at)


STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, len(CLASSES) - 1), st.integers(1, 4_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(dy.Outcome)), LOADS),
    st.tuples(st.just("start"), st.integers(0, 50)),
    st.tuples(st.just("leave"), st.integers(0, 50)),
    st.tuples(st.just("advance"), st.integers(1, 2_000_000)),
    st.tuples(st.just("list"), st.integers(1, 6), STATES, st.booleans()),
    st.tuples(st.just("fail list")),
    st.tuples(st.just("stray")),
)


def play(model: Model, steps: list[tuple]) -> None:
    for step in steps:
        out = model.attempts_in_flight()
        match step:
            case ("arrive", job_class, patience):
                model.arrive(len(model.jobs), patience, job_class)
            case ("end", which, outcome, load) if out:
                request, attempt = out[which % len(out)]
                model.end_attempt(request, outcome, attempt, load)
            case ("start", which) if out:
                model.start_job(*out[which % len(out)])
            case ("leave", which) if model.jobs:
                model.leave(which % len(model.jobs))
            case ("advance", duration):
                model.advance(duration)
            case ("list", worker, state, restarted):
                started_at = model.now if restarted else 0
                model.list_workers(entry(worker, state, started_at), kind=dy.ListKind.DELTA)
            case ("fail list",):
                model.handle_event(dy.MembershipUpdate(dy.ListKind.FAILED))
            case ("stray",):
                # News about what is finished or was never there changes nothing.
                quiet = [
                    dy.AttemptEnded(10**9, 1, 0, dy.Outcome.SERVED, True),
                    dy.JobStarted(10**9, 1, 0),
                    dy.JobProgress(10**9, 1, 3),
                    dy.ClientGone(10**9),
                    dy.TimerFired(10**12),
                    dy.ProbeEnded(10**9, dy.Outcome.SERVED),
                    dy.StreamStarted(10**9, 1, 0),
                ]
                assert all(model.handle_event(event) == [] for event in quiet)
    model.finish()


@given(
    steps=st.lists(STEPS, max_size=60),
    seed=st.integers(0, 2**64 - 1),
    copies=st.booleans(),
    cancel=st.booleans(),
    asked=st.booleans(),
)
def test_rules_hold_whatever_happens(steps, seed, copies, cancel, asked):
    settings = dy.Settings(
        classes=CLASSES,
        hedging_allowed=copies,
        cancel_allowed=cancel,
        list_is_polled=asked,
        probes_allowed=asked,
        reports_by_probe=asked,
        reports_job_starts=True,
        progress_interval=500_000,
        tick=4_000,
    )
    model = Model(settings, seed)
    model.list_workers(*(entry(worker) for worker in range(1, 5)), kind=dy.ListKind.CACHED)
    play(model, steps)


@given(steps=st.lists(STEPS, max_size=40), seed=st.integers(0, 2**64 - 1))
def test_same_events_same_actions(steps, seed):
    histories = []
    for _ in range(2):
        model = Model(dy.Settings(classes=CLASSES, reports_job_starts=True), seed)
        model.list_workers(*(entry(worker) for worker in range(1, 5)), kind=dy.ListKind.CACHED)
        play(model, steps)
        histories.append((model.sends, model.refused, model.failed, model.cancels, model.timers))
    assert histories[0] == histories[1]


@pytest.mark.parametrize("effect", list(dy.Idempotency))
def test_no_worker_at_all_ends_in_a_refusal(effect):
    model = Model(dy.Settings(classes=(dy.JobClass(idempotency=effect),)))
    model.list_workers(kind=dy.ListKind.CACHED)
    model.arrive(1, 2_000_000)
    model.advance(999_000)
    assert not model.refused, "it is held while a worker may still come"
    model.advance(2_000)
    assert model.refused == [1], "late it earns nothing: it is given up, and not kept until its deadline"


def test_held_request_goes_to_the_worker_that_comes():
    model = Model(dy.Settings())
    model.list_workers(kind=dy.ListKind.CACHED)
    model.arrive(1, 2_000_000)
    model.advance(500_000)
    model.list_workers(entry(3), kind=dy.ListKind.DELTA)
    assert [send[1:] for send in model.sends] == [(3, 1)]


@given(
    seed=st.integers(0, 2**32),
    fleet_size=st.integers(1, 5),
    restarted_self=st.booleans(),
    slots=st.integers(1, 6),
)
def test_cold_worker_gets_no_more_than_this_dispatchers_part(seed, fleet_size, restarted_self, slots):
    """Jobs of one length on workers of known size: what a cold one is sent stays within its budget."""
    run, window = 200_000, 1_000_000
    settings = dy.Settings(
        classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=run),),
        fleet_size=fleet_size,
        collapse_multiple=3.0,
        collapse_window=window,
        initial_capacity=0.2,
        warmup_duration=10_000_000,
        reports_job_starts=True,
        reports_inline=True,
    )
    model = Model(settings, seed)
    cold_since = model.now
    workers = [dy.WorkerEntry(1, weight=slots), dy.WorkerEntry(2, weight=slots)]
    if restarted_self:  # the dispatcher comes back with a list that holds a cold worker
        workers.append(dy.WorkerEntry(3, weight=slots, started_at=cold_since))
    model.list_workers(*workers, kind=dy.ListKind.CACHED)
    running: list[tuple[int, int, int]] = []
    for request in range(240):
        if request == 100 and not restarted_self:
            cold_since = model.now
            model.list_workers(dy.WorkerEntry(3, weight=slots, started_at=cold_since), kind=dy.ListKind.DELTA)
        for at, number, attempt in [row for row in running if row[0] <= model.now]:
            running.remove((at, number, attempt))
            load = dy.LoadReport(in_flight=0, queued=0, free_slots=slots)
            model.end_attempt(number, dy.Outcome.SERVED, attempt, load)
        model.arrive(request)
        for number, attempt in model.attempts_in_flight():
            if model.jobs[number].attempts[attempt].sent_at == model.now:
                model.start_job(number, attempt)
                running.append((model.now + run, number, attempt))
        model.advance(run // (3 * slots))
    to_cold = [at for at, worker, _ in model.sends if worker == 3]
    for at in [each for each in to_cold if each - cold_since < 10_000_000]:
        share = 0.2 + 0.8 * (at - cold_since) / 10_000_000
        sent = sum(at - window < other <= at for other in to_cold)
        assert sent <= 3.0 * share * (slots / run) * window / fleet_size


def test_light_hints_do_not_open_the_cold_budget():
    """Hints are rough: a row of jobs said to be tiny must not pass as next to no work at a cold worker."""
    settings = dy.Settings(
        classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=200_000),),
        collapse_multiple=3.0,
        collapse_window=1_000_000,
        initial_capacity=0.2,
        warmup_duration=10_000_000,
    )
    model = Model(settings)
    model.list_workers(dy.WorkerEntry(1, started_at=model.now))
    model.advance(1_000_000)
    for request in range(240):
        model.arrive(request, expected_work=200_000 if request < 200 else 2_000)
        model.advance(10_000)
    for at, _, _ in model.sends:
        share = 0.2 + 0.8 * (at - 1_000_000) / 10_000_000
        assert sum(at - 1_000_000 < other <= at for other, _, _ in model.sends) <= 3.0 * share * 5
