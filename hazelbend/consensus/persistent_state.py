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


def epoch_number(known: int, unix_s: float, identity: str, by_operator: bool = True) -> int:
    """For a new epoch: above the known one, and above those that nobody remembers as far as the wall clock is
    right; two that are founded at once get two numbers, but for one time in 128."""
    after = max(int(unix_s) // EPOCH_S, (known >> EPOCH_BITS) + 1)
    founder = zlib.crc32(identity.encode()) % (1 << EPOCH_BITS) & ~BY_OPERATOR
    return (after << EPOCH_BITS) + founder + (BY_OPERATOR if by_operator else 0)


def founded_by_operator(epoch: int) -> bool:
    """Whether an operator has founded this epoch, knowing that the record before it is given up."""
    return bool(epoch & BY_OPERATOR)


@dataclass(slots=True)
class PersistentState:
    """All that a voter must not forget. `entries[0]` is the one after `base`."""

    identity: str
    epoch: int = 0
    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    base_voters: tuple[str, ...] = ()
    base_state: bytes = b""
    entries: list[Entry] = field(default_factory=list)

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """None: not held any more, or not yet."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The list in force there, committed or not."""
        for entry in reversed(self.entries[: index - self.base]):
            if entry.voters is not None:
                return entry.voters
        return self.base_voters

    @property
    def has_operations(self) -> bool:
        """Whether it holds anything that may have been acknowledged."""
        return self.base > 0 or any(entry.op for entry in self.entries)
