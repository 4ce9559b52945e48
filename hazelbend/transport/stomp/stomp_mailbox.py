"""Mailboxes of STOMP clients: open requests and unacknowledged answers, which outlive a connection.

Acknowledgement follows STOMP 1.2, "SUBSCRIBE ack Header". A request that a client sends again under the
same id attaches to its existing entry, so that it is executed once.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import BadRequestError, Catalogue
from hazelbend.protocol.stomp import Frame
from hazelbend.routing.ports import Answer, Job, PendingJob
from hazelbend.routing.router import Router
from hazelbend.transport.stomp.stomp_settings import MailboxLimits

log = logging.getLogger("hazelbend.stomp")


class FrameSink(Protocol):
    """A connection that frames are written to."""

    def send(self, frame: Frame) -> bool:
        """Write a frame. Returns False if the connection is closed, or had to be closed as too slow."""

    def close_with_error(self, text: str) -> None:
        """Send an ERROR frame, then close the connection."""


StompGate: TypeAlias = Callable[[Job, str, Frame], PendingJob]
"""Submits a job with its client identity and its frame to the job queue; raises `BadRequestError`."""


@dataclass(slots=True)
class StoredBytes:
    """The total size of the jobs and answers in all mailboxes."""

    total: int = 0  # bytes


@dataclass(slots=True, eq=False)
class MailboxEntry:
    """One request of one client, identified by the client's own id."""

    request_id: str
    message_id: str
    answer: Answer | None = None
    is_acknowledged: bool = False  # also set once sent to a subscription that requires no ACK
    ack_id: str = ""  # the value that the client's ACK must contain
    size_bytes: int = 0  # of the job, and later of its answer


@dataclass(slots=True, eq=False)
class Subscription:
    """A client's subscription to its answers, on one connection."""

    id: str
    ack_mode: str
    sink: FrameSink
    unacknowledged: list[MailboxEntry] = field(default_factory=list)  # sent, in order


# Only the client determines when its mailbox has space again, so the decision module cannot estimate it.
FULL_RETRY_AFTER_US = 1_000_000
MESSAGE_ID_BYTES = 8


