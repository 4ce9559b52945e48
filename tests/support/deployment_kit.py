"""Deployments as settings may describe them, and a runner that plays one of them on loopback.

`deployments()` draws settings that vary every switch of the protocol. `run_deployment()` starts the program
in this process against servers and an endpoint list of its own, sends it a short mix of jobs and checks the
outcome against the rules. test_deployments.py runs a few dozen of them, benchmarks/deployments.py as many as
its --examples option says.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from aiohttp import web
from hypothesis import strategies as st

from hazelbend.dispatcher import config
from hazelbend.dispatcher.app import App
from tests.support.site_kit import ToyServer, host_entry, started_app, wait_until

DEFAULT_JOB_COUNT = 24
HANGING_JOB_TIMEOUT_MS, JOB_TIMEOUT_MS = 200, 1_200
LATENESS_TOLERANCE_S = 2.0  # beyond its timeout, before an answer counts as late on a busy machine
SUCCESSFUL_SCRIPTS, FAULTY_SCRIPTS = (
    ("1", "5", "20", "60"),
    ("1 fail", "flaky", "return", "1 lose", "1 reset", "hang"),
)


# --- settings ---


def _subset(names: tuple[str, ...]) -> st.SearchStrategy[list[str]]:
    return st.lists(st.sampled_from(names), unique=True, max_size=4)


@st.composite
def deployments(draw: Any) -> dict[str, Any]:
    """Draw settings in the form of the platform's configuration."""
    zones, kinds, classes = draw(st.integers(1, 4)), draw(st.integers(1, 3)), draw(st.integers(1, 8))
    any_of = st.sampled_from
    lanes = [
        {
            "name": f"class-{number}",
            "semantics": draw(any_of(("read_like", "idempotency_key", "non_idempotent"))),
            "group": draw(any_of(("all", "zone", "cell"))),
            "repeat_window_us": draw(any_of((0, 500_000, 12_000_000))),
            "objective_us": draw(any_of((200_000, 1_000_000, 10_000_000))),
            "deadline_us": draw(any_of((5_000_000, 10_000_000))),
            "late_worth": draw(any_of((0.0, 0.5))),
            "worth": draw(any_of((1.0, 5.0, 10.0))),
        }
        for number in range(classes)
    ]
    if draw(st.booleans()):
        for lane in lanes:
            lane["aim_stretch"] = 1.75
    domain = {
        "class_kind": [draw(any_of((-1, -1, kinds - 1))) for _ in lanes],
        "class_stretch": [draw(any_of((0.0, 1.75))) for _ in lanes],
        "report_x0": draw(any_of(("free slots", "something else"))),
        "tells_start": draw(st.booleans()),
        "progress_us": draw(any_of((0, 1_000_000))),
        "queue_order": draw(any_of(("fifo", "backfill", "priority"))),
    }
    return {
        "azs": [f"zone-{number}" for number in range(zones)],
        "machine_types": [f"kind-{number}" for number in range(kinds)],
        "my_zone": draw(st.integers(0, zones - 1)),
        "fleet_size": draw(any_of((1, 4, 40))),
        "lanes": lanes,
        "orgs": [{"name": f"tenant-{n}", "quota_per_s": 5.0} for n in range(draw(st.integers(0, 3)))],
        "domain": domain if draw(st.booleans()) else {},
        "membership_mode": draw(any_of(("ask", "push"))),
        "weight_kind": draw(any_of(("off", "nominal", "rough", "live"))),
        "value_by": draw(any_of(("request", "work"))),
        "report": {
            "via": draw(any_of(("inline", "on_probe", "off"))),
            "columns": draw(_subset(("outstanding", "backlog", "utilization", "recent_ms", "x0", "x1"))),
        },
        "limits": {
            "probes": draw(st.booleans()),
            "cancel": draw(st.booleans()),
            "may_duplicate": draw(st.booleans()),
            "retry_after": draw(st.booleans()),
            "max_attempts": draw(st.integers(1, 6)),
            "keepalive_us": draw(any_of((200_000, 5_000_000))),
            "connect_timeout_us": 250_000,
        },
        "charges": {"probe": draw(any_of((0.0, 0.002, 0.1))), "cross_zone": 0.02, "handshake": 0.08},
        "rules": {
            "ask_within_us": 10_000_000, "drain_grace_us": draw(any_of((300_000, 1_000_000))),
            "fall_multiple": 4.0, "fall_us": 100_000, "start_capacity": 0.3, "warm_after_us": 9_000_000,
        },
        "tick_us": 2_000,
    }  # fmt: skip


# --- fake backends and discovery ---


@dataclass
class AttemptRecord:
    """One attempt, as recorded by its server; times in seconds of the event loop's clock."""

    job: str
    server: str
    started_at: float
    outcome: str
    ended_at: float = float("inf")


