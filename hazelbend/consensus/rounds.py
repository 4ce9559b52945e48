"""A leader's heartbeat rounds: when the next one is due, and which ones a quorum has confirmed. No I/O.

Each broadcast of the leader starts a round: a heartbeat, new entries or a commit. Answers of a quorum to
messages of a round prove that no other node led when the round started. The heartbeat timer restarts with
each round, so a busy leader sends no separate heartbeats and is confirmed by the answers to its entries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Round:
    """A round that a quorum has not answered yet."""

    number: int
    started_at: int


class HeartbeatRounds:
    """The rounds of all leaderships of one node. Round numbers are never reused. Times are microseconds."""

    def __init__(self, heartbeat_us: int) -> None:
        self.heartbeat_us = heartbeat_us
        self.number = 0  # of the last round
        self.next_heartbeat_at = 0
        self._unconfirmed: deque[Round] = deque()

    def restart(self) -> None:
        """Start a new leadership: drop the rounds of an earlier one, whose answers no longer count."""
        self._unconfirmed.clear()

    def begin(self, now: int) -> None:
        """Start a round, which also serves as a heartbeat."""
        self.number += 1
        self.next_heartbeat_at = now + self.heartbeat_us
        self._unconfirmed.append(Round(self.number, now))

    def confirm(self, is_answered: Callable[[int], bool]) -> int | None:
        """The start time of the newest round that a quorum has answered since the last call, or None.

        `is_answered` returns whether a quorum has answered the round of this number or a later one.
        """
        started_at = None
        while self._unconfirmed and is_answered(self._unconfirmed[0].number):
            started_at = self._unconfirmed.popleft().started_at
        return started_at

    def copy(self) -> HeartbeatRounds:
        """An independent copy."""
        copied = HeartbeatRounds(self.heartbeat_us)
        copied.number = self.number
        copied.next_heartbeat_at = self.next_heartbeat_at
        copied._unconfirmed = self._unconfirmed.copy()
        return copied
