"""The Unix socket that connects the processes of one dispatcher during an upgrade.

Serving does not depend on it: if the socket does not answer, a line cannot be parsed or the other process
ends for any reason, each process continues as if it were alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.protocol.handover import (
    MAX_LINE_BYTES,
    HandoverState,
    JobIdUpdate,
    decode_state,
    decode_update,
    encode_state,
    encode_update,
)

log = logging.getLogger("hazelbend.handover")

FETCH_TIMEOUT_S = 1.0
MAX_UNREAD_BYTES = 256 * 1024  # a sibling that leaves more unread is disconnected


class HandoverOwner(Protocol):
    """The dispatcher whose state is handed over."""

    def state(self) -> HandoverState:
        """Return the state for the next process."""

    def siblings_changed(self, count: int) -> None:
        """Handle a change in the number of other connected processes of this dispatcher."""


class Handover:
    """Fetches the state of the previous process, and serves that of this one to the next."""

    def __init__(self, path: Path, owner: HandoverOwner, codec: Callable[[], EndpointListCodec]) -> None:
        """`codec` returns the codec of the current configuration."""
        self.path, self._owner, self._codec = path, owner, codec
        self._siblings: dict[asyncio.StreamWriter, set[str]] = {}  # with the ids of the jobs open there
        self._server: asyncio.Server | None = None
        self._socket_inode = 0  # the inode of the socket of this process
        self._tasks: set[asyncio.Task[None]] = set()

    def is_open_elsewhere(self, job_id: str) -> bool:
        """Return whether a job with this id is open in another process."""
        return any(job_id in ids for ids in self._siblings.values())

    def broadcast_update(self, job_id: str, is_open: bool) -> None:
        """Notify all siblings that a job was accepted here (`is_open`) or has ended."""
        for writer in list(self._siblings):
            if writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
                self._disconnect(writer)
            else:
                writer.write(encode_update(JobIdUpdate(job_id, is_open)))

    async def fetch_state(self) -> HandoverState | None:
        """Return the state of the previous process and stay connected to it, or None if there is no state."""
        writer = None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                reader, writer = await asyncio.open_unix_connection(str(self.path), limit=MAX_LINE_BYTES)
                state = decode_state(await reader.readline(), self._codec())
        except (FileNotFoundError, ConnectionRefusedError):
            return None  # there is no previous process, or it was killed
        except (OSError, ValueError, TimeoutError) as error:
            log.warning("no state from the previous process: %s", str(error) or "timeout")
            if writer is not None:
                writer.close()
            return None
        self._add_sibling(reader, writer, set(state.open_job_ids))
        return state

    async def listen(self) -> None:
        """Replace the socket of any previous process, so that the next one connects to this process."""
        own_path = self.path.with_suffix(f".{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX)
        previous_umask = os.umask(0o177)
        try:
            with contextlib.suppress(FileNotFoundError):
                own_path.unlink()
            listener.bind(str(own_path))
            self._socket_inode = own_path.stat().st_ino
            own_path.replace(self.path)
            self._server = await asyncio.start_unix_server(
                self._serve_next_process, sock=listener, limit=MAX_LINE_BYTES
            )
        except OSError as error:
            listener.close()  # path too long or disk full: the next process starts without this state
            log.warning("cannot open the socket for the next process: %s", error)
        finally:
            os.umask(previous_umask)

    async def close(self) -> None:
        """Disconnect from the other processes and remove the socket."""
        for writer in list(self._siblings):
            self._disconnect(writer)
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                if self.path.stat().st_ino == self._socket_inode:
                    self.path.unlink()

    async def _serve_next_process(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(encode_state(self._owner.state(), self._codec()))
        except Exception:
            log.exception("cannot send the state to the next process")
            writer.close()
            return
        self._add_sibling(reader, writer, set())

    def _add_sibling(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: set[str]) -> None:
        self._siblings[writer] = ids
        self._owner.siblings_changed(len(self._siblings))
        task = asyncio.create_task(self._read_updates(reader, writer, ids))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_updates(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: set[str]
    ) -> None:
        try:
            while line := await reader.readline():
                if (update := decode_update(line)) is not None:
                    (ids.add if update.is_open else ids.discard)(update.job_id)
        except (OSError, ValueError) as error:
            log.warning("connection to a sibling process: %s", error)
        finally:
            self._disconnect(writer)

    def _disconnect(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if self._siblings.pop(writer, None) is not None:
            self._owner.siblings_changed(len(self._siblings))
