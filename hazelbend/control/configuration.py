"""Validates the operators' configuration: a marshmallow schema, and rules that the schema can't express.

All errors are collected with their paths and reported together. Unknown fields are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

import orjson
from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

# The errors that marshmallow reports for a document: messages, nested by field name or list index.
SchemaMessages: TypeAlias = "Mapping[str | int, SchemaMessages] | Sequence[str]"

ROUTE_KINDS = ("safe", "unsafe", "stream")


@dataclass(slots=True, frozen=True)
class Finding:
    """One error in a configuration, with the path of the field, such as `routes[3].timeoutMs`."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


class InvalidConfigurationError(ValueError):
    """The configuration is invalid; `findings` holds every error."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


class _BaseSchema(Schema):
    class Meta:
        unknown = EXCLUDE


class _SplitSchema(_BaseSchema):
    backend = fields.String(required=True)
    weight = fields.Float(required=True, validate=validate.Range(min=0))


class _RouteSchema(_BaseSchema):
    name = fields.String(required=True)
    host = fields.String(required=True, validate=validate.Length(min=1))
    prefix = fields.String(required=True, validate=validate.Regexp(r"^/(.*/)?$"))
    kind = fields.String(required=True, validate=validate.OneOf(ROUTE_KINDS))
    timeoutMs = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))  # noqa: N815
    targetMs = fields.Integer(strict=True, validate=validate.Range(min=0))  # noqa: N815
    priority = fields.Integer(strict=True)
    backend = fields.String()
    split = fields.List(fields.Nested(_SplitSchema), validate=validate.Length(min=1))
    retries = fields.Integer(strict=True, validate=validate.Range(min=0))


class _ServiceSchema(_BaseSchema):
    name = fields.String(required=True, validate=validate.Length(min=1))
    healthPath = fields.String()  # noqa: N815
    maxConns = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815


class _LimitsSchema(_BaseSchema):
    maxHeaderBytes = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    maxBodyBytes = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    headerTimeoutMs = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    idleTimeoutMs = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815


class _ConfigurationSchema(_BaseSchema):
    version = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))
    routes = fields.List(fields.Nested(_RouteSchema), required=True)
    services = fields.List(fields.Nested(_ServiceSchema), required=True)
    limits = fields.Nested(_LimitsSchema)


_SCHEMA = _ConfigurationSchema()


def check_configuration(body: bytes) -> int:
    """Validate a configuration; returns its version.

    Raises:
        InvalidConfigurationError: the configuration is invalid; holds every error with its path.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfigurationError([Finding("body", f"no JSON: {error}")]) from None
    if not isinstance(document, dict):
        raise InvalidConfigurationError([Finding("body", "no JSON object")])
    try:
        configuration = _SCHEMA.load(document)
    except ValidationError as error:
        raise InvalidConfigurationError(schema_findings("", error.messages)) from None
    if findings := list(_rule_findings(configuration)):
        raise InvalidConfigurationError(findings)
    return int(configuration["version"])


def schema_findings(path: str, messages: SchemaMessages) -> Iterator[Finding]:
    """Flatten marshmallow's messages for a document into findings with paths."""
    if isinstance(messages, Mapping):
        for key, nested in messages.items():
            step = f"[{key}]" if isinstance(key, int) else f".{key}" if path else str(key)
            yield from schema_findings(path + step, nested)
    else:
        for text in messages:
            yield Finding(path, str(text))


def _rule_findings(configuration: dict[str, Any]) -> Iterator[Finding]:
    """Check that service names are unique, backends exist, and no two routes match the same requests."""
    services: set[str] = set()
    for index, service in enumerate(configuration["services"]):
        if service["name"] in services:
            yield Finding(f"services[{index}].name", f"{service['name']!r} stands twice")
        services.add(service["name"])
    index_by_match: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration["routes"]):
        path = f"routes[{index}]"
        yield from _backend_findings(path, route, services)
        match_key = (route["host"].lower(), route["prefix"])
        if match_key in index_by_match:
            first = index_by_match[match_key]
            yield Finding(f"{path}.prefix", f"the same host and prefix as routes[{first}]")
        index_by_match.setdefault(match_key, index)


def _backend_findings(path: str, route: dict[str, Any], services: set[str]) -> Iterator[Finding]:
    """Check that a route has either one backend or a split, of known services and with a positive weight."""
    if ("backend" in route) == ("split" in route):
        yield Finding(path, "needs one of backend and split")
        return
    if "backend" in route:
        if route["backend"] not in services:
            yield Finding(f"{path}.backend", f"unknown service {route['backend']!r}")
        return
    for index, target in enumerate(route["split"]):
        if target["backend"] not in services:
            yield Finding(f"{path}.split[{index}].backend", f"unknown service {target['backend']!r}")
    if sum(target["weight"] for target in route["split"]) <= 0:
        yield Finding(f"{path}.split", "the weights sum to 0")
