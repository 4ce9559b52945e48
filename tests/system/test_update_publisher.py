"""Tests of the updates that a control process publishes to subscribed routers."""

from __future__ import annotations

import json

import msgspec
import pytest

from benchmarks.configuration_mutations import FULL, Router
from hazelbend.control import messages as control_messages
from hazelbend.control.config_state_machine import (
    ChangeResult,
    ConfigStateMachine,
    StoredConfig,
    encode_config_change,
)
from hazelbend.control.engine import ControlEngine
from hazelbend.control.load_table import CacheTable
from hazelbend.control.settings import ControlSettings
from hazelbend.system.update_publisher import UpdatePublisher

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


class SlowSubscriber:
    """A connection whose peer reads only when the test resets `unsent_bytes`."""

    def __init__(self) -> None:
        self.unsent_bytes, self.sent = 0, []

    def send(self, frame: bytes) -> bool:
        self.sent.append(control_messages.decode(frame))
        self.unsent_bytes += len(frame)
        return True

    def close(self) -> None:
        raise AssertionError("a slow subscriber must not be disconnected")


class FakeControlNode:
    """The part of a control node that an update publisher uses, with a real engine."""

    def __init__(self) -> None:
        settings = ControlSettings("10.0.1.1:7", ("10.0.1.1:7",), True, True, 0, 1_200_000)
        self.engine = ControlEngine("a@10.0.1.1:7", settings, 1, 0, lambda: 0.0)
        self.config = StoredConfig(1, b"x")


async def test_slow_subscriber_is_sent_the_newest_configuration_and_none_in_between():
    node, subscriber = FakeControlNode(), SlowSubscriber()
    publisher = UpdatePublisher(node, CacheTable())
    publisher.subscribe(subscriber, control_messages.SubscribeRequest("r", 1))
    subscriber.unsent_bytes, subscriber.sent = 0, []
    for version in range(2, 40):
        node.config = StoredConfig(version, b"x" * 100_000)
        publisher.publish_config(node.config)
    assert [body.version for body in subscriber.sent] == [2]
    subscriber.unsent_bytes = 0
    publisher._send_pending_configs(node.config)
    publisher._send_pending_configs(node.config)
    assert [body.version for body in subscriber.sent] == [2, 39]


# --- configurations that routers can't read ---


def document(version: int, *, readable: bool = True) -> bytes:
    resume = False if readable else "false"
    routes = [route | {"resume": resume} for route in FULL["routes"]]
    return json.dumps(FULL | {"version": version, "routes": routes}).encode()


def log_of_an_earlier_release() -> ConfigStateMachine:
    """Version 5, and on top of it a version that an earlier release accepted and no router can read."""
    state_machine = ConfigStateMachine()
    for base, version, readable in ((0, 5, True), (5, 7, False)):
        change = encode_config_change(base, version, document(version, readable=readable))
        assert state_machine.apply(version, change) is ChangeResult.ACCEPTED
    return state_machine


def started_router(node: FakeControlNode, router: Router, version: int = 0) -> list[int]:
    """Subscribe with a router; returns the versions that it is sent, in order."""
    subscriber = SlowSubscriber()
    UpdatePublisher(node, CacheTable()).subscribe(subscriber, control_messages.SubscribeRequest("r", version))
    updates = [body for body in subscriber.sent if isinstance(body, control_messages.ConfigUpdate)]
    for update in updates:
        router.updates.apply_config(update)
    return [update.version for update in updates]


# Guards against a router that starts while the newest version is unreadable, and gets none (review/5).
def test_router_that_starts_serves_by_the_newest_readable_version():
    node, router = FakeControlNode(), Router()
    node.config = log_of_an_earlier_release().current
    assert started_router(node, router) == [5, 7]
    assert (router.updates.config_version(), router.updates.unreadable_version) == (5, 7)
    assert started_router(node, router, version=5) == [7]
    assert not router.updates.has_current_config()
    newer = document(9)
    assert router.fault_of(9, newer) is None, "a newer version mends it without a restart"
    assert router.updates.unreadable_version == 0
    router.close()


def test_newest_readable_version_outlives_snapshots_and_further_unreadable_ones():
    state_machine = log_of_an_earlier_release()
    state_machine.apply(8, encode_config_change(7, 8, document(8, readable=False)))
    restored = ConfigStateMachine()
    restored.restore(state_machine.snapshot())
    assert (restored.current.version, restored.current.readable.version) == (8, 5)
    restored.apply(9, encode_config_change(8, 9, document(9)))
    assert restored.current.readable is restored.current


def test_snapshot_of_an_earlier_release_has_no_fallback():
    state_machine = log_of_an_earlier_release()
    state_machine.current = msgspec.structs.replace(state_machine.current, fallback=msgspec.UNSET)
    restored = ConfigStateMachine()
    restored.restore(state_machine.snapshot())
    assert (restored.current.version, restored.current.readable.version) == (7, 0)
    node, router = FakeControlNode(), Router()
    node.config = restored.current
    assert started_router(node, router) == [7]
    assert (router.updates.config_version(), router.updates.unreadable_version) == (0, 7)
    router.close()


def test_release_that_can_read_a_stored_version_again_drops_its_fallback():
    state_machine = ConfigStateMachine()
    state_machine.apply(1, encode_config_change(0, 5, document(5)))
    fallback = StoredConfig(3, b"")
    state_machine.current = msgspec.structs.replace(state_machine.current, fallback=fallback)
    restored = ConfigStateMachine()
    restored.restore(state_machine.snapshot())
    assert restored.current.readable is restored.current


def test_status_knows_the_version_in_force_at_each_router():
    node, subscriber = FakeControlNode(), SlowSubscriber()
    publisher = UpdatePublisher(node, CacheTable())
    publisher.record_ping(subscriber, control_messages.Ping(1, 5))
    publisher.subscribe(subscriber, control_messages.SubscribeRequest("r", 1))
    publisher.record_ping(subscriber, control_messages.Ping(1))
    assert node.router_versions == {}, "an earlier release tells none"
    publisher.record_ping(subscriber, control_messages.Ping(1, 5))
    assert node.router_versions == {"r": 5}
    publisher.connection_closed(subscriber)
    assert node.router_versions == {}
