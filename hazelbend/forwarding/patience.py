"""How long the first sign of a worker is awaited before the request is sent elsewhere.

A worker that hangs says nothing for as long as its request is waited for. Where the request may be sent
again, it is, once the worker is far behind what was expected of it; where it may not, the wait goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

from hazelbend.placement.choices import Choice

LEAST_PATIENCE = 1_500_000  # microseconds that are always waited: what is given up was in vain
PATIENCE_TIMES = 6.0  # times the expected time to the first sign


class WorkerSilentError(Exception):
    """The worker has said nothing for so long that the request is to be sent elsewhere."""


def patience_with(choice: Choice) -> int:
    """Microseconds in which a worker that is well gives its first sign, but for a few in a hundred."""
    return LEAST_PATIENCE + round(PATIENCE_TIMES * max(choice.expected_delay, 0.0))


class Patience:
    """Ends what is awaited within it by `WorkerSilentError` once the time is over, unless a sign came before
    or `may_give_up` then says that the request can't be sent elsewhere."""

    def __init__(self, wait: int, may_give_up: Callable[[], bool]) -> None:
        """`wait`: microseconds."""
        self._wait, self._may_give_up = wait, may_give_up
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Patience:
        await self._timeout.__aenter__()
        self._timer = asyncio.get_running_loop().call_later(self._wait / 1e6, self._is_over)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.sign_came()
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise WorkerSilentError from None

    def sign_came(self) -> None:
        """The worker has spoken: from now on it is waited for."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _is_over(self) -> None:
        self._timer = None
        if self._may_give_up():
            self._timeout.reschedule(asyncio.get_running_loop().time())
