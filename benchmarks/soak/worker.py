"""A worker of the soak: it records each run, rejects some requests, and can announce its end and serve on."""

from __future__ import annotations

import asyncio
import random
import time
from http import HTTPStatus

from aiohttp import web

from benchmarks.soak.control_calls import call_as_worker
from benchmarks.soak.observations import Observations, Run
from benchmarks.soak.response_faults import ResponseFaults
from hazelbend.fakes.model_worker import FakeModelWorker, FakeModelWorkerSettings

LATE_HEARTBEAT_RANGE_S = (0.5, 5.8)  # from the acknowledgement of a deregistration to the last heartbeat
REJECTED_FRACTION = 0.03  # of the requests
EARLY_FRACTION = 0.5  # of the rejected requests, that are rejected before their bodies are read


class SoakWorker(FakeModelWorker):
    """A worker that records each run, rejects some requests, and can announce its end and serve on."""

    def __init__(
        self, settings: FakeModelWorkerSettings, observations: Observations, rng: random.Random
    ) -> None:
        """`rng` draws the requests that are rejected, and the faults in responses."""
        super().__init__(settings)
        self._rng = rng
        self.response_faults = ResponseFaults(rng)
        self.ended_at: float | None = None  # when its end was acknowledged
        self.late_heartbeat: dict[str, object] | None = None  # sent before it deregistered
        self._observations = observations

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        self.response_faults.write_waiting_surplus(request)
        if self._rng.random() < REJECTED_FRACTION:
            if self._rng.random() >= EARLY_FRACTION:
                await request.read()
            response: web.StreamResponse = _busy(request.headers["Request-Id"])
        else:
            response = await super()._serve_request(request)
        if "Not-Executed" in response.headers:
            self._observations.rejections += 1
            self.response_faults.follow_rejection(request, response.status, response.reason or "")
        return response

    async def _decode(self, request: web.BaseRequest) -> web.StreamResponse:
        self._observations.runs.append(Run(request.headers["Request-Id"], self))
        if self.response_faults.break_off(request):
            return web.Response()  # is not written: the connection has ended
        return await super()._decode(request)

    async def announce_end(self, rng: random.Random) -> None:
        """Drain or deregister; the last heartbeat that was sent before arrives late if it deregisters."""
        late_heartbeat = self._heartbeat()
        deregisters = rng.random() < 0.7
        if deregisters and self._heartbeats is not None:
            self._heartbeats.cancel()
        self.state = "draining"
        call, body = ("deregister", {}) if deregisters else ("heartbeat", self._heartbeat())
        if await self._call_any(call, body, rng):
            self.ended_at = time.monotonic()
            self.late_heartbeat = late_heartbeat if deregisters else None
        if deregisters:
            await asyncio.sleep(rng.uniform(*LATE_HEARTBEAT_RANGE_S))
            await self._call_any("heartbeat", late_heartbeat, rng)

    async def _call_any(self, call: str, body: dict[str, object], rng: random.Random) -> bool:
        """Call the control processes in random order until one acknowledges; returns whether one did."""
        for control in rng.sample(self.settings.controls, len(self.settings.controls)):
            if await self.call(control, call, body):
                return True
        return False

    async def call(self, control: str, call: str, body: dict[str, object]) -> bool:
        """Call one control process; returns whether it acknowledges."""
        return await call_as_worker(control, self.instance, call, body) == HTTPStatus.OK


def _busy(request_id: str) -> web.Response:
    headers = {"Request-Id": request_id, "Not-Executed": "1"}
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)
