"""The clients of the STOMP front: their flows and final answers, which outlive a connection."""

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

log = logging.getLogger("hazelbend.stomp")


class Outlet(Protocol):
    """A connection, as its mailbox sees it; `send` says whether the frame is on its way."""

    def send(self, frame: Frame) -> bool: ...

    def cut(self, text: str) -> None: ...


StompGate: TypeAlias = Callable[[Job, str, Frame], PendingJob]


@dataclass(slots=True)
class Bounds:
    """What is kept for clients that are not there."""

    waiting: int = 256  # flows under way and answers not acknowledged, for one client
    waiting_bytes: int = 4 * 1024 * 1024
    remembered: int = 2_048  # acknowledged requests whose ids are still known
    keep_s: float = 300.0  # how long an answer waits, and an id stays known after it
    total_bytes: int = 32 * 1024 * 1024  # jobs and answers of all clients together


@dataclass(slots=True)
class Usage:
    """The bytes that all mailboxes hold together."""

    held: int = 0


@dataclass(slots=True, eq=False)
class Entry:
    """One request of one client, by the client's own id."""

    request_id: str
    message_id: str
    answer: Answer | None = None
    settled: bool = False  # acknowledged, or sent where the subscription asks for no acknowledgement
    ack: str = ""  # the header that the client's ACK must name
    size: int = 0  # bytes held: of the job, then of its answer


@dataclass(slots=True, eq=False)
class Subscription:
    id: str
    ack_mode: str
    outlet: Outlet
    sent: list[Entry] = field(default_factory=list)  # awaiting acknowledgement, in order


# How soon a client makes room is its own doing, so no estimate of the module's fits.
FULL_PAUSE = 1_000_000  # microseconds


class Mailbox:
    """All that belongs to one client identity."""

    def __init__(
        self,
        identity: str,
        bounds: Bounds,
        router: Router,
        catalogue: Catalogue,
        usage: Usage,
        make_room: Callable[[], None],
    ) -> None:
        self.identity = identity
        self._usage, self._make_room = usage, make_room
        self._bounds, self._router, self.catalogue = bounds, router, catalogue
        self._entries: dict[str, Entry] = {}
        self._subscriptions: list[Subscription] = []
        self.gate: StompGate | None = None  # where jobs may wait
        self.connections = 0  # whose client this is; one that has sent nothing yet may still do so

    @property
    def is_empty(self) -> bool:
        return not self._entries and not self.connections

    def unsettled(self) -> list[Entry]:
        return [entry for entry in self._entries.values() if not entry.settled]

    def send(self, frame: Frame, allowed_tenants: tuple[str, ...] = ()) -> None:
        """A job. One whose id is known attaches to what there is: it never runs anew."""
        request_id = stomp_jobs.request_id(frame)
        if (known := self._entries.get(request_id)) is not None:
            if known.answer is not None:
                known.settled = False
                self._deliver(known)
            return
        if allowed_tenants and frame.get("tenant") not in allowed_tenants:
            raise BadRequestError("this client may not send for that tenant")
        job = stomp_jobs.read_job(frame, self.identity, self.catalogue)
        if self._router.is_open(job.id):
            # In an upgrade: its flow is open in the process before. It must not run anew beside it.
            raise BadRequestError("a request of this id is open in another process: send it again later")
        entry = Entry(request_id, secrets.token_hex(8))
        if self._is_full(len(frame.body)):
            # Nothing has run: a refusal is true. It is not kept, as there is no room to keep it.
            entry.answer = self._router.reject(job, FULL_PAUSE)
            entry.settled = True
            if self._subscriptions:
                self._write(self._subscriptions[-1], entry, remember=False)
            return
        self._entries[request_id] = entry
        self._hold(entry, len(frame.body))
        try:
            flow = self._router.accept(job) if self.gate is None else self.gate(job, self.identity, frame)
        except BadRequestError:
            self._drop(entry)
            raise
        flow.answered.add_done_callback(lambda done: self._answered(entry, done.result()))

    def subscribe(self, subscription: Subscription) -> None:
        """Answers that wait go out at once, in the order of their requests."""
        self._subscriptions.append(subscription)
        for entry in self.unsettled():
            if entry.answer is not None and not any(entry in each.sent for each in self._subscriptions):
                self._deliver(entry)

    def unsubscribe(self, subscription: Subscription) -> None:
        """What it had not acknowledged goes to another subscription of the same client, or waits."""
        if subscription not in self._subscriptions:
            return
        self._subscriptions.remove(subscription)
        for entry in subscription.sent:
            self._deliver(entry)

    def acknowledge(self, subscription: Subscription, name: str, good: bool) -> bool:
        """An ACK or NACK that names a message; False if it names none that is out. NACK: it waits on."""
        number = next((at for at, each in enumerate(subscription.sent) if each.ack == name), None)
        if number is None:
            return False
        first = 0 if subscription.ack_mode == "client" else number
        for entry in subscription.sent[first : number + 1]:
            entry.settled = good
        del subscription.sent[first : number + 1]
        return True

    # --- answers ---

    def _hold(self, entry: Entry, size: int) -> None:
        self._usage.held += size - entry.size
        entry.size = size

    def drop_settled(self) -> None:
        """Forget the answers that their client has."""
        for entry in [each for each in self._entries.values() if each.settled]:
            self._drop(entry)

    def _drop(self, entry: Entry) -> None:
        del self._entries[entry.request_id]
        self._hold(entry, 0)

    def _is_full(self, size: int) -> bool:
        if self._usage.held + size > self._bounds.total_bytes:
            self._make_room()
            if self._usage.held + size > self._bounds.total_bytes:
                return True
        waiting = self.unsettled()
        held = sum(entry.size for entry in waiting)
        return len(waiting) >= self._bounds.waiting or held >= self._bounds.waiting_bytes

    def _answered(self, entry: Entry, answer: Answer) -> None:
        entry.answer = answer
        self._hold(entry, len(answer.result))
        asyncio.get_running_loop().call_later(self._bounds.keep_s, self._forget, entry)
        self._deliver(entry)
        settled = [each for each in self._entries.values() if each.settled]
        for oldest in settled[: max(len(settled) - self._bounds.remembered, 0)]:
            self._drop(oldest)

    def _forget(self, entry: Entry) -> None:
        if self._entries.get(entry.request_id) is not entry:
            return
        self._drop(entry)
        if not entry.settled:
            log.warning(
                "%s: the answer to %s was not fetched in time; dropped", self.identity, entry.request_id
            )
        for subscription in self._subscriptions:
            if entry in subscription.sent:
                subscription.sent.remove(entry)

    def _deliver(self, entry: Entry) -> None:
        """To the newest subscription that takes it; without one it waits."""
        for subscription in reversed(self._subscriptions):
            if self._write(subscription, entry):
                return

    def _write(self, subscription: Subscription, entry: Entry, remember: bool = True) -> bool:
        assert entry.answer is not None
        headers = {
            "subscription": subscription.id,
            "message-id": entry.message_id,
            "destination": stomp_jobs.ANSWERS_DESTINATION,
            "request-id": entry.request_id,
            **stomp_jobs.answer_headers(entry.answer),
        }
        if asks := subscription.ack_mode != "auto":
            headers["ack"] = entry.message_id
        if not subscription.outlet.send(Frame("MESSAGE", headers, entry.answer.result)):
            return False
        if asks and remember:
            entry.ack = entry.message_id
            if entry not in subscription.sent:
                subscription.sent.append(entry)
        else:
            entry.settled = True
        return True
