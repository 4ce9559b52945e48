"""Limits on queries per second and on retries. No I/O; the caller passes the time."""

from __future__ import annotations

MAX_SAVED_RETRIES = 10.0
BURSTS_PER_S = 10  # the token bucket holds the tokens of a tenth of a second, but at least one


class QueryBudget:
    """A token bucket for queries, and a retry budget as a ratio of first attempts. Times are microseconds."""

    def __init__(self, queries_per_s: float, retry_ratio: float) -> None:
        self._queries_per_s = queries_per_s
        self._retry_ratio = retry_ratio
        self._capacity = max(queries_per_s / BURSTS_PER_S, 1.0)
        self._tokens = self._capacity
        self._refilled_at = 0
        self._retries = MAX_SAVED_RETRIES

    def try_acquire(self, now: int) -> bool:
        """Take a token for a query; return False if there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def acquire_in_debt(self, now: int) -> None:
        """Take a token for a query that is sent at once even if there is none.

        The balance may become negative; later queries wait until it has recovered.
        """
        self._refill(now)
        self._tokens -= 1.0

    def next_token_at(self, now: int) -> int:
        """Return when the next query may be sent."""
        self._refill(now)
        return now + max(round((1.0 - self._tokens) / self._queries_per_s * 1e6), 0) + 1

    def record_first_attempt(self) -> None:
        """Record a first attempt, which adds its ratio to the retry budget."""
        self._retries = min(self._retries + self._retry_ratio, MAX_SAVED_RETRIES)

    def try_retry(self) -> bool:
        """Take a retry from the budget; return False if there is none."""
        if self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True

    def _refill(self, now: int) -> None:
        elapsed_us = max(now - self._refilled_at, 0)
        self._tokens = min(self._tokens + elapsed_us / 1e6 * self._queries_per_s, self._capacity)
        self._refilled_at = max(now, self._refilled_at)
