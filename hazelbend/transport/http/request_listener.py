"""The address of a router for clients: HTTP/1.1 by aiohttp's low-level server. Thin: no decisions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestPayloadError

from hazelbend.forwarding.ports import ClientRequest, ClientResponse, Headers
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.draining_listener import DrainingListener
from hazelbend.transport.http.worker_client import PER_CONNECTION

Serve: TypeAlias = Callable[[ClientRequest, ClientResponse], Awaitable[None]]

NOT_PASSED_ON = PER_CONNECTION | {
    "host",
    "request-id",
    "deadline-ms",
    "expect",
    "expect-instance",
    "phase",
    "kv-from",
}
FIRST_LIMITS = (4 * 1024 * 1024, 16 * 1024)  # bytes of a body and of a head, until a configuration says


class _BodyError(Exception):
    """A body that can't be taken."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class _Reply:
    """Implements `forwarding.ports.ClientResponse` for one request."""

    def __init__(self, request: web.BaseRequest, close_after: Callable[[], bool]) -> None:
        self._request, self._close_after = request, close_after
        self.response: web.StreamResponse | None = None
        self.aborted = False

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """See the Protocol."""
        self.response = web.Response(status=status, headers=list(headers), body=body)

    async def begin(self, status: int, headers: Headers) -> None:
        """See the Protocol."""
        response = web.StreamResponse(status=status, headers=list(headers))
        response.enable_chunked_encoding()
        if self._close_after():
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """See the Protocol."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """See the Protocol."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """See the Protocol."""
        self.aborted = True
        if self._request.transport is not None:
            self._request.transport.abort()


class RequestListener(DrainingListener):
    """Reads whole requests and hands them to `serve`."""

    def __init__(self, serve: Serve, clock: Callable[[], int], limit: int) -> None:
        super().__init__(limit)
        self._forward, self._clock = serve, clock
        self.largest_body, self.largest_head = FIRST_LIMITS

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        arrived_at = self._clock()
        waited = connection.waited()
        reply = _Reply(request, lambda: not self.keeps_connections)
        try:
            body = await self._body(request)
        except _BodyError as error:
            connection.heard()
            return self._last(connection, web.Response(status=error.status, text=f"{error}\n"))
        connection.heard()
        found = _client_request(request, body, arrived_at - round(waited * 1e6))
        if isinstance(found, str):
            return self._last(connection, web.Response(status=400, text=f"{found}\n"))
        await self._forward(found, reply)
        response = reply.response
        if response is None or reply.aborted:
            response = response or web.Response(status=502)
            return self._last(connection, response)
        connection.answer(taken=response.status != 400)
        if not self.keeps_connections:
            response.force_close()
        return response

    @staticmethod
    def _last(connection: ClientConnection, response: web.StreamResponse) -> web.StreamResponse:
        connection.answer(taken=False)
        response.force_close()
        return response

    async def _body(self, request: web.BaseRequest) -> bytes:
        if sum(len(name) + len(value) + 4 for name, value in request.raw_headers) > self.largest_head:
            raise _BodyError(431, "the head is too large")
        if (request.content_length or 0) > self.largest_body:
            raise _BodyError(413, "the body is too large")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # an interim answer: the final one is still to be written
        body = bytearray()
        try:
            while part := await request.content.readany():
                body += part
                if len(body) > self.largest_body:
                    raise _BodyError(413, "the body is too large")
        except (RequestPayloadError, http_exceptions.HttpProcessingError):
            raise _BodyError(400, "the body is not as its head says") from None
        return bytes(body)


def _client_request(request: web.BaseRequest, body: bytes, arrived_at: int) -> ClientRequest | str:
    """The request, or what speaks against it."""
    headers = request.headers
    ids = headers.getall("Request-Id", [])
    if len(ids) != 1 or not ids[0]:
        return "Request-Id has to stand there once"
    deadline = headers.get("Deadline-Ms")
    timeout_us = None
    if deadline is not None:
        if not (deadline.isascii() and deadline.isdecimal() and len(deadline) < 10):
            return "Deadline-Ms: no whole number"
        timeout_us = int(deadline) * 1_000
    target = request.raw_path
    if not target.startswith("/"):
        return "the target is no path"
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    passed = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_PASSED_ON and name.lower() not in named
    )
    return ClientRequest(
        id=ids[0],
        method=request.method,
        target=target,
        host=headers.get("Host", ""),
        headers=passed,
        body=body,
        arrived_at=arrived_at,
        timeout_us=timeout_us,
        token_usage=headers.get("Token-Usage"),
        prefix_hash=headers.get("Prefix-Hash"),
    )
