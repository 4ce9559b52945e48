"""The router fleet's transports on real sockets and files: frames, store, listener, calls to workers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sqlite3
import struct
from collections.abc import Awaitable, Callable
from typing import ClassVar

import pytest

from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.control import messages as control_messages
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.engine import ControlEngine
from hazelbend.control.load_table import CacheTable
from hazelbend.control.settings import ControlSettings
from hazelbend.forwarding.errors import OutcomeUnknownError, SendWithdrawnError, WorkerUnreachableError
from hazelbend.forwarding.ports import ClientRequest, ClientResponse, WorkerCall
from hazelbend.system.update_publisher import UpdatePublisher
from hazelbend.transport.http.asgi_server import AsgiServer, HttpRequest, HttpResponse
from hazelbend.transport.http.request_listener import RequestListener
from hazelbend.transport.http.worker_client import HttpWorkerClient
from hazelbend.transport.peer.frame_link import FrameConnection, FrameLink, FrameServer
from hazelbend.transport.storage.control_store import DAMAGED, DATABASE, ControlStore
from hazelbend.transport.storage.soft_state_file import read_soft_state, write_soft_state

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"
SOON = 5.0  # seconds that what is awaited may take on a busy machine


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


async def held(holds: Callable[[], bool]) -> None:
    """Until this holds."""
    async with asyncio.timeout(SOON):
        while not holds():
            await asyncio.sleep(0.005)


# --- the store ---


def memory(identity: str = "a@10.0.0.1:7", entries: int = 3) -> PersistentState:
    made = PersistentState(identity, epoch=5, term=2, vote="b")
    made.entries = [Entry(1, ("a", "b") if n == 0 else None, b"op%d" % n) for n in range(entries)]
    return made


async def test_a_memory_is_found_again_as_it_was(tmp_path):
    store = ControlStore(tmp_path / "new" / "folder")
    assert await store.open("10.0.0.1:7") is None
    await store.save(state_codec.whole_parts(memory()), 2)
    await store.close()
    again = ControlStore(tmp_path / "new" / "folder")
    assert await again.open("10.0.0.1:7") == (memory(), 2)
    await again.close()


async def test_the_memory_of_another_address_is_not_taken(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.whole_parts(memory()), 0)
    assert await store.open("10.0.0.2:7") is None
    await store.close()


async def test_later_parts_take_the_place_of_earlier_ones_and_another_epoch_begins_with_nothing(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.whole_parts(memory()), 0)
    await store.save([state_codec.Entries(2, (Entry(2, None, b"new"),))], 1)
    found, commit = await store.open("10.0.0.1:7")
    assert [each.op for each in found.entries] == [b"op0", b"new"] and commit == 1
    await store.save([state_codec.Base(2, 2, ("a",), b"state")], 2)
    found, _ = await store.open("10.0.0.1:7")
    assert (found.base, found.base_state, found.entries) == (2, b"state", [])
    await store.save([state_codec.Promise("a@10.0.0.1:7", 6, 0, "")], 0)
    found, _ = await store.open("10.0.0.1:7")
    assert (found.epoch, found.base, found.entries) == (6, 0, [])
    await store.close()


async def test_a_save_that_fails_changes_nothing_and_the_next_one_works(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.whole_parts(memory()), 1)
    with pytest.raises((sqlite3.Error, AttributeError, TypeError)):
        await store.save([state_codec.Entries(1, (Entry(9, None, b"x"),)), None], 9)
    assert await store.open("10.0.0.1:7") == (memory(), 1)
    await store.save([state_codec.Entries(4, (Entry(2, None, b"x"),))], 3)
    found, _ = await store.open("10.0.0.1:7")
    assert len(found.entries) == 4
    await store.close()


async def test_what_was_not_committed_when_the_process_died_is_not_there(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.whole_parts(memory()), 1)
    await store.close()
    log = tmp_path / (DATABASE + "-wal")
    other = ControlStore(tmp_path)
    await other.open("10.0.0.1:7")
    await other.save([state_codec.Entries(4, (Entry(2, None, b"x" * 9_000),))], 2)
    content = log.read_bytes()
    copy = tmp_path / "after"
    copy.mkdir()
    (copy / DATABASE).write_bytes((tmp_path / DATABASE).read_bytes())
    for torn in (content[:-5_000], content[:-5_000] + bytes(5_000)):
        (copy / (DATABASE + "-wal")).write_bytes(torn)
        third = ControlStore(copy)
        assert await third.open("10.0.0.1:7") == (memory(), 1)
        await third.close()
    await other.close()


async def test_a_file_that_is_no_store_is_set_aside_and_this_is_somebody_new(tmp_path):
    (tmp_path / DATABASE).write_bytes(b"no database at all" * 500)
    store = ControlStore(tmp_path)
    assert await store.open("10.0.0.1:7") is None
    assert (tmp_path / DAMAGED).exists()
    await store.save(state_codec.whole_parts(memory()), 0)
    await store.close()


def test_soft_state_that_is_torn_or_missing_counts_as_none(tmp_path):
    path = tmp_path / "soft"
    assert read_soft_state(path) is None
    write_soft_state(path, b"content")
    assert read_soft_state(path) == b"content"
    for bad in (b"", b"abc", path.read_bytes()[:-1], path.read_bytes() + b"x"):
        path.write_bytes(bad)
        assert read_soft_state(path) is None


# --- frames ---


async def test_frames_come_whole_and_in_order_also_those_sent_while_connecting():
    heard: list[bytes] = []
    server = FrameServer(lambda connection, frame: heard.append(frame), lambda connection: None)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    link = FrameLink(f"{HOST}:{port}", lambda frame: None)
    assert link.send(b"early")
    await held(lambda: link.is_open)
    for size in (0, 1, 70_000, 3):
        link.send(bytes(size))
    await held(lambda: len(heard) == 5)
    assert heard[0] == b"early" and [len(each) for each in heard[1:]] == [0, 1, 70_000, 3]
    await link.close()
    await server.close()


async def test_a_link_comes_back_after_its_connection_ends_and_answers_go_back_on_it():
    connections: list[FrameConnection] = []
    answers: list[bytes] = []

    def hear(connection: FrameConnection, frame: bytes) -> None:
        connections.append(connection)
        connection.send(frame)

    server = FrameServer(hear, lambda connection: None)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    opened: list[int] = []
    link = FrameLink(f"{HOST}:{port}", answers.append, lambda: opened.append(1))
    await held(lambda: link.is_open)
    link.send(b"one")
    await held(lambda: answers == [b"one"])
    connections[0].close()
    await held(lambda: len(opened) == 2 and link.is_open)
    link.send(b"two")
    await held(lambda: answers == [b"one", b"two"])
    await link.close()
    await server.close()


async def test_a_frame_that_is_too_large_ends_the_connection():
    server = FrameServer(lambda connection, frame: None, lambda connection: None)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"\xff\xff\xff\xff")
    with pytest.raises(ConnectionError):
        if await reader.read() == b"":
            raise ConnectionResetError
    writer.close()
    await server.close()


# --- the API's server ---


class SlowRouter:
    """A subscriber's connection whose other side reads when the test says so."""

    def __init__(self) -> None:
        self.unsent_bytes, self.sent = 0, []

    def send(self, frame: bytes) -> bool:
        self.sent.append(control_messages.decode(frame))
        self.unsent_bytes += len(frame)
        return True

    def close(self) -> None:
        raise AssertionError("it is slow, not gone")


