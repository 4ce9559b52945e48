"""The discovery watch against a scripted service."""

import asyncio

import orjson
import pytest

from hazelbend.decisions import discovery_retry
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.transport.http import discovery_watch
from tests.support.race_kit import yield_to_event_loop
from tests.support.site_kit import host_entry, running_app, wait_until


def list_response(seq: int, is_complete: bool, *names: str) -> bytes:
    body = orjson.dumps(
        {"seq": seq, "whole": is_complete, "hosts": [host_entry(name, "h:1") for name in names]}
    )
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def run_watch(
    *answers: bytes | None,
    subscriptions: int = 1,
    fleet: int = 1,
    known_version: int | None = None,
    resubscribe: bool = False,
):
    """Run a watch; return its updates, the requested paths, and the times from response to next call.

    A response of None never arrives. `resubscribe` subscribes again after each failure.
    """

    async def run():
        updates, requests, gaps, remaining, answered_at = [], [], [], list(answers), [0.0]
        loop = asyncio.get_running_loop()

        async def serve(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    requests.append(head.split()[1].decode())
                    gaps.append(loop.time() - answered_at[0])
                    if not remaining or (data := remaining.pop(0)) is None:
                        await reader.read()  # no response: the call hangs
                        break
                    writer.write(data)
                    answered_at[0] = loop.time()
            except (asyncio.IncompleteReadError, OSError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        watch = discovery_watch.DiscoveryWatch(address, EndpointListCodec(("ankara-1",), ("big-box",)), fleet)
        watch.known_version = known_version
        for _ in range(subscriptions):
            watch.subscribe(updates.append)
        await wait_until(lambda: len(requests) > len(answers) or (updates and updates[-1].failed))
        while resubscribe and remaining:
            updates.clear()
            watch.subscribe(updates.append)
            await wait_until(lambda: updates and updates[-1].failed)
        await watch.close()
        server.close()
        return updates, requests, gaps

    return asyncio.run(run())


def test_complete_list_is_followed_by_its_changes():
    updates, requests, gaps = run_watch(
        list_response(41, True, "a", "b"), list_response(43, False, "b"), list_response(43, False)
    )
    assert [(update.seq, update.is_complete, len(update.entries)) for update in updates] == [
        (41, True, 2),
        (43, False, 1),
        (43, False, 0),
    ]
    hold = f"hold_ms={discovery_retry.WATCH_HOLD_US // 1_000}"
    assert requests == ["/v1/servers", *(f"/v1/servers?from={seq}&{hold}" for seq in (41, 43, 43))]
    assert max(gaps[1:]) < 0.2, "a later call would start a new watch and miss the changes in between"


@pytest.mark.parametrize("fleet", [2, 6, 14, 200, 450])
def test_hold_time_is_short_while_discovery_answers_in_time(fleet):
    """Guards the 6 s after which a change counts as announced to the dispatcher, even if its watch has gone
    silent. Seen on the bench: with a hold time of 4.5 s for six dispatchers, `a request went to server …
    0.57 s after`."""
    _, requests, _ = run_watch(list_response(41, True, "a"), fleet=fleet)
    assert requests[1].endswith("hold_ms=3000")
    detection_s = discovery_retry.WATCH_HOLD_US / 1e6 + discovery_watch.HOLD_GRACE_S
    assert detection_s + discovery_retry.EARLY_RETRY_US / 1e6 + discovery_retry.ANSWER_TIME_US / 1e6 < 6.0


@pytest.mark.parametrize(("fleet", "longest"), [(2, 3.0), (6, 4.5), (14, 10.5), (200, 30.0)])
def test_hold_time_of_a_fleet_grows_when_discovery_answers_late(fleet, longest):
    """Guards discovery's limit on calls per second: it rejected some calls when 14 dispatchers polled every
    3 s. A single unanswered call is no sign of overload, as that watch may have gone silent."""
    hold = discovery_retry.WatchHold()
    hold.record_timeout(fleet)
    hold.record_answer(0, fleet)
    hold.record_timeout(fleet)
    assert hold.next_hold(fleet) == 3_000_000
    for _ in range(10):
        hold.record_timeout(fleet)
    assert hold.next_hold(fleet) == longest * 1e6
    for _ in range(3):
        hold.record_answer(0, fleet)
    assert hold.next_hold(fleet) == 3_000_000, "short again as soon as discovery keeps up"
    hold.record_answer(discovery_retry.LATE_ANSWER_US + 1, fleet)
    assert hold.next_hold(fleet) == min(6.0, longest) * 1e6


@pytest.mark.parametrize(("fleet", "hold"), [(1, 1.5), (14, 1.5), (32, 3.0), (200, 3.0)])
def test_first_hold_time_of_a_large_fleet_allows_for_the_queue(fleet, hold):
    """Guards against starving part of a large fleet: 19 of 32 dispatchers timed out each call after 2.5 s and
    went to the end of the queue again (`call failed: TimeoutError` every 3.4 s)."""
    _, requests, _ = run_watch(list_response(43, False, "b"), known_version=41, fleet=fleet)
    assert requests[0] == f"/v1/servers?from=41&hold_ms={round(hold * 1_000)}"


def test_failed_call_is_reported_once_and_ends_the_watch():
    """Guards against a failure that is not reported to the decision module: it would not subscribe again."""
    bad = [
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"garbage\r\n\r\n",
        list_response(41, True, "a").replace(b'"h:1"', b'"h:x"'),
    ]
    for data in bad:
        updates, requests, _ = run_watch(list_response(40, True, "a"), data + b"\r\n")
        assert [update.failed for update in updates] == [False, True]
        assert len(requests) == 2, "the watch does not retry by itself"


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 O\x01K\r\n", b"HTTP/1.1 200 OK\r\nA: \x7f\r\n", b"HTTP/1.1 200 OK\r\n A: b\r\n",
             b"RTSP/1.0 200 OK\r\n", b"HTTP/1.1 000 OK\r\n", b"HTTP/1.1 404 \x01\r\n"]
)  # fmt: skip
def test_list_in_a_broken_response_is_not_believed(head):
    # Nor is its status: the changes since the known version are asked for again.
    answer = list_response(9, False, "s-9").replace(b"HTTP/1.1 200 OK\r\n", head)
    updates, requests, _ = run_watch(answer, known_version=8)
    assert [update.failed for update in updates] == [True] and len(requests) == 1
    _, requests, _ = run_watch(answer, answer, known_version=8, resubscribe=True)
    assert all("from=8&" in request for request in requests) and len(requests) == 2


