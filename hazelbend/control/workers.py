"""Worker records, and the registry that merges and tracks them.

The registry is a state-based CRDT, a last-writer-wins map: records of one instance are ordered by (ended,
`seq`), so they merge to the same result in any order, a late heartbeat changes nothing, and `GONE` is final.
Times are microseconds of this process's monotonic clock.

A worker that has crashed says nothing, and another instance may start at its address. Which of two instances
at one address is running does not follow from the order in which their records arrive, since a heartbeat
may arrive seconds late; it follows from whose heartbeats go on. So an instance that is silent while another
one at its address is heard is superseded: it is not reported to routers until the other one is silent.

A worker that has announced that it drains or ends may never repeat that, so these records must survive a
restart: the registry reports their changes as `WorkerStateChange`, to be stored before an announcement is
acknowledged. Workers that are `READY` announce themselves with every heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

import msgspec

# Times without a heartbeat, in heartbeat intervals.
SILENT_HEARTBEATS = 2.2  # until a worker counts as silent
RESTORED_HEARTBEATS = 1.5  # after a restart of this process, until a restored worker counts as silent
EXPIRY_HEARTBEATS = 12.0  # until a worker is removed
# Routers of earlier releases remove a worker by themselves, before its age is no longer reported to them.
AGE_EXPIRY_HEARTBEATS = 10.0
TOMBSTONE_US = 60_000_000  # how long the record of an ended instance is kept

RECORD_DIGEST_BYTES = 6
_VOLATILE_FIELDS = {"seq": 0, "warm_up_left_ms": 0}  # changes of these alone are not forwarded to routers
_encoder = msgspec.msgpack.Encoder()


class WorkerState(IntEnum):
    """Whether a worker accepts new requests."""

    READY = 0
    DRAINING = 1
    GONE = 2


class WorkerRecord(msgspec.Struct, frozen=True):
    """The newest state of one instance of a worker."""

    instance: str
    service: str
    address: str
    zone: str
    state: WorkerState
    seq: int
    capacity: int = 1
    phase: str = ""  # "prefill" or "decode"; empty for workers without phases
    models: tuple[str, ...] = ()
    warm_up_left_ms: int = msgspec.field(default=0, name="cold_left_ms")

    @property
    def rank(self) -> tuple[bool, int]:
        """The sort key of the records of one instance: the record with the higher rank wins."""
        return self.state is WorkerState.GONE, self.seq


class WorkerStateChange(msgspec.Struct, frozen=True):
    """A change of the stored records: the record of an instance that drains or has ended, or its removal."""

    instance: str
    record: WorkerRecord | None  # None: nothing is stored for the instance any more


@dataclass(slots=True)
class TrackedWorker:
    """A worker's record, and when any control process last received a heartbeat of it."""

    record: WorkerRecord
    last_heartbeat_at: int
    is_superseded: bool = False  # another instance at its address is heard in its place

    @property
    def digest(self) -> int:
        """Its part of the digest of the registry; 0 if routers do not need its record."""
        return 0 if self.is_superseded else record_digest(self.record)


@dataclass(slots=True)
class SupersededChanges:
    """The workers that have been superseded, and those that no longer are."""

    superseded: list[str]  # instances
    restored: list[WorkerRecord]


