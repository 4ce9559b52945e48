"""Operators, faults and checks of histories over a simulated fleet of control processes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control_fleet import MS, BrokenRuleError, Fleet, Machine, S, whole
from hazelbend.control.config_machine import ChangeResult, StoredConfig

SYNC = 4 * S  # from the return of a machine until it may be counted on
# Streams of chance of their own, so that a fault that is left out leaves the others as they were.
OPERATORS, FAULTS, SCHEDULE = 0x1000000, 0x2000000, 0x3000000
CALM = 6 * S  # without faults at the end, before all is read back


class Operators:
    """Changes and reads by several operators, and the checks of what they are told."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.acknowledged: dict[int, tuple[int, bytes]] = {}  # base and body by version
        self.newest = 0
        self.sent: dict[int, set[bytes]] = {}
        self.reads = self.changes = 0
        self._random = random.Random(fleet.seed ^ OPERATORS)
        self._version = 0
        self.on_ack: Callable[[], None] | None = None  # called once, at the next acknowledgement

    def change(self) -> None:
        """One more change, at any machine, on the newest version that is known to be taken."""
        random_ = self._random
        self._version += random_.randint(1, 3)
        body = b'{"version":%d,"by":%d}' % (self._version, random_.getrandbits(32))
        self.attempt(random_.choice(sorted(self.fleet.machines)), self.newest, self._version, body)

    def race(self) -> None:
        """Two changes on one version at two machines."""
        self._version += 1
        for _ in range(2):
            body = b'{"version":%d,"by":%d}' % (self._version, self._random.getrandbits(32))
            address = self._random.choice(sorted(self.fleet.machines))
            self.attempt(address, self.newest, self._version, body)

    def attempt(self, address: str, base: int, version: int, body: bytes, tries: int = 4) -> None:
        """Send it until it has a clear answer, to any machine, as the operator does."""
        self.sent.setdefault(version, set()).add(body)

        def told(result: ChangeResult | None) -> None:
            if result is ChangeResult.ACCEPTED:
                self._accepted(base, version, body)
            elif result is None and tries > 1:
                leader = self.fleet.leader
                to = leader.address if leader is not None else address
                self.fleet.at(300 * MS, lambda: self.attempt(to, base, version, body, tries - 1))

        self.fleet.put(address, base, version, body, told)

    def _accepted(self, base: int, version: int, body: bytes) -> None:
        known = self.acknowledged.get(version)
        if known is not None and known != (base, body):
            raise BrokenRuleError(f"two changes acknowledged as version {version}")
        rivals = [other for other, (on, _) in self.acknowledged.items() if on == base and other != version]
        if rivals:
            raise BrokenRuleError(f"versions {rivals[0]} and {version} both acknowledged on {base}")
        self.acknowledged[version] = (base, body)
        self.newest = max(self.newest, version)
        self.changes += 1
        if self.on_ack is not None:
            strike, self.on_ack = self.on_ack, None
            strike()

    def read(self, address: str | None = None) -> None:
        """A read, which must be as new as what was acknowledged before it began."""
        began_with = self.newest

        def told(config: StoredConfig | None) -> None:
            if config is None:
                return
            self.reads += 1
            if config.version < began_with:
                raise BrokenRuleError(f"read {config.version} after {began_with} was acknowledged")

        leader = self.fleet.leader
        self.fleet.read(address or (leader.address if leader is not None else self.fleet.addresses[0]), told)

    def check_end(self) -> None:
        """With all at rest: the newest acknowledged version, or a later one that was sent, is read."""
        found: list[StoredConfig] = []
        for _ in range(40):
            leader = self.fleet.leader
            if leader is not None:
                self.fleet.read(leader.address, lambda config: found.append(config) if config else None)
            self.fleet.run(200 * MS)
            if found:
                break
        if not found:
            raise BrokenRuleError("no leader answers though all is well")
        if found[-1].version < self.newest:
            raise BrokenRuleError(f"{self.newest} was acknowledged and {found[-1].version} is left")


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault that struck. Times in microseconds."""

    number: int
    kind: str
    machine: str
    at: int
    duration: int

    def __str__(self) -> str:
        return (
            f"#{self.number} {self.kind} {self.machine} at {self.at / S:.2f} s for {self.duration / S:.2f} s"
        )


class Trouble:
    """Draws faults; never more than `tolerance` machines are lost at a time."""

    KINDS = (
        "kill",
        "power",
        "wipe",
        "freeze",
        "cut",
        "one_way",
        "stall",
        "full",
        "kill_all",
        "replace",
        "wipe_after_ack",
        "power_after_ack",
    )

    def __init__(self, fleet: Fleet, operators: Operators, left_out: frozenset[int]) -> None:
        """`left_out`: numbers of faults, in their order, that do not strike."""
        self.fleet, self.operators, self._left_out = fleet, operators, left_out
        self._random = random.Random(fleet.seed ^ FAULTS)
        self._drawn = 0
        self.struck: list[Fault] = []
        self._lost_until: dict[str, int] = {}

    def strike(self) -> None:
        """One fault, if one more machine may be lost now."""
        fleet, number = self.fleet, self._drawn
        self._drawn += 1
        kind, aims, pick = self._random.choice(self.KINDS), self._random.random() < 0.5, self._random.random()
        duration = self._random.randint(200 * MS, 3 * S)
        if number in self._left_out:
            return
        standing = [each for each in fleet.machines.values() if not each.removed]
        lost = [each for each in fleet.machines.values() if self._lost_until.get(each.address, 0) > fleet.now]
        free = [each for each in standing if each not in lost and each.engine is not None]
        if len(lost) >= fleet.tolerance or not free:
            return
        leader = fleet.leader
        victim = leader if aims and leader in free else free[int(pick * len(free))]
        self.struck.append(Fault(number, kind, victim.address, fleet.now, duration))
        self._lost_until[victim.address] = fleet.now + duration + SYNC + 1 * S
        getattr(self, f"_{kind}")(victim, duration)

    def _kill(self, victim: Machine, duration: int) -> None:
        self.fleet.kill(victim.address)
        self.fleet.at(duration, lambda: self.fleet.start(victim.address))

    _power = _kill  # a save that has not ended is lost whole in both: sqlite's commits are atomic

    def _wipe(self, victim: Machine, duration: int) -> None:
        self.fleet.wipe(victim.address)
        self.fleet.at(duration, lambda: self.fleet.start(victim.address))

    def _replace(self, victim: Machine, duration: int) -> None:
        self.fleet.replace(victim.address)

    def _freeze(self, victim: Machine, duration: int) -> None:
        self.fleet.freeze(victim.address, duration)

    def _cut(self, victim: Machine, duration: int) -> None:
        for other in self.fleet.machines:
            if other != victim.address:
                self.fleet.cut(victim.address, other)
        self.fleet.at(duration, self.fleet.heal)

    def _one_way(self, victim: Machine, duration: int) -> None:
        for other in self.fleet.machines:
            if other != victim.address:
                self.fleet.cut(victim.address, other, both=False)
        self.fleet.at(duration, self.fleet.heal)

    def _stall(self, victim: Machine, duration: int) -> None:
        victim.disk.stalled_until = self.fleet.now + duration

    def _full(self, victim: Machine, duration: int) -> None:
        disk = victim.disk
        disk.full = True

        def freed() -> None:
            disk.full = False

        self.fleet.at(duration, freed)

    def _kill_all(self, victim: Machine, duration: int) -> None:
        for machine in self.fleet.alive:
            self.fleet.kill(machine.address)
            self.fleet.at(duration, lambda address=machine.address: self.fleet.start(address))

    def _power_after_ack(self, victim: Machine, duration: int) -> None:
        """All lose power within 3 ms of an acknowledgement."""
        self._after_ack(lambda: self._kill_all(victim, duration))

    def _wipe_after_ack(self, victim: Machine, duration: int) -> None:
        """The machine that has acknowledged loses its disk, and all others their power."""

        def strike() -> None:
            leader = self.fleet.leader or victim
            self._lost_until[leader.address] = self.fleet.now + duration + SYNC + 1 * S
            self.fleet.wipe(leader.address)
            self.fleet.at(duration, lambda: self.fleet.start(leader.address))
            self._kill_all(leader, duration)

        self._after_ack(strike)

    def _after_ack(self, strike: Callable[[], None]) -> None:
        delay = self._random.randint(0, 3 * MS)
        self.operators.on_ack = lambda: self.fleet.at(delay, strike)
        self.operators.change()


@dataclass(slots=True, frozen=True)
class Played:
    """What a history came to."""

    changes: int
    reads: int
    messages: int
    faults: tuple[Fault, ...]


def play(
    seed: int,
    machines: int = 3,
    tolerance: int = 1,
    length: int = 40 * S,
    left_out: frozenset[int] = frozenset(),
) -> Played:
    """One history. BrokenRuleError: what must hold did not; `faults` of it are those that struck."""
    chance = random.Random(seed ^ SCHEDULE)
    fleet = Fleet(seed, machines, tolerance)
    operators = Operators(fleet)
    trouble = Trouble(fleet, operators, left_out)
    try:
        _play(fleet, operators, trouble, chance, machines, length)
    except BrokenRuleError as error:
        error.faults = tuple(trouble.struck)
        raise
    return Played(operators.changes, operators.reads, fleet.messages, tuple(trouble.struck))


def _play(
    fleet: Fleet, operators: Operators, trouble: Trouble, chance: random.Random, machines: int, length: int
) -> None:
    fleet.until(lambda: whole(fleet, machines), 10 * S)
    if not whole(fleet, machines):
        raise BrokenRuleError("the first start has not brought all machines together")
    end = fleet.now + length
    while fleet.now < end:
        fleet.run(chance.randint(20 * MS, 600 * MS))
        drawn = chance.random()
        if drawn < 0.45:
            operators.change()
        elif drawn < 0.55:
            operators.race()
        elif drawn < 0.85:
            operators.read()
        else:
            trouble.strike()
    fleet.run(3 * S)
    fleet.heal()
    fleet.run(CALM)
    operators.check_end()


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
