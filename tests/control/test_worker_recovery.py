"""A control process that has started takes heartbeats only once it knows which workers have ended."""

from __future__ import annotations

import msgspec
import pytest

from benchmarks.control.fleet import CONTACT_US, MS, Fleet, S, has_formed
from hazelbend.consensus.voters import includes_majorities, meets_majorities
from hazelbend.control.engine import HELLO_PERIOD_US
from hazelbend.control.messages import SnapshotSource
from hazelbend.control.worker_recovery import HeartbeatRejectedError, WorkerRecovery
from hazelbend.control.workers import WorkerRecord, WorkerState

READY = WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.READY, 1)
INCARNATION = 7
VOTERS = ("a", "b", "c")
RECONNECT_US = 400 * MS  # until the peers of a restarted process have connected to it, at the latest


def formed_fleet(machines: int = 3, tolerance: int = 1) -> Fleet:
    """A fleet whose machines have formed a cluster, with a ready worker that all of them know."""
    fleet = Fleet(3, machines, tolerance, loss=0.0)
    assert fleet.run_until(lambda: has_formed(fleet, machines), 8 * S)
    assert takes_heartbeat(fleet, fleet.alive[0].address)
    fleet.run(2 * S)
    assert all(READY.instance in machine.disk.workers or machine.disk.soft_workers for machine in fleet.alive)
    return fleet


def takes_heartbeat(fleet: Fleet, address: str) -> bool:
    """Send the worker's heartbeat to this machine; return whether it is acknowledged."""
    results: list[bool] = []
    fleet.send_heartbeat(address, READY, results.append)
    return results == [True]


def deregister(fleet: Fleet, address: str) -> None:
    """Deregister the worker at this machine, and wait for the acknowledgement."""
    results: list[bool] = []
    fleet.send_deregistration(address, READY.instance, results.append)
    assert fleet.run_until(lambda: bool(results), 2 * S) and results == [True]


def start_unreachable(fleet: Fleet, address: str) -> None:
    """Start the process. Its peers connect to it only after `RECONNECT_US`, and what they send waits."""
    fleet.start(address)
    fleet.network.hold(address, fleet.now + RECONNECT_US, fleet.now + RECONNECT_US)


def state_at(fleet: Fleet, address: str) -> WorkerState:
    return fleet.machines[address].engine.registry.tracked[READY.instance].record.state


@pytest.mark.parametrize("late_ms", [0, 100, 200, 300, 390])
def test_late_heartbeat_is_not_taken_by_a_process_that_was_down_while_the_worker_ended(late_ms):
    """Guards against a late heartbeat in the 0.4 s before the peers of a restarted process have connected to
    it again, which made a router send requests to a worker whose end was acknowledged (review/3).
    """
    fleet = formed_fleet()
    restarted, other = (machine.address for machine in fleet.alive[:2])
    fleet.kill(restarted)
    deregister(fleet, other)
    start_unreachable(fleet, restarted)
    fleet.run(late_ms * MS)
    assert not takes_heartbeat(fleet, restarted)
    fleet.run(RECONNECT_US)
    assert takes_heartbeat(fleet, restarted)
    assert state_at(fleet, restarted) is WorkerState.GONE


def test_no_router_hears_of_a_ready_worker_from_a_late_heartbeat_after_a_restart():
    """Guards against the same fault at a process without soft state, for which the worker would be new."""
    fleet = formed_fleet()
    restarted, other = (machine.address for machine in fleet.alive[:2])
    fleet.kill(restarted)
    fleet.machines[restarted].disk.soft_workers = ()
    deregister(fleet, other)
    reported: list[WorkerState] = []
    fleet.on_workers_changed.append(
        lambda machine, records: reported.extend(
            record.state for record in records if machine.address == restarted
        )
    )
    start_unreachable(fleet, restarted)
    for _ in range(60):
        takes_heartbeat(fleet, restarted)
        fleet.run(10 * MS)
    assert reported == [WorkerState.GONE]


def test_restored_worker_is_not_reported_as_ready_before_the_recovery():
    """Guards against soft state from before the end of a worker, which a process that was down meanwhile told
    a router that subscribed to it first.
    """
    fleet = formed_fleet()
    restarted, other = (machine.address for machine in fleet.alive[:2])
    fleet.kill(restarted)
    deregister(fleet, other)
    start_unreachable(fleet, restarted)
    assert state_at(fleet, restarted) is WorkerState.READY
    reported = []
    for _ in range(60):
        reported += fleet.machines[restarted].engine.records_for_routers()
        fleet.run(10 * MS)
    assert {record.state for record in reported} == {WorkerState.GONE}


def test_ready_workers_are_reported_to_routers_at_the_end_of_the_recovery():
    fleet = formed_fleet()
    restarted = fleet.alive[0].address
    fleet.kill(restarted)
    start_unreachable(fleet, restarted)
    engine = fleet.machines[restarted].engine
    assert engine.records_for_routers() == ()
    reported = []
    fleet.on_workers_changed.append(
        lambda machine, records: reported.extend(records if machine.address == restarted else ())
    )
    fleet.run(RECONNECT_US - 10 * MS)
    assert reported == []
    fleet.run(20 * MS)
    assert reported == [READY]
    assert engine.records_for_routers() == (READY,)


def test_deregistration_is_taken_during_the_recovery():
    fleet = formed_fleet()
    restarted = fleet.alive[0].address
    fleet.kill(restarted)
    start_unreachable(fleet, restarted)
    assert not takes_heartbeat(fleet, restarted)
    deregister(fleet, restarted)
    assert state_at(fleet, restarted) is WorkerState.GONE


