"""How long workers of one kind take to read a prompt: an overhead, and a pace, both learnt from runs.

elapsed = overhead + pace * (units before it + own units), by least squares over samples; the older ones fade.
"""

from __future__ import annotations

MEMORY = 80.0  # samples that the line rests on
PRIOR = 2.0  # samples that each of the two first guesses stands for
SHORT, LONG = 1.0, 30.0  # units of reading of the two guesses
LEAST_PART, MOST_PART = 0.5, 2.5  # of what was expected, that a sample counts as: chance may add much more
LEAST_PACE_PART, MOST_PACE_PART = 0.2, 5.0  # of the first guess


class PrefillTimeModel:
    """Times in microseconds; a unit is `estimates.UNIT` tokens."""

    def __init__(self, overhead: float, pace: float) -> None:
        """First guesses, until runs have told."""
        self._first_pace = pace
        self.overhead, self.pace = overhead, pace
        self._count = self._x = self._y = self._xx = self._xy = 0.0
        for units in (SHORT, LONG):
            self._add(units, overhead + pace * units, PRIOR)

    def sample(self, units: float, elapsed: float) -> None:
        """A prompt behind which, itself included, lay so many units took so long."""
        expected = self.expected(units)
        elapsed = min(max(elapsed, LEAST_PART * expected), MOST_PART * expected)
        keep = 1 - 1 / MEMORY
        self._count, self._x, self._y = self._count * keep, self._x * keep, self._y * keep
        self._xx, self._xy = self._xx * keep, self._xy * keep
        self._add(units, elapsed, 1.0)
        spread = self._xx - self._x * self._x / self._count
        if spread <= 0:
            return
        pace = (self._xy - self._x * self._y / self._count) / spread
        first = self._first_pace
        self.pace = min(max(pace, LEAST_PACE_PART * first), MOST_PACE_PART * first)
        self.overhead = max((self._y - self.pace * self._x) / self._count, 0.0)

    def expected(self, units: float) -> float:
        """How long it takes where so many units are to be read, itself included."""
        return self.overhead + self.pace * units

    def _add(self, units: float, elapsed: float, weight: float) -> None:
        self._count += weight
        self._x += weight * units
        self._y += weight * elapsed
        self._xx += weight * units * units
        self._xy += weight * units * elapsed
