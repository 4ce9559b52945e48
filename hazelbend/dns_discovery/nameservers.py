"""The health of the nameservers, and the choice of one for a query. No I/O; the caller passes the time.

A nameserver is in one of these states:

    healthy       It is queried.
    backing off   It has failed FAILURE_THRESHOLD times in a row, and is not queried until `retry_at`. The
                  backoff doubles each time.
    on trial      Its backoff has ended, and a single trial query is in flight. Its result makes the
                  nameserver healthy, or starts the next backoff.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelbend.dns_discovery.stable_hash import stable_fraction

FAILURE_THRESHOLD = 3  # failures in a row
MIN_BACKOFF_US = 1_000_000
MAX_BACKOFF_US = 30_000_000
OUTVOTED_PENALTY_US = 60_000_000  # for this long an outvoted nameserver is the last choice


@dataclass(slots=True)
class NameserverHealth:
    """The state of one nameserver. Times are microseconds."""

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
        """Whether it must not be queried now."""
        return self.backoff_us > 0 and (now < self.retry_at or self.on_trial)

    def record_query(self) -> None:
        """Record that a query was sent to it."""
        self.queries += 1
        self.on_trial = self.backoff_us > 0

    def record_success(self) -> None:
        """Record that it responded."""
        self.failures_in_a_row = 0
        self.backoff_us = 0
        self.on_trial = False

    def record_failure(self, reason: str, now: int) -> None:
        """Record that it did not respond, or refused to serve."""
        self.failures_in_a_row += 1
        self.failures += 1
        self.last_error = reason
        self.on_trial = False
        if self.failures_in_a_row >= FAILURE_THRESHOLD and now >= self.retry_at:
            self.backoff_us = min(max(2 * self.backoff_us, MIN_BACKOFF_US), MAX_BACKOFF_US)
            self.retry_at = now + self.backoff_us


class Nameservers:
    """The configured nameservers, in the order of the settings."""

    def __init__(self, count: int) -> None:
        self.health = [NameserverHealth(index) for index in range(count)]

    def choose(self, question: str, queried: set[int], now: int) -> int | None:
        """Return the index of an available nameserver that is not in `queried`; None if there is none.

        A stable hash spreads the questions over the nameservers. Nameservers that failed, or that were
        outvoted recently, are chosen last.
        """
        candidates = [
            server for server in self.health if server.index not in queried and not server.is_backing_off(now)
        ]

        def preference(server: NameserverHealth) -> tuple[bool, bool, float]:
            outvoted = now < server.outvoted_at + OUTVOTED_PENALTY_US
            failing = server.failures_in_a_row > 0
            return outvoted, failing, stable_fraction(question, server.index)

        return min(candidates, key=preference).index if candidates else None

    def available_at(self, now: int) -> int:
        """Return when the first nameserver may be queried; `now` if one is available."""
        if any(not server.is_backing_off(now) for server in self.health):
            return now
        times = [server.retry_at for server in self.health if not server.on_trial]
        return max(min(times, default=now + MIN_BACKOFF_US), now)
