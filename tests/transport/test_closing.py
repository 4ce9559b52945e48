"""How clients' connections end: nothing that was written is lost, whatever comes in that moment."""

import asyncio
import os
import socket
import struct

import pytest

from hazelbend.dispatcher import shutdown
from hazelbend.transport.http import client_connection, half_close, http_listener
from tests.support.crossing_kit import turns
from tests.support.site_kit import SETTINGS, site, wait_until
from tests.transport.test_client_listener import open_keep_alive, request

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


def at_once(writer, data: bytes) -> None:
    """Into the kernel in this turn of the loop."""
    os.write(writer.get_extra_info("socket").fileno(), data)


async def rest(reader) -> bytes:
    """All that comes until the connection is closed; a reset raises."""
    return await asyncio.wait_for(reader.read(), 10)


@pytest.mark.parametrize("close", ["stop accepting", "make room", "drain"])
def test_bytes_that_come_between_the_look_and_the_close_reset_nothing(tmp_path, monkeypatch, close):
    """Guards a request that crosses a close: the kernel was asked for unread bytes, then the socket
    closed; what came in between reset it. Read and dropped, it is clear to the client that it was not
    taken."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await open_keep_alive(app.client_listener.port)
            monkeypatch.setattr(client_connection.ClientConnection, "has_unread", False)
            at_once(writer, request("crossing"))
            if close == "stop accepting":
                app.client_listener.stop_accepting()
            elif close == "make room":
                app.client_listener.connection_limit = 0
                app.client_listener._evict_connection()
            else:
                app.client_listener.start_draining(0.0, 0.0)
                app.client_listener._sweep()
            assert await rest(reader) == b""
            writer.close()
            await wait_until(
                lambda: app.client_listener.connections == 0 and not app.client_listener._lingering
            )
            assert toy.ran == ["first"] and app.router.counters.received == 1

    asyncio.run(run())


def test_an_answer_arrives_whole_though_its_client_goes_on_sending(tmp_path):
    """Guards an error's answer: it was lost behind the reset of a close over bytes that were not read."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            head = request(body=b"").replace(b"Length: 0", b"Length: 3000000")
            writer.write(head + b"x" * 3_000_000)
            answer = await rest(reader)
            assert answer.startswith(b"HTTP/1.1 413 ") and answer.endswith(b"over 64 KiB\n")
            writer.close()

    asyncio.run(run())


def test_an_answer_with_which_a_connection_closes_arrives_before_what_was_sent_behind(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request("a", b"100"))
            await wait_until(lambda: toy.ran)
            app.client_listener.connection_limit = 0  # its answer closes the connection
            writer.write(request("b") * 200)
            answer = await rest(reader)
            assert b"\r\nConnection: close\r\n" in answer and answer.endswith(b"did a")
            writer.close()
            assert toy.ran == ["a"]

    asyncio.run(run())


def test_a_half_closed_connection_is_read_for_a_while_and_no_longer(tmp_path, monkeypatch):
    monkeypatch.setattr(half_close, "LINGER_S", 0.05)

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await open_keep_alive(app.client_listener.port)
            app.client_listener.stop_accepting()
            assert await rest(reader) == b""
            assert not app.client_listener.connections
            await wait_until(lambda: not app.client_listener._lingering)
            writer.close()

    asyncio.run(run())


def test_who_lingers_is_counted(tmp_path, monkeypatch):
    """Guards the descriptors: where many are half-closed the next are closed at once."""
    monkeypatch.setattr(http_listener, "MAX_LINGERING", 2)

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            peers = [await open_keep_alive(app.client_listener.port, f"k{number}") for number in range(5)]
            for connection in list(app.client_listener._open):
                connection.force_close()
            assert len(app.client_listener._lingering) == 2
            assert [await rest(reader) for reader, _ in peers] == [b""] * 5
            for _, writer in peers:
                writer.close()

    asyncio.run(run())


def test_connections_that_wait_to_be_accepted_as_the_listener_closes_are_served(tmp_path):
    """Guards clients whose connection was up, in the kernel, and was reset with the listening socket.

    All 40 requests open a connection to the toy server in one turn of the event loop. On a busy machine that
    takes longer than the default connect timeout of 250 ms; the server is then taken for unreachable, and the
    requests are refused once their objective has passed. Connecting is not what is tested here.
    """
    limits = SETTINGS["limits"] | {"connect_timeout_us": 10_000_000}

    async def run():
        async with site(tmp_path, stomp="", limits=limits) as (app, _):
            port, waiting = app.client_listener.port, []
            for number in range(40):
                peer = socket.create_connection(("127.0.0.1", port))
                peer.sendall(request(f"w{number}"))
                peer.setblocking(False)
                waiting.append(peer)
            app.client_listener.stop_accepting()  # not one of them has been accepted in this turn
            for number, peer in enumerate(waiting):
                reader, writer = await asyncio.open_connection(sock=peer)
                answer = await rest(reader)
                assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"did w%d" % number)
                assert b"\r\nConnection: close\r\n" in answer
                writer.close()

    asyncio.run(run())


