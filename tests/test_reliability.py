"""Workers that fail, hang or reject although they are listed as well: what a router believes and does."""

from __future__ import annotations

import asyncio
import random

import pytest

from hazelbend.control.load_table import Outcomes
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.forwarding.errors import OutcomeUnknownError
from hazelbend.forwarding.first_byte_timeout import MIN_FIRST_BYTE_TIMEOUT_US
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.prompt import parse_prompt
from hazelbend.placement.reliability import OWN_ZONE_FIRST, AttemptOutcome, FailureCosts, Reliability
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.statistics import RatioHistogram
from hazelbend.system import metrics
from tests.test_forwarding import EVENTS, FULL, PROMPT, READ, Answer, Site, extras, model_site

S = 1_000_000
REPEATABLE = FailureCosts(failure=300_000, rejection=30_000)
ONCE_ONLY = FailureCosts(failure=3 * S, rejection=30_000)
NO_PROMPT = parse_prompt(None, None)
ERROR = Answer(500, [b"broken"])
SILENCE = 30.0  # seconds that a worker of a script says nothing


def worker(number: int, capacity: int = 6) -> WorkerRecord:
    return WorkerRecord(f"i-{number}", "s", f"10.9.0.{number}:80", "z", WorkerState.READY, 1, capacity)


@pytest.fixture
def placement() -> PlacementEngine:
    made = PlacementEngine("z", 1)
    for number in range(1, 6):
        made.merge(worker(number))
    return made


def fail(placement: PlacementEngine, instance: str, times: int, now: int, served: int = 0) -> None:
    """Given so many runs that failed there, and so many that were served."""
    ends = [AttemptOutcome.FAILED] * times + [AttemptOutcome.SERVED] * served
    random.Random(1).shuffle(ends)
    for end in ends:
        placement.workers[instance].reliability.record(end, True, now)


def chosen(placement: PlacementEngine, now: int, failure_costs: FailureCosts, times: int = 200) -> set[str]:
    """Where requests go, one after the other, each ended before the next."""
    found = set()
    for _ in range(times):
        choice = placement.selector.choose("s", now, set(), failure_costs)
        found.add(choice.worker.record.instance)
    return found


# --- what is believed ---


def test_a_worker_that_fails_half_of_its_runs_is_left_though_its_queue_is_the_shortest(placement):
    fail(placement, "i-1", 4, S, served=4)
    assert chosen(placement, S, REPEATABLE) == {"i-2", "i-3", "i-4", "i-5"}


def test_where_all_fail_alike_all_are_chosen_as_before(placement):
    for instance in placement.workers:
        fail(placement, instance, 6, S)
    assert chosen(placement, S, ONCE_ONLY) == set(placement.workers)


def test_what_may_not_be_repeated_keeps_away_when_what_may_be_still_goes_there(placement):
    """Given a worker that fails in part, when the others are busy, then a repeatable request takes it."""
    fail(placement, "i-1", 2, S, served=6)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        for _ in range(5):
            choice = placement.selector.choose("s", S, set(placement.workers) - {instance})
            placement.begin_attempt(choice, NO_PROMPT, S, takes_slot=True)
    assert chosen(placement, S, REPEATABLE) == {"i-1"}
    assert "i-1" not in chosen(placement, S, ONCE_ONLY)


def test_one_that_is_well_again_is_found(placement):
    fail(placement, "i-1", 5, S)
    assert "i-1" not in chosen(placement, S, REPEATABLE)
    costs = [placement.workers["i-1"].reliability.expected_cost(REPEATABLE, S + at * S) for at in (0, 20, 60)]
    assert costs[0] > costs[1] > costs[2]
    fail(placement, "i-1", 0, 61 * S, served=8)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        fail(placement, instance, 0, 61 * S, served=8)
    assert "i-1" in chosen(placement, 61 * S, REPEATABLE)


def test_rejections_of_one_that_is_full_say_nothing_of_it(placement):
    full = placement.workers["i-1"]
    before = full.reliability.expected_cost(REPEATABLE, S)
    sends = [
        placement.begin_attempt(
            placement.selector.choose("s", S, set(placement.workers) - {"i-1"}), NO_PROMPT, S, takes_slot=True
        )
        for _ in range(8)
    ]
    placement.record_outcome(sends[0], AttemptOutcome.REJECTED, S)
    assert full.reliability.expected_cost(REPEATABLE, S) == before and placement.take_outcomes() == ()
    for send in sends:
        placement.end_attempt(send)
    placement.record_outcome(sends[0], AttemptOutcome.REJECTED, S)
    assert full.reliability.expected_cost(REPEATABLE, S) > before
    assert placement.take_outcomes() == (Outcomes("i-1", "z", rejected=1),)


# --- what other routers tell ---


