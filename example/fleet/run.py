"""Runs a complete fleet on loopback: three machines (127.0.0.2 to .4), five fake workers, one prompt.

    python -m example.fleet.run

Run it from the root of the repository. It ends by itself.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import aiohttp

from hazelbend.fakes.model_worker import FakeModelWorker, FakeModelWorkerSettings

HTTP_PORT = 18144  # of routers, for clients
READINESS_PORT = 18140  # of routers, for readiness and metrics
CONTROL_PORT = 18146  # of control processes, for workers and operators
FIRST_PEER_PORT = 17660  # of control processes, for each other and for routers
PEER_PORT_COUNT = 16
FIRST_WORKER_PORT = 18200
NETWORK = "127.0.0"
MACHINE_HOSTS = (2, 3, 4)  # last parts of their addresses
MACHINES = tuple(f"{NETWORK}.{host}" for host in MACHINE_HOSTS)
WORKER_HOST = 9  # last part of the address of all workers
ROLES = ("control", "router")
WORKER_PHASES = ("prefill", "prefill", "decode", "decode", "decode")
HEARTBEAT_MS = 300
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
heartbeatMs: {heartbeat_ms}
faultTolerance: {{machines: 1}}
limits: {limits}
"""

CONFIGURATION = json.loads((Path(__file__).parent / "configuration.json").read_text())


class ExampleFleet:
    """Processes of three machines, and fake workers in this process."""

    def __init__(
        self,
        folder: Path,
        output: int | None = None,
        network: str = NETWORK,
        heartbeat_ms: int = HEARTBEAT_MS,
        limits: dict[str, float] | None = None,
    ) -> None:
        """`folder` holds settings and data; `output` is the standard output and error of the processes.

        `network`: the first three parts of all addresses. `heartbeat_ms`: the period of workers' heartbeats
        that the control processes expect. `limits`: the table of this name in the processes' settings.
        """
        self._limits = json.dumps(limits or {})  # JSON is YAML
        self._worker_ip = f"{network}.{WORKER_HOST}"
        self._heartbeat_ms = heartbeat_ms
        self.machines = tuple(f"{network}.{host}" for host in MACHINE_HOSTS)
        self._folder = folder
        self._output = output
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}  # by role and IP
        self.workers: list[FakeModelWorker] = []

    async def start(self, configuration: dict[str, object] = CONFIGURATION) -> None:
        """Start everything, put a first configuration, and wait until all routers are ready."""
        await self.start_processes()
        for index, phase in enumerate(WORKER_PHASES):
            await self.start_worker(
                FakeModelWorkerSettings("llm", self._worker_ip, FIRST_WORKER_PORT + index, "z1", phase)
            )
        await self.configure(configuration)

    async def start_processes(self) -> None:
        """Start the processes of all machines for the first time."""
        for machine_number, ip in enumerate(self.machines, 1):
            for role in ROLES:
                await self.start_process(machine_number, ip, role, bootstrap=True)

    async def configure(self, configuration: dict[str, object]) -> None:
        """Put the first configuration, and wait until all routers are ready."""
        await self.put_configuration(0, configuration)
        for ip in self.machines:
            await self._wait_until_ready(ip)

    async def start_worker(self, settings: FakeModelWorkerSettings) -> None:
        """Start a worker that sends its heartbeats to this fleet."""
        worker = FakeModelWorker(replace(settings, controls=self.control_addresses))
        await worker.start()
        self.workers.append(worker)

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """The addresses of the control processes, for workers and operators."""
        return tuple(f"{ip}:{CONTROL_PORT}" for ip in self.machines)

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
            seeds=", ".join(f'"{machine}:{CONTROL_PORT}"' for machine in self.machines),
            bootstrap=str(bootstrap).lower(),
            data=self._folder / f"data-{number}",
            heartbeat_ms=self._heartbeat_ms,
            limits=self._limits,
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
                for ip in self.machines:
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
