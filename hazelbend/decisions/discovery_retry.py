"""Delays between calls to the discovery service. The calls themselves are made elsewhere.

    not called yet --first_delay()--> calling, at once or, in a large fleet, spread over time
    calling        --answer---------> watching
    watching       --failure--------> calling, after retry_delay()
    calling        --failure--------> calling, after retry_delay()

A watch is a call that discovery holds open until the list changes, for at most its "hold". A change "counts
as notified" from the moment at which a dispatcher must obey it, whether or not it has learnt of it. Times are
in microseconds.

Constraints on the delays, from the settings' `max_poll_interval` and the operators' requirements:

- If a dispatcher has not called for `max_poll_interval`, everything that was listed that long ago counts as
  notified. After any failure of discovery, so does everything that discovery had 6 s ago, even if the
  dispatcher has started since. First calls are therefore spread over a small part of both times, and no later
  delay is longer.
- Whichever call failed, was rejected or timed out: a change counts as notified `NOTIFIED_AFTER_FAILURE_US`
  after discovery had it and could be reached. Two calls fit into that time even if the first of them fails
  too: `MAX_RETRY_US`, a call that times out after `CALL_TIMEOUT_US`, `MAX_RETRY_US` again, and
  `ANSWER_TIME_US` for the second call.
- Where lists are polled, one service answers the calls of all dispatchers one after another. Delays double
  from the third failure on, and start the larger, the larger the fleet is. They have jitter, so that
  dispatchers that were cut off at the same moment do not return at the same moment.
- A watch whose connection has gone silent has failed like any call, and only the end of its hold reveals it.
  The 6 s apply there too, so a hold is `WATCH_HOLD_US` while discovery keeps up, and the first calls after it
  come within `EARLY_RETRY_US`. Where discovery answers late, its callers queue: holds then grow, up to
  `HOLD_PER_DISPATCHER_US` for each dispatcher of the fleet, and shrink again with each answer in time. One
  call without an answer may be a watch that has gone silent, and does not show a queue; two in a row do.
- A new watch of a large fleet waits longer (`FIRST_HOLD_PER_DISPATCHER_US`), because discovery's queue grows
  with the fleet. Two calls fit into 6 s there only if the first is rejected and does not time out.
- Where lists are pushed, what the agent has counts as notified at once, whether or not a watch is open. The
  agent is called at once, and often, until it answers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelbend.decisions.interface import Settings

LARGE_FLEET = 8  # dispatchers, from which on their calls must be spread over time
FIRST_CALL_SPREAD_US = 100_000  # for each dispatcher of a large fleet
MAX_FIRST_CALL_SPREAD_US = 2_000_000  # what discovery had before a start counts as notified too
EARLY_RETRY_US = 250_000  # the longest delay of an early retry
EARLY_RETRIES = 2  # consecutive failures that are followed by an early retry
NOTIFIED_AFTER_FAILURE_US = 6_000_000
CALL_TIMEOUT_US = 2_500_000
MAX_RETRY_US = 1_250_000
ANSWER_TIME_US = NOTIFIED_AFTER_FAILURE_US - CALL_TIMEOUT_US - 2 * MAX_RETRY_US
MAX_DELAY_FRACTION = 0.5  # the longest delay, as a fraction of `max_poll_interval`
BACKOFF_FRACTION = 0.0075  # of `max_poll_interval`: the initial backoff, which doubles with each failure
MAX_PUSHED_RETRY_US = 100_000  # where lists are pushed: the grace period of a drain may be as short
MAX_COUNTED_FAILURES = 30
WATCH_HOLD_US = 3_000_000  # the time that a watch waits for a change
HOLD_PER_DISPATCHER_US = 750_000  # the longest hold, for each dispatcher of the fleet
MAX_HOLD_US = 30_000_000
FIRST_HOLD_US = 1_500_000  # of a new watch: short, to detect early that the service does not answer
FIRST_HOLD_PER_DISPATCHER_US = 100_000  # the more dispatchers call, the longer an answer takes
MAX_FIRST_HOLD_US = 3_000_000
HOLD_GROWTH = 2.0  # a late answer multiplies the hold by this
HOLD_DECAY = 4.0  # an answer in time divides the hold by this
LATE_ANSWER_US = 500_000  # an answer that is later than its hold by more has waited in discovery's queue


@dataclass(slots=True)
class DiscoveryRetry:
    """Delays between calls, by the number of consecutive failures."""

    failures: int = 0

    def first_delay(self, settings: Settings, rng: random.Random) -> int:
        """Return the delay of the first call."""
        if settings.fleet_size < LARGE_FLEET or not settings.list_is_polled:
            return 0
        spread = min(
            FIRST_CALL_SPREAD_US * settings.fleet_size,
            MAX_FIRST_CALL_SPREAD_US,
            MAX_DELAY_FRACTION * settings.max_poll_interval,
        )
        return round(rng.uniform(0.0, spread))

    def retry_delay(self, settings: Settings, rng: random.Random) -> int:
        """Count a failed call; return the delay until the next one."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        if not settings.list_is_polled:
            return 0 if self.failures == 1 else round(MAX_PUSHED_RETRY_US * rng.uniform(0.5, 1.0))
        if self.failures <= EARLY_RETRIES:
            longest: float = EARLY_RETRY_US
        else:
            backoff = BACKOFF_FRACTION * 2**self.failures * max(settings.fleet_size / LARGE_FLEET, 1.0)
            longest = min(
                backoff * settings.max_poll_interval,
                MAX_DELAY_FRACTION * settings.max_poll_interval,
                MAX_RETRY_US,
            )
        return round(longest * rng.uniform(0.5, 1.0))


@dataclass(slots=True)
class WatchHold:
    """How long a watch waits for a change: as short as discovery can serve for the whole fleet."""

    factor: float = 1.0  # the hold as a multiple of the shortest one
    timeouts: int = 0  # consecutive calls without an answer

    @staticmethod
    def first_hold(fleet_size: int) -> int:
        """Return the hold of a new watch.

        A call that times out goes to the end of discovery's queue, so a dispatcher whose calls time out
        before their turn is never answered.
        """
        return min(max(FIRST_HOLD_US, FIRST_HOLD_PER_DISPATCHER_US * fleet_size), MAX_FIRST_HOLD_US)

    def next_hold(self, fleet_size: int) -> int:
        """Return the hold of the watch's next call."""
        return round(min(WATCH_HOLD_US * self.factor, self._longest(fleet_size)))

    def record_answer(self, late: int, fleet_size: int) -> None:
        """Count an answer or a rejection. `late` is the time since the end of its hold; negative: before."""
        self.timeouts = 0
        if late > LATE_ANSWER_US:
            self._lengthen(fleet_size)
        else:
            self.factor = max(self.factor / HOLD_DECAY, 1.0)

    def record_timeout(self, fleet_size: int) -> None:
        """Count a call that was not answered within its timeout."""
        self.timeouts += 1
        if self.timeouts > 1:
            self._lengthen(fleet_size)

    def _lengthen(self, fleet_size: int) -> None:
        self.factor = min(HOLD_GROWTH * self.factor, self._longest(fleet_size) / WATCH_HOLD_US)

    @staticmethod
    def _longest(fleet_size: int) -> int:
        return max(WATCH_HOLD_US, min(HOLD_PER_DISPATCHER_US * fleet_size, MAX_HOLD_US))
