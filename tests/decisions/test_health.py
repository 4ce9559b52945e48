"""Unresponsive and failing workers, and late requests: one small test for each failure that was found."""

from collections import Counter

from hazelbend.decisions import interface
from tests.support.model import Model

SAFE = interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=200_000)


def two_workers(**settings: object) -> Model:
    model = Model(interface.Settings(classes=(SAFE,), reports_job_starts=True, **settings))
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    return model


def play(model: Model, unresponsive: int, seconds: int) -> Counter[int]:
    """Send 20 jobs per second; worker `unresponsive` accepts jobs without a signal, the other serves each in
    50 ms. Return the number of sends to each worker in the last 5 s."""
    first = len(model.jobs)
    for request in range(first, first + 20 * seconds, 2):
        model.arrive(request)
        model.arrive(request + 1)
        for number, attempt in model.attempts_in_flight():
            if model.jobs[number].attempts[attempt].worker.worker != unresponsive:
                model.start_job(number, attempt)
                model.advance(50_000)
                model.end_attempt(number, interface.Outcome.SERVED, attempt)
        model.advance(50_000)
    return Counter(worker for at, worker, _ in model.sends if at > model.now - 5_000_000)


def test_unresponsive_worker_gets_only_trials_and_its_requests_are_hedged():
    model = two_workers(hedging_allowed=True)
    late = play(model, unresponsive=2, seconds=12)
    assert late[2] <= 3, "only trial requests, one at a time"
    unresponsive_jobs = [job for job in model.jobs.values() if job.attempts[0].worker.worker == 2]
    assert unresponsive_jobs
    assert all(len(job.attempts) > 1 for job in unresponsive_jobs[:-1])


def test_recovered_worker_gets_requests_again():
    model = two_workers(hedging_allowed=True)
    play(model, unresponsive=2, seconds=8)
    assert play(model, unresponsive=0, seconds=12)[2] > 10


def test_connect_failure_is_retried_elsewhere_and_starts_backoff():
    model = two_workers()
    model.arrive(1)
    first = model.sends[0][1]
    model.end_attempt(1, interface.Outcome.CONNECT_FAILED)
    assert [worker for _, worker, _ in model.sends] == [first, 3 - first]
    for request in range(2, 6):
        model.arrive(request)
    assert all(worker == 3 - first for _, worker, _ in model.sends[1:])


def accepts_work_after_resets(*stale: bool) -> bool:
    """Return whether a worker still gets requests after these connection resets without a signal in between.

    Each argument is `AttemptEnded.stale` of a reset.
    """
    model = Model(interface.Settings(classes=(SAFE,), reports_job_starts=True))
    model.list_workers(interface.WorkerEntry(1))
    for request, is_stale in enumerate(stale):
        model.arrive(request)
        model.end_attempt(request, interface.Outcome.RESET, stale=is_stale)
    before = len(model.sends)
    model.arrive(len(stale))
    return len(model.sends) > before


def test_single_or_stale_connection_reset_starts_no_backoff():
    """Guards against backoff from healthy workers: in a network that resets connections, most would be in
    backoff."""
    assert accepts_work_after_resets(False) and not accepts_work_after_resets(False, False)
    assert accepts_work_after_resets(True, True, True, True), (
        "an idle connection may have died since its last use"
    )
    assert not accepts_work_after_resets(True, False, True, False)


def test_unsafe_request_at_unresponsive_worker_is_never_retried():
    model = Model(
        interface.Settings(classes=(interface.JobClass(),), reports_job_starts=True, hedging_allowed=True)
    )
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    for request in range(6):
        model.arrive(request)
    model.finish()
    assert len(model.sends) == 6
    assert sorted(model.failed) == list(range(6))


def test_late_request_is_rejected_if_worthless_and_queued_otherwise():
    """Guards against an overload that never ends because late jobs keep the queues full."""
    for late_value_fraction, refused in ((0.0, True), (0.5, False)):
        job_class = interface.JobClass(
            idempotency=interface.Idempotency.SAFE, objective=200_000, late_value_fraction=late_value_fraction
        )
        model = Model(interface.Settings(classes=(job_class,), reports_job_starts=True))
        model.list_workers(interface.WorkerEntry(1))
        model.arrive(0)
        model.start_job(0)
        model.advance(200_000)
        model.end_attempt(
            0, interface.Outcome.SERVED, load=interface.LoadReport(in_flight=0.0, free_slots=1.0)
        )
        for request in range(1, 10):
            model.arrive(request)
        assert bool(model.refused) is refused
        assert len(model.sends) < 6


def test_failed_discovery_calls_are_retried_within_max_poll_interval():
    model = Model(interface.Settings(list_is_polled=True))
    model.list_workers(interface.WorkerEntry(1), kind=interface.ListKind.CACHED)
    for _ in range(6):
        model.handle_event(interface.MembershipUpdate(interface.ListKind.FAILED))
        model.advance(4_000_000)
    gaps = [
        after - before for before, after in zip(model.subscriptions, model.subscriptions[1:], strict=False)
    ]
    assert len(model.subscriptions) == 7
    assert max(gaps) < model.settings.max_poll_interval


def test_first_discovery_retry_is_early_and_received_list_resets_backoff():
    """Guards against using an old list for seconds because one answer was cut off."""
    model = Model(interface.Settings(list_is_polled=True))
    model.list_workers(interface.WorkerEntry(1), kind=interface.ListKind.CACHED)
    waits = []
    for failed in (True, True, True, True, False, True):
        if not failed:
            model.list_workers(interface.WorkerEntry(1))
            continue
        before, asked = model.now, len(model.subscriptions)
        model.handle_event(interface.MembershipUpdate(interface.ListKind.FAILED))
        while len(model.subscriptions) == asked:
            model.advance(10_000)
        waits.append(model.now - before)
    assert waits[0] < 700_000 and waits[-1] < 700_000
    assert sum(waits[2:4]) > sum(waits[:2]), "further failures increase the delay"


def test_overtaken_attempt_is_hedged_without_backoff_of_its_worker():
    """Guards against waiting for a dead connection to a worker that still sends signals on others."""
    model = Model(interface.Settings(classes=(SAFE,), reports_job_starts=True, hedging_allowed=True))
    model.list_workers(interface.WorkerEntry(1))
    model.arrive(0)
    model.advance(1_000)
    for request in (1, 2, 3):
        model.arrive(request)
        model.start_job(request)
    model.list_workers(interface.WorkerEntry(2), kind=interface.ListKind.DELTA)
    model.advance(600_000)
    assert [worker for _, worker, request in model.sends if request == 0] == [1, 2]
    assert len(model.sends) == 5, "no other attempt is hedged"
    assert model.dispatcher.workers[1].backoff_until == 0


def test_attempt_that_misses_one_progress_report_is_hedged():
    """Guards jobs whose response stalls: after two missed progress reports the hedge would be late too."""
    job = interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=3_000_000)
    settings = interface.Settings(
        classes=(job,), reports_job_starts=True, progress_interval=1_000_000, hedging_allowed=True
    )
    model = Model(settings)
    model.list_workers(interface.WorkerEntry(1), interface.WorkerEntry(2))
    model.arrive(0)
    model.start_job(0)
    model.advance(1_200_000)
    assert len(model.sends) == 1
    model.advance(800_000)
    assert len(model.sends) == 2
