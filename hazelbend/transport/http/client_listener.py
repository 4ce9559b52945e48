"""The dispatcher's HTTP/1.1 listener for clients, based on aiohttp's low-level server. It decides nothing."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeAlias
from urllib.parse import quote

from aiohttp import web
from multidict import MultiMapping

from hazelbend.protocol.http_fields import BadRequestError, Catalogue, read_job
from hazelbend.routing.ports import Answer, Job, PendingJob, Verdict
from hazelbend.routing.router import Router
from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import ClientConnection, ConnectionEndedError
from hazelbend.transport.http.draining_listener import DrainingListener
from hazelbend.transport.http.request_body import BodyTooLargeError, MalformedBodyError, read_body

MAX_BODY_BYTES = 64 * 1024
MIN_QUEUEING_TIME_S = 0.005  # from here on, the wait behind other requests is taken off a request's timeout
# The delay of the response to an invalid request, for each earlier invalid request on its connection:
INVALID_REQUEST_DELAY_S = 0.05
MAX_INVALID_REQUEST_DELAY_S = 0.5


class JobRejectedError(Exception):
    """A request is not accepted as a job. The text is sent to the client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


HttpGate: TypeAlias = Callable[[Job, MultiMapping[str]], PendingJob]
"""Submits a job with the headers of its request to the job queue; raises `BadRequestError`."""


class ClientListener(DrainingListener):
    """Reads jobs from requests and passes them to the router, or to the gate if there is a job queue."""

    def __init__(
        self,
        router: Router,
        catalogue: Catalogue,
        connection_limit: int,
        memory: ConnectionMemory,
    ) -> None:
        super().__init__(min(connection_limit, memory.limits.connections), memory)
        self._router = router
        self.catalogue = catalogue
        self.gate: HttpGate | None = None

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        queueing_time_s = connection.take_queueing_time()
        if not request.content.is_eof():
            # The body has not arrived yet, so the client has not waited for this process.
            queueing_time_s = 0.0
        try:
            await connection.previous_response_written()
            response = await self._respond(request, connection, queueing_time_s)
        except ConnectionEndedError:
            return web.Response(status=408)  # is not written
        is_valid = not 400 <= response.status < 500
        if not is_valid and connection.invalid_requests:
            # A client that repeats an invalid request without delay would take processing time from others.
            delay = INVALID_REQUEST_DELAY_S * connection.invalid_requests
            await asyncio.sleep(min(delay, MAX_INVALID_REQUEST_DELAY_S))
        connection.begin_response(is_valid=is_valid, response=response)
        if not self.allows_keep_alive:
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, connection: ClientConnection, queueing_time_s: float
    ) -> web.Response:
        if request.path == "/healthz" and request.method in ("GET", "HEAD"):
            return self._health_response()
        if request.method != "POST":
            return web.Response(status=405, headers={"Allow": "POST"}, text="jobs come by POST\n")
        try:
            body = await read_body(request, MAX_BODY_BYTES)
        except BodyTooLargeError:
            return _closing_response(413, "the body is over 64 KiB")
        except MalformedBodyError as error:
            return _closing_response(400, str(error))
        connection.request_received()
        try:
            pending = self._accept_job(request, body, queueing_time_s)
        except JobRejectedError as error:
            return web.Response(status=error.status, text=f"{error}\n")
        try:
            return _http_response(await pending.reply())
        except asyncio.CancelledError:
            pending.on_client_disconnected()  # the client has closed the connection
            raise

    def _accept_job(self, request: web.BaseRequest, body: bytes, queueing_time_s: float) -> PendingJob:
        try:
            job = read_job(request.raw_path, request.headers, body, self.catalogue)
            if queueing_time_s > MIN_QUEUEING_TIME_S:
                job = replace(job, timeout_us=max(job.timeout_us - round(queueing_time_s * 1e6), 1))
            if self._router.is_open(job.id):
                raise JobRejectedError(409, "a request of this id is open")
            return self._router.accept(job) if self.gate is None else self.gate(job, request.headers)
        except BadRequestError as error:
            raise JobRejectedError(400, str(error)) from None

    def _health_response(self) -> web.Response:
        if self.accepts_clients:
            return web.Response(status=200, text="ok\n")
        return web.Response(status=503, text="no clients are taken\n")


def _closing_response(status: int, text: str) -> web.Response:
    response = web.Response(status=status, text=f"{text}\n")
    response.force_close()
    return response


def _http_response(answer: Answer) -> web.Response:
    """Return the answer as an HTTP response."""
    if answer.verdict is Verdict.SERVED:
        return web.Response(body=answer.result, content_type="application/octet-stream")
    headers: dict[str, Any] = {}
    if answer.verdict is Verdict.REFUSED:
        if answer.retry_after > 0:
            retry_after_ms = math.ceil(answer.retry_after / 1_000)
            headers["Retry-After"] = f"{retry_after_ms / 1_000:.3f}"
        if answer.reason:
            headers["X-Reason"] = quote(answer.reason, safe=" ,:;")
        return web.Response(status=503, headers=headers, text="refused; trying again is harmless\n")
    return web.Response(status=504 if answer.is_expired else 502, text="failed\n")
