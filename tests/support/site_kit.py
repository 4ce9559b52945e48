"""A small site on loopback for tests: the program in-process, toy servers, and fake STOMP peers.

The fakes are written from the public STOMP specification, apart from hazelbend's own codec, so that the
two cannot share a mistake; test_stomp_listener.py holds their frames against stomp.py.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

import orjson

from hazelbend.dispatcher import config
from hazelbend.dispatcher.app import App

ROOT = Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "example"))

from toy_server import ToyServer  # noqa: E402

SETTINGS: dict[str, Any] = {
    "azs": ["ankara-1", "konya-1"],
    "machine_types": ["big-box", "small-box"],
    "fleet_size": 1,
    "my_zone": 0,
    "domain": {"report_x0": "free slots", "tells_start": True, "progress_us": 1_000_000},
    "lanes": [
        {"name": "nearby", "deadline_us": 5_000_000, "objective_us": 2_000_000, "semantics": "read_like"},
        {
            "name": "reserve",
            "deadline_us": 7_500_000,
            "objective_us": 1_000_000,
            "semantics": "idempotency_key",
            "group": "zone",
            "repeat_window_us": 12_000_000,
        },
    ],
    "limits": {"cancel": True, "max_attempts": 3, "may_duplicate": False, "keepalive_us": 5_000_000},
    "membership_mode": "push",
    "orgs": [{"name": "ege-volt"}, {"name": "toros-sarj"}],
    "report": {"columns": ["outstanding", "backlog", "x0", "x1"], "via": "inline"},
    # A box that connects is cold: windows short enough for a test, long enough for a budget.
    "rules": {"fall_us": 50_000, "warm_after_us": 50_000, "start_capacity": 0.9, "fall_multiple": 100.0},
    "tick_us": 4_000,
}
SECRET = "secret"
DIGEST = sha256(SECRET.encode()).hexdigest()
STOMP = f"""
enabled = true
listen = "127.0.0.1:0"
[[client]]
login = "dashboard"
passcode_sha256 = "{DIGEST}"
[[client]]
login = "partner"
passcode_sha256 = "{DIGEST}"
tenants = ["toros-sarj"]
[[box]]
login = "box-1"
passcode_sha256 = "{DIGEST}"
zone = "ankara-1"
kind = "big-box"
"""


def host_entry(name: str, dial: str, health: str = "SERVING", zone: str = "ankara-1") -> dict[str, Any]:
    return {"host": name, "dial": dial, "site": zone, "class": "big-box", "block": 0, "health": health}


@asynccontextmanager
async def site(
    folder: Path, toys: int = 1, stomp: str = STOMP, discovery: str = "", ops: str = "", **settings: Any
) -> AsyncIterator[tuple[App, list[ToyServer]]]:
    """The program with so many toy servers; closed at once afterwards."""
    servers = [ToyServer(f"toy-{number}") for number in range(toys)]
    hosts = [host_entry(each.name, await each.listen()) for each in servers]
    if stomp:
        (folder / "stomp.toml").write_text(stomp)
    conf = {
        "name": "test",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "ops": ops,
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": SETTINGS | settings,
    }
    whole = config.with_deploy_files(config.from_object(conf), folder, conf)
    async with running(App(whole), *servers) as app:
        yield app, servers


@asynccontextmanager
async def running(app: App, *fakes: Any) -> AsyncIterator[App]:
    """The program, started; closed at once afterwards, and then the fakes of the rest of its site."""
    await app.start()
    try:
        yield app
    finally:
        await app.close()
        for each in fakes:
            await each.close()


async def wait_until(truth: Any, seconds: float = 60.0) -> None:
    """Wait for what must become true; the limit is only there to end a test that has failed."""
    async with asyncio.timeout(seconds):
        while not truth():
            await asyncio.sleep(0.005)


@dataclass
class FakeStompFrame:
    command: str
    headers: dict[str, str]
    body: bytes = b""


def write_frame(command: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    def escaped(text: str) -> str:
        return text.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r").replace(":", "\\c")

    plain = command in ("CONNECT", "STOMP")
    head = [command, *(f"{k}:{v}" if plain else f"{escaped(k)}:{escaped(v)}" for k, v in headers.items())]
    if body:
        head.append(f"content-length:{len(body)}")
    return "\n".join(head).encode() + b"\n\n" + body + b"\x00"


@dataclass
class FakeStompClient:
    """A STOMP peer: a client, or what a worker is built on."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    frames: list[FakeStompFrame] = field(default_factory=list)
    closed: bool = False
    task: asyncio.Task[None] | None = None

    @classmethod
    async def connect(cls, port: int, login: str = "dashboard", **headers: str) -> FakeStompClient:
        peer = cls(*await asyncio.open_connection("127.0.0.1", port))
        peer.task = asyncio.create_task(peer._listen())
        hello = {"accept-version": "1.1,1.2", "host": "hazelbend", "login": login, "passcode": SECRET}
        peer.send("CONNECT", **hello | {name.replace("_", "-"): value for name, value in headers.items()})
        await wait_until(lambda: peer.frames or peer.closed)
        return peer

    def send(self, command: str, body: bytes = b"", **headers: str) -> None:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.writer.write(write_frame(command, named, body))

    def job(self, request_id: str, body: bytes = b"", job_class: str = "nearby", **headers: str) -> None:
        named = {"class": job_class, "tenant": "ege-volt", "request-id": request_id} | headers
        self.send("SEND", body, destination="/hazelbend/jobs", **named)

    def of(self, command: str) -> list[FakeStompFrame]:
        return [frame for frame in self.frames if frame.command == command]

    def answers(self) -> dict[str, list[str]]:
        """The statuses that came for each request."""
        found: dict[str, list[str]] = {}
        for frame in self.of("MESSAGE"):
            found.setdefault(frame.headers["request-id"], []).append(frame.headers["status"])
        return found

    async def drop(self) -> None:
        """The connection is lost, without a word."""
        self.writer.transport.abort()
        await wait_until(lambda: self.closed)

    async def _listen(self) -> None:
        try:
            while True:
                line = b"\n"
                while line == b"\n":  # heart-beats
                    line = await self.reader.readline()
                if not line:
                    break
                headers: dict[str, str] = {}
                while (row := await self.reader.readline()) not in (b"\n", b""):
                    name, _, value = row.decode().rstrip("\n").partition(":")
                    headers[name] = value.replace("\\c", ":").replace("\\n", "\n").replace("\\\\", "\\")
                if "content-length" in headers:
                    body = (await self.reader.readexactly(int(headers["content-length"]) + 1))[:-1]
                else:
                    body = (await self.reader.readuntil(b"\x00"))[:-1]
                self.frames.append(FakeStompFrame(line.decode().strip(), headers, body))
                self.arrived(self.frames[-1])
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.closed = True

    def arrived(self, frame: FakeStompFrame) -> None: ...


@dataclass
class FakeStompWorker(FakeStompClient):
    """A partner's worker: it does with each job what the job's body says, as the toy server does."""

    started_job_ids: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)

    def arrived(self, frame: FakeStompFrame) -> None:
        if frame.command != "MESSAGE":
            return
        if frame.headers["type"] == "cancel":
            self.cancelled.append(frame.headers["request-id"])
            return
        words, job_id = frame.body.decode().split(), frame.headers["request-id"]

        def say(**fields: object) -> None:
            line = orjson.dumps({"id": job_id, "from": "box", **fields})
            news = {"message-id": frame.headers["message-id"]}
            self.send("SEND", line, destination="/hazelbend/news", **news)

        if "return" in words:
            say(state="returned")
            return
        self.started_job_ids.append(job_id)
        say(state="started")
        if "hang" not in words:
            end = "failed" if "fail" in words else "lost" if {"lose", "reset"} & {*words} else "done"
            load = {"inflight": 0, "queue": 0, "x0": 4}
            seconds = next((int(word) for word in words if word.isdecimal()), 20) / 1e3
            asyncio.get_running_loop().call_later(
                seconds, lambda: say(state=end, result=f"box did {job_id}", load=load)
            )
