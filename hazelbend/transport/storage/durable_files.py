"""Files and folders that survive a loss of power. All functions block on the disk: call them in a thread.

The content of a file is durable once the file is synced; its name, or a rename, is durable once its folder is
synced. A new folder likewise requires a sync of its parent folder, which contains its name.
"""

from __future__ import annotations

import os
from pathlib import Path


def make_folder(folder: Path) -> None:
    """Create a folder and its missing parents durably.

    Raises:
        OSError: the disk failed.
    """
    if folder.is_dir():
        return
    make_folder(folder.parent)
    try:
        os.mkdir(folder)
    except FileExistsError:
        if not folder.is_dir():
            raise
    sync_folder(folder.parent)


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes all names in it durable. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, content: bytes) -> None:
    """Write all of the content, repeating partial writes. Raises OSError."""
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def write_new_file(path: Path, content: bytes) -> int:
    """Write and sync a file, overwriting an existing one, and return its descriptor, open for writing.

    Raises:
        OSError: the disk failed. The file may be incomplete, and its descriptor is closed.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    try:
        write_all(descriptor, content)
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def rename_durably(path: Path, new_path: Path) -> None:
    """Rename a file, replacing an existing one. After an OSError it is unknown which of the two exists."""
    os.replace(path, new_path)
    sync_folder(new_path.parent)
