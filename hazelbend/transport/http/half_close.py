"""A transport that closes by halves, and that never stops reading while its connection is open.

Closing a socket over bytes that were not read resets the connection, and what was written shortly before
is lost with it; asking whether there are any and closing are two steps, between which bytes may come. So a
close here ends only the writing side: what comes after it is read and dropped, until the other side closes
as well or `LINGER` is over.

A reader that is paused does not see the other side's close either. So a pause holds back what comes, up to
`READ_AHEAD` bytes, and goes on reading; more than that is the other side's fault, and its connection ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

LINGER = 1.0  # seconds that a half-closed connection is read, once all is written
LONGEST_LINGER = 10.0  # seconds after which one whose peer reads nothing is given up
READ_AHEAD = 64 * 1024  # bytes held back while reading is paused: a body of the largest size


class HalfClosingTransport(asyncio.Transport):
    """Wraps the transport of a TCP connection; `receive` gets what is read while it is not paused."""

    def __init__(
        self,
        inner: asyncio.Transport,
        receive: Callable[[bytes], None],
        overflowed: Callable[[], None],
        ending: Callable[[], bool],
    ) -> None:
        """`overflowed` is called where too much is held back; `ending` as writing ends, and says whether the
        connection may linger."""
        super().__init__()
        self._inner, self._receive = inner, receive
        self._overflowed, self._may_linger = overflowed, ending
        self._loop = asyncio.get_running_loop()
        self._ending = False
        self._paused = False
        self._held_back = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._given_up_at = 0.0

    # --- reading ---

    def feed(self, data: bytes) -> None:
        """Bytes have come: they are passed on, held back, or dropped."""
        if self._ending:
            return
        if not self._paused and not self._held_back:
            self._receive(data)
        elif len(self._held_back) + len(data) <= READ_AHEAD:
            self._held_back += data
        else:
            self._held_back.clear()
            self._overflowed()

    def pause_reading(self) -> None:
        """Hold back what comes."""
        self._paused = True

    def resume_reading(self) -> None:
        """Pass on what was held back, and what comes."""
        self._paused = False
        if self._held_back:
            self._loop.call_soon(self._release)

    def is_reading(self) -> bool:
        """Whether what comes is passed on."""
        return not self._paused

    def _release(self) -> None:
        if self._held_back and not self._paused and not self._ending:
            data = bytes(self._held_back)
            self._held_back.clear()
            self._receive(data)

    # --- closing ---

    def close(self) -> None:
        """End the writing side; the rest follows. Bytes that are still to be written go out first."""
        if self._ending:
            return
        self._ending = True
        self._held_back.clear()
        if self._inner.is_closing():
            return
        if not self._may_linger():
            self._inner.close()
            return
        try:
            self._inner.write_eof()
        except OSError:  # the other side has reset it
            self._inner.abort()
            return
        self._given_up_at = self._loop.time() + LONGEST_LINGER
        self._timer = self._loop.call_later(LINGER, self._end)

    def abort(self) -> None:
        """Close at once, with a reset where bytes are unread."""
        self._ending = True
        self.lost()
        self._inner.abort()

    def lost(self) -> None:
        """The connection is gone."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_closing(self) -> bool:
        """Whether nothing more may be written."""
        return self._ending or self._inner.is_closing()

    def _end(self) -> None:
        if not self._inner.get_write_buffer_size():
            self._inner.close()
        elif self._loop.time() < self._given_up_at:
            self._timer = self._loop.call_later(LINGER, self._end)
        else:
            self._inner.abort()

    # --- all else is the wrapped transport's ---

    def write(self, data: Any) -> None:
        """As of the wrapped transport."""
        self._inner.write(data)

    def writelines(self, list_of_data: Any) -> None:
        """As of the wrapped transport."""
        self._inner.writelines(list_of_data)

    def write_eof(self) -> None:
        """As of the wrapped transport."""
        self._inner.write_eof()

    def can_write_eof(self) -> bool:
        """As of the wrapped transport."""
        return self._inner.can_write_eof()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """As of the wrapped transport."""
        return self._inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """As of the wrapped transport."""
        return self._inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """As of the wrapped transport."""
        return self._inner.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As of the wrapped transport."""
        self._inner.set_write_buffer_limits(high, low)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """As of the wrapped transport."""
        return self._inner.get_protocol()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """As of the wrapped transport."""
        self._inner.set_protocol(protocol)
