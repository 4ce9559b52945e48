"""The file with a node's consensus state: locked, and synced before any message that depends on it is sent.

consensus/state_codec.py defines the format. All methods block on the disk: call them in a thread.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from hazelbend.consensus import state_codec
from hazelbend.consensus.errors import CorruptStateError
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.transport.storage.durable_files import make_folder, rename_durably, write_all, write_new_file

STATE_FILE = "memory"
NEW_STATE_FILE = "memory.new"
CORRUPT_STATE_FILE = "memory.damaged"
LOCK_FILE = "lock"
REWRITE_ABOVE_BYTES = 4 * 1024 * 1024
CLOSED = -1  # in place of a file descriptor


class StateNotRewrittenError(OSError):
    """A new state file could not be written, for example because the disk is full."""


class FleetStore:
    """The state file of one process, from `open` to `close`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = CLOSED
        self._file = CLOSED
        self._size = 0  # bytes
        self._rewrite_above = REWRITE_ABOVE_BYTES

    def open(self, identity_suffix: str) -> PersistentState | None:
        """Lock the folder and read the stored state.

        Returns None if there is no state, or if its identity does not end with `identity_suffix`.

        Raises:
            OSError: the folder cannot be used, or another process has locked it.
            CorruptStateError: the file was renamed to `memory.damaged`; the node must start as a new one.
        """
        make_folder(self._folder)
        self._lock = os.open(self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path = self._folder / STATE_FILE
        try:
            content = path.read_bytes()
        except FileNotFoundError:
            return None
        try:
            state, valid_bytes = state_codec.decode_state(content)
        except CorruptStateError:
            rename_durably(path, self._folder / CORRUPT_STATE_FILE)
            raise
        if not state.identity.endswith(identity_suffix):
            return None
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        os.ftruncate(self._file, valid_bytes)
        os.fsync(self._file)
        self._size = valid_bytes
        return state

    def replace(self, content: bytes) -> None:
        """Replace the current file with a new one.

        Raises:
            StateNotRewrittenError: the current file is unchanged and may be appended to.
            OSError: it is unknown which of the two files exists; nothing more may be appended.
        """
        new_path = self._folder / NEW_STATE_FILE
        try:
            new_file = write_new_file(new_path, content)
        except OSError as error:
            with contextlib.suppress(OSError):
                new_path.unlink()
            self._rewrite_above = 2 * self._size  # the disk may be full: do not retry with each append
            raise StateNotRewrittenError(str(error)) from error
        try:
            rename_durably(new_path, self._folder / STATE_FILE)
        except OSError:
            os.close(new_file)
            raise
        if self._file != CLOSED:
            os.close(self._file)
        self._file = new_file
        self._size = len(content)
        self._rewrite_above = REWRITE_ABOVE_BYTES

    def append(self, frames: bytes) -> bool:
        """Append frames and sync them to disk. Returns True if the file is large and should be replaced.

        Raises:
            OSError: it is unknown which of the frames are on disk; nothing more may be appended.
        """
        write_all(self._file, frames)
        os.fdatasync(self._file)
        self._size += len(frames)
        return self._size > self._rewrite_above

    def close(self) -> None:
        """Close the file and release the lock."""
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED
