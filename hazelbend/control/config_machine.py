"""The replicated state machine of the configuration: a compare-and-set on its version."""

from __future__ import annotations

import zlib
from enum import Enum
from hashlib import blake2b

import msgspec

DIGEST_BYTES = 16
COMPRESSION = 1  # of zlib: configurations are text that repeats itself, and processor time is dear


class ChangeResult(Enum):
    """What became of a proposed change."""

    ACCEPTED = "accepted"  # now, or when it was sent before
    CONFLICT = "conflict"  # another version is current
    NOT_ABOVE = "not above"  # its version is not above the current one


class ConfigChange(msgspec.Struct, frozen=True, tag=True):
    """One proposed configuration, as an entry of the log. `body` is compressed."""

    base: int
    version: int
    digest: bytes
    body: bytes


class Refound(msgspec.Struct, frozen=True, tag=True):
    """The first entry of a record that an operator has founded anew: the state of the one who founds."""

    state: bytes


class StoredConfig(msgspec.Struct, frozen=True):
    """A configuration in force. Version 0 is no configuration; `body` is compressed."""

    version: int = 0
    body: bytes = b""


class _Snapshot(msgspec.Struct, frozen=True):
    current: StoredConfig
    accepted: list[bytes]


_encoder = msgspec.msgpack.Encoder()
_entries = msgspec.msgpack.Decoder(ConfigChange | Refound)
_snapshots = msgspec.msgpack.Decoder(_Snapshot)


def digest_of(base: int, body: bytes) -> bytes:
    """Names one change: the same bytes on the same version."""
    return blake2b(b"%d\n" % base + body, digest_size=DIGEST_BYTES).digest()


def change_entry(base: int, version: int, body: bytes) -> bytes:
    """The log entry that proposes this configuration."""
    return _encoder.encode(
        ConfigChange(base, version, digest_of(base, body), zlib.compress(body, COMPRESSION))
    )


def refound_entry(state: bytes) -> bytes:
    """The log entry that begins a new record with this state."""
    return _encoder.encode(Refound(state))


def plain_body(config: StoredConfig) -> bytes:
    """The configuration's text as it was sent."""
    return zlib.decompress(config.body)


class ConfigMachine:
    """Implements `fleet.record.Machine`."""

    def __init__(self) -> None:
        self.current = StoredConfig()
        self.accepted: dict[bytes, None] = {}  # digests of all accepted changes, in their order

    def begin(self, epoch: int) -> None:
        """Start with nothing."""
        self.current, self.accepted = StoredConfig(), {}

    def apply(self, index: int, op: bytes) -> ChangeResult:
        """Take one committed entry."""
        change = _entries.decode(op)
        if isinstance(change, Refound):
            self.restore(change.state)
            return ChangeResult.ACCEPTED
        if change.digest in self.accepted:
            return ChangeResult.ACCEPTED
        if change.base != self.current.version:
            return ChangeResult.CONFLICT
        if change.version <= self.current.version:
            return ChangeResult.NOT_ABOVE
        self.current = StoredConfig(change.version, change.body)
        self.accepted[change.digest] = None
        return ChangeResult.ACCEPTED

    def snapshot(self) -> bytes:
        """The whole state."""
        return _encoder.encode(_Snapshot(self.current, list(self.accepted)))

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's."""
        found = _snapshots.decode(state)
        self.current, self.accepted = found.current, dict.fromkeys(found.accepted)
