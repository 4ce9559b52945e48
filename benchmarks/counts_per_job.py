"""Counts what one job costs the dispatcher, compared with a bare pass-through in the same run.

    python -m benchmarks.counts_per_job --jobs 500
    python -m benchmarks.counts_per_job --jobs 200 --check benchmarks/counts.json

Counts are used because, unlike times, they are the same on a busy machine. Per job: the socket calls that
reach the kernel (`recv`, `send` and similar), the waits of the event loop on its selector, and the bytes that
the socket calls transferred. The process counts them itself: the socket class and the selector are wrapped
before the program is loaded (the kernel's `/proc/PID/io` does not count socket calls). CPU time per job is
printed as well and is not checked. Jobs are sent one after another on one keep-alive connection; one toy
server responds after 1 ms. A warm-up fills the pools first.

The bare pass-through is aiohttp's low-level server, which forwards each request by aiohttp's client and
returns the response: the minimum cost of any dispatcher on these libraries, and the baseline of issue 13.

`--check FILE` compares the counts with the ceilings in FILE and exits with status 1 if a count exceeds its
ceiling. The ceilings are 10% above the highest of three runs at the time the file was written, so that a
change that adds a system call or a copy to every job fails.
"""

from __future__ import annotations

import argparse
import ast
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.cpu_per_job import ROOT, configuration, cpu_seconds
from benchmarks.loopback_ports import free_port

COUNTS = ("socket_calls", "waits", "bytes")
COUNTING_SCRIPT = """
import os, runpy, selectors, signal, socket, sys
counts = {"socket_calls": 0, "waits": 0, "bytes": 0}

def counted(method, moved):
    def call(self, *args, **kwargs):
        counts["socket_calls"] += 1
        done = method(self, *args, **kwargs)
        counts["bytes"] += moved(done, args)
        return done
    return call

for name, moved in (
    ("recv", lambda done, args: len(done)),
    ("recv_into", lambda done, args: done),
    ("recvfrom", lambda done, args: len(done[0])),
    ("send", lambda done, args: done),
    ("sendto", lambda done, args: done),
    ("sendmsg", lambda done, args: done),
):
    setattr(socket.socket, name, counted(getattr(socket.socket, name), moved))
select = selectors.EpollSelector.select

def waited(self, timeout=None):
    counts["waits"] += 1
    return select(self, timeout)

selectors.EpollSelector.select = waited
out = sys.argv.pop(1)

def write_counts(number, frame):
    with open(out, "w") as file:
        file.write(repr(counts))

signal.signal(signal.SIGUSR1, write_counts)
if sys.argv[1:2] == ["-m"]:
    sys.argv[:] = [sys.argv[0]]
    runpy.run_module("hazelbend", run_name="__main__", alter_sys=True)
else:
    code = sys.argv.pop(1)
    exec(compile(code, "bare", "exec"), {"__name__": "__main__"})
"""
PASS_THROUGH_SCRIPT = """
import sys
import aiohttp
from aiohttp import web

async def main(listen, toy):
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)

    async def relay(request):
        body = await request.read()
        async with session.post(f"http://{toy}{request.path}", data=body, headers=request.headers) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    server = web.Server(relay, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = listen.partition(":")
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()

import asyncio
asyncio.run(main(sys.argv[-2], sys.argv[-1]))
"""


def read_counts(pid: int, out: Path) -> dict[str, int]:
    """The current counts of the process, which writes them to `out` on SIGUSR1.

    Raises:
        RuntimeError: the process did not write them within 10 s.
    """
    out.unlink(missing_ok=True)
    os.kill(pid, signal.SIGUSR1)
    end = time.monotonic() + 10
    while not out.exists() or not out.read_text():
        if time.monotonic() > end:
            raise RuntimeError(f"process {pid} did not write its counts within 10 s")
        time.sleep(0.01)
    return dict(ast.literal_eval(out.read_text()))


