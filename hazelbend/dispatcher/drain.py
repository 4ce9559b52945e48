"""Emptying the dispatcher of its clients while it runs on, until it is told to take them again."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from hazelbend.dispatcher.parts import Ground

log = logging.getLogger("hazelbend")

# Seconds from the start of a drain. The front asks every 0.1 s and sends new connections for 0.2 s after its
# first no. At 4 s no connection may be idle, nor carry a job that came in the last 2 s.
KEPT = 0.8  # connections that are idle are kept until then: the next request may be on its way
LATE = 1.7  # what comes from then on
LAST = 3.6  # must be over by then
OVER = 4.4  # when that need not be seen to any more: who comes yet is served as usual
ROUND = 0.2  # between looks at the STOMP front's idle clients


class Program(Ground, Protocol):
    def end_by(self, why: str, end: int | None) -> None: ...


class Drain:
    def __init__(self, program: Program) -> None:
        self._program = program
        self._task: asyncio.Task[None] | None = None

    @property
    def is_on(self) -> bool:
        return self._task is not None

    def start(self) -> None:
        """From now on clients are sent away. One that runs goes on as it began."""
        if self._task is None:
            log.info("draining: %d flows open", len(self._program.router.requests))
            now = asyncio.get_running_loop().time()
            self._program.client_listener.start_draining(now + KEPT, now + LAST)
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Take clients again."""
        if self._task is not None:
            log.info("drain over")
            self.close()
            self._program.client_listener.stop_draining()
            self._program.end_by("drain", None)

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        began_at = self._program.router.clock.now()
        await asyncio.sleep(KEPT)
        sending = asyncio.create_task(self._send_stomp_clients_away())
        try:
            await asyncio.sleep(LATE - KEPT)
            self._program.end_by("drain", began_at + round(LAST * 1e6))
            await asyncio.sleep(OVER - LATE)
            self._program.end_by("drain", None)
            self._program.client_listener.restore_request_timeout()
            await sending
        finally:
            sending.cancel()

    async def _send_stomp_clients_away(self) -> None:
        while True:
            if self._program.stomp is not None:
                self._program.stomp.close_idle_clients()
            await asyncio.sleep(ROUND)
