"""Workers that fail, hang or reject although they are listed as ready: estimates, selection and retries."""

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
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from tests.forwarding.test_forwarding import (
    EVENTS,
    PREFILL_RESULT,
    PROMPT,
    REJECTION,
    RouterHarness,
    ScriptedResponse,
    extra_headers,
    model_harness,
)

S = 1_000_000
IDEMPOTENT = FailureCosts(failure=300_000, rejection=30_000)
NOT_IDEMPOTENT = FailureCosts(failure=3 * S, rejection=30_000)
NO_PROMPT = parse_prompt(None, None)
ERROR = ScriptedResponse(500, [b"broken"])
HANG_S = 30.0  # seconds that a scripted worker hangs


def worker(number: int, capacity: int = 6) -> WorkerRecord:
    return WorkerRecord(f"i-{number}", "s", f"10.9.0.{number}:80", "z", WorkerState.READY, 1, capacity)


@pytest.fixture
def placement() -> PlacementEngine:
    engine = PlacementEngine("z", 1)
    for number in range(1, 6):
        engine.merge(worker(number))
    return engine


def record_outcomes(placement: PlacementEngine, instance: str, times: int, now: int, served: int = 0) -> None:
    """Record `times` failures and `served` successes at a worker, in random order."""
    outcomes = [AttemptOutcome.FAILED] * times + [AttemptOutcome.SERVED] * served
    random.Random(1).shuffle(outcomes)
    for end in outcomes:
        placement.workers[instance].reliability.record(end, now, in_own_zone=True)


def chosen_instances(
    placement: PlacementEngine, now: int, failure_costs: FailureCosts, times: int = 200
) -> set[str]:
    """Return the workers chosen for `times` requests, each of which ends before the next one starts."""
    instances = set()
    for _ in range(times):
        choice = placement.selector.choose("s", now, set(), failure_costs)
        instances.add(choice.worker.record.instance)
    return instances


# --- estimates ---


def test_half_failing_worker_is_avoided_despite_shortest_queue(placement):
    record_outcomes(placement, "i-1", 4, S, served=4)
    assert chosen_instances(placement, S, IDEMPOTENT) == {"i-2", "i-3", "i-4", "i-5"}


def test_equally_failing_workers_are_all_chosen(placement):
    for instance in placement.workers:
        record_outcomes(placement, instance, 6, S)
    assert chosen_instances(placement, S, NOT_IDEMPOTENT) == set(placement.workers)


def test_failing_worker_gets_idempotent_requests_when_others_are_busy(placement):
    """A worker that fails some attempts is chosen for idempotent requests while all others are busy."""
    record_outcomes(placement, "i-1", 2, S, served=6)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        for _ in range(5):
            choice = placement.selector.choose("s", S, set(placement.workers) - {instance})
            placement.begin_attempt(choice, NO_PROMPT, S, takes_slot=True)
    assert chosen_instances(placement, S, IDEMPOTENT) == {"i-1"}
    assert "i-1" not in chosen_instances(placement, S, NOT_IDEMPOTENT)


def test_recovered_worker_is_chosen_again(placement):
    record_outcomes(placement, "i-1", 5, S)
    assert "i-1" not in chosen_instances(placement, S, IDEMPOTENT)
    costs = [placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S + at * S) for at in (0, 20, 60)]
    assert costs[0] > costs[1] > costs[2]
    record_outcomes(placement, "i-1", 0, 61 * S, served=8)
    for instance in ("i-2", "i-3", "i-4", "i-5"):
        record_outcomes(placement, instance, 0, 61 * S, served=8)
    assert "i-1" in chosen_instances(placement, 61 * S, IDEMPOTENT)


def test_rejections_by_full_worker_do_not_count(placement):
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


def test_failures_and_successes_of_suspect_worker_are_reported_to_peers(placement):
    """Guards large fleets of routers, each of which sends to a given worker only once in ten seconds."""
    other = PlacementEngine("z", 2)
    other.merge(worker(1))
    send = other.begin_attempt(other.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    assert other.take_outcomes() == (), "a success of a worker that is not suspect is not reported"
    other.record_outcome(send, AttemptOutcome.FAILED, S)
    other.record_outcome(send, AttemptOutcome.SERVED, S)
    notified = other.take_outcomes()
    assert notified == (Outcomes("i-1", "z", served=1, failed=1),) and other.take_outcomes() == ()
    placement.apply_peer_outcomes(notified, S)
    assert "i-1" not in chosen_instances(placement, S, IDEMPOTENT)


def test_outcomes_in_own_zone_take_precedence_over_reports_of_other_zones(placement):
    """A worker that fails only callers of one zone is still used by routers of other zones."""
    record_outcomes(placement, "i-1", 0, S, served=1)
    before = placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S)
    placement.apply_peer_outcomes((Outcomes("i-1", "far", failed=3),), S)
    assert placement.workers["i-1"].reliability.expected_cost(IDEMPOTENT, S) == before
    later = S + 2 * OWN_ZONE_PRECEDENCE_US
    placement.apply_peer_outcomes(
        (Outcomes("i-1", "far", failed=3), Outcomes("unknown", "far", failed=3)), later
    )
    assert "i-1" not in chosen_instances(placement, later, IDEMPOTENT)


