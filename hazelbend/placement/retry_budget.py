"""A retry budget that holds for the whole fleet of routers.

In each sliding window the fleet may send, beyond the first attempt of each request, `ratio` retries per
request for a service and `slack` more. Each router spends what its own requests earn and an equal share of
the slack, so routers need no coordination.
"""

from __future__ import annotations

from collections import deque

USABLE_FRACTION = 0.8  # of the budget, since windows slide and routers count at different times


class RetryBudget:
    """The budget of one router for one service. Times in microseconds."""

    def __init__(self, ratio: float, slack: float, window: int) -> None:
        """Allow `ratio` retries per request and `slack` retries of the fleet, in each `window`."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[int] = deque()  # arrival times
        self._retries: deque[int] = deque()  # times of retries

    def record_request(self, now: int) -> None:
        """Count a request for the service, which earns `ratio` of a retry."""
        self._expire(now)
        self._requests.append(now)

    def try_spend(self, now: int, routers: int) -> bool:
        """Count a retry if the budget allows it, in a fleet of `routers`; return whether it does."""
        if not self.allows_retry(now, routers):
            return False
        self._retries.append(now)
        return True

    def allows_retry(self, now: int, routers: int) -> bool:
        """Whether the budget allows one more retry."""
        self._expire(now)
        earned = self._ratio * len(self._requests) + self._slack / max(routers, 1)
        return len(self._retries) + 1 <= USABLE_FRACTION * earned

    def charge(self, now: int) -> None:
        """Count a retry that was sent regardless of the budget."""
        self._retries.append(now)

    def _expire(self, now: int) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
