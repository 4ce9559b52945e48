"""A file for soft state: useful after a restart, harmless if lost or outdated.

The file is replaced atomically, and synced so that it survives a loss of power. A damaged file is ignored.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from pathlib import Path

from hazelbend.transport.storage.durable_files import rename_durably, write_new_file

CHECKSUM_BYTES = 4  # of a CRC-32, big-endian, before the content
TEMPORARY_SUFFIX = ".new"


def write_soft_state(path: Path, content: bytes) -> None:
    """Replace the file. Raises OSError if the disk fails; the old file is then unchanged."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    checksum = zlib.crc32(content).to_bytes(CHECKSUM_BYTES, "big")
    os.close(write_new_file(temporary, checksum + content))
    rename_durably(temporary, path)


def read_soft_state(path: Path) -> bytes | None:
    """Return the content that was written last, or None if it is missing or damaged."""
    with contextlib.suppress(OSError):
        data = path.read_bytes()
        checksum = data[:CHECKSUM_BYTES]
        content = data[CHECKSUM_BYTES:]
        if (
            len(checksum) == CHECKSUM_BYTES
            and zlib.crc32(content).to_bytes(CHECKSUM_BYTES, "big") == checksum
        ):
            return content
    return None
