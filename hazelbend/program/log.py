"""The log: lines on standard error, and the last of them for the console."""

from __future__ import annotations

import logging
import sys
from collections import deque

KEPT = 500


class RecentLines(logging.Handler):
    """Keeps the last lines."""

    def __init__(self, kept: int = KEPT) -> None:
        super().__init__()
        self.lines: deque[str] = deque(maxlen=kept)

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


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
