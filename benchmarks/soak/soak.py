"""One play of the soak: a fleet of separate processes, its workers and clients, and series of faults.

Times are in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import secrets
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Coroutine, Iterable
from http import HTTPStatus
from pathlib import Path
from typing import IO

import aiohttp

from benchmarks.soak.control_calls import ready_workers
from benchmarks.soak.observations import CONTACT_S, DRAIN_S, Observations
from benchmarks.soak.worker import SoakWorker
from example.fleet.run import CONTROL_PORT, HTTP_PORT, ROLES, ExampleFleet
from hazelbend.fakes.model_worker import FakeModelWorkerSettings

HEARTBEAT_MS = 1_200  # that the control processes expect; workers send them more often
CALM_RANGE_S = (CONTACT_S + 0.5, CONTACT_S + 2.5)  # between two series of faults
FREEZE_RANGE_S = (0.3, 3.5)
DOWN_RANGE_S = (0.1, 0.8)  # between the end of a process and its next start
FAULT_GAP_S = 0.4  # at most, between two faults of a series
LEAVE_WHILE_DOWN_FRACTION = 0.4  # of the restarts of control processes: meanwhile a worker leaves
RECOVERY_CHECK_S = 1.0  # after the start of a control process, while late heartbeats are sent to it
RECOVERY_CHECK_PERIOD_S = 0.03
TERMINATION_TIMEOUT_S = 10.0  # after SIGTERM, until the process is killed
READ_TIMEOUT_S = 20.0  # for the configuration to be read back
REQUEST_TIMEOUT_S = 4.0
CLIENTS_PER_MACHINE = 6
CLIENT_PAUSE_S = 0.03
WORKER_RESTART_RANGE_S = (0.5, 2.5)  # between two restarts of workers at their addresses
UPLOAD_PAUSE_S = 0.9  # between the two parts of a body
UPLOAD_PART = b"x" * 1_800
WORKERS = 4  # at any time, beside those that leave
FIRST_WORKER_PORT = 18_300
WORKER_HOST = 9  # last part of the address
SERVICE = "orders"
ROUTE = {
    "name": SERVICE,
    "host": "orders.test",
    "prefix": "/order/",
    "kind": "unsafe",
    "timeoutMs": 3_000,
    "targetMs": 300,
    "backend": SERVICE,
    "retries": 1,
}


class Soak:
    """One seed: a fleet, its workers and clients, and the faults."""

    def __init__(self, seed: int, folder: Path, uploads: int, log_file: IO[bytes]) -> None:
        """`uploads`: the number of clients of each machine that send their bodies in two parts.

        `log_file` takes the output of all processes.
        """
        self._rng = random.Random(seed)
        # Apart from the faults' generator: how often workers draw depends on the requests that they get.
        self._worker_rng = random.Random(f"workers {seed}")
        # Not drawn from the seed: two soaks may run beside each other.
        network = f"127.{10 + secrets.randbelow(240)}.{1 + secrets.randbelow(250)}"
        self._fleet = ExampleFleet(folder, log_file.fileno(), network, HEARTBEAT_MS)
        self._worker_ip = f"{network}.{WORKER_HOST}"
        self._numbers = itertools.count()
        self._background: set[asyncio.Task[None]] = set()
        self._staying_workers: list[SoakWorker] = []
        self.workers: list[SoakWorker] = []
        self._is_over = False
        self._uploads = uploads
        self.observations = Observations()
        self.faults: Counter[str] = Counter()

    async def run(self, seconds: float) -> list[str]:
        """Run for this time; returns the broken rules."""
        try:
            await self._fleet.start_processes()
            for _ in range(WORKERS):
                await self._start_worker()
            await self._fleet.configure(_configuration(1))
            self.observations.disturb()
            self._start_clients()
            self._spawn(self._restart_workers())
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                await self._play_round()
            await asyncio.sleep(CONTACT_S + DRAIN_S)
            self._is_over = True
            self.observations.version_at_end = await self._read_version()
            return self.observations.broken_rules()
        finally:
            for task in self._background:
                task.cancel()
            await asyncio.gather(*self._background, return_exceptions=True)
            for worker in self.workers:
                await worker.crash()
            await self._fleet.close()

    async def _play_round(self) -> None:
        """A worker leaves, a configuration may change, a series of faults follows, then it is calm."""
        await self._replace_worker()
        if self._rng.random() < 0.5:
            self._spawn(self._change_configuration())
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await asyncio.gather(*[self._inject_after_gap(index) for index in range(self._rng.randint(1, 3))])
        await asyncio.sleep(self._rng.uniform(*CALM_RANGE_S))

    def _spawn(self, action: Coroutine[object, object, None]) -> None:
        self._background.add(asyncio.ensure_future(action))

    async def _replace_worker(self) -> None:
        """Start a worker, and let the oldest one leave."""
        await self._start_worker()
        leaver = self._staying_workers.pop(0)
        self._spawn(leaver.announce_end(self._rng))

    # --- workers, clients, operator ---

    async def _start_worker(self) -> None:
        worker = await self._start_instance(FIRST_WORKER_PORT + next(self._numbers))
        self._staying_workers.append(worker)

    async def _start_instance(self, port: int) -> SoakWorker:
        settings = FakeModelWorkerSettings(
            SERVICE, self._worker_ip, port, "z1", "", self._fleet.control_addresses, events=2
        )
        worker_rng = random.Random(self._worker_rng.getrandbits(64))
        worker = SoakWorker(settings, self.observations, worker_rng)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def _restart_workers(self) -> None:
        """Let workers crash and start again at their addresses, as new instances."""
        while not self._is_over:
            await asyncio.sleep(self._worker_rng.uniform(*WORKER_RESTART_RANGE_S))
            index = self._worker_rng.randrange(len(self._staying_workers))
            crashed = self._staying_workers[index]
            await crashed.crash()
            restarted = await self._start_instance(crashed.settings.port)
            if crashed in self._staying_workers:
                self._staying_workers[self._staying_workers.index(crashed)] = restarted
            self.faults["restart_worker"] += 1

    def _start_clients(self) -> None:
        clients = CLIENTS_PER_MACHINE + self._uploads
        for machine, client in itertools.product(self._fleet.machines, range(clients)):
            uploads_slowly = client >= CLIENTS_PER_MACHINE
            self._spawn(self._send_requests(machine, f"{machine}-{client}", uploads_slowly=uploads_slowly))

    async def _send_requests(self, machine: str, name: str, *, uploads_slowly: bool) -> None:
        """Send one request after another over a connection that is kept until the process is gone."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        url = f"http://{machine}:{HTTP_PORT}/order/1"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number in itertools.count():
                if self._is_over:
                    return
                request_id = f"{name}-{number}"
                headers = {"Host": "orders.test", "Request-Id": request_id, "Deadline-Ms": "3000"}
                self.observations.sent_at[request_id] = time.monotonic()
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    body = _body(UPLOAD_PAUSE_S if uploads_slowly else 0.0)
                    if number % 2:  # the others are sent in chunks
                        headers["Content-Length"] = str(2 * len(UPLOAD_PART))
                    async with session.post(url, data=body, headers=headers) as response:
                        self.observations.statuses[request_id] = response.status
                        await response.read()
                await asyncio.sleep(CLIENT_PAUSE_S)

    async def _change_configuration(self) -> None:
        base = self.observations.acknowledged_version
        with contextlib.suppress(TimeoutError):
            if await self._fleet.put_configuration(base, _configuration(base + 1)) == HTTPStatus.OK:
                self.observations.acknowledged_version = base + 1

    async def _read_version(self) -> int:
        """The version of the configuration that is read back; 0 if no process answers in time."""
        deadline = time.monotonic() + READ_TIMEOUT_S
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            for machine in itertools.cycle(self._fleet.machines):
                if time.monotonic() > deadline:
                    break
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.get(f"http://{machine}:{CONTROL_PORT}/config/get") as response:
                        if response.status == HTTPStatus.OK:
                            return int(json.loads(await response.read())["version"])
                await asyncio.sleep(CLIENT_PAUSE_S)
        return 0

    # --- faults ---

    async def _inject_after_gap(self, index: int) -> None:
        await asyncio.sleep(index * self._rng.uniform(0.0, FAULT_GAP_S))
        number = self._rng.randint(1, len(self._fleet.machines))
        name = self._rng.choice(("kill_all", "kill_core", "kill_machine", "kill_one", "terminate", "freeze"))
        self.faults[name] += 1
        every_machine = range(1, len(self._fleet.machines) + 1)
        match name:
            case "kill_all":
                await self._restart(signal.SIGKILL, itertools.product(every_machine, ROLES))
            case "kill_core":
                await self._restart(signal.SIGKILL, itertools.product(every_machine, ("control",)))
            case "kill_machine":
                await self._restart(signal.SIGKILL, [(number, role) for role in ROLES])
            case "kill_one":
                await self._restart(signal.SIGKILL, [(number, self._rng.choice(ROLES))])
            case "terminate":
                await self._restart(signal.SIGTERM, [(number, role) for role in ROLES])
            case "freeze":
                await self._freeze(number, self._rng.uniform(*FREEZE_RANGE_S))

    async def _restart(self, kind: signal.Signals, processes: Iterable[tuple[int, str]]) -> None:
        """End these processes by a signal, and start each again with its disk."""
        down_s = self._rng.uniform(*DOWN_RANGE_S)
        restarts = [self._restart_one(kind, number, role, down_s) for number, role in processes]
        await asyncio.gather(*restarts)

    async def _restart_one(self, kind: signal.Signals, number: int, role: str, down_s: float) -> None:
        machine = self._fleet.machines[number - 1]
        process = self._fleet.processes[role, machine]
        if process.returncode is not None:
            return  # another fault has ended it and starts it again
        self.observations.disturb()
        process.send_signal(kind)
        try:
            await asyncio.wait_for(process.wait(), TERMINATION_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._fleet.processes[role, machine] is not process:
            return
        self.observations.disturb(down_s)
        if role == "control" and self._rng.random() < LEAVE_WHILE_DOWN_FRACTION:
            await self._replace_worker()
        await asyncio.sleep(down_s)
        if self._fleet.processes[role, machine] is process:
            started_at = time.monotonic()
            await self._fleet.start_process(number, machine, role)
            self.observations.disturb()
            if role == "control":
                self._spawn(self._send_late_heartbeats(f"{machine}:{CONTROL_PORT}", started_at))

    async def _send_late_heartbeats(self, control: str, started_at: float) -> None:
        """Send a control process the last heartbeat of the worker that had ended last before its start."""
        ended = [
            worker
            for worker in self.workers
            if worker.late_heartbeat is not None
            and worker.ended_at is not None
            and worker.ended_at < started_at
        ]
        worker = max(ended, key=lambda worker: worker.ended_at or 0.0, default=None)
        if worker is None or worker.late_heartbeat is None:
            return
        while time.monotonic() < started_at + RECOVERY_CHECK_S:
            if await worker.call(control, "heartbeat", worker.late_heartbeat):
                self.observations.late_heartbeats += 1
                if worker.instance in await ready_workers(control):
                    self.observations.revived.append(f"{worker.instance} at {control}")
            await asyncio.sleep(RECOVERY_CHECK_PERIOD_S)

    async def _freeze(self, number: int, duration: float) -> None:
        """Pause both processes of a machine."""
        machine = self._fleet.machines[number - 1]
        frozen = [self._fleet.processes[role, machine] for role in ROLES]
        self.observations.disturb(duration)
        for process in frozen:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        for process in frozen:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
        self.observations.disturb()


async def _body(pause_s: float) -> AsyncIterator[bytes]:
    """Two parts, with a pause between them."""
    yield UPLOAD_PART
    await asyncio.sleep(pause_s)
    yield UPLOAD_PART


def _configuration(version: int) -> dict[str, object]:
    return {"version": version, "routes": [ROUTE], "services": [{"name": SERVICE}]}
