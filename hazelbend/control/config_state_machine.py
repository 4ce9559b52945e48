"""The replicated state machine of the configuration: a compare-and-set on its version.

Renamed classes and fields pin the names of earlier versions on the wire and in stored snapshots.
"""

from __future__ import annotations

import zlib
from enum import Enum
from hashlib import blake2b

import msgspec

from hazelbend.control.configuration_reader import is_readable

DIGEST_BYTES = 16
MAX_ACCEPTED_DIGESTS = 4_096  # accepted changes whose resends are recognized: at most 100 KB of a snapshot
ZLIB_LEVEL = 1  # the fastest: configurations are repetitive text, and processor time is scarce


class ChangeResult(Enum):
    """The result of a proposed change."""

    ACCEPTED = "accepted"  # by this entry, or already when the change was sent before
    CONFLICT = "conflict"  # its base is not the current version
    VERSION_NOT_NEWER = "not above"  # its version is not higher than the current one
    BASE_TOO_OLD = "forgotten"  # whether it was accepted before is unknown: its digest may have been dropped


class ConfigChange(msgspec.Struct, frozen=True, tag=True):
    """One proposed configuration, as an entry of the log. `body` is compressed."""

    base: int
    version: int
    digest: bytes
    body: bytes


class ForceNewCluster(msgspec.Struct, frozen=True, tag="Refound"):
    """The first log entry of a forced new cluster: the state of the process on which it was started."""

    state: bytes


class StoredConfig(msgspec.Struct, frozen=True):
    """A committed configuration. Version 0 means that there is none; `body` is compressed.

    An earlier release may have accepted one that this release can't read. Routers then keep serving by the
    newest readable one before it, which is its `fallback`.
    """

    version: int = 0
    body: bytes = b""
    fallback: StoredConfig | msgspec.UnsetType = msgspec.UNSET  # left out of a readable configuration

    @property
    def readable(self) -> StoredConfig:
        """The newest readable configuration; version 0 if none is left."""
        return self if self.fallback is msgspec.UNSET else self.fallback


class _Snapshot(msgspec.Struct, frozen=True):
    current: StoredConfig
    accepted_digests: list[bytes] = msgspec.field(name="accepted")
    bases: list[int] = []  # of the accepted changes, in the same order; earlier formats have none
    floor: int = 0


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(ConfigChange | ForceNewCluster)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def digest_of(base: int, body: bytes) -> bytes:
    """The digest that identifies a change by its base version and its body."""
    return blake2b(b"%d\n" % base + body, digest_size=DIGEST_BYTES).digest()


def encode_config_change(base: int, version: int, body: bytes) -> bytes:
    """Encode the log entry that proposes this configuration."""
    change = ConfigChange(base, version, digest_of(base, body), zlib.compress(body, ZLIB_LEVEL))
    return _encoder.encode(change)


def encode_force_new_cluster(state: bytes) -> bytes:
    """Encode the log entry that starts a new cluster with this snapshot."""
    return _encoder.encode(ForceNewCluster(state))


def _with_fallback(config: StoredConfig, previous: StoredConfig) -> StoredConfig:
    """This configuration, with the newest readable one as its fallback if it can't be read itself."""
    if not config.version or _is_readable(config):
        return config
    return msgspec.structs.replace(config, fallback=previous.readable)


def _is_readable(config: StoredConfig) -> bool:
    try:
        return is_readable(decompress_body(config))
    except zlib.error:
        return False


def decompress_body(config: StoredConfig) -> bytes:
    """The configuration's text as the operator sent it."""
    return zlib.decompress(config.body)


class ConfigStateMachine:
    """Implements `consensus.replicated_log.StateMachine`.

    Keeps the digest and the base version of the newest `MAX_ACCEPTED_DIGESTS` accepted changes, by which
    resends are recognized. The base of each accepted change is the version of the previous one. So a change
    with a base of at least `floor` whose digest is not kept was never accepted. For a lower base that is
    unknown.
    """

    def __init__(self) -> None:
        self.current = StoredConfig()
        self.floor = 0
        self.accepted: dict[bytes, int] = {}  # base version by digest, oldest first

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
        if (result := self._result_of_resend(entry.base, entry.digest)) is not None:
            return result
        if entry.base != self.current.version:
            return ChangeResult.CONFLICT
        if entry.version <= self.current.version:
            return ChangeResult.VERSION_NOT_NEWER
        self.current = _with_fallback(StoredConfig(entry.version, entry.body), self.current)
        self._remember(entry)
        return ChangeResult.ACCEPTED

    def result_of_resend(self, base: int, body: bytes) -> ChangeResult | None:
        """The result of a change that may have been accepted before; None if it certainly was not."""
        return self._result_of_resend(base, digest_of(base, body))

    def _result_of_resend(self, base: int, digest: bytes) -> ChangeResult | None:
        if digest in self.accepted:
            return ChangeResult.ACCEPTED
        return ChangeResult.BASE_TOO_OLD if base < self.floor else None

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        bases = list(self.accepted.values())
        current = self.current
        if not current.readable.version:
            current = StoredConfig(current.version, current.body)
        return _encoder.encode(_Snapshot(current, list(self.accepted), bases, self.floor))

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        snapshot = _snapshot_decoder.decode(state)
        # In earlier formats the bases are unknown: each may be any version up to the current one.
        bases = snapshot.bases or [snapshot.current.version] * len(snapshot.accepted_digests)
        # Another release may have read it differently, and earlier ones keep no fallback.
        stored = snapshot.current
        previous = StoredConfig() if stored.fallback is msgspec.UNSET else stored.fallback
        self.current = _with_fallback(StoredConfig(stored.version, stored.body), previous)
        self.floor = snapshot.floor
        self.accepted = dict(zip(snapshot.accepted_digests, bases, strict=True))

    def _remember(self, change: ConfigChange) -> None:
        self.accepted[change.digest] = change.base
        while len(self.accepted) > MAX_ACCEPTED_DIGESTS:
            del self.accepted[next(iter(self.accepted))]
            self.floor = next(iter(self.accepted.values()))
