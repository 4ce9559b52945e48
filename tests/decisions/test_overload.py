"""In overload each job takes another's place: whose it takes goes by what a unit of their work is worth."""

import pytest

from hazelbend.decisions import interface as dy
from tests.support.model import Model

RUN = 100_000  # of a mean job of either class, before anything is learnt: the objective
CHEAP, DEAR = 0, 1


def answers(queued: int, worths: tuple[float, float], **settings: bool) -> list[int | None]:
    """For a cheap job and a dear one that find so many waiting at a lone server: None if it is sent, else the
    wait after which its client is told to try again."""
    found = []
    for job_class in (CHEAP, DEAR):
        classes = tuple(
            dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=RUN, stretch=8.0, value=worth)
            for worth in worths
        )
        model = Model(dy.Settings(classes=classes, **settings))
        model.list_workers(dy.WorkerEntry(1))
        load = dy.LoadReport(in_flight=queued + 1.0, queued=queued, free_slots=0.0)
        model.dispatcher.load_model.apply_report(model.dispatcher.workers[1], load, model.now)
        model.arrive(0, job_class=job_class)
        after = [each.retry_after for each in model.last_actions if isinstance(each, dy.Refuse)]
        found.append(after[0] if after else None)
    return found


def most(job_class: int, worths: tuple[float, float]) -> int:
    """The longest queue with which a job of the class is still sent."""
    return next(queued for queued in range(20) if answers(queued + 1, worths)[job_class] is not None)


def test_what_is_worth_less_for_its_work_is_refused_sooner():
    """Found in the overload of a second site: of the class worth 5 for 0.4 s of work 12 in 100 were
    refused, of that worth 1 for 0.8 s only 3, since its aim lets it wait longer."""
    alone = most(CHEAP, (1.0, 1.0))
    assert most(DEAR, (1.0, 10.0)) == most(DEAR, (1.0, 1.0)) == alone
    assert most(CHEAP, (1.0, 10.0)) < alone
    assert answers(alone, (1.0, 10.0)) == [pytest.approx(RUN, rel=0.5), None]


def test_a_hair_dearer_makes_no_more_than_a_hairs_difference():
    [equal, _], [hair, _] = answers(6, (1.0, 1.0)), answers(6, (1.0, 1.001))
    assert equal and hair == pytest.approx(equal, rel=0.01)


def test_worth_may_be_counted_by_the_request_or_by_its_work():
    """The same worth for ten times the work is a tenth of it by the request, and the same by the work."""
    light, heavy = (dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=work) for work in (RUN, 10 * RUN))
    for by_work, dearer in ((False, 10.0), (True, 1.0)):
        model = Model(dy.Settings(classes=(heavy, light), value_per_work=by_work))
        worths = [
            model.dispatcher.admission.value_rate(job, index)
            for index, job in enumerate(model.settings.classes)
        ]
        assert worths[1] / worths[0] == pytest.approx(dearer)


def test_who_is_refused_for_a_dearer_class_is_told_when_it_will_be_let_in():
    """Guards an invitation to come back at once: the wait left is that to the class's own, shorter room."""
    for queued in (5, 6, 7):
        cheap, dear = answers(queued, (1.0, 10.0))
        assert cheap == pytest.approx(dear + (1 - 1 / 10) * RUN), "the room is shorter by most of a job"
