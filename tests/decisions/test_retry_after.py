"""A refusal says when to come back: guards against ones that invite an instant retry into a full fleet."""

from hazelbend.decisions import interface as dy
from tests.support.model import Model


def refusal(queued: int) -> dy.Refuse:
    """What is answered to one more job where a lone server has said that so many wait there."""
    model = Model(dy.Settings(classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=200_000),)))
    model.list_workers(dy.WorkerEntry(1))
    model.arrive(0)
    model.start_job(0)
    model.advance(100_000)
    model.end_attempt(
        0, dy.Outcome.SERVED, load=dy.LoadReport(in_flight=queued + 2, queued=queued, free_slots=0)
    )
    model.jobs[1] = type(model.jobs[0])(model.settings.classes[0], model.now + 5_000_000)
    actions = model.handle_event(dy.RequestArrived(1, 5_000_000))
    [answer] = [action for action in actions if isinstance(action, dy.Refuse)]
    return answer


def test_a_longer_queue_means_a_longer_wait():
    short, long = refusal(6).retry_after, refusal(12).retry_after
    assert 0 < short < long < 5_000_000


def test_where_all_are_shut_out_the_first_trial_is_waited_for():
    model = Model(dy.Settings(max_attempts=1, classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE),)))
    model.list_workers(dy.WorkerEntry(1))
    model.arrive(0)
    model.jobs[0].attempts[0].outcome = dy.Outcome.CONNECT_FAILED
    actions = model.handle_event(dy.AttemptEnded(0, 1, 0, dy.Outcome.CONNECT_FAILED))
    [answer] = [action for action in actions if isinstance(action, dy.Refuse)]
    shut_until = model.dispatcher.workers[1].backoff_until
    assert answer.retry_after == shut_until - model.now > 0
