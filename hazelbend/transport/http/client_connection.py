"""One server-side HTTP/1.1 connection: aiohttp's request handler, with deadlines for the client.

A connection's states, and the deadline of each:

    connected, nothing received     REQUEST_TIMEOUT_S from its connecting
    first request, partial          the same
    a later request, partial        REQUEST_TIMEOUT_S from its first byte
    request complete, being served  none: the request has its own
    response being written          RESPONSE_TIMEOUT_S
    idle, kept alive                none

Private parts of aiohttp are used here only, and `test_client_listener.py` holds them: its version is
pinned. `_waiter` is set and not done while nothing is being served; `_request_count` counts the requests
parsed so far.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import struct
import termios
from collections import deque
from typing import Any, Protocol

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestHandler

from hazelbend.transport.http.half_close import HalfClosingTransport

log = logging.getLogger("hazelbend.client_listener")

TEXT_PLAIN = "text/plain"
# A client that is silent or slow must get an error or a close within 3 s.
REQUEST_TIMEOUT_S = 2.3
RESPONSE_TIMEOUT_S = 10.0  # that a client has to read a response
UNREAD_GRACE_S = 0.4  # beyond a deadline for bytes that lie in the kernel: the delay may be ours
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class ConnectionOwner(Protocol):
    """The listener that a connection belongs to."""

    request_timeout_s: float
    """Seconds that a client has to send a complete request."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection was accepted."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection is closed."""

    def may_linger(self, connection: ClientConnection) -> bool:
        """The connection is half-closed: return whether it may be read for a while."""


class ClientConnection(RequestHandler):
    """Tracks how far its request is, and its deadline. Times are seconds of the event loop's clock."""

    def __init__(self, owner: ConnectionOwner, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._owner = owner
        self._half_closing: HalfClosingTransport | None = None
        self._arrival_times: deque[float] = deque()  # of the heads of requests that wait to be served
        self._known_requests = 0  # of `_request_count`
        self.deadline: float | None = None  # when the listener closes it
        self.last_active_at = 0.0  # when it connected, or its last response began
        self.has_partial_request = False
        self.is_responding = False
        self.has_valid_request = False  # it has sent one
        self.invalid_requests = 0

    # --- events of the connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time in which the first request must arrive."""
        assert isinstance(transport, asyncio.Transport)
        self._half_closing = HalfClosingTransport(
            transport, self._receive, self.close, lambda: self._owner.may_linger(self)
        )
        self.last_active_at = self._loop.time()
        self.deadline = self.last_active_at + self._owner.request_timeout_s
        super().connection_made(self._half_closing)
        self._owner.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection is closed; aiohttp cancels the task that serves its request."""
        if self._half_closing is not None:
            self._half_closing.connection_lost()
        self._owner.connection_closed(self)
        super().connection_lost(exc)
        self._half_closing = None  # breaks the reference cycle, so that nothing waits for the collector

    def data_received(self, data: bytes) -> None:
        """Data from the socket; aiohttp itself calls this with none, to parse on in what it has buffered."""
        if not data:
            self._receive(data)
        elif self._half_closing is not None:
            self._half_closing.feed(data)

    def _receive(self, data: bytes) -> None:
        if data and not self.has_partial_request and self.is_idle:
            self.has_partial_request = True
            self.is_responding = False
            if self.has_valid_request or self.invalid_requests:
                self.deadline = self._loop.time() + self._owner.request_timeout_s
        super().data_received(data)
        if self._request_count > self._known_requests:
            new_requests = self._request_count - self._known_requests
            self._arrival_times.extend([self._loop.time()] * new_requests)
            self._known_requests = self._request_count

    def take_queueing_time(self) -> float:
        """Return the seconds that the request being served has waited behind others of this connection.

        Called once for each request.
        """
        return self._loop.time() - self._arrival_times.popleft() if self._arrival_times else 0.0

    def request_received(self) -> None:
        """The request is complete: the client has no deadline until its response."""
        self.has_partial_request = False
        self.deadline = None

    def begin_response(self, *, is_valid: bool) -> None:
        """A response is about to be written; `is_valid`: its request was."""
        self.has_valid_request = self.has_valid_request or is_valid
        self.invalid_requests += not is_valid
        self.has_partial_request = False
        self.is_responding = True
        self.last_active_at = self._loop.time()
        self.deadline = self.last_active_at + RESPONSE_TIMEOUT_S

    # --- closing ---

    @property
    def was_used(self) -> bool:
        """Whether it has carried a request, valid or not."""
        return self.has_valid_request or bool(self.invalid_requests)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served, nor waits to be."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_unread(self) -> bool:
        """Whether the kernel holds bytes of it that were not read yet: the delay may be ours."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        [unread] = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))
        return bool(unread > 0)

    def close_if_idle(self) -> None:
        """Close it, unless a request is being served or has arrived and was not read yet.

        aiohttp's own `close` would leave an idle connection open and deaf: a request sent on it is lost.
        """
        if self.is_idle and not self.has_partial_request and not self.has_unread:
            self.force_close()

    def enforce_deadline(self, now: float) -> None:
        """Close it if its deadline has passed."""
        if self.deadline is None or now < self.deadline or self.transport is None:
            return
        if self.is_idle and not self.has_partial_request and self.is_responding:
            self.deadline = None  # its response was written; it is kept alive
        elif self.has_unread and now < self.deadline + UNREAD_GRACE_S:
            return
        elif self.is_responding:
            self.transport.abort()
        else:
            if self.has_partial_request:
                self.transport.write(REQUEST_TIMEOUT_RESPONSE)
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to input that aiohttp cannot parse, in our words and without a line in the log."""
        if isinstance(exc, http_exceptions.LineTooLong):
            status, message = 431, "a line or field of the head is too long"
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            status, message = 400, "not HTTP/1.1 as it should be"
        else:
            log.error("client connection: unexpected error", exc_info=exc)
            status, message = 500, "fault"
        self.begin_response(is_valid=False)
        response = web.Response(status=status, text=message, content_type=TEXT_PLAIN)
        response.force_close()
        return response
