"""How long a lease is without a holder after its holder, or the dispatcher that leads, fails: real processes.

    python -m benchmarks.fleet_gaps --kind kill-leader --times 20 --ttl 5

Three dispatchers, behind relays; a task under a lease on the first machine, another that waits for it on the
second, both writing a line every 20 ms. The gap is from the last act before the fault to the first act after
it. The last line is one JSON object: median and worst gap in milliseconds, beside the ttl.
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


def begin(machine: Machine, path: Path, ttl: float) -> subprocess.Popen[str]:
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


def one(site: LocalFleet, folder: Path, kind: str, ttl: float, number: int) -> float:
    """Milliseconds between the last act before the fault and the first that follows a gap, or a new token."""
    path = folder / f"acts-{number}"
    leader = site.leader()
    others = [each for each in site.machines if each is not leader]
    holder = begin(others[0], path, ttl)
    wait_for(lambda: len(read_acts(path)) > 5)
    waiter = begin(others[1], path, ttl)
    wait_for(lambda: waits(leader))
    token, after = read_acts(path)[-1][1], time.monotonic_ns()
    try:
        if kind.endswith("task"):
            holder.send_signal(signal.SIGKILL if kind == "kill-task" else signal.SIGTERM)
            wait_for(lambda: read_acts(path)[-1][1] > token)
        else:
            fail(site, leader, others, kind)
            time.sleep(2 * ttl)  # a lease that outlives it goes on; one that is lost has passed on by then
            wait_for(lambda: read_acts(path)[-1][0] > after + 2e9 * ttl)
    finally:
        for task in (holder, waiter):
            task.send_signal(signal.SIGTERM)
        for task in (holder, waiter):
            task.communicate(timeout=60)
        mend(site, leader, kind)
    times = [at for at, _ in read_acts(path) if at > after - 5e8]
    return max(b - a for a, b in itertools.pairwise(times)) / 1e6


def waits(machine: Machine) -> bool:
    _, said, _ = machine.run_command("lease", "list", "--json")
    return bool(said) and any(each["waiters"] for each in json.loads(said)["leases"])


def fail(site: LocalFleet, leader: Machine, others: list[Machine], kind: str) -> None:
    if kind == "kill-leader":
        leader.stop(signal.SIGKILL)
    elif kind == "term-leader":
        leader.send(signal.SIGTERM)
    elif kind == "stop-leader":
        leader.send(signal.SIGSTOP)
    else:
        pairs = {(leader.number, each.number) for each in others}
        site.partitions |= pairs | {(b, a) for a, b in pairs}


def mend(site: LocalFleet, leader: Machine, kind: str) -> None:
    site.partitions.clear()
    if kind == "stop-leader":
        leader.send(signal.SIGCONT)
    elif kind in ("kill-leader", "term-leader"):
        leader.stop(signal.SIGKILL)
        leader.start()
    seen = site.machines[leader.number - 1]
    wait_for(lambda: len(seen.view().get("voters", ())) == 3 and seen.view()["leader"])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--kind", choices=KINDS, default="kill-leader")
    parser.add_argument("--times", type=int, default=20)
    parser.add_argument("--ttl", type=float, default=5.0)
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="fleet-gaps-"))
    with LocalFleet(folder, 3, max_ttl_s=args.ttl) as site:
        site.bootstrap()
        gaps = [one(site, folder, args.kind, args.ttl, number) for number in range(args.times)]
    shutil.rmtree(folder)
    found = {"median_ms": round(statistics.median(gaps)), "worst_ms": round(max(gaps))}
    print(json.dumps(vars(args) | found))


if __name__ == "__main__":
    main()
