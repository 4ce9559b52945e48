"""Estimates how likely a worker is to fail or reject a request, and adds that to the cost of choosing it.

Each worker has two estimates of the decision module (`hazelbend.decisions.reliability`): the probability that
an attempt fails there (an error, a reset), and the probability that the worker rejects a request although it
has capacity. Both are updated by own attempts and by outcomes that peers report, and fade with time. The cost
of a choice is its delay plus, for each of the two, the probability times the time that such an outcome costs
the request. A worker without recorded outcomes has no such cost. Some of the idempotent requests ignore these
costs, and so discover the workers that have recovered. No worker is ejected: if all workers of a service fail
equally, their costs are equal, and if the other workers are full, a worker that fails sometimes is still
chosen. Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from hazelbend.decisions.reliability import FailureEstimate

OWN_ZONE_PRECEDENCE_US = 2_000_000  # for this time after an outcome in the own zone, other zones are ignored
UNKNOWN_WORKER_RISK = FailureEstimate().risk(0)
SUSPECT_RISK = 0.1  # from this excess risk on, a worker's successes are reported to peers as well


class AttemptOutcome(Enum):
    """The outcome of an attempt, where it says something about the worker."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclass(slots=True, frozen=True)
class FailureCosts:
    """The cost of each unsuccessful outcome to a request, in microseconds of delay."""

    failure: float = 0.0
    rejection: float = 0.0
    retryable_failure: float = 0.0  # of a failure that is followed by a retry at another worker


NO_FAILURE_COSTS = FailureCosts()


@dataclass(slots=True, eq=False)
class Reliability:
    """The reliability of one worker, as estimated for the routers of one zone."""

    failures: FailureEstimate = field(default_factory=FailureEstimate)
    rejections: FailureEstimate = field(default_factory=FailureEstimate)
    own_zone_observed_at: int | None = None
    has_clean_record: bool = True  # no failure or rejection so far: avoids computing the two risks

    def record(self, outcome: AttemptOutcome, now: int, *, in_own_zone: bool) -> None:
        """Update the estimates by the outcome of an attempt.

        A worker may fail only for callers of one zone, so a recent outcome in the own zone takes precedence
        over reports from other zones.
        """
        if in_own_zone:
            self.own_zone_observed_at = now
        elif (
            self.own_zone_observed_at is not None and now - self.own_zone_observed_at < OWN_ZONE_PRECEDENCE_US
        ):
            return
        self.has_clean_record &= outcome is AttemptOutcome.SERVED
        if outcome is AttemptOutcome.REJECTED:
            self.rejections.record(now, is_error=True)
            return
        self.failures.record(now, is_error=outcome is AttemptOutcome.FAILED)
        self.rejections.record(now, is_error=False)

    def expected_cost(self, costs: FailureCosts, now: int) -> float:
        """Return the expected cost of unsuccessful outcomes, in microseconds."""
        if self.has_clean_record:
            return 0.0
        failure = costs.failure * _excess_risk(self.failures, now)
        return failure + costs.rejection * _excess_risk(self.rejections, now)

    def is_suspect(self, now: int) -> bool:
        """Whether its recent failures or rejections make its successes worth reporting to peers."""
        if self.has_clean_record:
            return False
        excess = max(_excess_risk(self.failures, now), _excess_risk(self.rejections, now))
        return excess > SUSPECT_RISK


def _excess_risk(estimate: FailureEstimate, now: int) -> float:
    """Return the risk in excess of that of an unknown worker.

    With the total risk, requests would pile up at the few workers that a router happens to have used lately.
    """
    return max(estimate.risk(now) - UNKNOWN_WORKER_RISK, 0.0)
