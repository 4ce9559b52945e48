"""The control plane's engines: configurations, workers, loads, phases, and consensus under faults."""

from __future__ import annotations

import json
import random
from contextlib import contextmanager

import msgspec
import pytest

from benchmarks.control.defects import DEFECTS, POINTS, planted_defect
from benchmarks.control.fleet import MS, Fleet, InvariantViolationError, S, has_formed
from benchmarks.control.history import play
from benchmarks.control.model import StepBudget, search
from benchmarks.control.operators import Change, Operators
from benchmarks.control.shrinking import shrink
from hazelbend.consensus.raft import RaftNode
from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import (
    ChangeResult,
    ConfigStateMachine,
    decompress_body,
    encode_config_change,
)
from hazelbend.control.configuration_reader import InvalidConfigurationError, check_configuration
from hazelbend.control.load_table import (
    CachedPrefix,
    CacheTable,
    Load,
    LoadTable,
    LoadUpdate,
    LoadView,
    RouterLoad,
)
from hazelbend.control.phase_planner import PhaseOrder, PhasePlanner
from hazelbend.control.workers import WorkerRecord, WorkerRegistry, WorkerState

NO_WEIGHT = {"split": [{"backend": "s", "weight": 0}]}
ROUTE = {"name": "r", "host": "a.example", "prefix": "/x/", "kind": "safe", "timeoutMs": 100, "backend": "s"}


def configuration(**changes: object) -> dict[str, object]:
    return {"version": 3, "routes": [dict(ROUTE)], "services": [{"name": "s"}]} | changes


def finding_paths(document: object) -> list[str]:
    with pytest.raises(InvalidConfigurationError) as caught:
        check_configuration(json.dumps(document).encode())
    return [finding.path for finding in caught.value.findings]


# --- configurations ---


def test_check_of_a_valid_configuration_returns_its_version_and_ignores_unknown_fields():
    document = configuration(colour="red")
    document["routes"][0]["shape"] = "round"
    assert check_configuration(json.dumps(document).encode()) == 3


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"version": 0}, "version"),
        ({"version": "3"}, "version"),
        ({"routes": [ROUTE | {"backend": "nobody"}]}, "routes[0].backend"),
        ({"routes": [ROUTE, ROUTE | {"name": "q"}]}, "routes[1].prefix"),
        ({"routes": [ROUTE | {"timeoutMs": 0}]}, "routes[0].timeoutMs"),
        ({"routes": [ROUTE | {"prefix": "x"}]}, "routes[0].prefix"),
        ({"routes": [{k: v for k, v in ROUTE.items() if k != "backend"}]}, "routes[0]"),
        ({"routes": [{k: v for k, v in ROUTE.items() if k != "backend"} | NO_WEIGHT]}, "routes[0].split"),
        ({"routes": [{k: v for k, v in ROUTE.items() if k != "kind"}]}, "routes[0].kind"),
        ({"services": [{"name": "s"}, {"name": "s"}]}, "services[1].name"),
        ({"limits": {"maxBodyBytes": 0}}, "limits.maxBodyBytes"),
    ],
)  # fmt: skip
def test_invalid_field_is_reported_with_its_path(changes, path):
    assert finding_paths(configuration(**changes)) == [path]


def test_all_errors_are_reported_together():
    routes = [ROUTE | {"timeoutMs": 0}, ROUTE | {"kind": "odd"}]
    assert finding_paths(configuration(version=-1, routes=routes)) == [
        "version", "routes[0].timeoutMs", "routes[1].kind"]  # fmt: skip


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"version":3'])
def test_incomplete_document_is_rejected(body):
    with pytest.raises(InvalidConfigurationError):
        check_configuration(body)


