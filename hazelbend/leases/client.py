"""One client's request for a lease, from the first attempt to the end, with the holder's side of time.

    REQUESTING --held by another, and it may wait-->       WAITING
    REQUESTING, WAITING --response with a token-->         HELD, until its time is over
    REQUESTING, WAITING --rejected, or waited too long-->  ENDED, with a reason
    HELD       --response to a renewal-->                  HELD, until a later time
    HELD       --time over, or told that it is lost-->     ENDED, reason `lost`
    HELD       --release-->                                RELEASING
    RELEASING  --response, or time over-->                 ENDED

Ask `may_act` before each act under the lease. `stop_at` says when a task that takes a while to stop has to be
told to. A response that is lost, or comes from a process that does not lead, changes nothing: the client
requests again.

Invariant: it may act only until `holder_ttl_us` after a request was sent whose own response named the token
that it holds (time_bounds.py).
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
# The request for the lease goes on after these: the client repeats it after a delay.
RETRYABLE_REASONS = (Reason.NOT_OPEN, Reason.BUSY, Reason.FREE, Reason.LOST)


def long_poll_us(ttl_us: int) -> int:
    """How long the leader may hold back the response to a waiter, whose time counts from its request."""
    return min(ttl_us // 4, MAX_LONG_POLL_US)


class Stage(Enum):
    """How far a request for a lease is: see the head of the file."""

    REQUESTING = "requesting"
    WAITING = "waiting"
    HELD = "held"
    RELEASING = "releasing"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """An operation for the leader. The driver gives the response to `handle_response` under this number."""

    number: int
    operation: Operation


class LeaseClient:
    """One request for one lease. Times are microseconds of the clock of the process that acts under it."""

    def __init__(self, request: Acquire, limits: LeaseLimits, now: int) -> None:
        """`request`: its holder and request id together must never be used again."""
        self.request = request
        self.holder_ttl_us = holder_ttl_us(request.ttl_us, limits.max_clock_drift)
        self.retry_delay_us = request.ttl_us // (RENEWALS_PER_TTL * ATTEMPTS_PER_RENEWAL)
        self.stage = Stage.REQUESTING
        self.reason = ""
        self.token = 0
        self.expires_at = 0
        self.started_at = now
        self.next_at = now  # when `tick` has something to do
        self.in_flight: dict[int, int] = {}  # by number: when the request was sent
        self.last_number = 0

    def may_act(self, now: int) -> bool:
        """Whether nobody else may hold the lease at this time."""
        return self.stage is Stage.HELD and now < self.expires_at

    def stop_at(self, stopping_us: int) -> int:
        """When a task that takes so long to stop has to begin."""
        return self.expires_at - stopping_us

    def release(self, now: int) -> None:
        """The task is over, or must be. Nobody may act from here on."""
        if self.stage is Stage.HELD:
            self.stage = Stage.RELEASING
            self.next_at = now
        elif self.stage in (Stage.REQUESTING, Stage.WAITING):
            self._end(Reason.CANCELLED)

    def tick(self, now: int) -> list[LeaseRequest]:
        """Requests to send now."""
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
        """Take in the response to a request. None: no leader has answered."""
        sent_at = self.in_flight.pop(number, None)
        if sent_at is None or response is None or self.stage is Stage.ENDED:
            return
        if self.stage is Stage.RELEASING:
            if not response.token:
                self._end(Reason.NONE)
        elif response.token and self.token in (0, response.token):
            self._granted(response.token, sent_at)
        elif self.stage is Stage.HELD:
            # The response to an older request says nothing about the token that is held.
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
        """Granted or renewed by the response to a request that was sent then."""
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
