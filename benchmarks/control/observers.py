"""Monitors of a simulated fleet: routers, workers that drain, orders to workers, and the leader.

They check that a router whose configuration counts as current has no outdated one and knows every
acknowledged drain; that orders of two leaders are at least a lease apart, with increasing fencing tokens; and
that a leader with a healthy majority is confirmed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.control.fleet import DEFAULT_SYNC_US, Fleet, InvariantViolationError, Machine
from benchmarks.control.leaving_workers import LeavingWorkers
from benchmarks.control.network import DELAY_RANGE_US, MS, S
from benchmarks.control.operators import Operators
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.placement.engine import PlacementEngine

RNG_SALT = 0x4000000
CONFIG_APPLY_US = 2 * S  # after which each router has an acknowledged configuration or counts as outdated
DRAIN_APPLY_US = 2 * S  # after which no router sends to a worker whose drain was acknowledged
LEASE_US = 3 * S
RESUME_GRACE_US = 300 * MS  # tolerated for an order that a pause of its sender or a broken link delayed
CHECK_PERIOD_US = 200 * MS
PING_PERIOD_US = 400 * MS
ORDER_CHECK_PERIOD_US = 500 * MS
LEADER_CHECK_PERIOD_US = 100 * MS
LEADER_SETTLED_US = 2 * S  # after which a leader that reaches a healthy majority must be confirmed
LEADER_AGE_US = 1 * S  # maximum age of its confirmation: several heartbeats, because messages can be lost
CONFIRMATION_TIMEOUT_US = 1_500 * MS
SILENCE_TIMEOUT_US = 1_300 * MS
WORKER_HEARTBEAT_US = 1_200 * MS


@dataclass(slots=True)
class Subscription:
    """A router's subscription to one control process."""

    incarnation: int  # of the machine's process
    started_at: int
    last_pong_at: int
    confirmed_at: int
    last_ping_at: int = 0


