"""Saves the soft state of a control process: workers, cache contents and the number of routers.

Soft state is useful after a restart but not required: it is written periodically, may be older than the log,
and the process also starts without it.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.load_table import CacheTable
from hazelbend.system.clock import clock
from hazelbend.system.control_node import ControlNode
from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.storage.soft_state_file import read_soft_state, write_soft_state

log = picologging.getLogger("hazelbend.control")

SAVE_PERIOD_S = 1.5


class SoftStateSaver:
    """Restores the soft state from a file, and writes the file periodically if the state has changed.

    Without a path it does nothing.
    """

    def __init__(self, node: ControlNode, caches: CacheTable, path: Path | None) -> None:
        self._node = node
        self._caches = caches
        self._path = path
        self._saved_content = b""
        self._task: asyncio.Task[None] | None = None

    async def restore(self) -> None:
        """Load the file into the engine and the cache table. A damaged file is ignored."""
        if self._path is None:
            return
        content = await asyncio.to_thread(read_soft_state, self._path)
        if content is None:
            return
        try:
            state = m.decode_soft_state(content)
        except msgspec.DecodeError as error:
            log.warning("control: soft state: ignored, undecodable: %s", error)
            return
        engine = self._node.engine
        engine.restore_workers(state.workers, clock())
        engine.peak_router_count = max(state.routers, 1)
        self._caches.add(state.cached)

    def start(self) -> None:
        """Start saving periodically."""
        if self._path is not None:
            path = self._path
            self._task = start_background_task("soft state", lambda: self._save_regularly(path))

    def close(self) -> None:
        """Stop saving."""
        if self._task is not None:
            self._task.cancel()

    async def _save_regularly(self, path: Path) -> None:
        while True:
            await asyncio.sleep(SAVE_PERIOD_S)
            engine = self._node.engine
            state = m.SoftState(engine.registry.records(), self._caches.all(), engine.peak_router_count)
            content = m.encode_soft_state(state)
            if content == self._saved_content:
                continue
            try:
                await asyncio.to_thread(write_soft_state, path, content)
                self._saved_content = content
            except OSError as error:
                log.warning("control: soft state: not saved: %s", error)
