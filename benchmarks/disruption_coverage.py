"""Counts how often each kind of disruption was exercised: on days of the bench, and by the simulation.

    fleetbench kinds SITE | python -m benchmarks.disruption_coverage journal

Reads the list of kinds on standard input (lines `kind: text`) and prints a Markdown table: the kinds of
`benchmarks/control/faults.py` with the same effect, the number of days whose journal entry has the kind, the
other kinds that were drawn on the same days, and seeds of such days. The journal does not record variants
(`how`) of a kind.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

SHOWN_SEEDS = 3
KIND_LINE = re.compile(r"^([a-z][a-z_]+): ")
NOT_KINDS = frozenset({"these_may_come_too"})

# By kind of the bench: kinds of the simulation of control processes that have the same effect.
SIMULATED = {
    "ack_lost": ("lost_answers", "doubled_calls"),
    "after_ack_kill": ("power_after_ack", "power_after_worker_ack"),
    "after_ack_wipe": ("wipe_after_ack",),
    "big_config": ("huge_bodies",),
    "clock_step": ("clocks",),
    "config_change": ("changes",),
    "config_race": ("races",),
    "config_storm": ("storm", "busy_leader"),
    "core_cut": ("cut", "long_cut", "one_way", "halves", "behind"),
    "disk_full": ("full",),
    "disk_slow": ("slow_disk",),
    "disk_stall": ("stall",),
    "herd_kill": ("kill_all", "overlap"),
    "node_cut": ("cut",),
    "node_freeze": ("freeze", "overlap"),
    "node_kill": ("kill", "power", "kill_after_worker_ack"),
    "release": ("drains", "deregistrations"),
    "replace_core": ("replace",),
    "seed_turnover": ("seeds",),
}


@dataclass(slots=True)
class Coverage:
    """Days of the bench, counted by the kinds that were drawn on them."""

    days: int = 0
    by_kind: Counter[str] = field(default_factory=Counter)
    beside: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    seeds: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))

    def add(self, site: str, day: dict[str, object]) -> None:
        """Count one day of a journal entry."""
        drawn = day.get("troubles")
        if not isinstance(drawn, list):
            return
        self.days += 1
        kinds = {str(kind) for kind in drawn}
        for kind in kinds:
            self.by_kind[kind] += 1
            self.beside[kind] |= kinds - {kind}
            name = f"{site} {day.get('seed')}"
            if name not in self.seeds[kind] and len(self.seeds[kind]) < SHOWN_SEEDS:
                self.seeds[kind].append(name)


def read_journal(folder: Path) -> Iterator[tuple[str, dict[str, object]]]:
    """Site and day of each day that a fleet has run; unreadable entries are skipped."""
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except (OSError, ValueError):
            continue
        for day in entry.get("days") or ():
            if isinstance(day, dict) and "by_zone" in day and "troubles" in day:
                yield str(entry.get("site")), day


def read_kinds(lines: Iterable[str]) -> list[str]:
    """The kinds in the bench's list."""
    found = (KIND_LINE.match(line) for line in lines)
    return [match.group(1) for match in found if match is not None and match.group(1) not in NOT_KINDS]


def table(kinds: list[str], coverage: Coverage) -> Iterator[str]:
    """The lines of the table; kinds that were drawn on no day come last."""
    yield "| kind | in the simulation | days | other kinds on such days | seeds |"
    yield "| --- | --- | --- | --- | --- |"
    for kind in sorted(kinds, key=lambda kind: (-coverage.by_kind[kind], kind)):
        simulated = ", ".join(SIMULATED.get(kind, ())) or "-"
        seeds = "; ".join(coverage.seeds[kind]) or "-"
        beside = f"{len(coverage.beside[kind] & set(kinds))} of {len(kinds) - 1}"
        yield f"| `{kind}` | {simulated} | {coverage.by_kind[kind]} | {beside} | {seeds} |"


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("journal", type=Path)
    options = parser.parse_args()
    coverage = Coverage()
    for site, day in read_journal(options.journal):
        coverage.add(site, day)
    print(f"{coverage.days} days\n")
    print("\n".join(table(read_kinds(sys.stdin), coverage)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
