"""An upgrade: a second process runs beside the first, on the listener that the platform passes to both."""

import asyncio
import http.client
import os
import signal
import socket
import time

import orjson
import pytest

from hazelbend.dispatcher import config
from hazelbend.dispatcher.console_server import ConsoleServer
from hazelbend.transport.http.http_listener import inherited_listener
from tests.dispatcher.test_program import free_port, send_request, start, wait_for  # noqa: F401
from tests.support.site_kit import ROOT, SETTINGS, STOMP_TOML, host_entry, running_app
from tests.transport.test_client_listener import request, send_and_receive


def start_on_listener(begin, tmp_path, listener, name, **more):
    """Start a dispatcher on the passed listener; returns the process and the port of its admin listener."""
    admin_port = free_port()
    conf = {"listen": f"127.0.0.1:{listener.getsockname()[1]}", "settings": SETTINGS} | more
    (tmp_path / f"{name}.json").write_bytes(orjson.dumps(conf | {"ops": f"127.0.0.1:{admin_port}"}))
    variables = {"RELAY_CONFIG": str(tmp_path / f"{name}.json"), "HAZELBEND_DEPLOY": str(tmp_path / "deploy")}
    variables["TMPDIR"] = str(tmp_path)
    fd = listener.fileno()
    os.set_inheritable(fd, True)
    program = begin("-m", "hazelbend", pass_fds=(fd,), RELAY_PASSED_SOCKET=str(fd), **variables)
    return program, admin_port


def is_ready(admin_port: int) -> bool:
    try:
        return send_request(admin_port, "GET", "/ops/readiness")[0] == 200
    except OSError:
        return False


def test_new_process_takes_over_while_the_old_one_completes_its_requests(start, tmp_path):  # noqa: F811
    """Guards an upgrade under load.

    The second process used to end because addresses were in use. Connections that wait to be accepted must
    not be reset when the first process closes.
    """
    toy, stomp = free_port(), free_port()
    start(str(ROOT / "example/toy_server.py"), f"127.0.0.1:{toy}")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/stomp.toml").write_text(STOMP_TOML.replace("127.0.0.1:0", f"127.0.0.1:{stomp}"))
    (tmp_path / "deploy/console.toml").write_text('enabled = true\nsocket = "console.sock"\n')
    (tmp_path / "deploy/snmp.toml").write_text(
        f'enabled = true\nlisten = "127.0.0.1:{free_port()}"\ncommunity = "reading-room"\n'
    )
    known = {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"127.0.0.1:{toy}")]}
    log = tmp_path / "log"
    # The first job runs until the test releases it, however long the new process takes to start.
    lanes = [lane | {"deadline_us": 60_000_000} for lane in SETTINGS["lanes"]]
    settings = SETTINGS | {"lanes": lanes}
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        port = listener.getsockname()[1]
        old, first = start_on_listener(start, tmp_path, listener, "old", known=known, settings=settings)
        wait_for(lambda: is_ready(first))
        assert send_request(port)[0] == 200
        socket_file = (tmp_path / "console.sock").stat().st_ino
        running = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "60000"}
        running.request("POST", "/nearby/1", "held", headers)
        wait_for(lambda: orjson.loads(send_request(toy, "GET", "/load")[2])["inflight"] == 1)
        new, second = start_on_listener(start, tmp_path, listener, "new", known=known, settings=settings)
        wait_for(lambda: is_ready(second))
        assert log.read_bytes().count(b"an address is still in use") == 3, "of STOMP, SNMP and the console"
        assert (tmp_path / "console.sock").stat().st_ino == socket_file, "a live socket stays"
        assert b"took over the state of the previous process: 1 servers" in log.read_bytes()
        copy = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        copy.request("POST", "/nearby/1", "1", headers)
        assert copy.getresponse().status == 409, "in either process"
        old.send_signal(signal.SIGTERM)
        sigterm_at = time.monotonic()
        for _ in range(20):
            assert send_request(port)[0] == 200
        assert send_request(first, "GET", "/ops/readiness")[0] == 503 and is_ready(second)
        assert send_request(toy, "POST", "/let-go")[0] == 204
        response = running.getresponse()
        assert (response.status, response.headers["Connection"], response.read()) == (
            200, "close", b"toy did long"
        )  # fmt: skip
        assert old.wait(10) == 0 and time.monotonic() - sigterm_at < 3.7
        assert send_request(port)[0] == 200, "the listener was closed and not shut down"
        wait_for(lambda: (tmp_path / "console.sock").exists())
        wait_for(lambda: log.read_bytes().count(b"hazelbend.stomp: listening on") == 2)
        wait_for(lambda: log.read_bytes().count(b"snmp: listening on") == 2)
        assert new.poll() is None


