"""Graceful shutdown: the process serves new requests while it can still complete them, then it closes.

Clients continue to use their open connections, and another dispatcher may be down at the same time. After
SIGTERM the platform waits for the longest deadline of a class (at most 3 s) and 0.7 s, then sends SIGKILL.
New connections arrive for up to 0.4 s after SIGTERM. The SIGKILL may cut off requests that arrived in the
first 0.7 s.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Protocol

from hazelbend.dispatcher.config import Config
from hazelbend.dispatcher.drain import DRAIN_DEADLINE_REASON, IDLE_GRACE_S, Drain
from hazelbend.dispatcher.extensions import Extension
from hazelbend.routing.router import Router
from hazelbend.transport.http.client_listener import ClientListener
from hazelbend.transport.stomp.stomp_listener import StompListener

log = logging.getLogger("hazelbend")

NEW_CONNECTIONS_S = 0.5  # from SIGTERM: the listeners stay open at least until then
FIRST_REQUESTS_S = 0.6  # from SIGTERM: requests have the final deadline from then on
LONGEST_DEADLINE_S = 3.0  # a longer deadline of a class counts as this
BEFORE_KILL_S = 0.6  # the shutdown lasts this much longer than the longest deadline
LAST_JOBS_S = 1.6  # the listeners close this long before the end, so that the last requests can complete
LAST_REFUSALS_S = 0.6  # jobs that still wait this long before the end are refused
SHUTDOWN_DEADLINE_REASON = "leave"


class ShutdownTarget(Protocol):
    """What the shutdown needs of the dispatcher process."""

    conf: Config
    router: Router
    client_listener: ClientListener
    stomp: StompListener | None

    def set_final_deadline(self, reason: str, deadline: int | None) -> None:
        """Set or remove (None) the final deadline of requests."""


class GracefulShutdown:
    """One graceful shutdown. Call `run` once."""

    def __init__(self, target: ShutdownTarget, drain: Drain, extensions: Iterable[Extension]) -> None:
        self._target = target
        self._drain = drain
        self._extensions = list(extensions)
        longest_ms = max(row.deadline_ms for row in target.conf.catalogue.classes)
        self._duration_s = min(longest_ms / 1e3, LONGEST_DEADLINE_S) + BEFORE_KILL_S
        self._ends_at = asyncio.get_running_loop().time() + self._duration_s

    async def run(self) -> None:
        """Continue to serve, close the listeners, and complete the accepted requests."""
        extensions_leaving = asyncio.gather(
            *(extension.leave(self._duration_s) for extension in self._extensions), return_exceptions=True
        )
        if self._target.conf.passed_socket is not None:
            self._release_listener()
        await self._continue_serving()
        self._stop_accepting()
        for extension in self._extensions:
            await extension.finish(LAST_JOBS_S - LAST_REFUSALS_S)
        await self._finish_requests()
        await extensions_leaving

    def _release_listener(self) -> None:
        """In an upgrade: leave the listener to the next process, and send the connected clients there.

        Connections that are not accepted yet belong to the next process.
        """
        target = self._target
        self._drain.close()
        target.set_final_deadline(DRAIN_DEADLINE_REASON, None)  # the shutdown sets its own deadline
        target.client_listener.release_listener()
        if target.stomp is not None:
            target.stomp.stop_accepting()
        idle_until = asyncio.get_running_loop().time() + IDLE_GRACE_S
        target.client_listener.start_draining(idle_until, self._ends_at)

    async def _continue_serving(self) -> None:
        """Serve new requests while they can still complete; after FIRST_REQUESTS_S with a final deadline."""
        await asyncio.sleep(FIRST_REQUESTS_S)
        remaining_us = round((self._duration_s - FIRST_REQUESTS_S) * 1e6)
        deadline = self._target.router.clock.now() + remaining_us
        self._target.set_final_deadline(SHUTDOWN_DEADLINE_REASON, deadline)
        await asyncio.sleep(max(NEW_CONNECTIONS_S, self._duration_s - LAST_JOBS_S) - FIRST_REQUESTS_S)

    def _stop_accepting(self) -> None:
        """Accept no new connections, and close each open one after its response."""
        target = self._target
        log.info("listeners closed: %d requests to complete", len(target.router.requests))
        target.client_listener.stop_accepting()
        if target.stomp is not None:
            target.stomp.stop_accepting()

    async def _finish_requests(self) -> None:
        """Wait until all requests have responses.

        A client that has sent part of a request, or nothing yet, gets a response too: there is time for it
        before the SIGKILL.
        """
        remaining_s = self._ends_at - asyncio.get_running_loop().time()
        await self._target.client_listener.wait_closed(remaining_s)
        await self._target.router.wait_idle()
