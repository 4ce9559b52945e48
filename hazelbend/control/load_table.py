"""What routers have under way at workers, by router: the sums are the load reports of the fleet.

A router tells its unfinished work when it changes. Control processes pass that on to each other, and tell
each router the sum over all others: n0 at t0, without the router's own sends, which it knows better. Of the
sums only those that have changed go out, since in a large fleet most have not.
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


NOTHING = Load()


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that a worker has read, or is about to."""

    instance: str
    part: str
    tokens: int


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """How a router's sends to one worker have ended since it told last."""

    instance: str
    zone: str  # the router's
    served: int = 0
    failed: int = 0
    rejected: int = 0  # although the worker had room


class RouterLoad(msgspec.Struct, frozen=True, tag=True):
    """A router's unfinished work by worker, whole; `seq` rises. `cached`, `outcomes`: what is new
    since then."""

    router: str
    seq: int
    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    outcomes: tuple[Outcomes, ...] = ()


class LoadUpdate(msgspec.Struct, frozen=True, tag="LoadNews"):
    """To a router: the unfinished work of all other routers by worker, parts that they had read, and how
    their sends have ended.

    It holds the workers whose loads have changed since the last news on this connection, by whichever
    router; where `whole`, all that have work. What it leaves out was the same when it was sent.
    """

    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    complete: bool = msgspec.field(default=False, name="whole")
    outcomes: tuple[Outcomes, ...] = ()


class CacheTable:
    """Which worker keeps which parts, as routers have told: for routers that have just started."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, int]] = {}  # tokens by part by instance, longest unused first

    def add(self, cached: Iterable[CachedPrefix]) -> None:
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

    @property
    def by_instance(self) -> dict[str, dict[str, int]]:
        """Tokens by part by instance; not to be changed."""
        return self._parts

    def all(self) -> tuple[CachedPrefix, ...]:
        """All that is known."""
        return tuple(
            CachedPrefix(instance, part, tokens)
            for instance, parts in self._parts.items()
            for part, tokens in parts.items()
        )


class LoadView:
    """A router's copy of the others' unfinished work, kept up to date by `LoadUpdate`."""

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}  # by worker; none without work

    def apply(self, update: LoadUpdate) -> None:
        """Apply what has changed, or begin anew with all there is."""
        if update.complete:
            self.loads = {}
        for instance, load in update.loads.items():
            if load == NOTHING:
                self.loads.pop(instance, None)
            else:
                self.loads[instance] = load


@dataclass(slots=True)
class _Known:
    load: RouterLoad
    heard_at: int


class LoadTable:
    """The last word of each router, and the sums over all of them. Times in microseconds."""

    def __init__(self) -> None:
        self._routers: dict[str, _Known] = {}
        self._sums: dict[str, Load] = {}  # by worker; none without work
        self._changed: set[str] = set()  # workers whose sum, or whose part of it, has changed

    def merge(self, load: RouterLoad, now: int) -> bool:
        """Take a router's word. False: it is no newer than what is known."""
        known = self._routers.get(load.router)
        if known is not None and load.seq <= known.load.seq:
            return False
        self._routers[load.router] = _Known(load, now)
        self._replace(known.load.loads if known is not None else {}, load.loads)
        return True

    def expire(self, now: int) -> None:
        """Drop the words of routers that have not been heard: theirs is not known any more."""
        for router, known in list(self._routers.items()):
            if now - known.heard_at > EXPIRY:
                del self._routers[router]
                self._replace(known.load.loads, {})

    def _replace(self, before: dict[str, Load], after: dict[str, Load]) -> None:
        for instance in before.keys() | after.keys():
            old, new = before.get(instance, NOTHING), after.get(instance, NOTHING)
            if old == new:
                continue
            total = self._sums.get(instance, NOTHING)
            total = Load(total.jobs + new.jobs - old.jobs, total.tokens + new.tokens - old.tokens)
            self._changed.add(instance)
            if total == NOTHING:
                del self._sums[instance]
            else:
                self._sums[instance] = total

    def take_changed(self) -> set[str]:
        """Workers whose loads have changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def totals(self) -> dict[str, Load]:
        """The sum over all routers, by worker."""
        return dict(self._sums)

    def others(self, router: str, instances: Iterable[str]) -> dict[str, Load]:
        """The sums over all routers but this one, of these workers; one without work is `NOTHING`."""
        known = self._routers.get(router)
        own = known.load.loads if known is not None else {}
        found = {}
        for instance in instances:
            total, mine = self._sums.get(instance, NOTHING), own.get(instance, NOTHING)
            found[instance] = Load(total.jobs - mine.jobs, total.tokens - mine.tokens)
        return found

    def all_others(self, router: str) -> dict[str, Load]:
        """The sums over all routers but this one, of all workers that have work."""
        found = self.others(router, self._sums)
        return {instance: load for instance, load in found.items() if load != NOTHING}