def wait_until_up(port: int) -> None:
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            probe = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
            probe.request("GET", "/healthz")
            probe.getresponse().read()
            probe.close()
        except OSError:
            time.sleep(0.05)
        else:
            return
    raise RuntimeError(f"no server responds on port {port}")


def run_jobs_sequentially(port: int, count: int, tag: str) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    for number in range(count):
        headers = {"X-Request-ID": f"{tag}-{number}", "X-Tenant-Id": "partner", "X-Timeout-Ms": "5000"}
        connection.request("POST", f"/nearby/{number}", "1", headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 200:
            raise RuntimeError(f"job {tag}-{number} ended with status {answer.status}")
    connection.close()


def per_job(pid: int, port: int, jobs: int, out: Path) -> dict[str, float]:
    tag = out.name
    run_jobs_sequentially(port, 50, f"{tag}-warm")
    before, cpu = read_counts(pid, out), cpu_seconds(pid)
    run_jobs_sequentially(port, jobs, tag)
    after, used = read_counts(pid, out), cpu_seconds(pid) - cpu
    row: dict[str, float] = {name: (after[name] - before[name]) / jobs for name in COUNTS}
    return row | {"cpu_ms": round(1e3 * used / jobs, 3)}


def measure(jobs: int) -> dict[str, dict[str, float]]:
    """Counts of the dispatcher and of the bare pass-through, both in front of the same toy server."""
    started: list[subprocess.Popen[bytes]] = []
    devnull = subprocess.DEVNULL
    try:
        with tempfile.TemporaryDirectory() as folder:
            toy = f"127.0.0.1:{free_port()}"
            started.append(
                subprocess.Popen([sys.executable, str(ROOT / "example/toy_server.py"), toy], stdout=devnull)
            )
            port = free_port()
            Path(folder, "config.json").write_text(json.dumps(configuration(port, [toy])))
            environment = os.environ | {
                "RELAY_CONFIG": str(Path(folder, "config.json")),
                "PYTHONPATH": str(ROOT),
            }
            environment.pop("HAZELBEND_DEPLOY", None)
            counting = [sys.executable, "-c", COUNTING_SCRIPT]
            dispatcher_out, pass_through_out = Path(folder, "dispatcher"), Path(folder, "bare")
            program = subprocess.Popen(
                [*counting, str(dispatcher_out), "-m"], env=environment, stderr=devnull
            )
            started.append(program)
            bare_port = free_port()
            pass_through_command = [
                *counting,
                str(pass_through_out),
                PASS_THROUGH_SCRIPT,
                f"127.0.0.1:{bare_port}",
                toy,
            ]
            bare = subprocess.Popen(pass_through_command, stderr=devnull)
            started.append(bare)
            for required_port in (int(toy.rpartition(":")[2]), port, bare_port):
                wait_until_up(required_port)
            return {
                "dispatcher": per_job(program.pid, port, jobs, dispatcher_out),
                "bare": per_job(bare.pid, bare_port, jobs, pass_through_out),
            }
    finally:
        for process in started:
            process.kill()
            process.wait()


def over_ceilings(measured: dict[str, float], ceilings: dict[str, float]) -> list[str]:
    return [
        f"{name} {measured[name]:.1f} > {ceilings[name]:.1f}"
        for name in COUNTS
        if measured[name] > ceilings[name]
    ]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=500)
    parser.add_argument("--check", type=Path, help="a file of ceilings; exit 1 above them")
    parser.add_argument("--write", type=Path, help="write ceilings: a tenth above the highest of three runs")
    options = parser.parse_args()
    rows = measure(options.jobs)
    print(json.dumps(rows), flush=True)
    if options.write:
        runs = [rows["dispatcher"]] + [measure(options.jobs)["dispatcher"] for _ in range(2)]
        ceilings = {name: round(max(run[name] for run in runs) * 1.1, 1) for name in COUNTS}
        options.write.write_text(json.dumps(ceilings, indent=1) + "\n")
    if options.check:
        faults = over_ceilings(rows["dispatcher"], json.loads(options.check.read_text()))
        print("\n".join(faults) or "within the ceilings")
        sys.exit(1 if faults else 0)