def test_change_is_accepted_on_its_base_version_and_when_it_is_resent():
    state_machine = ConfigStateMachine()
    first, second, rival = b'{"v":4}', b'{"v":7}', b'{"v":8}'
    assert state_machine.apply(1, encode_config_change(0, 4, first)) is ChangeResult.ACCEPTED
    assert state_machine.apply(2, encode_config_change(0, 5, rival)) is ChangeResult.CONFLICT
    assert state_machine.apply(3, encode_config_change(4, 4, rival)) is ChangeResult.VERSION_NOT_NEWER
    assert state_machine.apply(4, encode_config_change(4, 7, second)) is ChangeResult.ACCEPTED
    assert state_machine.apply(5, encode_config_change(0, 4, first)) is ChangeResult.ACCEPTED, (
        "a resend after a newer version"
    )
    assert state_machine.apply(6, encode_config_change(0, 4, rival)) is ChangeResult.CONFLICT, (
        "another change with the same base and version"
    )
    restored = ConfigStateMachine()
    restored.restore(state_machine.snapshot())
    assert decompress_body(restored.current) == second
    assert restored.apply(7, encode_config_change(0, 4, first)) is ChangeResult.ACCEPTED, (
        "a resend after a restore"
    )


# --- workers ---


def record(instance: str = "i-1", seq: int = 1, **more: object) -> WorkerRecord:
    values = {"service": "s", "address": "10.9.0.1:80", "zone": "z", "state": WorkerState.READY} | more
    return WorkerRecord(instance=instance, seq=seq, **values)


def test_records_merge_to_the_same_result_in_any_order_and_gone_is_final():
    history = [
        record(seq=1),
        record(seq=5, state=WorkerState.DRAINING),
        record(seq=3),
        record(seq=2, state=WorkerState.GONE),
        record(seq=9),
    ]
    for order in (history, history[::-1], history[2:] + history[:2]):
        registry = WorkerRegistry(S)
        for merged in order:
            registry.merge(merged, 0)
        assert registry.tracked["i-1"].record.state is WorkerState.GONE


def test_late_heartbeat_changes_nothing_and_is_not_forwarded():
    registry = WorkerRegistry(S)
    assert registry.merge(record(seq=4, state=WorkerState.DRAINING), 10) == [
        record(seq=4, state=WorkerState.DRAINING)
    ]
    assert registry.merge(record(seq=3), 20) == []
    assert registry.tracked["i-1"].record.state is WorkerState.DRAINING
    assert registry.merge(record(seq=5, state=WorkerState.DRAINING), 30) == [], (
        "only the sequence number has changed, which is not forwarded"
    )


def test_worker_without_heartbeats_counts_as_silent_first_and_expires_later():
    registry = WorkerRegistry(S)
    registry.merge(record(), 0)
    tracked_worker = registry.tracked["i-1"]
    assert not registry.is_silent(tracked_worker, 2 * S) and registry.is_silent(tracked_worker, 3 * S)
    registry.expire(9 * S)
    assert "i-1" in registry.tracked
    registry.record_heartbeat("i-1", 8 * S)
    registry.expire(11 * S)
    assert "i-1" in registry.tracked, "another process has received a heartbeat"
    registry.expire(30 * S)
    assert "i-1" not in registry.tracked


def test_ages_cover_only_workers_with_a_heartbeat_since_the_last_message():
    registry = WorkerRegistry(S)
    registry.merge(record("i-1", address="10.0.0.1:1"), 0)
    registry.merge(record("i-2", address="10.0.0.2:1"), 0)
    registry.take_recent_ages(0)
    registry.record_heartbeat("i-1", 2 * S)
    registry.record_heartbeat("i-2", 0)
    assert registry.take_recent_ages(3 * S) == {"i-1": S}, "ages that were sent are not sent again"
    assert registry.take_recent_ages(3 * S) == {}
    assert registry.silent_ages(3 * S) == {"i-2": 3 * S}, "routers receive the ages of silent workers only"


def test_restored_worker_counts_as_silent_only_after_a_grace_period():
    """No heartbeats could arrive while the control process was down, so that restored workers must not count
    as silent right after its start."""
    fleet = Fleet(seed=1)
    fleet.run(10 * S)
    engine = fleet.alive[0].engine
    heartbeat_us = engine.settings.heartbeat_us
    engine.restore_workers((record("i-1"),), fleet.now)
    assert not engine.registry.silent_ages(fleet.now + round(1.2 * heartbeat_us))
    assert engine.registry.silent_ages(fleet.now + round(1.7 * heartbeat_us))


