"""Checks how the heads of responses begin, in the bytes that are received: parsers don't return that.

aiohttp's parser in C takes other protocols' status lines for HTTP's. It also skips one blank after the status
line: a line that begins with it becomes a field, and a line of nothing else ends the head, so that the fields
become the body. Such a message has to be rejected, or that line skipped (RFC 9112, section 2.2).
"""

from __future__ import annotations

import re

from hazelbend.protocol.http_response_head import MalformedHeadError

LINE_END = b"\n"  # alone or behind CR (RFC 9112, section 2.2)
EMPTY_LINES = b"\r\n"  # skipped before a head, as parsers do
VERSION_START = b"HTTP/1."
INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.\d 1")
END_OF_HEAD = re.compile(rb"\n\r?\n")
MAX_PARTIAL_END_BYTES = 2  # of an `END_OF_HEAD` that is not complete


class HeadStartChecker:
    """Checks interim heads and the final one of the response to one request.

    It is fed before the parser, with all that is received until the final head is complete, in parts that are
    cut anywhere.
    """

    __slots__ = ("_in_interim_head", "_is_done", "_unchecked")

    def __init__(self) -> None:
        self._unchecked = b""  # received, and needed to go on
        self._in_interim_head = False  # its start was checked, its end was not found
        self._is_done = False

    def feed(self, data: bytes) -> None:
        """Check what was received.

        Raises:
            MalformedHeadError: it is not how a response begins.
        """
        if self._is_done:
            return
        self._unchecked += data
        while not self._is_done:
            can_go_on = self._skip_interim_head() if self._in_interim_head else self._check_start()
            if not can_go_on:
                return

    def _check_start(self) -> bool:
        """Check the status line and the first byte after it; return False if they are not complete."""
        received = self._unchecked = self._unchecked.lstrip(EMPTY_LINES)
        if received[: len(VERSION_START)] != VERSION_START[: len(received)]:
            raise MalformedHeadError("the status line is not one of HTTP/1")
        line_end = received.find(LINE_END)
        next_byte = received[line_end + 1 : line_end + 2]
        if line_end < 0 or not next_byte:
            return False
        if next_byte in (b" ", b"\t"):
            raise MalformedHeadError("a blank before the first field")
        self._in_interim_head = INTERIM_STATUS_LINE.match(received) is not None
        self._is_done = not self._in_interim_head
        self._unchecked = received[line_end:] if self._in_interim_head else b""
        return True

    def _skip_interim_head(self) -> bool:
        """Drop what is left of an interim head; return False if its end was not received."""
        end = END_OF_HEAD.search(self._unchecked)
        if end is None:
            self._unchecked = self._unchecked[-MAX_PARTIAL_END_BYTES:]
            return False
        self._unchecked = self._unchecked[end.end() :]
        self._in_interim_head = False
        return True
