"""What a voter must not forget, and the numbers of epochs.

An epoch's last bit says who founded it: 0, the first start of a fleet; 1, an operator, whose word lets others
drop what they hold for the new record.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from hazelbend.consensus.messages import Entry

EPOCH_BITS = 8  # of an epoch below the time at which it was started
EPOCH_S = 16  # seconds that such a time is counted in, so that tokens have room for their count
BY_OPERATOR = 1  # the last bit of an epoch that an operator has founded


def next_epoch(known: int, unix_s: float, identity: str, by_operator: bool = True) -> int:
    """For a new epoch: above the known one, and above those that nobody remembers as far as the wall clock is
    right; two that are founded at once get two numbers, but for one time in 128."""
    after = max(int(unix_s) // EPOCH_S, (known >> EPOCH_BITS) + 1)
    founder = zlib.crc32(identity.encode()) % (1 << EPOCH_BITS) & ~BY_OPERATOR
    return (after << EPOCH_BITS) + founder + (BY_OPERATOR if by_operator else 0)


def started_by_operator(epoch: int) -> bool:
    """Whether an operator has founded this epoch, knowing that the record before it is given up."""
    return bool(epoch & BY_OPERATOR)


@dataclass(slots=True)
class PersistentState:
    """All that a voter must not forget. `entries[0]` is the one after `base`."""

    identity: str
    epoch: int = 0
    current_term: int = 0
    voted_for: str = ""
    last_included_index: int = 0
    last_included_term: int = 0
    snapshot_voters: tuple[str, ...] = ()
    snapshot_state: bytes = b""
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        return self.last_included_index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """None: not held any more, or not yet."""
        if index == self.last_included_index:
            return self.last_included_term
        return (
            self.entries[index - self.last_included_index - 1].term
            if self.last_included_index < index <= self.last_index
            else None
        )

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The list in force there, committed or not."""
        for entry in reversed(self.entries[: index - self.last_included_index]):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot_voters

    @property
    def has_operations(self) -> bool:
        """Whether it holds anything that may have been acknowledged."""
        return self.last_included_index > 0 or any(entry.operation for entry in self.entries)
