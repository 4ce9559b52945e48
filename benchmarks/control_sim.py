"""Whole fleets of control processes on a simulated clock, network and disk: real engines, a seed a history.

    python -m benchmarks.control_sim --seeds 100 [--first N] [--machines 3] [--tolerance 1] [--defect NAME]

Prints one JSON line; the exit status is 1 where a rule was broken. Faults: SIGKILL, loss of power, of disks,
cuts both and one way, freezes, disks that stall or are full, lost messages. Checked: what is acknowledged is
never lost, of two changes on one version one is taken, reads are as new as what was acknowledged before they
began, nobody goes back within a life, a machine is replaced within `SYNC`.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from hazelbend.control import engine as ce
from hazelbend.control import messages as m
from hazelbend.control.config_machine import ChangeResult, StoredConfig
from hazelbend.control.workers import WorkerRecord
from hazelbend.fleet import memory_file
from hazelbend.fleet.record import Done, Memory

MS, S = 1_000, 1_000_000
SYNC = 4 * S  # from the return of a machine until it may be counted on
HEARTBEAT = 1_200 * MS
CALL_PATIENCE = 1 * S
STALE = 1_000_000  # tickets of reads that a planted defect answers without asking a majority
CALM = 6 * S  # without faults at the end, before all is read back


class BrokenRuleError(AssertionError):
    """What must hold did not."""


@dataclass(slots=True)
class Disk:
    """What a machine has on its disk: whole saves, in their order."""

    memory: Memory | None = None
    commit: int = 0
    stalled_until: int = 0
    full: bool = False
    sync: int = 1 * MS

    def save(self, parts: list[object], commit: int) -> None:
        """All of it lasts from now on."""
        old = self.memory
        memory = Memory("")
        if old is not None:
            for part in memory_file.whole_parts(old):
                memory_file.take(memory, part)
        for part in parts:
            memory_file.take(memory, part)
        self.memory, self.commit = memory, max(commit, self.commit)


@dataclass(slots=True, eq=False)
class Machine:
    """One machine with a control process."""

    address: str
    disk: Disk
    engine: ce.ControlEngine | None = None
    life: int = 0
    frozen_until: int = 0
    saving: bool = False
    waiting: dict[int, Callable[[ce.Answer], None]] = field(default_factory=dict)
    published: int = 0  # the version that routers were told
    back_at: int = 0
    removed: bool = False


class Fleet:
    """Machines, and what lies between them."""

    def __init__(self, seed: int, machines: int = 3, tolerance: int = 1, loss: float = 0.01) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.tolerance, self.loss = tolerance, loss
        self.addresses = [f"10.0.{number}.1:7000" for number in range(1, machines + 1)]
        self.machines = {address: Machine(address, Disk()) for address in self.addresses}
        self.cuts: set[tuple[str, str]] = set()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.messages = 0
        for address in self.addresses:
            self.at(self.random.randrange(300 * MS), lambda address=address: self.start(address, True))

    # --- time ---

    def at(self, delay: int, action: Callable[[], None]) -> None:
        """Do this so many microseconds from now."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, action))

    def run(self, duration: int) -> None:
        """Let so much time pass."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def until(self, holds: Callable[[], bool], most: int) -> bool:
        """Let time pass until this holds, at most so long."""
        end = self.now + most
        while self.now < end:
            if holds():
                return True
            self.run(10 * MS)
        return holds()

    # --- processes ---

    def start(self, address: str, bootstrap: bool = False) -> None:
        """A process starts with what is on the disk."""
        machine = self.machines[address]
        if machine.engine is not None or machine.removed:
            return
        machine.life += 1
        plan = ce.ControlPlan(address, self.seeds, True, bootstrap, self.tolerance, HEARTBEAT, lease=3 * S)
        stored = machine.disk.memory
        memory = None
        if stored is not None:
            memory = Memory("")
            for part in memory_file.whole_parts(stored):
                memory_file.take(memory, part)
        identity = f"{self.random.getrandbits(32):08x}@{address}"
        seed = self.random.getrandbits(32)
        machine.engine = ce.ControlEngine(identity, plan, seed, self.now, lambda: self.now / S, memory)
        if memory is not None:
            machine.engine.record.recall_commit(machine.disk.commit, self.now)
        machine.saving, machine.waiting = False, {}
        machine.published, machine.back_at = 0, self.now
        self._pump(machine, machine.life)

    @property
    def seeds(self) -> tuple[str, ...]:
        """What a settings file that is written now names."""
        standing = [address for address, machine in self.machines.items() if not machine.removed]
        return tuple(standing[:3])

    def kill(self, address: str) -> None:
        """SIGKILL: the disk keeps all that was saved."""
        machine = self.machines[address]
        machine.engine = None
        machine.life += 1

    def wipe(self, address: str) -> None:
        """Killed, and its disk is lost; its delays stay those of the machine."""
        self.kill(address)
        self.machines[address].disk = Disk(sync=self.machines[address].disk.sync)

    def freeze(self, address: str, duration: int) -> None:
        """The process stands still; what comes meanwhile is read when it wakes."""
        self.machines[address].frozen_until = self.now + duration

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Messages between these two are lost."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def heal(self) -> None:
        """All links carry again."""
        self.cuts.clear()

    def replace(self, address: str) -> str:
        """A machine is gone for good; an empty one comes at another address, a second later."""
        self.kill(address)
        self.machines[address].removed = True
        new = f"10.1.{len(self.machines) + 1}.1:7000"
        self.machines[new] = Machine(new, Disk())
        self.at(1 * S, lambda: self.start(new))
        return new

    @property
    def alive(self) -> list[Machine]:
        """Machines whose process runs."""
        return [each for each in self.machines.values() if each.engine is not None]

    @property
    def leader(self) -> Machine | None:
        """The one that leads with a commit in its term, of the highest term."""
        leading = [each for each in self.alive if each.engine.record.settled]
        return max(leading, key=lambda each: each.engine.record.memory.term, default=None)

    # --- the driver, as in system/control_daemon.py ---

    def _pump(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.engine is None:
            return
        if self.now < machine.frozen_until:
            self.at(machine.frozen_until - self.now, lambda: self._pump(machine, life))
            return
        engine = machine.engine
        if self.now >= engine.due:
            engine.tick(self.now)
        self._flush(machine)
        self.at(max(engine.due - self.now, 1 * MS), lambda: self._pump(machine, life))

    def _flush(self, machine: Machine) -> None:
        engine = machine.engine
        if engine is None:
            return
        soft = engine.take_soft()
        for address, body in soft.out:
            self._send(machine.address, address, body)
        for answer in soft.answers:
            self._answer(machine, answer)
        if machine.saving or not engine.has_to_say:
            return
        said = engine.take()
        parts = memory_file.changed_parts(engine.record)
        if not parts:
            self._say(machine, said)
            return
        machine.saving = True
        life, commit = machine.life, engine.record.commit
        delay = machine.disk.sync + max(machine.disk.stalled_until - self.now, 0)
        self.at(delay, lambda: self._saved(machine, life, parts, commit, said))

    def _saved(self, machine: Machine, life: int, parts: list[object], commit: int, said: ce.Spoken) -> None:
        engine = machine.engine
        if machine.life != life or engine is None:
            return
        if machine.disk.full:
            engine.record.promise_changed, engine.record.unsaved = True, engine.record.memory.base
            for answer in (*said.answers, *engine.drop_unsaid()):
                self._answer(machine, _unknown(answer))
            self.at(200 * MS, lambda: self._free_to_save(machine, life))
            return
        machine.saving = False
        machine.disk.save(parts, commit)
        self._say(machine, said)
        self._flush(machine)

    def _free_to_save(self, machine: Machine, life: int) -> None:
        if machine.life == life:
            machine.saving = False
            self._flush(machine)

    def _say(self, machine: Machine, said: ce.Spoken) -> None:
        for address, body in said.out:
            self._send(machine.address, address, body)
        for answer in said.answers:
            self._answer(machine, answer)
        if said.config.version < machine.published:
            raise BrokenRuleError(f"{machine.address} went back to {said.config.version}")
        machine.published = said.config.version

    def _answer(self, machine: Machine, answer: ce.Answer) -> None:
        told = machine.waiting.pop(answer.number, None)
        if told is not None:
            told(answer)

    def _send(self, sender: str, to: str, body: m.Body) -> None:
        self.messages += 1
        if to not in self.machines or (sender, to) in self.cuts or self.random.random() < self.loss:
            return
        frame = m.encode(body)
        self.at(self.random.randint(200, 3_000), lambda: self._deliver(sender, to, frame))

    def _deliver(self, sender: str, to: str, frame: bytes) -> None:
        machine = self.machines[to]
        if machine.engine is None or (sender, to) in self.cuts:
            return
        if self.now < machine.frozen_until:
            self.at(machine.frozen_until - self.now, lambda: self._deliver(sender, to, frame))
            return
        machine.engine.receive(sender, m.decode(frame), self.now)
        self._flush(machine)

    # --- calls ---

    def put(
        self, address: str, base: int, version: int, body: bytes, told: Callable[[ChangeResult | None], None]
    ) -> None:
        """An operator's change at this machine; `told` hears the outcome, None where it is not known."""

        def answered(answer: ce.Answer) -> None:
            assert isinstance(answer, ce.PutDone)
            told(answer.result)

        self._ask(address, lambda engine: engine.put(base, version, body, self.now), answered, told)

    def read(self, address: str, told: Callable[[StoredConfig | None], None]) -> None:
        """A read at this machine."""

        def answered(answer: ce.Answer) -> None:
            assert isinstance(answer, ce.ReadDone)
            told(answer.config)

        self._ask(address, lambda engine: engine.read(self.now), answered, told)

    def worker(self, address: str, record: WorkerRecord, told: Callable[[bool], None]) -> None:
        """A worker's heartbeat at this machine; `told` hears whether it was acknowledged."""

        def answered(answer: ce.Answer) -> None:
            assert isinstance(answer, ce.WorkerDone)
            told(answer.held)

        machine = self.machines[address]
        if machine.engine is None or self.now < machine.frozen_until:
            told(False)
            return
        number = machine.engine.worker_heard(record, self.now)
        if number is None:
            told(True)
        else:
            machine.waiting[number] = answered
        self._flush(machine)

    def _ask(
        self,
        address: str,
        call: Callable[[ce.ControlEngine], int | None],
        answered: Callable[[ce.Answer], None],
        told: Callable[[None], None],
    ) -> None:
        machine = self.machines[address]
        if machine.engine is None or self.now < machine.frozen_until:
            told(None)
            return
        number = call(machine.engine)
        if number is None:
            told(None)
            return
        machine.waiting[number] = answered
        self._flush(machine)


