"""Operations on quotas, as entries of the replicated log, and the responses to them.

The wire format is msgpack. The tags and field names on it are older than the names used here, so the classes
pin them.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Reason(StrEnum):
    """Why an operation changed nothing. The values are on the wire."""

    NONE = ""
    NO_ACCOUNT = "account"  # there is none of this name, or the request is malformed
    IS_PARENT = "a parent"  # units belong to its children
    LATE = "late"  # a later request of this holder was applied
    LOST = "lost"  # the token is not the one of the allocation now
    RENEWED = "drawn"  # after the renewals that an expiry counted from
    RECLAIMED = "settled"  # before
    INVALID_ACCOUNTS = "accounts"
    INVALID_LIMITS = "limits"
    INVALID_PARENTS = "parents"
    NO_TOKENS = "the epoch has no tokens left"
    NOT_OPEN = "not open yet"  # allocations of the previous epoch may still be in use
    BUSY = "busy"  # over the rate limit


class Account(msgspec.Struct, frozen=True, rename={"guaranteed": "sure"}):
    """What is limited: a tenant, or a class of one (`parent`). In whole units.

    `limit`: the most that it may have. `guaranteed`: what no other account may keep from it.
    """

    name: str
    limit: int
    guaranteed: int = 0
    parent: str = ""


class Allocate(msgspec.Struct, frozen=True, tag="Draw", rename={"request_number": "number"}):
    """Allocate units to a holder, up to `units` in all, and start the allocation's time anew.

    `token`: of the allocation that the holder believes it has, or 0. A holder numbers its requests upwards:
    one that comes late is not applied after a later one.
    """

    account: str
    holder: str
    units: int
    request_number: int
    token: int = 0


class ReturnUnits(msgspec.Struct, frozen=True, tag="Give", rename={"request_number": "number"}):
    """Give units of the allocation with this token back."""

    account: str
    holder: str
    token: int
    units: int
    request_number: int


class Expire(msgspec.Struct, frozen=True, tag=True, rename={"renewals": "draws"}):
    """Put an allocation in doubt whose time is over, by the grantor alone.

    `renewals` are those that its time was counted from: one more makes the expiry void.
    """

    account: str
    holder: str
    token: int
    renewals: int


class Reclaim(msgspec.Struct, frozen=True, tag="Settle"):
    """Free the units in doubt of this token, by the grantor alone: their jobs cannot run any more."""

    account: str
    token: int


class SetAccounts(msgspec.Struct, frozen=True, tag=True):
    """Replace the accounts. One that is gone stays, with a limit of 0, until its units are back."""

    accounts: tuple[Account, ...]


class OpenEpoch(msgspec.Struct, frozen=True, tag="Open"):
    """Begin to allocate, by the grantor alone: jobs of the previous epoch's allocations are over."""


Operation = Allocate | ReturnUnits | Expire | Reclaim | SetAccounts | OpenEpoch


class QuotaResponse(msgspec.Struct, frozen=True, rename={"wanted_back": "wanted", "reason": "why"}):
    """The state machine's response to one operation.

    `units` are those of the allocation with this token from now on. `wanted_back`: units that others in the
    account's tree lack, so that the holder returns what it does not use. `reason`: nothing was changed.
    """

    token: int = 0
    units: int = 0
    wanted_back: int = 0
    reason: str = Reason.NONE


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Operation)


def encode(operation: Operation) -> bytes:
    """The operation as a log entry's content."""
    return _encoder.encode(operation)


def decode(content: bytes) -> Operation:
    """The operation of a log entry. Raises msgspec.DecodeError on anything else."""
    return _decoder.decode(content)
