"""A stand-in of a worker: it registers, beats and runs requests, and keeps to the protocol's page."""

from __future__ import annotations

import asyncio
import json
import random
import secrets

from kit.fleet import HEARTBEAT_S
from kit.http import HttpError, Message, call, read_body, read_head
from kit.record import Record

BEAT_TIMEOUT_S = 1.0


class Worker:
    """A worker of a service with plain requests. Subclasses change `run`."""

    phase = ""

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        port: int,
        controls: tuple[str, ...],
        record: Record,
        capacity: int = 6,
        queue: int = 24,
        work_s: float = 0.06,
        zone: str = "gebze",
    ) -> None:
        self.name = name
        self.service = service
        self.ip = ip
        self.port = port
        self.zone = zone
        self.capacity = capacity
        self.queue = queue
        self.work_s = work_s
        self.instance = f"i-{secrets.token_hex(4)}"
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.ran: list[tuple[str, float]] = []  # request id and time of each run, at its begin
        self.load = 0  # requests of `press.py` that ran; they aren't recorded one by one
        self.record = record
        self._controls = list(controls)
        self._seq = 0
        self._slots = asyncio.Semaphore(capacity)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve_connection, self.ip, self.port)
        self._beats = asyncio.create_task(self._beat_regularly())

    async def end(self) -> None:
        """The planned end: nothing listens any more, and what runs is completed."""
        self.record.add(f"worker {self.name} ends")
        self.stop_beats()
        if self._server is not None:
            self._server.close()

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    # --- calls to the control processes ---

    async def _beat_regularly(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> bool:
        return await self._call_control("heartbeat", self.next_beat())

    def next_beat(self) -> bytes:
        """The body of the next heartbeat."""
        self._seq += 1
        body = {
            "backend": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
        }
        if self.phase:
            body |= {"phase": self.phase, "models": [{"name": "m", "version": 1, "loras": []}]}
        return json.dumps(body).encode()

    async def send_beat(self, body: bytes, control: str) -> int:
        """Send a heartbeat to one control process; the status, 0 without an answer."""
        host, port = control.split(":")
        path = f"/instances/{self.instance}/heartbeat"
        try:
            answer = await call(
                host, int(port), "POST", path, {"Content-Type": "application/json"}, body, BEAT_TIMEOUT_S
            )
        except HttpError:
            return 0
        return answer.status

    async def deregister(self) -> bool:
        """Say that it is gone; True once that is acknowledged. It beats no more and serves on."""
        self.stop_beats()
        return await self._call_control("deregister", b"{}")

    async def _call_control(self, verb: str, body: bytes) -> bool:
        path = f"/instances/{self.instance}/{verb}"
        for control in random.sample(self._controls, len(self._controls)):
            host, port = control.split(":")
            try:
                answer = await call(
                    host, int(port), "POST", path, {"Content-Type": "application/json"}, body, BEAT_TIMEOUT_S
                )
            except HttpError:
                continue
            if 200 <= answer.status < 300:
                if verb != "heartbeat" or self.state != "ready":
                    self.record.add(f"worker {self.name}: {verb} ({self.state}) acknowledged by {control}")
                return True
        return False

    # --- requests ---

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self._serve(request, writer)
        except (HttpError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        expected = request.get("Expect-Instance")
        if expected is not None and expected != self.instance:
            await self.answer(writer, request, 421, {"Not-Executed": "1"})
            return
        if request.first[1].startswith("/kv-handle/"):
            await self.answer(writer, request, 200, {})
            return
        if request.first[1] == "/healthz":
            await self.answer(writer, request, 200, {"Instance-Id": self.instance})
            return
        if self.running >= self.capacity and self.waiting >= self.queue:
            await self.answer(writer, request, 503, {"Not-Executed": "1"})
            return
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self.run(request, writer)
            finally:
                self.running -= 1

    def begins(self, request: Message, note: str = "") -> None:
        request_id = request.get("Request-Id") or ""
        if request_id.startswith("load-"):
            self.load += 1
            return
        self.ran.append((request_id, self.record.add(f"worker {self.name} runs {request_id}{note}")))

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        self.begins(request)
        await asyncio.sleep(self.work_s)
        await self.answer(writer, request, 200, {"Server-Signature": self._signature(request)}, b"done\n")

    def _signature(self, request: Message) -> str:
        return f"{self.instance}.{request.get('Request-Id')}"

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        request: Message,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        fields = {"Request-Id": request.get("Request-Id") or "", "Content-Length": str(len(body)), **headers}
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
