"""The same program serves every deployment that the protocol allows, by the same rules."""

import asyncio
import re
from collections import Counter
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.deployment_kit import count_by_status, deployments, run_deployment

PACKAGE = Path(__file__).parents[2] / "hazelbend"
EXAMPLES = 25


def test_random_deployments_are_served_within_the_rules():
    """Guards further deployments: code that works by chance for the known ones fails for one of these."""
    statuses = Counter[int]()

    @settings(max_examples=EXAMPLES)
    @given(deployments(), st.integers(0, 1_000))
    def one(conf, seed):
        statuses.update(count_by_status(asyncio.run(run_deployment(conf, seed))))

    one()
    assert sum(statuses.values()) == 24 * EXAMPLES
    assert statuses[200] > sum(statuses.values()) / 3, (
        "enough requests must be served for the check to be meaningful"
    )
    assert statuses[503] and sum(statuses[status] for status in (500, 502, 504))


def test_package_contains_no_names_of_deployments():
    """Guards further deployments: code that depends on a name of one deployment fails for the next."""
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
