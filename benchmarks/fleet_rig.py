"""Runs a fleet of real dispatcher processes on loopback, each with its own settings, for tests and long runs.

Each process is stopped by its process id. Times are those of the monotonic clock that all processes share.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.loopback_ports import free_port

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "azs": ["a"],
    "machine_types": ["box"],
    "fleet_size": 3,
    "my_zone": 0,
    "domain": {"report_x0": "free slots"},
    "lanes": [
        {"name": "job", "deadline_us": 5_000_000, "objective_us": 500_000, "semantics": "read_like"},
    ],
    "limits": {"max_attempts": 3, "keepalive_us": 5_000_000, "peers": True},
    "membership_mode": "push",
    "orgs": [{"name": "one"}],
    "report": {"columns": ["outstanding", "backlog", "x0"], "via": "inline"},
    "tick_us": 4_000,
}

REPORTED_LOG_LINES = 60  # of each machine
REPORTED_VIEW_TIMEOUT_S = 10.0

# A task under a lease: writes a line for each act, with time and fencing token, until a file exists.
ACT_SCRIPT = """
import os, sys, time
while True:
    with open(sys.argv[1], "a") as file:
        print(time.clock_gettime_ns(time.CLOCK_MONOTONIC), os.environ["HAZELBEND_TOKEN"], file=file)
    if os.path.exists(sys.argv[2]):
        sys.exit(7)
    time.sleep(0.02)
"""


def read_acts(path: Path) -> list[tuple[int, int]]:
    """Times in nanoseconds and fencing tokens that tasks wrote; an incomplete line is skipped."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [(int(at), int(token)) for at, token in (line.split() for line in lines if line.count(" ") == 1)]


def wait_for(
    condition: Callable[[], Any], seconds: float = 60.0, describe: Callable[[], str] = lambda: ""
) -> Any:
    """Poll until the condition is true, and return its value.

    `describe` returns the state that goes into the error.

    Raises:
        AssertionError: the condition was not true within the timeout.
    """
    started = time.monotonic()
    polls = 0
    while not (found := condition()):
        polls += 1
        if time.monotonic() > started + seconds:
            raise AssertionError(
                f"the condition did not become true in {seconds} s and {polls} polls\n{describe()}"
            )
        time.sleep(0.02)
    return found


class Machine:
    """One dispatcher, which keeps its addresses across restarts.

    Each machine has a host of its own, 127.0.0.x, by which a relay identifies the source of a connection.
    `rate` and `defect` are passed to the launcher.
    """

    def __init__(
        self,
        folder: Path,
        number: int,
        advertised: list[str],
        max_ttl_s: float,
        rate: float = 1.0,
        store: bool = False,
    ) -> None:
        self.number, self.name, self.host = number, f"n{number}", f"127.0.0.{number + 2}"
        self.folder, self.rate, self.defect = folder / self.name, rate, ""
        self.port, self.client_port, self.address = free_port(self.host), free_port(), advertised[number]
        (self.folder / "deploy").mkdir(parents=True)
        (self.folder / "deploy" / "fleet.toml").write_text(
            f'enabled = true\nid = "rig"\nlisten = "{self.host}:{self.port}"\n'
            f'advertise = "{self.address}"\nseeds = {json.dumps(advertised[:3])}\n'
            + (f'store = "{self.folder / "store"}"\n' if store else "")
            + f"[leases]\nshortest_s = 0.5\nlongest_s = {max_ttl_s}\n"
        )
        self.ops_address = f"127.0.0.1:{free_port()}"
        conf = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.client_port}",
            "settings": SETTINGS,
            "ops": self.ops_address,
        }
        (self.folder / "config.json").write_text(json.dumps(conf))
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def command(self) -> list[str]:
        if self.rate == 1.0 and not self.defect:
            return [sys.executable, "-m", "hazelbend"]
        return [sys.executable, "-m", "benchmarks.fleet_launcher", str(self.rate), self.defect]

    @property
    def environment(self) -> dict[str, str]:
        return os.environ | {
            "PYTHONPATH": str(ROOT),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "HAZELBEND_DEPLOY": str(self.folder / "deploy"),
        }

    def start(self) -> None:
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(self.command, env=self.environment, stderr=log, cwd=self.folder)

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self, number: int = signal.SIGKILL) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(number)
            self.process.wait()
            self.process = None

    def start_command(self, *words: str, **options: Any) -> subprocess.Popen[str]:
        """Start a command on this machine; the running process."""
        return subprocess.Popen(
            [*self.command, *words],
            env=self.environment,
            cwd=self.folder,
            text=True,
            stdout=-1,
            stderr=-1,
            **options,
        )

    def run_command(self, *words: str, timeout: float = 60.0) -> tuple[int, str, str]:
        """Run a command to its end: exit status, standard output and standard error."""
        with self.start_command(*words) as process:
            try:
                output, errors = process.communicate(timeout=timeout)
            except subprocess.TimeoutExpired:
                process.kill()
                raise
        return process.returncode, output, errors

    def describe(self) -> str:
        """Process state, view of the fleet and end of the log, for the error of a failing test."""
        state = "not started" if self.process is None else f"exit status {self.process.poll()}"
        log = self.folder / "log"
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        return "\n".join(
            [
                f"--- {self.name} at {self.host}:{self.port}, advertised as {self.address}: {state}",
                json.dumps(self.view(REPORTED_VIEW_TIMEOUT_S)),
                *lines[-REPORTED_LOG_LINES:],
            ]
        )

    def view(self, timeout: float = 60.0) -> dict[str, Any]:
        """The fleet status that this dispatcher returns; empty if it does not answer."""
        try:
            _, output, _ = self.run_command("fleet", "status", "--json", timeout=timeout)
        except subprocess.TimeoutExpired:
            return {}
        return json.loads(output) if output else {}


