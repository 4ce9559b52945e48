"""Drain: clients are sent away without lost requests, and are accepted again after the drain is stopped."""

import asyncio
import http.client
import signal
from dataclasses import replace

import pytest

from hazelbend.dispatcher import drain
from hazelbend.transport.http import client_connection, http_listener
from tests.dispatcher.test_program import free_port, send_request, start, start_with_toy_server, wait_for  # noqa: F401
from tests.dispatcher.test_reload import changed
from tests.support.site_kit import FakeStompClient, running_app, wait_until
from tests.transport.test_admin_listener import OPS_ADDRESS, call_ops
from tests.transport.test_client_listener import open_keep_alive, request, send_and_receive

HEALTHZ = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@pytest.fixture
def short_drain(monkeypatch):
    """Halve the times of a drain, so that the limits of the test have a margin on a busy machine."""
    assert (
        client_connection.REQUEST_TIMEOUT_S + 0.4 + 3 * http_listener.SWEEP_PERIOD_S
        < drain.REQUESTS_END_S
        < 4.0 - 2 * 0.1
    )
    assert drain.DEADLINE_FROM_S < 2.0 and drain.IDLE_GRACE_S > 0.3 and drain.WINDOW_END_S > 4.0
    for name in ("IDLE_GRACE_S", "DEADLINE_FROM_S", "REQUESTS_END_S", "WINDOW_END_S", "STOMP_SWEEP_PERIOD_S"):
        monkeypatch.setattr(drain, name, getattr(drain, name) / 2)
    monkeypatch.setattr(http_listener, "SWEEP_PERIOD_S", 0.02)


def test_drain_fails_health_checks_serves_requests_and_closes_idle_connections(tmp_path):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            reader, writer = await open_keep_alive(app.client_listener.port)
            idle, _ = await open_keep_alive(app.client_listener.port, "idle")
            long = asyncio.create_task(send_and_receive(app.client_listener.port, request("long", b"2500")))
            await wait_until(lambda: app.router.requests)
            assert (await call_ops(app, "/ops/drain/start", "POST"))[0] == 200
            assert (await call_ops(app, "/ops/readiness"))[0] == 503
            assert b" 503 " in await send_and_receive(app.client_listener.port, HEALTHZ)
            late = await send_and_receive(app.client_listener.port, request("late"))
            assert b" 200 " in late and b"\r\nConnection: close\r\n" in late
            writer.write(request("on a kept one"))
            answer = await reader.read()
            assert b" 200 " in answer and b"\r\nConnection: close\r\n" in answer
            assert await idle.read() == b"", "an idle connection is closed without a response"
            assert app.client_listener.connections == 1, "an accepted request continues"
            assert b" 200 " in await long
            assert (await call_ops(app, "/ops/drain/start", "POST"))[0] == 200, (
                "a second start changes nothing"
            )
            assert (await call_ops(app, "/ops/drain/stop", "POST"))[0] == 200
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            assert b" 200 " in await send_and_receive(app.client_listener.port, HEALTHZ)
            _, again = await open_keep_alive(app.client_listener.port, "again")
            assert app.client_listener.connections == 1
            again.close()

    asyncio.run(run())


def test_request_late_in_a_drain_gets_the_final_deadline(tmp_path, short_drain):
    """Guards the rule that 4 s after the start of a drain no connection has a request of the last 2 s."""

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            loop = asyncio.get_running_loop()
            app.drain()
            began = loop.time()
            await wait_until(lambda: "drain" in app._final_deadlines)  # later requests have it
            partial_reader, partial_writer = await asyncio.open_connection(
                "127.0.0.1", app.client_listener.port
            )
            partial_writer.write(request("half")[:40])
            answer = await send_and_receive(app.client_listener.port, request("late", b"hang"))
            assert answer.startswith(b"HTTP/1.1 50") and loop.time() - began < 3.0, (
                "the final deadline, not its own timeout of 4 s"
            )
            assert b" 408 " in await partial_reader.read()
            # Waits for the dispatcher itself: on a busy machine the window ends later than WINDOW_END_S.
            await wait_until(
                lambda: loop.time() - began > drain.WINDOW_END_S and "drain" not in app._final_deadlines
            )
            after = asyncio.create_task(send_and_receive(app.client_listener.port, request("after", b"100")))
            assert b" 200 " in await after, "later clients are served as well"

    asyncio.run(run())


