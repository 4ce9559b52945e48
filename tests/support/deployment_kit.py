"""Deployments that a site's settings may describe, and a site on loopback that plays one of them.

`deployments()` draws settings that vary every switch of the protocol. `run_deployment()` starts the program
in this process against servers and an endpoint list of its own, sends it a short mix of jobs and checks the
outcome against the rules. test_deployments.py runs a few dozen of them, benchmarks/deployments.py as many as
it is told to.
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
from tests.support.site_kit import ToyServer, host_entry, running, wait_until

JOBS = 24
SHORT, LONG = 200, 1_200  # milliseconds that clients wait: for what hangs, for anything else
LATE = 2.0  # seconds past that at which a test on a busy machine calls an answer late
SOUND, FAULTY = ("1", "5", "20", "60"), ("1 fail", "flaky", "return", "1 lose", "1 reset", "hang")


# --- what is drawn ---


def _subset(names: tuple[str, ...]) -> st.SearchStrategy[list[str]]:
    return st.lists(st.sampled_from(names), unique=True, max_size=4)


@st.composite
def deployments(draw: Any) -> dict[str, Any]:
    """Settings as the platform's configuration has them."""
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


# --- stand-ins ---


@dataclass
class Seen:
    """One attempt, as its server saw it."""

    job: str
    server: str
    began: float
    outcome: str
    ended: float = float("inf")


class Server(ToyServer):
    """A toy server that keeps a record of attempts; a `flaky` job fails at the first server that it meets."""

    def __init__(self, name: str, seen: list[Seen], conf: dict[str, Any]) -> None:
        super().__init__(name)
        self.seen, self._conf = seen, conf

    def load(self) -> dict[str, Any]:
        words = {"outstanding": "inflight", "backlog": "queue"}
        values = super().load() | {"utilization": 0.5, "recent_ms": 20}
        return {
            words.get(name, name): values[words.get(name, name)] for name in self._conf["report"]["columns"]
        }

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            allowed = self._conf["limits"]["probes"]
            return await super()._serve(request) if allowed else web.Response(status=404)
        words = (await request.read()).decode().split()
        loop, job = asyncio.get_running_loop(), request.headers["X-Request-ID"]
        flaky = "flaky" in words and all(other.job != job for other in self.seen)
        outcome = (
            "returned" if "return" in words else "failed" if "fail" in words or flaky
            else "lost" if {"lose", "reset"} & {*words} else "done"
        )  # fmt: skip
        each = Seen(job, self.name, loop.time(), outcome)
        self.seen.append(each)
        try:
            return web.Response(status=500) if flaky else await super()._serve(request)
        finally:
            each.ended = loop.time()


@dataclass
class List:
    """Discovery: the whole list, and watches on its changes."""

    hosts: list[dict[str, Any]]
    seq: int = 1
    asked: int = 0
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
        self.asked += 1
        query = parse_qs(urlsplit(request.raw_path).query)
        if "from" in query and int(query["from"][0]) >= self.seq:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query["hold_ms"][0]) / 1e3)
        return web.Response(body=orjson.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}))

    async def close(self) -> None:
        self._listener.close()
        await self._server.shutdown(0.1)


# --- play ---


@dataclass
class Played:
    app: App
    seen: list[Seen]
    answers: dict[str, list[int]]  # statuses by job
    bodies: dict[str, bytes]
    sent: dict[str, tuple[int, str]]  # a job's class and words
    late: list[str]


@asynccontextmanager
async def site(conf: dict[str, Any]) -> AsyncIterator[tuple[App, list[Seen], List]]:
    seen: list[Seen] = []
    zones, kinds = conf["azs"], conf["machine_types"]
    servers = [Server(f"s-{number}", seen, conf) for number in range(5)]
    hosts = [
        host_entry(each.name, await each.listen(), zone=zones[n % len(zones)])
        | {"class": kinds[-1 - n % len(kinds)], "block": n % 2}
        for n, each in enumerate(servers)
    ]
    listing = List(hosts)
    whole = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": await listing.listen(), "seed": "5",
        "known": {"seq": 0, "whole": True, "hosts": [dict(each) for each in hosts]}, "settings": conf,
    }  # fmt: skip
    async with running(App(config.from_object(whole)), listing, *servers) as app:
        yield app, seen, listing


