"""Table of fleet members as one process sees them, and the rules by which updates change it.

Status of a member, by the updates about it:

    unknown         --any update-->                         the status of the update
    ALIVE           --suspect, same or higher incarnation-->SUSPECT, its time-out starts
    SUSPECT         --suspect, by another process-->        SUSPECT, with a shorter time-out
    SUSPECT         --alive, higher incarnation-->          ALIVE: it refuted the suspicion
    SUSPECT         --dead, or its time-out passes-->       DEAD
    ALIVE, SUSPECT  --left, by itself-->                    LEFT
    DEAD            --alive, higher incarnation-->          ALIVE: it was partitioned or stopped, and goes on
    any             --another identity alive at its address-->  DEAD: an address has one process
    LEFT            --anything, same incarnation-->         LEFT

Invariants, checked by the tests: (incarnation, status) of a member only grows; of the identities of one
address at most one is alive or suspect.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.consensus.identity import address_of
from hazelbend.gossip.dissemination import DisseminationQueue
from hazelbend.gossip.messages import MembershipUpdate, MemberStatus


@dataclass(slots=True)
class Member:
    """One identity. Times are microseconds of this process's clock."""

    identity: str
    incarnation: int
    status: MemberStatus
    status_since: int  # in this status
    first_seen_at: int  # known to this process
    suspected_by: set[str] = field(default_factory=set)

    @property
    def is_active(self) -> bool:
        """Whether it belongs to the fleet. A suspect still does."""
        return self.status <= MemberStatus.SUSPECT


class MemberTable:
    """All members that this process knows, itself included. It queues what it learns for dissemination."""

    def __init__(self, me: str, max_confirmations: int, updates: DisseminationQueue, now: int) -> None:
        self.identity = me
        self.members = {me: Member(me, 1, MemberStatus.ALIVE, now, now)}
        self.status_changes: list[Member] = []  # for an observer, which clears it
        self._max_confirmations = max_confirmations
        self._updates = updates
        self._active_by_address: dict[str, str] = {}  # without this process

    @property
    def size(self) -> int:
        """How many members are active."""
        return sum(member.is_active for member in self.members.values())

    def active(self) -> list[str]:
        """Identities of active members, the longest known first."""
        found = [member for member in self.members.values() if member.is_active]
        found.sort(key=lambda member: (member.first_seen_at, member.identity))
        return [member.identity for member in found]

    def inactive(self) -> set[str]:
        """Identities of members that are dead or left."""
        return {member.identity for member in self.members.values() if not member.is_active}

    def with_status(self, status: MemberStatus) -> list[Member]:
        """Members of this status, in the order in which they became known."""
        return [member for member in self.members.values() if member.status is status]

    def forget_inactive(self, before: int) -> None:
        """Drop members that became dead, or left, before this time."""
        for member in list(self.members.values()):
            if not member.is_active and member.status_since < before:
                del self.members[member.identity]

    def apply(self, update: MembershipUpdate, now: int) -> None:
        """Take in an update about another member. An old one changes nothing."""
        if self._address_is_taken(update):
            update = MembershipUpdate(update.member, update.incarnation, MemberStatus.DEAD, self.identity)
        member = self.members.get(update.member)
        if member is None:
            # The dead are added as well, so that an older update does not bring them back.
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
        """Whether another process has the address of a member that is said to be active."""
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
        before = self._active_by_address.get(address, member.identity)
        self._active_by_address[address] = member.identity
        if before != member.identity:
            # Of two identities at one address the process that was heard of last is the one that runs.
            incarnation = self.members[before].incarnation
            self.apply(MembershipUpdate(before, incarnation, MemberStatus.DEAD, self.identity), now)
