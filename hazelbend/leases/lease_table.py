"""Replicated state machine of the leases. Only committed log entries change it.

State transitions of a lease (`Lease`), by operations in log order:

    free     --Acquire-->                               held, with a new token
    held     --Acquire by another holder, that waits--> held; the request is appended to the queue
    held     --Acquire or Renew by its holder-->        held; one more in `renewals`, the TTL restarts
    held     --Release, HandOver, ForceRelease-->       held by the named waiter, else by the first, else free
    held     --Expire of this token and `renewals`-->   as Release; any other Expire has no effect
    waiting  --LeaveQueue, ExpireWaiter-->              removed from the queue

The state machine contains no clock, so all processes that apply the same entries have the same state. Time is
measured outside of it, on two sides: the holder stops using its lease by its own clock (client.py), and the
grantor, which is the current leader, proposes `Expire` (expiry_watcher.py). time_bounds.py explains why the
lease always ends for the holder first.

A waiter that is granted the lease receives the token in the response to its pending request, which the leader
delays until then (long poll, lease_node.py). Otherwise it receives the token in the response to its next
request, which counts as a renewal.

A new epoch starts without leases, and grants none until the longest TTL has passed since it was created.
Leases of the previous epoch cannot be renewed, so all of them have expired by then.

Invariants, checked by the tests after every step: tokens increase with every grant; a lease has one
holder; a holder does not wait for its own lease; a free lease has no waiters; counts and sizes stay
within their limits.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from hazelbend.leases.fencing import MAX_GRANTS, fencing_token
from hazelbend.leases.operations import (
    Acquire,
    Expire,
    ExpireWaiter,
    ForceRelease,
    HandOver,
    LeaseResponse,
    LeaveQueue,
    OpenEpoch,
    Operation,
    Reason,
    Release,
    Renew,
    decode,
)

MAX_NAME_LENGTH = 200  # characters
MAX_HOLDER_LENGTH = 200  # characters


@dataclass(slots=True, frozen=True)
class LeaseLimits:
    """Limits on leases. All members of a fleet must have the same."""

    max_leases: int = 1_000
    max_waiters: int = 200  # per lease
    min_ttl_us: int = 1_000_000
    max_ttl_us: int = 30_000_000
    max_clock_drift: float = 0.05  # greatest relative error of a clock's rate


class Waiter(msgspec.Struct, rename={"request_id": "ask", "ttl_us": "ttl", "polls": "looks"}):
    """A request in the queue for a lease. Each poll restarts the grantor's timeout for it."""

    holder: str
    request_id: int
    ttl_us: int
    polls: int = 1


class Lease(msgspec.Struct, rename={"request_id": "ask", "ttl_us": "ttl"}):
    """A held lease and its queue of waiters."""

    holder: str
    request_id: int
    ttl_us: int
    token: int
    renewals: int = 0
    waiters: list[Waiter] = []

    def was_granted_to(self, request: Acquire) -> bool:
        """Whether the lease was granted to this request."""
        return (self.holder, self.request_id) == (request.holder, request.request_id)


class TableState(msgspec.Struct, rename={"is_open": "open", "grants": "granted"}):
    """The replicated state, in the form that snapshots contain."""

    epoch: int = 0
    is_open: bool = False
    grants: int = 0
    leases: dict[str, Lease] = {}


_state_decoder = msgspec.msgpack.Decoder(TableState)
_encoder = msgspec.msgpack.Encoder()


