"""Silent, failed and late: one small test for each failure found."""

from collections import Counter

from hazelbend.decisions import interface as dy
from tests.support.model import Model

SAFE = dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=200_000)


def two_workers(**settings: object) -> Model:
    model = Model(dy.Settings(classes=(SAFE,), reports_job_starts=True, **settings))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    return model


def play(model: Model, silent: int, seconds: int) -> Counter[int]:
    """Worker `silent` takes jobs and says nothing, the other serves each in 50 ms."""
    first = len(model.jobs)
    for request in range(first, first + 20 * seconds, 2):
        model.arrive(request)
        model.arrive(request + 1)
        for number, attempt in model.attempts_in_flight():
            if model.jobs[number].attempts[attempt].worker.worker != silent:
                model.start_job(number, attempt)
                model.advance(50_000)
                model.end_attempt(number, dy.Outcome.SERVED, attempt)
        model.advance(50_000)
    return Counter(worker for at, worker, _ in model.sends if at > model.now - 5_000_000)


def test_silent_worker_is_shunned_and_its_repeatable_work_sent_elsewhere():
    model = two_workers(hedging_allowed=True)
    late = play(model, silent=2, seconds=12)
    assert late[2] <= 3, "trials only, one at a time"
    stuck = [job for job in model.jobs.values() if job.attempts[0].worker.worker == 2]
    assert stuck
    assert all(len(job.attempts) > 1 for job in stuck[:-1])


def test_a_worker_that_speaks_again_is_trusted_again():
    model = two_workers(hedging_allowed=True)
    play(model, silent=2, seconds=8)
    assert play(model, silent=0, seconds=12)[2] > 10


def test_failed_connect_sends_elsewhere_and_shuts_the_worker():
    model = two_workers()
    model.arrive(1)
    first = model.sends[0][1]
    model.end_attempt(1, dy.Outcome.CONNECT_FAILED)
    assert [worker for _, worker, _ in model.sends] == [first, 3 - first]
    for request in range(2, 6):
        model.arrive(request)
    assert all(worker == 3 - first for _, worker, _ in model.sends[1:])


def resets(*stale: bool) -> bool:
    """Whether a worker still gets work after its connections broke like this, without a sign in between."""
    model = Model(dy.Settings(classes=(SAFE,), reports_job_starts=True))
    model.list_workers(dy.WorkerEntry(1))
    for request, each in enumerate(stale):
        model.arrive(request)
        model.end_attempt(request, dy.Outcome.RESET, stale=each)
    before = len(model.sends)
    model.arrive(len(stale))
    return len(model.sends) > before


def test_a_connection_that_breaks_alone_says_little_of_its_worker():
    """Guards against shutting out servers that are well: on days when connections break, most would be."""
    assert resets(False) and not resets(False, False)
    assert resets(True, True, True, True), "a kept connection may have died since its last use"
    assert not resets(True, False, True, False)


def test_unsafe_request_at_a_silent_worker_is_never_sent_again():
    model = Model(dy.Settings(classes=(dy.JobClass(),), reports_job_starts=True, hedging_allowed=True))
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    for request in range(6):
        model.arrive(request)
    model.finish()
    assert len(model.sends) == 6
    assert sorted(model.failed) == list(range(6))


def test_late_work_is_refused_where_it_earns_nothing_and_held_where_it_earns_something():
    """A jam feeds itself when late jobs keep the queues full."""
    for late_worth, refused in ((0.0, True), (0.5, False)):
        job_class = dy.JobClass(
            idempotency=dy.Idempotency.SAFE, objective=200_000, late_value_fraction=late_worth
        )
        model = Model(dy.Settings(classes=(job_class,), reports_job_starts=True))
        model.list_workers(dy.WorkerEntry(1))
        model.arrive(0)
        model.start_job(0)
        model.advance(200_000)
        model.end_attempt(0, dy.Outcome.SERVED, load=dy.LoadReport(in_flight=0.0, free_slots=1.0))
        for request in range(1, 10):
            model.arrive(request)
        assert bool(model.refused) is refused
        assert len(model.sends) < 6


def test_failed_list_calls_are_repeated_later_and_later():
    model = Model(dy.Settings(list_is_polled=True))
    model.list_workers(dy.WorkerEntry(1), kind=dy.ListKind.CACHED)
    for _ in range(6):
        model.handle_event(dy.MembershipUpdate(dy.ListKind.FAILED))
        model.advance(4_000_000)
    gaps = [
        after - before for before, after in zip(model.subscriptions, model.subscriptions[1:], strict=False)
    ]
    assert len(model.subscriptions) == 7
    assert max(gaps) < model.settings.poll_interval


def test_the_first_call_after_a_failed_one_comes_soon_and_a_list_that_arrives_starts_that_anew():
    """Guards against working by an old list for seconds because one answer broke off."""
    model = Model(dy.Settings(list_is_polled=True))
    model.list_workers(dy.WorkerEntry(1), kind=dy.ListKind.CACHED)
    waits = []
    for failed in (True, True, True, True, False, True):
        if not failed:
            model.list_workers(dy.WorkerEntry(1))
            continue
        before, asked = model.now, len(model.subscriptions)
        model.handle_event(dy.MembershipUpdate(dy.ListKind.FAILED))
        while len(model.subscriptions) == asked:
            model.advance(10_000)
        waits.append(model.now - before)
    assert waits[0] < 700_000 and waits[-1] < 700_000
    assert sum(waits[2:4]) > sum(waits[:2]), "calls that go on failing come less often"


def test_a_job_that_later_ones_overtake_is_copied_and_its_worker_stays():
    """Guards against waiting for a connection that fell silent at a worker that goes on speaking."""
    model = Model(dy.Settings(classes=(SAFE,), reports_job_starts=True, hedging_allowed=True))
    model.list_workers(dy.WorkerEntry(1))
    model.arrive(0)
    model.advance(1_000)
    for request in (1, 2, 3):
        model.arrive(request)
        model.start_job(request)
    model.list_workers(dy.WorkerEntry(2), kind=dy.ListKind.DELTA)
    model.advance(600_000)
    assert [worker for _, worker, request in model.sends if request == 0] == [1, 2]
    assert len(model.sends) == 5, "of the others none"
    assert model.dispatcher.workers[1].backoff_until == 0


def test_a_job_that_misses_one_note_of_progress_is_copied_in_time():
    """Guards jobs whose answer stopped short: two notes later the copy would be late as well."""
    job = dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=3_000_000)
    settings = dy.Settings(
        classes=(job,), reports_job_starts=True, progress_interval=1_000_000, hedging_allowed=True
    )
    model = Model(settings)
    model.list_workers(dy.WorkerEntry(1), dy.WorkerEntry(2))
    model.arrive(0)
    model.start_job(0)
    model.advance(1_200_000)
    assert len(model.sends) == 1
    model.advance(800_000)
    assert len(model.sends) == 2