# --- loads and caches ---


def test_router_gets_the_summed_unfinished_work_of_all_other_routers():
    table = LoadTable()
    table.merge(RouterLoad("a", 1, {"i": Load(2, 300), "j": Load(1, 0)}), 0)
    table.merge(RouterLoad("b", 1, {"i": Load(1, 50)}), 0)
    assert table.total_loads() == {"i": Load(3, 350), "j": Load(1, 0)}
    assert table.all_other_loads("a") == {"i": Load(1, 50)}
    assert table.all_other_loads("new") == table.total_loads()
    assert not table.merge(RouterLoad("a", 1, {}), 1), "an outdated report"
    assert table.merge(RouterLoad("a", 2, {}), 1)
    table.expire(10 * S)
    assert table.total_loads() == {}


@pytest.mark.parametrize("seed", range(20))
def test_incremental_updates_keep_a_routers_copy_of_the_loads_correct(seed):
    """A router that gets only changed loads has the same copy as one that gets complete updates."""
    rng = random.Random(seed)
    table = LoadTable()
    views = {router: LoadView() for router in "abc"}
    reports: dict[str, dict[str, Load]] = {}
    for step in range(200):
        router = rng.choice("abcd")
        workers = rng.sample("ijklmn", rng.randrange(6))
        reports[router] = {worker: Load(rng.randrange(3), 500 * rng.randrange(3)) for worker in workers}
        table.merge(RouterLoad(router, step, reports[router]), step * S)
        if rng.random() < 0.2:
            table.expire(step * S + 2 * S)
        if rng.random() < 0.5:
            changed = table.take_changed()
            for name, view in views.items():
                view.apply(LoadUpdate(table.other_loads(name, changed)))
                assert view.loads == table.all_other_loads(name)
        if rng.random() < 0.05:
            views["a"] = LoadView()
            views["a"].apply(LoadUpdate(table.all_other_loads("a"), complete=True))


def test_total_loads_are_the_sums_of_the_last_reports():
    table = LoadTable()
    for seq in range(5):
        table.merge(RouterLoad("a", seq, {"i": Load(seq, 10 * seq)}), 0)
        table.merge(RouterLoad("b", seq, {"i": Load(1, 0), "j": Load(seq, 0)}), 0)
    assert table.total_loads() == {"i": Load(5, 40), "j": Load(4, 0)}
    assert table.take_changed() == {"i", "j"}
    assert table.take_changed() == set()


def test_cached_prefixes_of_a_worker_are_removed_when_it_ends():
    table = CacheTable()
    table.add([CachedPrefix("i", "p", 10), CachedPrefix("j", "q", 20)])
    table.remove("i")
    assert table.all() == (CachedPrefix("j", "q", 20),)


def test_soft_state_and_messages_round_trip_through_their_encoding():
    state = m.SoftState((record(),), (CachedPrefix("i", "p", 1),))
    assert m.decode_soft_state(m.encode_soft_state(state)) == state
    for body in (
        m.Ping(),
        m.SubscribeRequest("r", 3),
        m.WorkerUpdate(1, (record(),), {"i-1": 5}),
        RouterLoad("a", 1, {}),
    ):
        assert m.decode(m.encode(body)) == body


def test_cached_prefixes_are_encoded_in_a_few_bytes_each():
    """On links of 5 Mbit/s, the uncompressed prefixes of 70 workers occupied a router's link for 0.6 s."""
    rng = random.Random(1)
    table = CacheTable()
    prefixes = [
        CachedPrefix(f"i-{worker:010x}", f"{rng.randrange(2**32):08x}", rng.randrange(40_000))
        for worker in range(70)
        for _ in range(100)
    ]
    table.add(prefixes)
    update = m.decode(m.encode(m.CacheUpdate.from_prefixes(table.by_instance)))
    assert set(update.cached_prefixes()) == set(prefixes)
    assert len(update.body) < 12 * len(prefixes)
    with pytest.raises(msgspec.DecodeError):
        m.CacheUpdate(b"nonsense").cached_prefixes()


