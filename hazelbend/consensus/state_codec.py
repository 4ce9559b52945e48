"""Encodes a node's persistent state as records, and as frames of a file. No I/O: see transport/storage.

    file   = MAGIC, frames
    frame  = header, body
    header = length of the body, CRC-32 of the body, CRC-32 of these two (4 bytes each, little-endian)
    body   = HardState | LogEntries | Snapshot, in msgpack

Records are applied in order: a `HardState` replaces the previous one, `LogEntries` replace all entries from
their first index on, a `Snapshot` replaces all entries up to its index.

A node whose stored state may be damaged must start as a new one (see raft.py), so decoding is strict:
    - A last frame that is shorter than its length was being written when the process ended. No message that
      depends on it was sent, so the frame is dropped.
    - A wrong checksum, a gap in the log or an unknown format raises `CorruptStateError`. The header has its
      own checksum, because a corrupted length would make a frame, and all frames after it, look like a torn
      last frame.
"""

from __future__ import annotations

import zlib

import msgspec

from hazelbend.consensus.errors import CorruptStateError
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode

MAGIC = b"hazelbend-fleet 1\n"
INTEGER_BYTES = 4
HEADER_BYTES = 3 * INTEGER_BYTES


# Tags and `name=` keep the stored names of earlier versions.
class HardState(msgspec.Struct, frozen=True, tag="Promise"):
    """Identity, epoch, term and vote."""

    identity: str
    epoch: int
    current_term: int = msgspec.field(name="term")
    voted_for: str = msgspec.field(name="vote")


class LogEntries(msgspec.Struct, frozen=True, tag="Entries"):
    """The log entries from `first_index` to the end of the log."""

    first_index: int = msgspec.field(name="first")
    entries: tuple[Entry, ...]


class Snapshot(msgspec.Struct, frozen=True, tag="Base"):
    """The state machine and the voters at `last_included_index`."""

    last_included_index: int = msgspec.field(name="index")
    last_included_term: int = msgspec.field(name="term")
    voters: tuple[str, ...]
    state: bytes


StateRecord = HardState | LogEntries | Snapshot

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateRecord)


def encode_frame(record: StateRecord) -> bytes:
    """One record with its header."""
    body = _encoder.encode(record)
    header = _encode_integer(len(body)) + _encode_integer(zlib.crc32(body))
    return header + _encode_integer(zlib.crc32(header)) + body


def _encode_integer(value: int) -> bytes:
    return value.to_bytes(INTEGER_BYTES, "little")


def encode_state(state: PersistentState) -> bytes:
    """The complete content of a new file."""
    return MAGIC + b"".join(map(encode_frame, state_records(state)))


def state_records(state: PersistentState) -> list[StateRecord]:
    """The records of the complete state."""
    return [_hard_state(state), _snapshot(state), _log_entries(state, state.last_included_index + 1)]


def encode_changes(raft: RaftNode) -> bytes:
    """The frames to append to the file for all changes since the last call."""
    return b"".join(map(encode_frame, take_changed_records(raft)))


def take_changed_records(raft: RaftNode) -> list[StateRecord]:
    """The records of all changes since the last call; marks these changes as saved."""
    state = raft.persistent
    first_index = raft.first_unsaved_index
    records: list[StateRecord] = []
    if raft.hard_state_changed:
        records.append(_hard_state(state))
    if first_index is not None:
        if first_index <= state.last_included_index:
            records.append(_snapshot(state))
        records.append(_log_entries(state, max(first_index, state.last_included_index + 1)))
    raft.first_unsaved_index = None
    raft.hard_state_changed = False
    return records


def _hard_state(state: PersistentState) -> HardState:
    return HardState(state.identity, state.epoch, state.current_term, state.voted_for)


def _snapshot(state: PersistentState) -> Snapshot:
    return Snapshot(
        state.last_included_index, state.last_included_term, state.snapshot_voters, state.snapshot_state
    )


def _log_entries(state: PersistentState, first_index: int) -> LogEntries:
    return LogEntries(first_index, tuple(state.entries[first_index - state.last_included_index - 1 :]))


def decode_state(content: bytes) -> tuple[PersistentState, int]:
    """The state, and the length of the content without a torn last frame.

    Raises:
        CorruptStateError: the content is damaged or in an unknown format; see the module docstring.
    """
    if not content.startswith(MAGIC):
        raise CorruptStateError("unknown format or version")
    state = PersistentState("")
    offset = len(MAGIC)
    while offset + HEADER_BYTES <= len(content):
        body = _read_body(content, offset)
        if body is None:
            break
        try:
            apply_record(state, _decoder.decode(body))
        except msgspec.DecodeError as error:
            raise CorruptStateError(f"at byte {offset}: {error}") from None
        offset += HEADER_BYTES + len(body)
    if not state.identity:
        raise CorruptStateError("identity is missing")
    return state, offset


def _read_body(content: bytes, offset: int) -> bytes | None:
    """The body of the frame at this offset; None if the frame is torn."""
    header = content[offset : offset + HEADER_BYTES]
    length = int.from_bytes(header[:INTEGER_BYTES], "little")
    body_checksum = int.from_bytes(header[INTEGER_BYTES : 2 * INTEGER_BYTES], "little")
    header_checksum = int.from_bytes(header[2 * INTEGER_BYTES :], "little")
    body = content[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
    header_is_valid = zlib.crc32(header[: 2 * INTEGER_BYTES]) == header_checksum
    if not header_is_valid or (len(body) == length and zlib.crc32(body) != body_checksum):
        raise CorruptStateError(f"wrong checksum at byte {offset}")
    return body if len(body) == length else None


def apply_record(state: PersistentState, record: StateRecord) -> None:
    """Apply one stored record to the state.

    Raises:
        CorruptStateError: the entries leave a gap in the log, or overlap with the snapshot.
    """
    if isinstance(record, HardState):
        _apply_hard_state(state, record)
    elif isinstance(record, Snapshot):
        state.entries = state.entries[max(record.last_included_index - state.last_included_index, 0) :]
        state.last_included_index = record.last_included_index
        state.last_included_term = record.last_included_term
        state.snapshot_voters = record.voters
        state.snapshot_state = record.state
    else:
        first_index = record.first_index
        if first_index > state.last_index + 1 or first_index <= state.last_included_index:
            raise CorruptStateError(
                f"entries start at index {first_index}, but the log ends at {state.last_index} "
                f"and the snapshot at {state.last_included_index}"
            )
        kept = state.entries[: first_index - state.last_included_index - 1]
        state.entries = [*kept, *record.entries]


def _apply_hard_state(state: PersistentState, record: HardState) -> None:
    if record.epoch != state.epoch:  # a new epoch starts with an empty log
        state.entries = []
        state.last_included_index = 0
        state.last_included_term = 0
        state.snapshot_voters = ()
        state.snapshot_state = b""
    state.identity = record.identity
    state.epoch = record.epoch
    state.current_term = record.current_term
    state.voted_for = record.voted_for
