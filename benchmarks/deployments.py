"""Runs random deployments and checks the rules: `python -m benchmarks.deployments --examples 500`.

test_deployments.py runs a few dozen fixed ones. Here they are drawn from `--seed`. The first deployment that
breaks a rule is printed with what is needed to reproduce it, and the exit status is 1.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import time
from collections import Counter

from hypothesis import HealthCheck, Phase, given, seed, settings

from tests.support.deployment_kit import deployments, play, summary


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=60, help="of each deployment")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    statuses, began = Counter[int](), time.monotonic()

    @seed(options.seed)
    @settings(
        max_examples=options.examples,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(deployments())
    def run_deployment(conf: dict[str, object]) -> None:
        statuses.update(summary(asyncio.run(play(conf, options.seed, options.jobs))))

    run_deployment()
    print(f"{options.examples} deployments in {time.monotonic() - began:.0f} s, no rule broken")
    for status, count in sorted(statuses.items()):
        print(f"{status}: {count / sum(statuses.values()):.1%}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
