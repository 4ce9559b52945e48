"""How long the start of a response is awaited before the request is sent to another worker.

A worker that hangs would hold its request until the request's deadline. Where the request may be sent again,
it is sent to another worker once this one is far behind its expected time; otherwise the wait goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

from hazelbend.forwarding.errors import WorkerTimeoutError
from hazelbend.placement.choices import Choice

MIN_FIRST_BYTE_TIMEOUT_US = 1_500_000  # never less: the work of a worker that is given up is lost
EXPECTED_TIME_FACTOR = 6.0  # added to the minimum: so many times the expected time to the first byte


def first_byte_timeout_us(choice: Choice) -> int:
    """Return the microseconds in which a healthy worker starts its response, but for a few in a hundred."""
    return MIN_FIRST_BYTE_TIMEOUT_US + round(EXPECTED_TIME_FACTOR * max(choice.expected_delay, 0.0))


class FirstByteTimeout:
    """An async context manager that gives up on a worker whose response does not start in time.

    When the time is over, `may_abandon` decides: if it returns False, the block goes on without a time-out.

    Raises:
        WorkerTimeoutError: on exit, after the block was cancelled by the time-out.
    """

    def __init__(self, timeout_us: int, may_abandon: Callable[[], bool]) -> None:
        self._timeout_us = timeout_us
        self._may_abandon = may_abandon
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> FirstByteTimeout:
        await self._timeout.__aenter__()
        self._timer = asyncio.get_running_loop().call_later(self._timeout_us / 1e6, self._on_timer)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.response_started()
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise WorkerTimeoutError from None

    def response_started(self) -> None:
        """Stop the timer: from now on the worker has until the request's deadline."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._may_abandon():
            self._timeout.reschedule(asyncio.get_running_loop().time())
