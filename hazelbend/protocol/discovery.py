"""The endpoint lists of service discovery: JSON to `EndpointList` and back.

In JSON an entry gives its zone, machine kind and state as names (`site`, `class`, `health`). In memory zones
and kinds are numbers, which `EndpointListCodec` assigns: the index in the settings for a configured name, and
further numbers for other names in the order in which they appear.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import orjson

from hazelbend.decisions.interface import WorkerState
from hazelbend.routing.ports import Endpoint, EndpointList

MAX_PORT = 65_535
US_PER_MS = 1_000

_STATES = {"SERVING": WorkerState.READY, "DRAINING": WorkerState.DRAINING, "DELETED": WorkerState.GONE}
_HEALTH = {state: health for health, state in _STATES.items()}


T = TypeVar("T")


class EndpointListError(ValueError):
    """An endpoint list is invalid; the text names the faulty key."""


class NameTable:
    """Assigns numbers to names: the index for configured names, the next free number for others."""

    def __init__(self, configured: tuple[str, ...]) -> None:
        self.configured = configured
        self._numbers = {name: number for number, name in enumerate(configured)}

    def number_of(self, name: str) -> int:
        """Return the number of a name. An unknown name gets the next free number."""
        return self._numbers.setdefault(name, len(self._numbers))

    def by_number(self) -> dict[int, str]:
        """Return all known names by number."""
        return {number: name for name, number in self._numbers.items()}

    def merged_with(self, older: NameTable) -> NameTable | None:
        """Return a table with the numbers of both tables.

        Returns None if a number would change its meaning.
        """
        numbers = older._numbers | self._numbers
        keeps_older = older._numbers.items() <= numbers.items()
        is_unique = len(set(numbers.values())) == len(numbers)
        if not keeps_older or not is_unique:
            return None
        merged = NameTable(self.configured)
        merged._numbers = numbers
        return merged


class EndpointListCodec:
    """Decodes and encodes endpoint lists. A codec can encode any list that it has decoded."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        """`zones`, `kinds`: the names in the settings, in order."""
        self._zones = NameTable(zones)
        self._kinds = NameTable(kinds)

    def __eq__(self, other: object) -> bool:
        """Whether both codecs were created with the same zones and kinds."""
        return isinstance(other, EndpointListCodec) and (self._zones.configured, self._kinds.configured) == (
            other._zones.configured,
            other._kinds.configured,
        )

    __hash__ = None  # type: ignore[assignment]

    def adopt_numbers(self, older: EndpointListCodec) -> bool:
        """Adopt the numbers that an older codec assigned, to replace it.

        Returns False, and changes nothing, if a number would change its meaning.
        """
        zones = self._zones.merged_with(older._zones)
        kinds = self._kinds.merged_with(older._kinds)
        if zones is None or kinds is None:
            return False
        self._zones = zones
        self._kinds = kinds
        return True

    def zone_and_kind(self, zone: str, kind: str) -> tuple[int, int]:
        """Return the numbers that entries have for a zone and a kind."""
        return self._zones.number_of(zone), self._kinds.number_of(kind)

    def decode(self, text: bytes) -> EndpointList:
        """Return the list in a JSON text.

        Raises:
            EndpointListError: the text is not a valid list.
        """
        try:
            return self.from_object(orjson.loads(text))
        except orjson.JSONDecodeError as error:
            raise EndpointListError(f"list: not JSON ({error})") from None

    def from_object(self, value: object) -> EndpointList:
        """Return the list in a decoded JSON value.

        Raises:
            EndpointListError: the value is not a valid list.
        """
        if not isinstance(value, Mapping) or not isinstance(hosts := value.get("hosts"), list):
            raise EndpointListError("list: no object with 'hosts'")
        seq = _typed(value, "seq", int)
        return EndpointList(tuple(self._entry(host) for host in hosts), value.get("whole") is True, seq=seq)

    def to_object(self, endpoints: EndpointList) -> dict[str, Any]:
        """Return the list as a JSON object, which `from_object` reads."""
        zones = self._zones.by_number()
        kinds = self._kinds.by_number()
        hosts = [
            {
                "host": entry.host,
                "dial": entry.dial,
                "site": zones[entry.zone],
                "class": kinds[entry.kind],
                "block": entry.cell,
                "health": _HEALTH[entry.state],
                "share": entry.weight,
                "born_ms": entry.started_at // US_PER_MS,
            }
            for entry in endpoints.entries
        ]
        return {"seq": endpoints.seq, "whole": endpoints.is_complete, "hosts": hosts}

    def _entry(self, value: object) -> Endpoint:
        if not isinstance(value, Mapping):
            raise EndpointListError("list: an entry is no object")
        state = _STATES.get(_typed(value, "health", str))
        if state is None:
            raise EndpointListError(f"list: unknown health {value['health']!r}")
        host = _typed(value, "host", str)
        dial = _typed(value, "dial", str)
        if not host or not _is_dialable(dial):
            raise EndpointListError(f"list: {host!r} has no usable 'dial': {dial!r}")
        return Endpoint(
            host=host,
            dial=dial,
            zone=self._zones.number_of(_typed(value, "site", str, "")),
            kind=self._kinds.number_of(_typed(value, "class", str, "")),
            cell=_typed(value, "block", int, 0),
            state=state,
            weight=_number(value, "share", 1.0),
            started_at=_typed(value, "born_ms", int, 0) * US_PER_MS,
        )


def _is_dialable(address: str) -> bool:
    """Whether the address is `name:port` with a valid port."""
    name, _, port = address.rpartition(":")
    return bool(name) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT


def _typed(value: Mapping[str, object], key: str, kind: type[T], default: T | None = None) -> T:
    """Return the value of a key, which must be of this type. A bool does not count as a number."""
    found = value.get(key, default)
    if isinstance(found, bool) or not isinstance(found, kind):
        raise _wrong_type(key)
    return found


def _number(value: Mapping[str, object], key: str, default: float) -> float:
    """Return the value of a key, which must be a number."""
    found = value.get(key, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise _wrong_type(key)
    return float(found)


def _wrong_type(key: str) -> EndpointListError:
    return EndpointListError(f"list: {key!r} is missing or of a wrong type")
