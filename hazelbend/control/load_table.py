"""What routers have under way at workers, by router: the sums are the load reports of the fleet.

A router tells its unfinished work when it changes. Control processes pass that on to each other, and tell
each router the sum over all others: n0 at t0, without the router's own sends, which it knows better.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

MOST_PARTS = 2_000  # of a worker that are remembered
EXPIRY = 3_000_000  # microseconds after which a router's word is dropped


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished work at one worker."""

    jobs: int = 0  # requests that run or wait there
    tokens: int = 0  # of prompts that are still to be read there


class CachedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that a worker has read, or is about to."""

    instance: str
    part: str
    tokens: int


class RouterLoad(msgspec.Struct, frozen=True, tag=True):
    """A router's unfinished work by worker, whole; `seq` rises. `cached`: parts that are new since then."""

    router: str
    seq: int
    loads: dict[str, Load]
    cached: tuple[CachedPart, ...] = ()


class LoadNews(msgspec.Struct, frozen=True, tag=True):
    """To a router: the unfinished work of all other routers by worker, and parts that they had read."""

    loads: dict[str, Load]
    cached: tuple[CachedPart, ...] = ()


class CacheTable:
    """Which worker keeps which parts, as routers have told: for routers that have just started."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, int]] = {}  # tokens by part by instance, longest unused first

    def add(self, cached: Iterable[CachedPart]) -> None:
        """Parts that were read."""
        for each in cached:
            parts = self._parts.setdefault(each.instance, {})
            parts.pop(each.part, None)
            parts[each.part] = each.tokens
            while len(parts) > MOST_PARTS:
                del parts[next(iter(parts))]

    def forget(self, instance: str) -> None:
        """A worker has ended."""
        self._parts.pop(instance, None)

    def all(self) -> tuple[CachedPart, ...]:
        """All that is known."""
        return tuple(
            CachedPart(instance, part, tokens)
            for instance, parts in self._parts.items()
            for part, tokens in parts.items()
        )


@dataclass(slots=True)
class _Known:
    load: RouterLoad
    heard_at: int


class LoadTable:
    """The last word of each router. Times in microseconds."""

    def __init__(self) -> None:
        self._routers: dict[str, _Known] = {}

    def merge(self, load: RouterLoad, now: int) -> bool:
        """Take a router's word. False: it is no newer than what is known."""
        known = self._routers.get(load.router)
        if known is not None and load.seq <= known.load.seq:
            return False
        self._routers[load.router] = _Known(load, now)
        return True

    def expire(self, now: int) -> None:
        """Drop the words of routers that have not been heard: theirs is not known any more."""
        for router, known in list(self._routers.items()):
            if now - known.heard_at > EXPIRY:
                del self._routers[router]

    def totals(self) -> dict[str, Load]:
        """The sum over all routers, by worker."""
        sums: dict[str, tuple[int, int]] = {}
        for known in self._routers.values():
            for instance, load in known.load.loads.items():
                jobs, tokens = sums.get(instance, (0, 0))
                sums[instance] = (jobs + load.jobs, tokens + load.tokens)
        return {instance: Load(*both) for instance, both in sums.items()}

    def without(self, totals: dict[str, Load], router: str) -> dict[str, Load]:
        """The totals less what this router has told itself."""
        known = self._routers.get(router)
        if known is None:
            return totals
        rest = dict(totals)
        for instance, own in known.load.loads.items():
            load = rest[instance]
            rest[instance] = Load(load.jobs - own.jobs, load.tokens - own.tokens)
        return {instance: load for instance, load in rest.items() if load.jobs or load.tokens}