def test_start_continues_from_the_known_version():
    """Guards discovery, which serves a fleet's calls one after another and line by line: when 40 dispatchers
    requested 60 lines each, none got a response in time, repeatedly."""
    updates, requests, _ = run_watch(
        list_response(43, False, "b"), list_response(44, False), known_version=41
    )
    assert [(update.seq, update.is_complete, len(update.entries)) for update in updates] == [
        (43, False, 1),
        (44, False, 0),
    ]
    assert requests[0] == f"/v1/servers?from=41&hold_ms={discovery_retry.FIRST_HOLD_US // 1_000}"
    assert [path.split("&")[0] for path in requests[1:]] == ["/v1/servers?from=43", "/v1/servers?from=44"]


def test_version_0_counts_as_a_known_version():
    """Guards against a loop: version 0 was taken for no version, and the list was requested a thousand times
    per second."""
    _, requests, _ = run_watch(list_response(0, True, "a"))
    assert requests[1].startswith("/v1/servers?from=0&")


def subscribe_again(*answers: bytes) -> list[str]:
    """Return the requested paths when subscribing again after each failure."""
    _, requests, _ = run_watch(*answers, resubscribe=True)
    return [path.partition("&")[0] for path in requests]


def error_response(status: int) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status


def test_only_changes_are_requested_after_a_failed_call():
    """Guards an overloaded service: all dispatchers repeatedly requested the complete list, the costliest
    call."""
    busy = error_response(503)
    requests = subscribe_again(list_response(41, True, "a"), busy, busy, list_response(42, False), busy)
    assert requests == ["/v1/servers", *(f"/v1/servers?from={seq}" for seq in (41, 41, 41, 42))]


@pytest.mark.parametrize("bad", [error_response(410), list_response(7, False, "a")])
def test_complete_list_is_requested_if_the_service_does_not_know_the_version(bad):
    """Guards against an outdated list that stays valid forever after the service has restarted."""
    requests = subscribe_again(
        list_response(41, True, "a"), bad, list_response(8, True, "a"), error_response(503)
    )
    assert requests == ["/v1/servers", "/v1/servers?from=41", "/v1/servers", "/v1/servers?from=8"]


def test_hanging_call_times_out(monkeypatch):
    monkeypatch.setattr(discovery_watch, "CALL_TIMEOUT_S", 0.05)
    updates, _, _ = run_watch(None)
    assert [update.failed for update in updates] == [True]


