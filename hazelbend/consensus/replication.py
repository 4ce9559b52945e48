"""Replication to one replica: the leader's view of its progress, and chunked transfers. No I/O.

The bytes in flight to one replica are bounded: a message carries at most `BATCH_BYTES` of entries. A snapshot
or a larger single entry is sent as a transfer, one chunk at a time: the next chunk is sent after the answer
to the previous one. Heartbeats are sent between chunks, so a transfer on a slow link does not delay them.
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
    """A message that the leader sends to a replica in chunks, one at a time."""

    transfer_id: int
    content: bytes
    round: int  # the leader's round at the start: a rejection that answers an earlier round does not end it
    offset: int = 0  # bytes that the replica has
    sent_at: int = 0  # when the last chunk was sent

    def next_chunk(self, round_number: int) -> Chunk:
        """The chunk at `offset`. If the answer to the last chunk was lost, that is the same chunk again."""
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
    """A leader's view of one replica."""

    next_index: int  # index of the next entry to send
    match_index: int = 0  # the replica's log matches the leader's up to this index
    last_contact_at: int = 0
    last_acked_round: int = 0  # the highest heartbeat round that the replica has answered
    transfer: OutgoingTransfer | None = None
    pending_timestamp: Timestamp | None = None  # is confirmed by a round that starts after its arrival
    pending_timestamp_round: int = 0
    confirmed_timestamp: Timestamp | None = None


@dataclass(slots=True)
class CatchUpTarget:
    """The index that a replica must reach to count as caught up: the commit index one to two heartbeats ago.

    The current commit index is unsuitable: a busy leader has always just committed entries that are still in
    flight to the replica. Section 4.2.1 of the thesis uses rounds for the same reason.
    """

    interval_us: int
    index: int = 0
    _latest: int = 0
    _sampled_at: int = 0

    def restart(self, index: int, now: int) -> None:
        """Start a new leadership, whose log ends at this index: a replica must have the whole log."""
        self.index = index
        self._latest = index
        self._sampled_at = now

    def observe(self, commit_index: int, now: int) -> None:
        """Sample the commit index. Call it at least once in each heartbeat interval."""
        if now - self._sampled_at >= self.interval_us:
            self.index = self._latest
            self._latest = commit_index
            self._sampled_at = now


@dataclass(slots=True)
class IncomingTransfer:
    """A message that a replica receives in chunks."""

    key: tuple[str, int, int] = ("", 0, 0)  # sender, term, transfer id
    content: bytearray = field(default_factory=bytearray)
    response: AppendResponse | None = None  # set once the message is complete

    def add(self, chunk: Chunk) -> None:
        """Append the chunk if it is the next one."""
        if chunk.offset == len(self.content):
            self.content += chunk.data


def size_of(entries: Sequence[Entry]) -> int:
    """The total size of the operations of these entries, in bytes."""
    return sum(len(entry.operation) for entry in entries)


def first_batch(entries: Sequence[Entry], max_entries: int) -> tuple[Entry, ...]:
    """The entries for one message: at least one, and as many as fit into `BATCH_BYTES` and `max_entries`."""
    chosen: list[Entry] = []
    size = 0
    for entry in entries[:max_entries]:
        size += len(entry.operation)
        if chosen and size > BATCH_BYTES:
            break
        chosen.append(entry)
    return tuple(chosen)


def needs_transfer(body: AppendEntries | InstallSnapshot) -> bool:
    """Whether the message must be sent in chunks. A snapshot always is, so that it is not sent again with
    each heartbeat.
    """
    return isinstance(body, InstallSnapshot) or size_of(body.entries) > BATCH_BYTES


def begin_transfer(transfer_id: int, body: AppendEntries | InstallSnapshot, now: int) -> OutgoingTransfer:
    """A transfer of this message, with nothing sent yet."""
    return OutgoingTransfer(transfer_id, encode_transfer(body), body.round, sent_at=now)
