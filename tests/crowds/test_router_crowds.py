"""Crowds of clients that don't behave at the ports of a router process, on loopback, with lowered limits."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest

from example.fleet.run import CONFIGURATION, FIRST_WORKER_PORT, HTTP_PORT, READINESS_PORT, ExampleFleet
from hazelbend.fakes.model_worker import FakeModelWorkerSettings
from tests.support import crowd_inputs as inputs
from tests.support.crowd_kit import Crowd, Input, ProcessWatch, eventually

pytestmark = [pytest.mark.anyio, pytest.mark.crowd]

NETWORK = "127.0.71"
MEMORY_MB = 160
MAX_DESCRIPTORS = 1_000
MB = 1_000_000
MAX_BODY_BYTES = 4 * 1024 * 1024
FILE_BYTES = 1_000_000  # of an answer of the service `files`
FILE_ROUTE = {
    "name": "file",
    "host": "example.test",
    "prefix": "/file/",
    "kind": "safe",
    "timeoutMs": 5000,
    "targetMs": 500,
    "backend": "files",
    "retries": 0,
}
ENDLESS_ROUTES = [
    FILE_ROUTE | {"name": "endless", "prefix": "/endless/", "backend": "endless"},
    FILE_ROUTE | {"name": "stream", "prefix": "/stream/", "backend": "endless", "kind": "stream"},
]
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
CONFIG = CONFIGURATION | {
    "routes": [*CONFIGURATION["routes"], FILE_ROUTE, *ENDLESS_ROUTES],
    "services": [*CONFIGURATION["services"], {"name": "files"}, {"name": "endless"}],
    "limits": LIMITS,
}


def head(path: str, request_id: str) -> bytes:
    """The head of a proper request, without its final empty line."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: example.test\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 5000\r\n"
        "Token-Usage: 100,10\r\nPrefix-Hash: aa01:100\r\n"
    ).encode()


def whole_bodies(members: int) -> list[Input]:
    return [inputs.body(head("/chat/1", f"w{number}"), MAX_BODY_BYTES, 0) for number in range(members)]


def pipelined(members: int, requests: int) -> list[Input]:
    """Whole small requests on each connection, whose answers of 1 MB nobody reads."""
    ids = [f"p{member}-{number}" for member in range(members) for number in range(requests)]
    each = [head("/file/1", request_id) + b"Content-Length: 0\r\n\r\n" for request_id in ids]
    return [Input(b"".join(each[start : start + requests])) for start in range(0, len(each), requests)]


def requests_for(path: str, members: int) -> list[Input]:
    """One whole small request on each connection, whose answer nobody reads."""
    return [Input(head(path, f"{path}{number}") + b"Content-Length: 0\r\n\r\n") for number in range(members)]


def pipelined_heads(members: int, requests: int) -> list[Input]:
    """As `pipelined`, with heads of many fields."""
    fields = b"".join(b"f%03d: 123456789\r\n" % each for each in range(900))
    ids = [f"h{member}-{number}" for member in range(members) for number in range(requests)]
    each = [head("/file/1", request_id) + fields + b"\r\n" for request_id in ids]
    return [Input(b"".join(each[start : start + requests])) for start in range(0, len(each), requests)]


