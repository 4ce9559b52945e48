"""A small deployment on loopback for tests: the program in-process, toy servers and fake STOMP peers.

The fakes are written from the public STOMP specification, independently of hazelbend's own codec, so that the
two cannot share a mistake; test_stomp_listener.py compares their frames with stomp.py's.
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
    # A worker starts cold when it connects: short enough for a test, long enough for a retry budget.
    "rules": {"fall_us": 50_000, "warm_after_us": 50_000, "start_capacity": 0.9, "fall_multiple": 100.0},
    "tick_us": 4_000,
}
PASSCODE = "secret"
PASSCODE_SHA256 = sha256(PASSCODE.encode()).hexdigest()
STOMP_TOML = f"""
enabled = true
listen = "127.0.0.1:0"
[[client]]
login = "dashboard"
passcode_sha256 = "{PASSCODE_SHA256}"
[[client]]
login = "partner"
passcode_sha256 = "{PASSCODE_SHA256}"
tenants = ["toros-sarj"]
[[box]]
login = "box-1"
passcode_sha256 = "{PASSCODE_SHA256}"
zone = "ankara-1"
kind = "big-box"
"""


def host_entry(name: str, dial: str, health: str = "SERVING", zone: str = "ankara-1") -> dict[str, Any]:
    return {"host": name, "dial": dial, "site": zone, "class": "big-box", "block": 0, "health": health}


@asynccontextmanager
async def running_app(
    folder: Path,
    server_count: int = 1,
    stomp: str = STOMP_TOML,
    discovery: str = "",
    ops: str = "",
    **settings: Any,
) -> AsyncIterator[tuple[App, list[ToyServer]]]:
    """Run the program with `server_count` toy servers; close it without a drain afterwards."""
    servers = [ToyServer(f"toy-{number}") for number in range(server_count)]
    hosts = [host_entry(server.name, await server.listen()) for server in servers]
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
    configuration = config.with_deploy_files(config.from_object(conf), folder, conf)
    async with started_app(App(configuration), *servers) as app:
        yield app, servers


@asynccontextmanager
async def started_app(app: App, *fakes: Any) -> AsyncIterator[App]:
    """Start the program; close it without a drain afterwards, and then the fakes that it talks to."""
    await app.start()
    try:
        yield app
    finally:
        await app.close()
        for fake in fakes:
            await fake.close()


async def wait_until(condition: Any, seconds: float = 60.0) -> None:
    """Wait until the condition holds; the limit only ends a test that has failed."""
    async with asyncio.timeout(seconds):
        while not condition():
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
    """A STOMP client; also the base class of the fake worker."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    frames: list[FakeStompFrame] = field(default_factory=list)
    closed: bool = False
    task: asyncio.Task[None] | None = None

    @classmethod
    async def connect(cls, port: int, login: str = "dashboard", **headers: str) -> FakeStompClient:
        client = cls(*await asyncio.open_connection("127.0.0.1", port))
        client.task = asyncio.create_task(client._listen())
        connect_headers = {
            "accept-version": "1.1,1.2",
            "host": "hazelbend",
            "login": login,
            "passcode": PASSCODE,
        }
        client.send(
            "CONNECT", **connect_headers | {name.replace("_", "-"): value for name, value in headers.items()}
        )
        await wait_until(lambda: client.frames or client.closed)
        return client

    def send(self, command: str, body: bytes = b"", **headers: str) -> None:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.writer.write(write_frame(command, named, body))

    def job(self, request_id: str, body: bytes = b"", job_class: str = "nearby", **headers: str) -> None:
        named = {"class": job_class, "tenant": "ege-volt", "request-id": request_id} | headers
        self.send("SEND", body, destination="/hazelbend/jobs", **named)

    def frames_with_command(self, command: str) -> list[FakeStompFrame]:
        return [frame for frame in self.frames if frame.command == command]

    def statuses_by_request(self) -> dict[str, list[str]]:
        """Return the statuses received for each request, in order."""
        statuses: dict[str, list[str]] = {}
        for frame in self.frames_with_command("MESSAGE"):
            statuses.setdefault(frame.headers["request-id"], []).append(frame.headers["status"])
        return statuses

    async def abort_connection(self) -> None:
        """Abort the connection without a DISCONNECT frame."""
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
                self.on_frame(self.frames[-1])
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.closed = True

    def on_frame(self, frame: FakeStompFrame) -> None: ...


@dataclass
class FakeStompWorker(FakeStompClient):
    """A worker over STOMP: handles each job as the words in its body say, like the toy server."""

    ran: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)

    def on_frame(self, frame: FakeStompFrame) -> None:
        if frame.command != "MESSAGE":
            return
        if frame.headers["type"] == "cancel":
            self.cancelled.append(frame.headers["request-id"])
            return
        words, job_id = frame.body.decode().split(), frame.headers["request-id"]

        def send_update(**fields: object) -> None:
            line = orjson.dumps({"id": job_id, "from": "box", **fields})
            reference = {"message-id": frame.headers["message-id"]}
            self.send("SEND", line, destination="/hazelbend/news", **reference)

        if "return" in words:
            send_update(state="returned")
            return
        self.ran.append(job_id)
        send_update(state="started")
        if "hang" not in words:
            end = "failed" if "fail" in words else "lost" if {"lose", "reset"} & {*words} else "done"
            load = {"inflight": 0, "queue": 0, "x0": 4}
            seconds = next((int(word) for word in words if word.isdecimal()), 20) / 1e3
            asyncio.get_running_loop().call_later(
                seconds, lambda: send_update(state=end, result=f"box did {job_id}", load=load)
            )
