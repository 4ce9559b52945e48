"""What a voter must not forget, as frames of a file: pure, bytes in and out. The file itself:
transport/fleet_store.py.

    file   = MAGIC, frames
    frame  = length of the body, CRC-32 of the body, CRC-32 of these two (4 bytes each, little-endian), body
    body   = HardState | LogEntries | Snapshot, in msgpack

Frames are added, and take effect in their order: a HardState replaces the one before, LogEntries
replace all from their first index on, a Snapshot takes the place of all up to its index.

Reading, in doubt a voter is somebody new (see record.py), so nothing is ever guessed:
    - a last frame that is shorter than it says was being written when the process died. It was never
      confirmed, so nobody was told anything that rests on it: it is dropped;
    - a checksum that differs, an index that leaves a gap, another format: `DamagedError`. The head has a
      checksum of its own, as a changed length would look like a last frame that is short, and promises
      after it be dropped.
"""

from __future__ import annotations

import zlib

import msgspec

from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode

MAGIC = b"hazelbend-fleet 1\n"
NUMBER = 4  # bytes of a number in a head
HEAD = 3 * NUMBER


class CorruptStateError(Exception):
    """This is no memory that can be gone on with."""


class HardState(msgspec.Struct, frozen=True, tag="Promise"):
    identity: str
    epoch: int
    current_term: int = msgspec.field(name="term")
    voted_for: str = msgspec.field(name="vote")


class LogEntries(msgspec.Struct, frozen=True, tag="Entries"):
    first_index: int = msgspec.field(name="first")
    entries: tuple[Entry, ...]


class Snapshot(msgspec.Struct, frozen=True, tag="Base"):
    last_included_index: int = msgspec.field(name="index")
    last_included_term: int = msgspec.field(name="term")
    voters: tuple[str, ...]
    state: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(HardState | LogEntries | Snapshot)


def encode_frame(body: HardState | LogEntries | Snapshot) -> bytes:
    text = _encoder.encode(body)
    head = _number(len(text)) + _number(zlib.crc32(text))
    return head + _number(zlib.crc32(head)) + text


def _number(value: int) -> bytes:
    return value.to_bytes(NUMBER, "little")


def encode_state(memory: PersistentState) -> bytes:
    """A new file's content."""
    return MAGIC + b"".join(map(encode_frame, state_records(memory)))


def state_records(memory: PersistentState) -> list[HardState | LogEntries | Snapshot]:
    """All of a memory, to be taken in this order."""
    return [_promise(memory), _base(memory), _entries(memory, memory.last_included_index + 1)]


def encode_changes(record: RaftNode) -> bytes:
    """The frames to be added for what has changed since the last call."""
    return b"".join(map(encode_frame, take_changed_records(record)))


def take_changed_records(record: RaftNode) -> list[HardState | LogEntries | Snapshot]:
    """What has changed since the last call, to be taken in this order; the record's marks are taken off."""
    memory, first = record.persistent, record.first_unsaved_index
    parts: list[HardState | LogEntries | Snapshot] = []
    if record.hard_state_changed:
        parts.append(_promise(memory))
    if first is not None:
        if first <= memory.last_included_index:
            parts.append(_base(memory))
        parts.append(_entries(memory, max(first, memory.last_included_index + 1)))
    record.first_unsaved_index, record.hard_state_changed = None, False
    return parts


def _promise(memory: PersistentState) -> HardState:
    return HardState(memory.identity, memory.epoch, memory.current_term, memory.voted_for)


def _base(memory: PersistentState) -> Snapshot:
    return Snapshot(
        memory.last_included_index, memory.last_included_term, memory.snapshot_voters, memory.snapshot_state
    )


def _entries(memory: PersistentState, first: int) -> LogEntries:
    return LogEntries(first, tuple(memory.entries[first - memory.last_included_index - 1 :]))


def decode_state(content: bytes) -> tuple[PersistentState, int]:
    """The memory, and how many bytes of the content are good. DamagedError if it is of no use."""
    if not content.startswith(MAGIC):
        raise CorruptStateError("not a fleet's memory, or of another version")
    memory, at = PersistentState(""), len(MAGIC)
    while at + HEAD <= len(content):
        numbers = [content[at + n : at + n + NUMBER] for n in range(0, HEAD, NUMBER)]
        length, check, head_check = (int.from_bytes(each, "little") for each in numbers)
        body = content[at + HEAD : at + HEAD + length]
        whole_head = zlib.crc32(numbers[0] + numbers[1]) == head_check
        if not whole_head or (len(body) == length and zlib.crc32(body) != check):
            raise CorruptStateError(f"another checksum at {at}")
        if len(body) < length:
            break
        try:
            apply_record(memory, _decoder.decode(body))
        except msgspec.DecodeError as error:
            raise CorruptStateError(f"at {at}: {error}") from None
        at += HEAD + length
    if not memory.identity:
        raise CorruptStateError("it names nobody")
    return memory, at


def apply_record(memory: PersistentState, body: HardState | LogEntries | Snapshot) -> None:
    """Let a stored part take effect. DamagedError if it cannot stand here."""
    if isinstance(body, HardState):
        if body.epoch != memory.epoch:  # another epoch begins with nothing
            memory.entries, memory.last_included_index, memory.last_included_term = [], 0, 0
            memory.snapshot_voters, memory.snapshot_state = (), b""
        memory.identity, memory.epoch = body.identity, body.epoch
        memory.current_term, memory.voted_for = body.current_term, body.voted_for
    elif isinstance(body, Snapshot):
        memory.entries = memory.entries[max(body.last_included_index - memory.last_included_index, 0) :]
        memory.last_included_index, memory.last_included_term = (
            body.last_included_index,
            body.last_included_term,
        )
        memory.snapshot_voters, memory.snapshot_state = body.voters, body.state
    else:
        if body.first_index > memory.last_index + 1 or body.first_index <= memory.last_included_index:
            raise CorruptStateError(f"entries from {body.first_index} on after {memory.last_index}")
        memory.entries = [*memory.entries[: body.first_index - memory.last_included_index - 1], *body.entries]
