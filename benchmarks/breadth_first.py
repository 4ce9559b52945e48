"""Breadth-first search of all reachable states, which finds the fewest steps to a violation."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Protocol, Self


class Model(Protocol):
    """One state and its successors."""

    def key(self) -> Hashable:
        """Identifies the state: two states with the same key have the same successors."""

    def next(self) -> Iterator[tuple[str, Self]]:
        """Yields each possible step: its description and the state after it."""

    def broken(self) -> str:
        """The invariant that this state violates, or an empty text."""


def search(initial: Model, max_states: int) -> dict[str, object]:
    """Search until an invariant is violated, no new state is left, or `max_states` states were found.

    `closed` in the result: no new state is left.
    """
    steps: dict[Hashable, tuple[Hashable | None, str]] = {initial.key(): (None, "")}
    layer, depth = [initial], 0
    while layer and len(steps) < max_states:
        depth += 1
        next_layer = []
        for state in layer:
            key_here = state.key()
            for description, after in state.next():
                if violation := after.broken():
                    path = [*_path(steps, key_here), description]
                    return {"states": len(steps), "depth": depth, "broken": violation, "steps": path}
                key = after.key()
                if key not in steps:
                    steps[key] = (key_here, description)
                    next_layer.append(after)
        layer = next_layer
    return {"states": len(steps), "depth": depth, "closed": not layer, "broken": ""}


def _path(steps: dict[Hashable, tuple[Hashable | None, str]], key: Hashable) -> list[str]:
    path: list[str] = []
    at: Hashable | None = key
    while at is not None:
        at, description = steps[at]
        path.append(description)
    return path[-2::-1]
