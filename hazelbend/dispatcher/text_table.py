"""Plain text tables, for the console and the command line."""

from __future__ import annotations

from collections.abc import Sequence

COLUMN_SEPARATOR = "  "


def format_table(rows: Sequence[tuple[object, ...]]) -> str:
    """Return the rows as lines of text. Each column is as wide as its widest cell.

    Raises:
        ValueError: the rows differ in length.
    """
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(_format_row(row, widths) for row in cells)


def _format_row(row: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_SEPARATOR.join(padded).rstrip()