async def run_deployment(conf: dict[str, Any], seed: int, jobs: int = JOBS) -> Played:
    """A mix of jobs, most at once; half way one server drains, by the list or by hand."""
    chance = random.Random(seed)
    async with site(conf) as (app, seen, listing):
        played = Played(app, seen, defaultdict(list), {}, {}, [])
        for part in (0, 1):
            calls = [_send(played, conf, chance, number) for number in range(part, jobs, 2)]
            await asyncio.gather(*calls)
            if part == 0:
                await _drain(app, conf, listing)
                told_at = asyncio.get_running_loop().time()
        grace = conf["rules"]["drain_grace_us"] / 1e6
        late = [each for each in seen if each.server == "s-0" and each.began > told_at + grace + LATE / 4]
        assert not late, f"sent to a server that drains: {late}"
        await asyncio.wait_for(app.router.wait_idle(), 15)
    check(played, conf)
    return played


async def _drain(app: App, conf: dict[str, Any], listing: List) -> None:
    server = app.router.table.by_host("s-0")
    assert server is not None
    # A list that is pushed comes on a watch too: what discovery has counts as told, whether or not one is
    # open.
    await wait_until(lambda: listing.asked > 1)
    listing.drain("s-0")
    await wait_until(lambda: not server.accepts_work)
    if conf["membership_mode"] == "push":
        assert app.router.set_manual_drain("s-0", True), "and by hand besides"


async def _send(played: Played, conf: dict[str, Any], chance: random.Random, number: int) -> None:
    index, words = (
        chance.randrange(len(conf["lanes"])),
        chance.choice(FAULTY if chance.random() < 0.4 else SOUND),
    )
    job, lane = f"job-{number}", conf["lanes"][index]
    wait, pause = SHORT if words == "hang" else LONG, chance.random() / 5
    played.sent[job] = index, words
    head = [f"POST /{lane['name']}/{chance.randrange(4)} HTTP/1.1", "Host: x", f"X-Request-ID: {job}"]
    head += [f"X-Timeout-Ms: {wait}", "Connection: close", f"Content-Length: {len(words)}"]
    if lane["semantics"] == "idempotency_key":
        head.append(f"Idempotency-Key: {job}")
    if conf["orgs"]:
        head.append(f"X-Tenant-Id: {chance.choice(conf['orgs'])['name']}")
    await asyncio.sleep(pause)
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", played.app.client_listener.port)
    began = loop.time()
    writer.write("\r\n".join([*head, "", words]).encode())
    async with asyncio.timeout(wait / 1e3 + 10):
        answer = await reader.read()
    writer.close()
    if loop.time() - began > wait / 1e3 + LATE:
        played.late.append(job)
    # A second final answer would stand behind the first on the same connection.
    played.answers[job] += [int(part[:3]) for part in answer.decode().split("HTTP/1.1 ")[1:]]
    played.bodies[job] = answer.partition(b"\r\n\r\n")[2]


# --- the rules ---


def check(played: Played, conf: dict[str, Any]) -> None:
    """One final answer, in time, true; repeats as the class allows; attempts bounded."""
    assert not played.late
    attempts = defaultdict(list)
    for each in played.seen:
        attempts[each.job].append(each)
    hosts = {each.entry.host: each.entry for each in played.app.router.table.servers.values()}
    for job, (index, words) in played.sent.items():
        lane, tries = conf["lanes"][index], attempts[job]
        assert len(played.answers[job]) == 1, f"{job} got {played.answers[job]}"
        status = played.answers[job][0]
        if status == 200:
            made = [each.server for each in tries if each.outcome == "done"]
            assert any(played.bodies[job] == f"{name} did {job}".encode() for name in made), (
                f"{job}: invented"
            )
        else:
            assert words != "1" or status in (429, 503, 504, 502, 500), f"{job}: {status}"
        assert len(tries) <= conf["limits"]["max_attempts"], f"{job}: {tries}"
        ran = [each for each in tries if each.outcome != "returned"]
        again = [each for each in tries if ran and each.began > ran[0].began]
        if lane["semantics"] == "non_idempotent":
            assert not again, f"{job} may have run: {tries}"
        if lane["semantics"] == "idempotency_key":
            part = {"all": lambda _: 0, "zone": lambda e: e.zone, "cell": lambda e: e.cell}[lane["group"]]
            assert len({part(hosts[each.server]) for each in [*ran[:1], *again]}) <= 1, f"{job}: {tries}"
            for each in again:
                assert each.began - ran[0].began < lane["repeat_window_us"] / 1e6, f"{job}: {tries}"
            refused = status in (429, 503)
            assert not (refused and ran and lane["group"] != "all"), f"{job} may have run, and is refused"
        if lane["semantics"] == "non_idempotent" and ran:
            assert status not in (429, 503), f"{job} may have run, and is refused"
        if not conf["limits"]["may_duplicate"]:
            for before, after in itertools.pairwise(tries):
                assert after.began >= before.ended - LATE / 4, f"{job}: two attempts out at once: {tries}"


def count_by_status(played: Played) -> Counter[int]:
    return Counter(status for statuses in played.answers.values() for status in statuses)