def test_failures_are_told_and_so_are_successes_of_one_that_has_failed(placement):
    """Guards fleets of many routers, of which each meets a worker once in ten seconds."""
    other = PlacementEngine("z", 2)
    other.merge(worker(1))
    send = other.begin_attempt(other.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    assert other.take_outcomes() == (), "that a worker is well is no news"
    other.record_outcome(send, AttemptOutcome.FAILED, S)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    told = other.take_outcomes()
    assert told == (Outcomes("i-1", "z", served=1, failed=1),) and other.take_outcomes() == ()
    placement.apply_peer_outcomes(told, S)
    assert "i-1" not in chosen(placement, S, REPEATABLE)


def test_what_the_own_zone_has_met_goes_before_what_another_tells(placement):
    """Given a worker that fails the callers of one zone alone, then those of others go on asking it."""
    fail(placement, "i-1", 0, S, served=1)
    before = placement.workers["i-1"].reliability.expected_cost(REPEATABLE, S)
    placement.apply_peer_outcomes((Outcomes("i-1", "far", failed=3),), S)
    assert placement.workers["i-1"].reliability.expected_cost(REPEATABLE, S) == before
    later = S + 2 * OWN_ZONE_FIRST
    placement.apply_peer_outcomes(
        (Outcomes("i-1", "far", failed=3), Outcomes("unknown", "far", failed=3)), later
    )
    assert "i-1" not in chosen(placement, later, REPEATABLE)


# --- what is done ---


def test_an_error_is_passed_on_only_where_no_other_worker_may_run_the_request():
    assert Site(kind="safe").ask(ERROR, Answer()).status == 200
    for site in (Site(kind="unsafe"), Site(kind="stream"), Site(kind="safe", retries=1)):
        reply = site.ask(ERROR, Answer())
        assert (reply.status, reply.body) == (500, b"broken") and len(site.calls) == 1


def test_an_error_is_passed_on_where_the_budget_forbids_a_repeat():
    site = Site(kind="safe")
    site.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    reply = site.ask(ERROR, Answer())
    assert (reply.status, reply.body) == (500, b"broken") and len(site.calls) == 1


def test_the_last_error_is_the_answer_where_all_workers_fail():
    site = Site(kind="safe", retries=2)
    reply = site.ask(ERROR, Answer(502, [b"again"]), Answer())
    assert (reply.status, reply.body) == (502, b"again") and len(site.calls) == 2


def test_failures_of_a_request_that_has_failed_elsewhere_are_not_held_against_the_second_worker():
    site = Site(kind="safe", retries=2)
    site.ask(ERROR, ERROR)
    first, second = (site.state.placement.workers[extras(call)["Expect-Instance"]] for call in site.calls)
    assert first.reliability.is_suspect(site.now()) and not second.reliability.is_suspect(site.now())


def test_a_worker_that_hangs_is_left_for_another_one_where_the_request_may_run_again():
    site = Site(kind="safe", timeoutMs=8_000)
    before = site.now()
    reply = site.ask(SILENCE, Answer(), patience_ms=8_000)
    assert reply.status == 200 and len(site.calls) == 2
    assert MIN_FIRST_BYTE_TIMEOUT_US < site.now() - before < 3 * S
    hung = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert hung.reliability.is_suspect(site.now())


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_what_may_not_run_again_waits_for_its_worker(kind):
    site = Site(kind=kind, timeoutMs=8_000)
    reply = site.ask(5.0, Answer(), patience_ms=8_000)
    assert reply.status == 200 and len(site.calls) == 1


def test_without_budget_a_worker_that_hangs_is_waited_for():
    site = Site(kind="safe", timeoutMs=8_000)
    site.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    assert site.ask(5.0, Answer(), patience_ms=8_000).status == 200 and len(site.calls) == 1


def test_a_worker_that_has_begun_to_answer_is_waited_for():
    slow = Answer(parts=[EVENTS[0]])

    async def chunks():
        yield EVENTS[0]
        await asyncio.sleep(4.0)
        yield EVENTS[1]

    slow.chunks = chunks
    site = model_site(resume=True)
    reply = site.ask(slow, patience_ms=8_000, token_usage="100,90", prefix_hash="aa:60,bb:40")
    assert reply.body == EVENTS[0] + EVENTS[1] and reply.ended == "whole" and len(site.calls) == 1


def test_a_prompt_whose_reader_hangs_is_read_by_another_one():
    """Guards requests whose first worker never answered: nothing else was tried until their time was over."""
    site = model_site()
    before = site.now()
    reply = site.ask(SILENCE, READ, Answer(parts=EVENTS), patience_ms=8_000, **PROMPT)
    assert reply.ended == "whole" and site.now() - before < 5 * S
    reads = [call for call in site.calls if extras(call).get("Phase")]
    assert len(reads) == 2 and reads[0].address != reads[1].address


@pytest.mark.parametrize("failure", [OutcomeUnknownError("reset"), Answer(500), Answer(200, [b"nonsense"])])
def test_a_reader_that_fails_is_asked_less(failure):
    site = model_site()
    site.ask(failure, READ, Answer(parts=EVENTS), patience_ms=6_000, **PROMPT)
    reader = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert reader.reliability.is_suspect(site.now())


def test_a_worker_that_rejects_though_it_has_room_is_asked_less():
    site = Site(kind="safe")
    site.ask(FULL, Answer())
    rejecting = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert rejecting.reliability.expected_cost(FailureCosts(rejection=1.0), site.now()) > 0.1


# --- what is told to people ---


def test_a_worker_that_is_set_back_and_is_well_again_is_told_once_each(placement):
    told: list[tuple[str, bool]] = []
    placement.on_suspicion_changed = lambda record, suspect: told.append((record.instance, suspect))
    send = placement.begin_attempt(placement.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    instance = send.worker.record.instance
    for end in [AttemptOutcome.FAILED] * 2 + [AttemptOutcome.SERVED] * 40:
        placement.record_outcome(send, end, S)
    assert told == [(instance, True), (instance, False)]


def test_some_requests_that_may_be_repeated_find_out_whether_a_worker_is_well_again():
    site = Site(kind="safe", retries=2)
    placement = site.state.placement
    fail(placement, "i-1", 4, site.now())
    for instance in ("i-2", "i-3"):  # both have something to do, and the one that failed has nothing
        choice = placement.selector.choose("s", site.now(), set(placement.workers) - {instance})
        placement.begin_attempt(choice, NO_PROMPT, site.now(), takes_slot=True)
    for _ in range(200):
        site.ask(Answer())
    asked = [extras(call)["Expect-Instance"] for call in site.calls]
    assert "i-1" not in asked[:3] and "i-1" in asked
    assert not placement.workers["i-1"].reliability.is_suspect(site.now()), "the probes were served"


def test_what_may_not_be_repeated_is_no_probe():
    site = Site(kind="unsafe")
    fail(site.state.placement, "i-1", 4, site.now())
    for _ in range(100):
        site.ask(Answer())
    assert all(extras(call)["Expect-Instance"] != "i-1" for call in site.calls)


def test_metrics_show_ends_reads_and_refusals():
    site = model_site()
    site.ask(READ, Answer(parts=EVENTS), patience_ms=6_000, **PROMPT)
    site.ask(Answer(500), patience_ms=6_000, token_usage="100,90", prefix_hash="aa:60,bb:40")
    site.state.placement.workers.clear()
    site.ask()
    text = metrics.render(site.state.placement.statistics).decode()
    reader = extras(site.calls[0])["Expect-Instance"]
    assert f'hazelbend_sends_total{{end="served",worker="{reader}"}} 1.0' in text
    counts = site.state.placement.statistics.for_worker(reader)
    assert counts.prefilled_tokens + counts.cached_tokens == 17_000 and counts.prefilled_tokens >= 4_000
    assert f'hazelbend_prompt_tokens_total{{as="read",worker="{reader}"}} {counts.prefilled_tokens}.0' in text
    assert f'hazelbend_reads_ratio_bucket{{le="+Inf",worker="{reader}"}} 1.0' in text
    assert 'end="failed"' in text and 'hazelbend_refusals_total{reason="no_worker"} 1.0' in text


def test_multiples_of_the_expected_are_counted_by_bounds():
    histogram = RatioHistogram()
    for elapsed in (10, 100, 120, 5_000):
        histogram.add(elapsed, 100)
    histogram.add(5, 0)
    counts = dict(histogram.cumulative())
    assert (counts[0.25], counts[1.0], counts[1.5], counts[10.0], counts[float("inf")]) == (1, 2, 3, 3, 4)
    assert histogram.total == pytest.approx(52.3)


def test_the_short_way_for_a_worker_that_has_only_served_gives_what_the_long_one_does():
    """Guards the time of a choice: most workers of a large fleet have nothing against them."""
    served, long_way = Reliability(), Reliability(has_clean_record=False)
    for at in range(50):
        for each in (served, long_way):
            each.record(AttemptOutcome.SERVED, True, at * S)
            each.has_clean_record = each is served
        now = at * S + S // 2
        assert served.expected_cost(ONCE_ONLY, now) == long_way.expected_cost(ONCE_ONLY, now) == 0.0
        assert not served.is_suspect(now) and not long_way.is_suspect(now)
    served.record(AttemptOutcome.FAILED, True, 50 * S)
    assert served.expected_cost(ONCE_ONLY, 50 * S) > 0.0 and served.is_suspect(50 * S)
