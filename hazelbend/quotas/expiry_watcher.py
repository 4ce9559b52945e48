"""The grantor's side of time: which allocations have expired, and whose units in doubt can be reclaimed.

Each process keeps these times by what it applied itself, so that a new leader counts from after the requests
were sent, as the leader before did. Only the leader proposes expiries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelbend.leases.time_bounds import NEVER, first_seen
from hazelbend.quotas.ledger import QuotaLedger
from hazelbend.quotas.operations import Expire, OpenEpoch, Operation, Reclaim
from hazelbend.quotas.timing import QuotaTerms


class HeldAllocation(NamedTuple):
    """An allocation as of one renewal, as `Expire` names it."""

    account: str
    holder: str
    token: int
    renewals: int


class DoubtfulAllocation(NamedTuple):
    """Units in doubt, as `Reclaim` names them."""

    account: str
    token: int


@dataclass(slots=True)
class AllocationExpiryWatcher:
    """Times are microseconds of this process's clock."""

    terms: QuotaTerms
    held_since: dict[HeldAllocation, int] = field(default_factory=dict)
    in_doubt_since: dict[DoubtfulAllocation, int] = field(default_factory=dict)
    epoch: int = 0
    epoch_seen_at: int = 0

    def observe(self, ledger: QuotaLedger, now: int) -> None:
        """Entries were applied, or a snapshot was restored: what is new has its time from now on."""
        state = ledger.state
        if self.epoch != state.epoch:
            self.epoch = state.epoch
            self.epoch_seen_at = now
        held = [
            HeldAllocation(account, holder, allocation.token, allocation.renewals)
            for account, allocations in state.allocations.items()
            for holder, allocation in allocations.items()
        ]
        self.held_since = first_seen(held, self.held_since, now)
        in_doubt = [
            DoubtfulAllocation(account, token)
            for account, units_by_token in state.in_doubt.items()
            for token in units_by_token
        ]
        self.in_doubt_since = first_seen(in_doubt, self.in_doubt_since, now)

    def opens_at(self) -> int:
        """From when on this epoch may allocate: nothing that the previous one admitted is in service."""
        return self.epoch_seen_at + self.terms.reclaim_after_us

    def next_at(self, ledger: QuotaLedger) -> int:
        """When `expired` may have something new."""
        times = [] if ledger.state.is_open else [self.opens_at()]
        times += [since + self.terms.allocation_ttl_us for since in self.held_since.values()]
        times += [since + self.terms.reclaim_after_us for since in self.in_doubt_since.values()]
        return min(times, default=NEVER)

    def expired(self, ledger: QuotaLedger, now: int) -> list[Operation]:
        """What the leader is to propose."""
        found: list[Operation] = []
        if not ledger.state.is_open and now >= self.opens_at():
            found.append(OpenEpoch())
        for held, since in self.held_since.items():
            if now >= since + self.terms.allocation_ttl_us:
                found.append(Expire(*held))
        for doubtful, since in self.in_doubt_since.items():
            if now >= since + self.terms.reclaim_after_us:
                found.append(Reclaim(*doubtful))
        return found
