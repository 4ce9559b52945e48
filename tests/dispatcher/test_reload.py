"""SIGHUP: which settings the dispatcher applies, which need a restart, and that no request is lost."""

import asyncio
import http.client
import logging
import signal
from contextlib import asynccontextmanager
from dataclasses import replace

import orjson

from hazelbend.dispatcher import config
from hazelbend.protocol.discovery import EndpointListCodec
from tests.dispatcher.test_program import send_request, start, start_with_toy_server, wait_for  # noqa: F401
from tests.support.site_kit import (
    SETTINGS,
    STOMP_TOML,
    FakeStompClient,
    ToyServer,
    host_entry,
    running_app,
    wait_until,
)
from tests.transport.test_client_listener import request, send_and_receive


class FakeDiscovery:
    """Discovery: answers the first call on each connection with the complete list; a watch gets no answer."""

    def __init__(self, *hosts):
        self.hosts, self.paths, self.open = list(hosts), [], 0

    async def serve(self, reader, writer):
        self.open += 1
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.paths.append(path)
                if "?" in path:
                    await reader.read()
                    break
                body = orjson.dumps({"seq": 41, "whole": True, "hosts": self.hosts})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.open -= 1
        writer.close()


@asynccontextmanager
async def run_discovery(service):
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()


def changed(app, tmp_path, settings=None, **values):
    """Return the configuration that a reload would read: the running one with these changes."""
    host, port = app.conf.listen
    conf = {"name": app.conf.name, "listen": f"{host}:{port}", "discovery": app.conf.discovery or ""}
    conf |= {"settings": SETTINGS | (settings or {})} | values
    return config.with_deploy_files(config.from_object(conf), tmp_path, conf)


def test_reload_moves_the_watch_and_keeps_the_list_and_open_requests(tmp_path):
    async def run():
        toy = ToyServer("toy-0")
        entry = host_entry(toy.name, await toy.listen())
        old, new = FakeDiscovery(entry), FakeDiscovery(entry)
        async with (
            run_discovery(old) as first,
            run_discovery(new) as second,
            running_app(tmp_path, server_count=0, discovery=first, membership_mode="ask") as (app, _),
        ):
            await wait_until(lambda: len(old.paths) == 2)
            running = asyncio.create_task(
                send_and_receive(app.client_listener.port, request("a", b"150", more="Connection: close\r\n"))
            )
            await wait_until(lambda: app.router.requests)
            app.apply(changed(app, tmp_path, {"membership_mode": "ask"}, discovery=second))
            assert app.router.table.backends, "the list is kept until the new address has answered"
            await wait_until(lambda: len(new.paths) == 2 and old.open == 0)
            assert new.paths[0] == "/v1/servers", (
                "another service: versions of the old one mean nothing there"
            )
            assert len(old.paths) == 2, "nothing more goes to the old address"
            assert b" 200 " in await running
            assert app.router.counters.received == 1 and app.router.table.backends
        await toy.close()

    asyncio.run(run())


def test_reload_applies_settings_and_keeps_stomp_connections(tmp_path):
    async def run():
        async with running_app(tmp_path) as (app, [toy]):
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            lanes = [*SETTINGS["lanes"], {"name": "plan", "deadline_us": 3_000_000, "semantics": "read_like"}]
            limits = SETTINGS["limits"] | {"keepalive_us": 2_000_000, "connect_timeout_us": 100_000}
            changes = {"lanes": lanes, "limits": limits, "orgs": [*SETTINGS["orgs"], {"name": "new"}]}
            before = app.pool.session
            data = request("running", b"200", more="Connection: close\r\n")
            running = asyncio.create_task(send_and_receive(app.client_listener.port, data))
            await wait_until(lambda: toy.started_job_ids)
            app.apply(changed(app, tmp_path, changes, limits={"sockets": 256}, name="n9"))
            assert app.conf.name == "n9" and app.client_listener.connection_limit < 128
            assert app.pool.settings.keepalive_s == 2.0 and app.pool.settings.connect_timeout_s == 0.1
            assert b" 200 " in await running, "an attempt in flight continues on its connection"
            await wait_until(lambda: before.closed)
            plan = request("p", more="Connection: close\r\n").replace(b"/nearby/", b"/plan/")
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, plan.replace(b"ege-volt", b"new")
            )
            peer.job("s", b"1", job_class="plan", tenant="new")
            await wait_until(lambda: peer.statuses_by_request() == {"s": ["served"]})
            assert not peer.closed

    asyncio.run(run())