class Mailbox:
    """The requests, answers and subscriptions of one client identity."""

    def __init__(
        self,
        identity: str,
        limits: MailboxLimits,
        router: Router,
        catalogue: Catalogue,
        stored: StoredBytes,
        free_memory: Callable[[], None],
    ) -> None:
        self.identity = identity
        self._stored = stored
        self._free_memory = free_memory
        self._limits = limits
        self._router = router
        self.catalogue = catalogue
        self._entries: dict[str, MailboxEntry] = {}
        self._subscriptions: list[Subscription] = []
        self.gate: StompGate | None = None  # of the job queue; None: there is no queue
        self.connections = 0  # of this client; one that has sent nothing yet may still send requests

    @property
    def is_empty(self) -> bool:
        """Whether the mailbox can be deleted without losing anything."""
        return not self._entries and not self.connections

    def unacknowledged_entries(self) -> list[MailboxEntry]:
        """Return the entries that are open or whose answer is unacknowledged, oldest first."""
        return [entry for entry in self._entries.values() if not entry.is_acknowledged]

    def send(self, frame: Frame, allowed_tenants: tuple[str, ...] = ()) -> None:
        """Accept the job of a SEND frame. A job with a known id attaches to its entry and is not run again.

        Raises:
            BadRequestError: the job cannot be accepted.
        """
        request_id = stomp_jobs.request_id(frame)
        if (known := self._entries.get(request_id)) is not None:
            if known.answer is not None:
                known.is_acknowledged = False
                self._deliver(known)
            return
        if allowed_tenants and frame.get("tenant") not in allowed_tenants:
            raise BadRequestError("this client may not send for that tenant")
        job = stomp_jobs.read_job(frame, self.identity, self.catalogue)
        if self._router.is_open(job.id):
            # During an upgrade the job may still be open in the old process. It must not run twice.
            raise BadRequestError("a request of this id is open in another process: send it again later")
        entry = MailboxEntry(request_id, secrets.token_hex(MESSAGE_ID_BYTES))
        if self._is_full(len(frame.body)):
            self._reject(entry, job)
            return
        self._entries[request_id] = entry
        self._set_size(entry, len(frame.body))
        try:
            pending = self._router.accept(job) if self.gate is None else self.gate(job, self.identity, frame)
        except BadRequestError:
            self._drop(entry)
            raise
        pending.answered.add_done_callback(lambda future: self._on_answer(entry, future.result()))

    def subscribe(self, subscription: Subscription) -> None:
        """Add a subscription and send it the waiting answers in the order of their requests."""
        self._subscriptions.append(subscription)
        for entry in self.unacknowledged_entries():
            if entry.answer is not None and not any(
                entry in other.unacknowledged for other in self._subscriptions
            ):
                self._deliver(entry)

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a subscription.

        Its unacknowledged answers are sent to another subscription of the client, or wait for one.
        """
        if subscription not in self._subscriptions:
            return
        self._subscriptions.remove(subscription)
        for entry in subscription.unacknowledged:
            self._deliver(entry)

    def acknowledge(self, subscription: Subscription, ack_id: str, *, accepted: bool) -> bool:
        """Apply an ACK (`accepted`) or a NACK, after which the answers stay unacknowledged.

        Returns False if the subscription has no unacknowledged message of this id.
        """
        position = next(
            (index for index, entry in enumerate(subscription.unacknowledged) if entry.ack_id == ack_id), None
        )
        if position is None:
            return False
        # In mode "client" an acknowledgement also covers all earlier messages.
        first = 0 if subscription.ack_mode == "client" else position
        for entry in subscription.unacknowledged[first : position + 1]:
            entry.is_acknowledged = accepted
        del subscription.unacknowledged[first : position + 1]
        return True

    # --- answers ---

    def _reject(self, entry: MailboxEntry, job: Job) -> None:
        """Answer a job that does not fit into the mailbox. It has not run, so the client may resend it."""
        entry.answer = self._router.reject(job, FULL_RETRY_AFTER_US)
        entry.is_acknowledged = True
        if self._subscriptions:
            self._write(self._subscriptions[-1], entry, is_retained=False)

    def _set_size(self, entry: MailboxEntry, size: int) -> None:
        self._stored.total += size - entry.size_bytes
        entry.size_bytes = size

    def drop_acknowledged(self) -> None:
        """Delete the entries whose answers the client has acknowledged."""
        for entry in [known for known in self._entries.values() if known.is_acknowledged]:
            self._drop(entry)

    def _drop(self, entry: MailboxEntry) -> None:
        del self._entries[entry.request_id]
        self._set_size(entry, 0)

    def _is_full(self, size: int) -> bool:
        if self._stored.total + size > self._limits.total_bytes:
            self._free_memory()
            if self._stored.total + size > self._limits.total_bytes:
                return True
        waiting = self.unacknowledged_entries()
        waiting_bytes = sum(entry.size_bytes for entry in waiting)
        return len(waiting) >= self._limits.waiting or waiting_bytes >= self._limits.waiting_bytes

    def _on_answer(self, entry: MailboxEntry, answer: Answer) -> None:
        entry.answer = answer
        self._set_size(entry, len(answer.result))
        asyncio.get_running_loop().call_later(self._limits.keep_s, self._expire, entry)
        self._deliver(entry)
        acknowledged = [known for known in self._entries.values() if known.is_acknowledged]
        for oldest in acknowledged[: max(len(acknowledged) - self._limits.remembered, 0)]:
            self._drop(oldest)

    def _expire(self, entry: MailboxEntry) -> None:
        if self._entries.get(entry.request_id) is not entry:
            return
        self._drop(entry)
        if not entry.is_acknowledged:
            log.warning(
                "%s: the answer to %s expired before it was acknowledged", self.identity, entry.request_id
            )
        for subscription in self._subscriptions:
            if entry in subscription.unacknowledged:
                subscription.unacknowledged.remove(entry)

    def _deliver(self, entry: MailboxEntry) -> None:
        """Send an answer to the newest subscription that accepts it; without one it stays in the mailbox."""
        for subscription in reversed(self._subscriptions):
            if self._write(subscription, entry):
                return

    def _write(self, subscription: Subscription, entry: MailboxEntry, *, is_retained: bool = True) -> bool:
        """Send an answer. If `is_retained`, it stays in the mailbox until it is acknowledged."""
        assert entry.answer is not None
        headers = {
            "subscription": subscription.id,
            "message-id": entry.message_id,
            "destination": stomp_jobs.ANSWERS_DESTINATION,
            "request-id": entry.request_id,
            **stomp_jobs.answer_headers(entry.answer),
        }
        if needs_ack := subscription.ack_mode != "auto":
            headers["ack"] = entry.message_id
        if not subscription.sink.send(Frame("MESSAGE", headers, entry.answer.result)):
            return False
        if needs_ack and is_retained:
            entry.ack_id = entry.message_id
            if entry not in subscription.unacknowledged:
                subscription.unacknowledged.append(entry)
        else:
            entry.is_acknowledged = True
        return True