@pytest.mark.parametrize("text", ["five", "-1", "1", "5.0", "99999999"])
def test_invalid_passed_descriptor_is_named_in_the_error(text):
    with pytest.raises(config.ConfigError, match=r"RELAY_PASSED_SOCKET: .* is no descriptor"):
        config._passed_socket(text)


def test_start_fails_if_the_passed_descriptor_is_no_listener(start, tmp_path):  # noqa: F811
    with socket.socket() as plain:
        fd = plain.fileno()
        (tmp_path / "c.json").write_bytes(orjson.dumps({"listen": "127.0.0.1:1", "settings": SETTINGS}))
        variables = {"RELAY_CONFIG": str(tmp_path / "c.json"), "RELAY_PASSED_SOCKET": str(fd)}
        assert start("-m", "hazelbend", pass_fds=(fd,), **variables).wait(20) == 1
        log_text = (tmp_path / "log").read_text()
        assert f"RELAY_PASSED_SOCKET: descriptor {fd} is no listening socket" in log_text
        variables["RELAY_PASSED_SOCKET"] = str(fd + 1)
        assert start("-m", "hazelbend", **variables).wait(20) == 1


def test_close_of_an_inherited_listener_does_not_shut_down_the_socket():
    """Guards connections in the kernel's queue: they belong to the other process."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as platform_listener:
            server = await asyncio.start_server(
                lambda reader, writer: None, sock=inherited_listener(socket.dup(platform_listener.fileno()))
            )
            server.close()
            _reader, writer = await asyncio.open_connection(*platform_listener.getsockname())
            platform_listener.setblocking(True)
            accepted, _ = platform_listener.accept()
            accepted.close()
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize("passed", [True, False])
def test_connection_accepted_while_the_listener_closes_is_served(tmp_path, passed):
    """Guards a request whose connection was accepted just before its listener closed.

    asyncio attaches a connection to its server one iteration of the event loop after the accept. If the
    server is closed by then, it drops the connection with its unread input.
    """

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as platform_listener:
            async with running_app(tmp_path, stomp="") as (app, _):
                listener = app.client_listener
                if passed:
                    await listener.close()
                    listener = type(listener)(
                        app.router, listener.catalogue, listener.connection_limit, listener.memory
                    )
                    await listener.listen("", 0, inherited_listener(socket.dup(platform_listener.fileno())))
                loop = asyncio.get_running_loop()
                client = socket.create_connection(("127.0.0.1", listener.port))
                client.sendall(request(more="Connection: close\r\n"))
                # A timer that is due runs in the same iteration as the accept, after it.
                loop.call_at(loop.time(), listener.stop_accepting)
                client.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=client)
                async with asyncio.timeout(10):
                    assert b" 200 " in await reader.read()
                writer.close()
                await listener.close()

    asyncio.run(run())


def test_stale_console_socket_is_replaced_and_a_live_one_is_kept(tmp_path):
    async def run():
        path = tmp_path / "console.sock"
        async with running_app(tmp_path, stomp="") as (app, _):
            stale_socket = socket.socket(socket.AF_UNIX)
            stale_socket.bind(str(path))
            stale_socket.close()
            first, second = ConsoleServer(path, app), ConsoleServer(path, app)
            await first.listen()
            with pytest.raises(OSError):
                await second.listen()
            await asyncio.open_unix_connection(str(path))
            await second.close()
            assert path.exists(), "it belongs to the first server"
            await first.close()
            assert not path.exists()
            assert b" 200 " in await send_and_receive(
                app.client_listener.port, request(more="Connection: close\r\n")
            )

    asyncio.run(run())
