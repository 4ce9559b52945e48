"""Soft state in a file: what is good to know after a restart, and does no harm where it is lost or old.

The file is replaced whole, and synced so that it outlives a loss of power. One that can't be read counts as
none.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from pathlib import Path

CHECK = 4  # bytes of a checksum before the content
ENDING = ".new"


def write_soft_state(path: Path, content: bytes) -> None:
    """Replace the file. OSError: the disk refuses; what was there stays."""
    fresh = path.with_name(path.name + ENDING)
    with fresh.open("wb") as file:
        file.write(zlib.crc32(content).to_bytes(CHECK, "big") + content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read_soft_state(path: Path) -> bytes | None:
    """What was written last, or None."""
    with contextlib.suppress(OSError):
        content = path.read_bytes()
        check, text = content[:CHECK], content[CHECK:]
        if len(check) == CHECK and zlib.crc32(text).to_bytes(CHECK, "big") == check:
            return text
    return None
