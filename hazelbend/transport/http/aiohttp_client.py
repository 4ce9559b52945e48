"""What hazelbend needs of aiohttp's client beyond its public interface, in one place.

The version of aiohttp is pinned; `tests/test_backend_client.py` fails where a new one behaves differently.
"""

from __future__ import annotations

import asyncio
import functools
import select
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from hazelbend.routing.ports import Forwarded

IDLE_CHECK = 0.5  # seconds between looks at whether a replaced session is still in use
TIMEOUT_HEADER = "X-Timeout-Ms"


class WithdrawnError(Exception):
    """The request may no longer be sent; not a byte of it was written."""


class StaleConnectionError(Exception):
    """This kept connection is not fit for another request; not a byte was written on it."""


class RequestWriting:
    """How far the writing of one request has got.

    `before_first_byte` is asked when the connection is there: it returns the microseconds that are left, or
    None where the request may no longer be sent. `tell` hears once that the last byte was written.
    `time_field` is the field of the head that tells what is left, in milliseconds.
    """

    __slots__ = (
        "_protocol",
        "_tell",
        "before_first_byte",
        "has_body",
        "reused_connection",
        "time_field",
        "whole",
    )

    def __init__(
        self,
        has_body: bool,
        before_first_byte: Callable[[], int | None],
        tell: Callable[[Forwarded], None],
        time_field: str = TIMEOUT_HEADER,
    ) -> None:
        self.time_field = time_field
        self.has_body, self.before_first_byte, self._tell = has_body, before_first_byte, tell
        self.whole = False
        self.reused_connection = False
        self._protocol: ResponseHandler | None = None

    def connected(self, protocol: ResponseHandler | None) -> None:
        """This connection carries the request."""
        self._protocol = protocol

    def end_connection(self) -> None:
        """Use the connection for nothing more, also where it rests among the kept ones by now: an answer
        that came on it belongs to no request that is known."""
        if self._protocol is not None:
            self._protocol.force_close()
            self._protocol.close()

    def done(self) -> None:
        """The last byte is handed to the connection: from now on the request may run."""
        if not self.whole:
            self.whole = True
            self._tell(Forwarded())

    async def bind(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """A client middleware: the request asks this object before its first byte."""
        assert isinstance(request, CheckedRequest)
        request.writing = self
        return await handler(request)


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked again, and whose head is completed, once its connection is there.

    The check and the head lie in one turn of the event loop; on Python 3.11 aiohttp hands head and body to
    the socket in the next one.
    """

    writing: RequestWriting | None = None

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Check, complete the head, and write; raises WithdrawnError or StaleConnectionError before the
        first byte."""
        is_new = self.writing is not None and not self.writing.reused_connection
        if conn.protocol is not None and not _is_fit(conn.protocol, is_new):
            conn.close()
            raise StaleConnectionError
        if self.writing is not None:
            left = self.writing.before_first_byte()
            if left is None:
                conn.release()  # unused, so fit for the next request
                raise WithdrawnError
            self.writing.connected(conn.protocol)
            self.headers[self.writing.time_field] = str(max(left // 1_000, 1))
        return await super().send(conn)


def _is_fit(protocol: ResponseHandler, is_new: bool) -> bool:
    """Whether a request may be written on this connection now. Not where something has come on a kept one, be
    it only its end, that the loop has not read yet: it would be taken for the answer, or the request be lost
    without anybody knowing whether it ran. Nor where bytes of an earlier request wait, as the other side does
    not read: this one would wait behind them, after its last check.

    The end of a new connection is left to the write: it is how a server turns connections away, a sign that
    must not be lost."""
    if protocol.should_close:
        return False
    transport = protocol.transport
    if is_new or transport is None:
        return True
    if transport.is_closing() or transport.get_write_buffer_size() > 0:
        return False
    sock = transport.get_extra_info("socket")
    return sock is None or not _has_arrived(sock.fileno())


def _has_arrived(descriptor: int) -> bool:
    """Whether bytes, a FIN or an error lie at this socket, unread."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))


class StrictResponseHandler(ResponseHandler):
    """A connection whose reset is never taken for the end of an answer that has no length.

    aiohttp ends such an answer as whole however its connection was lost; only a FIN ends it.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection is gone; without an error, by a FIN of the other side."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset before the end of the answer: {exc!r}"))
        super().connection_lost(exc)


def open_session(
    connector: aiohttp.BaseConnector, timeout: aiohttp.ClientTimeout, **options: Any
) -> aiohttp.ClientSession:
    """A session that sends each request once: no cookies, proxies or retries of its own; an answer whose
    connection is reset is never whole."""
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=timeout,
        trust_env=False,
        **options,
    )
    factory: Any = functools.partial(StrictResponseHandler, loop=asyncio.get_running_loop())
    connector._factory = factory
    # aiohttp sends an idempotent request again when a kept connection turns out dead; nothing here may.
    session._retry_connection = False
    return session


def writing_trace() -> aiohttp.TraceConfig:
    """Tells the `RequestWriting` that is passed as `trace_request_ctx` how far its request is."""
    trace = aiohttp.TraceConfig(trace_config_ctx_factory=_Context)
    trace.on_request_headers_sent.append(_headers_sent)
    trace.on_request_chunk_sent.append(_chunk_sent)
    trace.on_connection_reuseconn.append(_connection_reused)
    return trace


class _Context(SimpleNamespace):
    def __init__(self, trace_request_ctx: Any = None) -> None:
        super().__init__(trace_request_ctx=trace_request_ctx)


async def _headers_sent(session: object, context: SimpleNamespace, params: object) -> None:
    writing = context.trace_request_ctx
    if writing is not None and not writing.has_body:
        writing.done()


async def _chunk_sent(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.done()


async def _connection_reused(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.reused_connection = True


async def close_when_idle(session: aiohttp.ClientSession) -> None:
    """Close a session that gets no new requests when its last one is over."""
    connector = session.connector
    assert connector is not None
    try:
        while connector._acquired:  # aiohttp does not tell what is in use
            await asyncio.sleep(IDLE_CHECK)
    finally:
        await session.close()


def close_longest_idle(session: aiohttp.ClientSession, most: int) -> None:
    """Close idle connections, the longest idle first, until at most so many are left: aiohttp counts those
    that are in use alone, and each that rests holds a descriptor."""
    connector = session.connector
    assert connector is not None
    resting = connector._conns
    count = sum(map(len, resting.values())) if resting else 0
    while count > max(most, 0):
        key = min(resting, key=lambda each: resting[each][0][1])
        protocol, _ = resting[key].popleft()
        if not resting[key]:
            del resting[key]
        protocol.close()
        count -= 1


def keep_idle(session: aiohttp.ClientSession, seconds: float) -> None:
    """Idle connections are closed after so long from now on."""
    connector = session.connector
    assert connector is not None
    connector._keepalive_timeout = seconds


def raw_url(base: str, target: str) -> URL:
    """The URL whose target is sent exactly as it came."""
    url = URL(base + target, encoded=True)
    if url.raw_path_qs != target:
        # yarl drops the mark of an empty query ("/a?"), and aiohttp writes what yarl has. Of all printable
        # targets without a fragment this is the only case.
        url._cache["raw_path_qs"] = target
    return url
