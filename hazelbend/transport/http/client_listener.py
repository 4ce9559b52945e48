"""The clients' listener: the platform's HTTP protocol, by aiohttp's low-level server. Thin: no decisions."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol, TypeAlias
from urllib.parse import quote

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestPayloadError
from multidict import MultiMapping

from hazelbend.protocol.http_fields import BadRequestError, Catalogue, read_job
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.routing.router import Router
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.draining_listener import DrainingListener

log = logging.getLogger("hazelbend.client_listener")

BODY_LIMIT = 64 * 1024
WORTH_COUNTING = 0.005  # seconds of waiting behind others from which they are taken off a request's time
# Seconds that a client's next bad request waits for its answer, by count.
BAD_PAUSE, LONGEST_PAUSE = 0.05, 0.5


class Open(Protocol):
    """A job that was taken: a flow, or one that waits to be one."""

    @property
    def answered(self) -> asyncio.Future[Answer]:
        """Done with the one final answer."""

    def leave(self) -> None:
        """Its client has gone."""

    def reply(self) -> asyncio.Future[Answer]:
        """The answer in a future that the caller may cancel."""


HttpGate: TypeAlias = Callable[[Job, MultiMapping[str]], Open]


class ClientListener(DrainingListener):
    """The clients' address."""

    def __init__(self, router: Router, catalogue: Catalogue, limit: int) -> None:
        super().__init__(limit)
        self._router, self.catalogue = router, catalogue
        self.gate: HttpGate | None = None  # where jobs may wait

    # --- requests ---

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        waited = connection.waited()
        response = await self._respond(request, connection, waited if request.content.is_eof() else 0.0)
        bad = 400 <= response.status < 500
        if bad and connection.bad:
            # The same again as soon as it is turned away: its own next answers wait, others are served.
            await asyncio.sleep(min(BAD_PAUSE * connection.bad, LONGEST_PAUSE))
        connection.answer(taken=not bad)
        if not self.keeps_connections:
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, connection: ClientConnection, waited: float
    ) -> web.Response:
        """`waited`: seconds that the whole request has waited behind others of its connection."""
        if request.path == "/healthz" and request.method in ("GET", "HEAD"):
            if self.takes_clients:
                return web.Response(status=200, text="ok\n")
            return web.Response(status=503, text="no clients are taken\n")
        if request.method != "POST":
            return web.Response(status=405, headers={"Allow": "POST"}, text="jobs come by POST\n")
        if (request.content_length or 0) > BODY_LIMIT:
            return _too_large()
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # an interim answer: the final one is still to be written
        body = bytearray()
        try:
            while part := await request.content.readany():
                body += part
                if len(body) > BODY_LIMIT:
                    return _too_large()
        except (RequestPayloadError, http_exceptions.HttpProcessingError):
            return _closing(400, "the body is not as its head says")
        connection.heard()
        try:
            job = read_job(request.raw_path, request.headers, bytes(body), self.catalogue)
            if waited > WORTH_COUNTING:  # behind others of its connection: its client has counted on
                job = replace(job, patience=max(job.patience - round(waited * 1e6), 1))
        except BadRequestError as error:
            return web.Response(status=400, text=f"{error}\n")
        if self._router.holds(job.id):
            return web.Response(status=409, text="a request of this id is open\n")
        try:
            flow = self._take(job, request)
        except BadRequestError as error:
            return web.Response(status=400, text=f"{error}\n")
        try:
            return to_response(await flow.reply())
        except asyncio.CancelledError:
            flow.leave()  # the client closed its connection
            raise

    def _take(self, job: Job, request: web.BaseRequest) -> Open:
        return self._router.take(job) if self.gate is None else self.gate(job, request.headers)


def _closing(status: int, text: str) -> web.Response:
    response = web.Response(status=status, text=f"{text}\n")
    response.force_close()
    return response


def _too_large() -> web.Response:
    return _closing(413, "the body is over 64 KiB")


def to_response(answer: Answer) -> web.Response:
    """The answer as HTTP."""
    if answer.verdict is Verdict.SERVED:
        return web.Response(body=answer.result, content_type="application/octet-stream")
    headers: dict[str, Any] = {}
    if answer.verdict is Verdict.REFUSED:
        if answer.retry_after > 0:
            headers["Retry-After"] = f"{math.ceil(answer.retry_after / 1_000) / 1_000:.3f}"
        if answer.reason:
            headers["X-Reason"] = quote(answer.reason, safe=" ,:;")
        return web.Response(status=503, headers=headers, text="refused; trying again is harmless\n")
    return web.Response(status=504 if answer.overdue else 502, text="failed\n")
