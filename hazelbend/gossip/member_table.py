"""One process's table of fleet members, and the rules by which membership updates change it.

Transitions of a member's status, by the updates about it:

    unknown         --any update-->                               the status of the update
    ALIVE           --suspect, same or higher incarnation-->      SUSPECT; the suspicion timeout starts
    SUSPECT         --suspect, from another process-->            SUSPECT, with a shorter timeout
    SUSPECT         --alive, higher incarnation-->                ALIVE: the member refuted the suspicion
    SUSPECT         --dead, or the timeout expires-->             DEAD
    ALIVE, SUSPECT  --left, from the member itself-->             LEFT
    DEAD            --alive, higher incarnation-->                ALIVE: it was partitioned or paused
    any             --another identity is alive at its address--> DEAD: an address has one process
    LEFT            --any update, same incarnation-->             LEFT

Invariants, checked by the tests: (incarnation, status) of a member only grows; of the identities at one
address at most one is alive or suspect.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.consensus.identity import address_of
from hazelbend.gossip.dissemination import DisseminationQueue
from hazelbend.gossip.messages import MembershipUpdate, MemberStatus


@dataclass(slots=True)
class Member:
    """One member, by identity. Times are microseconds of this process's clock."""

    identity: str
    incarnation: int
    status: MemberStatus
    status_since: int
    first_seen_at: int  # when this process learned of the member
    suspected_by: set[str] = field(default_factory=set)

    @property
    def is_active(self) -> bool:
        """Whether the member belongs to the fleet. A suspect still does."""
        return self.status <= MemberStatus.SUSPECT


class MemberTable:
    """All known members, this process included. Each change is queued for dissemination."""

    def __init__(self, identity: str, max_confirmations: int, updates: DisseminationQueue, now: int) -> None:
        """`identity`: this process's own."""
        self.identity = identity
        self.members = {identity: Member(identity, 1, MemberStatus.ALIVE, now, now)}
        self.status_changes: list[Member] = []  # for the driver, which clears the list
        self._max_confirmations = max_confirmations
        self._updates = updates
        self._active_by_address: dict[str, str] = {}  # identity by address, without this process

    @property
    def size(self) -> int:
        """The number of active members."""
        return sum(member.is_active for member in self.members.values())

    def active(self) -> list[str]:
        """The identities of active members, in the order in which they became known."""
        found = [member for member in self.members.values() if member.is_active]
        found.sort(key=lambda member: (member.first_seen_at, member.identity))
        return [member.identity for member in found]

    def inactive(self) -> set[str]:
        """The identities of members that are dead or have left."""
        return {member.identity for member in self.members.values() if not member.is_active}

    def with_status(self, status: MemberStatus) -> list[Member]:
        """The members with this status, in the order in which they became known."""
        return [member for member in self.members.values() if member.status is status]

    def forget_inactive(self, before: int) -> None:
        """Remove members that died or left before this time."""
        for member in list(self.members.values()):
            if not member.is_active and member.status_since < before:
                del self.members[member.identity]

    def apply(self, update: MembershipUpdate, now: int) -> None:
        """Apply an update about another member. An outdated update changes nothing."""
        if self._address_is_taken(update):
            update = MembershipUpdate(update.member, update.incarnation, MemberStatus.DEAD, self.identity)
        member = self.members.get(update.member)
        if member is None:
            # Dead members are added as well, so that an older update does not mark them as alive.
            member = Member(update.member, update.incarnation, update.status, now, now)
            self.members[update.member] = member
            self._status_changed(member, update, now)
        elif self._is_confirmation(member, update):
            self._confirm_suspicion(member, update)
        elif self._is_newer(member, update):
            member.incarnation = update.incarnation
            member.status = update.status
            member.status_since = now
            self._status_changed(member, update, now)

    def _address_is_taken(self, update: MembershipUpdate) -> bool:
        """Whether the update reports a member as active whose address belongs to another process."""
        if update.status >= MemberStatus.DEAD:
            return False
        address = address_of(update.member)
        if address == address_of(self.identity):
            return True
        other = self._active_by_address.get(address, update.member)
        return other != update.member and update.status is MemberStatus.SUSPECT

    @staticmethod
    def _is_confirmation(member: Member, update: MembershipUpdate) -> bool:
        return (
            update.status is member.status is MemberStatus.SUSPECT
            and update.incarnation == member.incarnation
        )

    def _confirm_suspicion(self, member: Member, update: MembershipUpdate) -> None:
        if update.by not in member.suspected_by and len(member.suspected_by) <= self._max_confirmations:
            member.suspected_by.add(update.by)
            self._updates.add_confirmation(update)

    @staticmethod
    def _is_newer(member: Member, update: MembershipUpdate) -> bool:
        if member.status is MemberStatus.LEFT:
            return update.incarnation > member.incarnation
        if update.status is MemberStatus.LEFT:
            return update.incarnation >= member.incarnation
        if member.status is MemberStatus.DEAD:
            return update.incarnation > member.incarnation
        return (update.incarnation, update.status) > (member.incarnation, member.status)

    def _status_changed(self, member: Member, update: MembershipUpdate, now: int) -> None:
        suspected = update.status is MemberStatus.SUSPECT
        member.suspected_by = {update.by} if suspected else set()
        self._updates.add(update)
        self.status_changes.append(member)
        address = address_of(member.identity)
        if not member.is_active:
            if self._active_by_address.get(address) == member.identity:
                del self._active_by_address[address]
            return
        previous = self._active_by_address.get(address, member.identity)
        self._active_by_address[address] = member.identity
        if previous != member.identity:
            # Of two identities at one address, the one that was reported last belongs to the running process.
            incarnation = self.members[previous].incarnation
            self.apply(MembershipUpdate(previous, incarnation, MemberStatus.DEAD, self.identity), now)
