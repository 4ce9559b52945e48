"""Measures the cost of jobs that wait in the queue, and the effect of ageing.

    python -m benchmarks.waiting events --jobs 1000 30000 1000000
    python -m benchmarks.waiting mix --seconds 600 --plot mix.svg
    python -m benchmarks.waiting path --rate 300 --seconds 10

`events` measures the queue engine alone. `mix` sends a flood of `station-detail` jobs, with `nearby` and
`reserve` jobs and route plans beside them, over real sockets: with the engine's admission rule, without
ageing, and first come, first served. `path` measures the CPU time per ordinary job.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from benchmarks import cpu_per_job
from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.job_queue.terms import Bounds, Dependency, JobOutcome, JobRequest, JobTerms


def resident_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def measure(count: int) -> dict[str, float]:
    """Cost of submission, cancellation and start with `count` jobs that wait for a start time or a parent."""
    random_source, unlimited = random.Random(1), 10**9
    engine = JobQueueEngine(
        Bounds(max_waiting=unlimited, max_waiting_bytes=1 << 50, by_client=unlimited, max_ended_jobs=10_000)
    )
    before, wall_time = resident_mb(), 10**15

    def submit(number: int) -> None:
        after = (Dependency(str(number - 1)),) if number % 10 in (1, 2) else ()
        at = wall_time + random_source.randrange(1, 10**9) if not after else None
        terms = JobTerms(after, at)
        engine.submit(
            JobRequest((f"c{number % 100}", str(number)), number % 3, 0, 10**12, 100, terms), 0, wall_time
        )

    began = time.perf_counter()
    for number in range(count):
        submit(number)
    fill_s = time.perf_counter() - began
    row = {
        "jobs": count,
        "submit_us": 1e6 * fill_s / count,
        "bytes_a_job": (resident_mb() - before) * 2**20 / count,
    }
    sample = min(2_000, count // 2)
    began = time.perf_counter()
    for number in range(count, count + sample):
        submit(number)
    row["one_more_us"] = 1e6 * (time.perf_counter() - began) / sample
    keys = random_source.sample(list(engine.jobs), sample)
    began = time.perf_counter()
    for key in keys:
        engine.cancel(key, JobOutcome.CANCELLED, 1)
    row["cancel_us"] = 1e6 * (time.perf_counter() - began) / sample
    released, began, sample = 0, time.perf_counter(), min(sample, count // 4)
    while released < sample:
        wall_time = engine.timers.starts[0][0]
        for effect in engine.tick(1, wall_time):
            released += 1
            engine.ended(effect.key, JobOutcome.SERVED, b"", 2)
    row["due_run_end_us"] = 1e6 * (time.perf_counter() - began) / released
    return {key: round(value, 1) for key, value in row.items()}


def run_events(options: argparse.Namespace) -> None:
    """Measure each job count in a process of its own."""
    for count in options.jobs:
        pid = os.fork()
        if pid == 0:
            print(json.dumps(measure(count)), flush=True)
            os._exit(0)
        os.waitpid(pid, 0)


# --- mixed load ---

ADMISSION_RULES = {
    "by the rule": "in_service = 16\naged = 2\nordinary = true",
    "without ageing": "in_service = 16\naged = 0\nordinary = true",
    "first come, first served": "",
}


async def run_mix(seconds: float, rule: str, folder: Path) -> dict[str, object]:
    """Run a flood over HTTP, and plans over HTTP and STOMP.

    `in_time` is the share of responses within the objective of the job class.
    """

    from tests.support.site_kit import STOMP_TOML, FakeStompClient, running_app

    lanes: list[dict[str, Any]] = [
        {"name": "station-detail", "deadline_us": 3_000_000, "objective_us": 300_000,
         "semantics": "read_like"},
        {"name": "nearby", "deadline_us": 5_000_000, "objective_us": 2_000_000, "semantics": "read_like",
         "late_worth": 0.3},
        {"name": "reserve", "deadline_us": 7_500_000, "objective_us": 1_000_000, "late_worth": 0.3,
         "semantics": "idempotency_key", "group": "zone", "repeat_window_us": 12_000_000},
    ]  # fmt: skip
    text = "enabled = true\nhttp_headers = true\n"
    if rule != "first come, first served":
        text += f"[admission]\n{ADMISSION_RULES[rule]}\n"
    (folder / "waiting.toml").write_text(text)
    random_source = random.Random(7)
    waits: defaultdict[str, list[float]] = defaultdict(list)
    counts: Counter[tuple[object, str]] = Counter()
    async with running_app(folder, server_count=4, stomp=STOMP_TOML, lanes=lanes, tick_us=4_000) as (app, _):
        loop, tasks = asyncio.get_running_loop(), set()

        async def post(name: str, job_id: str, body: bytes, extra_headers: str = "") -> int:
            began = loop.time()
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            head = (
                f"POST /{name}/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: {job_id}\r\nX-Tenant-Id: ege-volt\r\n"
                f"Idempotency-Key: {job_id}\r\n{extra_headers}Connection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
            writer.close()
            counts["asked", name] += 1
            counts[int(answer.split()[1]) if answer else "none", name] += 1
            waits[name].append(loop.time() - began)
            return int(answer.split()[1]) if answer else 0

        async def plan(number: int) -> None:
            nearby_jobs = [post("nearby", f"n{number}-{index}", b"30") for index in range(3)]
            after = f"X-After: {', '.join(f'n{number}-{index}' for index in range(3))}\r\n"
            await asyncio.gather(*nearby_jobs, post("reserve", f"r{number}", b"60", after))

        stomp_client = await FakeStompClient.connect(app.stomp.port)
        stomp_client.send("SUBSCRIBE", id="a", destination="/hazelbend/answers", ack="auto")
        sent, began, number = 0, loop.time(), 0
        while loop.time() < began + seconds:
            number += 1
            # The flood comes in waves: for a third of the time it exceeds the capacity.
            rate = 320 if int(loop.time() - began) % 15 < 5 else 100
            await asyncio.sleep(random_source.expovariate(rate))
            work = (
                plan(number)
                if number % 25 == 0
                else post("station-detail", f"d{number}", b"%d" % random_source.choice([20, 40, 60, 100]))
            )
            if number % 40 == 1:
                sent += 2
                stomp_client.job(f"s{number}", b"60", "reserve", after=f"p{number};ended", key="k")
                stomp_client.job(f"p{number}", b"30", "nearby")
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        async with asyncio.timeout(20):
            while len(stomp_client.statuses_by_request()) < sent:
                await asyncio.sleep(0.05)
        engine = app.extensions["waiting"].gate.engine
        names, longest = [row["name"] for row in lanes], engine.totals.longest_wait_us
        return {
            "rule": rule,
            "jobs": sum(count for (what, _), count in counts.items() if what == "asked") + sent,
            "without_an_answer": sum(count for (what, _), count in counts.items() if what == "none"),
            "longest_wait_ms": {names[index]: wait_us // 1_000 for index, wait_us in longest.items()},
            "missed": engine.totals.missed,
            "refused_by_the_engine": engine.totals.rejected[JobOutcome.REFUSED],
            "longest_answer_ms": {name: round(1e3 * max(delays)) for name, delays in waits.items()},
            "served": {name: round(counts[200, name] / counts["asked", name], 3) for name in waits},
            "in_time": {
                row["name"]: round(
                    sum(wait_s <= row["objective_us"] / 1e6 for wait_s in waits[row["name"]])
                    / len(waits[row["name"]]), 3
                )
                for row in lanes
            },
            "waits": {name: sorted(delays) for name, delays in waits.items()},
        }  # fmt: skip


def run_mix_command(options: argparse.Namespace) -> None:
    """Run the mixed load with each admission rule, and plot the waits if a path is given."""
    import tempfile

    resource.setrlimit(resource.RLIMIT_NOFILE, (16_384, 16_384))
    rows = []
    for rule in ADMISSION_RULES:
        with tempfile.TemporaryDirectory() as folder:
            row = asyncio.run(run_mix(options.seconds, rule, Path(folder)))
            rows.append(row)
            print(json.dumps({key: value for key, value in row.items() if key != "waits"}), flush=True)
    if options.plot:
        plot_waits(rows, options.plot)


def plot_waits(rows: list[dict[str, object]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 4), sharey=True)
    for axis, name in zip(axes, ("station-detail", "nearby", "reserve"), strict=True):
        for row in rows:
            waits = row["waits"][name]  # type: ignore[index]
            points = range(0, len(waits), max(len(waits) // 200, 1))
            shown = [*(waits[at] for at in points), waits[-1]]
            axis.plot(shown, [*(at / len(waits) for at in points), 1.0], label=row["rule"])
        axis.set(title=name, xlabel="seconds until the response", xscale="log")
    axes[0].set_ylabel("share of the jobs")
    axes[-1].legend()
    figure.tight_layout()
    figure.savefig(path)


def path(options: argparse.Namespace) -> None:
    """Run the same load in turns without waiting, with it, and with admission control for all jobs."""
    texts = {
        "off": "enabled = false\n",
        "on": "enabled = true\nhttp_headers = true\n",
        "admission": "enabled = true\nhttp_headers = true\n[admission]\nin_service = 64\nordinary = true\n",
    }
    options.rates, options.servers, options.run_ms, options.patience_ms = [options.rate], 4, 5, 1_000
    for turn in range(options.rounds):
        for name, text in texts.items():
            row = cpu_per_job.run_rates(cpu_per_job.ROOT, options, {"waiting.toml": text})[0]
            shown = {key: row[key] for key in ("cpu_ms_per_job", "served", "p50_ms", "p99_ms")}
            print(json.dumps({"round": turn, "waiting": name, **shown}), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    commands = parser.add_subparsers(required=True)
    events_parser = commands.add_parser("events")
    events_parser.add_argument("--jobs", type=int, nargs="+", default=[1_000, 30_000, 1_000_000])
    events_parser.set_defaults(run=run_events)
    mix_parser = commands.add_parser("mix")
    mix_parser.add_argument("--seconds", type=float, default=600.0)
    mix_parser.add_argument("--plot")
    mix_parser.set_defaults(run=run_mix_command)
    path_parser = commands.add_parser("path")
    path_parser.add_argument("--rate", type=float, default=300.0)
    path_parser.add_argument("--seconds", type=float, default=8.0)
    path_parser.add_argument("--rounds", type=int, default=2)
    path_parser.set_defaults(run=path)
    options = parser.parse_args()
    options.run(options)
