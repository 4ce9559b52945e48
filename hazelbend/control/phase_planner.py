"""Plans which workers of a model prefill prompts and which decode, as the mix of the traffic shifts.

Only one planner acts at a time: that of the leader, after it has led for longer than a lease, so that orders
of two leaders are at least a lease apart. The fencing token of orders increases with the leader's term. Each
order pauses the worker, so the load must clearly require it, and only one order that the load requires is
pending at a time. A worker that drains no longer counts for its phase, so another worker replaces it while it
still serves. Times are microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hazelbend.control.load_table import NO_LOAD, Load
from hazelbend.control.workers import WorkerRecord, WorkerState

PREFILL = "prefill"
DECODE = "decode"
MIN_DECODE_WORKERS = 2  # whatever the traffic
MIN_DECODE_FRACTION = 1 / 3  # of a service's workers
LOW_DECODE_UTILIZATION = 0.2  # of the capacity that remains: up to here a decode worker can be moved
HIGH_DECODE_UTILIZATION = 0.75  # of the decode capacity: above this another decode worker is needed
PREFILL_BACKLOG_TOKENS = 400.0  # per prefill worker, from which another one justifies the pause
SMOOTHING_SAMPLES = 3.0  # of the moving average: a new sample has a weight of one third
WARM_UP_SAMPLES = 3  # samples of a service before its first order
ORDER_INTERVAL_US = 1_000_000  # minimum between two orders to workers of a service
ORDER_TIMEOUT_US = 8_000_000  # in which the worker's heartbeats must show the ordered phase


@dataclass(slots=True, frozen=True)
class PhaseOrder:
    """An order to a worker to switch to another phase."""

    instance: str
    address: str
    phase: str


@dataclass(slots=True, frozen=True)
class _PendingOrder:
    order: PhaseOrder
    ordered_at: int


@dataclass(slots=True)
class _ServiceState:
    samples: int = 0
    backlog_tokens: float = 0.0  # per prefill worker, smoothed
    decoding_requests: float = 0.0  # over all decode workers, smoothed
    max_prefill_workers: int = 0  # highest number so far, including draining workers
    max_decode_workers: int = 0
    pending: dict[str, _PendingOrder] = field(default_factory=dict)  # by instance
    last_ordered_at: int = 0


@dataclass(slots=True, frozen=True)
class _PhaseGroups:
    """The workers of a service that do not drain, by phase. A pending order counts as carried out."""

    prefill_workers: list[WorkerRecord]
    decode_workers: list[WorkerRecord]

    @property
    def min_decode_workers(self) -> int:
        """The minimum number of decode workers, whatever the traffic."""
        count = len(self.prefill_workers) + len(self.decode_workers)
        return max(MIN_DECODE_WORKERS, math.ceil(MIN_DECODE_FRACTION * count))


class PhasePlanner:
    """Plans the phases of all services."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}

    @property
    def switching(self) -> tuple[str, ...]:
        """The instances with a pending order, which accept no requests."""
        return tuple(instance for service in self._services.values() for instance in service.pending)

    def reset(self) -> None:
        """Drop all state because this process does not lead: its samples would be outdated when it leads
        again.
        """
        self._services.clear()

    def discard_order(self, order: PhaseOrder) -> None:
        """Remove a pending order that the worker has not accepted, or that was never sent."""
        for service in self._services.values():
            service.pending.pop(order.instance, None)

    def plan(self, workers: list[WorkerRecord], loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """The orders to send now, at most one for each service. `workers`: those that are not silent."""
        by_service: dict[str, list[WorkerRecord]] = {}
        for record in workers:
            if record.phase and record.state is not WorkerState.GONE:
                by_service.setdefault(record.service, []).append(record)
        orders = [
            self._plan_service(name, service_workers, loads, now)
            for name, service_workers in by_service.items()
        ]
        return [order for order in orders if order is not None]

    def _plan_service(
        self, name: str, workers: list[WorkerRecord], loads: dict[str, Load], now: int
    ) -> PhaseOrder | None:
        service = self._services.setdefault(name, _ServiceState())
        service.max_prefill_workers = max(service.max_prefill_workers, _count(workers, PREFILL))
        service.max_decode_workers = max(service.max_decode_workers, _count(workers, DECODE))
        staying = [worker for worker in workers if worker.state is WorkerState.READY]
        _drop_finished_orders(service, staying, now)
        _sample_load(service, staying, loads)
        if service.samples <= WARM_UP_SAMPLES or now - service.last_ordered_at < ORDER_INTERVAL_US:
            return None
        order = _choose_order(service, _group_by_phase(service, staying), loads)
        if order is not None:
            service.pending[order.instance] = _PendingOrder(order, now)
            service.last_ordered_at = now
        return order


def _drop_finished_orders(service: _ServiceState, staying: list[WorkerRecord], now: int) -> None:
    """Remove orders that the worker's heartbeats confirm, that have timed out, or whose worker drains or is
    gone.
    """
    phases = {worker.instance: worker.phase for worker in staying}
    service.pending = {
        instance: pending
        for instance, pending in service.pending.items()
        if phases.get(instance, pending.order.phase) != pending.order.phase
        and now - pending.ordered_at < ORDER_TIMEOUT_US
    }


def _sample_load(service: _ServiceState, staying: list[WorkerRecord], loads: dict[str, Load]) -> None:
    """Update the smoothed loads with one sample; the first samples are averaged with equal weights."""
    prefill_workers = [worker for worker in staying if worker.phase == PREFILL]
    decode_workers = [worker for worker in staying if worker.phase == DECODE]
    backlog_tokens = sum(_tokens(loads, worker) for worker in prefill_workers) / max(len(prefill_workers), 1)
    decoding_requests = sum(_jobs(loads, worker) for worker in decode_workers)
    service.samples += 1
    weight = 1 / min(service.samples, SMOOTHING_SAMPLES)
    service.backlog_tokens += (backlog_tokens - service.backlog_tokens) * weight
    service.decoding_requests += (decoding_requests - service.decoding_requests) * weight


def _group_by_phase(service: _ServiceState, staying: list[WorkerRecord]) -> _PhaseGroups:
    ordered_phases = {instance: pending.order.phase for instance, pending in service.pending.items()}
    phases = [(worker, ordered_phases.get(worker.instance, worker.phase)) for worker in staying]
    return _PhaseGroups(
        [worker for worker, phase in phases if phase == PREFILL],
        [worker for worker, phase in phases if phase == DECODE],
    )


def _choose_order(service: _ServiceState, groups: _PhaseGroups, loads: dict[str, Load]) -> PhaseOrder | None:
    """The next order, if any. A phase that lacks workers has priority; the load is considered only while no
    order is pending.
    """
    prefill_workers = groups.prefill_workers
    decode_workers = groups.decode_workers
    free_prefill_workers = [worker for worker in prefill_workers if worker.instance not in service.pending]
    free_decode_workers = [worker for worker in decode_workers if worker.instance not in service.pending]
    needed_decode_workers = min(MIN_DECODE_WORKERS, service.max_decode_workers)
    lacks_decode = not decode_workers or (
        len(decode_workers) < needed_decode_workers and len(prefill_workers) > 1
    )
    if free_prefill_workers and lacks_decode:
        return _order(min(free_prefill_workers, key=lambda worker: _tokens(loads, worker)), DECODE)
    lacks_prefill = not prefill_workers and service.max_prefill_workers > 0
    if lacks_prefill and len(decode_workers) > groups.min_decode_workers and free_decode_workers:
        return _order(min(free_decode_workers, key=lambda worker: _jobs(loads, worker)), PREFILL)
    return None if service.pending else _choose_order_for_load(service, groups, loads)


def _choose_order_for_load(
    service: _ServiceState, groups: _PhaseGroups, loads: dict[str, Load]
) -> PhaseOrder | None:
    """The order that the load requires, if any. Called only while no order is pending."""
    prefill_workers = groups.prefill_workers
    decode_workers = groups.decode_workers
    decode_capacity = sum(worker.capacity for worker in decode_workers)
    if service.decoding_requests > HIGH_DECODE_UTILIZATION * decode_capacity and len(prefill_workers) > 1:
        return _order(min(prefill_workers, key=lambda worker: _tokens(loads, worker)), DECODE)
    if len(decode_workers) <= groups.min_decode_workers or service.backlog_tokens < PREFILL_BACKLOG_TOKENS:
        return None
    idlest = min(decode_workers, key=lambda worker: _jobs(loads, worker))
    if service.decoding_requests <= LOW_DECODE_UTILIZATION * (decode_capacity - idlest.capacity):
        return _order(idlest, PREFILL)
    return None


def _order(record: WorkerRecord, phase: str) -> PhaseOrder:
    return PhaseOrder(record.instance, record.address, phase)


def _count(workers: list[WorkerRecord], phase: str) -> int:
    return sum(worker.phase == phase for worker in workers)


def _jobs(loads: dict[str, Load], record: WorkerRecord) -> int:
    return loads.get(record.instance, NO_LOAD).jobs


def _tokens(loads: dict[str, Load], record: WorkerRecord) -> int:
    return loads.get(record.instance, NO_LOAD).tokens