SMALL_REQUEST = head("/chat/1", "small") + b"Content-Length: 1\r\n\r\nx"
BODY_HEAD = head("/chat/1", "body")
CROWDS = {
    "bodies_short_of_their_end": (60, [inputs.body(BODY_HEAD, MAX_BODY_BYTES)]),
    "bodies_piece_by_piece": (
        60,
        [inputs.body(BODY_HEAD, MAX_BODY_BYTES, piece_size=inputs.SMALL_PIECE)],
    ),
    "whole_bodies": (60, whole_bodies(60)),
    "one_large_chunk": (60, [inputs.one_chunk(BODY_HEAD, MAX_BODY_BYTES)]),
    "chunks_of_one_byte": (200, [inputs.small_chunks(BODY_HEAD, 4 * MB)]),
    "a_field_without_end": (300, [inputs.endless_field(BODY_HEAD, 4 * MB)]),
    "fields_without_end": (400, [inputs.endless_fields(BODY_HEAD, 4 * MB)]),
    "heads_of_many_fields": (
        400,
        [inputs.body(BODY_HEAD + b"".join(b"f%03d: 123456789\r\n" % each for each in range(900)), 1_000)],
    ),
    "empty_lines_without_end": (100, [inputs.empty_lines(4 * MB)]),
    "surplus_after_a_request": (100, [inputs.surplus(SMALL_REQUEST, 4 * MB)]),
    "answers_that_nobody_reads": (200, pipelined(200, 8)),
    "many_heads_behind_an_answer_that_nobody_reads": (400, pipelined_heads(400, 30)),
    "answers_without_end": (300, requests_for("/endless/1", 300)),
    "streams_without_end_that_nobody_reads": (300, requests_for("/stream/1", 300)),
    "silent_connections": (1_200, [Input()]),
    "all_kinds": (
        280,
        [
            inputs.body(BODY_HEAD, MAX_BODY_BYTES),
            inputs.one_chunk(BODY_HEAD, MAX_BODY_BYTES),
            inputs.small_chunks(BODY_HEAD, 4 * MB),
            inputs.endless_field(BODY_HEAD, 4 * MB),
            inputs.endless_fields(BODY_HEAD, 4 * MB),
            inputs.empty_lines(4 * MB),
            inputs.surplus(SMALL_REQUEST, 4 * MB),
        ],
    ),
}
READINESS_HEAD = b"GET /readyz HTTP/1.1\r\nHost: router\r\n"
READINESS_CROWDS = {
    "a_field_without_end": (50, [inputs.endless_field(READINESS_HEAD, 8 * MB)]),
    "fields_without_end": (50, [inputs.endless_fields(READINESS_HEAD, 8 * MB)]),
    "empty_lines_without_end": (50, [inputs.empty_lines(8 * MB)]),
    "bodies_short_of_their_end": (60, [inputs.body(READINESS_HEAD, MAX_BODY_BYTES)]),
    "chunks_of_one_byte": (100, [inputs.small_chunks(READINESS_HEAD, 4 * MB)]),
    "surplus_after_a_request": (100, [inputs.surplus(READINESS_HEAD + b"\r\n", 4 * MB)]),
    "silent_connections": (1_200, [Input()]),
}


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
    example = ExampleFleet(tmp_path, asyncio.subprocess.DEVNULL, NETWORK, limits=limits)
    try:
        await example.start(CONFIG)
        worker_ip = example.workers[0].settings.host
        files = FakeModelWorkerSettings("files", worker_ip, FIRST_WORKER_PORT + 50, "z1")
        files.result_bytes = FILE_BYTES
        await example.start_worker(files)
        endless = FakeModelWorkerSettings("endless", worker_ip, FIRST_WORKER_PORT + 51, "z1")
        endless.is_endless = True
        await example.start_worker(endless)
        await eventually(lambda: is_served(example, "/file/1"))
        yield example
    finally:
        await example.close()


async def is_served(fleet: ExampleFleet, path: str) -> bool:
    """Send one ordinary request to the first machine; whether it is served. A refused one is sent again."""
    headers = {"Host": "example.test", "Deadline-Ms": "5000"}
    headers |= {"Request-Id": f"ordinary-{asyncio.get_running_loop().time()}"}
    url = f"http://{fleet.machines[0]}:{HTTP_PORT}{path}"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=b"a prompt", headers=headers) as response,
        ):
            await response.read()
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def is_ready(fleet: ExampleFleet) -> bool:
    url = f"http://{fleet.machines[0]}:{READINESS_PORT}/readyz"
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def watch(fleet: ExampleFleet) -> ProcessWatch:
    ip = fleet.machines[0]
    return ProcessWatch(fleet.processes["router", ip].pid, [(ip, HTTP_PORT), (ip, READINESS_PORT)])


