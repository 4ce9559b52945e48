"""Our own files' tables to values, by msgspec; imported where a file needs it."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def convert(table: dict[str, Any], kind: type[T]) -> T:
    """A decoded TOML table as one of these. ValueError names the faulty key, with its path."""
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        raise ValueError(f"{path}: {text}" if path else text) from None
