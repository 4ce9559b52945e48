"""The record of one run: what was sent, answered and run, with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line an event."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def add(self, text: str) -> float:
        now = self.now()
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()
        return now

    def close(self) -> None:
        self._file.close()
