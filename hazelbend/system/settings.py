"""The settings file of a process: YAML, checked by marshmallow. Unknown fields are ignored.

Times are milliseconds and seconds in the file, as its names say, and microseconds from here on.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from hazelbend.control.configuration import Finding, schema_findings

ENVIRONMENT = "HAZELBEND_CONFIG"
MILLISECOND, SECOND = 1_000, 1_000_000
CONTROL_PORT, ROUTER_PORT = 0, 1  # places in `portRange`


class SettingsError(ValueError):
    """A settings file that can't be used, with all that was found."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, findings)))


class _Table(Schema):
    class Meta:
        unknown = EXCLUDE


def _address(**options: Any) -> fields.String:
    return fields.String(validate=validate.Regexp(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"), **options)


class _Listen(_Table):
    http = _address()
    readiness = _address()
    control = _address()


class _Limits(_Table):
    cpuShare = fields.Float(load_default=1.0)  # noqa: N815
    memoryMb = fields.Float(load_default=256.0)  # noqa: N815
    maxFds = fields.Integer(load_default=1024, validate=validate.Range(min=64))  # noqa: N815


class _Tolerance(_Table):
    machines = fields.Integer(load_default=0, validate=validate.Range(min=0))


class _Bounds(_Table):
    drainMs = fields.Float(load_default=2_000)  # noqa: N815
    graceS = fields.Float(load_default=8)  # noqa: N815
    retryRatio = fields.Float(load_default=0.2)  # noqa: N815
    retryWindowS = fields.Float(load_default=10, validate=validate.Range(min=0.1))  # noqa: N815
    retrySlack = fields.Float(load_default=10)  # noqa: N815
    leaseMs = fields.Float(load_default=3_000)  # noqa: N815
    configApplyMs = fields.Float(load_default=2_000)  # noqa: N815


class _Settings(_Table):
    nodeName = fields.String(required=True)  # noqa: N815
    role = fields.String(load_default="")
    ip = fields.String(required=True)
    zone = fields.String(required=True)
    region = fields.String(load_default="")
    zones = fields.Dict(keys=fields.String(), values=fields.String(), load_default=dict)
    listen = fields.Nested(_Listen, load_default=dict)
    portRange = fields.List(  # noqa: N815
        fields.Integer(validate=validate.Range(min=1, max=65_535)),
        required=True,
        validate=validate.Length(equal=2),
    )
    seeds = fields.List(_address(), load_default=list)
    bootstrap = fields.Boolean(load_default=False)
    countsForQuorum = fields.Boolean(load_default=False)  # noqa: N815
    limits = fields.Nested(_Limits, load_default=lambda: _Limits().load({}))
    dataDir = fields.String(load_default="", allow_none=True)  # noqa: N815
    heartbeatMs = fields.Float(load_default=1_000, validate=validate.Range(min=10))  # noqa: N815
    faultTolerance = fields.Nested(_Tolerance, load_default=lambda: _Tolerance().load({}))  # noqa: N815
    bounds = fields.Nested(_Bounds, load_default=lambda: _Bounds().load({}))


@dataclass(slots=True, frozen=True)
class Settings:
    """What a process is told. Times in microseconds."""

    node: str
    role: str
    ip: str
    zone: str
    zones: dict[str, str]
    http: str
    readiness: str
    control: str
    ports: tuple[int, int]
    seeds: tuple[str, ...]  # control addresses of machines
    bootstrap: bool
    counted: bool
    max_descriptors: int
    data_folder: Path | None
    heartbeat: int
    tolerance: int
    grace: int
    retry_ratio: float
    retry_window: int
    retry_slack: float
    lease: int
    config_apply: int  # after which an acknowledged configuration holds everywhere

    @property
    def control_peer(self) -> str:
        """Where a control process on this machine is found by others of the fleet."""
        return f"{self.ip}:{self.ports[0] + CONTROL_PORT}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Where control processes on the seeds are found by others of the fleet."""
        return tuple(f"{seed.rpartition(':')[0]}:{self.ports[0] + CONTROL_PORT}" for seed in self.seeds)


def split_address(address: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_settings(text: str) -> Settings:
    """The settings in a file's text.

    Raises:
        SettingsError: with every finding and its place.
    """
    try:
        document = YAML(typ="safe", pure=True).load(text)
    except YAMLError as error:
        raise SettingsError([Finding("file", f"no YAML: {error}")]) from None
    if not isinstance(document, dict):
        raise SettingsError([Finding("file", "no table")])
    try:
        table = _Settings().load(document)
    except ValidationError as error:
        raise SettingsError(list(schema_findings("", error.messages))) from None
    return _settings(table)


def _settings(table: dict[str, Any]) -> Settings:
    listen, bounds = table["listen"], table["bounds"]
    first, last = table["portRange"]
    folder = table["dataDir"]
    return Settings(
        node=table["nodeName"],
        role=table["role"],
        ip=table["ip"],
        zone=table["zone"],
        zones=table["zones"],
        http=listen.get("http", ""),
        readiness=listen.get("readiness", ""),
        control=listen.get("control", ""),
        ports=(first, last),
        seeds=tuple(table["seeds"]),
        bootstrap=table["bootstrap"],
        counted=table["countsForQuorum"],
        max_descriptors=table["limits"]["maxFds"],
        data_folder=Path(folder) if folder else None,
        heartbeat=round(table["heartbeatMs"] * MILLISECOND),
        tolerance=table["faultTolerance"]["machines"],
        grace=round(bounds["graceS"] * SECOND),
        retry_ratio=bounds["retryRatio"],
        retry_window=round(bounds["retryWindowS"] * SECOND),
        retry_slack=bounds["retrySlack"],
        lease=round(bounds["leaseMs"] * MILLISECOND),
        config_apply=round(bounds["configApplyMs"] * MILLISECOND),
    )