# --- consensus: scenarios ---


@pytest.fixture
def fleet() -> Fleet:
    """Three machines that have formed a cluster."""
    formed = Fleet(7, loss=0.0)
    assert formed.run_until(lambda: has_formed(formed, 3), 5 * S)
    return formed


def put_and_wait(
    fleet: Fleet, *, base: int, version: int, body: bytes, at: str | None = None
) -> list[object]:
    """Send a change to a machine, by default the leader; returns its results after at most 2 s."""
    results: list[object] = []
    fleet.put(at or fleet.leader.address, base, version, body, results.append)
    fleet.run_until(lambda: bool(results), 2 * S)
    return results


@pytest.mark.parametrize("machines", [1, 2, 3, 4, 5, 6, 7])
def test_first_start_forms_one_cluster_with_one_leader(machines):
    fleet = Fleet(3, machines, tolerance=(machines - 1) // 2)
    assert fleet.run_until(
        lambda: fleet.leader is not None and len(fleet.leader.engine.raft.voters) == machines, 4 * S
    )
    assert len({machine.engine.raft.persistent.epoch for machine in fleet.alive}) == 1
    fleet.run(2 * S)
    assert sum(machine.engine.raft.is_leader for machine in fleet.alive) == 1


def test_change_is_not_acknowledged_without_enough_replicas():
    fleet = Fleet(5)
    fleet.run(1)
    for address in fleet.addresses[1:]:
        fleet.kill(address)
        fleet.machines[address].removed = True
    fleet.run(5 * S)
    assert fleet.leader.engine.raft.voters == (fleet.leader.engine.identity,)
    assert put_and_wait(fleet, base=0, version=1, body=b"{}") == [None]


def test_wiped_machine_never_bootstraps_and_rejoins_under_a_new_identity(fleet):
    victim = next(machine for machine in fleet.alive if machine is not fleet.leader)
    before = victim.engine.identity
    fleet.wipe(victim.address)
    fleet.run(200 * MS)
    fleet.start(victim.address)
    assert fleet.run_until(lambda: victim.engine.identity in fleet.leader.engine.raft.voters, 4 * S)
    assert fleet.run_until(lambda: before not in fleet.leader.engine.raft.voters, 4 * S)


def test_machine_at_a_new_address_replaces_a_removed_one(fleet):
    removed = fleet.leader.address
    new = fleet.replace(removed)
    assert fleet.run_until(lambda: fleet.machines[new].engine is not None, 2 * S)
    assert fleet.run_until(
        lambda: (
            fleet.leader is not None
            and {voter.rpartition("@")[2] for voter in fleet.leader.engine.raft.voters}
            == {*fleet.addresses, new} - {removed}
        ),
        8 * S,
    )


def test_acknowledged_change_survives_a_power_failure_and_a_lost_disk(fleet):
    operators = Operators(fleet)
    operators.sent[2] = {b'{"a":1}'}
    assert put_and_wait(fleet, base=0, version=2, body=b'{"a":1}') == [ChangeResult.ACCEPTED]
    operators.acknowledged[2] = Change(0, 2, b'{"a":1}')
    operators.acknowledged_at.append((fleet.now, 2))
    leader = fleet.leader.address
    for machine in list(fleet.alive):
        fleet.kill(machine.address)
    fleet.wipe(leader)
    for address in fleet.addresses:
        fleet.call_later(500 * MS, lambda address=address: fleet.start(address))
    fleet.run(4 * S)
    operators.check_end()


def test_committed_configuration_is_restored_at_the_start_without_a_leader(fleet):
    assert put_and_wait(fleet, base=0, version=2, body=b'{"a":1}') == [ChangeResult.ACCEPTED]
    assert put_and_wait(fleet, base=2, version=3, body=b'{"a":2}') == [ChangeResult.ACCEPTED]
    follower = next(machine for machine in fleet.alive if machine is not fleet.leader)
    fleet.run(1 * S)
    fleet.kill(follower.address)
    for other in fleet.addresses:
        fleet.partition(follower.address, other)
    fleet.start(follower.address)
    assert follower.engine.config_state.current.version >= 2


def test_operator_can_force_a_new_cluster_on_a_survivor_after_the_loss_of_a_majority(fleet):
    assert put_and_wait(fleet, base=0, version=2, body=b'{"a":1}') == [ChangeResult.ACCEPTED]
    fleet.run(1 * S)
    survivor = next(machine for machine in fleet.alive if machine is not fleet.leader)
    with pytest.raises(ValueError, match="leads"):
        survivor.engine.force_new_cluster(fleet.now)
    for machine in list(fleet.alive):
        if machine is not survivor:
            fleet.wipe(machine.address)
            fleet.call_later(500 * MS, lambda address=machine.address: fleet.start(address))
    fleet.run(3 * S)
    assert fleet.leader is None
    survivor.engine.force_new_cluster(fleet.now)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 5 * S)
    assert {decompress_body(machine.engine.config_state.current) for machine in fleet.alive} == {b'{"a":1}'}
    assert put_and_wait(fleet, base=0, version=2, body=b'{"a":1}') == [ChangeResult.ACCEPTED], (
        "the resend is recognized"
    )
    assert put_and_wait(fleet, base=2, version=3, body=b"{}") == [ChangeResult.ACCEPTED]


