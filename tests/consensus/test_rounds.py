"""Heartbeat rounds: the timer, and the confirmation of rounds."""

from __future__ import annotations

from hazelbend.consensus.rounds import HeartbeatRounds

HEARTBEAT_US = 100


def rounds_at(*times: int) -> HeartbeatRounds:
    rounds = HeartbeatRounds(HEARTBEAT_US)
    for started_at in times:
        rounds.begin(started_at)
    return rounds


def test_heartbeat_is_due_one_interval_after_the_last_round():
    assert rounds_at(10, 70).next_heartbeat_at == 170


def test_rounds_are_confirmed_up_to_the_last_answered_round():
    """Of three rounds two are answered: the second is returned as confirmed once, and the third later."""
    rounds = rounds_at(10, 20, 30)
    assert rounds.confirm(lambda number: number <= 2) == 20
    assert rounds.confirm(lambda number: number <= 2) is None
    assert rounds.confirm(lambda number: True) == 30


def test_new_leadership_drops_earlier_rounds_and_does_not_reuse_their_numbers():
    rounds = rounds_at(10, 20)
    rounds.restart()
    assert rounds.confirm(lambda number: True) is None
    rounds.begin(30)
    assert rounds.number == 3
    assert rounds.confirm(lambda number: number >= 3) == 30


def test_copy_is_independent_of_the_original():
    rounds = rounds_at(10)
    copied = rounds.copy()
    copied.begin(20)
    assert copied.confirm(lambda number: True) == 20
    assert (rounds.number, rounds.confirm(lambda number: True)) == (1, 10)
