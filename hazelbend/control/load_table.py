"""Unfinished work at workers, reported by each router; the sums over routers are the fleet's load reports.

A router reports its unfinished work when it changes. Control processes forward the report to each other, and
send each router the sum over all other routers: the router knows its own sends better. Only sums that have
changed are sent, since in a large fleet most have not. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

MAX_PREFIXES_PER_WORKER = 2_000
REPORT_EXPIRY_US = 3_000_000  # age at which a router's report is dropped


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished work at one worker."""

    jobs: int = 0  # requests that run or wait there
    tokens: int = 0  # prompt tokens that are still to be prefilled there


NO_LOAD = Load()


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True):
    """A section of a prompt that is in a worker's prefix cache, or is about to be."""

    instance: str
    prefix_id: str
    tokens: int


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """How a router's sends to one worker have ended since its last report."""

    instance: str
    zone: str  # the router's
    served: int = 0
    failed: int = 0
    rejected: int = 0  # although the worker had capacity


class RouterLoad(msgspec.Struct, frozen=True, tag=True):
    """A router's complete unfinished work by worker.

    `seq` rises with each report. `cached` and `outcomes` hold what is new since the report before.
    """

    router: str
    seq: int
    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    outcomes: tuple[Outcomes, ...] = ()


class LoadUpdate(msgspec.Struct, frozen=True, tag="LoadNews"):
    """To a router: the unfinished work of all other routers, what they have cached, how their sends ended.

    An update that is not `complete` holds the workers whose loads have changed since the last update on this
    connection, by whichever router. A `complete` one holds all workers that have work.
    """

    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    complete: bool = msgspec.field(default=False, name="whole")
    outcomes: tuple[Outcomes, ...] = ()


class CacheTable:
    """The prefixes in each worker's cache, as routers have reported: for routers that have just started."""

    def __init__(self) -> None:
        self._prefixes: dict[str, dict[str, int]] = {}  # tokens by prefix by instance, least recent first

    def add(self, cached: Iterable[CachedPrefix]) -> None:
        """Note prefixes that were used; the least recently used beyond the limit are dropped."""
        for prefix in cached:
            prefixes = self._prefixes.setdefault(prefix.instance, {})
            prefixes.pop(prefix.prefix_id, None)
            prefixes[prefix.prefix_id] = prefix.tokens
            while len(prefixes) > MAX_PREFIXES_PER_WORKER:
                del prefixes[next(iter(prefixes))]

    def remove(self, instance: str) -> None:
        """Drop the cache of a worker that has ended."""
        self._prefixes.pop(instance, None)

    @property
    def by_instance(self) -> dict[str, dict[str, int]]:
        """Tokens by prefix by instance; callers must not change it."""
        return self._prefixes

    def all(self) -> tuple[CachedPrefix, ...]:
        """Every known prefix."""
        return tuple(
            CachedPrefix(instance, prefix_id, tokens)
            for instance, prefixes in self._prefixes.items()
            for prefix_id, tokens in prefixes.items()
        )


class LoadView:
    """A router's copy of the other routers' unfinished work, kept up to date by `LoadUpdate`."""

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}  # by worker; workers without work are absent

    def apply(self, update: LoadUpdate) -> None:
        """Apply what has changed, or replace everything by a complete update."""
        if update.complete:
            self.loads = {}
        for instance, load in update.loads.items():
            if load == NO_LOAD:
                self.loads.pop(instance, None)
            else:
                self.loads[instance] = load


@dataclass(slots=True)
class _ReceivedReport:
    report: RouterLoad
    received_at: int


class LoadTable:
    """The newest report of each router, and the sums over all of them."""

    def __init__(self) -> None:
        self._reports: dict[str, _ReceivedReport] = {}  # by router
        self._sums: dict[str, Load] = {}  # by worker; workers without work are absent
        self._changed: set[str] = set()  # workers whose sum, or whose share of a router in it, has changed

    def merge(self, report: RouterLoad, now: int) -> bool:
        """Take a router's report. False: it is no newer than the one that is known."""
        known = self._reports.get(report.router)
        if known is not None and report.seq <= known.report.seq:
            return False
        self._reports[report.router] = _ReceivedReport(report, now)
        self._replace(known.report.loads if known is not None else {}, report.loads)
        return True

    def expire(self, now: int) -> None:
        """Drop the reports of routers that have not been heard for `REPORT_EXPIRY_US`."""
        for router, known in list(self._reports.items()):
            if now - known.received_at > REPORT_EXPIRY_US:
                del self._reports[router]
                self._replace(known.report.loads, {})

    def take_changed(self) -> set[str]:
        """Workers whose loads have changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def total_loads(self) -> dict[str, Load]:
        """The sum over all routers, by worker."""
        return dict(self._sums)

    def other_loads(self, router: str, instances: Iterable[str]) -> dict[str, Load]:
        """The sums over all routers but this one at these workers; `NO_LOAD` for one without work."""
        known = self._reports.get(router)
        own_loads = known.report.loads if known is not None else {}
        loads = {}
        for instance in instances:
            total = self._sums.get(instance, NO_LOAD)
            own = own_loads.get(instance, NO_LOAD)
            loads[instance] = Load(total.jobs - own.jobs, total.tokens - own.tokens)
        return loads

    def all_other_loads(self, router: str) -> dict[str, Load]:
        """The sums over all routers but this one at all workers that have work."""
        loads = self.other_loads(router, self._sums)
        return {instance: load for instance, load in loads.items() if load != NO_LOAD}

    def _replace(self, before: dict[str, Load], after: dict[str, Load]) -> None:
        for instance in before.keys() | after.keys():
            old = before.get(instance, NO_LOAD)
            new = after.get(instance, NO_LOAD)
            if old == new:
                continue
            total = self._sums.get(instance, NO_LOAD)
            total = Load(total.jobs + new.jobs - old.jobs, total.tokens + new.tokens - old.tokens)
            self._changed.add(instance)
            if total == NO_LOAD:
                del self._sums[instance]
            else:
                self._sums[instance] = total
