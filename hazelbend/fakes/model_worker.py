"""A fake model worker: prefill, KV cache handles, decode as an event stream, heartbeats to the control plane.

For tests and the example fleet. Each step takes exactly the time in its settings: the worker does not batch
requests, and its memory is unlimited.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
from aiohttp import web

HEARTBEAT_PERIOD_S = 0.3
CONTROL_CALL_TIMEOUT_S = 1.0
PREFILL = "prefill"
ENDLESS_EVENT = b"data: " + b"x" * 60_000 + b"\n\n"


@dataclass(slots=True)
class FakeModelWorkerSettings:
    """The settings of one worker."""

    service: str
    host: str
    port: int
    zone: str
    phase: str = ""
    """"prefill" or "decode"; "" for a worker that serves complete requests."""
    controls: tuple[str, ...] = ()
    """Addresses of control processes, in the order in which they are tried."""
    capacity: int = 8
    prefill_s: float = 0.02
    token_s: float = 0.01
    events: int = 5
    """The number of events in a response, one token each."""
    result_bytes: int = 0
    """If not 0, a response is one body of this size instead of a series of events."""
    is_endless: bool = False
    """Whether a response goes on until its connection is closed."""


@dataclass(slots=True)
class ReceivedRequests:
    """The requests that a worker has received, in order."""

    prefill: list[str] = field(default_factory=list)
    """Ids of prefill requests."""
    decode: list[str] = field(default_factory=list)
    """Ids of decode requests, or of complete requests for a worker without a phase."""
    orders: list[dict[str, object]] = field(default_factory=list)
    """Orders from the control plane."""


class FakeModelWorker:
    """One worker on a real socket."""

    def __init__(self, settings: FakeModelWorkerSettings) -> None:
        """Create a worker that does not serve yet."""
        self.settings = settings
        self.instance = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.received = ReceivedRequests()
        self._handles: set[str] = set()
        self._heartbeat_number = 0
        self._runner: web.ServerRunner | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address at which it serves."""
        return f"{self.settings.host}:{self.settings.port}"

    async def start(self) -> None:
        """Start to serve and to send heartbeats."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, self.settings.host, self.settings.port).start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def leave(self) -> None:
        """Report that it is draining, deregister, and stop."""
        self.state = "draining"
        await self._call_control("heartbeat", self._heartbeat())
        await self._call_control("deregister", {})
        await self.crash()

    async def crash(self) -> None:
        """Stop without notifying the control plane."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    # --- heartbeats ---

    async def _send_heartbeats(self) -> None:
        while True:
            await self._call_control("heartbeat", self._heartbeat())
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def _heartbeat(self) -> dict[str, object]:
        settings = self.settings
        self._heartbeat_number += 1
        return {
            "backend": settings.service,
            "addr": self.address,
            "zone": settings.zone,
            "capacity": settings.capacity,
            "state": self.state,
            "coldLeftMs": 0,
            "phase": settings.phase,
            "models": [{"name": "m"}],
            "seq": self._heartbeat_number,
        }

    async def _call_control(self, call: str, body: dict[str, object]) -> None:
        """Call the control processes in turn until one accepts the call."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for control in self.settings.controls:
                url = f"http://{control}/instances/{self.instance}/{call}"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.post(url, json=body) as response:
                        if response.status == HTTPStatus.OK:
                            return

    # --- requests ---

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/healthz":
            return web.Response(headers={"Instance-Id": self.instance})
        if request.path == "/order":
            return await self._take_order(request)
        if request.path.startswith("/kv-handle/"):
            self._handles.discard(request.path.rpartition("/")[2])
            return web.Response()
        return await self._serve_request(request)

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers["Request-Id"]
        if request.headers.get("Expect-Instance", self.instance) != self.instance:
            return _misdirected({"Request-Id": request_id, "Instance-Id": self.instance})
        while await request.content.readany():  # the body is not used, whatever its size
            pass
        is_prefill = request.headers.get("Phase") == PREFILL
        if is_prefill != (self.settings.phase == PREFILL):
            return _misdirected({"Request-Id": request_id})
        return await (self._prefill(request) if is_prefill else self._decode(request))

    async def _prefill(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(self.settings.prefill_s)
        handle = secrets.token_hex(6)
        self._handles.add(handle)
        request_id = request.headers["Request-Id"]
        self.received.prefill.append(request_id)
        return web.json_response(
            {"kvHandle": handle, "tokens": 1, "version": 1}, headers={"Request-Id": request_id}
        )

    async def _decode(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers["Request-Id"]
        self.received.decode.append(request_id)
        headers = {"Request-Id": request_id, "Server-Signature": f"{self.instance}.{request_id}"}
        if self.settings.result_bytes:
            return web.Response(body=bytes(self.settings.result_bytes), headers=headers)
        response = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while self.settings.is_endless:
            await response.write(ENDLESS_EVENT)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.settings.events + 1):
            await asyncio.sleep(self.settings.token_s)
            await response.write(f"id: {number}\ndata: token {number}\n\n".encode())
        await response.write_eof()
        return response

    async def _take_order(self, request: web.BaseRequest) -> web.Response:
        order = await request.json()
        self.received.orders.append(order)
        if not order.get("holder") or not order.get("fenceToken"):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        self.settings.phase = str(order["phase"])
        return web.Response(status=HTTPStatus.ACCEPTED)


def _misdirected(headers: dict[str, str]) -> web.Response:
    """Return status 421: the request is for another worker, and was not executed here.

    See RFC 9110, section 15.5.20.
    """
    return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST, headers=headers | {"Not-Executed": "1"})
