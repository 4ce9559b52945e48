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

    def failed_check(self) -> str:
        """The check that fails here, or nothing."""


def search(first: Model, most: int) -> dict[str, object]:
    """Until a check fails, no state is new, or there are `most` of them. `closed`: no state is left."""
    steps: dict[Hashable, tuple[Hashable | None, str]] = {first.key(): (None, "")}
    layer, depth = [first], 0
    while layer and len(steps) < most:
        depth += 1
        below = []
        for world in layer:
            here = world.key()
            for told, after in world.next():
                if why := after.failed_check():
                    path = [*_path(steps, here), told]
                    return {"states": len(steps), "depth": depth, "broken": why, "steps": path}
                key = after.key()
                if key not in steps:
                    steps[key] = (here, told)
                    below.append(after)
        layer = below
    return {"states": len(steps), "depth": depth, "closed": not layer, "broken": ""}


def _path(steps: dict[Hashable, tuple[Hashable | None, str]], key: Hashable) -> list[str]:
    path: list[str] = []
    at: Hashable | None = key
    while at is not None:
        at, told = steps[at]
        path.append(told)
    return path[-2::-1]
