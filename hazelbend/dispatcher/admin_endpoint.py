"""Keeps the admin listener at the configured address, also when a reload changes it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.admin_listener import AdminListener, Operations

log = logging.getLogger("hazelbend")

Address = tuple[str, int]


class AdminEndpoint:
    """Opens, moves and closes the admin listener."""

    def __init__(
        self,
        operations: Operations,
        configured_address: Callable[[], Address | None],
        memory: ConnectionMemory,
    ) -> None:
        """`configured_address` returns the address in the current configuration; None: no listener."""
        self.listener: AdminListener | None = None
        self.address: Address | None = None  # the address of `listener`
        self._operations = operations
        self._memory = memory
        self._configured_address = configured_address
        self._lock = asyncio.Lock()
        self._moving: asyncio.Task[None] | None = None

    async def move(self) -> None:
        """Listen at the configured address, and only then close the previous listener.

        Raises:
            OSError: the address can't be used; the previous listener stays open.
        """
        async with self._lock:
            address = self._configured_address()
            if address == self.address:
                return
            listener = None
            if address is not None:
                listener = AdminListener(self._operations, self._memory)
                await listener.listen(*address)
                log.info("admin listener: listening on %s:%d", address[0], listener.port)
            previous = self.listener
            self.listener = listener
            self.address = address
            if previous is not None:
                await previous.close()

    def move_later(self) -> None:
        """After a reload: move in the background. If that fails, the previous listener stays open."""
        self._moving = asyncio.create_task(self._move_or_stay())

    async def _move_or_stay(self) -> None:
        try:
            await self.move()
        except OSError as error:
            log.error("reload: ops: %s; the admin listener keeps its address", error)

    def cancel_move(self) -> None:
        """Cancel a move that is in progress."""
        if self._moving is not None:
            self._moving.cancel()

    async def close(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            await self.listener.close()
