"""Workers of a simulated fleet that deregister first and serve on, and whose last heartbeat arrives late.

A router that is in touch must not consider such a worker ready any more once its deregistration was
acknowledged, whatever restarts in between. A control process that has started after the acknowledgement must
not take the late heartbeat as that of a ready worker.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from benchmarks.control.fleet import CONTACT_US, Fleet, InvariantViolationError
from benchmarks.control.network import MS, S
from hazelbend.control.workers import WorkerRecord, WorkerState

RNG_SALT = 0x5000000
LEAVE_PERIOD_US = 2_500 * MS  # between the starts of two workers
REGISTERED_US = 1_200 * MS  # from the first heartbeat of a worker to its deregistration
RETRY_DELAY_US = 300 * MS
MAX_ATTEMPTS = 12  # of a deregistration, until the worker ends without an acknowledgement
LATE_HEARTBEAT_RANGE_US = (100 * MS, 6 * S)  # from the acknowledgement to the arrival of the last heartbeat


@dataclass(slots=True)
class LeavingWorkers:
    """All workers that deregister."""

    fleet: Fleet
    ended_at: dict[str, int] = field(default_factory=dict)  # time of the acknowledgement by instance
    on_ack: Callable[[WorkerRecord], None] | None = None  # called once, with the worker's last heartbeat
    _count: int = 0
    _has_ended: bool = False
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.fleet.seed ^ RNG_SALT)

    def begin(self) -> None:
        """Start workers periodically, until `end`."""
        if self._has_ended:
            return
        self.fleet.call_later(LEAVE_PERIOD_US, self.begin)
        self._start_worker()

    def end(self) -> None:
        """Start no more workers, so that the records of all control processes become equal."""
        self._has_ended = True

    def ended_before(self, at: int) -> list[str]:
        """The instances whose deregistration was acknowledged up to this time."""
        return [instance for instance, ended_at in self.ended_at.items() if ended_at <= at]

    def _start_worker(self) -> None:
        self._count += 1
        number = self._count
        record = WorkerRecord(f"l-{number}", "s", f"10.8.0.{number}:80", "z", WorkerState.READY, 1)
        last_heartbeat = msgspec.structs.replace(record, seq=2)
        self._send_heartbeat(record)
        self.fleet.call_later(REGISTERED_US // 2, lambda: self._send_heartbeat(last_heartbeat))
        self.fleet.call_later(REGISTERED_US, lambda: self._deregister(last_heartbeat, MAX_ATTEMPTS))

    def _send_heartbeat(self, record: WorkerRecord) -> None:
        self.fleet.send_heartbeat(self._any_machine(), record, lambda acknowledged: None)

    def _deregister(self, last_heartbeat: WorkerRecord, attempts: int) -> None:
        instance = last_heartbeat.instance

        def on_result(acknowledged: bool) -> None:
            if not acknowledged or instance in self.ended_at:
                return
            self.ended_at[instance] = self.fleet.now
            late_us = self._random.randint(*LATE_HEARTBEAT_RANGE_US)
            self.fleet.call_later(
                late_us, lambda: self.deliver_late_heartbeat(self._any_machine(), last_heartbeat)
            )
            on_ack, self.on_ack = self.on_ack, None
            if on_ack is not None:
                on_ack(last_heartbeat)

        def retry() -> None:
            if instance not in self.ended_at and attempts > 1:
                self._deregister(last_heartbeat, attempts - 1)

        self.fleet.send_deregistration(self._any_machine(), instance, on_result)
        self.fleet.call_later(RETRY_DELAY_US, retry)

    def deliver_late_heartbeat(self, address: str, record: WorkerRecord) -> None:
        """Deliver the heartbeat of a worker whose end was acknowledged to this machine.

        Raises:
            InvariantViolationError: the machine's process takes the worker for a ready one, although it has
                started after the acknowledgement and reaches other processes.
        """

        def on_result(acknowledged: bool) -> None:
            machine = self.fleet.machines[address]
            if not acknowledged or machine.started_at < self.ended_at[record.instance]:
                return
            is_out_of_touch = (
                self.fleet.now - machine.started_at >= CONTACT_US
                and not machine.engine.worker_recovery.is_complete
            )
            worker = machine.engine.registry.tracked.get(record.instance)
            if worker is None or worker.record.state is WorkerState.GONE or is_out_of_touch:
                return
            raise InvariantViolationError(
                f"{address} takes a late heartbeat of {record.instance}, which has ended"
            )

        self.fleet.send_heartbeat(address, record, on_result)

    def _any_machine(self) -> str:
        return self._random.choice(sorted(self.fleet.machines))
