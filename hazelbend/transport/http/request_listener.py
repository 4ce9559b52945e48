"""A router's HTTP/1.1 listener for clients, based on aiohttp's low-level server. It makes no decisions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web

from hazelbend.forwarding.ports import ClientRequest, ClientResponse, Headers
from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import ClientConnection, ConnectionEndedError
from hazelbend.transport.http.draining_listener import DrainingListener
from hazelbend.transport.http.http_listener import ParserLimits
from hazelbend.transport.http.request_body import BodyTooLargeError, MalformedBodyError, read_body
from hazelbend.transport.http.worker_client import HOP_BY_HOP_HEADERS

ServeRequest: TypeAlias = Callable[[ClientRequest, ClientResponse], Awaitable[None]]

# Request headers that the router reads or sets itself; all others are forwarded.
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    "request-id",
    "deadline-ms",
    "expect",
    "expect-instance",
    "phase",
    "kv-from",
}
# In use until a configuration sets the limits:
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
MIN_MEAN_FIELD_BYTES = 16  # of a field with the end of its line, in a head of the largest size
HEADER_LINE_OVERHEAD_BYTES = 4  # a colon, a space and the end of the line
MAX_DEADLINE_DIGITS = 9


class InvalidRequestError(Exception):
    """A request cannot be accepted. The text is sent to the client."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


class _ClientResponse:
    """Implements `forwarding.ports.ClientResponse` for one request."""

    def __init__(self, request: web.BaseRequest, is_last: Callable[[], bool]) -> None:
        """`is_last` returns whether the connection closes after this response."""
        self._request = request
        self._is_last = is_last
        assert isinstance(request.protocol, ClientConnection)
        self._connection = request.protocol
        self.response: web.StreamResponse | None = None
        self.aborted = False

    async def allocate(self, size: int) -> None:
        """See the Protocol."""
        await self._connection.charge_response(size)

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """See the Protocol."""
        self.response = web.Response(status=status, headers=list(headers), body=body)

    async def begin(self, status: int, headers: Headers) -> None:
        """See the Protocol."""
        response = web.StreamResponse(status=status, headers=list(headers))
        response.enable_chunked_encoding()
        if self._is_last():
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
    """Reads complete requests and passes them to `serve_request`."""

    def __init__(
        self,
        serve_request: ServeRequest,
        clock: Callable[[], int],
        connection_limit: int,
        memory: ConnectionMemory,
    ) -> None:
        """`clock` returns the current time in microseconds."""
        super().__init__(min(connection_limit, memory.limits.connections), memory)
        self._serve_request = serve_request
        self._clock = clock
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.max_header_bytes = DEFAULT_MAX_HEADER_BYTES

    @property
    def parser_limits(self) -> ParserLimits:
        """What heads of `max_header_bytes` can contain, beside aiohttp's own limits."""
        default = ParserLimits()
        return ParserLimits(
            line_bytes=max(self.max_header_bytes, default.line_bytes),
            fields=max(self.max_header_bytes // MIN_MEAN_FIELD_BYTES, default.fields),
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        client_response = _ClientResponse(request, lambda: not self.allows_keep_alive)
        try:
            await connection.previous_response_written()
            client_request = await self._read_request(request, connection)
        except ConnectionEndedError:
            return web.Response(status=HTTPStatus.REQUEST_TIMEOUT)  # is not written
        except InvalidRequestError as error:
            return _close_after(connection, web.Response(status=error.status, text=f"{error}\n"))
        await self._serve_request(client_request, client_response)
        response = client_response.response
        if response is None or client_response.aborted:
            return _close_after(connection, response or web.Response(status=502))
        connection.begin_response(is_valid=response.status != 400, response=response)
        if not self.allows_keep_alive:
            response.force_close()
        return response

    async def _read_request(self, request: web.BaseRequest, connection: ClientConnection) -> ClientRequest:
        """Return the request once it is complete.

        Raises:
            ConnectionEndedError: its connection was closed meanwhile.
            InvalidRequestError: it cannot be accepted.
        """
        arrived_at = self._clock() - round(connection.take_queueing_time() * 1e6)
        header_bytes = _header_bytes(request)
        if header_bytes > self.max_header_bytes:
            raise InvalidRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        connection.head_read(header_bytes)
        try:
            body = await read_body(request, self.max_body_bytes)
        except BodyTooLargeError as error:
            raise InvalidRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(error)) from None
        except MalformedBodyError as error:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, str(error)) from None
        connection.request_received()
        return _client_request(request, body, arrived_at)


def _close_after(connection: ClientConnection, response: web.StreamResponse) -> web.StreamResponse:
    connection.begin_response(is_valid=False)
    response.force_close()
    return response


def _header_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in request.raw_headers)


def _client_request(request: web.BaseRequest, body: bytes, arrived_at: int) -> ClientRequest:
    """Return the request as a `ClientRequest`.

    Raises:
        InvalidRequestError: its headers or its target are invalid.
    """
    headers = request.headers
    ids = headers.getall("Request-Id", [])
    if len(ids) != 1 or not ids[0]:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "Request-Id has to stand there once")
    timeout_us = _timeout_us(headers.get("Deadline-Ms"))
    target = request.raw_path
    if not target.startswith("/"):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "the target is no path")
    connection_options = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    forwarded_headers = tuple(
        (name, value)
        for name, value in headers.items()
        if (field := name.lower()) not in NOT_FORWARDED_HEADERS and field not in connection_options
    )
    return ClientRequest(
        id=ids[0],
        method=request.method,
        target=target,
        host=headers.get("Host", ""),
        headers=forwarded_headers,
        body=body,
        arrived_at=arrived_at,
        timeout_us=timeout_us,
        token_usage=headers.get("Token-Usage"),
        prefix_hash=headers.get("Prefix-Hash"),
    )


def _timeout_us(deadline_ms: str | None) -> int | None:
    if deadline_ms is None:
        return None
    is_number = deadline_ms.isascii() and deadline_ms.isdecimal()
    if not is_number or len(deadline_ms) > MAX_DEADLINE_DIGITS:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "Deadline-Ms: no whole number")
    return int(deadline_ms) * 1_000
