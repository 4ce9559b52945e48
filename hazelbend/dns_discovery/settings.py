"""The schema of `deploy/srv.toml`, and the checks that a schema cannot express. Times are in seconds.

Where a field's name differs from its key in the file, `msgspec.field(name=...)` gives the key.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.dns_discovery.answers import canonical_name
from hazelbend.schema import convert

Seconds = Annotated[float, Meta(gt=0, le=31_536_000)]
MAX_PORT = 65_535
MIN_DOTS_IN_SRV_NAME = 2  # _service._protocol.domain


class Nameserver(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The address of a nameserver, as `host:port` or `[host]:port` with an IP address as host."""

    address: str

    @property
    def endpoint(self) -> tuple[str, int]:
        """The IP address and the port."""
        host, _, port = self.address.rpartition(":")
        return host.strip("[]"), int(port)


class SrvName(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An SRV name to track, with the properties of its endpoints that DNS does not provide."""

    name: str
    zone: str
    kind: str
    cell: Annotated[int, Meta(ge=0, le=65_535)] = 0
    weight_scale: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # an endpoint's weight per unit of SRV weight
    max_targets: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(default=1_000, name="most_targets")


class TtlBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds for TTLs, and how long unrenewed records and tombstones are kept."""

    min_s: Seconds = msgspec.field(default=5.0, name="least_s")
    max_s: Seconds = msgspec.field(default=3_600.0, name="most_s")
    stale_s: Seconds = 86_400.0  # how long an unrenewed record is used past its TTL (RFC 8767)
    # For this long SRV cannot add an endpoint again that the endpoint list has removed.
    tombstone_s: Seconds = msgspec.field(default=3_600.0, name="gone_s")


class QueryBudgets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on queries and retries, and the query timeout."""

    queries_per_s: Annotated[float, Meta(gt=0, le=1e6)] = msgspec.field(default=100.0, name="per_s")
    max_in_flight: Annotated[int, Meta(ge=1, le=1_000_000)] = msgspec.field(default=64, name="at_once")
    timeout_s: Annotated[float, Meta(ge=0.01, le=30)] = 1.0
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = msgspec.field(default=3, name="tries")  # per round
    # The retry budget, as a ratio of first attempts.
    retry_ratio: Annotated[float, Meta(ge=0, le=10)] = msgspec.field(default=0.2, name="retry_part")
    # Backoff after a failed round; it doubles with each further failure.
    backoff_s: Seconds = msgspec.field(default=1.0, name="rest_s")
    max_backoff_s: Seconds = msgspec.field(default=30.0, name="longest_rest_s")
    start_spread_s: Annotated[float, Meta(ge=0, le=600)] = 1.0  # first queries are spread over this time


class PriorityPools(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When endpoints of another SRV priority open or close."""

    # A better priority must be available without interruption for this long before spare endpoints close.
    failback_delay_s: Annotated[float, Meta(ge=0, le=86_400)] = msgspec.field(default=5.0, name="return_s")
    check_interval_s: Annotated[float, Meta(ge=0.01, le=10)] = msgspec.field(default=0.1, name="look_s")


class SnapshotFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how often the last known records are saved."""

    path: str
    interval_s: Seconds = msgspec.field(default=5.0, name="every_s")  # minimum time between writes


class SrvSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the file."""

    nameservers: tuple[Nameserver, ...] = msgspec.field(name="nameserver")
    names: tuple[SrvName, ...] = msgspec.field(default=(), name="name")
    enabled: bool = True
    ttl_bounds: TtlBounds = msgspec.field(default=TtlBounds(), name="lifetimes")
    budgets: QueryBudgets = QueryBudgets()
    pools: PriorityPools = PriorityPools()
    snapshot: SnapshotFile | None = None


def read_settings(table: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]) -> SrvSettings:
    """Convert and check a decoded TOML table. `zones` and `kinds` are the names in the site's settings.

    Raises:
        ValueError: the table is invalid; the text names the key.
    """
    settings = convert(table, SrvSettings)
    _check_nameservers(settings.nameservers)
    _check_names(settings.names, zones, kinds)
    bounds = settings.ttl_bounds
    if bounds.min_s > bounds.max_s:
        raise ValueError(f"lifetimes.least_s: {bounds.min_s:g} is over most_s, {bounds.max_s:g}")
    if settings.budgets.backoff_s > settings.budgets.max_backoff_s:
        raise ValueError("budgets.rest_s: over longest_rest_s")
    if settings.snapshot is not None and not settings.snapshot.path:
        raise ValueError("snapshot.path: empty")
    return settings


def _check_nameservers(nameservers: tuple[Nameserver, ...]) -> None:
    if not nameservers:
        raise ValueError("nameserver: none is named")
    seen: set[tuple[str, int]] = set()
    for index, server in enumerate(nameservers):
        path = f"nameserver[{index}].address"
        if not _is_address(server.address):
            raise ValueError(f"{path}: {server.address!r} is no address:port")
        if server.endpoint in seen:
            raise ValueError(f"{path}: {server.address!r} stands there twice")
        seen.add(server.endpoint)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _check_names(names: tuple[SrvName, ...], zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        path = f"name[{index}]"
        try:
            canonical = canonical_name(name.name)
        except ValueError as error:
            raise ValueError(f"{path}.name: {name.name!r}: {error}") from None
        if not name.name.startswith("_") or name.name.count(".") < MIN_DOTS_IN_SRV_NAME:
            raise ValueError(f"{path}.name: {name.name!r} is no _service._protocol.domain (RFC 2782)")
        if canonical in seen:
            raise ValueError(f"{path}.name: {name.name!r} stands there twice")
        seen.add(canonical)
        for key, value, known in (("zone", name.zone, zones), ("kind", name.kind, kinds)):
            if value not in known:
                raise ValueError(f"{path}.{key}: {value!r} is none of {', '.join(known) or 'the settings'}")
