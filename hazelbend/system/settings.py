"""The settings file of a process: YAML, validated by marshmallow. Unknown keys are ignored.

Times are milliseconds or seconds in the file, by the suffix of the key, and microseconds in `Settings`.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeAlias

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from hazelbend.control.configuration_reader import Finding
from hazelbend.system.clock import MILLISECOND_US, SECOND_US

# The errors that marshmallow reports for a document: messages, nested by field name or list index.
SchemaMessages: TypeAlias = "Mapping[str | int, SchemaMessages] | Sequence[str]"

SETTINGS_PATH_VARIABLE = "HAZELBEND_CONFIG"  # the environment variable that names the settings file
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"  # IPv4 address and port
MAX_PORT = 65_535
CONTROL_PORT_OFFSET = 0  # from the first port of `portRange`


class SettingsError(ValueError):
    """A settings file is invalid. `findings` are all errors in it."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, findings)))


class _Table(Schema):
    class Meta:
        unknown = EXCLUDE


def _address(**options: Any) -> fields.String:
    return fields.String(validate=validate.Regexp(ADDRESS_PATTERN), **options)


class _ListenSchema(_Table):
    http = _address()
    readiness = _address()
    control = _address()


class _LimitsSchema(_Table):
    cpu_share = fields.Float(data_key="cpuShare", load_default=1.0)
    memory_mb = fields.Float(
        data_key="memoryMb", load_default=256.0, validate=validate.Range(min=0, min_inclusive=False)
    )
    max_fds = fields.Integer(data_key="maxFds", load_default=1024, validate=validate.Range(min=64))


class _FaultToleranceSchema(_Table):
    machines = fields.Integer(load_default=0, validate=validate.Range(min=0))


class _BoundsSchema(_Table):
    drain_ms = fields.Float(data_key="drainMs", load_default=2_000)
    grace_s = fields.Float(data_key="graceS", load_default=8)
    retry_ratio = fields.Float(data_key="retryRatio", load_default=0.2)
    retry_window_s = fields.Float(data_key="retryWindowS", load_default=10, validate=validate.Range(min=0.1))
    retry_slack = fields.Float(data_key="retrySlack", load_default=10)
    lease_ms = fields.Float(data_key="leaseMs", load_default=3_000)
    config_apply_ms = fields.Float(data_key="configApplyMs", load_default=2_000)
    contact_ms = fields.Float(data_key="contactMs", load_default=3_000, validate=validate.Range(min=0))


