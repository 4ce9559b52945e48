"""The admin endpoint: the response to each call; silent or malformed callers do not block others."""

import asyncio

import pytest

from hazelbend.dispatcher import config
from hazelbend.transport.http import admin_listener
from tests.dispatcher.test_reload import changed
from tests.support.parser_kit import malformed_bytes, random_chunks
from tests.support.site_kit import running_app, wait_until
from tests.transport.test_client_listener import request, send_and_receive

OPS_ADDRESS = "127.0.0.1:0"


def call(path: str, method: str = "GET", version: str = "1.1", more: str = "") -> bytes:
    return f"{method} {path} HTTP/{version}\r\nHost: x\r\n{more}\r\n".encode()


async def call_ops(app, path: str, method: str = "GET") -> tuple[int, str]:
    """Send one request to the admin endpoint, which then closes the connection; return status and text."""
    head, _, text = (await send_and_receive(app.admin.listener.port, call(path, method))).partition(
        b"\r\n\r\n"
    )
    return int(head.split()[1]), text.decode()


def test_each_call_gets_its_status_and_the_connection_closes(tmp_path):
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
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            for (method, path), status in calls.items():
                assert (await call_ops(app, path, method))[0] == status, (method, path)
            for malformed in (b"\x16\x03\x01\r\n\r\n", call("/ops/readiness").replace(b"HTTP", b"HTCPCP")):
                assert b" 400 " in await send_and_receive(app.admin.listener.port, malformed)
            body = call("/ops/drain/stop", "POST", more="Content-Length: 2\r\n") + b"ab"
            assert b" 200 " in await send_and_receive(app.admin.listener.port, body)
            assert app.accepts_clients and not app.router.counters.received

    asyncio.run(run())


def test_admin_endpoint_is_disabled_without_its_setting(tmp_path):
    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            assert app.admin.listener is None and app.conf.ops is None

    asyncio.run(run())


def test_invalid_address_is_reported(tmp_path):
    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            with pytest.raises(config.ConfigError, match="ops: 'here' is no address:port"):
                changed(app, tmp_path, ops="here")

    asyncio.run(run())


def test_silent_and_slow_callers_are_evicted(tmp_path):
    """Guards the operators' access and the few file descriptors that are reserved for it."""

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
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


def test_client_connection_limit_does_not_block_operators(tmp_path):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
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


def test_fragmented_calls_are_answered_and_garbage_does_no_harm(tmp_path):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            good = call("/ops/readiness")
            for seed in range(25):
                chunks = [chunk for chunk in random_chunks(good, seed) if chunk]
                assert b" 200 " in await send_and_receive(app.admin.listener.port, *chunks)
                answer = await send_and_receive(
                    app.admin.listener.port, malformed_bytes(good, seed), end=True
                )
                assert not answer or answer.startswith(b"HTTP/1.")
            assert app.accepts_clients

    asyncio.run(run())


def test_admin_listener_moves_at_a_reload_or_keeps_its_address(tmp_path, caplog):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            first = app.admin.listener
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.client_listener.port}"))
            await wait_until(lambda: "the door stays where it was" in caplog.text)
            assert app.admin.listener is first and (await call_ops(app, "/ops/readiness"))[0] == 200
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.client_listener.port}"))
            await wait_until(lambda: caplog.text.count("the door stays where it was") == 2)  # it was retried
            app.apply(changed(app, tmp_path, ops="127.0.0.2:0"))
            app.apply(changed(app, tmp_path, ops="localhost:0"))
            await wait_until(
                lambda: app.admin.listener is not first and app.admin.address == ("localhost", 0)
            )
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            app.apply(changed(app, tmp_path))
            await wait_until(lambda: app.admin.listener is None)

    asyncio.run(run())
