"""What a voter must not forget, as frames of a file: pure, bytes in and out. The file itself:
transport/fleet_store.py.

    file   = MAGIC, frames
    frame  = length of the body, CRC-32 of the body, CRC-32 of these two (4 bytes each, little-endian), body
    body   = Promise | Entries | Base, in msgpack

Frames are added, and take effect in their order: a Promise replaces the one before, Entries replace all from
their first index on, a Base takes the place of all up to its index.

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


class DamagedError(Exception):
    """This is no memory that can be gone on with."""


class Promise(msgspec.Struct, frozen=True, tag=True):
    identity: str
    epoch: int
    term: int
    vote: str


class Entries(msgspec.Struct, frozen=True, tag=True):
    first: int
    entries: tuple[Entry, ...]


class Base(msgspec.Struct, frozen=True, tag=True):
    index: int
    term: int
    voters: tuple[str, ...]
    state: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Promise | Entries | Base)


def frame(body: Promise | Entries | Base) -> bytes:
    text = _encoder.encode(body)
    head = _number(len(text)) + _number(zlib.crc32(text))
    return head + _number(zlib.crc32(head)) + text


def _number(value: int) -> bytes:
    return value.to_bytes(NUMBER, "little")


def whole(memory: PersistentState) -> bytes:
    """A new file's content."""
    return MAGIC + b"".join(map(frame, whole_parts(memory)))


def whole_parts(memory: PersistentState) -> list[Promise | Entries | Base]:
    """All of a memory, to be taken in this order."""
    return [_promise(memory), _base(memory), _entries(memory, memory.base + 1)]


def changed(record: RaftNode) -> bytes:
    """The frames to be added for what has changed since the last call."""
    return b"".join(map(frame, changed_parts(record)))


def changed_parts(record: RaftNode) -> list[Promise | Entries | Base]:
    """What has changed since the last call, to be taken in this order; the record's marks are taken off."""
    memory, first = record.persistent, record.unsaved
    parts: list[Promise | Entries | Base] = []
    if record.promise_changed:
        parts.append(_promise(memory))
    if first is not None:
        if first <= memory.base:
            parts.append(_base(memory))
        parts.append(_entries(memory, max(first, memory.base + 1)))
    record.unsaved, record.promise_changed = None, False
    return parts


def _promise(memory: PersistentState) -> Promise:
    return Promise(memory.identity, memory.epoch, memory.term, memory.vote)


def _base(memory: PersistentState) -> Base:
    return Base(memory.base, memory.base_term, memory.base_voters, memory.base_state)


def _entries(memory: PersistentState, first: int) -> Entries:
    return Entries(first, tuple(memory.entries[first - memory.base - 1 :]))


def read(content: bytes) -> tuple[PersistentState, int]:
    """The memory, and how many bytes of the content are good. DamagedError if it is of no use."""
    if not content.startswith(MAGIC):
        raise DamagedError("not a fleet's memory, or of another version")
    memory, at = PersistentState(""), len(MAGIC)
    while at + HEAD <= len(content):
        numbers = [content[at + n : at + n + NUMBER] for n in range(0, HEAD, NUMBER)]
        length, check, head_check = (int.from_bytes(each, "little") for each in numbers)
        body = content[at + HEAD : at + HEAD + length]
        whole_head = zlib.crc32(numbers[0] + numbers[1]) == head_check
        if not whole_head or (len(body) == length and zlib.crc32(body) != check):
            raise DamagedError(f"another checksum at {at}")
        if len(body) < length:
            break
        try:
            take(memory, _decoder.decode(body))
        except msgspec.DecodeError as error:
            raise DamagedError(f"at {at}: {error}") from None
        at += HEAD + length
    if not memory.identity:
        raise DamagedError("it names nobody")
    return memory, at


def take(memory: PersistentState, body: Promise | Entries | Base) -> None:
    """Let a stored part take effect. DamagedError if it cannot stand here."""
    if isinstance(body, Promise):
        if body.epoch != memory.epoch:  # another epoch begins with nothing
            memory.entries, memory.base, memory.base_term = [], 0, 0
            memory.base_voters, memory.base_state = (), b""
        memory.identity, memory.epoch = body.identity, body.epoch
        memory.term, memory.vote = body.term, body.vote
    elif isinstance(body, Base):
        memory.entries = memory.entries[max(body.index - memory.base, 0) :]
        memory.base, memory.base_term = body.index, body.term
        memory.base_voters, memory.base_state = body.voters, body.state
    else:
        if body.first > memory.last + 1 or body.first <= memory.base:
            raise DamagedError(f"entries from {body.first} on after {memory.last}")
        memory.entries = [*memory.entries[: body.first - memory.base - 1], *body.entries]
