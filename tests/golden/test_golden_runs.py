"""The engines decide as before: digests of runs from fixed seeds, and what an upgrade passes on.

golden_runs.py says what the runs are. The first checkpoint that differs tells after how many steps a run went
another way. A change of what the program does, which is meant, needs new digests; a rename needs none.
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
def found() -> dict[str, Any]:
    """In a process of its own, where sets of texts have the same order each time."""
    path = os.pathsep.join(map(str, (ROOT, ROOT / "tests")))
    done = subprocess.run(
        [sys.executable, ROOT / "tests" / "golden" / "golden_runs.py"],
        env=os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": path},
        capture_output=True,
        check=False,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return dict(json.loads(done.stdout))


@pytest.mark.parametrize("name", [*golden_runs.RUNS_BY_NAME, "learnt", "control status"])
def test_a_run_goes_as_before(name: str, found: dict[str, Any]) -> None:
    assert found[name] == GOLDEN[name]


def test_each_golden_run_is_made(found: dict[str, Any]) -> None:
    assert sorted(found) == sorted(GOLDEN)


def test_what_the_process_before_has_learnt_is_read() -> None:
    """Its text as an older program passes it on, into a dispatcher that knows the same workers."""
    known = GOLDEN["learnt"]["passed"]
    dispatcher = Dispatcher(golden_runs.DISPATCHERS["inline"], 7)
    entries = tuple(
        interface.WorkerEntry(each["worker"], started_at=each["started_at"]) for each in known["workers"]
    )
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, entries), 4_000_000)
    learned_state.import_state(dispatcher, known, 4_000_000)
    recalled = golden_runs.round_floats(
        json.loads(json.dumps(learned_state.export_state(dispatcher, 4_000_000)))
    )
    assert recalled["means"] == known["means"] and recalled["usuals"] == known["usuals"]
    assert [sorted(each) for each in recalled["workers"]] == [sorted(each) for each in known["workers"]]
    assert sorted(recalled) == sorted(known)
