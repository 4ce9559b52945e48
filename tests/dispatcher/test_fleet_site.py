"""Leases with real processes: three dispatchers on loopback under faults, and commands under a lease."""

from __future__ import annotations

import asyncio
import http.client
import json
import signal
import sys
import time

import click
import pytest

from benchmarks.fleet_faults import LEASE_NAMES, FakeStore, FaultRun
from benchmarks.fleet_rig import ACT_SCRIPT, LocalFleet, read_acts, wait_for
from benchmarks.loopback_ports import free_port
from hazelbend.cli.main import Duration
from hazelbend.dispatcher.console_server import CommandError, Commands
from hazelbend.gossip.messages import FullState, Packet
from hazelbend.leases.fencing import TOKEN_BITS
from hazelbend.leases.operations import Acquire
from hazelbend.transport.peer.peer_links import PeerLinks
from tests.support.site_kit import running_app


@pytest.fixture
def three(tmp_path):
    with LocalFleet(tmp_path, 3, max_ttl_s=6.0) as fleet_site:
        fleet_site.bootstrap()
        yield fleet_site


def test_waiters_get_the_lease_in_turn_after_the_leader_is_killed(three, tmp_path):
    """Three tasks request one lease, and the leader is killed while the first task holds it.

    The holder continues, and the two waiters get the lease in turn.
    """
    path, stop, tasks = tmp_path / "acts", tmp_path / "stop", []
    leader = three.leader()
    others = [machine for machine in three.machines if machine is not leader]
    for machine in (others[0], others[1], others[0]):
        command = ("--", sys.executable, "-c", ACT_SCRIPT, str(path), str(stop))
        tasks.append(machine.start_command("lease", "run", "job", "--ttl", "6s", "--wait", "90s", *command))
        wait_for(lambda: len(read_acts(path)) > 0)

    def waiting() -> bool:
        status, output, _ = others[0].run_command("lease", "list", "--json")
        [lease] = json.loads(output)["leases"]
        assert status == 0 and lease["name"] == "job"
        return len(lease["waiters"]) == 2

    wait_for(waiting)
    leader.stop(signal.SIGKILL)
    leader.start()
    stop.touch()
    for task in tasks:
        _output, errors = task.communicate(timeout=90)
        assert task.returncode == 7, errors
    done = read_acts(path)
    tokens = [token for _, token in done]
    assert tokens == sorted(tokens) and len(set(tokens)) == 3, (
        "the tasks run one after another, with increasing tokens"
    )
    wait_for(lambda: len(three.machines[0].view()["voters"]) == 3)
    assert three.machines[0].run_command("lease", "show", "job")[0] == 1, "free"


def test_command_is_stopped_before_its_lease_expires_or_when_it_is_released(three, tmp_path):
    """All dispatchers are suspended, so renewals fail: the command must end before the lease expires."""
    path, machine = tmp_path / "acts", three.leader()
    command = ("--", sys.executable, "-c", ACT_SCRIPT, str(path), "/none")
    task = machine.start_command("lease", "run", "job", "--ttl", "2s", *command)
    wait_for(lambda: len(read_acts(path)) > 5)
    for dispatcher in three.machines:
        dispatcher.send(signal.SIGSTOP)
    stopped = time.monotonic_ns()
    _, errors = task.communicate(timeout=60)
    assert task.returncode == 76 and "lost" in errors
    assert read_acts(path)[-1][0] < stopped + 2e9, "at the latest one TTL after the last renewal"
    for dispatcher in three.machines:
        dispatcher.send(signal.SIGCONT)
    three.leader()
    task = machine.start_command("lease", "run", "job", "--ttl", "2s", "--wait", "30s", *command)
    before = len(read_acts(path))
    wait_for(lambda: len(read_acts(path)) > before)
    status, _output, errors = machine.run_command("lease", "release", "job", "--force")
    assert status == 0 and "token" in errors
    task.communicate(timeout=60)
    assert task.returncode == 76
    task = machine.start_command(
        "lease", "run", "job", "--ttl", "2s", "--wait", "30s", "--", sys.executable, "-c", "pass"
    )
    task.communicate(timeout=60)
    assert task.returncode == 0


