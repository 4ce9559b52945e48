"""Detects expired allocations, and units in doubt that can be reclaimed, for the grantor.

Every process records the times at which it applied entries itself. A new leader therefore counts from after
the requests were sent, as the previous leader did. Only the leader proposes expiries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelbend.leases.time_bounds import NEVER, first_seen
from hazelbend.quotas.ledger import QuotaLedger
from hazelbend.quotas.operations import Expire, OpenEpoch, Operation, Reclaim
from hazelbend.quotas.timing import QuotaParameters


class AllocationRenewal(NamedTuple):
    """One renewal (or the grant) of an allocation, as `Expire` refers to it."""

    account: str
    holder: str
    token: int
    renewals: int


class UnitsInDoubt(NamedTuple):
    """The units in doubt of one token, as `Reclaim` refers to them."""

    account: str
    token: int


@dataclass(slots=True)
class AllocationExpiryWatcher:
    """Records when this process first saw each renewal and unit in doubt, in microseconds of its clock."""

    parameters: QuotaParameters
    renewed_at: dict[AllocationRenewal, int] = field(default_factory=dict)
    in_doubt_since: dict[UnitsInDoubt, int] = field(default_factory=dict)
    epoch: int = 0
    epoch_seen_at: int = 0

    def observe(self, ledger: QuotaLedger, now: int) -> None:
        """Record new renewals and units in doubt, after entries were applied or a snapshot was restored."""
        state = ledger.state
        if self.epoch != state.epoch:
            self.epoch = state.epoch
            self.epoch_seen_at = now
        renewals = [
            AllocationRenewal(account, holder, allocation.token, allocation.renewals)
            for account, allocations in state.allocations.items()
            for holder, allocation in allocations.items()
        ]
        self.renewed_at = first_seen(renewals, self.renewed_at, now)
        in_doubt = [
            UnitsInDoubt(account, token)
            for account, units_by_token in state.in_doubt.items()
            for token in units_by_token
        ]
        self.in_doubt_since = first_seen(in_doubt, self.in_doubt_since, now)

    def opens_at(self) -> int:
        """Return when this epoch may allocate: no job admitted in the previous one still runs then."""
        return self.epoch_seen_at + self.parameters.reclaim_after_us

    def next_at(self, ledger: QuotaLedger) -> int:
        """Return when `expired` may find something new."""
        times = [] if ledger.state.is_open else [self.opens_at()]
        times += [at + self.parameters.allocation_ttl_us for at in self.renewed_at.values()]
        times += [since + self.parameters.reclaim_after_us for since in self.in_doubt_since.values()]
        return min(times, default=NEVER)

    def expired(self, ledger: QuotaLedger, now: int) -> list[Operation]:
        """Return the operations that the leader proposes at this time."""
        found: list[Operation] = []
        if not ledger.state.is_open and now >= self.opens_at():
            found.append(OpenEpoch())
        for renewal, renewed_at in self.renewed_at.items():
            if now >= renewed_at + self.parameters.allocation_ttl_us:
                found.append(Expire(*renewal))
        for units, since in self.in_doubt_since.items():
            if now >= since + self.parameters.reclaim_after_us:
                found.append(Reclaim(*units))
        return found
