"""Runs attempts: starts them, checks them again before the first byte, and puts their ends into the inbox."""

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
    """Each attempt is a task of its own. Times are microseconds."""

    def __init__(
        self, module: DecisionModule, clock: Clock, table: BackendTable, counters: RequestCounters
    ) -> None:
        self._module = module
        self._clock = clock
        self._table = table
        self._counters = counters

    def start(self, request: RequestContext, send: decisions.Send) -> None:
        """Start the attempt that the module has decided on, unless its backend may get no work by now."""
        now = self._clock.now()
        backend = self._table.servers.get(send.worker)
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
        # A task that is cancelled before it first runs never runs `_run`: its callback reports the end.
        attempt.task.add_done_callback(lambda task: _report_unreported(request, number, task))

    async def _run(self, request: RequestContext, number: int, client: BackendClient) -> AttemptResult:
        """Run the attempt and report its end.

        By the task's callback the request would get it, and the client its answer, a turn of the loop later.
        """
        result = await self._attempt(request, number, client)
        request.attempts[number].is_reported = True
        request.inbox.put_nowait(AttemptFinished(number, result))
        return result

    async def _attempt(self, request: RequestContext, number: int, client: BackendClient) -> AttemptResult:
        """All ends are an AttemptResult. What was not written completely was not executed."""
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
            log.exception("flow %s: attempt %d: fault in the client", request.job.id, number)
            return AttemptResult(Outcome.ERROR)

    def _check_before_first_byte(self, request: RequestContext, number: int) -> int | None:
        """The connection is there: return the remaining time, or None where nothing must be written.

        While the connection came up, the request may have ended, and the backend may have been drained or
        moved.
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


def _report_unreported(request: RequestContext, number: int, task: asyncio.Task[AttemptResult]) -> None:
    if not request.attempts[number].is_reported:
        result = AttemptResult(Outcome.NOT_SENT) if task.cancelled() else task.result()
        request.inbox.put_nowait(AttemptFinished(number, result))
