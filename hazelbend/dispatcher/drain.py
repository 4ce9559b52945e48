"""Drain: the dispatcher sends its clients away while it continues to run, until an operator stops the drain.

The steps, by their time since the start:

    0                    responses carry `Connection: close`; requests are still served
    IDLE_GRACE_S         idle connections are closed, on HTTP and on STOMP
    DEADLINE_FROM_S      new requests get REQUESTS_END_S as their final deadline
    WINDOW_END_S         the deadline is removed: late clients are served as usual, with `Connection: close`
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from hazelbend.dispatcher.extensions import ExtensionContext

log = logging.getLogger("hazelbend")

# Seconds from the start of a drain. The load balancer checks every 0.1 s and sends new connections for 0.2 s
# after its first failed check. At 4 s no connection may be idle, or carry a request of the last 2 s.
IDLE_GRACE_S = 0.8  # idle connections stay open until then: the next request may be on its way
DEADLINE_FROM_S = 1.7  # requests that arrive from then on have a final deadline
REQUESTS_END_S = 3.6  # the final deadline of these requests
WINDOW_END_S = 4.4  # from then on the load balancer no longer checks the connections
STOMP_SWEEP_PERIOD_S = 0.2  # between sweeps of the idle STOMP clients

DRAIN_DEADLINE_REASON = "drain"


class DrainTarget(ExtensionContext, Protocol):
    """What a drain needs of the dispatcher process."""

    def set_final_deadline(self, reason: str, deadline: int | None) -> None:
        """Set or remove (None) the final deadline, in microseconds of the router's clock, for this reason."""
        ...


class Drain:
    """Starts and stops drains, one at a time."""

    def __init__(self, target: DrainTarget) -> None:
        self._target = target
        self._task: asyncio.Task[None] | None = None

    @property
    def is_on(self) -> bool:
        """Whether a drain was started and not stopped, also after WINDOW_END_S."""
        return self._task is not None

    def start(self) -> None:
        """Start a drain. If one is on, it continues unchanged."""
        if self._task is not None:
            return
        log.info("draining: %d requests open", len(self._target.router.requests))
        now = asyncio.get_running_loop().time()
        self._target.client_listener.start_draining(now + IDLE_GRACE_S, now + REQUESTS_END_S)
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop the drain and accept clients again."""
        if self._task is None:
            return
        log.info("drain stopped")
        self.close()
        self._target.client_listener.stop_draining()
        self._target.set_final_deadline(DRAIN_DEADLINE_REASON, None)

    def close(self) -> None:
        """Cancel the task. The listeners and the deadline stay as they are."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        started_at = self._target.router.clock.now()
        await asyncio.sleep(IDLE_GRACE_S)
        stomp_sweeps = asyncio.create_task(self._sweep_stomp_clients())
        try:
            await asyncio.sleep(DEADLINE_FROM_S - IDLE_GRACE_S)
            deadline = started_at + round(REQUESTS_END_S * 1e6)
            self._target.set_final_deadline(DRAIN_DEADLINE_REASON, deadline)
            await asyncio.sleep(WINDOW_END_S - DEADLINE_FROM_S)
            self._target.set_final_deadline(DRAIN_DEADLINE_REASON, None)
            self._target.client_listener.restore_request_timeout()
            await stomp_sweeps
        finally:
            stomp_sweeps.cancel()

    async def _sweep_stomp_clients(self) -> None:
        while True:
            if self._target.stomp is not None:
                self._target.stomp.close_idle_clients()
            await asyncio.sleep(STOMP_SWEEP_PERIOD_S)
