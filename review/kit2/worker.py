"""A worker that follows PROTOCOL.md: heartbeats, requests, event streams. It runs in the script's process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
from collections.abc import Callable

from .wire import Message, call, encode, read_body, read_head

HEARTBEAT_S = 1.2


class Worker:
    """One worker on a real socket. `runs` lists (time, Request-Id) of each request that it has begun."""

    def __init__(
        self,
        service: str,
        address: str,
        controls: list[str],
        note: Callable[..., None],
        *,
        zone: str = "z1",
        capacity: int = 8,
        work_s: float = 0.02,
        events: int = 0,
        event_gap_s: float = 0.05,
    ) -> None:
        self.service = service
        self.address = address
        self.controls = list(controls)
        self.zone = zone
        self.capacity = capacity
        self.work_s = work_s
        self.events = events
        self.event_gap_s = event_gap_s
        self.instance = f"i-{secrets.token_hex(4)}"
        self.state = "ready"
        self.runs: list[tuple[float, str]] = []
        self.crash_after_event = 0  # break the connection after this event, once
        self.control_cut = False  # partitioned from the control processes, not from the routers
        self.beats_acknowledged = 0
        self._note = note
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._connection, host, int(port), limit=1 << 20)
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self) -> None:
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    # --- heartbeats ---

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> bool:
        """Send one heartbeat, to one control process after another until one acknowledges it."""
        for _ in range(len(self.controls)):
            self._seq += 1
            record = {
                "backend": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.capacity,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": self._seq,
            }
            if self.control_cut:  # nothing arrives and nothing comes back: a second of silence
                await asyncio.sleep(1.0)
            else:
                answer = await call(
                    self.controls[0],
                    "POST",
                    f"/instances/{self.instance}/heartbeat",
                    [("Content-Type", "application/json")],
                    json.dumps(record).encode(),
                )
                if answer.complete and 200 <= answer.status < 300:
                    self.beats_acknowledged += 1
                    return True
            self.controls.append(self.controls.pop(0))
        return False

    # --- requests ---

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, until_close=False)
                await self._serve(request, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.get("Request-Id")
        if request.get("Expect-Instance", self.instance) != self.instance:
            fields = [("Instance-Id", self.instance), ("Not-Executed", "1"), ("Request-Id", request_id)]
            await self._answer(writer, "421 Misdirected Request", fields, b"")
            return
        self.runs.append((asyncio.get_running_loop().time(), request_id))
        self._note("run", worker=self.instance, service=self.service, request=request_id)
        fields = [("Request-Id", request_id), ("Server-Signature", f"{self.instance}.{request_id}")]
        if self.events:
            await self._stream(request, fields, writer)
            return
        await asyncio.sleep(self.work_s)
        await self._answer(
            writer, "200 OK", fields, f"{self.service} {request_id} {len(request.body)}\n".encode()
        )

    async def _answer(
        self, writer: asyncio.StreamWriter, status: str, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        writer.write(encode(f"HTTP/1.1 {status}", [*fields, ("Content-Length", str(len(body)))], body))
        await writer.drain()

    async def _stream(
        self, request: Message, fields: list[tuple[str, str]], writer: asyncio.StreamWriter
    ) -> None:
        """Send the events from the one after `Last-Event-Id` on (0: from the first)."""
        self._note("stream", worker=self.instance, last_event_id=request.all("Last-Event-Id"))
        first = int(request.get("Last-Event-Id", "0")) + 1
        head = [*fields, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(encode("HTTP/1.1 200 OK", head))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number == self.crash_after_event:
                self.crash_after_event = 0
                self._note("crash", worker=self.instance, after_event=number)
                await asyncio.sleep(self.event_gap_s / 2)
                await self.stop()
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()
