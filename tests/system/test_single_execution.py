"""A request that must not run twice, through a router's forwarder and its HTTP client to scripted workers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from hazelbend.control.configuration_reader import read_configuration
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.forwarding.ports import ClientRequest
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import RouteTable
from hazelbend.system.clock import SECOND_US, clock
from hazelbend.transport.http.worker_client import HttpWorkerClient
from tests.forwarding.test_forwarding import RecordedResponse
from tests.support.scripted_worker import Connection, ScriptedWorker, running_worker

pytestmark = pytest.mark.anyio

SERVICE = "cards"
ROUTE = {"name": "r", "host": "a.example", "prefix": "/x/", "kind": "unsafe", "timeoutMs": 3_000,
         "backend": SERVICE, "retries": 1}  # fmt: skip
REJECTION = b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %b\r\nContent-Length: 0\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def header(request: bytes, name: bytes) -> bytes:
    """The value of a header of a request."""
    [line] = [line for line in request.split(b"\r\n") if line.startswith(name + b": ")]
    return line.partition(b": ")[2]


class Router:
    """A forwarder and its client, without control processes: the test adds the workers."""

    def __init__(self) -> None:
        self._placement = PlacementEngine("z", 1)
        self._state = FleetState(self._placement)
        self._state.has_current_config = lambda: True
        document = {"version": 1, "routes": [ROUTE], "services": [{"name": SERVICE}]}
        self._state.apply_configuration(RouteTable(read_configuration(json.dumps(document).encode())))
        self._client = HttpWorkerClient(10)
        self._forwarder = Forwarder(
            self._state, self._client, clock, lambda: RetryBudget(0.2, 100.0, 10 * SECOND_US), 1
        )

    def add_worker(self, instance: str, worker: ScriptedWorker) -> None:
        record = WorkerRecord(instance, SERVICE, worker.address, "z", WorkerState.READY, 1, 6)
        self._placement.merge(record)

    async def serve(self, request_id: str) -> RecordedResponse:
        reply = RecordedResponse()
        request = ClientRequest(request_id, "POST", "/x/1", "a.example", (), b"xy", clock(), 2 * SECOND_US)
        await self._forwarder.serve(request, reply)
        return reply

    async def close(self) -> None:
        await self._forwarder.close()
        await self._client.close()


@pytest.fixture
async def router():
    created = Router()
    yield created
    await created.close()


class Runs:
    """The requests that workers have run, in order."""

    def __init__(self) -> None:
        self.request_ids: list[bytes] = []

    async def serve(self, connection: Connection) -> None:
        """Run the next request on this connection and respond."""
        await self.run(connection, await connection.request())

    async def run(self, connection: Connection, request: bytes) -> None:
        """Run a request and respond."""
        request_id = header(request, b"Request-Id")
        self.request_ids.append(request_id)
        await connection.send(SUCCESS % request_id)


def other_worker(runs: Runs) -> Callable[[Connection, int], Awaitable[None]]:
    """The script of a worker that runs every request."""

    async def script(connection: Connection, number: int) -> None:
        while True:
            await runs.serve(connection)

    return script


async def test_surplus_rejection_of_a_request_does_not_let_its_next_send_run_twice(router):
    # The second instance at an address repeats its 421 for the first one where its own response is due.
    runs = Runs()

    async def script(connection: Connection, number: int) -> None:
        surplus = b""
        while True:
            request = await connection.request()
            if header(request, b"Expect-Instance") == b"i-1":
                router.add_worker("i-2", worker)
                surplus = REJECTION % header(request, b"Request-Id")
                await connection.send(surplus)
                continue
            router.add_worker("i-3", third)
            await connection.send(surplus)
            await runs.run(connection, request)

    async with running_worker(script) as worker, running_worker(other_worker(runs)) as third:
        router.add_worker("i-1", worker)
        reply = await router.serve("q1")
        await asyncio.sleep(0)
    assert runs.request_ids == [b"q1"]
    assert reply.status == 200


@pytest.mark.parametrize(
    "partial_head",
    [b"HTTP/1.1 421 ", b"HTTP/1.1 421 Misdir", b"HTTP/1.1 503 Busy\r\nNot-Executed: ",
     b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nA: b"],
)  # fmt: skip
async def test_surplus_bytes_that_end_inside_a_head_do_not_let_a_request_run_twice(router, partial_head):
    # They are written where the response is due, which then continues their head.
    runs = Runs()

    async def script(connection: Connection, number: int) -> None:
        await runs.serve(connection)
        request = await connection.request()
        router.add_worker("i-2", second)
        await connection.send(partial_head)
        await runs.run(connection, request)

    async with running_worker(script) as worker, running_worker(other_worker(runs)) as second:
        router.add_worker("i-1", worker)
        assert (await router.serve("q0")).status == 200
        reply = await router.serve("q1")
    assert runs.request_ids == [b"q0", b"q1"]
    assert reply.status == 502