def test_change_that_is_resent_to_another_leader_is_still_accepted(fleet):
    body = b'{"a":1}'
    assert put_and_wait(fleet, base=0, version=2, body=body) == [ChangeResult.ACCEPTED]
    assert put_and_wait(fleet, base=2, version=5, body=b'{"a":2}') == [ChangeResult.ACCEPTED]
    old = fleet.leader.address
    fleet.kill(old)
    assert fleet.run_until(lambda: fleet.leader is not None and fleet.leader.address != old, 4 * S)
    assert put_and_wait(fleet, base=0, version=2, body=body) == [ChangeResult.ACCEPTED]
    assert put_and_wait(fleet, base=0, version=2, body=b'{"a":9}') == [ChangeResult.CONFLICT]


def test_leader_with_a_full_disk_is_replaced_and_catches_up_later(fleet):
    old = fleet.leader
    old.disk.full = True
    put_and_wait(fleet, base=0, version=2, body=b"{}")
    assert fleet.run_until(lambda: fleet.leader is not None and fleet.leader is not old, 4 * S)
    assert put_and_wait(fleet, base=0, version=2, body=b"{}") == [ChangeResult.ACCEPTED]
    assert old.engine is not None, "its process is still running"
    old.disk.full = False
    fleet.run(3 * S)
    assert old.engine.config_state.current.version == 2


def test_drain_is_acknowledged_after_another_machine_holds_it(fleet):
    results: list[bool] = []
    draining = record(seq=4, state=WorkerState.DRAINING)
    fleet.send_heartbeat(fleet.addresses[1], draining, results.append)
    assert results == []
    fleet.run(100 * MS)
    assert results == [True]
    assert all(
        machine.engine.registry.tracked["i-1"].record.state is WorkerState.DRAINING for machine in fleet.alive
    )


def test_observer_knows_the_leader_and_is_not_listed_to_routers():
    fleet = Fleet(seed=1, machines=5, tolerance=1, observers=2)
    fleet.run(3 * S)
    core, (first, second) = fleet.addresses[:3], fleet.addresses[3:]
    [leader] = [machine.engine for machine in fleet.alive if machine.engine.raft.is_leader]
    observer = fleet.machines[first].engine
    assert observer.leader == leader.identity
    assert sorted(leader.raft.voters) == sorted(fleet.machines[address].engine.identity for address in core)
    for address in (core[0], first, second):
        update = fleet.machines[address].engine.fleet_status(fleet.now)
        assert sorted(update.control_addresses) == sorted(core)


