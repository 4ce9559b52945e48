"""A search of all states that can be reached, breadth first, so that the steps to a fault are the fewest."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Protocol, Self


class Model(Protocol):
    """One state, and what may follow."""

    def key(self) -> Hashable:
        """Two states with the same key go on alike."""

    def next(self) -> Iterator[tuple[str, Self]]:
        """All that may happen, with a name."""

    def broken(self) -> str:
        """The check that fails here, or nothing."""


def search(initial: Model, max_states: int) -> dict[str, object]:
    """Until a check fails, no state is new, or there are `max_states` of them. `closed`: no state is left."""
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
