"""SRV priorities (RFC 2782): which of a name's boxes are open, and which are spare.

The boxes of the lowest priority number serve; those of a higher one only while none of the better can take
work: not ready, drained, or shut out by the decision module, which picks among all that are open.

Hysteresis. Down at once: when no open box is able, the best priority that has an able one opens in the same
moment (all of them, where none has). Up late: a better priority gets work as soon as it has an able box, and
the spare ones close only when it has had one for `return_after` without a break. So a box that comes and goes
makes spare ones stay open; it never leaves a name without an open box.
"""

from __future__ import annotations

from collections.abc import Mapping


class Pool:
    """One name's priorities. All up to `level` are open."""

    __slots__ = ("_able_since", "level")

    def __init__(self) -> None:
        self.level: int | None = None
        self._able_since: dict[int, int] = {}

    def look(self, able: Mapping[int, bool], now: int, return_after: int) -> int | None:
        """For each priority, whether a box of it can take work now; the level from now on."""
        for priority in [each for each in self._able_since if not able.get(each)]:
            del self._able_since[priority]
        for priority, is_able in able.items():
            if is_able:
                self._able_since.setdefault(priority, now)
        if not able:
            self.level = None
            return None
        best = min(self._able_since, default=max(able))
        steady = now - self._able_since.get(best, now) >= return_after
        if self.level is None or best > self.level or (best < self.level and steady):
            self.level = best
        return self.level

    def returns_at(self, return_after: int) -> int | None:
        """When the level may fall by time alone."""
        times = [since for each, since in self._able_since.items() if self.level and each < self.level]
        return min(times) + return_after if times else None
