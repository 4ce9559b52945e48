"""Checks of the decision rules and of the charges, each in the smallest scenario that fails without it."""

from __future__ import annotations

import pytest

from hazelbend.decisions import interface
from hazelbend.decisions.health import start_backoff
from tests.support.model import Model

SAFE = interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=200_000, late_value_fraction=0.5)
EMPTY = interface.LoadReport(0.0, 0.0, 4.0)


def two_workers(job: interface.JobClass = SAFE, **settings: object) -> Model:
    model = Model(interface.Settings(classes=(job,), reports_job_starts=True, **settings))
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    return model


def sent_workers(model: Model) -> list[int]:
    return [worker for _, worker, _ in model.sends]


def test_draining_worker_gets_no_new_requests():
    model = two_workers()
    draining = interface.WorkerEntry(1, state=interface.WorkerState.DRAINING)
    model.list_workers(draining, kind=interface.ListKind.DELTA)
    for request in range(8):
        model.arrive(request)
        model.end_attempt(request, interface.Outcome.SERVED)
    assert sent_workers(model) == [2] * 8


def test_started_dispatcher_sends_nothing_to_warming_up_worker_for_one_window():
    """The dispatcher may have spent the slow-start budget of the window before its own restart."""
    model = Model(
        interface.Settings(
            classes=(SAFE,), collapse_window=1_000_000, collapse_multiple=50.0, initial_capacity=0.5
        )
    )
    model.list_workers(interface.WorkerEntry(1, started_at=model.now), kind=interface.ListKind.CACHED)
    model.arrive(1)
    model.advance(990_000)
    assert model.sends == []
    model.advance(1_000_000)
    assert sent_workers(model) == [1]


@pytest.mark.parametrize(("after", "attempts"), [(500_000, 2), (1_900_000, 1)])
def test_keyed_request_is_retried_only_within_dedup_window(after, attempts):
    job = interface.JobClass(
        idempotency=interface.Idempotency.KEYED,
        objective=200_000,
        late_value_fraction=0.5,
        dedup_window=2_000_000,
    )
    model = two_workers(job)
    model.arrive(1, client_timeout=8_000_000, key=5)
    model.start_job(1)
    model.advance(after)
    model.end_attempt(1, interface.Outcome.RESET)
    model.advance(100_000)
    assert len(model.sends) == attempts


@pytest.mark.parametrize("copies", [False, True])
def test_request_is_hedged_only_if_settings_allow_it(copies):
    model = two_workers(hedging_allowed=copies)
    model.arrive(1)
    model.advance(4_000_000)
    assert (len(model.sends) > 1) == copies


def test_job_class_is_sent_only_to_its_machine_kind():
    model = Model(
        interface.Settings(
            classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE, machine_kind=1),)
        )
    )
    model.list_workers(
        interface.WorkerEntry(1, machine_kind=0, weight=9.0), interface.WorkerEntry(2, machine_kind=1)
    )
    for request in range(6):
        model.arrive(request)
    assert set(sent_workers(model)) == {2}


def test_attempts_in_flight_are_cancelled_after_answer_if_allowed():
    model = two_workers(hedging_allowed=True, cancel_allowed=True)
    model.arrive(1)
    model.advance(3_000_000)
    assert len(model.jobs[1].attempts) > 1
    model.end_attempt(1, interface.Outcome.SERVED, 1)
    assert len(model.cancels) == len(model.jobs[1].attempts) - 1


def test_request_closed_while_waiting_for_probes_is_not_sent():
    model = Model(interface.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True))
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    model.arrive(1)
    model.leave(1)
    for worker in model.probes:
        model.handle_event(interface.ProbeEnded(worker, interface.Outcome.SERVED, 1_000, EMPTY))
    assert model.sends == []


def test_restarted_process_has_no_peer_jobs_and_no_backoff():
    model = two_workers()
    worker = model.dispatcher.workers[1]
    model.dispatcher.load_model.apply_report(worker, interface.LoadReport(12.0, 8.0, 0.0), model.now)
    start_backoff(worker, model.dispatcher.random, model.now)
    model.list_workers(interface.WorkerEntry(1, started_at=model.now), kind=interface.ListKind.DELTA)
    assert (worker.peer_jobs, worker.backoff_until) == (0, 0)


def test_worker_that_rejects_an_attempt_counts_as_full():
    model = two_workers()
    model.arrive(1)
    first = sent_workers(model)[0]
    model.end_attempt(1, interface.Outcome.FULL)
    for request in range(2, 6):
        model.arrive(request)
    assert sent_workers(model) == [first] + [3 - first] * 5


def test_zone_crossing_and_handshake_charges_count_as_delay():
    model = Model(interface.Settings(classes=(SAFE,), cross_zone_charge=0.05))
    model.list_workers(
        interface.WorkerEntry(1, zone=1, weight=1.02), interface.WorkerEntry(2, zone=0, weight=1.0)
    )
    model.arrive(1)
    assert sent_workers(model) == [2], "a slightly faster worker does not justify crossing zones"
    model = Model(interface.Settings(classes=(SAFE,), handshake_charge=0.05))
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    for request in range(6):
        model.arrive(request)
        model.end_attempt(request, interface.Outcome.SERVED, load=EMPTY)
    assert len(set(sent_workers(model))) == 1, "the open connection is reused"


def test_worker_in_backoff_gets_one_trial_request_at_a_time():
    """Guards against flooding a worker that recovers: the next trial needs a signal or another backoff."""
    model = two_workers()
    for worker in model.dispatcher.workers.values():
        start_backoff(worker, model.dispatcher.random, model.now)
    model.advance(1_300_000)
    for request in range(6):
        model.arrive(request)
    assert sorted(sent_workers(model)) == [1, 2]


@pytest.mark.parametrize("case", range(20))
def test_selection_with_probes_finds_least_expected_delay_of_all_workers(case):
    """With few workers all of them are sampled, so the result must be that of a scan of every worker."""
    model = Model(interface.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True), seed=case)
    model.list_workers(*(interface.WorkerEntry(worker) for worker in range(1, 8)))
    jobs_by_worker = {worker: (worker * 5 + case * 3) % 7 for worker in range(1, 8)}
    loads = {
        number: interface.LoadReport(count, max(count - 2, 0), max(2 - count, 0))
        for number, count in jobs_by_worker.items()
    }
    for worker, load in loads.items():
        model.dispatcher.load_model.apply_report(model.dispatcher.workers[worker], load, model.now)
    model.advance(1_000_000)
    model.arrive(1)
    assert model.probes
    for worker in list(model.probes):
        model.handle_event(interface.ProbeEnded(worker, interface.Outcome.SERVED, 1_000, loads[worker]))
    assert [jobs_by_worker[worker] for worker in sent_workers(model)] == [0]


def test_worker_with_recent_report_is_not_probed_again():
    """Guards against useless probes: workers renew their reports only periodically, and a job waits for each
    probe."""
    model = Model(interface.Settings(classes=(SAFE,), probes_allowed=True, reports_by_probe=True))
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    probe_counts = []
    for request, pause in enumerate((0, 50_000, 1_000_000)):
        model.advance(pause)
        model.probes.clear()
        model.arrive(request)
        probe_counts.append(len(model.probes))
        for worker in list(model.probes):
            model.handle_event(
                interface.ProbeEnded(
                    worker, interface.Outcome.SERVED, 1_000, interface.LoadReport(request / 9, 0.0, 4.0)
                )
            )
    assert probe_counts == [2, 0, 2]
    assert len(model.sends) == 3, "without a probe the request is sent at once"
