"""Waiting jobs on a whole site, over both fronts: parents, clocks, admission, ends, reloads."""

import asyncio
import signal
import socket
import time

import orjson
import pytest

from hazelbend.dispatcher.console_server import CommandError, Commands
from hazelbend.job_queue.settings import read_settings
from tests.dispatcher.test_program import ask, free_port, start, wait_for  # noqa: F401
from tests.dispatcher.test_reload import changed
from tests.dispatcher.test_upgrade import ready, run_beside
from tests.support.site_kit import ROOT, SETTINGS, STOMP, FakeStompClient, host_entry, site, wait_until
from tests.transport.test_client_listener import request, send_and_receive

SITE = ROOT / "example/toy_server.py"
WAITING = "enabled = true\nhttp_headers = true\n"


def headers(**more):
    return "Connection: close\r\n" + "".join(f"X-{k.replace('_', '-')}: {v}\r\n" for k, v in more.items())


def waiting_site(folder, text=WAITING, **more):
    (folder / "waiting.toml").write_text(text)
    return site(folder, **more)


def post(app, job_id, body=b"5", timeout=4_000, **more):
    return asyncio.create_task(
        send_and_receive(app.client_listener.port, request(job_id, body, timeout, headers(**more)))
    )


def status(answer):
    return int(answer.split()[1])


async def stomp_client(app):
    peer = await FakeStompClient.connect(app.stomp.port)
    peer.send("SUBSCRIBE", id="a", destination="/hazelbend/answers", ack="auto")
    return peer


def frames_of(peer, job_id):
    return [frame for frame in peer.of("MESSAGE") if frame.headers["request-id"] == job_id]


def test_children_run_after_their_parents_with_their_results(tmp_path):
    async def run():
        async with waiting_site(tmp_path) as (app, [toy]):
            child = post(app, "plan", b"5", After="n1, n2", Take_Results="1")
            await wait_until(lambda: app.extensions["waiting"].gate.rows())
            assert app.router.is_open("plan") and not toy.started_job_ids
            parents = [post(app, each, b"20") for each in ("n1", "n2")]
            answers = await asyncio.gather(child, *parents)
            assert [status(each) for each in answers] == [200] * 3 and toy.started_job_ids == [
                "n1",
                "n2",
                "plan",
            ]
            assert status(await post(app, "later", After="n1;ended")) == 200, "its parent has ended by now"
            peer = await stomp_client(app)
            peer.job("c", b"5", after="p", **{"take-results": "1"})
            peer.job("p", b"5")
            await wait_until(lambda: peer.answers().get("c") == ["served"])
            assert (
                app.router.counters.received == 6
                and not app.extensions["waiting"].gate.pending
                and not app.router.open_ids
            )

    asyncio.run(run())


def test_a_child_of_a_failed_parent_is_refused_at_once_and_told_why(tmp_path):
    async def run():
        async with waiting_site(tmp_path) as (app, _):
            child, other = post(app, "c", After="p"), post(app, "e", After="p;ended")
            below = post(app, "d", After="c")
            await wait_until(lambda: len(app.extensions["waiting"].gate.rows()) == 3)
            assert status(await post(app, "p", b"fail")) in (502, 503)
            answer = await child
            assert status(answer) == 503 and b"X-Reason: p, for which it waited: " in answer
            assert b"X-Reason: c, for which it waited: refused" in await below
            assert status(await other) == 200
            peer = await stomp_client(app)
            peer.job("c", b"5", after="never", deadline="300")
            await wait_until(lambda: frames_of(peer, "c"), 3)
            assert frames_of(peer, "c")[0].headers["reason"] == "its time is over"

    asyncio.run(run())


