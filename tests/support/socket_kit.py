"""Helpers for tests on real sockets: raw requests, and waiting for a condition."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HOST = "127.0.0.1"
TIMEOUT_S = 5.0  # long enough on a busy machine too
POLL_PERIOD_S = 0.005


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; raise TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_PERIOD_S)


async def exchange(port: int, request: bytes, until: bytes = b"") -> bytes:
    """Send these bytes; return what arrives up to a complete response, the connection's end or `until`."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request)
    received = b""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(65_536):
                received += part
                if until and until in received:
                    break
                head, _, body = received.partition(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:") and len(body) >= int(line.split(b":")[1]):
                        return received
    except ConnectionError:
        pass
    finally:
        writer.close()
    return received
