"""The last good answers as a file, for a start with no nameserver reachable.

One JSON object: the format's name, its version, a digest of the body, and the body. What is torn, foreign, or
of a newer version raises SnapshotError, and nothing of it is used. Times are Unix microseconds.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from hazelbend.dns_discovery.answers import BoxKey, Kind, Question, Rank
from hazelbend.dns_discovery.resolver import Resolver

FORMAT, VERSION = "hazelbend-names", 1
MOST_BYTES = 64 * 1024 * 1024


class SnapshotError(Exception):
    """The file cannot be used; the text says why."""


class Service(msgspec.Struct, array_like=True):
    target: str
    port: int
    priority: int
    weight: int
    until: int


class Address(msgspec.Struct, array_like=True):
    address: str
    until: int


class Services(msgspec.Struct):
    name: str
    items: list[Service]


class Addresses(msgspec.Struct):
    name: str
    kind: str
    items: list[Address]


class GoneBox(msgspec.Struct):
    host: str
    at: int
    dial: str
    target: str = ""
    port: int = 0


class Body(msgspec.Struct):
    written_at: int
    services: list[Services]
    addresses: list[Addresses]
    gone: list[GoneBox] = []
    started: dict[str, int] = {}  # boxes of SRV alone: since when they run


class Envelope(msgspec.Struct):
    format: str
    version: int
    digest: str
    body: msgspec.Raw


def take(resolver: Resolver, gone: list[GoneBox], started: dict[str, int], now: int) -> Body:
    services, addresses = [], []
    for question, followed in resolver.followed.items():
        held = followed.ballot.held
        if not held:
            continue
        if question.kind is Kind.SRV:
            rows = [
                Service(key.target, key.port, each.value.priority, each.value.weight, each.until)
                for key, each in held.items()
            ]
            services.append(Services(question.name, rows))
        else:
            listed = [Address(address, each.until) for address, each in held.items()]
            addresses.append(Addresses(question.name, question.kind.name, listed))
    return Body(now, services, addresses, gone, started)


def restore(resolver: Resolver, body: Body, now: int) -> None:
    """Take over what is still within its bound; a time that lies too far ahead is brought back to it."""
    latest = now + round(resolver.settings.lifetimes.most_s * 1e6)
    for each in body.services:
        found = {
            BoxKey(row.target, row.port): (Rank(row.priority, row.weight), min(row.until, latest))
            for row in each.items
        }
        resolver.restore(Question(each.name, Kind.SRV), found, now)
    for listed in body.addresses:
        if listed.kind in (Kind.A.name, Kind.AAAA.name):
            question = Question(listed.name, Kind[listed.kind])
            times = {row.address: (None, min(row.until, latest)) for row in listed.items}
            resolver.restore(question, times, now)


def encode(body: Body) -> bytes:
    text = msgspec.json.encode(body)
    return msgspec.json.encode(Envelope(FORMAT, VERSION, _digest(text), msgspec.Raw(text)))


def decode(data: bytes) -> Body:
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
        return msgspec.json.decode(envelope.body, type=Body)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"a body of another shape: {error}") from None


def from_object(value: Any) -> Body:
    """A body that came within other JSON: an upgrade's. SnapshotError if it is none."""
    try:
        return msgspec.convert(value, Body)
    except msgspec.ValidationError as error:
        raise SnapshotError(str(error)) from None


def read(path: Path) -> Body | None:
    """None if there is no file."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from None
    if len(data) > MOST_BYTES:
        raise SnapshotError("over 64 MiB")
    return decode(data)


def write(path: Path, data: bytes) -> None:
    """In one step: a reader finds the old file or the new one, also after a loss of power. OSError if not."""
    beside = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with beside.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        with contextlib.suppress(OSError):
            beside.unlink()
        raise


def _digest(text: bytes) -> str:
    return blake2b(text, digest_size=16).hexdigest()
