"""Which model workers read prompts and which make tokens, as the mix of the traffic shifts.

One planner acts at a time: that of the leader, once it has led for longer than a lease, so that no order of
an earlier leader can fall within a lease of its own. Its fencing token rises with its term. An order is
priced and costs the worker a pause, so a change for the load's sake must be clearly worth it, and one is made
at a time. A worker that has announced its end counts as gone for its part at once: another takes its place
while it serves on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hazelbend.control.load_table import Load
from hazelbend.control.workers import WorkerRecord, WorkerState

PREFILL, DECODE = "prefill", "decode"
LEAST_RUNNERS = 2  # workers that make tokens, whatever the traffic
LEAST_RUNNER_PART = 1 / 3  # of a service's workers
CALM_USE, FULL_USE = 0.2, 0.75  # of the places of those that make tokens: one may be spared, one is missing
WORTH_READING = 400.0  # unread tokens a reader, from which one more is worth a pause
MEMORY = 3.0  # looks that a mean rests on
LOOKS_FIRST = 3  # looks at a service before the first order
ORDER_PAUSE = 1_000_000  # microseconds between two orders to workers of a service
ORDER_PATIENCE = 8_000_000  # microseconds in which an order must show in the worker's heartbeats


@dataclass(slots=True, frozen=True)
class PhaseOrder:
    """A worker is to play another part."""

    instance: str
    address: str
    phase: str


@dataclass(slots=True, frozen=True)
class _Given:
    order: PhaseOrder
    at: int


@dataclass(slots=True)
class _Service:
    looks: int = 0
    unread: float = 0.0  # tokens a reader, smoothed
    running: float = 0.0  # requests at all that make tokens, smoothed
    most_readers: int = 0  # that there have been, those that were about to leave included
    most_runners: int = 0
    given: dict[str, _Given] = field(default_factory=dict)  # by instance: orders under way
    last_at: int = 0  # of an order


@dataclass(slots=True, frozen=True)
class _Parts:
    """The workers of a service that stay, by the part that they play or are about to."""

    readers: list[WorkerRecord]
    runners: list[WorkerRecord]

    @property
    def least_runners(self) -> int:
        """So many are left to make tokens, whatever the traffic."""
        count = len(self.readers) + len(self.runners)
        return max(LEAST_RUNNERS, math.ceil(LEAST_RUNNER_PART * count))


class PhasePlanner:
    """Of all services. Times in microseconds."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def forget(self) -> None:
        """This process does not lead: what it has seen is old when it leads again."""
        self._services.clear()

    @property
    def switching(self) -> tuple[str, ...]:
        """Instances with an order under way: they take no requests."""
        return tuple(instance for each in self._services.values() for instance in each.given)

    def refused(self, order: PhaseOrder) -> None:
        """The worker has not taken this order."""
        for each in self._services.values():
            each.given.pop(order.instance, None)

    def plan(self, workers: list[WorkerRecord], loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """The orders to give now. `workers`: those that are heard, and have not ended."""
        by_service: dict[str, list[WorkerRecord]] = {}
        for record in workers:
            if record.phase and record.state is not WorkerState.GONE:
                by_service.setdefault(record.service, []).append(record)
        orders = [self._plan(name, found, loads, now) for name, found in by_service.items()]
        return [order for order in orders if order is not None]

    def _plan(
        self, name: str, workers: list[WorkerRecord], loads: dict[str, Load], now: int
    ) -> PhaseOrder | None:
        service = self._services.setdefault(name, _Service())
        service.most_readers = max(service.most_readers, _count(workers, PREFILL))
        service.most_runners = max(service.most_runners, _count(workers, DECODE))
        staying = [each for each in workers if each.state is WorkerState.READY]
        self._drop_done(service, staying, now)
        self._see(service, staying, loads)
        if service.looks <= LOOKS_FIRST or now - service.last_at < ORDER_PAUSE:
            return None
        order = self._wanted(service, self._parts(service, staying), loads)
        if order is not None:
            service.given[order.instance] = _Given(order, now)
            service.last_at = now
        return order

    @staticmethod
    def _drop_done(service: _Service, staying: list[WorkerRecord], now: int) -> None:
        """Forget orders that show in the worker's heartbeats, have had their time, or whose worker leaves."""
        phases = {each.instance: each.phase for each in staying}
        service.given = {
            instance: given
            for instance, given in service.given.items()
            if phases.get(instance, given.order.phase) != given.order.phase
            and now - given.at < ORDER_PATIENCE
        }

    @staticmethod
    def _see(service: _Service, staying: list[WorkerRecord], loads: dict[str, Load]) -> None:
        nothing = Load()
        readers = [each for each in staying if each.phase == PREFILL]
        runners = [each for each in staying if each.phase == DECODE]
        unread = sum(loads.get(each.instance, nothing).tokens for each in readers) / max(len(readers), 1)
        running = sum(loads.get(each.instance, nothing).jobs for each in runners)
        service.looks += 1
        part = 1 / min(service.looks, MEMORY)
        service.unread += (unread - service.unread) * part
        service.running += (running - service.running) * part

    @staticmethod
    def _parts(service: _Service, staying: list[WorkerRecord]) -> _Parts:
        phases = {instance: given.order.phase for instance, given in service.given.items()}
        played = [(each, phases.get(each.instance, each.phase)) for each in staying]
        return _Parts(
            [each for each, phase in played if phase == PREFILL],
            [each for each, phase in played if phase == DECODE],
        )

    def _wanted(self, service: _Service, parts: _Parts, loads: dict[str, Load]) -> PhaseOrder | None:
        """A part that has lost its workers, or is about to, comes first; a shift of the load waits for the
        order before it."""
        movable = [each for each in parts.readers if each.instance not in service.given]
        spare = [each for each in parts.runners if each.instance not in service.given]
        needed = min(LEAST_RUNNERS, service.most_runners)
        if movable and (not parts.runners or (len(parts.runners) < needed and len(parts.readers) > 1)):
            return _order(min(movable, key=lambda each: _tokens(loads, each)), DECODE)
        if not parts.readers and service.most_readers and len(parts.runners) > parts.least_runners and spare:
            return _order(min(spare, key=lambda each: _jobs(loads, each)), PREFILL)
        return None if service.given else _shift(service, parts, loads)


def _shift(service: _Service, parts: _Parts, loads: dict[str, Load]) -> PhaseOrder | None:
    """What the load asks for."""
    places = sum(each.capacity for each in parts.runners)
    if service.running > FULL_USE * places and len(parts.readers) > 1:
        return _order(min(parts.readers, key=lambda each: _tokens(loads, each)), DECODE)
    if len(parts.runners) <= parts.least_runners or service.unread < WORTH_READING:
        return None
    idlest = min(parts.runners, key=lambda each: _jobs(loads, each))
    if service.running <= CALM_USE * (places - idlest.capacity):
        return _order(idlest, PREFILL)
    return None


def _order(record: WorkerRecord, phase: str) -> PhaseOrder:
    return PhaseOrder(record.instance, record.address, phase)


def _count(workers: list[WorkerRecord], phase: str) -> int:
    return sum(each.phase == phase for each in workers)


def _jobs(loads: dict[str, Load], record: WorkerRecord) -> int:
    load = loads.get(record.instance)
    return load.jobs if load is not None else 0


def _tokens(loads: dict[str, Load], record: WorkerRecord) -> int:
    load = loads.get(record.instance)
    return load.tokens if load is not None else 0
