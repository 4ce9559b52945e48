"""What a control engine is told at its start, and what it gives to its driver."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control import messages as m
from hazelbend.control.announcements import WorkerDone
from hazelbend.control.config_machine import ChangeResult, StoredConfig
from hazelbend.control.workers import WorkerRecord


@dataclass(slots=True, frozen=True)
class ControlPlan:
    """What the settings say of a control process. Addresses are those of control processes for each other."""

    address: str
    seeds: tuple[str, ...]
    counted: bool
    may_found: bool
    tolerance: int  # counted machines that may be lost at one time
    heartbeat: int  # microseconds between two heartbeats of a worker
    lease: int = 0  # microseconds that must lie between orders of two leaders


@dataclass(slots=True, frozen=True)
class PutDone:
    """A change was decided; None: nobody knows whether it was taken."""

    number: int
    result: ChangeResult | None


@dataclass(slots=True, frozen=True)
class ReadDone:
    """The newest committed configuration at some time after the call; None: not known here."""

    number: int
    config: StoredConfig | None


Answer = PutDone | ReadDone | WorkerDone


@dataclass(slots=True)
class StableOutput:
    """What may be sent once all that it rests on is stored."""

    out: list[tuple[str, m.Agreement]] = field(default_factory=list)  # to the address of a control process
    answers: list[Answer] = field(default_factory=list)
    config: StoredConfig = StoredConfig()
    confirmed_at: int | None = None  # when `config` was surely the newest, as a majority has confirmed since


@dataclass(slots=True)
class VolatileOutput:
    """What rests on nothing that is stored."""

    out: list[tuple[str, m.Body]] = field(default_factory=list)  # to the address of a control process
    answers: list[WorkerDone] = field(default_factory=list)
    news: list[WorkerRecord] = field(default_factory=list)  # for routers
