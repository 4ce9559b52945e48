"""A request that must not run twice, through a router's forwarder and its HTTP client to scripted workers."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.router_kit import RouterUnderTest, Runs, header, other_worker
from tests.support.scripted_worker import Connection, running_worker

pytestmark = pytest.mark.anyio

REJECTION = b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %b\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture
async def router():
    created = RouterUnderTest()
    yield created
    await created.close()


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
