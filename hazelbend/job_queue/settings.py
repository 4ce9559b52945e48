"""`deploy/waiting.toml`: its schema, by msgspec. A fault is a ValueError that names the key."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hazelbend.job_queue.terms import Bounds
from hazelbend.schema import convert

Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=31_536_000)]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of what waits."""

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
    longest_s: Seconds = 3_600.0  # that a job may wait, whatever its client says


class ClassPlaces(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    in_service: Count


class TenantShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    share: Annotated[float, Meta(gt=0, le=1)]


class Admission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    in_service: Count
    aged: Annotated[int, Meta(ge=0, le=10_000_000)] = 1
    ordinary: bool = False  # whether jobs without terms go by it too
    job_class: tuple[ClassPlaces, ...] = msgspec.field(default=(), name="class")
    tenant: tuple[TenantShare, ...] = ()


class WaitingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    enabled: bool = True
    http_headers: bool = False  # whether X-After and its like are read
    limits: Limits = Limits()
    admission: Admission | None = None

    @property
    def ordinary(self) -> bool:
        return self.admission is not None and self.admission.ordinary

    def bounds(self, classes: tuple[str, ...], tenants: tuple[str, ...]) -> Bounds:
        limits, admission = self.limits, self.admission
        return Bounds(
            waiting=limits.jobs,
            waiting_bytes=limits.bytes,
            by_client=limits.by_client,
            parents=limits.parents,
            children=limits.children,
            depth=limits.depth,
            come_within=round(limits.come_within_s * 1e6),
            remember=limits.remembered,
            remember_for=round(limits.remember_s * 1e6),
            result_bytes=limits.result_bytes,
            in_service=admission.in_service if admission else 0,
            by_class=tuple(
                (classes.index(each.name), each.in_service)
                for each in (admission.job_class if admission else ())
            ),
            shares=tuple(
                (tenants.index(each.name), each.share) for each in (admission.tenant if admission else ())
            ),
            aged=admission.aged if admission else 0,
        )


def read_settings(
    table: dict[str, Any], classes: tuple[str, ...], tenants: tuple[str, ...]
) -> WaitingSettings:
    """A decoded TOML table; classes and tenants are the names that the site's settings have."""
    settings = convert(table, WaitingSettings)
    if (admission := settings.admission) is not None:
        for key, named, names in (
            ("class", [each.name for each in admission.job_class], classes),
            ("tenant", [each.name for each in admission.tenant], tenants),
        ):
            for index, name in enumerate(named):
                where = f"admission.{key}[{index}].name: {name!r}"
                if name not in names:
                    raise ValueError(f"{where} is none of {', '.join(names)}")
                if name in named[:index]:
                    raise ValueError(f"{where} stands there twice")
        if admission.aged >= admission.in_service > 1:
            raise ValueError("admission.aged: leaves no place for jobs in time")
    return settings
