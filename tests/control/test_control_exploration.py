"""The exploration of histories: totals, overlapping faults, and recorded histories."""

from __future__ import annotations

import json

import pytest

from benchmarks.control import exploration
from benchmarks.control.exploration import RECORDED, PlayedHistory, Summary, Task, overlapping_pairs, record
from benchmarks.control.faults import Fault, FaultInjector
from benchmarks.control.history import play

RECORDED_HISTORIES = sorted(RECORDED.glob("*.json"))


def fault(kind: str, at: int, duration: int) -> Fault:
    return Fault(0, kind, "10.0.1.1:7000", at, duration)


def test_overlapping_pairs_are_those_of_faults_that_overlap_in_time():
    faults = (fault("kill", 0, 10), fault("cut", 5, 10), fault("cut", 12, 1), fault("wipe", 40, 1))
    assert list(overlapping_pairs(faults)) == [("cut", "kill"), ("cut", "cut")]


def test_summary_lists_the_pairs_of_kinds_that_no_history_has_drawn():
    summary = Summary()
    assert len(summary.missing_pairs()) == len(FaultInjector.KINDS) * (len(FaultInjector.KINDS) + 1) // 2
    summary.pairs["cut", "kill"] += 1
    assert ("cut", "kill") not in summary.missing_pairs()


def test_exploration_gives_the_same_totals_with_any_number_of_processes():
    tasks = [Task(seed, 3, 1) for seed in (1, 2)]
    totals = [exploration.explore(tasks, processes).as_plain_values(60.0) for processes in (1, 2)]
    assert totals[0] == totals[1]
    assert totals[0]["histories"] == 2 and totals[0]["fleet_minutes"] > 1 and totals[0]["broken"] == {}


def test_failing_history_is_recorded_with_few_faults_and_can_be_replayed(tmp_path):
    task = Task(1, 3, 1, "no_compare")
    played = exploration._play(task)
    assert isinstance(played, PlayedHistory) and played.violation
    content = json.loads(record(played, tmp_path).read_text())
    assert (content["seed"], content["machines"], content["tolerance"]) == (1, 3, 1)
    assert len(content["faults"]) == len(content["injected"]) and content["broken"]
    play(1, 3, 1, injected=frozenset(content["injected"]))


@pytest.mark.parametrize("path", RECORDED_HISTORIES, ids=[path.stem for path in RECORDED_HISTORIES])
def test_recorded_history_violates_no_invariant_any_more(path):
    content = json.loads(path.read_text())
    play(content["seed"], content["machines"], content["tolerance"], injected=frozenset(content["injected"]))
