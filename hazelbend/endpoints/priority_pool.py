"""SRV priorities (RFC 2782): which endpoints of an SRV name are open, and which are spare.

The endpoints of the lowest priority number serve. Those of a higher one serve only while no endpoint before
them is available: each is not ready, drained, or ejected by the decision module, which selects among all that
are open.

Hysteresis. Failover is immediate: when no open endpoint is available, the best priority that has an available
one opens at once (all priorities, if none has). Failback is delayed: a better priority gets work as soon as
it has an available endpoint, and the spare ones close only when it has had one for the failback delay without
a break. So an endpoint that flaps keeps the spare ones open, and never leaves a name without an open
endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping


class PriorityPool:
    """The priorities of one SRV name. Times are microseconds."""

    __slots__ = ("_available_since", "level")

    def __init__(self) -> None:
        self.level: int | None = None  # priorities up to this are open; None: the name has no endpoints
        self._available_since: dict[int, int] = {}

    def update(self, available: Mapping[int, bool], now: int, failback_delay_us: int) -> int | None:
        """The level from now on, given for each priority whether an endpoint of it is available."""
        self._note_available(available, now)
        if not available:
            self.level = None
            return None
        best = min(self._available_since, default=max(available))
        steady = now - self._available_since.get(best, now) >= failback_delay_us
        if self.level is None or best > self.level or (best < self.level and steady):
            self.level = best
        return self.level

    def failback_at(self, failback_delay_us: int) -> int | None:
        """When the level may fall by time alone; None: it is the lowest that is available."""
        times = [
            since for priority, since in self._available_since.items() if self.level and priority < self.level
        ]
        return min(times) + failback_delay_us if times else None

    def _note_available(self, available: Mapping[int, bool], now: int) -> None:
        for priority in [priority for priority in self._available_since if not available.get(priority)]:
            del self._available_since[priority]
        for priority, is_available in available.items():
            if is_available:
                self._available_since.setdefault(priority, now)
