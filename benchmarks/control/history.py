"""Runs a simulated fleet with operators, routers and workers under faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

from benchmarks.control.faults import Fault, FaultInjector
from benchmarks.control.fleet import CONTACT_US, Fleet, InvariantViolationError, has_formed
from benchmarks.control.leaving_workers import LeavingWorkers
from benchmarks.control.network import MS, S
from benchmarks.control.observers import (
    DrainingWorkers,
    LeaderMonitor,
    OrderMonitor,
    RouterMonitor,
)
from benchmarks.control.operators import Operators
from benchmarks.control.running_workers import RouterWorkers, RunningWorkers

RNG_SALT = 0x3000000
START_TIMEOUT_US = 10 * S  # in which all machines must have formed one cluster
LAST_FAULTS_US = 22 * S  # from the last drawn fault, until the effects of all faults have ended
RECOVERY_US = 12 * S  # from the end of all faults, until the cluster must have recovered
ROUTERS = 2
MAX_FAULTS = 1_000  # higher than the number of any drawn fault


@dataclass(slots=True, frozen=True)
class HistoryResult:
    """The totals of a history."""

    changes: int
    reads: int
    drains: int
    deregistrations: int
    orders: int
    messages: int
    bytes: int
    simulated_us: int
    faults: tuple[Fault, ...]


class History:
    """The history that a seed determines."""

    def __init__(self, seed: int, machines: int, tolerance: int, skipped: frozenset[int]) -> None:
        self._rng = random.Random(seed ^ RNG_SALT)
        observers = self._rng.choice((0, 0, 1))
        self._voter_count = machines
        self.fleet = Fleet(seed, machines + observers, tolerance, observers=observers)
        self.operators = Operators(self.fleet)
        self.workers = DrainingWorkers(self.fleet)
        self.leaving = LeavingWorkers(self.fleet)
        self.orders = OrderMonitor(self.fleet)
        self.fault_injector = FaultInjector(self.fleet, self.operators, self.workers, self.leaving, skipped)
        self.routers = [RouterMonitor(self.fleet, number) for number in range(ROUTERS)]
        self.orders.begin()
        self.leaving.begin()
        LeaderMonitor(self.fleet).begin()

    def play(self, length: int) -> None:
        """Run the history for `length` microseconds and check the recovery after it.

        Raises:
            InvariantViolationError: an invariant of the system was violated.
        """
        fleet = self.fleet
        fleet.run_until(lambda: self._has_formed(), START_TIMEOUT_US)
        if not self._has_formed():
            raise InvariantViolationError("the machines have not formed one cluster after the first start")
        end = fleet.now + length
        while fleet.now < end:
            self._run_and_check(self._rng.randint(20 * MS, 600 * MS))
            self._perform_action(self._rng.random())
        last = fleet.now + LAST_FAULTS_US
        while fleet.now < min(max(self.fault_injector.effects_end_at, fleet.now + 1 * S), last):
            self._run_and_check(200 * MS)
        fleet.heal()
        self._end_disruptions()
        self._run_and_check(RECOVERY_US)
        self._check_caught_up()
        self.operators.check_end()

    def _end_disruptions(self) -> None:
        """Let no more workers leave, so that the records of all control processes become equal."""
        self.leaving.end()

    def _perform_action(self, drawn: float) -> None:
        if drawn < 0.40:
            self.operators.change()
        elif drawn < 0.48:
            self.operators.send_conflicting_changes()
        elif drawn < 0.53:
            self.operators.resend_old()
        elif drawn < 0.78:
            self.operators.read()
        elif drawn < 0.85:
            self.workers.drain(self._rng)
        else:
            self.fault_injector.inject()

    def _run_and_check(self, duration: int) -> None:
        """Run for `duration`, and check the routers at short intervals."""
        end = self.fleet.now + duration
        while self.fleet.now < end:
            self.fleet.run(min(50 * MS, end - self.fleet.now))
            self._check_routers(self.fleet.calm_us())

    def _check_routers(self, calm_us: int) -> None:
        """Check the routers. `calm_us`: how long all processes, links and disks have been healthy."""
        for router in self.routers:
            router.check(self.operators, self.workers)
            if calm_us > CONTACT_US:
                router.check_ended(self.leaving)

    def _has_formed(self) -> bool:
        return has_formed(self.fleet, self._voter_count)

    def _check_caught_up(self) -> None:
        """Check that all running machines, also restarted and new ones, have the leader's state."""
        leader = self.fleet.leader
        if leader is None:
            raise InvariantViolationError("there is no leader after the recovery time")
        running = {machine.engine.identity for machine in self.fleet.alive}
        stale_voters = set(leader.engine.raft.voters) - running
        if stale_voters:
            raise InvariantViolationError(
                f"{min(stale_voters)} is still a voter, but not running, "
                f"{RECOVERY_US / S:.0f} s after the faults"
            )
        digests = {
            machine.engine.registry.digest
            for machine in self.fleet.alive
            if machine.address not in self.fleet.observers
        }
        if len(digests) > 1:
            raise InvariantViolationError(
                "control processes have different worker records after the recovery time"
            )
        for machine in self.fleet.alive:
            if machine.address in self.fleet.observers:
                continue
            raft = machine.engine.raft
            if raft.commit_index < leader.engine.raft.commit_index or not raft.is_voter:
                raise InvariantViolationError(
                    f"{machine.address} has not caught up {RECOVERY_US / S:.0f} s after the faults"
                )

    def result(self) -> HistoryResult:
        """The totals so far."""
        return HistoryResult(
            changes=self.operators.changes,
            reads=self.operators.reads,
            drains=len(self.workers.acknowledged),
            deregistrations=len(self.leaving.ended_at),
            orders=len(self.orders.sent_orders),
            messages=self.fleet.messages,
            bytes=self.fleet.network.bytes,
            simulated_us=self.fleet.now,
            faults=tuple(self.fault_injector.injected),
        )


