"""Measures the cost of tracking SRV names, with fakes on loopback.

python -m benchmarks.srv_names refresh --names 100 1000 10000 --seconds 90
python -m benchmarks.srv_names merge --servers 100 1000 10000
python -m benchmarks.srv_names herd --dispatchers 100
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from hazelbend.decisions.interface import WorkerState
from hazelbend.dns_discovery.answers import EndpointKey, PositiveAnswer, Question, RecordType, SrvPreference
from hazelbend.dns_discovery.resolver import Query, Resolver
from hazelbend.dns_discovery.settings import SrvSettings, read_settings
from hazelbend.endpoints.merger import EndpointMerger
from hazelbend.endpoints.srv_claims import SrvClaim
from hazelbend.routing.clock import Clock
from hazelbend.routing.ports import Endpoint, EndpointList
from hazelbend.transport.dns.resolver_driver import ResolverDriver

TTL_S = 30
SOA = "@ 5 IN SOA ns host 1 3600 600 86400 5\n@ 300 IN NS ns\nns 300 IN A 127.0.0.1\n"


def make_names(count: int) -> list[str]:
    return [f"_arama._tcp.n{number}.example.org" for number in range(count)]


def make_settings(address: str, names: list[str], **budgets: float) -> SrvSettings:
    table = {
        "nameserver": [{"address": address}],
        "name": [{"name": name, "zone": "z", "kind": "k"} for name in names],
        "budgets": budgets,
    }
    return read_settings(table, ("z",), ("k",))


def start_nameserver(folder: Path, count: int) -> tuple[subprocess.Popen[str], str]:
    """Start the fake nameserver with this many names of one endpoint each; its process and address."""
    path = folder / "zone"
    rows = [
        f"_arama._tcp.n{n} {TTL_S} IN SRV 0 1 7101 box.n{n}\nbox.n{n} {TTL_S} IN A 127.0.0.1"
        for n in range(count)
    ]
    path.write_text(SOA + "\n".join(rows) + "\n")
    command = [
        sys.executable,
        "-m",
        "hazelbend.fakes.nameserver",
        str(path),
        "--listen",
        "127.0.0.1:0",
        "--count",
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    return process, process.stdout.readline().split()[-1]


def resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def measure_refreshes(address: str, names: list[str], seconds: float) -> dict[str, float]:
    """Rate, CPU and delay of refreshes for some seconds after the first round of queries."""
    spread = TTL_S * 0.9
    settings = make_settings(address, names, per_s=2_000, at_once=256, start_spread_s=spread)
    before, changed = resident_mb(), set[str]()
    resolver, clock = Resolver(settings, "bench"), Clock()
    source = ResolverDriver(resolver, clock.now, changed.update)
    resolver.track_only(names, clock.now())
    source.run_due()
    await asyncio.sleep(spread + 3)
    assert len(changed) == len(names), f"{len(changed)} of {len(names)} answered in the first round"
    resolver.counters.refresh_delays_us, queries = [], resolver.counters.queries
    used, began = time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    used, elapsed = time.process_time() - used, time.monotonic() - began
    queries = resolver.counters.queries - queries
    delays = sorted(resolver.counters.refresh_delays_us)
    await source.close()
    return {
        "names": len(names),
        "queries_per_s": round(queries / elapsed, 1),
        "lifetimes_ask_for_per_s": round(len(names) / TTL_S, 1),
        "cpu_percent": round(100 * used / elapsed, 1),
        "cpu_us_per_query": round(1e6 * used / max(queries, 1)),
        "memory_kb_per_name": round(1024 * (resident_mb() - before) / len(names), 1),
        "late_ms_p50": delays[len(delays) // 2] / 1e3,
        "late_ms_p99": delays[len(delays) * 99 // 100] / 1e3,
        "late_ms_worst": delays[-1] / 1e3,
        "unknown": resolver.counters.failures,
    }


def run_refresh(options: argparse.Namespace) -> None:
    """Measure refreshes for each number of names."""
    for count in options.names:
        pid = os.fork()  # memory is measured, so each size has a process of its own
        if pid == 0:
            with tempfile.TemporaryDirectory() as folder:
                process, address = start_nameserver(Path(folder), count)
                try:
                    print(
                        json.dumps(
                            asyncio.run(measure_refreshes(address, make_names(count), options.seconds))
                        ),
                        flush=True,
                    )
                finally:
                    process.kill()
            os._exit(0)
        os.waitpid(pid, 0)


def run_merge(options: argparse.Namespace) -> None:
    """Measure changes with half of the endpoints from the endpoint list, half from SRV names of ten each."""
    for count in options.servers:
        merger = EndpointMerger(3_600_000_000)
        half = count // 2
        entries = tuple(
            Endpoint(f"s-{n}", f"10.0.{n // 250}.{n % 250}:7101", 0, 0, 0, WorkerState.READY, 1.0, 0)
            for n in range(half)
        )
        merger.apply_list(EndpointList(entries, is_complete=True), 1)
        pools: dict[str, dict[EndpointKey, SrvClaim]] = {}
        for n in range(half):
            key = EndpointKey(f"b{n}.example.org", 7101)
            claim = SrvClaim(SrvPreference(0, 1), (f"10.1.{n // 250}.{n % 250}",), 0, 0, 0, 1.0)
            pools.setdefault(f"n{n // 10}", {})[key] = claim
        for name, claims in pools.items():
            merger.apply_srv(name, claims, 2)
        times: dict[str, list[float]] = {"name": [], "list": [], "whole": []}
        changing = list(pools.items())[:: max(len(pools) // 200, 1)]
        for turn, (name, claims) in enumerate(changing):
            fewer = dict(list(claims.items())[1:])
            began = time.perf_counter()
            merger.apply_srv(name, fewer, 3 + turn)
            merger.apply_srv(name, claims, 3 + turn)
            times["name"].append((time.perf_counter() - began) / 2)
            entry = entries[turn % half]
            began = time.perf_counter()
            for state in (WorkerState.DRAINING, WorkerState.READY):
                changed = Endpoint(entry.host, entry.dial, 0, 0, 0, state, 1.0, 0)
                merger.apply_list(EndpointList((changed,)), 3 + turn)
            times["list"].append((time.perf_counter() - began) / 2)
        for _ in range(5):
            began = time.perf_counter()
            merger.apply_list(EndpointList(entries, is_complete=True), 9)
            times["whole"].append(time.perf_counter() - began)
        row = {f"{what}_us": round(1e6 * statistics.median(seconds), 1) for what, seconds in times.items()}
        print(json.dumps({"servers": count, **row}), flush=True)


def start_together(count: int, jitter: bool, start_within_s: float, seconds: float) -> dict[str, float]:
    """Query load of dispatchers that track ten names each and start within `start_within_s` seconds.

    A response takes 1 ms. Time is virtual, as one process can't send the queries of a hundred dispatchers in
    real time.
    """
    names = make_names(10)
    settings = make_settings("127.0.0.1:53", names, start_spread_s=TTL_S / 2 if jitter else 0.0)
    events: list[tuple[int, int, Resolver, int]] = []
    event_sequence, query_times, began = itertools.count(), [], 10**15

    def run(resolver: Resolver, now: int, queries: list[Query]) -> None:
        for query in [*queries, *resolver.take_due_queries(now)]:
            query_times.append(now - began)
            heapq.heappush(events, (now + 1_000, next(event_sequence), resolver, query.id))
        if (at := resolver.next_due_at(now)) is not None:
            heapq.heappush(events, (max(at, now + 1), next(event_sequence), resolver, 0))

    for number in range(count):
        resolver, now = Resolver(settings, f"d-{number}" if jitter else "d"), began
        now += round(start_within_s * 1e6 * number / count)
        resolver.track_only(names, now)
        run(resolver, now, [])
    while events and events[0][0] < began + seconds * 1e6:
        now, _, resolver, number = heapq.heappop(events)
        queries = []
        if number:
            key = EndpointKey("box.example.org", 7101)
            beside = {Question(key.target, RecordType.A): PositiveAnswer({"127.0.0.1": None}, TTL_S)}
            queries = resolver.handle_result(
                number, PositiveAnswer({key: SrvPreference(0, 1)}, TTL_S, beside), now
            )
        run(resolver, now, queries)
    slots = [0] * (round(seconds * 10) + 1)
    for at in query_times:
        slots[at // 100_000] += 1
    return {
        "dispatchers": count,
        "start_within_s": start_within_s,
        "jitter": jitter,
        "queries": len(query_times),
        "peak_in_100_ms": max(slots),
        "peak_after_the_first_lifetime": max(slots[TTL_S * 8 :]),
    }


def run_herd(options: argparse.Namespace) -> None:
    """Measure simultaneous and staggered starts, with and without jitter."""
    for start_within_s in (0.0, 1.0):
        for jitter in (False, True):
            print(
                json.dumps(start_together(options.dispatchers, jitter, start_within_s, 8 * TTL_S)), flush=True
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    commands = parser.add_subparsers(required=True)
    refresh_parser = commands.add_parser("refresh")
    refresh_parser.add_argument("--names", type=int, nargs="+", default=[100, 1_000, 10_000])
    refresh_parser.add_argument("--seconds", type=float, default=60.0)
    refresh_parser.set_defaults(run=run_refresh)
    merge_parser = commands.add_parser("merge")
    merge_parser.add_argument("--servers", type=int, nargs="+", default=[100, 1_000, 10_000])
    merge_parser.set_defaults(run=run_merge)
    herd_parser = commands.add_parser("herd")
    herd_parser.add_argument("--dispatchers", type=int, default=100)
    herd_parser.set_defaults(run=run_herd)
    options = parser.parse_args()
    options.run(options)
