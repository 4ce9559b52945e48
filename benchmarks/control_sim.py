"""Runs histories of control processes under faults, and shrinks those that break a rule.

    python -m benchmarks.control_sim explore --seeds 100 [--first N] [--machines 3] [--tolerance 1]
        [--all-sizes] [--workers]
    python -m benchmarks.control_sim find DEFECT [--seeds 100] [--machines 3] [--tolerance 1]
    python -m benchmarks.control_sim shrink SEED [--machines 3] [--tolerance 1] [--defect NAME]

Each command prints one JSON line. `explore` uses all cores; if a rule was broken, its exit status is 1, and
the history is shrunk and written to `tests/data/control_histories`, which a test replays. With `--workers`,
workers crash, are replaced and are cut off from control in each history (`running_workers.py`); one that
breaks a rule is only printed then. `find` runs seeds until a planted defect is found. The faults are defined
in `benchmarks/control/faults.py`, the checks in `operators.py`, `observers.py` and `history.py` of that
folder, and the planted defects in `defects.py`.
"""

from __future__ import annotations

import argparse
import json
import sys

from benchmarks.control import exploration
from benchmarks.control.defects import DEFECTS, WORKER_DEFECTS, planted_defect
from benchmarks.control.fleet import InvariantViolationError
from benchmarks.control.history import play, play_with_workers
from benchmarks.control.shrinking import shrink

SIZES = ((3, 1), (4, 1), (5, 2), (6, 2), (7, 3))  # machines and tolerance, with `--all-sizes`


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="command", required=True)
    explore = commands.add_parser("explore")
    explore.add_argument("--all-sizes", action="store_true", help="3 to 7 machines in turn")
    find = commands.add_parser("find")
    explore.add_argument("--workers", action="store_true", help="workers crash, are replaced and cut off")
    find.add_argument("defect", choices=sorted(DEFECTS | WORKER_DEFECTS))
    shrinking = commands.add_parser("shrink")
    shrinking.add_argument("seed", type=int)
    shrinking.add_argument("--defect", choices=sorted(DEFECTS), default="")
    for command in (explore, find):
        command.add_argument("--seeds", type=int, default=100)
        command.add_argument("--first", type=int, default=1)
    for command in (explore, find, shrinking):
        command.add_argument("--machines", type=int, default=3)
        command.add_argument("--tolerance", type=int, default=1)
    return parser.parse_args()


def _explore(options: argparse.Namespace) -> int:
    sizes = SIZES if options.all_sizes else ((options.machines, options.tolerance),)
    seeds = range(options.first, options.first + options.seeds)
    tasks = []
    for seed in seeds:
        machines, tolerance = sizes[seed % len(sizes)]
        tasks.append(exploration.Task(seed, machines, tolerance, with_workers=options.workers))
    return exploration.run(tasks)


def _find(options: argparse.Namespace) -> int:
    """Run one seed after the other until the defect is found; the exit status is 1 if it is not found."""
    play_seed = play_with_workers if options.defect in WORKER_DEFECTS else play
    for seed in range(options.first, options.first + options.seeds):
        try:
            with planted_defect(options.defect):
                play_seed(seed, options.machines, options.tolerance)
        except InvariantViolationError as error:
            print(json.dumps({"defect": options.defect, "seed": seed, "broken": str(error)}))
            return 0
    print(json.dumps({"defect": options.defect, "seeds": options.seeds, "broken": None}))
    return 1


def _shrink(options: argparse.Namespace) -> int:
    with planted_defect(options.defect):
        rule, fewest = shrink(options.seed, options.machines, options.tolerance)
    print(json.dumps({"seed": options.seed, "broken": rule, "faults": [str(fault) for fault in fewest]}))
    return 1


def main() -> int:
    """The command line."""
    options = _options()
    commands = {"explore": _explore, "find": _find, "shrink": _shrink}
    return commands[options.command](options)


if __name__ == "__main__":
    sys.exit(main())
