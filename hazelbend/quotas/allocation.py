"""A dispatcher's allocation of one account: admission of jobs, renewal of the allocation and return of units.

    EMPTY  --response to Allocate, with units-->              OPEN, until `expires_at`
    OPEN   --response to a later Allocate-->                  OPEN, with a later `expires_at`
    OPEN   --expired, or response that it is lost-->          EMPTY; jobs still running count as in doubt
    OPEN   --units idle, or wanted by others: ReturnUnits-->  OPEN, with fewer units even before it is sent

`admit` decides on a job without a request to the ledger. Each admitted job has a `Permit`, which returns its
unit once. A permit of an earlier allocation returns no unit, since the ledger counts that unit as in doubt.

Time: the holder counts a shortened TTL from before it sent its request (leases/time_bounds.py). At most one
request is in flight, and requests are numbered. A response therefore refers to the current allocation, and a
request that reaches the ledger late changes nothing. A response about an allocation that has ended in the
meantime is ignored: its jobs still run, and would not be counted.

Invariant: whenever `admit` returns a permit, used <= units <= the ledger's units for this token, and now <
expires_at.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hazelbend.leases.time_bounds import NEVER, holder_ttl_us
from hazelbend.quotas.operations import Allocate, QuotaResponse, Reason, ReturnUnits
from hazelbend.quotas.timing import QuotaParameters

RENEWALS_PER_TTL = 3
REQUEST_TIMEOUTS_PER_TTL = 6  # a request counts as lost after TTL / 6
MIN_REQUEST_INTERVAL_US = 50_000  # when more units are wanted, or some are wanted back
IDLE_POLL_INTERVAL_US = 100_000  # of a holder with idle units, which polls whether others want them
KEEP_AFTER_REJECTION_US = 100_000  # after a holder has rejected a job, it returns no units for this time
ARRIVAL_WINDOW_US = 300_000  # time constant of the arrival rate
INITIAL_SERVICE_TIME_US = 500_000.0  # the mean before any job has ended
SERVICE_TIME_SAMPLES = 20.0  # a new sample has the weight 1 / 20 in the mean service time
MIN_DEMAND = 0.1  # expected jobs in service, below which no unit is wanted
UNITS_PER_SPARE_UNIT = 8  # an allocation may keep one idle unit per 8 units, and at least one
RETRYABLE_REASONS = (Reason.LATE, Reason.NOT_OPEN, Reason.BUSY)


Request = Allocate | ReturnUnits


@dataclass(slots=True, eq=False)
class Permit:
    """The right of one job to be in service, until it is returned."""

    token: int
    admitted_at: int
    returned: bool = False


class AllocationClient:
    """The holder's side of one allocation. Times are microseconds of one monotonic clock."""

    def __init__(self, account: str, holder: str, parameters: QuotaParameters, now: int) -> None:
        """`holder` identifies one run of a process, and must never be reused."""
        self.account = account
        self.holder = holder
        self.parameters = parameters
        self.holder_ttl_us = holder_ttl_us(parameters.allocation_ttl_us, parameters.max_clock_drift)
        self.token = 0
        self.units = 0
        self.used = 0
        self.expires_at = 0
        self.wanted_back = 0  # units that others want, by the last response
        self.arrivals = 0.0  # jobs, admitted or not, each with a weight that decays with its age
        self.last_arrival_at = now
        self.mean_service_time_us = INITIAL_SERVICE_TIME_US
        self.rejections = 0  # since the last request
        self.last_rejection_at = now - KEEP_AFTER_REJECTION_US
        self.in_flight: Request | None = None
        self.last_request_number = 0
        self.sent_at = now - MIN_REQUEST_INTERVAL_US  # of the last request

    # --- for each job ---

    def admit(self, now: int) -> Permit | None:
        """Admit a job if a unit is free. The caller must call `release` when the job has ended."""
        self.arrivals = self._recent_arrivals(now) + 1
        self.last_arrival_at = now
        if now < self.expires_at and self.used < self.units:
            self.used += 1
            return Permit(self.token, now)
        self.rejections += 1
        self.last_rejection_at = now
        return None

    def release(self, permit: Permit, now: int) -> None:
        """Return the unit of a job that has ended. A second call with the same permit does nothing."""
        if permit.returned:
            return
        permit.returned = True
        service_time_us = now - permit.admitted_at
        self.mean_service_time_us += (service_time_us - self.mean_service_time_us) / SERVICE_TIME_SAMPLES
        if permit.token == self.token:
            self.used -= 1

    def retry_after(self, now: int) -> int:
        """Return microseconds until a rejected job may be retried, after the ledger's next response."""
        return max(self.sent_at + MIN_REQUEST_INTERVAL_US - now, MIN_REQUEST_INTERVAL_US)

    # --- requests to the ledger ---

    @property
    def next_at(self) -> int:
        """When to call `tick` next."""
        if self.in_flight is not None:
            return self._request_deadline()
        if not self.token:
            return self.sent_at + MIN_REQUEST_INTERVAL_US if self.rejections else NEVER
        interval = self.parameters.allocation_ttl_us // RENEWALS_PER_TTL
        if self.rejections > 0 or self.wanted_back:
            interval = MIN_REQUEST_INTERVAL_US
        elif self.units > self.used:
            interval = min(interval, IDLE_POLL_INTERVAL_US)
        return min(self.expires_at, self.sent_at + interval)

    def tick(self, now: int) -> Request | None:
        """Return the request to send now, if there is one."""
        if self.token and now >= self.expires_at:
            self._drop_allocation()
        if self.in_flight is not None and now >= self._request_deadline():
            self.in_flight = None
        if self.in_flight is not None or now < self.next_at:
            return None
        self.last_request_number += 1
        self.sent_at = now
        self.in_flight = self._next_request(now)
        if self.in_flight is not None:
            self.rejections = 0
        return self.in_flight

    def handle_response(self, request_number: int, response: QuotaResponse | None, now: int) -> None:
        """Handle the response to a request. None means that no leader answered."""
        request = self.in_flight
        if request is None or request_number != request.request_number:
            return
        self.in_flight = None
        if response is None or response.reason in RETRYABLE_REASONS:
            return
        if not response.token:
            if self.token:
                self._drop_allocation()
            return
        self.wanted_back = response.wanted_back
        if isinstance(request, Allocate) and request.token == self.token:
            # Otherwise that allocation has ended: its jobs still run and would not be counted.
            self._renewed(response, now)

    def _request_deadline(self) -> int:
        return self.sent_at + self.parameters.allocation_ttl_us // REQUEST_TIMEOUTS_PER_TTL

    def _next_request(self, now: int) -> Request | None:
        number = self.last_request_number
        idle = self._returnable_units(now)
        if self.token and idle > 0:
            self.units -= idle  # even if the request is lost
            self.wanted_back = 0
            return ReturnUnits(self.account, self.holder, self.token, idle, number)
        wanted = max(self._wanted_units(now), 1 if self.rejections else 0)
        if not wanted and not self.units:
            self._drop_allocation()  # no units are held or wanted: the allocation expires in the ledger
            return None
        return Allocate(self.account, self.holder, wanted, number, self.token)

    def _renewed(self, response: QuotaResponse, now: int) -> None:
        self.token = response.token
        self.units = response.units
        self.expires_at = max(self.expires_at, self.sent_at + self.holder_ttl_us)
        if now >= self.expires_at:
            self._drop_allocation()

    def _drop_allocation(self) -> None:
        self.token = 0
        self.units = 0
        self.used = 0
        self.expires_at = 0
        self.wanted_back = 0

    # --- demand ---

    def _recent_arrivals(self, now: int) -> float:
        age = min(self.last_arrival_at - now, 0)
        return self.arrivals * math.exp(age / ARRIVAL_WINDOW_US)

    def _wanted_units(self, now: int) -> int:
        """Return the units for the jobs that arrive, with a margin for random variation.

        The mean number of jobs in service is the number that arrive in one service time (Little's law); the
        margin is the square root of it (square-root staffing).
        """
        demand = self._recent_arrivals(now) / ARRIVAL_WINDOW_US * self.mean_service_time_us
        wanted = math.ceil(demand + math.sqrt(demand)) if demand > MIN_DEMAND else 0
        return max(wanted, self.used)

    def _returnable_units(self, now: int) -> int:
        """Return the number of units to return now."""
        if self.wanted_back and now > self.last_rejection_at + KEEP_AFTER_REJECTION_US:
            margin = int(math.sqrt(self.used) / 2)
            return max(min(self.wanted_back, self.units - self.used - margin), 0)
        idle = self.units - self._wanted_units(now)
        return idle if idle > max(1, self.units // UNITS_PER_SPARE_UNIT) else 0
