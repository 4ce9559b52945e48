"""A fleet of real processes, tasks under leases on each machine, and faults between them, from a seed.

    python -m benchmarks.fleet_faults --suite leases --seed 1 --processes 3 --seconds 20 [--defect NAME]

Each pair of dispatchers is joined through a relay. Faults: SIGKILL and a start without memory, SIGTERM and a
start, SIGSTOP for longer than a lease and SIGCONT, of dispatchers and of `lease run`; cuts both ways and one
way; delays. Clocks run up to 5% fast or slow. Each act of a task is stamped with the machine's one monotonic
clock, so an overlap is a fact: an act by a token after the first act by a higher one. (By the command of a
`lease run` that was itself stopped: not promised, and counted as `late_by_stopped`.) Acts are written to a
stand-in store as well, which refuses a token lower than it has seen.

Ends by itself, leaves nothing running, and prints as its last line one JSON object. Exit status 1 if anything
is broken, with each process's log kept to look at.
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
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

from benchmarks.fleet_launcher import DEFECTS
from benchmarks.fleet_rig import Machine, Site

LEASES = ("one", "two")
TTL = 3.0
EVERY = 0.9  # seconds between faults, on average

# The task: acts until its time is over; stamps are by CLOCK_MONOTONIC, which the launcher changes for nobody
# else.
ACTOR = """
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
# How `lease run` may end: served, refused by the store, no answer, not held, lost, or killed by the rig.
ENDS = {0, 3, 9, 75, 76, -signal.SIGKILL}


class Store(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Keeps what is PUT under a name, and refuses a token lower than the highest that it has seen for it."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, checks: bool = True) -> None:
        super().__init__(("127.0.0.1", 0), StoreCall)
        self.checks, self.highest = checks, dict[str, int]()
        self.refused = self.took_lower = 0
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self.serve_forever, daemon=True)
        self.thread.start()

    def put(self, name: str, token: int) -> bool:
        with self.lock:
            lower = token < self.highest.get(name, 0)
            if lower and self.checks:
                self.refused += 1
                return False
            self.took_lower += lower
            self.highest[name] = max(token, self.highest.get(name, 0))
            return True


class StoreCall(BaseHTTPRequestHandler):
    server: Store

    def do_PUT(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        taken = self.server.put(self.path, int(self.headers["X-Fencing-Token"]))
        self.send_response(204 if taken else 409)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: Any) -> None:
        pass


