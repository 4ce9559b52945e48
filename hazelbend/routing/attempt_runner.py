"""Runs attempts: starts them, checks them again before the first byte, and reports their results.

Results go into the inbox of the attempt's request.
"""

from __future__ import annotations

import asyncio
import logging

from hazelbend.decisions import interface as decisions
from hazelbend.decisions.interface import Outcome
from hazelbend.routing.clock import Clock
from hazelbend.routing.decision_module import DecisionModule
from hazelbend.routing.ports import (
    AttemptResult,
    AttemptWritten,
    BackendClient,
    ProgressReport,
    RequestCounters,
)
from hazelbend.routing.request_context import Attempt, RequestContext
from hazelbend.routing.request_events import AttemptFinished, AttemptProgressed
from hazelbend.routing.table import BackendTable

log = logging.getLogger("hazelbend.routing")


class AttemptRunner:
    """Runs each attempt in its own task. Times are microseconds."""

    def __init__(
        self, module: DecisionModule, clock: Clock, table: BackendTable, counters: RequestCounters
    ) -> None:
        self._module = module
        self._clock = clock
        self._table = table
        self._counters = counters

    def start(self, request: RequestContext, send: decisions.Send) -> None:
        """Start the attempt that the module has decided on.

        It ends as `NOT_SENT` at once if its backend no longer accepts work, or if the request has ended.
        """
        now = self._clock.now()
        backend = self._table.backends.get(send.worker)
        remaining = request.deadline - now
        timeout = min(send.timeout or remaining, remaining)
        client = backend.client if backend is not None else None
        attempt = Attempt(backend, send.worker, now, now + timeout, client)
        request.attempts.append(attempt)
        number = len(request.attempts) - 1
        is_late = request.is_closed or timeout <= 0
        if backend is None or client is None or not backend.accepts_work or is_late:
            request.inbox.put_nowait(AttemptFinished(number, AttemptResult(Outcome.NOT_SENT)))
            return
        backend.in_flight += 1
        attempt.task = asyncio.create_task(self._run(request, number, client))
        # A task that is cancelled before it first runs never enters `_run`: the callback reports its result.
        attempt.task.add_done_callback(lambda task: _report_if_unreported(request, number, task))

    async def _run(self, request: RequestContext, number: int, client: BackendClient) -> AttemptResult:
        """Run the attempt and report its result.

        If only the task's done callback reported it, the request would get the result, and the client its
        answer, one iteration of the event loop later.
        """
        result = await self._attempt(request, number, client)
        request.attempts[number].is_reported = True
        request.inbox.put_nowait(AttemptFinished(number, result))
        return result

    async def _attempt(self, request: RequestContext, number: int, client: BackendClient) -> AttemptResult:
        """Make the attempt and return its result, also after a timeout, a cancellation or an error.

        An attempt that was not written completely was not executed by the backend.
        """
        attempt = request.attempts[number]
        try:
            async with asyncio.timeout(max(attempt.deadline - self._clock.now(), 0) / 1e6):
                return await client.attempt(
                    request.job,
                    lambda: self._check_before_first_byte(request, number),
                    lambda message: self._on_message(request, number, message),
                )
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT if attempt.is_written else Outcome.NOT_SENT)
        except asyncio.CancelledError:
            return AttemptResult(Outcome.CANCELLED if attempt.is_written else Outcome.NOT_SENT)
        except Exception:
            log.exception("request %s: attempt %d: unexpected error in the client", request.job.id, number)
            return AttemptResult(Outcome.ERROR)

    def _check_before_first_byte(self, request: RequestContext, number: int) -> int | None:
        """Check again, once the connection is established, whether the attempt may be sent.

        While the connection was being established, the request may have ended, and the backend may have been
        drained or moved to another address. Returns the microseconds until the attempt's deadline, or None if
        nothing may be written.
        """
        attempt = request.attempts[number]
        now = self._clock.now()
        remaining = attempt.deadline - now
        backend = attempt.backend
        if request.is_closed or remaining <= 0 or backend is None:
            return None
        if not backend.accepts_work or backend.client is not attempt.client:
            return None
        if not self._module.may_still_send(request.number, number, now):
            return None
        attempt.is_permitted = True
        return remaining

    def _on_message(
        self, request: RequestContext, number: int, message: ProgressReport | AttemptWritten
    ) -> None:
        if isinstance(message, AttemptWritten):
            request.attempts[number].is_written = True
            self._counters.forwards += 1
        else:
            request.inbox.put_nowait(AttemptProgressed(number, message))


def _report_if_unreported(request: RequestContext, number: int, task: asyncio.Task[AttemptResult]) -> None:
    """Report the result of an attempt whose task ended without doing so."""
    if not request.attempts[number].is_reported:
        result = AttemptResult(Outcome.NOT_SENT) if task.cancelled() else task.result()
        request.inbox.put_nowait(AttemptFinished(number, result))