def test_silent_watch_fails_soon(monkeypatch):
    """Guards against an outdated list that stays valid for 12 s: servers added meanwhile got no requests."""
    assert discovery_retry.WATCH_HOLD_US / 1e6 + discovery_watch.HOLD_GRACE_S < 6.0
    monkeypatch.setattr(discovery_retry, "WATCH_HOLD_US", 10_000)
    monkeypatch.setattr(discovery_retry, "HOLD_PER_DISPATCHER_US", 0)
    monkeypatch.setattr(discovery_watch, "HOLD_GRACE_S", 0.05)
    updates, requests, _ = run_watch(list_response(41, True, "a"), None)
    assert [update.failed for update in updates] == [False, True] and "hold_ms=10" in requests[1]


def test_new_connection_is_opened_after_a_failed_call(monkeypatch):
    """Guards against reusing a pooled connection that is silently dead: every call on it would fail."""

    async def run():
        updates, ports = [], []

        async def serve(reader, writer):
            ports.append(writer.get_extra_info("peername")[1])
            while await reader.readline():
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        watch = discovery_watch.DiscoveryWatch(address, EndpointListCodec((), ()))
        for number in (1, 2):
            watch.subscribe(updates.append)
            await wait_until(lambda number=number: len(updates) == number)
        assert all(update.failed for update in updates) and len(set(ports)) == 2
        await watch.close()
        server.close()

    monkeypatch.setattr(discovery_watch, "CALL_TIMEOUT_S", 0.05)
    asyncio.run(run())


def test_repeated_subscription_makes_no_second_call():
    updates, requests, _ = run_watch(list_response(41, True, "a"), subscriptions=3)
    assert len(updates) == 1 and requests[0] == "/v1/servers"


def test_retry_from_before_an_address_change_keeps_the_new_watch():
    """Guards a reload: the retry timer of a call that had failed at the old address cancelled the healthy
    watch at the new one, and lost updates that it had received but not yet passed on."""

    async def run():
        updates, requests, may_respond = [], [], asyncio.Event()

        async def serve(reader, writer):
            try:
                while True:
                    requests.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
                    await may_respond.wait()
                    if len(requests) == 1:
                        writer.write(list_response(1, True, "a"))
            except (asyncio.IncompleteReadError, OSError):
                requests.append(b"closed")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        codec = EndpointListCodec(("ankara-1",), ("big-box",))
        watch = discovery_watch.DiscoveryWatch("127.0.0.1:1", codec)
        watch.subscribe(updates.append)
        await wait_until(lambda: updates)
        assert updates[0].failed
        watch.change_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", codec)
        await wait_until(lambda: requests)
        watch.subscribe(updates.append)  # the retry after the failure
        may_respond.set()
        await wait_until(lambda: len(updates) == 2)
        assert updates[1].seq == 1 and b"closed" not in requests
        await watch.close()
        server.close()

    asyncio.run(run())


def test_response_from_the_old_address_is_ignored_after_an_address_change():
    """Guards against an old list that is published after the new one: when the address changes, the response
    to the old watch has already arrived and its task is about to wake up."""

    async def run():
        updates, body = [], asyncio.get_running_loop().create_future()

        async def fetch(session, url):
            requests.append(url)
            return await body

        requests: list[str] = []
        watch = discovery_watch.DiscoveryWatch("127.0.0.1:1", EndpointListCodec(("ankara-1",), ("big-box",)))
        watch._fetch = fetch
        watch.subscribe(updates.append)
        await wait_until(lambda: requests)
        body.set_result((200, list_response(7, True, "old").partition(b"\r\n\r\n")[2]))
        watch.change_address(None, EndpointListCodec((), ()))
        await wait_until(lambda: updates)
        await yield_to_event_loop()
        assert [update.seq for update in updates] == [0], "the update of a site without discovery"
        await watch.close()

    asyncio.run(run())


def test_pushed_list_is_watched_before_clients_are_accepted(tmp_path):
    """Guards pushed lists: no watch was opened at the start. Seen on the bench: `a request went to server …
    0.56 s after this instance was told that it drains`, 751 times on one day."""

    async def run():
        drained = list_response(9, True, "toy-0").replace(b"SERVING", b"DRAINING").replace(b": 15", b": 16")
        body = drained.partition(b"\r\n\r\n")[2]
        drained = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(drained)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_app(tmp_path, stomp="", discovery=address, membership_mode="push") as (app, _):
            [backend] = app.router.table.backends.values()
            assert not backend.accepts_work, "before the first client can connect"
            assert app.conf.settings_report.effective["list"] == "pushed on a watch"
        server.close()

    asyncio.run(run())
