"""Which model workers read prompts and which make tokens, as the mix of the traffic shifts.

One planner acts at a time: that of the leader, once it has led for longer than a lease, so that no order of
an earlier leader can fall within a lease of its own. Its fencing token rises with its term. An order is
priced and costs the worker a pause, so a change must be clearly worth it, and one is made at a time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

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


@dataclass(slots=True)
class _Service:
    looks: int = 0
    unread: float = 0.0  # tokens a reader, smoothed
    running: float = 0.0  # requests at all that make tokens, smoothed
    ordered: PhaseOrder | None = None
    ordered_at: int = 0


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
        return tuple(each.ordered.instance for each in self._services.values() if each.ordered is not None)

    def refused(self, order: PhaseOrder) -> None:
        """The worker has not taken this order."""
        for each in self._services.values():
            if each.ordered == order:
                each.ordered = None

    def plan(self, workers: list[WorkerRecord], loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """The orders to give now. `workers`: those that are heard."""
        by_service: dict[str, list[WorkerRecord]] = {}
        for record in workers:
            if record.phase and record.state is WorkerState.READY:
                by_service.setdefault(record.service, []).append(record)
        orders = [self._plan(name, found, loads, now) for name, found in by_service.items()]
        return [order for order in orders if order is not None]

    def _plan(
        self, name: str, workers: list[WorkerRecord], loads: dict[str, Load], now: int
    ) -> PhaseOrder | None:
        service = self._services.setdefault(name, _Service())
        readers = [each for each in workers if each.phase == PREFILL]
        runners = [each for each in workers if each.phase == DECODE]
        self._see(service, readers, runners, loads)
        if self._waits(service, workers, now):
            return None
        order = _wanted(service, readers, runners, loads)
        if order is not None:
            service.ordered, service.ordered_at = order, now
        return order

    @staticmethod
    def _see(
        service: _Service, readers: list[WorkerRecord], runners: list[WorkerRecord], loads: dict[str, Load]
    ) -> None:
        nothing = Load()
        unread = sum(loads.get(each.instance, nothing).tokens for each in readers) / max(len(readers), 1)
        running = sum(loads.get(each.instance, nothing).jobs for each in runners)
        service.looks += 1
        part = 1 / min(service.looks, MEMORY)
        service.unread += (unread - service.unread) * part
        service.running += (running - service.running) * part

    @staticmethod
    def _waits(service: _Service, workers: list[WorkerRecord], now: int) -> bool:
        """Whether an order is under way, or the last one too fresh."""
        if service.ordered is not None:
            found = next((each for each in workers if each.instance == service.ordered.instance), None)
            done = found is None or found.phase == service.ordered.phase
            if not done and now - service.ordered_at < ORDER_PATIENCE:
                return True
            service.ordered = None
        return service.looks <= LOOKS_FIRST or now - service.ordered_at < ORDER_PAUSE


def _wanted(
    service: _Service, readers: list[WorkerRecord], runners: list[WorkerRecord], loads: dict[str, Load]
) -> PhaseOrder | None:
    least = max(LEAST_RUNNERS, math.ceil(LEAST_RUNNER_PART * (len(readers) + len(runners))))
    places = sum(each.capacity for each in runners)
    short = service.running > FULL_USE * places
    if readers and (not runners or (short and len(readers) > 1)):
        idlest = min(readers, key=lambda each: _tokens(loads, each))
        return PhaseOrder(idlest.instance, idlest.address, DECODE)
    if len(runners) <= least or service.unread < WORTH_READING:
        return None
    idlest = min(runners, key=lambda each: _jobs(loads, each))
    if service.running <= CALM_USE * (places - idlest.capacity):
        return PhaseOrder(idlest.instance, idlest.address, PREFILL)
    return None


def _jobs(loads: dict[str, Load], record: WorkerRecord) -> int:
    load = loads.get(record.instance)
    return load.jobs if load is not None else 0


def _tokens(loads: dict[str, Load], record: WorkerRecord) -> int:
    load = loads.get(record.instance)
    return load.tokens if load is not None else 0
