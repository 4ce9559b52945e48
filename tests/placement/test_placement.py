"""Placement: routes, prompts, the retry budget, estimates, and the selection of workers."""

from __future__ import annotations

import json
import random
from collections.abc import Iterable

import pytest

from hazelbend.control.configuration import Service
from hazelbend.control.configuration_reader import read_configuration
from hazelbend.control.load_table import CachedPrefix, Load
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.placement.ended_workers import MAX_ENDED_WORKERS, EndedWorkers
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.policy import DEFAULT_POLICY, PREFILL_UNIT_TOKENS
from hazelbend.placement.prefill_model import PrefillTimeModel
from hazelbend.placement.prompt import PrefixSegment, parse_prompt
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import RouteTable
from hazelbend.placement.worker_replicas import Liveness

S = 1_000_000
ENGINE = {"capacity": 64, "kvCapacity": 400_000, "kvTokenBytes": 18_000, "bandwidthMbps": 370_000.0}


def route_table(*routes: dict[str, object]) -> RouteTable:
    base = {"name": "r", "host": "a.example", "prefix": "/", "kind": "safe", "timeoutMs": 100}
    services = [{"name": "s"}, {"name": "t"}, {"name": "u"}, {"name": "llm", "engine": ENGINE}]
    documents = [base | (route if "split" in route else {"backend": "s"} | route) for route in routes]
    document = {"version": 1, "routes": documents, "services": services}
    return RouteTable(read_configuration(json.dumps(document).encode()))


def report_liveness(
    placement: PlacementEngine, silent: Iterable[str] = (), expired: Iterable[str] = ()
) -> list[str]:
    """Report these workers as silent and as expired, and all others as alive."""
    liveness = dict.fromkeys(silent, Liveness.SILENT) | dict.fromkeys(expired, Liveness.EXPIRED)
    return placement.update_liveness(lambda instance: liveness.get(instance, Liveness.ALIVE))


# --- routes ---


def test_route_with_longest_prefix_is_found():
    routes = route_table(
        {"prefix": "/a/", "name": "a"}, {"prefix": "/a/b/", "name": "ab"}, {"host": "b.example"}
    )
    assert routes.find("a.example", "/a/b/c").name == "ab"
    assert routes.find("A.example:80", "/a/bc").name == "a"
    assert routes.find("a.example", "/ab/") is None and routes.find("a.example", "/a") is None
    assert routes.find("b.example", "/anything").prefix == "/"
    assert routes.find("c.example", "/a/") is None


def test_split_route_picks_backends_by_weight():
    split = [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}, {"backend": "u", "weight": 0}]
    route = route_table({"split": split}).find("a.example", "/")
    rng = random.Random(1)
    drawn = [route.pick_service(rng) for _ in range(2_000)]
    assert 150 < drawn.count("t") < 250 and "u" not in drawn


@pytest.mark.parametrize(
    ("kind", "resume", "idempotent"),
    [("safe", False, True), ("unsafe", False, False), ("stream", False, False), ("stream", True, True)],
)
def test_route_idempotency_by_kind_and_resume(kind, resume, idempotent):
    assert route_table({"kind": kind, "resume": resume}).find("a.example", "/").is_idempotent is idempotent


# --- prompts ---


