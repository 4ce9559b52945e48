"""Announcements of workers that are pending until enough control processes have stored them. Sans-I/O.

A request id identifies an announcement within one incarnation of this process. Acknowledgements carry the
incarnation too, so that those for an earlier incarnation are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.consensus.voters import includes_majorities
from hazelbend.control.messages import WorkerUpdate, WorkerUpdateAck
from hazelbend.control.workers import WorkerRecord

ANNOUNCEMENT_TIMEOUT_US = 900_000  # after which a worker's call fails without enough acknowledgements


@dataclass(slots=True, frozen=True)
class AnnouncementOutcome:
    """Whether enough control processes have stored a worker's announcement."""

    request_id: int
    acknowledged: bool


@dataclass(slots=True)
class _PendingAnnouncement:
    expires_at: int
    # By the identity of each process that holds the announcement: the voter list that it knows.
    holders: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def is_durable(self, tolerance: int) -> bool:
        """Whether a majority of the voters, and more than `tolerance` processes, hold the announcement."""
        return includes_majorities(self.holders) and len(self.holders) > tolerance


class Announcements:
    """The pending announcements, and the outcomes since the last `take_outcomes`."""

    def __init__(self, incarnation: int, tolerance: int) -> None:
        """`tolerance`: the number of quorum processes that may be lost at the same time."""
        self._incarnation = incarnation
        self._tolerance = tolerance
        self._pending: dict[int, _PendingAnnouncement] = {}
        self._outcomes: list[AnnouncementOutcome] = []

    @property
    def next_expiry_at(self) -> int | None:
        """When the next pending announcement times out; None if none is pending."""
        return min((pending.expires_at for pending in self._pending.values()), default=None)

    def begin(self, request_id: int, record: WorkerRecord, now: int) -> WorkerUpdate:
        """Start an announcement; returns the message that replicates it to the peers."""
        self._pending[request_id] = _PendingAnnouncement(now + ANNOUNCEMENT_TIMEOUT_US)
        return WorkerUpdate(request_id, (record,), incarnation=self._incarnation)

    def acknowledge(self, ack: WorkerUpdateAck) -> None:
        """Record that a process that counts for the quorum, possibly this one, has stored an announcement."""
        pending = self._pending.get(ack.request_id)
        if ack.incarnation != self._incarnation or pending is None:
            return
        pending.holders[ack.identity] = ack.voters
        if pending.is_durable(self._tolerance):
            self._finish(ack.request_id, acknowledged=True)

    def expire(self, now: int) -> None:
        """Fail all announcements that have timed out."""
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
