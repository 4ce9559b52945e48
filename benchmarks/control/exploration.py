"""Explores many histories on all cores, and records those that violate an invariant as test data."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import combinations_with_replacement
from pathlib import Path

import click

from benchmarks.control.defects import planted_defect
from benchmarks.control.faults import Fault, FaultInjector
from benchmarks.control.fleet import InvariantViolationError
from benchmarks.control.history import HistoryResult, play, play_with_workers
from benchmarks.control.network import S
from benchmarks.control.shrinking import shrink

RECORDED = Path(__file__).parents[2] / "tests" / "data" / "control_histories"
US_PER_MINUTE = 60 * S
CHUNK = 2  # number of histories that a worker process takes at a time


@dataclass(slots=True, frozen=True)
class Task:
    """One history to play."""

    seed: int
    machines: int
    tolerance: int
    defect: str = ""
    with_workers: bool = False  # whether workers crash and are replaced


@dataclass(slots=True, frozen=True)
class PlayedHistory:
    """The result of one history. `violation`: the invariant that it violated; empty if it violated none."""

    task: Task
    result: HistoryResult | None  # None if an invariant was violated
    violation: str = ""


@dataclass(slots=True)
class Summary:
    """Totals over all histories, for one JSON line."""

    histories: int = 0
    simulated_us: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    kinds: Counter[str] = field(default_factory=Counter)
    # Kinds of two faults that overlapped in time.
    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)
    failing: list[PlayedHistory] = field(default_factory=list)

    def add(self, played: PlayedHistory) -> None:
        """Add the result of one history."""
        self.histories += 1
        result = played.result
        if result is None:
            self.failing.append(played)
            return
        self.simulated_us += result.simulated_us
        for name in ("changes", "reads", "drains", "deregistrations", "orders", "messages"):
            self.calls[name] += getattr(result, name)
        self.kinds.update(fault.kind for fault in result.faults)
        self.pairs.update(overlapping_pairs(result.faults))

    def missing_pairs(self) -> list[tuple[str, str]]:
        """Pairs of fault kinds that did not overlap in any history."""
        pairs = combinations_with_replacement(sorted(FaultInjector.KINDS), 2)
        return [pair for pair in pairs if pair not in self.pairs]

    def as_plain_values(self, seconds: float) -> dict[str, object]:
        """The totals in the form of the JSON line. `seconds`: of real time."""
        minutes = self.simulated_us / US_PER_MINUTE
        return {
            "histories": self.histories,
            **self.calls,
            "fleet_minutes": round(minutes),
            "fleet_minutes_a_minute": round(minutes / max(seconds / 60, 1e-9)),
            "seconds": round(seconds, 1),
            "kinds": dict(sorted(self.kinds.items())),
            "pairs": len(self.pairs),
            "missing_pairs": [" + ".join(pair) for pair in self.missing_pairs()],
            "broken": {
                f"{played.task.seed} ({played.task.machines})": played.violation for played in self.failing
            },
        }


def overlapping_pairs(faults: Iterable[Fault]) -> Iterator[tuple[str, str]]:
    """The sorted kinds of each two faults of a history that overlapped in time."""
    known: list[Fault] = []
    for fault in faults:
        for other in known:
            if fault.at < other.at + other.duration:
                first, second = sorted((fault.kind, other.kind))
                yield first, second
        known.append(fault)


def explore(tasks: list[Task], processes: int | None = None) -> Summary:
    """Play all histories; shows a progress bar if the standard error output is a terminal."""
    summary = Summary()
    with (
        ProcessPoolExecutor(processes or os.cpu_count()) as pool,
        click.progressbar(
            pool.map(_play, tasks, chunksize=CHUNK),
            length=len(tasks),
            label="histories",
            file=sys.stderr,
            hidden=not sys.stderr.isatty(),
        ) as results,
    ):
        for played in results:
            summary.add(played)
    return summary


def _play(task: Task) -> PlayedHistory:
    with planted_defect(task.defect):
        try:
            play_task = play_with_workers if task.with_workers else play
            return PlayedHistory(task, play_task(task.seed, task.machines, task.tolerance))
        except InvariantViolationError as error:
            return PlayedHistory(task, None, str(error))


def record(played: PlayedHistory, folder: Path = RECORDED) -> Path:
    """Shrink a failing history to few faults, and write it as data of the test that replays it."""
    task = played.task
    with planted_defect(task.defect):
        violation, faults = shrink(task.seed, task.machines, task.tolerance)
    content = {
        "seed": task.seed,
        "machines": task.machines,
        "tolerance": task.tolerance,
        "injected": [fault.number for fault in faults],
        "faults": [str(fault) for fault in faults],
        "broken": violation,
    }
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{task.seed}-{task.machines}.json"
    path.write_text(json.dumps(content, indent=1) + "\n")
    return path


def run(tasks: list[Task]) -> int:
    """Explore, record failing histories, and print one JSON line; returns the exit status."""
    started_at = time.monotonic()
    summary = explore(tasks)
    values = summary.as_plain_values(time.monotonic() - started_at)
    recordable = [played for played in summary.failing if not played.task.with_workers]
    values["recorded"] = [record(played).name for played in recordable]
    print(json.dumps(values))
    return 1 if summary.failing else 0
