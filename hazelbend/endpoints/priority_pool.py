"""SRV priorities (RFC 2782): which endpoints of an SRV name are open, and which are spare.

The endpoints with the lowest priority number are open, which means that the decision module may select them.
Endpoints with a higher number are spare: they open only while no endpoint with a lower number is available.
An endpoint is not available if it is not ready, drained, or ejected by the decision module.

Failover is immediate: if no open endpoint is available, the best priority that has an available endpoint
opens at once, or all priorities if none has one. Failback is delayed: a better priority gets work as soon as
it has an available endpoint, but the spare endpoints close only after it has had one without interruption
for the failback delay. With this hysteresis an endpoint that flaps keeps the spare ones open, and a name is
never without an open endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping


class PriorityPool:
    """The open priorities of one SRV name. Times are microseconds."""

    __slots__ = ("_available_since", "level")

    def __init__(self) -> None:
        self.level: int | None = None  # priorities up to this are open; None: the name has no endpoints
        self._available_since: dict[int, int] = {}

    def update(self, available: Mapping[int, bool], now: int, failback_delay_us: int) -> int | None:
        """Return the new level. `available`: for each priority, whether one of its endpoints is available."""
        self._record_available(available, now)
        if not available:
            self.level = None
            return None
        best = min(self._available_since, default=max(available))
        steady = now - self._available_since.get(best, now) >= failback_delay_us
        if self.level is None or best > self.level or (best < self.level and steady):
            self.level = best
        return self.level

    def failback_at(self, failback_delay_us: int) -> int | None:
        """Return when the level may fall without a further event; None if no better priority is available."""
        times = [
            since for priority, since in self._available_since.items() if self.level and priority < self.level
        ]
        return min(times) + failback_delay_us if times else None

    def _record_available(self, available: Mapping[int, bool], now: int) -> None:
        for priority in [priority for priority in self._available_since if not available.get(priority)]:
            del self._available_since[priority]
        for priority, is_available in available.items():
            if is_available:
                self._available_since.setdefault(priority, now)