class FakeControlNode:
    """What an update publisher needs of a control node, with a real engine."""

    def __init__(self) -> None:
        plan = ControlSettings("10.0.1.1:7", ("10.0.1.1:7",), True, True, 0, 1_200_000)
        self.engine = ControlEngine("a@10.0.1.1:7", plan, 1, 0, lambda: 0.0)
        self.config = StoredConfig(1, b"x")


async def test_a_router_that_reads_slowly_is_sent_the_newest_configuration_and_none_between():
    node, router = FakeControlNode(), SlowRouter()
    publisher = UpdatePublisher(node, CacheTable())
    publisher.subscribe(router, control_messages.Watch("r", 1))
    router.unsent_bytes, router.sent = 0, []
    for version in range(2, 40):
        node.config = StoredConfig(version, b"x" * 100_000)
        publisher.publish_config(node.config)
    assert [body.version for body in router.sent] == [2]
    router.unsent_bytes = 0
    publisher._send_pending_configs(node.config)
    publisher._send_pending_configs(node.config)
    assert [body.version for body in router.sent] == [2, 39]


async def test_calls_are_answered_and_bodies_are_bounded():
    async def answer(call: HttpRequest) -> HttpResponse:
        return HttpResponse(200, call.body + call.headers["x-a"].encode(), headers={"X-B": "c"})

    server = AsgiServer(answer, max_body_bytes=10)
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    whole = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nX-A: z\r\nContent-Length: 2\r\n\r\nab")
    assert whole.startswith(b"HTTP/1.1 200") and b"x-b: c" in whole and whole.endswith(b"abz")
    large = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11)
    assert large.startswith(b"HTTP/1.1 413")
    await server.close()