class RouterMonitor:
    """A router with two subscriptions, as in `system.control_subscriptions`, and the checks of its state."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.version = self.confirmed_at = 0
        self.drained: set[str] = set()
        self.placement = PlacementEngine("z", number)
        self._random = random.Random(fleet.seed ^ RNG_SALT ^ number)
        self._subscriptions: dict[str, Subscription] = {}
        fleet.on_publish.append(self._on_publish)
        fleet.on_workers_changed.append(self._on_workers_changed)
        fleet.on_power_loss.append(self._restart)
        fleet.call_later(self._random.randrange(CHECK_PERIOD_US), self._check_subscriptions)

    def _restart(self) -> None:
        """Start again without any state. What it knew of drains was checked before."""
        self.version = self.confirmed_at = 0
        self.placement = PlacementEngine("z", self.number)
        self._subscriptions.clear()

    def is_current(self) -> bool:
        """Whether a majority has confirmed the router's configuration within `CONFIG_APPLY_US`."""
        return bool(self.confirmed_at) and self.fleet.now - self.confirmed_at < CONFIG_APPLY_US

    def _delay(self) -> int:
        return self._random.randint(*DELAY_RANGE_US)

    def _check_subscriptions(self) -> None:
        now = self.fleet.now
        self.fleet.call_later(CHECK_PERIOD_US, self._check_subscriptions)
        stale = [
            address
            for address, subscription in self._subscriptions.items()
            if now - subscription.confirmed_at > CONFIRMATION_TIMEOUT_US
        ]
        if len(stale) == len(self._subscriptions):
            stale = stale[1:]  # keeps one: a stale subscription is better than none
        for address, subscription in list(self._subscriptions.items()):
            machine = self.fleet.machines[address]
            ended = machine.engine is None or machine.incarnation != subscription.incarnation
            if ended or now - subscription.last_pong_at > SILENCE_TIMEOUT_US or address in stale[:1]:
                del self._subscriptions[address]
            elif now - subscription.last_ping_at > PING_PERIOD_US:
                self._ping(address, subscription)
        free = [machine.address for machine in self.fleet.alive if machine.address not in self._subscriptions]
        self._random.shuffle(free)
        for address in free[: 2 - len(self._subscriptions)]:
            self._open(self.fleet.machines[address])

    def _open(self, machine: Machine) -> None:
        now = self.fleet.now
        if machine.address in self.fleet.observers:
            return
        subscription = self._subscriptions[machine.address] = Subscription(machine.incarnation, now, now, now)
        self.fleet.call_later(self._delay(), lambda: self._send_initial_state(machine, subscription))

    def _send_initial_state(self, machine: Machine, subscription: Subscription) -> None:
        """The control process sends its complete state to the router."""
        engine = machine.engine
        if engine is None or machine.incarnation != subscription.incarnation:
            return
        if self.fleet.now < machine.frozen_until:
            wait = machine.frozen_until - self.fleet.now
            self.fleet.call_later(wait, lambda: self._send_initial_state(machine, subscription))
            return
        records = list(engine.records_for_routers())
        self.fleet.call_later(self._delay(), lambda: self._receive_workers(records))
        self._send_version(machine, machine.published_version)
        self._ping(machine.address, subscription)

    def _on_publish(self, machine: Machine, config: StoredConfig) -> None:
        if machine.address in self._subscriptions:
            self._send_version(machine, config.version)

    def _send_version(self, machine: Machine, version: int) -> None:
        # The maximum delay, as for answers to pings, keeps these messages in order.
        self.fleet.call_later(DELAY_RANGE_US[1], lambda: self._receive_version(version))

    def _receive_version(self, version: int) -> None:
        self.version = max(self.version, version)

    def _on_workers_changed(self, machine: Machine, records: list[WorkerRecord]) -> None:
        if machine.address in self._subscriptions:
            self.fleet.call_later(self._delay(), lambda: self._receive_workers(records))

    def _receive_workers(self, records: list[WorkerRecord]) -> None:
        self.drained |= {record.instance for record in records if record.state is not WorkerState.READY}
        for record in records:
            self.placement.merge(record)

    def _ping(self, address: str, subscription: Subscription) -> None:
        sent_at = subscription.last_ping_at = self.fleet.now
        machine = self.fleet.machines[address]

        def arrive() -> None:
            if machine.engine is None or machine.incarnation != subscription.incarnation:
                return
            if self.fleet.now < machine.frozen_until:
                self.fleet.call_later(machine.frozen_until - self.fleet.now, arrive)
                return
            version = machine.published_version
            confirmed_at = machine.confirmed_at
            age = None if confirmed_at is None else self.fleet.now - confirmed_at
            self.fleet.call_later(DELAY_RANGE_US[1], lambda: answer(version, age))

        def answer(version: int, age: int | None) -> None:
            subscription.last_pong_at = self.fleet.now
            if age is None:
                return
            subscription.confirmed_at = max(subscription.confirmed_at, sent_at - age)
            if self.version >= version:
                self.confirmed_at = max(self.confirmed_at, sent_at - age)

        self.fleet.call_later(self._delay(), arrive)

    def check(self, operators: Operators, workers: DrainingWorkers) -> None:
        """Check what a router with a current configuration must know.

        Raises:
            InvariantViolationError: its configuration is outdated, or it does not know an acknowledged drain.
        """
        if not self.is_current():
            return
        required = operators.newest_before(self.fleet.now - CONFIG_APPLY_US)
        if self.version < required:
            raise InvariantViolationError(
                f"router {self.number} has version {self.version} as current, {required} was acknowledged"
            )
        unknown = workers.acknowledged_before(self.fleet.now - DRAIN_APPLY_US) - self.drained
        if unknown:
            raise InvariantViolationError(
                f"router {self.number} does not know the acknowledged drain of {min(unknown)}"
            )

    def check_ended(self, leaving: LeavingWorkers) -> None:
        """Check what a router that is in touch must know of workers that have deregistered.

        Raises:
            InvariantViolationError: it considers a worker ready whose deregistration was acknowledged.
        """
        if not self.is_current():
            return
        for instance in leaving.ended_before(self.fleet.now - DRAIN_APPLY_US):
            worker = self.placement.workers.get(instance)
            if worker is not None and worker.record.state is WorkerState.READY:
                raise InvariantViolationError(
                    f"router {self.number} considers {instance} ready, whose end was acknowledged"
                )


