"""A fleet of control processes on a simulated clock, network and disk: real engines; a seed, a history."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.control.network import MS, Network, S
from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.control import engine as ce
from hazelbend.control import messages as m
from hazelbend.control import outputs as co
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import WorkerRecord

HEARTBEAT = 1_200 * MS


class BrokenRuleError(AssertionError):
    """What must hold did not. `faults`: those that had struck."""

    faults: tuple[Any, ...] = ()


@dataclass(slots=True)
class Disk:
    """What a machine has on its disk: whole saves, in their order."""

    memory: PersistentState | None = None
    commit: int = 0
    stalled_until: int = 0
    full: bool = False
    sync: int = 1 * MS

    def save(self, parts: list[object], commit: int) -> None:
        """All of it lasts from now on."""
        old = self.memory
        memory = PersistentState("")
        if old is not None:
            for part in state_codec.whole_parts(old):
                state_codec.take(memory, part)
        for part in parts:
            state_codec.take(memory, part)
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
    waiting: dict[int, Callable[[co.CallOutcome], None]] = field(default_factory=dict)
    published: int = 0  # the version that routers were told
    confirmed_at: int | None = None  # when that version was surely the newest
    back_at: int = 0
    removed: bool = False
    clock_offset: float = 0.0  # seconds, of its time of day


class Fleet:
    """Machines, and what lies between them."""

    def __init__(
        self, seed: int, machines: int = 3, tolerance: int = 1, loss: float = 0.01, observers: int = 0
    ) -> None:
        """`observers`: so many of the machines, the last ones, have no vote."""
        self.seed, self.random = seed, random.Random(seed)
        self.now = 0
        self.tolerance = tolerance
        self.network = Network(self.random, loss)
        self.addresses = [f"10.0.{number}.1:7000" for number in range(1, machines + 1)]
        self.machines = {address: Machine(address, Disk()) for address in self.addresses}
        self.observers = set(self.addresses[machines - observers :])
        self.exchanged_seeds: tuple[str, ...] = ()  # what settings files that are written now name
        self.on_publish: list[Callable[[Machine, StoredConfig], None]] = []
        self.on_worker_news: list[Callable[[Machine, list[WorkerRecord]], None]] = []
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
        settings = ControlSettings(
            address=address,
            seeds=self.seeds,
            counts_for_quorum=address not in self.observers,
            may_bootstrap=bootstrap,
            tolerance=self.tolerance,
            heartbeat_us=HEARTBEAT,
            lease_us=3 * S,
        )
        stored = machine.disk.memory
        memory = None
        if stored is not None:
            memory = PersistentState("")
            for part in state_codec.whole_parts(stored):
                state_codec.take(memory, part)
        identity = f"{self.random.getrandbits(32):08x}@{address}"
        seed = self.random.getrandbits(32)
        machine.engine = ce.ControlEngine(
            identity, settings, seed, self.now, lambda: self.now / S + machine.clock_offset, memory
        )
        if memory is not None:
            machine.engine.raft.restore_commit(machine.disk.commit, self.now)
        machine.saving, machine.waiting = False, {}
        machine.published, machine.back_at, machine.confirmed_at = 0, self.now, None
        self._pump(machine, machine.life)

    @property
    def seeds(self) -> tuple[str, ...]:
        """What a settings file that is written now names."""
        if self.exchanged_seeds:
            return self.exchanged_seeds
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
        self.network.cut(one, other, both)

    def heal(self) -> None:
        """All links carry again."""
        self.network.heal()

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
        leading = [each for each in self.alive if each.engine.raft.settled]
        return max(leading, key=lambda each: each.engine.raft.persistent.term, default=None)

    # --- the driver, as in system/control_daemon.py ---

    def _pump(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.engine is None:
            return
        if self.now < machine.frozen_until:
            self.at(machine.frozen_until - self.now, lambda: self._pump(machine, life))
            return
        engine = machine.engine
        if self.now >= engine.next_tick_at:
            engine.tick(self.now)
        self._flush(machine)
        self.at(max(engine.next_tick_at - self.now, 1 * MS), lambda: self._pump(machine, life))

    def _flush(self, machine: Machine) -> None:
        engine = machine.engine
        if engine is None:
            return
        output = engine.take_immediate_output()
        if output.changed_workers:
            for hear in self.on_worker_news:
                hear(machine, output.changed_workers)
        for address, body in output.messages:
            self._send(machine.address, address, body)
        for outcome in output.outcomes:
            self._answer(machine, outcome)
        if machine.saving or not engine.has_durable_output:
            return
        durable = engine.take_durable_output()
        parts = state_codec.changed_parts(engine.raft)
        if not parts:
            self._say(machine, durable)
            return
        machine.saving = True
        life, commit = machine.life, engine.raft.commit
        delay = machine.disk.sync + max(machine.disk.stalled_until - self.now, 0)
        self.at(delay, lambda: self._saved(machine, life, parts, commit, durable))

    def _saved(
        self, machine: Machine, life: int, parts: list[object], commit: int, output: co.DurableOutput
    ) -> None:
        engine = machine.engine
        if machine.life != life or engine is None:
            return
        if machine.disk.full:
            engine.raft.promise_changed, engine.raft.unsaved = True, engine.raft.persistent.base
            for outcome in (*output.outcomes, *engine.discard_durable_output()):
                self._answer(machine, _unknown(outcome))
            self.at(200 * MS, lambda: self._free_to_save(machine, life))
            return
        machine.saving = False
        machine.disk.save(parts, commit)
        self._say(machine, output)
        self._flush(machine)

    def _free_to_save(self, machine: Machine, life: int) -> None:
        if machine.life == life:
            machine.saving = False
            self._flush(machine)

    def _say(self, machine: Machine, output: co.DurableOutput) -> None:
        for address, body in output.messages:
            self._send(machine.address, address, body)
        for outcome in output.outcomes:
            self._answer(machine, outcome)
        if output.config.version < machine.published:
            raise BrokenRuleError(f"{machine.address} went back to {output.config.version}")
        machine.confirmed_at = output.confirmed_at
        if output.config.version != machine.published:
            machine.published = output.config.version
            for hear in self.on_publish:
                hear(machine, output.config)

    def _answer(self, machine: Machine, outcome: co.CallOutcome) -> None:
        told = machine.waiting.pop(outcome.request_id, None)
        if told is not None:
            told(outcome)

    def _send(self, sender: str, to: str, body: m.Body) -> None:
        self.messages += 1
        if to not in self.machines:
            return
        frame = m.encode(body)
        self.network.send(
            sender, to, frame, self.now, self.at, lambda held: self._deliver(sender, to, frame, held)
        )

    def _deliver(self, sender: str, to: str, frame: bytes, held: bool = False) -> None:
        machine = self.machines[to]
        if machine.engine is None or ((sender, to) in self.network.cuts and not held):
            return
        if self.now < machine.frozen_until:
            self.at(machine.frozen_until - self.now, lambda: self._deliver(sender, to, frame, held))
            return
        machine.engine.receive(sender, m.decode(frame), self.now)
        self._flush(machine)

    # --- calls ---

    def put(
        self, address: str, base: int, version: int, body: bytes, told: Callable[[ChangeResult | None], None]
    ) -> None:
        """An operator's change at this machine; `told` hears the outcome, None where it is not known."""

        def answered(outcome: co.CallOutcome) -> None:
            assert isinstance(outcome, co.PutOutcome)
            told(outcome.result)

        self._ask(address, lambda engine: engine.put_config(base, version, body, self.now), answered, told)

    def read(self, address: str, told: Callable[[StoredConfig | None], None]) -> None:
        """A read at this machine."""

        def answered(outcome: co.CallOutcome) -> None:
            assert isinstance(outcome, co.ReadOutcome)
            told(outcome.config)

        self._ask(address, lambda engine: engine.read_config(self.now), answered, told)

    def worker(self, address: str, record: WorkerRecord, told: Callable[[bool], None]) -> None:
        """A worker's heartbeat at this machine; `told` hears whether it was acknowledged."""

        def answered(outcome: co.CallOutcome) -> None:
            assert isinstance(outcome, co.AnnouncementOutcome)
            told(outcome.acknowledged)

        machine = self.machines[address]
        if machine.engine is None or self.now < machine.frozen_until:
            told(False)
            return
        number = machine.engine.handle_heartbeat(record, self.now)
        if number is None:
            told(True)
        else:
            machine.waiting[number] = answered
        self._flush(machine)

    def _ask(
        self,
        address: str,
        call: Callable[[ce.ControlEngine], int | None],
        answered: Callable[[co.CallOutcome], None],
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


def _unknown(outcome: co.CallOutcome) -> co.CallOutcome:
    if isinstance(outcome, co.PutOutcome):
        return co.PutOutcome(outcome.request_id, None)
    if isinstance(outcome, co.ReadOutcome):
        return co.ReadOutcome(outcome.request_id, None)
    return outcome


def whole(fleet: Fleet, machines: int) -> bool:
    """Whether so many vote, and all of them know."""
    records = [each.engine.raft for each in fleet.alive if each.address not in fleet.observers]
    known = [len(each.persistent.voters_at(each.commit)) for each in records]
    return fleet.leader is not None and known == [machines] * machines
