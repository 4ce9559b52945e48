"""Operations on leases, as entries of the replicated log, and the responses to them.

The wire format is msgpack. The tags and field names on it are older than the names used here, so the classes
pin them. Times are microseconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Reason(StrEnum):
    """Why a response grants nothing, or how a request for a lease ended. The values are on the wire."""

    NONE = ""
    FREE = "free"  # nobody holds the lease
    HELD = "held"  # by another, and the request does not wait
    LOST = "lost"  # the token is not the one that holds the lease now
    RELEASED = "released"
    RENEWED = "renewed"  # after the renewals that an expiry counted from
    LEFT_QUEUE = "left"
    POLLED_AGAIN = "it asked again"  # after the polls that an expiry of a waiter counted from
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
    """Grant the lease, or queue for it.

    The request is idempotent: `holder` and `request_id` together identify it. It may wait in the queue for
    `wait_us`; 0: it does not wait.
    """

    name: str
    holder: str
    request_id: int
    ttl_us: int
    wait_us: int = 0


class Renew(msgspec.Struct, frozen=True, tag=True):
    """Start the time of the lease with this token anew."""

    name: str
    token: int


class Release(msgspec.Struct, frozen=True, tag=True):
    """Give the lease with this token to the next waiter."""

    name: str
    token: int


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Release the lease to this waiter, whatever its place in the queue."""

    name: str
    token: int
    to: str


class ForceRelease(msgspec.Struct, frozen=True, tag=True):
    """Release without a token, by an operator. The old holder may still act; the next token is higher."""

    name: str


class LeaveQueue(msgspec.Struct, frozen=True, tag=True):
    """Wait for the lease no longer."""

    name: str
    holder: str


class Expire(msgspec.Struct, frozen=True, tag=True):
    """Release a lease whose time is over, by the grantor alone.

    `renewals` are those that its time was counted from: one more makes the expiry void.
    """

    name: str
    token: int
    renewals: int


class OpenEpoch(msgspec.Struct, frozen=True, tag="Open"):
    """Begin to grant, by the grantor alone: leases of the previous epoch are over."""


class ExpireWaiter(
    msgspec.Struct, frozen=True, tag="ExpireWait", rename={"request_id": "ask", "polls": "looks"}
):
    """Remove a waiter that polls no longer, by the grantor alone. One more poll makes the expiry void."""

    name: str
    holder: str
    request_id: int
    polls: int


Operation = (
    Acquire | Renew | Release | HandOver | ForceRelease | LeaveQueue | Expire | ExpireWaiter | OpenEpoch
)


class LeaseResponse(msgspec.Struct, frozen=True, rename={"queue_position": "place", "reason": "why"}):
    """The state machine's response to one operation.

    `token` above 0: the requester holds the lease, and its time counts from before the request was sent.
    `queue_position` above 0: it waits, so many waiters up to and with itself. Neither: `reason`.
    """

    token: int = 0
    queue_position: int = 0
    reason: str = Reason.NONE


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Operation)


def encode(operation: Operation) -> bytes:
    """The operation as a log entry's content."""
    return _encoder.encode(operation)


def decode(content: bytes) -> Operation:
    """The operation of a log entry. Raises msgspec.DecodeError on anything else."""
    return _decoder.decode(content)
