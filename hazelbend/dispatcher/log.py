"""Logging: lines on standard error, the recent ones in memory for the console, and a rate limit."""

from __future__ import annotations

import logging
import sys
import time
from collections import deque

RECENT_LINES_LIMIT = 500
RATE_LIMIT_LINES = 50
RATE_LIMIT_PERIOD_S = 10.0
LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
# These libraries log single connections at INFO, which operators do not need.
QUIET_LOGGERS = ("aiohttp", "asyncio", "pysnmp")


class RecentLines(logging.Handler):
    """A log handler that retains the most recent lines in memory."""

    def __init__(self, limit: int = RECENT_LINES_LIMIT) -> None:
        super().__init__()
        self.lines: deque[str] = deque(maxlen=limit)

    def emit(self, record: logging.LogRecord) -> None:
        """Append the formatted record; the oldest line is dropped at the limit."""
        self.lines.append(self.format(record))


class RateLimitedLog:
    """A logger with a rate limit, for events that can repeat hundreds of times.

    In each period it writes up to `lines` lines. It counts the others, and `flush` logs the count.
    """

    def __init__(
        self, log: logging.Logger, lines: int = RATE_LIMIT_LINES, seconds: float = RATE_LIMIT_PERIOD_S
    ) -> None:
        self._log = log
        self._lines_limit = lines
        self._period_s = seconds
        self._written = 0
        self._suppressed = 0
        self._period_ends_at = 0.0  # in seconds of time.monotonic

    def info(self, text: str, *values: object) -> None:
        """Log at INFO, within the limit."""
        self._write(logging.INFO, text, values)

    def warning(self, text: str, *values: object) -> None:
        """Log at WARNING, within the limit."""
        self._write(logging.WARNING, text, values)

    def flush(self) -> None:
        """Log the count of suppressed lines if the period is over. Call this regularly."""
        if time.monotonic() < self._period_ends_at:
            return
        suppressed = self._suppressed
        self._suppressed = 0
        self._written = 0
        if suppressed:
            self._log.info("rate limit: %d similar lines suppressed", suppressed)

    def _write(self, level: int, text: str, values: tuple[object, ...]) -> None:
        self.flush()
        if not self._written:
            self._period_ends_at = time.monotonic() + self._period_s
        if self._written < self._lines_limit:
            self._written += 1
            self._log.log(level, text, *values)
        else:
            self._suppressed += 1


def set_up(level: int = logging.INFO) -> RecentLines:
    """Configure the root logger. Returns the handler that retains the recent lines."""
    recent = RecentLines()
    logging.basicConfig(level=level, format=LINE_FORMAT, handlers=[logging.StreamHandler(sys.stderr), recent])
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    return recent
