"""Members: whole fleets on virtual time, with deaths, pauses, cuts and mistakes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_members import Crowd, S, measure
from hazelbend.consensus.identity import address_of
from hazelbend.gossip.swim import Members, News, Packet, Probe, Status, Timing, Whole

A, B, C = (f"10.0.0.{n}:1" for n in range(3))


def settled(size: int = 5, seed: int = 1) -> Crowd:
    crowd = Crowd(size, seed)
    crowd.until(crowd.agreed, 60.0)
    crowd.run(20.0)
    return crowd


def status(crowd: Crowd, of: str) -> set[Status]:
    """As the others that run see it."""
    others = [each for each in crowd.by_address.values() if each.me != of]
    return {each.table[of].status for each in others}


def test_a_death_is_known_to_all_and_one_that_starts_again_is_somebody_else():
    crowd = settled()
    before = crowd.by_address[B].me
    crowd.kill(B)
    assert crowd.until(crowd.agreed, 30.0) > 1.0
    after = crowd.start(B, "b").me
    crowd.until(crowd.agreed, 30.0)
    assert status(crowd, before) == {Status.DEAD} and status(crowd, after) == {Status.ALIVE}
    assert before in crowd.by_address[A].lost() and crowd.by_address[A].well()[-1] == after


def test_an_address_that_another_process_took_at_once_has_one_member():
    crowd = settled()
    before = crowd.by_address[B].me
    crowd.kill(B)
    crowd.start(B, "b")
    crowd.until(crowd.agreed, 5.0)
    assert status(crowd, before) == {Status.DEAD}, "at once, without a suspicion's time"


def test_one_that_leaves_is_known_to_have_left_soon():
    crowd = settled()
    member = crowd.by_address[B]
    member.leave(crowd.now)
    crowd._send(member)
    crowd.run(0.1)
    crowd.kill(B)
    crowd.until(crowd.agreed, 6.0)
    assert status(crowd, member.me) == {Status.LEFT} and crowd.alarms == 0


@pytest.mark.parametrize("pause", [30.0, 2.0])
def test_one_that_was_stopped_comes_back_and_holds_nobody_dead(pause):
    crowd = settled()
    crowd.pause(B)
    crowd.run(pause)
    others = crowd.alarms
    crowd.go_on(B)
    crowd.until(crowd.agreed, 30.0)
    assert crowd.alarms == others, "what it did not hear while it stood still says nothing"
    assert all(whom == crowd.by_address[B].me for _, whom in crowd.dead_at)
    assert (others > 0) == (pause > 20.0)


def test_a_cut_between_two_of_five_is_no_death():
    crowd = settled()
    crowd.cuts = lambda source, to: {source, to} == {A, B}
    crowd.run(60.0)
    assert crowd.alarms == 0 and crowd.agreed()


def test_one_whose_answers_are_lost_is_dead_and_comes_back_when_the_cut_is_over():
    """An asymmetric cut: it hears all, nobody hears it."""
    crowd = settled()
    crowd.cuts = lambda source, to: source == B
    member = crowd.by_address[B].me
    crowd.until(lambda: status(crowd, member) == {Status.DEAD}, 60.0)
    crowd.cuts = lambda source, to: False
    crowd.until(crowd.agreed, 60.0)
    assert crowd.by_address[B].table[member].incarnation > 1, "it has denied it"


def test_a_fleet_cut_in_two_becomes_one_again():
    crowd = settled(8)
    side = {f"10.0.0.{n}:1" for n in range(4)}
    crowd.cuts = lambda source, to: (source in side) != (to in side)
    crowd.until(lambda: all(each.size == 4 for each in crowd.by_address.values()), 120.0)
    crowd.cuts = lambda source, to: False
    crowd.until(crowd.agreed, 120.0)


def test_another_fleet_at_the_same_address_changes_nothing_and_is_told():
    crowd = settled(3)
    stranger = crowd.start("10.0.0.9:1", fleet="other")
    crowd.run(30.0)
    assert stranger.size == 1 and crowd.by_address[A].strangers == {"10.0.0.9:1": "other"}
    assert all(each.size == 3 for each in crowd.by_address.values() if each is not stranger)


def test_a_fifth_of_all_packets_lost_kills_nobody():
    crowd = settled(10)
    crowd.loss = 0.2
    crowd.run(120.0)
    assert crowd.alarms == 0


def test_one_that_was_forgotten_before_its_turn_is_not_probed():
    """The order of a large fleet takes longer to go through than the dead are remembered."""
    member = Members(f"na@{A}", "f", (), Timing(), 1, 0)
    member.receive(Packet("f", f"na@{B}", f"na@{A}", Probe(1)), 0)
    member.order = ["ngone@10.0.0.9:1", f"na@{B}"][::-1]
    member.out.clear()
    member._probe(0)
    assert [packet.to for packet in member.out] == [f"na@{B}"]


NEWS = st.builds(
    News,
    st.sampled_from([f"n{life}@{address}" for life in "ab" for address in (A, B, C)]),
    st.integers(1, 4),
    st.sampled_from(Status),
    st.just(f"na@{C}"),
)


@given(st.lists(st.tuples(st.lists(NEWS, max_size=3), st.integers(0, 3 * S)), max_size=30), st.integers(0, 9))
def test_whatever_is_heard_news_goes_up_and_nobody_gives_itself_up(heard, seed):
    me, now, seen = f"na@{A}", 0, {}
    member = Members(me, "f", (A, B), Timing(), seed, 0)
    for news, pause in heard:
        now += pause
        member.tick(now)
        member.receive(Packet("f", f"na@{B}", me, Probe(1) if pause % 2 else Whole(True), tuple(news)), now)
        for each in member.table.values():
            assert seen.get(each.identity, (0, 0)) <= (each.incarnation, each.status) or (
                each.status is Status.DEAD or each.incarnation >= seen[each.identity][0]
            )
            before = seen.get(each.identity, (0, 0))
            if before[1] == Status.LEFT and before[0] == each.incarnation:
                assert each.status is Status.LEFT
            seen[each.identity] = (each.incarnation, each.status)
        assert member.table[me].status is Status.ALIVE
        living = [address_of(each) for each in member.well()]
        assert len(living) == len(set(living)), "an address has one process"
        assert all(len(packet.news) <= len(member.table) + 13 for packet in member.out)
        member.out.clear()


def test_what_it_costs_does_not_grow_with_the_fleet():
    small, large = measure(10, 20.0, 1), measure(60, 20.0, 1)
    assert large["packets_per_s"] < 1.2 * small["packets_per_s"] < 4.0
    assert small["false_alarms"] == large["false_alarms"] == 0
