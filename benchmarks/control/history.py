"""Runs a simulated fleet with operators, routers and workers under faults, and shrinks failing histories."""

from __future__ import annotations

import random
from dataclasses import dataclass

from benchmarks.control.faults import Fault, FaultInjector
from benchmarks.control.fleet import Fleet, InvariantViolationError, has_formed
from benchmarks.control.network import MS, S
from benchmarks.control.observers import DrainingWorkers, LeaderMonitor, OrderMonitor, RouterMonitor
from benchmarks.control.operators import Operators

RNG_SALT = 0x3000000
START_TIMEOUT_US = 10 * S  # in which all machines must have come together
LAST_FAULTS_US = 22 * S  # after the last fault was drawn, until all of them are over
RECOVERY_US = 12 * S  # from when all are back until all is well
ROUTERS = 2
MAX_FAULTS = 1_000  # more than any history draws


@dataclass(slots=True, frozen=True)
class HistoryResult:
    """Totals of a history."""

    changes: int
    reads: int
    drains: int
    orders: int
    messages: int
    bytes: int
    simulated_us: int
    faults: tuple[Fault, ...]


class History:
    """The history of one seed."""

    def __init__(self, seed: int, machines: int, tolerance: int, skipped: frozenset[int]) -> None:
        self._rng = random.Random(seed ^ RNG_SALT)
        observers = self._rng.choice((0, 0, 1))
        self._voter_count = machines
        self.fleet = Fleet(seed, machines + observers, tolerance, observers=observers)
        self.operators = Operators(self.fleet)
        self.workers = DrainingWorkers(self.fleet)
        self.orders = OrderMonitor(self.fleet)
        self.fault_injector = FaultInjector(self.fleet, self.operators, self.workers, skipped)
        self.routers = [RouterMonitor(self.fleet, number) for number in range(ROUTERS)]
        self.orders.begin()
        LeaderMonitor(self.fleet).begin()

    def play(self, length: int) -> None:
        """Run the history.

        Raises:
            InvariantViolationError: a rule of the system was broken.
        """
        fleet = self.fleet
        fleet.run_until(lambda: self._has_formed(), START_TIMEOUT_US)
        if not self._has_formed():
            raise InvariantViolationError("the first start has not brought all machines together")
        end = fleet.now + length
        while fleet.now < end:
            self._run_and_check(self._rng.randint(20 * MS, 600 * MS))
            self._act(self._rng.random())
        last = fleet.now + LAST_FAULTS_US
        while fleet.now < min(max(self.fault_injector.quiet_from, fleet.now + 1 * S), last):
            self._run_and_check(200 * MS)
        fleet.heal()
        self._run_and_check(RECOVERY_US)
        self._check_caught_up()
        self.operators.check_end()

    def _act(self, drawn: float) -> None:
        if drawn < 0.40:
            self.operators.change()
        elif drawn < 0.48:
            self.operators.race()
        elif drawn < 0.53:
            self.operators.resend_old()
        elif drawn < 0.78:
            self.operators.read()
        elif drawn < 0.85:
            self.workers.drain(self._rng)
        else:
            self.fault_injector.inject()

    def _run_and_check(self, duration: int) -> None:
        """Let time pass, and look at the routers all the while."""
        end = self.fleet.now + duration
        while self.fleet.now < end:
            self.fleet.run(min(50 * MS, end - self.fleet.now))
            for router in self.routers:
                router.check(self.operators, self.workers)

    def _has_formed(self) -> bool:
        return has_formed(self.fleet, self._voter_count)

    def _check_caught_up(self) -> None:
        """All that stand, also those that came back or are new, hold what the leader holds."""
        leader = self.fleet.leader
        if leader is None:
            raise InvariantViolationError("nobody leads though all is well")
        standing = {machine.engine.identity for machine in self.fleet.alive}
        gone = set(leader.engine.raft.voters) - standing
        if gone:
            raise InvariantViolationError(f"{min(gone)} is still listed {RECOVERY_US / S:.0f} s after all")
        digests = {
            machine.engine.registry.digest
            for machine in self.fleet.alive
            if machine.address not in self.fleet.observers
        }
        if len(digests) > 1:
            raise InvariantViolationError("control processes know different workers though all is well")
        for machine in self.fleet.alive:
            if machine.address in self.fleet.observers:
                continue
            record = machine.engine.raft
            if record.commit_index < leader.engine.raft.commit_index or not record.is_voter:
                raise InvariantViolationError(
                    f"{machine.address} has not caught up {RECOVERY_US / S:.0f} s after all"
                )

    def result(self) -> HistoryResult:
        """Totals so far."""
        return HistoryResult(
            changes=self.operators.changes,
            reads=self.operators.reads,
            drains=len(self.workers.acknowledged),
            orders=len(self.orders.given),
            messages=self.fleet.messages,
            bytes=self.fleet.network.bytes,
            simulated_us=self.fleet.now,
            faults=tuple(self.fault_injector.injected),
        )


def play(
    seed: int,
    machines: int = 3,
    tolerance: int = 1,
    length: int = 40 * S,
    skipped: frozenset[int] = frozenset(),
    injected: frozenset[int] | None = None,
) -> HistoryResult:
    """Run one history. `skipped`: numbers of faults that are drawn and not injected; `injected`: of those
    that are, without all others.

    Raises:
        InvariantViolationError: a rule was broken; `faults` lists those that were injected.
    """
    if injected is not None:
        skipped = frozenset(range(MAX_FAULTS)) - injected
    history = History(seed, machines, tolerance, skipped)
    try:
        history.play(length)
    except InvariantViolationError as error:
        error.faults = tuple(history.fault_injector.injected)
        raise
    return history.result()


def shrink(seed: int, machines: int = 3, tolerance: int = 1) -> tuple[str, tuple[Fault, ...]]:
    """The rule that a seed breaks, and the fewest faults found that still break one.

    Skips one fault after the other, as long as a rule is still broken without it.

    Raises:
        ValueError: the seed breaks no rule.
    """
    broken = _broken(seed, machines, tolerance, frozenset())
    if broken is None:
        raise ValueError(f"seed {seed} breaks no rule")
    skipped: frozenset[int] = frozenset()
    smaller = True
    while smaller:
        smaller = False
        for fault in reversed(broken.faults):
            fewer = _broken(seed, machines, tolerance, skipped | {fault.number})
            if fewer is not None:
                broken = fewer
                skipped = skipped | {fault.number}
                smaller = True
    return str(broken), broken.faults


def _broken(
    seed: int, machines: int, tolerance: int, skipped: frozenset[int]
) -> InvariantViolationError | None:
    try:
        play(seed, machines, tolerance, skipped=skipped)
    except InvariantViolationError as error:
        return error
    return None
