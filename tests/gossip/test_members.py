"""Gossip membership: whole clusters on virtual time, with crashes, pauses, partitions and packet loss."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_members import SECOND_US, GossipCluster, measure
from hazelbend.consensus.identity import address_of
from hazelbend.gossip.messages import FullState, MembershipUpdate, MemberStatus, Packet, Ping
from hazelbend.gossip.swim import SwimNode
from hazelbend.gossip.timing import GossipTiming

A, B, C = (f"10.0.0.{n}:1" for n in range(3))


def stable_cluster(size: int = 5, seed: int = 1) -> GossipCluster:
    cluster = GossipCluster(size, seed)
    cluster.run_until(cluster.converged, 60.0)
    cluster.run(20.0)
    return cluster


def status(cluster: GossipCluster, of: str) -> set[MemberStatus]:
    """The statuses of this member in the tables of the other running processes."""
    others = [node for node in cluster.nodes_by_address.values() if node.identity != of]
    return {node.table.members[of].status for node in others}


def test_crashed_member_is_dead_to_all_and_its_restarted_process_is_a_new_member():
    cluster = stable_cluster()
    before = cluster.nodes_by_address[B].identity
    cluster.kill(B)
    assert cluster.run_until(cluster.converged, 30.0) > 1.0
    after = cluster.start(B, "b").identity
    cluster.run_until(cluster.converged, 30.0)
    assert status(cluster, before) == {MemberStatus.DEAD} and status(cluster, after) == {MemberStatus.ALIVE}
    assert (
        before in cluster.nodes_by_address[A].table.inactive()
        and cluster.nodes_by_address[A].table.active()[-1] == after
    )


def test_address_that_is_reused_at_once_has_one_active_member():
    cluster = stable_cluster()
    before = cluster.nodes_by_address[B].identity
    cluster.kill(B)
    cluster.start(B, "b")
    cluster.run_until(cluster.converged, 5.0)
    assert status(cluster, before) == {MemberStatus.DEAD}, "dead at once, without the suspicion timeout"


def test_leaving_member_has_status_left_and_is_not_declared_dead():
    cluster = stable_cluster()
    member = cluster.nodes_by_address[B]
    member.leave(cluster.now)
    cluster._send(member)
    cluster.run(0.1)
    cluster.kill(B)
    cluster.run_until(cluster.converged, 6.0)
    assert status(cluster, member.identity) == {MemberStatus.LEFT} and cluster.deaths_declared == 0


@pytest.mark.parametrize("pause", [30.0, 2.0])
def test_resumed_member_becomes_alive_again_and_declares_no_member_dead(pause):
    cluster = stable_cluster()
    cluster.pause(B)
    cluster.run(pause)
    deaths_during_pause = cluster.deaths_declared
    cluster.resume(B)
    cluster.run_until(cluster.converged, 30.0)
    assert cluster.deaths_declared == deaths_during_pause, "acks missed during the pause are not counted"
    assert all(dead == cluster.nodes_by_address[B].identity for _, dead in cluster.dead_at)
    assert (deaths_during_pause > 0) == (pause > 20.0)


def test_broken_link_between_two_of_five_members_causes_no_death():
    cluster = stable_cluster()
    cluster.is_partitioned = lambda source, to: {source, to} == {A, B}
    cluster.run(60.0)
    assert cluster.deaths_declared == 0 and cluster.converged()


def test_member_behind_an_asymmetric_partition_is_dead_and_becomes_alive_after_it():
    """The member receives all packets, but all packets that it sends are lost."""
    cluster = stable_cluster()
    cluster.is_partitioned = lambda source, to: source == B
    member = cluster.nodes_by_address[B].identity
    cluster.run_until(lambda: status(cluster, member) == {MemberStatus.DEAD}, 60.0)
    cluster.is_partitioned = lambda source, to: False
    cluster.run_until(cluster.converged, 60.0)
    assert cluster.nodes_by_address[B].table.members[member].incarnation > 1, (
        "the member has refuted the suspicion"
    )


def test_two_halves_of_a_partitioned_fleet_merge_after_the_partition():
    cluster = stable_cluster(8)
    side = {f"10.0.0.{n}:1" for n in range(4)}
    cluster.is_partitioned = lambda source, to: (source in side) != (to in side)
    cluster.run_until(lambda: all(node.table.size == 4 for node in cluster.nodes_by_address.values()), 120.0)
    cluster.is_partitioned = lambda source, to: False
    cluster.run_until(cluster.converged, 120.0)


def test_packets_of_another_fleet_change_no_member_and_are_reported():
    cluster = stable_cluster(3)
    foreign_node = cluster.start("10.0.0.9:1", fleet="other")
    cluster.run(30.0)
    assert foreign_node.table.size == 1 and cluster.nodes_by_address[A].foreign_fleets == {
        "10.0.0.9:1": "other"
    }
    assert all(node.table.size == 3 for node in cluster.nodes_by_address.values() if node is not foreign_node)


def test_loss_of_a_fifth_of_all_packets_causes_no_death():
    cluster = stable_cluster(10)
    cluster.loss = 0.2
    cluster.run(120.0)
    assert cluster.deaths_declared == 0


def test_member_that_was_removed_during_a_probe_round_is_not_probed():
    """In a large fleet a probe round takes longer than dead members are kept in the table."""
    member = SwimNode(f"na@{A}", "f", (), GossipTiming(), 1, 0)
    member.receive(Packet("f", f"na@{B}", f"na@{A}", Ping(1)), 0)
    member.probe_order = ["ngone@10.0.0.9:1", f"na@{B}"][::-1]
    member.outbox.clear()
    member._start_probe(0)
    assert [packet.to for packet in member.outbox] == [f"na@{B}"]


UPDATES = st.builds(
    MembershipUpdate,
    st.sampled_from([f"n{suffix}@{address}" for suffix in "ab" for address in (A, B, C)]),
    st.integers(1, 4),
    st.sampled_from(MemberStatus),
    st.just(f"na@{C}"),
)


@given(
    st.lists(st.tuples(st.lists(UPDATES, max_size=3), st.integers(0, 3 * SECOND_US)), max_size=30),
    st.integers(0, 9),
)
def test_any_updates_keep_incarnations_growing_and_the_process_alive_in_its_own_table(steps, seed):
    identity, now, seen = f"na@{A}", 0, {}
    node = SwimNode(identity, "f", (A, B), GossipTiming(), seed, 0)
    for updates, pause in steps:
        now += pause
        node.tick(now)
        node.receive(
            Packet("f", f"na@{B}", identity, Ping(1) if pause % 2 else FullState(True), tuple(updates)), now
        )
        for member in node.table.members.values():
            assert seen.get(member.identity, (0, 0)) <= (member.incarnation, member.status) or (
                member.status is MemberStatus.DEAD or member.incarnation >= seen[member.identity][0]
            )
            before = seen.get(member.identity, (0, 0))
            if before[1] == MemberStatus.LEFT and before[0] == member.incarnation:
                assert member.status is MemberStatus.LEFT
            seen[member.identity] = (member.incarnation, member.status)
        assert node.table.members[identity].status is MemberStatus.ALIVE
        active_addresses = [address_of(active) for active in node.table.active()]
        assert len(active_addresses) == len(set(active_addresses)), "an address has one process"
        assert all(len(packet.updates) <= len(node.table.members) + 13 for packet in node.outbox)
        node.outbox.clear()


def test_packets_per_process_do_not_grow_with_the_size_of_the_fleet():
    small, large = measure(10, 20.0, 1), measure(60, 20.0, 1)
    assert large["packets_per_s"] < 1.2 * small["packets_per_s"] < 4.0
    assert small["false_alarms"] == large["false_alarms"] == 0
