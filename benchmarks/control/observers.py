"""Observers of control processes: routers, workers that drain, and a monitor of orders to workers.

Each checks what it is told: a router that counts as current has no old configuration and knows every drain
that was acknowledged; orders of two leaders lie a lease apart and their fencing tokens rise.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.control.fleet import USUAL_SYNC_US, Fleet, InvariantViolationError, Machine
from benchmarks.control.network import DELAY_RANGE_US, MS, S
from benchmarks.control.operators import Operators
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.workers import WorkerRecord, WorkerState

RNG_SALT = 0x4000000
CONFIG_APPLY_US = 2 * S  # after which an acknowledged configuration holds everywhere
DRAIN_US = 2 * S  # after which no router sends to a worker whose drain was acknowledged
LEASE_US = 3 * S
THAW_US = 300 * MS  # after its sender was thawed, or a link healed, an order does not count
CHECK_PERIOD_US = 200 * MS
PING_PERIOD_US = 400 * MS
ORDER_CHECK_PERIOD_US = 500 * MS
LEADER_CHECK_PERIOD_US = 100 * MS
LEADER_SETTLED_US = 2 * S  # after which a leader that a healthy majority hears must be confirmed
LEADER_AGE_US = 1 * S  # of its confirmation at most: some heartbeats, as messages are lost
CONFIRMATION_TIMEOUT_US = 1_500 * MS
SILENCE_TIMEOUT_US = 1_300 * MS
WORKER_HEARTBEAT_US = 1_200 * MS


@dataclass(slots=True)
class Watch:
    """A router's watch on one control process."""

    incarnation: int  # of the machine's process
    begun_at: int
    last_pong_at: int
    confirmed_at: int
    pinged_at: int = 0


