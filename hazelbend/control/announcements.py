"""What workers have announced, until enough control processes hold it. Pure; told the time.

A number names an announcement within one life of this process, and the answer names that life too: an answer
that was meant for an earlier one counts for nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control.messages import WorkerUpdate, WorkerUpdateAck
from hazelbend.control.workers import WorkerRecord

ANNOUNCEMENT_WAIT = 900_000  # microseconds that a worker's call waits until enough processes hold it


@dataclass(slots=True, frozen=True)
class AnnouncementOutcome:
    """Whether enough control processes hold a worker's announcement."""

    number: int
    held: bool


@dataclass(slots=True)
class _Announcement:
    until: int
    holders: dict[str, tuple[str, ...]] = field(default_factory=dict)  # identities, and the voters they know

    def is_held(self, tolerance: int) -> bool:
        """Whether a majority of the voters hold it, by every list of them that a holder who votes knows, and
        more than may be lost."""
        lists = {voters for identity, voters in self.holders.items() if identity in voters}
        majorities = [2 * len(self.holders.keys() & set(voters)) > len(voters) for voters in lists]
        return bool(lists) and all(majorities) and len(self.holders) > tolerance


class Announcements:
    """Those that are under way."""

    def __init__(self, life: int, tolerance: int) -> None:
        """`tolerance`: counted processes that may be lost at one time."""
        self._life, self._tolerance = life, tolerance
        self._pending: dict[int, _Announcement] = {}
        self._done: list[AnnouncementOutcome] = []

    @property
    def due(self) -> int | None:
        """When the next one is over; None: there is none."""
        return min((each.until for each in self._pending.values()), default=None)

    def begin(self, number: int, record: WorkerRecord, now: int) -> WorkerUpdate:
        """The message that asks others to hold it."""
        self._pending[number] = _Announcement(now + ANNOUNCEMENT_WAIT)
        return WorkerUpdate(number, (record,), life=self._life)

    def taken(self, answer: WorkerUpdateAck) -> None:
        """A counted process, maybe this one, holds an announcement."""
        pending = self._pending.get(answer.number)
        if answer.life != self._life or pending is None:
            return
        pending.holders[answer.identity] = answer.voters
        if pending.is_held(self._tolerance):
            self._end(answer.number, held=True)

    def expire(self, now: int) -> None:
        """Give up those whose time is over."""
        for number, pending in list(self._pending.items()):
            if now >= pending.until:
                self._end(number, held=False)

    def take_done(self) -> list[AnnouncementOutcome]:
        """Those that are decided since the last call."""
        done, self._done = self._done, []
        return done

    def _end(self, number: int, held: bool) -> None:
        del self._pending[number]
        self._done.append(AnnouncementOutcome(number, held))
