"""Calls of workers and observers to control processes over HTTP. Each has a short timeout."""

from __future__ import annotations

import json
from collections.abc import Mapping

import aiohttp

CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


async def call_as_worker(control: str, instance: str, call: str, body: Mapping[str, object]) -> int:
    """Send a worker's call, `heartbeat` or `deregister`; returns the status, or 0 without an answer."""
    url = f"http://{control}/instances/{instance}/{call}"
    try:
        async with (
            aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session,
            session.post(url, json=body) as response,
        ):
            return response.status
    except CALL_ERRORS:
        return 0


async def ready_workers(control: str) -> set[str]:
    """The instances that a control process lists as ready; none without an answer."""
    try:
        async with (
            aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session,
            session.get(f"http://{control}/status") as response,
        ):
            workers = json.loads(await response.read())["workers"]
    except CALL_ERRORS:
        return set()
    return {worker["instance"] for worker in workers if worker["state"] == "ready"}
