"""Disruption coverage: the table counted from the journal."""

from __future__ import annotations

import json

from benchmarks.control.faults import FaultInjector
from benchmarks.disruption_coverage import SIMULATED, Coverage, read_journal, read_kinds, table

ACTIONS_IN_EACH_HISTORY = {"changes", "races", "drains", "deregistrations"}  # without a fault


def test_days_are_counted_by_kind_and_unreadable_entries_are_skipped(tmp_path):
    day = {"by_zone": [], "troubles": ["burst", "node_kill"], "seed": 5}
    (tmp_path / "a.json").write_text(json.dumps({"site": "x", "days": [day, {"troubles": ["burst"]}]}))
    (tmp_path / "b.json").write_text("{")
    (tmp_path / "c.json").write_text(json.dumps({"site": "y", "days": [day | {"troubles": ["burst"]}]}))
    coverage = Coverage()
    for site, journal_day in read_journal(tmp_path):
        coverage.add(site, journal_day)
    assert (coverage.days, dict(coverage.by_kind)) == (2, {"burst": 2, "node_kill": 1})
    assert coverage.beside["burst"] == {"node_kill"} and coverage.seeds["burst"] == ["x 5", "y 5"]
    rows = list(table(["hup", "burst"], coverage))[2:]
    assert rows == ["| `burst` | - | 2 | 0 of 1 | x 5; y 5 |", "| `hup` | - | 0 | 0 of 1 | - |"]


def test_read_kinds_ignores_lines_that_name_no_kind():
    lines = [
        "Each entry has 'at'.",
        "burst: x times the traffic",
        "",
        "these may come too:",
        "hup: share (.3)",
    ]
    assert read_kinds(lines) == ["burst", "hup"]


def test_each_simulated_kind_is_a_fault_or_an_action_of_each_history():
    names = {name for names in SIMULATED.values() for name in names}
    assert names <= set(FaultInjector.KINDS) | ACTIONS_IN_EACH_HISTORY