def test_reload_logs_what_needs_a_restart_and_applies_the_rest(tmp_path, caplog):
    async def run():
        async with running_app(tmp_path) as (app, _):
            listen, settings = app.conf.listen, app.conf.settings
            lanes = list(reversed(SETTINGS["lanes"]))  # open requests refer to their classes by index
            (tmp_path / "stomp.toml").write_text(STOMP_TOML.replace("toros-sarj", "ege-volt"))
            with caplog.at_level(logging.INFO, "hazelbend"):
                app.apply(changed(app, tmp_path, {"lanes": lanes}, listen="127.0.0.1:1", name="n9"))
            assert app.conf.listen == listen and app.conf.settings is settings and app.conf.name == "n9"
            assert "wait for a restart: listen, known, stomp, settings" in caplog.text
            assert "reloaded: name\n" in caplog.text
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, request(more="Connection: close\r\n")
            )

    asyncio.run(run())


def test_zones_keep_their_numbers_or_need_a_restart():
    old = EndpointListCodec(("a", "b"), ("k",))
    old._zones.number_of("z")  # a zone that only an endpoint list has named
    further, moved = EndpointListCodec(("a", "b", "z", "c"), ("k",)), EndpointListCodec(("b", "a"), ("k",))
    assert (
        further.adopt_numbers(old)
        and further._zones.number_of("z") == 2
        and further._zones.number_of("d") == 4
    )
    assert not moved.adopt_numbers(old)
    assert EndpointListCodec(("a",), ("k",)) != old == EndpointListCodec(("a", "b"), ("k",))


def test_sighup_reloads_and_never_ends_the_process(start, tmp_path):  # noqa: F811
    """Guards accepted requests: SIGHUP used to end the process."""
    program, port, toy, conf = start_with_toy_server(start, tmp_path, name="one")
    file, log = tmp_path / "config.json", tmp_path / "log"
    for text, message in (
        (b'{"name": "two"', b"reload: "),
        (orjson.dumps(conf | {"discovery": "nowhere"}), b"reload: discovery: 'nowhere' is no address:port"),
        (orjson.dumps(conf | {"settings": 5}), b"reload: settings: "),
        (orjson.dumps(conf | {"name": "two"}), b"reloaded: name"),
    ):
        file.write_bytes(text)
        program.send_signal(signal.SIGHUP)
        wait_for(lambda message=message: message in log.read_bytes())
        assert send_request(port)[0] == 200
    for _ in range(5):
        program.send_signal(signal.SIGHUP)
    running = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    running.request("POST", "/nearby/1", "900", headers)
    wait_for(lambda: orjson.loads(send_request(toy, "GET", "/load")[2])["inflight"] == 1)
    program.send_signal(signal.SIGTERM)
    wait_for(lambda: b"shutting down" in log.read_bytes())
    program.send_signal(signal.SIGHUP)
    response = running.getresponse()
    assert (response.status, response.read()) == (200, b"toy did long")
    assert program.wait(10) == 0


def test_reload_logs_that_another_limit_of_memory_needs_a_restart(tmp_path, caplog):
    """Guards against a log line that claims a limit is in force which the open listeners do not have."""

    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            before = app.conf.memory_mb
            app.apply(replace(app.conf, memory_mb=before * 2))
            assert app.conf.memory_mb == before
            assert "wait for a restart: memory_mb" in caplog.text

    asyncio.run(run())
