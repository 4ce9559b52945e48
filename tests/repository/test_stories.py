"""Runs the scenarios under features/ with behave, as part of the test suite."""

from __future__ import annotations

import re
from pathlib import Path

from behave.__main__ import main

ROOT = Path(__file__).parents[2]


def test_all_feature_scenarios_pass(monkeypatch, capfd):
    monkeypatch.chdir(ROOT)
    monkeypatch.syspath_prepend(str(ROOT))
    status = main(["--no-color", "--no-capture", "--format", "progress", "features"])
    captured = capfd.readouterr()
    assert status == 0, captured.out + captured.err
    scenario_count = sum(
        path.read_text().count("Scenario:") for path in (ROOT / "features").glob("*.feature")
    )
    [passed, failed] = re.findall(r"(\d+) scenarios? passed, (\d+) failed", captured.out)[0]
    assert (int(passed), int(failed)) == (scenario_count, 0), captured.out
