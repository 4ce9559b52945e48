"""The replicated log of one node: its persistent state, its state machine and its commit index.

No I/O. `first_unsaved_index` marks the entries that the driver must store before it sends messages that
depend on them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hazelbend.consensus.messages import AppendEntries, Entry, InstallSnapshot
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.replication import size_of


class StateMachine(Protocol):
    """The replicated state machine. It must be deterministic: the same entries give the same state."""

    def begin(self, epoch: int) -> None:
        """Reset to the empty state of a new epoch."""

    def apply(self, index: int, op: bytes) -> object:
        """Apply one committed operation; returns its result."""

    def snapshot(self) -> bytes:
        """The complete state, encoded."""

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot."""


@dataclass(slots=True, frozen=True)
class AppliedEntry:
    """A committed entry. `result`: the result of its operation; None if it has no operation."""

    index: int
    result: object


class ReplicatedLog:
    """The log, its commit index and its snapshot. Subclasses exchange the messages."""

    def __init__(self, persistent: PersistentState, state_machine: StateMachine) -> None:
        self.persistent = persistent
        self.state_machine = state_machine
        self.commit_index = persistent.last_included_index  # all entries up to here are applied
        self.voters = persistent.voters_at(persistent.last_index)  # the current list, committed or not
        # Entries from this index on, and the snapshot if its index is not lower, are not stored yet.
        self.first_unsaved_index: int | None = None
        state_machine.begin(persistent.epoch)
        if persistent.last_included_index:
            state_machine.restore(persistent.snapshot_state)

    @property
    def uncommitted_bytes(self) -> int:
        """Bytes of the operations that are not known to be committed."""
        return size_of(self.persistent.entries[self.commit_index - self.persistent.last_included_index :])

    def append(self, entry: Entry) -> None:
        """Append one entry."""
        self._mark_unsaved(self.persistent.last_index + 1)
        self.persistent.entries.append(entry)
        if entry.voters is not None:
            self.voters = entry.voters

    def merge(self, append: AppendEntries) -> None:
        """Add a leader's entries. A conflicting entry is deleted with all entries after it. The caller has
        checked that the entry at `prev_log_index` matches.
        """
        persistent = self.persistent
        for index, entry in enumerate(append.entries, append.prev_log_index + 1):
            if index <= persistent.last_included_index or persistent.term_at(index) == entry.term:
                continue
            if index <= persistent.last_index:
                assert index > self.commit_index, "committed entries are never deleted"
                del persistent.entries[index - persistent.last_included_index - 1 :]
                self.voters = persistent.voters_at(persistent.last_index)
            self.append(entry)

    def conflict_hint(self, append: AppendEntries) -> int | None:
        """The highest index at which the log may match the leader's; None if it matches at `prev_log_index`.

        The index skips all entries of a conflicting term at once, as at the end of section 5.3 of the paper.
        """
        persistent = self.persistent
        prev_term: int | None = append.prev_log_term
        if append.prev_log_index >= persistent.last_included_index:
            prev_term = persistent.term_at(append.prev_log_index)
        if prev_term == append.prev_log_term:
            return None
        hint = min(append.prev_log_index, persistent.last_index + 1)
        while (
            hint > self.commit_index + 1
            and prev_term is not None
            and persistent.term_at(hint - 1) == prev_term
        ):
            hint -= 1
        return max(hint - 1, self.commit_index)

    def commit_and_apply(self, index: int) -> list[AppliedEntry]:
        """Commit and apply all entries up to this index; returns the entries that were applied."""
        first = self.commit_index + 1
        self.commit_index = max(self.commit_index, index)
        applied = []
        for position in range(first, self.commit_index + 1):
            entry = self.persistent.entries[position - self.persistent.last_included_index - 1]
            result = self.state_machine.apply(position, entry.operation) if entry.operation else None
            applied.append(AppliedEntry(position, result))
        return applied

    def compact(self, after_entries: int, after_bytes: int) -> None:
        """Replace the applied entries with a snapshot, if their number or size reaches its limit."""
        persistent = self.persistent
        new_index = self.commit_index
        applied = persistent.entries[: new_index - persistent.last_included_index]
        if len(applied) < after_entries and size_of(applied) <= after_bytes:
            return
        term = persistent.term_at(new_index)
        assert term is not None
        state = self.state_machine.snapshot()
        voters = persistent.voters_at(new_index)
        # No applied entry is retained: a replica that lags behind receives the snapshot.
        del persistent.entries[: new_index - persistent.last_included_index]
        persistent.last_included_index = new_index
        persistent.last_included_term = term
        persistent.snapshot_voters = voters
        persistent.snapshot_state = state
        self._mark_unsaved(new_index)

    def install(self, snapshot: InstallSnapshot) -> bool:
        """Replace the applied state with a snapshot; returns False if the snapshot is not newer."""
        persistent = self.persistent
        if snapshot.last_included_index <= self.commit_index:
            return False
        entries_match = persistent.term_at(snapshot.last_included_index) == snapshot.last_included_term
        first_kept = snapshot.last_included_index - persistent.last_included_index
        persistent.entries = persistent.entries[first_kept:] if entries_match else []
        persistent.last_included_index = snapshot.last_included_index
        persistent.last_included_term = snapshot.last_included_term
        persistent.snapshot_voters = snapshot.voters
        persistent.snapshot_state = snapshot.state
        self.commit_index = snapshot.last_included_index
        self.voters = persistent.voters_at(persistent.last_index)
        self._mark_unsaved(snapshot.last_included_index)
        self.state_machine.restore(snapshot.state)
        return True

    def clear(self, epoch: int) -> None:
        """Start a new epoch with an empty log."""
        self.persistent = PersistentState(self.persistent.identity, epoch)
        self.commit_index = 0
        self.voters = ()
        self._mark_unsaved(1)
        self.state_machine.begin(epoch)

    def _mark_unsaved(self, index: int) -> None:
        unsaved = self.first_unsaved_index
        self.first_unsaved_index = index if unsaved is None else min(unsaved, index)
