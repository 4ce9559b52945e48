"""Workers that fail, hang or reject although they are listed as healthy: estimates, and what follows."""

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
from hazelbend.placement.reliability import OWN_ZONE_PRECEDENCE_US, AttemptOutcome, FailureCosts, Reliability
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.statistics import RatioHistogram
from hazelbend.system import metrics
from tests.forwarding.test_forwarding import EVENTS, FULL, PROMPT, READ, Answer, Site, extras, model_site

S = 1_000_000
IDEMPOTENT = FailureCosts(failure=300_000, rejection=30_000)
NOT_IDEMPOTENT = FailureCosts(failure=3 * S, rejection=30_000)
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
        placement.workers[instance].reliability.record(end, now, in_own_zone=True)


def chosen(placement: PlacementEngine, now: int, failure_costs: FailureCosts, times: int = 200) -> set[str]:
    """Where requests go, one after the other, each ended before the next."""
    found = set()
    for _ in range(times):
        choice = placement.selector.choose("s", now, set(), failure_costs)
        found.add(choice.worker.record.instance)
    return found


# --- estimates ---


def test_a_worker_that_fails_half_of_its_attempts_is_avoided_despite_the_shortest_queue(placement):
    fail(placement, "i-1", 4, S, served=4)
    assert chosen(placement, S, IDEMPOTENT) == {"i-2", "i-3", "i-4", "i-5"}


def test_where_all_workers_fail_alike_all_are_chosen(placement):
    for instance in placement.workers:
        fail(placement, instance, 6, S)
    assert chosen(placement, S, NOT_IDEMPOTENT) == set(placement.workers)


def test_a_failing_worker_gets_idempotent_requests_when_others_are_busy(placement):
    """Given a worker that fails in part, when the others are busy, then a repeatable request takes it."""
    fail(placement, "i-1", 2, S, served=6)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        for _ in range(5):
            choice = placement.selector.choose("s", S, set(placement.workers) - {instance})
            placement.begin_attempt(choice, NO_PROMPT, S, takes_slot=True)
    assert chosen(placement, S, IDEMPOTENT) == {"i-1"}
    assert "i-1" not in chosen(placement, S, NOT_IDEMPOTENT)


def test_a_recovered_worker_is_chosen_again(placement):
    fail(placement, "i-1", 5, S)
    assert "i-1" not in chosen(placement, S, IDEMPOTENT)
    costs = [placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S + at * S) for at in (0, 20, 60)]
    assert costs[0] > costs[1] > costs[2]
    fail(placement, "i-1", 0, 61 * S, served=8)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        fail(placement, instance, 0, 61 * S, served=8)
    assert "i-1" in chosen(placement, 61 * S, IDEMPOTENT)


def test_rejections_by_a_full_worker_do_not_count(placement):
    full = placement.workers["i-1"]
    before = full.reliability.expected_cost(IDEMPOTENT, S)
    sends = [
        placement.begin_attempt(
            placement.selector.choose("s", S, set(placement.workers) - {"i-1"}), NO_PROMPT, S, takes_slot=True
        )
        for _ in range(8)
    ]
    placement.record_outcome(sends[0], AttemptOutcome.REJECTED, S)
    assert full.reliability.expected_cost(IDEMPOTENT, S) == before and placement.take_outcomes() == ()
    for send in sends:
        placement.end_attempt(send)
    placement.record_outcome(sends[0], AttemptOutcome.REJECTED, S)
    assert full.reliability.expected_cost(IDEMPOTENT, S) > before
    assert placement.take_outcomes() == (Outcomes("i-1", "z", rejected=1),)


# --- reports of peers ---


def test_failures_and_successes_of_a_suspect_worker_are_reported_to_peers(placement):
    """Guards fleets of many routers, of which each meets a worker once in ten seconds."""
    other = PlacementEngine("z", 2)
    other.merge(worker(1))
    send = other.begin_attempt(other.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    assert other.take_outcomes() == (), "that a worker is well is no news"
    other.record_outcome(send, AttemptOutcome.FAILED, S)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    notified = other.take_outcomes()
    assert notified == (Outcomes("i-1", "z", served=1, failed=1),) and other.take_outcomes() == ()
    placement.apply_peer_outcomes(notified, S)
    assert "i-1" not in chosen(placement, S, IDEMPOTENT)


def test_outcomes_in_the_own_zone_take_precedence_over_reports_of_other_zones(placement):
    """Given a worker that fails the callers of one zone alone, then those of others go on asking it."""
    fail(placement, "i-1", 0, S, served=1)
    before = placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S)
    placement.apply_peer_outcomes((Outcomes("i-1", "far", failed=3),), S)
    assert placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S) == before
    later = S + 2 * OWN_ZONE_PRECEDENCE_US
    placement.apply_peer_outcomes(
        (Outcomes("i-1", "far", failed=3), Outcomes("unknown", "far", failed=3)), later
    )
    assert "i-1" not in chosen(placement, later, IDEMPOTENT)


# --- retries ---


def test_an_error_is_forwarded_only_where_no_retry_is_allowed():
    assert Site(kind="safe").ask(ERROR, Answer()).status == 200
    for site in (Site(kind="unsafe"), Site(kind="stream"), Site(kind="safe", retries=1)):
        reply = site.ask(ERROR, Answer())
        assert (reply.status, reply.body) == (500, b"broken") and len(site.calls) == 1


def test_an_error_is_forwarded_where_the_budget_forbids_a_retry():
    site = Site(kind="safe")
    site.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    reply = site.ask(ERROR, Answer())
    assert (reply.status, reply.body) == (500, b"broken") and len(site.calls) == 1


