"""The router's clock: monotonic, anchored once to Unix time, because endpoints report start times in it."""

from __future__ import annotations

import time


class Clock:
    """A clock in whole microseconds. It ignores changes of the system clock after its creation."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset) // 1_000
