"""A linear model of the prefill times of workers of one kind, fitted online.

elapsed = overhead + unit_time * (units queued ahead + own units), fitted by least squares over the samples,
with exponential forgetting.
"""

from __future__ import annotations

MEMORY_SAMPLES = 80.0  # number of samples that the fit remembers
PRIOR_SAMPLES = 2.0  # number of samples that each point of the initial guess counts as
PRIOR_POINTS_UNITS = (1.0, 30.0)  # sizes of the two points of the initial guess
# A sample is clamped to these multiples of its expected time, as waits outside the model can make it long.
MIN_SAMPLE_RATIO = 0.5
MAX_SAMPLE_RATIO = 2.5
# The unit time stays within these multiples of its initial guess.
MIN_UNIT_TIME_RATIO = 0.2
MAX_UNIT_TIME_RATIO = 5.0


class PrefillTimeModel:
    """Times in microseconds; a unit is `policy.PREFILL_UNIT_TOKENS` tokens."""

    def __init__(self, overhead: float, unit_time: float) -> None:
        """Start from an initial guess of the two parameters."""
        self.overhead = overhead
        self.unit_time = unit_time
        self._initial_unit_time = unit_time
        # The sums of weighted least squares.
        self._weight = 0.0
        self._units = 0.0
        self._elapsed = 0.0
        self._units_squared = 0.0
        self._units_elapsed = 0.0
        for units in PRIOR_POINTS_UNITS:
            self._add(units, overhead + unit_time * units, PRIOR_SAMPLES)

    def add_sample(self, units: float, elapsed: float) -> None:
        """Add a prefill that took `elapsed`; `units` includes those queued ahead of it."""
        expected = self.expected_time(units)
        elapsed = min(max(elapsed, MIN_SAMPLE_RATIO * expected), MAX_SAMPLE_RATIO * expected)
        self._forget()
        self._add(units, elapsed, 1.0)
        self._fit()

    def expected_time(self, units: float) -> float:
        """Estimate the time of a prefill; `units` includes those queued ahead of it."""
        return self.overhead + self.unit_time * units

    def _forget(self) -> None:
        keep = 1 - 1 / MEMORY_SAMPLES
        self._weight *= keep
        self._units *= keep
        self._elapsed *= keep
        self._units_squared *= keep
        self._units_elapsed *= keep

    def _add(self, units: float, elapsed: float, weight: float) -> None:
        self._weight += weight
        self._units += weight * units
        self._elapsed += weight * elapsed
        self._units_squared += weight * units * units
        self._units_elapsed += weight * units * elapsed

    def _fit(self) -> None:
        spread = self._units_squared - self._units * self._units / self._weight
        if spread <= 0:
            return  # all samples have the same size, so the slope is undetermined
        slope = (self._units_elapsed - self._units * self._elapsed / self._weight) / spread
        lowest = MIN_UNIT_TIME_RATIO * self._initial_unit_time
        highest = MAX_UNIT_TIME_RATIO * self._initial_unit_time
        self.unit_time = min(max(slope, lowest), highest)
        self.overhead = max((self._elapsed - self.unit_time * self._units) / self._weight, 0.0)
