"""Runs a complete fleet on loopback: three machines (127.0.0.2 to .4), five fake workers, one prompt.

    python -m example.fleet.run

Run it from the root of the repository. It ends by itself.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import aiohttp

from hazelbend.fakes.model_worker import FakeModelWorker, FakeModelWorkerSettings

HTTP_PORT = 18144  # of routers, for clients
READINESS_PORT = 18140  # of routers, for readiness and metrics
CONTROL_PORT = 18146  # of control processes, for workers and operators
FIRST_PEER_PORT = 17660  # of control processes, for each other and for routers
PEER_PORT_COUNT = 16
FIRST_WORKER_PORT = 18200
MACHINES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
WORKER_IP = "127.0.0.9"
WORKER_PHASES = ("prefill", "prefill", "decode", "decode", "decode")
START_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.05
HTTP_OK = 200
HTTP_SERVER_ERROR = 500  # and above

SETTINGS = """\
nodeName: "{name}"
role: "{role}"
ip: "{ip}"
zone: "{zone}"
listen:
  http: "{ip}:{http}"
  readiness: "{ip}:{readiness}"
  control: "{ip}:{control}"
portRange: [{first}, {last}]
seeds: [{seeds}]
bootstrap: {bootstrap}
countsForQuorum: true
dataDir: "{data}"
heartbeatMs: 300
faultTolerance: {{machines: 1}}
"""

CONFIGURATION = json.loads((Path(__file__).parent / "configuration.json").read_text())


class ExampleFleet:
    """Processes of three machines, and fake workers in this process."""

    def __init__(self, folder: Path, output: int | None = None) -> None:
        """`folder` holds settings and data; `output` is the standard output and error of the processes."""
        self._folder = folder
        self._output = output
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}  # by role and IP
        self.workers: list[FakeModelWorker] = []

    async def start(self) -> None:
        """Start everything, put a first configuration, and wait until all routers are ready."""
        for machine_number, ip in enumerate(MACHINES, 1):
            for role in ("control", "router"):
                await self.start_process(machine_number, ip, role, bootstrap=True)
        for index, phase in enumerate(WORKER_PHASES):
            await self._start_worker(FIRST_WORKER_PORT + index, phase)
        await self.put_configuration(0, CONFIGURATION)
        for ip in MACHINES:
            await self._wait_until_ready(ip)

    async def _start_worker(self, port: int, phase: str) -> None:
        control_addresses = tuple(f"{ip}:{CONTROL_PORT}" for ip in MACHINES)
        settings = FakeModelWorkerSettings("llm", WORKER_IP, port, "z1", phase, control_addresses)
        worker = FakeModelWorker(settings)
        await worker.start()
        self.workers.append(worker)

    async def start_process(self, number: int, ip: str, role: str, *, bootstrap: bool = False) -> None:
        """Start one process of the machine with this number and IP."""
        settings_path = self._folder / f"{role}-{number}.yaml"
        text = SETTINGS.format(
            name=f"machine-{number}",
            role=role,
            ip=ip,
            zone=f"z{number}",
            http=HTTP_PORT,
            readiness=READINESS_PORT,
            control=CONTROL_PORT,
            first=FIRST_PEER_PORT,
            last=FIRST_PEER_PORT + PEER_PORT_COUNT - 1,
            seeds=", ".join(f'"{machine}:{CONTROL_PORT}"' for machine in MACHINES),
            bootstrap=str(bootstrap).lower(),
            data=self._folder / f"data-{number}",
        )
        settings_path.write_text(text)
        self.processes[role, ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hazelbend.system",
            f"--settings={settings_path}",
            role,
            stderr=self._output,
            stdout=self._output,
        )

    async def put_configuration(self, base_version: int, configuration: dict[str, object]) -> int:
        """Put a configuration, retrying until a control process accepts or rejects it; the HTTP status."""
        body = json.dumps(configuration)
        headers = {"Base-Version": str(base_version)}
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                for ip in MACHINES:
                    url = f"http://{ip}:{CONTROL_PORT}/config/put"
                    try:
                        async with session.post(url, data=body, headers=headers) as response:
                            if response.status < HTTP_SERVER_ERROR:
                                return response.status
                    except aiohttp.ClientError:
                        pass
                await asyncio.sleep(RETRY_DELAY_S)

    async def _wait_until_ready(self, ip: str) -> None:
        """Wait until this machine's router reports that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"http://{ip}:{READINESS_PORT}/readyz") as response:
                        if response.status == HTTP_OK:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(RETRY_DELAY_S)

    async def send_prompt(self, ip: str, request_id: str, tokens: int = 8_000) -> tuple[int, bytes]:
        """Send a prompt to this machine's router; status and complete body."""
        headers = {
            "Host": "example.test",
            "Request-Id": request_id,
            "Deadline-Ms": "5000",
            "Token-Usage": f"{tokens},50",
            "Prefix-Hash": f"aa01:{tokens // 2},{request_id}:{tokens // 2}",
        }
        async with aiohttp.ClientSession() as session:
            url = f"http://{ip}:{HTTP_PORT}/chat/1"
            async with session.post(url, data=b"a prompt", headers=headers) as response:
                return response.status, await response.read()

    async def close(self) -> None:
        """Kill everything."""
        for worker in self.workers:
            await worker.crash()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


async def main() -> None:
    """Start the fleet, send one prompt, and print which workers it went through."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ExampleFleet(Path(folder))
        try:
            await fleet.start()
            status, body = await fleet.send_prompt(MACHINES[0], "a1")
            print(f"status {status}")
            print(body.decode())
            for worker in fleet.workers:
                received = worker.received
                requests = f"prefill {received.prefill}, decode {received.decode}"
                print(f"{worker.address} {worker.settings.phase}: {requests}")
        finally:
            await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