class WorkerRegistry:
    """The workers of all services, by instance."""

    def __init__(self, heartbeat_us: int) -> None:
        """`heartbeat_us`: the period of a worker's heartbeats."""
        self._heartbeat_us = heartbeat_us
        self.tracked: dict[str, TrackedWorker] = {}
        self.digest = 0  # of the records that routers need: equal for registries of the same workers
        self._recent_instances: set[str] = set()  # since the last `take_recent_ages`
        self._unsaved_instances: set[str] = set()  # whose stored record is outdated

    def merge(self, record: WorkerRecord, last_heartbeat_at: int) -> list[WorkerRecord]:
        """Merge a record; returns the records that changed, which must be forwarded to peers and routers."""
        known = self.tracked.get(record.instance)
        if known is not None and record.rank <= known.record.rank:
            self.record_heartbeat(record.instance, last_heartbeat_at)
            return []
        is_changed = known is None or differs(known.record, record)
        previous_heartbeat_at = known.last_heartbeat_at if known is not None else last_heartbeat_at - 1
        is_superseded = known is not None and known.is_superseded and record.state is WorkerState.READY
        self._track(TrackedWorker(record, previous_heartbeat_at, is_superseded), differs=is_changed)
        self.record_heartbeat(record.instance, last_heartbeat_at)
        return [record] if is_changed else []

    def tombstone(self, instance: str) -> WorkerRecord | None:
        """The `GONE` record of this instance; None if the instance is unknown."""
        known = self.tracked.get(instance)
        return None if known is None else msgspec.structs.replace(known.record, state=WorkerState.GONE)

    def record_heartbeat(self, instance: str, last_heartbeat_at: int) -> None:
        """Record that this or another control process received a heartbeat of this instance."""
        known = self.tracked.get(instance)
        if known is not None and last_heartbeat_at > known.last_heartbeat_at:
            known.last_heartbeat_at = last_heartbeat_at
            self._recent_instances.add(instance)

    def expire(self, now: int) -> list[str]:
        """Remove workers without a recent heartbeat, and tombstones that have expired.

        Returns the instances of these workers, which routers must remove too.
        """
        worker_expiry_us = EXPIRY_HEARTBEATS * self._heartbeat_us
        expired = []
        for instance, worker in list(self.tracked.items()):
            has_ended = worker.record.state is WorkerState.GONE
            if now - worker.last_heartbeat_at > (TOMBSTONE_US if has_ended else worker_expiry_us):
                self._drop(instance)
                if not has_ended:
                    expired.append(instance)
        return expired

    def update_superseded(self, now: int) -> SupersededChanges:
        """Update which workers are superseded by another instance at their address.

        Workers that drain are never superseded, so that a late heartbeat cannot make them ready again.
        """
        changes = SupersededChanges([], [])
        for workers in self._workers_by_address().values():
            heard = [worker for worker in workers if not self.is_silent(worker, now)]
            if not heard:
                continue  # nothing shows which of them is running
            running = [worker for worker in heard if not worker.is_superseded] or heard
            running_instances = {worker.record.instance for worker in running}
            for worker in workers:
                is_ready = worker.record.state is WorkerState.READY
                is_superseded = is_ready and worker.record.instance not in running_instances
                if is_superseded != worker.is_superseded:
                    self._set_superseded(worker, is_superseded, changes)
        return changes

    def _set_superseded(self, worker: TrackedWorker, is_superseded: bool, changes: SupersededChanges) -> None:
        self.digest ^= worker.digest
        worker.is_superseded = is_superseded
        self.digest ^= worker.digest
        if is_superseded:
            changes.superseded.append(worker.record.instance)
        else:
            changes.restored.append(worker.record)

    def _workers_by_address(self) -> dict[str, list[TrackedWorker]]:
        """The workers that have not ended, by their addresses."""
        by_address: dict[str, list[TrackedWorker]] = {}
        for worker in self.tracked.values():
            if worker.record.state is not WorkerState.GONE:
                by_address.setdefault(worker.record.address, []).append(worker)
        return by_address

    def is_superseded(self, instance: str) -> bool:
        """Whether another instance at the address of this one is heard in its place."""
        known = self.tracked.get(instance)
        return known is not None and known.is_superseded

    def is_silent(self, worker: TrackedWorker, now: int) -> bool:
        """Whether heartbeats have been missing for longer than lost messages are likely to explain."""
        return now - worker.last_heartbeat_at > SILENT_HEARTBEATS * self._heartbeat_us

    def records(self) -> tuple[WorkerRecord, ...]:
        """All records, tombstones included."""
        return tuple(worker.record for worker in self.tracked.values())

    def unexpired_records(self, now: int) -> tuple[WorkerRecord, ...]:
        """All records that a peer may lack: those that are not about to expire."""
        expiry_us = AGE_EXPIRY_HEARTBEATS * self._heartbeat_us
        return tuple(
            worker.record
            for worker in self.tracked.values()
            if worker.record.state is WorkerState.GONE or now - worker.last_heartbeat_at < expiry_us
        )

    def ages(self, now: int) -> dict[str, int]:
        """Microseconds since the last heartbeat of each worker that is not `GONE`, by instance."""
        return {
            instance: max(now - worker.last_heartbeat_at, 0)
            for instance, worker in self.tracked.items()
            if worker.record.state is not WorkerState.GONE
        }

    def silent_ages(self, now: int) -> dict[str, int]:
        """The `ages` of the silent workers only."""
        return {
            instance: age
            for instance, age in self.ages(now).items()
            if age > SILENT_HEARTBEATS * self._heartbeat_us
        }

    # --- stored records ---

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether `take_unsaved_changes` would return any."""
        return bool(self._unsaved_instances)

    def take_unsaved_changes(self) -> list[WorkerStateChange]:
        """The changes of the stored records since the last call; marks them as saved."""
        unsaved = sorted(self._unsaved_instances)
        self._unsaved_instances.clear()
        return [WorkerStateChange(instance, self._record_to_store(instance)) for instance in unsaved]

    def restore_unsaved_changes(self, changes: Iterable[WorkerStateChange]) -> None:
        """Mark these changes as unsaved again, because they could not be stored."""
        self._unsaved_instances.update(change.instance for change in changes)

    def _record_to_store(self, instance: str) -> WorkerRecord | None:
        worker = self.tracked.get(instance)
        return worker.record if worker is not None and _is_stored(worker.record) else None

    # --- heartbeats ---

    def take_recent_ages(self, now: int) -> dict[str, int]:
        """The `ages` of the workers with a new heartbeat, at any control process, since the last call."""
        recent = self._recent_instances
        self._recent_instances = set()
        return {
            instance: max(now - self.tracked[instance].last_heartbeat_at, 0)
            for instance in recent & set(self.tracked)
        }

    def _track(self, worker: TrackedWorker, *, differs: bool) -> None:
        """Add or replace a record. All changes go through this method, which updates `digest` and what is
        to be stored.
        """
        known = self.tracked.get(worker.record.instance)
        if differs:
            self.digest ^= worker.digest ^ (known.digest if known is not None else 0)
            if _is_stored(worker.record) or (known is not None and _is_stored(known.record)):
                self._unsaved_instances.add(worker.record.instance)
        self.tracked[worker.record.instance] = worker

    def _drop(self, instance: str) -> None:
        worker = self.tracked.pop(instance)
        self.digest ^= worker.digest
        if _is_stored(worker.record):
            self._unsaved_instances.add(instance)


def _is_stored(record: WorkerRecord) -> bool:
    """Whether a restart must not lose this record."""
    return record.state is not WorkerState.READY


def record_digest(record: WorkerRecord) -> int:
    """The digest of the fields of a record that routers need.

    It is 0 for a `GONE` record, because processes remove tombstones at different times.
    """
    if record.state is WorkerState.GONE:
        return 0
    content = _encoder.encode(msgspec.structs.replace(record, **_VOLATILE_FIELDS))
    return int.from_bytes(blake2b(content, digest_size=RECORD_DIGEST_BYTES).digest())


def differs(before: WorkerRecord, after: WorkerRecord) -> bool:
    """Whether the records differ in more than `_VOLATILE_FIELDS`, so that routers need the new one."""
    return msgspec.structs.replace(before, **_VOLATILE_FIELDS) != msgspec.structs.replace(
        after, **_VOLATILE_FIELDS
    )