def test_heartbeats_are_taken_soon_after_all_processes_were_killed():
    """The stored records of a majority suffice, although no process has recovered yet."""
    fleet = formed_fleet()
    addresses = [machine.address for machine in fleet.alive]
    for address in addresses:
        fleet.kill(address)
    for address in addresses:
        fleet.start(address)
    fleet.run(50 * MS)
    assert all(takes_heartbeat(fleet, address) for address in addresses)


def test_process_that_has_lost_its_disk_takes_heartbeats_after_the_others_sent_their_records():
    fleet = formed_fleet()
    wiped, other = (machine.address for machine in fleet.alive[:2])
    fleet.wipe(wiped)
    deregister(fleet, other)
    fleet.start(wiped)
    assert not takes_heartbeat(fleet, wiped)
    fleet.run(1 * S)
    assert takes_heartbeat(fleet, wiped)
    assert state_at(fleet, wiped) is WorkerState.GONE


def test_process_that_reaches_no_majority_takes_heartbeats_once_it_is_out_of_touch():
    """The other processes are lost. Workers must not stay without any process that takes their heartbeats."""
    fleet = formed_fleet()
    restarted, *others = (machine.address for machine in fleet.alive)
    for address in (restarted, *others):
        fleet.kill(address)
    fleet.start(restarted)
    fleet.run(CONTACT_US - 10 * MS)
    assert not takes_heartbeat(fleet, restarted)
    fleet.run(20 * MS)
    assert takes_heartbeat(fleet, restarted)


def test_peers_send_all_records_to_a_process_that_restarts_faster_than_they_notice():
    fleet = formed_fleet(5, 2)
    restarted = fleet.alive[0].address
    fleet.kill(restarted)
    fleet.run(10 * MS)
    fleet.start(restarted)
    fleet.run(20 * MS)
    assert fleet.machines[restarted].engine.worker_recovery.is_complete


def test_lost_snapshots_are_requested_again():
    fleet = formed_fleet()
    restarted = fleet.alive[0].address
    fleet.kill(restarted)
    fleet.start(restarted)
    fleet.network.loss = 1.0
    fleet.run(200 * MS)
    fleet.network.loss = 0.0
    assert not takes_heartbeat(fleet, restarted)
    fleet.run(2 * HELLO_PERIOD_US)
    assert takes_heartbeat(fleet, restarted)


# --- the rule ---


def recovery(*, has_stored_state: bool) -> WorkerRecovery:
    return WorkerRecovery("a", INCARNATION, CONTACT_US, has_stored_state=has_stored_state)


def source(identity: str, voters: tuple[str, ...] = VOTERS) -> SnapshotSource:
    return SnapshotSource(identity, voters, INCARNATION)


def test_own_stored_records_and_those_of_one_other_voter_of_three_suffice():
    process = recovery(has_stored_state=True)
    process.update(VOTERS)
    assert not process.is_complete
    process.handle_snapshot(source("b"))
    process.update(VOTERS)
    assert process.is_complete


def test_process_without_stored_state_needs_two_others_of_three_voters():
    process = recovery(has_stored_state=False)
    process.handle_snapshot(source("b"))
    process.update(VOTERS)
    assert not process.is_complete
    process.handle_snapshot(source("c"))
    process.update(VOTERS)
    assert process.is_complete


def test_snapshot_for_an_earlier_run_of_the_process_does_not_count():
    process = recovery(has_stored_state=True)
    older = msgspec.structs.replace(source("b"), receiver_incarnation=INCARNATION - 1)
    process.handle_snapshot(older)
    process.update(VOTERS)
    assert not process.is_complete and not process.has_snapshot_of("b")


def test_each_voter_list_that_a_source_knows_must_be_met():
    """A voter was replaced while this process was down: only one source is in the new list."""
    process = recovery(has_stored_state=True)
    process.handle_snapshot(source("b", ("b", "c", "d")))
    process.update(VOTERS)
    assert not process.is_complete
    process.handle_snapshot(source("d", ("b", "c", "d")))
    process.update(VOTERS)
    assert process.is_complete


def test_only_voter_of_its_cluster_needs_no_other_process():
    for has_stored_state in (False, True):
        process = recovery(has_stored_state=has_stored_state)
        process.update(())
        assert not process.is_complete
        process.update(("a",))
        assert process.is_complete


def test_records_of_a_process_count_only_if_it_has_its_state_or_has_recovered():
    assert recovery(has_stored_state=False).source_for(INCARNATION, VOTERS) is msgspec.UNSET
    assert recovery(has_stored_state=True).source_for(INCARNATION, VOTERS) == source("a")


@pytest.mark.parametrize("count", range(1, 8))
def test_processes_that_meet_each_majority_share_a_member_with_any_that_include_one(count):
    voters = tuple(f"v-{number}" for number in range(count))
    subsets = [
        {voters[number]: voters for number in range(count) if mask >> number & 1}
        for mask in range(1 << count)
    ]
    writers = [subset for subset in subsets if includes_majorities(subset)]
    for readers in subsets:
        shares_a_member = all(readers.keys() & written.keys() for written in writers)
        assert meets_majorities(readers) == (shares_a_member and bool(readers))


def test_rejected_heartbeat_is_an_error_of_its_own():
    fleet = formed_fleet()
    restarted = fleet.alive[0].address
    fleet.kill(restarted)
    fleet.start(restarted)
    with pytest.raises(HeartbeatRejectedError):
        fleet.machines[restarted].engine.handle_heartbeat(READY, fleet.now)
