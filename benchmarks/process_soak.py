"""Soak of the router fleet as separate processes: workers that leave while processes fail in series.

    python -m benchmarks.process_soak --seeds 50 --seconds 30

Each seed starts three machines (a router and a control process each) on its own loopback network, with
workers of one service and clients that keep their connections until the process is gone. Workers drain or
deregister at random times, serve on, and their last heartbeat arrives late; short series of overlapping
kills, terminations, freezes and restarts follow, often right after an acknowledgement. Workers also leave
while a control process is down, and once it has started, it is sent the last heartbeat of one that has ended.
Workers also crash and start again at their addresses, reject some requests, send surplus bytes after
rejections, and break off some responses. With `--uploads`, some clients of each machine send their bodies in
two parts. Checked are:

DRAIN    no request that was sent later than `DRAIN_S` after a worker's end was acknowledged reaches it, once
         nothing was disturbed for `CONTACT_S`
TWICE    no request runs more than once
REFUSED  no request runs that was answered 408, 421, 429 or 503
ENDED    no control process that has started after a worker's end was acknowledged takes its late heartbeat
         for that of a ready worker
CONFIG   the newest acknowledged configuration, or a later one, is read back at the end

Prints one JSON line for each seed; the exit status is 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import IO

from benchmarks.soak.soak import Soak


def run_seed(seed: int, seconds: float, uploads: int, logs: str) -> list[str]:
    """Play one seed, print its line, and return the broken rules."""
    with tempfile.TemporaryDirectory() as folder, _log_file(seed, logs) as log_file:
        soak = Soak(seed, Path(folder), uploads, log_file)
        broken = asyncio.run(soak.run(seconds))
    statuses = Counter(soak.observations.statuses.values())
    line = {
        "seed": seed,
        "requests": len(soak.observations.sent_at),
        "runs": len(soak.observations.runs),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "ended_workers": sum(worker.ended_at is not None for worker in soak.workers),
        "rejections": soak.observations.rejections,
        "surplus": sum(worker.response_faults.surplus_sent for worker in soak.workers),
        "broken_responses": sum(worker.response_faults.broken for worker in soak.workers),
        "late_heartbeats": soak.observations.late_heartbeats,
        "configuration": soak.observations.acknowledged_version,
        "faults": dict(soak.faults),
        "broken": len(broken),
        "first": broken[:3],
    }
    print(json.dumps(line), flush=True)
    return broken


def _log_file(seed: int, folder: str) -> IO[bytes]:
    path = Path(os.devnull)
    if folder:
        path = Path(folder) / f"seed-{seed}.log"
        path.parent.mkdir(parents=True, exist_ok=True)
    return path.open("wb")


def main() -> int:
    """Play the seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--uploads", type=int, default=0)
    parser.add_argument("--logs", default="", help="folder for the log of all processes of each seed")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the processes are ended too
    # The workers' server logs each request whose connection ends: that is what the faults are for.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    broken = []
    for seed in range(options.first, options.first + options.seeds):
        broken += run_seed(seed, options.seconds, options.uploads, options.logs)
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