class RecordingServer(ToyServer):
    """A toy server that records its attempts; a `flaky` job fails on its first attempt and succeeds later."""

    def __init__(self, name: str, attempts: list[AttemptRecord], conf: dict[str, Any]) -> None:
        super().__init__(name)
        self.attempts, self._conf = attempts, conf

    def load(self) -> dict[str, Any]:
        load_names = {"outstanding": "inflight", "backlog": "queue"}
        values = super().load() | {"utilization": 0.5, "recent_ms": 20}
        return {
            load_names.get(name, name): values[load_names.get(name, name)]
            for name in self._conf["report"]["columns"]
        }

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            allowed = self._conf["limits"]["probes"]
            return await super()._serve(request) if allowed else web.Response(status=404)
        script = (await request.read()).decode().split()
        loop, job = asyncio.get_running_loop(), request.headers["X-Request-ID"]
        flaky = "flaky" in script and all(other.job != job for other in self.attempts)
        outcome = (
            "returned" if "return" in script else "failed" if "fail" in script or flaky
            else "lost" if {"lose", "reset"} & {*script} else "done"
        )  # fmt: skip
        attempt = AttemptRecord(job, self.name, loop.time(), outcome)
        self.attempts.append(attempt)
        try:
            return web.Response(status=500) if flaky else await super()._serve(request)
        finally:
            attempt.ended_at = loop.time()


@dataclass
class FakeDiscovery:
    """A discovery service: serves the complete list, and long polls for its changes."""

    hosts: list[dict[str, Any]]
    seq: int = 1
    request_count: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def listen(self) -> str:
        self._server = web.Server(self._serve, access_log=None)
        self._listener = await asyncio.get_running_loop().create_server(self._server, "127.0.0.1", 0)
        return "{}:{}".format(*self._listener.sockets[0].getsockname()[:2])

    def drain(self, name: str) -> None:
        next(each for each in self.hosts if each["host"] == name)["health"] = "DRAINING"
        self.seq += 1
        self.changed.set()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.request_count += 1
        query = parse_qs(urlsplit(request.raw_path).query)
        if "from" in query and int(query["from"][0]) >= self.seq:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query["hold_ms"][0]) / 1e3)
        return web.Response(body=orjson.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}))

    async def close(self) -> None:
        self._listener.close()
        await self._server.shutdown(0.1)


# --- one run ---


@dataclass
class DeploymentRun:
    app: App
    attempts: list[AttemptRecord]
    answers: dict[str, list[int]]  # statuses by job
    bodies: dict[str, bytes]
    sent: dict[str, tuple[int, str]]  # index of the job's class, and its script
    late: list[str]


@asynccontextmanager
async def running_deployment(
    conf: dict[str, Any],
) -> AsyncIterator[tuple[App, list[AttemptRecord], FakeDiscovery]]:
    attempts: list[AttemptRecord] = []
    zones, kinds = conf["azs"], conf["machine_types"]
    servers = [RecordingServer(f"s-{number}", attempts, conf) for number in range(5)]
    hosts = [
        host_entry(each.name, await each.listen(), zone=zones[n % len(zones)])
        | {"class": kinds[-1 - n % len(kinds)], "block": n % 2}
        for n, each in enumerate(servers)
    ]
    discovery = FakeDiscovery(hosts)
    whole = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": await discovery.listen(), "seed": "5",
        "known": {"seq": 0, "whole": True, "hosts": [dict(each) for each in hosts]}, "settings": conf,
    }  # fmt: skip
    async with started_app(App(config.from_object(whole)), discovery, *servers) as app:
        yield app, attempts, discovery


async def run_deployment(conf: dict[str, Any], seed: int, jobs: int = DEFAULT_JOB_COUNT) -> DeploymentRun:
    """Send a mix of jobs, half of them at once; between the halves one server drains, by list or by hand."""
    rng = random.Random(seed)
    async with running_deployment(conf) as (app, attempts, discovery):
        run = DeploymentRun(app, attempts, defaultdict(list), {}, {}, [])
        for part in (0, 1):
            calls = [_send(run, conf, rng, number) for number in range(part, jobs, 2)]
            await asyncio.gather(*calls)
            if part == 0:
                await _drain(app, conf, discovery)
                drained_at = asyncio.get_running_loop().time()
        grace = conf["rules"]["drain_grace_us"] / 1e6
        late = [
            attempt
            for attempt in attempts
            if attempt.server == "s-0" and attempt.started_at > drained_at + grace + LATENESS_TOLERANCE_S / 4
        ]
        assert not late, f"sent to a draining server: {late}"
        await asyncio.wait_for(app.router.wait_idle(), 15)
    check_rules(run, conf)
    return run


