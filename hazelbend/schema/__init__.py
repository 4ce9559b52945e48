"""Decoded TOML tables to typed settings, by msgspec.

A package of its own, so that msgspec is imported only where a settings file needs it.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class SchemaError(ValueError):
    """A table that does not fit its schema; the text names the faulty key with its path."""


def convert(table: dict[str, Any], kind: type[T]) -> T:
    """A decoded TOML table as a value of this type.

    Raises:
        SchemaError: it does not fit.
    """
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        # msgspec puts the path last: "Expected `int`, got `str` - at `$.limits.jobs`".
        text, _, path = str(error).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        raise SchemaError(f"{path}: {text}" if path else text) from None
