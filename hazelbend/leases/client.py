"""One wish for a lease, from the asking to the end: whose side of the time it keeps, see leases.py.

    ASKING   --held by another, and it may wait-->  WAITING
    ASKING, WAITING  --the answer has a token-->    HELD, until its time
    ASKING, WAITING  --refused, or its wait over--> ENDED, with `why`
    HELD     --an answer to a renewal-->            HELD, until a later time
    HELD     --its time over, or told that it is lost--> ENDED, `why` "lost"
    HELD     --let_go-->  RELEASING --answered, or its time over--> ENDED

`may_act` is the one question to ask before each act. `stop_at` is when a task that takes `stopping` to stop
has to be told. An answer that is lost, or comes from one that does not lead, counts for nothing: it asks
again.

Invariant: it may act only before `sent + ttl * (1 - drift) / (1 + drift)`, `sent` being when a request left
whose own answer named the token that it holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hazelbend.leases.lease_table import Acquire, Answer, LeaveQueue, Limits, Operation, Release, Renew

RENEWED = 3  # times that a renewal is due within a lease's time
TRIES = 4  # of a renewal in such a part

LONGEST_PARK = 1_000_000  # microseconds
# A wish goes on after these: it is asked for again after a pause.
AGAIN = ("not open yet", "busy", "free", "lost")


def parked(ttl: int) -> int:
    """How long the grantor may keep the answer to one that waits: its time counts from its request."""
    return min(ttl // 4, LONGEST_PARK)


class Stage(Enum):
    ASKING = "asking"
    WAITING = "waiting"
    HELD = "held"
    RELEASING = "releasing"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Request:
    """To be put to whoever leads; `number` goes to `answered` with what came back."""

    number: int
    operation: Operation


class Holder:
    def __init__(
        self, name: str, holder: str, ask: int, limits: Limits, now: int, *, ttl: int, wait: int = 0
    ) -> None:
        """`wait`: for how long, microseconds. `holder` and `ask` together are used once and never again."""
        self.name, self.holder, self.ask, self.ttl, self.wait = name, holder, ask, ttl, wait
        self.counted = round(ttl * (1 - limits.drift) / (1 + limits.drift))
        self.pause = ttl // (RENEWED * TRIES)
        self.stage, self.why = Stage.ASKING, ""
        self.token, self.until = 0, 0
        self.asked_at = now
        self.due = now
        self.sent: dict[int, int] = {}
        self.number = 0

    def may_act(self, now: int) -> bool:
        return self.stage is Stage.HELD and now < self.until

    def stop_at(self, stopping: int) -> int:
        return self.until - stopping

    def let_go(self, now: int) -> None:
        """The task is over, or must be. Nobody acts from here on."""
        if self.stage is Stage.HELD:
            self.stage, self.due = Stage.RELEASING, now
        elif self.stage in (Stage.ASKING, Stage.WAITING):
            self._end("given up")

    def tick(self, now: int) -> list[Request]:
        if self.stage in (Stage.HELD, Stage.RELEASING) and now >= self.until:
            self._end("lost" if self.stage is Stage.HELD else "")
        elif self.stage in (Stage.ASKING, Stage.WAITING) and now > self.asked_at + max(self.wait, self.ttl):
            self._end("held" if self.stage is Stage.WAITING else "no answer")
            return [self._request(LeaveQueue(self.name, self.holder), now)]
        if self.stage is Stage.ENDED or now < self.due:
            return []
        # One that waits is answered when it gets the lease, or after `parked`.
        self.due = now + self.pause + (parked(self.ttl) if self.stage is Stage.WAITING else 0)
        if self.stage is Stage.HELD:
            return [self._request(Renew(self.name, self.token), now)]
        if self.stage is Stage.RELEASING:
            return [self._request(Release(self.name, self.token), now)]
        return [self._request(Acquire(self.name, self.holder, self.ask, self.ttl, self.wait), now)]

    def answered(self, number: int, answer: Answer | None, now: int) -> None:
        """None: nobody that leads has answered."""
        sent = self.sent.pop(number, None)
        if sent is None or answer is None or self.stage is Stage.ENDED:
            return
        if self.stage is Stage.RELEASING:
            if not answer.token:
                self._end("")
        elif answer.token and self.token in (0, answer.token):
            self.stage, self.token = Stage.HELD, answer.token
            until = sent + self.counted
            if until > self.until:
                self.until, self.due = until, sent + self.ttl // RENEWED
        elif self.stage is Stage.HELD:
            # An older wish's answer says nothing of the token that is held.
            if answer.why in ("lost", "free"):
                self._end("lost")
        elif answer.place:
            self.stage = Stage.WAITING
            self.due = max(now, sent + self.pause)
        elif answer.why not in AGAIN:
            self._end(answer.why)

    def _request(self, operation: Operation, now: int) -> Request:
        self.number += 1
        self.sent[self.number] = now
        while len(self.sent) > RENEWED * TRIES:
            del self.sent[next(iter(self.sent))]
        return Request(self.number, operation)

    def _end(self, why: str) -> None:
        self.stage, self.why, self.sent = Stage.ENDED, why, {}
