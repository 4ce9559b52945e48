"""The operators' configuration: its schema, by marshmallow, and the rules that a schema cannot say.

All findings are collected with their place and reported together. Unknown fields are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson
from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

KINDS = ("safe", "unsafe", "stream")


@dataclass(slots=True, frozen=True)
class Finding:
    """One fault of a configuration, and where it stands (`routes[3].timeoutMs`)."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


class InvalidConfigurationError(ValueError):
    """A configuration that may not be put in force, with all that was found."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


class _Table(Schema):
    class Meta:
        unknown = EXCLUDE


class _Share(_Table):
    backend = fields.String(required=True)
    weight = fields.Float(required=True, validate=validate.Range(min=0))


class _Route(_Table):
    name = fields.String(required=True)
    host = fields.String(required=True, validate=validate.Length(min=1))
    prefix = fields.String(required=True, validate=validate.Regexp(r"^/(.*/)?$"))
    kind = fields.String(required=True, validate=validate.OneOf(KINDS))
    timeoutMs = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))  # noqa: N815
    targetMs = fields.Integer(strict=True, validate=validate.Range(min=0))  # noqa: N815
    priority = fields.Integer(strict=True)
    backend = fields.String()
    split = fields.List(fields.Nested(_Share), validate=validate.Length(min=1))
    retries = fields.Integer(strict=True, validate=validate.Range(min=0))


class _Service(_Table):
    name = fields.String(required=True, validate=validate.Length(min=1))
    healthPath = fields.String()  # noqa: N815
    maxConns = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815


class _Limits(_Table):
    maxHeaderBytes = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    maxBodyBytes = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    headerTimeoutMs = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815
    idleTimeoutMs = fields.Integer(strict=True, validate=validate.Range(min=1))  # noqa: N815


class _Configuration(_Table):
    version = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))
    routes = fields.List(fields.Nested(_Route), required=True)
    services = fields.List(fields.Nested(_Service), required=True)
    limits = fields.Nested(_Limits)


_SCHEMA = _Configuration()


def check_configuration(body: bytes) -> int:
    """The version of a configuration that may be put in force.

    Raises:
        InvalidConfigurationError: with every finding and its place.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfigurationError([Finding("body", f"no JSON: {error}")]) from None
    if not isinstance(document, dict):
        raise InvalidConfigurationError([Finding("body", "no JSON object")])
    try:
        table = _SCHEMA.load(document)
    except ValidationError as error:
        raise InvalidConfigurationError(schema_findings("", error.messages)) from None
    if findings := list(_rule_findings(table)):
        raise InvalidConfigurationError(findings)
    return int(table["version"])


def schema_findings(place: str, messages: Any) -> Iterator[Finding]:
    """The findings in what marshmallow says of a document, each with its place."""
    if isinstance(messages, dict):
        for key, inner in messages.items():
            step = f"[{key}]" if isinstance(key, int) else f".{key}" if place else str(key)
            yield from schema_findings(place + step, inner)
    else:
        for text in messages:
            yield Finding(place, str(text))


def _rule_findings(table: dict[str, Any]) -> Iterator[Finding]:
    services: set[str] = set()
    for index, service in enumerate(table["services"]):
        if service["name"] in services:
            yield Finding(f"services[{index}].name", f"{service['name']!r} stands twice")
        services.add(service["name"])
    places: dict[tuple[str, str], int] = {}
    for index, route in enumerate(table["routes"]):
        place = f"routes[{index}]"
        yield from _split_findings(place, route, services)
        key = (route["host"].lower(), route["prefix"])
        if key in places:
            yield Finding(f"{place}.prefix", f"the same host and prefix as routes[{places[key]}]")
        places.setdefault(key, index)


def _split_findings(place: str, route: dict[str, Any], services: set[str]) -> Iterator[Finding]:
    if ("backend" in route) == ("split" in route):
        yield Finding(place, "needs one of backend and split")
        return
    if "backend" in route:
        if route["backend"] not in services:
            yield Finding(f"{place}.backend", f"unknown service {route['backend']!r}")
        return
    for number, share in enumerate(route["split"]):
        if share["backend"] not in services:
            yield Finding(f"{place}.split[{number}].backend", f"unknown service {share['backend']!r}")
    if sum(share["weight"] for share in route["split"]) <= 0:
        yield Finding(f"{place}.split", "the weights sum to 0")
