"""Tests of the router fleet's real processes on loopback with simulated workers, using the example fleet."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest

from example.fleet.run import CONFIGURATION, CONTROL_PORT, MACHINES, READINESS_PORT, ExampleFleet

pytestmark = pytest.mark.anyio
[ROUTE] = CONFIGURATION["routes"]
TIMEOUT_S = 20.0  # for any condition, also on a busy machine


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    example = ExampleFleet(tmp_path, asyncio.subprocess.DEVNULL)
    try:
        await example.start()
        yield example
    finally:
        await example.close()


async def status_of(ip: str) -> dict[str, object]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{ip}:{CONTROL_PORT}/status") as response,
    ):
        return json.loads(await response.text())


async def eventually(condition) -> None:
    """Wait until the condition is true."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def test_fleet_serves_after_the_loss_of_its_leader_and_a_router_shuts_down_gracefully(fleet):
    async def complete() -> bool:
        """Whether all control processes know all workers: a router may be subscribed to any two of them."""
        try:
            statuses = [await status_of(machine) for machine in MACHINES]
        except aiohttp.ClientError:
            return False
        return all(len(status["workers"]) == 5 and len(status["voters"]) == 3 for status in statuses)

    await eventually(complete)
    status, body = await fleet.send_prompt(MACHINES[0], "a1")
    assert status == 200 and body.count(b"data: token") == 5
    [prefill_worker] = [worker for worker in fleet.workers if worker.received.prefill]
    [decode_worker] = [worker for worker in fleet.workers if worker.received.decode]
    assert (prefill_worker.settings.phase, decode_worker.settings.phase) == ("prefill", "decode")

    # The leader is killed. The others accept a change, and the killed process catches up after a restart.
    leader = (await status_of(MACHINES[0]))["leader"].rpartition("@")[2].partition(":")[0]
    fleet.processes["control", leader].kill()
    await fleet.processes["control", leader].wait()
    second = CONFIGURATION | {"version": 2, "routes": [ROUTE | {"prefix": "/talk/"}]}
    assert await fleet.put_configuration(1, second) == 200
    assert await fleet.put_configuration(1, second | {"version": 3}) == 412
    assert (await fleet.send_prompt(MACHINES[1], "a2"))[0] == 404, "the route of version 1 was removed"
    await fleet.start_process(MACHINES.index(leader) + 1, leader, "control")

    async def caught_up() -> bool:
        try:
            return (await status_of(leader))["version"] == 2
        except aiohttp.ClientError:
            return False

    await eventually(caught_up)

    # Graceful shutdown: the router is not ready at once, and exits with code 0.
    router = fleet.processes["router", MACHINES[2]]
    router.send_signal(signal.SIGTERM)

    async def unready() -> bool:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{MACHINES[2]}:{READINESS_PORT}/readyz") as response,
        ):
            return response.status == 503

    await eventually(unready)
    async with asyncio.timeout(TIMEOUT_S):
        assert await router.wait() == 0


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "hazelbend.system", *arguments],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parents[2],
        timeout=TIMEOUT_S,
    )


def test_check_prints_all_findings_in_settings_and_configurations_with_their_paths(tmp_path):
    settings = tmp_path / "s.yaml"
    settings.write_text("ip: 3\nportRange: [0]\nlisten: {http: nowhere}\n")
    done = run_command("check", str(settings))
    assert done.returncode == 1
    for path in ("nodeName", "zone", "portRange[0]", "listen.http"):
        assert path in done.stdout
    configuration = tmp_path / "c.json"
    configuration.write_text(json.dumps(CONFIGURATION | {"services": []}))
    done = run_command("check", str(configuration))
    assert done.returncode == 1 and "routes[0].backend" in done.stdout
    configuration.write_text(json.dumps(CONFIGURATION))
    assert run_command("check", str(configuration)).returncode == 0
    assert run_command("router", f"--settings={settings}").returncode == 2
    assert run_command("dance").returncode == 2
