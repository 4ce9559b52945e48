"""Crowds of clients that don't behave at the ports of the dispatcher, on loopback, with lowered limits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys

import aiohttp
import orjson
import pytest

from benchmarks.loopback_ports import free_port
from tests.support import crowd_inputs as inputs
from tests.support.crowd_kit import Crowd, Input, ProcessWatch, eventually
from tests.support.site_kit import ROOT, SETTINGS, STOMP_TOML, host_entry

pytestmark = [pytest.mark.anyio, pytest.mark.crowd]

MEMORY_MB = 160
SOCKETS = 1_000
OTHER_DESCRIPTORS = 64  # files, pipes and listeners of the process
MB = 1_000_000
MAX_BODY_BYTES = 64 * 1024
IP = "127.0.0.1"
HEAD = (
    b"POST /nearby/1 HTTP/1.1\r\nHost: h\r\n"
    b"X-Request-ID: r\r\nX-Tenant-Id: ege-volt\r\nX-Timeout-Ms: 5000\r\n"
)
JOB = HEAD + b"Content-Length: 1\r\n\r\n1"
OPS_HEAD = b"GET /ops/stats HTTP/1.1\r\nHost: h\r\n"
STOMP_HEAD = b"CONNECT\naccept-version:1.2\n"
HTTP_CROWDS = {
    "bodies_short_of_their_end": (450, [inputs.body(HEAD, MAX_BODY_BYTES)]),
    "chunks_of_one_byte": (200, [inputs.small_chunks(HEAD, 4 * MB)]),
    "a_field_without_end": (300, [inputs.endless_field(HEAD, 4 * MB)]),
    "fields_without_end": (400, [inputs.endless_fields(HEAD, 4 * MB)]),
    "empty_lines_without_end": (100, [inputs.empty_lines(4 * MB)]),
    "surplus_after_a_request": (100, [inputs.surplus(JOB, 4 * MB)]),
    "silent_connections": (1_200, [Input()]),
}
OPS_CROWDS = {
    "a_field_without_end": (50, [inputs.endless_field(OPS_HEAD, 8 * MB)]),
    "bodies_short_of_their_end": (50, [inputs.body(OPS_HEAD, 8 * MB)]),
    "silent_connections": (1_200, [Input()]),
}
STOMP_CROWDS = {
    "a_field_without_end": (100, [Input(STOMP_HEAD + b"long:", *inputs.repeated(b"x", 4 * MB))]),
    "empty_lines_without_end": (100, [Input(b"", *inputs.repeated(b"\n", 4 * MB))]),
    "silent_connections": (1_200, [Input()]),
}


class Dispatcher:
    """A dispatcher process with a toy server."""

    def __init__(self, folder) -> None:
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []
        self.port, self.ops_port, self.stomp_port, self._server_port = (free_port() for _ in range(4))
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        conf = {
            "listen": f"{IP}:{self.port}",
            "ops": f"{IP}:{self.ops_port}",
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "settings": SETTINGS,
            "known": {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"{IP}:{self._server_port}")]},
        }
        (self._folder / "config.json").write_bytes(orjson.dumps(conf))
        deploy = self._folder / "deploy"
        deploy.mkdir()
        (deploy / "stomp.toml").write_text(STOMP_TOML.replace(f"{IP}:0", f"{IP}:{self.stomp_port}"))
        await self._run(str(ROOT / "example/toy_server.py"), f"{IP}:{self._server_port}")
        variables = {"RELAY_CONFIG": str(self._folder / "config.json"), "HAZELBEND_DEPLOY": str(deploy)}
        self.process = await self._run("-m", "hazelbend", **variables)
        await eventually(self.serves)

    async def _run(self, *command: str, **variables: str) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            env=os.environ | {"PYTHONPATH": str(ROOT)} | variables,
            cwd=self._folder,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    async def serves(self) -> bool:
        """Whether one ordinary job is served, and the operators' port and STOMP answer."""
        headers = {"X-Request-ID": f"r{asyncio.get_running_loop().time()}", "X-Tenant-Id": "ege-volt"}
        headers |= {"X-Timeout-Ms": "5000"}
        try:
            async with aiohttp.ClientSession() as session:
                job = session.post(f"http://{IP}:{self.port}/nearby/1", data=b"1", headers=headers)
                async with job as response:
                    is_served = response.status == 200
                async with session.get(f"http://{IP}:{self.ops_port}/ops/readiness") as response:
                    is_ready = response.status == 200
            return is_served and is_ready and await self._speaks_stomp()
        except (aiohttp.ClientError, OSError):
            return False

    async def _speaks_stomp(self) -> bool:
        reader, writer = await asyncio.open_connection(IP, self.stomp_port)
        writer.write(b"CONNECT\naccept-version:1.2\nhost:h\nlogin:dashboard\npasscode:secret\n\n\x00")
        line = await reader.readline()
        writer.close()
        return line == b"CONNECTED\n"

    async def close(self) -> None:
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture
async def dispatcher(tmp_path):
    program = Dispatcher(tmp_path)
    try:
        await program.start()
        yield program
    finally:
        await program.close()


async def check_crowd(dispatcher: Dispatcher, port: int, members: int, sent: list[Input]) -> None:
    ports = (dispatcher.port, dispatcher.ops_port, dispatcher.stomp_port)
    addresses = [(IP, each) for each in ports]
    async with ProcessWatch(dispatcher.process.pid, addresses) as watched, Crowd((IP, port)) as crowd:
        await crowd.send(members, sent)
        await eventually(dispatcher.serves)
    assert dispatcher.process.returncode is None
    watched.check(MEMORY_MB, SOCKETS + OTHER_DESCRIPTORS)


@pytest.mark.parametrize("name", HTTP_CROWDS)
async def test_dispatcher_stays_within_its_limits_under_a_crowd_of_clients(dispatcher, name):
    """Guards against a dispatcher that runs out of memory or descriptors through clients."""
    await check_crowd(dispatcher, dispatcher.port, *HTTP_CROWDS[name])


@pytest.mark.parametrize("name", OPS_CROWDS)
async def test_dispatcher_stays_within_its_limits_under_a_crowd_at_the_admin_endpoint(dispatcher, name):
    """Guards against an admin endpoint whose callers take memory or descriptors without a bound."""
    await check_crowd(dispatcher, dispatcher.ops_port, *OPS_CROWDS[name])


@pytest.mark.parametrize("name", STOMP_CROWDS)
async def test_dispatcher_stays_within_its_limits_under_a_crowd_over_stomp(dispatcher, name):
    """Guards against STOMP connections that take memory or descriptors without a bound."""
    await check_crowd(dispatcher, dispatcher.stomp_port, *STOMP_CROWDS[name])
