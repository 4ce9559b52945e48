"""The deploy files, TOML files under `deploy/`, each of which enables one component.

Errors name the file and the key. A component that no file enables is neither opened nor imported. The
environment variable `HAZELBEND_DEPLOY` names another folder.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from hazelbend.dispatcher.config_table import ConfigError, ConfigTable
from hazelbend.protocol.http_fields import Catalogue
from hazelbend.transport.stomp.stomp_settings import (
    ClientAccount,
    MailboxLimits,
    StompSettings,
    WorkerAccount,
)

if TYPE_CHECKING:
    from hazelbend.dns_discovery.settings import SrvSettings
    from hazelbend.job_queue.settings import WaitingSettings
    from hazelbend.leases.settings import FleetSettings

DEPLOY_VARIABLE = "HAZELBEND_DEPLOY"  # names another folder
PASSCODE_DIGITS = 64  # of a SHA-256, in hexadecimal

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class SnmpSettings:
    """The SNMP agent's address and community, and the addresses that it notifies."""

    host: str
    port: int
    community: str
    notify: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True, frozen=True)
class DeploySettings:
    """The settings of each component; None where it is not enabled."""

    stomp: StompSettings | None
    snmp: SnmpSettings | None
    console: Path | None  # the console's socket
    srv: SrvSettings | None
    waiting: WaitingSettings | None
    fleet: FleetSettings | None


class PlatformNames(NamedTuple):
    """Names in the platform's settings that the deploy files refer to."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    catalogue: Catalogue


class _Login(NamedTuple):
    name: str
    passcode_digest: str


def read_deploy_files(folder: Path, platform_settings: ConfigTable, catalogue: Catalogue) -> DeploySettings:
    """Return the settings of the components that the files in this folder enable.

    `platform_settings`: the table `settings` of the platform's file.

    Raises:
        ConfigError: a file can't be read, or one of its keys is invalid.
    """
    zones = platform_settings.texts("azs")
    kinds = platform_settings.texts("machine_types")
    names = PlatformNames(zones, kinds, catalogue)
    return DeploySettings(
        stomp=_if_enabled(folder / "stomp.toml", lambda table: _read_stomp(table, names)),
        snmp=_if_enabled(folder / "snmp.toml", _read_snmp),
        console=_if_enabled(folder / "console.toml", _read_console),
        srv=_if_enabled(folder / "srv.toml", lambda table: _read_srv(table, names)),
        waiting=_if_enabled(folder / "waiting.toml", lambda table: _read_waiting(table, names)),
        fleet=_if_enabled(
            folder / "fleet.toml", lambda table: _read_fleet_if_allowed(table, platform_settings)
        ),
    )


def console_socket(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the console socket of this machine's dispatcher.

    Raises:
        ConfigError: console.toml does not enable the console, or is invalid.
    """
    path = _if_enabled(deploy_folder(environment) / "console.toml", _console_path)
    if path is None:
        raise ConfigError("deploy/console.toml: does not enable the console; name a socket with --socket")
    return path


def fleet_settings(environment: Mapping[str, str] = os.environ) -> FleetSettings:
    """Return the fleet settings of this machine's dispatcher, for commands that run beside it.

    Raises:
        ConfigError: fleet.toml does not enable a fleet, or is invalid.
    """
    path = deploy_folder(environment) / "fleet.toml"
    settings = _if_enabled(path, _read_fleet)
    if settings is None:
        raise ConfigError(f"{path}: does not enable a fleet")
    return settings


def deploy_folder(environment: Mapping[str, str]) -> Path:
    """Return the folder with the deploy files."""
    return Path(environment.get(DEPLOY_VARIABLE, "deploy"))


def _if_enabled(path: Path, read: Callable[[ConfigTable], T]) -> T | None:
    """Return the settings in a deploy file; None if it does not exist or lacks `enabled = true`."""
    table = _enabled(path)
    return read(table) if table is not None else None


def _enabled(path: Path) -> ConfigTable | None:
    """Return the table in a deploy file; None if it does not exist or does not enable its component."""
    try:
        table = ConfigTable(tomllib.loads(path.read_text()), f"{path}: ")
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return table if table.get("enabled", bool) else None


@contextmanager
def _errors_of(table: ConfigTable, requirements: str) -> Iterator[None]:
    """Convert errors of a deploy file's schema to a ConfigError that names the file.

    If the packages of the component are missing, the error names the requirements file to install.
    """
    try:
        yield
    except ImportError as error:
        raise table.error("enabled", f"needs {requirements} ({error.name} is missing)") from None
    except ValueError as error:
        raise ConfigError(f"{table.prefix}{error}") from None


# --- one reader for each component ---


