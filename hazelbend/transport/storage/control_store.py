"""Stores the state of a control process in sqlite3, with a write-ahead log synced at each commit.

That is the consensus state, and the records of workers that drain or have ended.

All commands run sequentially in the store's own thread. A command that fails changes nothing.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from hazelbend.consensus import state_codec
from hazelbend.consensus.errors import CorruptStateError
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.state_codec import HardState, LogEntries, Snapshot, StateRecord
from hazelbend.transport.storage.durable_files import make_folder, rename_durably

DATABASE_FILE = "control.db"
DAMAGED_FILE = "control.damaged"  # a database that could not be read
CHECKPOINT_PAGES = 200  # write-ahead log pages that trigger a checkpoint, which bounds the size of the log
HARD_STATE = "promise"  # stored kinds of rows, whose values keep the names of earlier versions
SNAPSHOT = "base"
COMMIT_INDEX = "commit"

_SCHEMA = """
CREATE TABLE IF NOT EXISTS part (kind TEXT PRIMARY KEY, content BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (position INTEGER PRIMARY KEY, content BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS worker (instance TEXT PRIMARY KEY, content BLOB NOT NULL);
"""


T = TypeVar("T")
STORE_ERRORS = (sqlite3.Error, OSError)  # raised by the methods of `ControlStore` if the disk fails

_encoder = msgspec.msgpack.Encoder()
_hard_states = msgspec.msgpack.Decoder(HardState)
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_entries = msgspec.msgpack.Decoder(Entry)


@dataclass(slots=True, frozen=True)
class WorkerRow:
    """The encoded record of a worker. As an argument of `ControlStore.save`, None removes the row."""

    instance: str
    content: bytes | None


StoredRecord = StateRecord | WorkerRow


class ControlStore:
    """The database of one process, in its data directory. Call `open`, any number of `save`, then `close`."""

    def __init__(self, data_dir: Path) -> None:
        self._data_dir = data_dir
        self._thread = ThreadPoolExecutor(1, "control-store")
        self._connection: sqlite3.Connection | None = None
        self._commit_index = 0  # as read from the database
        self.worker_rows: tuple[WorkerRow, ...] = ()  # as read from the database by `open`

    async def open(self, address: str) -> tuple[PersistentState, int] | None:
        """Return the consensus state and commit index of the process at this address; None if there are none.

        Sets `worker_rows`. A damaged database is renamed and a new one is created.

        Raises:
            sqlite3.Error, OSError: the disk failed; the call may be repeated.
        """
        return await self._run(self._open, address)

    async def save(self, records: Sequence[StoredRecord], commit_index: int) -> None:
        """Store all records atomically; they are synced to disk on return.

        Raises:
            sqlite3.Error, OSError: nothing was changed.
        """
        await self._run(self._save, records, commit_index)

    async def close(self) -> None:
        """Wait for the command in progress and close the database."""
        await self._run(self._close)
        self._thread.shutdown()

    async def _run(self, command: Callable[..., T], *arguments: object) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._thread, command, *arguments)

    # --- methods that run in the store's thread ---

    def _open(self, address: str) -> tuple[PersistentState, int] | None:
        self._close()
        make_folder(self._data_dir)
        self.worker_rows = ()
        try:
            self._connect()
            state = self._read()
            self.worker_rows = self._read_worker_rows()
        except (CorruptStateError, sqlite3.DatabaseError) as error:
            damaged = isinstance(error, CorruptStateError) or not isinstance(error, sqlite3.OperationalError)
            if damaged:
                self._rename_damaged_database()
                self._connect()
                return None
            raise
        if state is None or not state.identity.endswith(f"@{address}"):
            return None
        return state, self._commit_index

    def _connect(self) -> None:
        connection = sqlite3.connect(
            self._data_dir / DATABASE_FILE, isolation_level=None, check_same_thread=False, timeout=0
        )
        self._connection = connection
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")  # no shared memory beside the file
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        connection.executescript(_SCHEMA)

    def _rename_damaged_database(self) -> None:
        self._close()
        # The write-ahead log is removed first: it must never be applied to another database.
        for suffix in ("-wal", "-shm"):
            (self._data_dir / (DATABASE_FILE + suffix)).unlink(missing_ok=True)
        rename_durably(self._data_dir / DATABASE_FILE, self._data_dir / DAMAGED_FILE)

    def _read(self) -> PersistentState | None:
        assert self._connection is not None
        rows = dict(self._connection.execute("SELECT kind, content FROM part"))
        if HARD_STATE not in rows:
            return None
        self._commit_index = int(rows.get(COMMIT_INDEX, b"0"))
        state = PersistentState("")
        try:
            state_codec.apply_record(state, _hard_states.decode(rows[HARD_STATE]))
            if SNAPSHOT in rows:
                state_codec.apply_record(state, _snapshots.decode(rows[SNAPSHOT]))
            entries = self._connection.execute("SELECT position, content FROM entry ORDER BY position")
            for index, content in entries:
                state_codec.apply_record(state, LogEntries(index, (_entries.decode(content),)))
        except msgspec.DecodeError as error:
            raise CorruptStateError(str(error)) from None
        return state

    def _read_worker_rows(self) -> tuple[WorkerRow, ...]:
        assert self._connection is not None
        rows = self._connection.execute("SELECT instance, content FROM worker ORDER BY instance")
        return tuple([WorkerRow(instance, content) for instance, content in rows])

    def _save(self, records: Sequence[StoredRecord], commit_index: int) -> None:
        connection = self._connection
        if connection is None:
            self._connect()
            connection = self._connection
            assert connection is not None
        connection.execute("BEGIN IMMEDIATE")
        try:
            for record in records:
                self._write(connection, record)
            connection.execute(
                "INSERT OR REPLACE INTO part VALUES (?, ?)", (COMMIT_INDEX, b"%d" % commit_index)
            )
            connection.execute("COMMIT")
        except BaseException:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            raise

    @staticmethod
    def _write(connection: sqlite3.Connection, record: StoredRecord) -> None:
        if isinstance(record, WorkerRow):
            _write_worker_row(connection, record)
            return
        if isinstance(record, LogEntries):
            connection.execute("DELETE FROM entry WHERE position >= ?", (record.first_index,))
            rows = [
                (index, _encoder.encode(entry))
                for index, entry in enumerate(record.entries, record.first_index)
            ]
            connection.executemany("INSERT INTO entry VALUES (?, ?)", rows)
            return
        if isinstance(record, Snapshot):
            connection.execute("DELETE FROM entry WHERE position <= ?", (record.last_included_index,))
            kind = SNAPSHOT
        else:
            kind = HARD_STATE
            row = connection.execute("SELECT content FROM part WHERE kind = ?", (HARD_STATE,)).fetchone()
            if row is not None and _hard_states.decode(row[0]).epoch != record.epoch:
                connection.execute("DELETE FROM entry")  # a new epoch starts with an empty log
                connection.execute("DELETE FROM part WHERE kind = ?", (SNAPSHOT,))
        connection.execute("INSERT OR REPLACE INTO part VALUES (?, ?)", (kind, _encoder.encode(record)))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _write_worker_row(connection: sqlite3.Connection, row: WorkerRow) -> None:
    if row.content is None:
        connection.execute("DELETE FROM worker WHERE instance = ?", (row.instance,))
    else:
        connection.execute("INSERT OR REPLACE INTO worker VALUES (?, ?)", (row.instance, row.content))
