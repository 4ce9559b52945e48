"""Texts printed for people and other programs, and the values read from settings, stay letter for letter.

golden_shown.py describes how the texts in `data/golden/shown` are made. If one changes on purpose, the commit
message names its readers and what they have to change.
"""

from __future__ import annotations

import json

import pytest

from tests.golden import golden_kit, golden_shown


@pytest.mark.parametrize("name", golden_shown.TEXT_MAKERS)
def test_text_equals_its_golden_file(name: str) -> None:
    assert golden_shown.TEXT_MAKERS[name]() == (golden_shown.TEXT_DIR / name).read_text()


def test_each_golden_file_has_a_text() -> None:
    assert sorted(each.name for each in golden_shown.TEXT_DIR.iterdir()) == sorted(golden_shown.TEXT_MAKERS)


@pytest.mark.parametrize("kind", golden_shown.LITERAL_PATTERNS)
def test_no_public_literal_is_removed(kind: str) -> None:
    """Covers column heads, header fields, paths, metrics, variables and figures; new ones may be added."""
    golden = json.loads((golden_kit.GOLDEN / "words.json").read_text())
    assert sorted(set(golden[kind]) - set(golden_shown.literals_by_kind()[kind])) == []
