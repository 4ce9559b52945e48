"""The one place where configuration is read, checked and given defaults. Errors name the faulty key."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from hazelbend.decisions.interface import Effect, Settings
from hazelbend.decisions.settings import SettingsError, report_fields, settings_from
from hazelbend.protocol.discovery import ListReader
from hazelbend.protocol.http_fields import Catalogue, ClassRow
from hazelbend.protocol.worker_lines import LoadFields
from hazelbend.routing.ports import ServiceList


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: str | None
    seed: int
    sockets: int
    known: ServiceList
    settings: Settings
    catalogue: Catalogue
    reader: ListReader
    load_fields: LoadFields
    connect_timeout: float  # seconds
    keepalive: float  # seconds


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """From the file that RELAY_CONFIG names; the other variables stand in for what it leaves out."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set; it names the configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error.strerror}") from None
    try:
        conf = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(conf, dict):
        raise ConfigError(f"{path}: no JSON object")
    for key, variable in (
        ("name", "RELAY_NAME"),
        ("listen", "RELAY_LISTEN"),
        ("discovery", "RELAY_DISCOVERY"),
    ):
        if key not in conf and variable in environment:
            conf[key] = environment[variable]
    return from_object(conf)


def from_object(conf: dict[str, Any]) -> Config:
    listen = _address(_get(conf, "listen", str))
    discovery = _get(conf, "discovery", str, "")
    if discovery:
        _address(discovery, "discovery")
    try:
        seed = int(_get(conf, "seed", str, "0"), 16)
    except ValueError:
        raise ConfigError("seed: no hexadecimal number") from None
    raw = _get(conf, "settings", dict)
    try:
        settings = settings_from(raw)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    # The settings name a report's fields in the wire's words, the sockets may use the site's.
    names = report_fields(raw)
    names |= {"inflight": names["outstanding"], "queue": names["backlog"]}
    lanes = _get(raw, "lanes", list, [], "settings.")
    classes = tuple(
        ClassRow(
            str(lane.get("name")),
            int(lane.get("deadline_us", 5_000_000)) // 1_000,
            job.effect is Effect.KEYED,
        )
        for lane, job in zip(lanes, settings.classes, strict=False)
    )
    if not classes:
        raise ConfigError("settings.lanes: names no class")
    tenants = tuple(str(org.get("name")) for org in _get(raw, "orgs", list, [], "settings."))
    zones = tuple(map(str, _get(raw, "azs", list, [], "settings.")))
    kinds = tuple(map(str, _get(raw, "machine_types", list, [], "settings.")))
    reader = ListReader(zones, kinds)
    try:
        known = reader.from_object(conf.get("known", {"seq": 0, "whole": True, "hosts": []}))
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    limits = _get(conf, "limits", dict, {})
    site = _get(raw, "limits", dict, {}, "settings.")
    return Config(
        name=_get(conf, "name", str, "hazelbend"),
        listen=listen,
        discovery=discovery or None,
        seed=seed,
        sockets=_get(limits, "sockets", int, 1_024, "limits."),
        known=known,
        settings=settings,
        catalogue=Catalogue(classes, tenants),
        reader=reader,
        load_fields=LoadFields(names),
        connect_timeout=_get(site, "connect_timeout_us", int, 250_000, "settings.limits.") / 1e6,
        keepalive=_get(site, "keepalive_us", int, 60_000_000, "settings.limits.") / 1e6,
    )


def _get(table: Mapping[str, Any], key: str, kind: type, default: Any = None, prefix: str = "") -> Any:
    value = table.get(key, default)
    if value is None:
        raise ConfigError(f"{prefix}{key}: missing")
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(f"{prefix}{key}: not of type {kind.__name__}")
    return value


def _address(text: str, key: str = "listen") -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise ConfigError(f"{key}: {text!r} is no address:port")
    return host, int(port)