def test_the_last_error_is_forwarded_where_all_attempts_fail():
    site = Site(kind="safe", retries=2)
    reply = site.ask(ERROR, Answer(502, [b"again"]), Answer())
    assert (reply.status, reply.body) == (502, b"again") and len(site.calls) == 2


def test_a_second_failure_of_a_request_does_not_count_against_the_second_worker():
    site = Site(kind="safe", retries=2)
    site.ask(ERROR, ERROR)
    first, second = (site.state.placement.workers[extras(call)["Expect-Instance"]] for call in site.calls)
    assert first.reliability.is_suspect(site.now()) and not second.reliability.is_suspect(site.now())


def test_an_idempotent_request_is_retried_when_its_worker_hangs():
    site = Site(kind="safe", timeoutMs=8_000)
    before = site.now()
    reply = site.ask(SILENCE, Answer(), patience_ms=8_000)
    assert reply.status == 200 and len(site.calls) == 2
    assert MIN_FIRST_BYTE_TIMEOUT_US < site.now() - before < 3 * S
    hung = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert hung.reliability.is_suspect(site.now())


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_a_request_that_is_not_idempotent_waits_for_its_worker(kind):
    site = Site(kind=kind, timeoutMs=8_000)
    reply = site.ask(5.0, Answer(), patience_ms=8_000)
    assert reply.status == 200 and len(site.calls) == 1


def test_without_retry_budget_a_request_waits_for_its_worker():
    site = Site(kind="safe", timeoutMs=8_000)
    site.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    assert site.ask(5.0, Answer(), patience_ms=8_000).status == 200 and len(site.calls) == 1


def test_a_request_waits_for_a_worker_that_has_begun_to_answer():
    slow = Answer(parts=[EVENTS[0]])

    async def chunks():
        yield EVENTS[0]
        await asyncio.sleep(4.0)
        yield EVENTS[1]

    slow.chunks = chunks
    site = model_site(resume=True)
    reply = site.ask(slow, patience_ms=8_000, token_usage="100,90", prefix_hash="aa:60,bb:40")
    assert reply.body == EVENTS[0] + EVENTS[1] and reply.ended == "whole" and len(site.calls) == 1


def test_a_prefill_is_retried_when_its_worker_hangs():
    """Guards requests whose first worker never answered: nothing else was tried until their time was over."""
    site = model_site()
    before = site.now()
    reply = site.ask(SILENCE, READ, Answer(parts=EVENTS), patience_ms=8_000, **PROMPT)
    assert reply.ended == "whole" and site.now() - before < 5 * S
    reads = [call for call in site.calls if extras(call).get("Phase")]
    assert len(reads) == 2 and reads[0].address != reads[1].address


@pytest.mark.parametrize("failure", [OutcomeUnknownError("reset"), Answer(500), Answer(200, [b"nonsense"])])
def test_a_prefill_worker_that_fails_becomes_suspect(failure):
    site = model_site()
    site.ask(failure, READ, Answer(parts=EVENTS), patience_ms=6_000, **PROMPT)
    reader = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert reader.reliability.is_suspect(site.now())


def test_a_worker_that_rejects_despite_free_capacity_costs_more():
    site = Site(kind="safe")
    site.ask(FULL, Answer())
    rejecting = site.state.placement.workers[extras(site.calls[0])["Expect-Instance"]]
    assert rejecting.reliability.expected_cost(FailureCosts(rejection=1.0), site.now()) > 0.1


# --- log, probes, metrics ---


def test_each_change_of_suspicion_is_notified_once(placement):
    notified: list[tuple[str, bool]] = []
    placement.on_suspicion_changed = lambda record, suspect: notified.append((record.instance, suspect))
    send = placement.begin_attempt(placement.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    instance = send.worker.record.instance
    for end in [AttemptOutcome.FAILED] * 2 + [AttemptOutcome.SERVED] * 40:
        placement.record_outcome(send, end, S)
    assert notified == [(instance, True), (instance, False)]


def test_some_idempotent_requests_probe_whether_a_worker_has_recovered():
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


def test_requests_that_are_not_idempotent_never_probe():
    site = Site(kind="unsafe")
    fail(site.state.placement, "i-1", 4, site.now())
    for _ in range(100):
        site.ask(Answer())
    assert all(extras(call)["Expect-Instance"] != "i-1" for call in site.calls)


def test_metrics_show_outcomes_prefills_and_refusals():
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


def test_ratios_are_counted_in_cumulative_buckets():
    histogram = RatioHistogram()
    for elapsed in (10, 100, 120, 5_000):
        histogram.add(elapsed, 100)
    histogram.add(5, 0)
    counts = dict(histogram.cumulative())
    assert (counts[0.25], counts[1.0], counts[1.5], counts[10.0], counts[float("inf")]) == (1, 2, 3, 3, 4)
    assert histogram.total == pytest.approx(52.3)


def test_a_clean_record_gives_the_same_result_as_the_full_computation():
    """Guards the time of a choice: most workers of a large fleet have nothing against them."""
    served, full = Reliability(), Reliability(has_clean_record=False)
    for at in range(50):
        for each in (served, full):
            each.record(AttemptOutcome.SERVED, at * S, in_own_zone=True)
            each.has_clean_record = each is served
        now = at * S + S // 2
        assert served.expected_cost(NOT_IDEMPOTENT, now) == full.expected_cost(NOT_IDEMPOTENT, now) == 0.0
        assert not served.is_suspect(now) and not full.is_suspect(now)
    served.record(AttemptOutcome.FAILED, 50 * S, in_own_zone=True)
    assert served.expected_cost(NOT_IDEMPOTENT, 50 * S) > 0.0 and served.is_suspect(50 * S)
