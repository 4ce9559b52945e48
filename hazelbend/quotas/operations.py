"""Operations on quotas, as entries of the replicated log, and the responses to them.

The wire format is msgpack. Its tags and field names differ from the names in the source, so the classes set
them explicitly.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Reason(StrEnum):
    """Why an operation changed nothing. The values are on the wire."""

    NONE = ""
    NO_ACCOUNT = "account"  # there is no account of this name, or the request is malformed
    IS_PARENT = "a parent"  # units are allocated only from its children
    LATE = "late"  # a later request of this holder was applied
    LOST = "lost"  # the token is not that of the current allocation
    RENEWED = "drawn"  # since the renewal that an expiry refers to
    RECLAIMED = "settled"  # already reclaimed
    INVALID_ACCOUNTS = "accounts"
    INVALID_LIMITS = "limits"
    INVALID_PARENTS = "parents"
    NO_TOKENS = "the epoch has no tokens left"
    NOT_OPEN = "not open yet"  # allocations of the previous epoch may still be in use
    BUSY = "busy"  # over the rate limit


class Account(msgspec.Struct, frozen=True, rename={"guaranteed": "sure"}):
    """A tenant, or a class of a tenant (`parent`), with its quota in whole units.

    `limit` is the maximum that may be allocated to it; `guaranteed` units are reserved for it.
    """

    name: str
    limit: int
    guaranteed: int = 0
    parent: str = ""


class Allocate(msgspec.Struct, frozen=True, tag="Draw", rename={"request_number": "number"}):
    """Allocate units to a holder, up to `units` in total, and restart the allocation's TTL.

    `token` is that of the allocation that the holder believes it has, or 0. A holder numbers its requests in
    increasing order; a request is not applied after one with a higher number.
    """

    account: str
    holder: str
    units: int
    request_number: int
    token: int = 0


class ReturnUnits(msgspec.Struct, frozen=True, tag="Give", rename={"request_number": "number"}):
    """Return units of the allocation with this token."""

    account: str
    holder: str
    token: int
    units: int
    request_number: int


class Expire(msgspec.Struct, frozen=True, tag=True, rename={"renewals": "draws"}):
    """Put an expired allocation in doubt. Proposed by the grantor.

    `renewals` is the count when its TTL was last restarted: after one more renewal this has no effect.
    """

    account: str
    holder: str
    token: int
    renewals: int


class Reclaim(msgspec.Struct, frozen=True, tag="Settle"):
    """Free the units in doubt of this token, whose jobs can no longer run. Proposed by the grantor."""

    account: str
    token: int


class SetAccounts(msgspec.Struct, frozen=True, tag=True):
    """Replace the accounts. A removed account stays, with a limit of 0, until all its units are returned."""

    accounts: tuple[Account, ...]


class OpenEpoch(msgspec.Struct, frozen=True, tag="Open"):
    """Allow allocations in this epoch: jobs of the previous one no longer run. Proposed by the grantor."""


Operation = Allocate | ReturnUnits | Expire | Reclaim | SetAccounts | OpenEpoch


class QuotaResponse(msgspec.Struct, frozen=True, rename={"wanted_back": "wanted", "reason": "why"}):
    """The state machine's response to one operation.

    `units` is the new number of units of the allocation with this token. `wanted_back` is the number of units
    that others in the account's tree lack: the holder should return as many of its unused ones. `reason`: why
    nothing changed.
    """

    token: int = 0
    units: int = 0
    wanted_back: int = 0
    reason: str = Reason.NONE


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Operation)


def encode(operation: Operation) -> bytes:
    """Encode an operation as the content of a log entry."""
    return _encoder.encode(operation)


def decode(content: bytes) -> Operation:
    """Decode the content of a log entry. Raises msgspec.DecodeError if it is no operation."""
    return _decoder.decode(content)
