"""Control processes under faults: partitions, earlier incarnations, wiped disks, divided first starts."""

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
    encode_config_change,
)
from hazelbend.control.engine import ControlEngine
from hazelbend.control.fencing import TERM_BITS
from hazelbend.control.outputs import ReadOutcome
from hazelbend.control.peers import PeerTable
from hazelbend.control.phase_planner import PhaseOrder
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import WorkerRecord, WorkerRegistry, WorkerState
from hazelbend.system import phase_orders
from hazelbend.system.phase_orders import PhaseOrderSender
from hazelbend.transport.http import worker_orders
from hazelbend.transport.http.worker_orders import OrderResult

DRAINING = WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.DRAINING, 2)


def started(machines: int, tolerance: int = 1, seed: int = 3) -> Fleet:
    """A fleet whose machines have all come together."""
    fleet = Fleet(seed, machines, tolerance, loss=0.0)
    assert fleet.run_until(lambda: has_formed(fleet, machines), 8 * S)
    return fleet


def partition_off(fleet: Fleet, side: list[str]) -> None:
    """Partition these from all others."""
    for one in side:
        for other in fleet.machines:
            if other not in side:
                fleet.partition(one, other)


# --- row 1: what is published rests on a majority's confirmation ---


def test_a_partitioned_process_knows_that_nobody_confirms_it_and_the_others_are_confirmed():
    fleet = started(3)
    lost = next(each.address for each in fleet.alive if each is not fleet.leader)
    partition_off(fleet, [lost])
    fleet.run(20 * S)
    for machine in fleet.alive:
        age = machine.engine.raft.confirmed_age(fleet.now)
        assert (age > 19 * S) if machine.address == lost else (age < 500 * MS)
    fleet.heal()
    fleet.run(1 * S)
    assert fleet.machines[lost].engine.raft.confirmed_age(fleet.now) < 500 * MS


def test_nobody_is_confirmed_while_the_quorum_machines_are_in_two_halves_and_no_voters_change():
    """Four counted machines, two and two: neither half has a majority, so both rest, whatever the clocks."""
    for seed in range(1, 9):
        fleet = started(4, seed=seed)
        leader = fleet.leader
        voters = leader.engine.raft.voters
        other = next(each for each in fleet.alive if each is not leader)
        partition_off(fleet, [leader.address, other.address])
        fleet.run(10 * S)
        assert [each.engine.raft.is_leader for each in fleet.alive] == [False] * 4
        assert all(each.engine.raft.voters == voters for each in fleet.alive)
        assert min(each.engine.raft.confirmed_age(fleet.now) for each in fleet.alive) > 8 * S
        fleet.heal()
        assert fleet.run_until(lambda fleet=fleet: has_formed(fleet, 4), 4 * S)


def test_a_confirmation_age_comes_with_its_configuration():
    fleet = started(3)
    output = fleet.leader.engine.take_durable_output()
    assert output.config == fleet.leader.engine.config_state.current
    assert fleet.now - output.confirmed_at < 500 * MS


# --- row 2: acknowledgements name the incarnation that they are for ---


def test_an_ack_for_an_earlier_incarnation_counts_for_nothing():
    fleet = started(3)
    first, second = fleet.alive[0], fleet.alive[1]
    number = first.engine.handle_heartbeat(DRAINING, fleet.now)
    asked = [
        body
        for _, body in first.engine.take_immediate_output().messages
        if getattr(body, "request_id", 0) == number
    ]
    answer = m.WorkerUpdateAck(
        number, asked[0].incarnation, second.engine.identity, second.engine.raft.voters
    )
    earlier = msgspec.structs.replace(answer, incarnation=answer.incarnation + 1)
    first.engine.receive(second.address, earlier, fleet.now)
    assert first.engine.take_immediate_output().outcomes == []
    first.engine.receive(second.address, answer, fleet.now)
    [done] = first.engine.take_immediate_output().outcomes
    assert (done.request_id, done.acknowledged) == (number, True)


