"""Replicated state machine of the leases. Committed log entries change it, and nothing else.

State of a lease (`Lease`), by operations in log order:

    free     --Acquire-->                            held, with a new token
    held     --Acquire by another, with a wait-->    held; the other is last in the queue
    held     --Acquire again, or Renew, by its holder-->  held, one more `renewals`: its time starts anew
    held     --Release, HandOver, ForceRelease-->    held by the named waiter, else by the first, else free
    held     --Expire of this token and these renewals-->  as Release; any other Expire is void
    waiting  --LeaveQueue, ExpireWaiter-->           no longer in the queue

Time is no part of the state machine, so all processes that apply the same entries hold the same leases. It
enters at two sides: the holder ends its lease by its own clock (client.py), and the grantor, which is
whoever leads, proposes `Expire` (expiry_watcher.py). time_bounds.py says why the holder's time ends first.

A waiter that was granted the lease learns of it by the response to a request that it sent before (the leader
holds that back until then, lease_node.py), or by its next one, which counts as a renewal.

An epoch begins without leases. It grants none until the longest time to live has passed since it was founded:
nobody renews what the previous epoch granted, so all that is over by then.

Invariants, checked by the tests after every step: tokens grow with every grant; a lease has one holder; a
holder does not wait for what it holds; nobody waits for a free lease; counts and sizes stay in their limits.
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

MAX_NAME_LENGTH = 200  # characters of a lease's name
MAX_HOLDER_LENGTH = 200  # characters of a holder's identity


@dataclass(slots=True, frozen=True)
class LeaseLimits:
    """Bounds on leases. All members of a fleet have the same."""

    max_leases: int = 1_000
    max_waiters: int = 200  # for one lease
    min_ttl_us: int = 1_000_000
    max_ttl_us: int = 30_000_000
    max_clock_drift: float = 0.05  # most by which a clock's rate differs from true time's


class Waiter(msgspec.Struct, rename={"request_id": "ask", "ttl_us": "ttl", "polls": "looks"}):
    """A request in the queue for a lease. Each poll starts the grantor's time for it anew."""

    holder: str
    request_id: int
    ttl_us: int
    polls: int = 1


class Lease(msgspec.Struct, rename={"request_id": "ask", "ttl_us": "ttl"}):
    """A lease that is held, and the queue for it."""

    holder: str
    request_id: int
    ttl_us: int
    token: int
    renewals: int = 0
    waiters: list[Waiter] = []

    def was_granted_to(self, request: Acquire) -> bool:
        """Whether this request was granted the lease."""
        return (self.holder, self.request_id) == (request.holder, request.request_id)


class TableState(msgspec.Struct, rename={"is_open": "open", "grants": "granted"}):
    """The replicated state, as a snapshot holds it."""

    epoch: int = 0
    is_open: bool = False
    grants: int = 0
    leases: dict[str, Lease] = {}


_state_decoder = msgspec.msgpack.Decoder(TableState)
_encoder = msgspec.msgpack.Encoder()


class LeaseTable:
    """The state machine of the replicated log. An operation that is not possible gets a reason."""

    def __init__(self, limits: LeaseLimits) -> None:
        self.limits = limits
        self.state = TableState()

    def begin(self, epoch: int) -> None:
        """Start an epoch without leases."""
        self.state = TableState(epoch)

    def snapshot(self) -> bytes:
        """The complete state, in msgpack."""
        return _encoder.encode(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's. Raises msgspec.DecodeError on anything else."""
        self.state = _state_decoder.decode(state)

    def apply(self, index: int, op: bytes) -> LeaseResponse:
        """Apply one committed entry."""
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
        """An operation on a lease that is held."""
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
        reason = self._invalid(request)
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

    def _invalid(self, request: Acquire) -> Reason:
        """Why no request like this is granted now; `NONE` if it may be."""
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
        waits_already = any(waiter.holder == request.holder for waiter in lease.waiters)
        if lease.holder == request.holder or waits_already:
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
            polled = (waiter.request_id, waiter.polls)
            if polled != (operation.request_id, operation.polls):
                return LeaseResponse(reason=Reason.POLLED_AGAIN)
        lease.waiters.remove(waiter)
        return LeaseResponse(reason=Reason.LEFT_QUEUE)

    def _release(self, name: str, lease: Lease, to: str = "") -> LeaseResponse:
        """Grant the lease to the waiter `to`, else to the first; without waiters it is free."""
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
