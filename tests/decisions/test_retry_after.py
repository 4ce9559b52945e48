"""The `retry_after` of rejections: guards against values that invite an immediate retry into a full fleet."""

from hazelbend.decisions import interface
from tests.support.model import Model


def refusal(queued: int) -> interface.Refuse:
    """Return the rejection of one more job at a single worker that has reported this many queued jobs."""
    model = Model(
        interface.Settings(
            classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=200_000),)
        )
    )
    model.list_workers(interface.WorkerEntry(1))
    model.arrive(0)
    model.start_job(0)
    model.advance(100_000)
    model.end_attempt(
        0,
        interface.Outcome.SERVED,
        load=interface.LoadReport(in_flight=queued + 2, queued=queued, free_slots=0),
    )
    model.jobs[1] = type(model.jobs[0])(model.settings.classes[0], model.now + 5_000_000)
    actions = model.handle_event(interface.RequestArrived(1, 5_000_000))
    [answer] = [action for action in actions if isinstance(action, interface.Refuse)]
    return answer


def test_retry_after_grows_with_queue():
    short, long = refusal(6).retry_after, refusal(12).retry_after
    assert 0 < short < long < 5_000_000


def test_retry_after_is_end_of_backoff_if_all_workers_are_in_backoff():
    model = Model(
        interface.Settings(
            max_attempts=1, classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE),)
        )
    )
    model.list_workers(interface.WorkerEntry(1))
    model.arrive(0)
    model.jobs[0].attempts[0].outcome = interface.Outcome.CONNECT_FAILED
    actions = model.handle_event(interface.AttemptEnded(0, 1, 0, interface.Outcome.CONNECT_FAILED))
    [answer] = [action for action in actions if isinstance(action, interface.Refuse)]
    backoff_until = model.dispatcher.workers[1].backoff_until
    assert answer.retry_after == backoff_until - model.now > 0
