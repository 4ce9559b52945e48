"""HTTP/1.1 client for workers, based on aiohttp. Each request is written at most once."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp
from aiohttp.connector import AddrInfoType

from hazelbend.forwarding.errors import (
    InvalidResponseError,
    ResponseBrokenError,
    SendWithdrawnError,
    WorkerUnreachableError,
)
from hazelbend.forwarding.ports import UNKNOWN_CONNECTION, BeforeFirstByte, ConnectionUse, Headers, WorkerCall
from hazelbend.transport.connection_memory import bound_receive_buffer
from hazelbend.transport.http.aiohttp_client import (
    RequestProgress,
    RequestWithdrawnError,
    StaleConnectionError,
    SurplusBytesError,
    open_checked_session,
    raw_url,
    send_once,
    set_keepalive,
)
from hazelbend.transport.http.response_handler import MalformedResponseError

CONNECT_TIMEOUT_S = 0.35
DEFAULT_KEEPALIVE_S = 4.0  # how long an idle connection stays open, unless a worker announces a shorter time
KEEPALIVE_RATIO = 0.6  # of the announced time: the worker must not close while a request is in transit
READ_BUFFER_BYTES = 16 * 1024  # of a response; reading pauses above twice that
RECEIVE_BUFFER_BYTES = 32 * 1024  # in the kernel, while reading pauses
FREE_HANDLE_TIMEOUT_S = 1.0
# Running and queued requests, and the rest. Four digits: each request takes a connection of the worker.
LOAD_REPORT = re.compile(r"[ \t]*([0-9]{1,4})[ \t]*,[ \t]*([0-9]{1,4})[ \t]*(?:,.*)?")
DEADLINE_HEADER = "Deadline-Ms"
# Not forwarded (RFC 9110, section 7.6.1); Content-Length is set again from the body.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError, aiohttp.http_exceptions.HttpProcessingError)


class HttpWorkerResponse:
    """Implements `forwarding.ports.WorkerResponse`."""

    def __init__(self, response: aiohttp.ClientResponse, connection: ConnectionUse) -> None:
        self._response = response
        self.connection = connection
        self.status = response.status
        self.reason = response.reason or ""
        self.headers: Headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        self.not_executed = (
            response.status == HTTPStatus.MISDIRECTED_REQUEST or "Not-Executed" in response.headers
        )
        self.reported_in_flight = _requests_in_flight(response.headers.get("Server-Load"))
        self.body_bytes = response.content_length

    async def chunks(self) -> AsyncIterator[bytes]:
        """See the Protocol."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except CALL_ERRORS as error:
            raise ResponseBrokenError(str(error)) from None

    async def body(self) -> bytes:
        """See the Protocol."""
        try:
            return await self._response.read()
        except CALL_ERRORS as error:
            raise ResponseBrokenError(str(error)) from None

    def close(self) -> None:
        """See the Protocol."""
        self._response.close()  # has no effect after a complete body: the connection is back in the pool


class HttpWorkerClient:
    """Implements `forwarding.ports.WorkerClient`."""

    def __init__(self, connection_limit: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=connection_limit,
            keepalive_timeout=DEFAULT_KEEPALIVE_S,
            use_dns_cache=False,
            force_close=False,
            socket_factory=_bounded_socket,
        )
        self._keepalive_s = DEFAULT_KEEPALIVE_S
        self.session = open_checked_session(connector, CONNECT_TIMEOUT_S, READ_BUFFER_BYTES)

    async def send(self, call: WorkerCall, before_first_byte: BeforeFirstByte) -> HttpWorkerResponse:
        """See the Protocol."""
        request = call.request
        progress = RequestProgress(
            before_first_byte,
            DEADLINE_HEADER,
            has_body=bool(request.body),
            used_connections=call.used_connections,
        )
        headers = [
            *request.headers,
            ("Host", request.host),
            ("Request-Id", request.id),
            *call.extra_headers,
        ]
        try:
            url = raw_url(f"http://{call.address}", request.target)
            response = await send_once(
                self, request.method, url, progress, body=request.body or None, headers=headers
            )
        except RequestWithdrawnError:
            raise SendWithdrawnError from None
        except (SurplusBytesError, MalformedResponseError) as error:
            raise InvalidResponseError(str(error)) from None
        except CALL_ERRORS as error:
            if progress.is_permitted:
                raise ResponseBrokenError(str(error)) from None
            raise WorkerUnreachableError(str(error)) from None
        self._apply_keepalive(response.headers.get("Keep-Alive"))
        if not _is_response_to(request.id, response, on_reused_connection=progress.reused_connection):
            response.close()
            progress.discard_connection()
            raise InvalidResponseError("the response to another request")
        worker_response = HttpWorkerResponse(response, _connection_use(progress))
        if worker_response.not_executed and _is_success(response):
            worker_response.close()
            raise InvalidResponseError("a success that claims not to be executed")
        return worker_response

    def _apply_keepalive(self, header: str | None) -> None:
        """Apply the shortest announced timeout to all workers: closing a connection early costs little."""
        worker_keepalive_s = _keepalive_timeout_s(header)
        if worker_keepalive_s is None:
            return
        keepalive_s = worker_keepalive_s * KEEPALIVE_RATIO
        if keepalive_s < self._keepalive_s:
            self._keepalive_s = keepalive_s
            set_keepalive(self.session, keepalive_s)

    async def free_handle(self, address: str, instance: str, handle: str) -> None:
        """See the Protocol."""
        url = raw_url(f"http://{address}", f"/kv-handle/{handle}")
        headers = {"Expect-Instance": instance}  # the address may belong to another worker by now
        with contextlib.suppress(TimeoutError, StaleConnectionError, *CALL_ERRORS):
            async with (
                asyncio.timeout(FREE_HANDLE_TIMEOUT_S),
                self.session.delete(url, headers=headers) as response,
            ):
                await response.read()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _bounded_socket(address: AddrInfoType) -> socket.socket:
    """Create a socket whose receive buffer does not grow by itself."""
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    bound_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
    return sock


def _is_response_to(request_id: str, response: aiohttp.ClientResponse, *, on_reused_connection: bool) -> bool:
    """Return whether this is the response to the request, and names no other one.

    A failure is accepted without an id, as a worker that cannot parse the request sends it, but not on a
    reused connection: there it may be a late response to the previous request.
    """
    echoed_ids = response.headers.getall("Request-Id", [])
    if not echoed_ids:
        return response.status >= HTTPStatus.MULTIPLE_CHOICES and not on_reused_connection
    return set(echoed_ids) == {request_id}


def _is_success(response: aiohttp.ClientResponse) -> bool:
    return HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES


def _connection_use(progress: RequestProgress) -> ConnectionUse:
    connection = progress.connection
    if connection is None:
        return UNKNOWN_CONNECTION
    return ConnectionUse(connection.local_port, connection.requests_written - 1)


def _keepalive_timeout_s(header: str | None) -> float | None:
    """Return the timeout in a header such as `Keep-Alive: timeout=5, max=9`, in seconds."""
    for parameter in (header or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None


def _requests_in_flight(server_load: str | None) -> int | None:
    """Return the sum of running and queued requests in `Server-Load: running,queued,slots`.

    A report without two usable numbers counts as none.
    """
    report = LOAD_REPORT.fullmatch(server_load or "")
    return int(report[1]) + int(report[2]) if report is not None else None
