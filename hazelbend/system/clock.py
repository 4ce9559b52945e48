"""The time that the engines of control processes and routers are told."""

from __future__ import annotations

import time


def clock() -> int:
    """Microseconds of this process's monotonic clock."""
    return time.monotonic_ns() // 1_000