class Relay:
    """Listens at a machine's advertised address and forwards bytes, subject to the fleet's network faults."""

    def __init__(self, fleet: LocalFleet, target: int, listening_socket: socket.socket) -> None:
        self.fleet, self.target, self.listening_socket = fleet, target, listening_socket
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, sock=self.listening_socket)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = int(writer.get_extra_info("peername")[0].rpartition(".")[2]) - 2
        machine = self.fleet.machines[self.target]
        try:
            far_reader, far_writer = await asyncio.open_connection(machine.host, machine.port)
        except OSError:
            writer.close()
            return
        directions = (
            self._forward(source, self.target, reader, far_writer),
            self._forward(self.target, source, far_reader, writer),
        )
        tasks = [asyncio.create_task(direction) for direction in directions]
        with contextlib.suppress(asyncio.CancelledError):  # the fleet is shut down
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for end in (writer, far_writer):
            end.close()

    async def _forward(
        self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one direction. Bytes wait while it is partitioned, as TCP retransmits them."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if delay := self.fleet.delay:
                    await asyncio.sleep(delay)
                while (source, target) in self.fleet.partitions:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()


class LocalFleet:
    """Machines of one fleet; a relay forwards the connections between each pair of them."""

    def __init__(
        self,
        folder: Path,
        size: int,
        max_ttl_s: float = 2.0,
        rates: tuple[float, ...] = (),
        store: bool = False,
    ) -> None:
        listening_sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(size)]
        advertised = [
            f"127.0.0.1:{listening_socket.getsockname()[1]}" for listening_socket in listening_sockets
        ]
        self.machines = [
            Machine(folder, number, advertised, max_ttl_s, rates[number] if rates else 1.0, store)
            for number in range(size)
        ]
        self.partitions: set[tuple[int, int]] = set()  # source and target of each blocked direction
        self.delay = 0.0
        self._relays = [
            Relay(self, number, listening_socket) for number, listening_socket in enumerate(listening_sockets)
        ]
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> LocalFleet:
        self._thread.start()
        for relay in self._relays:
            asyncio.run_coroutine_threadsafe(relay.start(), self._loop).result(10)
        for machine in self.machines:
            machine.start()
        return self

    def __exit__(self, *_: object) -> None:
        for machine in self.machines:
            machine.stop()
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def describe(self) -> str:
        """Network faults, and views and logs of all machines."""
        faults = f"partitions {sorted(self.partitions)}, delay {self.delay} s"
        return "\n".join([faults, *(machine.describe() for machine in self.machines)])

    def wait_for(self, condition: Callable[[], Any], seconds: float = 60.0) -> Any:
        """Like the function `wait_for`; the error contains the views and logs of all machines."""
        return wait_for(condition, seconds, self.describe)

    def bootstrap(self, voters: int = 3, wait_until_open: bool = True) -> None:
        """Start the fleet at its first machine, and wait until it has this many voters.

        With `wait_until_open`, wait until leases can be granted as well.
        """
        first = self.machines[0]
        self.wait_for(lambda: len(first.view().get("members", ())) == len(self.machines))
        status, _, errors = first.run_command("fleet", "start")
        assert status == 0, errors
        self.wait_for(
            lambda: (
                len((view := first.view()).get("voters", ())) == voters and view["open"] >= wait_until_open
            )
        )

    def leader(self) -> Machine:
        """Wait for the leader that a majority of the answering machines report."""

        def reported_leader() -> Machine | None:
            views = [view for machine in self.machines if machine.process and (view := machine.view())]
            for machine in self.machines:
                claims = [view for view in views if view["leader"].endswith("@" + machine.address)]
                if machine.process and 2 * len(claims) > len(views) and any(view["fresh"] for view in claims):
                    return machine
            return None

        leader: Machine = self.wait_for(reported_leader)
        return leader