class LeaseTable:
    """The state machine of the replicated log. An operation that is rejected gets a reason."""

    def __init__(self, limits: LeaseLimits) -> None:
        self.limits = limits
        self.state = TableState()

    def begin(self, epoch: int) -> None:
        """Start a new epoch, without leases."""
        self.state = TableState(epoch)

    def snapshot(self) -> bytes:
        """Return the complete state, encoded as msgpack."""
        return _encoder.encode(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot. Raises msgspec.DecodeError if it cannot be decoded."""
        self.state = _state_decoder.decode(state)

    def apply(self, index: int, op: bytes) -> LeaseResponse:
        """Apply one committed entry and return the response to it."""
        operation = decode(op)
        if isinstance(operation, OpenEpoch):
            self.state.is_open = True
            return LeaseResponse()
        lease = self.state.leases.get(operation.name)
        if isinstance(operation, Acquire):
            return self._acquire(operation, lease)
        if lease is None:
            return LeaseResponse(reason=Reason.FREE)
        return self._change(operation, lease)

    def _change(self, operation: Operation, lease: Lease) -> LeaseResponse:
        """Apply an operation to a held lease."""
        match operation:
            case LeaveQueue() | ExpireWaiter():
                return self._remove_waiter(operation, lease)
            case ForceRelease():
                return self._release(operation.name, lease)
            case Renew() | Release() | HandOver() | Expire():
                return self._change_by_token(operation, lease)
        raise TypeError(operation)

    def _change_by_token(self, operation: Renew | Release | HandOver | Expire, lease: Lease) -> LeaseResponse:
        if operation.token != lease.token:
            return LeaseResponse(reason=Reason.LOST)
        if isinstance(operation, Renew):
            lease.renewals += 1
            return LeaseResponse(lease.token)
        if isinstance(operation, Expire) and operation.renewals != lease.renewals:
            return LeaseResponse(reason=Reason.RENEWED)
        to = operation.to if isinstance(operation, HandOver) else ""
        return self._release(operation.name, lease, to)

    def _acquire(self, request: Acquire, lease: Lease | None) -> LeaseResponse:
        reason = self._rejection(request)
        if reason:
            return LeaseResponse(reason=reason)
        if lease is None:
            if len(self.state.leases) >= self.limits.max_leases:
                return LeaseResponse(reason=Reason.TOO_MANY_LEASES)
            lease = self._grant(request.name, request, [])
            return LeaseResponse(lease.token)
        if lease.was_granted_to(request):
            lease.renewals += 1
            return LeaseResponse(lease.token)
        return self._queue(request, lease)

    def _rejection(self, request: Acquire) -> Reason:
        """Return why this request is rejected whatever the lease's state; `NONE` if it is not."""
        if not 0 < len(request.name) <= MAX_NAME_LENGTH or not 0 < len(request.holder) <= MAX_HOLDER_LENGTH:
            return Reason.INVALID_NAME
        if not self.limits.min_ttl_us <= request.ttl_us <= self.limits.max_ttl_us:
            return Reason.INVALID_TTL
        if not self.state.is_open:
            return Reason.NOT_OPEN
        if self.state.grants >= MAX_GRANTS:
            return Reason.NO_TOKENS
        return Reason.NONE

    def _queue(self, request: Acquire, lease: Lease) -> LeaseResponse:
        for position, waiter in enumerate(lease.waiters, 1):
            if (waiter.holder, waiter.request_id) == (request.holder, request.request_id):
                waiter.polls += 1
                return LeaseResponse(queue_position=position)
        is_waiting = any(waiter.holder == request.holder for waiter in lease.waiters)
        if lease.holder == request.holder or is_waiting:
            return LeaseResponse(reason=Reason.DUPLICATE_HOLDER)
        if not request.wait_us:
            return LeaseResponse(reason=Reason.HELD)
        if len(lease.waiters) >= self.limits.max_waiters:
            return LeaseResponse(reason=Reason.TOO_MANY_WAITERS)
        lease.waiters.append(Waiter(request.holder, request.request_id, request.ttl_us))
        return LeaseResponse(queue_position=len(lease.waiters))

    @staticmethod
    def _remove_waiter(operation: LeaveQueue | ExpireWaiter, lease: Lease) -> LeaseResponse:
        waiter = next((waiter for waiter in lease.waiters if waiter.holder == operation.holder), None)
        if waiter is None:
            return LeaseResponse(reason=Reason.NOT_WAITING)
        if isinstance(operation, ExpireWaiter):
            latest_poll = (waiter.request_id, waiter.polls)
            if latest_poll != (operation.request_id, operation.polls):
                return LeaseResponse(reason=Reason.POLLED_AGAIN)
        lease.waiters.remove(waiter)
        return LeaseResponse(reason=Reason.LEFT_QUEUE)

    def _release(self, name: str, lease: Lease, to: str = "") -> LeaseResponse:
        """Grant the lease to the waiter `to` (empty: the first one). Without waiters, free the lease."""
        successor = next((waiter for waiter in lease.waiters if waiter.holder == to), None)
        if to and successor is None:
            return LeaseResponse(reason=Reason.NOT_WAITING)
        if lease.waiters and self.state.grants < MAX_GRANTS:
            successor = successor or lease.waiters[0]
            lease.waiters.remove(successor)
            self._grant(name, successor, lease.waiters)
        else:
            del self.state.leases[name]
        return LeaseResponse(reason=Reason.RELEASED)

    def _grant(self, name: str, request: Acquire | Waiter, waiters: list[Waiter]) -> Lease:
        self.state.grants += 1
        token = fencing_token(self.state.epoch, self.state.grants)
        lease = Lease(request.holder, request.request_id, request.ttl_us, token, 0, waiters)
        self.state.leases[name] = lease
        return lease
