"""A budget for retries that holds over the whole fleet of routers.

In each sliding window the fleet may send `ratio` times the requests for a service, and `slack` more, beyond
the first attempt of each request. Each router spends what its own requests earn and an equal share of the
slack, so that no router has to ask another one.
"""

from __future__ import annotations

from collections import deque

USABLE_FRACTION = 0.8  # of the bound: windows slide, and routers count at different times


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
        """Count a request for the service, which earns a part of a retry."""
        self._expire(now)
        self._requests.append(now)

    def try_spend(self, now: int, routers: int) -> bool:
        """Count a retry if the budget of a fleet of `routers` allows it; return whether it does."""
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
        """Count a retry that was sent whether or not the budget allowed it."""
        self._retries.append(now)

    def _expire(self, now: int) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
