"""What a leader knows of each replica, and messages in pieces. Pure.

Bytes bound what is under way to one replica: a message holds entries of at most `BATCH_BYTES`, and what is
larger, a snapshot or a single large entry, goes out as a transfer: one piece at a time, the next one when the
one before was answered. Heartbeats pass between two pieces, so a slow link holds up nothing else.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hazelbend.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Chunk,
    Entry,
    InstallSnapshot,
    Timestamp,
    encode_transfer,
)

BATCH_BYTES = 64 * 1024  # of entries in one message
PIECE_BYTES = 64 * 1024  # of a transfer in one message


@dataclass(slots=True)
class OutgoingTransfer:
    """A message that goes to a replica in pieces, one at a time."""

    transfer_id: int
    content: bytes
    round: int  # the leader's round when it began: an older refusal does not concern it
    offset: int = 0  # bytes that the replica holds
    sent_at: int = 0

    def piece(self, round_number: int) -> Chunk:
        """The next one; the last one again where its answer was lost."""
        first = self.offset
        return Chunk(
            self.transfer_id,
            first,
            len(self.content),
            self.content[first : first + PIECE_BYTES],
            round_number,
        )


@dataclass(slots=True)
class Progress:
    """How far one replica is, as its leader knows."""

    next_index: int  # index of the entry to send next
    match_index: int = 0  # all up to it is held
    last_contact_at: int = 0
    answered_round: int = 0  # the last of the leader's rounds that it has answered
    transfer: OutgoingTransfer | None = None
    pending_timestamp: Timestamp | None = None  # to be confirmed by a round that begins after it has come
    pending_timestamp_round: int = 0
    confirmed_timestamp: Timestamp | None = None


@dataclass(slots=True)
class IncomingTransfer:
    """A message that comes in pieces, at the replica."""

    key: tuple[str, int, int] = ("", 0, 0)  # sender, term, number
    content: bytearray = field(default_factory=bytearray)
    answer: AppendResponse | None = None  # once it is whole

    def add(self, piece: Chunk) -> None:
        """Take the piece if it is the next one."""
        if piece.offset == len(self.content):
            self.content += piece.data


def size_of(entries: Sequence[Entry]) -> int:
    """Bytes of their operations."""
    return sum(len(entry.operation) for entry in entries)


def batch(entries: Sequence[Entry], most: int) -> tuple[Entry, ...]:
    """The first entries: one at least, then so many as fit into `BATCH_BYTES`, and at most `most`."""
    chosen: list[Entry] = []
    size = 0
    for entry in entries[:most]:
        size += len(entry.operation)
        if chosen and size > BATCH_BYTES:
            break
        chosen.append(entry)
    return tuple(chosen)


def needs_transfer(body: AppendEntries | InstallSnapshot) -> bool:
    """Whether it is too large for one message. A snapshot always goes as a transfer, so that it is not sent
    again with each heartbeat."""
    return isinstance(body, InstallSnapshot) or size_of(body.entries) > BATCH_BYTES


def begin_transfer(number: int, body: AppendEntries | InstallSnapshot, now: int) -> OutgoingTransfer:
    """A transfer of this message, of which nothing is sent yet."""
    return OutgoingTransfer(number, encode_transfer(body), body.round, sent_at=now)