async def check_crowd(fleet: ExampleFleet, port: int, members: int, sent: list[Input]) -> None:
    """Send a crowd to the first router, and check its limits and that it serves ordinary requests after."""
    ip = fleet.machines[0]
    router = fleet.processes["router", ip]
    async with watch(fleet) as watched, Crowd((ip, port)) as crowd:
        await crowd.send(members, sent)
        await eventually(lambda: is_served(fleet, "/chat/1"))
        await eventually(lambda: is_ready(fleet))
    assert router.returncode is None
    watched.check(MEMORY_MB, MAX_DESCRIPTORS)


@pytest.mark.parametrize("name", CROWDS)
async def test_router_stays_within_its_limits_under_a_crowd_of_clients(fleet, name):
    """Guards against a router that runs out of memory or descriptors through clients that don't behave."""
    await check_crowd(fleet, HTTP_PORT, *CROWDS[name])


@pytest.mark.parametrize("name", READINESS_CROWDS)
async def test_router_stays_within_its_limits_under_a_crowd_at_its_readiness_port(fleet, name):
    """Guards against a readiness port whose heads, bodies and connections have no bound."""
    await check_crowd(fleet, READINESS_PORT, *READINESS_CROWDS[name])


async def test_second_crowd_does_not_add_to_the_memory_of_the_first(fleet):
    """Guards against memory that a crowd leaves behind: crowds come again as soon as they are closed."""
    ip = fleet.machines[0]
    async with watch(fleet) as watched:
        for _ in range(3):
            async with Crowd((ip, HTTP_PORT)) as crowd:
                await crowd.send(*CROWDS["bodies_short_of_their_end"])
        await eventually(lambda: is_served(fleet, "/chat/1"))
    assert fleet.processes["router", ip].returncode is None
    watched.check(MEMORY_MB, MAX_DESCRIPTORS)


async def test_configuration_with_larger_bodies_does_not_raise_the_memory_of_a_router(fleet):
    """Guards against a limit on bodies that an operator raises beyond the memory of a machine."""
    larger = CONFIG | {"version": 2, "limits": LIMITS | {"maxBodyBytes": 64 * 1024 * 1024}}
    assert await fleet.put_configuration(1, larger) == 200
    await check_crowd(fleet, HTTP_PORT, 12, [inputs.body(BODY_HEAD, 32 * 1024 * 1024)])


async def test_router_that_drains_under_a_crowd_stays_within_its_limits_and_exits(fleet):
    """Guards against a shutdown that a crowd holds up, or that takes its input without a bound."""
    ip = fleet.machines[0]
    router = fleet.processes["router", ip]
    async with watch(fleet) as watched, Crowd((ip, HTTP_PORT)) as crowd:
        sending = asyncio.create_task(crowd.send(*CROWDS["all_kinds"]))
        router.send_signal(signal.SIGTERM)
        await sending
        async with asyncio.timeout(60):
            assert await router.wait() == 0
    watched.check(MEMORY_MB, MAX_DESCRIPTORS)


async def test_single_request_of_the_largest_size_is_served_in_calm(fleet):
    """Guards against a bound on memory that refuses what the configuration allows."""
    url = f"http://{fleet.machines[0]}:{HTTP_PORT}/file/1"
    headers = {"Host": "example.test", "Deadline-Ms": "5000"}
    async with aiohttp.ClientSession() as session:
        for number, data in enumerate((b"x" * MAX_BODY_BYTES, chunks(MAX_BODY_BYTES))):
            request_id = {"Request-Id": f"large-{number}"}
            async with session.post(url, data=data, headers=headers | request_id) as response:
                assert response.status == 200, await response.text()
                assert len(await response.read()) == FILE_BYTES


async def chunks(size: int):
    for _ in range(size // inputs.PIECE):
        yield b"x" * inputs.PIECE
