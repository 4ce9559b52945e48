"""Time without synchronized clocks, for leases and whatever else is granted for a time.

The holder counts a shortened time from before its request was sent. The grantor counts the whole time from
when it applied the granting entry itself, which is later. So the time ends for the holder first, as long as
no clock's rate differs from true time by more than the drift that is assumed.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from math import floor
from typing import TypeVar

NEVER = 1 << 62  # microseconds

Key = TypeVar("Key", bound=Hashable)


def holder_ttl_us(ttl_us: int, max_clock_drift: float) -> int:
    """How long a holder may act on a grant of `ttl_us`, by its own clock."""
    return floor(ttl_us * (1 - max_clock_drift) / (1 + max_clock_drift))


def first_seen(keys: Iterable[Key], seen: Mapping[Key, int], now: int) -> dict[Key, int]:
    """When each of these was seen first. `seen` is the result of the call before; a new key has `now`."""
    return {key: seen.get(key, now) for key in keys}
