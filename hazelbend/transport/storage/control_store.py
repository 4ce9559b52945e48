"""Where a voter's memory lasts: sqlite3 with a write-ahead log, synced at each commit, in its own thread.

One owner: commands wait in the queue of the store's only thread. A command that fails changes nothing.
"""

from __future__ import annotations

import asyncio
import os
import sqlite3
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

import msgspec

from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.state_codec import CorruptStateError, HardState, LogEntries, Snapshot

DATABASE = "control.db"
DAMAGED = "control.damaged"
CHECKPOINT_PAGES = 200  # of the log, after which it is written back: it is bounded by that

_SCHEMA = """
CREATE TABLE IF NOT EXISTS part (kind TEXT PRIMARY KEY, content BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (position INTEGER PRIMARY KEY, content BLOB NOT NULL);
"""

Part = HardState | LogEntries | Snapshot
T = TypeVar("T")
StoreError = (sqlite3.Error, OSError)

_encoder = msgspec.msgpack.Encoder()
_promises = msgspec.msgpack.Decoder(HardState)
_bases = msgspec.msgpack.Decoder(Snapshot)
_entries = msgspec.msgpack.Decoder(Entry)


class ControlStore:
    """One process's, from `open` to `close`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._thread = ThreadPoolExecutor(1, "control-store")
        self._connection: sqlite3.Connection | None = None
        self._commit = 0  # as read

    async def open(self, address: str) -> tuple[PersistentState, int] | None:
        """The memory that is kept there, if it is of this address, and up to which index it was committed.

        Raises:
            sqlite3.Error, OSError: the disk refuses; it may be tried again.
        """
        return await self._run(self._open, address)

    async def save(self, parts: Sequence[Part], commit: int) -> None:
        """On the disk when it returns, all or nothing. `commit`: all up to this index is committed.

        Raises:
            sqlite3.Error, OSError: nothing was changed.
        """
        await self._run(self._save, parts, commit)

    async def close(self) -> None:
        """Wait for the command that runs, and let the file go."""
        await self._run(self._close)
        self._thread.shutdown()

    async def _run(self, command: Callable[..., T], *arguments: object) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._thread, command, *arguments)

    # --- in the store's thread ---

    def _open(self, address: str) -> tuple[PersistentState, int] | None:
        self._close()
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            self._connect()
            memory = self._read()
        except (CorruptStateError, sqlite3.DatabaseError) as error:
            damaged = isinstance(error, CorruptStateError) or not isinstance(error, sqlite3.OperationalError)
            if damaged:
                self._set_aside()
                self._connect()
                return None
            raise
        if memory is None or not memory.identity.endswith(f"@{address}"):
            return None
        return memory, self._commit

    def _connect(self) -> None:
        connection = sqlite3.connect(
            self._folder / DATABASE, isolation_level=None, check_same_thread=False, timeout=0
        )
        self._connection = connection
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")  # no shared memory beside the file
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        connection.executescript(_SCHEMA)

    def _set_aside(self) -> None:
        self._close()
        os.replace(self._folder / DATABASE, self._folder / DAMAGED)
        for ending in ("-wal", "-shm"):
            (self._folder / (DATABASE + ending)).unlink(missing_ok=True)

    def _read(self) -> PersistentState | None:
        assert self._connection is not None
        rows = dict(self._connection.execute("SELECT kind, content FROM part"))
        if "promise" not in rows:
            return None
        self._commit = int(rows.get("commit", b"0"))
        memory = PersistentState("")
        try:
            state_codec.apply_record(memory, _promises.decode(rows["promise"]))
            if "base" in rows:
                state_codec.apply_record(memory, _bases.decode(rows["base"]))
            found = self._connection.execute("SELECT position, content FROM entry ORDER BY position")
            for position, content in found:
                state_codec.apply_record(memory, LogEntries(position, (_entries.decode(content),)))
        except msgspec.DecodeError as error:
            raise CorruptStateError(str(error)) from None
        return memory

    def _save(self, parts: Sequence[Part], commit: int) -> None:
        connection = self._connection
        if connection is None:
            self._connect()
            connection = self._connection
            assert connection is not None
        connection.execute("BEGIN IMMEDIATE")
        try:
            for part in parts:
                self._write(connection, part)
            connection.execute("INSERT OR REPLACE INTO part VALUES ('commit', ?)", (b"%d" % commit,))
            connection.execute("COMMIT")
        except BaseException:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            raise

    @staticmethod
    def _write(connection: sqlite3.Connection, part: Part) -> None:
        if isinstance(part, LogEntries):
            connection.execute("DELETE FROM entry WHERE position >= ?", (part.first_index,))
            rows = [(at, _encoder.encode(entry)) for at, entry in enumerate(part.entries, part.first_index)]
            connection.executemany("INSERT INTO entry VALUES (?, ?)", rows)
            return
        if isinstance(part, Snapshot):
            connection.execute("DELETE FROM entry WHERE position <= ?", (part.last_included_index,))
            kind = "base"
        else:
            kind = "promise"
            row = connection.execute("SELECT content FROM part WHERE kind = 'promise'").fetchone()
            if row is not None and _promises.decode(row[0]).epoch != part.epoch:
                connection.execute("DELETE FROM entry")  # another epoch begins with nothing
                connection.execute("DELETE FROM part WHERE kind = 'base'")
        connection.execute("INSERT OR REPLACE INTO part VALUES (?, ?)", (kind, _encoder.encode(part)))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
