"""Detects expired leases and waiters for the grantor, from the times at which this process applied entries.

Every process records these times, so that a new leader counts from when it applied the entries itself, which
is after the requests for them were sent. Only the leader proposes expiries. An expiry has no effect if a
renewal precedes it in the log.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import Expire, ExpireWaiter, OpenEpoch, Operation
from hazelbend.leases.time_bounds import NEVER, first_seen

NO_TERM = -1


class LeaseRenewal(NamedTuple):
    """One renewal (or the grant) of a lease, as `Expire` refers to it."""

    name: str
    token: int
    renewals: int


class WaiterPoll(NamedTuple):
    """One poll of a waiter, as `ExpireWaiter` refers to it."""

    name: str
    holder: str
    request_id: int
    polls: int


@dataclass(slots=True)
class ExpiryWatcher:
    """Records when this process first saw each renewal, poll and epoch, in microseconds of its clock."""

    limits: LeaseLimits
    renewed_at: dict[LeaseRenewal, int] = field(default_factory=dict)
    polled_at: dict[WaiterPoll, int] = field(default_factory=dict)
    epoch: int = 0
    epoch_seen_at: int = 0
    proposed_in_term: int = NO_TERM
    proposed: set[Operation] = field(default_factory=set)  # in that term, if still expired

    def observe(self, table: LeaseTable, now: int) -> None:
        """Record new renewals and polls, after entries were applied or a snapshot was restored."""
        state = table.state
        if self.epoch != state.epoch:
            self.epoch = state.epoch
            self.epoch_seen_at = now
        renewals = [LeaseRenewal(name, lease.token, lease.renewals) for name, lease in state.leases.items()]
        self.renewed_at = first_seen(renewals, self.renewed_at, now)
        polls = [
            WaiterPoll(name, waiter.holder, waiter.request_id, waiter.polls)
            for name, lease in state.leases.items()
            for waiter in lease.waiters
        ]
        self.polled_at = first_seen(polls, self.polled_at, now)

    def opens_at(self) -> int:
        """Return from when on this epoch may grant: all leases of the previous epoch have expired by then."""
        return self.epoch_seen_at + round(self.limits.max_ttl_us * (1 + self.limits.max_clock_drift))

    def next_at(self, table: LeaseTable) -> int:
        """Return when `expired` may find something new."""
        leases = table.state.leases
        times = [] if table.state.is_open else [self.opens_at()]
        times += [at + leases[renewal.name].ttl_us for renewal, at in self.renewed_at.items()]
        times += [polled_at + self.limits.max_ttl_us for polled_at in self.polled_at.values()]
        return min(times, default=NEVER)

    def new_proposals(self, table: LeaseTable, term: int, now: int) -> list[Operation]:
        """Return what the leader of this term proposes now: each expiry once per term, in a fixed order."""
        expired = set(self.expired(table, now))
        already_proposed = self.proposed if term == self.proposed_in_term else set()
        self.proposed_in_term = term
        self.proposed = expired
        return sorted(expired - already_proposed, key=repr)

    def expired(self, table: LeaseTable, now: int) -> list[Operation]:
        """Return the operations that expire leases and waiters, or open the epoch, at this time."""
        found: list[Operation] = []
        if not table.state.is_open and now >= self.opens_at():
            found.append(OpenEpoch())
        for renewal, renewed_at in self.renewed_at.items():
            if now >= renewed_at + table.state.leases[renewal.name].ttl_us:
                found.append(Expire(*renewal))
        for poll, polled_at in self.polled_at.items():
            # A waiter polls repeatedly until it is granted the lease. One that stopped polling is gone.
            if now >= polled_at + self.limits.max_ttl_us:
                found.append(ExpireWaiter(*poll))
        return found
