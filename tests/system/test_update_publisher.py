"""Tests of the updates that a control process publishes to subscribed routers."""

from __future__ import annotations

import pytest

from hazelbend.control import messages as control_messages
from hazelbend.control.config_state_machine import StoredConfig
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
