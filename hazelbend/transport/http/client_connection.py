"""One server-side HTTP/1.1 connection: aiohttp's request handler with deadlines for the client.

The states of a connection and the deadline of each:

    connected, nothing received     REQUEST_TIMEOUT_S after the connection was accepted
    first request, partial          the same
    later request, partial          REQUEST_TIMEOUT_S after its first byte
    request complete, being served  none: the request has its own deadline
    response being written          RESPONSE_TIMEOUT_S
    idle, kept alive                none

What a connection holds is charged to its `MemoryAccount`: its input until the request is answered, and its
response until it is written. A request that finds no room is rejected with 503, which promises that it will
not be executed.

The private attributes of aiohttp's request handler are used only here; aiohttp's version is pinned, and
`test_client_listener.py` checks them. `_waiter` is set and not done while no request is being served;
`_request_count` is the number of requests parsed so far; `_messages` are those that no task serves yet.
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

from hazelbend.transport.connection_memory import (
    COPIES,
    HEAD_COPIES,
    SMALL_RECEIVE_BUFFER_BYTES,
    ConnectionMemory,
    MemoryAccount,
)
from hazelbend.transport.http.half_close import HalfClosingTransport

log = logging.getLogger("hazelbend.client_listener")

TEXT_PLAIN = "text/plain"
# A silent or slow client must get an error or see the connection closed within 3 s.
REQUEST_TIMEOUT_S = 2.3
RESPONSE_TIMEOUT_S = 10.0  # for a client to read a response
UNREAD_GRACE_S = 0.4  # added to a deadline while the kernel holds unread bytes: this process may be late
MAX_REQUEST_LINE_BYTES = 8_190  # and of a field, unless the listener sets another limit for heads
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
NO_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ConnectionEndedError(Exception):
    """The connection of a request was closed before the request could be served."""


class ConnectionOwner(Protocol):
    """The listener that a connection belongs to."""

    request_timeout_s: float
    """Time for a client to send a complete request, in seconds."""
    max_header_bytes: int
    """The largest head of a request, without its first line."""
    memory: ConnectionMemory
    """Bounds what all connections of the process hold together."""

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
        self._has_invalid_input = False  # what follows is not parsed
        self._head_bytes = 0  # received of a head that is not complete
        self._account: MemoryAccount = owner.memory.open_account(
            self._give_up_memory, self._may_give_up_memory
        )
        self._is_being_served = False  # its complete request is not answered
        self._input_bytes = 0  # charged for requests that are not answered
        self._kept_head_bytes = 0  # of these, for the head of the request that is being read
        self._response_bytes = 0  # charged for a response that is not written
        self._response: web.Response | None = None  # the last one, with its body
        self._unsent_bytes = 0  # of it, when that was last checked
        self._has_large_buffer = False  # the kernel's, for input

    # --- events of the connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._half_closing = HalfClosingTransport(
            transport,
            self._receive,
            on_overflow=self.close,
            may_pause=lambda: not self.has_complete_request,
            may_linger=lambda: self._owner.may_linger(self),
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
        self._account.close()
        if self._has_large_buffer:
            self._has_large_buffer = False
            self._owner.memory.large_buffer_closed()
        super().connection_lost(exc)
        self._half_closing = None  # breaks a reference cycle, so that memory is freed without the collector

    def data_received(self, data: bytes) -> None:
        """Handle received data. aiohttp itself calls this without data to parse what it has buffered."""
        if not data:
            self._receive(data)
        elif self._half_closing is not None:
            self._half_closing.feed(data)

    def _receive(self, data: bytes) -> None:
        if self._has_invalid_input:
            return
        if data and not self.has_partial_request and self.is_idle:
            self.has_partial_request = True
            self.is_responding = False
            if self.has_valid_request or self.invalid_requests:
                self.deadline = self._loop.time() + self._owner.request_timeout_s
        if not self._charge_input(len(data)):
            return
        super().data_received(data)
        if self._request_count > self._known_requests:
            self._requests_parsed()
        elif self.is_idle:
            self._check_head(len(data))

    def _requests_parsed(self) -> None:
        new_requests = self._request_count - self._known_requests
        self._arrival_times.extend([self._loop.time()] * new_requests)
        self._known_requests = self._request_count
        self._head_bytes = 0
        error = getattr(self._messages[-1][0], "exc", None) if self._messages else None
        if error is not None:
            # The parser would report an error for all further input, and the traceback refers to this input
            # in a reference cycle, which only the garbage collector frees.
            error.with_traceback(None)
            self._has_invalid_input = True

    def _check_head(self, received_bytes: int) -> None:
        """Reject a head, or empty lines before it, that exceed the limit before they are complete."""
        self._head_bytes += received_bytes
        if self._head_bytes > self._owner.max_header_bytes + MAX_REQUEST_LINE_BYTES:
            self.reject(HEAD_TOO_LARGE_RESPONSE)

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
        self._is_being_served = True

    @property
    def has_complete_request(self) -> bool:
        """Whether a request has arrived completely that is not answered; its task may not have run since."""
        if self._current_request is not None:
            return bool(self._current_request.content.is_eof())
        return bool(self._messages) and bool(self._messages[0][1].is_eof())

    def begin_response(self, *, is_valid: bool, response: web.StreamResponse | None = None) -> None:
        """Record that a response is about to be written. `is_valid` states whether its request was valid.

        aiohttp keeps the response until the next request is answered; the body of `response` is dropped once
        it is written.
        """
        self._response = response if isinstance(response, web.Response) else None
        self.has_valid_request = self.has_valid_request or is_valid
        self.invalid_requests += not is_valid
        self.has_partial_request = False
        self.is_responding = True
        self.last_active_at = self._loop.time()
        self.deadline = self.last_active_at + RESPONSE_TIMEOUT_S
        self._kept_head_bytes = 0
        self._release_answered_input()
        self._account.progressed_at = self.last_active_at
        self._is_being_served = False

    async def previous_response_written(self) -> None:
        """Wait until the client has read the responses to its earlier requests, up to what is buffered.

        Raises:
            ConnectionEndedError: the connection was closed meanwhile.
        """
        try:
            await self._drain_helper()
        except ConnectionError:
            raise ConnectionEndedError from None
        self._response_written()

    # --- memory ---

    def _charge_input(self, size: int) -> bool:
        """Charge input. If there is no room for it, reject its request or read nothing more."""
        cost = COPIES * size
        if self.is_idle or self.has_complete_request:  # it begins with a head
            cost += HEAD_COPIES * min(size, self._owner.max_header_bytes)
        if self._account.charge(cost, self._loop.time()):
            self._input_bytes += cost
            return True
        if self._has_incomplete_request:
            self.reject(NO_MEMORY_RESPONSE)
        else:  # it stands behind a request that is being served
            self._has_invalid_input = True
            self.close()
        return False

    def _enlarge_buffer(self) -> None:
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None and sock.fileno() >= 0:
            self._has_large_buffer = self._owner.memory.enlarge_buffer(sock)

    def head_read(self, header_bytes: int) -> None:
        """Record the size of the head of the request whose body is about to be read."""
        self._kept_head_bytes = HEAD_COPIES * header_bytes

    def _release_answered_input(self) -> None:
        """Release the input of the request that is being answered: an equal part of what is charged.

        Which bytes belong to which request is known to the parser alone.
        """
        waiting_requests = len(self._messages)
        kept_bytes = self._input_bytes * waiting_requests // (waiting_requests + 1)
        self._account.release(self._input_bytes - kept_bytes)
        self._input_bytes = kept_bytes

    def body_read(self, body_bytes: int) -> None:
        """Record how much of a body is kept so far: beside the head, nothing else of the input is.

        If requests wait behind this one, their input stays charged, and so does all of its own.
        """
        if self._messages:
            return
        kept_bytes = min(self._kept_head_bytes + COPIES * body_bytes, self._input_bytes)
        self._account.release(self._input_bytes - kept_bytes)
        self._input_bytes = kept_bytes
        if body_bytes > SMALL_RECEIVE_BUFFER_BYTES and not self._has_large_buffer:
            self._enlarge_buffer()

    async def charge_response(self, size: int) -> None:
        """Charge `size` bytes of a response once there is room for them. The caller limits the time."""
        await self._owner.memory.charge_when_possible(self._account, COPIES * size)
        self._response_bytes += COPIES * size

    def update_response_memory(self) -> None:
        """Release what the client has read of its response, and record whether it reads."""
        if self._half_closing is None or not self.is_responding:
            return
        unsent_bytes = self._half_closing.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._account.progressed_at = self._loop.time()
        self._unsent_bytes = unsent_bytes
        if self.is_idle:
            self._response_written()

    def _response_written(self) -> None:
        """Drop the body of the response, which is sent or in the write buffer; charge the buffer alone."""
        if self._response is not None:
            self._response.body = None
            self._response = None
        unsent_bytes = self._half_closing.get_write_buffer_size() if self._half_closing is not None else 0
        released_bytes = max(self._response_bytes - unsent_bytes, 0)
        self._account.release(released_bytes)
        self._response_bytes -= released_bytes

    def _may_give_up_memory(self) -> bool:
        """Whether it waits for its client: no request is being served or about to be, and no input unread."""
        if self._is_being_served:
            return False
        return not (self.has_partial_request and (self.has_complete_request or self.has_unread))

    def _give_up_memory(self) -> None:
        """Reject the request that is incomplete, or abort a response that the client does not read."""
        self._input_bytes = self._response_bytes = 0
        if self._half_closing is None:
            return
        if self.transport is not None and self._has_incomplete_request:
            self.reject(NO_MEMORY_RESPONSE)
        else:
            self._half_closing.abort()

    @property
    def _has_incomplete_request(self) -> bool:
        return self.has_partial_request and not self.has_complete_request

    # --- closing ---

    def reject(self, response: bytes) -> None:
        """Respond to a request that is not complete, close the connection, and drop what it holds."""
        if self.transport is None:
            return
        self.transport.write(response)
        request = self._current_request
        self.force_close()
        self._messages.clear()
        if request is not None:
            request.content.set_exception(ConnectionEndedError())  # ends the task that reads its body
        self._account.close()
        self._input_bytes = self._response_bytes = 0

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
        self.update_response_memory()
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
        elif self.has_partial_request:
            self.reject(REQUEST_TIMEOUT_RESPONSE)
        else:
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
