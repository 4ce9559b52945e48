"""A table of settings that records which of its keys were read.

This finds the settings that the program does not use, without a list of them that could become outdated.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


class TrackedTable(dict[str, Any]):
    """A table that records which of its keys were read with `get`, also in the tables that it contains."""

    def __init__(self, table: dict[str, Any]) -> None:
        super().__init__({key: _tracked(value) for key, value in table.items()})
        self.read_keys: set[str] = set()

    def get(self, key: str, default: Any = None) -> Any:  # noqa: ANN401 (as `dict.get`)
        """Return the value of a key, and record the key as read."""
        self.read_keys.add(key)
        return super().get(key, default)

    def unread_paths(self, prefix: str = "") -> Iterator[str]:
        """Yield the paths of the keys that were not read. The rows of a list share one path."""
        for key, value in self.items():
            path = f"{prefix}{key}"
            if key not in self.read_keys:
                yield path
            elif isinstance(value, TrackedTable):
                yield from value.unread_paths(f"{path}.")
            elif isinstance(value, list):
                for row in value:
                    if isinstance(row, TrackedTable):
                        yield from row.unread_paths(f"{path}[].")


def _tracked(value: object) -> object:
    if isinstance(value, dict):
        return TrackedTable(value)
    if isinstance(value, list):
        return [_tracked(element) for element in value]
    return value
