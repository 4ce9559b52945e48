"""The state that a voter must store before it answers, and the epoch numbers.

When the state of a quorum is permanently lost, an operator starts a new epoch with an empty log. The lowest
bit of an epoch number is 0 for the bootstrap of a cluster and 1 for an epoch that an operator started. Only
the latter makes other nodes drop their stored operations.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from hazelbend.consensus.messages import Entry

EPOCH_BITS = 8  # bits of an epoch below its start time
EPOCH_TIME_UNIT_S = 16  # unit of that start time; coarse, to leave enough bits for terms in fencing tokens
OPERATOR_BIT = 1


def next_epoch(known_epoch: int, unix_s: float, identity: str, by_operator: bool = True) -> int:
    """The number of a new epoch.

    It is higher than `known_epoch` and, if the wall clock is right, also higher than earlier epochs of which
    no node has a record any more. The numbers of two epochs that different nodes start within the same 16
    seconds differ with a probability of 127 in 128.
    """
    started_at = max(int(unix_s) // EPOCH_TIME_UNIT_S, (known_epoch >> EPOCH_BITS) + 1)
    identity_bits = zlib.crc32(identity.encode()) % (1 << EPOCH_BITS) & ~OPERATOR_BIT
    return (started_at << EPOCH_BITS) + identity_bits + (OPERATOR_BIT if by_operator else 0)


def started_by_operator(epoch: int) -> bool:
    """Whether an operator started this epoch, which discards the log of the previous one."""
    return bool(epoch & OPERATOR_BIT)


@dataclass(slots=True)
class PersistentState:
    """The persistent state of figure 2 of the Raft paper, with the last snapshot.

    Messages that depend on a change may be sent only after the change is stored. `entries[0]` has the index
    `last_included_index + 1`.
    """

    identity: str
    epoch: int = 0
    current_term: int = 0
    voted_for: str = ""
    last_included_index: int = 0  # of the snapshot; 0: no snapshot
    last_included_term: int = 0
    snapshot_voters: tuple[str, ...] = ()
    snapshot_state: bytes = b""
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.last_included_index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at this index; None if it was compacted or is not in the log yet."""
        if index == self.last_included_index:
            return self.last_included_term
        if self.last_included_index < index <= self.last_index:
            return self.entries[index - self.last_included_index - 1].term
        return None

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The voter list at this index, committed or not."""
        for entry in reversed(self.entries[: index - self.last_included_index]):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot_voters

    @property
    def has_operations(self) -> bool:
        """Whether the log holds operations that may have been acknowledged to a client."""
        return self.last_included_index > 0 or any(entry.operation for entry in self.entries)
