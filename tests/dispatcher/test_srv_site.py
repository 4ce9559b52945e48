"""SRV names on a whole site: what goes wrong outside, and no client notices. Real sockets on loopback."""

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
from tests.dispatcher.test_program import ask, free_port, start, wait_for  # noqa: F401
from tests.dispatcher.test_reload import changed
from tests.dispatcher.test_upgrade import ready, run_beside
from tests.support.pace import pace
from tests.support.site_kit import (
    ROOT,
    SETTINGS,
    STOMP,
    FakeStompClient,
    ToyServer,
    host_entry,
    site,
    wait_until,
)
from tests.support.srv_kit import NAME, boxes_of, nameservers, srv_site, srv_toml, zone
from tests.transport.test_client_listener import request, send_and_receive

TARGETS = {f"toy-{number}.konya-1.example.org" for number in range(2)}


@asynccontextmanager
async def load(app, body=b"5", every=0.004):
    """Jobs over HTTP all the while; the statuses that came, once the block is over. So many at once at most:
    on a slow machine a load that comes by the clock grows until every time-out of the site is over."""
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


class Timed(list):
    """What came to a box, and when."""

    def append(self, what):
        super().append((time.monotonic(), what))


class Pushed:
    """Discovery whose list changes when the test says so: a watch hears of it at once."""

    def __init__(self, *hosts):
        self.seq, self.hosts, self.deltas = 1, {each["host"]: each for each in hosts}, []
        self._news = asyncio.Event()

    def tell(self, *hosts):
        self.seq += 1
        self.deltas.append((self.seq, hosts))
        for each in hosts:
            self.hosts[each["host"]] = each
        self._news.set()
        self._news = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                known = int(path.partition("from=")[2].partition("&")[0] or -1)
                if known < 0:
                    hosts = [each for each in self.hosts.values() if each["health"] != "DELETED"]
                    body = {"seq": self.seq, "whole": True, "hosts": hosts}
                else:
                    if known == self.seq:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._news.wait(), 1.0)
                    hosts = [each for seq, changes in self.deltas if seq > known for each in changes]
                    body = {"seq": self.seq, "whole": False, "hosts": hosts}
                text = orjson.dumps(body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def test_a_box_that_the_list_reports_gone_gets_nothing_more_whatever_srv_says(tmp_path):
    """The operators' case: 200 times under load; from the moment that the dispatcher learns it, 300 ms."""

    async def run():
        toys = [ToyServer(f"toy-{number}") for number in range(2)]
        ports = [port_of(await each.listen()) for each in toys]
        for each in toys:
            each.targets = Timed()
        host = "toy-0.konya-1.example.org"

        def entry(health):
            return host_entry(host, f"127.0.0.1:{ports[0]}", health)

        service = Pushed(entry("SERVING"))
        listener = await asyncio.start_server(service.serve, "127.0.0.1", 0)
        discovery = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        async with nameservers(1, zone(("toy-0", ports[0]), ("toy-1", ports[1], 0, 0))) as [server]:
            (tmp_path / "srv.toml").write_text(srv_toml([server.address]))
            more = {"discovery": discovery, "membership_mode": "ask"}
            async with site(tmp_path, toys=0, stomp="", **more) as (app, _):
                await wait_until(lambda: len(app.router.table.servers) == 2)
                worst, learned = 0.0, []
                app.router.table.on_accepts_work_changed = lambda each, up: learned.append(
                    (time.monotonic(), each, up)
                )
                # By its weight the other box is the second choice.
                async with load(app, b"14") as statuses:
                    for _ in range(200):
                        had = len(toys[0].targets)
                        await wait_until(lambda had=had: len(toys[0].targets) > had)
                        learned.clear()
                        service.tell(entry("DELETED"))
                        await wait_until(lambda: learned)
                        [(at, gone, up)] = learned
                        assert gone.entry.host == host and not up
                        assert await boxes_of(app) == {f"toy-1.konya-1.example.org:{ports[1]}"}
                        assert server.zones and host in app.extensions["srv"].merger.tombstones
                        await asyncio.sleep(0.01)
                        worst = max([worst, *(when - at for when, _ in toys[0].targets[had:])])
                        learned.clear()
                        service.tell(entry("SERVING"))
                        await wait_until(lambda: learned)
                assert set(statuses) <= {200, 503} and statuses.count(200) > 500
                assert worst < 0.3, worst
                assert {name for name, _ in app.extensions["srv"].resolver.names.endpoints(NAME).items()}, (
                    "SRV lists it all along"
                )
        listener.close()
        for each in toys:
            await each.close()

    asyncio.run(run())


def test_all_nameservers_fail_for_longer_than_all_lifetimes_and_come_back(tmp_path):
    async def run():
        async with srv_site(tmp_path, count=3) as (app, _, servers):
            await wait_until(lambda: len(app.router.table.servers) == 2)
            boxes = await boxes_of(app)
            async with load(app) as statuses:
                for fault in ("servfail", "silent", "refused"):
                    for each in servers:
                        each.faults = [Fault(fault)]
                    before = time.monotonic()
                    await wait_until(
                        lambda: app.extensions["srv"].resolver.names.by_srv_name[NAME].failing_since
                    )
                    await wait_until(lambda before=before: time.monotonic() > before + 1.3)
                    assert app.extensions["srv"].status.names()[0].state == "stale"
                    assert await boxes_of(app) == boxes, fault
                back = asyncio.get_running_loop().time()
                for each in servers:
                    each.faults = []
                await wait_until(
                    lambda: not app.extensions["srv"].resolver.names.by_srv_name[NAME].failing_since
                )
                await asyncio.sleep(0.5)
                asked = [query for each in servers for query in each.queries if query.at > back]
                assert len(asked) <= 12, "no burst: a round for the name and each target, agreed upon"
            assert set(statuses) == {200} and await boxes_of(app) == boxes

    asyncio.run(run())


ANSWER_LIFETIME_S = 0.1  # seconds that a nameserver's answer counts as a vote


@pytest.mark.parametrize("lie", ["nxdomain", "empty", "old zone"])
def test_one_nameserver_of_three_lies_and_the_pool_stays(tmp_path, lie):
    lifetimes = f"least_s = {ANSWER_LIFETIME_S}\nmost_s = {ANSWER_LIFETIME_S}"

    async def run():
        async with srv_site(tmp_path, count=3, lifetimes=lifetimes) as (app, _, servers):
            await wait_until(lambda: len(app.router.table.servers) == 2)
            boxes = await boxes_of(app)
            changes = []
            app.router.table.on_accepts_work_changed = lambda server, up: changes.append(
                (server.entry.host, up)
            )
            async with load(app) as statuses:
                for liar in servers:
                    if lie == "old zone":
                        true = dict(liar.zones.by_origin)
                        liar.serve_zone(zone(("toy-0", port_of(min(boxes))), ("old", 9)))
                    else:
                        liar.faults = [Fault(lie)]
                    asked = len(liar.queries)
                    await asyncio.sleep(0.5)
                    assert sum(len(each.queries) for each in servers) > asked
                    liar.faults = []
                    if lie == "old zone":
                        liar.zones.by_origin = true
                    # Else its last lie may stand beside the first lie of the next one, and two outvote one.
                    await asyncio.sleep(2 * ANSWER_LIFETIME_S)
            assert set(statuses) == {200} and not changes and await boxes_of(app) == boxes

    asyncio.run(run())


def test_records_that_flap(tmp_path):
    """What comes and goes is cold each time, and no client notices."""

    async def run():
        async with srv_site(tmp_path, toys=3, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            _toys,
            [server],
        ):
            await wait_until(lambda: len(app.router.table.servers) == 3)
            ports = {each.entry.host.partition(".")[0]: port_of(each.entry.dial)
                     for each in app.router.table.servers.values()}  # fmt: skip
            rows = sorted(ports.items())
            async with load(app) as statuses:
                for turn in range(6):
                    server.serve_zone(zone(*(rows[:2] if turn % 2 == 0 else rows), ttl=0))
                    want = 2 if turn % 2 == 0 else 3
                    await wait_until(lambda want=want: len(app.router.table.servers) == want)
            assert set(statuses) == {200}

    asyncio.run(run())


def test_five_hundred_targets(tmp_path):
    """The truncated answer comes over TCP; spare boxes are there, and get nothing."""

    async def run():
        patient = f"start_spread_s = 0.0\ntimeout_s = {pace():.1f}\nrest_s = 0.1\nper_s = 2000"
        lifetimes = "least_s = 1.0\nmost_s = 1.0"
        async with srv_site(tmp_path, toys=3, lifetimes=lifetimes, budgets=patient) as (app, _, [server]):
            await wait_until(lambda: len(app.router.table.servers) == 3)
            rows = sorted(
                (each.entry.host.partition(".")[0], port_of(each.entry.dial))
                for each in app.router.table.servers.values()
            )
            many = [(f"b{number}", 9, 10) for number in range(500)]
            server.serve_zone(zone(*rows, *many))
            async with load(app) as statuses:
                await wait_until(lambda: len(app.router.table.servers) == 503)
            assert set(statuses) == {200} and any(each.tcp for each in server.queries)
            assert len(await boxes_of(app)) == 3, "the five hundred are spare"
            server.serve_zone(zone(*rows))
            await wait_until(lambda: len(app.router.table.servers) == 3)

    asyncio.run(run())


def test_a_target_moves_its_address_while_jobs_run_on_it(tmp_path):
    async def run():
        other = ToyServer("moved")
        async with srv_site(tmp_path, toys=1, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            [toy],
            [server],
        ):
            await wait_until(lambda: app.router.table.servers)
            [box] = app.router.table.servers.values()
            started_at, port = box.entry.started_at, port_of(box.entry.dial)
            long = asyncio.create_task(
                send_and_receive(
                    app.client_listener.port, request("long", b"1200", more="Connection: close\r\n")
                )
            )
            await wait_until(lambda: toy.started_job_ids or long.done())
            assert toy.started_job_ids, f"the job has an answer and never ran: {long.result()!r}"
            assert (await other.listen("127.0.0.2", port)) == f"127.0.0.2:{port}"
            server.serve_zone(zone(("toy-0", port), ttl=0).replace("A 127.0.0.1", "A 127.0.0.2"))
            await wait_until(lambda: box.entry.dial == f"127.0.0.2:{port}")
            assert box.entry.started_at > started_at, "another process: cold"
            answer = await send_and_receive(
                app.client_listener.port, request("new", b"1", more="Connection: close\r\n")
            )
            assert b"moved did new" in answer
            assert b"toy-0 did long" in await long
        await other.close()

    asyncio.run(run())


def test_a_prioritys_last_box_goes_in_the_middle_of_a_burst(tmp_path):
    """By the zone, by hand, and by the module's shutting it out: the next priority takes over at once, and
    the better one gets work again as soon as it is back, alone only when it has stayed."""

    async def run():
        async with srv_site(tmp_path, toys=2, lifetimes="least_s = 0.1\nmost_s = 0.1") as (
            app,
            toys,
            [server],
        ):
            await wait_until(lambda: len(app.router.table.servers) == 2)
            first, spare = sorted(app.router.table.servers.values(), key=lambda each: each.entry.host)
            ports = [port_of(each.entry.dial) for each in (first, spare)]
            both = zone(("toy-0", ports[0]), ("toy-1", ports[1], 10), ttl=0)
            server.serve_zone(both)
            await wait_until(lambda: not spare.accepts_work)
            async with load(app) as statuses:
                app.router.set_manual_drain(first.entry.host, True)
                await wait_until(lambda: spare.accepts_work)
                app.router.set_manual_drain(first.entry.host, False)
                back = time.monotonic()
                assert first.accepts_work and spare.accepts_work
                await wait_until(lambda: not spare.accepts_work)
                assert time.monotonic() - back > 0.29, "the hysteresis"
                app.module.workers_in_backoff = lambda now: {first.id}
                await wait_until(lambda: spare.accepts_work)
                del app.module.workers_in_backoff
                await wait_until(lambda: not spare.accepts_work)
                server.serve_zone(zone(("toy-1", ports[1], 10), ttl=0))
                await wait_until(lambda: len(app.router.table.servers) == 1)
                assert await boxes_of(app) == {spare.entry.host}
            assert set(statuses) == {200} and len(toys[1].started_job_ids) > 0

    asyncio.run(run())


def test_both_fronts_serve_while_refreshes_are_out_and_reloads_and_drains_happen(tmp_path):
    async def run():
        async with srv_site(tmp_path, stomp=STOMP, ops="127.0.0.1:0") as (app, _toys, [server]):
            await wait_until(lambda: len(app.router.table.servers) == 2)
            server.faults = [Fault("silent")]
            await wait_until(lambda: app.extensions["srv"].queries_in_flight)
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.send("SUBSCRIBE", id="a", destination="/hazelbend/answers", ack="auto")
            async with load(app) as statuses:
                peer.job("over-stomp", b"5")
                await wait_until(lambda: peer.answers().get("over-stomp") == ["served"])
                # SIGHUP: other names, other bounds, off, on again; a bad file changes nothing.
                toml = srv_toml([server.address])
                for text, boxes in (
                    (srv_toml([server.address], lifetimes="least_s = 0.3"), 2),
                    (srv_toml([server.address], names=()), 0),
                    (toml, 2),
                    (toml.replace("enabled = true", "enabled = false"), 0),
                    (toml, 2),
                ):
                    (tmp_path / "srv.toml").write_text(text)
                    server.faults = [] if boxes else [Fault("silent")]
                    app.apply(changed(app, tmp_path))
                    await wait_until(lambda boxes=boxes: len(app.router.table.servers) == boxes)
                    if not boxes:
                        # With no box at all the module holds jobs, and refuses none before their time.
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


def test_the_console_and_the_door_tell_of_names(tmp_path):
    async def run():
        async with srv_site(tmp_path, listed=1, ops="127.0.0.1:0") as (app, _, [server]):
            await wait_until(lambda: len(app.router.table.servers) == 3)
            commands = Commands(app)
            shown = commands.run("show names")
            assert NAME in shown and "listed" in shown and " 2 " in shown
            assert "toy-0.konya-1.example.org" in commands.run(f"show names {NAME}")
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


def test_a_start_with_no_nameserver_serves_from_the_snapshot(tmp_path):
    async def run():
        (tmp_path / "disk").mkdir()
        path = tmp_path / "disk" / "names.json"
        snapshot = f'path = "{path}"\nevery_s = 0.05'
        async with srv_site(tmp_path, snapshot=snapshot) as (app, _, [server]):
            await wait_until(lambda: len(app.router.table.servers) == 2 and path.exists())
            boxes, conf = await boxes_of(app), app.conf
            started = {each.entry.host: each.entry.started_at for each in app.router.table.servers.values()}
            await app.extensions["srv"].close()
            await server.stop()
            second = App(conf)
            await second.start()
            assert await boxes_of(second) == boxes, "before a single query was answered"
            assert started == {
                each.entry.host: each.entry.started_at for each in second.router.table.servers.values()
            }, "they have not started again"
            assert b" 200 " in await send_and_receive(
                second.client_listener.port, request(more="Connection: close\r\n")
            )
            await second.close()
            path.write_bytes(path.read_bytes()[:-9])
            third = App(conf)
            await third.start()
            assert await boxes_of(third) == set() and "torn" in third.extensions["srv"].snapshot_error
            await third.close()

    asyncio.run(run())


def run_program(begin, tmp_path, toml, **more):
    port, door = free_port(), free_port()
    conf = {"listen": f"127.0.0.1:{port}", "ops": f"127.0.0.1:{door}", "settings": SETTINGS} | more
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    (tmp_path / "deploy").mkdir(exist_ok=True)
    (tmp_path / "deploy/srv.toml").write_text(toml)
    variables = {
        "RELAY_CONFIG": str(tmp_path / "config.json"),
        "HAZELBEND_DEPLOY": str(tmp_path / "deploy"),
    }
    return begin("-m", "hazelbend", **variables), port, door


def boxes_told(door):
    text = ask(door, "GET", "/ops/stats")[2]
    return int(text.partition("relay.names.boxes=")[2].split()[0])


@pytest.fixture
def outside(start, tmp_path):  # noqa: F811
    """A toy and a nameserver that names it, as processes of their own."""
    toy, dns = free_port(), free_port()
    start(str(ROOT / "example/toy_server.py"), f"127.0.0.1:{toy}")
    (tmp_path / "zone").write_text(zone(("toy-0", toy), ttl=1))
    start("-m", "hazelbend.fakes.nameserver", str(tmp_path / "zone"), "--listen", f"127.0.0.1:{dns}")
    return toy, f"127.0.0.1:{dns}"


def test_sigterm_while_queries_are_out(start, tmp_path):  # noqa: F811
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        toml = srv_toml(
            [f"127.0.0.1:{silent.getsockname()[1]}"], budgets="timeout_s = 20\nstart_spread_s = 0"
        )
        program, _, door = run_program(start, tmp_path, toml)
        wait_for(lambda: ready(door))
        silent.settimeout(10)
        assert silent.recv(4096)
        program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert b"Traceback" not in (tmp_path / "log").read_bytes()


def test_an_upgrade_hands_over_what_is_known_of_names(start, tmp_path, outside):  # noqa: F811
    _toy, dns = outside
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/srv.toml").write_text(srv_toml([dns]))
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        port = listener.getsockname()[1]
        old, first = run_beside(start, tmp_path, listener, "old")
        wait_for(lambda: ready(first) and boxes_told(first) == 1)
        wait_for(lambda: ask(port)[0] == 200)
        assert [ask(port)[0] for _ in range(20)] == [200] * 20, "by now its speed is known"
        # The nameserver of the new one does not answer: it has its boxes from the old one.
        (tmp_path / "deploy/srv.toml").write_text(srv_toml([f"127.0.0.1:{free_port()}"]))
        new, second = run_beside(start, tmp_path, listener, "new")
        wait_for(lambda: ready(second))
        assert boxes_told(second) == 1
        old.send_signal(signal.SIGTERM)
        assert old.wait(10) == 0 and new.poll() is None
        wait_for(lambda: ask(port)[0] == 200)


def test_sighup_turns_names_on_and_the_command_line_resolves_them(start, tmp_path, outside):  # noqa: F811
    toy, dns = outside
    program, port, door = run_program(start, tmp_path, "enabled = false\n")
    wait_for(lambda: ready(door))
    (tmp_path / "deploy/srv.toml").write_text(srv_toml([dns]))
    program.send_signal(signal.SIGHUP)
    wait_for(lambda: "names.boxes=1" in ask(door, "GET", "/ops/stats")[2])
    wait_for(lambda: ask(port)[0] == 200)
    words = [sys.executable, "-m", "hazelbend", "resolve", NAME, "--nameserver", dns]
    done = subprocess.run(words, capture_output=True, text=True)
    assert done.returncode == 0 and f"toy-0.konya-1.example.org  {toy}" in done.stdout, done.stderr
    done = subprocess.run([*words, "--json"], capture_output=True, text=True)
    [said] = orjson.loads(done.stdout)["nameservers"]
    assert said["records"][0]["addresses"] == ["127.0.0.1"] and said["lifetime"] == 1
    other = ["_arama._tcp.adana-1.example.org" if each == NAME else each for each in words]
    done = subprocess.run(other, capture_output=True, text=True)
    assert done.returncode == 1 and "nothing: NXDOMAIN" in done.stdout
    done = subprocess.run([*words[:-1], "nowhere"], capture_output=True, text=True)
    assert done.returncode == 2 and "Traceback" not in done.stderr
