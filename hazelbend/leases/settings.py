"""`deploy/fleet.toml`: its schema, by msgspec, and what a schema cannot say. A fault is a ValueError that
names the key. Times are seconds there, and microseconds from here on."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.leases.engine import Plan
from hazelbend.leases.lease_table import Limits
from hazelbend.schema import convert

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class LeaseLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    most: Annotated[int, Meta(ge=1, le=100_000)] = 1_000
    waiters: Annotated[int, Meta(ge=0, le=10_000)] = 200  # for one lease
    shortest_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 1.0
    longest_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 30.0
    asks_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 100.0  # for a lease; renewals are not counted
    clock_drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.05


class SnapshotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    url: Annotated[str, Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}(:\d{1,5})?/\S*$")]
    every_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 60.0
    ttl_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 10.0
    timeout_s: Annotated[float, Meta(ge=0.01, le=60)] = 2.0  # for one write


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    id: Name  # one word that all dispatchers of a fleet share, and no other fleet has
    listen: Address  # for peers and commands
    enabled: bool = True
    advertise: Address | None = None  # where peers find it, if not at `listen`
    seeds: tuple[Address, ...] = ()  # where to knock: some that are usually there
    voters: int = 3
    store: str = ""  # a folder on a disk that lasts; without it a process that starts again is another member
    leases: LeaseLimits = LeaseLimits()
    snapshot: SnapshotSettings | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    @property
    def known_as(self) -> str:
        return self.advertise or self.listen

    def plan(self) -> Plan:
        leases = self.leases
        limits = Limits(
            leases=leases.most,
            waiters=leases.waiters,
            shortest=round(leases.shortest_s * 1e6),
            longest=round(leases.longest_s * 1e6),
            drift=leases.clock_drift,
        )
        return Plan(self.id, self.seeds, self.voters, limits, leases.asks_per_s)


def read_settings(table: dict[str, Any]) -> FleetSettings:
    found = convert(table, FleetSettings)
    if found.voters not in (3, 5, 7):
        raise ValueError("voters: 3, 5 or 7")
    if found.leases.shortest_s > found.leases.longest_s:
        raise ValueError("leases.shortest_s: longer than leases.longest_s")
    snapshot, leases = found.snapshot, found.leases
    if snapshot is not None and not leases.shortest_s <= snapshot.ttl_s <= leases.longest_s:
        raise ValueError("snapshot.ttl_s: not from leases.shortest_s to leases.longest_s")
    if snapshot is not None and snapshot.timeout_s > snapshot.ttl_s / 2:
        raise ValueError("snapshot.timeout_s: over half of snapshot.ttl_s")
    if any(int(each.rpartition(":")[2]) > 65_535 for each in (found.listen, *found.seeds)):
        raise ValueError("listen, seeds: a port is at most 65535")
    return found
