"""How many extra arrivals at a service this router may cause, so that the sum over all routers is in bounds.

In each window of time the fleet may send `ratio` times the requests for a service, and `slack` more, beyond
the first send of each. A router spends what its own requests earn and an even part of the slack.
"""

from __future__ import annotations

from collections import deque

KEPT_BACK = 0.8  # of the bound that is used: windows slide, and routers count at different times


class RetryBudget:
    """Of one service at one router. Times in microseconds."""

    def __init__(self, ratio: float, slack: float, window: int) -> None:
        self._ratio, self._slack, self._window = ratio, slack, window
        self._requests: deque[int] = deque()
        self._extra: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """A request for the service has come."""
        self._forget(now)
        self._requests.append(now)

    def try_spend(self, now: int, routers: int) -> bool:
        """Whether one more send beyond a request's first is within bounds; it is counted if so."""
        if not self.allows_retry(now, routers):
            return False
        self._extra.append(now)
        return True

    def allows_retry(self, now: int, routers: int) -> bool:
        """Whether one more is within bounds."""
        self._forget(now)
        earned = self._ratio * len(self._requests) + self._slack / max(routers, 1)
        return len(self._extra) + 1 <= KEPT_BACK * earned

    def charge(self, now: int) -> None:
        """One more was sent, whatever the bounds."""
        self._extra.append(now)

    def _forget(self, now: int) -> None:
        for times in (self._requests, self._extra):
            while times and times[0] <= now - self._window:
                times.popleft()
