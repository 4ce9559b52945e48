"""The clients of the STOMP front: their flows and final answers, which outlive a connection."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import BadRequest, Catalogue
from hazelbend.protocol.stomp import Frame
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.routing.router import Flow

log = logging.getLogger("hazelbend.stomp")


class Outlet(Protocol):
    """A connection, as its mailbox sees it; `send` says whether the frame is on its way."""

    def send(self, frame: Frame) -> bool: ...

    def cut(self, text: str) -> None: ...


@dataclass(slots=True)
class Bounds:
    """What is kept for clients that are not there."""

    waiting: int = 256  # flows under way and answers not acknowledged, for one client
    waiting_bytes: int = 4 * 1024 * 1024
    remembered: int = 2_048  # acknowledged requests whose ids are still known
    keep_s: float = 300.0  # how long an answer waits, and an id stays known after it


@dataclass(slots=True, eq=False)
class Entry:
    """One request of one client, by the client's own id."""

    request_id: str
    message_id: str
    answer: Answer | None = None
    settled: bool = False  # acknowledged, or sent where the subscription asks for no acknowledgement
    ack: str = ""  # the header that the client's ACK must name


@dataclass(slots=True, eq=False)
class Subscription:
    id: str
    ack_mode: str
    outlet: Outlet
    sent: list[Entry] = field(default_factory=list)  # awaiting acknowledgement, in order


class Mailbox:
    """All that belongs to one client identity."""

    def __init__(
        self, identity: str, bounds: Bounds, take: Callable[[Job], Flow], catalogue: Catalogue
    ) -> None:
        self.identity = identity
        self._bounds, self._take, self._catalogue = bounds, take, catalogue
        self._entries: dict[str, Entry] = {}
        self._subscriptions: list[Subscription] = []

    @property
    def is_empty(self) -> bool:
        return not self._entries and not self._subscriptions

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
            raise BadRequest("this client may not send for that tenant")
        job = stomp_jobs.read_job(frame, self.identity, self._catalogue)
        entry = Entry(request_id, secrets.token_hex(8))
        if self._is_full():
            # Nothing has run: a refusal is true. It is not kept, as there is no room to keep it.
            entry.answer = Answer(Verdict.REFUSED, retry_after=1_000_000)
            entry.settled = True
            if self._subscriptions:
                self._write(self._subscriptions[-1], entry, remember=False)
            return
        self._entries[request_id] = entry
        flow = self._take(job)
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

    def _is_full(self) -> bool:
        waiting = self.unsettled()
        size = sum(len(entry.answer.result) for entry in waiting if entry.answer is not None)
        return len(waiting) >= self._bounds.waiting or size >= self._bounds.waiting_bytes

    def _answered(self, entry: Entry, answer: Answer) -> None:
        entry.answer = answer
        asyncio.get_running_loop().call_later(self._bounds.keep_s, self._forget, entry)
        self._deliver(entry)
        settled = [each for each in self._entries.values() if each.settled]
        for oldest in settled[: max(len(settled) - self._bounds.remembered, 0)]:
            del self._entries[oldest.request_id]

    def _forget(self, entry: Entry) -> None:
        if self._entries.pop(entry.request_id, None) is not None and not entry.settled:
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
            "destination": stomp_jobs.ANSWERS,
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