def test_drain_and_shutdown_transfer_leadership_at_once(three):
    """The leader transfers leadership without an election timeout, and the others know that it has left."""
    first = three.leader()
    connection = http.client.HTTPConnection(first.ops_address)
    connection.request("POST", "/ops/drain/start")
    assert connection.getresponse().status == 200
    connection.close()
    three.wait_for(lambda: three.leader() is not first)
    second = three.leader()
    second.send(signal.SIGTERM)
    signalled_at = time.monotonic()
    others = [machine for machine in three.machines if machine is not second]

    def another_leads() -> bool:
        leaders = {machine.view()["leader"].rpartition("@")[2] for machine in others}
        return len(leaders) == 1 and leaders <= {machine.address for machine in others}

    three.wait_for(another_leads)
    assert time.monotonic() < signalled_at + 30.0
    states = {
        member["identity"].rpartition("@")[2]: member["status"] for member in others[0].view()["members"]
    }
    assert states[second.address] == "left"


def test_no_lease_is_granted_without_a_quorum_until_an_operator_starts_an_epoch(three, tmp_path):
    machine, path = three.machines[2], tmp_path / "acts"
    command = ("--", sys.executable, "-c", ACT_SCRIPT, str(path), "/")
    assert machine.run_command("lease", "run", "job", "--ttl", "1s", *command)[0] == 7
    assert machine.run_command("fleet", "start")[0] == 1, "the fleet has a leader"
    for other in three.machines[:2]:
        other.stop(signal.SIGKILL)
        other.start()
    three.wait_for(lambda: machine.view()["leader"] == "")
    assert machine.run_command("lease", "run", "job", "--ttl", "1s", *command)[0] == 75
    assert machine.run_command("fleet", "status")[0] == 1
    assert machine.run_command("fleet", "start")[0] == 0
    three.wait_for(lambda: len((view := machine.view())["voters"]) == 3 and view["open"])
    assert machine.run_command("lease", "run", "job", "--ttl", "1s", *command)[0] == 7
    tokens = [token for _, token in read_acts(path)]
    assert tokens == sorted(tokens) and tokens[0] >> TOKEN_BITS < tokens[-1] >> TOKEN_BITS