@dataclass(slots=True)
class DrainingWorkers:
    """Workers that announce that they drain, repeatedly and at any machine."""

    fleet: Fleet
    acknowledged: dict[str, int] = field(default_factory=dict)  # time of the acknowledgement by instance
    _count: int = 0

    def drain(self, rng: random.Random, first: str | None = None) -> None:
        """Let one more worker announce that it drains, first at the machine `first` if that is given."""
        self._count += 1
        record = WorkerRecord(
            f"i-{self._count}", "s", f"10.9.0.{self._count}:80", "z", WorkerState.DRAINING, 2
        )
        self._announce(record, rng, 5, first)

    def _announce(
        self, record: WorkerRecord, rng: random.Random, attempts: int, first: str | None = None
    ) -> None:
        address = first or rng.choice(sorted(self.fleet.machines))

        def on_result(acknowledged: bool) -> None:
            if acknowledged:
                self.acknowledged.setdefault(record.instance, self.fleet.now)

        self.fleet.send_heartbeat(address, record, on_result)
        if attempts > 1:
            copied = WorkerRecord(**{name: getattr(record, name) for name in record.__struct_fields__})
            pause = WORKER_HEARTBEAT_US if record.instance in self.acknowledged else 300 * MS
            self.fleet.call_later(pause, lambda: self._announce(copied, rng, attempts - 1))

    def acknowledged_before(self, at: int) -> set[str]:
        """Instances whose drain was acknowledged in the 20 s before this time; older tombstones may be
        removed.
        """
        return {
            name for name, acknowledged_at in self.acknowledged.items() if at - 20 * S < acknowledged_at <= at
        }


@dataclass(slots=True)
class OrderMonitor:
    """Checks the orders to workers: orders of two processes are a lease apart, with increasing tokens."""

    fleet: Fleet
    sent_orders: list[tuple[int, str, int]] = field(default_factory=list)  # time, holder, fencing token

    def begin(self) -> None:
        """Start the periodic check."""
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
        """Confirm the leader by a majority before the order, and check its token again, as
        `system.phase_orders`.
        """
        engine = machine.engine
        incarnation = machine.incarnation

        def on_result(config: StoredConfig | None) -> None:
            if config is None or engine is None or machine.incarnation != incarnation:
                return
            if engine.order_token(self.fleet.now) == token:
                self._record_order(engine.identity, token)

        self.fleet.read(machine.address, on_result)

    def _record_order(self, holder: str, token: int) -> None:
        now = self.fleet.now
        if self.sent_orders:
            before, other, highest = self.sent_orders[-1]
            if holder != other and token == highest:
                raise InvariantViolationError(f"{holder} and {other} have the same fencing token {token}")
            if token < highest:
                raise InvariantViolationError(
                    f"{holder} sent an order with token {token} after one with {highest}"
                )
            if holder != other and now - before < LEASE_US - RESUME_GRACE_US:
                raise InvariantViolationError(
                    f"{holder} sent an order {(now - before) / S:.2f} s after {other}"
                )
        self.sent_orders.append((now, holder, token))


@dataclass(slots=True)
class LeaderMonitor:
    """Checks that a leader that can reach a majority of healthy voters is confirmed, however busy it is."""

    fleet: Fleet
    _leader: str = ""
    _healthy_since: int = 0

    def begin(self) -> None:
        """Start the periodic check."""
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
        healthy_count = 0
        for machine in self.fleet.alive:
            pair = (leader.address, machine.address)
            is_reached = pair not in partitions and pair[::-1] not in partitions
            healthy_count += machine.engine.identity in voters and is_reached and self._is_healthy(machine)
        return 2 * healthy_count > len(voters)

    def _is_healthy(self, machine: Machine) -> bool:
        now = self.fleet.now
        disk = machine.disk
        is_writable = (
            not (disk.full or disk.sync_errors)
            and disk.stalled_until <= now
            and disk.sync_us <= DEFAULT_SYNC_US
        )
        return (
            machine.frozen_until <= now
            and is_writable
            and self.fleet.network.has_normal_delay(machine.address, now)
        )
