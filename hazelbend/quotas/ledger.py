"""Replicated state machine of quotas. Only committed log entries change it.

A **unit** is the right to have one job in service. A dispatcher admits jobs from its **allocation**: units
that the ledger has assigned to it for a TTL, so that no job has to wait for a request to the ledger. State
transitions of an allocation:

    none      --Allocate-->                              held, with a number of units and a new token
    held      --Allocate by its holder-->                held, with as many units or more; the TTL restarts
    held      --ReturnUnits of this token-->             held, with fewer units; none if no unit remains
    held      --Expire of this token and `renewals`-->   in doubt: its units still count but cannot be used
    in doubt  --Reclaim-->                               none; its units are available again

**The failure of a dispatcher frees no units.** Jobs that it admitted may still run at a server. The units of
an expired allocation therefore stay in doubt until the longest time that such a job may still run has passed
(expiry_watcher.py). A holder that is still alive stops before that (allocation.py): it admits nothing from an
allocation that may have expired in the ledger, and the jobs of an expired allocation that still run count
against its units in doubt, not against the holder's next allocation.

The number of units that an account may still get is the lower one of

    account's limit - units allocated to the account
    parent's limit  - units allocated to all its accounts - units reserved for its other accounts

The units reserved for an account are its idle guaranteed units, except those that may be lent: the share
`lendable_share` of them, as long as the account has no shortfall.

An account gets its guaranteed units at once, unless they are lent. Lent units are returned: an account that
has more units than its guarantee, while another one wants and lacks units of its guarantee, is requested to
return those that it does not use (`QuotaResponse.wanted_back`), and gets no more. Allocated units are never
revoked: if a limit is lowered below the units allocated, no more are allocated until they fit.

The invariants are in invariants.py.
"""

from __future__ import annotations

import msgspec

from hazelbend.leases.fencing import MAX_GRANTS, fencing_token
from hazelbend.quotas.operations import (
    Account,
    Allocate,
    Expire,
    OpenEpoch,
    Operation,
    QuotaResponse,
    Reason,
    Reclaim,
    ReturnUnits,
    SetAccounts,
    decode,
)
from hazelbend.quotas.timing import QuotaParameters

MAX_HOLDER_LENGTH = 200  # characters


