"""Replication to one replica: its progress as the leader knows it, and chunked transfers. No I/O.

A byte limit bounds what is in flight to one replica: a message has entries of at most `BATCH_BYTES`. A
snapshot or a single larger entry is sent as a transfer: one chunk at a time, the next one after the answer to
the one before. Heartbeats are sent between two chunks, so a slow link delays nothing else.
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
CHUNK_BYTES = 64 * 1024  # of a transfer in one message


@dataclass(slots=True)
class OutgoingTransfer:
    """A message that is sent to a replica in chunks, one at a time."""

    transfer_id: int
    content: bytes
    round: int  # the leader's round at its start: an older rejection does not concern it
    offset: int = 0  # bytes that the replica has
    sent_at: int = 0  # of the last chunk

    def next_chunk(self, round_number: int) -> Chunk:
        """The chunk at `offset`: the last one again, if its answer was lost."""
        first = self.offset
        return Chunk(
            self.transfer_id,
            first,
            len(self.content),
            self.content[first : first + CHUNK_BYTES],
            round_number,
        )


@dataclass(slots=True)
class Progress:
    """What a leader knows of one replica."""

    next_index: int  # of the entry to send next
    match_index: int = 0  # the log matches the leader's up to here
    last_contact_at: int = 0
    last_acked_round: int = 0  # the leader's last heartbeat round that it has answered
    transfer: OutgoingTransfer | None = None
    pending_timestamp: Timestamp | None = None  # a round that starts after its arrival confirms it
    pending_timestamp_round: int = 0
    confirmed_timestamp: Timestamp | None = None


@dataclass(slots=True)
class CatchUpTarget:
    """The index that a replica must have to count as caught up: what was committed one to two heartbeats ago.

    What is committed right now is no such target. A leader that is kept busy has always committed something
    that is still on its way to the replica (section 4.2.1 of the thesis has the same reason for its rounds).
    """

    interval_us: int
    index: int = 0
    _latest: int = 0
    _sampled_at: int = 0

    def restart(self, index: int, now: int) -> None:
        """A new leadership, whose log ends at this index: a replica must have all of it."""
        self.index = index
        self._latest = index
        self._sampled_at = now

    def observe(self, commit_index: int, now: int) -> None:
        """Take note of the commit index, at least once in each heartbeat."""
        if now - self._sampled_at >= self.interval_us:
            self.index = self._latest
            self._latest = commit_index
            self._sampled_at = now


@dataclass(slots=True)
class IncomingTransfer:
    """A message that a replica receives in chunks."""

    key: tuple[str, int, int] = ("", 0, 0)  # sender, term, transfer id
    content: bytearray = field(default_factory=bytearray)
    response: AppendResponse | None = None  # once the message is complete

    def add(self, chunk: Chunk) -> None:
        """Append the chunk if it is the next one."""
        if chunk.offset == len(self.content):
            self.content += chunk.data


def size_of(entries: Sequence[Entry]) -> int:
    """Bytes of the operations of these entries."""
    return sum(len(entry.operation) for entry in entries)


def first_batch(entries: Sequence[Entry], max_entries: int) -> tuple[Entry, ...]:
    """The entries for one message: at least one, then as many as fit `BATCH_BYTES` and `max_entries`."""
    chosen: list[Entry] = []
    size = 0
    for entry in entries[:max_entries]:
        size += len(entry.operation)
        if chosen and size > BATCH_BYTES:
            break
        chosen.append(entry)
    return tuple(chosen)


def needs_transfer(body: AppendEntries | InstallSnapshot) -> bool:
    """Whether the message is too large to be sent at once. A snapshot always is a transfer, so that it is not
    sent again with each heartbeat.
    """
    return isinstance(body, InstallSnapshot) or size_of(body.entries) > BATCH_BYTES


def begin_transfer(number: int, body: AppendEntries | InstallSnapshot, now: int) -> OutgoingTransfer:
    """A transfer of this message, with nothing sent yet."""
    return OutgoingTransfer(number, encode_transfer(body), body.round, sent_at=now)
