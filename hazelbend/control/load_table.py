"""Unfinished work at workers: the reports of each router, and their sums, which are the fleet's load reports.

A router reports its unfinished work when it changes. Control processes forward the report to each other, and
send each router the sum over all other routers, because the router itself has newer data on its own requests.
Only changed sums are sent, since in a large fleet most are unchanged. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

MAX_PREFIXES_PER_WORKER = 2_000
REPORT_EXPIRY_US = 3_000_000  # age at which a router's report is removed


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished work at one worker."""

    jobs: int = 0  # requests that run or wait at the worker
    tokens: int = 0  # prompt tokens that the worker still has to prefill


NO_LOAD = Load()


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True):
    """A prompt prefix that is, or soon will be, in a worker's prefix cache."""

    instance: str
    prefix_id: str
    tokens: int


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """The outcomes of a router's requests to one worker since the router's last report."""

    instance: str
    zone: str  # of the router
    served: int = 0
    failed: int = 0
    rejected: int = 0  # rejected although the worker had capacity


class RouterLoad(msgspec.Struct, frozen=True, tag=True):
    """A router's complete unfinished work, by worker.

    `seq` increases with each report. `cached` and `outcomes` hold what is new since the previous report.
    """

    router: str
    seq: int
    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    outcomes: tuple[Outcomes, ...] = ()


class LoadUpdate(msgspec.Struct, frozen=True, tag="LoadNews"):
    """To a router: the unfinished work, new cached prefixes and request outcomes of all other routers.

    A `complete` update holds all workers that have work. Any other update holds only the workers whose loads
    have changed since the last update on this connection, no matter which router changed them.
    """

    loads: dict[str, Load]
    cached: tuple[CachedPrefix, ...] = ()
    complete: bool = msgspec.field(default=False, name="whole")
    outcomes: tuple[Outcomes, ...] = ()


class CacheTable:
    """The prefixes in each worker's cache, from the reports of routers. Routers that start receive them."""

    def __init__(self) -> None:
        # Tokens by prefix id by instance, the least recently used prefix first.
        self._prefixes: dict[str, dict[str, int]] = {}

    def add(self, cached: Iterable[CachedPrefix]) -> None:
        """Record prefixes that were used. Beyond the limit, the least recently used ones are removed."""
        for prefix in cached:
            prefixes = self._prefixes.setdefault(prefix.instance, {})
            prefixes.pop(prefix.prefix_id, None)
            prefixes[prefix.prefix_id] = prefix.tokens
            while len(prefixes) > MAX_PREFIXES_PER_WORKER:
                del prefixes[next(iter(prefixes))]

    def remove(self, instance: str) -> None:
        """Remove the prefixes of a worker that has ended."""
        self._prefixes.pop(instance, None)

    @property
    def by_instance(self) -> dict[str, dict[str, int]]:
        """Tokens by prefix id by instance; callers must not modify it."""
        return self._prefixes

    def all(self) -> tuple[CachedPrefix, ...]:
        """All known prefixes."""
        return tuple(
            CachedPrefix(instance, prefix_id, tokens)
            for instance, prefixes in self._prefixes.items()
            for prefix_id, tokens in prefixes.items()
        )


class LoadView:
    """A router's copy of the other routers' unfinished work, updated by `LoadUpdate` messages."""

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}  # by worker; workers without work are absent

    def apply(self, update: LoadUpdate) -> None:
        """Apply the changed loads, or replace all loads if the update is complete."""
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
        self._changed: set[str] = set()  # workers at which the load of any router has changed

    def merge(self, report: RouterLoad, now: int) -> bool:
        """Merge a router's report. Returns False if it is not newer than the known one."""
        known = self._reports.get(report.router)
        if known is not None and report.seq <= known.report.seq:
            return False
        self._reports[report.router] = _ReceivedReport(report, now)
        self._replace(known.report.loads if known is not None else {}, report.loads)
        return True

    def expire(self, now: int) -> None:
        """Remove reports that are older than `REPORT_EXPIRY_US`."""
        for router, known in list(self._reports.items()):
            if now - known.received_at > REPORT_EXPIRY_US:
                del self._reports[router]
                self._replace(known.report.loads, {})

    def take_changed(self) -> set[str]:
        """The workers whose loads have changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def total_loads(self) -> dict[str, Load]:
        """The sum over all routers, by worker."""
        return dict(self._sums)

    def other_loads(self, router: str, instances: Iterable[str]) -> dict[str, Load]:
        """The sums over all other routers at these workers; `NO_LOAD` for a worker without work."""
        known = self._reports.get(router)
        own_loads = known.report.loads if known is not None else {}
        loads = {}
        for instance in instances:
            total = self._sums.get(instance, NO_LOAD)
            own = own_loads.get(instance, NO_LOAD)
            loads[instance] = Load(total.jobs - own.jobs, total.tokens - own.tokens)
        return loads

    def all_other_loads(self, router: str) -> dict[str, Load]:
        """The sums over all other routers at all workers that have work."""
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
