"""What a control engine is told at its start, and what it gives to its driver."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.control import messages as m
from hazelbend.control.announcements import AnnouncementOutcome
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig
from hazelbend.control.workers import WorkerRecord


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """What the settings say of a control process. Addresses are those of control processes for each other."""

    address: str
    seeds: tuple[str, ...]
    counts_for_quorum: bool
    may_bootstrap: bool
    tolerance: int  # counted machines that may be lost at one time
    heartbeat_us: int  # between two heartbeats of a worker
    lease_us: int = 0  # that must lie between orders of two leaders


@dataclass(slots=True, frozen=True)
class PutOutcome:
    """A change was decided; None: nobody knows whether it was taken."""

    number: int
    result: ChangeResult | None


@dataclass(slots=True, frozen=True)
class ReadOutcome:
    """The newest committed configuration at some time after the call; None: not known here."""

    number: int
    config: StoredConfig | None


Answer = PutOutcome | ReadOutcome | AnnouncementOutcome


@dataclass(slots=True)
class DurableOutput:
    """What may be sent once all that it rests on is stored."""

    out: list[tuple[str, m.RaftMessages]] = field(default_factory=list)  # to the address of a control process
    answers: list[Answer] = field(default_factory=list)
    config: StoredConfig = StoredConfig()
    confirmed_at: int | None = None  # when `config` was surely the newest, as a majority has confirmed since


@dataclass(slots=True)
class ImmediateOutput:
    """What rests on nothing that is stored."""

    out: list[tuple[str, m.Body]] = field(default_factory=list)  # to the address of a control process
    answers: list[AnnouncementOutcome] = field(default_factory=list)
    news: list[WorkerRecord] = field(default_factory=list)  # for routers
