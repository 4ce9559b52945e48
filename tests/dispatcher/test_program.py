"""The dispatcher as a process: start, graceful shutdown, and the commands in the README of the example."""

import http.client
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
import tomllib

import orjson
import pytest

from benchmarks.fleet_rig import wait_for
from benchmarks.loopback_ports import free_port
from tests.support.site_kit import ROOT, SETTINGS, host_entry


def is_healthy(port: int) -> bool:
    try:
        return send_request(port, "GET", "/healthz")[0] == 200
    except OSError:
        return False


def send_request(port: int, method: str = "POST", path: str = "/nearby/1", body: str = "1"):
    """Send one request on a new connection; returns status, `Connection` header and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-ID": f"r{time.monotonic_ns()}", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    try:
        return response.status, response.headers.get("Connection"), response.read().decode()
    finally:
        connection.close()


@pytest.fixture
def start(tmp_path):
    """Start processes, and kill each of them by its own id after the test."""
    running = []

    def begin(*command, pass_fds=(), **variables):
        environment = os.environ | {"PYTHONPATH": str(ROOT)} | variables
        with (tmp_path / "log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *command], env=environment, stderr=log, cwd=tmp_path, pass_fds=pass_fds
            )
        running.append(process)
        return process

    yield begin
    for process in running:
        process.kill()
        process.wait()


def start_with_toy_server(start, tmp_path, **more):
    """Start a dispatcher with a toy server; returns the process, both ports and the configuration."""
    toy, port = free_port(), free_port()
    conf = {
        "listen": f"127.0.0.1:{port}",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"127.0.0.1:{toy}")]},
    } | more
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    start(str(ROOT / "example/toy_server.py"), f"127.0.0.1:{toy}")
    program = start("-m", "hazelbend", RELAY_CONFIG=str(tmp_path / "config.json"))
    wait_for(lambda: is_healthy(port) and is_healthy(toy))
    return program, port, toy, conf


def test_sigterm_serves_new_requests_then_completes_the_accepted_ones(start, tmp_path):
    """Guards a planned restart: no accepted request may be lost.

    Clients still send requests on new connections and on open ones, which may be all that they have while
    another dispatcher is down.
    """
    program, port, toy, _ = start_with_toy_server(start, tmp_path)
    running = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    idle = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    idle.connect()
    headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    running.request("POST", "/nearby/1", "2900", headers)
    wait_for(lambda: orjson.loads(send_request(toy, "GET", "/load")[2])["inflight"] == 1)
    program.send_signal(signal.SIGTERM)
    wait_for(lambda: b"shutting down" in (tmp_path / "log").read_bytes())
    sigterm_at = time.monotonic()
    assert send_request(port)[0] == 200
    last_served_at, connection_header = 0.0, None
    while connection_header != "close":
        try:
            idle.request("POST", "/nearby/1", "1", headers | {"X-Request-ID": f"idle{time.monotonic_ns()}"})
            answer = idle.getresponse()
        except (ConnectionError, http.client.RemoteDisconnected):
            break  # it was idle when the listeners closed
        assert (answer.status, answer.read()[:8]) == (200, b"toy did ")
        last_served_at, connection_header = time.monotonic(), answer.headers["Connection"]
    assert last_served_at > sigterm_at + 1.0 and b"listeners closed" in (tmp_path / "log").read_bytes()
    response = running.getresponse()
    assert (response.status, response.headers["Connection"]) == (200, "close")
    assert response.read() == b"toy did long"
    assert program.wait(10) == 0
    assert b"shutdown complete" in (tmp_path / "log").read_bytes()


def test_silent_connections_over_the_descriptor_limit_do_not_block_requests(start, tmp_path):
    """Guards the limit of descriptors: accepting more connections blocked the whole program for seconds."""
    program, port, _, _ = start_with_toy_server(start, tmp_path, limits={"sockets": 128})
    resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (128, 128))
    silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(300)]
    assert [send_request(port)[0] for _ in range(5)] == [200] * 5
    for connection in silent:
        connection.close()
    assert b"system resource" not in (tmp_path / "log").read_bytes()


def test_start_fails_and_logs_the_key_if_the_configuration_is_invalid(start, tmp_path):
    (tmp_path / "config.json").write_text('{"listen": "127.0.0.1:0"}')
    program = start("-m", "hazelbend", RELAY_CONFIG=str(tmp_path / "config.json"))
    assert program.wait(20) == 2
    assert b"settings: missing" in (tmp_path / "log").read_bytes()


def test_start_fails_if_the_address_is_in_use(start, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        conf = {"listen": f"127.0.0.1:{taken.getsockname()[1]}", "settings": SETTINGS}
        (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
        program = start("-m", "hazelbend", RELAY_CONFIG=str(tmp_path / "config.json"))
        assert program.wait(20) == 1
    assert b"cannot start" in (tmp_path / "log").read_bytes()


def test_example_commands_run_as_documented(start, tmp_path):
    """Runs the commands of example/README.md, with free ports in place of the documented ones."""
    shutil.copytree(ROOT / "example", tmp_path / "example", ignore=shutil.ignore_patterns("__pycache__"))
    ports = {str(number): str(free_port()) for number in (7070, 7101, 7102, 61613, 7080, 7111, 7112)}
    for path in (tmp_path / "example").rglob("*.*"):
        text = path.read_text()
        for printed, free in ports.items():
            text = text.replace(f":{printed}", f":{free}")
        path.write_text(text)
    printed = (tmp_path / "example/README.md").read_text()
    commands = re.findall(r"^    (.*\.venv/bin/python .*)$", printed, re.MULTILINE)
    assert len(commands) == 12
    outputs = []
    for command in commands:
        words, background = command.removesuffix(" &"), command.endswith(" &")
        settings, _, rest = words.partition(".venv/bin/python ")
        variables = dict(pair.split("=") for pair in settings.split())
        arguments = re.findall(r'"[^"]*"|\S+', rest)
        arguments = [argument.strip('"') for argument in arguments]
        if background:
            start(*arguments, **variables)
            address = re.search(r"127\.0\.0\.1:(\d+)", words)
            listens = address[1] if address else ports["7080" if "records" in words else "7070"]
            wait_for(lambda port=int(listens): is_healthy(port))
        else:
            environment = os.environ | {"PYTHONPATH": str(ROOT)} | variables
            completed = subprocess.run(
                [sys.executable, *arguments], env=environment, cwd=tmp_path, capture_output=True, check=True
            )
            outputs.append(completed.stdout.decode())
    assert outputs[0].startswith("200 toy-")
    assert "toy-1" in outputs[1] and "toy-2" in outputs[1] and "ready" in outputs[1]
    assert "leaving" in outputs[2]
    assert "never once it may have run" in outputs[3] and "Hardly meant so" not in outputs[3]
    assert outputs[4].startswith(("200 fast-1", "200 slow-1")) and outputs[5].startswith("502 ")


def test_start_does_not_load_tls():
    """Guards the time and memory of a restart: TLS is not used, and loading it takes a third of the time."""
    code = (
        "import runpy, contextlib, sys\n"
        "with contextlib.suppress(SystemExit):\n"
        "    runpy.run_module('hazelbend', run_name='__main__')\n"
        "print('aiohttp.connector' in sys.modules, sys.modules.get('ssl'), '_ssl' in sys.modules)"
    )
    environment = {name: value for name, value in os.environ.items() if name != "RELAY_CONFIG"}
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, cwd=ROOT, env=environment
    )
    assert completed.stdout == b"True None False\n"


WATCHED_PROGRAM = (
    "import os, runpy, socket, sys\n"
    "seen = open(sys.argv[1], 'a', buffering=1)\n"
    "SPAWN = {'subprocess.Popen', 'os.system', 'os.fork', 'os.forkpty', 'os.exec'}\n"
    "SPAWN |= {'os.posix_spawn', 'os.spawn'}\n"
    "def inside_a_pair():\n"
    "    frame = sys._getframe(2)\n"
    "    while frame is not None and frame.f_code.co_name != 'socketpair':\n"
    "        frame = frame.f_back\n"
    "    return frame is not None\n"
    "def hook(event, args):\n"
    "    if event in SPAWN:\n"
    "        seen.write(f'{event}\\n')\n"
    "    elif event == 'socket.__new__' and args[1] not in (socket.AF_INET, -1) and not inside_a_pair():\n"
    "        seen.write(f'socket of family {args[1]}\\n')\n"
    "    elif event in ('socket.bind', 'socket.connect') and not isinstance(args[1], tuple):\n"
    "        seen.write(f'{event} {args[1]!r}\\n')\n"
    "def refused(*args):\n"
    "    seen.write('copy between descriptors\\n')\n"
    "    raise OSError(38, 'refused')\n"
    "os.sendfile = os.splice = refused\n"
    "sys.addaudithook(hook)\n"
    "sys.argv[1:] = []\n"
    "runpy.run_module('hazelbend', run_name='__main__', alter_sys=True)\n"
)


def test_run_command_uses_one_process_and_only_ipv4_sockets(start, tmp_path):
    """Guards the benchmark's standard workloads, where each dispatcher runs under a filter of system calls.

    `run` ends with `exec` in one process, which starts no other program, never forks, copies nothing between
    descriptors in the kernel, and opens only IPv4 sockets (no process listens on a Unix socket there). The
    socket pair that wakes the event loop has no address. A family of -1 wraps a descriptor that was created,
    and recorded, before.
    """
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert run.startswith("exec ") and not re.search(r"[;&|`$(]", run)
    toy, port = free_port(), free_port()
    conf = {
        "listen": f"127.0.0.1:{port}",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"127.0.0.1:{toy}")]},
    }
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    start(str(ROOT / "example/toy_server.py"), f"127.0.0.1:{toy}")
    program = start("-c", WATCHED_PROGRAM, str(tmp_path / "seen"), RELAY_CONFIG=str(tmp_path / "config.json"))
    wait_for(lambda: is_healthy(port) and is_healthy(toy))
    assert [send_request(port)[0] for _ in range(3)] == [200] * 3
    program.send_signal(signal.SIGHUP)
    assert send_request(port)[0] == 200
    program.send_signal(signal.SIGTERM)
    assert program.wait(20) == 0
    assert (tmp_path / "seen").read_text() == ""


def test_shutdown_runs_once_despite_a_reload_and_a_second_sigterm(start, tmp_path):
    """Guards a shutdown while a reload and a second SIGTERM arrive, from the platform or an operator."""
    program, port, toy, _ = start_with_toy_server(start, tmp_path)
    running = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-ID": "long", "X-Tenant-Id": "ege-volt", "X-Timeout-Ms": "5000"}
    running.request("POST", "/nearby/1", "1500", headers)
    wait_for(lambda: orjson.loads(send_request(toy, "GET", "/load")[2])["inflight"] == 1)
    log = tmp_path / "log"
    program.send_signal(signal.SIGTERM)
    wait_for(lambda: b"shutting down" in log.read_bytes())
    program.send_signal(signal.SIGHUP)
    wait_for(lambda: b"reloaded" in log.read_bytes())
    program.send_signal(signal.SIGTERM)
    assert send_request(port)[0] == 200, "it continues to serve"
    response = running.getresponse()
    assert (response.status, response.read()) == (200, b"toy did long")
    assert program.wait(10) == 0
    assert log.read_bytes().count(b"shutting down") == 1 and b"Traceback" not in log.read_bytes()


def silent_discovery(start, tmp_path, mode):
    """Start a dispatcher with a discovery that accepts connections and never answers.

    Returns the process, its port and the listening socket of discovery.
    """
    silent, port = socket.create_server(("127.0.0.1", 0)), free_port()
    silent.settimeout(30)
    conf = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "{}:{}".format(*silent.getsockname()),
        "settings": SETTINGS | {"membership_mode": mode},
    }
    path = tmp_path / f"config-{port}.json"
    path.write_bytes(orjson.dumps(conf))
    return start("-m", "hazelbend", RELAY_CONFIG=str(path)), port, silent


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_program_is_ready_in_time_if_discovery_never_answers(start, tmp_path, mode):
    """Guards restarts: nine of ten processes must be ready in under 10 s, also if discovery is down."""
    began = time.monotonic()
    _, port, silent = silent_discovery(start, tmp_path, mode)
    wait_for(lambda: is_healthy(port))
    assert time.monotonic() - began < 10.0
    silent.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_sigterm_before_the_first_list_shuts_down_cleanly(start, tmp_path, mode):
    program, _, silent = silent_discovery(start, tmp_path, mode)
    call, _ = silent.accept()
    assert call.recv(100)
    program.send_signal(signal.SIGTERM)
    assert program.wait(20) == 0
    assert b"Traceback" not in (tmp_path / "log").read_bytes()
    call.close()
    silent.close()


def test_watch_reconnects_while_idle_clients_use_all_their_descriptors(start, tmp_path):
    """Guards drains under load: a broken watch is opened again while clients use all their descriptors."""
    discovery, port = socket.create_server(("127.0.0.1", 0)), free_port()
    discovery.settimeout(30)
    conf = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "{}:{}".format(*discovery.getsockname()),
        "settings": SETTINGS | {"membership_mode": "ask"},
        "limits": {"sockets": 128},
    }
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    program = start("-m", "hazelbend", RELAY_CONFIG=str(tmp_path / "config.json"))
    first, _ = discovery.accept()
    assert first.recv(1_000)
    wait_for(lambda: is_healthy(port))
    resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (128, 128))
    idle = [socket.create_connection(("127.0.0.1", port)) for _ in range(300)]
    first.close()
    began = time.monotonic()
    again, _ = discovery.accept()
    assert again.recv(1_000) and time.monotonic() - began < 6.0
    assert send_request(port)[0] == 503, "no backend is known"
    assert b"system resource" not in (tmp_path / "log").read_bytes()
    for opened_socket in (*idle, again, discovery):
        opened_socket.close()
