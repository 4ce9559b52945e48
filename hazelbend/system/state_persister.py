"""Persists the state of a control process, and restores it at startup.

That is the consensus state, and the records of workers that drain or have ended.

Without a store (no data directory) nothing is persisted, and the process starts with an empty state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
import picologging

from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode
from hazelbend.consensus.state_codec import StateRecord
from hazelbend.control.workers import WorkerRecord, WorkerRegistry, WorkerStateChange
from hazelbend.transport.storage.control_store import STORE_ERRORS, ControlStore, StoredRecord, WorkerRow

log = picologging.getLogger("hazelbend.control")

RESTORE_RETRY_DELAY_S = 0.2

_encoder = msgspec.msgpack.Encoder()
_worker_decoder = msgspec.msgpack.Decoder(WorkerRecord)


class StateNotSavedError(Exception):
    """A write to the store failed. Output that depends on it must not be sent."""


class StatePersister:
    """Saves the changes of a `RaftNode` and a `WorkerRegistry`, in the order in which they were made."""

    def __init__(self, store: ControlStore | None) -> None:
        self._store = store
        self._saved_commit_index = 0
        self._has_full_state = False  # whether the store contains a full state that changes can be added to

    async def restore(self, address: str) -> tuple[PersistentState, int] | None:
        """Return the state saved by the process at this address, and its commit index; None if there is none.

        Retries until the store can be read.
        """
        while self._store is not None:
            try:
                restored = await self._store.open(address)
            except STORE_ERRORS as error:
                log.error("control: store: cannot be opened, retrying: %s", error)
                await asyncio.sleep(RESTORE_RETRY_DELAY_S)
                continue
            if restored is not None:
                self._has_full_state = True
                self._saved_commit_index = restored[1]
            return restored
        return None

    def restored_workers(self) -> list[WorkerRecord]:
        """Return the records of workers that `restore` has read. One that cannot be decoded is left out."""
        rows = self._store.worker_rows if self._store is not None else ()
        records = []
        for row in rows:
            try:
                records.append(_worker_decoder.decode(row.content or b""))
            except msgspec.DecodeError as error:
                log.error("control: store: worker %s: ignored, undecodable: %s", row.instance, error)
        return records

    async def save_changes(self, raft: RaftNode, registry: WorkerRegistry) -> None:
        """Save all changes since the last call.

        Raises:
            StateNotSavedError: nothing was saved; the next call saves the full consensus state, and these
                changes of workers.
        """
        records = state_codec.take_changed_records(raft)
        worker_changes = registry.take_unsaved_changes()
        if self._store is None or not (records or worker_changes):
            return
        try:
            await self._save(self._store, raft, records, worker_changes)
        except StateNotSavedError:
            registry.restore_unsaved_changes(worker_changes)
            raise

    async def save_commit_index(self, raft: RaftNode) -> None:
        """Save the commit index if it has changed since the last save.

        Raises:
            StateNotSavedError: nothing was saved; the next call saves the full state.
        """
        if self._store is not None and raft.commit_index != self._saved_commit_index:
            await self._save(self._store, raft, [], [])

    async def _save(
        self,
        store: ControlStore,
        raft: RaftNode,
        records: Sequence[StateRecord],
        worker_changes: Sequence[WorkerStateChange],
    ) -> None:
        if not self._has_full_state:
            records = state_codec.state_records(raft.persistent)
        commit_index = raft.commit_index
        all_records: list[StoredRecord] = [*records, *map(worker_row, worker_changes)]
        try:
            await store.save(all_records, commit_index)
        except STORE_ERRORS as error:
            self._has_full_state = False
            raft.hard_state_changed = True  # makes the next call save the full state
            raise StateNotSavedError(str(error)) from error
        self._saved_commit_index = commit_index
        self._has_full_state = True


def worker_row(change: WorkerStateChange) -> WorkerRow:
    """Return the row of the store for this change."""
    return WorkerRow(change.instance, None if change.record is None else _encoder.encode(change.record))