@pytest.mark.parametrize(
    "more, words",
    [
        ({"After": "a"}, "itself"),
        ({"After": "x;maybe"}, "neither"),
        ({"After": ","}, "missing"),
        ({"Not_Before": "soon"}, "not-before"),
        ({"Wanted_Ms": "-1"}, "wanted"),
        ({"Take_Results": "y"}, "take-results"),
    ],
)
def test_bad_terms_get_a_clear_error_on_both_fronts(tmp_path, more, words):
    async def run():
        async with waiting_site(tmp_path) as (app, _):
            answer = await post(app, "a", **more)
            assert status(answer) == 400 and words.encode() in answer, answer
            peer = await stomp_client(app)
            names = {key.lower().removesuffix("_ms").replace("_", "-"): value for key, value in more.items()}
            peer.job("a", b"5", **names)
            await wait_until(lambda: peer.closed)
            assert words in peer.of("ERROR")[0].headers["message"]
            assert not app.extensions["waiting"].gate.pending and not app.router.open_ids
            assert status(await post(app, "a")) == 200, "the id is free, and the front serves on"

    asyncio.run(run())


def test_headers_are_not_read_unless_they_are_enabled(tmp_path):
    async def run():
        async with waiting_site(tmp_path, "enabled = true\n") as (app, _):
            assert status(await post(app, "a", After="never-comes")) == 200
            assert app.client_listener.gate is None

    asyncio.run(run())


def test_a_job_starts_at_its_time(tmp_path):
    async def run():
        async with waiting_site(tmp_path, toys=4) as (app, toys):
            at = int(time.time() * 1e3) + 400
            jobs = [post(app, f"t{number}", Not_Before=at) for number in range(4)]
            await wait_until(lambda: len(app.extensions["waiting"].gate.rows()) == 4)
            past = post(app, "past", Not_Before=at - 10**6)
            assert status(await past) == 200 and [job for toy in toys for job in toy.started_job_ids] == [
                "past"
            ]
            assert [status(each) for each in await asyncio.gather(*jobs)] == [200] * 4
            assert time.time() * 1e3 >= at

    asyncio.run(run())


def test_who_leaves_over_http_cancels_and_over_stomp_the_answer_waits(tmp_path):
    async def run():
        async with waiting_site(tmp_path) as (app, [toy]):
            _, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request("gone", more=headers(After="p")))
            child = post(app, "below", After="gone;ended")
            await wait_until(lambda: len(app.extensions["waiting"].gate.rows()) == 2)
            writer.close()
            assert status(await child) == 200, "of one that left, it needed no more than its end"
            assert app.router.counters.abandoned == 1 and "gone" not in toy.started_job_ids
            peer = await stomp_client(app)
            peer.job("s", b"5", after="p2")
            await wait_until(lambda: app.extensions["waiting"].gate.rows())
            peer.writer.close()
            await wait_until(lambda: app.stomp.connections == 0)
            again = await stomp_client(app)
            again.job("p2", b"5")
            await wait_until(lambda: again.answers().get("s") == ["served"])

    asyncio.run(run())


def test_a_waiting_job_is_cancelled_by_its_client_and_from_the_console(tmp_path):
    async def run():
        async with waiting_site(tmp_path) as (app, _):
            commands, peer = Commands(app), await stomp_client(app)
            peer.job("one", after="never")
            peer.job("two", after="never")
            await wait_until(lambda: len(app.extensions["waiting"].gate.rows()) == 2)
            assert "the end of never" in commands.run("show waiting")
            peer.send("SEND", destination="/hazelbend/cancel", request_id="one")
            await wait_until(lambda: peer.answers().get("one") == ["refused"])
            assert frames_of(peer, "one")[0].headers["reason"] == "cancelled"
            commands.run("cancel dashboard two")
            await wait_until(lambda: peer.answers().get("two") == ["refused"])
            with pytest.raises(CommandError):
                commands.run("cancel dashboard two")
            assert app.figures().named()["waiting.cancelled"] == 2
            assert app.figures().named()["declined.nearby"] == 2

    asyncio.run(run())


