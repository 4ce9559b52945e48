"""Injects seeded faults into a fleet of real processes that run tasks under leases on each machine.

    python -m benchmarks.fleet_faults --suite leases --seed 1 --processes 3 --seconds 20 [--defect NAME]

A relay forwards the connections between each pair of dispatchers. Faults: SIGKILL and a restart without
persistent state, SIGTERM and a restart, SIGSTOP for up to twice the lease TTL and SIGCONT, of dispatchers and
of `lease run`; partitions in both directions and in one; delays. Clocks run up to 5% fast or slow. Each act
of a task is stamped with the monotonic clock that all processes share, so that overlaps are exact: an overlap
is an act with a token after the first act with a higher one. An act by the command of a `lease run` that was
itself stopped is outside the guarantee and is counted as `late_by_stopped`. Acts are also written to a fake
store, which rejects a token lower than the highest that it has seen.

The program ends by itself, leaves no process running, and prints one JSON object as its last line. If an
invariant is violated, the exit status is 1 and the log of each process is kept.
"""

from __future__ import annotations

import argparse
import json
import random
import shutil
import signal
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.fleet_launcher import DEFECTS
from benchmarks.fleet_rig import LocalFleet, Machine

LEASE_NAMES = ("one", "two")
TTL_S = 3.0
MEAN_FAULT_INTERVAL_S = 0.9

# The task: acts until its duration is over. It reads CLOCK_MONOTONIC, which the launcher does not change.
ACTOR_SCRIPT = """
import http.client, os, sys, time
lease, token = os.environ["HAZELBEND_LEASE"], os.environ["HAZELBEND_TOKEN"]
path, store, end = sys.argv[1], int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
while time.monotonic() < end:
    with open(path, "a") as file:
        file.write(f"{time.clock_gettime_ns(time.CLOCK_MONOTONIC)} {lease} {token} {os.getppid()}\\n")
    connection = http.client.HTTPConnection("127.0.0.1", store, timeout=5)
    connection.request("PUT", "/" + lease, "x", {"X-Fencing-Token": token})
    if connection.getresponse().status == 409:
        sys.exit(9)
    connection.close()
    time.sleep(0.03)
"""
# Exit statuses of `lease run`: done, rejected by the store, no answer, not held, lost, or killed by this run.
EXPECTED_STATUSES = {0, 3, 9, 75, 76, -signal.SIGKILL}


