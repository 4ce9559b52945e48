"""Operations on leases, as entries of the replicated log, and the responses to them.

The wire format is msgpack. Its tags and field names differ from the names in the source, so the classes set
them explicitly. Times are microseconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Reason(StrEnum):
    """Why a response contains no grant, or how a request for a lease ended. The values are on the wire."""

    NONE = ""
    FREE = "free"  # the lease has no holder
    HELD = "held"  # by another holder, and the request does not wait
    LOST = "lost"  # the token is not that of the current holder
    RELEASED = "released"
    RENEWED = "renewed"  # since the renewal that an expiry refers to
    LEFT_QUEUE = "left"
    POLLED_AGAIN = "it asked again"  # since the poll that an expiry of a waiter refers to
    NOT_WAITING = "it does not wait"
    DUPLICATE_HOLDER = "another wish of the same holder"
    INVALID_NAME = "name"
    INVALID_TTL = "ttl"
    TOO_MANY_LEASES = "too many leases"
    TOO_MANY_WAITERS = "too many wait"
    NO_TOKENS = "the epoch has no tokens left"
    NOT_OPEN = "not open yet"  # leases of the previous epoch may still be held
    BUSY = "busy"  # over the rate limit
    CANCELLED = "given up"
    NO_ANSWER = "no answer"


class Acquire(
    msgspec.Struct, frozen=True, tag=True, rename={"request_id": "ask", "ttl_us": "ttl", "wait_us": "wait"}
):
    """Grant the lease, or add the request to its queue.

    The request is idempotent: `holder` and `request_id` together identify it. It may wait in the queue for
    `wait_us`; with 0 it does not wait.
    """

    name: str
    holder: str
    request_id: int
    ttl_us: int
    wait_us: int = 0


class Renew(msgspec.Struct, frozen=True, tag=True):
    """Restart the TTL of the lease with this token."""

    name: str
    token: int


class Release(msgspec.Struct, frozen=True, tag=True):
    """Release the lease with this token; it is granted to the first waiter."""

    name: str
    token: int


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Release the lease, and grant it to this waiter whatever its position in the queue."""

    name: str
    token: int
    to: str


class ForceRelease(msgspec.Struct, frozen=True, tag=True):
    """Release a lease without its token, for an operator.

    The old holder may still act until its lease expires; the next holder's token is higher.
    """

    name: str


class LeaveQueue(msgspec.Struct, frozen=True, tag=True):
    """Remove this holder from the lease's queue."""

    name: str
    holder: str


class Expire(msgspec.Struct, frozen=True, tag=True):
    """Release an expired lease. Proposed by the grantor.

    `renewals` is the count when its TTL was last restarted: after one more renewal this has no effect.
    """

    name: str
    token: int
    renewals: int


class OpenEpoch(msgspec.Struct, frozen=True, tag="Open"):
    """Allow grants in this epoch: all leases of the previous one have expired. Proposed by the grantor."""


class ExpireWaiter(
    msgspec.Struct, frozen=True, tag="ExpireWait", rename={"request_id": "ask", "polls": "looks"}
):
    """Remove a waiter that stopped polling. Proposed by the grantor; no effect after one more poll."""

    name: str
    holder: str
    request_id: int
    polls: int


Operation = (
    Acquire | Renew | Release | HandOver | ForceRelease | LeaveQueue | Expire | ExpireWaiter | OpenEpoch
)


class LeaseResponse(msgspec.Struct, frozen=True, rename={"queue_position": "place", "reason": "why"}):
    """The state machine's response to one operation.

    `token` above 0: the requester holds the lease, and counts its TTL from when it sent the request.
    `queue_position` above 0: the requester waits at this position (from 1) of the queue. Neither: `reason`.
    """

    token: int = 0
    queue_position: int = 0
    reason: str = Reason.NONE


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Operation)


def encode(operation: Operation) -> bytes:
    """Encode an operation as the content of a log entry."""
    return _encoder.encode(operation)


def decode(content: bytes) -> Operation:
    """Decode the content of a log entry. Raises msgspec.DecodeError if it is no operation."""
    return _decoder.decode(content)
