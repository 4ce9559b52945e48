"""Reads the snapshot of SRV names at the start, and writes it after changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hazelbend.dns_discovery import snapshot
from hazelbend.dns_discovery.settings import SnapshotFile
from hazelbend.dns_discovery.snapshot import Snapshot, SnapshotError

log = logging.getLogger("hazelbend.names")


class SnapshotSaver:
    """Reads the snapshot at the start, and writes it at most once per interval after changes.

    `capture` returns a snapshot of the current state.
    """

    def __init__(self, settings: SnapshotFile | None, capture: Callable[[], Snapshot]) -> None:
        self.settings = settings  # None: no file is configured
        self.error = ""  # of the last read or write; empty if it succeeded
        self._capture = capture
        self._timer: asyncio.TimerHandle | None = None
        self._write_task: asyncio.Task[None] | None = None

    def load(self, handed_over: dict[str, Any]) -> Snapshot | None:
        """Return the state that the previous process handed over, or else the state in the file.

        Returns None if there is neither, or if it can't be used.
        """
        try:
            if handed_over:
                return snapshot.from_object(handed_over)
            if self.settings is not None:
                return snapshot.read_file(Path(self.settings.path))
        except SnapshotError as error:
            self.error = str(error)
            log.warning("snapshot: %s; it is not used", error)
        return None

    def save_later(self) -> None:
        """Schedule a write at the end of the interval, unless one is scheduled."""
        if self.settings is not None and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self.settings.interval_s, self._save)

    def cancel_timer(self) -> None:
        """Cancel the scheduled write."""
        if self._timer is not None:
            self._timer.cancel()

    async def save_last(self) -> None:
        """Wait for a write that is in progress, then write the final state."""
        if self._write_task is not None:
            await asyncio.gather(self._write_task, return_exceptions=True)
        if self.settings is not None:
            self._write(Path(self.settings.path), snapshot.encode(self._capture()))

    def _save(self) -> None:
        self._timer = None
        if self.settings is None:
            return
        if self._write_task is not None and not self._write_task.done():
            self.save_later()
            return
        path = Path(self.settings.path)
        data = snapshot.encode(self._capture())
        self._write_task = asyncio.create_task(asyncio.to_thread(self._write, path, data))

    def _write(self, path: Path, data: bytes) -> None:
        try:
            snapshot.write_file(path, data)
        except OSError as error:
            if self.error != str(error):
                log.warning("snapshot: write failed: %s", error)
            self.error = str(error)
        else:
            self.error = ""