def test_partitioned_observer_reports_that_heartbeats_reach_no_other_process():
    """Otherwise routers would count a worker as silent that sends its heartbeats to this observer only."""
    fleet = Fleet(seed=1, machines=5, tolerance=1, observers=2)
    fleet.run(3 * S)
    core, observers = fleet.addresses[:3], fleet.addresses[3:]
    for other in core:
        fleet.partition(observers[0], other)
    fleet.run(3 * S)
    reaches_others = {
        machine.address: machine.engine.reaches_quorum_peers(fleet.now) for machine in fleet.alive
    }
    assert reaches_others == {address: address != observers[0] for address in fleet.addresses}


def test_drain_is_acknowledged_only_by_processes_that_count_for_the_quorum():
    """An acknowledged drain must survive the loss of a quorum machine: copies at observers do not count."""
    fleet = Fleet(seed=1, machines=5, tolerance=1, observers=2)
    fleet.run(3 * S)
    core, observers = fleet.addresses[:3], fleet.addresses[3:]
    for other in core[1:]:
        fleet.partition(core[0], other)
        fleet.partition(observers[0], other)
    results: list[bool] = []
    draining = {"seq": 4, "state": WorkerState.DRAINING}
    fleet.send_heartbeat(core[0], record("i-1", address="10.8.0.1:1", **draining), results.append)
    fleet.send_heartbeat(observers[0], record("i-2", address="10.8.0.2:1", **draining), results.append)
    fleet.run(2 * S)
    assert results == [False, False]
    fleet.send_heartbeat(observers[1], record("i-3", address="10.8.0.3:1", **draining), results.append)
    fleet.run(100 * MS)
    assert results == [False, False, True], "two quorum processes hold it"


def test_drain_at_a_partitioned_process_is_not_acknowledged(fleet):
    isolated = fleet.addresses[1]
    for other in fleet.addresses:
        fleet.partition(isolated, other)
    results: list[bool] = []
    fleet.send_heartbeat(isolated, record(seq=4, state=WorkerState.DRAINING), results.append)
    fleet.run(2 * S)
    assert results == [False]
    fleet.send_heartbeat(isolated, record(seq=5), results.append)
    assert results == [False, True], "a heartbeat of a ready worker needs no other process"


@pytest.mark.parametrize(("machines", "tolerance"), [(3, 1), (4, 1), (5, 2), (6, 2)])
@pytest.mark.parametrize("first", [1, 21, 41])
def test_histories_with_faults_keep_the_invariants(first, machines, tolerance):
    for seed in range(first, first + 20):
        play(seed, machines, tolerance, length=25 * S)


def test_model_checks_every_order_of_events_of_three_voters_with_one_replacement():
    found = search(StepBudget(campaigns=2, writes=1, resends=0, restarts=0, wipes=1, delays=0), 100_000)
    assert (found["closed"], found["broken"]) == (True, "") and found["states"] > 20_000


@pytest.mark.parametrize(
    ("defect", "budget"),
    [
        ("no_compare", StepBudget(1, 2, 0, 0, 0, 0)),
        ("resend_not_known", StepBudget(1, 1, 1, 0, 0, 0)),
        ("acknowledge_before_majority", StepBudget(2, 1, 0, 0, 0, 0)),
        ("stale_read", StepBudget(2, 2, 0, 0, 0, 0)),
    ],
)
def test_model_detects_planted_defects_in_few_steps(defect, budget):
    with planted_defect(defect) if defect != "stale_read" else reads_without_majority():
        found = search(budget, 20_000)
    assert found["broken"] and len(found["steps"]) <= 8


@contextmanager
def reads_without_majority():
    """Let a leader's reads complete before a majority has answered."""
    original = RaftNode._is_round_confirmed
    RaftNode._is_round_confirmed = lambda self, number: True
    try:
        yield
    finally:
        RaftNode._is_round_confirmed = original


