"""A proxy that delivers what it is sent some seconds late."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable


class LateProxy:
    """Accepts connections, and passes on the first bytes of each one `delay_s` later."""

    def __init__(self, address: str, target: str, delay_s: float, note: Callable[..., None]) -> None:
        self.address = address
        self._target = target
        self._delay_s = delay_s
        self._note = note
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._connection, host, int(port))

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._delay_s):
                while chunk := await reader.read(1 << 16):
                    data += chunk
                await asyncio.sleep(self._delay_s)
        with contextlib.suppress(OSError):
            host, _, port = self._target.rpartition(":")
            onward_reader, onward = await asyncio.open_connection(host, int(port))
            onward.write(data)
            answer = await onward_reader.read(1 << 16)
            self._note(
                "late", request=data.split(b"\r\n")[0].decode(), answer=answer.split(b"\r\n")[0].decode()
            )
            onward.close()
            writer.write(answer)
        writer.close()