async def exchange(port: int, request: bytes, until: bytes = b"") -> bytes:
    """What comes back for these bytes, until the other side is done or this has come."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request)
    answer = b""
    try:
        async with asyncio.timeout(SOON):
            while part := await reader.read(65_536):
                answer += part
                if until and until in answer:
                    break
                head, _, body = answer.partition(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:") and len(body) >= int(line.split(b":")[1]):
                        return answer
    except ConnectionError:
        pass
    finally:
        writer.close()
    return answer


# --- the clients' listener ---

HEAD = b"POST /x/1?q=%20a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nDeadline-Ms: 900\r\n"


@pytest.fixture
async def listener():
    """A listener whose `serve` a test sets."""

    class Front(RequestListener):
        serve: Callable[[ClientRequest, ClientResponse], Awaitable[None]]

        async def forward(self, request: ClientRequest, reply: ClientResponse) -> None:
            self.seen.append(request)
            await self.serve(request, reply)

    made = Front.__new__(Front)
    made.seen = []
    RequestListener.__init__(made, made.forward, lambda: 0, 100)
    await made.listen(HOST, 0)
    yield made
    await made.close()


async def test_a_request_comes_whole_and_its_hop_by_hop_fields_are_left_out(listener):
    async def serve(request: ClientRequest, reply: ClientResponse) -> None:
        await reply.answer(201, (("Server-Signature", "s"),), b"done")

    listener.serve = serve
    fields = b"X-Drop: 1\r\nConnection: keep-alive, x-drop\r\nModel: m\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = await exchange(listener.port, HEAD + fields + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
    [request] = listener.seen
    assert (request.target, request.body, request.timeout_us) == ("/x/1?q=%20a", b"abc", 900_000)
    assert dict(request.headers) == {"Model": "m"}
    assert (
        answer.startswith(b"HTTP/1.1 201") and b"Server-Signature: s" in answer and answer.endswith(b"done")
    )


async def test_events_are_passed_on_as_they_come(listener):
    gate = asyncio.Event()

    async def serve(request: ClientRequest, reply: ClientResponse) -> None:
        await reply.begin(200, (("Content-Type", "text/event-stream"),))
        await reply.write(b"id: 1\n\n")
        await gate.wait()
        await reply.write(b"id: 2\n\n")
        await reply.finish()

    listener.serve = serve
    reader, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    async with asyncio.timeout(SOON):
        first = await reader.readuntil(b"id: 1\n\n")
        gate.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
    assert b"200" in first and b"id: 2" in rest
    writer.close()


async def test_a_stream_that_is_cut_does_not_look_whole(listener):
    async def serve(request: ClientRequest, reply: ClientResponse) -> None:
        await reply.begin(200, ())
        await reply.write(b"id: 1\n\n")
        reply.abort()

    listener.serve = serve
    answer = await exchange(listener.port, HEAD + b"Content-Length: 0\r\n\r\n")
    assert b"0\r\n\r\n" not in answer


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (HEAD + b"Content-Length: 50\r\n\r\n", b"413"),
        (HEAD + b"X-Long: " + b"a" * 3_000 + b"\r\nContent-Length: 0\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", b"400"),
        (HEAD.replace(b"900", b"9x") + b"Content-Length: 0\r\n\r\n", b"400"),
    ],
)
async def test_what_is_beyond_the_limits_or_unreadable_is_told_and_not_served(
    listener, request_bytes, status
):
    listener.max_body_bytes, listener.max_header_bytes = 40, 2_000
    answer = await exchange(listener.port, request_bytes)
    assert answer.split(b" ")[1] == status and listener.seen == []


async def test_a_client_that_leaves_ends_its_request(listener):
    ended = asyncio.Event()

    async def serve(request: ClientRequest, reply: ClientResponse) -> None:
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    listener.serve = serve
    _, writer = await asyncio.open_connection(HOST, listener.port)
    writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
    await held(lambda: bool(listener.seen))
    writer.close()
    async with asyncio.timeout(SOON):
        await ended.wait()


# --- calls to workers ---


@pytest.fixture
async def worker():
    """A worker that says what a test scripts, and keeps what it hears."""

    class Worker:
        says: ClassVar[list[bytes]] = []
        heard: ClassVar[list[bytes]] = []
        connections = 0

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            try:
                while self.says:
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await reader.readexactly(2)
                    self.heard.append(head + body)
                    writer.write(self.says.pop(0))
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

    made = Worker()
    made.says, made.heard = [], []
    server = await asyncio.start_server(made.serve, HOST, 0)
    made.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    yield made
    server.close()


@pytest.fixture
async def client():
    made = HttpWorkerClient(10)
    yield made
    await made.close()


def call_of(worker: object, number: int = 1) -> WorkerCall:
    request = ClientRequest(f"q{number}", "POST", "/a?b", "h", (("Model", "m"),), b"xy", 0, None)
    return WorkerCall(worker.address, request, (("Expect-Instance", "i-1"),))


OK = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Load: 3,1,8\r\nContent-Length: 2\r\n\r\nok"


async def test_a_call_goes_out_as_it_is_with_what_is_left_of_its_time(worker, client):
    worker.says = [OK]
    answer = await client.send(call_of(worker), lambda: 250_000)
    assert (answer.status, answer.reported_in_flight, answer.not_executed) == (200, 4, False)
    assert await answer.body() == b"ok"
    [heard] = worker.heard
    for part in (b"POST /a?b HTTP/1.1", b"Host: h", b"Request-Id: q1", b"Expect-Instance: i-1", b"Model: m"):
        assert part in heard
    assert b"Deadline-Ms: 250" in heard and b"X-Timeout-Ms" not in heard


async def test_a_call_that_is_withdrawn_writes_nothing(worker, client):
    worker.says = [OK]
    with pytest.raises(SendWithdrawnError):
        await client.send(call_of(worker), lambda: None)
    assert worker.heard == []


async def test_a_worker_that_cannot_be_reached_has_not_run_it(client):
    class Nobody:
        address = f"{HOST}:9"

    with pytest.raises(WorkerUnreachableError):
        await client.send(call_of(Nobody), lambda: 1_000_000)


@pytest.mark.parametrize(
    "says",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b"nonsense\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"],
)  # fmt: skip
async def test_an_answer_that_breaks_off_may_have_run(worker, client, says):
    worker.says = [says]
    with pytest.raises(OutcomeUnknownError):
        answer = await client.send(call_of(worker), lambda: 1_000_000)
        await answer.body()


# --- answers whose end is that of their connection ---

UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Type: text/event-stream\r\n\r\n"


async def body_of(answer) -> bytes:
    return await answer.body()


async def chunks_of(answer) -> bytes:
    return b"".join([chunk async for chunk in answer.chunks()])


@pytest.fixture
async def ending_worker():
    """A worker that sends `says`, then, once `go` is set, ends the connection: by FIN, or by RST."""

    class Worker:
        says, reset = b"", False

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                writer.write(self.says)
                await writer.drain()
                await self.go.wait()
                if self.reset:
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                writer.close()

    made = Worker()
    made.go = asyncio.Event()
    server = await asyncio.start_server(made.serve, HOST, 0)
    made.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    yield made
    server.close()


@pytest.mark.parametrize("read", [body_of, chunks_of])
@pytest.mark.parametrize("part", [b"", b"part of it", b"id: 1\ndata: a\n\nid: 2\nda"])
async def test_an_answer_without_a_length_that_is_reset_is_not_whole(ending_worker, client, part, read):
    ending_worker.says, ending_worker.reset = UNFRAMED + part, True
    answer = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.go.set()
    with pytest.raises(OutcomeUnknownError):
        await read(answer)


@pytest.mark.parametrize("read", [body_of, chunks_of])
@pytest.mark.parametrize("part", [b"", b"all of it"])
async def test_an_answer_without_a_length_ends_with_its_connection(ending_worker, client, part, read):
    ending_worker.says = UNFRAMED + part
    answer = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.go.set()
    assert await read(answer) == part


@pytest.mark.parametrize("reset", [False, True])
async def test_a_worker_that_ends_before_its_head_may_have_run_the_call(ending_worker, client, reset):
    ending_worker.reset = reset
    ending_worker.go.set()
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(ending_worker), lambda: 1_000_000)


async def test_a_reset_after_a_whole_answer_with_a_length_takes_nothing_from_it(ending_worker, client):
    ending_worker.says, ending_worker.reset = OK, True
    answer = await client.send(call_of(ending_worker), lambda: 1_000_000)
    ending_worker.go.set()
    assert await answer.body() == b"ok"


async def test_an_answer_to_another_request_is_never_passed_on(worker, client):
    worker.says = [OK.replace(b"q1", b"q7")]
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(worker), lambda: 1_000_000)


async def test_a_success_that_does_not_say_whose_it_is_is_not_passed_on(worker, client):
    worker.says = [OK.replace(b"Request-Id: q1\r\n", b"")]
    with pytest.raises(OutcomeUnknownError):
        await client.send(call_of(worker), lambda: 1_000_000)


async def test_a_second_answer_on_a_kept_connection_is_not_taken_for_the_next_ones(worker, client):
    worker.says = [OK + OK, OK.replace(b"q1", b"q2").replace(b"ok", b"22")]
    answer = await client.send(call_of(worker), lambda: 1_000_000)
    assert await answer.body() == b"ok"
    answer.close()
    await asyncio.sleep(0)
    second = await client.send(call_of(worker, 2), lambda: 1_000_000)
    assert await second.body() == b"22" and worker.connections == 2


async def test_a_worker_says_what_it_has_not_run(worker, client):
    worker.says = [b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"]
    answer = await client.send(call_of(worker), lambda: 1_000_000)
    assert answer.not_executed


async def test_idle_connections_are_closed_before_the_worker_does(worker, client):
    worker.says = [OK.replace(b"Server-Load: 3,1,8", b"Keep-Alive: timeout=2")]
    answer = await client.send(call_of(worker), lambda: 1_000_000)
    await answer.body()
    assert client.session.connector._keepalive_timeout < 2
