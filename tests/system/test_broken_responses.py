"""Responses of workers that are not valid HTTP, through a router's listener, forwarder and client."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from tests.support.race_kit import chunk
from tests.support.router_kit import RouterUnderTest, Runs, header, listening_router, other_worker
from tests.support.scripted_worker import Connection, ScriptedWorker, running_worker

pytestmark = pytest.mark.anyio

# What follows a broken head claims what a router acts on: that the request was not executed, or a success.
NOT_EXECUTED = b"Request-Id: %b\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
SIGNED = b"Request-Id: %b\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok"
CONTROL_BYTES = [b"\0", b"\x01", b"\r", b"\x1b", b"\x7f"]
INVALID_STATUSES = [b"000", b"001", b"099", b"101", b"600", b"999"]
BROKEN_HEADS = {
    **{f"status {status.decode()}": b"HTTP/1.1 %b Trouble\r\n" % status for status in INVALID_STATUSES},
    **{f"{byte!r} in the reason": b"HTTP/1.1 503 A%bB\r\n" % byte for byte in CONTROL_BYTES},
    **{
        f"{byte!r} in a name": b"HTTP/1.1 503 Busy\r\nA%bB: c\r\n" % byte
        for byte in [b" ", b"\t", *CONTROL_BYTES]
    },
    **{f"{byte!r} in a value": b"HTTP/1.1 503 Busy\r\nA: b%bc\r\n" % byte for byte in CONTROL_BYTES},
    "a control byte in an interim response": b"HTTP/1.1 103 A\r\nB: \x01\r\n\r\nHTTP/1.1 503 Busy\r\n",
    "a blank before the first field": b"HTTP/1.1 503 Busy\r\n A: b\r\n",
    "a blank before the first field, after LF": b"HTTP/1.1 503 Busy\n A: b\r\n",
    "a blank before the fields": b"HTTP/1.1 503 Busy\r\n ",
    "a tab before the first field": b"HTTP/1.1 503 Busy\r\n\tA: b\r\n",
    "a first line of a blank": b"HTTP/1.1 503 Busy\r\n \r\n",
    "a blank in an interim response": b"HTTP/1.1 103 A\r\n B: c\r\n\r\nHTTP/1.1 503 Busy\r\n",
    "a blank after an interim response": b"HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1 503 Busy\r\n B: c\r\n",
    **{
        f"a status line of {version.decode()}": b"%b 503 Busy\r\n" % version
        for version in (
            b"RTSP/1.0",
            b"ICE/1.0",
            b"HTTP/0.9",
            b"HTTP/2.0",
            b"HTTP/3.7",
            b"HTTP/11.1",
            b" HTTP/1.1",
        )
    },
    "a blank before the colon": b"HTTP/1.1 503 Busy\r\nA : b\r\n",
    "a name that is not a token": b"HTTP/1.1 503 Busy\r\nA(b): c\r\n",
    "a byte over 127 in a name": b"HTTP/1.1 503 Busy\r\nA\xe4: c\r\n",
    "no name": b"HTTP/1.1 503 Busy\r\n: a\r\n",
    "no colon": b"HTTP/1.1 503 Busy\r\nA\r\n",
}


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def success(broken_head: bytes) -> bytes:
    """A response with this head that claims to be a success, unless its status is what is broken."""
    return broken_head.replace(b" 503 ", b" 200 ") + SIGNED


def body_of(answer: bytes) -> bytes:
    """The body of the answer that a client got."""
    return answer.partition(b"\r\n\r\n")[2]


class BrokenWorker:
    """Runs every request; its first response is `response`."""

    def __init__(self, response: bytes) -> None:
        self.runs = Runs()
        self.on_first_request: Callable[[], None] = lambda: None
        self._response = response

    async def script(self, connection: Connection, number: int) -> None:
        while True:
            request = await connection.request()
            if self.runs.request_ids:
                await self.runs.run(connection, request)
                continue
            self.on_first_request()
            request_id = header(request, b"Request-Id")
            self.runs.request_ids.append(request_id)
            await connection.send(self._response.replace(b"%b", request_id))


@dataclass
class Deployment:
    """A router before a broken worker and another one, which it learns of during the first request."""

    router: RouterUnderTest
    broken: BrokenWorker
    worker: ScriptedWorker
    other_runs: Runs

    @property
    def runs(self) -> list[bytes]:
        """All requests that were run."""
        return self.broken.runs.request_ids + self.other_runs.request_ids


@asynccontextmanager
async def deployment(response: bytes, **route: object) -> AsyncIterator[Deployment]:
    broken = BrokenWorker(response)
    other_runs = Runs()
    async with (
        running_worker(broken.script) as worker,
        running_worker(other_worker(other_runs)) as other,
        listening_router(**route) as router,
    ):
        router.add_worker("i-1", worker)
        broken.on_first_request = lambda: router.add_worker("i-2", other)
        yield Deployment(router, broken, worker, other_runs)


@pytest.mark.parametrize("claims_success", [False, True], ids=["not executed", "success"])
@pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS.keys())
async def test_broken_response_proves_nothing_and_its_client_gets_502(head, claims_success):
    response = success(head) if claims_success else head + NOT_EXECUTED
    async with deployment(response) as fleet:
        answers = [await fleet.router.post(b"q%d" % number) for number in range(1, 7)]
    assert answers[0].startswith(b"HTTP/1.1 502 ")
    assert [body_of(answer) for answer in answers[1:]] == [b"ran q%d" % number for number in range(2, 7)]
    assert sorted(fleet.runs) == [b"q%d" % number for number in range(1, 7)]


@pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS.keys())
async def test_connection_of_a_broken_response_is_not_used_again(head):
    async with deployment(success(head)) as fleet:
        fleet.broken.on_first_request = lambda: None  # the broken worker stays the only one
        assert (await fleet.router.post(b"q1")).startswith(b"HTTP/1.1 502 ")
        assert body_of(await fleet.router.post(b"q2")) == b"ran q2"
        assert fleet.worker.connections == 2


@pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS.keys())
async def test_safe_request_with_a_broken_response_is_served_by_another_worker(head):
    async with deployment(success(head), kind="safe", retries=2) as fleet:
        assert body_of(await fleet.router.post(b"q1")) == b"ran q1"
    assert fleet.broken.runs.request_ids == fleet.other_runs.request_ids == [b"q1"]


async def test_fields_after_a_line_of_a_blank_do_not_become_the_body():
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(b"HTTP/1.1 500 Failed\r\n \r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok")

    async with running_worker(script) as worker, listening_router() as router:
        router.add_worker("i-1", worker)
        answer = await router.post(b"q1")
    assert answer.startswith(b"HTTP/1.1 502 ") and b"Length: 2" not in body_of(answer)


FRAMING = {
    **{
        f"coding {coding.decode()}": (b"Transfer-Encoding: %b\r\n" % coding, b"2\r\nok\r\n0\r\n\r\n")
        for coding in (
            b"gzip", b"identity", b"xchunked", b"chunked,", b"gzip, chunked", b"chunked, gzip",
            b"chunked, chunked", b"chunked;q=1", b"",
        )
    },
    "coding and length": (b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
    "length that the parser takes for none": (b"Content-Length: 18446744073709551615\r\n", b"ok"),
    "length beyond all numbers": (b"Content-Length: 99999999999999999999999\r\n", b"ok"),
    "two lengths": (b"Content-Length: 2\r\nContent-Length: 1\r\n", b"ok"),
    "length with a sign": (b"Content-Length: +2\r\n", b"ok"),
    "length with a blank": (b"Content-Length: 2 2\r\n", b"ok"),
}  # fmt: skip


@pytest.mark.parametrize("route", [{}, {"kind": "stream"}], ids=["unsafe", "stream"])
@pytest.mark.parametrize(("fields", "body"), FRAMING.values(), ids=FRAMING.keys())
async def test_response_whose_body_has_no_certain_end_gives_502(fields, body, route):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\n"

    async def script(connection: Connection, number: int) -> None:
        request_id = header(await connection.request(), b"Request-Id")
        await connection.send(head % request_id + fields + b"\r\n" + body)

    async with running_worker(script) as worker, listening_router(**route) as router:
        router.add_worker("i-1", worker)
        assert (await router.post(b"q1")).startswith(b"HTTP/1.1 502 ")


async def test_transfer_coding_in_http_1_0_gives_502():
    response = (
        b"HTTP/1.0 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    async with deployment(response + b"2\r\nok\r\n0\r\n\r\n") as fleet:
        assert (await fleet.router.post(b"q1")).startswith(b"HTTP/1.1 502 ")


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
FIRST_EVENT = b"id: 1\ndata: a\n\n"
SECOND_EVENT = b"id: 2\ndata: b\n\n"
LONG_TIMEOUT_MS = 60_000  # more than a test may take


@asynccontextmanager
async def stream_that_breaks(
    **route: object,
) -> AsyncIterator[tuple[RouterUnderTest, asyncio.StreamReader, asyncio.Event]]:
    """A stream whose worker breaks the framing on an open connection, after the first event."""
    first_event_was_read = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        request_id = header(await connection.request(), b"Request-Id")
        await connection.send(STREAM_HEAD % request_id + chunk(FIRST_EVENT))
        await first_event_was_read.wait()
        await connection.send(b"XX\r\n")
        await connection.request()

    async with (
        running_worker(script) as worker,
        listening_router(kind="stream", timeoutMs=LONG_TIMEOUT_MS, **route) as router,
    ):
        router.add_worker("i-1", worker)
        reader = await router.start_post(b"q1", LONG_TIMEOUT_MS)
        await reader.readuntil(FIRST_EVENT)
        yield router, reader, first_event_was_read


async def test_stream_with_a_malformed_chunk_is_aborted_at_once():
    async with stream_that_breaks() as (_, reader, first_event_was_read):
        first_event_was_read.set()
        assert await reader.read() == b"\r\n"  # the end of the first event's chunk


@pytest.mark.parametrize("is_broken_first", [False, True])
async def test_stream_with_a_malformed_chunk_is_resumed_at_a_worker_with_a_valid_response(is_broken_first):
    requests = []

    async def resuming_script(connection: Connection, number: int) -> None:
        request = await connection.request()
        requests.append(header(request, b"Last-Event-Id"))
        head = STREAM_HEAD % header(request, b"Request-Id")
        if is_broken_first and len(requests) == 1:
            head = head.replace(b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n A: b\r\n")
        await connection.send(head + chunk(SECOND_EVENT) + b"0\r\n\r\n")

    async with (
        stream_that_breaks(resume=True, retries=3) as (router, reader, first_event_was_read),
        running_worker(resuming_script) as second,
    ):
        router.add_worker("i-2", second)
        router.add_worker("i-3", second)
        first_event_was_read.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
    assert rest == b"\r\n" + chunk(SECOND_EVENT) + b"0\r\n\r\n"
    assert requests == [b"1"] * (2 if is_broken_first else 1)


CONTRADICTORY_FIELDS = {
    "a success that was not executed": b"Not-Executed: 1\r\n",
    "another request as well": b"Request-Id: q9\r\n",
}


@pytest.mark.parametrize("status", [b"200 OK", b"204 No Content", b"299 Odd"])
@pytest.mark.parametrize("fields", CONTRADICTORY_FIELDS.values(), ids=CONTRADICTORY_FIELDS.keys())
async def test_success_that_contradicts_itself_proves_nothing(fields, status):
    head = b"HTTP/1.1 %b\r\nConnection: close\r\nRequest-Id: q1\r\nServer-Signature: s\r\n" % status
    async with deployment(head + fields + b"\r\n") as fleet:
        answers = [await fleet.router.post(b"q%d" % number) for number in (1, 2)]
    assert answers[0].startswith(b"HTTP/1.1 502 ") and body_of(answers[1]) == b"ran q2"
    assert sorted(fleet.runs) == [b"q1", b"q2"]


async def test_rejection_that_names_another_request_as_well_proves_nothing():
    rejection = b"HTTP/1.1 421 No\r\nRequest-Id: q1\r\nRequest-Id: q9\r\nContent-Length: 0\r\n\r\n"
    async with deployment(rejection) as fleet:
        assert (await fleet.router.post(b"q1")).startswith(b"HTTP/1.1 502 ")
    assert fleet.runs == [b"q1"]


@pytest.mark.parametrize("digits", [5, 9, 10, 400, 5_000])
async def test_load_report_that_no_worker_can_have_is_ignored(digits):
    response = b"HTTP/1.1 200 OK\r\nServer-Load: %b,1,8\r\n" % (b"9" * digits) + SIGNED
    async with deployment(response) as fleet:
        answers = [await fleet.router.post(b"q%d" % number) for number in (1, 2)]
    assert [body_of(answer) for answer in answers] == [b"ok", b"ran q2"]
    assert sorted(fleet.runs) == [b"q1", b"q2"]


ODD_RESPONSES = {
    **{
        f"status {status}": b"HTTP/1.1 %d Odd\r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok" % status
        for status in (299, 399, 418, 499, 599)
    },
    "no reason": b"HTTP/1.1 418 \r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "no reason, no blank": b"HTTP/1.1 418\r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "a name of all token characters": b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: z\r\n"
    b"Content-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "a tab and bytes over 127 in a value": b"HTTP/1.1 200 OK\r\nA: \tb\tc\xc3\xbcd\xff\r\n"
    b"Content-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "a tab and bytes over 127 in the reason": b"HTTP/1.1 200 \t\xff\r\n"
    b"Content-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "an empty value": b"HTTP/1.1 200 OK\r\nA:\r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "a folded value": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: q1\r\nA: b\r\n c\r\n\r\nok",
    "lines that end with LF alone": b"HTTP/1.1 200 OK\nContent-Length: 2\r\nRequest-Id: q1\n\nok",
    "an empty element beside chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: ,chunked\r\n"
    b"Request-Id: q1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "chunk extensions and trailers": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b'Request-Id: q1\r\n\r\n1;a="b"\r\no\r\n1\r\nk\r\n0\r\nA: b\r\n\r\n',
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
    "a length with zeros": b"HTTP/1.1 200 OK\r\nContent-Length: 002\r\nRequest-Id: q1\r\n\r\nok",
    "interim responses": b"HTTP/1.1 103 A\r\nX: y\r\n\r\nHTTP/1.1 199 B\r\n\r\n"
    b"HTTP/1.1 418 T\r\nContent-Length: 2\r\nRequest-Id: q1\r\n\r\nok",
}


@pytest.mark.parametrize("response", ODD_RESPONSES.values(), ids=ODD_RESPONSES.keys())
async def test_unusual_but_valid_response_reaches_the_client(response):
    response = response.replace(b"\r\nRequest-Id", b"\r\nServer-Signature: s\r\nRequest-Id")
    async with deployment(response) as fleet:
        answer = await fleet.router.post(b"q1")
    head, _, body = answer.partition(b"\r\n\r\n")
    final_response = response[response.rindex(b"HTTP/1.") :]
    assert head.split()[1] == final_response.split()[1]
    assert b"Server-Signature: s" in head and body == b"ok"
