"""A whole fleet on this machine: three machines (127.0.0.2 to .4), five stand-in workers, one prompt.

python -m example.fleet.run        from the repository's root; ends by itself
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import aiohttp

from hazelbend.standins.model_worker import ModelWorker, ModelWorkerSettings

HTTP, READINESS, CONTROL, PEERS, WORKER = 18144, 18140, 18146, 17660, 18200
MACHINES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
START_WAIT = 20.0  # seconds

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
    """Processes of three machines, and workers in this one."""

    def __init__(self, folder: Path, output: int | None = None) -> None:
        self._folder, self._output = folder, output
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.workers: list[ModelWorker] = []

    async def start(self) -> None:
        """All of it, with a first configuration in force."""
        for number, ip in enumerate(MACHINES, 1):
            for role in ("control", "router"):
                await self.start_process(number, ip, role, bootstrap=True)
        for number, phase in enumerate(("prefill", "prefill", "decode", "decode", "decode")):
            settings = ModelWorkerSettings(
                "llm", "127.0.0.9", WORKER + number, "z1", phase, tuple(f"{ip}:{CONTROL}" for ip in MACHINES)
            )
            worker = ModelWorker(settings)
            await worker.start()
            self.workers.append(worker)
        await self.put(0, CONFIGURATION)
        for ip in MACHINES:
            await self.until_ready(ip)

    async def start_process(self, number: int, ip: str, role: str, bootstrap: bool = False) -> None:
        """One process of a machine."""
        path = self._folder / f"{role}-{number}.yaml"
        seeds = ", ".join(f'"{each}:{CONTROL}"' for each in MACHINES)
        text = SETTINGS.format(
            name=f"machine-{number}",
            role=role,
            ip=ip,
            zone=f"z{number}",
            http=HTTP,
            readiness=READINESS,
            control=CONTROL,
            first=PEERS,
            last=PEERS + 15,
            seeds=seeds,
            bootstrap=str(bootstrap).lower(),
            data=self._folder / f"data-{number}",
        )
        path.write_text(text)
        self.processes[role, ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hazelbend.system",
            f"--settings={path}",
            role,
            stderr=self._output,
            stdout=self._output,
        )

    async def put(self, base: int, configuration: dict[str, object]) -> int:
        """Put a configuration, until it has a clear answer; its status."""
        body = json.dumps(configuration)
        async with asyncio.timeout(START_WAIT), aiohttp.ClientSession() as session:
            while True:
                for ip in MACHINES:
                    url = f"http://{ip}:{CONTROL}/config/put"
                    try:
                        async with session.post(
                            url, data=body, headers={"Base-Version": str(base)}
                        ) as answer:
                            if answer.status < 500:
                                return answer.status
                    except aiohttp.ClientError:
                        pass
                await asyncio.sleep(0.05)

    async def until_ready(self, ip: str) -> None:
        """Until this machine's router says that it is ready."""
        async with asyncio.timeout(START_WAIT), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"http://{ip}:{READINESS}/readyz") as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def ask(self, ip: str, name: str, tokens: int = 8_000) -> tuple[int, bytes]:
        """A prompt to a router: status and whole body."""
        headers = {
            "Host": "example.test",
            "Request-Id": name,
            "Deadline-Ms": "5000",
            "Token-Usage": f"{tokens},50",
            "Prefix-Hash": f"aa01:{tokens // 2},{name}:{tokens // 2}",
        }
        async with aiohttp.ClientSession() as session:
            url = f"http://{ip}:{HTTP}/chat/1"
            async with session.post(url, data=b"a prompt", headers=headers) as answer:
                return answer.status, await answer.read()

    async def close(self) -> None:
        """End everything."""
        for worker in self.workers:
            await worker.crash()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


async def main() -> None:
    """Start the fleet, ask one prompt, show its way."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ExampleFleet(Path(folder))
        try:
            await fleet.start()
            status, body = await fleet.ask(MACHINES[0], "a1")
            print(f"status {status}")
            print(body.decode())
            for worker in fleet.workers:
                seen = worker.seen
                print(f"{worker.address} {worker.settings.phase}: read {seen.read}, ran {seen.run}")
        finally:
            await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
