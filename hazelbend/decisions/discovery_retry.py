"""When discovery is called again: delays only; the calls are made elsewhere. Times in microseconds.

    not called yet --first_delay()--> calling, at once or, in a large fleet, spread
    calling        --answer---------> watching
    watching       --failure--------> calling, after retry_delay()
    calling        --failure--------> calling, after retry_delay()

What the delays have to keep to (the settings' `ask_within`, and the operators' terms):

- A dispatcher that has not called for `ask_within` counts as notified of all that was listed so long ago,
  and after any failure of discovery of what discovery had 6 s ago, also where the dispatcher has started
  since. So first calls are spread over a small part of both, and no later delay is longer.
- Whichever call failed, was rejected or timed out: a change counts as notified `NOTIFIED_AFTER_FAILURE_US`
  after discovery had it and could be reached. In that time two calls fit, though the first of them fails
  again: `MAX_RETRY_US`, a call that times out after `CALL_TIMEOUT_US`, `MAX_RETRY_US` again, and
  `ANSWER_TIME_US` for the second.
- Where lists are requested, one service answers the calls of all dispatchers one after another: delays
  double from the third failure on, from the larger a start the larger the fleet is, and have jitter, so that
  those that were cut off at the same moment come back at different ones.
- A watch that has fallen silent has failed like any call, and is detected by its hold alone. 6 s apply there
  too: so a hold is `WATCH_HOLD_US`, as long as discovery keeps up, and the first calls after it come within
  `EARLY_RETRY_US`. Where discovery answers late, callers queue: then holds grow, up to
  `HOLD_PER_DISPATCHER_US` for each dispatcher of the fleet, and shrink again with each answer in time. One
  call without an answer may be a watch that fell silent, and says nothing of that; two in a row do.
- A new watch of a large fleet waits longer (`FIRST_HOLD_PER_DISPATCHER_US`): discovery's queue is as long as
  its fleet. Two calls in 6 s fit there only where the first is rejected and does not time out.
- Where lists are pushed, what the agent has counts as notified at once, whether or not a watch is open. The
  agent is called at once, and often, until it answers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelbend.decisions.interface import Settings

LARGE_FLEET = 8  # dispatchers from which calls must not come at the same moment
FIRST_CALL_SPREAD_US = 100_000  # of a large fleet, for each dispatcher
MAX_FIRST_CALL_SPREAD_US = 2_000_000  # what discovery had before a start counts as notified too
EARLY_RETRY_US = 250_000  # the longest delay of each early retry
EARLY_RETRIES = 2  # the first failures in a row that have one
NOTIFIED_AFTER_FAILURE_US = 6_000_000
CALL_TIMEOUT_US = 2_500_000
MAX_RETRY_US = 1_250_000
ANSWER_TIME_US = NOTIFIED_AFTER_FAILURE_US - CALL_TIMEOUT_US - 2 * MAX_RETRY_US
MAX_DELAY_FRACTION = 0.5  # of `poll_interval`, that no delay exceeds
BACKOFF_FRACTION = 0.0075  # of `poll_interval`, that doubles with each failure
MAX_PUSHED_RETRY_US = 100_000  # where lists are pushed: a drain's grace may be as short
MAX_COUNTED_FAILURES = 30
WATCH_HOLD_US = 3_000_000  # that a watch waits for a change
HOLD_PER_DISPATCHER_US = 750_000  # the longest hold, for each dispatcher of a fleet
MAX_HOLD_US = 30_000_000
FIRST_HOLD_US = 1_500_000  # of a new watch: a service that does not answer is soon detected
FIRST_HOLD_PER_DISPATCHER_US = 100_000  # the more dispatchers call, the longer an answer takes
MAX_FIRST_HOLD_US = 3_000_000
HOLD_GROWTH = 2.0  # factor of a hold with a late answer
HOLD_DECAY = 4.0  # divisor with an answer in time
LATE_ANSWER_US = 500_000  # beyond its hold, from which an answer has waited in a queue


@dataclass(slots=True)
class DiscoveryRetry:
    """Delays of calls, by the failed calls in a row."""

    failures: int = 0

    def first_delay(self, settings: Settings, rng: random.Random) -> int:
        """Return the delay of the first call."""
        if settings.fleet_size < LARGE_FLEET or not settings.list_is_polled:
            return 0
        spread = min(
            FIRST_CALL_SPREAD_US * settings.fleet_size,
            MAX_FIRST_CALL_SPREAD_US,
            MAX_DELAY_FRACTION * settings.poll_interval,
        )
        return round(rng.uniform(0.0, spread))

    def retry_delay(self, settings: Settings, rng: random.Random) -> int:
        """Count a failed call; return the delay of the next one."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        if not settings.list_is_polled:
            return 0 if self.failures == 1 else round(MAX_PUSHED_RETRY_US * rng.uniform(0.5, 1.0))
        if self.failures <= EARLY_RETRIES:
            longest: float = EARLY_RETRY_US
        else:
            backoff = BACKOFF_FRACTION * 2**self.failures * max(settings.fleet_size / LARGE_FLEET, 1.0)
            longest = min(
                backoff * settings.poll_interval, MAX_DELAY_FRACTION * settings.poll_interval, MAX_RETRY_US
            )
        return round(longest * rng.uniform(0.5, 1.0))


@dataclass(slots=True)
class WatchHold:
    """How long a watch waits for a change: as short as discovery can serve the fleet."""

    factor: float = 1.0  # of the shortest hold
    timeouts: int = 0  # in a row

    @staticmethod
    def first_hold(fleet_size: int) -> int:
        """Return the hold of a new watch.

        A call that times out goes to the end of the queue, so one that times out before its turn has come is
        never answered at all.
        """
        return min(max(FIRST_HOLD_US, FIRST_HOLD_PER_DISPATCHER_US * fleet_size), MAX_FIRST_HOLD_US)

    def next_hold(self, fleet_size: int) -> int:
        """Return the hold of the next call of a watch."""
        return round(min(WATCH_HOLD_US * self.factor, self._longest(fleet_size)))

    def record_answer(self, late: int, fleet_size: int) -> None:
        """Count an answer, or a rejection, that came `late` after the end of its hold; negative: before."""
        self.timeouts = 0
        if late > LATE_ANSWER_US:
            self._lengthen(fleet_size)
        else:
            self.factor = max(self.factor / HOLD_DECAY, 1.0)

    def record_timeout(self, fleet_size: int) -> None:
        """Count a call without an answer in its time."""
        self.timeouts += 1
        if self.timeouts > 1:
            self._lengthen(fleet_size)

    def _lengthen(self, fleet_size: int) -> None:
        self.factor = min(HOLD_GROWTH * self.factor, self._longest(fleet_size) / WATCH_HOLD_US)

    @staticmethod
    def _longest(fleet_size: int) -> int:
        return max(WATCH_HOLD_US, min(HOLD_PER_DISPATCHER_US * fleet_size, MAX_HOLD_US))
