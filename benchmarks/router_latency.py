"""Measures the latency that a router adds: alternates calls to a worker directly and through a router.

    python -m benchmarks.router_latency --calls 2000

Starts the example fleet (three machines on loopback) with an additional worker that responds at once. Prints
one JSON line: p50 and p99 of the milliseconds to the complete response on keep-alive connections, direct and
routed, and the difference.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

import aiohttp

from example.fleet.run import CONFIGURATION, CONTROL_PORT, HTTP_PORT, MACHINES, ExampleFleet
from hazelbend.fakes.model_worker import FakeModelWorker, FakeModelWorkerSettings

IMMEDIATE_WORKER = FakeModelWorkerSettings(
    service="echo",
    host="127.0.0.9",
    port=18300,
    zone="z1",
    controls=tuple(f"{ip}:{CONTROL_PORT}" for ip in MACHINES),
    token_s=0.0,
    events=1,
)
ROUTE = {
    "name": "echo",
    "host": "example.test",
    "prefix": "/echo/",
    "kind": "stream",
    "timeoutMs": 5000,
    "targetMs": 500,
    "backend": "echo",
    "retries": 1,
}
WARM_UP_CALLS = 50  # to each address, not measured
START_TIMEOUT_S = 20.0  # until the router knows the worker


async def main() -> None:
    """Measure the latency and print the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=2_000)
    calls = parser.parse_args().calls
    with tempfile.TemporaryDirectory() as folder:
        fleet = ExampleFleet(Path(folder))
        worker = FakeModelWorker(IMMEDIATE_WORKER)
        try:
            await fleet.start()
            await worker.start()
            await fleet.put_configuration(1, _configuration())
            direct, routed = await _measure(worker.address, calls)
        finally:
            await worker.crash()
            await fleet.close()
    added = {name: round(routed[name] - direct[name], 2) for name in direct}
    print(json.dumps({"calls": calls, "direct_ms": direct, "routed_ms": routed, "added_ms": added}))


def _configuration() -> dict[str, object]:
    routes = [*CONFIGURATION["routes"], ROUTE]
    services = [*CONFIGURATION["services"], {"name": "echo"}]
    updated: dict[str, object] = CONFIGURATION | {"version": 2, "routes": routes, "services": services}
    return updated


async def _measure(worker: str, calls: int) -> tuple[dict[str, float], dict[str, float]]:
    direct: list[float] = []
    routed: list[float] = []
    async with aiohttp.ClientSession() as session:
        await _wait_until_served(session)
        for number in range(calls + WARM_UP_CALLS):
            for address, times in ((worker, direct), (f"{MACHINES[0]}:{HTTP_PORT}", routed)):
                status, seconds = await _call(session, address, f"call-{address}-{number}")
                if status != 200:
                    raise RuntimeError(f"{address} responds with status {status}")
                times.append(1_000 * seconds)
    return _summary(direct[WARM_UP_CALLS:]), _summary(routed[WARM_UP_CALLS:])


async def _wait_until_served(session: aiohttp.ClientSession) -> None:
    """Wait until the router knows the route and the worker."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while (await _call(session, f"{MACHINES[0]}:{HTTP_PORT}", "first"))[0] != 200:
            await asyncio.sleep(0.05)


async def _call(session: aiohttp.ClientSession, address: str, name: str) -> tuple[int, float]:
    headers = {"Host": "example.test", "Request-Id": name, "Deadline-Ms": "5000"}
    began = time.perf_counter()
    async with session.post(f"http://{address}/echo/1", data=b"a call", headers=headers) as answer:
        await answer.read()
        return answer.status, time.perf_counter() - began


def _summary(times: list[float]) -> dict[str, float]:
    ordered = sorted(times)
    return {"p50": round(ordered[len(ordered) // 2], 2), "p99": round(ordered[len(ordered) * 99 // 100], 2)}


if __name__ == "__main__":
    asyncio.run(main())