def test_each_incarnation_has_a_number_of_its_own():
    fleet = started(3)
    victim = fleet.alive[0]
    before = victim.engine.raft.incarnation
    fleet.kill(victim.address)
    fleet.start(victim.address)
    assert victim.engine.raft.incarnation != before


def test_a_drain_is_acknowledged_only_with_a_majority():
    """Of five, two lost to be borne: three must hold it; on the smaller side of a cut it is refused."""
    fleet = started(5, 2)
    minority = [each.address for each in fleet.alive if each is not fleet.leader][:2]
    partition_off(fleet, minority)
    results: list[bool] = []
    fleet.worker(minority[0], DRAINING, results.append)
    fleet.run(2 * S)
    assert results == [False]
    fleet.worker(fleet.leader.address, DRAINING, results.append)
    fleet.run(2 * S)
    assert results == [False, True]


def test_a_drain_is_held_by_a_majority_of_the_voters_not_of_other_quorum_machines():
    """Of four one is killed and leaves the list; it is back on the smaller side of a cut: two of four hold
    the drain there, but one of three voters."""
    fleet = started(4)
    back = next(each for each in fleet.alive if each is not fleet.leader)
    fleet.kill(back.address)
    assert fleet.run_until(lambda: len(fleet.leader.engine.raft.voters) == 3, 4 * S)
    beside = next(each for each in fleet.alive if each is not fleet.leader)
    partition_off(fleet, [back.address, beside.address])
    fleet.start(back.address)
    fleet.run(1 * S)
    results: list[bool] = []
    for address in (back.address, beside.address):
        fleet.worker(address, DRAINING, results.append)
        fleet.run(1 * S)
    assert results == [False, False]


# --- row 4: what is accepted is known by a bounded number of digests ---


def body_of(version: int) -> bytes:
    return b'{"version":%d}' % version


def test_a_resend_is_known_as_long_as_its_digest_is_kept_and_an_older_one_is_never_rejected(monkeypatch):
    monkeypatch.setattr(config_state_machine, "MAX_ACCEPTED_DIGESTS", 10)
    machine = ConfigStateMachine()
    for version in range(1, 31):
        assert machine.apply(version, encode_config_change(version - 1, version, body_of(version))) is (
            ChangeResult.ACCEPTED
        )
    again = [machine.apply(0, encode_config_change(each - 1, each, body_of(each))) for each in range(1, 31)]
    assert again == [ChangeResult.BASE_TOO_OLD] * 20 + [ChangeResult.ACCEPTED] * 10
    lost = encode_config_change(25, 26, b"another")
    assert machine.apply(0, lost) is ChangeResult.CONFLICT
    copy = ConfigStateMachine()
    copy.restore(machine.snapshot())
    assert (copy.current, copy.accepted, copy.floor) == (machine.current, machine.accepted, machine.floor)


def test_the_state_after_ten_thousand_changes_is_bounded():
    machine = ConfigStateMachine()
    sizes = []
    for version in range(1, 10_001):
        machine.apply(version, encode_config_change(version - 1, version, body_of(version)))
        if version in (5_000, 10_000):
            sizes.append(len(machine.snapshot()))
    assert sizes[1] < sizes[0] * 1.1 and sizes[1] < 120_000


def test_a_snapshot_of_the_earlier_format_is_read_and_its_changes_are_still_known():
    machine = ConfigStateMachine()
    for version in (1, 2):
        machine.apply(version, encode_config_change(version - 1, version, body_of(version)))
    found = msgspec.msgpack.decode(machine.snapshot())
    del found["bases"], found["floor"]
    copy = ConfigStateMachine()
    copy.restore(msgspec.msgpack.encode(found))
    assert copy.apply(3, encode_config_change(0, 1, body_of(1))) is ChangeResult.ACCEPTED
    assert copy.apply(4, encode_config_change(2, 3, body_of(3))) is ChangeResult.ACCEPTED


# --- row 5: one process bootstraps ---


