"""Background tasks and timers that run for the lifetime of a process and survive unexpected errors.

Without this module, a task that raises an exception and a timer that reschedules itself at its end would
stop silently. Here each such error is logged with its traceback and counted by the name of the task or
timer, which is then started again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

log = logging.getLogger("hazelbend.background")

RESTART_DELAY_S = 1.0
EVENT_LOOP = "event loop"  # the name that errors outside these tasks and timers are counted under


@dataclass(slots=True, frozen=True)
class WorkFailure:
    """The unexpected errors of one task or timer."""

    count: int
    last_error: str


class FailureRegistry:
    """Counts unexpected errors since the start of the process, for its status and metrics."""

    def __init__(self) -> None:
        self.by_name: dict[str, WorkFailure] = {}

    @property
    def total(self) -> int:
        """The number of errors of all tasks and timers."""
        return sum(failure.count for failure in self.by_name.values())

    def record(self, name: str, error: BaseException) -> None:
        """Count an error under this name."""
        known = self.by_name.get(name)
        count = known.count + 1 if known is not None else 1
        self.by_name[name] = WorkFailure(count, repr(error))


FAILURES = FailureRegistry()  # of this process


def start_background_task(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], failures: FailureRegistry = FAILURES
) -> asyncio.Task[None]:
    """Run a coroutine function in a task until it returns or is cancelled; restart it after an error."""
    return asyncio.create_task(_run_with_restarts(name, run, failures), name=name)


async def _run_with_restarts(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], failures: FailureRegistry
) -> None:
    while True:
        try:
            await run()
        except Exception as error:
            _report(name, error, failures)
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


class RepeatingTimer:
    """Calls `action`, which schedules its own next call. If it fails, it is called again after a delay."""

    def __init__(self, name: str, action: Callable[[], None], failures: FailureRegistry = FAILURES) -> None:
        self._name = name
        self._action = action
        self._failures = failures
        self._handle: asyncio.TimerHandle | None = None

    def set(self, delay_s: float) -> None:
        """Schedule one call of the action after `delay_s`, replacing any call that is scheduled."""
        self.cancel()
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._run)

    def cancel(self) -> None:
        """Cancel the scheduled call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = None
        try:
            self._action()
        except Exception as error:
            _report(self._name, error, self._failures)
            self.set(RESTART_DELAY_S)


def count_loop_errors(failures: FailureRegistry = FAILURES) -> None:
    """Count the unhandled errors that the running event loop reports, in addition to logging them."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            failures.record(EVENT_LOOP, error)
        loop.default_exception_handler(context)

    asyncio.get_running_loop().set_exception_handler(handle)


def _report(name: str, error: Exception, failures: FailureRegistry) -> None:
    failures.record(name, error)
    log.error("%s: unexpected error, restarting in %.0f s", name, RESTART_DELAY_S, exc_info=error)
