"""Shrinks a history that violates an invariant to few faults.

The method is delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input",
IEEE Transactions on Software Engineering 28(2), 2002): the history is played with parts of its faults, and
without them; a part that still violates an invariant is divided further.
"""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.control.faults import Fault
from benchmarks.control.fleet import InvariantViolationError
from benchmarks.control.history import play


def shrink(seed: int, machines: int = 3, tolerance: int = 1) -> tuple[str, tuple[Fault, ...]]:
    """The invariant that the history of a seed violates, and a small set of faults that still violates one.

    Without any single fault of that set, the history violates none.

    Raises:
        ValueError: the history violates no invariant.
    """

    def find_violation(injected: frozenset[int] | None) -> InvariantViolationError | None:
        try:
            play(seed, machines, tolerance, injected=injected)
        except InvariantViolationError as error:
            return error
        return None

    violation = find_violation(None)
    if violation is None:
        raise ValueError(f"the history of seed {seed} violates no invariant")
    part_count = 2
    while True:
        candidates = _candidates(violation.faults, part_count)
        smaller = next(filter(None, map(find_violation, candidates)), None)
        if smaller is not None:
            violation = smaller
            part_count = 2
        elif part_count < len(violation.faults):
            part_count = min(2 * part_count, len(violation.faults))
        else:
            return str(violation), violation.faults


def _candidates(faults: tuple[Fault, ...], part_count: int) -> Iterator[frozenset[int]]:
    """The numbers of the faults in each part, and in all parts but one."""
    numbers = [fault.number for fault in faults]
    parts = [frozenset(numbers[index::part_count]) for index in range(min(part_count, len(numbers)))]
    if len(parts) > 1:
        yield from parts
    for part in parts:
        yield frozenset(numbers) - part
