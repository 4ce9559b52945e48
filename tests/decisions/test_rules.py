"""The rules of the decision module (checked by `Model`), on generated sequences of events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.decisions import interface
from tests.support.model import Model

CLASSES = (
    interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=400_000),
    interface.JobClass(idempotency=interface.Idempotency.UNSAFE, objective=300_000),
    interface.JobClass(
        idempotency=interface.Idempotency.KEYED, dedup_scope=interface.DedupScope.ALL, dedup_window=2_000_000
    ),
    interface.JobClass(
        idempotency=interface.Idempotency.KEYED, dedup_scope=interface.DedupScope.ZONE, dedup_window=2_000_000
    ),
    interface.JobClass(
        idempotency=interface.Idempotency.KEYED, dedup_scope=interface.DedupScope.CELL, dedup_window=2_000_000
    ),
)
READY = interface.WorkerState.READY
STATES = st.sampled_from([READY, READY, interface.WorkerState.DRAINING, interface.WorkerState.GONE])
LOADS = st.none() | st.builds(
    interface.LoadReport, in_flight=st.floats(0, 40), queued=st.floats(0, 30), free_slots=st.floats(0, 8)
)


def entry(
    worker: int, state: interface.WorkerState = interface.WorkerState.READY, started_at: int = 0
) -> interface.WorkerEntry:
    return interface.WorkerEntry(worker, zone=worker % 2, cell=worker % 3, state=state, started_at=started_at)


STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, len(CLASSES) - 1), st.integers(1, 4_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(interface.Outcome)), LOADS),
    st.tuples(st.just("start"), st.integers(0, 50)),
    st.tuples(st.just("leave"), st.integers(0, 50)),
    st.tuples(st.just("advance"), st.integers(1, 2_000_000)),
    st.tuples(st.just("list"), st.integers(1, 6), STATES, st.booleans()),
    st.tuples(st.just("fail list")),
    st.tuples(st.just("stray")),
)


def apply_steps(model: Model, steps: list[tuple]) -> None:
    for step in steps:
        out = model.attempts_in_flight()
        match step:
            case ("arrive", job_class, client_timeout):
                model.arrive(len(model.jobs), client_timeout, job_class)
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
                model.list_workers(entry(worker, state, started_at), kind=interface.ListKind.DELTA)
            case ("fail list",):
                model.handle_event(interface.MembershipUpdate(interface.ListKind.FAILED))
            case ("stray",):
                # Events of unknown or finished requests, workers and timers must be ignored.
                ignored_events = [
                    interface.AttemptEnded(10**9, 1, 0, interface.Outcome.SERVED, True),
                    interface.JobStarted(10**9, 1, 0),
                    interface.JobProgress(10**9, 1, 3),
                    interface.ClientGone(10**9),
                    interface.TimerFired(10**12),
                    interface.ProbeEnded(10**9, interface.Outcome.SERVED),
                    interface.StreamStarted(10**9, 1, 0),
                ]
                assert all(model.handle_event(event) == [] for event in ignored_events)
    model.finish()


@given(
    steps=st.lists(STEPS, max_size=60),
    seed=st.integers(0, 2**64 - 1),
    hedging=st.booleans(),
    cancel=st.booleans(),
    polling=st.booleans(),
)
def test_rules_hold_for_generated_event_sequences(steps, seed, hedging, cancel, polling):
    settings = interface.Settings(
        classes=CLASSES,
        hedging_allowed=hedging,
        cancel_allowed=cancel,
        list_is_polled=polling,
        probes_allowed=polling,
        reports_by_probe=polling,
        reports_job_starts=True,
        progress_interval=500_000,
        tick=4_000,
    )
    model = Model(settings, seed)
    model.list_workers(*(entry(worker) for worker in range(1, 5)), kind=interface.ListKind.CACHED)
    apply_steps(model, steps)


@given(steps=st.lists(STEPS, max_size=40), seed=st.integers(0, 2**64 - 1))
def test_same_seed_and_events_give_same_actions(steps, seed):
    histories = []
    for _ in range(2):
        model = Model(interface.Settings(classes=CLASSES, reports_job_starts=True), seed)
        model.list_workers(*(entry(worker) for worker in range(1, 5)), kind=interface.ListKind.CACHED)
        apply_steps(model, steps)
        histories.append((model.sends, model.refused, model.failed, model.cancels, model.timers))
    assert histories[0] == histories[1]


@pytest.mark.parametrize("idempotency", list(interface.Idempotency))
def test_request_without_workers_is_rejected_at_its_objective(idempotency):
    model = Model(interface.Settings(classes=(interface.JobClass(idempotency=idempotency),)))
    model.list_workers(kind=interface.ListKind.CACHED)
    model.arrive(1, 2_000_000)
    model.advance(999_000)
    assert not model.refused, "the request is queued while a worker may still become available"
    model.advance(2_000)
    assert model.refused == [1], "a late answer earns nothing: rejected at the objective, not at the deadline"


def test_queued_request_is_sent_to_new_worker():
    model = Model(interface.Settings())
    model.list_workers(kind=interface.ListKind.CACHED)
    model.arrive(1, 2_000_000)
    model.advance(500_000)
    model.list_workers(entry(3), kind=interface.ListKind.DELTA)
    assert [send[1:] for send in model.sends] == [(3, 1)]


@given(
    seed=st.integers(0, 2**32),
    fleet_size=st.integers(1, 5),
    restarted_self=st.booleans(),
    slots=st.integers(1, 6),
)
def test_warming_up_worker_gets_at_most_this_dispatchers_budget_share(
    seed, fleet_size, restarted_self, slots
):
    """Jobs of equal length at workers of known size: sends to a warming-up worker stay within the budget."""
    run, window = 200_000, 1_000_000
    settings = interface.Settings(
        classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=run),),
        fleet_size=fleet_size,
        collapse_multiple=3.0,
        collapse_window=window,
        initial_capacity=0.2,
        warmup_duration=10_000_000,
        reports_job_starts=True,
        reports_inline=True,
    )
    model = Model(settings, seed)
    started_at = model.now
    workers = [interface.WorkerEntry(1, weight=slots), interface.WorkerEntry(2, weight=slots)]
    if restarted_self:  # the dispatcher restarts with a list that has a warming-up worker
        workers.append(interface.WorkerEntry(3, weight=slots, started_at=started_at))
    model.list_workers(*workers, kind=interface.ListKind.CACHED)
    running: list[tuple[int, int, int]] = []
    for request in range(240):
        if request == 100 and not restarted_self:
            started_at = model.now
            model.list_workers(
                interface.WorkerEntry(3, weight=slots, started_at=started_at), kind=interface.ListKind.DELTA
            )
        for at, number, attempt in [row for row in running if row[0] <= model.now]:
            running.remove((at, number, attempt))
            load = interface.LoadReport(in_flight=0, queued=0, free_slots=slots)
            model.end_attempt(number, interface.Outcome.SERVED, attempt, load)
        model.arrive(request)
        for number, attempt in model.attempts_in_flight():
            if model.jobs[number].attempts[attempt].sent_at == model.now:
                model.start_job(number, attempt)
                running.append((model.now + run, number, attempt))
        model.advance(run // (3 * slots))
    warmup_sends = [at for at, worker, _ in model.sends if worker == 3]
    for at in [sent for sent in warmup_sends if sent - started_at < 10_000_000]:
        share = 0.2 + 0.8 * (at - started_at) / 10_000_000
        sent = sum(at - window < other <= at for other in warmup_sends)
        assert sent <= 3.0 * share * (slots / run) * window / fleet_size


def test_low_work_hints_do_not_bypass_slow_start_budget():
    """Work hints are rough: many jobs with tiny hints must not count as almost no work during warm-up."""
    settings = interface.Settings(
        classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=200_000),),
        collapse_multiple=3.0,
        collapse_window=1_000_000,
        initial_capacity=0.2,
        warmup_duration=10_000_000,
    )
    model = Model(settings)
    model.list_workers(interface.WorkerEntry(1, started_at=model.now))
    model.advance(1_000_000)
    for request in range(240):
        model.arrive(request, expected_work=200_000 if request < 200 else 2_000)
        model.advance(10_000)
    for at, _, _ in model.sends:
        share = 0.2 + 0.8 * (at - 1_000_000) / 10_000_000
        assert sum(at - 1_000_000 < other <= at for other, _, _ in model.sends) <= 3.0 * share * 5
