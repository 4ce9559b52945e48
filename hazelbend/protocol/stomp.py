"""STOMP frames, versions 1.1 and 1.2: bytes to frames and back. No sockets, no meaning.

The reader takes bytes as they come, however they are cut, and keeps no more of them than its limits allow.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

HEAD_LIMIT = 16 * 1024  # bytes of a command and its headers
HEADERS_LIMIT = 64
BODY_LIMIT = 64 * 1024

CLIENT_COMMANDS = frozenset(
    [
        "CONNECT",
        "STOMP",
        "SEND",
        "SUBSCRIBE",
        "UNSUBSCRIBE",
        "ACK",
        "NACK",
        "BEGIN",
        "COMMIT",
        "ABORT",
        "DISCONNECT",
    ]
)
SERVER_COMMANDS = frozenset(["CONNECTED", "MESSAGE", "RECEIPT", "ERROR"])
BODY_ALLOWED = frozenset({"SEND", "MESSAGE", "ERROR"})
# The specification leaves these unescaped, so that they are read alike by clients of version 1.0.
PLAIN_COMMANDS = frozenset({"CONNECT", "CONNECTED"})

_UNESCAPED = {"\\n": "\n", "\\c": ":", "\\\\": "\\", "\\r": "\r"}
_ESCAPED = {value: key for key, value in _UNESCAPED.items()}
_ESCAPE = re.compile(r"\\(?:.|$)", re.DOTALL)
_TO_ESCAPE = re.compile(r"[\n:\\\r]")


class StompError(Exception):
    """What came is no frame; the text says why. Nothing after it can be read."""


@dataclass(slots=True, frozen=True)
class Frame:
    command: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        return self.headers.get(name, default)


class Beat:
    """A heart-beat: an end of line between frames."""


class FrameReader:
    """`feed` gives the whole frames, and the heart-beats between them, that the bytes so far complete."""

    def __init__(self, commands: frozenset[str] = CLIENT_COMMANDS, body_limit: int = BODY_LIMIT) -> None:
        self._commands, self._body_limit = commands, body_limit
        self._data = bytearray()
        self._head: tuple[str, dict[str, str], int | None] | None = None
        self._searched = 0
        self.version = "1.2"

    def feed(self, data: bytes) -> Iterator[Frame | Beat]:
        self._data += data
        while (item := self._next()) is not None:
            yield item

    def _next(self) -> Frame | Beat | None:
        if self._head is None:
            if self._data[:1] == b"\n":
                del self._data[:1]
                return Beat()
            if self._data[:2] == b"\r\n":
                del self._data[:2]
                return Beat()
            if not self._read_head():
                return None
        return self._read_body()

    def _read_head(self) -> bool:
        # A blank line ends the head; lines may end in \r\n, so the blank one may hold a \r.
        ends = [at for mark in (b"\n\n", b"\n\r\n") if (at := self._data.find(mark, self._searched)) >= 0]
        size = min(ends, default=len(self._data))
        if size > HEAD_LIMIT:
            raise StompError(f"the head of a frame is over {HEAD_LIMIT} bytes")
        if not ends:
            self._check_start()
            self._searched = max(len(self._data) - 2, 0)
            return False
        try:
            command, *lines = bytes(self._data[:size]).decode().split("\n")
        except UnicodeDecodeError:
            raise StompError("the head of a frame is not UTF-8") from None
        del self._data[: size + (2 if self._data[size : size + 2] == b"\n\n" else 3)]
        self._searched = 0
        command = command.removesuffix("\r")
        if command not in self._commands:
            raise StompError(f"unknown command {command[:40]!r}")
        headers = self._headers(command, lines)
        self._head = command, headers, self._length(headers)
        return True

    def _check_start(self) -> None:
        """Bytes that cannot become a command are told at once, not after the limit is full."""
        start = bytes(self._data[:16]).partition(b"\n")[0].removesuffix(b"\r")
        if not any(command.encode().startswith(start) for command in self._commands):
            raise StompError("no STOMP frame begins like this")

    def _headers(self, command: str, lines: list[str]) -> dict[str, str]:
        if len(lines) > HEADERS_LIMIT:
            raise StompError(f"a frame has over {HEADERS_LIMIT} headers")
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.removesuffix("\r").partition(":")
            if not colon or not name:
                raise StompError(f"no header: {line[:40]!r}")
            if command not in PLAIN_COMMANDS:
                name, value = self._unescape(name), self._unescape(value)
            headers.setdefault(name, value)  # of repeated headers the first counts
        return headers

    def _unescape(self, text: str) -> str:
        def plain(match: re.Match[str]) -> str:
            each = match.group()
            if each not in _UNESCAPED or (each == "\\r" and self.version == "1.1"):
                raise StompError(f"undefined escape {each!r} in a header")
            return _UNESCAPED[each]

        return _ESCAPE.sub(plain, text) if "\\" in text else text

    def _length(self, headers: Mapping[str, str]) -> int | None:
        text = headers.get("content-length")
        if text is None:
            return None
        if not text.isascii() or not text.isdecimal() or len(text) > 9:
            raise StompError("content-length is no whole number")
        if int(text) > self._body_limit:
            raise StompError(f"a body is over {self._body_limit} bytes")
        return int(text)

    def _read_body(self) -> Frame | None:
        assert self._head is not None
        command, headers, length = self._head
        if length is None:
            end = self._data.find(b"\0", self._searched)
            if max(end, len(self._data) if end < 0 else 0) > self._body_limit:
                raise StompError(f"a body is over {self._body_limit} bytes")
            if end < 0:
                self._searched = len(self._data)
                return None
            length = end
        elif len(self._data) <= length:
            return None
        elif self._data[length] != 0:
            raise StompError("a body does not end where its content-length says")
        body = bytes(self._data[:length])
        del self._data[: length + 1]
        self._head, self._searched = None, 0
        if body and command not in BODY_ALLOWED:
            raise StompError(f"{command} has no body")
        return Frame(command, headers, body)


def encode(frame: Frame, version: str = "1.2") -> bytes:
    """A frame as it goes out. What version 1.1 cannot say in a header, a carriage return, is left out."""

    def escape(text: str) -> str:
        if frame.command in PLAIN_COMMANDS:
            return text
        if version == "1.1":
            text = text.replace("\r", "")
        return _TO_ESCAPE.sub(lambda match: _ESCAPED[match.group()], text)

    lines = [frame.command]
    lines += [f"{escape(name)}:{escape(value)}" for name, value in frame.headers.items()]
    if frame.body and "content-length" not in frame.headers:
        lines.append(f"content-length:{len(frame.body)}")
    return "\n".join(lines).encode() + b"\n\n" + frame.body + b"\0"


def choose_version(accepted: str) -> str | None:
    """The highest version that both sides know."""
    offered = {each.strip() for each in accepted.split(",")}
    return next((version for version in ("1.2", "1.1") if version in offered), None)


def beat_intervals(header: str, own: tuple[int, int]) -> tuple[int, int]:
    """From the client's heart-beat header: after how many ms to send one, and to expect one; 0 is never."""
    parts = header.split(",") if header else ["0", "0"]
    if len(parts) != 2 or not all(each.isascii() and each.isdecimal() and len(each) < 10 for each in parts):
        raise StompError("heart-beat is not two whole numbers")
    theirs_out, theirs_in = map(int, parts)
    own_out, own_in = own
    return (
        max(own_out, theirs_in) if own_out and theirs_in else 0,
        max(own_in, theirs_out) if own_in and theirs_out else 0,
    )