def test_members_with_stores_recover_their_state_after_all_crash_at_once(tmp_path):
    """No operator needs to start a new epoch."""
    with LocalFleet(tmp_path, 3, max_ttl_s=30.0, store=True) as fleet_site:
        fleet_site.bootstrap(wait_until_open=False)
        before = fleet_site.machines[0].view()
        for machine in fleet_site.machines:
            machine.stop(signal.SIGKILL)
        for machine in fleet_site.machines:
            machine.start()
        leader = fleet_site.leader()
        after = leader.view()
        assert after["epoch"] == before["epoch"] and set(after["voters"]) == set(before["voters"])
        assert leader.run_command("fleet", "status")[0] == 0
        # A member with a damaged file joins under a new identity.
        victim = next(machine for machine in fleet_site.machines if machine is not leader)
        victim.stop(signal.SIGKILL)
        file = victim.folder / "store" / "memory"
        content = bytearray(file.read_bytes())
        content[len(content) // 2] ^= 1
        file.write_bytes(content)
        victim.start()
        fleet_site.wait_for(lambda: victim.view().get("me", "") not in ("", *before["voters"]))
        assert (victim.folder / "store" / "memory.damaged").exists()
        fleet_site.wait_for(lambda: victim.view()["me"] in leader.view()["voters"])


def test_at_most_one_process_acts_under_a_lease_during_faults(tmp_path):
    """Runs one seed of benchmarks/fleet_faults.py for ten seconds."""
    fault_run = FaultRun(12, 3, 10.0, "", tmp_path)
    fault_run.run()
    found = fault_run.result()
    assert found["broken"] == [] and found["overlaps"] == 0
    assert sum(found["faults"].values()) > 3, fault_run.schedule
    assert not [task for task in fault_run.tasks.values() if task.poll() is None], "no task is still running"


def test_console_and_figures_show_the_fleet(tmp_path):
    """The console and the figures show the fleet if there is one, and nothing of it otherwise."""

    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            with pytest.raises(CommandError, match="there is no fleet"):
                Commands(app).run("show fleet")
        port = free_port()
        (tmp_path / "fleet.toml").write_text(
            f'enabled = true\nid = "f"\nlisten = "127.0.0.1:{port}"\n[leases]\nlongest_s = 1.0\n'
        )
        async with running_app(tmp_path, stomp="") as (app, _):
            [part] = app.extensions.values()
            assert "nobody leads" in Commands(app).run("show fleet")
            links = PeerLinks("127.0.0.1")
            await links.start_new_epoch(f"127.0.0.1:{port}", force=False, timeout_s=5.0)
            acquire = Acquire("job", "me", 1, 1_000_000)
            assert (await links.submit(f"127.0.0.1:{port}", acquire, 5.0)).response.reason == "not open yet"
            while not part.node.leases.state.is_open:
                await asyncio.sleep(0.05)
            answer = (await links.submit(f"127.0.0.1:{port}", acquire, 5.0)).response
            assert answer.token and str(answer.token) in Commands(app).run("show leases")
            shown = Commands(app).run("show fleet")
            assert "leads" in shown and "(this one)" in shown
            figures = app.figures().named()
            assert figures["fleet_leases"] == figures["fleet_leads"] == figures["fleet_members"] == 1
            for method, call, body in (("POST", "tell", b"\xc1"), ("POST", "ask", b""), ("GET", "none", b"")):
                with pytest.raises(ValueError, match="40"):
                    await links._call(method, f"127.0.0.1:{port}", call, body, 5.0)
            await links.close()

    asyncio.run(run())


def test_message_queued_while_its_sender_task_ends_is_sent():
    """Guards a message that waited for the next message to its address.

    The sender was removed one iteration of the event loop after its last check of the queue.
    """

    async def run():
        links, sent = PeerLinks("127.0.0.1"), []

        async def call(method, address, call, body, timeout_s):
            sent.append(address)
            return b""

        links._call = call
        for _ in range(3):
            links.send("h:1", Packet("f", "a@h:0", "h:1", FullState(reply_wanted=False)))
            while links._queued:
                await asyncio.sleep(0)
            assert not links._senders
        assert sent == ["h:1"] * 3

    asyncio.run(run())


@pytest.mark.parametrize("text", ["5hm", "x", "", "10 parsecs"])
def test_invalid_duration_is_rejected(text):
    with pytest.raises(click.BadParameter, match="is no time"):
        Duration().convert(text, None, None)
    assert [Duration().convert(value, None, None) for value in ("10s", "1m", "500ms", 2.5)] == [
        10.0,
        60.0,
        0.5,
        2.5,
    ]


def test_snapshot_has_the_lease_token_and_a_rejected_token_releases_the_lease(tmp_path):
    async def run():
        store, port = FakeStore(), free_port()
        (tmp_path / "fleet.toml").write_text(
            f'enabled = true\nid = "f"\nlisten = "127.0.0.1:{port}"\n[leases]\nlongest_s = 2.0\n[snapshot]\n'
            f'url = "http://127.0.0.1:{store.server_address[1]}/f"\n'
            "every_s = 0.1\nttl_s = 2.0\ntimeout_s = 1.0\n"
        )
        async with running_app(tmp_path, stomp="") as (app, _):
            [part] = app.extensions.values()
            task, leases = part.snapshot, part.node.leases
            await part.driver.start_new_epoch(False)

            async def wait_until(condition):
                async with asyncio.timeout(60):
                    while not condition():
                        await asyncio.sleep(0.02)

            await wait_until(lambda: task.written > 3)
            token = leases.state.leases["hazelbend.snapshot"].token
            assert store.highest == {"/f": token} and app.figures().named()["fleet_snapshots"] > 3
            store.put("/f", token + 1)  # as if another holder had written: the next write has a lower token
            await wait_until(lambda: task.rejected)
            await wait_until(lambda: store.highest["/f"] == token + 1 and task.written > 6)
            assert store.accepted_stale_writes == 0, (
                "the next lease has the same token as that write, not a lower one"
            )
            await part.leave(1.0)
            assert leases.state.leases == {}, "another member need not wait until the lease expires"
        store.shutdown()
        store.server_close()

    asyncio.run(run())


def test_fake_store_and_fault_run_detect_violations(tmp_path):
    store = FakeStore()
    assert [store.put("a", token) for token in (2, 3, 2, 3)] == [True, True, False, True]
    assert (store.rejected, store.accepted_stale_writes) == (1, 0)
    unchecked = FakeStore(checks_tokens=False)
    assert unchecked.put("a", 3) and unchecked.put("a", 2) and unchecked.accepted_stale_writes == 1
    for fake_store in (store, unchecked):
        fake_store.shutdown()
        fake_store.server_close()
    fault_run = FaultRun(1, 3, 1.0, "", tmp_path)
    name = LEASE_NAMES[0]
    fault_run.path.write_text(f"1000 {name} 5 71\n2000 {name} 6 72\n3000 {name} 5 71\n4000 {name} 5 73\n")
    fault_run.stopped_pids = {73}
    found = fault_run.result()
    assert (found["overlaps"], found["late_by_stopped"], found["grants"]) == (1, 1, 2) and found["broken"]