def test_request_timeout_is_restored_after_the_drain_window(tmp_path, short_drain):
    """Guards clients that connect after the window of a drain that was not stopped.

    The sweep over the connections treated them as late clients of the drain, with its short request timeout.
    """

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            app.drain()
            await wait_until(lambda: "drain" in app._final_deadlines)
            await wait_until(lambda: "drain" not in app._final_deadlines)
            silent_reader, silent_writer = await asyncio.open_connection(
                "127.0.0.1", app.client_listener.port
            )
            fragmented_reader, fragmented_writer = await asyncio.open_connection(
                "127.0.0.1", app.client_listener.port
            )
            fragmented_writer.write(request("in parts")[:40])
            await asyncio.sleep(5 * http_listener.SWEEP_PERIOD_S)
            fragmented_writer.write(request("in parts")[40:])
            silent_writer.write(request("after a silence"))
            async with asyncio.timeout(10):
                assert b" 200 " in await fragmented_reader.read()
                assert b" 200 " in await silent_reader.read()

    asyncio.run(run())


def test_drain_can_be_restarted_and_survives_a_reload(tmp_path, short_drain):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            for _ in range(3):
                app.drain()
                assert app.undrain() and app.undrain()
            app.drain()
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.admin.listener.port}", name="n9"))
            assert not app.accepts_clients, "a reload does not stop a drain"
            app.undrain()
            reader, writer = await open_keep_alive(app.client_listener.port)
            await asyncio.sleep(drain.WINDOW_END_S)
            writer.write(request("on"))
            async with asyncio.timeout(30):  # a refusal does not contain this text
                answer = await reader.readuntil(b"did on")
            assert b" 200 " in answer, "the stopped drains have no effect any more"
            assert app._final_deadlines == {} and app.accepts_clients
            writer.close()

    asyncio.run(run())


def test_drain_disconnects_stomp_clients_after_their_answers(tmp_path, short_drain, monkeypatch):
    monkeypatch.setattr("hazelbend.transport.stomp.stomp_session.IDLE_GRACE_S", 0.01)

    async def run():
        async with running_app(tmp_path, ops=OPS_ADDRESS) as (app, _):
            idle = await FakeStompClient.connect(app.stomp.port, client_id="idle")
            busy = await FakeStompClient.connect(app.stomp.port, client_id="busy")
            worker = await FakeStompClient.connect(app.stomp.port, login="box-1")
            busy.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            busy.job("b", b"1000")
            await wait_until(lambda: app.router.requests)
            app.drain()
            await wait_until(lambda: idle.closed)
            assert "emptied" in idle.frames_with_command("ERROR")[0].headers["message"] and not busy.closed
            await wait_until(lambda: busy.closed)
            assert busy.statuses_by_request() == {"b": ["served"]} and not worker.closed
            # A client that connects in the window has a final deadline, on STOMP too.
            await asyncio.sleep(drain.WINDOW_END_S)
            # Time to send its frames: a busy machine needs more than the clients before had.
            monkeypatch.setattr("hazelbend.transport.stomp.stomp_session.IDLE_GRACE_S", 2.0)
            late = await FakeStompClient.connect(app.stomp.port, client_id="late")
            late.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            late.job("l", b"1")
            await wait_until(lambda: late.closed)
            assert late.statuses_by_request() == {"l": ["served"]}
            app.undrain()

    asyncio.run(run())


def test_shutdown_in_an_upgrade_removes_the_final_deadline_of_a_drain(tmp_path, short_drain, monkeypatch):
    """Guards requests on open connections after SIGTERM: an expired deadline of a drain refused them."""
    monkeypatch.setattr("hazelbend.dispatcher.shutdown.FIRST_REQUESTS_S", 0.3)

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            app.conf = replace(app.conf, passed_socket=3)
            _, first = await open_keep_alive(app.client_listener.port, "first")
            _reader, writer = await open_keep_alive(app.client_listener.port)
            app.drain()
            await wait_until(lambda: app._final_deadlines)
            leaving = asyncio.create_task(app.leave())
            await wait_until(lambda: app.is_shutting_down)
            assert "drain" not in app._final_deadlines
            leaving.cancel()
            await asyncio.gather(leaving, return_exceptions=True)
            first.close()
            writer.close()

    asyncio.run(run())


def test_admin_listener_answers_during_shutdown_and_refuses_to_stop_the_drain(start, tmp_path):  # noqa: F811
    """Guards a shutdown: the admin listener answers until its end, and stopping a drain can't cancel it."""
    ops = free_port()
    program, port, _toy, _ = start_with_toy_server(start, tmp_path, ops=f"127.0.0.1:{ops}")
    running = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    running.request("POST", "/nearby/1", "2900", headers)
    assert send_request(ops, "POST", "/ops/drain/start")[0] == 200
    wait_for(lambda: b"draining: " in (tmp_path / "log").read_bytes())
    program.send_signal(signal.SIGTERM)
    wait_for(lambda: b"shutting down" in (tmp_path / "log").read_bytes())
    assert send_request(ops, "POST", "/ops/drain/stop")[0] == 409
    assert send_request(ops, "GET", "/ops/readiness")[0] == 503
    assert send_request(ops, "POST", "/ops/drain/start")[0] == 200
    response = running.getresponse()
    assert (response.status, response.read()) == (200, b"toy did long")
    assert program.wait(10) == 0
