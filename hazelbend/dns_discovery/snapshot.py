"""A file with the last known records, for a start while no nameserver responds.

The file is one JSON object: the name of the format, its version, a digest of the body, and the body. Where a
field's name differs from its key in the file, `msgspec.field(name=...)` gives the key. Times are Unix time in
microseconds.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import blake2b
from pathlib import Path

import msgspec

from hazelbend.dns_discovery.answers import ADDRESS_TYPES, EndpointKey, Question, RecordType, SrvPreference
from hazelbend.dns_discovery.resolver import Resolver
from hazelbend.dns_discovery.tracked_names import TrackedName

FORMAT = "hazelbend-names"
VERSION = 1
MAX_FILE_BYTES = 64 * 1024 * 1024


class SnapshotError(Exception):
    """The snapshot cannot be used, not even in part; the text gives the reason."""


class SrvRecord(msgspec.Struct, array_like=True):
    """One accepted SRV record."""

    target: str
    port: int
    priority: int
    weight: int
    expires_at: int


class AddressRecord(msgspec.Struct, array_like=True):
    """One accepted A or AAAA record."""

    address: str
    expires_at: int


class SrvRecords(msgspec.Struct):
    """The accepted records of an SRV name."""

    name: str
    records: list[SrvRecord] = msgspec.field(name="items")


class AddressRecords(msgspec.Struct):
    """The accepted addresses of a target."""

    name: str
    record_type: str = msgspec.field(name="kind")
    records: list[AddressRecord] = msgspec.field(name="items")


class TombstoneRecord(msgspec.Struct):
    """The tombstone of an endpoint that the endpoint list removed."""

    host: str
    removed_at: int = msgspec.field(name="at")
    dial: str
    target: str = ""
    port: int = 0


class Snapshot(msgspec.Struct):
    """The body of the file."""

    written_at: int
    srv_records: list[SrvRecords] = msgspec.field(name="services")
    address_records: list[AddressRecords] = msgspec.field(name="addresses")
    tombstones: list[TombstoneRecord] = msgspec.field(default_factory=list, name="gone")
    started: dict[str, int] = {}  # start times of endpoints that only SRV lists, by host


class Envelope(msgspec.Struct):
    """The file: the format and version of the body, its digest, and the body."""

    format: str
    version: int
    digest: str
    body: msgspec.Raw


def capture(
    resolver: Resolver, tombstones: list[TombstoneRecord], started: dict[str, int], now: int
) -> Snapshot:
    """Return a snapshot of the resolver's accepted records and of the given state of endpoints."""
    srv_records = []
    address_records = []
    for question, tracked in resolver.names.by_question.items():
        if not tracked.quorum.accepted:
            continue
        if question.record_type is RecordType.SRV:
            srv_records.append(SrvRecords(question.name, _srv_records(tracked)))
        else:
            addresses = [
                AddressRecord(address, record.expires_at)
                for address, record in tracked.quorum.accepted.items()
            ]
            address_records.append(AddressRecords(question.name, question.record_type.name, addresses))
    return Snapshot(now, srv_records, address_records, tombstones, started)


def _srv_records(tracked: TrackedName) -> list[SrvRecord]:
    return [
        SrvRecord(key.target, key.port, record.value.priority, record.value.weight, record.expires_at)
        for key, record in tracked.quorum.accepted.items()
    ]


def restore(resolver: Resolver, snapshot: Snapshot, now: int) -> None:
    """Give the resolver the snapshot's records; it accepts those within the stale bound.

    If the clock was set back, expiry times may be further ahead than the longest TTL; they are limited to it.
    """
    latest = now + round(resolver.settings.ttl_bounds.max_s * 1e6)
    for srv in snapshot.srv_records:
        services = {
            EndpointKey(record.target, record.port): (
                SrvPreference(record.priority, record.weight),
                min(record.expires_at, latest),
            )
            for record in srv.records
        }
        resolver.restore(Question(srv.name, RecordType.SRV), services, now)
    for host in snapshot.address_records:
        if host.record_type in [record_type.name for record_type in ADDRESS_TYPES]:
            question = Question(host.name, RecordType[host.record_type])
            addresses = {record.address: (None, min(record.expires_at, latest)) for record in host.records}
            resolver.restore(question, addresses, now)


def encode(snapshot: Snapshot) -> bytes:
    """Return the contents of the file for a snapshot."""
    body = msgspec.json.encode(snapshot)
    return msgspec.json.encode(Envelope(FORMAT, VERSION, _digest(body), msgspec.Raw(body)))


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in the contents of a file.

    Raises:
        SnapshotError: the contents are truncated, damaged, or of another format or version.
    """
    try:
        envelope = msgspec.json.decode(data, type=Envelope)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"torn or no snapshot: {error}") from None
    if envelope.format != FORMAT:
        raise SnapshotError(f"foreign: its format is {envelope.format[:40]!r}")
    if envelope.version != VERSION:
        raise SnapshotError(f"version {envelope.version}; this program reads version {VERSION}")
    if _digest(bytes(envelope.body)) != envelope.digest:
        raise SnapshotError("damaged: its digest does not match")
    try:
        return msgspec.json.decode(envelope.body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"a body of another shape: {error}") from None


def from_object(value: object) -> Snapshot:
    """Return the snapshot in decoded JSON, as the previous process hands it over in an upgrade.

    Raises:
        SnapshotError: the value is not a snapshot.
    """
    try:
        return msgspec.convert(value, Snapshot)
    except msgspec.ValidationError as error:
        raise SnapshotError(str(error)) from None


def read_file(path: Path) -> Snapshot | None:
    """Return the snapshot in a file; None if there is no file.

    Raises:
        SnapshotError: the file cannot be read or used.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from None
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotError("over 64 MiB")
    return decode(data)


def write_file(path: Path, data: bytes) -> None:
    """Replace the file atomically: a reader finds the old or the new one, also after a power loss.

    Raises:
        OSError: the file cannot be written; the old file stays.
    """
    new_file = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with new_file.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new_file.replace(path)
        _sync_directory(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            new_file.unlink()
        raise


def _sync_directory(path: Path) -> None:
    """Flush the directory, without which a power loss may undo the renaming of the file."""
    directory = os.open(path, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def _digest(body: bytes) -> str:
    return blake2b(body, digest_size=16).hexdigest()
