"""The stories under features/, told by behave: part of the one test command."""

from __future__ import annotations

import re
from pathlib import Path

from behave.__main__ import main

ROOT = Path(__file__).parents[2]


def test_the_stories_come_true(monkeypatch, capfd):
    monkeypatch.chdir(ROOT)
    monkeypatch.syspath_prepend(str(ROOT))
    status = main(["--no-color", "--no-capture", "--format", "progress", "features"])
    told = capfd.readouterr()
    assert status == 0, told.out + told.err
    written = sum(path.read_text().count("Scenario:") for path in (ROOT / "features").glob("*.feature"))
    [passed, failed] = re.findall(r"(\d+) scenarios? passed, (\d+) failed", told.out)[0]
    assert (int(passed), int(failed)) == (written, 0), told.out
