"""One connection of the ASGI server: uvicorn's protocol with limits on heads, bodies, time and memory.

uvicorn and httptools bound neither the head of a request, nor the time that it takes, nor how many requests
stand behind one that is being served. What a connection holds is charged to its `MemoryAccount`. A request
that finds no room is rejected with 503, which promises that it will not be executed. Times are in seconds of
the event loop's clock.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hazelbend.transport.connection_memory import (
    COPIES,
    HEAD_COPIES,
    SMALL_RECEIVE_BUFFER_BYTES,
    ConnectionMemory,
)

MAX_HEAD_BYTES = 32 * 1024  # of a request, with empty lines before it
MAX_PIPELINED_REQUESTS = 16  # behind the one that is being served
REQUEST_TIMEOUT_S = 15.0  # for a complete request: of 4 MB at 2.3 Mbit/s
RESPONSE_TIMEOUT_S = 10.0  # for a client to read a response
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
NO_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.500\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    memory: ConnectionMemory
    """Bounds what all connections of the process hold together."""

    def connection_opened(self, connection: AsgiConnection) -> None:
        """Add a connection that was accepted."""

    def connection_closed(self, connection: AsgiConnection) -> None:
        """Remove a connection that is closed."""


class AsgiConnection(HttpToolsProtocol):
    """Tracks the state of its requests. httptools calls the methods `on_*` while it parses."""

    def __init__(self, owner: ConnectionOwner, **options: Any) -> None:
        super().__init__(**options)
        self._owner = owner
        self._account = owner.memory.open_account(self._give_up_memory, lambda: not self.is_being_served)
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading_head = True
        self._head_bytes = 0  # received of a head that is not complete
        self._body_bytes = 0  # received of a body that is not complete
        self._has_large_buffer = False  # the kernel's, for input
        self._complete_requests = 0
        self._served_requests = 0
        self._open_requests = 0  # complete ones that are not answered

    @property
    def is_being_served(self) -> bool:
        """Whether it has a complete request that is not answered."""
        return self._open_requests > 0

    # --- events of the connection ---

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the first request; called by asyncio."""
        super().connection_made(transport)
        self._start_timer(REQUEST_TIMEOUT_S)
        self._owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds; called by asyncio."""
        self._stop_timer()
        self._account.close()
        if self._has_large_buffer:
            self._owner.memory.large_buffer_closed()
        self._owner.connection_closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, unless it exceeds a limit; called by asyncio."""
        if self.transport.is_closing():
            return
        cost = COPIES * len(data)
        if self._is_reading_head:
            cost += HEAD_COPIES * min(len(data), MAX_HEAD_BYTES)
        if not self._account.charge(cost, self.loop.time()):
            self._reject(NO_MEMORY_RESPONSE)
            return
        self._body_bytes += 0 if self._is_reading_head else len(data)
        if self._body_bytes > SMALL_RECEIVE_BUFFER_BYTES and not self._has_large_buffer:
            sock = self.transport.get_extra_info("socket")
            self._has_large_buffer = self._owner.memory.enlarge_buffer(sock)
        if self._timer is None:
            self._start_timer(REQUEST_TIMEOUT_S)
        complete_requests = self._complete_requests
        super().data_received(data)
        if self._is_reading_head and self._complete_requests == complete_requests:
            self._check_head(len(data))

    def _check_head(self, received_bytes: int) -> None:
        self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES and not self.is_being_served:
            self._reject(HEAD_TOO_LARGE_RESPONSE)

    # --- events of the parser ---

    def on_headers_complete(self) -> None:
        """Start to serve the request.

        Raises:
            ValueError: too many requests stand behind the one that is being served. This ends the parser.
        """
        self._is_reading_head = False
        self._head_bytes = 0
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            self.transport.abort()
            raise ValueError("too many pipelined requests")
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Record that the request is complete: the client has no deadline until its response is written.

        The deadline for reading an earlier response stays.
        """
        self._is_reading_head = True
        self._complete_requests += 1
        self._body_bytes = 0
        self._open_requests += 1
        if not self.transport.get_write_buffer_size():
            self._stop_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release the request, and charge what the client has not read of the response."""
        self._served_requests += 1
        self._open_requests = max(self._open_requests - 1, 0)  # 413 answers an incomplete request
        waiting_requests = len(self.pipeline)  # an equal part of what is charged is for each of them
        kept_bytes = self._account.held_bytes * waiting_requests // (waiting_requests + 1)
        self._account.release(self._account.held_bytes - kept_bytes)
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes and not self._account.charge(unsent_bytes, self.loop.time()):
            self.transport.abort()
        super().on_response_complete()
        if unsent_bytes:
            self._start_timer(RESPONSE_TIMEOUT_S)

    def send_400_response(self, msg: str) -> None:
        """Reject input that can't be parsed, unless the connection is being closed."""
        if not self.transport.is_closing():
            super().send_400_response(msg)

    # --- closing ---

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, self._time_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self.transport.get_write_buffer_size():
            self.transport.abort()  # the client does not read its response
        elif not self._is_idle:
            self._reject(REQUEST_TIMEOUT_RESPONSE)
        elif not self._served_requests:
            self.transport.close()

    @property
    def _is_idle(self) -> bool:
        return self._is_reading_head and not self._head_bytes and not self.is_being_served

    def _give_up_memory(self) -> None:
        if self._is_idle:
            self.transport.abort()  # the client does not read its response
        else:
            self._reject(NO_MEMORY_RESPONSE)

    def _reject(self, response: bytes) -> None:
        """Respond to a request that is not complete, and close the connection."""
        if self.is_being_served:  # the response would be taken for that of the request that is being served
            self.transport.abort()
            return
        self.transport.write(response)
        self.transport.close()
        self._account.close()
