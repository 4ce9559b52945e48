"""Whether a control process that has started knows every end of a worker that was acknowledged before.

An acknowledged end is stored by a majority of the voters (see `announcements`), but not necessarily by a
process that was down at that time. A heartbeat that was sent before the end may arrive later, and only the
record of the end shows that it is outdated. The soft state that it restores may be outdated too. So a
process takes no heartbeats, and reports no ready workers to routers, until it has the worker records of so
many voters that each majority contains one of them. Its own stored records count.

Sans-I/O; times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

import msgspec

from hazelbend.consensus.voters import meets_majorities
from hazelbend.control.messages import SnapshotSource


class HeartbeatRejectedError(Exception):
    """A worker's heartbeat is not taken, because its end might be acknowledged and unknown here."""


class WorkerRecovery:
    """Collects the sources of the snapshots that have arrived since the start of this process."""

    def __init__(self, identity: str, incarnation: int, gives_up_at: int, *, has_stored_state: bool) -> None:
        """`gives_up_at`: when the recovery ends although no majority could be reached.

        `has_stored_state`: whether this process has restored the state of its identity. Without it, its
        records are not those that it has acknowledged, and do not count.
        """
        self.is_complete = False  # whether this process has the records of enough voters
        self.source_count = 0  # processes whose records have completed the recovery
        self._identity = identity
        self._incarnation = incarnation
        self._gives_up_at = gives_up_at
        self._has_stored_state = has_stored_state
        self._voters_by_source: dict[str, tuple[str, ...]] = {}

    def has_ended(self, now: int) -> bool:
        """Whether the recovery is complete, or has been given up.

        A process that reaches no majority is not in touch, and its workers may reach no other process.
        """
        return self.is_complete or now >= self._gives_up_at

    def has_snapshot_of(self, identity: str) -> bool:
        """Whether the records of this process have arrived."""
        return identity in self._voters_by_source

    def source_for(
        self, receiver_incarnation: int, voters: tuple[str, ...]
    ) -> SnapshotSource | msgspec.UnsetType:
        """This process as the source of a snapshot; UNSET if its records do not count.

        `voters`: the voter list that this process knows.
        """
        if not (self._has_stored_state or self.is_complete):
            return msgspec.UNSET
        return SnapshotSource(self._identity, voters, receiver_incarnation)

    def handle_snapshot(self, source: SnapshotSource) -> None:
        """Record that the records of this source are merged. A snapshot for an earlier run is ignored."""
        if source.receiver_incarnation == self._incarnation:
            self._voters_by_source[source.identity] = source.voters

    def update(self, own_voters: tuple[str, ...]) -> None:
        """Complete the recovery if the sources suffice, with the voter list that this process knows now."""
        if self.is_complete:
            return
        holders = dict(self._voters_by_source)
        is_only_voter = own_voters == (self._identity,)
        if self._has_stored_state or is_only_voter:
            holders[self._identity] = own_voters
        self.is_complete = meets_majorities(holders)
        self.source_count = len(holders)
