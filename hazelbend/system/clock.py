"""The clock of control processes and routers, and units of time."""

from __future__ import annotations

import time

MILLISECOND_US = 1_000
SECOND_US = 1_000_000


def clock() -> int:
    """Return the microseconds of this process's monotonic clock."""
    return time.monotonic_ns() // 1_000
