"""Where two events cross in a router's calls to workers, on real sockets: docs/design/0008-worker-calls.md.

The worker is a raw socket server that does what a test says, when the test lets it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from hazelbend.forwarding.errors import NotSentError, OutcomeUnknownError
from hazelbend.forwarding.ports import ClientRequest, WorkerCall
from hazelbend.transport.http import aiohttp_client
from hazelbend.transport.http.worker_client import HttpWorkerClient

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"
SOON = 5.0  # seconds that what is awaited may take on a busy machine
LARGE = b"0123456789abcdef" * 262_144  # 4 MiB, more than the kernel takes


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def answer_to(number: int, body: bytes = b"ok", status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    head = b"HTTP/1.1 %b\r\nRequest-Id: q%d\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, number, more, len(body)) + body


class Connection:
    """One connection at the worker's side."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._loop = sock, asyncio.get_running_loop()
        self._unread = b""

    async def head(self) -> bytes:
        """The next request's head."""
        while b"\r\n\r\n" not in self._unread:
            data = await self._loop.sock_recv(self._sock, 65_536)
            if not data:
                raise EOFError
            self._unread += data
        head, _, self._unread = self._unread.partition(b"\r\n\r\n")
        return head

    async def exactly(self, size: int) -> bytes:
        """So many bytes of a body."""
        while len(self._unread) < size:
            data = await self._loop.sock_recv(self._sock, 65_536)
            if not data:
                raise EOFError
            self._unread += data
        taken, self._unread = self._unread[:size], self._unread[size:]
        return taken

    async def request(self) -> bytes:
        """A whole request: its head and body."""
        head = await self.head()
        length = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
        size = int(length[0].split(b":")[1]) if length else 0
        return head + b"\r\n\r\n" + await self.exactly(size)

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._sock, data)

    def reset(self) -> None:
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._sock.close()

    def close(self) -> None:
        self._sock.close()


class Worker:
    """Accepts connections and has `script` play each."""

    def __init__(self, script: Callable[[Connection, int], Awaitable[None]]) -> None:
        self._script, self.connections = script, 0
        self._tasks: list[asyncio.Task[None]] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._tasks.append(asyncio.create_task(self._accept()))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            self.connections += 1
            self._tasks.append(asyncio.create_task(self._play(Connection(sock), self.connections)))

    async def _play(self, connection: Connection, number: int) -> None:
        with contextlib.suppress(EOFError, OSError):
            await self._script(connection, number)
        with contextlib.suppress(OSError):
            connection.close()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._listener.close()


@pytest.fixture
async def client() -> AsyncIterator[HttpWorkerClient]:
    made = HttpWorkerClient(10)
    yield made
    await made.close()


@contextlib.asynccontextmanager
async def worker_that(script: Callable[[Connection, int], Awaitable[None]]) -> AsyncIterator[Worker]:
    worker = Worker(script)
    try:
        async with asyncio.timeout(SOON):
            yield worker
    finally:
        worker.close()


def call(worker: Worker, number: int, body: bytes = b"xy", method: str = "POST") -> WorkerCall:
    request = ClientRequest(f"q{number}", method, "/a", "h", (), body, 0, None)
    return WorkerCall(worker.address, request, (("Expect-Instance", "i-1"),))


async def whole(client: HttpWorkerClient, call: WorkerCall) -> bytes:
    """The body of a call's answer, read to its end."""
    answer = await client.send(call, lambda: 1_000_000)
    try:
        return await answer.body()
    finally:
        answer.close()


# --- a kept connection is reused ---


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_a_kept_connection_that_ends_as_it_is_reused_is_no_reason_to_send_again(client, method, ending):
    heard = []

    async def script(connection: Connection, number: int) -> None:
        heard.append(await connection.request())
        await connection.send(answer_to(1))
        heard.append(await connection.request())
        getattr(connection, ending)()

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1, b"", method)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await whole(client, call(worker, 2, b"", method))
        await asyncio.sleep(0.05)
        assert [b"q2" in each for each in heard] == [False, True] and worker.connections == 1


@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_an_end_that_the_kernel_holds_as_a_connection_is_reused_is_seen_before_the_first_byte(
    client, ending, monkeypatch
):
    """The worker ends the connection in the very turn in which the call is written; the loop has not read it.
    Not a byte is lost: the call goes out on another connection."""
    ends, usual = [], aiohttp_client.CheckedRequest.send

    async def send(request, connection):
        if ends:
            ends.pop()()
            time.sleep(0.02)  # noqa: ASYNC251 - the kernel has it; the loop is not to run
        return await usual(request, connection)

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(answer_to(number))
        if number == 1:
            ends.append(getattr(connection, ending))
        await asyncio.sleep(SOON)

    monkeypatch.setattr(aiohttp_client.CheckedRequest, "send", send)
    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"
        await asyncio.sleep(0.02)
        assert await whole(client, call(worker, 2)) == b"ok" and worker.connections == 2


async def test_a_client_that_sends_again_by_itself_would_be_found(monkeypatch):
    """The planted defect of the test before: the library's own retry runs one call twice."""
    usual = aiohttp_client.open_session

    def retrying(*arguments: object, **options: object):
        session = usual(*arguments, **options)
        session._retry_connection = True
        return session

    monkeypatch.setattr(aiohttp_client, "open_session", retrying)
    client = HttpWorkerClient(10)
    heard = []

    async def script(connection: Connection, number: int) -> None:
        while True:
            heard.append(await connection.request())
            if len(heard) == 2:
                return
            await connection.send(answer_to(len(heard) - (len(heard) > 2)))

    async with worker_that(script) as worker:
        await whole(client, call(worker, 1, b"", "GET"))
        with contextlib.suppress(OutcomeUnknownError):
            await whole(client, call(worker, 2, b"", "GET"))
        await client.close()
    assert sum(b"Request-Id: q2" in each for each in heard) == 2