# For each planted defect, the history that detects it: seed, number of machines, tolerance.
DETECTING_RUNS = {
    "acknowledge_before_majority": (1, 5, 2),
    "unconfirmed_counts": (38, 3, 1),
    "leads_without_majority": (56, 5, 2),
    "busy_leader_begins_no_round": (1, 5, 2),
    "stale_read": (1, 4, 1),
    "no_compare": (1, 3, 1),
    "resend_not_known": (1, 3, 1),
    "old_resend_refused": (1, 3, 1),
    "wiped_voter_votes": (3, 3, 1),
    "silent_is_erased": (1, 5, 2),
    "list_shrinks": (61, 4, 1),
    "say_before_save": (3, 4, 1),
    "snapshot_without_digests": (3, 3, 1),
    "lost_piece_is_not_sent_again": (10, 3, 1),
    "announcement_before_save": (3, 3, 1),
    "announcement_in_memory": (3, 3, 1),
    "restart_without_ended_workers": (3, 3, 1),
    "heartbeats_before_recovery": (10, 3, 1),
    "recovery_from_own_records": (10, 3, 1),
    "number_alone": (449, 4, 1),
    "drain_by_one": (18, 3, 1),
    "no_lease_before_orders": (1, 3, 1),
}


@pytest.mark.parametrize("defect", sorted(DEFECTS))
def test_history_detects_each_planted_defect_and_passes_without_it(defect):
    seed, machines, tolerance = DETECTING_RUNS[defect]
    with planted_defect(defect), pytest.raises(InvariantViolationError):
        play(seed, machines, tolerance)
    play(seed, machines, tolerance)


def test_each_point_has_a_planted_defect():
    assert sorted(name for names in POINTS.values() for name in names) == sorted(DEFECTS)
    assert set(POINTS) == {1, 2, 3, 4, 5}


def test_failing_history_shrinks_to_few_faults_deterministically():
    with planted_defect("wiped_voter_votes"):
        seed, all_faults = first_failing_history(range(60))
        violation, fewest = shrink(seed)
        assert 1 <= len(fewest) <= 3 and len(fewest) <= len(all_faults)
        assert shrink(seed) == (violation, fewest)


def test_shrunk_history_needs_each_of_its_faults():
    with planted_defect("wiped_voter_votes"):
        for seed in (3, 26):
            _, fewest = shrink(seed)
            numbers = frozenset(fault.number for fault in fewest)
            for number in numbers:
                play(seed, injected=numbers - {number})


def first_failing_history(seeds: range) -> tuple[int, tuple[object, ...]]:
    for seed in seeds:
        try:
            play(seed)
        except InvariantViolationError as error:
            return seed, error.faults
    raise AssertionError("no seed violates an invariant")


# --- phases ---


def model_worker(number: int, phase: str) -> WorkerRecord:
    return record(f"i-{number}", address=f"10.9.0.{number}:80", phase=phase, capacity=64)


