"""Announcements of workers that wait until enough control processes hold them. Sans-I/O; given the time.

A request id names an announcement within one incarnation of this process. The acknowledgement names that
incarnation too, so one that was meant for an earlier incarnation counts for nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control.messages import WorkerUpdate, WorkerUpdateAck
from hazelbend.control.workers import WorkerRecord

ANNOUNCEMENT_TIMEOUT_US = 900_000  # how long a worker's call waits until enough processes hold it


@dataclass(slots=True, frozen=True)
class AnnouncementOutcome:
    """Whether enough control processes hold a worker's announcement."""

    request_id: int
    acknowledged: bool


@dataclass(slots=True)
class _PendingAnnouncement:
    expires_at: int
    holders: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by identity: the voters it knows

    def is_durable(self, tolerance: int) -> bool:
        """Whether a majority of the voters holds it, and more processes than may be lost.

        Holders may know different lists of voters while the list changes: the majority must hold by each
        list that a holder knows which has a vote by that list.
        """
        voter_lists = {voters for identity, voters in self.holders.items() if identity in voters}
        majorities = [2 * len(self.holders.keys() & set(voters)) > len(voters) for voters in voter_lists]
        return bool(voter_lists) and all(majorities) and len(self.holders) > tolerance


class Announcements:
    """The announcements that are pending, and the outcomes that nobody has taken yet."""

    def __init__(self, incarnation: int, tolerance: int) -> None:
        """`tolerance`: processes that count for the quorum and may be lost at one time."""
        self._incarnation = incarnation
        self._tolerance = tolerance
        self._pending: dict[int, _PendingAnnouncement] = {}
        self._outcomes: list[AnnouncementOutcome] = []

    @property
    def next_expiry_at(self) -> int | None:
        """When the next pending announcement times out; None: none is pending."""
        return min((pending.expires_at for pending in self._pending.values()), default=None)

    def begin(self, request_id: int, record: WorkerRecord, now: int) -> WorkerUpdate:
        """Start an announcement; returns the message that asks peers to hold it."""
        self._pending[request_id] = _PendingAnnouncement(now + ANNOUNCEMENT_TIMEOUT_US)
        return WorkerUpdate(request_id, (record,), incarnation=self._incarnation)

    def acknowledge(self, ack: WorkerUpdateAck) -> None:
        """A process that counts for the quorum, maybe this one, holds an announcement."""
        pending = self._pending.get(ack.request_id)
        if ack.incarnation != self._incarnation or pending is None:
            return
        pending.holders[ack.identity] = ack.voters
        if pending.is_durable(self._tolerance):
            self._finish(ack.request_id, acknowledged=True)

    def expire(self, now: int) -> None:
        """Fail the announcements that have timed out."""
        for request_id, pending in list(self._pending.items()):
            if now >= pending.expires_at:
                self._finish(request_id, acknowledged=False)

    def take_outcomes(self) -> list[AnnouncementOutcome]:
        """The outcomes since the last call."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def _finish(self, request_id: int, *, acknowledged: bool) -> None:
        del self._pending[request_id]
        self._outcomes.append(AnnouncementOutcome(request_id, acknowledged))
