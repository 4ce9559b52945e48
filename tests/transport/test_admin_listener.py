"""The operators' door: what each call is answered, and that silent or odd callers keep nobody out."""

import asyncio

import pytest

from hazelbend.dispatcher import config
from hazelbend.transport.http import admin_listener
from tests.dispatcher.test_reload import changed
from tests.support.parser_kit import garbage, pieces
from tests.support.site_kit import site, wait_until
from tests.transport.test_client_listener import request, send_and_receive

OPS_ADDRESS = "127.0.0.1:0"


def call(path: str, method: str = "GET", version: str = "1.1", more: str = "") -> bytes:
    return f"{method} {path} HTTP/{version}\r\nHost: x\r\n{more}\r\n".encode()


async def call_ops(app, path: str, method: str = "GET") -> tuple[int, str]:
    """One call: its status and text; the door closes after it."""
    head, _, text = (await send_and_receive(app.admin.listener.port, call(path, method))).partition(
        b"\r\n\r\n"
    )
    return int(head.split()[1]), text.decode()


def test_each_call_has_its_answer_and_closes(tmp_path):
    calls = {
        ("GET", "/ops/readiness"): 200,
        ("POST", "/ops/readiness"): 405,
        ("GET", "/ops/drain/start"): 405,
        ("POST", "/ops/drain/stop"): 200,
        ("GET", "/ops/nothing"): 404,
        ("GET", "/healthz"): 404,
        ("POST", "/nearby/1"): 404,
    }

    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            for (method, path), status in calls.items():
                assert (await call_ops(app, path, method))[0] == status, (method, path)
            for wrong in (b"\x16\x03\x01\r\n\r\n", call("/ops/readiness").replace(b"HTTP", b"HTCPCP")):
                assert b" 400 " in await send_and_receive(app.admin.listener.port, wrong)
            body = call("/ops/drain/stop", "POST", more="Content-Length: 2\r\n") + b"ab"
            assert b" 200 " in await send_and_receive(app.admin.listener.port, body)
            assert app.accepts_clients and not app.router.counters.received

    asyncio.run(run())


def test_without_the_key_there_is_no_door(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            assert app.admin.listener is None and app.conf.ops is None

    asyncio.run(run())


def test_a_bad_address_is_named(tmp_path):
    async def run():
        async with site(tmp_path, stomp="") as (app, _):
            with pytest.raises(config.ConfigError, match="ops: 'here' is no address:port"):
                changed(app, tmp_path, ops="here")

    asyncio.run(run())


def test_silent_and_slow_callers_make_room(tmp_path):
    """Guards the operators' way in, and the few descriptors that are kept for it."""

    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            writers = []
            for number in range(4 * admin_listener.CONNECTION_LIMIT):
                _, writer = await asyncio.open_connection("127.0.0.1", app.admin.listener.port)
                if number % 2:
                    writer.write(call("/ops/readiness")[:-7])
                writers.append(writer)
                assert app.admin.listener.connections <= 2 * admin_listener.CONNECTION_LIMIT + 1
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            for writer in writers:
                writer.close()
            await wait_until(lambda: not app.admin.listener.connections)

    asyncio.run(run())


def test_full_clients_keep_no_operator_out(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            app.client_listener.connection_limit = 1
            running = [
                asyncio.create_task(send_and_receive(app.client_listener.port, request(f"r{n}", b"300")))
                for n in range(4)
            ]
            await wait_until(lambda: len(app.router.requests) == 4)
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            app.client_listener.connection_limit = 0
            await asyncio.gather(*running)

    asyncio.run(run())


def test_random_cuts_and_garbage_at_the_door(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            good = call("/ops/readiness")
            for seed in range(25):
                cut = [piece for piece in pieces(good, seed) if piece]
                assert b" 200 " in await send_and_receive(app.admin.listener.port, *cut)
                answer = await send_and_receive(app.admin.listener.port, garbage(good, seed), end=True)
                assert not answer or answer.startswith(b"HTTP/1.")
            assert app.accepts_clients

    asyncio.run(run())


def test_the_door_moves_at_a_reload_or_stays_where_it_was(tmp_path, caplog):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            first = app.admin.listener
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.client_listener.port}"))
            await wait_until(lambda: "the door stays where it was" in caplog.text)
            assert app.admin.listener is first and (await call_ops(app, "/ops/readiness"))[0] == 200
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.client_listener.port}"))
            await wait_until(lambda: caplog.text.count("the door stays where it was") == 2)  # tried again
            app.apply(changed(app, tmp_path, ops="127.0.0.2:0"))
            app.apply(changed(app, tmp_path, ops="localhost:0"))
            await wait_until(
                lambda: app.admin.listener is not first and app.admin.address == ("localhost", 0)
            )
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            app.apply(changed(app, tmp_path))
            await wait_until(lambda: app.admin.listener is None)

    asyncio.run(run())