def plan_repeatedly(
    workers: list[WorkerRecord], loads: dict[str, Load], rounds: int = 12
) -> list[PhaseOrder]:
    """The orders of a new planner that plans repeatedly, every half second, with these workers and loads."""
    planner = PhasePlanner()
    return [
        order
        for round_number in range(rounds)
        for order in planner.plan(workers, loads, round_number * S // 2)
    ]


def test_idle_decode_worker_is_moved_to_prefill_if_prompts_wait():
    workers = [model_worker(n, "prefill") for n in range(4)] + [
        model_worker(n, "decode") for n in range(4, 9)
    ]
    loads = {f"i-{n}": Load(2, 3_000) for n in range(4)} | {f"i-{n}": Load(n, 0) for n in range(4, 9)}
    assert plan_repeatedly(workers, loads)[0] == PhaseOrder("i-4", "10.9.0.4:80", "prefill")


def test_no_order_without_need_or_below_the_minimum_of_decode_workers():
    workers_at_minimum = [model_worker(n, "prefill") for n in range(3)] + [
        model_worker(n, "decode") for n in range(3, 5)
    ]
    backlog = {f"i-{n}": Load(2, 9_000) for n in range(3)}
    assert plan_repeatedly(workers_at_minimum, backlog) == []
    more_workers = workers_at_minimum + [model_worker(n, "decode") for n in range(5, 9)]
    assert plan_repeatedly(more_workers, {}) == []


def test_prefill_worker_is_moved_to_decode_without_decode_workers_or_at_high_utilization():
    workers = [model_worker(n, "prefill") for n in range(3)]
    assert plan_repeatedly(workers, {"i-0": Load(1, 500)})[0].phase == "decode"
    workers.append(model_worker(3, "decode"))
    assert plan_repeatedly(workers, {"i-3": Load(40, 0)}) == [], "the decode utilization is not high"
    assert plan_repeatedly(workers, {"i-3": Load(60, 0), "i-0": Load(1, 500)})[0].phase == "decode"
    assert plan_repeatedly([workers[0], workers[3]], {"i-3": Load(60, 0)}) == [], "the last prefill worker"


def test_one_order_is_pending_at_a_time():
    workers = [model_worker(n, "prefill") for n in range(3)] + [model_worker(3, "decode")]
    assert len(plan_repeatedly(workers, {"i-3": Load(60, 0)}, rounds=10)) == 1


def drained(worker: WorkerRecord) -> WorkerRecord:
    return msgspec.structs.replace(worker, state=WorkerState.DRAINING, seq=worker.seq + 1)


def test_prefill_worker_replaces_each_draining_decode_worker_at_once():
    """With two decode and three prefill workers, one decode worker announces that it drains: the next plan
    orders a prefill worker to decode, while the other decode worker still serves. When that one drains too,
    another prefill worker is ordered."""
    planner = PhasePlanner()
    workers = [model_worker(n, "prefill") for n in range(3)] + [
        model_worker(n, "decode") for n in range(3, 5)
    ]
    for round_number in range(6):
        assert planner.plan(workers, {}, round_number * S // 2) == []
    workers[3] = drained(workers[3])
    [first] = planner.plan(workers, {}, 3 * S)
    assert first.phase == "decode"
    assert planner.plan(workers, {}, 3 * S + S // 2) == []
    workers[4] = drained(workers[4])
    [second] = planner.plan(workers, {}, 5 * S)
    assert second.phase == "decode" and second.instance != first.instance
    assert planner.plan(workers, {}, 7 * S) == [], "the last prefill worker"
    assert set(planner.switching) == {first.instance, second.instance}


def test_fleet_with_one_remaining_decode_worker_gets_a_second_one():
    planner = PhasePlanner()
    workers = [model_worker(n, "prefill") for n in range(3)] + [
        model_worker(n, "decode") for n in range(3, 5)
    ]
    for round_number in range(6):
        planner.plan(workers, {}, round_number * S // 2)
    del workers[4]
    [order] = planner.plan(workers, {}, 4 * S)
    assert order.phase == "decode"


def test_decode_worker_is_moved_to_prefill_if_all_prefill_workers_drain():
    planner = PhasePlanner()
    workers = [model_worker(0, "prefill")] + [model_worker(n, "decode") for n in range(1, 6)]
    for round_number in range(6):
        assert planner.plan(workers, {}, round_number * S // 2) == []
    workers[0] = drained(workers[0])
    [order] = planner.plan(workers, {}, 4 * S)
    assert order.phase == "prefill"


def test_leader_sends_orders_only_after_it_has_led_for_a_lease(fleet):
    leader = fleet.leader
    for number in range(3):
        leader.engine.handle_heartbeat(model_worker(number, "prefill"), fleet.now)
    assert leader.engine.phase_orders({}, fleet.now) == []
    orders: list[PhaseOrder] = []
    since = fleet.now
    while not orders and fleet.now < since + 12 * S:
        fleet.run(500 * MS)
        for number in range(3):
            leader.engine.handle_heartbeat(model_worker(number, "prefill"), fleet.now)
        orders = leader.engine.phase_orders({}, fleet.now)
    assert orders and fleet.now - since > leader.engine.settings.lease_us
    follower = next(machine for machine in fleet.alive if machine is not leader)
    assert follower.engine.phase_orders({}, fleet.now + 60 * S) == []
