"""Crowds of callers that don't behave at the ports of a control process, on loopback, with lowered limits."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from example.fleet.run import CONFIGURATION, CONTROL_PORT, FIRST_PEER_PORT, ExampleFleet
from tests.support import crowd_inputs as inputs
from tests.support.crowd_kit import Crowd, Input, ProcessWatch, eventually

pytestmark = [pytest.mark.anyio, pytest.mark.crowd]

NETWORK = "127.0.72"
MEMORY_MB = 160
MAX_DESCRIPTORS = 1_000
MB = 1_000_000
BODY_BYTES = 4 * 1024 * 1024
FRAME_BYTES = 8 * 1024 * 1024
HEAD = b"POST /config/put HTTP/1.1\r\nHost: control\r\nBase-Version: 1\r\n"
GET_STATUS = b"GET /status HTTP/1.1\r\nHost: control\r\n\r\n"
CROWDS = {
    "bodies_short_of_their_end": (60, [inputs.body(HEAD, BODY_BYTES)]),
    "bodies_piece_by_piece": (60, [inputs.body(HEAD, BODY_BYTES, piece_size=inputs.SMALL_PIECE)]),
    "whole_bodies": (60, [inputs.body(HEAD, BODY_BYTES, 0)]),
    "one_large_chunk": (60, [inputs.one_chunk(HEAD, BODY_BYTES)]),
    "chunks_of_one_byte": (200, [inputs.small_chunks(HEAD, 4 * MB)]),
    "a_field_without_end": (50, [inputs.endless_field(HEAD, 8 * MB)]),
    "fields_without_end": (50, [inputs.endless_fields(HEAD, 8 * MB)]),
    "empty_lines_without_end": (50, [inputs.empty_lines(8 * MB)]),
    "surplus_after_a_request": (100, [inputs.surplus(GET_STATUS, 4 * MB)]),
    "answers_that_nobody_reads": (200, [Input(GET_STATUS * 1_000)]),
    "silent_connections": (1_200, [Input()]),
}
FRAME_START = FRAME_BYTES.to_bytes(4, "big")
FRAME = inputs.repeated(b"x", FRAME_BYTES - inputs.PIECE)
PEER_CROWDS = {
    "frames_short_of_their_end": (40, [Input(FRAME_START, *FRAME)]),
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
        await example.start(CONFIGURATION)
        yield example
    finally:
        await example.close()


async def answers_status(fleet: ExampleFleet) -> bool:
    url = f"http://{fleet.machines[0]}:{CONTROL_PORT}/status"
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status == 200 and len((await response.json())["workers"]) == 5
    except aiohttp.ClientError:
        return False


async def serves_prompt(fleet: ExampleFleet) -> bool:
    return (await fleet.send_prompt(fleet.machines[0], "ordinary"))[0] == 200


async def check_crowd(fleet: ExampleFleet, port: int, members: int, sent: list[Input]) -> None:
    """Send a crowd to the first control process, and check its limits and that it answers after."""
    ip = fleet.machines[0]
    control = fleet.processes["control", ip]
    await eventually(lambda: answers_status(fleet))
    addresses = [(ip, CONTROL_PORT), (ip, FIRST_PEER_PORT)]
    async with ProcessWatch(control.pid, addresses) as watched, Crowd((ip, port)) as crowd:
        await crowd.send(members, sent)
        await eventually(lambda: answers_status(fleet))
        await eventually(lambda: serves_prompt(fleet))
    assert control.returncode is None
    watched.check(MEMORY_MB, MAX_DESCRIPTORS)


@pytest.mark.parametrize("name", CROWDS)
async def test_control_stays_within_its_limits_under_a_crowd_of_callers(fleet, name):
    """Guards against a control process that runs out of memory or descriptors through its callers."""
    await check_crowd(fleet, CONTROL_PORT, *CROWDS[name])


@pytest.mark.parametrize("name", PEER_CROWDS)
async def test_control_stays_within_its_limits_under_a_crowd_at_its_peer_port(fleet, name):
    """Guards against frames and connections of strangers at the port for the fleet's own processes."""
    await check_crowd(fleet, FIRST_PEER_PORT, *PEER_CROWDS[name])


async def test_configuration_is_accepted_while_a_crowd_holds_the_port(fleet):
    """Guards against an operator who is locked out by a crowd of unfinished bodies."""
    ip = fleet.machines[0]
    async with Crowd((ip, CONTROL_PORT)) as crowd:
        await crowd.send(*CROWDS["bodies_short_of_their_end"])
        assert await fleet.put_configuration(1, CONFIGURATION | {"version": 2}) == 200
