"""Rate limiter with bursts (token bucket)."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate_per_s` events a second on average, and bursts of `burst`. Times are microseconds."""

    def __init__(self, rate_per_s: float, burst: float, now: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def try_take(self, now: int) -> bool:
        """Take a token. Returns False if there is none."""
        refill = (now - self._refilled_at) * self._rate_per_s / 1e6
        self._tokens = min(self._tokens + refill, self._burst)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
