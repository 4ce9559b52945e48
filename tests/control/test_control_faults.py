"""Control processes under faults: partitions, restarts, wiped disks, partitions during the first start."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from benchmarks.control.fleet import MS, Fleet, S, has_formed
from hazelbend.consensus.messages import AppendEntries, Message, Timestamp
from hazelbend.consensus.persistent_state import PersistentState, started_by_operator
from hazelbend.consensus.voters import next_voters
from hazelbend.control import config_state_machine
from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import (
    ChangeResult,
    ConfigStateMachine,
    StoredConfig,
    decompress_body,
    encode_config_change,
)
from hazelbend.control.engine import ControlEngine
from hazelbend.control.fencing import TERM_BITS
from hazelbend.control.outputs import ReadOutcome
from hazelbend.control.peers import PeerTable
from hazelbend.control.phase_planner import PhaseOrder
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import TOMBSTONE_US, WorkerRecord, WorkerRegistry, WorkerState
from hazelbend.system import phase_orders
from hazelbend.system.phase_orders import PhaseOrderSender
from hazelbend.transport.http import worker_orders
from hazelbend.transport.http.worker_orders import OrderResult

DRAINING = WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.DRAINING, 2)


def formed_fleet(machines: int, tolerance: int = 1, seed: int = 3) -> Fleet:
    """A fleet whose machines have formed a cluster."""
    fleet = Fleet(seed, machines, tolerance, loss=0.0)
    assert fleet.run_until(lambda: has_formed(fleet, machines), 8 * S)
    return fleet


def isolate(fleet: Fleet, side: list[str]) -> None:
    """Partition these machines from all others."""
    for address in side:
        for other in fleet.machines:
            if other not in side:
                fleet.partition(address, other)


# --- failure: a process without a majority publishes an old configuration as the newest ---


def test_confirmed_age_grows_on_a_partitioned_process_and_stays_low_on_the_others():
    fleet = formed_fleet(3)
    isolated = next(machine.address for machine in fleet.alive if machine is not fleet.leader)
    isolate(fleet, [isolated])
    fleet.run(20 * S)
    for machine in fleet.alive:
        age = machine.engine.raft.confirmed_age(fleet.now)
        assert (age > 19 * S) if machine.address == isolated else (age < 500 * MS)
    fleet.heal()
    fleet.run(1 * S)
    assert fleet.machines[isolated].engine.raft.confirmed_age(fleet.now) < 500 * MS


def test_two_halves_of_the_quorum_machines_have_no_leader_no_confirmation_and_no_voter_change():
    """Of four quorum machines, two are partitioned from the other two: neither half has a majority, whatever
    the timing."""
    for seed in range(1, 9):
        fleet = formed_fleet(4, seed=seed)
        leader = fleet.leader
        voters = leader.engine.raft.voters
        other = next(machine for machine in fleet.alive if machine is not leader)
        isolate(fleet, [leader.address, other.address])
        fleet.run(10 * S)
        assert [machine.engine.raft.is_leader for machine in fleet.alive] == [False] * 4
        assert all(machine.engine.raft.voters == voters for machine in fleet.alive)
        assert min(machine.engine.raft.confirmed_age(fleet.now) for machine in fleet.alive) > 8 * S
        fleet.heal()
        assert fleet.run_until(lambda fleet=fleet: has_formed(fleet, 4), 4 * S)


def test_durable_output_has_the_configuration_with_its_confirmation_time():
    fleet = formed_fleet(3)
    output = fleet.leader.engine.take_durable_output()
    assert output.config == fleet.leader.engine.config_state.current
    assert fleet.now - output.confirmed_at < 500 * MS


# --- failure: a drain counts as held by enough processes, but is not ---


def test_ack_for_another_incarnation_is_ignored():
    fleet = formed_fleet(3)
    first, second = fleet.alive[0], fleet.alive[1]
    request_id = first.engine.handle_heartbeat(DRAINING, fleet.now)
    first.engine.registry.take_unsaved_changes()
    first.engine.confirm_saved(first.engine.take_durable_output())
    updates = [
        body
        for _, body in first.engine.take_immediate_output().messages
        if getattr(body, "request_id", 0) == request_id
    ]
    ack = m.WorkerUpdateAck(
        request_id, updates[0].incarnation, second.engine.identity, second.engine.raft.voters
    )
    other_ack = msgspec.structs.replace(ack, incarnation=ack.incarnation + 1)
    first.engine.receive(second.address, other_ack, fleet.now)
    assert first.engine.take_immediate_output().outcomes == []
    first.engine.receive(second.address, ack, fleet.now)
    [outcome] = first.engine.take_immediate_output().outcomes
    assert (outcome.request_id, outcome.acknowledged) == (request_id, True)


# --- failure: an acknowledged announcement is lost with the processes that hold it ---

READY = msgspec.structs.replace(DRAINING, state=WorkerState.READY, seq=1)


def kill_all_and_restart_with_older_workers(fleet: Fleet) -> None:
    """Kill all processes. Each is started again with its store, and with soft state from before the end of
    the worker, which it saves only periodically.
    """
    addresses = [machine.address for machine in fleet.alive]
    for address in addresses:
        fleet.kill(address)
    for address in addresses:
        fleet.start(address)
        fleet.machines[address].engine.restore_workers((READY,), fleet.now)


def acknowledge(send, *arguments) -> None:
    """Call a method of the fleet that sends a worker's announcement, and run until it is acknowledged."""
    results: list[bool] = []
    send(*arguments, results.append)
    fleet = send.__self__
    assert fleet.run_until(lambda: bool(results), 2 * S) and results == [True]


