"""A small HTTP/1.1 client and the reading of messages, for stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class HttpError(Exception):
    """No complete answer."""


@dataclass
class Message:
    """A request or an answer. `first` has the three parts of its first line."""

    first: tuple[str, str, str]
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        return int(self.first[1])

    def get(self, name: str) -> str | None:
        """The first header of this name."""
        values = self.get_all(name)
        return values[0] if values else None

    def get_all(self, name: str) -> list[str]:
        return [value for key, value in self.headers if key.lower() == name.lower()]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    parts = [*lines[0].split(" ", 2), "", ""]
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip(), value.strip()))
    return Message((parts[0], parts[1], parts[2]), headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the parts of a chunked body. Raises HttpError if it ends early."""
    try:
        while size := int((await reader.readline()).strip() or b"-", 16):
            data = await reader.readexactly(size + 2)
            yield data[:-2]
        await reader.readline()
    except (ValueError, asyncio.IncompleteReadError, ConnectionError) as error:
        raise HttpError(f"chunked body: {error!r}") from None


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message. Raises HttpError if it ends early."""
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        async for chunk in read_chunks(reader):
            message.body += chunk
        return
    try:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise HttpError(f"body: {error!r}") from None


def encode_head(method: str, path: str, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Message:
    """Send one request on a new connection; follow 307 twice. Raises HttpError without a complete answer."""
    try:
        async with asyncio.timeout(timeout_s):
            for _ in range(3):
                answer = await _call_once(host, port, method, path, headers, body)
                location = answer.get("Location") or ""
                if answer.status != 307 or not location.startswith("http://"):
                    break
                address, _, rest = location.removeprefix("http://").partition("/")
                host, port, path = address.split(":")[0], int(address.split(":")[1]), f"/{rest}"
            return answer
    except (OSError, TimeoutError) as error:
        raise HttpError(repr(error)) from None


async def _call_once(
    host: str, port: int, method: str, path: str, headers: dict[str, str], body: bytes
) -> Message:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        fields = {"Host": f"{host}:{port}", "Content-Length": str(len(body)), **headers}
        writer.write(encode_head(method, path, fields) + body)
        answer = await read_head(reader)
        if answer is None:
            raise HttpError("closed without an answer")
        await read_body(reader, answer)
        return answer
    finally:
        writer.close()
