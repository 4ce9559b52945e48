"""Gossip membership: whole clusters on virtual time, with crashes, pauses, partitions and planted faults."""

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
    """As the others that run see it."""
    others = [each for each in cluster.nodes_by_address.values() if each.identity != of]
    return {each.table.members[of].status for each in others}


def test_a_crash_is_known_to_all_and_a_restarted_process_is_a_new_member():
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


def test_an_address_reused_at_once_has_one_active_member():
    cluster = stable_cluster()
    before = cluster.nodes_by_address[B].identity
    cluster.kill(B)
    cluster.start(B, "b")
    cluster.run_until(cluster.converged, 5.0)
    assert status(cluster, before) == {MemberStatus.DEAD}, "at once, without the suspicion time-out"


def test_a_leaving_member_is_soon_known_to_have_left():
    cluster = stable_cluster()
    member = cluster.nodes_by_address[B]
    member.leave(cluster.now)
    cluster._send(member)
    cluster.run(0.1)
    cluster.kill(B)
    cluster.run_until(cluster.converged, 6.0)
    assert status(cluster, member.identity) == {MemberStatus.LEFT} and cluster.deaths_declared == 0


@pytest.mark.parametrize("pause", [30.0, 2.0])
def test_a_paused_member_comes_back_and_declares_nobody_dead(pause):
    cluster = stable_cluster()
    cluster.pause(B)
    cluster.run(pause)
    others = cluster.deaths_declared
    cluster.resume(B)
    cluster.run_until(cluster.converged, 30.0)
    assert cluster.deaths_declared == others, "acks missed during the pause say nothing"
    assert all(whom == cluster.nodes_by_address[B].identity for _, whom in cluster.dead_at)
    assert (others > 0) == (pause > 20.0)


def test_a_broken_link_between_two_of_five_members_is_no_death():
    cluster = stable_cluster()
    cluster.is_partitioned = lambda source, to: {source, to} == {A, B}
    cluster.run(60.0)
    assert cluster.deaths_declared == 0 and cluster.converged()


def test_a_member_whose_acks_are_lost_is_dead_and_comes_back_after_the_partition():
    """An asymmetric partition: it receives everything, and nobody receives from it."""
    cluster = stable_cluster()
    cluster.is_partitioned = lambda source, to: source == B
    member = cluster.nodes_by_address[B].identity
    cluster.run_until(lambda: status(cluster, member) == {MemberStatus.DEAD}, 60.0)
    cluster.is_partitioned = lambda source, to: False
    cluster.run_until(cluster.converged, 60.0)
    assert cluster.nodes_by_address[B].table.members[member].incarnation > 1, "it has refuted the suspicion"


def test_a_partitioned_fleet_merges_again():
    cluster = stable_cluster(8)
    side = {f"10.0.0.{n}:1" for n in range(4)}
    cluster.is_partitioned = lambda source, to: (source in side) != (to in side)
    cluster.run_until(lambda: all(each.table.size == 4 for each in cluster.nodes_by_address.values()), 120.0)
    cluster.is_partitioned = lambda source, to: False
    cluster.run_until(cluster.converged, 120.0)


def test_a_member_of_another_fleet_changes_nothing_and_is_reported():
    cluster = stable_cluster(3)
    stranger = cluster.start("10.0.0.9:1", fleet="other")
    cluster.run(30.0)
    assert stranger.table.size == 1 and cluster.nodes_by_address[A].foreign_fleets == {"10.0.0.9:1": "other"}
    assert all(each.table.size == 3 for each in cluster.nodes_by_address.values() if each is not stranger)


def test_a_fifth_of_all_packets_lost_causes_no_false_death():
    cluster = stable_cluster(10)
    cluster.loss = 0.2
    cluster.run(120.0)
    assert cluster.deaths_declared == 0


def test_a_member_forgotten_before_its_turn_is_not_probed():
    """A probe round of a large fleet takes longer than dead members are kept."""
    member = SwimNode(f"na@{A}", "f", (), GossipTiming(), 1, 0)
    member.receive(Packet("f", f"na@{B}", f"na@{A}", Ping(1)), 0)
    member.probe_order = ["ngone@10.0.0.9:1", f"na@{B}"][::-1]
    member.outbox.clear()
    member._start_probe(0)
    assert [packet.to for packet in member.outbox] == [f"na@{B}"]


UPDATES = st.builds(
    MembershipUpdate,
    st.sampled_from([f"n{life}@{address}" for life in "ab" for address in (A, B, C)]),
    st.integers(1, 4),
    st.sampled_from(MemberStatus),
    st.just(f"na@{C}"),
)


@given(
    st.lists(st.tuples(st.lists(UPDATES, max_size=3), st.integers(0, 3 * SECOND_US)), max_size=30),
    st.integers(0, 9),
)
def test_whatever_is_received_incarnations_grow_and_a_process_stays_alive_to_itself(heard, seed):
    me, now, seen = f"na@{A}", 0, {}
    member = SwimNode(me, "f", (A, B), GossipTiming(), seed, 0)
    for updates, pause in heard:
        now += pause
        member.tick(now)
        member.receive(
            Packet("f", f"na@{B}", me, Ping(1) if pause % 2 else FullState(True), tuple(updates)), now
        )
        for each in member.table.members.values():
            assert seen.get(each.identity, (0, 0)) <= (each.incarnation, each.status) or (
                each.status is MemberStatus.DEAD or each.incarnation >= seen[each.identity][0]
            )
            before = seen.get(each.identity, (0, 0))
            if before[1] == MemberStatus.LEFT and before[0] == each.incarnation:
                assert each.status is MemberStatus.LEFT
            seen[each.identity] = (each.incarnation, each.status)
        assert member.table.members[me].status is MemberStatus.ALIVE
        living = [address_of(each) for each in member.table.active()]
        assert len(living) == len(set(living)), "an address has one process"
        assert all(len(packet.updates) <= len(member.table.members) + 13 for packet in member.outbox)
        member.outbox.clear()


def test_packets_per_process_do_not_grow_with_the_fleet():
    small, large = measure(10, 20.0, 1), measure(60, 20.0, 1)
    assert large["packets_per_s"] < 1.2 * small["packets_per_s"] < 4.0
    assert small["false_alarms"] == large["false_alarms"] == 0
