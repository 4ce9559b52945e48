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
        self.persistent, self.machine = memory, machine
        self.commit = memory.base  # all up to it is applied
        self.voters = memory.voters_at(memory.last)  # the list in force, committed or not
        self.unsaved: int | None = None  # entries from this index on, and what is under them, are to be saved
        machine.begin(memory.epoch)
        if memory.base:
            machine.restore(memory.base_state)

    @property
    def pending_bytes(self) -> int:
        """Bytes of entries that are not known to be committed."""
        return size_of(self.persistent.entries[self.commit - self.persistent.base :])

    def append(self, entry: Entry) -> None:
        """One more at the end."""
        self._mark_unsaved(self.persistent.last + 1)
        self.persistent.entries.append(entry)
        if entry.voters is not None:
            self.voters = entry.voters

    def merge(self, append: AppendEntries) -> None:
        """Take a leader's entries; those that differ give way. The one before them must be the same here."""
        memory = self.persistent
        for index, entry in enumerate(append.entries, append.before + 1):
            if index <= memory.base or memory.term_at(index) == entry.term:
                continue
            if index <= memory.last:
                assert index > self.commit, "what is committed is never taken back"
                del memory.entries[index - memory.base - 1 :]
                self.voters = memory.voters_at(memory.last)
            self.append(entry)

    def conflict_hint(self, append: AppendEntries) -> int | None:
        """None where the entry before these is the same here; else up to which index it may be. It need not
        be tried one by one: all of a term that differs is passed over."""
        memory = self.persistent
        before = memory.term_at(append.before) if append.before >= memory.base else append.before_term
        if before == append.before_term:
            return None
        hint = min(append.before, memory.last + 1)
        while hint > self.commit + 1 and memory.term_at(hint - 1) == before and before is not None:
            hint -= 1
        return max(hint - 1, self.commit)

    def apply_to(self, index: int) -> list[Applied]:
        """All up to this index is committed: what the machine made of it."""
        first, self.commit = self.commit + 1, max(self.commit, index)
        applied = []
        for at in range(first, self.commit + 1):
            entry = self.persistent.entries[at - self.persistent.base - 1]
            applied.append(Applied(at, self.machine.apply(at, entry.op) if entry.op else None))
        return applied

    def compact(self, most_entries: int, most_bytes: int) -> None:
        """Let a snapshot take the place of what is applied, once that is more than so much."""
        memory, base = self.persistent, self.commit
        applied = memory.entries[: base - memory.base]
        if len(applied) < most_entries and size_of(applied) <= most_bytes:
            return
        term = memory.term_at(base)
        assert term is not None
        state, voters = self.machine.snapshot(), memory.voters_at(base)
        # A snapshot is of what is applied; entries before it go at once, and who is behind gets the snapshot.
        del memory.entries[: base - memory.base]
        memory.base, memory.base_term, memory.base_voters, memory.base_state = base, term, voters, state
        self._mark_unsaved(base)

    def install(self, snapshot: InstallSnapshot) -> bool:
        """Replace what is applied by a snapshot of later state. False: it is not later."""
        memory = self.persistent
        if snapshot.base <= self.commit:
            return False
        keeps = memory.term_at(snapshot.base) == snapshot.base_term
        memory.entries = memory.entries[snapshot.base - memory.base :] if keeps else []
        memory.base, memory.base_term = snapshot.base, snapshot.base_term
        memory.base_voters, memory.base_state = snapshot.voters, snapshot.state
        self.commit = snapshot.base
        self.voters = memory.voters_at(memory.last)
        self._mark_unsaved(snapshot.base)
        self.machine.restore(snapshot.state)
        return True

    def clear(self, epoch: int) -> None:
        """Begin another epoch, with nothing."""
        self.persistent = PersistentState(self.persistent.identity, epoch)
        self.commit, self.voters = 0, ()
        self._mark_unsaved(1)
        self.machine.begin(epoch)

    def _mark_unsaved(self, index: int) -> None:
        self.unsaved = index if self.unsaved is None else min(self.unsaved, index)
