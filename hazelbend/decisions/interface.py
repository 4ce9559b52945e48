"""The interface of the decision module: settings, events, actions, outcomes. No logic.

All times and durations are whole microseconds. Workers and requests have opaque integer identifiers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias

RequestId: TypeAlias = int
WorkerId: TypeAlias = int


class Idempotency(Enum):
    """How often a request of a class may take effect."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # repeats are dropped within a group of workers, for a while
    UNSAFE = "unsafe"  # must never run twice


class DedupScope(Enum):
    """The workers that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    ERROR = 0
    SERVED = 1
    FULL = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NEVER_ARRIVED = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT})  # so it was no load either
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class WorkerState(IntEnum):
    """Whether a worker takes new requests."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListKind(IntEnum):
    """What a list, or the call for one, brought."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class JobClass:
    """The settings of a class of requests."""

    objective: int = 1_000_000  # latency target: an answer within this (and the stretch) earns the full worth
    stretch: float = 0.0  # the objective grows by this many times the job's own work
    value: float = 1.0  # of an answer in time: of each request, or of a unit of its work
    late_value_fraction: float = 0.0  # part of the worth paid after the objective
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0
    machine_kind: int = -1  # the one kind of worker that runs the class; -1: any


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a dispatcher; every field has a default."""

    fleet_size: int = 1
    zone: int = 0
    classes: tuple[JobClass, ...] = (JobClass(),)
    value_per_work: bool = False  # a class's worth is that of a unit of work, not of a request
    list_is_polled: bool = False
    list_is_pushed: bool = False  # on a watch that this dispatcher opens; else it comes by itself or is asked
    poll_interval: int = 10_000_000
    weights_enabled: bool = True  # whether a listed weight stands for anything
    weights_fall_with_load: bool = False
    reports_by_probe: bool = False
    reports_inline: bool = False
    probes_allowed: bool = False
    cancel_allowed: bool = False
    hedging_allowed: bool = False
    max_attempts: int = 3
    probe_charge: float = 0.0
    cross_zone_charge: float = 0.0
    handshake_charge: float = 0.0
    keepalive: int = 60_000_000  # an idle connection closes after this
    tick: int = 1_000
    collapse_multiple: float = 2.0
    collapse_window: int = 1_000_000
    initial_capacity: float = 0.1
    warmup_duration: int = 30_000_000
    reports_job_starts: bool = False
    progress_interval: int = 0

    @property
    def list_is_watched(self) -> bool:
        """Whether the list comes only where a watch is open."""
        return self.list_is_polled or self.list_is_pushed

    @property
    def lacks_load_reports(self) -> bool:
        """Whether no worker reports its load."""
        asked = self.reports_by_probe and self.probes_allowed
        return not (asked or self.reports_inline or self.weights_fall_with_load)

    def capacity_fraction(self, started_at: int, now: int) -> float:
        """Return the least part of its capacity that a worker has by now.

        It grows linearly from the start of the worker's process; `started_at` 0: long ago.
        """
        age = max(now - started_at, 0) / max(self.warmup_duration, 1) if started_at else 1.0
        return min(self.initial_capacity + (1 - self.initial_capacity) * age, 1.0)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A worker's load report: late, noisy, and about the jobs of all dispatchers. None: not reported."""

    in_flight: float | None = None  # running and waiting
    queued: float | None = None  # waiting
    free_slots: float | None = None


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """An entry of the membership list."""

    worker: WorkerId
    zone: int = 0
    machine_kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_at: int = 0  # 0: long past


# --- events ---


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The membership list, its changes, or the failure of a call for it."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A request has arrived."""

    request: RequestId
    client_timeout: int  # time until the client gives up
    job_class: int = 0
    tenant: int = 0
    slots: float = 1.0
    expected_work: int = 0  # 0: no hint
    key: int = 0  # what the request is about; 0: none


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of an answer has arrived."""

    request: RequestId
    worker: WorkerId
    attempt: int


@dataclass(slots=True, frozen=True)
class JobStarted:
    """A worker has begun to run an attempt."""

    request: RequestId
    worker: WorkerId
    attempt: int


@dataclass(slots=True, frozen=True)
class JobProgress:
    """An attempt has made progress: `fraction` of it is done."""

    request: RequestId
    worker: WorkerId
    attempt: int
    fraction: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended."""

    request: RequestId
    worker: WorkerId
    attempt: int
    outcome: Outcome
    closed: bool = False
    elapsed: int = 0
    load: LoadReport | None = None
    stale: bool = False  # reset on a reused connection before the first byte: it may have died while idle


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client of a request has gone: nothing more is to be sent for it."""

    request: RequestId


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings, in force from now on. Classes, zones and machine kinds keep their positions."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """A probe has ended."""

    worker: WorkerId
    outcome: Outcome
    elapsed: int = 0
    load: LoadReport | None = None


Event: TypeAlias = (
    MembershipUpdate
    | RequestArrived
    | StreamStarted
    | JobStarted
    | JobProgress
    | AttemptEnded
    | ClientGone
    | TimerFired
    | SettingsChanged
    | ProbeEnded
)


# --- actions, to be done in their order ---


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt at this worker."""

    request: RequestId
    worker: WorkerId
    timeout: int = 0  # 0: until the client gives up


@dataclass(slots=True, frozen=True)
class Refuse:
    """Reject a request: the final answer promises that another try does no harm."""

    request: RequestId
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request: the final answer promises nothing."""

    request: RequestId


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: RequestId
    attempt: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Send a `TimerFired` of this token after the delay."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask this worker for its load."""

    worker: WorkerId


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Open a watch of the membership list."""


Action: TypeAlias = Send | Refuse | Fail | Cancel | StartTimer | Probe | Subscribe
