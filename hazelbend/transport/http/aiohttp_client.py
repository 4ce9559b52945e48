"""Extensions of aiohttp's client that depend on its private interface, here and in `response_handler.py`.

aiohttp retries an idempotent request by itself when a pooled connection turns out to be closed. Here each
request is written at most once: `CheckedRequest` rejects a stale connection before the first byte, and checks
with the caller that the request may still be sent. The version of aiohttp is pinned; `test_backend_client.py`
fails if a new version behaves differently.
"""

from __future__ import annotations

import asyncio
import functools
import math
import re
import select
import sys
from collections.abc import Callable, Coroutine, Iterable
from types import SimpleNamespace
from typing import Any, Protocol

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_middlewares import ClientHandlerType
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from hazelbend.transport.http.eager_start import start_eagerly
from hazelbend.transport.http.response_handler import StrictResponseHandler

MAX_TIMER_DELAY_S = 0.05  # of the event loop; a timeout that fires later shows that the process was stopped
HAS_EAGER_TASKS = sys.version_info >= (3, 12)  # aiohttp then starts to write a body eagerly by itself
IDLE_POLL_S = 0.5  # between checks whether a replaced session is still in use
MICROSECONDS_PER_MS = 1_000
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


class RequestNotWrittenError(Exception):
    """No byte of the request was written."""


class RequestWithdrawnError(RequestNotWrittenError):
    """`before_first_byte` returned None, or this process was stopped while the request was connecting."""


class StaleConnectionError(RequestNotWrittenError):
    """The pooled connection cannot be used for another request."""


class SurplusBytesError(aiohttp.ClientError):
    """The head of the response begins with bytes that a worker sent beyond an earlier response."""