@pytest.mark.parametrize("announcement", ["draining", "deregistered"])
def test_acknowledged_end_of_a_worker_survives_a_kill_of_all_processes(announcement):
    """Guards against requests to a worker whose end was acknowledged and held in memory alone (review/2)."""
    fleet = formed_fleet(3)
    address = fleet.alive[0].address
    acknowledge(fleet.send_heartbeat, address, READY)
    if announcement == "draining":
        acknowledge(fleet.send_heartbeat, address, DRAINING)
    else:
        acknowledge(fleet.send_deregistration, address, READY.instance)
    kill_all_and_restart_with_older_workers(fleet)
    fleet.run(1 * S)
    states = {machine.engine.registry.tracked[READY.instance].record.state for machine in fleet.alive}
    assert states == {WorkerState.DRAINING if announcement == "draining" else WorkerState.GONE}


def test_late_heartbeat_of_an_ended_worker_changes_nothing_after_a_restart():
    """Guards against a restart that leaves out the records of workers that have ended."""
    fleet = formed_fleet(3)
    address = fleet.alive[0].address
    acknowledge(fleet.send_heartbeat, address, READY)
    acknowledge(fleet.send_deregistration, address, READY.instance)
    fleet.run(1 * S)
    fleet.kill(address)
    fleet.start(address)
    results: list[bool] = []
    fleet.send_heartbeat(address, READY, results.append)
    assert results == [False]  # not taken before the process has the records of a majority
    assert fleet.machines[address].engine.registry.tracked[READY.instance].record.state is WorkerState.GONE
    fleet.run(1 * S)
    acknowledge(fleet.send_heartbeat, address, READY)
    assert fleet.machines[address].engine.registry.tracked[READY.instance].record.state is WorkerState.GONE


def test_stored_record_of_an_ended_worker_is_removed_with_its_tombstone():
    fleet = formed_fleet(3)
    acknowledge(fleet.send_heartbeat, fleet.alive[0].address, READY)
    acknowledge(fleet.send_deregistration, fleet.alive[0].address, READY.instance)
    fleet.run(1 * S)
    assert all(set(machine.disk.workers) == {READY.instance} for machine in fleet.alive)
    fleet.run(TOMBSTONE_US + 1 * S)
    assert not any(machine.disk.workers for machine in fleet.alive)


@pytest.mark.parametrize("failing", [1, 2])
def test_announcement_is_acknowledged_only_if_a_majority_can_store_it(failing):
    """One of three disks that are full does not matter; with two of them nothing is acknowledged."""
    fleet = formed_fleet(3)
    acknowledge(fleet.send_heartbeat, fleet.alive[0].address, READY)
    for machine in fleet.alive[:failing]:
        machine.disk.full = True
    results: list[bool] = []
    fleet.send_deregistration(fleet.alive[0].address, READY.instance, results.append)
    fleet.run(2 * S)
    assert results == [failing == 1]


def test_restarted_process_has_another_incarnation():
    fleet = formed_fleet(3)
    victim = fleet.alive[0]
    before = victim.engine.raft.incarnation
    fleet.kill(victim.address)
    fleet.start(victim.address)
    assert victim.engine.raft.incarnation != before


