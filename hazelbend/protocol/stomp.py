"""Decodes and encodes STOMP 1.1 and 1.2 frames, without sockets (https://stomp.github.io).

`FrameReader` takes bytes in pieces of any size, and buffers no more of them than its limits allow.
`stomp_jobs` defines the meaning of the headers.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 16 * 1024  # of a command and its headers
MAX_HEADERS = 64
MAX_BODY_BYTES = 64 * 1024
MAX_DIGITS = 9  # of a number in a header
COMMAND_BYTES = 16  # longer than any command
MAX_QUOTED_LENGTH = 40  # characters of a peer's text that an error message quotes
DEFAULT_VERSION = "1.2"
VERSIONS = ("1.2", "1.1")  # newest first

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
# The specification leaves the headers of these unescaped, for compatibility with STOMP 1.0.
UNESCAPED_COMMANDS = frozenset({"CONNECT", "CONNECTED"})

_UNESCAPED = {"\\n": "\n", "\\c": ":", "\\\\": "\\", "\\r": "\r"}
_ESCAPED = {value: key for key, value in _UNESCAPED.items()}
_ESCAPE = re.compile(r"\\(?:.|$)", re.DOTALL)
_TO_ESCAPE = re.compile(r"[\n:\\\r]")


class StompError(Exception):
    """The bytes are not a valid frame; the text gives the reason. Later bytes cannot be decoded either."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One STOMP frame."""

    command: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header, or `default` without it."""
        return self.headers.get(name, default)


class HeartBeat:
    """A heart-beat, which is an end-of-line between frames."""


@dataclass(slots=True, frozen=True)
class _Head:
    command: str
    headers: dict[str, str]
    content_length: int | None


class FrameReader:
    """Decodes a stream of bytes. The caller sets `version` once it is negotiated."""

    def __init__(
        self, commands: frozenset[str] = CLIENT_COMMANDS, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._commands = commands
        self._max_body_bytes = max_body_bytes
        self._data = bytearray()
        self._head: _Head | None = None  # of the frame whose body is not complete yet
        self._searched = 0  # bytes of `_data` that were searched for the end of the head or body in vain
        self.version = DEFAULT_VERSION

    def feed(self, data: bytes) -> Iterator[Frame | HeartBeat]:
        """Add received bytes, and yield the frames and heart-beats that they complete.

        Raises:
            StompError: the bytes are not a valid frame.
        """
        self._data += data
        while (item := self._next()) is not None:
            yield item

    def _next(self) -> Frame | HeartBeat | None:
        if self._head is None:
            if self._data[:1] == b"\n":
                del self._data[:1]
                return HeartBeat()
            if self._data[:2] == b"\r\n":
                del self._data[:2]
                return HeartBeat()
            if not self._read_head():
                return None
        return self._read_body()

    def _read_head(self) -> bool:
        """Read the head if it is complete; return whether it is."""
        # A blank line ends the head. Lines may end in \r\n, so the blank line may contain a \r.
        ends = [at for mark in (b"\n\n", b"\n\r\n") if (at := self._data.find(mark, self._searched)) >= 0]
        size = min(ends, default=len(self._data))
        if size > MAX_HEAD_BYTES:
            raise StompError(f"the head of a frame is over {MAX_HEAD_BYTES} bytes")
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
            raise StompError(f"unknown command {command[:MAX_QUOTED_LENGTH]!r}")
        headers = self._headers(command, lines)
        self._head = _Head(command, headers, self._content_length(headers))
        return True

    def _check_start(self) -> None:
        """Reject bytes that cannot become a command at once, rather than when the size limit is reached.

        Raises:
            StompError: no command starts with the bytes.
        """
        start = bytes(self._data[:COMMAND_BYTES]).partition(b"\n")[0].removesuffix(b"\r")
        if not any(command.encode().startswith(start) for command in self._commands):
            raise StompError("no STOMP frame begins like this")

    def _headers(self, command: str, lines: list[str]) -> dict[str, str]:
        if len(lines) > MAX_HEADERS:
            raise StompError(f"a frame has over {MAX_HEADERS} headers")
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.removesuffix("\r").partition(":")
            if not colon or not name:
                raise StompError(f"no header: {line[:MAX_QUOTED_LENGTH]!r}")
            if command not in UNESCAPED_COMMANDS:
                name = self._unescape(name)
                value = self._unescape(value)
            headers.setdefault(name, value)  # the first of repeated headers counts
        return headers

    def _unescape(self, text: str) -> str:
        def unescaped(match: re.Match[str]) -> str:
            escape = match.group()
            if escape not in _UNESCAPED or (escape == "\\r" and self.version == "1.1"):
                raise StompError(f"undefined escape {escape!r} in a header")
            return _UNESCAPED[escape]

        return _ESCAPE.sub(unescaped, text) if "\\" in text else text

    def _content_length(self, headers: Mapping[str, str]) -> int | None:
        text = headers.get("content-length")
        if text is None:
            return None
        if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
            raise StompError("content-length is no whole number")
        if int(text) > self._max_body_bytes:
            raise StompError(f"a body is over {self._max_body_bytes} bytes")
        return int(text)

    def _read_body(self) -> Frame | None:
        """Return the frame if its body is complete, else None.

        The content-length gives the size of the body; without it the body ends at a NUL byte.
        """
        assert self._head is not None
        head = self._head
        length = head.content_length
        if length is None:
            end = self._data.find(b"\0", self._searched)
            if max(end, len(self._data) if end < 0 else 0) > self._max_body_bytes:
                raise StompError(f"a body is over {self._max_body_bytes} bytes")
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
        self._head = None
        self._searched = 0
        if body and head.command not in BODY_ALLOWED:
            raise StompError(f"{head.command} has no body")
        return Frame(head.command, head.headers, body)


def encode(frame: Frame, version: str = DEFAULT_VERSION) -> bytes:
    """Return a frame's bytes.

    Version 1.1 has no escape for a carriage return in a header, so it is omitted there.
    """

    def escape(text: str) -> str:
        if frame.command in UNESCAPED_COMMANDS:
            return text
        if version == "1.1":
            text = text.replace("\r", "")
        return _TO_ESCAPE.sub(lambda match: _ESCAPED[match.group()], text)

    lines = [frame.command]
    lines += [f"{escape(name)}:{escape(value)}" for name, value in frame.headers.items()]
    if frame.body and "content-length" not in frame.headers:
        lines.append(f"content-length:{len(frame.body)}")
    return "\n".join(lines).encode() + b"\n\n" + frame.body + b"\0"


def choose_version(accept_version: str) -> str | None:
    """Return the newest version that both sides support; None if there is none.

    `accept_version`: the header of the CONNECT frame.
    """
    accepted = {version.strip() for version in accept_version.split(",")}
    return next((version for version in VERSIONS if version in accepted), None)


def heart_beat_intervals(header: str, own: tuple[int, int]) -> tuple[int, int]:
    """Return the intervals at which to send and to expect heart-beats, in milliseconds; 0: no heart-beats.

    `header`: the peer's `heart-beat` header. `own`: the shortest interval at which this side can send, and
    the interval at which it wants to receive.

    Raises:
        StompError: the header is not a pair of whole numbers.
    """
    numbers = header.split(",") if header else ["0", "0"]
    if len(numbers) != 2 or not all(
        number.isascii() and number.isdecimal() and len(number) <= MAX_DIGITS for number in numbers
    ):
        raise StompError("heart-beat is not two whole numbers")
    peer_sends, peer_expects = map(int, numbers)
    own_sends, own_expects = own
    return (
        max(own_sends, peer_expects) if own_sends and peer_expects else 0,
        max(own_expects, peer_sends) if own_expects and peer_sends else 0,
    )