# --- retries ---


def test_error_is_forwarded_only_if_no_retry_is_allowed():
    assert RouterHarness(kind="safe").serve(ERROR, ScriptedResponse()).status == 200
    for harness in (
        RouterHarness(kind="unsafe"),
        RouterHarness(kind="stream"),
        RouterHarness(kind="safe", retries=1),
    ):
        reply = harness.serve(ERROR, ScriptedResponse())
        assert (reply.status, reply.body) == (500, b"broken") and len(harness.calls) == 1


def test_error_is_forwarded_if_retry_budget_is_spent():
    harness = RouterHarness(kind="safe")
    harness.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    reply = harness.serve(ERROR, ScriptedResponse())
    assert (reply.status, reply.body) == (500, b"broken") and len(harness.calls) == 1


def test_last_error_is_forwarded_if_all_attempts_fail():
    harness = RouterHarness(kind="safe", retries=2)
    reply = harness.serve(ERROR, ScriptedResponse(502, [b"again"]), ScriptedResponse())
    assert (reply.status, reply.body) == (502, b"again") and len(harness.calls) == 2


def test_second_failure_of_request_does_not_count_against_second_worker():
    harness = RouterHarness(kind="safe", retries=2)
    harness.serve(ERROR, ERROR)
    first, second = (
        harness.state.placement.workers[extra_headers(call)["Expect-Instance"]] for call in harness.calls
    )
    assert first.reliability.is_suspect(harness.now()) and not second.reliability.is_suspect(harness.now())


def test_idempotent_request_is_retried_when_worker_hangs():
    harness = RouterHarness(kind="safe", timeoutMs=8_000)
    before = harness.now()
    reply = harness.serve(HANG_S, ScriptedResponse(), client_timeout_ms=8_000)
    assert reply.status == 200 and len(harness.calls) == 2
    assert MIN_FIRST_BYTE_TIMEOUT_US < harness.now() - before < 3 * S
    hung = harness.state.placement.workers[extra_headers(harness.calls[0])["Expect-Instance"]]
    assert hung.reliability.is_suspect(harness.now())


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_request_that_is_not_idempotent_waits_for_hanging_worker(kind):
    harness = RouterHarness(kind=kind, timeoutMs=8_000)
    reply = harness.serve(5.0, ScriptedResponse(), client_timeout_ms=8_000)
    assert reply.status == 200 and len(harness.calls) == 1


def test_request_without_retry_budget_waits_for_hanging_worker():
    harness = RouterHarness(kind="safe", timeoutMs=8_000)
    harness.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    assert (
        harness.serve(5.0, ScriptedResponse(), client_timeout_ms=8_000).status == 200
        and len(harness.calls) == 1
    )


def test_request_waits_for_worker_that_has_begun_to_respond():
    slow = ScriptedResponse(parts=[EVENTS[0]])

    async def chunks():
        yield EVENTS[0]
        await asyncio.sleep(4.0)
        yield EVENTS[1]

    slow.chunks = chunks
    harness = model_harness(resume=True)
    reply = harness.serve(slow, client_timeout_ms=8_000, token_usage="100,90", prefix_hash="aa:60,bb:40")
    assert reply.body == EVENTS[0] + EVENTS[1] and reply.ended == "complete" and len(harness.calls) == 1


def test_prefill_is_retried_when_worker_hangs():
    """Guards requests whose first worker never answers: no other one was tried until the deadline."""
    harness = model_harness()
    before = harness.now()
    reply = harness.serve(
        HANG_S, PREFILL_RESULT, ScriptedResponse(parts=EVENTS), client_timeout_ms=8_000, **PROMPT
    )
    assert reply.ended == "complete" and harness.now() - before < 5 * S
    prefill_calls = [call for call in harness.calls if extra_headers(call).get("Phase")]
    assert len(prefill_calls) == 2 and prefill_calls[0].address != prefill_calls[1].address