def test_drain_is_acknowledged_only_with_a_majority():
    """Of five machines with a tolerance of two, three must hold the drain. In a partitioned minority it is
    not acknowledged."""
    fleet = formed_fleet(5, 2)
    minority = [machine.address for machine in fleet.alive if machine is not fleet.leader][:2]
    isolate(fleet, minority)
    results: list[bool] = []
    fleet.send_heartbeat(minority[0], DRAINING, results.append)
    fleet.run(2 * S)
    assert results == [False]
    fleet.send_heartbeat(fleet.leader.address, DRAINING, results.append)
    fleet.run(2 * S)
    assert results == [False, True]


def test_drain_needs_a_majority_of_the_voters_not_of_all_quorum_machines():
    """One of four machines is killed, is removed as a voter, and restarts in a partition with one voter. Two
    of the four machines hold the drain there, but only one of the three voters."""
    fleet = formed_fleet(4)
    restarted = next(machine for machine in fleet.alive if machine is not fleet.leader)
    fleet.kill(restarted.address)
    assert fleet.run_until(lambda: len(fleet.leader.engine.raft.voters) == 3, 4 * S)
    voter = next(machine for machine in fleet.alive if machine is not fleet.leader)
    isolate(fleet, [restarted.address, voter.address])
    fleet.start(restarted.address)
    fleet.run(1 * S)
    results: list[bool] = []
    for address in (restarted.address, voter.address):
        fleet.send_heartbeat(address, DRAINING, results.append)
        fleet.run(1 * S)
    assert results == [False, False]


# --- failure: a resend of an accepted change is rejected, or the kept digests grow without bound ---


def body_of(version: int) -> bytes:
    return b'{"version":%d}' % version


def test_resend_is_recognized_while_its_digest_is_kept_and_is_never_rejected_after_that(monkeypatch):
    monkeypatch.setattr(config_state_machine, "MAX_ACCEPTED_DIGESTS", 10)
    state_machine = ConfigStateMachine()
    for version in range(1, 31):
        assert state_machine.apply(version, encode_config_change(version - 1, version, body_of(version))) is (
            ChangeResult.ACCEPTED
        )
    resend_results = [
        state_machine.apply(0, encode_config_change(version - 1, version, body_of(version)))
        for version in range(1, 31)
    ]
    assert resend_results == [ChangeResult.BASE_TOO_OLD] * 20 + [ChangeResult.ACCEPTED] * 10
    rival = encode_config_change(25, 26, b"another")
    assert state_machine.apply(0, rival) is ChangeResult.CONFLICT
    restored = ConfigStateMachine()
    restored.restore(state_machine.snapshot())
    assert (restored.current, restored.accepted, restored.floor) == (
        state_machine.current,
        state_machine.accepted,
        state_machine.floor,
    )


def test_snapshot_size_after_ten_thousand_changes_is_bounded():
    state_machine = ConfigStateMachine()
    sizes = []
    for version in range(1, 10_001):
        state_machine.apply(version, encode_config_change(version - 1, version, body_of(version)))
        if version in (5_000, 10_000):
            sizes.append(len(state_machine.snapshot()))
    assert sizes[1] < sizes[0] * 1.1 and sizes[1] < 120_000


def test_snapshot_of_an_earlier_format_is_restored_and_its_changes_are_recognized():
    state_machine = ConfigStateMachine()
    for version in (1, 2):
        state_machine.apply(version, encode_config_change(version - 1, version, body_of(version)))
    snapshot = msgspec.msgpack.decode(state_machine.snapshot())
    del snapshot["bases"], snapshot["floor"]
    restored = ConfigStateMachine()
    restored.restore(msgspec.msgpack.encode(snapshot))
    assert restored.apply(3, encode_config_change(0, 1, body_of(1))) is ChangeResult.ACCEPTED
    assert restored.apply(4, encode_config_change(2, 3, body_of(3))) is ChangeResult.ACCEPTED


# --- failure: two processes bootstrap a cluster each ---


@pytest.mark.parametrize("side", [["10.0.1.1:7000"], ["10.0.1.1:7000", "10.0.4.1:7000"]])
def test_machines_that_are_partitioned_at_the_first_start_do_not_both_bootstrap(side):
    """The first seed is partitioned from the other two. It waits, and bootstraps after a majority of the
    seeds is alive."""
    fleet = Fleet(5, 5, 1, loss=0.0)
    isolate(fleet, side)
    fleet.run(8 * S)
    assert {machine.engine.raft.persistent.epoch for machine in fleet.alive if machine.address in side} == {0}
    fleet.heal()
    assert fleet.run_until(lambda: has_formed(fleet, 5), 8 * S)
    assert len({machine.engine.raft.persistent.epoch for machine in fleet.alive}) == 1