class WorkerHistory(History):
    """A history with workers that crash, are replaced, and are cut off from the control processes."""

    def __init__(self, seed: int, machines: int, tolerance: int, skipped: frozenset[int]) -> None:
        super().__init__(seed, machines, tolerance, skipped)
        self.running = RunningWorkers(self.fleet)
        self.router_workers = [RouterWorkers(self.fleet, number, self.running) for number in range(ROUTERS)]
        self.running.begin()

    def _check_routers(self, calm_us: int) -> None:
        super()._check_routers(calm_us)
        for router in self.router_workers:
            router.check(calm_us)

    def _end_disruptions(self) -> None:
        super()._end_disruptions()
        self.running.end()


def play(
    seed: int,
    machines: int = 3,
    tolerance: int = 1,
    length: int = 40 * S,
    skipped: frozenset[int] = frozenset(),
    injected: frozenset[int] | None = None,
) -> HistoryResult:
    """Run one history.

    Args:
        seed: determines the history.
        machines: the number of voters; in some histories an observer is added.
        tolerance: the number of machines that may be lost at the same time.
        length: microseconds of simulated time with faults.
        skipped: the numbers of faults that are drawn but not injected.
        injected: if not None, the numbers of the only faults that are injected; `skipped` is ignored then.

    Raises:
        InvariantViolationError: an invariant was violated; `faults` lists the injected faults.
    """
    if injected is not None:
        skipped = frozenset(range(MAX_FAULTS)) - injected
    return _play(History(seed, machines, tolerance, skipped), length)


def play_with_workers(
    seed: int, machines: int = 3, tolerance: int = 1, length: int = 40 * S
) -> HistoryResult:
    """Run one `WorkerHistory`. Arguments and errors: see `play`."""
    return _play(WorkerHistory(seed, machines, tolerance, frozenset()), length)


def _play(history: History, length: int) -> HistoryResult:
    try:
        history.play(length)
    except InvariantViolationError as error:
        error.faults = tuple(history.fault_injector.injected)
        raise
    return history.result()
