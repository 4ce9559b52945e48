"""A router's replicas of the worker registries of the control processes that it is subscribed to.

Only control processes decide that a worker has expired. A router keeps what each of its control processes
reports, and uses a worker while at least one of them has it. Each periodic status contains a digest of the
registry, so that any difference, whatever its cause, is found and repaired (anti-entropy).

Control processes of earlier releases send no digest and don't report which workers have expired; a worker
whose age is over a bound counts as expired there until its record is sent again.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from hazelbend.control.messages import FleetStatus, WorkerUpdate
from hazelbend.control.workers import WorkerRecord, WorkerState, record_digest

MAX_DIGEST_MISMATCHES = 2  # consecutive statuses with another digest, until all records are requested
# The same after requests that changed nothing, since another release may compute other digests.
MAX_UNREPAIRED_MISMATCHES = 64


class Liveness(IntEnum):
    """What a control process knows of a worker. Of several control processes, the lowest counts."""

    ALIVE = 0
    SILENT = 1  # heartbeats are missing
    EXPIRED = 2  # heartbeats have been missing for so long that the worker is removed
    UNKNOWN = 3


class WorkerReplica:
    """A replica of the registry of one control process, over one connection."""

    def __init__(self) -> None:
        self.records: dict[str, WorkerRecord] = {}  # by instance, of workers that have not ended
        self.is_closed = False  # whether the subscription has ended
        self.has_status = False
        self._digests: dict[str, int] = {}  # of each record, by instance
        self._digest = 0
        self._silent: frozenset[str] = frozenset()
        self._expired: set[str] = set()  # by their ages, at a control process of an earlier release
        self._knows_all = False  # whether a worker that is not in `records` is known to have expired
        self._mismatches = 0
        self._mismatches_until_resync = (
            MAX_DIGEST_MISMATCHES  # doubles with each request that changes nothing
        )
        self._registry_digest = 0  # of the control process, in its last status
        self._requested_at_digests: tuple[int, int] | None = None  # there and here, at the last request

    def apply_update(self, update: WorkerUpdate) -> None:
        """Apply changed records, or all records. They arrive in the order in which they were sent."""
        if update.complete is True:
            for instance in list(self.records):
                self._remove(instance)
        for instance in update.expired or ():
            self._remove(instance)
        for record in update.records:
            self._remove(record.instance)
            self._expired.discard(record.instance)
            if record.state is not WorkerState.GONE:
                self._add(record)

    def apply_status(self, status: FleetStatus, expiry_us: float) -> None:
        """Apply a periodic status. `expiry_us`: the age at which workers of earlier releases expire."""
        self.has_status = True
        ages = status.silent_ages_us
        self._silent = frozenset(ages)
        if status.registry is msgspec.UNSET:
            self._knows_all = False
            self._mismatches = 0
            # A process without a vote hears no ages of its peers; it sends its status, and no records.
            listed = {instance: age for instance, age in ages.items() if instance in self.records}
            self._expired -= {instance for instance, age in listed.items() if age <= expiry_us}
            self._expired |= {instance for instance, age in listed.items() if age > expiry_us}
            return
        self._registry_digest = status.registry.digest
        is_equal = self._registry_digest == self._digest
        self._mismatches = 0 if is_equal else self._mismatches + 1
        self._knows_all = is_equal and status.registry.knows_all

    def live_records(self) -> Iterator[WorkerRecord]:
        """The records of the workers that have not expired."""
        return (record for record in self.records.values() if record.instance not in self._expired)

    def take_resync_request(self) -> bool:
        """Whether all records must be requested, because the replica differs from the registry."""
        digests = self._registry_digest, self._digest
        if digests != self._requested_at_digests:
            self._mismatches_until_resync = MAX_DIGEST_MISMATCHES
        if self._mismatches < self._mismatches_until_resync:
            return False
        self._mismatches = 0
        self._requested_at_digests = digests
        self._mismatches_until_resync = min(2 * self._mismatches_until_resync, MAX_UNREPAIRED_MISMATCHES)
        return True

    def liveness(self, instance: str) -> Liveness:
        """What the control process has reported of a worker."""
        if instance in self._expired:
            return Liveness.EXPIRED
        if instance in self.records:
            return Liveness.SILENT if instance in self._silent else Liveness.ALIVE
        return Liveness.EXPIRED if self._knows_all else Liveness.UNKNOWN

    def _add(self, record: WorkerRecord) -> None:
        self.records[record.instance] = record
        self._digests[record.instance] = record_digest(record)
        self._digest ^= self._digests[record.instance]

    def _remove(self, instance: str) -> None:
        if self.records.pop(instance, None) is not None:
            self._digest ^= self._digests.pop(instance)


class WorkerReplicas:
    """The replicas of all control processes that a router is subscribed to, by their addresses.

    The replicas of ended subscriptions are kept until another control process has reported a status, so that
    a router that has lost all control processes keeps its workers.
    """

    def __init__(self) -> None:
        self._replicas: dict[str, WorkerReplica] = {}

    def open(self, source: str) -> None:
        """Start a new replica at a new connection, over which all records are sent again."""
        self._replicas[source] = WorkerReplica()

    def close(self, source: str) -> None:
        """End the replica of an ended subscription."""
        if source in self._replicas:
            self._replicas[source].is_closed = True

    def apply_update(self, source: str, update: WorkerUpdate) -> None:
        """Apply the records that a control process has sent."""
        self._replica(source).apply_update(update)

    def apply_status(self, source: str, status: FleetStatus, expiry_us: float) -> None:
        """Apply the status of a control process; see `WorkerReplica.apply_status`."""
        self._replica(source).apply_status(status, expiry_us)
        self._replicas = {
            address: replica for address, replica in self._replicas.items() if not replica.is_closed
        }

    def take_resync_request(self, source: str) -> bool:
        """Whether to request all records from a control process."""
        return self._replica(source).take_resync_request()

    def records(self) -> list[WorkerRecord]:
        """The newest record of each worker that has not expired at all control processes."""
        newest: dict[str, WorkerRecord] = {}
        for replica in self._replicas.values():
            for record in replica.live_records():
                known = newest.get(record.instance)
                if known is None or known.seq < record.seq:
                    newest[record.instance] = record
        return list(newest.values())

    def liveness(self, instance: str) -> Liveness:
        """What the control process that has heard most of a worker has reported of it."""
        return min(
            (replica.liveness(instance) for replica in self._replicas.values()), default=Liveness.UNKNOWN
        )

    def _replica(self, source: str) -> WorkerReplica:
        return self._replicas.setdefault(source, WorkerReplica())
