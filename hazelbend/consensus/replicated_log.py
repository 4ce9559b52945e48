"""The replicated log at one member: its memory, the machine that it drives, and how far it is committed.

Pure. What changes here is marked in `unsaved`, for the driver to store before anything that rests on it is
sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hazelbend.consensus.messages import AppendEntries, Entry, InstallSnapshot
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.replication import size_of


class StateMachine(Protocol):
    """What the entries change: the same after the same entries, whatever the time and the process."""

    def begin(self, epoch: int) -> None:
        """Start with nothing."""

    def apply(self, index: int, op: bytes) -> object:
        """Take one committed operation; its result."""

    def snapshot(self) -> bytes:
        """The whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's."""


@dataclass(slots=True, frozen=True)
class Applied:
    """An entry that was committed, and what the machine made of it (None for one without operation)."""

    index: int
    result: object


class ReplicatedLog:
    """See the head of the file."""

    def __init__(self, memory: PersistentState, machine: StateMachine) -> None:
        self.persistent, self.state_machine = memory, machine
        self.commit_index = memory.last_included_index  # all up to it is applied
        self.voters = memory.voters_at(memory.last_index)  # the list in force, committed or not
        self.first_unsaved_index: int | None = (
            None  # entries from this index on, and what is under them, are to be saved
        )
        machine.begin(memory.epoch)
        if memory.last_included_index:
            machine.restore(memory.snapshot_state)

    @property
    def pending_bytes(self) -> int:
        """Bytes of entries that are not known to be committed."""
        return size_of(self.persistent.entries[self.commit_index - self.persistent.last_included_index :])

    def append(self, entry: Entry) -> None:
        """One more at the end."""
        self._mark_unsaved(self.persistent.last_index + 1)
        self.persistent.entries.append(entry)
        if entry.voters is not None:
            self.voters = entry.voters

    def merge(self, append: AppendEntries) -> None:
        """Take a leader's entries; those that differ give way. The one before them must be the same here."""
        memory = self.persistent
        for index, entry in enumerate(append.entries, append.prev_log_index + 1):
            if index <= memory.last_included_index or memory.term_at(index) == entry.term:
                continue
            if index <= memory.last_index:
                assert index > self.commit_index, "what is committed is never taken back"
                del memory.entries[index - memory.last_included_index - 1 :]
                self.voters = memory.voters_at(memory.last_index)
            self.append(entry)

    def conflict_hint(self, append: AppendEntries) -> int | None:
        """None where the entry before these is the same here; else up to which index it may be. It need not
        be tried one by one: all of a term that differs is passed over."""
        memory = self.persistent
        before = (
            memory.term_at(append.prev_log_index)
            if append.prev_log_index >= memory.last_included_index
            else append.prev_log_term
        )
        if before == append.prev_log_term:
            return None
        hint = min(append.prev_log_index, memory.last_index + 1)
        while hint > self.commit_index + 1 and memory.term_at(hint - 1) == before and before is not None:
            hint -= 1
        return max(hint - 1, self.commit_index)

    def apply_to(self, index: int) -> list[Applied]:
        """All up to this index is committed: what the machine made of it."""
        first, self.commit_index = self.commit_index + 1, max(self.commit_index, index)
        applied = []
        for at in range(first, self.commit_index + 1):
            entry = self.persistent.entries[at - self.persistent.last_included_index - 1]
            applied.append(
                Applied(at, self.state_machine.apply(at, entry.operation) if entry.operation else None)
            )
        return applied

    def compact(self, most_entries: int, most_bytes: int) -> None:
        """Let a snapshot take the place of what is applied, once that is more than so much."""
        memory, base = self.persistent, self.commit_index
        applied = memory.entries[: base - memory.last_included_index]
        if len(applied) < most_entries and size_of(applied) <= most_bytes:
            return
        term = memory.term_at(base)
        assert term is not None
        state, voters = self.state_machine.snapshot(), memory.voters_at(base)
        # A snapshot is of what is applied; entries before it go at once, and who is behind gets the snapshot.
        del memory.entries[: base - memory.last_included_index]
        (
            memory.last_included_index,
            memory.last_included_term,
            memory.snapshot_voters,
            memory.snapshot_state,
        ) = base, term, voters, state
        self._mark_unsaved(base)

    def install(self, snapshot: InstallSnapshot) -> bool:
        """Replace what is applied by a snapshot of later state. False: it is not later."""
        memory = self.persistent
        if snapshot.last_included_index <= self.commit_index:
            return False
        keeps = memory.term_at(snapshot.last_included_index) == snapshot.last_included_term
        memory.entries = (
            memory.entries[snapshot.last_included_index - memory.last_included_index :] if keeps else []
        )
        memory.last_included_index, memory.last_included_term = (
            snapshot.last_included_index,
            snapshot.last_included_term,
        )
        memory.snapshot_voters, memory.snapshot_state = snapshot.voters, snapshot.state
        self.commit_index = snapshot.last_included_index
        self.voters = memory.voters_at(memory.last_index)
        self._mark_unsaved(snapshot.last_included_index)
        self.state_machine.restore(snapshot.state)
        return True

    def clear(self, epoch: int) -> None:
        """Begin another epoch, with nothing."""
        self.persistent = PersistentState(self.persistent.identity, epoch)
        self.commit_index, self.voters = 0, ()
        self._mark_unsaved(1)
        self.state_machine.begin(epoch)

    def _mark_unsaved(self, index: int) -> None:
        self.first_unsaved_index = (
            index if self.first_unsaved_index is None else min(self.first_unsaved_index, index)
        )