def test_only_one_process_bootstraps_if_no_seed_counts_for_the_quorum():
    """Seeds one, two and three are observers. Four and five count for the quorum; in the second case they are
    partitioned from each other."""
    bootstrapped_epochs = []
    for cuts in ([], [("10.0.4.1:7000", "10.0.5.1:7000")]):
        fleet = Fleet(5, 5, 0, loss=0.0)
        fleet.observers = {f"10.0.{number}.1:7000" for number in (1, 2, 3)}
        for address, other in cuts:
            fleet.partition(address, other)
        fleet.run(6 * S)
        epochs = {
            machine.engine.raft.persistent.epoch
            for machine in fleet.alive
            if machine.engine.settings.counts_for_quorum
        }
        bootstrapped_epochs.append(len(epochs - {0}))
    assert bootstrapped_epochs == [1, 1]


def test_epoch_of_a_bootstrapped_fleet_is_not_marked_as_started_by_an_operator():
    fleet = formed_fleet(3)
    assert not started_by_operator(fleet.leader.engine.raft.persistent.epoch)


# --- failure: workers obey an outdated leader, because fencing tokens do not increase ---


def test_fencing_tokens_increase_beyond_65535_terms_and_with_a_forced_new_cluster():
    tokens = []
    settings = ControlSettings("10.0.1.1:7000", ("10.0.1.1:7000",), True, False, 0, 1_200 * MS)
    for term in (65_534, 65_535, 65_536, 200_000):
        engine = ControlEngine(
            "x@10.0.1.1:7000", settings, 1, 0, lambda: 0.0, PersistentState("x", 512, term)
        )
        tokens.append(engine.fencing_token)
        engine.force_new_cluster(0)
        assert engine.fencing_token > tokens[-1]
    assert tokens == sorted(set(tokens)) and tokens[-1] < 1 << 53 and TERM_BITS == 16


def test_leader_that_steps_down_during_the_confirmation_sends_no_order(monkeypatch):
    """By then it already knows the next leader's term. With the token of that term, its order would count as
    one of the next leader.
    """
    fleet = formed_fleet(3)
    leader = fleet.leader.engine
    order = PhaseOrder("i-1", "10.9.0.1:80", "decode")
    sent: list[object] = []

    class ConfirmingNode:
        engine = leader

        async def wait_for_outcome(self, number: int) -> ReadOutcome:
            if number == step_down_request_id:
                leader.raft.receive(
                    Message(
                        "x", leader.identity, leader.raft.persistent.epoch, 9, AppendEntries(0, 0, (), 0, 1)
                    ),
                    fleet.now,
                )
            return ReadOutcome(number, StoredConfig(1))

    async def send_order(address, instance, call):
        sent.append(call.fence_token)
        return OrderResult.ACCEPTED

    monkeypatch.setattr(worker_orders, "send_order", send_order)
    monkeypatch.setattr(phase_orders, "clock", lambda: fleet.now)
    assert fleet.run_until(lambda: leader.order_token(fleet.now) is not None, 6 * S)
    token = leader.order_token(fleet.now)
    sender = PhaseOrderSender(ConfirmingNode(), dict, lambda: None)
    step_down_request_id = 0
    asyncio.run(sender._send(order))
    step_down_request_id = leader._last_request_id + 1
    asyncio.run(sender._send(order))
    assert sent == [token]


# --- failure: the replacement of a voter lowers the number of losses that the cluster tolerates ---


def tolerable_losses(voters: tuple[str, ...], healthy: set[str]) -> int:
    """The number of healthy voters that may be lost while a majority of the voters is left."""
    return len(healthy & set(voters)) - len(voters) // 2 - 1


