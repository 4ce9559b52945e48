"""SRV names on a whole site: faults of nameservers and endpoints must not fail client requests.

Uses real sockets on loopback.
"""

import asyncio
import contextlib
import signal
import socket
import subprocess
import sys
import time
from contextlib import asynccontextmanager

import orjson
import pytest

from hazelbend.dispatcher.app import App
from hazelbend.dispatcher.console_server import CommandError, Commands
from hazelbend.fakes.dns_faults import Fault
from tests.dispatcher.test_program import free_port, send_request, start, wait_for  # noqa: F401
from tests.dispatcher.test_reload import changed
from tests.dispatcher.test_upgrade import is_ready, start_on_listener
from tests.support.site_kit import (
    ROOT,
    SETTINGS,
    STOMP_TOML,
    FakeStompClient,
    ToyServer,
    host_entry,
    running_app,
    wait_until,
)
from tests.support.slowdown import slowdown_factor
from tests.support.srv_kit import (
    SRV_NAME,
    hosts_accepting_work,
    running_nameservers,
    running_srv_app,
    srv_toml,
    zone_file_text,
)
from tests.transport.test_client_listener import request, send_and_receive

TARGETS = {f"toy-{number}.konya-1.example.org" for number in range(2)}


@asynccontextmanager
async def http_load(app, body=b"5", every=0.004):
    """Send jobs over HTTP during the block; yields a list that has the statuses after the block.

    The number of concurrent jobs is limited: on a slow machine a load by the clock alone would grow until
    every timeout of the site expires.
    """
    statuses, tasks, stop = [], set(), False

    async def one(number):
        answer = await send_and_receive(
            app.client_listener.port, request(f"load-{number}", body, more="Connection: close\r\n")
        )
        statuses.append(int(answer.split()[1]))

    async def run():
        number = 0
        while not stop:
            number += 1
            await wait_until(lambda: len(tasks) < 16)
            task = asyncio.create_task(one(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(every)

    running = asyncio.create_task(run())
    try:
        yield statuses
    finally:
        stop = True
        await running
        await asyncio.gather(*tasks)


def port_of(toy_host):
    return int(toy_host.rpartition(":")[2])


class TimestampedList(list):
    """A list that stores the time of each `append` with the element."""

    def append(self, element):
        super().append((time.monotonic(), element))


class PushingDiscovery:
    """Discovery whose list the test changes; a watch gets each change at once."""

    def __init__(self, *hosts):
        self.seq, self.hosts, self.deltas = 1, {host["host"]: host for host in hosts}, []
        self._changed = asyncio.Event()

    def publish(self, *hosts):
        self.seq += 1
        self.deltas.append((self.seq, hosts))
        for host in hosts:
            self.hosts[host["host"]] = host
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                known = int(path.partition("from=")[2].partition("&")[0] or -1)
                if known < 0:
                    hosts = [host for host in self.hosts.values() if host["health"] != "DELETED"]
                    body = {"seq": self.seq, "whole": True, "hosts": hosts}
                else:
                    if known == self.seq:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._changed.wait(), 1.0)
                    hosts = [host for seq, changes in self.deltas if seq > known for host in changes]
                    body = {"seq": self.seq, "whole": False, "hosts": hosts}
                text = orjson.dumps(body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def test_endpoint_deleted_from_the_list_gets_no_requests_while_srv_still_lists_it(tmp_path):
    """Guards a requirement of the operators, 200 times under load.

    A deleted endpoint gets no request later than 300 ms after the dispatcher has the deletion.
    """

    async def run():
        toys = [ToyServer(f"toy-{number}") for number in range(2)]
        ports = [port_of(await toy.listen()) for toy in toys]
        for toy in toys:
            toy.targets = TimestampedList()
        host = "toy-0.konya-1.example.org"

        def entry(health):
            return host_entry(host, f"127.0.0.1:{ports[0]}", health)

        service = PushingDiscovery(entry("SERVING"))
        listener = await asyncio.start_server(service.serve, "127.0.0.1", 0)
        discovery = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        async with running_nameservers(1, zone_file_text(("toy-0", ports[0]), ("toy-1", ports[1], 0, 0))) as [
            server
        ]:
            (tmp_path / "srv.toml").write_text(srv_toml([server.address]))
            more = {"discovery": discovery, "membership_mode": "ask"}
            async with running_app(tmp_path, server_count=0, stomp="", **more) as (app, _):
                await wait_until(lambda: len(app.router.table.backends) == 2)
                latest_request_s, changes_seen = 0.0, []
                app.router.table.on_accepts_work_changed = lambda changed_server, up: changes_seen.append(
                    (time.monotonic(), changed_server, up)
                )
                # The other endpoint has a lower weight, so it is the second choice.
                async with http_load(app, b"14") as statuses:
                    for _ in range(200):
                        previous_count = len(toys[0].targets)
                        await wait_until(
                            lambda previous_count=previous_count: len(toys[0].targets) > previous_count
                        )
                        changes_seen.clear()
                        service.publish(entry("DELETED"))
                        await wait_until(lambda: changes_seen)
                        [(learned_at, deleted_server, is_up)] = changes_seen
                        assert deleted_server.entry.host == host and not is_up
                        assert await hosts_accepting_work(app) == {f"toy-1.konya-1.example.org:{ports[1]}"}
                        assert server.zones and host in app.extensions["srv"].merger.tombstones
                        await asyncio.sleep(0.01)
                        latest_request_s = max(
                            [
                                latest_request_s,
                                *(
                                    arrived_at - learned_at
                                    for arrived_at, _ in toys[0].targets[previous_count:]
                                ),
                            ]
                        )
                        changes_seen.clear()
                        service.publish(entry("SERVING"))
                        await wait_until(lambda: changes_seen)
                assert set(statuses) <= {200, 503} and statuses.count(200) > 500
                assert latest_request_s < 0.3, latest_request_s
                assert {
                    name for name, _ in app.extensions["srv"].resolver.names.endpoints(SRV_NAME).items()
                }, "the SRV name still lists it"
        listener.close()
        for toy in toys:
            await toy.close()

    asyncio.run(run())


def test_endpoints_stay_while_all_nameservers_fail_for_longer_than_all_ttls(tmp_path):
    async def run():
        async with running_srv_app(tmp_path, count=3) as (app, _, servers):
            await wait_until(lambda: len(app.router.table.backends) == 2)
            endpoints = await hosts_accepting_work(app)
            async with http_load(app) as statuses:
                for fault in ("servfail", "silent", "refused"):
                    for server in servers:
                        server.faults = [Fault(fault)]
                    before = time.monotonic()
                    await wait_until(
                        lambda: app.extensions["srv"].resolver.names.by_srv_name[SRV_NAME].failing_since
                    )
                    await wait_until(lambda before=before: time.monotonic() > before + 1.3)
                    assert app.extensions["srv"].status.names()[0].state == "stale"
                    assert await hosts_accepting_work(app) == endpoints, fault
                recovered_at = asyncio.get_running_loop().time()
                for server in servers:
                    server.faults = []
                await wait_until(
                    lambda: not app.extensions["srv"].resolver.names.by_srv_name[SRV_NAME].failing_since
                )
                await asyncio.sleep(0.5)
                asked = [query for server in servers for query in server.queries if query.at > recovered_at]
                assert len(asked) <= 12, "no burst: one round with a quorum for the name and for each target"
            assert set(statuses) == {200} and await hosts_accepting_work(app) == endpoints

    asyncio.run(run())


ANSWER_TTL_S = 0.1  # seconds that a nameserver's answer counts as a vote


@pytest.mark.parametrize("wrong_answer", ["nxdomain", "empty", "old zone"])
def test_wrong_answers_of_one_nameserver_of_three_change_no_endpoints(tmp_path, wrong_answer):
    lifetimes = f"least_s = {ANSWER_TTL_S}\nmost_s = {ANSWER_TTL_S}"

    async def run():
        async with running_srv_app(tmp_path, count=3, lifetimes=lifetimes) as (app, _, servers):
            await wait_until(lambda: len(app.router.table.backends) == 2)
            endpoints = await hosts_accepting_work(app)
            changes = []
            app.router.table.on_accepts_work_changed = lambda server, up: changes.append(
                (server.entry.host, up)
            )
            async with http_load(app) as statuses:
                for wrong_server in servers:
                    if wrong_answer == "old zone":
                        correct_zones = dict(wrong_server.zones.by_origin)
                        wrong_server.serve_zone(
                            zone_file_text(("toy-0", port_of(min(endpoints))), ("old", 9))
                        )
                    else:
                        wrong_server.faults = [Fault(wrong_answer)]
                    asked = len(wrong_server.queries)
                    await asyncio.sleep(0.5)
                    assert sum(len(server.queries) for server in servers) > asked
                    wrong_server.faults = []
                    if wrong_answer == "old zone":
                        wrong_server.zones.by_origin = correct_zones
                    # Otherwise its last wrong answer and the first one of the next server may be a majority.
                    await asyncio.sleep(2 * ANSWER_TTL_S)
            assert set(statuses) == {200} and not changes and await hosts_accepting_work(app) == endpoints

    asyncio.run(run())


def test_flapping_records_cause_no_failed_requests(tmp_path):
    """An endpoint that comes and goes is cold each time, and no request fails."""

    async def run():
        async with running_srv_app(tmp_path, server_count=3, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            _toys,
            [server],
        ):
            await wait_until(lambda: len(app.router.table.backends) == 3)
            ports = {endpoint.entry.host.partition(".")[0]: port_of(endpoint.entry.dial)
                     for endpoint in app.router.table.backends.values()}  # fmt: skip
            rows = sorted(ports.items())
            async with http_load(app) as statuses:
                for turn in range(6):
                    server.serve_zone(zone_file_text(*(rows[:2] if turn % 2 == 0 else rows), ttl=0))
                    want = 2 if turn % 2 == 0 else 3
                    await wait_until(lambda want=want: len(app.router.table.backends) == want)
            assert set(statuses) == {200}

    asyncio.run(run())


def test_truncated_answer_with_five_hundred_targets_is_fetched_over_tcp(tmp_path):
    """The 500 endpoints of a lower priority are spare: they are known but get no requests."""

    async def run():
        patient = f"start_spread_s = 0.0\ntimeout_s = {slowdown_factor():.1f}\nrest_s = 0.1\nper_s = 2000"
        lifetimes = "least_s = 1.0\nmost_s = 1.0"
        async with running_srv_app(tmp_path, server_count=3, lifetimes=lifetimes, budgets=patient) as (
            app,
            _,
            [server],
        ):
            await wait_until(lambda: len(app.router.table.backends) == 3)
            rows = sorted(
                (endpoint.entry.host.partition(".")[0], port_of(endpoint.entry.dial))
                for endpoint in app.router.table.backends.values()
            )
            many = [(f"b{number}", 9, 10) for number in range(500)]
            server.serve_zone(zone_file_text(*rows, *many))
            async with http_load(app) as statuses:
                await wait_until(lambda: len(app.router.table.backends) == 503)
            assert set(statuses) == {200} and any(query.tcp for query in server.queries)
            assert len(await hosts_accepting_work(app)) == 3, "the five hundred are spare"
            server.serve_zone(zone_file_text(*rows))
            await wait_until(lambda: len(app.router.table.backends) == 3)

    asyncio.run(run())


def test_running_job_completes_after_its_target_has_moved_to_another_address(tmp_path):
    async def run():
        other = ToyServer("moved")
        async with running_srv_app(tmp_path, server_count=1, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            [toy],
            [server],
        ):
            await wait_until(lambda: app.router.table.backends)
            [endpoint] = app.router.table.backends.values()
            started_at, port = endpoint.entry.started_at, port_of(endpoint.entry.dial)
            long = asyncio.create_task(
                send_and_receive(
                    app.client_listener.port, request("long", b"1200", more="Connection: close\r\n")
                )
            )
            await wait_until(lambda: toy.started_job_ids or long.done())
            assert toy.started_job_ids, f"the job has a response but never ran: {long.result()!r}"
            assert (await other.listen("127.0.0.2", port)) == f"127.0.0.2:{port}"
            server.serve_zone(zone_file_text(("toy-0", port), ttl=0).replace("A 127.0.0.1", "A 127.0.0.2"))
            await wait_until(lambda: endpoint.entry.dial == f"127.0.0.2:{port}")
            assert endpoint.entry.started_at > started_at, "another process, so it starts cold"
            answer = await send_and_receive(
                app.client_listener.port, request("new", b"1", more="Connection: close\r\n")
            )
            assert b"moved did new" in answer
            assert b"toy-0 did long" in await long
        await other.close()

    asyncio.run(run())


def test_next_priority_opens_when_the_last_endpoint_of_the_first_is_unavailable(tmp_path):
    """The last endpoint is removed from the zone, drained manually, and ejected by the decision module.

    Each time the next priority opens at once. The first priority gets requests as soon as it is available
    again, but the next one closes only after the failback delay.
    """

    async def run():
        async with running_srv_app(tmp_path, server_count=2, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            toys,
            [server],
        ):
            await wait_until(lambda: len(app.router.table.backends) == 2)
            first, spare = sorted(
                app.router.table.backends.values(), key=lambda endpoint: endpoint.entry.host
            )
            ports = [port_of(endpoint.entry.dial) for endpoint in (first, spare)]
            both = zone_file_text(("toy-0", ports[0]), ("toy-1", ports[1], 10), ttl=0)
            server.serve_zone(both)
            await wait_until(lambda: not spare.accepts_work)
            async with http_load(app) as statuses:
                app.router.set_manual_drain(first.entry.host, True)
                await wait_until(lambda: spare.accepts_work)
                app.router.set_manual_drain(first.entry.host, False)
                recovered_at = time.monotonic()
                assert first.accepts_work and spare.accepts_work
                await wait_until(lambda: not spare.accepts_work)
                assert time.monotonic() - recovered_at > 0.29, "the failback delay"
                app.module.workers_in_backoff = lambda now: {first.id}
                await wait_until(lambda: spare.accepts_work)
                del app.module.workers_in_backoff
                await wait_until(lambda: not spare.accepts_work)
                server.serve_zone(zone_file_text(("toy-1", ports[1], 10), ttl=0))
                await wait_until(lambda: len(app.router.table.backends) == 1)
                assert await hosts_accepting_work(app) == {spare.entry.host}
            assert set(statuses) == {200} and len(toys[1].started_job_ids) > 0

    asyncio.run(run())


def test_http_and_stomp_are_served_during_queries_reloads_and_drains(tmp_path):
    async def run():
        async with running_srv_app(tmp_path, stomp=STOMP_TOML, ops="127.0.0.1:0") as (app, _toys, [server]):
            await wait_until(lambda: len(app.router.table.backends) == 2)
            server.faults = [Fault("silent")]
            await wait_until(lambda: app.extensions["srv"].queries_in_flight)
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.send("SUBSCRIBE", id="a", destination="/hazelbend/answers", ack="auto")
            async with http_load(app) as statuses:
                peer.job("over-stomp", b"5")
                await wait_until(lambda: peer.statuses_by_request().get("over-stomp") == ["served"])
                # SIGHUP with other names, other bounds, off and on again; an invalid file changes nothing.
                toml = srv_toml([server.address])
                for text, endpoint_count in (
                    (srv_toml([server.address], lifetimes="least_s = 0.3"), 2),
                    (srv_toml([server.address], names=()), 0),
                    (toml, 2),
                    (toml.replace("enabled = true", "enabled = false"), 0),
                    (toml, 2),
                ):
                    (tmp_path / "srv.toml").write_text(text)
                    server.faults = [] if endpoint_count else [Fault("silent")]
                    app.apply(changed(app, tmp_path))
                    await wait_until(lambda count=endpoint_count: len(app.router.table.backends) == count)
                    if not endpoint_count:
                        # Without any endpoint the module queues jobs, and refuses none before its deadline.
                        await asyncio.sleep(0.05)
                app.drain()
                assert app.undrain()
                server.faults = [Fault("silent")]
                await wait_until(lambda: app.extensions["srv"].queries_in_flight)
            assert set(statuses) == {200}
            with pytest.raises(Exception, match=r"srv.toml: name\[0\].zone: 'izmir'"):
                (tmp_path / "srv.toml").write_text(toml.replace("konya-1", "izmir"))
                changed(app, tmp_path)

    asyncio.run(run())


def test_console_and_figures_show_srv_names(tmp_path):
    async def run():
        async with running_srv_app(tmp_path, listed_count=1, ops="127.0.0.1:0") as (app, _, [server]):
            await wait_until(lambda: len(app.router.table.backends) == 3)
            commands = Commands(app)
            shown = commands.run("show names")
            assert SRV_NAME in shown and "listed" in shown and " 2 " in shown
            assert "toy-0.konya-1.example.org" in commands.run(f"show names {SRV_NAME}")
            assert "1 followed" in commands.run("show sources") and server.address in commands.run(
                "show sources"
            )
            with pytest.raises(CommandError):
                commands.run("show names other")
            assert app.figures().named()["names.boxes"] == 2
            server.faults = [Fault("servfail")]
            await wait_until(lambda: "SERVFAIL" in commands.run("show names"))
            assert app.figures().named()["names.failures"] > 0

    asyncio.run(run())


def test_start_without_a_nameserver_uses_the_snapshot(tmp_path):
    async def run():
        (tmp_path / "disk").mkdir()
        path = tmp_path / "disk" / "names.json"
        snapshot = f'path = "{path}"\nevery_s = 0.05'
        async with running_srv_app(tmp_path, snapshot=snapshot) as (app, _, [server]):
            await wait_until(lambda: len(app.router.table.backends) == 2 and path.exists())
            endpoints, conf = await hosts_accepting_work(app), app.conf
            started = {
                endpoint.entry.host: endpoint.entry.started_at
                for endpoint in app.router.table.backends.values()
            }
            await app.extensions["srv"].close()
            await server.stop()
            second = App(conf)
            await second.start()
            assert await hosts_accepting_work(second) == endpoints, "before any query was answered"
            assert started == {
                endpoint.entry.host: endpoint.entry.started_at
                for endpoint in second.router.table.backends.values()
            }, "the servers have not restarted"
            assert b" 200 " in await send_and_receive(
                second.client_listener.port, request(more="Connection: close\r\n")
            )
            await second.close()
            path.write_bytes(path.read_bytes()[:-9])
            third = App(conf)
            await third.start()
            assert (
                await hosts_accepting_work(third) == set()
                and "torn" in third.extensions["srv"].snapshot_error
            )
            await third.close()

    asyncio.run(run())


def run_program(begin, tmp_path, toml, **more):
    port, admin_port = free_port(), free_port()
    conf = {"listen": f"127.0.0.1:{port}", "ops": f"127.0.0.1:{admin_port}", "settings": SETTINGS} | more
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    (tmp_path / "deploy").mkdir(exist_ok=True)
    (tmp_path / "deploy/srv.toml").write_text(toml)
    variables = {
        "RELAY_CONFIG": str(tmp_path / "config.json"),
        "HAZELBEND_DEPLOY": str(tmp_path / "deploy"),
    }
    return begin("-m", "hazelbend", **variables), port, admin_port


def srv_endpoint_count(admin_port):
    text = send_request(admin_port, "GET", "/ops/stats")[2]
    return int(text.partition("relay.names.boxes=")[2].split()[0])


@pytest.fixture
def toy_and_nameserver(start, tmp_path):  # noqa: F811
    """Start a toy server, and a nameserver that lists it, as processes."""
    toy, dns = free_port(), free_port()
    start(str(ROOT / "example/toy_server.py"), f"127.0.0.1:{toy}")
    (tmp_path / "zone").write_text(zone_file_text(("toy-0", toy), ttl=1))
    start("-m", "hazelbend.fakes.nameserver", str(tmp_path / "zone"), "--listen", f"127.0.0.1:{dns}")
    return toy, f"127.0.0.1:{dns}"


def test_sigterm_with_queries_in_flight_shuts_down_cleanly(start, tmp_path):  # noqa: F811
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        toml = srv_toml(
            [f"127.0.0.1:{silent.getsockname()[1]}"], budgets="timeout_s = 20\nstart_spread_s = 0"
        )
        program, _, admin_port = run_program(start, tmp_path, toml)
        wait_for(lambda: is_ready(admin_port))
        silent.settimeout(10)
        assert silent.recv(4096)
        program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert b"Traceback" not in (tmp_path / "log").read_bytes()


def test_upgrade_hands_over_the_records_of_srv_names(start, tmp_path, toy_and_nameserver):  # noqa: F811
    _toy, dns = toy_and_nameserver
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/srv.toml").write_text(srv_toml([dns]))
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        port = listener.getsockname()[1]
        old, first = start_on_listener(start, tmp_path, listener, "old")
        wait_for(lambda: is_ready(first) and srv_endpoint_count(first) == 1)
        wait_for(lambda: send_request(port)[0] == 200)
        assert [send_request(port)[0] for _ in range(20)] == [200] * 20, (
            "the speed of the server is known by now"
        )
        # The nameserver of the new process does not answer, so its endpoints come from the old process.
        (tmp_path / "deploy/srv.toml").write_text(srv_toml([f"127.0.0.1:{free_port()}"]))
        new, second = start_on_listener(start, tmp_path, listener, "new")
        wait_for(lambda: is_ready(second))
        assert srv_endpoint_count(second) == 1
        old.send_signal(signal.SIGTERM)
        assert old.wait(10) == 0 and new.poll() is None
        wait_for(lambda: send_request(port)[0] == 200)


def test_sighup_enables_srv_names_and_the_command_line_resolves_them(start, tmp_path, toy_and_nameserver):  # noqa: F811
    toy, dns = toy_and_nameserver
    program, port, admin_port = run_program(start, tmp_path, "enabled = false\n")
    wait_for(lambda: is_ready(admin_port))
    (tmp_path / "deploy/srv.toml").write_text(srv_toml([dns]))
    program.send_signal(signal.SIGHUP)
    wait_for(lambda: "names.boxes=1" in send_request(admin_port, "GET", "/ops/stats")[2])
    wait_for(lambda: send_request(port)[0] == 200)
    words = [sys.executable, "-m", "hazelbend", "resolve", SRV_NAME, "--nameserver", dns]
    done = subprocess.run(words, capture_output=True, text=True)
    assert done.returncode == 0 and f"toy-0.konya-1.example.org  {toy}" in done.stdout, done.stderr
    done = subprocess.run([*words, "--json"], capture_output=True, text=True)
    [report] = orjson.loads(done.stdout)["nameservers"]
    assert report["records"][0]["addresses"] == ["127.0.0.1"] and report["lifetime"] == 1
    other = ["_arama._tcp.adana-1.example.org" if word == SRV_NAME else word for word in words]
    done = subprocess.run(other, capture_output=True, text=True)
    assert done.returncode == 1 and "nothing: NXDOMAIN" in done.stdout
    done = subprocess.run([*words[:-1], "nowhere"], capture_output=True, text=True)
    assert done.returncode == 2 and "Traceback" not in done.stderr
