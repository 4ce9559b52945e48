"""Safe expiry without synchronized clocks, for leases and other grants with a TTL.

The holder counts a shortened TTL from before it sent its request. The grantor counts the whole TTL from when
it applied the granting entry itself, which is later. A grant therefore expires at the holder first, as long
as no clock's rate differs from true time by more than the assumed drift.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from math import floor
from typing import TypeVar

NEVER = 1 << 62  # microseconds

Key = TypeVar("Key", bound=Hashable)


def holder_ttl_us(ttl_us: int, max_clock_drift: float) -> int:
    """Return for how long, by its own clock, a holder may use a grant of `ttl_us`."""
    return floor(ttl_us * (1 - max_clock_drift) / (1 + max_clock_drift))


def first_seen(keys: Iterable[Key], seen: Mapping[Key, int], now: int) -> dict[Key, int]:
    """Return when each key was first seen. `seen` is the previous call's result; a new key gets `now`."""
    return {key: seen.get(key, now) for key in keys}