def test_a_new_connection_that_has_sent_nothing_yet_is_answered_as_the_doors_close(tmp_path):
    """Guards a first request that is on its way: a close without an answer would lose it."""

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            await wait_until(lambda: app.client_listener.connections == 1)
            app.client_listener.stop_accepting()
            await turns()
            writer.write(request("late"))
            assert (await rest(reader)).endswith(b"did late")
            writer.close()

    asyncio.run(run())


def test_the_program_ends_after_the_answers_to_what_was_sent_in_part(tmp_path, monkeypatch):
    """Guards a planned end: with no request open the program closed at once, over a request of which only the
    head had come, and over one that had waited in the kernel."""
    monkeypatch.setattr(shutdown, "FIRST_REQUESTS_S", 0.05)
    monkeypatch.setattr(shutdown, "NEW_CONNECTIONS_S", 0.05)
    monkeypatch.setattr(shutdown, "LAST_JOBS_S", 3.5)

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            data = request("part", b"50")
            writer.write(data[:-1])
            await wait_until(lambda: any(each.has_partial_request for each in app.client_listener._open))
            leaving = asyncio.create_task(app.leave())
            await wait_until(lambda: not app.client_listener._is_serving)
            await turns()
            assert not leaving.done()
            writer.write(data[-1:])
            assert (await rest(reader)).endswith(b"did part")
            writer.close()
            await asyncio.wait_for(leaving, 10)

    asyncio.run(run())


# --- clients that go ---


def by_fin(writer):
    writer.close()


def by_reset(writer):
    handle = writer.get_extra_info("socket")
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def by_half(writer):
    writer.write_eof()


@pytest.mark.parametrize("go", [by_fin, by_reset, by_half])
@pytest.mark.parametrize("behind", [0, 1, 200], ids=["nothing behind", "one behind", "many behind"])
def test_a_client_that_goes_is_seen_to_go_whatever_it_has_sent_before(tmp_path, go, behind):
    """Guards servers' work for nobody: with 32 requests waiting, reading was paused, so the end that stood
    behind them was not seen, and each of them was sent on in its turn."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            _, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request("first", b"hang") + b"".join(request(f"b{n}") for n in range(behind)))
            await wait_until(lambda: toy.ran and app.client_listener._open)
            await writer.drain()
            go(writer)
            await wait_until(lambda: app.router.counters.abandoned == 1)
            await wait_until(lambda: not app.router.requests and toy.holds == 0)
            assert toy.ran == ["first"] and app.router.counters.received == 1
            writer.close()

    asyncio.run(run())


def test_more_than_can_be_held_back_ends_the_connection_after_its_answer(tmp_path):
    """Guards memory: what a client sends ahead of its answers is bounded."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            many = b"".join(request(f"b{number}") for number in range(4_000))
            assert len(many) > half_close.READ_AHEAD_BYTES
            writer.write(request("first", b"300") + many)
            answer = await rest(reader)
            assert answer.endswith(b"did first") and toy.ran == ["first"]
            writer.close()

    asyncio.run(run())


def test_requests_sent_ahead_are_answered_in_order(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            names = [f"b{number}" for number in range(100)]
            writer.write(b"".join(request(name) for name in names))
            for name in names:
                await asyncio.wait_for(reader.readuntil(b"did " + name.encode()), 10)
            assert toy.ran == names
            writer.close()

    asyncio.run(run())


def test_the_time_of_a_request_that_waits_behind_another_goes_on(tmp_path):
    """Guards an answer by its time: one sent behind another was given its whole time anew."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request("long", b"400") + request("short", timeout=200))
            await reader.readuntil(b"did long")
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            assert answer.startswith(b"HTTP/1.1 503 ") and toy.ran == ["long"]
            writer.close()

    asyncio.run(run())


def test_the_time_of_a_request_begins_with_it_whatever_came_before_on_its_connection(tmp_path):
    """Guards the count of waiting: a call for health, or a body that came later than its head, was not
    counted off, and what came next on the connection was refused as late."""

    async def run():
        async with site(tmp_path, stomp="") as (app, [toy]):
            reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"ok\n")
            data = request("slow", b"10")
            writer.write(data[:-1])
            await wait_until(lambda: any(each.has_partial_request for each in app.client_listener._open))
            await asyncio.sleep(0.3)
            writer.write(data[-1:])
            await reader.readuntil(b"did slow")
            writer.write(request("next", b"1", timeout=200))
            assert (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)).startswith(b"HTTP/1.1 200 ")
            assert toy.ran == ["slow", "next"]
            writer.close()

    asyncio.run(run())


def test_where_all_are_at_work_new_connections_are_shut_before_descriptors_run_out(tmp_path, monkeypatch):
    """Seen on the bench: `descriptors 942 of 672`. Nobody could be closed to make room, and all came in."""
    monkeypatch.setattr(http_listener, "MAX_EXCESS", 2)

    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            app.client_listener.connection_limit = 3
            peers = []
            for number in range(9):
                reader, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
                writer.write(request(f"h{number}", b"hang"))
                peers.append((reader, writer))
            await wait_until(lambda: len(app.router.requests) == 5)
            shut = [await rest(reader) for reader, _ in peers[5:]]
            assert shut == [b""] * 4 and app.client_listener.connections == 5
            for _, writer in peers:
                writer.close()

    asyncio.run(run())
