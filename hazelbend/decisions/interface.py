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
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"  # idempotent: may be repeated and rejected at any time
    KEYED = "keyed"  # workers deduplicate by idempotency key, within a `DedupScope` and for a limited time
    UNSAFE = "unsafe"  # must never run twice


class DedupScope(Enum):
    """The workers that share idempotency keys, and so drop each other's repeats of a keyed request."""

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


# Outcomes of attempts that never reached the worker, and so were no load on it.
NEVER_ARRIVED = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
# Outcomes of attempts that the worker surely did not execute.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class WorkerState(IntEnum):
    """Whether a worker takes new requests."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListKind(IntEnum):
    """The content of a membership update, or the failure of the call for one."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class JobClass:
    """The settings of a class of requests."""

    objective: int = 1_000_000  # latency target: an answer within it, plus the stretch, earns the full value
    stretch: float = 0.0  # the objective grows by this many times the job's own work
    value: float = 1.0  # of an answer in time: per request, or per unit of work (`Settings.value_per_work`)
    late_value_fraction: float = 0.0  # fraction of the value that a late answer earns
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0  # how long workers remember an idempotency key
    machine_kind: int = -1  # the only kind of worker that runs the class; -1: any


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a dispatcher; every field has a default."""

    fleet_size: int = 1
    zone: int = 0
    classes: tuple[JobClass, ...] = (JobClass(),)
    value_per_work: bool = False  # `JobClass.value` is per unit of work instead of per request
    # The membership list: polled by calls of this dispatcher, pushed on a watch that it opens, or, with
    # neither, sent without a request.
    list_is_polled: bool = False
    list_is_pushed: bool = False
    max_poll_interval: int = 10_000_000  # the list must be polled at least this often
    weights_enabled: bool = True  # whether listed weights say anything about the speed of workers
    weights_fall_with_load: bool = False  # a listed weight shrinks as its worker gets busier
    # Load reports: on probes, or in the answers to requests.
    reports_by_probe: bool = False
    reports_inline: bool = False
    probes_allowed: bool = False
    cancel_allowed: bool = False
    hedging_allowed: bool = False  # a second attempt may start while another one is in flight
    max_attempts: int = 3
    # Charges, as fractions of a request's full value.
    probe_charge: float = 0.0
    cross_zone_charge: float = 0.0
    handshake_charge: float = 0.0
    keepalive_timeout: int = 60_000_000  # an idle connection is closed after this time
    tick: int = 1_000  # the caller's time resolution: deadlines keep a margin of two ticks
    # Warm-up: a worker that started less than `warmup_duration` ago can do only a fraction of its usual work,
    # from `initial_capacity` to 1. It collapses when it gets `collapse_multiple` times that much work within
    # `collapse_window`.
    collapse_multiple: float = 2.0
    collapse_window: int = 1_000_000
    initial_capacity: float = 0.1
    warmup_duration: int = 30_000_000
    reports_job_starts: bool = False  # workers send `JobStarted`
    progress_interval: int = 0  # between two `JobProgress` of a running job; 0: none are sent

    @property
    def list_is_watched(self) -> bool:
        """Whether updates of the list arrive only while this dispatcher has a watch open."""
        return self.list_is_polled or self.list_is_pushed

    @property
    def lacks_load_reports(self) -> bool:
        """Whether this dispatcher gets no information about the load of workers."""
        can_probe = self.reports_by_probe and self.probes_allowed
        return not (can_probe or self.reports_inline or self.weights_fall_with_load)

    def capacity_fraction(self, started_at: int, now: int) -> float:
        """Return the fraction of its full capacity that a worker has at least reached by `now`.

        It grows linearly from the start of the worker's process. A `started_at` of 0 means long ago.
        """
        age = max(now - started_at, 0) / max(self.warmup_duration, 1) if started_at else 1.0
        return min(self.initial_capacity + (1 - self.initial_capacity) * age, 1.0)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A worker's load report. It is delayed and noisy, and counts the jobs of all dispatchers.

    A field is None where the worker does not report it.
    """

    in_flight: float | None = None  # jobs running or queued
    queued: float | None = None  # jobs queued
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
    started_at: int = 0  # start of its process; 0: long ago


# --- events ---


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """A complete membership list, changes of it, or the failure of a call for it."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A request has arrived."""

    request: RequestId
    client_timeout: int  # time until the client gives up
    job_class: int = 0
    tenant: int = 0
    slots: float = 1.0  # of a worker, that the job occupies
    expected_work: int = 0  # run time hinted by the client; 0: no hint
    key: int = 0  # identifies the data that the request needs; 0: none


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of a response has arrived."""

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
    closed: bool = False  # the client has its final response
    elapsed: int = 0
    load: LoadReport | None = None  # reported in the answer
    stale: bool = False  # a reused connection was reset before the first byte: it may have died while idle


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client of a request has disconnected: no further attempt is made for it."""

    request: RequestId


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings take effect. Classes, zones and machine kinds keep their positions."""

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


# --- actions, which the caller carries out in the returned order ---


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt at this worker."""

    request: RequestId
    worker: WorkerId
    timeout: int = 0  # 0: until the client's deadline


@dataclass(slots=True, frozen=True)
class Refuse:
    """Reject a request. The final response tells the client that it is safe to retry."""

    request: RequestId
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request. The final response does not say whether a retry is safe."""

    request: RequestId


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: RequestId
    attempt: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Deliver a `TimerFired` with this token after the delay."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a load report from this worker."""

    worker: WorkerId


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Open a watch of the membership list."""


Action: TypeAlias = Send | Refuse | Fail | Cancel | StartTimer | Probe | Subscribe
