"""`deploy/srv.toml`: its schema, by msgspec, and what a schema cannot say. A fault is a ValueError that names
the key. Times are whole seconds there, and microseconds from here on."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.dns_discovery.answers import canonical
from hazelbend.schema import convert

Seconds = Annotated[float, Meta(gt=0, le=31_536_000)]
Whole = Annotated[int, Meta(ge=1, le=1_000_000)]


class Nameserver(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: str

    @property
    def endpoint(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host.strip("[]"), int(port)


class Name(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An SRV name to follow, and what its boxes are: DNS tells neither zone nor kind."""

    name: str
    zone: str
    kind: str
    cell: Annotated[int, Meta(ge=0, le=65_535)] = 0
    weight_scale: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # a server's weight for an SRV weight of 1
    most_targets: Annotated[int, Meta(ge=1, le=10_000)] = 1_000


class Lifetimes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    least_s: Seconds = 5.0
    most_s: Seconds = 3_600.0
    stale_s: Seconds = 86_400.0  # how long past its lifetime an answer that nobody renews stands (RFC 8767)
    gone_s: Seconds = 3_600.0  # how long a box that the box list took off stays off, whatever SRV says


class Budgets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    per_s: Annotated[float, Meta(gt=0, le=1e6)] = 100.0  # queries a second, of all kinds together
    at_once: Whole = 64
    timeout_s: Annotated[float, Meta(ge=0.01, le=30)] = 1.0
    tries: Annotated[int, Meta(ge=1, le=10)] = 3  # of one question in a row; then it rests
    retry_part: Annotated[float, Meta(ge=0, le=10)] = 0.2  # second and further tries, as a part of the first
    rest_s: Seconds = 1.0  # after all tries have failed; doubled each time
    longest_rest_s: Seconds = 30.0
    start_spread_s: Annotated[float, Meta(ge=0, le=600)] = 1.0  # first questions are spread over this


class Pools(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    return_s: Annotated[float, Meta(ge=0, le=86_400)] = 5.0  # a better priority must be able for so long
    look_s: Annotated[float, Meta(ge=0.01, le=10)] = 0.1


class Snapshots(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    path: str
    every_s: Seconds = 5.0  # written at most so often


class SrvSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    nameserver: tuple[Nameserver, ...]
    name: tuple[Name, ...] = ()
    enabled: bool = True
    lifetimes: Lifetimes = Lifetimes()
    budgets: Budgets = Budgets()
    pools: Pools = Pools()
    snapshot: Snapshots | None = None


def read_settings(table: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]) -> SrvSettings:
    """A decoded TOML table; zones and kinds are the names that the site's settings have."""
    settings = convert(table, SrvSettings)
    _check(settings, zones, kinds)
    return settings


def _check(settings: SrvSettings, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
    if not settings.nameserver:
        raise ValueError("nameserver: none is named")
    seen: set[object] = set()
    for index, server in enumerate(settings.nameserver):
        host, _, port = server.address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            good = port.isascii() and port.isdecimal() and 0 < int(port) < 65_536
        except ValueError:
            good = False
        if not good:
            raise ValueError(f"nameserver[{index}].address: {server.address!r} is no address:port")
        if server.endpoint in seen:
            raise ValueError(f"nameserver[{index}].address: {server.address!r} stands there twice")
        seen.add(server.endpoint)
    for index, name in enumerate(settings.name):
        where = f"name[{index}]"
        try:
            known = canonical(name.name)
        except ValueError as error:
            raise ValueError(f"{where}.name: {name.name!r}: {error}") from None
        if not name.name.startswith("_") or name.name.count(".") < 2:
            raise ValueError(f"{where}.name: {name.name!r} is no _service._protocol.domain (RFC 2782)")
        if known in seen:
            raise ValueError(f"{where}.name: {name.name!r} stands there twice")
        seen.add(known)
        for key, value, names in (("zone", name.zone, zones), ("kind", name.kind, kinds)):
            if value not in names:
                raise ValueError(f"{where}.{key}: {value!r} is none of {', '.join(names) or 'the settings'}")
    bounds = settings.lifetimes
    if bounds.least_s > bounds.most_s:
        raise ValueError(f"lifetimes.least_s: {bounds.least_s:g} is over most_s, {bounds.most_s:g}")
    if settings.budgets.rest_s > settings.budgets.longest_rest_s:
        raise ValueError("budgets.rest_s: over longest_rest_s")
    if settings.snapshot is not None and not settings.snapshot.path:
        raise ValueError("snapshot.path: empty")
