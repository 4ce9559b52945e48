"""The engines decide as before: digests of runs with fixed seeds, and the learned state of an upgrade.

golden_runs.py describes the runs. The first checkpoint that differs shows where a run diverged. An intended
change of behaviour needs new digests; a rename needs none.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

from hazelbend.decisions import interface, learned_state
from hazelbend.decisions.dispatcher import Dispatcher
from tests.golden import golden_runs
from tests.support.site_kit import ROOT

GOLDEN = json.loads(golden_runs.RUNS_FILE.read_text())


@pytest.fixture(scope="module")
def results() -> dict[str, Any]:
    """Execute all runs in a process with a fixed hash seed, which fixes the order of sets of strings."""
    path = os.pathsep.join(map(str, (ROOT, ROOT / "tests")))
    process = subprocess.run(
        [sys.executable, ROOT / "tests" / "golden" / "golden_runs.py"],
        env=os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": path},
        capture_output=True,
        check=False,
        text=True,
    )
    assert process.returncode == 0, process.stderr
    return dict(json.loads(process.stdout))


@pytest.mark.parametrize("name", [*golden_runs.RUNS_BY_NAME, "learnt", "control status"])
def test_run_has_the_golden_digests(name: str, results: dict[str, Any]) -> None:
    assert results[name] == GOLDEN[name]


def test_each_golden_run_is_executed(results: dict[str, Any]) -> None:
    assert sorted(results) == sorted(GOLDEN)


def test_learned_state_of_older_program_is_imported() -> None:
    """Imports the state as an older program exported it, into a dispatcher with the same workers."""
    known = GOLDEN["learnt"]["passed"]
    dispatcher = Dispatcher(golden_runs.DISPATCHERS["inline"], 7)
    entries = tuple(
        interface.WorkerEntry(each["worker"], started_at=each["started_at"]) for each in known["workers"]
    )
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, entries), 4_000_000)
    learned_state.import_state(dispatcher, known, 4_000_000)
    exported = golden_runs.round_floats(
        json.loads(json.dumps(learned_state.export_state(dispatcher, 4_000_000)))
    )
    assert exported["means"] == known["means"] and exported["usuals"] == known["usuals"]
    assert [sorted(each) for each in exported["workers"]] == [sorted(each) for each in known["workers"]]
    assert sorted(exported) == sorted(known)