class RequestProgress:
    """Tracks how far one request has been written.

    `before_first_byte` is called when the connection is established. It returns the remaining time of the
    request in microseconds, or None if the request must not be sent any more. `on_written` is called once,
    when the last byte has been passed to the connection. The header `timeout_header` carries the remaining
    time to the server, in milliseconds. `used_connections` are not used; the one that is used is added.
    """

    __slots__ = (
        "_on_written",
        "_protocol",
        "_used_connections",
        "before_first_byte",
        "has_body",
        "is_permitted",
        "is_written",
        "reused_connection",
        "timeout_header",
    )

    def __init__(
        self,
        before_first_byte: Callable[[], int | None],
        timeout_header: str,
        *,
        has_body: bool,
        on_written: Callable[[], object] | None = None,
        used_connections: set[object] | None = None,
    ) -> None:
        self.before_first_byte = before_first_byte
        self._used_connections = set() if used_connections is None else used_connections
        self.timeout_header = timeout_header
        self.has_body = has_body
        self._on_written = on_written
        self.is_permitted = False  # `before_first_byte` allowed it: bytes may have been written
        self.is_written = False
        self.reused_connection = False
        self._protocol: StrictResponseHandler | None = None

    def begin(self, protocol: StrictResponseHandler) -> None:
        """Record that the request is about to be written on this connection."""
        self._protocol = protocol
        self._used_connections.add(protocol)
        self.is_permitted = True

    def may_use(self, protocol: StrictResponseHandler) -> bool:
        """Whether the request may be written on this connection."""
        return protocol not in self._used_connections

    @property
    def connection(self) -> StrictResponseHandler | None:
        """The connection on which the request was written; None before that."""
        return self._protocol

    def discard_connection(self) -> None:
        """Close the connection, even if it is already back in the pool.

        Called after a response that matches no known request: later responses on the connection could be
        matched to the wrong requests as well.
        """
        if self._protocol is not None:
            self._protocol.force_close()
            self._protocol.close()

    def mark_written(self) -> None:
        """Record that the last byte was passed to the connection: from now on the request may be executed."""
        if self.is_written:
            return
        self.is_written = True
        if self._on_written is not None:
            self._on_written()

    async def attach(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Client middleware that attaches this object to the request."""
        assert isinstance(request, CheckedRequest)
        request.progress = self
        return await handler(request)


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked again, and whose headers are completed, once its connection is established.

    The check, the headers and the first write happen in one iteration of the event loop. On Python 3.11
    aiohttp would write in a task that starts in a later iteration, which may be much later in a busy process.
    """

    progress: RequestProgress | None = None

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Check the connection and the request, set the timeout header, and write.

        Raises:
            RequestWithdrawnError: the request must not be sent any more.
            StaleConnectionError: the connection cannot be used for it.
        """
        protocol = conn.protocol
        assert isinstance(protocol, StrictResponseHandler)
        progress = self.progress
        is_new = progress is not None and not progress.reused_connection
        may_use = progress is None or progress.may_use(protocol)
        if not may_use or not _is_usable(protocol, is_new=is_new):
            conn.close()
            raise StaleConnectionError
        if progress is not None:
            remaining = progress.before_first_byte()
            if remaining is None:
                conn.release()  # nothing was written, so the connection can be reused
                raise RequestWithdrawnError
            progress.begin(protocol)
            remaining_ms = max(remaining // MICROSECONDS_PER_MS, 1)
            self.headers[progress.timeout_header] = str(remaining_ms)
        protocol.requests_written += 1
        return await super().send(conn)

    def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> Coroutine[Any, Any, None]:
        """Override aiohttp's method. `send` calls it and runs the returned coroutine in a task."""
        writing = super().write_bytes(writer, conn, content_length)
        return writing if HAS_EAGER_TASKS else start_eagerly(writing)


def _is_usable(protocol: ResponseHandler, *, is_new: bool) -> bool:
    """Return whether a request may be written on this connection now.

    A reused connection is rejected if unread data or a FIN has arrived: aiohttp would take the data for the
    response, and after the FIN it is unknown whether the request was executed. It is also rejected while
    bytes of an earlier request are buffered because the peer does not read: the request would wait behind
    them, after its last check.

    The write detects that a new connection was closed: servers reject connections that way, and the caller
    must see that failure.
    """
    if protocol.should_close:
        return False
    transport = protocol.transport
    if is_new or transport is None:
        return True
    if transport.is_closing() or transport.get_write_buffer_size() > 0:
        return False
    sock = transport.get_extra_info("socket")
    return sock is None or not _has_unread_input(sock.fileno())


def _has_unread_input(descriptor: int) -> bool:
    """Return whether the socket has unread bytes, a FIN or an error."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))


class SessionOwner(Protocol):
    """The owner of a client session, which may replace the session between requests."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """The current session."""


def open_session(
    connector: aiohttp.BaseConnector, timeout: aiohttp.ClientTimeout, **options: Any
) -> aiohttp.ClientSession:
    """Open a session that sends each request once: without cookies, proxies or retries of its own."""
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
        trust_env=False,
        **options,
    )
    factory: Any = functools.partial(StrictResponseHandler, loop=asyncio.get_running_loop())
    connector._factory = factory
    session._retry_connection = False
    return session


def open_checked_session(
    connector: aiohttp.BaseConnector, connect_timeout_s: float, read_buffer_bytes: int
) -> aiohttp.ClientSession:
    """Open a session for `send_once`. It adds no default headers and does not decompress bodies."""
    return open_session(
        connector,
        aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s, ceil_threshold=math.inf),
        auto_decompress=False,
        request_class=CheckedRequest,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        read_bufsize=read_buffer_bytes,
        trace_configs=[_progress_trace()],
    )


async def send_once(
    owner: SessionOwner,
    method: str,
    url: URL,
    progress: RequestProgress,
    *,
    body: bytes | None,
    headers: dict[str, str] | Iterable[tuple[str, str]],
) -> aiohttp.ClientResponse:
    """Write a request at most once, on the first usable connection, and read the headers of the response.

    Raises:
        RequestWithdrawnError: `before_first_byte` returned None, or this process was stopped while the
            request was connecting, so that its connect timeout does not show a fault of the server.
        SurplusBytesError: the response can't be told from bytes that belong to no request.
        MalformedResponseError: what was received is not a response.
        aiohttp.ClientError, OSError: no connection, or no response.
    """
    loop = asyncio.get_running_loop()
    while True:
        started_at = loop.time()
        try:
            response = await owner.session.request(
                method,
                url,
                data=body,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=progress,
                middlewares=(progress.attach,),
            )
        except StaleConnectionError:
            if not progress.reused_connection:
                raise aiohttp.ClientConnectionError("bytes or a close before the request") from None
            progress.reused_connection = False
            continue
        except aiohttp.ConnectionTimeoutError:
            timeout_s = owner.session.timeout.sock_connect or 0.0
            if loop.time() - started_at > timeout_s + MAX_TIMER_DELAY_S:
                raise RequestWithdrawnError from None
            raise
        if _has_second_status_line(response):
            response.close()
            progress.discard_connection()
            raise SurplusBytesError("the head of the response contains a second status line")
        return response


def _has_second_status_line(response: aiohttp.ClientResponse) -> bool:
    """Whether surplus bytes that end inside a head precede the response.

    Its own status line is then part of the reason phrase or of a header of these bytes, while the headers
    that follow, such as the id of the request, are its own.
    """
    reason = (response.reason or "").encode(errors="surrogateescape")  # as aiohttp has decoded it
    values = [value for _, value in response.raw_headers]
    return STATUS_LINE.search(b"\n".join([reason, *values])) is not None


def _progress_trace() -> aiohttp.TraceConfig:
    """Return a trace that reports to the `RequestProgress` passed as `trace_request_ctx`."""
    trace = aiohttp.TraceConfig(trace_config_ctx_factory=_TraceContext)
    trace.on_request_headers_sent.append(_on_headers_sent)
    trace.on_request_chunk_sent.append(_on_chunk_sent)
    trace.on_connection_reuseconn.append(_on_connection_reused)
    return trace


class _TraceContext(SimpleNamespace):
    def __init__(self, trace_request_ctx: RequestProgress | None = None) -> None:
        super().__init__(trace_request_ctx=trace_request_ctx)


async def _on_headers_sent(session: object, context: SimpleNamespace, params: object) -> None:
    progress = context.trace_request_ctx
    if progress is not None and not progress.has_body:
        progress.mark_written()


async def _on_chunk_sent(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.mark_written()


async def _on_connection_reused(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.reused_connection = True


async def close_when_idle(session: aiohttp.ClientSession) -> None:
    """Close a session that gets no new requests, once its last request has ended."""
    connector = session.connector
    assert connector is not None
    try:
        while connector._acquired:  # noqa: ASYNC110 (aiohttp has no event for it)
            await asyncio.sleep(IDLE_POLL_S)
    finally:
        await session.close()


def trim_idle_connections(session: aiohttp.ClientSession, max_idle: int) -> None:
    """Close idle connections, the longest idle first, until at most `max_idle` remain.

    aiohttp's own limit counts only connections in use, but each idle connection holds a file descriptor too.
    """
    connector = session.connector
    assert connector is not None
    idle_by_key = connector._conns
    count = sum(map(len, idle_by_key.values())) if idle_by_key else 0
    while count > max(max_idle, 0):
        key = min(idle_by_key, key=lambda candidate: idle_by_key[candidate][0][1])
        protocol, _ = idle_by_key[key].popleft()
        if not idle_by_key[key]:
            del idle_by_key[key]
        protocol.close()
        count -= 1


def set_keepalive(session: aiohttp.ClientSession, seconds: float) -> None:
    """Close connections once they have been idle for `seconds`, from now on."""
    connector = session.connector
    assert connector is not None
    connector._keepalive_timeout = seconds


def raw_url(base: str, target: str) -> URL:
    """Return a URL whose request target is sent unchanged."""
    url = URL(base + target, encoded=True)
    if url.raw_path_qs != target:
        # yarl drops the question mark of an empty query ("/a?"), and aiohttp writes yarl's target. This is
        # the only such case among printable targets without a fragment.
        url._cache["raw_path_qs"] = target
    return url