@pytest.mark.parametrize("count", [3, 4, 5, 6, 7])
def test_no_step_of_a_membership_change_lowers_the_number_of_tolerable_losses(count):
    """Starts with each combination of lost voters, voters without state and joining members, and applies
    changes until the voter list is final."""
    names = [f"{n}@10.0.{n}.1:7" for n in range(count)]
    for lost_count in range(count):
        for wiped_count in range(lost_count + 1):
            for joining_count in range(3):
                replaceable = set(names[count - lost_count :])
                wiped = frozenset(names[count - lost_count : count - lost_count + wiped_count])
                joining = [f"new{n}@10.1.{n}.1:7" for n in range(joining_count)]
                members = [name for name in names if name not in replaceable] + joining
                voters, steps = tuple(names), 0
                while steps < 20:
                    target_count = max(3, len({*members, *voters} - replaceable))
                    next_list = next_voters(voters, names[0], members, replaceable, target_count, 3, wiped)
                    if next_list is None:
                        break
                    assert tolerable_losses(next_list, set(members)) >= tolerable_losses(
                        voters, set(members)
                    ), (voters, next_list)
                    assert set(members) & set(voters) <= set(next_list), "no healthy voter is removed"
                    voters, steps = next_list, steps + 1
                assert steps < 20


def test_wiped_voter_is_replaced_in_one_step_and_the_next_disk_loss_is_tolerated():
    """One of three voters is wiped and rejoins under a new identity; the voter list never has four members.
    Within the 4 s that the fault injector allows for its return (`RESYNC_US`), another machine may lose its
    disk, and a majority is left."""
    fleet = formed_fleet(3)
    victim = next(machine for machine in fleet.alive if machine is not fleet.leader)
    fleet.wipe(victim.address)
    fleet.call_later(1 * S, lambda: fleet.start(victim.address))
    lengths: set[int] = set()

    def replaced() -> bool:
        leader = fleet.leader
        if leader is not None:
            lengths.add(len(leader.engine.raft.voters))
        return victim.engine is not None and leader is not None and victim.engine.raft.is_voter

    assert fleet.run_until(replaced, 5 * S) and lengths == {3}
    fleet.run(500 * MS)
    second = next(machine for machine in fleet.alive if machine is not victim)
    fleet.wipe(second.address)
    assert fleet.run_until(lambda: fleet.leader is not None and fleet.leader is not second, 4 * S)


def test_leaving_voter_is_removed_before_its_shutdown_if_enough_voters_are_left():
    fleet = formed_fleet(4)
    leaving = next(machine for machine in fleet.alive if machine is not fleet.leader)
    leaving.engine.leave(fleet.now)
    fleet._flush(leaving)
    assert fleet.run_until(lambda: leaving.engine.identity not in fleet.leader.engine.raft.voters, 600 * MS)


def hello(identity: str, stamp: Timestamp | None = None, echoed: Timestamp | None = None) -> m.PeerHello:
    return m.PeerHello(identity, True, (), "", False, stamp, echoed)


def test_voter_has_lost_its_state_only_after_a_later_echo_of_another_identity_at_its_address():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    address = "10.0.2.1:7"
    table.handle_hello(address, hello("x@10.0.2.1:7"), 1 * S)
    table.track_voters(("x@10.0.2.1:7",), 1 * S)
    for echoed in (
        None,
        Timestamp(8, 5 * S),
        Timestamp(9, 900 * MS),
    ):  # no echo, the echo of another incarnation, an echo from before the voter was last known to run
        table.handle_hello(address, hello("old@10.0.2.1:7", echoed=echoed), 2 * S)
        assert not table.has_lost_state("x@10.0.2.1:7")
    table.handle_hello(address, hello("y@10.0.2.1:7", echoed=Timestamp(9, 1_500 * MS)), 2 * S)
    assert table.has_lost_state("x@10.0.2.1:7")


def test_late_hello_of_an_earlier_identity_does_not_replace_a_newer_verified_identity():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    address = "10.0.2.1:7"
    table.track_voters(("y@10.0.2.1:7",), 0)
    table.handle_hello(address, hello("y@10.0.2.1:7", echoed=Timestamp(9, 3 * S)), 3 * S)
    table.handle_hello(address, hello("x@10.0.2.1:7", echoed=Timestamp(9, 2 * S)), 4 * S)
    assert not table.has_lost_state("y@10.0.2.1:7")


