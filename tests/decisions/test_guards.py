"""The guards of the rules and of the charges, each in the smallest play that goes wrong without it."""

from __future__ import annotations

import pytest

from hazelbend.decisions import interface as dy
from hazelbend.decisions.health import suspect
from tests.support.model import Model

SAFE = dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=200_000, late_value_fraction=0.5)
EMPTY = dy.LoadReport(0.0, 0.0, 4.0)


def two_workers(job: dy.JobClass = SAFE, **settings: object) -> Model:
    model = Model(dy.Settings(classes=(job,), reports_job_starts=True, **settings))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    return model


def workers_of(model: Model) -> list[int]:
    return [worker for _, worker, _ in model.sends]


def test_nothing_new_goes_to_a_draining_worker():
    model = two_workers()
    draining = dy.WorkerEntry(1, state=dy.WorkerState.DRAINING)
    model.list_workers(draining, kind=dy.ListKind.DELTA)
    for request in range(8):
        model.arrive(request)
        model.end_attempt(request, dy.Outcome.SERVED)
    assert workers_of(model) == [2] * 8


def test_a_dispatcher_just_started_sends_nothing_to_a_cold_worker_for_one_window():
    """What it sent before a restart of its own may have spent the budget."""
    model = Model(
        dy.Settings(classes=(SAFE,), collapse_window=1_000_000, collapse_multiple=50.0, initial_capacity=0.5)
    )
    model.list_workers(dy.WorkerEntry(1, started_at=model.now), kind=dy.ListKind.CACHED)
    model.arrive(1)
    model.advance(990_000)
    assert model.sends == []
    model.advance(1_000_000)
    assert workers_of(model) == [1]


@pytest.mark.parametrize(("after", "attempts"), [(500_000, 2), (1_900_000, 1)])
def test_a_keyed_request_is_sent_again_only_while_its_key_is_surely_remembered(after, attempts):
    job = dy.JobClass(
        idempotency=dy.Idempotency.KEYED, objective=200_000, late_value_fraction=0.5, dedup_window=2_000_000
    )
    model = two_workers(job)
    model.arrive(1, client_timeout=8_000_000, key=5)
    model.start_job(1)
    model.advance(after)
    model.end_attempt(1, dy.Outcome.RESET)
    model.advance(100_000)
    assert len(model.sends) == attempts


@pytest.mark.parametrize("copies", [False, True])
def test_a_second_copy_goes_out_only_where_the_settings_allow_it(copies):
    model = two_workers(hedging_allowed=copies)
    model.arrive(1)
    model.advance(4_000_000)
    assert (len(model.sends) > 1) == copies


def test_a_class_goes_only_to_the_kind_of_machine_that_runs_it():
    model = Model(dy.Settings(classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE, machine_kind=1),)))
    model.list_workers(dy.WorkerEntry(1, machine_kind=0, weight=9.0), dy.WorkerEntry(2, machine_kind=1))
    for request in range(6):
        model.arrive(request)
    assert set(workers_of(model)) == {2}


def test_copies_still_out_are_called_back_where_that_is_allowed():
    model = two_workers(hedging_allowed=True, cancel_allowed=True)
    model.arrive(1)
    model.advance(3_000_000)
    assert len(model.jobs[1].attempts) > 1
    model.end_attempt(1, dy.Outcome.SERVED, 1)
    assert len(model.cancels) == len(model.jobs[1].attempts) - 1


def test_a_request_answered_while_it_asks_is_not_sent():
    model = Model(dy.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    model.arrive(1)
    model.leave(1)
    for worker in model.probes:
        model.handle_event(dy.ProbeEnded(worker, dy.Outcome.SERVED, 1_000, EMPTY))
    assert model.sends == []


def test_a_process_started_anew_holds_nothing_and_is_trusted():
    model = two_workers()
    worker = model.dispatcher.workers[1]
    model.dispatcher.load_model.apply_report(worker, dy.LoadReport(12.0, 8.0, 0.0), model.now)
    suspect(worker, model.dispatcher.random, model.now)
    model.list_workers(dy.WorkerEntry(1, started_at=model.now), kind=dy.ListKind.DELTA)
    assert (worker.peer_jobs, worker.backoff_until) == (0, 0)


def test_a_worker_that_turned_work_away_is_taken_for_full():
    model = two_workers()
    model.arrive(1)
    first = workers_of(model)[0]
    model.end_attempt(1, dy.Outcome.FULL)
    for request in range(2, 6):
        model.arrive(request)
    assert workers_of(model) == [first] + [3 - first] * 5


def test_a_crossing_and_a_connection_cost_what_a_delay_as_dear_would():
    model = Model(dy.Settings(classes=(SAFE,), cross_zone_charge=0.05))
    model.list_workers(dy.WorkerEntry(1, zone=1, weight=1.02), dy.WorkerEntry(2, zone=0, weight=1.0))
    model.arrive(1)
    assert workers_of(model) == [2], "a little faster is not worth a crossing"
    model = Model(dy.Settings(classes=(SAFE,), handshake_charge=0.05))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    for request in range(6):
        model.arrive(request)
        model.end_attempt(request, dy.Outcome.SERVED, load=EMPTY)
    assert len(set(workers_of(model))) == 1, "the open connection is used again"


def test_a_worker_under_trial_gets_one_job_at_a_time():
    """Guards against flooding a worker on its return: the next trial waits for a sign or its turn."""
    model = two_workers()
    for worker in model.dispatcher.workers.values():
        suspect(worker, model.dispatcher.random, model.now)
    model.advance(1_300_000)
    for request in range(6):
        model.arrive(request)
    assert sorted(workers_of(model)) == [1, 2]


@pytest.mark.parametrize("turn", range(20))
def test_the_pick_among_those_asked_is_the_least_expected_delay_of_all(turn):
    """With few workers all are drawn: the shortened pick must find what a look at every worker finds."""
    model = Model(dy.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True), seed=turn)
    model.list_workers(*(dy.WorkerEntry(worker) for worker in range(1, 8)))
    held = {worker: (worker * 5 + turn * 3) % 7 for worker in range(1, 8)}
    loads = {each: dy.LoadReport(count, max(count - 2, 0), max(2 - count, 0)) for each, count in held.items()}
    for worker, load in loads.items():
        model.dispatcher.load_model.apply_report(model.dispatcher.workers[worker], load, model.now)
    model.advance(1_000_000)
    model.arrive(1)
    assert model.probes
    for worker in list(model.probes):
        model.handle_event(dy.ProbeEnded(worker, dy.Outcome.SERVED, 1_000, loads[worker]))
    assert [held[worker] for worker in workers_of(model)] == [0]


def test_who_has_just_told_its_load_is_not_asked_again():
    """Guards probes that tell nothing: servers make reports anew now and then, and a job waits for each."""
    model = Model(dy.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    asked = []
    for request, pause in enumerate((0, 50_000, 1_000_000)):
        model.advance(pause)
        model.probes.clear()
        model.arrive(request)
        asked.append(len(model.probes))
        for worker in list(model.probes):
            model.handle_event(
                dy.ProbeEnded(worker, dy.Outcome.SERVED, 1_000, dy.LoadReport(request / 9, 0.0, 4.0))
            )
    assert asked == [2, 0, 2]
    assert len(model.sends) == 3, "without asking it is sent at once"
