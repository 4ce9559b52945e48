"""Persists the consensus state of a control process, and restores it at startup.

Without a store (no data directory) nothing is persisted, and the process starts with an empty state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import picologging

from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode
from hazelbend.consensus.state_codec import StateRecord
from hazelbend.transport.storage.control_store import STORE_ERRORS, ControlStore

log = picologging.getLogger("hazelbend.control")

RESTORE_RETRY_DELAY_S = 0.2


class StateNotSavedError(Exception):
    """A write to the store failed. Output that depends on it must not be sent."""


class StatePersister:
    """Saves the changes of a `RaftNode`, in the order in which they were made."""

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

    async def save_changes(self, raft: RaftNode) -> None:
        """Save all changes since the last call.

        Raises:
            StateNotSavedError: nothing was saved; the next call saves the full state.
        """
        records = state_codec.take_changed_records(raft)
        if records and self._store is not None:
            await self._save(self._store, raft, records)

    async def save_commit_index(self, raft: RaftNode) -> None:
        """Save the commit index if it has changed since the last save.

        Raises:
            StateNotSavedError: nothing was saved; the next call saves the full state.
        """
        if self._store is not None and raft.commit_index != self._saved_commit_index:
            await self._save(self._store, raft, [])

    async def _save(self, store: ControlStore, raft: RaftNode, records: Sequence[StateRecord]) -> None:
        if not self._has_full_state:
            records = state_codec.state_records(raft.persistent)
        commit_index = raft.commit_index
        try:
            await store.save(records, commit_index)
        except STORE_ERRORS as error:
            self._has_full_state = False
            raft.hard_state_changed = True  # makes the next call save the full state
            raise StateNotSavedError(str(error)) from error
        self._saved_commit_index = commit_index
        self._has_full_state = True
