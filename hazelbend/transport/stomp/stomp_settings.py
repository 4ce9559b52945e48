"""Settings of the STOMP listener from `stomp.toml`: accounts, heartbeats and limits."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class MailboxLimits:
    """Limits on the requests and answers that are stored for clients."""

    waiting: int = 256  # open requests and unacknowledged answers, for one client
    waiting_bytes: int = 4 * 1024 * 1024
    remembered: int = 2_048  # acknowledged requests whose ids are retained, for one client
    keep_s: float = 300.0  # how long an answer and its request id are retained
    total_bytes: int = 32 * 1024 * 1024  # jobs and answers of all clients together


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """A login for clients. `passcode_sha256` is hexadecimal."""

    login: str
    passcode_sha256: str
    tenants: tuple[str, ...] = ()  # that it may send jobs for; empty: all


@dataclass(slots=True, frozen=True)
class WorkerAccount:
    """The login of one worker that receives jobs over STOMP, and its placement."""

    login: str
    passcode_sha256: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class StompSettings:
    """All settings of the listener."""

    host: str
    port: int
    clients: tuple[ClientAccount, ...] = ()
    workers: tuple[WorkerAccount, ...] = ()
    heart_beat_ms: tuple[int, int] = (10_000, 10_000)  # sent, expected; 0: none
    connections: int = 64  # maximum
    write_limit: int = 1024 * 1024  # bytes that a slow peer may leave unread
    mailbox_limits: MailboxLimits = field(default_factory=MailboxLimits)