async def test_a_late_answer_that_names_another_request_is_not_this_ones(client):
    go = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(answer_to(1))
        await connection.request()
        await connection.send(answer_to(1, b"late") + answer_to(2))
        await go.wait()

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await whole(client, call(worker, 2))
        go.set()


@pytest.mark.parametrize("late", [answer_to(1, b""), answer_to(1, b"late")])
async def test_a_connection_on_which_an_unknown_answer_came_is_used_for_nothing_more(client, late):
    """The late answer is whole at once; the answer that it took the place of would be the next call's."""

    async def script(connection: Connection, number: int) -> None:
        if number == 2:
            await connection.request()
            await connection.send(answer_to(3))
            return
        await connection.request()
        await connection.send(answer_to(1))
        await connection.request()
        await connection.send(late)
        await connection.request()
        await connection.send(answer_to(2))

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await whole(client, call(worker, 2))
        assert await whole(client, call(worker, 3)) == b"ok" and worker.connections == 2


@pytest.mark.parametrize("status", [b"503 Full", b"500 Bad"])
async def test_on_a_reused_connection_an_answer_must_say_whose_it_is(client, status):
    """Without an id it may be a late one to the request before: `Not-Executed` must not be believed."""
    unnamed = b"HTTP/1.1 %b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" % status

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(answer_to(1) if number == 1 else unnamed)
        await connection.request()
        await connection.send(unnamed)

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"
        with pytest.raises(OutcomeUnknownError):
            await client.send(call(worker, 2), lambda: 1_000_000)
        fresh = await client.send(call(worker, 3), lambda: 1_000_000)
        assert fresh.not_executed, "a new connection has no other request"
        fresh.close()


# --- bodies and answers ---


async def test_an_answer_before_the_body_is_in_is_taken_and_no_other_bytes_come_in_the_bodys_place(client):
    """The worker answers at the head, keeps the connection, and reads on when the next call has begun."""
    go, bodies = asyncio.Event(), []

    async def script(connection: Connection, number: int) -> None:
        if number > 1:
            await connection.request()
            await connection.send(answer_to(2))
            return
        await connection.head()
        await connection.send(answer_to(1, b"too long", b"413 Large"))
        await go.wait()
        with contextlib.suppress(EOFError, OSError):
            bodies.append(await connection.exactly(len(LARGE)))

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1, LARGE)) == b"too long"
        second = asyncio.create_task(whole(client, call(worker, 2)))
        assert await second == b"ok", "it does not wait behind bytes that the worker has not read"
        go.set()
        await asyncio.sleep(0.1)
    assert all(body == LARGE for body in bodies)


async def test_a_call_whose_body_is_cut_short_by_a_reset_may_have_run(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.head()
        connection.reset()

    async with worker_that(script) as worker:
        with pytest.raises(OutcomeUnknownError):
            await whole(client, call(worker, 1, LARGE))


async def test_bytes_that_the_kernel_took_are_never_called_not_sent(client):
    """The head is out and the connection is lost before the body is: it may have run."""
    heard = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.head()
        heard.set()
        await asyncio.sleep(0.05)
        connection.reset()

    async with worker_that(script) as worker:
        sending = asyncio.create_task(client.send(call(worker, 1, LARGE), lambda: 1_000_000))
        await heard.wait()
        with pytest.raises(OutcomeUnknownError):
            await sending


async def test_a_refused_connection_is_not_sent(client):
    sock = socket.socket()
    sock.bind((HOST, 0))

    class Nobody:
        address = f"{HOST}:{sock.getsockname()[1]}"

    with pytest.raises(NotSentError):
        await client.send(call(Nobody, 1), lambda: 1_000_000)
    sock.close()


async def test_interim_answers_come_before_the_answer(client):
    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(b"HTTP/1.1 102 Processing\r\n\r\n" + answer_to(1))
        await connection.request()

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"


# --- calls that are given up ---


@pytest.mark.parametrize("at", ["head", "body"])
async def test_the_answer_to_a_call_that_was_given_up_reaches_nobody_else(client, at):
    """Given up before the head, or inside the body: its connection ends, and the next call has another."""
    go, waits = asyncio.Event(), asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        if number == 2:
            await connection.send(answer_to(2))
            return
        part = answer_to(1, b"one and two")
        await connection.send(part[:-4] if at == "body" else b"")
        waits.set()
        await go.wait()
        await connection.send(part if at == "head" else part[-4:])

    async with worker_that(script) as worker:
        first = asyncio.create_task(whole(client, call(worker, 1)))
        await waits.wait()
        await asyncio.sleep(0.02)
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        second = asyncio.create_task(whole(client, call(worker, 2)))
        go.set()
        assert await second == b"ok" and worker.connections == 2


async def test_a_call_that_is_given_up_while_its_connection_comes_up_writes_nothing(client):
    heard = []

    async def script(connection: Connection, number: int) -> None:
        heard.append(await connection.head())

    async with worker_that(script) as worker:
        sending = asyncio.create_task(client.send(call(worker, 1), lambda: 1_000_000))
        await asyncio.sleep(0)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        await asyncio.sleep(0.05)
    assert heard == []


async def test_freeing_a_handle_over_a_connection_that_has_late_bytes_fails_quietly(client):
    go = asyncio.Event()

    async def script(connection: Connection, number: int) -> None:
        await connection.request()
        await connection.send(answer_to(1))
        await go.wait()
        await connection.send(answer_to(1))

    async with worker_that(script) as worker:
        assert await whole(client, call(worker, 1)) == b"ok"
        go.set()
        await asyncio.sleep(0.05)
        await client.free_handle(worker.address, "i-1", "h1")