async def _drain(app: App, conf: dict[str, Any], discovery: FakeDiscovery) -> None:
    server = app.router.table.by_host("s-0")
    assert server is not None
    # A pushed list arrives on a long poll too: the dispatcher counts as informed once discovery has the
    # change, whether or not a poll is open at that moment.
    await wait_until(lambda: discovery.request_count > 1)
    discovery.drain("s-0")
    await wait_until(lambda: not server.accepts_work)
    if conf["membership_mode"] == "push":
        assert app.router.set_manual_drain("s-0", True), "the server is drained by hand as well"


async def _send(run: DeploymentRun, conf: dict[str, Any], rng: random.Random, number: int) -> None:
    index, script = (
        rng.randrange(len(conf["lanes"])),
        rng.choice(FAULTY_SCRIPTS if rng.random() < 0.4 else SUCCESSFUL_SCRIPTS),
    )
    job, lane = f"job-{number}", conf["lanes"][index]
    wait, pause = HANGING_JOB_TIMEOUT_MS if script == "hang" else JOB_TIMEOUT_MS, rng.random() / 5
    run.sent[job] = index, script
    headers = [f"POST /{lane['name']}/{rng.randrange(4)} HTTP/1.1", "Host: x", f"X-Request-ID: {job}"]
    headers += [f"X-Timeout-Ms: {wait}", "Connection: close", f"Content-Length: {len(script)}"]
    if lane["semantics"] == "idempotency_key":
        headers.append(f"Idempotency-Key: {job}")
    if conf["orgs"]:
        headers.append(f"X-Tenant-Id: {rng.choice(conf['orgs'])['name']}")
    await asyncio.sleep(pause)
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", run.app.client_listener.port)
    started_at = loop.time()
    writer.write("\r\n".join([*headers, "", script]).encode())
    async with asyncio.timeout(wait / 1e3 + 10):
        answer = await reader.read()
    writer.close()
    if loop.time() - started_at > wait / 1e3 + LATENESS_TOLERANCE_S:
        run.late.append(job)
    # A second final answer would follow the first on the same connection.
    run.answers[job] += [int(part[:3]) for part in answer.decode().split("HTTP/1.1 ")[1:]]
    run.bodies[job] = answer.partition(b"\r\n\r\n")[2]


# --- the rules ---


def check_rules(run: DeploymentRun, conf: dict[str, Any]) -> None:
    """Check each job: one final answer, in time and correct; retries only as its class allows."""
    assert not run.late
    attempts_by_job = defaultdict(list)
    for attempt in run.attempts:
        attempts_by_job[attempt.job].append(attempt)
    hosts = {server.entry.host: server.entry for server in run.app.router.table.servers.values()}
    for job, (index, script) in run.sent.items():
        lane, job_attempts = conf["lanes"][index], attempts_by_job[job]
        assert len(run.answers[job]) == 1, f"{job} got {run.answers[job]}"
        status = run.answers[job][0]
        if status == 200:
            successful_servers = [attempt.server for attempt in job_attempts if attempt.outcome == "done"]
            assert any(run.bodies[job] == f"{server} did {job}".encode() for server in successful_servers), (
                f"{job}: result of no server that ran it"
            )
        else:
            assert script != "1" or status in (429, 503, 504, 502, 500), f"{job}: {status}"
        assert len(job_attempts) <= conf["limits"]["max_attempts"], f"{job}: {job_attempts}"
        ran = [attempt for attempt in job_attempts if attempt.outcome != "returned"]
        retries = [attempt for attempt in job_attempts if ran and attempt.started_at > ran[0].started_at]
        if lane["semantics"] == "non_idempotent":
            assert not retries, f"{job} sent again, but it may have run: {job_attempts}"
        if lane["semantics"] == "idempotency_key":
            dedup_domain = {
                "all": lambda _: 0,
                "zone": lambda entry: entry.zone,
                "cell": lambda entry: entry.cell,
            }[lane["group"]]
            assert len({dedup_domain(hosts[attempt.server]) for attempt in [*ran[:1], *retries]}) <= 1, (
                f"{job}: {job_attempts}"
            )
            for attempt in retries:
                assert attempt.started_at - ran[0].started_at < lane["repeat_window_us"] / 1e6, (
                    f"{job}: {job_attempts}"
                )
            refused = status in (429, 503)
            assert not (refused and ran and lane["group"] != "all"), f"{job} refused, but it may have run"
        if lane["semantics"] == "non_idempotent" and ran:
            assert status not in (429, 503), f"{job} refused, but it may have run"
        if not conf["limits"]["may_duplicate"]:
            for before, after in itertools.pairwise(job_attempts):
                assert after.started_at >= before.ended_at - LATENESS_TOLERANCE_S / 4, (
                    f"{job}: two attempts in flight at once: {job_attempts}"
                )


def count_by_status(run: DeploymentRun) -> Counter[int]:
    return Counter(status for statuses in run.answers.values() for status in statuses)
