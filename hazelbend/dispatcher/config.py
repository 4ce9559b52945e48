"""The dispatcher's configuration: the platform's JSON file, which RELAY_CONFIG names, and our deploy files.

Errors name the faulty key. Each deploy file enables one component; `deploy_files` reads them.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from hazelbend.decisions.interface import Idempotency, Settings
from hazelbend.decisions.settings import SettingsError, report_fields, settings_from
from hazelbend.dispatcher.config_table import ConfigError, ConfigTable
from hazelbend.dispatcher.deploy_files import DeploySettings, SnmpSettings, deploy_folder, read_deploy_files
from hazelbend.dispatcher.settings_report import SettingsReport, report_settings
from hazelbend.dispatcher.tracked_table import TrackedTable
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.protocol.http_fields import Catalogue, RequestClass
from hazelbend.protocol.worker_lines import LoadReportFields
from hazelbend.routing.ports import EndpointList
from hazelbend.transport.stomp.stomp_settings import StompSettings

if TYPE_CHECKING:
    from hazelbend.dns_discovery.settings import SrvSettings
    from hazelbend.job_queue.settings import WaitingSettings
    from hazelbend.leases.settings import FleetSettings

__all__ = ["Config", "ConfigError", "from_object", "load", "restart_only_changes", "with_deploy_files"]

PASSED_SOCKET = "RELAY_PASSED_SOCKET"
FROM_ENVIRONMENT = ("name", "listen", "discovery", "ops")  # keys that RELAY_... variables replace if missing
HANDOVER_DIGEST_BYTES = 6
US_PER_S = 1e6
US_PER_MS = 1_000


@dataclass(slots=True, frozen=True)
class Config:
    """The whole configuration of a dispatcher.

    A reload logs the names of the fields that have changed.
    """

    name: str
    listen: tuple[str, int]
    discovery: str | None
    seed: int
    sockets: int  # limit of open file descriptors
    memory_mb: float  # limit of the memory of the process, in 10^6 bytes
    known: EndpointList
    settings: Settings
    catalogue: Catalogue
    reader: EndpointListCodec
    load_fields: LoadReportFields
    connect_timeout: float  # seconds
    keepalive: float  # seconds
    settings_report: SettingsReport = field(compare=False)
    ops: tuple[str, int] | None = None  # address of the admin listener
    passed_socket: int | None = None  # descriptor of the client listener, which the platform keeps open
    handover: Path | None = None  # socket on which the next process of an upgrade fetches the state
    stomp: StompSettings | None = None
    snmp: SnmpSettings | None = None
    console: Path | None = None
    srv: SrvSettings | None = None
    waiting: WaitingSettings | None = None
    fleet: FleetSettings | None = None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Return the configuration from environment variables and the files that they name.

    Raises:
        ConfigError: the configuration is invalid.
    """
    content = _read_platform_file(environment)
    for key in FROM_ENVIRONMENT:
        if key not in content and (value := environment.get(f"RELAY_{key.upper()}")):
            content[key] = value
    config = from_object(content)
    passed_socket = _passed_socket(environment.get(PASSED_SOCKET, ""))
    temporary_folder = environment.get("TMPDIR")
    handover = None
    if passed_socket is not None and temporary_folder:
        handover = Path(temporary_folder) / _handover_file_name(config.name)
    config = replace(config, passed_socket=passed_socket, handover=handover)
    return with_deploy_files(config, deploy_folder(environment), content)


def with_deploy_files(config: Config, folder: Path, content: dict[str, Any]) -> Config:
    """Return the configuration with the components that the deploy files in `folder` enable.

    `content` is the platform's JSON object.

    Raises:
        ConfigError: a deploy file is invalid.
    """
    settings_table = ConfigTable(content, "").sub("settings")
    enabled = read_deploy_files(folder, settings_table, config.catalogue)
    return replace(
        config, **{component.name: getattr(enabled, component.name) for component in fields(DeploySettings)}
    )


def _read_platform_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set; it names the configuration file")
    try:
        content = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError(f"{path}: no JSON object")
    return content


def _handover_file_name(name: str) -> str:
    """Return the file name, with a digest of the name: it may contain characters that a path may not."""
    return f"hazelbend-{blake2b(name.encode(), digest_size=HANDOVER_DIGEST_BYTES).hexdigest()}.next"


