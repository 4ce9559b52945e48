"""The Unix socket by which two processes of one dispatcher know of each other while an upgrade lasts.

Nothing here is needed to serve: a socket that nobody answers at, words that make no sense and a process that
ends, however it does, leave each of the two as if it were alone.
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

FETCH_WAIT = 1.0  # seconds that the state may take to come
UNREAD = 256 * 1024  # bytes that the other one may leave unread before it is taken for gone


class Dispatcher(Protocol):
    """What is handed over, and who hears of it."""

    def state(self) -> HandoverState:
        """The state for the next process."""

    def siblings_changed(self, count: int) -> None:
        """So many other processes of this dispatcher are known now."""


class Handover:
    """Fetches the state of the previous process, and serves that of this one to the next."""

    def __init__(self, path: Path, dispatcher: Dispatcher, reader: Callable[[], EndpointListCodec]) -> None:
        self.path, self._dispatcher, self._reader = path, dispatcher, reader
        self._siblings: dict[asyncio.StreamWriter, set[str]] = {}  # and the ids that are open there
        self._server: asyncio.Server | None = None
        self._own = 0  # the inode of our socket
        self._tasks: set[asyncio.Task[None]] = set()

    def is_open_elsewhere(self, job_id: str) -> bool:
        """Whether a flow of this id is open in another process."""
        return any(job_id in ids for ids in self._siblings.values())

    def broadcast_update(self, job_id: str, taken: bool) -> None:
        """A flow was taken here, or is over."""
        for writer in list(self._siblings):
            if writer.transport.get_write_buffer_size() > UNREAD:
                self._part(writer)
            else:
                writer.write(encode_update(JobIdUpdate(job_id, taken)))

    async def fetch_state(self) -> HandoverState | None:
        """The state of the process before, if there is one; from then on the two are siblings."""
        writer = None
        try:
            async with asyncio.timeout(FETCH_WAIT):
                reader, writer = await asyncio.open_unix_connection(str(self.path), limit=MAX_LINE_BYTES)
                state = decode_state(await reader.readline(), self._reader())
        except (FileNotFoundError, ConnectionRefusedError):
            return None  # nobody was here before, or it was killed
        except (OSError, ValueError, TimeoutError) as error:
            log.warning("the process before: %s", str(error) or "no state came in time")
            if writer is not None:
                writer.close()
            return None
        self._join(reader, writer, set(state.open_job_ids))
        return state

    async def listen(self) -> None:
        """Put our socket in the place of any that is there: the next process asks the newest."""
        own = self.path.with_suffix(f".{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX)
        before = os.umask(0o177)
        try:
            with contextlib.suppress(FileNotFoundError):
                own.unlink()
            listener.bind(str(own))
            self._own = own.stat().st_ino
            own.replace(self.path)
            self._server = await asyncio.start_unix_server(self._asked, sock=listener, limit=MAX_LINE_BYTES)
        except OSError as error:
            listener.close()  # too long a path, or no room: the next process starts from what is known
            log.warning("no socket for the next process: %s", error)
        finally:
            os.umask(before)

    async def close(self) -> None:
        """Part from the other processes, and remove the socket."""
        for writer in list(self._siblings):
            self._part(writer)
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                if self.path.stat().st_ino == self._own:
                    self.path.unlink()

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(encode_state(self._dispatcher.state(), self._reader()))
        except Exception:
            log.exception("the state cannot be told")
            writer.close()
            return
        self._join(reader, writer, set())

    def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: set[str]) -> None:
        self._siblings[writer] = ids
        self._dispatcher.siblings_changed(len(self._siblings))
        task = asyncio.create_task(self._hear(reader, writer, ids))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hear(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: set[str]) -> None:
        try:
            while line := await reader.readline():
                if (update := decode_update(line)) is not None:
                    (ids.add if update.is_open else ids.discard)(update.job_id)
        except (OSError, ValueError) as error:
            log.warning("the other process: %s", error)
        finally:
            self._part(writer)

    def _part(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if self._siblings.pop(writer, None) is not None:
            self._dispatcher.siblings_changed(len(self._siblings))
