"""The timeout for the start of a response, after which the request is retried at another worker.

A worker that hangs would hold its request until the request's deadline. If the request may be sent again, it
is sent to another worker once this one is far behind its expected time; otherwise the wait goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

from hazelbend.forwarding.errors import WorkerTimeoutError
from hazelbend.placement.choices import Choice

MIN_FIRST_BYTE_TIMEOUT_US = 1_500_000  # not shorter, since the work of an abandoned attempt is lost
EXPECTED_TIME_FACTOR = 6.0  # this many times the expected time to the first byte is added to the minimum


def first_byte_timeout_us(choice: Choice) -> int:
    """Return the timeout in microseconds; a healthy worker exceeds it in a few per cent of its responses."""
    return MIN_FIRST_BYTE_TIMEOUT_US + round(EXPECTED_TIME_FACTOR * max(choice.expected_delay, 0.0))


class FirstByteTimeout:
    """An async context manager that abandons an attempt whose response does not start in time.

    When the timeout expires, `may_abandon` decides: if it returns False, the block continues without timeout.

    Raises:
        WorkerTimeoutError: on exit, if the block was cancelled by the timeout.
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
        """Stop the timer. From now on only the request's deadline limits the response."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._may_abandon():
            self._timeout.reschedule(asyncio.get_running_loop().time())
