"""The schema of `deploy/waiting.toml`, by msgspec. An invalid value raises a ValueError with its key."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.job_queue.terms import Bounds
from hazelbend.schema import convert

US_PER_S = 1e6

Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=31_536_000)]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on waiting jobs. Times are seconds, sizes are bytes."""

    jobs: Count = 10_000
    bytes: Annotated[int, Meta(ge=1_024, le=1 << 40)] = 64 * 1024 * 1024
    by_client: Count = 1_000
    parents: Count = 64
    children: Count = 1_000
    depth: Count = 100
    come_within_s: Seconds = 5.0
    remembered: Count = 10_000
    remember_s: Seconds = 60.0
    result_bytes: Annotated[int, Meta(ge=0, le=1 << 30)] = 65_536
    longest_s: Seconds = 3_600.0  # upper bound on the timeout that a client may request for a waiting job


class ClassLimit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The maximum number of running jobs of one class."""

    name: str
    in_service: Count


class TenantShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of the slots that a tenant may use before its further jobs are queued as aged."""

    name: str
    share: Annotated[float, Meta(gt=0, le=1)]


class Admission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Admission: how many jobs run at once, and how many of these slots are for aged jobs."""

    in_service: Count
    aged: Annotated[int, Meta(ge=0, le=10_000_000)] = 1
    ordinary: bool = False  # whether admission also applies to jobs without terms
    job_class: tuple[ClassLimit, ...] = msgspec.field(default=(), name="class")
    tenant: tuple[TenantShare, ...] = ()


class WaitingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    enabled: bool = True
    http_headers: bool = False  # whether X-After and its like are read
    limits: Limits = Limits()
    admission: Admission | None = None

    @property
    def admission_for_all(self) -> bool:
        """Whether admission also applies to jobs without terms."""
        return self.admission is not None and self.admission.ordinary

    def bounds(self, classes: tuple[str, ...], tenants: tuple[str, ...]) -> Bounds:
        """Return the engine's bounds. Classes and tenants are identified by their index in these names."""
        limits = self.limits
        admission = self.admission
        by_class = admission.job_class if admission else ()
        shares = admission.tenant if admission else ()
        return Bounds(
            max_waiting=limits.jobs,
            max_waiting_bytes=limits.bytes,
            by_client=limits.by_client,
            parents=limits.parents,
            children=limits.children,
            depth=limits.depth,
            submission_timeout_us=round(limits.come_within_s * US_PER_S),
            max_ended_jobs=limits.remembered,
            ended_job_ttl_us=round(limits.remember_s * US_PER_S),
            result_bytes=limits.result_bytes,
            slots=admission.in_service if admission else 0,
            by_class=tuple((classes.index(row.name), row.in_service) for row in by_class),
            shares=tuple((tenants.index(row.name), row.share) for row in shares),
            aged=admission.aged if admission else 0,
        )


def read_settings(
    table: dict[str, Any], classes: tuple[str, ...], tenants: tuple[str, ...]
) -> WaitingSettings:
    """Return the settings in a decoded TOML table. `classes`, `tenants`: the names in the site's settings.

    Raises:
        ValueError: a value is invalid; the message names its key.
    """
    settings = convert(table, WaitingSettings)
    admission = settings.admission
    if admission is not None:
        _check_names("class", [row.name for row in admission.job_class], classes)
        _check_names("tenant", [row.name for row in admission.tenant], tenants)
        if admission.aged >= admission.in_service > 1:
            raise ValueError("admission.aged: leaves no place for jobs in time")
    return settings


def _check_names(key: str, named: list[str], known: tuple[str, ...]) -> None:
    for index, name in enumerate(named):
        path = f"admission.{key}[{index}].name: {name!r}"
        if name not in known:
            raise ValueError(f"{path} is none of {', '.join(known)}")
        if name in named[:index]:
            raise ValueError(f"{path} stands there twice")
