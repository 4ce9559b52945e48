"""Reads the operators' configuration documents, in control processes and in routers.

A control process accepts a document only if this module can read it, and a router puts into force each
document that this module can read. All findings are collected with their paths and reported together.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from hazelbend.control.configuration import Configuration, Route

# The levels of objects and arrays that an accepted document may have. Decoding is recursive, and how deep it
# can go depends on the caller's stack, so the bound is far below that.
MAX_NESTING = 64

_decoder: msgspec.json.Decoder[Configuration] = msgspec.json.Decoder(Configuration)


@dataclass(slots=True, frozen=True)
class Finding:
    """One error in a document, with the path of the field, such as `routes[3].timeoutMs`."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


class InvalidConfigurationError(ValueError):
    """The configuration is invalid; `findings` holds every error."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


def check_configuration(body: bytes) -> int:
    """Check a document that is to be accepted; returns its version.

    Raises:
        InvalidConfigurationError: the configuration is invalid; holds every error with its path.
    """
    configuration = read_configuration(body)
    if _nesting(_decode_untyped(body)) > MAX_NESTING:
        raise InvalidConfigurationError([Finding("body", f"more than {MAX_NESTING} levels")])
    return configuration.version


def read_configuration(body: bytes) -> Configuration:
    """Read a document.

    Raises:
        InvalidConfigurationError: the configuration is invalid; holds every error with its path.
    """
    try:
        # Decoded first, since the JSON decoder does not look into the text of unknown fields.
        configuration = _decoder.decode(body.decode())
    except msgspec.ValidationError as error:
        findings = list(_field_findings("", _decode_untyped(body), Configuration))
        raise InvalidConfigurationError(findings or [Finding("body", str(error))]) from None
    except (UnicodeDecodeError, msgspec.DecodeError) as error:
        raise InvalidConfigurationError([Finding("body", f"no JSON: {error}")]) from None
    except RecursionError:
        raise InvalidConfigurationError([Finding("body", "too many levels")]) from None
    if findings := list(_rule_findings(configuration)):
        raise InvalidConfigurationError(findings)
    return configuration


def is_readable(body: bytes) -> bool:
    """Whether `read_configuration` can read a document; faster, since it does not collect the findings."""
    try:
        configuration = _decoder.decode(body.decode())
    except (UnicodeDecodeError, msgspec.DecodeError, RecursionError):
        return False
    return not any(_rule_findings(configuration))


def _decode_untyped(body: bytes) -> Any:  # noqa: ANN401 (any JSON value)
    """Decode a document into dicts and lists.

    Raises:
        InvalidConfigurationError: it is not JSON, behind the value in which the typed decoder found an error.
    """
    try:
        return msgspec.json.decode(body.decode())
    except (UnicodeDecodeError, msgspec.DecodeError) as error:
        raise InvalidConfigurationError([Finding("body", f"no JSON: {error}")]) from None
    except RecursionError:
        raise InvalidConfigurationError([Finding("body", "too many levels")]) from None


def _nesting(document: object) -> int:
    """The number of levels of objects and arrays."""
    levels = 0
    level = [document]
    while level := [value for value in level if isinstance(value, dict | list)]:
        levels += 1
        level = [
            nested for value in level for nested in (value.values() if isinstance(value, dict) else value)
        ]
    return levels


# --- fields ---


def _field_findings(path: str, value: object, expected: Any) -> Iterator[Finding]:  # noqa: ANN401 (a type)
    """Yield a finding for each part of `value` that does not have the expected type.

    The decoder stops at its first error, so each part is converted by itself.
    """
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        type_info = msgspec.inspect.type_info(expected)
        nested = list(_nested_findings(path, value, type_info))
        yield from nested or [Finding(path or "body", _expectation(type_info, error))]


def _nested_findings(path: str, value: object, expected: msgspec.inspect.Type) -> Iterator[Finding]:
    """Yield the findings inside an object or array; none if it is a value of another type."""
    match expected:
        case msgspec.inspect.UnionType(types=types):
            for member in types:
                yield from _nested_findings(path, value, member)
        case msgspec.inspect.StructType(cls=cls) if isinstance(value, Mapping):
            yield from _struct_findings(path, value, cls)
        case msgspec.inspect.VarTupleType(item_type=msgspec.inspect.StructType(cls=cls)):
            if isinstance(value, list):
                for index, item in enumerate(value):
                    yield from _field_findings(f"{path}[{index}]", item, cls)


def _struct_findings(path: str, value: Mapping[str, object], cls: type[msgspec.Struct]) -> Iterator[Finding]:
    for field in msgspec.structs.fields(cls):
        field_path = f"{path}.{field.encode_name}" if path else field.encode_name
        if field.encode_name in value:
            yield from _field_findings(field_path, value[field.encode_name], field.type)
        elif field.required:
            yield Finding(field_path, "Missing required field")


def _expectation(expected: msgspec.inspect.Type, error: msgspec.ValidationError) -> str:
    """What was expected: the message without msgspec's own notation of the path."""
    if isinstance(expected, msgspec.inspect.EnumType):
        return f"Expected one of {', '.join(expected.cls)}"
    return str(error).partition(" - at ")[0]


# --- rules that the types do not express ---


def _rule_findings(configuration: Configuration) -> Iterator[Finding]:
    """Check that service names are unique, backends exist, and no two routes match the same requests."""
    services: set[str] = set()
    for index, service in enumerate(configuration.services):
        if service.name in services:
            yield Finding(f"services[{index}].name", f"{service.name!r} stands twice")
        services.add(service.name)
    index_by_match: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        if route.split or route.backend not in services:
            yield from _backend_findings(f"routes[{index}]", route, services)
        first = index_by_match.setdefault((route.host.lower(), route.prefix), index)
        if first != index:
            yield Finding(f"routes[{index}].prefix", f"the same host and prefix as routes[{first}]")


def _backend_findings(path: str, route: Route, services: set[str]) -> Iterator[Finding]:
    """Check that a route has either one backend or a split, of known services and with a usable sum."""
    if bool(route.backend) == bool(route.split):
        yield Finding(path, "needs one of backend and split")
        return
    if route.backend:
        if route.backend not in services:
            yield Finding(f"{path}.backend", f"unknown service {route.backend!r}")
        return
    for index, target in enumerate(route.split):
        if target.backend not in services:
            yield Finding(f"{path}.split[{index}].backend", f"unknown service {target.backend!r}")
    total = sum(target.weight for target in route.split)
    if not 0 < total < math.inf:
        yield Finding(f"{path}.split", f"the weights sum to {total:g}")