def test_admission_bounds_what_is_in_service_and_refuses_what_would_be_late(tmp_path):
    async def run():
        text = WAITING + "[admission]\nin_service = 2\naged = 0\nordinary = true\n"
        async with waiting_site(tmp_path, text) as (app, [toy]):
            app.extensions["waiting"].gate.engine.admission.mean_run_us[0] = 100_000.0
            jobs = [post(app, f"j{number}", b"100") for number in range(8)]
            await wait_until(lambda: toy.jobs_in_flight == 2)
            tight = await post(app, "tight", b"100", Wanted_Ms=120, After="j0;ended")
            assert status(tight) in (200, 503)
            most = 0
            while not all(each.done() for each in jobs):
                most = max(most, toy.jobs_in_flight)
                await asyncio.sleep(0.005)
            assert most == 2 and [status(each.result()) for each in jobs] == [200] * 8
            now = await post(app, "now", b"5")
            assert status(now) == 200

    asyncio.run(run())


def test_sighup_changes_bounds_under_a_full_queue_and_turns_it_off(tmp_path):
    async def run():
        text = WAITING + "[admission]\nin_service = 1\naged = 0\nordinary = true\n"
        async with waiting_site(tmp_path, text, stomp=STOMP) as (app, [toy]):
            jobs = [post(app, f"j{number}", b"150") for number in range(4)]
            await wait_until(
                lambda: toy.jobs_in_flight == 1 and len(app.extensions["waiting"].gate.rows()) == 3
            )
            (tmp_path / "waiting.toml").write_text(text.replace("in_service = 1", "in_service = 4"))
            app.apply(changed(app, tmp_path))
            await wait_until(lambda: toy.jobs_in_flight == 4)
            assert [status(each) for each in await asyncio.gather(*jobs)] == [200] * 4
            waits = post(app, "waits", After="never")
            await wait_until(lambda: app.extensions["waiting"].gate.rows())
            (tmp_path / "waiting.toml").write_text("enabled = false\n")
            app.apply(changed(app, tmp_path))
            assert status(await waits) == 503 and "waiting" not in app.extensions
            assert status(await post(app, "plain", After="never")) == 200

    asyncio.run(run())


def test_sigterm_refuses_at_once_what_cannot_run_any_more(start, tmp_path):  # noqa: F811
    toy, port, door = free_port(), free_port(), free_port()
    start(str(SITE), f"127.0.0.1:{toy}")
    known = {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"127.0.0.1:{toy}")]}
    # The parent runs until it is let go and nothing expires meanwhile, however slowly the machine answers.
    settings = SETTINGS | {"lanes": [lane | {"deadline_us": 120_000_000} for lane in SETTINGS["lanes"]]}
    conf = {"listen": f"127.0.0.1:{port}", "ops": f"127.0.0.1:{door}", "settings": settings, "known": known}
    (tmp_path / "config.json").write_bytes(orjson.dumps(conf))
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/waiting.toml").write_text(WAITING + "[limits]\ncome_within_s = 120.0\n")
    variables = {"RELAY_CONFIG": str(tmp_path / "config.json"), "HAZELBEND_DEPLOY": str(tmp_path / "deploy")}
    program = start("-m", "hazelbend", **variables)
    wait_for(lambda: ready(door) and ask(port)[0] == 200)

    async def run():
        def send(job_id, body=b"5", **more):
            return asyncio.create_task(
                send_and_receive(port, request(job_id, body, 120_000, headers(**more)))
            )

        far = send("far", Not_Before=int(time.time() * 1e3) + 120_000)
        never, parent, child = send("never", After="x"), send("p", b"held"), send("c", After="p")
        await asyncio.to_thread(wait_for, lambda: "waiting.jobs=3" in ask(door, "GET", "/ops/stats")[2])
        program.send_signal(signal.SIGTERM)
        at = time.monotonic()
        for each in (far, never):
            assert b"X-Reason: the dispatcher ends" in await each
        assert time.monotonic() - at < 0.5, "at once"
        assert (await asyncio.to_thread(ask, toy, "POST", "/let-go"))[0] == 204
        assert status(await parent) == 200 and status(await child) == 200, "these could still run"

    asyncio.run(run())
    assert program.wait(10) == 0
    assert b"Traceback" not in (tmp_path / "log").read_bytes()


