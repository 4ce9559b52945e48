"""One client connection over HTTP/1.1: aiohttp's, and what the listener has to know of it.

What is used of aiohttp's private parts stands here, and `tests/test_client_listener.py` holds it: its
version is pinned. `_waiter` is set and not done while nothing is being served; `_request_count` counts the
requests read so far.
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

PLAIN = "text/plain"
# Seconds that a client has, from its connecting or from the first byte of a further request, to have sent a
# whole request: one that is silent or slow is owed an error or a close within 3 s.
REQUEST_WAIT = 2.3
ANSWER_WAIT = 10.0  # seconds that a client has to read an answer
UNREAD_WAIT = 0.4  # seconds beyond them for bytes that lie in the kernel: the delay may be ours
TIMED_OUT = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Owner(Protocol):
    """The listener that a connection belongs to."""

    request_wait: float
    """Seconds that a client has to have sent a whole request."""

    def joined(self, connection: ClientConnection) -> None:
        """A connection has come."""

    def left(self, connection: ClientConnection) -> None:
        """It is gone."""

    def may_linger(self, connection: ClientConnection) -> bool:
        """Its writing side ends: whether it may be read on for a while."""


class ClientConnection(RequestHandler):
    """How far its request is, and until when it may wait."""

    def __init__(self, listener: Owner, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._listener = listener
        self._halves: HalfClosingTransport | None = None
        self._arrivals: deque[float] = deque()  # when the head of each request that waits was read
        self._arrived = 0  # of `_request_count`
        self.due: float | None = None  # when the listener gives up on it
        self.began_at = 0.0  # when it connected, or its last request was over
        self.part = False  # it has sent some of a request, and the rest is still to come
        self.answering = False
        self.asked = False  # it has sent a request that could be taken
        self.bad = 0  # requests that could not be taken

    # --- what happens to it ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is there: its time begins."""
        assert isinstance(transport, asyncio.Transport)
        self._halves = HalfClosingTransport(
            transport, self._receive, self.close, lambda: self._listener.may_linger(self)
        )
        self.began_at = self._loop.time()
        self.due = self.began_at + self._listener.request_wait
        super().connection_made(self._halves)
        self._listener.joined(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """It is gone; aiohttp cancels what serves it."""
        if self._halves is not None:
            self._halves.lost()
        self._listener.left(self)
        super().connection_lost(exc)
        self._halves = None  # it knows this connection: nothing of either is left to the garbage collector

    def data_received(self, data: bytes) -> None:
        """From the socket; aiohttp itself calls this with nothing, to read on in what it has."""
        if not data:
            self._receive(data)
        elif self._halves is not None:
            self._halves.feed(data)

    def _receive(self, data: bytes) -> None:
        if data and not self.part and self.is_idle:
            self.part, self.answering = True, False
            if self.asked or self.bad:
                self.due = self._loop.time() + self._listener.request_wait
        super().data_received(data)
        if self._request_count > self._arrived:
            new = self._request_count - self._arrived
            self._arrivals.extend([self._loop.time()] * new)
            self._arrived = self._request_count

    def waited(self) -> float:
        """Seconds that the request which is served now has waited for those before it. Asked once for
        each."""
        return self._loop.time() - self._arrivals.popleft() if self._arrivals else 0.0

    def heard(self) -> None:
        """A whole request is there."""
        self.part, self.due = False, None

    def answer(self, taken: bool) -> None:
        """Its answer goes out."""
        self.asked, self.bad = self.asked or taken, self.bad + (not taken)
        self.part, self.answering = False, True
        self.began_at = self._loop.time()
        self.due = self.began_at + ANSWER_WAIT

    # --- its end ---

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being served, nor waits to be."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_unread(self) -> bool:
        """Whether the kernel holds bytes of it that were not read yet: the delay may be ours."""
        handle = self.transport.get_extra_info("socket") if self.transport is not None else None
        if handle is None or handle.fileno() < 0:
            return False
        [unread] = struct.unpack("i", fcntl.ioctl(handle.fileno(), termios.FIONREAD, bytes(4)))
        return bool(unread > 0)

    def close_if_idle(self) -> None:
        """aiohttp's own close() leaves an idle connection open and deaf: what is sent on it then is lost. One
        whose request has come and was not read yet is not idle: it is answered."""
        if self.is_idle and not self.part and not self.has_unread:
            self.force_close()

    def look(self, now: float) -> None:
        """Give it up if its time is over."""
        if self.due is None or now < self.due or self.transport is None:
            return
        if self.is_idle and not self.part and self.answering:
            self.due = None  # its answer was read; it is kept
        elif self.has_unread and now < self.due + UNREAD_WAIT:
            return
        elif self.answering:
            self.transport.abort()
        else:
            if self.part:
                self.transport.write(TIMED_OUT)
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """What aiohttp says of input that it cannot read, in our words and with no line in the log."""
        if isinstance(exc, http_exceptions.LineTooLong):
            status, message = 431, "a line or field of the head is too long"
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            status, message = 400, "not HTTP/1.1 as it should be"
        else:
            log.error("client connection: fault", exc_info=exc)
            status, message = 500, "fault"
        self.answer(taken=False)
        response = web.Response(status=status, text=message, content_type=PLAIN)
        response.force_close()
        return response