@pytest.mark.parametrize("side", [["10.0.1.1:7000"], ["10.0.1.1:7000", "10.0.4.1:7000"]])
def test_machines_that_are_partitioned_at_the_first_start_do_not_both_bootstrap(side):
    """The first seed is cut off from the other two: it waits, and founds once it hears a majority of them."""
    fleet = Fleet(5, 5, 1, loss=0.0)
    partition_off(fleet, side)
    fleet.run(8 * S)
    assert {each.engine.raft.persistent.epoch for each in fleet.alive if each.address in side} == {0}
    fleet.heal()
    assert fleet.run_until(lambda: has_formed(fleet, 5), 8 * S)
    assert len({each.engine.raft.persistent.epoch for each in fleet.alive}) == 1


def test_where_no_seed_counts_two_that_hear_different_seeds_do_not_both_bootstrap():
    """Seeds one, two, three are observers; four and five count, and cannot hear each other."""
    founded = []
    for cuts in ([], [("10.0.4.1:7000", "10.0.5.1:7000")]):
        fleet = Fleet(5, 5, 0, loss=0.0)
        fleet.observers = {f"10.0.{number}.1:7000" for number in (1, 2, 3)}
        for one, other in cuts:
            fleet.partition(one, other)
        fleet.run(6 * S)
        epochs = {
            each.engine.raft.persistent.epoch
            for each in fleet.alive
            if each.engine.settings.counts_for_quorum
        }
        founded.append(len(epochs - {0}))
    assert founded == [1, 1]


def test_a_fleet_bootstraps_once_without_a_seed_and_its_epoch_is_not_an_operators():
    fleet = started(3)
    assert not started_by_operator(fleet.leader.engine.raft.persistent.epoch)


# --- row 6: fencing tokens rise ---


def test_fencing_tokens_rise_beyond_65535_terms_and_over_a_forced_new_cluster():
    tokens = []
    plan = ControlSettings("10.0.1.1:7000", ("10.0.1.1:7000",), True, False, 0, 1_200 * MS)
    for term in (65_534, 65_535, 65_536, 200_000):
        engine = ControlEngine("x@10.0.1.1:7000", plan, 1, 0, lambda: 0.0, PersistentState("x", 512, term))
        tokens.append(engine.fencing_token)
        engine.force_new_cluster(0)
        assert engine.fencing_token > tokens[-1]
    assert tokens == sorted(set(tokens)) and tokens[-1] < 1 << 53 and TERM_BITS == 16


def test_a_leader_that_steps_down_while_it_is_confirmed_gives_no_order(monkeypatch):
    """It has heard of the next leader's term by then: with that token the order would be the other's."""
    fleet = started(3)
    leader = fleet.leader.engine
    order = PhaseOrder("i-1", "10.9.0.1:80", "decode")
    sent: list[object] = []

    class Confirming:
        engine = leader

        async def wait_for_outcome(self, number: int) -> ReadOutcome:
            if number == steps_down:
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
    orders = PhaseOrderSender(Confirming(), dict, lambda: None)
    steps_down = 0
    asyncio.run(orders._send(order))
    steps_down = leader._last_request_id + 1
    asyncio.run(orders._send(order))
    assert sent == [token]


# --- row 7: voters are replaced by consensus ---


def survives(voters: tuple[str, ...], well: set[str]) -> int:
    """How many more of those that are well may be lost before no majority is left."""
    return len(well & set(voters)) - len(voters) // 2 - 1


@pytest.mark.parametrize("count", [3, 4, 5, 6, 7])
def test_no_step_of_a_voter_change_lowers_the_number_of_losses_that_are_survived(count):
    """Every state of a list with some voters gone or erased and some that may join, until nothing changes."""
    names = [f"{n}@10.0.{n}.1:7" for n in range(count)]
    for gone in range(count):
        for without_state in range(gone + 1):
            for fresh in range(3):
                lost = set(names[count - gone :])
                wiped = frozenset(names[count - gone : count - gone + without_state])
                joining = [f"new{n}@10.1.{n}.1:7" for n in range(fresh)]
                members = [each for each in names if each not in lost] + joining
                voters, steps = tuple(names), 0
                while steps < 20:
                    wanted = max(3, len({*members, *voters} - lost))
                    wish = next_voters(voters, names[0], members, lost, wanted, 3, wiped)
                    if wish is None:
                        break
                    assert survives(wish, set(members)) >= survives(voters, set(members)), (voters, wish)
                    assert set(members) & set(voters) <= set(wish), "nobody who is well is removed"
                    voters, steps = wish, steps + 1
                assert steps < 20


