"""Converts decoded TOML tables to typed settings, with msgspec.

This is a separate package, so that msgspec is imported only where a settings file needs it.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class SchemaError(ValueError):
    """A table does not match its schema; the text gives the path of the faulty key."""


def convert(table: dict[str, Any], kind: type[T]) -> T:
    """Return a decoded TOML table as a value of type `kind`.

    Raises:
        SchemaError: the table does not match the type.
    """
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        # msgspec puts the path last: "Expected `int`, got `str` - at `$.limits.jobs`".
        text, _, path = str(error).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        raise SchemaError(f"{path}: {text}" if path else text) from None