def _passed_socket(text: str) -> int | None:
    """Parse the descriptor that the platform passes. Whether it is a listener is checked at the start."""
    if not text:
        return None
    if not text.isascii() or not text.isdecimal() or not 2 < int(text) < 1_000_000:
        raise ConfigError(f"{PASSED_SOCKET}: {text!r} is no descriptor")
    return int(text)


# --- the platform's file ---


class _PlatformSettings(NamedTuple):
    """The platform's `settings`, in the form that the decision module and the listeners need."""

    settings: Settings
    load_fields: LoadReportFields
    catalogue: Catalogue
    reader: EndpointListCodec


def from_object(content: dict[str, Any]) -> Config:
    """Return the configuration in the platform's JSON object.

    Unknown keys are skipped, as the platform may add new ones.

    Raises:
        ConfigError: the object is invalid.
    """
    if isinstance(content.get("settings"), dict):
        content = content | {"settings": TrackedTable(content["settings"])}
    table = ConfigTable(content, "")
    discovery = table.get("discovery", str, "")
    if discovery:
        table.parse_address("discovery", discovery)
    seed = _seed(table)
    settings_table = table.sub("settings")
    settings_content = table.get("settings", dict)
    platform = _platform_settings(settings_table, settings_content, has_discovery=bool(discovery))
    known = _known_endpoints(content, platform.reader)
    limits = settings_table.sub("limits")
    return Config(
        connect_timeout=limits.number("connect_timeout_us", 250_000, 1_000, 60_000_000) / US_PER_S,
        keepalive=limits.number("keepalive_us", 60_000_000, 100_000, 3_600_000_000) / US_PER_S,
        name=table.get("name", str, "hazelbend"),
        listen=table.address("listen"),
        discovery=discovery or None,
        seed=seed,
        sockets=table.sub("limits").number("sockets", 1_024, 128, 1_000_000),
        memory_mb=table.sub("limits").number("memory_mb", 256, 1, 1_000_000),
        known=known,
        settings=platform.settings,
        catalogue=platform.catalogue,
        reader=platform.reader,
        load_fields=platform.load_fields,
        ops=table.address("ops") if table.get("ops", str, "") else None,
        settings_report=report_settings(settings_content, platform.settings),
    )


def _seed(table: ConfigTable) -> int:
    try:
        return int(table.get("seed", str, "0"), 16)
    except ValueError:
        raise table.error("seed", "no hexadecimal number") from None


def _platform_settings(
    table: ConfigTable, content: dict[str, Any], *, has_discovery: bool
) -> _PlatformSettings:
    try:
        settings = settings_from(content)
        # Over sockets the dispatcher gets a pushed list by a watch too, like a list that it polls.
        settings = replace(settings, list_is_pushed=has_discovery and not settings.list_is_polled)
        names = report_fields(content)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    # `names` has the protocol's names of the fields of a load report; over sockets a site may use these two.
    names |= {"inflight": names["outstanding"], "queue": names["backlog"]}
    catalogue = _catalogue(table, settings)
    reader = EndpointListCodec(table.texts("azs"), table.texts("machine_types"))
    return _PlatformSettings(settings, LoadReportFields(names), catalogue, reader)


def _catalogue(table: ConfigTable, settings: Settings) -> Catalogue:
    classes = tuple(
        RequestClass(
            row.get("name", str),
            row.number("deadline_us", 5_000_000, 1, 3_600_000_000) // US_PER_MS,
            job_class.idempotency is Idempotency.KEYED,
        )
        for row, job_class in zip(table.rows("lanes"), settings.classes, strict=False)
    )
    if not classes:
        raise table.error("lanes", "names no class")
    return Catalogue(classes, tuple(row.get("name", str) for row in table.rows("orgs")))


def _known_endpoints(content: dict[str, Any], reader: EndpointListCodec) -> EndpointList:
    try:
        return reader.from_object(content.get("known", {"seq": 0, "whole": True, "hosts": []}))
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None


# --- reload ---


def restart_only_changes(old: Config, new: Config) -> list[str]:
    """Return the names of the fields that differ but that only a restart can change."""
    # Endpoints and open requests refer to zones, kinds, classes and tenants by index: new ones may only be
    # added at the end.
    extends = new.catalogue.extends(old.catalogue) and new.reader.adopt_numbers(old.reader)
    names = () if extends else ("settings", "catalogue", "reader")
    return [
        name
        for name in ("listen", "seed", "known", "memory_mb", "stomp", "snmp", "console", "fleet", *names)
        if getattr(old, name) != getattr(new, name)
    ]
