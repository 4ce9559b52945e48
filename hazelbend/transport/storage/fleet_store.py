"""The file in which a voter's memory lasts: locked, written and synced before anything that rests on it is
said."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState

NAME, NEW = "memory", "memory.new"
LARGE = 4 * 1024 * 1024  # bytes, after which the file is written anew


class FleetStore:
    """One process's, from `open` to `close`. Each method blocks on the disk: call them in a thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = self._file = -1
        self._size = 0

    def open(self, identity_ends_with: str) -> PersistentState | None:
        """The memory of the process before, if it is of this address. OSError if the folder cannot be used,
        or another process does; state_codec.DamagedError: it is set aside, and whoever goes on is somebody
        new."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path = self._folder / NAME
        try:
            content = path.read_bytes()
        except FileNotFoundError:
            return None
        try:
            memory, good = state_codec.decode_state(content)
        except state_codec.CorruptStateError:
            os.replace(path, self._folder / "memory.damaged")
            raise
        if not memory.identity.endswith(identity_ends_with):
            return None
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        os.ftruncate(self._file, good)
        os.fsync(self._file)
        self._size = good
        return memory

    def begin(self, content: bytes) -> None:
        """A new file, in place of one that there is."""
        fresh = os.open(self._folder / NEW, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            _write(fresh, content)
            os.fsync(fresh)
            os.replace(self._folder / NEW, self._folder / NAME)
            folder = os.open(self._folder, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError:
            os.close(fresh)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self._size = fresh, len(content)

    def add(self, frames: bytes) -> bool:
        """On the disk when it returns. True: the file is large, and may be begun anew."""
        _write(self._file, frames)
        os.fdatasync(self._file)
        self._size += len(frames)
        return self._size > LARGE

    def close(self) -> None:
        for handle in (self._file, self._lock):
            if handle >= 0:
                with contextlib.suppress(OSError):
                    os.close(handle)
        self._file = self._lock = -1


def _write(handle: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(handle, view) :]