def test_a_wiped_voter_is_replaced_in_one_step_and_the_next_loss_is_survived():
    """Three, one of them wiped: it comes back as somebody new. At no time are four listed; within the time
    that its return is granted (4 s) another machine may lose its disk, and a majority is left."""
    fleet = started(3)
    victim = next(each for each in fleet.alive if each is not fleet.leader)
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
    second = next(each for each in fleet.alive if each is not victim)
    fleet.wipe(second.address)
    assert fleet.run_until(lambda: fleet.leader is not None and fleet.leader is not second, 4 * S)


def test_a_voter_that_leaves_is_removed_before_it_ends_where_enough_are_left():
    fleet = started(4)
    leaving = next(each for each in fleet.alive if each is not fleet.leader)
    leaving.engine.leave(fleet.now)
    fleet._flush(leaving)
    assert fleet.run_until(lambda: leaving.engine.identity not in fleet.leader.engine.raft.voters, 600 * MS)


def hello(identity: str, stamp: Timestamp | None = None, answers: Timestamp | None = None) -> m.PeerHello:
    return m.PeerHello(identity, True, (), "", False, stamp, answers)


def test_a_voter_has_lost_its_state_only_once_another_identity_has_answered_after_it_was_known():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    there = "10.0.2.1:7"
    table.handle_hello(there, hello("x@10.0.2.1:7"), 1 * S)
    table.track_voters(("x@10.0.2.1:7",), 1 * S)
    for answers in (
        None,
        Timestamp(8, 5 * S),
        Timestamp(9, 900 * MS),
    ):  # none, another incarnation's, one from before
        table.handle_hello(there, hello("old@10.0.2.1:7", answers=answers), 2 * S)
        assert not table.has_lost_state("x@10.0.2.1:7")
    table.handle_hello(there, hello("y@10.0.2.1:7", answers=Timestamp(9, 1_500 * MS)), 2 * S)
    assert table.has_lost_state("x@10.0.2.1:7")


def test_a_late_hello_of_an_earlier_identity_does_not_undo_a_proof():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    there = "10.0.2.1:7"
    table.track_voters(("y@10.0.2.1:7",), 0)
    table.handle_hello(there, hello("y@10.0.2.1:7", answers=Timestamp(9, 3 * S)), 3 * S)
    table.handle_hello(there, hello("x@10.0.2.1:7", answers=Timestamp(9, 2 * S)), 4 * S)
    assert not table.has_lost_state("y@10.0.2.1:7")