class _SettingsSchema(_Table):
    node_name = fields.String(data_key="nodeName", required=True)
    role = fields.String(load_default="")
    ip = fields.String(required=True)
    zone = fields.String(required=True)
    region = fields.String(load_default="")
    zones = fields.Dict(keys=fields.String(), values=fields.String(), load_default=dict)
    listen = fields.Nested(_ListenSchema, load_default=dict)
    port_range = fields.List(
        fields.Integer(validate=validate.Range(min=1, max=MAX_PORT)),
        data_key="portRange",
        required=True,
        validate=validate.Length(equal=2),
    )
    seeds = fields.List(_address(), load_default=list)
    bootstrap = fields.Boolean(load_default=False)
    counts_for_quorum = fields.Boolean(data_key="countsForQuorum", load_default=False)
    limits = fields.Nested(_LimitsSchema, load_default=lambda: _LimitsSchema().load({}))
    data_dir = fields.String(data_key="dataDir", load_default="", allow_none=True)
    heartbeat_ms = fields.Float(data_key="heartbeatMs", load_default=1_000, validate=validate.Range(min=10))
    fault_tolerance = fields.Nested(
        _FaultToleranceSchema,
        data_key="faultTolerance",
        load_default=lambda: _FaultToleranceSchema().load({}),
    )
    bounds = fields.Nested(_BoundsSchema, load_default=lambda: _BoundsSchema().load({}))


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one process. Addresses are `IP:PORT`, or empty if they are not set."""

    node_name: str
    role: str
    ip: str
    zone: str
    zones: dict[str, str]  # by node name
    http_address: str
    readiness_address: str
    control_address: str  # of the API
    port_range: tuple[int, int]  # first and last port for traffic inside the fleet
    seeds: tuple[str, ...]  # API addresses of machines
    bootstrap: bool  # whether it may bootstrap a new cluster
    counts_for_quorum: bool  # whether it may become a voter
    max_file_descriptors: int
    memory_mb: float  # of this process, in 10^6 bytes
    data_dir: Path | None
    heartbeat_us: int  # between heartbeats of a worker
    tolerated_losses: int  # machines that may fail at the same time
    grace_us: int  # from the termination signal to the end of the process
    retry_ratio: float  # see `placement.retry_budget`
    retry_window_us: int
    retry_slack: float
    lease_us: int  # of phase orders
    config_apply_us: int  # time in which an acknowledged configuration comes into force everywhere
    contact_us: int  # without contact to a majority for so long, a machine counts as out of touch

    @property
    def control_peer_address(self) -> str:
        """The address at which this machine's control process serves the fleet's other processes."""
        return f"{self.ip}:{self._control_peer_port}"

    @property
    def seed_peer_addresses(self) -> tuple[str, ...]:
        """The addresses at which the seeds' control processes serve the fleet's other processes."""
        return tuple(f"{split_address(seed)[0]}:{self._control_peer_port}" for seed in self.seeds)

    @property
    def _control_peer_port(self) -> int:
        first_port = self.port_range[0]
        return first_port + CONTROL_PORT_OFFSET


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_settings(text: str) -> Settings:
    """Return the settings in the text of a file.

    Raises:
        SettingsError: the text is invalid. It contains every finding, with its path in the file.
    """
    try:
        document = YAML(typ="safe", pure=True).load(text)
    except YAMLError as error:
        raise SettingsError([Finding("file", f"no YAML: {error}")]) from None
    if not isinstance(document, dict):
        raise SettingsError([Finding("file", "no table")])
    try:
        table = _SettingsSchema().load(document)
    except ValidationError as error:
        raise SettingsError(list(_schema_findings("", error.messages))) from None
    return _to_settings(table)


def _schema_findings(path: str, messages: SchemaMessages) -> Iterator[Finding]:
    """Flatten marshmallow's messages for a document into findings with paths."""
    if isinstance(messages, Mapping):
        for key, nested in messages.items():
            step = f"[{key}]" if isinstance(key, int) else f".{key}" if path else str(key)
            yield from _schema_findings(path + step, nested)
    else:
        for text in messages:
            yield Finding(path, str(text))


def _to_settings(table: dict[str, Any]) -> Settings:
    listen = table["listen"]
    bounds = table["bounds"]
    first_port, last_port = table["port_range"]
    data_dir = table["data_dir"]
    return Settings(
        node_name=table["node_name"],
        role=table["role"],
        ip=table["ip"],
        zone=table["zone"],
        zones=table["zones"],
        http_address=listen.get("http", ""),
        readiness_address=listen.get("readiness", ""),
        control_address=listen.get("control", ""),
        port_range=(first_port, last_port),
        seeds=tuple(table["seeds"]),
        bootstrap=table["bootstrap"],
        counts_for_quorum=table["counts_for_quorum"],
        max_file_descriptors=table["limits"]["max_fds"],
        memory_mb=table["limits"]["memory_mb"],
        data_dir=Path(data_dir) if data_dir else None,
        heartbeat_us=round(table["heartbeat_ms"] * MILLISECOND_US),
        tolerated_losses=table["fault_tolerance"]["machines"],
        grace_us=round(bounds["grace_s"] * SECOND_US),
        retry_ratio=bounds["retry_ratio"],
        retry_window_us=round(bounds["retry_window_s"] * SECOND_US),
        retry_slack=bounds["retry_slack"],
        lease_us=round(bounds["lease_ms"] * MILLISECOND_US),
        config_apply_us=round(bounds["config_apply_ms"] * MILLISECOND_US),
        contact_us=round(bounds["contact_ms"] * MILLISECOND_US),
    )