class Play:
    def __init__(self, seed: int, processes: int, seconds: float, defect: str, folder: Path) -> None:
        self.seed, self.seconds, self.defect = seed, seconds, defect
        self.lengths = random.Random(seed + 1)  # of tasks: their number goes by the clock, and moves no fault
        self.stopped: set[int] = set()  # `lease run`s that were stopped; their commands go on
        draw = random.Random(seed)
        rates = tuple(draw.uniform(0.95, 1.05) for _ in range(processes))
        self.site = Site(folder, processes, longest=TTL, rates=rates)
        for machine in self.site.machines:
            machine.defect = defect if defect in DEFECTS else ""
        self.path, self.folder = folder / "acts", folder
        self.store = Store(checks=defect != "no token check")
        self.tasks: dict[tuple[int, str], subprocess.Popen[str]] = {}
        self.faults: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.due: list[tuple[float, Any]] = []  # when, and what undoes a fault
        self.schedule: list[str] = []
        self.headless = self.over = False

    def run(self) -> None:
        with self.site:
            self.site.found(min(3, len(self.site.machines)))
            self.began = time.monotonic()
            end, fault, number = self.began + self.seconds, self.began + 1.0, 0
            operator = threading.Thread(target=self._operate, daemon=True)
            operator.start()
            while time.monotonic() < end:
                self._see_to_tasks()
                now = time.monotonic()
                for at, undo in [each for each in self.due if each[0] <= now]:
                    self.due.remove((at, undo))
                    undo()
                if self.headless:
                    fault = max(fault, now)  # an operator looks first whether it is only cut off, or stopped
                elif now >= fault:
                    # One generator for each, so that what one finds changes nothing of the next.
                    number += 1
                    draw = random.Random(self.seed * 10_007 + number)
                    fault += draw.expovariate(1 / EVERY)
                    self._fault(now, draw)
                time.sleep(0.02)
            self.over = True
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

    def _operate(self) -> None:
        """Start a new epoch where most voters are lost for good: nobody leads, and no fault explains it."""
        since = None
        while not self.over:
            time.sleep(0.5)
            running = [each for each in self.site.machines if each.process is not None]
            led = any(view.get("leader") for each in running if (view := each.view(timeout=3.0)))
            now = time.monotonic()
            since = None if led else since or now
            self.headless = since is not None and now > since + 2.0
            if since is not None and now > since + 8.0 and running and not self.due and not self.site.cuts:
                self.faults["new epoch"] += running[0].run("fleet", "start")[0] == 0
                since = now

    def _see_to_tasks(self) -> None:
        for machine in self.site.machines:
            for lease in LEASES:
                task = self.tasks.get((machine.number, lease))
                if task is not None and task.poll() is None:
                    continue
                if task is not None:
                    self.statuses[task.returncode] += 1
                    task.communicate()
                length = f"{self.lengths.uniform(0.3, 4.0):.2f}"
                words = ("lease", "run", lease, "--ttl", f"{TTL}s", "--wait", "20s", "--")
                actor = (
                    sys.executable,
                    "-c",
                    ACTOR,
                    str(self.path),
                    str(self.store.server_address[1]),
                    length,
                )
                self.tasks[machine.number, lease] = machine.begin(*words, *actor)

    def _fault(self, now: float, draw: random.Random) -> None:
        kind = draw.choice(("kill", "term", "stop", "stop task", "kill task", "cut", "one way", "delay"))
        machine = draw.choice(self.site.machines)
        others = [each for each in self.site.machines if each is not machine]
        self.schedule.append(f"{now - self.began:.2f} {kind} {machine.name}")
        self.faults[kind] += 1
        if kind in ("kill", "term"):
            if len([each for each in self.site.machines if each.process]) <= len(self.site.machines) // 2 + 1:
                return
            self._end(machine, signal.SIGKILL if kind == "kill" else signal.SIGTERM, draw.uniform(0.2, 2.0))
        elif kind == "stop" and machine.process is not None:
            process = machine.process
            process.send_signal(signal.SIGSTOP)
            self._later(draw.uniform(0.5, 2 * TTL), lambda: process.send_signal(signal.SIGCONT))
        elif kind in ("stop task", "kill task"):
            task = self.tasks.get((machine.number, draw.choice(LEASES)))
            if task is None or task.poll() is not None:
                return
            if kind == "kill task":
                task.kill()
            else:
                self.stopped.add(task.pid)
                task.send_signal(signal.SIGSTOP)
                self._later(draw.uniform(0.5, 2 * TTL), lambda: task.send_signal(signal.SIGCONT))
        elif kind in ("cut", "one way"):
            cut = {(machine.number, other.number) for other in others}
            cut |= {(b, a) for a, b in cut} if kind == "cut" else set()
            self.site.cuts |= cut
            self._later(draw.uniform(0.5, 2 * TTL), lambda: self.site.cuts.difference_update(cut))
        elif kind == "delay":
            self.site.delay = draw.uniform(0.02, 0.4)
            self._later(draw.uniform(0.5, 2.0), lambda: setattr(self.site, "delay", 0.0))

    def _end(self, machine: Machine, number: int, pause: float) -> None:
        process = machine.process
        assert process is not None
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        machine.process = None

        def again() -> None:
            process.wait()
            machine.start()

        self._later(pause + (4.5 if number == signal.SIGTERM else 0.0), again)

    def _later(self, delay: float, undo: Any) -> None:
        self.due.append((time.monotonic() + delay, undo))

    def result(self) -> dict[str, Any]:
        lines = self.path.read_text().splitlines() if self.path.exists() else []
        acts = sorted((int(at), name, int(token), int(by)) for at, name, token, by in map(str.split, lines))
        broken, overlaps, late, gap, grants = [], 0, 0, 0.0, set()
        for lease in LEASES:
            highest, last = 0, None
            for at, name, token, by in acts:
                if name != lease:
                    continue
                grants.add((lease, token))
                if token < highest and by in self.stopped:
                    late += 1
                elif token < highest and last is not None:
                    overlaps += 1
                    broken.append(f"{lease}: {token} acts {(at - last) / 1e9:.3f} s after {highest}")
                if token > highest and last is not None:
                    gap = max(gap, (at - last) / 1e6)
                highest, last = max(highest, token), at
        broken += [f"a task ended with {status}" for status in self.statuses if status not in ENDS]
        if self.store.took_lower:
            broken.append(f"the store took {self.store.took_lower} writes by lower tokens")
        return {
            "faults": dict(self.faults),
            "acts": len(acts),
            "overlaps": overlaps,
            "late_by_stopped": late,
            "refused_by_token": self.store.refused,
            "grants": len(grants),
            "longest_without_holder_ms": round(gap),
            "statuses": {str(status): count for status, count in self.statuses.items()},
            "broken": broken[:5],
        }


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
    play = Play(args.seed, args.processes, args.seconds, args.defect, folder)
    play.run()
    found = play.result()
    if found["broken"]:
        print("\n".join(play.schedule))
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    print(json.dumps({"seed": args.seed, "processes": args.processes} | found))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    raise SystemExit(main())
