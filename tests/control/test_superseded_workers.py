"""Two instances of workers at one address: which of them is reported to routers."""

from __future__ import annotations

import functools
import random

import pytest

from benchmarks.control.fleet import HEARTBEAT_US, MS, Fleet, S, has_formed
from hazelbend.control.workers import SILENT_HEARTBEATS, WorkerRecord, WorkerRegistry, WorkerState

ADDRESS = "10.9.0.1:80"
SILENT_US = round(SILENT_HEARTBEATS * S)
MAX_LATE_US = 6 * S  # "A heartbeat may come seconds late"
ADDRESS_REUSE_US = 2 * S


def record(
    instance: str, seq: int = 1, state: WorkerState = WorkerState.READY, **more: object
) -> WorkerRecord:
    return WorkerRecord(instance, "s", ADDRESS, "z", state, seq, **more)


def used(registry: WorkerRegistry) -> set[str]:
    """The instances that are reported to routers as ready."""
    return {
        instance
        for instance, worker in registry.tracked.items()
        if worker.record.state is WorkerState.READY and not worker.is_superseded
    }


@pytest.fixture
def registry() -> WorkerRegistry:
    return WorkerRegistry(heartbeat_us=S)


# Guards against a late heartbeat of a crashed worker that ends the next one at its address (review/7).
def test_late_heartbeat_of_an_unknown_instance_does_not_end_the_worker_at_its_address(registry):
    registry.merge(record("i-2"), 0)
    assert registry.merge(record("i-1"), S // 2) == [record("i-1")]
    for second in range(1, 20):
        registry.merge(record("i-2", 1 + second), second * S)
        changes = registry.update_superseded(second * S)
        assert "i-2" in used(registry) and "i-2" not in changes.superseded
        assert ("i-1" in used(registry)) == (second * S - S // 2 <= SILENT_US)


def test_silent_worker_is_superseded_by_the_next_one_at_its_address_before_it_expires(registry):
    registry.merge(record("i-1"), 0)
    registry.merge(record("i-2"), 3 * S)
    changes = registry.update_superseded(3 * S)
    assert (changes.superseded, changes.restored) == (["i-1"], [])
    assert used(registry) == {"i-2"} and "i-1" in registry.tracked
    other = WorkerRegistry(heartbeat_us=S)
    other.merge(record("i-2"), 3 * S)
    assert registry.digest == other.digest, "as that of a process that has never heard of it"
    assert registry.update_superseded(3 * S).superseded == [], "reported once"


def test_superseded_worker_stays_so_while_the_other_is_heard_and_is_used_again_after_that(registry):
    registry.merge(record("i-1"), 0)
    registry.merge(record("i-2"), 3 * S)
    registry.update_superseded(3 * S)
    assert registry.merge(record("i-1", 2, capacity=9), 4 * S) == [record("i-1", 2, capacity=9)]
    registry.update_superseded(4 * S)
    assert used(registry) == {"i-2"}, "one late heartbeat does not show that it is running"
    restored = []
    for second in range(5, 8):
        registry.merge(record("i-1", second), second * S)
        restored += registry.update_superseded(second * S).restored
    assert restored == [record("i-1", 6)], "reported once, when the other has become silent"
    assert used(registry) == {"i-1"}
    other = WorkerRegistry(heartbeat_us=S)
    other.merge(record("i-1", 7), 8 * S)
    assert registry.digest == other.digest


def test_silent_workers_at_one_address_are_not_superseded_and_expire(registry):
    """Nothing shows which of them is running: they may be cut off from control."""
    registry.merge(record("i-1"), 0)
    registry.merge(record("i-2"), 0)
    assert registry.update_superseded(10 * S).superseded == []
    assert used(registry) == {"i-1", "i-2"}
    assert sorted(registry.expire(13 * S)) == ["i-1", "i-2"]
    assert registry.digest == 0


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.GONE])
def test_superseded_worker_that_announces_its_end_is_reported_and_keeps_its_state(registry, state):
    registry.merge(record("i-1"), 0)
    registry.merge(record("i-2"), 3 * S)
    registry.update_superseded(3 * S)
    ended = record("i-1", 2, state)
    assert registry.merge(ended, 3 * S) == [ended]
    registry.merge(record("i-1", 1), 4 * S)
    registry.merge(record("i-2", 2), 7 * S)
    registry.update_superseded(7 * S)
    assert registry.tracked["i-1"].record == ended and not registry.is_superseded("i-1")


# Guards against an old record, restored after more than a tombstone's time, that ends a live worker.
def test_restored_record_does_not_end_the_worker_that_has_its_address_now(registry):
    registry.merge(record("i-2", 50), 0)
    registry.merge(record("i-1", 900), -S)
    for second in range(1, 6):
        registry.merge(record("i-2", 50 + second), second * S)
        registry.update_superseded(second * S)
    assert used(registry) == {"i-2"}


class Crash:
    """A worker that crashes, the next one at its address, and the heartbeats of both at a fleet."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)

    def run(self) -> None:
        lifetime = self.random.randrange(6 * S)
        self._send_heartbeats("i-1", 0, lifetime, late=True)
        start = lifetime + ADDRESS_REUSE_US + self.random.randrange(4 * S)
        self._send_heartbeats("i-2", start, 40 * S, late=False)

    def _send_heartbeats(self, instance: str, start: int, end: int, *, late: bool) -> None:
        for seq, sent_at in enumerate(range(start, max(end, start + 1), HEARTBEAT_US), 1):
            delay = self.random.randrange(MAX_LATE_US) if late else self.random.randrange(50 * MS)
            machine = self.random.choice(sorted(self.fleet.machines))
            send = functools.partial(self._send, machine, record(instance, seq))
            self.fleet.call_later(sent_at + delay, send)

    def _send(self, machine: str, heartbeat: WorkerRecord) -> None:
        self.fleet.send_heartbeat(machine, heartbeat, lambda acknowledged: None)


@pytest.mark.parametrize("seed", range(12))
def test_all_control_processes_report_the_worker_whose_heartbeats_go_on(seed):
    fleet = Fleet(seed, 3, 1, loss=0.02)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 8 * S)
    fleet.run(5 * S)
    Crash(fleet, seed).run()
    fleet.run(16 * S + MAX_LATE_US)
    for _ in range(30):
        fleet.run(500 * MS)
        assert all(used(machine.engine.registry) == {"i-2"} for machine in fleet.alive)
    assert len({machine.engine.registry.digest for machine in fleet.alive}) == 1