class RouterMonitor:
    """Two watches, as `system.control_subscriptions` keeps them."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.version = self.confirmed_at = 0
        self.drained: set[str] = set()
        self._random = random.Random(fleet.seed ^ RNG_SALT ^ number)
        self._watches: dict[str, Watch] = {}
        fleet.on_publish.append(self._published)
        fleet.on_workers_changed.append(self._workers_changed)
        fleet.call_later(self._random.randrange(CHECK_PERIOD_US), self._check_watches)

    def is_current(self) -> bool:
        """Whether a majority has confirmed its configuration of late."""
        return bool(self.confirmed_at) and self.fleet.now - self.confirmed_at < CONFIG_APPLY_US

    def _delay(self) -> int:
        return self._random.randint(*DELAY_RANGE_US)

    def _check_watches(self) -> None:
        now = self.fleet.now
        self.fleet.call_later(CHECK_PERIOD_US, self._check_watches)
        stale = [
            each
            for each, watch in self._watches.items()
            if now - watch.confirmed_at > CONFIRMATION_TIMEOUT_US
        ]
        if len(stale) == len(self._watches):
            stale = stale[1:]  # what one hears is better than nothing
        for address, watch in list(self._watches.items()):
            machine = self.fleet.machines[address]
            ended = machine.engine is None or machine.incarnation != watch.incarnation
            if ended or now - watch.last_pong_at > SILENCE_TIMEOUT_US or address in stale[:1]:
                del self._watches[address]
            elif now - watch.pinged_at > PING_PERIOD_US:
                self._ping(address, watch)
        free = [each.address for each in self.fleet.alive if each.address not in self._watches]
        self._random.shuffle(free)
        for address in free[: 2 - len(self._watches)]:
            self._open(self.fleet.machines[address])

    def _open(self, machine: Machine) -> None:
        now = self.fleet.now
        if machine.address in self.fleet.observers:
            return
        watch = self._watches[machine.address] = Watch(machine.incarnation, now, now, now)
        self.fleet.call_later(self._delay(), lambda: self._begin(machine, watch))

    def _begin(self, machine: Machine, watch: Watch) -> None:
        """The control process tells all there is."""
        engine = machine.engine
        if engine is None or machine.incarnation != watch.incarnation:
            return
        if self.fleet.now < machine.frozen_until:
            wait = machine.frozen_until - self.fleet.now
            self.fleet.call_later(wait, lambda: self._begin(machine, watch))
            return
        records = list(engine.registry.records())
        self.fleet.call_later(self._delay(), lambda: self._take_workers(records))
        self._tell_version(machine, machine.published_version)
        self._ping(machine.address, watch)

    def _published(self, machine: Machine, config: StoredConfig) -> None:
        if machine.address in self._watches:
            self._tell_version(machine, config.version)

    def _tell_version(self, machine: Machine, version: int) -> None:
        # In order with answers to pings: both take the longest delay.
        self.fleet.call_later(DELAY_RANGE_US[1], lambda: self._take_version(version))

    def _take_version(self, version: int) -> None:
        self.version = max(self.version, version)

    def _workers_changed(self, machine: Machine, records: list[WorkerRecord]) -> None:
        if machine.address in self._watches:
            self.fleet.call_later(self._delay(), lambda: self._take_workers(records))

    def _take_workers(self, records: list[WorkerRecord]) -> None:
        self.drained |= {each.instance for each in records if each.state is not WorkerState.READY}

    def _ping(self, address: str, watch: Watch) -> None:
        sent_at = watch.pinged_at = self.fleet.now
        machine = self.fleet.machines[address]

        def arrive() -> None:
            if machine.engine is None or machine.incarnation != watch.incarnation:
                return
            if self.fleet.now < machine.frozen_until:
                self.fleet.call_later(machine.frozen_until - self.fleet.now, arrive)
                return
            version = machine.published_version
            confirmed_at = machine.confirmed_at
            age = None if confirmed_at is None else self.fleet.now - confirmed_at
            self.fleet.call_later(DELAY_RANGE_US[1], lambda: answer(version, age))

        def answer(version: int, age: int | None) -> None:
            watch.last_pong_at = self.fleet.now
            if age is None:
                return
            watch.confirmed_at = max(watch.confirmed_at, sent_at - age)
            if self.version >= version:
                self.confirmed_at = max(self.confirmed_at, sent_at - age)

        self.fleet.call_later(self._delay(), arrive)

    def check(self, operators: Operators, workers: DrainingWorkers) -> None:
        """What a router that counts as current must know."""
        if not self.is_current():
            return
        needed = operators.newest_before(self.fleet.now - CONFIG_APPLY_US)
        if self.version < needed:
            raise InvariantViolationError(
                f"router {self.number} counts {self.version} as current, {needed} was acknowledged"
            )
        unknown = workers.acknowledged_before(self.fleet.now - DRAIN_US) - self.drained
        if unknown:
            raise InvariantViolationError(
                f"router {self.number} does not know of the drain of {min(unknown)}"
            )


@dataclass(slots=True)
class DrainingWorkers:
    """Workers that announce their end, at any machine, until they are gone."""

    fleet: Fleet
    acknowledged: dict[str, int] = field(default_factory=dict)  # by instance: when
    _count: int = 0

    def drain(self, rng: random.Random, first: str | None = None) -> None:
        """One more worker announces its end, at this machine first, or at any."""
        self._count += 1
        record = WorkerRecord(
            f"i-{self._count}", "s", f"10.9.0.{self._count}:80", "z", WorkerState.DRAINING, 2
        )
        self._announce(record, rng, 5, first)

    def _announce(
        self, record: WorkerRecord, rng: random.Random, left: int, first: str | None = None
    ) -> None:
        address = first or rng.choice(sorted(self.fleet.machines))

        def on_result(held: bool) -> None:
            if held:
                self.acknowledged.setdefault(record.instance, self.fleet.now)

        self.fleet.worker(address, record, on_result)
        if left > 1:
            later = WorkerRecord(**{name: getattr(record, name) for name in record.__struct_fields__})
            pause = WORKER_HEARTBEAT_US if record.instance in self.acknowledged else 300 * MS
            self.fleet.call_later(pause, lambda: self._announce(later, rng, left - 1))

    def acknowledged_before(self, at: int) -> set[str]:
        """Instances whose drain was acknowledged by then, and not so long ago that they are forgotten."""
        return {name for name, when in self.acknowledged.items() if at - 20 * S < when <= at}


@dataclass(slots=True)
class OrderMonitor:
    """Orders to one worker, by whichever process thinks that it may: at most one sender at a time."""

    fleet: Fleet
    given: list[tuple[int, str, int]] = field(default_factory=list)  # time, holder, fencing token

    def begin(self) -> None:
        """Look regularly."""
        self.fleet.call_later(ORDER_CHECK_PERIOD_US, self._check_orders)

    def _check_orders(self) -> None:
        self.fleet.call_later(ORDER_CHECK_PERIOD_US, self._check_orders)
        for machine in self.fleet.alive:
            engine = machine.engine
            if engine is None or self.fleet.now < machine.frozen_until:
                continue
            token = engine.order_token(self.fleet.now)
            if token is not None:
                self._confirm(machine, token)

    def _confirm(self, machine: Machine, token: int) -> None:
        """As `system.phase_orders` does: a majority confirms, and it leads in the same term then."""
        engine = machine.engine
        incarnation = machine.incarnation

        def on_result(config: StoredConfig | None) -> None:
            if config is None or engine is None or machine.incarnation != incarnation:
                return
            if engine.order_token(self.fleet.now) == token:
                self._give(engine.identity, token)

        self.fleet.read(machine.address, on_result)

    def _give(self, holder: str, token: int) -> None:
        now = self.fleet.now
        if self.given:
            before, other, highest = self.given[-1]
            if holder != other and token == highest:
                raise InvariantViolationError(f"{holder} and {other} share the fencing token {token}")
            if token < highest:
                raise InvariantViolationError(f"{holder} orders with {token} after {highest}")
            if holder != other and now - before < LEASE_US - THAW_US:
                raise InvariantViolationError(f"{holder} orders {(now - before) / S:.2f} s after {other}")
        self.given.append((now, holder, token))


@dataclass(slots=True)
class LeaderMonitor:
    """A leader that a majority of healthy voters can hear is confirmed by them, however busy it is."""

    fleet: Fleet
    _leader: str = ""
    _healthy_since: int = 0

    def begin(self) -> None:
        """Look regularly."""
        self.fleet.call_later(LEADER_CHECK_PERIOD_US, self._check_leader)

    def _check_leader(self) -> None:
        fleet = self.fleet
        fleet.call_later(LEADER_CHECK_PERIOD_US, self._check_leader)
        leader = fleet.leader
        identity = leader.engine.identity if leader is not None and leader.engine is not None else ""
        if leader is None or identity != self._leader or not self._has_healthy_majority(leader):
            self._leader = identity
            self._healthy_since = fleet.now
            return
        age = leader.engine.raft.confirmed_age(fleet.now)
        if fleet.now - self._healthy_since > LEADER_SETTLED_US and (age is None or age > LEADER_AGE_US):
            raise InvariantViolationError(f"{identity} leads and no majority has confirmed it for {age} us")

    def _has_healthy_majority(self, leader: Machine) -> bool:
        if not self._is_healthy(leader):
            return False
        voters = leader.engine.raft.voters
        partitions = self.fleet.network.partitions
        heard = 0
        for machine in self.fleet.alive:
            pair = (leader.address, machine.address)
            is_reached = pair not in partitions and pair[::-1] not in partitions
            heard += machine.engine.identity in voters and is_reached and self._is_healthy(machine)
        return 2 * heard > len(voters)

    def _is_healthy(self, machine: Machine) -> bool:
        now = self.fleet.now
        disk = machine.disk
        is_writable = (
            not (disk.full or disk.sync_errors) and disk.stalled_until <= now and disk.sync <= USUAL_SYNC_US
        )
        return (
            machine.frozen_until <= now and is_writable and self.fleet.network.is_prompt(machine.address, now)
        )
