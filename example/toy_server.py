"""A toy server that speaks the protocol of the platform's servers; the job body selects run time and outcome.

    python example/toy_server.py 127.0.0.1:7101

The body is a line of keywords. A number is the run time of the job in milliseconds (default 50). `fail`,
`lose`, `return`, `reset` and `hang` select an outcome other than a result. With `held` the job ends only
after a POST to /let-go.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib

import orjson
from aiohttp import web

NAME = "toy"
SLOTS = 4


class ToyServer:
    """Runs up to `SLOTS` jobs at once and queues the others."""

    def __init__(self, name: str = NAME) -> None:
        self.name = name
        self.started_job_ids: list[str] = []
        self.targets: list[str] = []
        self.jobs_in_flight = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._held_jobs_released = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._server = web.Server(self._serve, handler_cancellation=True, access_log=None)

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening; the address as host:port."""
        self._listener = await asyncio.get_running_loop().create_server(self._server, host, port)
        return "{}:{}".format(*self._listener.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(0.1)

    def load(self) -> dict[str, int]:
        queued = max(self.jobs_in_flight - SLOTS, 0)
        free = max(SLOTS - self.jobs_in_flight, 0)
        return {"inflight": self.jobs_in_flight, "queue": queued, "x0": free, "x1": free}

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method == "GET" and request.path in ("/healthz", "/load"):
            return web.Response(body=orjson.dumps(self.load()))
        if request.method == "POST" and request.path == "/let-go":
            self._held_jobs_released.set()
            return web.Response(status=204)
        job_id = request.headers.get("X-Request-ID")
        if request.method != "POST" or not job_id:
            return web.Response(status=404)
        words = (await request.read()).decode("utf-8", "replace").split()
        self.targets.append(request.raw_path)
        if "return" in words:
            headers = {"X-Not-Processed": "1", "X-Server-Load": orjson.dumps(self.load()).decode()}
            return web.Response(status=503, headers=headers)
        response = web.StreamResponse(status=200)
        response.enable_chunked_encoding()
        await response.prepare(request)
        self.jobs_in_flight += 1
        try:
            await self._run(job_id, words, response)
        finally:
            self.jobs_in_flight -= 1
        await response.write_eof()
        return response

    async def _run(self, job_id: str, words: list[str], response: web.StreamResponse) -> None:
        async def write_event(**fields: object) -> None:
            line = {"id": job_id, "from": self.name, **fields}
            await response.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

        async with self._slots:
            self.started_job_ids.append(job_id)
            await write_event(state="started")
            await asyncio.sleep(next((int(word) for word in words if word.isdecimal()), 50) / 1e3)
            if "held" in words:
                await self._held_jobs_released.wait()
            if "hang" in words:
                await asyncio.Event().wait()
            if "reset" in words:
                raise ConnectionResetError("requested by the job's body")
            await write_event(state="running", share=1.0)
        if "fail" in words:
            await write_event(state="failed", load=self.load())
        elif "lose" in words:
            await write_event(state="lost")
        else:
            await write_event(state="done", result=f"{self.name} did {job_id}", load=self.load())


async def _main(address: str, name: str) -> None:
    host, _, port = address.rpartition(":")
    print(f"{name}: listening on {await ToyServer(name).listen(host, int(port))}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="A toy server.")
    parser.add_argument("address", help="address:port to listen on")
    parser.add_argument("--name", default=NAME)
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options.address, options.name))
