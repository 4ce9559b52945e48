"""The checks of the soak with real processes: each broken rule is reported, and what is allowed is not."""

from __future__ import annotations

import random

import pytest

from benchmarks.soak.observations import CONTACT_S, DRAIN_S, Observations, Run
from benchmarks.soak.worker import SoakWorker
from hazelbend.fakes.model_worker import FakeModelWorkerSettings


@pytest.fixture
def observations() -> Observations:
    return Observations()


def add_run(
    observations: Observations, request_id: str, sent_at: float, ended_at: float | None = None
) -> None:
    """Record a request that ran at a worker whose end was acknowledged at `ended_at`."""
    settings = FakeModelWorkerSettings("orders", "127.0.0.9", 1, "z")
    worker = SoakWorker(settings, observations, random.Random(1))
    worker.ended_at = ended_at
    observations.sent_at[request_id] = sent_at
    observations.runs.append(Run(request_id, worker))


def rules(observations: Observations) -> list[str]:
    """The names of the rules that these observations break, if the configuration is read back."""
    observations.version_at_end = observations.acknowledged_version
    return [line.partition(":")[0] for line in observations.broken_rules()]


def test_late_request_at_an_ended_worker_breaks_a_rule_only_in_calm_times(observations):
    add_run(observations, "in time", 100.0 + DRAIN_S - 0.1, ended_at=100.0)
    add_run(observations, "not ended", 100.0)
    assert rules(observations) == []
    add_run(observations, "late", 100.0 + DRAIN_S + 0.1, ended_at=100.0)
    assert rules(observations) == ["DRAIN"]
    observations.disturbed.append((98.0, 100.0 + DRAIN_S + 0.1 - CONTACT_S / 2))
    assert rules(observations) == []


def test_request_that_runs_twice_or_although_it_was_refused_breaks_a_rule(observations):
    add_run(observations, "a", 1.0)
    add_run(observations, "b", 1.0)
    observations.statuses |= {"a": 200, "b": 502, "c": 503}
    assert rules(observations) == []
    add_run(observations, "a", 1.0)
    observations.statuses["b"] = 408
    assert rules(observations) == ["TWICE", "REFUSED"]


def test_ended_worker_that_a_control_process_lists_as_ready_breaks_a_rule(observations):
    observations.revived.append("i-1 at 127.0.0.1:9000")
    assert rules(observations) == ["ENDED"]


def test_acknowledged_configuration_that_is_not_read_back_breaks_a_rule(observations):
    observations.acknowledged_version = 3
    observations.version_at_end = 3
    assert observations.broken_rules() == []
    observations.version_at_end = 2
    assert observations.broken_rules() == ["CONFIG: version 3 is not read back"]
