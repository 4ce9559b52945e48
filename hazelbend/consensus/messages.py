"""Messages between Raft nodes, encoded by msgspec.

Names follow figures 2 and 13 of the Raft paper (Ongaro and Ousterhout, 2014). Any message can be lost,
duplicated, delayed or reordered. Tags and `name=` keep the names of earlier versions on the wire.
"""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry: a new voter list, an operation of the state machine, or neither (a no-op)."""

    term: int
    voters: tuple[str, ...] | None = None
    operation: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, tag="Ask"):
    """RequestVote. A pre-vote queries whether the receiver would grant its vote, without changing the
    receiver's state (section 9.6 of Ongaro's thesis).
    """

    is_pre_vote: bool = msgspec.field(name="pre")
    last_log_index: int = msgspec.field(name="last")
    last_log_term: int = msgspec.field(name="last_term")
    is_leadership_transfer: bool = msgspec.field(default=False, name="handed")


class VoteResponse(msgspec.Struct, frozen=True, tag="Vote"):
    """The answer to a `VoteRequest`."""

    granted: bool
    is_pre_vote: bool = msgspec.field(name="pre")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """A time of one process's monotonic clock, in microseconds. It is not comparable with times of other
    processes, or of other incarnations of the same process.
    """

    incarnation: int
    time_us: int


class AppendEntries(msgspec.Struct, frozen=True, tag="Put"):
    """The entries after `prev_log_index`; without entries, a heartbeat.

    `round`: the leader's heartbeat round. `confirmed_timestamp`: the newest timestamp of the receiver after
    which a quorum has confirmed the leader. Everything that was committed at that time is at or below
    `leader_commit`.
    """

    prev_log_index: int = msgspec.field(name="before")
    prev_log_term: int = msgspec.field(name="before_term")
    entries: tuple[Entry, ...]
    leader_commit: int = msgspec.field(name="commit")
    round: int
    confirmed_timestamp: Timestamp | None = msgspec.field(default=None, name="confirmed")


class InstallSnapshot(msgspec.Struct, frozen=True, tag="Install"):
    """A snapshot, for a replica whose next entry the leader has compacted away."""

    last_included_index: int = msgspec.field(name="base")
    last_included_term: int = msgspec.field(name="base_term")
    voters: tuple[str, ...]
    state: bytes
    round: int


class Chunk(msgspec.Struct, frozen=True, tag="Piece"):
    """A chunk of an encoded `AppendEntries` or `InstallSnapshot` that is too large for one message.
    `transfer_id` is unique within the leader's term.
    """

    transfer_id: int = msgspec.field(name="number")
    offset: int
    total_bytes: int = msgspec.field(name="total")
    data: bytes
    round: int


class ChunkResponse(msgspec.Struct, frozen=True, tag="PieceTaken"):
    """The answer to a `Chunk`. `offset`: the bytes of the transfer that the replica has; 0 if it does not
    know the transfer, for example after a restart.
    """

    transfer_id: int = msgspec.field(name="number")
    offset: int
    round: int


class AppendResponse(msgspec.Struct, frozen=True, tag="Taken"):
    """The answer to `AppendEntries` and `InstallSnapshot`.

    `index`: with `success`, the log matches the leader's up to this index. Without it, the log may match up
    to this index, and the leader sends the entries after it. `timestamp`: the sender's time, which the leader
    returns in `AppendEntries.confirmed_timestamp`.
    """

    success: bool = msgspec.field(name="ok")
    index: int
    round: int
    timestamp: Timestamp | None = msgspec.field(default=None, name="stamp")


class TimeoutNow(msgspec.Struct, frozen=True, tag="TimeIsUp"):
    """Makes the receiver campaign at once, for a leadership transfer (section 3.10 of the thesis)."""


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
    """A body with its envelope. `sender` and `to` are identities."""

    sender: str
    to: str
    epoch: int
    term: int
    body: Body


_encoder = msgspec.msgpack.Encoder()
_transfer_decoder = msgspec.msgpack.Decoder(AppendEntries | InstallSnapshot)


def encode_transfer(body: AppendEntries | InstallSnapshot) -> bytes:
    """Encode the message whose bytes a transfer sends in chunks."""
    return _encoder.encode(body)


def decode_transfer(content: bytes) -> AppendEntries | InstallSnapshot:
    """Decode the message of a completed transfer.

    Raises:
        msgspec.DecodeError: the content is not a message.
    """
    return _transfer_decoder.decode(content)
