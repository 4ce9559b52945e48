"""Every other client that reads HTTP responses, where they are not valid HTTP: nothing in them is acted on.

Requests to workers are in `tests/system/test_broken_responses.py`.
"""

from __future__ import annotations

import pytest

from hazelbend.decisions.interface import Outcome
from hazelbend.dispatcher.fleet_snapshot import SnapshotTask, WriteResult
from hazelbend.leases.lease_table import LeaseLimits
from hazelbend.leases.operations import LeaseResponse, Operation
from hazelbend.leases.settings import SnapshotSettings
from hazelbend.leases.views import FleetView
from hazelbend.protocol.worker_lines import LoadReportFields
from hazelbend.transport.http.backend_client import ConnectionPool, PoolSettings
from hazelbend.transport.http.worker_client import HttpWorkerClient
from hazelbend.transport.http.worker_orders import OrderResult, WorkerOrder, send_order
from hazelbend.transport.peer.peer_links import CALL_ERRORS, CallRejectedError, PeerLinks
from tests.support.scripted_worker import TEST_TIMEOUT_S, Connection, running_worker

pytestmark = pytest.mark.anyio

BROKEN_HEADS = {
    "status 000": b"HTTP/1.1 000 None\r\n",
    "status 099": b"HTTP/1.1 099 None\r\n",
    "status 101": b"HTTP/1.1 101 Switching Protocols\r\n",
    "status 600": b"HTTP/1.1 600 Unknown\r\n",
    "control byte in the reason": b"HTTP/1.1 %b O\x01K\r\n",
    "control byte in a name": b"HTTP/1.1 %b OK\r\nA\x01: b\r\n",
    "control byte in a value": b"HTTP/1.1 %b OK\r\nA: \x1b\r\n",
    "blank before the first field": b"HTTP/1.1 %b OK\r\n A: b\r\n",
    "another version": b"HTTP/2.0 %b OK\r\n",
    "another protocol": b"RTSP/1.0 %b OK\r\n",
}
broken = pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS.keys())


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def response(head: bytes, status: bytes, body: bytes) -> bytes:
    return head.replace(b"%b", status) + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def no_leader(operation: Operation) -> LeaseResponse | None:
    return None


def empty_view() -> FleetView:
    return FleetView("f", "me", "follower", 0, 0, "", False, False, 0, 0, 0, (), (), (), {})


class BrokenServer:
    """Answers each request on any connection with the same bytes."""

    def __init__(self, answer: bytes) -> None:
        self.requests: list[bytes] = []
        self._answer = answer

    async def script(self, connection: Connection, number: int) -> None:
        while True:
            self.requests.append(await connection.request())
            await connection.send(self._answer)


# --- other dispatchers ---


@broken
@pytest.mark.parametrize("status", [b"200", b"409"])
async def test_response_of_another_dispatcher_is_no_result(head, status):
    server = BrokenServer(response(head, status, b"7"))
    links = PeerLinks("127.0.0.1")
    async with running_worker(server.script) as peer:
        with pytest.raises(CALL_ERRORS) as caught:
            await links.start_new_epoch(peer.address, force=False, timeout_s=TEST_TIMEOUT_S)
        assert not isinstance(caught.value, CallRejectedError | TimeoutError)
        await links.close()
    assert len(server.requests) == 1


@broken
@pytest.mark.parametrize("status", [b"200", b"409"])
async def test_response_of_a_store_says_neither_written_nor_rejected(head, status):
    server = BrokenServer(response(head, status, b""))
    async with running_worker(server.script) as store:
        settings = SnapshotSettings(url=f"http://{store.address}/f", interval_s=1.0, ttl_s=2.0, timeout_s=1.0)
        task = SnapshotTask(settings, LeaseLimits(), "me", lambda: 0, no_leader, empty_view)
        async with task._open_session() as session:
            assert await task._write(session, 1) is WriteResult.FAILED
    assert (task.written, task.rejected, task.failed) == (0, 0, 1)


# --- workers and back ends ---


@broken
@pytest.mark.parametrize("status", [b"202", b"409"])
async def test_order_has_an_unknown_result(head, status):
    server = BrokenServer(response(head, status, b""))
    async with running_worker(server.script) as worker:
        order = WorkerOrder("phase", "prefill", "me", 1)
        assert await send_order(worker.address, "i-1", order) is OrderResult.UNKNOWN
    assert len(server.requests) == 1


@broken
async def test_probe_is_not_passed_and_its_load_is_not_believed(head):
    server = BrokenServer(response(head, b"200", b'{"inflight":7}'))
    pool = ConnectionPool(PoolSettings(TEST_TIMEOUT_S, 60.0, 4, LoadReportFields({"inflight": "in_flight"})))
    async with running_worker(server.script) as worker:
        result = await pool.client(worker.address).probe(1_000_000)
        await pool.close()
    assert (result.outcome, result.load) == (Outcome.CONNECT_FAILED, None)


@broken
async def test_response_to_a_freed_handle_is_ignored_with_its_connection(head):
    server = BrokenServer(response(head, b"200", b""))
    client = HttpWorkerClient(10)
    async with running_worker(server.script) as worker:
        for _ in range(2):
            await client.free_handle(worker.address, "i-1", "h1")
        await client.close()
    assert (len(server.requests), worker.connections) == (2, 2)