@pytest.mark.parametrize(
    "failure", [OutcomeUnknownError("reset"), ScriptedResponse(500), ScriptedResponse(200, [b"nonsense"])]
)
def test_failing_prefill_worker_becomes_suspect(failure):
    harness = model_harness()
    harness.serve(failure, PREFILL_RESULT, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    prefill_worker = harness.state.placement.workers[extra_headers(harness.calls[0])["Expect-Instance"]]
    assert prefill_worker.reliability.is_suspect(harness.now())


def test_worker_that_rejects_despite_free_capacity_has_higher_cost():
    harness = RouterHarness(kind="safe")
    harness.serve(REJECTION, ScriptedResponse())
    rejecting = harness.state.placement.workers[extra_headers(harness.calls[0])["Expect-Instance"]]
    assert rejecting.reliability.expected_cost(FailureCosts(rejection=1.0), harness.now()) > 0.1


# --- log, probes, metrics ---


def test_suspicion_callback_is_called_once_per_change(placement):
    notified: list[tuple[str, bool]] = []
    placement.on_suspicion_changed = lambda record, suspect: notified.append((record.instance, suspect))
    send = placement.begin_attempt(placement.selector.choose("s", S, set()), NO_PROMPT, S, takes_slot=True)
    instance = send.worker.record.instance
    for end in [AttemptOutcome.FAILED] * 2 + [AttemptOutcome.SERVED] * 40:
        placement.record_outcome(send, end, S)
    assert notified == [(instance, True), (instance, False)]


def test_deadline_of_an_attempt_is_not_taken_over_by_later_attempts(placement):
    # Nobody else refers to the first attempt, so that the memory of a forgotten one would be used again.
    choice = placement.selector.choose("s", S, set())
    placement.begin_attempt(choice, NO_PROMPT, S, takes_slot=True)
    deadlines = list(choice.worker.answer_deadlines.values())
    for _ in range(400):
        placement.end_attempt(placement.begin_attempt(choice, NO_PROMPT, 2 * S, takes_slot=True))
    assert list(choice.worker.answer_deadlines.values()) == deadlines


def test_some_idempotent_requests_are_sent_to_failing_worker():
    harness = RouterHarness(kind="safe", retries=2)
    placement = harness.state.placement
    record_outcomes(placement, "i-1", 4, harness.now())
    for instance in ("i-2", "i-3"):  # both are busy, and the worker that failed is idle
        choice = placement.selector.choose("s", harness.now(), set(placement.workers) - {instance})
        placement.begin_attempt(choice, NO_PROMPT, harness.now(), takes_slot=True)
    for _ in range(200):
        harness.serve(ScriptedResponse())
    requested = [extra_headers(call)["Expect-Instance"] for call in harness.calls]
    assert "i-1" not in requested[:3] and "i-1" in requested
    assert not placement.workers["i-1"].reliability.is_suspect(harness.now()), "the probes were served"


def test_requests_that_are_not_idempotent_are_not_sent_to_failing_worker():
    harness = RouterHarness(kind="unsafe")
    record_outcomes(harness.state.placement, "i-1", 4, harness.now())
    for _ in range(100):
        harness.serve(ScriptedResponse())
    assert all(extra_headers(call)["Expect-Instance"] != "i-1" for call in harness.calls)


def test_metrics_show_outcomes_prefills_and_refusals():
    harness = model_harness()
    harness.serve(PREFILL_RESULT, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    harness.serve(
        ScriptedResponse(500), client_timeout_ms=6_000, token_usage="100,90", prefix_hash="aa:60,bb:40"
    )
    harness.state.placement.workers.clear()
    harness.serve()
    memory = ConnectionMemory(connection_limits(256))
    text = metrics.render(harness.state.placement.statistics, metrics.ConfigVersions(1, 0), memory).decode()
    prefill_worker = extra_headers(harness.calls[0])["Expect-Instance"]
    assert f'hazelbend_sends_total{{end="served",worker="{prefill_worker}"}} 1.0' in text
    counts = harness.state.placement.statistics.for_worker(prefill_worker)
    assert counts.prefilled_tokens + counts.cached_tokens == 17_000 and counts.prefilled_tokens >= 4_000
    assert (
        f'hazelbend_prompt_tokens_total{{as="read",worker="{prefill_worker}"}} {counts.prefilled_tokens}.0'
        in text
    )
    assert f'hazelbend_reads_ratio_bucket{{le="+Inf",worker="{prefill_worker}"}} 1.0' in text
    assert 'end="failed"' in text and 'hazelbend_refusals_total{reason="no_worker"} 1.0' in text


def test_ratios_are_counted_in_cumulative_buckets():
    histogram = RatioHistogram()
    for elapsed in (10, 100, 120, 5_000):
        histogram.add(elapsed, 100)
    histogram.add(5, 0)
    counts = dict(histogram.cumulative())
    assert (counts[0.25], counts[1.0], counts[1.5], counts[10.0], counts[float("inf")]) == (1, 2, 3, 3, 4)
    assert histogram.total == pytest.approx(52.3)


def test_clean_record_shortcut_matches_full_computation():
    """Guards the shortcut that saves time in selection: most workers of a large fleet have a clean record."""
    served, full = Reliability(), Reliability(has_clean_record=False)
    for at in range(50):
        for reliability in (served, full):
            reliability.record(AttemptOutcome.SERVED, at * S, in_own_zone=True)
            reliability.has_clean_record = reliability is served
        now = at * S + S // 2
        assert served.expected_cost(NOT_IDEMPOTENT, now) == full.expected_cost(NOT_IDEMPOTENT, now) == 0.0
        assert not served.is_suspect(now) and not full.is_suspect(now)
    served.record(AttemptOutcome.FAILED, 50 * S, in_own_zone=True)
    assert served.expected_cost(NOT_IDEMPOTENT, 50 * S) > 0.0 and served.is_suspect(50 * S)
