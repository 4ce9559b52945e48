"""The checks of the soak with real processes: each broken rule is reported, and what is allowed is not."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.process_soak import CONTACT_S, DRAIN_S, Soak, SoakWorker
from hazelbend.fakes.model_worker import FakeModelWorkerSettings


@pytest.fixture
def soak(tmp_path: Path) -> Soak:
    return Soak(1, tmp_path, uploads=0)


def add_run(soak: Soak, request_id: str, sent_at: float, ended_at: float | None = None) -> None:
    """Record a request that ran at a worker whose end was acknowledged at `ended_at`."""
    worker = SoakWorker(FakeModelWorkerSettings("orders", "127.0.0.9", 1, "z"), soak.observations)
    worker.ended_at = ended_at
    soak.observations.sent_at[request_id] = sent_at
    soak.observations.runs.append((request_id, worker))


def rules(soak: Soak, *, is_configured: bool = True) -> list[str]:
    return [line.partition(":")[0] for line in soak._broken_rules(is_configured=is_configured)]


def test_late_request_at_an_ended_worker_breaks_a_rule_only_in_calm_times(soak):
    add_run(soak, "in time", 100.0 + DRAIN_S - 0.1, ended_at=100.0)
    add_run(soak, "not ended", 100.0)
    assert rules(soak) == []
    add_run(soak, "late", 100.0 + DRAIN_S + 0.1, ended_at=100.0)
    assert rules(soak) == ["DRAIN"]
    soak.observations.disturbed.append((98.0, 100.0 + DRAIN_S + 0.1 - CONTACT_S / 2))
    assert rules(soak) == []


def test_request_that_runs_twice_or_although_it_was_refused_breaks_a_rule(soak):
    add_run(soak, "a", 1.0)
    add_run(soak, "b", 1.0)
    soak.observations.statuses |= {"a": 200, "b": 502, "c": 503}
    assert rules(soak) == []
    add_run(soak, "a", 1.0)
    soak.observations.statuses["b"] = 408
    assert rules(soak) == ["TWICE", "REFUSED"]


def test_acknowledged_configuration_that_is_not_read_back_breaks_a_rule(soak):
    assert rules(soak, is_configured=False) == ["CONFIG"]
