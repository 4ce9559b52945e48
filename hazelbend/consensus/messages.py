"""Messages between the members of a fleet, by msgspec; see record.py for what each means.

Every message can be lost, doubled, late, or out of order. Their tags are the names of earlier versions, with
which they interoperate.
"""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One fact of the record: a new list of voters, an operation of the machine, or, with neither,
    nothing."""

    term: int
    voters: tuple[str, ...] | None = None
    operation: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, tag="Ask"):
    """For a vote; `pre`: whether it would get one."""

    is_pre_vote: bool = msgspec.field(name="pre")
    last_log_index: int = msgspec.field(name="last")
    last_log_term: int = msgspec.field(name="last_term")
    is_leadership_transfer: bool = msgspec.field(
        default=False, name="handed"
    )  # the leader itself asked it to stand


class VoteResponse(msgspec.Struct, frozen=True, tag="Vote"):
    granted: bool
    is_pre_vote: bool = msgspec.field(name="pre")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """A time of one process's clock, in microseconds, and the life of that process that it belongs to."""

    incarnation: int
    time_us: int


class AppendEntries(msgspec.Struct, frozen=True, tag="Put"):
    """Entries after one that both should hold; without any, a heartbeat.

    `confirmed`: the newest stamp of the receiver after which a majority has confirmed the leader, so that all
    that was committed at that time lies at or below `commit`.
    """

    prev_log_index: int = msgspec.field(name="before")
    prev_log_term: int = msgspec.field(name="before_term")
    entries: tuple[Entry, ...]
    leader_commit: int = msgspec.field(name="commit")
    round: int
    confirmed_timestamp: Timestamp | None = msgspec.field(default=None, name="confirmed")


class InstallSnapshot(msgspec.Struct, frozen=True, tag="Install"):
    """The state after an entry, for who is too far behind for the entries."""

    last_included_index: int = msgspec.field(name="base")
    last_included_term: int = msgspec.field(name="base_term")
    voters: tuple[str, ...]
    state: bytes
    round: int


class Chunk(msgspec.Struct, frozen=True, tag="Piece"):
    """A part of an encoded `AppendEntries` or `InstallSnapshot` that is too large for one message. The
    leader's `number` names the transfer within its term."""

    transfer_id: int = msgspec.field(name="number")
    offset: int
    total_bytes: int = msgspec.field(name="total")
    data: bytes
    round: int


class ChunkResponse(msgspec.Struct, frozen=True, tag="PieceTaken"):
    """Bytes of this transfer that the replica holds; 0 where it knows nothing of it, as after a restart."""

    transfer_id: int = msgspec.field(name="number")
    offset: int
    round: int


class AppendResponse(msgspec.Struct, frozen=True, tag="Taken"):
    """`ok`: all up to this index is held as the leader holds it; else up to it may be. `stamp`: the sender's
    time, which comes back in `AppendEntries.confirmed`."""

    success: bool = msgspec.field(name="ok")
    index: int
    round: int
    timestamp: Timestamp | None = msgspec.field(default=None, name="stamp")


class TimeoutNow(msgspec.Struct, frozen=True, tag="TimeIsUp"):
    """Stand for election at once: the leader hands over."""


Body = (
    VoteRequest
    | VoteResponse
    | AppendEntries
    | InstallSnapshot
    | Chunk
    | ChunkResponse
    | AppendResponse
    | TimeoutNow
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    to: str
    epoch: int
    term: int
    body: Body


_encoder = msgspec.msgpack.Encoder()
_transferred = msgspec.msgpack.Decoder(AppendEntries | InstallSnapshot)


def encode_transfer(body: AppendEntries | InstallSnapshot) -> bytes:
    """What goes out in pieces."""
    return _encoder.encode(body)


def decode_transfer(content: bytes) -> AppendEntries | InstallSnapshot:
    """What has come in pieces.

    Raises:
        msgspec.DecodeError: it is none.
    """
    return _transferred.decode(content)
