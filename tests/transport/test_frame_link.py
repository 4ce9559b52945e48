"""Frame links between the processes of the router fleet, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.peer.frame_link import FrameConnection, FrameLink, FrameServer
from tests.support.socket_kit import HOST, eventually

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def frame_server(on_frame, connection_limit: int = 10) -> FrameServer:
    memory = ConnectionMemory(connection_limits(256))
    return FrameServer(on_frame, lambda connection: None, connection_limit, memory)


async def test_connections_that_sent_no_frame_are_closed_for_new_ones():
    """Guards against strangers at the port for the fleet's processes that take all its connections."""
    received: list[bytes] = []
    server = frame_server(lambda connection, frame: received.append(frame), connection_limit=2)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    link = FrameLink(f"{HOST}:{port}", lambda frame: None)
    link.send(b"known")
    await eventually(lambda: received == [b"known"])
    silent = [await asyncio.open_connection(HOST, port) for _ in range(4)]
    for reader, _ in silent[:3]:
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 10)
    assert link.is_open and len(server.connections) == 2
    for _, writer in silent:
        writer.close()
    await link.close()
    await server.close()


async def test_frames_arrive_in_order_including_those_sent_while_connecting():
    received: list[bytes] = []
    server = frame_server(lambda connection, frame: received.append(frame))
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    link = FrameLink(f"{HOST}:{port}", lambda frame: None)
    assert link.send(b"early")
    await eventually(lambda: link.is_open)
    for size in (0, 1, 70_000, 3):
        link.send(bytes(size))
    await eventually(lambda: len(received) == 5)
    assert received[0] == b"early" and [len(content) for content in received[1:]] == [0, 1, 70_000, 3]
    await link.close()
    await server.close()


async def test_link_reconnects_and_replies_use_the_connection_of_the_frame():
    connections: list[FrameConnection] = []
    replies: list[bytes] = []

    def echo(connection: FrameConnection, frame: bytes) -> None:
        connections.append(connection)
        connection.send(frame)

    server = frame_server(echo)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    opened: list[int] = []
    link = FrameLink(f"{HOST}:{port}", replies.append, lambda: opened.append(1))
    await eventually(lambda: link.is_open)
    link.send(b"one")
    await eventually(lambda: replies == [b"one"])
    connections[0].close()
    await eventually(lambda: len(opened) == 2 and link.is_open)
    link.send(b"two")
    await eventually(lambda: replies == [b"one", b"two"])
    await link.close()
    await server.close()


async def test_too_large_frame_closes_the_connection():
    server = frame_server(lambda connection, frame: None)
    await server.listen(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"\xff\xff\xff\xff")
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        if await reader.read() == b"":
            raise ConnectionResetError
    writer.close()
    await server.close()


# Guards against a task that goes on after its cancellation: the link that it closed took that for its own.
async def test_caller_that_is_cancelled_while_it_closes_a_link_ends_and_the_link_is_closed():
    server = frame_server(lambda connection, frame: None)
    await server.listen(HOST, 0)
    link = FrameLink(f"{HOST}:{server._server.sockets[0].getsockname()[1]}", lambda frame: None)
    await eventually(lambda: link.is_open)
    closing = asyncio.create_task(link.close())
    asyncio.get_running_loop().call_soon(closing.cancel)  # runs right after the first step of `closing`
    await asyncio.wait([closing])
    assert closing.cancelled()
    assert not link.is_open and link._task.done()
    await server.close()