def test_prompt_is_parsed_from_its_headers():
    prompt = parse_prompt("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert (prompt.tokens, prompt.max_output_tokens) == (1460, 80)
    assert prompt.shared_prefix == (PrefixSegment("5c1e07a2", 800), PrefixSegment("91bd3f06", 410))
    assert prompt.prefix_key == "91bd3f06"


@pytest.mark.parametrize(("usage", "parts"), [(None, None), ("", ""), ("x,y", "::"), ("5", "a:b,:3")])
def test_malformed_prompt_headers_count_as_absent(usage, parts):
    prompt = parse_prompt(usage, parts)
    assert prompt.shared_prefix == () and prompt.prefix_key == ""


# --- the retry budget ---


def test_retries_of_all_routers_stay_within_the_budget_of_every_window():
    window, ratio, slack, routers = 10 * S, 0.2, 62.0, 11
    rng = random.Random(4)
    budgets = [RetryBudget(ratio, slack, window) for _ in range(routers)]
    requests: list[int] = []
    retries: list[int] = []
    now = 0
    for _ in range(6_000):
        now += rng.randrange(20_000)
        budget = rng.choice(budgets)
        requests.append(now)
        budget.record_request(now)
        for _ in range(2):
            if budget.try_spend(now, routers):
                retries.append(now)
    for at in retries:
        in_window = sum(at - window < other <= at for other in retries)
        request_count = sum(at - window < other <= at for other in requests)
        assert in_window <= ratio * request_count + slack
    assert len(retries) > 500


# --- prefill times ---


@pytest.mark.parametrize(("overhead", "unit_time"), [(22_000, 14_000), (120_000, 12_000), (5_000, 40_000)])
def test_prefill_overhead_and_unit_time_are_learnt_despite_outliers(overhead, unit_time):
    model, rng = PrefillTimeModel(22_000, 16_000), random.Random(2)
    for _ in range(150):
        units = rng.choice([0.5, 1, 2, 7, 20, 40])
        late = 400_000 if rng.random() < 0.05 else 0
        model.add_sample(units, overhead + unit_time * units + late)
    for units in (1, 10, 40):
        assert model.expected_time(units) == pytest.approx(overhead + unit_time * units, rel=0.35)


@pytest.mark.parametrize("seed", range(5))
def test_prefill_overhead_far_from_initial_guess_is_learnt_from_a_dozen_prefills(seed):
    """Guards large fleets, where each router sees few prefills.

    Prefills of less than a unit took 136 ms where the model estimated 62 ms, for a whole day.
    """
    model, rng = PrefillTimeModel(22_000, 16_000), random.Random(seed)
    for _ in range(12):
        units = rng.choice([0.5, 1, 1, 2, 2, 3, 3, 6, 10, 20])
        model.add_sample(units, 113_000 + 15_000 * units)
    for units in (1, 3, 20):
        assert model.expected_time(units) == pytest.approx(113_000 + 15_000 * units, rel=0.25)


# --- selection of workers ---


def worker(number: int, phase: str = "", zone: str = "z", **more: object) -> WorkerRecord:
    values = {"state": WorkerState.READY, "seq": 1, "capacity": 64} | more
    return WorkerRecord(
        instance=f"i-{number}", service="llm" if phase else "s", address=f"10.9.0.{number}:80",
        zone=zone, phase=phase, **values)  # fmt: skip


@pytest.fixture
def placement() -> PlacementEngine:
    """An engine with two prefill workers, two decode workers and three workers without phases."""
    engine = PlacementEngine("z", 1)
    engine.services = {"llm": Service("llm", engine=route_table().services["llm"].engine), "s": Service("s")}
    for record in (*(worker(n, "prefill") for n in (1, 2)), *(worker(n, "decode") for n in (3, 4))):
        engine.merge(record)
    for number in (5, 6, 7):
        engine.merge(worker(number, capacity=6))
    return engine


LONG = parse_prompt("17000,100", "aa:13000,bb:4000")
SHORT = parse_prompt("100,100", "cc:60,dd:40")


def test_service_without_phases_uses_worker_with_least_expected_delay(placement):
    placement.apply_load_report({"i-5": Load(6, 0), "i-6": Load(4, 0), "i-7": Load(5, 0)}, (), 0)
    assert placement.selector.choose("s", 0, set()).worker.record.instance == "i-6"
    assert placement.selector.choose("s", 0, {"i-6"}).worker.record.instance == "i-7"
    send = placement.begin_attempt(
        placement.selector.choose("s", 0, set()), parse_prompt(None, None), 0, takes_slot=True
    )
    for _ in range(3):
        placement.begin_attempt(
            placement.selector.choose("s", 0, {"i-5", "i-7"}), parse_prompt(None, None), 0, takes_slot=True
        )
    assert placement.selector.choose("s", 0, set()).worker.record.instance == "i-7", "own attempts count"
    placement.end_attempt(send)


def test_estimated_peer_jobs_decrease_with_age_of_report(placement):
    estimate = placement.workers["i-5"].requests
    for _ in range(20):  # the usual job count is low
        placement.apply_load_report({}, (), 0)
    placement.apply_load_report({"i-5": Load(6, 0)}, (), 0)
    assert estimate.expected(0) == pytest.approx(6)
    assert estimate.expected(100_000) < 5.5 and estimate.expected(10 * S) < 3


def test_long_prompt_goes_to_prefill_worker_and_short_one_to_decode_worker(placement):
    pair = placement.selector.choose_pair("llm", LONG, 0, set())
    assert pair.prefill.worker.record.phase == "prefill" and pair.decode.worker.record.phase == "decode"
    assert placement.selector.choose_pair("llm", SHORT, 0, set()).prefill is None


def test_prompt_goes_to_worker_with_prefix_cached_by_peer(placement):
    for holder in ("i-1", "i-2"):
        fresh = PlacementEngine("z", 3)
        fresh.services, fresh.workers = placement.services, placement.workers
        prefix = f"prefix-{holder}"
        prompt = parse_prompt("17000,100", f"{prefix}:13000,bb:4000")
        placement.apply_load_report({}, (CachedPrefix(holder, prefix, 13_000),), 0)
        pair = placement.selector.choose_pair("llm", prompt, 0, set())
        assert pair.prefill.worker.record.instance == holder and pair.prefill.prefill_tokens == 4_000


def test_prefill_backlog_outweighs_cached_prefix(placement):
    placement.apply_load_report({"i-1": Load(5, 60_000)}, (CachedPrefix("i-1", "aa", 13_000),), 0)
    assert placement.selector.choose_pair("llm", LONG, 0, set()).prefill.worker.record.instance == "i-2"


def test_all_routers_prefer_same_worker_for_unknown_prefix():
    preferred = set()
    for seed in range(5):
        engine = PlacementEngine("z", seed)
        engine.services = {"llm": Service("llm", engine=route_table().services["llm"].engine)}
        for number in random.Random(seed).sample(range(1, 9), 8):
            engine.merge(worker(number, "prefill" if number < 7 else "decode"))
        preferred.add(engine.selector.choose_pair("llm", LONG, 0, set()).prefill.worker.record.instance)
    assert len(preferred) == 1


def test_decode_worker_in_zone_of_prefill_worker_is_preferred():
    engine = PlacementEngine("z", 2)
    engine.services = {"llm": Service("llm", engine=route_table().services["llm"].engine)}
    for record in (worker(1, "prefill"), worker(2, "decode", zone="y"), worker(3, "decode")):
        engine.merge(record)
    assert engine.selector.choose_pair("llm", LONG, 0, set()).decode.worker.record.instance == "i-3"
    engine.apply_load_report({"i-3": Load(600, 0)}, (), 0)
    assert engine.selector.choose_pair("llm", LONG, 0, set()).decode.worker.record.instance == "i-2"
    source = engine.workers["i-1"].record
    assert (
        engine.selector.choose_decode_worker("llm", LONG, source, 0, {"i-2"}).worker.record.instance == "i-3"
    )


def test_own_prefills_count_by_their_remaining_units(placement):
    send = placement.begin_attempt(
        placement.selector.choose_pair("llm", LONG, 0, set()).prefill, LONG, 0, takes_slot=False
    )
    instance = send.worker.record.instance
    before, after = placement.own_loads(0)[instance].tokens, placement.own_loads(300_000)[instance].tokens
    assert 0 < after < before
    placement.end_attempt(send)
    assert placement.own_loads(300_000) == {}
    placement.end_attempt(send)  # a second call does nothing
    assert send.worker.prefill.own_jobs == 0


def test_older_record_does_not_bring_an_ended_worker_back(placement):
    """Guards against a control process that was partitioned or has restarted, and still lists the worker."""
    placement.merge(worker(1, "prefill", seq=2, state=WorkerState.GONE))
    report_liveness(placement)
    unknown = worker(99, "prefill", seq=1)
    placement.merge(worker(99, "prefill", seq=3, state=WorkerState.GONE))
    for record in (worker(1, "prefill", seq=1), unknown):
        placement.merge(record)
        assert record.instance not in placement.workers


def test_number_of_remembered_ended_workers_is_bounded():
    ended = EndedWorkers()
    for number in range(MAX_ENDED_WORKERS + 1):
        ended.add(f"i-{number}")
    assert "i-0" not in ended and "i-1" in ended and f"i-{MAX_ENDED_WORKERS}" in ended


def test_draining_or_phase_changing_worker_is_not_chosen(placement):
    placement.merge(worker(1, "prefill", seq=2, state=WorkerState.DRAINING))
    assert placement.selector.choose_pair("llm", LONG, 0, set()).prefill.worker.record.instance == "i-2"
    placement.set_phase_changing({"i-2"})
    assert placement.selector.choose_pair("llm", LONG, 0, set()).prefill is None
    placement.set_phase_changing(set())
    placement.merge(worker(2, "decode", seq=2))
    assert placement.selector.choose_pair("llm", LONG, 0, set()).prefill is None
    placement.merge(worker(3, "decode", seq=1, state=WorkerState.DRAINING))
    assert placement.workers["i-3"].accepts_work, "an old record changes nothing"


def test_unreachable_or_unresponsive_worker_is_last_choice(placement):
    placement.workers["i-5"].record_connect_failure(0)
    report_liveness(placement, silent=["i-6"])
    assert placement.selector.choose("s", 1, set()).worker.record.instance == "i-7"
    assert placement.selector.choose("s", 1, {"i-7"}).worker.record.instance == "i-6"
    assert placement.selector.choose("s", 1, {"i-6", "i-7"}).worker.record.instance == "i-5"
    assert placement.selector.choose("s", 1, {"i-5", "i-6", "i-7"}) is None


def test_prefill_workers_are_used_when_all_workers_miss_heartbeats(placement):
    """Guards the first second after the loss of all control processes: the penalty for missing heartbeats
    counted twice for a pair, and every prompt went to the few decode workers."""
    before = placement.selector.choose_pair("llm", LONG, 0, set())
    assert before.prefill is not None
    report_liveness(placement, silent=placement.workers)
    after = placement.selector.choose_pair("llm", LONG, 0, set())
    assert after.prefill is not None
    prefill, decode = after.prefill.worker.record.instance, after.decode.worker.record.instance
    report_liveness(placement, silent=set(placement.workers) - {prefill, decode})
    assert placement.selector.choose_pair("llm", LONG, 0, set()).prefill.worker.record.instance == prefill


def test_expired_worker_is_dropped_once_no_attempt_is_in_flight(placement):
    send = placement.begin_attempt(
        placement.selector.choose("s", 0, {"i-6", "i-7"}), parse_prompt(None, None), 0, takes_slot=True
    )
    assert report_liveness(placement, expired=["i-5"]) == []
    assert "i-5" in placement.workers
    assert placement.selector.choose("s", 0, set()).worker.record.instance != "i-5"
    placement.end_attempt(send)
    assert report_liveness(placement, expired=["i-5"]) == ["i-5"]
    assert "i-5" not in placement.workers


# Guards against an expiry that stays once an attempt has been in flight across it (review/6).
def test_expired_worker_that_is_heard_again_is_used_again_and_not_dropped(placement):
    send = placement.begin_attempt(
        placement.selector.choose("s", 0, {"i-6", "i-7"}), parse_prompt(None, None), 0, takes_slot=True
    )
    report_liveness(placement, expired=["i-5"])
    assert placement.workers["i-5"].misses_heartbeats
    placement.update_liveness(lambda instance: Liveness.UNKNOWN)
    assert placement.workers["i-5"].misses_heartbeats, "no control process knows more than before"
    report_liveness(placement)
    assert not placement.workers["i-5"].misses_heartbeats
    placement.end_attempt(send)
    report_liveness(placement)
    assert placement.selector.choose("s", 0, {"i-6", "i-7"}).worker.record.instance == "i-5"


def test_worker_with_new_heartbeat_no_longer_misses_heartbeats(placement):
    report_liveness(placement, silent=["i-5", "i-6"])
    report_liveness(placement, silent=["i-6"])
    assert not placement.workers["i-5"].misses_heartbeats and placement.workers["i-6"].misses_heartbeats


def test_newest_record_of_control_processes_replaces_one_that_differs_and_a_draining_worker_stays_so(
    placement,
):
    """A control process that was out of touch may have sent a record with another phase before."""
    placement.merge(worker(1, "decode", seq=9))
    placement.reconcile(worker(1, "prefill", seq=2))
    assert placement.workers["i-1"].record.phase == "prefill"
    placement.merge(worker(1, "prefill", seq=10, state=WorkerState.DRAINING))
    placement.reconcile(worker(1, "prefill", seq=2))
    assert not placement.workers["i-1"].accepts_work


def test_recompute_price_rises_with_utilization_of_prefill_workers(placement):
    """At busy workers, a prefill delays later requests by more than its own time; at idle ones, by less."""
    fleet = placement._fleet
    idle = fleet.recompute_price("llm")
    for _ in range(200):
        placement.apply_load_report({"i-1": Load(1, 2_000), "i-2": Load(1, 2_000)}, (), 0)
    busy = fleet.recompute_price("llm")
    for _ in range(200):
        placement.apply_load_report({}, (), 0)
    idle_again = fleet.recompute_price("llm")
    unit_time = fleet.prefill_model(placement.workers["i-1"].record).unit_time / PREFILL_UNIT_TOKENS
    assert idle_again < idle < unit_time < busy <= DEFAULT_POLICY.max_queueing_factor * unit_time
