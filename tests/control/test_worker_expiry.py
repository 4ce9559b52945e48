"""What a control process tells routers of workers that have expired, and when it can know that."""

from __future__ import annotations

import msgspec
import pytest

from benchmarks.control.defects import WORKER_DEFECTS, planted_defect
from benchmarks.control.fleet import MS, Fleet, InvariantViolationError, S, has_formed
from benchmarks.control.history import play_with_workers
from hazelbend.control import worker_sync
from hazelbend.control.engine import AGES_PERIOD_US, ControlEngine
from hazelbend.control.workers import EXPIRY_HEARTBEATS, WorkerRecord, WorkerState


def record(seq: int = 1) -> WorkerRecord:
    return WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.READY, seq)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(3, 3, 1, loss=0.0)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 8 * S)
    return fleet


def expiry_us(engine: ControlEngine) -> int:
    return round(EXPIRY_HEARTBEATS * engine.settings.heartbeat_us)


def reported_expired(engine: ControlEngine, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect the instances that the process reports as expired."""
    reported: list[str] = []
    monkeypatch.setattr(engine._workers._outbox, "report_expired_workers", reported.extend)
    return reported


def test_routers_are_told_which_workers_have_expired(fleet, monkeypatch):
    engine = fleet.alive[0].engine
    reported = reported_expired(engine, monkeypatch)
    fleet.run_until(lambda: engine._workers.recovery.has_ended(fleet.now), 5 * S)
    engine.handle_heartbeat(record(), fleet.now)
    fleet.run(expiry_us(engine) - 1 * S)
    assert not reported and "i-1" in engine.registry.tracked
    fleet.run(2 * S)
    assert reported == ["i-1"] and "i-1" not in engine.registry.tracked


# Guards against a process that stood still and lets a worker expire which its peers hear (review/6).
def test_process_that_stood_still_reads_what_its_peers_heard_before_a_worker_expires(fleet, monkeypatch):
    engine = fleet.alive[0].engine
    sync = engine._workers
    reported = reported_expired(engine, monkeypatch)
    fleet.run_until(lambda: engine._workers.recovery.has_ended(fleet.now), 5 * S)
    engine.handle_heartbeat(record(), fleet.now)
    before = fleet.now + expiry_us(engine) - 1 * S
    sync.send_ages((), (), fleet.now)
    sync._last_ages_at = before
    sync.send_ages((), (), before + 5 * S)
    assert not reported
    engine.registry.record_heartbeat("i-1", before + 4 * S)
    sync.send_ages((), (), before + 5 * S + AGES_PERIOD_US)
    assert not reported and "i-1" in engine.registry.tracked


# Guards against routers that drop all workers when a process is back in touch and has not been sent them yet.
@pytest.mark.parametrize("seed", [3, 21])
def test_process_that_was_cut_off_past_the_expiry_does_not_know_all_workers_when_it_is_back(seed):
    fleet = Fleet(seed, 3, 1, loss=0.05)
    assert fleet.run_until(lambda: has_formed(fleet, 3), 8 * S)
    cut_off, *others = (machine.address for machine in fleet.alive)
    hearing, process = fleet.machines[others[0]].engine, fleet.machines[cut_off].engine
    fleet.run_until(lambda: hearing._workers.recovery.has_ended(fleet.now), 5 * S)
    fleet.run(expiry_us(process) + 2 * S)

    def run_with_heartbeats(duration: int, period: int = 100 * MS) -> None:
        for _ in range(duration // period):
            hearing.handle_heartbeat(record(fleet.now), fleet.now)
            fleet.run(period)
            status = process.fleet_status(fleet.now).registry
            assert "i-1" in process.registry.tracked or not status.knows_all

    run_with_heartbeats(3 * S)
    assert process.fleet_status(fleet.now).registry.knows_all
    for address in others:
        fleet.partition(cut_off, address)
    run_with_heartbeats(expiry_us(process) + 3600 * MS)
    assert "i-1" not in process.registry.tracked
    fleet.heal()
    run_with_heartbeats(3 * S, period=10 * MS)
    assert "i-1" in process.registry.tracked
    run_with_heartbeats(expiry_us(process))
    assert process.fleet_status(fleet.now).registry.knows_all


def test_process_knows_all_workers_only_when_it_has_run_for_long_and_is_in_touch(fleet, monkeypatch):
    engine = fleet.alive[0].engine
    sync = engine._workers
    fleet.run_until(lambda: engine._workers.recovery.has_ended(fleet.now), 5 * S)
    fleet.run(1 * S)
    status = engine.fleet_status(fleet.now)
    assert status.registry.digest == engine.registry.digest and not status.registry.knows_all
    fleet.run(expiry_us(engine))
    assert engine.fleet_status(fleet.now).registry.knows_all
    monkeypatch.setattr(engine.raft, "confirmed_age", lambda now: engine.settings.contact_us + 1)
    assert not engine.fleet_status(fleet.now).registry.knows_all, "its workers may call the others"
    monkeypatch.setattr(sync, "_reporting_since", None)
    assert engine.fleet_status(fleet.now).registry is msgspec.UNSET, "it reports no ready workers yet"
    assert worker_sync.MAX_AGES_GAP_US > AGES_PERIOD_US


# With workers that crash, are replaced at their address and are cut off; 100 seeds by hand.
@pytest.mark.parametrize("seed", [1, 3, 4])
def test_histories_with_workers_keep_the_invariants(seed):
    play_with_workers(seed)


DETECTING_SEEDS = {"last_record_ends_others": 4, "routers_expire_by_age": 1, "workers_not_compared": 3}


@pytest.mark.parametrize("defect", sorted(WORKER_DEFECTS))
def test_history_with_workers_detects_each_planted_defect(defect):
    with planted_defect(defect), pytest.raises(InvariantViolationError):
        play_with_workers(DETECTING_SEEDS[defect])
