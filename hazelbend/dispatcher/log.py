"""The log: lines on standard error, and the last of them for the console."""

from __future__ import annotations

import logging
import sys
import time
from collections import deque

KEPT = 500


class RecentLines(logging.Handler):
    """Keeps the last lines."""

    def __init__(self, kept: int = KEPT) -> None:
        super().__init__()
        self.lines: deque[str] = deque(maxlen=kept)

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


class Sparing:
    """A log in which what repeats by hundreds is bounded: so many lines in so many seconds, then a count of
    those that were left out."""

    def __init__(self, log: logging.Logger, lines: int = 50, seconds: float = 10.0) -> None:
        self._log, self._lines, self._seconds = log, lines, seconds
        self._written = self._left_out = 0
        self._until = 0.0

    def info(self, text: str, *values: object) -> None:
        self._write(logging.INFO, text, values)

    def warning(self, text: str, *values: object) -> None:
        self._write(logging.WARNING, text, values)

    def flush(self) -> None:
        """To be called now and then: tells what was left out once the time is over."""
        if time.monotonic() >= self._until:
            left_out, self._left_out, self._written = self._left_out, 0, 0
            if left_out:
                self._log.info("and %d lines more of this kind", left_out)

    def _write(self, level: int, text: str, values: tuple[object, ...]) -> None:
        self.flush()
        if not self._written:
            self._until = time.monotonic() + self._seconds
        if self._written < self._lines:
            self._written += 1
            self._log.log(level, text, *values)
        else:
            self._left_out += 1


def set_up(level: int = logging.INFO) -> RecentLines:
    recent = RecentLines()
    logging.basicConfig(
        level=level,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        handlers=[logging.StreamHandler(sys.stderr), recent],
    )
    # Their lines on single connections are not for operators.
    for name in ("aiohttp", "asyncio", "pysnmp"):
        logging.getLogger(name).setLevel(logging.WARNING)
    return recent
