"""The replicated state machine of the configuration: a compare-and-set on its version."""

from __future__ import annotations

import zlib
from enum import Enum
from hashlib import blake2b

import msgspec

DIGEST_BYTES = 16
KEPT_DIGESTS = 4_096  # accepted changes that a resend is known by: 100 KB of a snapshot at most
COMPRESSION = 1  # of zlib: configurations are text that repeats itself, and processor time is dear


class ChangeResult(Enum):
    """What became of a proposed change."""

    ACCEPTED = "accepted"  # now, or when it was sent before
    CONFLICT = "conflict"  # another version is current
    NOT_ABOVE = "not above"  # its version is not above the current one
    FORGOTTEN = "forgotten"  # it builds on a version so old that nobody knows whether it was taken


class ConfigChange(msgspec.Struct, frozen=True, tag=True):
    """One proposed configuration, as an entry of the log. `body` is compressed."""

    base: int
    version: int
    digest: bytes
    body: bytes


class ForceNewCluster(msgspec.Struct, frozen=True, tag="Refound"):
    """The first entry of a record that an operator has founded anew: the state of the one who founds."""

    state: bytes


class StoredConfig(msgspec.Struct, frozen=True):
    """A configuration in force. Version 0 is no configuration; `body` is compressed."""

    version: int = 0
    body: bytes = b""


class _Snapshot(msgspec.Struct, frozen=True):
    current: StoredConfig
    accepted: list[bytes]  # digests
    bases: list[int] = []  # that the accepted changes build on; earlier formats have none
    floor: int = 0


_encoder = msgspec.msgpack.Encoder()
_entries = msgspec.msgpack.Decoder(ConfigChange | ForceNewCluster)
_snapshots = msgspec.msgpack.Decoder(_Snapshot)


def digest_of(base: int, body: bytes) -> bytes:
    """Names one change: the same bytes on the same version."""
    return blake2b(b"%d\n" % base + body, digest_size=DIGEST_BYTES).digest()


def encode_config_change(base: int, version: int, body: bytes) -> bytes:
    """The log entry that proposes this configuration."""
    return _encoder.encode(
        ConfigChange(base, version, digest_of(base, body), zlib.compress(body, COMPRESSION))
    )


def encode_force_new_cluster(state: bytes) -> bytes:
    """The log entry that begins a new record with this state."""
    return _encoder.encode(ForceNewCluster(state))


def decompress_body(config: StoredConfig) -> bytes:
    """The configuration's text as it was sent."""
    return zlib.decompress(config.body)


class ConfigStateMachine:
    """Implements `consensus.replicated_log.StateMachine`.

    Of the newest `KEPT_DIGESTS` accepted changes it knows the digest and the version that each builds on.
    Each builds on the one before, so a change that builds on `floor` or a later version, and is not among
    them, was surely never accepted; of an older one nobody can tell.
    """

    def __init__(self) -> None:
        self.current = StoredConfig()
        self.floor = 0
        self.accepted: dict[bytes, int] = {}  # by digest: the base of each, in their order

    def begin(self, epoch: int) -> None:
        """Start with nothing."""
        self.current, self.accepted, self.floor = StoredConfig(), {}, 0

    def apply(self, index: int, op: bytes) -> ChangeResult:
        """Take one committed entry."""
        change = _entries.decode(op)
        if isinstance(change, ForceNewCluster):
            self.restore(change.state)
            return ChangeResult.ACCEPTED
        if change.digest in self.accepted:
            return ChangeResult.ACCEPTED
        if change.base < self.floor:
            return ChangeResult.FORGOTTEN
        if change.base != self.current.version:
            return ChangeResult.CONFLICT
        if change.version <= self.current.version:
            return ChangeResult.NOT_ABOVE
        self.current = StoredConfig(change.version, change.body)
        self._remember(change)
        return ChangeResult.ACCEPTED

    def _remember(self, change: ConfigChange) -> None:
        self.accepted[change.digest] = change.base
        while len(self.accepted) > KEPT_DIGESTS:
            del self.accepted[next(iter(self.accepted))]
            self.floor = next(iter(self.accepted.values()))

    def snapshot(self) -> bytes:
        """The whole state."""
        bases = list(self.accepted.values())
        return _encoder.encode(_Snapshot(self.current, list(self.accepted), bases, self.floor))

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's."""
        found = _snapshots.decode(state)
        # Without bases each may build on any version up to the current one.
        bases = found.bases or [found.current.version] * len(found.accepted)
        self.current, self.floor = found.current, found.floor
        self.accepted = dict(zip(found.accepted, bases, strict=True))