def _read_fleet(table: ConfigTable) -> FleetSettings:
    with _errors_of(table, "requirements-fleet.txt"):
        from hazelbend.leases.settings import read_settings

        return read_settings(table.table)


def _read_fleet_if_allowed(table: ConfigTable, platform_settings: ConfigTable) -> FleetSettings:
    """Read the fleet's settings for a dispatcher, whose platform may forbid that dispatchers share state."""
    if platform_settings.sub("limits").get("peers", bool, True) is False:
        raise table.error("enabled", "settings.limits.peers is false: dispatchers here share nothing")
    return _read_fleet(table)


def _read_srv(table: ConfigTable, names: PlatformNames) -> SrvSettings:
    with _errors_of(table, "requirements-srv.txt"):
        from hazelbend.dns_discovery.settings import read_settings

        return read_settings(table.table, names.zones, names.kinds)


def _read_waiting(table: ConfigTable, names: PlatformNames) -> WaitingSettings:
    with _errors_of(table, "requirements-waiting.txt"):
        from hazelbend.job_queue.settings import read_settings

        classes = tuple(row.name for row in names.catalogue.classes)
        return read_settings(table.table, classes, names.catalogue.tenants)


def _read_snmp(table: ConfigTable) -> SnmpSettings:
    host, port = table.address("listen")
    community = table.get("community", str)  # no default: a common community would be easy to guess
    notify = tuple(table.parse_address("notify", text) for text in table.texts("notify"))
    if not community:
        raise table.error("community", "empty")
    table.reject_unknown_keys()
    return SnmpSettings(host, port, community, notify)


def _console_path(table: ConfigTable) -> Path:
    return Path(table.get("socket", str))


def _read_console(table: ConfigTable) -> Path:
    path = _console_path(table)
    table.reject_unknown_keys()
    return path


def _read_stomp(table: ConfigTable, names: PlatformNames) -> StompSettings:
    host, port = table.address("listen")
    logins: set[str] = set()
    clients = tuple(_read_client(row, names, logins) for row in table.rows("client"))
    workers = tuple(_read_worker(row, names, logins) for row in table.rows("box"))
    settings = StompSettings(
        host=host,
        port=port,
        clients=clients,
        workers=workers,
        heart_beat_ms=(
            table.number("heart_beat_out_ms", 10_000, 0, 600_000),
            table.number("heart_beat_in_ms", 10_000, 0, 600_000),
        ),
        connections=table.number("connections", 64, 1, 100_000),
        write_limit=table.number("write_limit", 1_048_576, 65_536, 1 << 30),
        mailbox_limits=_read_mailbox_limits(table),
    )
    table.reject_unknown_keys()
    return settings


def _read_mailbox_limits(table: ConfigTable) -> MailboxLimits:
    default = MailboxLimits()
    return MailboxLimits(
        waiting=table.number("waiting", default.waiting, 1, 1_000_000),
        waiting_bytes=table.number("waiting_bytes", default.waiting_bytes, 65_536, 1 << 30),
        remembered=table.number("remembered", default.remembered, 0, 10_000_000),
        total_bytes=table.number("total_bytes", default.total_bytes, 65_536, 1 << 40),
        keep_s=float(table.number("keep_s", int(default.keep_s), 1, 86_400)),
    )


def _read_client(row: ConfigTable, names: PlatformNames, logins: set[str]) -> ClientAccount:
    login = _read_login(row, logins)
    tenants = row.texts("tenants")
    for tenant in tenants:
        if tenant not in names.catalogue.tenants:
            raise row.error("tenants", f"unknown tenant {tenant!r}")
    row.reject_unknown_keys()
    return ClientAccount(login.name, login.passcode_digest, tenants)


def _read_worker(row: ConfigTable, names: PlatformNames, logins: set[str]) -> WorkerAccount:
    login = _read_login(row, logins)
    cell = row.number("cell", 0, 0, 65_535)
    weight = row.get("weight", float, 1.0)
    if not 0 < weight < 1e6:
        raise row.error("weight", "not a positive number")
    zone = row.index_of("zone", names.zones)
    kind = row.index_of("kind", names.kinds)
    row.reject_unknown_keys()
    return WorkerAccount(login.name, login.passcode_digest, zone, kind, cell, weight)


def _read_login(row: ConfigTable, logins: set[str]) -> _Login:
    """Read a login, which must not be in `logins`, and add it to them."""
    name = row.get("login", str)
    digest = row.get("passcode_sha256", str).lower()
    if not name or name in logins:
        raise row.error("login", f"{name!r} is empty or a duplicate")
    if len(digest) != PASSCODE_DIGITS or any(digit not in "0123456789abcdef" for digit in digest):
        raise row.error("passcode_sha256", f"not {PASSCODE_DIGITS} hexadecimal digits")
    logins.add(name)
    return _Login(name, digest)
