"""Typed access to the tables of a configuration, with errors that name the key."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


class ConfigError(Exception):
    """The configuration is invalid; the text names the key."""


class ConfigTable:
    """Reads values from one table, and names the faulty key in errors. All methods may raise ConfigError."""

    def __init__(self, table: object, prefix: str) -> None:
        """`prefix` precedes the keys in error messages, for example `limits.`."""
        if not isinstance(table, dict):
            raise ConfigError(f"{prefix.rstrip('.')}: no table")
        self.table: dict[str, Any] = table
        self.prefix = prefix
        self._read_keys: set[str] = set()

    def error(self, key: str, text: str) -> ConfigError:
        """Return the error for an invalid value."""
        return ConfigError(f"{self.prefix}{key}: {text}")

    def get(self, key: str, kind: type, default: Any = None) -> Any:  # noqa: ANN401 (of the type `kind`)
        """Return a value of this type. Without a default the key is required."""
        self._read_keys.add(key)
        value = self.table.get(key, default)
        if value is None:
            raise self.error(key, "missing")
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise self.error(key, f"not of type {kind.__name__}")
        return value

    def number(self, key: str, default: int, low: int, high: int) -> int:
        """Return an integer between these bounds, both included."""
        value = self.get(key, int, default)
        if not low <= value <= high:
            raise self.error(key, f"{value} is not from {low} to {high}")
        return int(value)

    def address(self, key: str, default: str | None = None) -> tuple[str, int]:
        """Return an address, written as `host:port`."""
        return self.parse_address(key, self.get(key, str, default))

    def parse_address(self, key: str, text: object) -> tuple[str, int]:
        """Parse an address that is the value of this key, or one of its values."""
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isascii() or not port.isdecimal() or int(port) > 65_535:
            raise self.error(key, f"{text!r} is no address:port")
        return host.strip("[]"), int(port)

    def index_of(self, key: str, names: tuple[str, ...]) -> int:
        """Return the index of a name among `names`, which the settings define."""
        name = self.get(key, str)
        if name not in names:
            raise self.error(key, f"{name!r} is none of {', '.join(names) or 'the settings'}")
        return names.index(name)

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings; empty if the key is missing."""
        values = self.get(key, list, [])
        if not all(isinstance(value, str) for value in values):
            raise self.error(key, "not a list of texts")
        return tuple(values)

    def sub(self, key: str) -> ConfigTable:
        """Return a table in this table; an empty one if the key is missing."""
        return ConfigTable(self.get(key, dict, {}), f"{self.prefix}{key}.")

    def rows(self, key: str) -> Iterator[ConfigTable]:
        """Yield the tables of a list; none if the key is missing."""
        for index, row in enumerate(self.get(key, list, [])):
            yield ConfigTable(row, f"{self.prefix}{key}[{index}].")

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError for a key that was not read, so that a misspelt key does not go unnoticed."""
        for key in self.table:
            if key not in self._read_keys:
                raise self.error(key, "unknown key")