class Allocation(
    msgspec.Struct, rename={"request_number": "number", "renewals": "draws", "shortfall": "lacks"}
):
    """Units of one account that are allocated to one holder.

    `request_number` is that of the holder's last request; `shortfall` is the number of units that this
    request asked for and did not get.
    """

    token: int
    units: int
    request_number: int = 0
    renewals: int = 0
    shortfall: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no units are allocated and none are wanted."""
        return self.units == 0 and self.shortfall == 0


class LedgerState(
    msgspec.Struct,
    rename={"is_open": "open", "grants": "granted", "allocations": "held", "in_doubt": "doubt"},
):
    """The replicated state, in the form that snapshots contain."""

    epoch: int = 0
    is_open: bool = False
    grants: int = 0
    accounts: dict[str, Account] = {}
    allocations: dict[str, dict[str, Allocation]] = {}  # by account, then by holder
    in_doubt: dict[str, dict[int, int]] = {}  # units by account, then by token


_state_decoder = msgspec.msgpack.Decoder(LedgerState)
_encoder = msgspec.msgpack.Encoder()


class QuotaLedger:
    """The state machine of the replicated log. An operation that is rejected gets a reason."""

    def __init__(self, parameters: QuotaParameters) -> None:
        self.parameters = parameters
        self.state = LedgerState()

    def begin(self, epoch: int) -> None:
        """Start a new epoch, without accounts and allocations."""
        self.state = LedgerState(epoch)

    def snapshot(self) -> bytes:
        """Return the complete state, encoded as msgpack."""
        return _encoder.encode(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot. Raises msgspec.DecodeError if it cannot be decoded."""
        self.state = _state_decoder.decode(state)

    def apply(self, index: int, op: bytes) -> QuotaResponse:
        """Apply one committed entry and return the response to it."""
        return self.execute(decode(op))

    def execute(self, operation: Operation) -> QuotaResponse:
        """Execute one operation and return the response to it."""
        match operation:
            case OpenEpoch():
                self.state.is_open = True
                return QuotaResponse()
            case SetAccounts():
                return self._set_accounts(operation.accounts)
            case Allocate():
                return self._allocate(operation)
            case ReturnUnits():
                return self._return_units(operation)
            case Expire():
                return self._expire(operation)
            case Reclaim():
                return self._reclaim(operation)

    # --- units ---

    def allocated(self, account: str) -> int:
        """Return the units of this account that are allocated or in doubt."""
        held = sum(allocation.units for allocation in self.state.allocations.get(account, {}).values())
        return held + sum(self.state.in_doubt.get(account, {}).values())

    def available(self, account: Account) -> int:
        """Return the units that this account may still get, at least 0."""
        available = account.limit - self.allocated(account.name)
        parent = self.state.accounts.get(account.parent)
        if parent is not None:
            available = min(available, parent.limit - self._unavailable_to(account))
        return max(available, 0)

    def _unavailable_to(self, account: Account) -> int:
        """Return the parent's units that are allocated, or reserved as guarantees of the other accounts."""
        unavailable = 0
        for sibling in self._children(account.parent):
            allocated = self.allocated(sibling.name)
            unavailable += allocated
            if sibling.name != account.name:
                idle = max(sibling.guaranteed - allocated, 0)
                lendable = int(idle * self.parameters.lendable_share) if self.shortfall(sibling) == 0 else 0
                unavailable += idle - lendable
        return unavailable

    def shortfall(self, account: Account) -> int:
        """Return the units of its guarantee that this account wants and does not have."""
        allocations = self.state.allocations.get(account.name, {}).values()
        wanted = sum(allocation.shortfall for allocation in allocations)
        return max(min(wanted, account.guaranteed - self.allocated(account.name)), 0)

    def wanted_back(self, account: Account, holder: str) -> int:
        """Return the units that this holder should return if it does not use them.

        That is the sum of the shortfalls of the account's other holders, the excess over a limit that was
        lowered, and, if the account has more than its guarantee, the units that the parent's other accounts
        want and lack of theirs.
        """
        allocations = self.state.allocations.get(account.name, {})
        wanted = sum(allocation.shortfall for name, allocation in allocations.items() if name != holder)
        wanted += max(self.allocated(account.name) - account.limit, 0)
        if account.parent and self.allocated(account.name) > account.guaranteed:
            siblings = self._children(account.parent)
            wanted += sum(self.shortfall(sibling) for sibling in siblings if sibling.name != account.name)
        return wanted

    def _children(self, parent: str) -> list[Account]:
        return [account for account in self.state.accounts.values() if account.parent == parent]

    # --- operations ---

    def _set_accounts(self, accounts: tuple[Account, ...]) -> QuotaResponse:
        reason = _invalid_accounts(accounts)
        if reason:
            return QuotaResponse(reason=reason)
        names = {account.name for account in accounts}
        removed = [account for name, account in self.state.accounts.items() if name not in names]
        self.state.accounts = {account.name: account for account in accounts}
        for account in removed:
            if self.allocated(account.name):
                closed = msgspec.structs.replace(account, limit=0, guaranteed=0)
                self.state.accounts[account.name] = closed
        return QuotaResponse()

    def _allocate(self, request: Allocate) -> QuotaResponse:
        account = self.state.accounts.get(request.account)
        reason = self._rejection(request, account)
        if account is None or reason:
            return QuotaResponse(reason=reason)
        allocation = self.state.allocations.get(account.name, {}).get(request.holder)
        if allocation is not None and request.request_number <= allocation.request_number:
            return _repeated(request, allocation)
        if allocation is not None and allocation.token != request.token:
            # The holder lost its state, or never got the response. Jobs that it admitted may still run.
            self._put_in_doubt(account.name, request.holder)
            allocation = None
        if allocation is None:
            if request.token:
                self._remove_empty(account.name)
                return QuotaResponse(reason=Reason.LOST)
            if self.state.grants >= MAX_GRANTS:
                self._remove_empty(account.name)
                return QuotaResponse(reason=Reason.NO_TOKENS)
            allocation = self._grant(account.name, request.holder)
        return self._extend(allocation, account, request)

    def _rejection(self, request: Allocate, account: Account | None) -> Reason:
        """Return why this request is rejected whatever is allocated; `NONE` if it is not."""
        if not self.state.is_open:
            return Reason.NOT_OPEN
        if account is None or not 0 < len(request.holder) <= MAX_HOLDER_LENGTH or request.units < 0:
            return Reason.NO_ACCOUNT
        return Reason.IS_PARENT if self._children(account.name) else Reason.NONE

    def _grant(self, account: str, holder: str) -> Allocation:
        self.state.grants += 1
        allocation = Allocation(fencing_token(self.state.epoch, self.state.grants), 0)
        self.state.allocations.setdefault(account, {})[holder] = allocation
        return allocation

    def _extend(self, allocation: Allocation, account: Account, request: Allocate) -> QuotaResponse:
        more = min(request.units - allocation.units, self.available(account))
        allocation.units += max(more, 0)
        allocation.renewals += 1
        allocation.request_number = request.request_number
        allocation.shortfall = max(request.units - allocation.units, 0)
        wanted_back = self.wanted_back(account, request.holder)
        if allocation.is_empty:
            del self.state.allocations[account.name][request.holder]
        self._remove_empty(account.name)
        return QuotaResponse(allocation.token, allocation.units, wanted_back)

    def _return_units(self, request: ReturnUnits) -> QuotaResponse:
        allocation = self.state.allocations.get(request.account, {}).get(request.holder)
        if allocation is None or allocation.token != request.token:
            return QuotaResponse(reason=Reason.LOST)
        if request.request_number <= allocation.request_number:
            return QuotaResponse(reason=Reason.LATE)
        allocation.request_number = request.request_number
        allocation.units -= min(max(request.units, 0), allocation.units)
        if allocation.is_empty:
            del self.state.allocations[request.account][request.holder]
            self._remove_empty(request.account)
        account = self.state.accounts.get(request.account)
        wanted_back = 0 if account is None else self.wanted_back(account, request.holder)
        return QuotaResponse(request.token, allocation.units, wanted_back)

    def _expire(self, expiry: Expire) -> QuotaResponse:
        allocation = self.state.allocations.get(expiry.account, {}).get(expiry.holder)
        if allocation is None or allocation.token != expiry.token:
            return QuotaResponse(reason=Reason.LOST)
        if allocation.renewals != expiry.renewals:
            return QuotaResponse(reason=Reason.RENEWED)
        self._put_in_doubt(expiry.account, expiry.holder)
        self._remove_empty(expiry.account)
        return QuotaResponse()

    def _reclaim(self, reclaim: Reclaim) -> QuotaResponse:
        units = self.state.in_doubt.get(reclaim.account, {}).pop(reclaim.token, 0)
        if units == 0:
            return QuotaResponse(reason=Reason.RECLAIMED)
        self._remove_empty(reclaim.account)
        return QuotaResponse()

    def _put_in_doubt(self, account: str, holder: str) -> None:
        allocation = self.state.allocations[account].pop(holder)
        if allocation.units:
            self.state.in_doubt.setdefault(account, {})[allocation.token] = allocation.units

    def _remove_empty(self, account_name: str) -> None:
        """Delete the account's empty tables, and the account if it was removed and has no units left."""
        state = self.state
        if not state.allocations.get(account_name, True):
            del state.allocations[account_name]
        if not state.in_doubt.get(account_name, True):
            del state.in_doubt[account_name]
        account = state.accounts.get(account_name)
        is_closed = account is not None and account.limit == 0 and account.guaranteed == 0
        if is_closed and not self.allocated(account_name) and account_name not in state.allocations:
            del state.accounts[account_name]


def _repeated(request: Allocate, allocation: Allocation) -> QuotaResponse:
    """Return the response to a request that is not newer than the last one applied."""
    is_last = request.request_number == allocation.request_number
    if is_last and request.token in (0, allocation.token):
        return QuotaResponse(allocation.token, allocation.units)
    return QuotaResponse(reason=Reason.LATE)


def _invalid_accounts(accounts: tuple[Account, ...]) -> Reason:
    """Return why these accounts are invalid; `NONE` if they are valid."""
    by_name = {account.name: account for account in accounts}
    parents = {account.parent for account in accounts if account.parent}
    if len(by_name) < len(accounts) or not parents <= by_name.keys() or "" in by_name:
        return Reason.INVALID_ACCOUNTS
    if any(account.limit < 0 or not 0 <= account.guaranteed <= account.limit for account in accounts):
        return Reason.INVALID_LIMITS
    for name in parents:
        parent = by_name[name]
        guaranteed = sum(account.guaranteed for account in accounts if account.parent == name)
        if parent.parent or guaranteed > parent.limit:
            return Reason.INVALID_PARENTS
    return Reason.NONE
