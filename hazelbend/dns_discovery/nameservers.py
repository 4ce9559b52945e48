"""Health of the nameservers, and the choice of one for a query. No I/O; the caller gives the time.

A nameserver is

    healthy       it is queried
    backing off   after FAILURE_THRESHOLD failures in a row, until `retry_at`; the back-off doubles
    on trial      its back-off is over and one query is in flight: it decides between the two above
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelbend.dns_discovery.stable_hash import stable_fraction

FAILURE_THRESHOLD = 3  # failures in a row
MIN_BACKOFF_US = 1_000_000
MAX_BACKOFF_US = 30_000_000
OUTVOTED_PENALTY_US = 60_000_000  # how long a nameserver that was outvoted is queried last


@dataclass(slots=True)
class NameserverHealth:
    """State of one nameserver. Times are microseconds."""

    index: int
    failures_in_a_row: int = 0
    backoff_us: int = 0  # 0: healthy
    retry_at: int = 0
    on_trial: bool = False
    outvoted_at: int = -OUTVOTED_PENALTY_US
    supports_edns: bool = True
    queries: int = 0
    failures: int = 0
    last_error: str = ""

    def is_backing_off(self, now: int) -> bool:
        """Whether it gets no query now."""
        return self.backoff_us > 0 and (now < self.retry_at or self.on_trial)

    def record_query(self) -> None:
        """Note that a query was sent to it."""
        self.queries += 1
        self.on_trial = self.backoff_us > 0

    def record_success(self) -> None:
        """Note that it responded."""
        self.failures_in_a_row = 0
        self.backoff_us = 0
        self.on_trial = False

    def record_failure(self, reason: str, now: int) -> None:
        """Note that it did not respond, or refused to serve."""
        self.failures_in_a_row += 1
        self.failures += 1
        self.last_error = reason
        self.on_trial = False
        if self.failures_in_a_row >= FAILURE_THRESHOLD and now >= self.retry_at:
            self.backoff_us = min(max(2 * self.backoff_us, MIN_BACKOFF_US), MAX_BACKOFF_US)
            self.retry_at = now + self.backoff_us


class Nameservers:
    """The configured nameservers, in order."""

    def __init__(self, count: int) -> None:
        self.health = [NameserverHealth(index) for index in range(count)]

    def choose(self, question: str, queried: set[int], now: int) -> int | None:
        """Index of a nameserver that is available and was not queried yet; None if there is none.

        A stable hash spreads the questions. Those that failed, or were outvoted recently, come last.
        """
        candidates = [
            server for server in self.health if server.index not in queried and not server.is_backing_off(now)
        ]

        def preference(server: NameserverHealth) -> tuple[bool, bool, float]:
            dissents = now < server.outvoted_at + OUTVOTED_PENALTY_US
            failing = server.failures_in_a_row > 0
            return dissents, failing, stable_fraction(question, server.index)

        return min(candidates, key=preference).index if candidates else None

    def available_at(self, now: int) -> int:
        """When the first nameserver may be queried; now, if one is available."""
        if any(not server.is_backing_off(now) for server in self.health):
            return now
        times = [server.retry_at for server in self.health if not server.on_trial]
        return max(min(times, default=now + MIN_BACKOFF_US), now)
