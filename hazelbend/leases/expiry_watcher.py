"""The grantor's side of time: which leases and waiters have expired, by what this process applied itself.

Each process keeps these times, so that a new leader counts from when it applied the entries, which is after
the requests for them were sent. Only the leader proposes expiries. A renewal that is ordered before an expiry
makes it void.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import Expire, ExpireWaiter, OpenEpoch, Operation
from hazelbend.leases.time_bounds import NEVER, first_seen

NO_TERM = -1


class LeaseRenewal(NamedTuple):
    """A lease as of one renewal, as `Expire` names it."""

    name: str
    token: int
    renewals: int


class WaiterPoll(NamedTuple):
    """A waiter as of one poll, as `ExpireWaiter` names it."""

    name: str
    holder: str
    request_id: int
    polls: int


@dataclass(slots=True)
class ExpiryWatcher:
    """Times are microseconds of this process's clock."""

    limits: LeaseLimits
    renewed_at: dict[LeaseRenewal, int] = field(default_factory=dict)
    polled_at: dict[WaiterPoll, int] = field(default_factory=dict)
    epoch: int = 0
    epoch_seen_at: int = 0
    proposed_in_term: int = NO_TERM
    proposed: set[Operation] = field(default_factory=set)  # in that term, and still expired

    def observe(self, table: LeaseTable, now: int) -> None:
        """Entries were applied, or a snapshot was restored: what is new has its time from now on."""
        state = table.state
        if self.epoch != state.epoch:
            self.epoch = state.epoch
            self.epoch_seen_at = now
        held = [LeaseRenewal(name, lease.token, lease.renewals) for name, lease in state.leases.items()]
        self.renewed_at = first_seen(held, self.renewed_at, now)
        polls = [
            WaiterPoll(name, waiter.holder, waiter.request_id, waiter.polls)
            for name, lease in state.leases.items()
            for waiter in lease.waiters
        ]
        self.polled_at = first_seen(polls, self.polled_at, now)

    def opens_at(self) -> int:
        """From when on this epoch may grant: all leases of the previous one are over."""
        return self.epoch_seen_at + round(self.limits.max_ttl_us * (1 + self.limits.max_clock_drift))

    def next_at(self, table: LeaseTable) -> int:
        """When `expired` may have something new."""
        leases = table.state.leases
        times = [] if table.state.is_open else [self.opens_at()]
        times += [since + leases[held.name].ttl_us for held, since in self.renewed_at.items()]
        times += [polled_at + self.limits.max_ttl_us for polled_at in self.polled_at.values()]
        return min(times, default=NEVER)

    def new_proposals(self, table: LeaseTable, term: int, now: int) -> list[Operation]:
        """What the leader of this term is to propose: each expiry once, in a fixed order."""
        expired = set(self.expired(table, now))
        already_proposed = self.proposed if term == self.proposed_in_term else set()
        self.proposed_in_term = term
        self.proposed = expired
        return sorted(expired - already_proposed, key=repr)

    def expired(self, table: LeaseTable, now: int) -> list[Operation]:
        """Operations for all whose time is over."""
        found: list[Operation] = []
        if not table.state.is_open and now >= self.opens_at():
            found.append(OpenEpoch())
        for held, since in self.renewed_at.items():
            if now >= since + table.state.leases[held.name].ttl_us:
                found.append(Expire(*held))
        for poll, polled_at in self.polled_at.items():
            # A waiter polls again and again. One that does not is gone.
            if now >= polled_at + self.limits.max_ttl_us:
                found.append(ExpireWaiter(*poll))
        return found