def _unknown(answer: ce.Answer) -> ce.Answer:
    if isinstance(answer, ce.PutDone):
        return ce.PutDone(answer.number, None)
    if isinstance(answer, ce.ReadDone):
        return ce.ReadDone(answer.number, None)
    return answer


class Operators:
    """Changes and reads by several operators, and the checks of what they are told."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.acknowledged: dict[int, tuple[int, bytes]] = {}  # base and body by version
        self.newest = 0
        self.sent: dict[int, set[bytes]] = {}
        self.reads = self.changes = 0
        self._version = 0
        self.on_ack: Callable[[], None] | None = None  # called once, at the next acknowledgement

    def change(self) -> None:
        """One more change, at any machine, on the newest version that is known to be taken."""
        random_ = self.fleet.random
        self._version += random_.randint(1, 3)
        body = b'{"version":%d,"by":%d}' % (self._version, random_.getrandbits(32))
        self.attempt(random_.choice(sorted(self.fleet.machines)), self.newest, self._version, body)

    def race(self) -> None:
        """Two changes on one version at two machines."""
        self._version += 1
        for _ in range(2):
            body = b'{"version":%d,"by":%d}' % (self._version, self.fleet.random.getrandbits(32))
            address = self.fleet.random.choice(sorted(self.fleet.machines))
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

    def __init__(self, fleet: Fleet, operators: Operators) -> None:
        self.fleet, self.operators = fleet, operators
        self.seen: dict[str, int] = {}
        self._lost_until: dict[str, int] = {}

    def strike(self) -> None:
        """One fault, if one more machine may be lost now."""
        fleet = self.fleet
        kind = fleet.random.choice(self.KINDS)
        standing = [each for each in fleet.machines.values() if not each.removed]
        lost = [each for each in fleet.machines.values() if self._lost_until.get(each.address, 0) > fleet.now]
        free = [each for each in standing if each not in lost and each.engine is not None]
        if len(lost) >= fleet.tolerance or not free:
            return
        leader = fleet.leader
        victim = leader if leader in free and fleet.random.random() < 0.5 else fleet.random.choice(free)
        duration = fleet.random.randint(200 * MS, 3 * S)
        self.seen[kind] = self.seen.get(kind, 0) + 1
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
        delay = self.fleet.random.randint(0, 3 * MS)
        self.operators.on_ack = lambda: self.fleet.at(delay, strike)
        self.operators.change()


@dataclass(slots=True, frozen=True)
class Played:
    """What a history came to."""

    changes: int
    reads: int
    messages: int
    faults: dict[str, int]


def play(seed: int, machines: int = 3, tolerance: int = 1, length: int = 40 * S) -> Played:
    """One history. BrokenRuleError: what must hold did not."""
    fleet = Fleet(seed, machines, tolerance)
    operators = Operators(fleet)
    trouble = Trouble(fleet, operators)
    fleet.until(lambda: whole(fleet, machines), 10 * S)
    if not whole(fleet, machines):
        raise BrokenRuleError("the first start has not brought all machines together")
    end = fleet.now + length
    while fleet.now < end:
        fleet.run(fleet.random.randint(20 * MS, 600 * MS))
        drawn = fleet.random.random()
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
    return Played(operators.changes, operators.reads, fleet.messages, trouble.seen)


def whole(fleet: Fleet, machines: int) -> bool:
    """Whether so many vote, and all of them know."""
    records = [each.engine.record for each in fleet.alive]
    known = [len(each.memory.voters_at(each.commit)) for each in records]
    return fleet.leader is not None and known == [machines] * machines


def _plant(defect: str) -> None:
    """Break the code on purpose, to see that it is found."""
    if defect == "acknowledge_before_majority":
        ce.Record._majority_holds = lambda self: self.memory.last
    elif defect == "wiped_voter_votes":
        original = Fleet.wipe

        def wipe(self: Fleet, address: str) -> None:
            memory = self.machines[address].disk.memory
            original(self, address)
            if memory is not None:
                self.machines[address].disk.memory = Memory(memory.identity, memory.epoch)

        Fleet.wipe = wipe
    elif defect == "say_before_save":
        original_flush = Fleet._flush

        def flush(self: Fleet, machine: Machine) -> None:
            engine = machine.engine
            if engine is not None and not machine.saving and engine.has_to_say:
                said = engine.take()
                self._say(machine, said)
            original_flush(self, machine)

        Fleet._flush = flush
    elif defect == "no_compare":
        from hazelbend.control import config_machine

        def apply(self: config_machine.ConfigMachine, index: int, op: bytes) -> ChangeResult:
            change = config_machine._entries.decode(op)
            self.current = StoredConfig(change.version, change.body)
            return ChangeResult.ACCEPTED

        config_machine.ConfigMachine.apply = apply
    elif defect == "stale_read":
        ce.ControlEngine.read = _stale_read
    else:
        raise SystemExit(f"no such defect: {defect}")


def _stale_read(self: ce.ControlEngine, now: int) -> int:
    self._number += 1
    self.record.done.append(Done(self._number + STALE, True))
    self._reads[self._number + STALE] = self._number
    return self._number


DEFECTS = (
    "acknowledge_before_majority",
    "wiped_voter_votes",
    "say_before_save",
    "no_compare",
    "stale_read",
)


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--tolerance", type=int, default=1)
    parser.add_argument("--defect", choices=DEFECTS)
    options = parser.parse_args()
    if options.defect:
        _plant(options.defect)
    began = time.monotonic()
    faults: dict[str, int] = {}
    broken: dict[int, str] = {}
    changes = reads = played = 0
    for seed in range(options.first, options.first + options.seeds):
        played += 1
        try:
            done = play(seed, options.machines, options.tolerance)
        except BrokenRuleError as error:
            broken[seed] = str(error)
            if options.defect:
                break
            continue
        changes, reads = changes + done.changes, reads + done.reads
        for kind, count in done.faults.items():
            faults[kind] = faults.get(kind, 0) + count
    seconds = round(time.monotonic() - began, 1)
    line = {"seeds": played, "changes": changes, "reads": reads, "faults": faults, "broken": broken}
    print(json.dumps(line | {"seconds": seconds}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
