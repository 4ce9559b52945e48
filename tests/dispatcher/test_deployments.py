"""Any deployment that the protocol's pages allow is served by the same program, under the same rules."""

import asyncio
import re
from collections import Counter
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.deployment_kit import count_by_status, deployments, run_deployment

PACKAGE = Path(__file__).parents[2] / "hazelbend"
EXAMPLES = 25


def test_deployments_of_every_sort_are_served_under_the_rules():
    """Guards a third deployment: what held by luck on the first two breaks on one of these."""
    statuses = Counter[int]()

    @settings(max_examples=EXAMPLES)
    @given(deployments(), st.integers(0, 1_000))
    def one(conf, seed):
        statuses.update(count_by_status(asyncio.run(run_deployment(conf, seed))))

    one()
    assert sum(statuses.values()) == 24 * EXAMPLES
    assert statuses[200] > sum(statuses.values()) / 3, "a mix that is mostly served shows something"
    assert statuses[503] and sum(statuses[each] for each in (500, 502, 504))


def test_no_operator_site_class_or_zone_is_named_in_the_package():
    """What decides by a deployment's name would fail the next deployment."""
    names = re.compile(
        r"karaca|ankara|konya|\barama\b|\banot\b|recife|boa-viagem|olinda|jaboatao|paulista|consulta|contestacao"
        r"|\bnearby\b|station-detail|\breserve\b|big-box|small-box|tipo-[abc]",
        re.IGNORECASE,
    )
    found = {
        f"{path.relative_to(PACKAGE)}:{number}": line.strip()
        for path in PACKAGE.rglob("*.py")
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if names.search(line)
    }
    assert not found