@pytest.mark.parametrize(
    "table, fault",
    [
        ({"limits": {"jobs": 0}}, "limits.jobs"),
        ({"limits": {"jbos": 1}}, "unknown field `jbos`"),
        ({"admission": {}}, "admission: Object missing required field `in_service`"),
        ({"admission": {"in_service": 4, "aged": 4}}, "admission.aged"),
        (
            {"admission": {"in_service": 4, "class": [{"name": "x", "in_service": 1}]}},
            r"class\[0\].name: 'x'",
        ),
        ({"admission": {"in_service": 4, "tenant": [{"name": "t", "share": 2}]}}, r"tenant\[0\].share"),
        ({"admission": {"in_service": 4, "tenant": [{"name": "t", "share": 1}] * 2}}, r"tenant\[1\].*twice"),
    ],
)
def test_every_fault_is_named_by_its_key(table, fault):
    with pytest.raises(ValueError, match=fault):
        read_settings(table, ("nearby",), ("t",))


def upgrade(start, tmp_path, work):  # noqa: F811
    """Two processes on one listener, the first with a job that waits for one that never comes."""
    toy = free_port()
    start(str(SITE), f"127.0.0.1:{toy}")
    known = {"seq": 1, "whole": True, "hosts": [host_entry("toy", f"127.0.0.1:{toy}")]}
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/waiting.toml").write_text(WAITING + "[limits]\ncome_within_s = 60.0\n")
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        port = listener.getsockname()[1]
        old, first = run_beside(start, tmp_path, listener, "old", known=known)
        wait_for(lambda: ready(first) and ask(port)[0] == 200)
        assert [ask(port)[0] for _ in range(20)] == [200] * 20, "by now its speed is known"

        async def run():
            waits = asyncio.create_task(
                send_and_receive(port, request("w", b"5", 4_900, headers(After="never")))
            )
            await asyncio.to_thread(wait_for, lambda: "waiting.jobs=1" in ask(first, "GET", "/ops/stats")[2])
            return await work(
                port, old, waits, lambda: run_beside(start, tmp_path, listener, "new", known=known)
            )

        asyncio.run(run())


def test_an_upgrade_answers_what_waits_and_no_job_is_in_both(start, tmp_path):  # noqa: F811
    async def work(port, old, waits, begin):
        new, second = begin()
        await asyncio.to_thread(wait_for, lambda: ready(second))
        seen = set()
        for _ in range(20):  # whichever of the two it comes to
            seen.add(status(await send_and_receive(port, request("w", b"5", 500, headers()))))
        assert seen == {409}
        old.send_signal(signal.SIGTERM)
        assert b"X-Reason: the dispatcher ends" in await waits
        assert await asyncio.to_thread(old.wait, 10) == 0
        assert status(await send_and_receive(port, request("w", b"5", 4_000, headers()))) == 200, (
            "its id is free"
        )
        assert new.poll() is None

    upgrade(start, tmp_path, work)


def test_a_kill_leaves_nothing_behind_that_keeps_a_job_out(start, tmp_path):  # noqa: F811
    """What waited is lost with its process and its clients' connections; sent again, it runs."""

    async def work(port, old, waits, begin):
        old.kill()
        assert await waits == b"", "its connection was cut: no answer was given"
        _, second = await asyncio.to_thread(begin)
        await asyncio.to_thread(wait_for, lambda: ready(second))
        assert status(await send_and_receive(port, request("w", b"5", 4_000, headers()))) == 200
        assert "waiting.jobs=0" in ask(second, "GET", "/ops/stats")[2]

    upgrade(start, tmp_path, work)
