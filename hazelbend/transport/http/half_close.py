"""A transport that closes its writing side first and continues to read until the peer closes too.

Closing a socket that has unread bytes resets the connection, and the peer may lose what was written shortly
before (RFC 9112, section 9.6). Checking for unread bytes and closing cannot be done atomically. `close`
therefore ends only the writing side: later input is read and dropped, until the peer closes as well or
`LINGER_S` has passed.

A paused reader does not detect the peer's close either. `pause_reading` therefore continues to read and
buffers up to `READ_AHEAD_BYTES`. If more arrives for the request that is being read, the wrapped transport is
paused; a peer that sends more behind a complete request is not read any further, and `on_overflow` ends its
connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TypeAlias

LINGER_S = 1.0  # for which a half-closed connection is read, once everything is written
MAX_LINGER_S = 10.0  # after which the connection is aborted if the peer reads nothing
READ_AHEAD_BYTES = 64 * 1024  # buffered while reading is paused: the largest body of a job


Buffer: TypeAlias = bytes | bytearray | memoryview


class HalfClosingTransport(asyncio.Transport):
    """Wraps the transport of a TCP connection."""

    def __init__(
        self,
        inner: asyncio.Transport,
        on_data: Callable[[bytes], None],
        on_overflow: Callable[[], None],
        may_pause: Callable[[], bool],
        may_linger: Callable[[], bool],
    ) -> None:
        """`on_data` receives the input while reading is not paused.

        `may_pause` and, if that returns False, `on_overflow` are called when the read-ahead buffer is full.
        `may_linger` is called once, when the writing side ends; it returns False if the connection must be
        closed at once.
        """
        super().__init__()
        self._inner = inner
        self._on_data = on_data
        self._on_overflow = on_overflow
        self._may_pause = may_pause
        self._may_linger = may_linger
        self._loop = asyncio.get_running_loop()
        self._closing = False
        self._paused = False
        self._read_ahead = bytearray()
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_deadline = 0.0  # loop time

    # --- reading ---

    def feed(self, data: bytes) -> None:
        """Handle received data: pass it on, buffer it or drop it."""
        if self._closing:
            return
        if not self._paused and not self._read_ahead:
            self._on_data(data)
        elif len(self._read_ahead) + len(data) <= READ_AHEAD_BYTES:
            self._read_ahead += data
        elif self._may_pause():
            self._read_ahead += data
            self._inner.pause_reading()
        else:
            self._read_ahead.clear()
            self._on_overflow()

    def pause_reading(self) -> None:
        """Buffer further input."""
        self._paused = True

    def resume_reading(self) -> None:
        """Pass on the buffered input and further input."""
        self._paused = False
        if self._read_ahead:
            self._loop.call_soon(self._flush_read_ahead)

    def is_reading(self) -> bool:
        """Whether input is passed on."""
        return not self._paused

    def _flush_read_ahead(self) -> None:
        if self._read_ahead and not self._paused and not self._closing:
            data = bytes(self._read_ahead)
            self._read_ahead.clear()
            self._inner.resume_reading()
            self._on_data(data)

    # --- closing ---

    def close(self) -> None:
        """End the writing side once the write buffer is flushed, then linger."""
        if self._closing:
            return
        self._closing = True
        self._read_ahead.clear()
        if self._inner.is_closing():
            return
        self._inner.resume_reading()  # to detect the peer's close
        if not self._may_linger():
            self._inner.close()
            return
        try:
            self._inner.write_eof()
        except OSError:  # the peer has reset the connection
            self._inner.abort()
            return
        self._linger_deadline = self._loop.time() + MAX_LINGER_S
        self._linger_timer = self._loop.call_later(LINGER_S, self._end_linger)

    def abort(self) -> None:
        """Close at once, with a reset if bytes are unread."""
        self._closing = True
        self.connection_lost()
        self._inner.abort()

    def connection_lost(self) -> None:
        """Stop the timer: the connection is closed."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None

    def is_closing(self) -> bool:
        """Whether the writing side is closed or closing."""
        return self._closing or self._inner.is_closing()

    def _end_linger(self) -> None:
        if not self._inner.get_write_buffer_size():
            self._inner.close()
        elif self._loop.time() < self._linger_deadline:
            self._linger_timer = self._loop.call_later(LINGER_S, self._end_linger)
        else:
            self._inner.abort()

    # --- delegated to the wrapped transport ---

    def write(self, data: Buffer) -> None:
        """See `asyncio.WriteTransport`."""
        self._inner.write(data)

    def writelines(self, list_of_data: Iterable[Buffer]) -> None:
        """See `asyncio.WriteTransport`."""
        self._inner.writelines(list_of_data)

    def write_eof(self) -> None:
        """See `asyncio.WriteTransport`."""
        self._inner.write_eof()

    def can_write_eof(self) -> bool:
        """See `asyncio.WriteTransport`."""
        return self._inner.can_write_eof()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """See `asyncio.BaseTransport`."""
        return self._inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """See `asyncio.WriteTransport`."""
        return self._inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """See `asyncio.WriteTransport`."""
        return self._inner.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """See `asyncio.WriteTransport`."""
        self._inner.set_write_buffer_limits(high, low)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """See `asyncio.BaseTransport`."""
        return self._inner.get_protocol()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See `asyncio.BaseTransport`."""
        self._inner.set_protocol(protocol)
