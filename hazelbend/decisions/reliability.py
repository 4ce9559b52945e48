"""Estimates how likely a worker is to fail its next attempt.

The model has two states. A healthy worker fails a small, known fraction of its attempts. A failing worker
fails an unknown fraction, with a uniform prior. Each result updates the probability of the failing state by
Bayes' rule; the fraction is learnt from the results seen while the worker was believed to be failing. A
healthy worker fails one attempt in a thousand, so a single error already makes the failing state the more
likely one. A success lowers the probability of the failing state by more, the smaller the fraction of its
attempts that a failing worker serves. Without new results the estimate fades towards the prior, since
failures come and go.

Only results that say something about the worker are recorded. If a request has failed at another worker
before, the request itself is as likely to be the cause.
"""

from dataclasses import dataclass
from math import exp

HEALTHY_ERROR_RATE = 0.001  # fraction of a healthy worker's attempts: 0 to 2 in 1,000 in production
PRIOR_FAILING = 0.05  # probability that an unknown worker is failing: on some days a sixth of all are
FADE_TIME_US = 20_000_000  # about the duration of a failure: 5 to 30 s were recorded


@dataclass(slots=True, eq=False)
class FailureEstimate:
    """The estimate for one worker. `export_state` stores the fields in this order."""

    failing: float = PRIOR_FAILING  # probability that it is failing, at `updated_at`
    errors: float = 0.0  # results attributed to failing
    successes: float = 0.0
    updated_at: int = 0

    def faded(self, now: int) -> tuple[float, float, float]:
        """Return the probability that it is failing, and the faded counts of errors and successes."""
        decay = exp(min(self.updated_at - now, 0) / FADE_TIME_US)
        failing = PRIOR_FAILING + (self.failing - PRIOR_FAILING) * decay
        return failing, self.errors * decay, self.successes * decay

    def risk(self, now: int) -> float:
        """Return the probability that its next attempt ends in an error."""
        failing, errors, successes = self.faded(now)
        return failing * (1 + errors) / (2 + errors + successes) + (1 - failing) * HEALTHY_ERROR_RATE

    def record(self, now: int, *, is_error: bool) -> None:
        """Learn from the result of an attempt."""
        failing, errors, successes = self.faded(now)
        error_rate = (1 + errors) / (2 + errors + successes)
        if is_error:
            likelihood_failing = error_rate
            likelihood_healthy = HEALTHY_ERROR_RATE
        else:
            likelihood_failing = 1 - error_rate
            likelihood_healthy = 1 - HEALTHY_ERROR_RATE
        failing = (
            failing * likelihood_failing / (failing * likelihood_failing + (1 - failing) * likelihood_healthy)
        )
        self.errors = errors + failing * is_error
        self.successes = successes + failing * (not is_error)
        self.failing = failing
        self.updated_at = now
