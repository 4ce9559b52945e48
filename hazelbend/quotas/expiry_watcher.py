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
from hazelbend.quotas.timing import QuotaParameters


class AllocationRenewal(NamedTuple):
    """An allocation as of one renewal, as `Expire` names it."""

    account: str
    holder: str
    token: int
    renewals: int


class UnitsInDoubt(NamedTuple):
    """Units in doubt, as `Reclaim` names them."""

    account: str
    token: int


@dataclass(slots=True)
class AllocationExpiryWatcher:
    """Times are microseconds of this process's clock."""

    parameters: QuotaParameters
    renewed_at: dict[AllocationRenewal, int] = field(default_factory=dict)
    in_doubt_since: dict[UnitsInDoubt, int] = field(default_factory=dict)
    epoch: int = 0
    epoch_seen_at: int = 0

    def observe(self, ledger: QuotaLedger, now: int) -> None:
        """Entries were applied, or a snapshot was restored: what is new has its time from now on."""
        state = ledger.state
        if self.epoch != state.epoch:
            self.epoch = state.epoch
            self.epoch_seen_at = now
        held = [
            AllocationRenewal(account, holder, allocation.token, allocation.renewals)
            for account, allocations in state.allocations.items()
            for holder, allocation in allocations.items()
        ]
        self.renewed_at = first_seen(held, self.renewed_at, now)
        in_doubt = [
            UnitsInDoubt(account, token)
            for account, units_by_token in state.in_doubt.items()
            for token in units_by_token
        ]
        self.in_doubt_since = first_seen(in_doubt, self.in_doubt_since, now)

    def opens_at(self) -> int:
        """From when on this epoch may allocate: nothing that the previous one admitted is in service."""
        return self.epoch_seen_at + self.parameters.reclaim_after_us

    def next_at(self, ledger: QuotaLedger) -> int:
        """When `expired` may have something new."""
        times = [] if ledger.state.is_open else [self.opens_at()]
        times += [since + self.parameters.allocation_ttl_us for since in self.renewed_at.values()]
        times += [since + self.parameters.reclaim_after_us for since in self.in_doubt_since.values()]
        return min(times, default=NEVER)

    def expired(self, ledger: QuotaLedger, now: int) -> list[Operation]:
        """What the leader is to propose."""
        found: list[Operation] = []
        if not ledger.state.is_open and now >= self.opens_at():
            found.append(OpenEpoch())
        for held, since in self.renewed_at.items():
            if now >= since + self.parameters.allocation_ttl_us:
                found.append(Expire(*held))
        for doubtful, since in self.in_doubt_since.items():
            if now >= since + self.parameters.reclaim_after_us:
                found.append(Reclaim(*doubtful))
        return found
