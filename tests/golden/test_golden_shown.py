"""What people and other programs are shown, and what settings are taken for, stays word for word.

golden_shown.py says how the texts in `data/golden/shown` are made. Where one differs by intent, say in the
commit who reads it and what they have to change.
"""

from __future__ import annotations

import json

import pytest

from tests.golden import golden_kit, golden_shown


@pytest.mark.parametrize("name", golden_shown.TEXT_MAKERS)
def test_a_text_is_the_same_word_for_word(name: str) -> None:
    assert golden_shown.TEXT_MAKERS[name]() == (golden_shown.TEXT_DIR / name).read_text()


def test_each_file_has_a_text() -> None:
    assert sorted(each.name for each in golden_shown.TEXT_DIR.iterdir()) == sorted(golden_shown.TEXT_MAKERS)


@pytest.mark.parametrize("kind", golden_shown.LITERAL_PATTERNS)
def test_no_word_that_others_read_has_gone(kind: str) -> None:
    """Column heads, header fields, paths, metrics, variables and figures; new ones may come."""
    golden = json.loads((golden_kit.GOLDEN / "words.json").read_text())
    assert sorted(set(golden[kind]) - set(golden_shown.literals_by_kind()[kind])) == []
