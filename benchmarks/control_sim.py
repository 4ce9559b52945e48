"""Plays histories of control processes under faults, and shrinks those that break a rule.

    python -m benchmarks.control_sim --seeds 100 [--first N] [--machines 3] [--tolerance 1] [--defect NAME]
    python -m benchmarks.control_sim --shrink SEED [--defect NAME]

Prints one JSON line; the exit status is 1 where a rule was broken. The faults are those of
`benchmarks/control/faults.py`; what is checked stands in `operators.py`, `observers.py` and `history.py`
beside it; planted defects in `defects.py`.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter

from benchmarks.control.defects import DEFECTS, planted
from benchmarks.control.fleet import BrokenRuleError
from benchmarks.control.history import play, shrink


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--tolerance", type=int, default=1)
    parser.add_argument("--defect", choices=sorted(DEFECTS), default="")
    parser.add_argument("--shrink", type=int, metavar="SEED")
    return parser.parse_args()


def _explore(options: argparse.Namespace) -> dict[str, object]:
    """Play one seed after the other; with a planted defect until one is broken."""
    began = time.monotonic()
    faults: Counter[str] = Counter()
    sums: Counter[str] = Counter()
    broken: dict[int, str] = {}
    for seed in range(options.first, options.first + options.seeds):
        sums["seeds"] += 1
        try:
            done = play(seed, options.machines, options.tolerance)
        except BrokenRuleError as error:
            broken[seed] = str(error)
            if options.defect:
                break
            continue
        for name in ("changes", "reads", "drains", "orders", "messages"):
            sums[name] += getattr(done, name)
        faults.update(fault.kind for fault in done.faults)
    return {**sums, "faults": faults, "broken": broken, "seconds": round(time.monotonic() - began, 1)}


def main() -> int:
    """The command line."""
    options = _options()
    with planted(options.defect):
        if options.shrink is not None:
            rule, fewest = shrink(options.shrink, options.machines, options.tolerance)
            found = {"seed": options.shrink, "broken": rule, "faults": [str(each) for each in fewest]}
            print(json.dumps(found))
            return 1
        result = _explore(options)
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
