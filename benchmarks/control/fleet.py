"""Simulates a fleet of control processes: real engines on a simulated clock, network and disk.

The same seed gives the same history. Times are microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.control.network import MS, Network, S
from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.control import engine as control_engine
from hazelbend.control import messages as m
from hazelbend.control import outputs
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig
from hazelbend.control.settings import ControlSettings
from hazelbend.control.worker_recovery import HeartbeatRejectedError
from hazelbend.control.workers import WorkerRecord, WorkerStateChange

HEARTBEAT_US = 1_200 * MS
DEFAULT_SYNC_US = 1 * MS
CONTACT_US = 3 * S  # without a disturbance, until machines count as in touch
SOFT_STATE_PERIOD_US = 1_500 * MS  # as in `system.soft_state_saver`
SAVED_DESPITE_ERROR_FRACTION = 0.5  # of the saves with a sync error: their state is stored nevertheless


class InvariantViolationError(AssertionError):
    """An invariant of the system was violated. `faults`: the faults that were injected before."""

    faults: tuple[Any, ...] = ()


@dataclass(slots=True)
class Disk:
    """The simulated disk of a machine. Saves are atomic and in order."""

    persistent: PersistentState | None = None
    commit_index: int = 0  # the highest one that was saved
    workers: dict[str, WorkerRecord] = field(default_factory=dict)  # by instance
    soft_workers: tuple[WorkerRecord, ...] = ()  # all workers, as they were when the soft state was saved
    stalled_until: int = 0  # a save that starts during a stall ends only after this time
    full: bool = False
    sync_errors: bool = False  # each save fails, but its state may be stored or not
    sync_us: int = DEFAULT_SYNC_US
    random: random.Random = field(default_factory=lambda: random.Random(0))

    def save_fails(self, records: list[object], commit_index: int) -> bool:
        """Whether the save fails. On a sync error, this method stores the state in a part of the cases."""
        if self.sync_errors and self.random.random() < SAVED_DESPITE_ERROR_FRACTION:
            self.save(records, commit_index)
        return self.full or self.sync_errors

    def save(self, records: list[object], commit_index: int) -> None:
        """Store the changed records and the commit index."""
        state_records = []
        for record in records:
            if isinstance(record, WorkerStateChange):
                self._save_worker(record)
            else:
                state_records.append(record)
        if state_records:
            self._save_state(state_records)
        self.commit_index = max(commit_index, self.commit_index)

    def _save_state(self, records: list[object]) -> None:
        old = self.persistent
        persistent = PersistentState("")
        if old is not None:
            for record in state_codec.state_records(old):
                state_codec.apply_record(persistent, record)
        for record in records:
            state_codec.apply_record(persistent, record)
        self.persistent = persistent

    def _save_worker(self, change: WorkerStateChange) -> None:
        if change.record is None:
            self.workers.pop(change.instance, None)
        else:
            self.workers[change.instance] = change.record


@dataclass(slots=True, eq=False)
class Machine:
    """One machine with a control process."""

    address: str
    disk: Disk
    engine: control_engine.ControlEngine | None = None
    incarnation: int = 0
    frozen_until: int = 0
    saving: bool = False
    pending_calls: dict[int, Callable[[outputs.CallOutcome], None]] = field(default_factory=dict)
    published_version: int = 0  # configuration version that routers have received
    confirmed_at: int | None = None  # latest time at which that version was confirmed as the newest
    started_at: int = 0
    removed: bool = False
    clock_offset: float = 0.0  # seconds, of its wall clock


class Fleet:
    """The machines, their links and the event loop."""

    def __init__(
        self, seed: int, machines: int = 3, tolerance: int = 1, loss: float = 0.01, observers: int = 0
    ) -> None:
        """`observers`: the number of machines without a vote; these are the last ones."""
        self.seed = seed
        self.random = random.Random(seed)
        self.now = 0
        self.tolerance = tolerance
        self.network = Network(self.random, loss)
        self.addresses = [f"10.0.{number}.1:7000" for number in range(1, machines + 1)]
        self.machines = {address: Machine(address, Disk()) for address in self.addresses}
        self.observers = set(self.addresses[machines - observers :])
        self.replaced_seeds: tuple[str, ...] = ()  # if not empty, the seeds in new settings files
        self.on_publish: list[Callable[[Machine, StoredConfig], None]] = []
        self.on_workers_changed: list[Callable[[Machine, list[WorkerRecord]], None]] = []
        self.on_workers_removed: list[Callable[[Machine, list[str]], None]] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._last_event_number = 0
        self.on_power_loss: list[Callable[[], None]] = []  # called when all machines lose power at once
        self.disturbed_at = 0  # the last time at which a process, link or disk was not healthy
        self.messages = 0
        # After an operator has started an epoch, the state of the lost majority is not available any more: a
        # process may then have an older version than the one it has published.
        self.operator_started_epoch = False
        for address in self.addresses:
            self.call_later(
                self.random.randrange(300 * MS), lambda address=address: self.start(address, bootstrap=True)
            )

    # --- time ---

    def call_later(self, delay: int, action: Callable[[], None]) -> None:
        """Schedule an action `delay` microseconds from now."""
        self._last_event_number += 1
        heapq.heappush(self._events, (self.now + delay, self._last_event_number, action))

    def run(self, duration: int) -> None:
        """Run all events of the next `duration` microseconds."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout: int) -> bool:
        """Run until the condition holds; returns False if it does not hold within the timeout."""
        end = self.now + timeout
        while self.now < end:
            if condition():
                return True
            self.run(10 * MS)
        return condition()

    # --- processes ---

    def start(self, address: str, *, bootstrap: bool = False) -> None:
        """Start the machine's process with the state on its disk."""
        machine = self.machines[address]
        if machine.engine is not None or machine.removed:
            return
        machine.incarnation += 1
        settings = ControlSettings(
            address=address,
            seeds=self.seeds,
            counts_for_quorum=address not in self.observers,
            may_bootstrap=bootstrap,
            tolerance=self.tolerance,
            heartbeat_us=HEARTBEAT_US,
            lease_us=3 * S,
            contact_us=CONTACT_US,
        )
        stored = machine.disk.persistent
        persistent = None
        if stored is not None:
            persistent = PersistentState("")
            for record in state_codec.state_records(stored):
                state_codec.apply_record(persistent, record)
        identity = f"{self.random.getrandbits(32):08x}@{address}"
        seed = self.random.getrandbits(32)
        machine.engine = control_engine.ControlEngine(
            identity, settings, seed, self.now, lambda: self.now / S + machine.clock_offset, persistent
        )
        if persistent is not None:
            machine.engine.raft.restore_commit_index(machine.disk.commit_index, self.now)
        machine.engine.restore_workers(tuple(machine.disk.workers.values()), self.now)
        machine.engine.restore_workers(machine.disk.soft_workers, self.now)
        machine.saving = False
        machine.pending_calls = {}
        machine.published_version = 0
        machine.started_at = self.now
        machine.confirmed_at = None
        self.disturbed_at = max(self.disturbed_at, self.now)
        self._run_engine(machine, machine.incarnation)
        self._save_soft_state_regularly(machine, machine.incarnation)

    @property
    def seeds(self) -> tuple[str, ...]:
        """The seeds in a settings file that is written now."""
        if self.replaced_seeds:
            return self.replaced_seeds
        remaining = [address for address, machine in self.machines.items() if not machine.removed]
        return tuple(remaining[:3])

    def kill(self, address: str) -> None:
        """End the process as by SIGKILL: the disk keeps everything that was saved."""
        machine = self.machines[address]
        machine.engine = None
        machine.incarnation += 1
        self.disturbed_at = max(self.disturbed_at, self.now)

    def lose_power(self, duration: int) -> None:
        """All machines lose power, those of the routers too. They return later with their disks."""
        for machine in self.alive:
            self.kill(machine.address)
            self.call_later(duration, lambda address=machine.address: self.start(address))
        for listener in self.on_power_loss:
            listener()

    def wipe(self, address: str) -> None:
        """Kill the process and replace the disk with an empty one of the same speed."""
        self.kill(address)
        self.machines[address].disk = Disk(sync_us=self.machines[address].disk.sync_us)

    def freeze(self, address: str, duration: int) -> None:
        """Pause the process; messages that arrive during the pause are handled after it."""
        self.machines[address].frozen_until = self.now + duration
        self.disturbed_at = max(self.disturbed_at, self.now + duration)

    def partition(self, one: str, other: str, *, both_ways: bool = True) -> None:
        """Drop all messages between these two machines."""
        self.network.partition(one, other, both_ways=both_ways)
        self.disturbed_at = max(self.disturbed_at, self.now)

    def heal(self) -> None:
        """Restore all links."""
        self.network.heal()
        self.disturbed_at = max(self.disturbed_at, self.now)

    def replace(self, address: str) -> str:
        """Remove a machine permanently; an empty one starts at another address one second later."""
        self.kill(address)
        self.machines[address].removed = True
        new = f"10.1.{len(self.machines) + 1}.1:7000"
        self.machines[new] = Machine(new, Disk())
        self.call_later(1 * S, lambda: self.start(new))
        return new

    def calm_us(self) -> int:
        """Microseconds for which all processes, links and disks have been healthy; to be called often."""
        links_are_healthy = not self.network.partitions and not self.network.late_fraction
        if not links_are_healthy or any(self._is_disturbed(machine) for machine in self.machines.values()):
            self.disturbed_at = max(self.disturbed_at, self.now)
        return max(self.now - self.disturbed_at, 0)

    def _is_disturbed(self, machine: Machine) -> bool:
        if machine.removed:
            return False
        disk = machine.disk
        disk_is_healthy = (
            not (disk.full or disk.sync_errors)
            and disk.stalled_until <= self.now
            and disk.sync_us <= DEFAULT_SYNC_US
        )
        is_running = machine.engine is not None and machine.frozen_until <= self.now
        return not (
            disk_is_healthy and is_running and self.network.has_normal_delay(machine.address, self.now)
        )

    @property
    def alive(self) -> list[Machine]:
        """The machines whose process is running."""
        return [machine for machine in self.machines.values() if machine.engine is not None]

    @property
    def leader(self) -> Machine | None:
        """The leader of the highest term, of those that have committed an entry in their term."""
        leaders = [machine for machine in self.alive if machine.engine.raft.has_committed_in_term]
        return max(leaders, key=lambda machine: machine.engine.raft.persistent.current_term, default=None)

    # --- the driver, as in system/control_daemon.py ---

    def _run_engine(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.engine is None:
            return
        if self.now < machine.frozen_until:
            self.call_later(machine.frozen_until - self.now, lambda: self._run_engine(machine, incarnation))
            return
        engine = machine.engine
        if self.now >= engine.next_tick_at:
            engine.tick(self.now)
        self._flush(machine)
        self.call_later(
            max(engine.next_tick_at - self.now, 1 * MS), lambda: self._run_engine(machine, incarnation)
        )

    def _flush(self, machine: Machine) -> None:
        engine = machine.engine
        if engine is None:
            return
        self._send_immediate(machine, engine.take_immediate_output())
        if machine.saving or not engine.has_durable_output:
            return
        durable = engine.take_durable_output()
        records = [*state_codec.take_changed_records(engine.raft), *engine.registry.take_unsaved_changes()]
        if not records:
            self._send_durable(machine, durable)
            self._save_commit_index_soon(machine)
            return
        machine.saving = True
        incarnation = machine.incarnation
        commit_index = engine.raft.commit_index
        delay = machine.disk.sync_us + max(machine.disk.stalled_until - self.now, 0)
        self.call_later(
            delay, lambda: self._finish_save(machine, incarnation, records, commit_index, durable)
        )

    def _finish_save(
        self,
        machine: Machine,
        incarnation: int,
        records: list[object],
        commit_index: int,
        output: outputs.DurableOutput,
    ) -> None:
        engine = machine.engine
        if machine.incarnation != incarnation or engine is None:
            return
        if machine.disk.save_fails(records, commit_index):
            engine.raft.hard_state_changed = True
            engine.raft.first_unsaved_index = engine.raft.persistent.last_included_index
            engine.registry.restore_unsaved_changes(
                [record for record in records if isinstance(record, WorkerStateChange)]
            )
            for outcome in engine.discard_durable_output(output):
                self._resolve(machine, outcome)
            self.call_later(200 * MS, lambda: self._retry_save(machine, incarnation))
            return
        machine.saving = False
        machine.disk.save(records, commit_index)
        self._send_durable(machine, output)
        self._flush(machine)
        self._save_commit_index_soon(machine)

    def _save_commit_index_soon(self, machine: Machine) -> None:
        incarnation = machine.incarnation
        engine = machine.engine
        if engine is not None and not machine.saving and engine.raft.commit_index > machine.disk.commit_index:
            self.call_later(machine.disk.sync_us, lambda: self._save_commit_index(machine, incarnation))

    def _save_commit_index(self, machine: Machine, incarnation: int) -> None:
        """Save the commit index while no other save is pending, as `system.state_persister` does."""
        disk = machine.disk
        is_idle = machine.incarnation == incarnation and not machine.saving
        if is_idle and machine.engine is not None and not disk.save_fails([], disk.commit_index):
            disk.commit_index = max(disk.commit_index, machine.engine.raft.commit_index)

    def _save_soft_state_regularly(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.engine is None:
            return
        if self.now >= machine.frozen_until and not machine.disk.full:
            machine.disk.soft_workers = machine.engine.registry.records()
        self.call_later(SOFT_STATE_PERIOD_US, lambda: self._save_soft_state_regularly(machine, incarnation))

    def _retry_save(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation == incarnation:
            machine.saving = False
            self._flush(machine)

    def _send_immediate(self, machine: Machine, output: outputs.ImmediateOutput) -> None:
        if output.expired_workers:
            for on_removed in self.on_workers_removed:
                on_removed(machine, output.expired_workers)
        if output.changed_workers:
            for listener in self.on_workers_changed:
                listener(machine, output.changed_workers)
        for address, body in output.messages:
            self._send(machine.address, address, body)
        for outcome in output.outcomes:
            self._resolve(machine, outcome)

    def _send_durable(self, machine: Machine, output: outputs.DurableOutput) -> None:
        if machine.engine is not None:
            machine.engine.confirm_saved(output)
            self._send_immediate(machine, machine.engine.take_immediate_output())
        for address, body in output.messages:
            self._send(machine.address, address, body)
        for outcome in output.outcomes:
            self._resolve(machine, outcome)
        is_behind = output.config.version < machine.published_version
        if is_behind and not self.operator_started_epoch:
            raise InvariantViolationError(
                f"{machine.address} returned to version {output.config.version} "
                f"after {machine.published_version}"
            )
        machine.confirmed_at = output.confirmed_at
        if output.config.version > machine.published_version:
            machine.published_version = output.config.version
            for listener in self.on_publish:
                listener(machine, output.config)

    def _resolve(self, machine: Machine, outcome: outputs.CallOutcome) -> None:
        on_result = machine.pending_calls.pop(outcome.request_id, None)
        if on_result is not None:
            on_result(outcome)

    def _send(self, sender: str, to: str, body: m.Body) -> None:
        self.messages += 1
        if to not in self.machines:
            return
        frame = m.encode(body)
        self.network.send(
            sender,
            to,
            frame,
            self.now,
            self.call_later,
            lambda bypasses: self._deliver(sender, to, frame, bypasses_partitions=bypasses),
        )

    def _deliver(self, sender: str, to: str, frame: bytes, *, bypasses_partitions: bool) -> None:
        machine = self.machines[to]
        if machine.engine is None or ((sender, to) in self.network.partitions and not bypasses_partitions):
            return
        if self.now < machine.frozen_until:
            self.call_later(
                machine.frozen_until - self.now,
                lambda: self._deliver(sender, to, frame, bypasses_partitions=bypasses_partitions),
            )
            return
        machine.engine.receive(sender, m.decode(frame), self.now)
        self._flush(machine)

    # --- calls ---

    def put(
        self,
        address: str,
        base: int,
        version: int,
        body: bytes,
        on_result: Callable[[ChangeResult | None], None],
    ) -> None:
        """Send an operator's change to this machine. The result is None if it is unknown."""

        def on_outcome(outcome: outputs.CallOutcome) -> None:
            assert isinstance(outcome, outputs.PutOutcome)
            on_result(outcome.result)

        self._call(
            address,
            lambda engine: engine.put_config(base, version, body, self.now),
            on_outcome,
            on_result,
        )

    def read(self, address: str, on_result: Callable[[StoredConfig | None], None]) -> None:
        """Read the configuration at this machine. The result is None if it is unknown."""

        def on_outcome(outcome: outputs.CallOutcome) -> None:
            assert isinstance(outcome, outputs.ReadOutcome)
            on_result(outcome.config)

        self._call(address, lambda engine: engine.read_config(self.now), on_outcome, on_result)

    def send_heartbeat(self, address: str, record: WorkerRecord, on_result: Callable[[bool], None]) -> None:
        """Send a worker's heartbeat to this machine. The result is whether it was acknowledged."""
        self._call_as_worker(address, lambda engine: engine.handle_heartbeat(record, self.now), on_result)

    def send_deregistration(self, address: str, instance: str, on_result: Callable[[bool], None]) -> None:
        """Send a worker's deregistration to this machine. The result is whether it was acknowledged."""
        self._call_as_worker(
            address, lambda engine: engine.handle_deregistration(instance, self.now), on_result
        )

    def _call_as_worker(
        self,
        address: str,
        call: Callable[[control_engine.ControlEngine], int | None],
        on_result: Callable[[bool], None],
    ) -> None:
        def on_outcome(outcome: outputs.CallOutcome) -> None:
            assert isinstance(outcome, outputs.AnnouncementOutcome)
            on_result(outcome.acknowledged)

        machine = self.machines[address]
        if machine.engine is None or self.now < machine.frozen_until:
            on_result(False)
            return
        try:
            request_id = call(machine.engine)
        except HeartbeatRejectedError:
            on_result(False)
            return
        if request_id is None:
            on_result(True)
        else:
            machine.pending_calls[request_id] = on_outcome
        self._flush(machine)

    def _call(
        self,
        address: str,
        call: Callable[[control_engine.ControlEngine], int | None],
        on_outcome: Callable[[outputs.CallOutcome], None],
        on_result: Callable[[None], None],
    ) -> None:
        machine = self.machines[address]
        if machine.engine is None or self.now < machine.frozen_until:
            on_result(None)
            return
        request_id = call(machine.engine)
        if request_id is None:
            on_result(None)
            return
        machine.pending_calls[request_id] = on_outcome
        self._flush(machine)


def has_formed(fleet: Fleet, machines: int) -> bool:
    """Whether the cluster has a leader, and all voters know a committed voter list of this length."""
    rafts = [machine.engine.raft for machine in fleet.alive if machine.address not in fleet.observers]
    voter_counts = [len(raft.persistent.voters_at(raft.commit_index)) for raft in rafts]
    return fleet.leader is not None and voter_counts == [machines] * machines
