"""Histories: a seed, a fleet, its operators, routers and workers under faults; and their shrinking."""

from __future__ import annotations

import random
from dataclasses import dataclass

from benchmarks.control.faults import SYNC, Fault, Trouble
from benchmarks.control.fleet import BrokenRuleError, Fleet, whole
from benchmarks.control.network import MS, S
from benchmarks.control.observers import Orders, Router, Workers
from benchmarks.control.operators import Operators

CHANCE = 0x3000000
FIRST_START = 10 * S  # in which all machines must have come together
LAST_FAULTS = 22 * S  # after the last fault was drawn, until all of them are over
RECOVERY = 12 * S  # from when all are back until all is well
ROUTERS = 2


@dataclass(slots=True, frozen=True)
class Played:
    """What a history came to."""

    changes: int
    reads: int
    drains: int
    orders: int
    messages: int
    bytes: int
    faults: tuple[Fault, ...]


class History:
    """One seed's."""

    def __init__(self, seed: int, machines: int, tolerance: int, left_out: frozenset[int]) -> None:
        self._chance = random.Random(seed ^ CHANCE)
        observers = self._chance.choice((0, 0, 1))
        self._counted = machines
        self.fleet = Fleet(seed, machines + observers, tolerance, observers=observers)
        self.operators = Operators(self.fleet)
        self.workers, self.orders = Workers(self.fleet), Orders(self.fleet)
        self.trouble = Trouble(self.fleet, self.operators, self.workers, left_out)
        self.routers = [Router(self.fleet, number) for number in range(ROUTERS)]
        self.orders.begin()

    def play(self, length: int) -> None:
        """BrokenRuleError: what must hold did not."""
        fleet = self.fleet
        fleet.until(lambda: self._together(), FIRST_START)
        if not self._together():
            raise BrokenRuleError("the first start has not brought all machines together")
        end = fleet.now + length
        while fleet.now < end:
            self._pass(self._chance.randint(20 * MS, 600 * MS))
            self._act(self._chance.random())
        last = fleet.now + LAST_FAULTS
        while fleet.now < min(max(self.trouble.calm_from, fleet.now + 1 * S), last):
            self._pass(200 * MS)
        fleet.heal()
        self._pass(RECOVERY)
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
            self.workers.drain(self._chance)
        else:
            self.trouble.strike()

    def _pass(self, duration: int) -> None:
        """Let time pass, and look at the routers all the while."""
        end = self.fleet.now + duration
        while self.fleet.now < end:
            self.fleet.run(min(50 * MS, end - self.fleet.now))
            for router in self.routers:
                router.check(self.operators, self.workers)

    def _together(self) -> bool:
        return whole(self.fleet, self._counted)

    def _check_caught_up(self) -> None:
        """All that stand, also those that came back or are new, hold what the leader holds."""
        leader = self.fleet.leader
        if leader is None:
            raise BrokenRuleError("nobody leads though all is well")
        standing = {machine.engine.identity for machine in self.fleet.alive}
        gone = set(leader.engine.raft.voters) - standing
        if gone:
            raise BrokenRuleError(f"{min(gone)} is still listed {RECOVERY / S:.0f} s after all")
        digests = {
            machine.engine.registry.digest
            for machine in self.fleet.alive
            if machine.address not in self.fleet.observers
        }
        if len(digests) > 1:
            raise BrokenRuleError("control processes know different workers though all is well")
        for machine in self.fleet.alive:
            if machine.address in self.fleet.observers:
                continue
            record = machine.engine.raft
            if record.commit < leader.engine.raft.commit or not record.is_voter:
                raise BrokenRuleError(f"{machine.address} has not caught up {RECOVERY / S:.0f} s after all")

    def result(self) -> Played:
        """What it came to."""
        return Played(
            changes=self.operators.changes,
            reads=self.operators.reads,
            drains=len(self.workers.acknowledged),
            orders=len(self.orders.given),
            messages=self.fleet.messages,
            bytes=self.fleet.network.bytes,
            faults=tuple(self.trouble.struck),
        )


def play(
    seed: int,
    machines: int = 3,
    tolerance: int = 1,
    length: int = 40 * S,
    left_out: frozenset[int] = frozenset(),
) -> Played:
    """One history. BrokenRuleError: what must hold did not; `faults` of it are those that struck."""
    history = History(seed, machines, tolerance, left_out)
    try:
        history.play(length)
    except BrokenRuleError as error:
        error.faults = tuple(history.trouble.struck)
        raise
    return history.result()


def shrink(seed: int, machines: int = 3, tolerance: int = 1) -> tuple[str, tuple[Fault, ...]]:
    """The rule that a seed breaks, and the fewest faults found that still break one, leaving out one after
    the other as long as one is left out. ValueError: the seed breaks none."""
    broken = _broken(seed, machines, tolerance, frozenset())
    if broken is None:
        raise ValueError(f"seed {seed} breaks no rule")
    left_out: frozenset[int] = frozenset()
    smaller = True
    while smaller:
        smaller = False
        for fault in reversed(broken.faults):
            fewer = _broken(seed, machines, tolerance, left_out | {fault.number})
            if fewer is not None:
                broken, left_out, smaller = fewer, left_out | {fault.number}, True
    return str(broken), broken.faults


def _broken(seed: int, machines: int, tolerance: int, left_out: frozenset[int]) -> BrokenRuleError | None:
    try:
        play(seed, machines, tolerance, left_out=left_out)
    except BrokenRuleError as error:
        return error
    return None


__all__ = ["SYNC", "Played", "play", "shrink"]
