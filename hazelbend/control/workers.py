"""What is known of workers: records that merge the same way in any order, and the registry that holds them.

A record is ordered by (ended, `seq`) within its instance, so a late heartbeat changes nothing and `GONE` is
final. Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

import msgspec

SILENT_HEARTBEATS = 2.2  # heartbeats that may be missing before a worker is marked as silent
RESTORED_HEARTBEATS = 1.5  # heartbeats that a recalled worker has to be heard, before it is marked as silent
EXPIRY_HEARTBEATS = 10.0  # after which routers forget it
LISTED_HEARTBEATS = (
    12.0  # after which control processes do: later, so that each router is told of its age by then
)
TOMBSTONE = 60_000_000  # how long the end of an instance is remembered


MARK_BYTES = 6  # of a record's part in the digest
_UNSEEN = {"seq": 0, "cold_left_ms": 0}  # fields of which no router has to know each change
_encoder = msgspec.msgpack.Encoder()


class WorkerState(IntEnum):
    """Whether a worker takes new requests."""

    READY = 0
    DRAINING = 1
    GONE = 2


class WorkerRecord(msgspec.Struct, frozen=True):
    """The last word of, or about, one instance of a worker."""

    instance: str
    service: str
    address: str
    zone: str
    state: WorkerState
    seq: int
    capacity: int = 1
    phase: str = ""  # "prefill" or "decode"; empty for workers without phases
    models: tuple[str, ...] = ()
    cold_left_ms: int = 0

    @property
    def rank(self) -> tuple[bool, int]:
        """Of two records of an instance, the one with the greater rank holds."""
        return self.state is WorkerState.GONE, self.seq


@dataclass(slots=True)
class TrackedWorker:
    """A record and when the worker was last heard, by whichever control process."""

    record: WorkerRecord
    heard_at: int


class WorkerRegistry:
    """The workers of all services, by instance."""

    def __init__(self, heartbeat: int) -> None:
        """`heartbeat`: microseconds between two heartbeats of a worker."""
        self.heartbeat = heartbeat
        self.tracked: dict[str, TrackedWorker] = {}
        self.digest = 0  # of all records that have not ended: equal where the same is known
        self._by_address: dict[str, str] = {}
        self._fresh: set[str] = set()  # heard since `take_fresh_ages`

    def merge(self, record: WorkerRecord, heard_at: int) -> list[WorkerRecord]:
        """Take a record; the records that changed by it, which are to be told to others."""
        known = self.tracked.get(record.instance)
        if known is not None and record.rank <= known.record.rank:
            self.hear(record.instance, heard_at)
            return []
        changed = []
        if record.state is not WorkerState.GONE:
            changed = self._end_others_at(record, heard_at)
        differs = known is None or _differs(known.record, record)
        if differs:
            changed.append(record)
        before = known.heard_at if known is not None else heard_at - 1
        self._list(TrackedWorker(record, before), differs)
        self.hear(record.instance, heard_at)
        return changed

    def _end_others_at(self, record: WorkerRecord, now: int) -> list[WorkerRecord]:
        other = self._by_address.get(record.address)
        self._by_address[record.address] = record.instance
        if other is None or other == record.instance or other not in self.tracked:
            return []
        before = self.tracked[other].record
        if before.state is WorkerState.GONE:
            return []
        ended = msgspec.structs.replace(before, state=WorkerState.GONE)
        self._list(TrackedWorker(ended, now), differs=True)
        return [ended]

    def _list(self, listed: TrackedWorker, differs: bool) -> None:
        """The only place where a record comes in or is replaced."""
        known = self.tracked.get(listed.record.instance)
        if differs:
            self.digest ^= _mark(listed.record) ^ (_mark(known.record) if known is not None else 0)
        self.tracked[listed.record.instance] = listed

    def _drop(self, instance: str) -> None:
        record = self.tracked.pop(instance).record
        self.digest ^= _mark(record)
        if self._by_address.get(record.address) == instance:
            del self._by_address[record.address]

    def ended(self, instance: str) -> WorkerRecord | None:
        """The record that says that this instance has left; None where it is not known."""
        known = self.tracked.get(instance)
        return None if known is None else msgspec.structs.replace(known.record, state=WorkerState.GONE)

    def hear(self, instance: str, heard_at: int) -> None:
        """Another process has heard of it."""
        known = self.tracked.get(instance)
        if known is not None and heard_at > known.heard_at:
            known.heard_at = heard_at
            self._fresh.add(instance)

    def expire(self, now: int) -> None:
        """Drop what has been silent for too long."""
        for instance, each in list(self.tracked.items()):
            gone = each.record.state is WorkerState.GONE
            if now - each.heard_at > (TOMBSTONE if gone else LISTED_HEARTBEATS * self.heartbeat):
                self._drop(instance)

    def is_silent(self, listed: TrackedWorker, now: int) -> bool:
        """Whether its heartbeats have been missing for longer than chance explains."""
        return now - listed.heard_at > SILENT_HEARTBEATS * self.heartbeat

    def records(self) -> tuple[WorkerRecord, ...]:
        """All that is known, ends included."""
        return tuple(each.record for each in self.tracked.values())

    def lasting(self, now: int) -> tuple[WorkerRecord, ...]:
        """All that is known but for those that are about to be forgotten: what another one may lack."""
        last = EXPIRY_HEARTBEATS * self.heartbeat
        return tuple(
            each.record
            for each in self.tracked.values()
            if each.record.state is WorkerState.GONE or now - each.heard_at < last
        )

    def ages(self, now: int) -> dict[str, int]:
        """Microseconds since each worker that has not ended was heard."""
        return {
            instance: max(now - each.heard_at, 0)
            for instance, each in self.tracked.items()
            if each.record.state is not WorkerState.GONE
        }

    def silent_ages(self, now: int) -> dict[str, int]:
        """The same of those alone that are silent."""
        return {
            instance: age
            for instance, age in self.ages(now).items()
            if age > SILENT_HEARTBEATS * self.heartbeat
        }

    def take_fresh_ages(self, now: int) -> dict[str, int]:
        """The same of those alone that were heard, here or elsewhere, since the last call."""
        fresh, self._fresh = self._fresh, set()
        return {
            instance: max(now - self.tracked[instance].heard_at, 0) for instance in fresh & set(self.tracked)
        }


def _mark(record: WorkerRecord) -> int:
    """Names what routers have to know of a record; 0 once it has ended, as ends are forgotten at different
    times by different processes."""
    if record.state is WorkerState.GONE:
        return 0
    content = _encoder.encode(msgspec.structs.replace(record, **_UNSEEN))
    return int.from_bytes(blake2b(content, digest_size=MARK_BYTES).digest())


def _differs(before: WorkerRecord, after: WorkerRecord) -> bool:
    """Whether a router has to know of it: not of each `seq`, nor of each millisecond of warming up."""
    return msgspec.structs.replace(before, **_UNSEEN) != msgspec.structs.replace(after, **_UNSEEN)
