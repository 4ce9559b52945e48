"""HTTP/1.1 on plain asyncio streams, for the stand-ins of clients, workers and operators."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

Pairs = list[tuple[str, str]]


@dataclass
class Message:
    """A request or an answer. `complete` is False where the connection ended too early."""

    start: str = ""
    headers: Pairs = field(default_factory=list)
    body: bytes = b""
    complete: bool = False

    @property
    def status(self) -> int:
        parts = self.start.split(" ")
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0

    def get(self, name: str, default: str = "") -> str:
        """The first header of this name, as most HTTP libraries return it."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    def all(self, name: str) -> list[str]:
        return [value for key, value in self.headers if key.lower() == name.lower()]


async def read_head(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.headers.append((name.strip(), value.strip()))
    return message


async def read_body(reader: asyncio.StreamReader, message: Message, *, until_close: bool) -> None:
    """Read the body into `message.body`, which also holds what came of a body that was cut off."""
    if "chunked" in message.get("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    elif until_close:
        message.body = await reader.read()
    message.complete = True


def encode(start: str, headers: Pairs, body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(
    address: str, method: str, path: str, headers: Pairs = (), body: bytes = b"", timeout_s: float = 1.0
) -> Message:
    """Send one request on a new connection. A silence or a broken answer is an incomplete message."""
    host, _, port = address.rpartition(":")
    message = Message()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = [("Host", address)] if not any(n.lower() == "host" for n, _ in headers) else []
            fields += [*headers, ("Content-Length", str(len(body))), ("Connection", "close")]
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            message = await read_head(reader)
            while message.status == 100:
                message = await read_head(reader)
            await read_body(reader, message, until_close=True)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        message.complete = False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return message
