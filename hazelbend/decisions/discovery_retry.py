"""When discovery is called again: delays only; the calls are made elsewhere. Pure; times in microseconds.

    nothing asked yet --first_delay()--> asking, at once or, in a large fleet, spread
    asking            --answered-------> watching
    watching, asking  --retry_delay()--> asking, after the delay

The clock that the delays keep to (the settings' `ask_within`, and the operators' terms):

- One that has not asked for `ask_within` counts as told of all that was listed so long ago, and after any
  failure of discovery's of what it had 6 s ago, also where it has started since. So first calls are spread
  over a small part of both, and no later delay is longer.
- Whatever call failed, was refused or given up: a change counts as told `TOLD_AFTER_FAILURE` after
  discovery had it and could be reached. In that time two calls fit, though the first of them fails again:
  `LONGEST_RETRY`, a call that is given up after `CALL_LIMIT`, `LONGEST_RETRY` again, and `ANSWER_TIME` for
  the second.
- Where lists are asked for, one service answers the calls of all one after another: delays double from the
  third failure on, from the larger a start the larger the fleet is, and are drawn, so that those who were cut
  off in one moment come back in many.
- A watch that has fallen silent has failed like any call, and is found out by its hold alone. 6 s hold there
  too: so a hold is `HOLD`, as long as discovery keeps up, and the first calls after it come within `SOON`.
  Where it answers late, callers queue: then holds grow, up to `HOLD_EACH` for each dispatcher of the
  fleet, and shrink again with each answer in time. One call without an answer may be a watch that fell
  silent, and says nothing of that; two in a row do.
- A new watch of a large fleet waits for longer (`FIRST_HOLD_EACH`): discovery's queue is as long as its
  fleet. Two calls in 6 s fit there only where the first is refused and not given up.
- Where lists are pushed, what the agent has counts as told at once, whether or not a watch is open. It is
  asked at once, and often, until it answers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelbend.decisions.interface import Settings

LARGE_FLEET = 8  # dispatchers from which they must not come in one moment
FIRST_EACH = 100_000  # for each dispatcher of a large fleet: the time in which they first ask
LONGEST_FIRST = 2_000_000  # of that: what discovery had before a start counts as told as well
SOON = 250_000  # the longest delay after each of the first failures in a row
SOON_FAILURES = 2  # how many those are
TOLD_AFTER_FAILURE = 6_000_000
CALL_LIMIT = 2_500_000  # after which a call that gets no answer is given up
LONGEST_RETRY = 1_250_000
ANSWER_TIME = TOLD_AFTER_FAILURE - CALL_LIMIT - 2 * LONGEST_RETRY
LONGEST_PART = 0.5  # of `ask_within` that no delay exceeds
DOUBLED_PART = 0.0075  # of `ask_within`: what doubles with each failure
LONGEST_PUSHED_RETRY = 100_000  # where lists are pushed: a drain's grace may be as short
MOST_FAILURES = 30  # counted
HOLD = 3_000_000  # that a watch waits for news
HOLD_EACH = 750_000  # for each dispatcher of a fleet: the longest that it grows to
LONGEST_HOLD = 30_000_000
FIRST_HOLD = 1_500_000  # of a new watch: a service that does not answer is found out as soon as may be
FIRST_HOLD_EACH = 100_000  # for each dispatcher: where many call, an answer takes as long to come
LONGEST_FIRST_HOLD = 3_000_000
GROW, SHRINK = 2.0, 4.0  # by what a hold changes with a late answer, and with one in time
LATE = 500_000  # beyond its hold, from which an answer has waited behind others


@dataclass(slots=True)
class DiscoveryRetry:
    """The failed calls in a row, and the delays that follow from them."""

    failures: int = 0

    def first_delay(self, settings: Settings, chance: random.Random) -> int:
        """Until the first call."""
        if settings.fleet_size < LARGE_FLEET or not settings.list_must_be_asked:
            return 0
        spread = min(FIRST_EACH * settings.fleet_size, LONGEST_FIRST, LONGEST_PART * settings.ask_within)
        return round(chance.uniform(0.0, spread))

    def retry_delay(self, settings: Settings, chance: random.Random) -> int:
        """A call has failed: until the next."""
        self.failures = min(self.failures + 1, MOST_FAILURES)
        if not settings.list_must_be_asked:
            return 0 if self.failures == 1 else round(LONGEST_PUSHED_RETRY * chance.uniform(0.5, 1.0))
        if self.failures <= SOON_FAILURES:
            longest: float = SOON
        else:
            doubled = DOUBLED_PART * 2**self.failures * max(settings.fleet_size / LARGE_FLEET, 1.0)
            longest = min(doubled * settings.ask_within, LONGEST_PART * settings.ask_within, LONGEST_RETRY)
        return round(longest * chance.uniform(0.5, 1.0))


@dataclass(slots=True)
class WatchHold:
    """How long a watch waits for news: as short as discovery can serve the fleet."""

    stretch: float = 1.0
    unanswered: int = 0  # calls in a row

    @staticmethod
    def first_hold(fleet_size: int) -> int:
        """Of a new watch. A call that is given up goes to the end of the queue, so one that is given up
        before its turn has come is never answered at all.
        """
        return min(max(FIRST_HOLD, FIRST_HOLD_EACH * fleet_size), LONGEST_FIRST_HOLD)

    def next_hold(self, fleet_size: int) -> int:
        """Of the next call of a watch that goes on."""
        return round(min(HOLD * self.stretch, self._longest(fleet_size)))

    def answered(self, late: int, fleet_size: int) -> None:
        """A call was answered, or refused, so long after its hold was over; less than 0: before."""
        self.unanswered = 0
        if late > LATE:
            self._lengthen(fleet_size)
        else:
            self.stretch = max(self.stretch / SHRINK, 1.0)

    def given_up(self, fleet_size: int) -> None:
        """A call has had no answer in its time."""
        self.unanswered += 1
        if self.unanswered > 1:
            self._lengthen(fleet_size)

    def _lengthen(self, fleet_size: int) -> None:
        self.stretch = min(GROW * self.stretch, self._longest(fleet_size) / HOLD)

    @staticmethod
    def _longest(fleet_size: int) -> int:
        return max(HOLD, min(HOLD_EACH * fleet_size, LONGEST_HOLD))
