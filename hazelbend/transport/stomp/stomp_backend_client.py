"""Backend client for a worker that has connected over STOMP and subscribed to jobs.

Jobs are sent as MESSAGE frames of its subscription. Progress and results arrive as SEND frames.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from dataclasses import dataclass

from hazelbend.decisions.interface import Outcome
from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import Catalogue
from hazelbend.protocol.stomp import Frame
from hazelbend.protocol.worker_lines import LoadReportFields, read_line
from hazelbend.routing.ports import (
    AttemptCallback,
    AttemptResult,
    AttemptWritten,
    BeforeFirstByte,
    Job,
    ProgressReport,
)
from hazelbend.transport.stomp.stomp_mailbox import MESSAGE_ID_BYTES, FrameSink

log = logging.getLogger("hazelbend.stomp")


@dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    job: Job
    on_progress: AttemptCallback
    result: asyncio.Future[AttemptResult]
    is_started: bool = False


class StompBackendClient:
    """The backend client of one connected worker; implements `BackendClient`."""

    def __init__(
        self, sink: FrameSink, subscription_id: str, catalogue: Catalogue, report_fields: LoadReportFields
    ) -> None:
        self.sink = sink
        self.subscription_id = subscription_id
        self._catalogue = catalogue
        self._report_fields = report_fields
        self._attempts: dict[str, _Attempt] = {}  # by message id
        self._is_lost = False

    def change(self, catalogue: Catalogue, report_fields: LoadReportFields) -> None:
        """Use new settings for all further frames."""
        self._catalogue = catalogue
        self._report_fields = report_fields

    async def attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        """Send the job as a MESSAGE and wait for its result. When cancelled, send a cancel message."""
        if self._is_lost:
            return AttemptResult(Outcome.CONNECT_FAILED)
        if (remaining_us := before_first_byte()) is None:
            return AttemptResult(Outcome.NOT_SENT)
        message_id = secrets.token_hex(MESSAGE_ID_BYTES)
        frame = Frame(
            "MESSAGE",
            {
                **self._message_headers(message_id, "job"),
                **stomp_jobs.work_headers(job, remaining_us, self._catalogue),
            },
            job.body,
        )
        if not self.sink.send(frame):
            return AttemptResult(Outcome.CONNECT_FAILED)  # no byte of the frame was sent
        on_progress(AttemptWritten())
        running = _Attempt(job, on_progress, asyncio.get_running_loop().create_future())
        self._attempts[message_id] = running
        try:
            return await running.result
        except asyncio.CancelledError:
            self.sink.send(
                Frame("MESSAGE", {**self._message_headers(message_id, "cancel"), "request-id": job.id})
            )
            raise
        finally:
            del self._attempts[message_id]

    async def probe(self, timeout_us: int) -> AttemptResult:
        """Report whether the connection is open; its heartbeats serve as the health check."""
        return AttemptResult(Outcome.CONNECT_FAILED if self._is_lost else Outcome.SERVED)

    def close(self) -> None:
        """Do nothing: attempts in flight on a removed worker continue until its connection is lost."""

    def on_update(self, frame: Frame) -> None:
        """Apply a progress report or a result; ignore it if its attempt is no longer in flight."""
        running = self._attempts.get(frame.get("message-id"))
        if running is None or running.result.done():
            return
        try:
            update = read_line(frame.body, running.job.id, self._report_fields)
        except ValueError as error:
            log.warning("worker: invalid update: %s", error)
            update = AttemptResult(Outcome.ERROR)
        if isinstance(update, ProgressReport):
            running.is_started = True
            running.on_progress(update)
        elif update is not None:
            running.result.set_result(update)

    def acknowledge(self, message_id: str, *, accepted: bool) -> None:
        """Apply an ACK (`accepted`), which confirms only receipt, or a NACK, which returns the job."""
        running = self._attempts.get(message_id)
        if running is None or accepted or running.result.done():
            return
        # A worker that has reported progress may already have executed part of the job.
        running.result.set_result(AttemptResult(Outcome.ERROR if running.is_started else Outcome.FULL))

    def on_connection_lost(self) -> None:
        """End all attempts in flight as `RESET`: the jobs may have been executed."""
        self._is_lost = True
        for running in self._attempts.values():
            if not running.result.done():
                running.result.set_result(AttemptResult(Outcome.RESET))

    def _message_headers(self, message_id: str, kind: str) -> dict[str, str]:
        return {
            "subscription": self.subscription_id,
            "message-id": message_id,
            "destination": stomp_jobs.WORK_DESTINATION,
            "ack": message_id,
            "type": kind,
        }
