"""Decodes the settings of a dispatcher from the platform's JSON object. Unknown keys are ignored."""

from __future__ import annotations

from typing import Any

from hazelbend.decisions.interface import DedupScope, Idempotency, JobClass, Settings


class SettingsError(ValueError):
    """A setting has the wrong type; the message names its key."""


def _number(table: dict[str, Any], key: str, default: float) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"settings: {key!r} is not a number")
    return value


def _integer(table: dict[str, Any], key: str, default: int) -> int:
    return int(_number(table, key, default))


def table_in(table: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the table under a key, or an empty one if the key is absent.

    Raises:
        SettingsError: the value is not a table.
    """
    value = table.get(key, {})
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key!r} is not an object")
    return value


def rows_in(table: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Return the list of tables under a key, or an empty one if the key is absent.

    Raises:
        SettingsError: the value is not a list of tables.
    """
    value = table.get(key, [])
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise SettingsError(f"settings: {key!r} is not a list of objects")
    return value


def _at(values: object, index: int, default: float) -> float:
    """Return a job class's number from a list indexed by class, which may be absent or too short."""
    if isinstance(values, list) and index < len(values) and isinstance(values[index], int | float):
        return float(values[index])
    return default


IDEMPOTENCY_BY_SEMANTICS = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.UNSAFE,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}


def _job_class(lane: dict[str, Any], index: int, domain: dict[str, Any]) -> JobClass:
    base = JobClass()
    stretch = _number(lane, "aim_stretch", _at(domain.get("class_stretch"), index, base.stretch))
    return JobClass(
        objective=_integer(lane, "objective_us", base.objective),
        stretch=stretch,
        value=_number(lane, "worth", base.value),
        late_value_fraction=_number(lane, "late_worth", base.late_value_fraction),
        idempotency=IDEMPOTENCY_BY_SEMANTICS.get(str(lane.get("semantics")), base.idempotency),
        dedup_scope=DEDUP_SCOPES.get(str(lane.get("group", "all")), DedupScope.CELL),
        dedup_window=_integer(lane, "repeat_window_us", base.dedup_window),
        machine_kind=int(_at(domain.get("class_kind"), index, base.machine_kind)),
    )


def settings_from(document: object) -> Settings:
    """Decode the platform's settings object.

    Raises:
        SettingsError: a value has the wrong type.
    """
    if not isinstance(document, dict):
        raise SettingsError("settings: not a JSON object")
    base = Settings()
    limits = table_in(document, "limits")
    rules = table_in(document, "rules")
    domain = table_in(document, "domain")
    charges = table_in(document, "charges")
    report = table_in(document, "report")
    classes = tuple(_job_class(lane, index, domain) for index, lane in enumerate(rows_in(document, "lanes")))
    return Settings(
        fleet_size=max(1, _integer(document, "fleet_size", base.fleet_size)),
        zone=_integer(document, "my_zone", base.zone),
        classes=classes or base.classes,
        value_per_work=document.get("value_by") == "work",
        list_is_polled=document.get("membership_mode") == "ask",
        max_poll_interval=_integer(rules, "ask_within_us", base.max_poll_interval),
        weights_enabled=document.get("weight_kind") != "off",
        weights_fall_with_load=document.get("weight_kind") == "live",
        reports_by_probe=report.get("via") == "on_probe",
        reports_inline=report.get("via") == "inline",
        probes_allowed=bool(limits.get("probes", base.probes_allowed)),
        cancel_allowed=bool(limits.get("cancel", base.cancel_allowed)),
        hedging_allowed=bool(limits.get("may_duplicate", base.hedging_allowed)),
        max_attempts=_integer(limits, "max_attempts", base.max_attempts),
        probe_charge=_number(charges, "probe", base.probe_charge),
        cross_zone_charge=_number(charges, "cross_zone", base.cross_zone_charge),
        handshake_charge=_number(charges, "handshake", base.handshake_charge),
        keepalive_timeout=_integer(limits, "keepalive_us", base.keepalive_timeout),
        tick=_integer(document, "tick_us", base.tick),
        collapse_multiple=_number(rules, "fall_multiple", base.collapse_multiple),
        collapse_window=_integer(rules, "fall_us", base.collapse_window),
        initial_capacity=_number(rules, "start_capacity", base.initial_capacity),
        warmup_duration=_integer(rules, "warm_after_us", base.warmup_duration),
        reports_job_starts=bool(domain.get("tells_start", base.reports_job_starts)),
        progress_interval=_integer(domain, "progress_us", base.progress_interval),
    )


def report_fields(document: dict[str, Any]) -> dict[str, str]:
    """Return the `LoadReport` field for each column name that reports may use under these settings."""
    fields = {"outstanding": "in_flight", "backlog": "queued"}
    if "free slots" in str(table_in(document, "domain").get("report_x0", "")):
        fields["x0"] = "free_slots"
    return fields
