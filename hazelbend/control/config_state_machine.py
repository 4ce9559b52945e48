"""The replicated state machine of the configuration: a compare-and-set on its version.

The names on the wire and in stored snapshots are older than the names here; renamed classes pin their tags.
"""

from __future__ import annotations

import zlib
from enum import Enum
from hashlib import blake2b

import msgspec

DIGEST_BYTES = 16
MAX_ACCEPTED_DIGESTS = 4_096  # accepted changes that a resend is recognized by: 100 KB of a snapshot at most
ZLIB_LEVEL = 1  # the fastest: configurations are text that repeats itself, and processor time is scarce


class ChangeResult(Enum):
    """How a proposed change was decided."""

    ACCEPTED = "accepted"  # now, or when it was sent before
    CONFLICT = "conflict"  # another version is current
    VERSION_NOT_NEWER = "not above"  # its version is not above the current one
    BASE_TOO_OLD = "forgotten"  # its base is so old that nobody knows whether it was accepted


class ConfigChange(msgspec.Struct, frozen=True, tag=True):
    """One proposed configuration, as an entry of the log. `body` is compressed."""

    base: int
    version: int
    digest: bytes
    body: bytes


class ForceNewCluster(msgspec.Struct, frozen=True, tag="Refound"):
    """The first log entry of a cluster that an operator forced: the state of the process that formed it."""

    state: bytes


class StoredConfig(msgspec.Struct, frozen=True):
    """A configuration in force. Version 0 is no configuration; `body` is compressed."""

    version: int = 0
    body: bytes = b""


class _Snapshot(msgspec.Struct, frozen=True):
    current: StoredConfig
    accepted_digests: list[bytes] = msgspec.field(name="accepted")
    bases: list[int] = []  # of the accepted changes, in the same order; earlier formats have none
    floor: int = 0


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(ConfigChange | ForceNewCluster)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def digest_of(base: int, body: bytes) -> bytes:
    """Identifies one change: the same bytes on the same version."""
    return blake2b(b"%d\n" % base + body, digest_size=DIGEST_BYTES).digest()


def encode_config_change(base: int, version: int, body: bytes) -> bytes:
    """The log entry that proposes this configuration."""
    change = ConfigChange(base, version, digest_of(base, body), zlib.compress(body, ZLIB_LEVEL))
    return _encoder.encode(change)


def encode_force_new_cluster(state: bytes) -> bytes:
    """The log entry that starts a new cluster with this snapshot."""
    return _encoder.encode(ForceNewCluster(state))


def decompress_body(config: StoredConfig) -> bytes:
    """The configuration's text as the operator sent it."""
    return zlib.decompress(config.body)


class ConfigStateMachine:
    """Implements `consensus.replicated_log.StateMachine`.

    Of the newest `MAX_ACCEPTED_DIGESTS` accepted changes it keeps the digest and the version that each builds
    on. Each builds on the one before, so a change that builds on `floor` or a later version, and is not among
    them, was surely never accepted; of an older one nobody can tell.
    """

    def __init__(self) -> None:
        self.current = StoredConfig()
        self.floor = 0
        self.accepted: dict[bytes, int] = {}  # base by digest, oldest first

    def begin(self, epoch: int) -> None:
        """Reset to the empty state."""
        self.current = StoredConfig()
        self.accepted = {}
        self.floor = 0

    def apply(self, index: int, op: bytes) -> ChangeResult:
        """Apply one committed entry."""
        entry = _entry_decoder.decode(op)
        if isinstance(entry, ForceNewCluster):
            self.restore(entry.state)
            return ChangeResult.ACCEPTED
        if entry.digest in self.accepted:
            return ChangeResult.ACCEPTED
        if entry.base < self.floor:
            return ChangeResult.BASE_TOO_OLD
        if entry.base != self.current.version:
            return ChangeResult.CONFLICT
        if entry.version <= self.current.version:
            return ChangeResult.VERSION_NOT_NEWER
        self.current = StoredConfig(entry.version, entry.body)
        self._remember(entry)
        return ChangeResult.ACCEPTED

    def snapshot(self) -> bytes:
        """The complete state, encoded."""
        bases = list(self.accepted.values())
        return _encoder.encode(_Snapshot(self.current, list(self.accepted), bases, self.floor))

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's."""
        snapshot = _snapshot_decoder.decode(state)
        # Without bases each may build on any version up to the current one.
        bases = snapshot.bases or [snapshot.current.version] * len(snapshot.accepted_digests)
        self.current = snapshot.current
        self.floor = snapshot.floor
        self.accepted = dict(zip(snapshot.accepted_digests, bases, strict=True))

    def _remember(self, change: ConfigChange) -> None:
        self.accepted[change.digest] = change.base
        while len(self.accepted) > MAX_ACCEPTED_DIGESTS:
            del self.accepted[next(iter(self.accepted))]
            self.floor = next(iter(self.accepted.values()))
