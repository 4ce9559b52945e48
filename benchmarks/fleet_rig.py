"""A fleet of real processes of the program on loopback, each with its own settings, for tests and long runs.

Every process is ended by its own id. Times are the machine's one monotonic clock, which all its processes
share.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

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


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def wait_for(truth: Callable[[], Any], seconds: float = 60.0) -> Any:
    """Poll until it is true, and give it; the limit only ends what has failed."""
    end = time.monotonic() + seconds
    while not (found := truth()):
        if time.monotonic() > end:
            raise AssertionError("it did not happen")
        time.sleep(0.02)
    return found


class Machine:
    """One dispatcher, started again and again at the same addresses."""

    def __init__(self, folder: Path, name: str, port: int, seeds: list[int], longest: float) -> None:
        self.folder, self.name, self.port, self.clients = folder / name, name, port, free_port()
        self.address = f"127.0.0.1:{port}"
        (self.folder / "deploy").mkdir(parents=True)
        doors = json.dumps([f"127.0.0.1:{each}" for each in seeds])
        (self.folder / "deploy" / "fleet.toml").write_text(
            f'enabled = true\nid = "rig"\nlisten = "{self.address}"\nseeds = {doors}\n'
            f"[leases]\nshortest_s = 0.5\nlongest_s = {longest}\n"
        )
        conf = {"name": name, "listen": f"127.0.0.1:{self.clients}", "settings": SETTINGS}
        (self.folder / "config.json").write_text(json.dumps(conf))
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def environment(self) -> dict[str, str]:
        return os.environ | {
            "PYTHONPATH": str(ROOT),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "HAZELBEND_DEPLOY": str(self.folder / "deploy"),
        }

    def start(self) -> None:
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hazelbend"], env=self.environment, stderr=log, cwd=self.folder
            )

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(number)
            self.process.wait()
            self.process = None

    def begin(self, *words: str, **more: Any) -> subprocess.Popen[str]:
        """A command on this machine, under way."""
        command = [sys.executable, "-m", "hazelbend", *words]
        return subprocess.Popen(
            command, env=self.environment, cwd=self.folder, text=True, stdout=-1, stderr=-1, **more
        )

    def run(self, *words: str) -> tuple[int, str, str]:
        """A command to its end: status, what it says, and what it complains of."""
        with self.begin(*words) as process:
            said, complained = process.communicate(timeout=60)
        return process.returncode, said, complained

    def view(self) -> dict[str, Any]:
        """As this dispatcher sees the fleet; empty if it does not answer."""
        _, said, _ = self.run("fleet", "status", "--json")
        return json.loads(said) if said else {}


class Site:
    """Some machines of one fleet."""

    def __init__(self, folder: Path, size: int, longest: float = 2.0) -> None:
        ports = [free_port() for _ in range(size)]
        self.machines = [
            Machine(folder, f"n{number}", port, ports[:3], longest) for number, port in enumerate(ports)
        ]

    def __enter__(self) -> Site:
        for each in self.machines:
            each.start()
        return self

    def __exit__(self, *_: object) -> None:
        for each in self.machines:
            each.end()

    def found(self, voters: int = 3) -> None:
        """Start the fleet at its first machine, and wait until so many vote and leases are granted."""
        first = self.machines[0]
        wait_for(lambda: len(first.view().get("members", ())) == len(self.machines))
        status, _, complained = first.run("fleet", "start")
        assert status == 0, complained
        wait_for(lambda: len((view := first.view()).get("voters", ())) == voters and view["open"])

    def leader(self) -> Machine:
        """As most of those that answer say."""

        def known() -> Machine | None:
            views = [view for each in self.machines if each.process and (view := each.view())]
            for each in self.machines:
                told = [view for view in views if view["leader"].endswith("@" + each.address)]
                if each.process and 2 * len(told) > len(views) and any(view["fresh"] for view in told):
                    return each
            return None

        return wait_for(known)
