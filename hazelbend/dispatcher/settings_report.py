"""How the program reads a deployment's settings: what is in effect, what is not used, and what is doubtful.

An unknown setting is skipped, as the platform's protocol asks, and a value that can't be used falls back to
the strictest reading. So a deployment that names things differently runs, but not as its operators expect.
The report is for the log at each start and for `python -m hazelbend check`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from hazelbend.decisions.interface import DedupScope, Idempotency, JobClass, Settings
from hazelbend.decisions.settings import (
    DEDUP_SCOPES,
    IDEMPOTENCY_BY_SEMANTICS,
    report_fields,
    rows_in,
    table_in,
)
from hazelbend.dispatcher.tracked_table import TrackedTable

# Settings with a fixed set of values. An unknown value is read as the last one.
ENUMERATED_VALUES = {
    "membership_mode": ("ask", "push"),
    "weight_kind": ("off", "live", "rough", "nominal"),
    "value_by": ("work", "request"),
    "report.via": ("inline", "on_probe", "off"),
}
REPORT_COLUMNS = (
    "outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", "x0", "x1",
)  # fmt: skip
DEFAULT_DEADLINE_US = 5_000_000  # of a class that names none
US_PER_MS = 1e3
US_PER_S = 1e6


class SettingWarning(NamedTuple):
    """A setting that can be read but is hardly meant so."""

    key: str
    text: str


@dataclass(slots=True, frozen=True)
class SettingsReport:
    """The report of one configuration."""

    effective: dict[str, Any]  # plain values, under the operators' names
    unused: tuple[str, ...]  # paths of settings that nothing reads, sorted
    warnings: tuple[SettingWarning, ...]

    def as_plain_values(self) -> dict[str, Any]:
        """As the log and `check --json` have it."""
        return {
            "goes_by": self.effective,
            "not_used": list(self.unused),
            "doubts": [warning._asdict() for warning in self.warnings],
        }


def report_settings(table: dict[str, Any], settings: Settings) -> SettingsReport:
    """The report of settings as written (`table`) and as read. Call it when every reader has had the table.

    It fails on nothing that could be read.
    """
    effective = _effective_settings(table, settings)  # before the warnings, which read unused settings too
    unused = tuple(sorted(set(table.unread_paths()))) if isinstance(table, TrackedTable) else ()
    return SettingsReport(effective, unused, tuple(_warnings(table, settings)))


# --- what is in effect ---


def _effective_settings(table: dict[str, Any], settings: Settings) -> dict[str, Any]:
    return {
        "dispatchers": settings.fleet_size,
        "zone": settings.zone,
        "list": _list_source(settings),
        "weights": "tell sizes" if settings.weights_enabled else "say nothing",
        "reports": _effective_reports(table, settings),
        "probes": {"allowed": settings.probes_allowed, "charge": settings.probe_charge},
        "attempts": settings.max_attempts,
        "second_copies": settings.hedging_allowed,
        "cancels": settings.cancel_allowed,
        "starts_told": settings.reports_job_starts,
        "progress_ms": settings.progress_interval // round(US_PER_MS),
        "cold": {
            "starts_at": settings.initial_capacity,
            "warm_after_s": settings.warmup_duration / US_PER_S,
            "falls_at": settings.collapse_multiple,
            "within_s": settings.collapse_window / US_PER_S,
        },
        "classes": {
            str(row.get("name")): _effective_class(job_class, settings)
            for row, job_class in zip(rows_in(table, "lanes"), settings.classes, strict=False)
        },
    }


def _effective_reports(table: dict[str, Any], settings: Settings) -> dict[str, Any]:
    used_columns = report_fields(table)
    columns = _list(table_in(table, "report").get("columns"))
    return {
        "come": _report_source(table, settings),
        "used": [column for column in columns if column in used_columns],
        "not_used": [column for column in columns if column not in used_columns],
    }


def _report_source(table: dict[str, Any], settings: Settings) -> str:
    if _value_at(table, "report.via") == "inline":
        return "with answers"
    return "with probes" if settings.probes_allowed and settings.reports_by_probe else "never"


def _effective_class(job_class: JobClass, settings: Settings) -> dict[str, Any]:
    may_repeat = settings.max_attempts > 1
    return {
        "again": _repeat_rule(job_class) if may_repeat else "never: one attempt is allowed",
        "wanted_ms": job_class.objective / US_PER_MS,
        "and_of_its_run": job_class.stretch,
        "worth": job_class.value,
        "worth_of": "work" if settings.value_per_work else "request",
        "late_worth": job_class.late_value_fraction,
        "kind": job_class.machine_kind if job_class.machine_kind != -1 else "any",
    }


def _repeat_rule(job_class: JobClass) -> str:
    match job_class.idempotency:
        case Idempotency.SAFE:
            return "freely"
        case Idempotency.UNSAFE:
            return "never once it may have run"
        case Idempotency.KEYED:
            window = f"by its key for {job_class.dedup_window / US_PER_S:g} s"
            is_bounded = job_class.dedup_scope is not DedupScope.ALL
            return f"{window} within the {job_class.dedup_scope.value}" if is_bounded else window


def _list_source(settings: Settings) -> str:
    if settings.list_is_polled:
        return "asked for and watched"
    return "pushed on a watch" if settings.list_is_pushed else "told"


# --- what is doubtful ---


def _warnings(table: dict[str, Any], settings: Settings) -> Iterator[SettingWarning]:
    yield from _value_warnings(table)
    yield from _limit_warnings(table, settings)
    kinds = _list(table.get("machine_types"))
    rows = zip(rows_in(table, "lanes"), settings.classes, strict=False)
    for index, (row, job_class) in enumerate(rows):
        for key, text in _class_warnings(row, job_class, len(kinds)):
            yield SettingWarning(f"lanes[{index}].{key}", text)


def _value_warnings(table: dict[str, Any]) -> Iterator[SettingWarning]:
    for path, known in ENUMERATED_VALUES.items():
        value = _value_at(table, path)
        if value is not None and value not in known:
            yield SettingWarning(path, f"{value!r} is none of {', '.join(known)}; taken as {known[-1]}")
    for column in _list(table_in(table, "report").get("columns")):
        if column not in REPORT_COLUMNS:
            yield SettingWarning("report.columns", f"{column!r} is no value of a report; it is skipped")


def _limit_warnings(table: dict[str, Any], settings: Settings) -> Iterator[SettingWarning]:
    if settings.reports_by_probe and not settings.probes_allowed:
        yield SettingWarning("limits.probes", "reports come with probes alone, and none is allowed")
    zones = _list(table.get("azs"))
    if zones and not 0 <= settings.zone < len(zones):
        yield SettingWarning("my_zone", f"{settings.zone} is no place in azs")
    if settings.max_attempts < 1:
        yield SettingWarning("limits.max_attempts", "no attempt is allowed: every request is refused")
    if not 0 < settings.initial_capacity <= 1:
        yield SettingWarning("rules.start_capacity", f"{settings.initial_capacity:g} is no part from 0 to 1")
    if settings.collapse_multiple <= 1:
        yield SettingWarning("rules.fall_multiple", "a cold server may not even get what it can do")


def _class_warnings(row: dict[str, Any], job_class: JobClass, kinds: int) -> Iterator[SettingWarning]:
    """With keys within the class's row."""
    is_keyed = job_class.idempotency is Idempotency.KEYED
    if row.get("semantics") not in IDEMPOTENCY_BY_SEMANTICS:
        yield SettingWarning("semantics", f"{row.get('semantics')!r} is not known; it will never run twice")
    if is_keyed and row.get("group", "all") not in DEDUP_SCOPES:
        yield SettingWarning("group", f"{row.get('group')!r} is not known; repeats stay within the cell")
    if is_keyed and not job_class.dedup_window:
        yield SettingWarning("repeat_window_us", "a key that nobody remembers: it will never run twice")
    if row.get("streaming") is True:
        yield SettingWarning("streaming", "answers are passed on whole, once they have ended")
    deadline = row.get("deadline_us", DEFAULT_DEADLINE_US)
    if isinstance(deadline, int | float) and job_class.objective > deadline:
        yield SettingWarning("objective_us", "wanted only after the client has given up")
    if job_class.value <= 0:
        yield SettingWarning("worth", f"{job_class.value:g}: any other class goes before it")
    if not -1 <= job_class.machine_kind < max(kinds, 1):
        text = f"{job_class.machine_kind} is no place in machine_types: nothing runs it"
        yield SettingWarning("domain.class_kind", text)


def _list(value: object) -> list[Any]:
    return value if isinstance(value, list) else []


def _value_at(table: dict[str, Any], path: str) -> object:
    *tables, key = path.split(".")
    for name in tables:
        table = table_in(table, name)
    return table.get(key)
