"""Workers of a simulated fleet that crash, are replaced at their address, and are cut off from control.

Any heartbeat may arrive seconds late, also after its worker has crashed. A router that is in touch must use
each worker whose heartbeats are acknowledged, and must not use one that has crashed long ago.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.control.fleet import CONTACT_US, HEARTBEAT_US, Fleet, InvariantViolationError, Machine
from benchmarks.control.network import DELAY_RANGE_US, MS, S
from hazelbend.control import messages as m
from hazelbend.control.workers import EXPIRY_HEARTBEATS, WorkerRecord, WorkerState
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.placement.engine import PlacementEngine
from hazelbend.system.router_update_handler import RouterUpdateHandler
from hazelbend.system.settings import read_settings

RNG_SALT = 0x6000000
ADDRESSES = 4
LIFETIME_RANGES_US = ((100 * MS, 4 * S), (4 * S, 40 * S))  # one of these is drawn for each worker
ADDRESS_REUSE_RANGE_US = (2 * S, 5 * S)  # from a crash to the start of the next worker at the address
CUT_PROBABILITY = 0.03  # at each heartbeat
CUT_RANGE_US = (1 * S, 20 * S)
LATE_PROBABILITIES = (0.0, 0.1, 1.0)  # of each heartbeat of a worker; it gets no acknowledgement of these
LATE_RANGE_US = (100 * MS, 6 * S)
RETRY_DELAY_US = 200 * MS
MAX_ATTEMPTS = 4  # of a heartbeat, each at another machine
SETTLED_US = 2 * CONTACT_US  # after which a worker whose heartbeats are acknowledged must be used
EXPIRY_US = round(EXPIRY_HEARTBEATS * HEARTBEAT_US)
REPAIR_US = 3 * S  # in which any difference between a router and control is repaired

STATUS_PERIOD_US = 500 * MS
SUBSCRIPTIONS = 2
UPDATE_LOSS = 0.02
SETTINGS = 'nodeName: "r"\nip: "127.0.0.1"\nzone: "z"\nportRange: [7000, 7003]\nheartbeatMs: 1200\n'


@dataclass(slots=True)
class Worker:
    """One instance, and since when all its heartbeats have been acknowledged in time."""

    instance: str
    address: str
    crashes_at: int
    late_probability: float
    seq: int = 0
    cut_until: int = 0
    acknowledged_at: int = 0  # the last time; 0 if none was acknowledged
    acknowledged_since: int = 0


@dataclass(slots=True)
class RunningWorkers:
    """The workers at all addresses, one after the other at each."""

    fleet: Fleet
    running: dict[str, Worker] = field(default_factory=dict)  # by address
    crashed: dict[str, list[str]] = field(default_factory=dict)  # instances by address
    heard_at: dict[str, int] = field(default_factory=dict)  # the last arrival of any heartbeat, by instance
    _count: int = 0
    _is_calm: bool = False
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.fleet.seed ^ RNG_SALT)

    def begin(self) -> None:
        """Start the first worker at each address."""
        for number in range(1, ADDRESSES + 1):
            start = functools.partial(self._start, f"10.7.0.{number}:80")
            self.fleet.call_later(self._random.randrange(5 * S), start)

    def end(self) -> None:
        """Let no more workers crash or be cut off, so that the records of all control processes get equal."""
        self._is_calm = True

    def due(self) -> list[str]:
        """The instances that must be used by routers that have been in touch for `SETTLED_US`."""
        settled_at = self.fleet.now - SETTLED_US
        return [
            worker.instance
            for worker in self.running.values()
            if worker.acknowledged_at
            and worker.acknowledged_since <= settled_at
            and self.fleet.now - worker.acknowledged_at <= 2 * HEARTBEAT_US
            and self._predecessors_heard_at(worker) <= settled_at
        ]

    def long_crashed(self) -> set[str]:
        """The instances that no router may use any more."""
        before = self.fleet.now - EXPIRY_US - REPAIR_US
        crashed = {instance for instances in self.crashed.values() for instance in instances}
        return {instance for instance in crashed if self.heard_at.get(instance, 0) < before}

    def _predecessors_heard_at(self, worker: Worker) -> int:
        """When a heartbeat of an earlier instance at the address of this one has last arrived."""
        predecessors = self.crashed.get(worker.address, [])
        return max((self.heard_at.get(instance, 0) for instance in predecessors), default=0)

    def _start(self, address: str) -> None:
        self._count += 1
        crashes_at = self.fleet.now + self._random.randint(*self._random.choice(LIFETIME_RANGES_US))
        late_probability = self._random.choice(LATE_PROBABILITIES)
        worker = Worker(f"w-{self._count}", address, crashes_at, late_probability)
        self.running[address] = worker
        self._heartbeat(worker)

    def _heartbeat(self, worker: Worker) -> None:
        now = self.fleet.now
        if now >= worker.crashes_at and not self._is_calm:
            del self.running[worker.address]
            self.crashed.setdefault(worker.address, []).append(worker.instance)
            delay = self._random.randint(*ADDRESS_REUSE_RANGE_US)
            self.fleet.call_later(delay, functools.partial(self._start, worker.address))
            return
        self.fleet.call_later(HEARTBEAT_US, functools.partial(self._heartbeat, worker))
        worker.seq += 1
        record = WorkerRecord(worker.instance, "s", worker.address, "z", WorkerState.READY, worker.seq)
        if self._is_calm:
            worker.cut_until = 0
        elif self._random.random() < CUT_PROBABILITY:
            worker.cut_until = now + self._random.randint(*CUT_RANGE_US)
        is_late = not self._is_calm and self._random.random() < worker.late_probability
        if now < worker.cut_until:
            return
        delay = self._random.randint(*LATE_RANGE_US) if is_late else 0
        send = functools.partial(self._send, worker, record, MAX_ATTEMPTS if not is_late else 1, is_late)
        self.fleet.call_later(delay, send)

    def _send(self, worker: Worker, record: WorkerRecord, attempts: int, is_late: bool) -> None:
        machine = self.fleet.machines[self._random.choice(sorted(self.fleet.machines))]
        results: list[bool] = []
        self.fleet.send_heartbeat(machine.address, record, results.append)
        if True in results:
            self.heard_at[worker.instance] = self.fleet.now
        is_in_touch = machine.engine is not None and machine.engine.reaches_quorum_peers(self.fleet.now)
        if True in results and is_in_touch:
            if not is_late:
                self._acknowledged(worker)
        elif attempts > 1:
            retry = functools.partial(self._send, worker, record, attempts - 1, is_late)
            self.fleet.call_later(RETRY_DELAY_US, retry)

    def _acknowledged(self, worker: Worker) -> None:
        now = self.fleet.now
        if not worker.acknowledged_at or now - worker.acknowledged_at > 2 * HEARTBEAT_US:
            worker.acknowledged_since = now
        worker.acknowledged_at = now


class RouterWorkers:
    """The workers of a router with subscriptions to control processes, and the check of them."""

    def __init__(self, fleet: Fleet, number: int, workers: RunningWorkers) -> None:
        self.fleet = fleet
        self.number = number
        self._workers = workers
        self._random = random.Random(fleet.seed ^ RNG_SALT ^ (number + 1))
        self._sources: dict[str, int] = {}  # by address: the incarnation of the subscribed process
        self._last_status_at: dict[str, int] = {}
        self._start()
        fleet.on_workers_removed.append(self._on_workers_removed)
        fleet.on_workers_changed.append(self._on_workers_changed)
        fleet.on_power_loss.append(self._start)
        fleet.call_later(self._random.randrange(STATUS_PERIOD_US), self._maintain)

    def _start(self) -> None:
        """Start without any state."""
        self._placement = PlacementEngine("z", self.number)
        self._sources.clear()
        state = FleetState(self._placement)
        self._updates = RouterUpdateHandler(
            read_settings(SETTINGS), state, lambda limits: None, lambda status: None
        )

    @property
    def used(self) -> set[str]:
        """The instances to which the router sends requests."""
        return {instance for instance, worker in self._placement.workers.items() if worker.accepts_work}

    def check(self, calm_us: int) -> None:
        """Check the workers, if all machines have been healthy for long enough.

        Raises:
            InvariantViolationError: a worker whose heartbeats are acknowledged is not used, or one that has
                crashed is.
        """
        used = self.used
        if calm_us > SETTLED_US:
            for instance in self._workers.due():
                if instance not in used:
                    raise InvariantViolationError(
                        f"router {self.number} does not use {instance}, whose heartbeats are acknowledged"
                    )
        if calm_us > EXPIRY_US + REPAIR_US and (crashed := used & self._workers.long_crashed()):
            raise InvariantViolationError(f"router {self.number} uses {min(crashed)}, which crashed long ago")

    def _maintain(self) -> None:
        self.fleet.call_later(STATUS_PERIOD_US, self._maintain)
        for address, incarnation in list(self._sources.items()):
            machine = self.fleet.machines[address]
            is_silent = self.fleet.now - self._last_status_at[address] > REPAIR_US
            if machine.engine is None or machine.incarnation != incarnation or is_silent:
                del self._sources[address]
                self._updates.subscription_ended(address)
            elif self.fleet.now >= machine.frozen_until:
                status = machine.engine.fleet_status(self.fleet.now)
                self._deliver(address, functools.partial(self._receive_status, address, status))
        free = [
            machine.address
            for machine in self.fleet.alive
            if machine.address not in self._sources and machine.address not in self.fleet.observers
        ]
        self._random.shuffle(free)
        for address in free[: SUBSCRIPTIONS - len(self._sources)]:
            self._sources[address] = self.fleet.machines[address].incarnation
            self._last_status_at[address] = self.fleet.now
            self._deliver(address, functools.partial(self._updates.subscription_opened, address))
            self._send_all(address)

    def _receive_status(self, address: str, status: m.FleetStatus) -> None:
        self._last_status_at[address] = self.fleet.now
        self._updates.apply_fleet_status(address, status)
        if self._updates.take_resync_request(address):
            self._send_all(address)

    def _send_all(self, address: str) -> None:
        engine = self.fleet.machines[address].engine
        if engine is not None:
            self._send(address, m.WorkerUpdate(0, engine.records_for_routers(), complete=True))

    def _on_workers_removed(self, machine: Machine, instances: list[str]) -> None:
        self._send_change(machine.address, m.WorkerUpdate(0, (), expired=tuple(instances)))

    def _on_workers_changed(self, machine: Machine, records: list[WorkerRecord]) -> None:
        self._send_change(machine.address, m.WorkerUpdate(0, tuple(records)))

    def _send_change(self, address: str, update: m.WorkerUpdate) -> None:
        if address in self._sources and self._random.random() >= UPDATE_LOSS:
            self._send(address, update)

    def _send(self, address: str, update: m.WorkerUpdate) -> None:
        self._deliver(address, functools.partial(self._updates.apply_workers, address, update))

    def _deliver(self, address: str, receive: Callable[[], None]) -> None:
        """Call `receive` after the longest delay, so that messages arrive in order, unless it has ended."""
        updates = self._updates
        incarnation = self._sources[address]

        def arrive() -> None:
            if self._updates is updates and self._sources.get(address) == incarnation:
                receive()

        self.fleet.call_later(DELAY_RANGE_US[1], arrive)
