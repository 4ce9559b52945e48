"""Invariants of quotas, for tests and simulations.

limit        an account or parent has no more units allocated than its limit, unless the limit was lowered
lowered      an account or parent above its lowered limit never gets more units
tokens       each token occurs once, and was granted in this epoch
accounts     only existing accounts have allocations
empty        there is no empty allocation, and no entry of units in doubt without units
client       a holder uses no more units than it has, and counts its TTL from before its request
"""

from __future__ import annotations

from collections.abc import Mapping

from hazelbend.leases.fencing import fencing_token
from hazelbend.quotas.allocation import AllocationClient
from hazelbend.quotas.ledger import LedgerState, QuotaLedger


class BrokenInvariantError(AssertionError):
    """An invariant is violated; the message names it."""


def check_ledger(ledger: QuotaLedger, before: Mapping[str, int] | None = None) -> dict[str, int]:
    """Return the allocated units by account. Raises BrokenInvariantError.

    `before` is the result after the previous step, for accounts whose limit was lowered.
    """
    allocated = _check_limits(ledger, before or {})
    _check_tokens(ledger.state)
    _check_allocations(ledger.state)
    _check_in_doubt(ledger.state)
    return allocated


def _check_limits(ledger: QuotaLedger, before: Mapping[str, int]) -> dict[str, int]:
    accounts = ledger.state.accounts
    allocated = {name: ledger.allocated(name) for name in accounts}
    for name, account in accounts.items():
        children = [child for child in accounts.values() if child.parent == name]
        if children:
            allocated[name] = sum(allocated[child.name] for child in children)
        bound = max(account.limit, before.get(name, 0))
        if allocated[name] > bound:
            raise BrokenInvariantError(f"limit: {name} has {allocated[name]} units, the limit is {bound}")
    return allocated


def _check_tokens(state: LedgerState) -> None:
    tokens = [
        allocation.token for allocations in state.allocations.values() for allocation in allocations.values()
    ]
    tokens += [token for units_by_token in state.in_doubt.values() for token in units_by_token]
    if len(set(tokens)) < len(tokens):
        raise BrokenInvariantError("tokens: a token occurs twice")
    if tokens and max(tokens) > fencing_token(state.epoch, state.grants):
        raise BrokenInvariantError("tokens: a token was never granted")


def _check_allocations(state: LedgerState) -> None:
    for account, allocations in state.allocations.items():
        if account not in state.accounts:
            raise BrokenInvariantError(f"accounts: {account} does not exist, but has allocations")
        if not allocations:
            raise BrokenInvariantError(f"empty: {account} has an empty table of allocations")
        for allocation in allocations.values():
            if allocation.units < 0 or allocation.is_empty:
                raise BrokenInvariantError(f"empty: {account} has an empty allocation")


def _check_in_doubt(state: LedgerState) -> None:
    for account, units_by_token in state.in_doubt.items():
        if not units_by_token or any(units <= 0 for units in units_by_token.values()):
            raise BrokenInvariantError(f"empty: {account} has an entry of units in doubt without units")


def check_client(client: AllocationClient, now: int) -> None:
    """Check the client's invariants. Raises BrokenInvariantError."""
    bound = max(client.units, client.used if now >= client.expires_at else 0)
    if not 0 <= client.used <= bound:
        raise BrokenInvariantError(
            f"client: {client.account} of {client.holder} uses {client.used} of {client.units} units"
        )
    if client.expires_at > client.sent_at + client.holder_ttl_us:
        raise BrokenInvariantError(
            f"client: {client.account} of {client.holder} counts its TTL from after its request"
        )
