"""A drain: clients are sent away and nothing is cut; the program runs on, and takes them again when told."""

import asyncio
import http.client
import signal
from dataclasses import replace

import pytest

from hazelbend.dispatcher import drain
from hazelbend.transport.http import client_connection, http_listener
from tests.dispatcher.test_program import ask, free_port, run_with_a_toy, start, wait_for  # noqa: F401
from tests.dispatcher.test_reload import changed
from tests.support.site_kit import FakeStompClient, running_app, wait_until
from tests.transport.test_admin_listener import OPS_ADDRESS, call_ops
from tests.transport.test_client_listener import open_keep_alive, request, send_and_receive

HEALTHZ = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@pytest.fixture
def hurried(monkeypatch):
    """A drain at half of its time, so that a busy machine has room in it."""
    assert (
        client_connection.REQUEST_TIMEOUT_S + 0.4 + 3 * http_listener.SWEEP_PERIOD_S
        < drain.REQUESTS_END_S
        < 4.0 - 2 * 0.1
    )
    assert drain.DEADLINE_FROM_S < 2.0 and drain.IDLE_GRACE_S > 0.3 and drain.WINDOW_END_S > 4.0
    for name in ("IDLE_GRACE_S", "DEADLINE_FROM_S", "REQUESTS_END_S", "WINDOW_END_S", "STOMP_SWEEP_PERIOD_S"):
        monkeypatch.setattr(drain, name, getattr(drain, name) / 2)
    monkeypatch.setattr(http_listener, "SWEEP_PERIOD_S", 0.02)


def test_a_drain_says_no_serves_what_comes_and_closes_what_is_idle(tmp_path):
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
            assert await idle.read() == b"", "it was idle: closed without a word"
            assert app.client_listener.connections == 1, "what was taken before goes on"
            assert b" 200 " in await long
            assert (await call_ops(app, "/ops/drain/start", "POST"))[0] == 200, "it may be said again"
            assert (await call_ops(app, "/ops/drain/stop", "POST"))[0] == 200
            assert (await call_ops(app, "/ops/readiness"))[0] == 200
            assert b" 200 " in await send_and_receive(app.client_listener.port, HEALTHZ)
            _, again = await open_keep_alive(app.client_listener.port, "again")
            assert app.client_listener.connections == 1
            again.close()

    asyncio.run(run())


def test_a_job_that_comes_late_in_a_drain_is_over_in_time(tmp_path, hurried):
    """Guards the rule that at 4 s no connection carries a job of the last 2 s."""

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            loop = asyncio.get_running_loop()
            app.drain()
            began = loop.time()
            await wait_until(lambda: "drain" in app._final_deadlines)  # what comes from now on is bounded
            half, slow = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            slow.write(request("half")[:40])
            answer = await send_and_receive(app.client_listener.port, request("late", b"hang"))
            assert answer.startswith(b"HTTP/1.1 50") and loop.time() - began < 3.0, "not its own 4 s"
            assert b" 408 " in await half.read()
            # Its end is told by the program: on a busy machine it is later than the clock says.
            await wait_until(
                lambda: loop.time() - began > drain.WINDOW_END_S and "drain" not in app._final_deadlines
            )
            after = asyncio.create_task(send_and_receive(app.client_listener.port, request("after", b"100")))
            assert b" 200 " in await after, "who comes even then is served"

    asyncio.run(run())


def test_a_request_that_comes_in_parts_after_a_drain_is_over_has_its_whole_time(tmp_path, hurried):
    """Guards who comes once nobody asks any more whether connections are left: the look at connections took
    them for late ones of the drain, for as long as it was not stopped."""

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            app.drain()
            await wait_until(lambda: "drain" in app._final_deadlines)
            await wait_until(lambda: "drain" not in app._final_deadlines)
            silent, later = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            parted, sending = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            sending.write(request("in parts")[:40])
            await asyncio.sleep(5 * http_listener.SWEEP_PERIOD_S)
            sending.write(request("in parts")[40:])
            later.write(request("after a silence"))
            async with asyncio.timeout(10):
                assert b" 200 " in await parted.read()
                assert b" 200 " in await silent.read()

    asyncio.run(run())


