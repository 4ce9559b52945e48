"""Whom to ask, and how much: the health of nameservers, and the budgets of queries. Told the time."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

FAILURES = 3  # in a row, after which a nameserver rests
FIRST_REST, LONGEST_REST = 1_000_000, 30_000_000  # microseconds; doubled each time
DISSENT = 60_000_000  # how long one that was outvoted is asked last
MOST_RETRIES = 10.0  # saved up in the budget


def fraction(*words: object) -> float:
    """From 0 to 1, by a stable hash: the same for these words everywhere and always."""
    text = "\0".join(map(str, words)).encode()
    return int.from_bytes(blake2b(text, digest_size=6).digest()) / 2**48


@dataclass(slots=True)
class Health:
    """One nameserver. After some failures in a row it rests; then one query tries it."""

    index: int
    failures: int = 0
    rest: int = 0
    until: int = 0
    trying: bool = False
    dissented_at: int = -DISSENT
    edns: bool = True
    asked: int = 0
    failed: int = 0
    last_error: str = ""

    def rests(self, now: int) -> bool:
        return self.rest > 0 and (now < self.until or self.trying)

    def ask(self) -> None:
        self.asked += 1
        self.trying = self.rest > 0

    def good(self) -> None:
        self.failures = self.rest = 0
        self.trying = False

    def bad(self, why: str, now: int) -> None:
        self.failures += 1
        self.failed += 1
        self.last_error, self.trying = why, False
        if self.failures >= FAILURES and now >= self.until:
            self.rest = min(max(2 * self.rest, FIRST_REST), LONGEST_REST)
            self.until = now + self.rest


class Nameservers:
    def __init__(self, count: int) -> None:
        self.all = [Health(index) for index in range(count)]

    def choose(self, question: str, asked: set[int], now: int) -> int | None:
        """One that does not rest and was not asked yet. Questions are spread over them by a stable hash;
        those that failed or were outvoted of late come last."""
        able = [each for each in self.all if each.index not in asked and not each.rests(now)]

        def order(each: Health) -> tuple[bool, bool, float]:
            dissents = now < each.dissented_at + DISSENT
            return dissents, each.failures > 0, fraction(question, each.index)

        return min(able, key=order).index if able else None

    def released_at(self, now: int) -> int:
        """When the first that rests may be tried; now, if one does not rest."""
        if any(not each.rests(now) for each in self.all):
            return now
        waits = [each.until for each in self.all if not each.trying]
        return max(min(waits, default=now + FIRST_REST), now)


class Budget:
    """Queries a second, as a bucket that holds a tenth of a second's; retries as a part of first tries."""

    def __init__(self, per_second: float, retry_part: float) -> None:
        self.per_second, self.retry_part = per_second, retry_part
        self._most = max(per_second / 10, 1.0)
        self._left, self._at = self._most, 0
        self._retries = MOST_RETRIES

    def take(self, now: int) -> bool:
        self._fill(now)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def spend(self, now: int) -> None:
        """For a query that follows at once from an answer: what comes next waits for it."""
        self._fill(now)
        self._left -= 1.0

    def free_at(self, now: int) -> int:
        """When the next may go."""
        self._fill(now)
        return now + max(round((1.0 - self._left) / self.per_second * 1e6), 0) + 1

    def first_try(self) -> None:
        self._retries = min(self._retries + self.retry_part, MOST_RETRIES)

    def retry(self) -> bool:
        if self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True

    def _fill(self, now: int) -> None:
        self._left = min(self._left + max(now - self._at, 0) / 1e6 * self.per_second, self._most)
        self._at = max(now, self._at)