class FakeStore(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Accepts PUT requests, and rejects a token lower than the highest that it has seen for the path.

    Without `checks_tokens` it accepts lower tokens as well and counts them.
    """

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, checks_tokens: bool = True) -> None:
        super().__init__(("127.0.0.1", 0), FakeStoreHandler)
        self.checks_tokens, self.highest = checks_tokens, dict[str, int]()
        self.rejected = self.accepted_stale_writes = 0
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self.serve_forever, daemon=True)
        self.thread.start()

    def put(self, name: str, token: int) -> bool:
        with self.lock:
            lower = token < self.highest.get(name, 0)
            if lower and self.checks_tokens:
                self.rejected += 1
                return False
            self.accepted_stale_writes += lower
            self.highest[name] = max(token, self.highest.get(name, 0))
            return True


class FakeStoreHandler(BaseHTTPRequestHandler):
    server: FakeStore

    def do_PUT(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        accepted = self.server.put(self.path, int(self.headers["X-Fencing-Token"]))
        self.send_response(204 if accepted else 409)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: Any) -> None:
        pass


class Act(NamedTuple):
    """One act of a task, with the process id of its `lease run`."""

    at_ns: int
    lease: str
    token: int
    lease_run_pid: int


@dataclass
class CheckedActs:
    """Overlaps and gaps in the acts of one lease."""

    broken: list[str] = field(default_factory=list)  # overlaps
    late_by_stopped: int = 0
    longest_gap_ms: float = 0.0


class FaultRun:
    """One seeded run: a fleet, its tasks, and the faults injected into both."""

    def __init__(self, seed: int, processes: int, seconds: float, defect: str, folder: Path) -> None:
        self.seed, self.seconds, self.defect = seed, seconds, defect
        # Durations of tasks: the number of draws depends on the clock and must not change the faults.
        self.duration_random = random.Random(seed + 1)
        self.stopped_pids: set[int] = (
            set()
        )  # of `lease run` processes that were stopped; their commands go on
        rate_random = random.Random(seed)
        rates = tuple(rate_random.uniform(0.95, 1.05) for _ in range(processes))
        self.fleet = LocalFleet(folder, processes, max_ttl_s=TTL_S, rates=rates)
        for machine in self.fleet.machines:
            machine.defect = defect if defect in DEFECTS else ""
        self.path, self.folder = folder / "acts", folder
        self.store = FakeStore(checks_tokens=defect != "no token check")
        self.tasks: dict[tuple[int, str], subprocess.Popen[str]] = {}
        self.faults: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.pending_undos: list[tuple[float, Any]] = []  # time, and the call that undoes a fault
        self.schedule: list[str] = []
        self.leaderless = False
        self.stopping = False

    def run(self) -> None:
        with self.fleet:
            self.fleet.bootstrap(min(3, len(self.fleet.machines)))
            self.began = time.monotonic()
            end, fault, number = self.began + self.seconds, self.began + 1.0, 0
            operator = threading.Thread(target=self._run_operator, daemon=True)
            operator.start()
            while time.monotonic() < end:
                self._restart_tasks()
                now = time.monotonic()
                for at, undo in [pending for pending in self.pending_undos if pending[0] <= now]:
                    self.pending_undos.remove((at, undo))
                    undo()
                if self.leaderless:
                    fault = max(fault, now)  # no new fault while the operator rules out a fault as the cause
                elif now >= fault:
                    # One generator for each fault, so that the state it finds does not change later faults.
                    number += 1
                    fault_random = random.Random(self.seed * 10_007 + number)
                    fault += fault_random.expovariate(1 / MEAN_FAULT_INTERVAL_S)
                    self._fault(now, fault_random)
                time.sleep(0.02)
            self.stopping = True
            operator.join(60)
            for task in self.tasks.values():
                task.send_signal(signal.SIGCONT)
                task.send_signal(signal.SIGTERM)
            for task in self.tasks.values():
                try:
                    task.communicate(timeout=20)
                except subprocess.TimeoutExpired:
                    task.kill()
                    task.communicate()
        self.store.shutdown()
        self.store.server_close()

    def _run_operator(self) -> None:
        """Start a new epoch if most voters are permanently lost: no leader, and no fault is the cause."""
        since = None
        while not self.stopping:
            time.sleep(0.5)
            running = [machine for machine in self.fleet.machines if machine.process is not None]
            has_leader = any(view.get("leader") for machine in running if (view := machine.view(timeout=3.0)))
            now = time.monotonic()
            since = None if has_leader else since or now
            self.leaderless = since is not None and now > since + 2.0
            if (
                since is not None
                and now > since + 8.0
                and running
                and not self.pending_undos
                and not self.fleet.partitions
            ):
                self.faults["new epoch"] += running[0].run_command("fleet", "start")[0] == 0
                since = now

    def _restart_tasks(self) -> None:
        for machine in self.fleet.machines:
            for lease in LEASE_NAMES:
                task = self.tasks.get((machine.number, lease))
                if task is not None and task.poll() is None:
                    continue
                if task is not None:
                    self.statuses[task.returncode] += 1
                    task.communicate()
                length = f"{self.duration_random.uniform(0.3, 4.0):.2f}"
                words = ("lease", "run", lease, "--ttl", f"{TTL_S}s", "--wait", "20s", "--")
                actor = (
                    sys.executable,
                    "-c",
                    ACTOR_SCRIPT,
                    str(self.path),
                    str(self.store.server_address[1]),
                    length,
                )
                self.tasks[machine.number, lease] = machine.start_command(*words, *actor)

    def _fault(self, now: float, fault_random: random.Random) -> None:
        kind = fault_random.choice(
            ("kill", "term", "stop", "stop task", "kill task", "cut", "one way", "delay")
        )
        machine = fault_random.choice(self.fleet.machines)
        others = [other for other in self.fleet.machines if other is not machine]
        self.schedule.append(f"{now - self.began:.2f} {kind} {machine.name}")
        self.faults[kind] += 1
        if kind in ("kill", "term"):
            if (
                len([running for running in self.fleet.machines if running.process])
                <= len(self.fleet.machines) // 2 + 1
            ):
                return
            self._stop_machine(
                machine, signal.SIGKILL if kind == "kill" else signal.SIGTERM, fault_random.uniform(0.2, 2.0)
            )
        elif kind == "stop" and machine.process is not None:
            process = machine.process
            process.send_signal(signal.SIGSTOP)
            self._undo_later(
                fault_random.uniform(0.5, 2 * TTL_S), lambda: process.send_signal(signal.SIGCONT)
            )
        elif kind in ("stop task", "kill task"):
            task = self.tasks.get((machine.number, fault_random.choice(LEASE_NAMES)))
            if task is None or task.poll() is not None:
                return
            if kind == "kill task":
                task.kill()
            else:
                self.stopped_pids.add(task.pid)
                task.send_signal(signal.SIGSTOP)
                self._undo_later(
                    fault_random.uniform(0.5, 2 * TTL_S), lambda: task.send_signal(signal.SIGCONT)
                )
        elif kind in ("cut", "one way"):
            cut_links = {(machine.number, other.number) for other in others}
            cut_links |= {(b, a) for a, b in cut_links} if kind == "cut" else set()
            self.fleet.partitions |= cut_links
            self._undo_later(
                fault_random.uniform(0.5, 2 * TTL_S),
                lambda: self.fleet.partitions.difference_update(cut_links),
            )
        elif kind == "delay":
            self.fleet.delay = fault_random.uniform(0.02, 0.4)
            self._undo_later(fault_random.uniform(0.5, 2.0), lambda: setattr(self.fleet, "delay", 0.0))

    def _stop_machine(self, machine: Machine, number: int, pause: float) -> None:
        process = machine.process
        assert process is not None
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        machine.process = None

        def restart() -> None:
            process.wait()
            machine.start()

        self._undo_later(pause + (4.5 if number == signal.SIGTERM else 0.0), restart)

    def _undo_later(self, delay: float, undo: Any) -> None:
        self.pending_undos.append((time.monotonic() + delay, undo))

    def result(self) -> dict[str, Any]:
        acts = self._read_acts()
        by_lease = [self._check_acts([act for act in acts if act.lease == lease]) for lease in LEASE_NAMES]
        broken = [text for checked in by_lease for text in checked.broken]
        unexpected = [status for status in self.statuses if status not in EXPECTED_STATUSES]
        broken += [f"a task ended with exit status {status}" for status in unexpected]
        if self.store.accepted_stale_writes:
            broken.append(f"the store accepted {self.store.accepted_stale_writes} writes with lower tokens")
        return {
            "faults": dict(self.faults),
            "acts": len(acts),
            "overlaps": sum(len(checked.broken) for checked in by_lease),
            "late_by_stopped": sum(checked.late_by_stopped for checked in by_lease),
            "refused_by_token": self.store.rejected,
            "grants": len({(act.lease, act.token) for act in acts}),
            "longest_without_holder_ms": round(max(checked.longest_gap_ms for checked in by_lease)),
            "statuses": {str(status): count for status, count in self.statuses.items()},
            "broken": broken[:5],
        }

    def _read_acts(self) -> list[Act]:
        lines = self.path.read_text().splitlines() if self.path.exists() else []
        fields = [line.split() for line in lines]
        return sorted(
            Act(int(at_ns), lease, int(token), int(lease_run_pid))
            for at_ns, lease, token, lease_run_pid in fields
        )

    def _check_acts(self, acts: list[Act]) -> CheckedActs:
        """Check the acts of one lease in time order; a lower token after a higher one is an overlap."""
        checked = CheckedActs()
        highest = 0
        last: Act | None = None
        for act in acts:
            if act.token < highest and act.lease_run_pid in self.stopped_pids:
                checked.late_by_stopped += 1
            elif act.token < highest and last is not None:
                late_s = (act.at_ns - last.at_ns) / 1e9
                checked.broken.append(
                    f"{act.lease}: token {act.token} acts {late_s:.3f} s after token {highest}"
                )
            if act.token > highest and last is not None:
                checked.longest_gap_ms = max(checked.longest_gap_ms, (act.at_ns - last.at_ns) / 1e6)
            highest = max(highest, act.token)
            last = act
        return checked


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--suite", choices=("leases",), default="leases")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--defect", choices=("", "no token check", *DEFECTS), default="")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="fleet-faults-"))
    fault_run = FaultRun(args.seed, args.processes, args.seconds, args.defect, folder)
    fault_run.run()
    found = fault_run.result()
    if found["broken"]:
        print("\n".join(fault_run.schedule))
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    print(json.dumps({"seed": args.seed, "processes": args.processes} | found))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    raise SystemExit(main())
