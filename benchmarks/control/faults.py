"""Injects faults into control machines, their links, disks and clocks, also several at a time.

At most `tolerance` machines are faulty at a time. Only the kinds in `BEYOND_TOLERANCE` exceed that: they may
make the cluster unavailable for a while, but must not lose acknowledged data or make a read return an older
state. The number of machines that have lost their disk and have not caught up since never exceeds the
tolerance.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control.fleet import DEFAULT_SYNC_US, Fleet, Machine
from benchmarks.control.leaving_workers import LEAVE_PERIOD_US, LeavingWorkers
from benchmarks.control.network import MS, S
from benchmarks.control.observers import DrainingWorkers
from benchmarks.control.operators import Operators
from hazelbend.control.workers import WorkerRecord

RESYNC_US = 4 * S  # from the restart of a machine until it counts as available
RNG_SALT = 0x2000000  # separates these random numbers from those of the other components
SLOW_LINK_BYTES_PER_S = 625_000
SLOW_DISK_FACTOR = 30  # by which a sync takes longer
STORM_CHANGES = 150  # in a burst, of which every third has a large body
STORM_GAP_US = 40 * MS  # between two changes
LARGE_BODY_BYTES = 20_000  # random bytes, in hex, which do not compress to less
BUSY_US = 4 * S  # duration of changes at short intervals, during the loss of a machine
BUSY_GAPS_US = (5 * MS, 20 * MS, 50 * MS, 90 * MS, 150 * MS)  # between two changes
RECONNECT_US = 400 * MS  # from the start of a process, until its peers have connected to it at the latest
SHORT_RESTART_US = 200 * MS  # from a kill to the start, too short for the peers to miss a hello
HUGE_BODY_BYTES = 1_400_000  # random bytes: 2.8 MB in hex, 1.4 MB compressed


@dataclass(slots=True, frozen=True)
class Fault:
    """One injected fault. Times are microseconds."""

    number: int
    kind: str
    machine: str
    at: int
    duration: int

    def __str__(self) -> str:
        return (
            f"#{self.number} {self.kind} {self.machine} at {self.at / S:.2f} s for {self.duration / S:.2f} s"
        )


class FaultInjector:
    """Draws random faults and injects them. The method `_KIND` injects the fault of that kind."""

    SINGLE_MACHINE = ("kill", "power", "wipe", "freeze", "cut", "one_way", "stall", "full", "replace",
                      "long_cut", "slow_link", "slow_disk", "stale_answers", "sync_errors")  # fmt: skip
    WHOLE_FLEET = ("kill_all", "wipe_after_ack", "power_after_ack", "clocks", "seeds", "late_frames",
                   "lost_answers", "storm", "huge_bodies", "busy_leader", "doubled_calls",
                   "power_after_worker_ack", "kill_after_worker_ack", "late_heartbeat")  # fmt: skip
    BEYOND_TOLERANCE = ("halves", "overlap", "behind")
    KINDS = SINGLE_MACHINE + WHOLE_FLEET + BEYOND_TOLERANCE

    def __init__(
        self,
        fleet: Fleet,
        operators: Operators,
        workers: DrainingWorkers,
        leaving: LeavingWorkers,
        skipped: frozenset[int],
    ) -> None:
        """`skipped`: the numbers, in the order of drawing, of faults that are drawn but not injected."""
        self.fleet = fleet
        self.operators = operators
        self.workers = workers
        self.leaving = leaving
        self._skipped = skipped
        self._random = random.Random(fleet.seed ^ RNG_SALT)
        self._next_number = 0
        self.injected: list[Fault] = []
        self._lost_until: dict[str, int] = {}
        self._wiped: set[str] = set()  # addresses of machines that have not caught up since
        self.effects_end_at = 0  # when the effects of all injected faults have ended

    def inject(self) -> None:
        """Draw one fault, and inject it if the tolerance permits it now."""
        fleet = self.fleet
        number = self._next_number
        self._next_number += 1
        kind = self._random.choice(self.KINDS)
        targets_leader = self._random.random() < 0.5
        victim_position = self._random.random()
        duration = self._random.randint(200 * MS, 3 * S)
        if kind in ("long_cut", "halves"):
            duration = self._random.randint(3 * S, 20 * S)
        if number in self._skipped:
            return
        healthy = [
            machine
            for machine in self._quorum_machines()
            if machine.engine is not None and not self._is_lost(machine)
        ]
        lost = [machine for machine in self._quorum_machines() if self._is_lost(machine)]
        if not healthy or (kind not in self.BEYOND_TOLERANCE and len(lost) >= fleet.tolerance):
            return
        leader = fleet.leader
        victim = (
            leader
            if leader is not None and targets_leader and leader in healthy
            else healthy[int(victim_position * len(healthy))]
        )
        if kind in ("wipe", "wipe_after_ack", "replace", "behind") and not self._may_lose_disk():
            return
        self.injected.append(Fault(number, kind, victim.address, fleet.now, duration))
        if kind in self.SINGLE_MACHINE:
            self._lost_until[victim.address] = fleet.now + duration + RESYNC_US + 1 * S
        self.effects_end_at = max(self.effects_end_at, fleet.now + duration + 2 * S)
        getattr(self, f"_{kind}")(victim, duration)

    def _quorum_machines(self) -> list[Machine]:
        machines = self.fleet.machines.values()
        return [
            machine
            for machine in machines
            if not machine.removed and machine.address not in self.fleet.observers
        ]

    def _is_lost(self, machine: Machine) -> bool:
        return self._lost_until.get(machine.address, 0) > self.fleet.now

    def _may_lose_disk(self) -> bool:
        """Whether the tolerance permits another disk loss.

        A machine that lost its disk earlier counts until it is a voter again and has caught up with the
        leader.
        """
        leader = self.fleet.leader
        if leader is None:
            return False
        raft = leader.engine.raft
        for address in list(self._wiped):
            engine = self.fleet.machines[address].engine
            is_voter = engine is not None and engine.identity in raft.persistent.voters_at(raft.commit_index)
            if is_voter and engine.raft.commit_index >= raft.commit_index:
                self._wiped.discard(address)
        removed_voters = [voter for voter in raft.voters if voter.rpartition("@")[2] in self._removed()]
        return len(self._wiped) + len(removed_voters) < self.fleet.tolerance

    def _removed(self) -> set[str]:
        return {address for address, machine in self.fleet.machines.items() if machine.removed}

    # --- faults of a single machine ---

    def _kill(self, victim: Machine, duration: int) -> None:
        self.fleet.kill(victim.address)
        self.fleet.call_later(duration, lambda: self.fleet.start(victim.address))

    _power = _kill  # the same effect: a pending save is lost completely, because sqlite's commits are atomic

    def _wipe(self, victim: Machine, duration: int) -> None:
        self._wiped.add(victim.address)
        self.fleet.wipe(victim.address)
        self.fleet.call_later(duration, lambda: self.fleet.start(victim.address))

    def _replace(self, victim: Machine, duration: int) -> None:
        self._wiped.add(self.fleet.replace(victim.address))

    def _freeze(self, victim: Machine, duration: int) -> None:
        """The process is paused."""
        self.fleet.freeze(victim.address, duration)

    def _cut(self, victim: Machine, duration: int) -> None:
        self.fleet.network.isolate([victim.address], self.fleet.machines)
        self.fleet.call_later(duration, self.fleet.heal)

    _long_cut = _cut  # lasts long enough for changes on both sides

    def _one_way(self, victim: Machine, duration: int) -> None:
        """All frames that the machine sends are lost; it still receives frames."""
        for other in self.fleet.machines:
            if other != victim.address:
                self.fleet.partition(victim.address, other, both_ways=False)
        self.fleet.call_later(duration, self.fleet.heal)

    def _stall(self, victim: Machine, duration: int) -> None:
        """Saves that start during this time end only after it."""
        victim.disk.stalled_until = self.fleet.now + duration

    def _full(self, victim: Machine, duration: int) -> None:
        """The disk is full: all saves fail."""
        disk = victim.disk
        disk.full = True

        def free_space() -> None:
            disk.full = False

        self.fleet.call_later(duration, free_space)

    def _sync_errors(self, victim: Machine, duration: int) -> None:
        """Syncs report errors; the state may be stored or not."""
        disk = victim.disk
        disk.sync_errors = True

        def clear_errors() -> None:
            disk.sync_errors = False

        self.fleet.call_later(duration, clear_errors)

    def _slow_link(self, victim: Machine, duration: int) -> None:
        self.fleet.network.slow(victim.address, SLOW_LINK_BYTES_PER_S)
        self.fleet.call_later(duration, self.fleet.heal)

    def _slow_disk(self, victim: Machine, duration: int) -> None:
        disk, default_sync_us = victim.disk, victim.disk.sync_us
        disk.sync_us = default_sync_us * SLOW_DISK_FACTOR

        def restore() -> None:
            disk.sync_us = default_sync_us

        self.fleet.call_later(duration, restore)

    def _stale_answers(self, victim: Machine, duration: int) -> None:
        """A process starts, announces a drain, and restarts before the acknowledgements arrive. They arrive
        at its next incarnation, which has just announced another drain and is partitioned.
        """
        fleet = self.fleet
        address = victim.address

        def restart() -> None:
            fleet.kill(address)
            fleet.start(address)

        def hold_answers() -> None:
            fleet.network.hold(address, fleet.now + 25 * MS, fleet.now + 1_105 * MS)

        def isolate_and_drain() -> None:
            fleet.network.isolate([address], fleet.machines)
            self.workers.drain(self._random, address)

        restart()
        fleet.call_later(695 * MS, hold_answers)
        fleet.call_later(700 * MS, lambda: self.workers.drain(self._random, address))
        fleet.call_later(730 * MS, restart)
        fleet.call_later(1_795 * MS, isolate_and_drain)
        fleet.call_later(2 * S + duration, fleet.heal)
        self._lost_until[address] = fleet.now + 2 * S + duration + RESYNC_US + 1 * S
        self.effects_end_at = max(self.effects_end_at, fleet.now + duration + 4 * S)

    # --- faults of the whole fleet, within the tolerance ---

    def _kill_all(self, victim: Machine, duration: int) -> None:
        """Kill all processes, also those that do not count for the quorum."""
        for machine in self.fleet.alive:
            self.fleet.kill(machine.address)
            self.fleet.call_later(duration, lambda address=machine.address: self.fleet.start(address))

    def _power_after_ack(self, victim: Machine, duration: int) -> None:
        """All machines lose power within 3 ms of an acknowledgement."""
        self._after_ack(lambda: self._kill_all(victim, duration))

    def _wipe_after_ack(self, victim: Machine, duration: int) -> None:
        """The leader loses its disk within 3 ms of an acknowledgement, and all other machines lose power."""

        def inject_losses() -> None:
            leader = self.fleet.leader or victim
            if not self._may_lose_disk():
                return
            self._lost_until[leader.address] = self.fleet.now + duration + RESYNC_US + 1 * S
            self._wipe(leader, duration)
            self._kill_all(leader, duration)
            self.effects_end_at = max(self.effects_end_at, self.fleet.now + duration + 2 * S)

        self._after_ack(inject_losses)

    def _after_ack(self, inject_losses: Callable[[], None]) -> None:
        delay = self._random.randint(0, 3 * MS)
        self.operators.on_ack = lambda: self.fleet.call_later(delay, inject_losses)
        self.operators.change()

    def _power_after_worker_ack(self, victim: Machine, duration: int) -> None:
        """All machines, those of the routers too, lose power within 3 ms of a deregistration's
        acknowledgement. All disks are slow until then, so that a save which nobody waits for is lost.
        """
        disks = [machine.disk for machine in self._quorum_machines()]
        for disk in disks:
            disk.sync_us = DEFAULT_SYNC_US * SLOW_DISK_FACTOR

        def lose_power() -> None:
            for disk in disks:
                disk.sync_us = DEFAULT_SYNC_US
            self.fleet.lose_power(duration)
            self.effects_end_at = max(self.effects_end_at, self.fleet.now + duration + 2 * S)

        self._after_worker_ack(lose_power)

    def _kill_after_worker_ack(self, victim: Machine, duration: int) -> None:
        """One process is killed within 3 ms of a deregistration's acknowledgement and is back at once."""

        def kill() -> None:
            if victim.engine is None:
                return
            self._lost_until[victim.address] = self.fleet.now + RESYNC_US + 1 * S
            self.fleet.kill(victim.address)
            self.fleet.call_later(SHORT_RESTART_US, lambda: self.fleet.start(victim.address))

        self._after_worker_ack(kill)

    def _after_worker_ack(self, inject_losses: Callable[[], None]) -> None:
        delay = self._random.randint(0, 3 * MS)
        self.leaving.on_ack = lambda last_heartbeat: self.fleet.call_later(delay, inject_losses)

    def _late_heartbeat(self, victim: Machine, duration: int) -> None:
        """One process is down while a deregistration is acknowledged. It starts again, and the worker's last
        heartbeat arrives there, partly before its peers have connected to it.
        """
        fleet = self.fleet
        address = victim.address
        connected_after = self._random.randint(0, RECONNECT_US)
        late_us = self._random.randint(0, 2 * RECONNECT_US)

        def start(last_heartbeat: WorkerRecord) -> None:
            if victim.engine is not None or victim.removed:
                return
            fleet.start(address)
            fleet.network.hold(address, fleet.now + connected_after, fleet.now + connected_after)
            fleet.call_later(late_us, lambda: self.leaving.deliver_late_heartbeat(address, last_heartbeat))

        fleet.kill(address)
        self.leaving.on_ack = start
        self._lost_until[address] = fleet.now + LEAVE_PERIOD_US + RESYNC_US + 1 * S
        fleet.call_later(2 * LEAVE_PERIOD_US, lambda: fleet.start(address))

    def _clocks(self, victim: Machine, duration: int) -> None:
        """The wall clocks jump backward or forward."""
        for machine in self.fleet.machines.values():
            machine.clock_offset = self._random.choice((-2.0, 0.0, 2.0, 3_600.0))

    def _seeds(self, victim: Machine, duration: int) -> None:
        """The settings file lists other seeds from now on; one machine restarts with them."""
        remaining = [machine.address for machine in self.fleet.machines.values() if not machine.removed]
        self.fleet.replaced_seeds = tuple(self._random.sample(remaining, min(3, len(remaining))))
        self._lost_until[victim.address] = self.fleet.now + duration + RESYNC_US + 1 * S
        self._kill(victim, duration)

    def _late_frames(self, victim: Machine, duration: int) -> None:
        """Some frames arrive seconds later, at whatever incarnation runs then."""
        self.fleet.network.late_fraction = 0.05

        def stop() -> None:
            self.fleet.network.late_fraction = 0.0

        self.fleet.call_later(duration, stop)

    def _lost_answers(self, victim: Machine, duration: int) -> None:
        """Most answers do not reach the operators, which then resend their changes."""
        self.operators.lost_answer_fraction = 0.7

        def stop() -> None:
            self.operators.lost_answer_fraction = 0.0

        self.fleet.call_later(duration, stop)

    def _doubled_calls(self, victim: Machine, duration: int) -> None:
        """Each change arrives twice, at any two machines, up to seconds apart."""
        self.operators.duplicates_calls = True

        def stop() -> None:
            self.operators.duplicates_calls = False

        self.fleet.call_later(duration, stop)

    def _storm(self, victim: Machine, duration: int) -> None:
        self._send_changes(STORM_CHANGES, LARGE_BODY_BYTES, STORM_GAP_US)

    def _huge_bodies(self, victim: Machine, duration: int) -> None:
        self._send_changes(4, HUGE_BODY_BYTES, 600 * MS)

    def _send_changes(self, changes: int, size: int, gap: int) -> None:
        """Send many changes in the background; every third has a body of this size."""

        def send_next(remaining_changes: int) -> None:
            self.operators.body_bytes = size if remaining_changes % 3 == 0 else 0
            self.operators.change()
            self.operators.body_bytes = 0
            if remaining_changes > 1:
                self.fleet.call_later(gap, lambda: send_next(remaining_changes - 1))

        self.effects_end_at = max(self.effects_end_at, self.fleet.now + changes * gap + 2 * S)
        send_next(changes)

    def _busy_leader(self, victim: Machine, duration: int) -> None:
        """Changes arrive at intervals around a heartbeat while a machine is replaced, wiped or partitioned.

        The leader must stay confirmed, because its routers would otherwise consider themselves partitioned,
        and the voter must be replaced.
        """
        gap = self._random.choice(BUSY_GAPS_US)
        inject_fault = self._random.choice((self._replace, self._wipe, self._cut))
        loses_disk = inject_fault != self._cut
        self._send_changes(BUSY_US // gap, 0, gap)
        if victim is self.fleet.leader or (loses_disk and not self._may_lose_disk()):
            return
        self._lost_until[victim.address] = self.fleet.now + BUSY_US + RESYNC_US
        inject_fault(victim, BUSY_US // 2)

    # --- faults beyond the tolerance ---

    def _halves(self, victim: Machine, duration: int) -> None:
        """Half of the machines that count for the quorum are partitioned from the others."""
        quorum_machines = [machine.address for machine in self._quorum_machines()]
        self._random.shuffle(quorum_machines)
        half = quorum_machines[: len(quorum_machines) // 2]
        self.fleet.network.isolate(half, [address for address in quorum_machines if address not in half])
        self.fleet.call_later(duration, self.fleet.heal)

    def _overlap(self, victim: Machine, duration: int) -> None:
        """Several machines at once are killed, frozen or partitioned; they keep their disks."""
        quorum_machines = self._quorum_machines()
        self._random.shuffle(quorum_machines)
        for machine in quorum_machines[: self._random.randint(2, max(len(quorum_machines) - 1, 2))]:
            inject_fault = self._random.choice((self._kill, self._freeze, self._cut))
            if machine.engine is not None:
                inject_fault(machine, self._random.randint(200 * MS, duration))

    def _behind(self, victim: Machine, duration: int) -> None:
        """A partitioned machine misses changes. Then another loses its disk, the rest are killed, and the
        partition heals.
        """
        quorum_machines = [
            machine
            for machine in self._quorum_machines()
            if machine is not victim and machine.engine is not None
        ]
        if len(quorum_machines) < 2:
            return
        self.fleet.network.isolate([victim.address], self.fleet.machines)
        for number in range(4):
            self.fleet.call_later(number * 300 * MS, self.operators.change)

        def inject_losses() -> None:
            if not self._may_lose_disk():
                self.fleet.heal()
                return
            self._wipe(quorum_machines[0], 200 * MS)
            for machine in quorum_machines[1:]:
                if machine.engine is not None:
                    self._kill(machine, duration)
            self.fleet.heal()

        self.effects_end_at = max(self.effects_end_at, self.fleet.now + duration + 4 * S)
        self.fleet.call_later(1_500 * MS, inject_losses)
