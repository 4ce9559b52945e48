"""How likely a worker is to fail or to reject a request, and what that adds to the cost of choosing it.

Each worker has two estimates of the decision module (`hazelbend.decisions.reliability`): the probability that
an attempt there fails (an error, a reset), and the probability that it rejects a request although it has
capacity. Both learn from own attempts and from outcomes that peers report, and fade with time. The cost of a
choice is its delay plus, for each of the two, the probability times the time that such an outcome costs the
request. A worker of which nothing is known has no such cost. Some of the idempotent requests leave these
costs out, and so find the workers that have recovered. No worker is ejected: where all workers of a
service fail alike the costs are alike, and where the others are full a worker that fails now and then is
still chosen. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from hazelbend.decisions.reliability import FailureEstimate

OWN_ZONE_PRECEDENCE_US = 2_000_000  # after an outcome in the own zone, reports of others are ignored
UNKNOWN_WORKER_RISK = FailureEstimate().risk(0)
SUSPECT_RISK = 0.1  # excess risk from which a worker's successes are reported to peers as well


class AttemptOutcome(Enum):
    """How an attempt ended, as far as it says something about the worker."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclass(slots=True, frozen=True)
class FailureCosts:
    """What each unsuccessful outcome costs a request, in microseconds of delay."""

    failure: float = 0.0
    rejection: float = 0.0
    retryable_failure: float = 0.0  # a failure that is followed by a retry at another worker


NO_FAILURE_COSTS = FailureCosts()


@dataclass(slots=True, eq=False)
class Reliability:
    """The reliability of one worker, as the routers of one zone see it."""

    failures: FailureEstimate = field(default_factory=FailureEstimate)
    rejections: FailureEstimate = field(default_factory=FailureEstimate)
    own_zone_observed_at: int | None = None
    has_clean_record: bool = True  # neither failure nor rejection so far: spares computing the two risks

    def record(self, outcome: AttemptOutcome, now: int, *, in_own_zone: bool) -> None:
        """Learn from an attempt that ended.

        A worker may fail the callers of one zone alone, so a recent outcome in the own zone takes precedence
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
        """Return the expected cost of an unsuccessful outcome, in microseconds."""
        if self.has_clean_record:
            return 0.0
        failure = costs.failure * _excess_risk(self.failures, now)
        return failure + costs.rejection * _excess_risk(self.rejections, now)

    def is_suspect(self, now: int) -> bool:
        """Whether it has failed or rejected so much lately that peers should hear of its successes."""
        if self.has_clean_record:
            return False
        excess = max(_excess_risk(self.failures, now), _excess_risk(self.rejections, now))
        return excess > SUSPECT_RISK


def _excess_risk(estimate: FailureEstimate, now: int) -> float:
    """Return the risk beyond that of an unknown worker.

    With the whole risk, requests would crowd at the few workers that a router happens to have tried lately.
    """
    return max(estimate.risk(now) - UNKNOWN_WORKER_RISK, 0.0)
