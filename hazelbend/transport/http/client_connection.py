"""One server-side HTTP/1.1 connection: aiohttp's request handler with deadlines for the client.

The states of a connection and the deadline of each:

    connected, nothing received     REQUEST_TIMEOUT_S after the connection was accepted
    first request, partial          the same
    later request, partial          REQUEST_TIMEOUT_S after its first byte
    request complete, being served  none: the request has its own deadline
    response being written          RESPONSE_TIMEOUT_S
    idle, kept alive                none

The private attributes of aiohttp's request handler are used only here; aiohttp's version is pinned, and
`test_client_listener.py` checks them. `_waiter` is set and not done while no request is being served;
`_request_count` is the number of requests parsed so far.
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
# A silent or slow client must get an error or see the connection closed within 3 s.
REQUEST_TIMEOUT_S = 2.3
RESPONSE_TIMEOUT_S = 10.0  # for a client to read a response
UNREAD_GRACE_S = 0.4  # added to a deadline while the kernel holds unread bytes: this process may be late
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class ConnectionEndedError(Exception):
    """The connection of a request was closed before the request could be served."""


class ConnectionOwner(Protocol):
    """The listener that a connection belongs to."""

    request_timeout_s: float
    """Time for a client to send a complete request, in seconds."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection that was accepted."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""

    def may_linger(self, connection: ClientConnection) -> bool:
        """Return whether a half-closed connection may be read for a while before it is closed."""


class ClientConnection(RequestHandler):
    """Tracks the state of its request and its deadline. Times are in seconds of the event loop's clock."""

    def __init__(self, owner: ConnectionOwner, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._owner = owner
        self._half_closing: HalfClosingTransport | None = None
        self._arrival_times: deque[float] = deque()  # when the headers of each waiting request were complete
        self._known_requests = 0  # how much of `_request_count` is in `_arrival_times` already
        self.deadline: float | None = None  # when the listener closes the connection
        self.last_active_at = 0.0  # when the connection was accepted, or its last response started
        self.has_partial_request = False
        self.is_responding = False
        self.has_valid_request = False  # the client has sent at least one
        self.invalid_requests = 0
        self._is_ended = False

    # --- events of the connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._half_closing = HalfClosingTransport(
            transport, self._receive, self.close, lambda: self._owner.may_linger(self)
        )
        self.last_active_at = self._loop.time()
        self.deadline = self.last_active_at + self._owner.request_timeout_s
        super().connection_made(self._half_closing)
        self._owner.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection; aiohttp cancels the task that serves its request."""
        if self._half_closing is not None:
            self._half_closing.connection_lost()
        self._owner.connection_closed(self)
        super().connection_lost(exc)
        self._half_closing = None  # breaks a reference cycle, so that memory is freed without the collector

    def data_received(self, data: bytes) -> None:
        """Handle received data. aiohttp itself calls this without data to parse what it has buffered."""
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
        """Return how long the request being served has waited behind others on this connection, in seconds.

        Must be called once for each request.
        """
        return self._loop.time() - self._arrival_times.popleft() if self._arrival_times else 0.0

    def request_received(self) -> None:
        """Record that the request is complete: the client has no deadline until the response starts.

        Raises:
            ConnectionEndedError: the connection was closed before, perhaps with a response that promises that
                the request will not be executed.
        """
        if self._is_ended:
            raise ConnectionEndedError
        self.has_partial_request = False
        self.deadline = None

    @property
    def has_complete_request(self) -> bool:
        """Whether a request has arrived completely that is not answered; its task may not have run since."""
        if self._current_request is not None:
            return bool(self._current_request.content.is_eof())
        return bool(self._messages) and bool(self._messages[0][1].is_eof())

    def begin_response(self, *, is_valid: bool) -> None:
        """Record that a response is about to be written. `is_valid` states whether its request was valid."""
        self.has_valid_request = self.has_valid_request or is_valid
        self.invalid_requests += not is_valid
        self.has_partial_request = False
        self.is_responding = True
        self.last_active_at = self._loop.time()
        self.deadline = self.last_active_at + RESPONSE_TIMEOUT_S

    # --- closing ---

    def force_close(self) -> None:
        """Close the connection. A request that `request_received` was not called for is never served."""
        self._is_ended = True
        super().force_close()

    @property
    def was_used(self) -> bool:
        """Whether the connection has carried a request, valid or not."""
        return self.has_valid_request or bool(self.invalid_requests)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or waiting to be served."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_unread(self) -> bool:
        """Whether the kernel holds unread bytes of this connection: this process may be the late one."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        [unread] = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))
        return bool(unread > 0)

    def close_if_idle(self) -> None:
        """Close the connection, unless a request is being served or has arrived and is still unread.

        aiohttp's own `close` would leave an idle connection open without reading it, so that a request sent
        on it would be lost.
        """
        if self.is_idle and not self.has_partial_request and not self.has_unread:
            self.force_close()

    def enforce_deadline(self, now: float) -> None:
        """Close the connection if its deadline has passed."""
        if self.deadline is None or now < self.deadline or self.transport is None:
            return
        if self.is_idle and not self.has_partial_request and self.is_responding:
            self.deadline = None  # the response was written; the connection is kept alive
        elif self.has_unread and now < self.deadline + UNREAD_GRACE_S:
            return
        elif self.has_partial_request and self.has_complete_request:
            return  # its task is about to run
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
        """Respond to input that aiohttp cannot parse, with our own text and without logging it."""
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