def test_a_voter_that_had_the_address_of_its_leader_has_lost_its_state():
    """The leader is the one that came back at that address, with nothing."""
    table = PeerTable("new@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    table.track_voters(("old@10.0.1.1:7", "new@10.0.1.1:7"), 0)
    assert table.has_lost_state("old@10.0.1.1:7") and table.is_replaceable("old@10.0.1.1:7", 0)
    assert not table.has_lost_state("new@10.0.1.1:7") and not table.is_replaceable("new@10.0.1.1:7", 0)


def test_two_identities_of_one_machine_are_never_voters_together():
    table = PeerTable("a@10.0.1.1:7", "10.0.1.1:7", ("10.0.2.1:7",), incarnation=9, now=0)
    table.handle_hello("10.0.2.1:7", hello("y@10.0.2.1:7"), 1 * S)
    voters = ("a@10.0.1.1:7", "x@10.0.2.1:7")
    assert table.voter_candidates(voters, set(), 1 * S) == []
    assert table.voter_candidates(voters, {"x@10.0.2.1:7"}, 1 * S) == ["y@10.0.2.1:7"]


# --- what is known of workers comes together ---


def test_workers_that_one_control_process_has_missed_are_synced_within_two_seconds():
    """The update is lost, and the worker's later heartbeats change nothing."""
    fleet = started(3)
    taker, misses = fleet.alive[0], fleet.alive[1]
    partition_off(fleet, [misses.address])
    ready = msgspec.structs.replace(DRAINING, state=WorkerState.READY)
    taker.engine.handle_heartbeat(ready, fleet.now)
    taker.engine.handle_heartbeat(msgspec.structs.replace(DRAINING, seq=3), fleet.now)
    fleet._flush(taker)
    fleet.run(300 * MS)
    fleet.heal()
    assert "i-1" not in misses.engine.registry.tracked
    assert fleet.run_until(lambda: "i-1" in misses.engine.registry.tracked, 2 * S)
    assert misses.engine.registry.tracked["i-1"].record.state is WorkerState.DRAINING
    assert len({each.engine.registry.digest for each in fleet.alive}) == 1


def test_the_digest_of_workers_covers_what_routers_must_know():
    one, other = WorkerRegistry(S), WorkerRegistry(S)
    records = [msgspec.structs.replace(DRAINING, instance=f"i-{n}", address=f"h:{n}") for n in range(4)]
    for record in records:
        one.merge(record, 0)
    for record in reversed(records):
        other.merge(msgspec.structs.replace(record, seq=9, warm_up_left_ms=5), 0)
    assert one.digest == other.digest != 0
    other.merge(msgspec.structs.replace(records[0], state=WorkerState.GONE, seq=10), 0)
    assert one.digest != other.digest
    one.merge(msgspec.structs.replace(records[0], state=WorkerState.GONE, seq=10), 0)
    assert one.digest == other.digest
    for registry in (one, other):
        registry.expire(1_000 * S)
    assert (one.digest, other.digest) == (0, 0)


def test_an_observer_is_not_asked_for_the_workers_that_it_has_dropped():
    fleet = Fleet(3, 4, 1, loss=0.0, observers=1)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 8 * S)
    fleet.alive[0].engine.handle_heartbeat(
        msgspec.structs.replace(DRAINING, state=WorkerState.READY), fleet.now
    )
    asked: list[str] = []
    usual = fleet._send

    def send(sender: str, to: str, body: m.Body) -> None:
        if isinstance(body, m.WorkerSyncRequest):
            asked.append(to)
        usual(sender, to, body)

    fleet._send = send
    for _ in range(25):
        fleet.run(1 * S)
        fleet.alive[0].engine.registry.record_heartbeat("i-1", fleet.now)
    assert asked == []


def test_an_operators_epoch_keeps_what_a_lost_majority_had_acknowledged():
    """Given a survivor that holds an acknowledged configuration and has not heard that it was committed, when
    the others' disks are lost and an operator starts an epoch there, then the configuration is in force."""
    fleet = started(3)
    results: list[ChangeResult | None] = []
    fleet.put(fleet.leader.address, 0, 1, b'{"version":1}', results.append)
    assert fleet.run_until(lambda: results == [ChangeResult.ACCEPTED], 1 * S)
    fleet.run(1 * S)
    survivor = next(each for each in fleet.alive if each is not fleet.leader)
    for machine in list(fleet.alive):
        if machine is survivor:
            fleet.kill(machine.address)
        else:
            fleet.wipe(machine.address)
    survivor.disk.commit = 1  # it was about to save the commit index
    fleet.start(survivor.address)
    engine = survivor.engine
    assert engine.config_state.current.version == 0
    fleet.run(3 * S)
    engine.force_new_cluster(fleet.now)
    fleet.run(1 * S)
    assert engine.config_state.current == StoredConfig(1, engine.config_state.current.body)
    assert engine.raft.has_committed_in_term
