"""The figures: each job and attempt counts once, and the door, the console and SNMP show the same."""

import asyncio

from pysnmp.proto.rfc1902 import OctetString

from hazelbend.decisions.interface import Outcome
from hazelbend.dispatcher.console_server import Commands
from hazelbend.transport.snmp import hazelbend_mib
from tests.support.site_kit import FakeStompClient, site, wait_until
from tests.transport.test_admin_listener import OPS_ADDRESS, call_ops
from tests.transport.test_client_listener import request, send_and_receive


async def stats(app) -> dict[str, int]:
    status, text = await call_ops(app, "/ops/stats")
    assert status == 200 and text.endswith("\n")
    rows = [line.partition("=") for line in text.splitlines()]
    assert all(name.startswith("relay.") for name, _, _ in rows)
    return {name.removeprefix("relay."): int(value) for name, _, value in rows}


def closing(job_id: str, body: bytes, timeout: int = 4_000, more: str = "") -> bytes:
    return request(job_id, body, timeout, f"Connection: close\r\n{more}")


def test_each_job_counts_once_in_its_class(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, [toy]):
            assert set((await stats(app)).values()) == {0, 1}, "every class is there from the start"
            reserve = closing("f", b"1 fail", more="Idempotency-Key: k\r\n").replace(b"/nearby", b"/reserve")
            for data in (closing("a", b"1"), closing("b", b"1"), reserve):
                await send_and_receive(app.client_listener.port, data)
            running = asyncio.create_task(send_and_receive(app.client_listener.port, closing("run", b"1500")))
            await wait_until(lambda: toy.jobs_in_flight)
            await send_and_receive(
                app.client_listener.port, closing("bad", b"1").replace(b"/nearby", b"/bogus")
            )
            app.router.set_manual_drain("toy-0", True)
            assert b" 503 " in await send_and_receive(app.client_listener.port, closing("c", b"1", 100)), (
                "no server takes work"
            )
            app.router.set_manual_drain("toy-0", False)
            found = await stats(app)
            assert found == {
                "succeeded.nearby": 2, "declined.nearby": 1, "aborted.nearby": 0,
                "succeeded.reserve": 0, "declined.reserve": 0, "aborted.reserve": 1,
                "forwards": 4, "outstanding": 1, "discovered": 1, "ejected": 0,
            }  # fmt: skip
            assert b" 200 " in await running
            assert (await stats(app))["outstanding"] == 0

    asyncio.run(run())


def test_a_fault_counts_once_and_a_client_that_left_is_no_longer_outstanding(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, [toy]):
            handle = app.router.module.handle

            def faulty(event, now):
                if type(event).__name__ == "AttemptEnded":
                    raise RuntimeError("a fault")
                return handle(event, now)

            app.router.module.handle = faulty
            assert b" 200 " in await send_and_receive(app.client_listener.port, closing("a", b"1")), (
                "it was served by then"
            )
            app.router.module.handle = handle
            _, writer = await asyncio.open_connection("127.0.0.1", app.client_listener.port)
            writer.write(request("gone", b"hang"))
            await wait_until(lambda: toy.jobs_in_flight == 1)
            writer.close()
            await wait_until(lambda: not app.router.requests)
            found = await stats(app)
            assert found["outstanding"] == 0 and found["forwards"] == 2
            assert [found[f"{name}.nearby"] for name in ("succeeded", "declined", "aborted")] == [1, 0, 0]

    asyncio.run(run())


def test_both_fronts_count_alike_a_full_mailbox_too(tmp_path):
    async def run():
        async with site(tmp_path, ops=OPS_ADDRESS) as (app, _):
            peer = await FakeStompClient.connect(app.stomp.port)
            peer.send("SUBSCRIBE", id="1", destination="/hazelbend/answers", ack="auto")
            box = await FakeStompClient.connect(app.stomp.port, login="box-1")
            box.send("SUBSCRIBE", id="w", destination="/hazelbend/work")
            await wait_until(lambda: len(app.router.table.servers) == 2)
            app.router.set_manual_drain("toy-0", True)
            peer.job("to the box", b"1")
            await wait_until(lambda: box.of("MESSAGE"))
            found = await stats(app)
            assert (found["forwards"], found["outstanding"]) == (1, 1)
            assert (found["discovered"], found["ejected"]) == (2, 1), "drained by hand: avoided"
            app.stomp.settings.mailbox_limits.waiting = 1
            peer.job("too many", b"1")
            await wait_until(lambda: peer.answers() == {"too many": ["refused"]})
            assert (await stats(app))["declined.nearby"] == 1
            assert app.router.counters.received == 2

    asyncio.run(run())


def test_a_server_that_is_shut_out_is_ejected(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, [toy]):
            await toy.close()
            await send_and_receive(app.client_listener.port, closing("a", b"1", 300))
            found = await stats(app)
            assert (found["ejected"], found["discovered"], found["forwards"]) == (1, 1, 0)

    asyncio.run(run())


def test_door_console_and_snmp_show_the_same(tmp_path):
    async def run():
        async with site(tmp_path, stomp="", ops=OPS_ADDRESS) as (app, _):
            for number in range(3):
                await send_and_receive(app.client_listener.port, closing(f"r{number}", b"1"))
            app.router.set_manual_drain("toy-0", True)
            found = await stats(app)
            shown = Commands(app).run("show figures")
            assert {row.split()[0]: int(row.split()[1]) for row in shown.splitlines()} == found
            told = hazelbend_mib.object_values(app.overview())
            names = {index: str(told[(*hazelbend_mib.CLASS_ENTRY, 2, index)]) for index in (1, 2)}
            for column, word in ((3, "succeeded"), (4, "declined"), (5, "aborted")):
                for index, name in names.items():
                    assert int(told[(*hazelbend_mib.CLASS_ENTRY, column, index)]) == found[f"{word}.{name}"]
            rest = [int(told[(*hazelbend_mib.OBJECTS, 7, place, 0)]) for place in (1, 2, 3)]
            assert rest == [found[name] for name in ("forwards", "discovered", "ejected")]
            assert not isinstance(told[(*hazelbend_mib.OBJECTS, 2, 6, 0)], OctetString)
            assert int(told[(*hazelbend_mib.OBJECTS, 2, 6, 0)]) == found["outstanding"] == 0
            assert app.router.counters.outcomes[Outcome.SERVED] == 3

    asyncio.run(run())