def test_stop_crosses_start_and_a_reload(tmp_path, hurried):
    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            for _ in range(3):
                app.drain()
                assert app.undrain() and app.undrain()
            app.drain()
            app.apply(changed(app, tmp_path, ops=f"127.0.0.1:{app.admin.listener.port}", name="n9"))
            assert not app.accepts_clients, "a reload ends no drain"
            app.undrain()
            reader, writer = await open_keep_alive(app.client_listener.port)
            await asyncio.sleep(drain.WINDOW_END_S)
            writer.write(request("on"))
            async with asyncio.timeout(30):  # a refusal would not hold these words
                answer = await reader.readuntil(b"did on")
            assert b" 200 " in answer, "nothing of the drains is left"
            assert app._final_deadlines == {} and app.accepts_clients
            writer.close()

    asyncio.run(run())


def test_stomp_clients_are_sent_away_when_they_have_their_answers(tmp_path, hurried, monkeypatch):
    monkeypatch.setattr("hazelbend.transport.stomp.stomp_session.IDLE_GRACE_S", 0.01)

    async def run():
        async with running_app(tmp_path, ops=OPS_ADDRESS) as (app, _):
            idle = await FakeStompClient.connect(app.stomp.port, client_id="idle")
            busy = await FakeStompClient.connect(app.stomp.port, client_id="busy")
            box = await FakeStompClient.connect(app.stomp.port, login="box-1")
            busy.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            busy.job("b", b"1000")
            await wait_until(lambda: app.router.requests)
            app.drain()
            await wait_until(lambda: idle.closed)
            assert "emptied" in idle.frames_with_command("ERROR")[0].headers["message"] and not busy.closed
            await wait_until(lambda: busy.closed)
            assert busy.statuses_by_request() == {"b": ["served"]} and not box.closed
            await asyncio.sleep(drain.WINDOW_END_S)  # what comes at its end is cut short, on this front too
            # Time to say what it wants: on a busy machine that is more than the others were given.
            monkeypatch.setattr("hazelbend.transport.stomp.stomp_session.IDLE_GRACE_S", 2.0)
            late = await FakeStompClient.connect(app.stomp.port, client_id="late")
            late.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            late.job("l", b"1")
            await wait_until(lambda: late.closed)
            assert late.statuses_by_request() == {"l": ["served"]}
            app.undrain()

    asyncio.run(run())


def test_an_upgrades_leave_takes_the_drains_bound_back(tmp_path, hurried, monkeypatch):
    """Guards jobs that come on kept connections after SIGTERM: a drain's end that has passed refused them."""
    monkeypatch.setattr("hazelbend.dispatcher.shutdown.FIRST_REQUESTS_S", 0.3)

    async def run():
        async with running_app(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            app.conf = replace(app.conf, passed_socket=3)
            _, first = await open_keep_alive(app.client_listener.port, "first")
            _reader, writer = await open_keep_alive(app.client_listener.port)
            app.drain()
            await wait_until(lambda: app._final_deadlines)
            leaving = asyncio.create_task(app.leave())
            await wait_until(lambda: app.leaving)
            assert "drain" not in app._final_deadlines
            leaving.cancel()
            await asyncio.gather(leaving, return_exceptions=True)
            first.close()
            writer.close()

    asyncio.run(run())


def test_sigterm_in_a_drain_and_the_door_while_leaving(start, tmp_path):  # noqa: F811
    """Guards a planned end: the door answers until the end, and a drain's stop cannot take the leave back."""
    ops = free_port()
    program, port, _toy, _ = run_with_a_toy(start, tmp_path, ops=f"127.0.0.1:{ops}")
    running = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    running.request("POST", "/nearby/1", "2900", headers)
    assert ask(ops, "POST", "/ops/drain/start")[0] == 200
    wait_for(lambda: b"draining: " in (tmp_path / "log").read_bytes())
    program.send_signal(signal.SIGTERM)
    wait_for(lambda: b"leaving" in (tmp_path / "log").read_bytes())
    assert ask(ops, "POST", "/ops/drain/stop")[0] == 409
    assert ask(ops, "GET", "/ops/readiness")[0] == 503
    assert ask(ops, "POST", "/ops/drain/start")[0] == 200
    response = running.getresponse()
    assert (response.status, response.read()) == (200, b"toy did long")
    assert program.wait(10) == 0