def test_voter_at_the_address_of_the_leader_has_lost_its_state():
    """The leader is the process that restarted at this address without stored state."""
    table = PeerTable("new@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    table.track_voters(("old@10.0.1.1:7", "new@10.0.1.1:7"), 0)
    assert table.has_lost_state("old@10.0.1.1:7") and table.is_replaceable("old@10.0.1.1:7", 0)
    assert not table.has_lost_state("new@10.0.1.1:7") and not table.is_replaceable("new@10.0.1.1:7", 0)


def test_two_identities_of_one_machine_are_never_voters_at_the_same_time():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    table.handle_hello("10.0.2.1:7", hello("y@10.0.2.1:7"), 1 * S)
    voters = ("a@10.0.1.1:7", "x@10.0.2.1:7")
    assert table.voter_candidates(voters, set(), 1 * S) == []
    assert table.voter_candidates(voters, {"x@10.0.2.1:7"}, 1 * S) == ["y@10.0.2.1:7"]


# --- failure: control processes keep different worker records ---


def test_worker_that_one_control_process_has_missed_is_synced_within_two_seconds():
    """The update with the new record is lost, and the worker's later heartbeats change nothing that is
    forwarded.
    """
    fleet = formed_fleet(3)
    receiver, lagging = fleet.alive[0], fleet.alive[1]
    isolate(fleet, [lagging.address])
    ready = msgspec.structs.replace(DRAINING, state=WorkerState.READY)
    receiver.engine.handle_heartbeat(ready, fleet.now)
    receiver.engine.handle_heartbeat(msgspec.structs.replace(DRAINING, seq=3), fleet.now)
    fleet._flush(receiver)
    fleet.run(300 * MS)
    fleet.heal()
    assert "i-1" not in lagging.engine.registry.tracked
    assert fleet.run_until(lambda: "i-1" in lagging.engine.registry.tracked, 2 * S)
    assert lagging.engine.registry.tracked["i-1"].record.state is WorkerState.DRAINING
    assert len({machine.engine.registry.digest for machine in fleet.alive}) == 1


def test_digest_of_workers_covers_only_the_fields_that_routers_need():
    registry, other = WorkerRegistry(S), WorkerRegistry(S)
    records = [msgspec.structs.replace(DRAINING, instance=f"i-{n}", address=f"h:{n}") for n in range(4)]
    for record in records:
        registry.merge(record, 0)
    for record in reversed(records):
        other.merge(msgspec.structs.replace(record, seq=9, warm_up_left_ms=5), 0)
    assert registry.digest == other.digest != 0
    other.merge(msgspec.structs.replace(records[0], state=WorkerState.GONE, seq=10), 0)
    assert registry.digest != other.digest
    registry.merge(msgspec.structs.replace(records[0], state=WorkerState.GONE, seq=10), 0)
    assert registry.digest == other.digest
    for expiring in (registry, other):
        expiring.expire(1_000 * S)
    assert (registry.digest, other.digest) == (0, 0)


def test_observer_gets_no_sync_requests_for_workers_that_it_has_removed():
    fleet = Fleet(3, 4, 1, loss=0.0, observers=1)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 8 * S)
    fleet.alive[0].engine.handle_heartbeat(
        msgspec.structs.replace(DRAINING, state=WorkerState.READY), fleet.now
    )
    sync_requests: list[str] = []
    original = fleet._send

    def send(sender: str, to: str, body: m.Body) -> None:
        if isinstance(body, m.WorkerSyncRequest):
            sync_requests.append(to)
        original(sender, to, body)

    fleet._send = send
    for _ in range(25):
        fleet.run(1 * S)
        fleet.alive[0].engine.registry.record_heartbeat("i-1", fleet.now)
    assert sync_requests == []


# --- failure: a forced new cluster loses an acknowledged configuration ---


def test_forced_new_cluster_keeps_a_configuration_that_the_lost_majority_acknowledged():
    """The survivor holds an acknowledged configuration, but does not know that it was committed. The other
    machines lose their disks. After an operator has forced a new cluster on the survivor, the configuration
    is current."""
    fleet = formed_fleet(3)
    results: list[ChangeResult | None] = []
    fleet.put(fleet.leader.address, 0, 1, b'{"version":1}', results.append)
    assert fleet.run_until(lambda: results == [ChangeResult.ACCEPTED], 1 * S)
    fleet.run(1 * S)
    survivor = next(machine for machine in fleet.alive if machine is not fleet.leader)
    for machine in list(fleet.alive):
        if machine is survivor:
            fleet.kill(machine.address)
        else:
            fleet.wipe(machine.address)
    survivor.disk.commit_index = 1  # the survivor was killed before it saved the higher commit index
    fleet.start(survivor.address)
    engine = survivor.engine
    assert engine.config_state.current.version == 0
    fleet.run(3 * S)
    engine.force_new_cluster(fleet.now)
    fleet.run(1 * S)
    assert engine.config_state.current.version == 1
    assert decompress_body(engine.config_state.current) == b'{"version":1}'
    assert engine.raft.has_committed_in_term
