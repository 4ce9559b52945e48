"""Schema of `deploy/fleet.toml`, and the checks that a schema cannot express.

Times are seconds in the file and microseconds in the engines.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.leases.lease_node import LeaseNodeSettings
from hazelbend.leases.lease_table import LeaseLimits
from hazelbend.schema import convert

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]

VOTER_COUNTS = (3, 5, 7)
MAX_PORT = 65_535
US_PER_S = 1e6


class FleetSettingsError(ValueError):
    """A value that passes the schema but not the other checks; the message names its key."""


class LeaseSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "max_leases": "most",
        "max_waiters": "waiters",
        "min_ttl_s": "shortest_s",
        "max_ttl_s": "longest_s",
        "acquires_per_s": "asks_per_s",
        "max_clock_drift": "clock_drift",
    },
):
    """Table `leases`. `acquires_per_s` limits acquisitions, but not renewals."""

    max_leases: Annotated[int, Meta(ge=1, le=100_000)] = 1_000
    max_waiters: Annotated[int, Meta(ge=0, le=10_000)] = 200  # per lease
    min_ttl_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 1.0
    max_ttl_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 30.0
    acquires_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 100.0
    max_clock_drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.05

    @property
    def limits(self) -> LeaseLimits:
        """The limits in the engines' units."""
        return LeaseLimits(
            max_leases=self.max_leases,
            max_waiters=self.max_waiters,
            min_ttl_us=round(self.min_ttl_s * US_PER_S),
            max_ttl_us=round(self.max_ttl_s * US_PER_S),
            max_clock_drift=self.max_clock_drift,
        )

    @property
    def epoch_opening_delay_s(self) -> float:
        """Seconds for which a new epoch grants no leases."""
        return self.max_ttl_s * (1 + self.max_clock_drift)


class SnapshotSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"interval_s": "every_s"}
):
    """Table `snapshot`: where and how often the fleet's snapshot is written, under a lease of `ttl_s`."""

    url: Annotated[str, Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}(:\d{1,5})?/\S*$")]
    interval_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 60.0
    ttl_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 10.0
    timeout_s: Annotated[float, Meta(ge=0.01, le=60)] = 2.0  # of one write


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. All dispatchers of a fleet have the same `id`, and no other fleet has it.

    `store` is a folder on persistent storage. Without it, a process that restarts is a new member.
    """

    id: Name
    listen: Address  # for peers and commands
    enabled: bool = True
    advertise: Address | None = None  # address for peers, if it differs from `listen`
    seeds: tuple[Address, ...] = ()  # members to contact in order to join
    voters: int = 3
    store: str = ""
    leases: LeaseSettings = LeaseSettings()
    snapshot: SnapshotSettings | None = None

    @property
    def listen_address(self) -> tuple[str, int]:
        """The host and port of `listen`."""
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    @property
    def advertised_address(self) -> str:
        """The address at which peers reach this dispatcher."""
        return self.advertise or self.listen

    @property
    def node_settings(self) -> LeaseNodeSettings:
        """The settings that the engine uses."""
        return LeaseNodeSettings(
            self.id, self.seeds, self.voters, self.leases.limits, self.leases.acquires_per_s
        )


def read_settings(table: dict[str, Any]) -> FleetSettings:
    """Return the settings in a decoded TOML table. Raises ValueError; the message names the faulty key."""
    settings = convert(table, FleetSettings)
    if settings.voters not in VOTER_COUNTS:
        raise FleetSettingsError("voters: 3, 5 or 7")
    if settings.leases.min_ttl_s > settings.leases.max_ttl_s:
        raise FleetSettingsError("leases.shortest_s: longer than leases.longest_s")
    if settings.snapshot is not None:
        _check_snapshot(settings.snapshot, settings.leases)
    for address in (settings.listen, *settings.seeds):
        if int(address.rpartition(":")[2]) > MAX_PORT:
            raise FleetSettingsError("listen, seeds: a port is at most 65535")
    return settings


def _check_snapshot(snapshot: SnapshotSettings, leases: LeaseSettings) -> None:
    if not leases.min_ttl_s <= snapshot.ttl_s <= leases.max_ttl_s:
        raise FleetSettingsError("snapshot.ttl_s: not from leases.shortest_s to leases.longest_s")
    if snapshot.timeout_s > snapshot.ttl_s / 2:
        raise FleetSettingsError("snapshot.timeout_s: over half of snapshot.ttl_s")
