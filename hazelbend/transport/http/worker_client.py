"""Calls to workers over HTTP/1.1, by aiohttp's client: each is sent once, on a fit connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp

from hazelbend.forwarding.errors import (
    InvalidResponseError,
    ResponseBrokenError,
    SendWithdrawnError,
    WorkerUnreachableError,
)
from hazelbend.forwarding.ports import BeforeFirstByte, Headers, WorkerCall
from hazelbend.transport.http.aiohttp_client import (
    CheckedRequest,
    RequestWriting,
    StaleConnectionError,
    WithdrawnError,
    keep_idle,
    open_session,
    raw_url,
    writing_trace,
)

CONNECT_WAIT = 0.35  # seconds
KEEPALIVE = 4.0  # seconds that an idle connection is kept where the worker has not said
KEEPALIVE_MARGIN = 0.6  # of what a worker has said
READ_BUFFER = 64 * 1024
FREE_WAIT = 1.0  # seconds for the call that frees a handle
TIME_FIELD = "Deadline-Ms"
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
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
FAILED = (aiohttp.ClientError, OSError, ValueError, aiohttp.http_exceptions.HttpProcessingError)


class HttpWorkerResponse:
    """Implements `forwarding.ports.WorkerResponse`."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: Headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        self.not_executed = response.status == 421 or "Not-Executed" in response.headers
        self.reported_in_flight = _reported_in_flight(response.headers.get("Server-Load"))

    async def chunks(self) -> AsyncIterator[bytes]:
        """See the Protocol."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except FAILED as error:
            raise ResponseBrokenError(str(error)) from None

    async def body(self) -> bytes:
        """See the Protocol."""
        try:
            return await self._response.read()
        except FAILED as error:
            raise ResponseBrokenError(str(error)) from None

    def close(self) -> None:
        """See the Protocol."""
        self._response.close()  # a body that was read whole has released its connection before


class HttpWorkerClient:
    """Implements `forwarding.ports.WorkerClient`."""

    def __init__(self, connections: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=KEEPALIVE, use_dns_cache=False, force_close=False
        )
        self._keepalive = KEEPALIVE
        self._session = open_session(
            connector,
            aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_WAIT),
            auto_decompress=False,
            request_class=CheckedRequest,
            skip_auto_headers=SKIPPED,
            read_bufsize=READ_BUFFER,
            trace_configs=[writing_trace()],
        )

    async def send(self, call: WorkerCall, before_first_byte: BeforeFirstByte) -> HttpWorkerResponse:
        """See the Protocol."""
        request = call.request
        begun = False

        def check() -> int | None:
            nonlocal begun
            left = before_first_byte()
            begun = left is not None
            return left

        writing = RequestWriting(bool(request.body), check, lambda news: None, TIME_FIELD)
        headers = [*request.headers, ("Host", request.host), ("Request-Id", request.id), *call.extra_headers]
        try:
            response = await self._request(
                request.method, call.address, request.target, request.body, headers, writing
            )
        except WithdrawnError:
            raise SendWithdrawnError from None
        except FAILED as error:
            if begun:
                raise ResponseBrokenError(str(error)) from None
            raise WorkerUnreachableError(str(error)) from None
        self._heed_keepalive(response.headers.get("Keep-Alive"))
        if not _answers(response, request.id, writing.reused_connection):
            response.close()
            writing.end_connection()
            raise InvalidResponseError("the response to another request")
        return HttpWorkerResponse(response)

    def _heed_keepalive(self, text: str | None) -> None:
        """The shortest time that any worker has named holds for all: to close early costs little."""
        seconds = _keepalive_seconds(text)
        if seconds is not None and seconds * KEEPALIVE_MARGIN < self._keepalive:
            self._keepalive = seconds * KEEPALIVE_MARGIN
            keep_idle(self._session, self._keepalive)

    async def _request(
        self,
        method: str,
        address: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
        writing: RequestWriting,
    ) -> aiohttp.ClientResponse:
        while True:
            try:
                return await self._session.request(
                    method,
                    raw_url(f"http://{address}", target),
                    data=body or None,
                    headers=headers,
                    allow_redirects=False,
                    trace_request_ctx=writing,
                    middlewares=(writing.bind,),
                )
            except StaleConnectionError:
                writing.reused_connection = False

    async def free_handle(self, address: str, instance: str, handle: str) -> None:
        """See the Protocol."""
        url = raw_url(f"http://{address}", f"/kv-handle/{handle}")
        headers = {"Expect-Instance": instance}  # the address may be another worker's by now
        with contextlib.suppress(TimeoutError, StaleConnectionError, *FAILED):
            async with asyncio.timeout(FREE_WAIT), self._session.delete(url, headers=headers) as response:
                await response.read()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _answers(response: aiohttp.ClientResponse, request_id: str, reused: bool) -> bool:
    """Whether it is the answer to this request. A failure may come without an id, as from a worker that has
    not understood the request, but not on a connection on which it may be a late answer to another one."""
    echoed = response.headers.get("Request-Id")
    if echoed is None:
        return response.status >= 300 and not reused
    return echoed == request_id


def _keepalive_seconds(text: str | None) -> float | None:
    """What `Keep-Alive: timeout=5, max=9` says."""
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None


def _reported_in_flight(text: str | None) -> int | None:
    """Requests that run and wait, of `Server-Load`: running, waiting, slots."""
    parts = (text or "").split(",")
    if len(parts) < 2 or not all(part.strip().isdecimal() for part in parts[:2]):
        return None
    return int(parts[0]) + int(parts[1])
