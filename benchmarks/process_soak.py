"""Soak of the router fleet as separate processes: workers that leave while processes fail in series.

    python -m benchmarks.process_soak --seeds 50 --seconds 30

Each seed starts three machines (a router and a control process each) on its own loopback network, with
workers of one service and clients that keep their connections until the process is gone. Workers drain or
deregister at random times, serve on, and their last heartbeat arrives late; short series of overlapping
kills, terminations, freezes and restarts follow, often right after an acknowledgement. With `--uploads`, some
clients of each machine send their bodies in two parts. Checked are:

DRAIN    no request that was sent later than `DRAIN_S` after a worker's end was acknowledged reaches it, once
         nothing was disturbed for `CONTACT_S`
TWICE    no request runs more than once
REFUSED  no request runs that was answered 408, 421, 429 or 503
CONFIG   the newest acknowledged configuration, or a later one, is read back at the end

Prints one JSON line for each seed; the exit status is 1 if a rule was broken. Times are in seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import logging
import random
import secrets
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Coroutine, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

import aiohttp
from aiohttp import web

from example.fleet.run import CONTROL_PORT, HTTP_PORT, ROLES, ExampleFleet
from hazelbend.fakes.model_worker import FakeModelWorker, FakeModelWorkerSettings

DRAIN_S = 2.0  # `drainMs`
CONTACT_S = 3.0  # `contactMs`
HEARTBEAT_MS = 1_200  # that the control processes expect; workers send them more often
CALM_RANGE_S = (CONTACT_S + 0.5, CONTACT_S + 2.5)  # between two series of faults
FREEZE_RANGE_S = (0.3, 3.5)
DOWN_RANGE_S = (0.1, 0.8)  # between the end of a process and its next start
FAULT_GAP_S = 0.4  # at most, between two faults of a series
LATE_HEARTBEAT_RANGE_S = (0.5, 5.8)
TERMINATION_TIMEOUT_S = 10.0  # after SIGTERM, until the process is killed
READ_TIMEOUT_S = 20.0  # for the configuration to be read back
REQUEST_TIMEOUT_S = 4.0
CLIENTS_PER_MACHINE = 6
CLIENT_PAUSE_S = 0.03
UPLOAD_PAUSE_S = 0.9  # between the two parts of a body
UPLOAD_PART = b"x" * 1_800
WORKERS = 4  # at any time, beside those that leave
FIRST_WORKER_PORT = 18_300
WORKER_HOST = 9  # last part of the address
PROMISES = (408, 421, 429, 503)  # statuses which promise that the request has not run and never will
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


@dataclass(slots=True)
class Observations:
    """What clients and workers have seen."""

    sent_at: dict[str, float] = field(default_factory=dict)  # by request id
    statuses: dict[str, int] = field(default_factory=dict)  # of the answers, by request id
    runs: list[tuple[str, SoakWorker]] = field(default_factory=list)  # request id and worker, in order
    acknowledged_version: int = 1
    disturbed: list[tuple[float, float]] = field(default_factory=list)  # from a fault to its end

    def disturb(self, duration: float = 0.0) -> None:
        """Record a fault that starts now."""
        now = time.monotonic()
        self.disturbed.append((now, now + duration))

    def is_calm(self, at: float) -> bool:
        """Whether nothing was disturbed for `CONTACT_S` before this time."""
        return all(end + CONTACT_S < at or at < start for start, end in self.disturbed)


class SoakWorker(FakeModelWorker):
    """A worker that records each run, and that can announce its end and serve on."""

    def __init__(self, settings: FakeModelWorkerSettings, observations: Observations) -> None:
        super().__init__(settings)
        self.ended_at: float | None = None  # when its end was acknowledged
        self._observations = observations

    async def _decode(self, request: web.BaseRequest) -> web.StreamResponse:
        self._observations.runs.append((request.headers["Request-Id"], self))
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
        if deregisters:
            await asyncio.sleep(rng.uniform(*LATE_HEARTBEAT_RANGE_S))
            await self._call_any("heartbeat", late_heartbeat, rng)

    async def _call_any(self, call: str, body: dict[str, object], rng: random.Random) -> bool:
        """Call the control processes in random order until one acknowledges; returns whether one did."""
        for control in rng.sample(self.settings.controls, len(self.settings.controls)):
            status = await _post(f"http://{control}/instances/{self.instance}/{call}", body)
            if status == HTTPStatus.OK:
                return True
        return False


class Soak:
    """One seed: a fleet, its workers and clients, and the faults."""

    def __init__(self, seed: int, folder: Path, uploads: int) -> None:
        """`uploads`: the number of clients of each machine that send their bodies in two parts."""
        self._rng = random.Random(seed)
        # Not drawn from the seed: two soaks may run beside each other.
        network = f"127.{10 + secrets.randbelow(240)}.{1 + secrets.randbelow(250)}"
        self._fleet = ExampleFleet(folder, asyncio.subprocess.DEVNULL, network, HEARTBEAT_MS)
        self._worker_ip = f"{network}.{WORKER_HOST}"
        self._numbers = itertools.count()
        self._background: set[asyncio.Task[None]] = set()
        self._workers: list[SoakWorker] = []
        self._all_workers: list[SoakWorker] = []
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
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                await self._play_round()
            await asyncio.sleep(CONTACT_S + DRAIN_S)
            self._is_over = True
            is_configured = await self._reads_acknowledged_version()
            return self._broken_rules(is_configured=is_configured)
        finally:
            for task in self._background:
                task.cancel()
            await asyncio.gather(*self._background, return_exceptions=True)
            for worker in self._all_workers:
                await worker.crash()
            await self._fleet.close()

    async def _play_round(self) -> None:
        """A worker leaves, a configuration may change, a series of faults follows, then it is calm."""
        await self._start_worker()
        leaver = self._workers.pop(0)
        self._spawn(leaver.announce_end(self._rng))
        if self._rng.random() < 0.5:
            self._spawn(self._change_configuration())
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await asyncio.gather(*[self._inject_after_gap(index) for index in range(self._rng.randint(1, 3))])
        await asyncio.sleep(self._rng.uniform(*CALM_RANGE_S))

    def _spawn(self, action: Coroutine[object, object, None]) -> None:
        self._background.add(asyncio.ensure_future(action))

    # --- workers, clients, operator ---

    async def _start_worker(self) -> None:
        port = FIRST_WORKER_PORT + next(self._numbers)
        settings = FakeModelWorkerSettings(
            SERVICE, self._worker_ip, port, "z1", "", self._fleet.control_addresses, events=2
        )
        worker = SoakWorker(settings, self.observations)
        await worker.start()
        self._workers.append(worker)
        self._all_workers.append(worker)

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
                    body = _slow_body() if uploads_slowly else 2 * UPLOAD_PART
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

    async def _reads_acknowledged_version(self) -> bool:
        """Whether the newest acknowledged configuration, or a later one, is read back."""
        deadline = time.monotonic() + READ_TIMEOUT_S
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            for machine in itertools.cycle(self._fleet.machines):
                if time.monotonic() > deadline:
                    return False
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.get(f"http://{machine}:{CONTROL_PORT}/config/get") as response:
                        if response.status == HTTPStatus.OK:
                            version = json.loads(await response.read())["version"]
                            return int(version) >= self.observations.acknowledged_version
                await asyncio.sleep(CLIENT_PAUSE_S)
        return False

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
        await asyncio.sleep(down_s)
        if self._fleet.processes[role, machine] is process:
            await self._fleet.start_process(number, machine, role)
            self.observations.disturb()

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

    # --- checks ---

    def _broken_rules(self, *, is_configured: bool) -> list[str]:
        observations = self.observations
        broken = []
        for request_id, worker in observations.runs:
            sent_at = observations.sent_at[request_id]
            ended_at = worker.ended_at
            if ended_at is not None and sent_at > ended_at + DRAIN_S and observations.is_calm(sent_at):
                late_s = sent_at - ended_at
                broken.append(f"DRAIN: {request_id} reached {worker.instance} {late_s:.2f} s after its end")
        runs = Counter(request_id for request_id, _ in observations.runs)
        broken += [
            f"TWICE: {request_id} ran {count} times" for request_id, count in runs.items() if count > 1
        ]
        broken += [
            f"REFUSED: {request_id} was answered {status} and has run"
            for request_id, status in observations.statuses.items()
            if status in PROMISES and runs[request_id]
        ]
        if not is_configured:
            broken.append(f"CONFIG: version {observations.acknowledged_version} is not read back")
        return broken


async def _slow_body() -> AsyncIterator[bytes]:
    yield UPLOAD_PART
    await asyncio.sleep(UPLOAD_PAUSE_S)
    yield UPLOAD_PART


def _configuration(version: int) -> dict[str, object]:
    return {"version": version, "routes": [ROUTE], "services": [{"name": SERVICE}]}


async def _post(url: str, body: dict[str, object]) -> int:
    """Send a call; returns the status, or 0 without an answer."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, json=body) as response,
        ):
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


def run_seed(seed: int, seconds: float, uploads: int) -> list[str]:
    """Play one seed, print its line, and return the broken rules."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), uploads)
        broken = asyncio.run(soak.run(seconds))
    statuses = Counter(soak.observations.statuses.values())
    line = {
        "seed": seed,
        "requests": len(soak.observations.sent_at),
        "runs": len(soak.observations.runs),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "ended_workers": sum(worker.ended_at is not None for worker in soak._all_workers),
        "configuration": soak.observations.acknowledged_version,
        "faults": dict(soak.faults),
        "broken": len(broken),
        "first": broken[:3],
    }
    print(json.dumps(line), flush=True)
    return broken


def main() -> int:
    """Play the seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--uploads", type=int, default=0)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the processes are ended too
    # The workers' server logs each request whose connection ends: that is what the faults are for.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    broken = []
    for seed in range(options.first, options.first + options.seeds):
        broken += run_seed(seed, options.seconds, options.uploads)
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
