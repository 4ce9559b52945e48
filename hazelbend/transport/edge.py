"""The edge connections: the platform's HTTP protocol, by aiohttp's low-level server. Thin: no decisions."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Any

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestHandler

from hazelbend.protocol.http_fields import BadRequest, Catalogue, read_job
from hazelbend.routing.ports import Answer, Verdict
from hazelbend.routing.router import Router

log = logging.getLogger("hazelbend.edge")

BODY_LIMIT = 64 * 1024
PLAIN = "text/plain"


class _Connection(RequestHandler):
    """aiohttp's connection, but for what it says of input that it cannot read, and for its end when idle.

    `_waiter` is aiohttp's: set and not done while nothing is being served. Its version is pinned, and
    test_edge.py holds what is used of it here.
    """

    def close_if_idle(self) -> None:
        """aiohttp's own close() leaves an idle connection open and deaf: what is sent on it then is lost."""
        if self._waiter is not None and not self._waiter.done():
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if isinstance(exc, http_exceptions.LineTooLong):
            status, message = 431, "a line or field of the head is too long"
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            status, message = 400, "not HTTP/1.1 as it should be"
        else:
            log.error("edge connection: fault", exc_info=exc)
            status, message = 500, "fault"
        response = web.Response(status=status, text=message, content_type=PLAIN)
        response.force_close()
        return response


class _Server(web.Server):
    def __call__(self) -> RequestHandler:
        return _Connection(self, loop=self._loop, **self._kwargs)


class Edge:
    def __init__(self, router: Router, catalogue: Catalogue, limit: int) -> None:
        self._router, self.catalogue, self.limit = router, catalogue, limit
        self.leaving = False
        self._server = _Server(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=1.0,
        )
        self._listener: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        return len(self._server.connections)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, host, port, backlog=512, reuse_address=True)

    def stop_accepting(self) -> None:
        """No new connections; idle ones close, the others after their answer."""
        self.leaving = True
        if self._listener is not None:
            self._listener.close()
        for connection in self._server.connections:
            if isinstance(connection, _Connection):
                connection.close_if_idle()

    async def close(self) -> None:
        await self._server.shutdown(1.0)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        if self.leaving or self.connections > self.limit:
            # Over its share of the descriptors, connections are not kept: new ones and servers need room.
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/healthz" and request.method in ("GET", "HEAD"):
            return web.Response(status=200, text="ok\n")
        if request.method != "POST":
            return web.Response(status=405, headers={"Allow": "POST"}, text="jobs come by POST\n")
        if (request.content_length or 0) > BODY_LIMIT:
            return _too_large()
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # an interim answer: the final one is still to be written
        body = bytearray()
        while part := await request.content.readany():
            body += part
            if len(body) > BODY_LIMIT:
                return _too_large()
        try:
            job = read_job(request.raw_path, request.headers, bytes(body), self.catalogue)
        except BadRequest as error:
            return web.Response(status=400, text=f"{error}\n")
        flow = self._router.take(job)
        try:
            return to_response(await asyncio.shield(flow.answered))
        except asyncio.CancelledError:
            flow.leave()  # the client closed its connection
            raise


def _too_large() -> web.Response:
    response = web.Response(status=413, text="the body is over 64 KiB\n")
    response.force_close()
    return response


def to_response(answer: Answer) -> web.Response:
    if answer.verdict is Verdict.SERVED:
        return web.Response(body=answer.result, content_type="application/octet-stream")
    headers: dict[str, Any] = {}
    if answer.verdict is Verdict.REFUSED:
        if answer.retry_after > 0:
            headers["Retry-After"] = f"{math.ceil(answer.retry_after / 1_000) / 1_000:.3f}"
        return web.Response(status=503, headers=headers, text="refused; trying again is harmless\n")
    return web.Response(status=504 if answer.overdue else 502, text="failed\n")
