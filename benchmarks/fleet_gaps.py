"""Measures how long a lease has no holder after its holder or the leading dispatcher fails.

    python -m benchmarks.fleet_gaps --kind kill-leader --times 20 --ttl 5

Three real dispatchers behind relays. One machine runs a task under a lease, another machine a task that waits
for the lease; each holder writes a line every 20 ms. The gap lasts from the last act before the fault to the
first act after it. The last line is one JSON object with the options and the median and worst gap in
milliseconds.
"""

from __future__ import annotations

import argparse
import itertools
import json
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.fleet_rig import ACT_SCRIPT, LocalFleet, Machine, read_acts, wait_for

KINDS = ("kill-task", "term-task", "kill-leader", "stop-leader", "cut-leader", "term-leader")


def start_task(machine: Machine, path: Path, ttl: float) -> subprocess.Popen[str]:
    words = (
        "lease",
        "run",
        "gap",
        "--ttl",
        f"{ttl}s",
        "--wait",
        "10m",
        "--",
        sys.executable,
        "-c",
        ACT_SCRIPT,
    )
    return machine.start_command(*words, str(path), "/none")


def measure_gap(fleet: LocalFleet, folder: Path, kind: str, ttl: float, number: int) -> float:
    """Inject one fault; the longest gap between acts around it in milliseconds."""
    path = folder / f"acts-{number}"
    leader = fleet.leader()
    others = [machine for machine in fleet.machines if machine is not leader]
    holder = start_task(others[0], path, ttl)
    wait_for(lambda: len(read_acts(path)) > 5)
    waiter = start_task(others[1], path, ttl)
    wait_for(lambda: has_waiter(leader))
    token, after = read_acts(path)[-1][1], time.monotonic_ns()
    try:
        if kind.endswith("task"):
            holder.send_signal(signal.SIGKILL if kind == "kill-task" else signal.SIGTERM)
            wait_for(lambda: read_acts(path)[-1][1] > token)
        else:
            inject_fault(fleet, leader, others, kind)
            time.sleep(2 * ttl)  # by then the lease has survived the fault or has a new holder
            wait_for(lambda: read_acts(path)[-1][0] > after + 2e9 * ttl)
    finally:
        for task in (holder, waiter):
            task.send_signal(signal.SIGTERM)
        for task in (holder, waiter):
            task.communicate(timeout=60)
        repair_fault(fleet, leader, kind)
    times = [at for at, _ in read_acts(path) if at > after - 5e8]
    return max(b - a for a, b in itertools.pairwise(times)) / 1e6


def has_waiter(machine: Machine) -> bool:
    _, output, _ = machine.run_command("lease", "list", "--json")
    return bool(output) and any(lease["waiters"] for lease in json.loads(output)["leases"])


def inject_fault(fleet: LocalFleet, leader: Machine, others: list[Machine], kind: str) -> None:
    if kind == "kill-leader":
        leader.stop(signal.SIGKILL)
    elif kind == "term-leader":
        leader.send(signal.SIGTERM)
    elif kind == "stop-leader":
        leader.send(signal.SIGSTOP)
    else:
        pairs = {(leader.number, other.number) for other in others}
        fleet.partitions |= pairs | {(b, a) for a, b in pairs}


def repair_fault(fleet: LocalFleet, leader: Machine, kind: str) -> None:
    fleet.partitions.clear()
    if kind == "stop-leader":
        leader.send(signal.SIGCONT)
    elif kind in ("kill-leader", "term-leader"):
        leader.stop(signal.SIGKILL)
        leader.start()
    observer = fleet.machines[leader.number - 1]
    wait_for(lambda: len(observer.view().get("voters", ())) == 3 and observer.view()["leader"])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--kind", choices=KINDS, default="kill-leader")
    parser.add_argument("--times", type=int, default=20)
    parser.add_argument("--ttl", type=float, default=5.0)
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="fleet-gaps-"))
    with LocalFleet(folder, 3, max_ttl_s=args.ttl) as fleet:
        fleet.bootstrap()
        gaps = [measure_gap(fleet, folder, args.kind, args.ttl, number) for number in range(args.times)]
    shutil.rmtree(folder)
    found = {"median_ms": round(statistics.median(gaps)), "worst_ms": round(max(gaps))}
    print(json.dumps(vars(args) | found))


if __name__ == "__main__":
    main()
