"""What workers have announced, until enough control processes hold it. Pure; told the time.

A number names an announcement within one life of this process, and the answer names that life too: an answer
that was meant for an earlier one counts for nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control.messages import WorkerNews, WorkerNewsTaken
from hazelbend.control.workers import WorkerRecord

ANNOUNCEMENT_WAIT = 900_000  # microseconds that a worker's call waits until enough processes hold it


@dataclass(slots=True, frozen=True)
class WorkerDone:
    """Whether enough control processes hold a worker's announcement."""

    number: int
    held: bool


@dataclass(slots=True)
class _Announcement:
    until: int
    needed: int  # other counted processes
    holders: set[str] = field(default_factory=set)  # their addresses


class Announcements:
    """Those that are under way."""

    def __init__(self, life: int) -> None:
        self._life = life
        self._pending: dict[int, _Announcement] = {}
        self.done: list[WorkerDone] = []

    @property
    def due(self) -> int | None:
        """When the next one is over; None: there is none."""
        return min((each.until for each in self._pending.values()), default=None)

    def begin(self, number: int, record: WorkerRecord, needed: int, now: int) -> WorkerNews:
        """The message that asks others to hold it. `needed`: so many of them, at least one."""
        self._pending[number] = _Announcement(now + ANNOUNCEMENT_WAIT, needed)
        return WorkerNews(number, (record,), life=self._life)

    def taken(self, sender: str, answer: WorkerNewsTaken) -> None:
        """A counted process at this address holds one."""
        pending = self._pending.get(answer.number)
        if answer.life != self._life or pending is None:
            return
        pending.holders.add(sender)
        if len(pending.holders) >= pending.needed:
            self._end(answer.number, held=True)

    def expire(self, now: int) -> None:
        """Give up those whose time is over."""
        for number, pending in list(self._pending.items()):
            if now >= pending.until:
                self._end(number, held=False)

    def take_done(self) -> list[WorkerDone]:
        """Those that are decided since the last call."""
        done, self.done = self.done, []
        return done

    def _end(self, number: int, held: bool) -> None:
        del self._pending[number]
        self.done.append(WorkerDone(number, held))
