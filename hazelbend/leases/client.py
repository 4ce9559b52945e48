"""A client's request for a lease, from the first attempt to the end, with the holder's expiry time.

    REQUESTING --held by another client, may wait-->       WAITING
    REQUESTING, WAITING --response with a token-->         HELD, until `expires_at`
    REQUESTING, WAITING --rejected, or waited too long-->  ENDED, with a reason
    HELD       --response to a renewal-->                  HELD, with a later `expires_at`
    HELD       --expired, or response that it is lost-->   ENDED, reason `lost`
    HELD       --release-->                                RELEASING
    RELEASING  --response, or expired-->                   ENDED

Check `may_act` before each operation that the lease protects. `stop_at` returns when to stop a task that does
not stop instantly. If a response is lost, or comes from a node that is not the leader, the client retries.

Invariant: the client may act only until `holder_ttl_us` after it sent a request whose own response contained
the token that it holds (time_bounds.py).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hazelbend.leases.lease_table import LeaseLimits
from hazelbend.leases.operations import (
    Acquire,
    LeaseResponse,
    LeaveQueue,
    Operation,
    Reason,
    Release,
    Renew,
)
from hazelbend.leases.time_bounds import holder_ttl_us

RENEWALS_PER_TTL = 3
ATTEMPTS_PER_RENEWAL = 4
MAX_IN_FLIGHT = RENEWALS_PER_TTL * ATTEMPTS_PER_RENEWAL

MAX_LONG_POLL_US = 1_000_000
# The client retries after a delay when it gets one of these.
RETRYABLE_REASONS = (Reason.NOT_OPEN, Reason.BUSY, Reason.FREE, Reason.LOST)


def long_poll_us(ttl_us: int) -> int:
    """Return for how long the leader may delay the response to a waiter.

    It is much shorter than the TTL, since the waiter counts its TTL from when it sent the request.
    """
    return min(ttl_us // 4, MAX_LONG_POLL_US)


class Stage(Enum):
    """State of a request for a lease. The transitions are in the module's docstring."""

    REQUESTING = "requesting"
    WAITING = "waiting"
    HELD = "held"
    RELEASING = "releasing"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """An operation for the leader. The driver passes the response to `handle_response` with this number."""

    number: int
    operation: Operation


class LeaseClient:
    """One request for one lease. Times are microseconds of the monotonic clock of the holder's process."""

    def __init__(self, request: Acquire, limits: LeaseLimits, now: int) -> None:
        """The combination of holder and request id in `request` must never be reused."""
        self.request = request
        self.holder_ttl_us = holder_ttl_us(request.ttl_us, limits.max_clock_drift)
        self.retry_delay_us = request.ttl_us // (RENEWALS_PER_TTL * ATTEMPTS_PER_RENEWAL)
        self.stage = Stage.REQUESTING
        self.reason = ""
        self.token = 0
        self.expires_at = 0
        self.started_at = now
        self.next_at = now  # when to call `tick` next
        self.in_flight: dict[int, int] = {}  # send times by request number
        self.last_number = 0

    def may_act(self, now: int) -> bool:
        """Whether this client holds the lease at this time, and so no other client can hold it."""
        return self.stage is Stage.HELD and now < self.expires_at

    def stop_at(self, stopping_us: int) -> int:
        """Return when to begin to stop a task that takes `stopping_us` to stop."""
        return self.expires_at - stopping_us

    def release(self, now: int) -> None:
        """Release the lease or cancel the request for it. From now on `may_act` returns False."""
        if self.stage is Stage.HELD:
            self.stage = Stage.RELEASING
            self.next_at = now
        elif self.stage in (Stage.REQUESTING, Stage.WAITING):
            self._end(Reason.CANCELLED)

    def tick(self, now: int) -> list[LeaseRequest]:
        """Return the requests to send now."""
        if self.stage in (Stage.HELD, Stage.RELEASING) and now >= self.expires_at:
            self._end(Reason.LOST if self.stage is Stage.HELD else Reason.NONE)
        elif self._waited_too_long(now):
            self._end(Reason.HELD if self.stage is Stage.WAITING else Reason.NO_ANSWER)
            return [self._send(LeaveQueue(self.request.name, self.request.holder), now)]
        if self.stage is Stage.ENDED or now < self.next_at:
            return []
        self.next_at = now + self.retry_delay_us
        if self.stage is Stage.WAITING:
            self.next_at += long_poll_us(self.request.ttl_us)
        return [self._send(self._next_operation(), now)]

    def handle_response(self, number: int, response: LeaseResponse | None, now: int) -> None:
        """Handle the response to a request. None means that no leader answered."""
        sent_at = self.in_flight.pop(number, None)
        if sent_at is None or response is None or self.stage is Stage.ENDED:
            return
        if self.stage is Stage.RELEASING:
            if not response.token:
                self._end(Reason.NONE)
        elif response.token and self.token in (0, response.token):
            self._granted(response.token, sent_at)
        elif self.stage is Stage.HELD:
            # A response to a request from before the grant does not refer to the current token.
            if response.reason in (Reason.LOST, Reason.FREE):
                self._end(Reason.LOST)
        elif response.queue_position:
            self.stage = Stage.WAITING
            self.next_at = max(now, sent_at + self.retry_delay_us)
        elif response.reason not in RETRYABLE_REASONS:
            self._end(response.reason)

    def _waited_too_long(self, now: int) -> bool:
        if self.stage not in (Stage.REQUESTING, Stage.WAITING):
            return False
        return now > self.started_at + max(self.request.wait_us, self.request.ttl_us)

    def _next_operation(self) -> Operation:
        if self.stage is Stage.HELD:
            return Renew(self.request.name, self.token)
        if self.stage is Stage.RELEASING:
            return Release(self.request.name, self.token)
        return self.request

    def _granted(self, token: int, sent_at: int) -> None:
        """Record a grant or a renewal by the response to a request that was sent at `sent_at`."""
        self.stage = Stage.HELD
        self.token = token
        expires_at = sent_at + self.holder_ttl_us
        if expires_at > self.expires_at:
            self.expires_at = expires_at
            self.next_at = sent_at + self.request.ttl_us // RENEWALS_PER_TTL

    def _send(self, operation: Operation, now: int) -> LeaseRequest:
        self.last_number += 1
        self.in_flight[self.last_number] = now
        while len(self.in_flight) > MAX_IN_FLIGHT:
            oldest = next(iter(self.in_flight))
            del self.in_flight[oldest]
        return LeaseRequest(self.last_number, operation)

    def _end(self, reason: str) -> None:
        self.stage = Stage.ENDED
        self.reason = reason
        self.in_flight = {}
