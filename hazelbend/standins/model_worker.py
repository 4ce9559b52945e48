"""A stand-in for a model worker: reads prompts, keeps handles, streams events, sends heartbeats.

For tests and the example fleet. It takes the time that its settings say and no more: it has no batches, and
its memory has no bound.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

HEARTBEAT = 0.3  # seconds
CALL_WAIT = 1.0  # seconds for a heartbeat


@dataclass(slots=True)
class ModelWorkerSettings:
    """What one worker is."""

    service: str
    host: str
    port: int
    zone: str
    phase: str = ""
    controls: tuple[str, ...] = ()
    capacity: int = 8
    read_seconds: float = 0.02
    token_seconds: float = 0.01
    events: int = 5


@dataclass(slots=True)
class Seen:
    """What has come."""

    read: list[str] = field(default_factory=list)  # request ids
    run: list[str] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)


class ModelWorker:
    """One worker on a real socket."""

    def __init__(self, settings: ModelWorkerSettings) -> None:
        self.settings = settings
        self.instance = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.seen = Seen()
        self._handles: set[str] = set()
        self._seq = 0
        self._runner: web.ServerRunner | None = None
        self._beating: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Where it serves."""
        return f"{self.settings.host}:{self.settings.port}"

    async def start(self) -> None:
        """Serve and say so."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, self.settings.host, self.settings.port).start()
        self._beating = asyncio.create_task(self._beat())

    async def leave(self) -> None:
        """Drain, deregister, end."""
        self.state = "draining"
        await self._tell("heartbeat", self._heartbeat())
        await self._tell("deregister", {})
        await self.crash()

    async def crash(self) -> None:
        """End without a word."""
        if self._beating is not None:
            self._beating.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    # --- heartbeats ---

    async def _beat(self) -> None:
        while True:
            await self._tell("heartbeat", self._heartbeat())
            await asyncio.sleep(HEARTBEAT)

    def _heartbeat(self) -> dict[str, object]:
        settings = self.settings
        self._seq += 1
        return {
            "backend": settings.service,
            "addr": self.address,
            "zone": settings.zone,
            "capacity": settings.capacity,
            "state": self.state,
            "coldLeftMs": 0,
            "phase": settings.phase,
            "models": [{"name": "m"}],
            "seq": self._seq,
        }

    async def _tell(self, call: str, body: dict[str, object]) -> bool:
        timeout = aiohttp.ClientTimeout(total=CALL_WAIT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for control in self.settings.controls:
                url = f"http://{control}/instances/{self.instance}/{call}"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.post(url, json=body) as response:
                        if response.status == 200:
                            return True
        return False

    # --- requests ---

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/healthz":
            return web.Response(headers={"Instance-Id": self.instance})
        if request.path == "/order":
            return await self._order(request)
        if request.path.startswith("/kv-handle/"):
            self._handles.discard(request.path.rpartition("/")[2])
            return web.Response()
        if request.headers.get("Expect-Instance", self.instance) != self.instance:
            return web.Response(status=421, headers={"Instance-Id": self.instance, "Not-Executed": "1"})
        await request.read()
        if request.headers.get("Phase") == "prefill":
            return await self._read(request)
        if self.settings.phase == "prefill":
            return web.Response(status=421, headers={"Not-Executed": "1"})
        return await self._run(request)

    async def _read(self, request: web.BaseRequest) -> web.Response:
        if self.settings.phase != "prefill":
            return web.Response(status=421, headers={"Not-Executed": "1"})
        await asyncio.sleep(self.settings.read_seconds)
        handle = secrets.token_hex(6)
        self._handles.add(handle)
        self.seen.read.append(request.headers["Request-Id"])
        return web.json_response(
            {"kvHandle": handle, "tokens": 1, "version": 1},
            headers={"Request-Id": request.headers["Request-Id"]},
        )

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        name = request.headers["Request-Id"]
        self.seen.run.append(name)
        fields = {"Request-Id": name, "Server-Signature": f"{self.instance}.{name}"}
        response = web.StreamResponse(headers=fields | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.settings.events + 1):
            await asyncio.sleep(self.settings.token_seconds)
            await response.write(f"id: {number}\ndata: token {number}\n\n".encode())
        await response.write_eof()
        return response

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = await request.json()
        self.seen.orders.append(order)
        if not order.get("holder") or not order.get("fenceToken"):
            return web.Response(status=400)
        self.settings.phase = str(order["phase"])
        return web.Response(status=202)
