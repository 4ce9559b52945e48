"""The output of a control engine for its driver, and the outbox that collects it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelbend.control import messages as m
from hazelbend.control.announcements import AnnouncementOutcome
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig
from hazelbend.control.workers import WorkerRecord


@dataclass(slots=True, frozen=True)
class PutOutcome:
    """The outcome of a put, or of a forced new cluster. `result` is None if it is unknown."""

    request_id: int
    result: ChangeResult | None


@dataclass(slots=True, frozen=True)
class ReadOutcome:
    """The newest committed configuration at a time after the call. `config` is None if it is unknown."""

    request_id: int
    config: StoredConfig | None


CallOutcome = PutOutcome | ReadOutcome | AnnouncementOutcome


@dataclass(slots=True)
class DurableOutput:
    """Output that may be sent only after the state that it depends on is stored."""

    messages: list[tuple[str, m.Body]] = field(default_factory=list)  # (peer address, message)
    own_acks: list[m.WorkerUpdateAck] = field(default_factory=list)  # of this process's own announcements
    outcomes: list[CallOutcome] = field(default_factory=list)
    config: StoredConfig = field(default_factory=StoredConfig)
    confirmed_at: int | None = None  # when a majority last confirmed that `config` is the newest


@dataclass(slots=True)
class ImmediateOutput:
    """Output that depends on no stored state and may be sent at once."""

    messages: list[tuple[str, m.Body]] = field(default_factory=list)  # (peer address, message)
    outcomes: list[AnnouncementOutcome] = field(default_factory=list)
    changed_workers: list[WorkerRecord] = field(default_factory=list)  # to be sent to routers
    expired_workers: list[str] = field(default_factory=list)  # instances that routers must remove before


class Outbox:
    """Collects the immediate output of the engine's components, in order, until the driver takes it."""

    def __init__(self) -> None:
        self._output = ImmediateOutput()

    def send(self, address: str, body: m.Body) -> None:
        """Send a message to the control process at this address."""
        self._output.messages.append((address, body))

    def broadcast(self, addresses: Iterable[str], body: m.Body) -> None:
        """Send a message to each of these control processes."""
        self._output.messages += [(address, body) for address in addresses]

    def report_workers(self, records: list[WorkerRecord]) -> None:
        """Send these changed worker records to routers."""
        self._output.changed_workers += records

    def report_expired_workers(self, instances: list[str]) -> None:
        """Tell routers that these instances have expired."""
        self._output.expired_workers += instances

    def take(self, outcomes: list[AnnouncementOutcome]) -> ImmediateOutput:
        """The output since the last call, together with these outcomes of calls."""
        output = self._output
        output.outcomes += outcomes
        self._output = ImmediateOutput()
        return output
