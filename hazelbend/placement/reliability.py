"""How far a worker is believed to fail or to reject what it is sent, and what that adds to its delay.

Each worker has two estimates of the decision module (`hazelbend.decisions.soundness`): the chance that a run
there fails (an error, a reset), and the chance that it rejects a request although it has room. They are
learnt from the ends of own sends and of those that other routers tell, and fade. The expected cost of a
choice is its delay plus, for each chance, the chance times the time that such an end costs the request. What
is not known of a worker is not held against it, and a part of the requests that may be repeated leaves these
costs out, so that one that is well again is found. No worker is taken out: where all of a service fail alike,
the costs are alike, and where the others are full, one that fails in part is still chosen. Times are
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from hazelbend.decisions.soundness import Soundness

OWN_ZONE_FIRST = (
    2_000_000  # after an end seen in the own zone, what other zones tell of the worker is left out
)
UNKNOWN_RISK = Soundness().risk(0)  # of a worker of which nothing is known
SUSPECT_RISK = 0.1  # from which a worker's successes are told to other routers as well


class AttemptOutcome(Enum):
    """How a send to a worker ended, as far as it tells of the worker."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclass(slots=True, frozen=True)
class FailureCosts:
    """What an end other than success costs a request, in the time that it is worth."""

    failure: float = 0.0
    rejection: float = 0.0
    repeat: float = 0.0  # a failure after which another worker is asked


NO_FAILURE_COSTS = FailureCosts()


@dataclass(slots=True, eq=False)
class Reliability:
    """Of one worker, as the routers of one zone see it."""

    runs: Soundness = field(default_factory=Soundness)
    admission: Soundness = field(default_factory=Soundness)
    own_zone_seen_at: int | None = None
    has_clean_record: bool = True  # it has neither failed nor rejected: there is nothing to be reckoned

    def record(self, end: AttemptOutcome, in_own_zone: bool, now: int) -> None:
        """A send has ended. A worker may fail the callers of one zone alone, so what the own zone has met of
        late goes before what others tell."""
        if in_own_zone:
            self.own_zone_seen_at = now
        elif self.own_zone_seen_at is not None and now - self.own_zone_seen_at < OWN_ZONE_FIRST:
            return
        self.has_clean_record &= end is AttemptOutcome.SERVED
        if end is AttemptOutcome.REJECTED:
            self.admission.see(True, now)
            return
        self.runs.see(end is AttemptOutcome.FAILED, now)
        self.admission.see(False, now)

    def expected_cost(self, failure_costs: FailureCosts, now: int) -> float:
        """Microseconds that the risk of this worker is worth to a request."""
        if self.has_clean_record:
            return 0.0
        return failure_costs.failure * _excess(self.runs, now) + failure_costs.rejection * _excess(
            self.admission, now
        )

    def is_suspect(self, now: int) -> bool:
        """Whether it has failed or rejected so much of late that its successes are news."""
        if self.has_clean_record:
            return False
        return max(_excess(self.runs, now), _excess(self.admission, now)) > SUSPECT_RISK


def _excess(believed: Soundness, now: int) -> float:
    """The risk beyond that of a worker of which nothing is known: else requests would crowd at the few
    workers that a router happens to have tried of late."""
    return max(believed.risk(now) - UNKNOWN_RISK, 0.0)
