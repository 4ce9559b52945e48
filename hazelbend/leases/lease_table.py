"""Leases for fleet-wide tasks: the machine that the record's entries change, and the leader's watch on time.

State of a lease (`Lease`), by operations in the record's order:

    free     --Acquire-->               held by it, a new token
    held     --Acquire by another-->    the same; with `wait`, the other waits at the end of the queue
    held     --Acquire, Renew by its holder-->  held, one more `renewals`: the grantor's time starts anew
    held     --Release, HandOver, ForceRelease-->  to the named one, else to the first that waits, else free
    held     --Expire of this token and these renewals-->  as Release; of any others: nothing
    waiting  --LeaveQueue, or Expire of a wait-->  no longer waiting

Time is no part of the machine, so all that apply the same entries hold the same leases. It enters twice:

- The **holder** counts from before its request left, and only by an answer to that request, and it counts
  short: a time of `ttl` is over for it after `ttl * (1 - drift) / (1 + drift)` of its own clock.
- The **grantor** (`Watch`) is whoever leads. It counts the whole `ttl` from when the entry was applied in its
  own process, which is after the request left, and then asks for `Expire` with the renewals that it has seen.
  If the lease was renewed meanwhile, by whatever leader, the numbers differ and nothing happens.

So a lease ends for the fleet only after it has ended for its holder, whoever led in between and whatever a
wall clock does. One that has been given a lease while it waited learns of it by the answer to a request that
left before (engine.py keeps it until then), or by its next one, which the record counts as a renewal.

Tokens: the epoch, then a count that every grant adds one to. An epoch is higher than those before it, so that
tokens only ever grow. A new epoch begins without leases, and grants none until the longest `ttl` has passed
since it was founded: what the epoch before has granted is over by then, as nobody renews it.

Invariants, checked by the tests after every step: tokens grow with every grant; a name has one holder; a
holder does not wait for what it holds; nobody waits for a free lease; numbers and sizes stay in their limits.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

TOKEN_BITS = 28  # of a token below its epoch; with it a token has 63 bits
MOST_GRANTS = (1 << TOKEN_BITS) - 1  # of an epoch: 8 years of one a second
NAME, HOLDER = 200, 200  # most characters of a lease's name and a holder's


class Limits(msgspec.Struct, frozen=True):
    """Times in microseconds."""

    leases: int = 1_000
    waiters: int = 200  # for one lease
    shortest: int = 1_000_000  # ttl
    longest: int = 30_000_000
    drift: float = 0.05  # most that a clock's rate differs from true time's


class Acquire(msgspec.Struct, frozen=True, tag=True):
    """`ask` names one wish of one holder, so that the same that comes again is no other. `wait`: for how long
    it may wait, microseconds; 0: it does not."""

    name: str
    holder: str
    ask: int
    ttl: int
    wait: int = 0


class Renew(msgspec.Struct, frozen=True, tag=True):
    name: str
    token: int


class Release(msgspec.Struct, frozen=True, tag=True):
    name: str
    token: int


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """To one that waits for it."""

    name: str
    token: int
    to: str


class ForceRelease(msgspec.Struct, frozen=True, tag=True):
    """An operator's word. Its holder may still act, for which the next one's token is higher."""

    name: str


class LeaveQueue(msgspec.Struct, frozen=True, tag=True):
    name: str
    holder: str


class Expire(msgspec.Struct, frozen=True, tag=True):
    """By the grantor alone. `renewals`: those that its time was counted from."""

    name: str
    token: int
    renewals: int


class Open(msgspec.Struct, frozen=True, tag=True):
    """By the grantor: what the epoch before granted is over."""


class ExpireWait(msgspec.Struct, frozen=True, tag=True):
    name: str
    holder: str
    ask: int
    looks: int


Operation = Acquire | Renew | Release | HandOver | ForceRelease | LeaveQueue | Expire | ExpireWait | Open


class Answer(msgspec.Struct, frozen=True):
    """`token` above 0: the asker holds the lease, and its time counts from before the request. `place` above
    0: it waits, so many in all being before it. Neither: `why`."""

    token: int = 0
    place: int = 0
    why: str = ""


class Waiter(msgspec.Struct):
    holder: str
    ask: int
    ttl: int
    looks: int = 1  # how often it has asked: the grantor's time for it starts anew


class Lease(msgspec.Struct):
    holder: str
    ask: int
    ttl: int
    token: int
    renewals: int = 0
    waiters: list[Waiter] = []


class State(msgspec.Struct):
    epoch: int = 0
    open: bool = False
    granted: int = 0
    leases: dict[str, Lease] = {}


_operations = msgspec.msgpack.Decoder(Operation)
_states = msgspec.msgpack.Decoder(State)
_encoder = msgspec.msgpack.Encoder()


def encode(operation: Operation) -> bytes:
    return _encoder.encode(operation)


class Leases:
    """The machine. `apply` never fails: what is not possible is answered with `why`."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.state = State()

    def begin(self, epoch: int) -> None:
        """With nothing, in this epoch."""
        self.state = State(epoch)

    def snapshot(self) -> bytes:
        return _encoder.encode(self.state)

    def restore(self, state: bytes) -> None:
        self.state = _states.decode(state)

    def apply(self, index: int, op: bytes) -> Answer:
        operation = _operations.decode(op)
        if isinstance(operation, Open):
            self.state.open = True
            return Answer()
        lease = self.state.leases.get(operation.name)
        if isinstance(operation, Acquire):
            return self._acquire(operation, lease)
        if lease is None:
            return Answer(why="free")
        if isinstance(operation, (LeaveQueue, ExpireWait)):
            return self._leave(operation, lease)
        if not isinstance(operation, ForceRelease) and operation.token != lease.token:
            return Answer(why="lost")
        if isinstance(operation, Renew):
            lease.renewals += 1
            return Answer(lease.token)
        if isinstance(operation, Expire) and operation.renewals != lease.renewals:
            return Answer(why="renewed")
        to = operation.to if isinstance(operation, HandOver) else ""
        if to and all(each.holder != to for each in lease.waiters):
            return Answer(why="it does not wait")
        self._pass_on(operation.name, lease, to)
        return Answer(why="released")

    def _acquire(self, wish: Acquire, lease: Lease | None) -> Answer:
        limits = self.limits
        if not (0 < len(wish.name) <= NAME and 0 < len(wish.holder) <= HOLDER):
            return Answer(why="name")
        if not limits.shortest <= wish.ttl <= limits.longest:
            return Answer(why="ttl")
        if not self.state.open:
            return Answer(why="not open yet")
        if self.state.granted >= MOST_GRANTS:
            return Answer(why="the epoch has no tokens left")
        if lease is None:
            if len(self.state.leases) >= limits.leases:
                return Answer(why="too many leases")
            lease = self._grant(wish.name, wish.holder, wish.ask, wish.ttl, [])
            return Answer(lease.token)
        if (lease.holder, lease.ask) == (wish.holder, wish.ask):
            lease.renewals += 1
            return Answer(lease.token)
        for place, each in enumerate(lease.waiters, 1):
            if (each.holder, each.ask) == (wish.holder, wish.ask):
                each.looks += 1
                return Answer(place=place)
        if lease.holder == wish.holder or any(each.holder == wish.holder for each in lease.waiters):
            return Answer(why="another wish of the same holder")
        if not wish.wait:
            return Answer(why="held")
        if len(lease.waiters) >= limits.waiters:
            return Answer(why="too many wait")
        lease.waiters.append(Waiter(wish.holder, wish.ask, wish.ttl))
        return Answer(place=len(lease.waiters))

    def _leave(self, operation: LeaveQueue | ExpireWait, lease: Lease) -> Answer:
        for each in lease.waiters:
            if each.holder == operation.holder:
                if isinstance(operation, ExpireWait) and (each.ask, each.looks) != (
                    operation.ask,
                    operation.looks,
                ):
                    return Answer(why="it asked again")
                lease.waiters.remove(each)
                return Answer(why="left")
        return Answer(why="it does not wait")

    def _pass_on(self, name: str, lease: Lease, to: str = "") -> None:
        if not lease.waiters or self.state.granted >= MOST_GRANTS:
            del self.state.leases[name]
            return
        first = next((each for each in lease.waiters if each.holder == to), lease.waiters[0])
        lease.waiters.remove(first)
        self._grant(name, first.holder, first.ask, first.ttl, lease.waiters)

    def _grant(self, name: str, holder: str, ask: int, ttl: int, waiters: list[Waiter]) -> Lease:
        state = self.state
        state.granted += 1
        token = (state.epoch << TOKEN_BITS) + state.granted
        lease = state.leases[name] = Lease(holder, ask, ttl, token, 0, waiters)
        return lease


@dataclass(slots=True)
class Watch:
    """The grantor's time. Each process keeps it of all leases, by what it has itself applied; only the one
    that leads asks for what is over."""

    limits: Limits
    since: dict[tuple[str, int, int], int] = field(default_factory=dict)  # lease, token, renewals: applied at
    waits: dict[tuple[str, str, int, int], int] = field(default_factory=dict)  # lease, holder, ask, looks
    founded: tuple[int, int] = (0, 0)  # epoch, and since when it is known here
    term: int = -1  # in which it has put to the record what is in `asked`
    asked: set[Operation] = field(default_factory=set)

    def look(self, leases: Leases, now: int) -> None:
        """After entries were applied, or a snapshot taken: what is new has its time from now on."""
        state = leases.state
        if self.founded[0] != state.epoch:
            self.founded = (state.epoch, now)
        held = {(name, each.token, each.renewals): now for name, each in state.leases.items()}
        self.since = held | {key: at for key, at in self.since.items() if key in held}
        waits = {
            (name, each.holder, each.ask, each.looks): now
            for name, lease in state.leases.items()
            for each in lease.waiters
        }
        self.waits = waits | {key: at for key, at in self.waits.items() if key in waits}

    def opens(self) -> int:
        """From when on this epoch may grant."""
        return self.founded[1] + round(self.limits.longest * (1 + self.limits.drift))

    def due(self, leases: Leases) -> int:
        """When `over` may have something new."""
        times = [] if leases.state.open else [self.opens()]
        times += [at + leases.state.leases[name].ttl for (name, _, _), at in self.since.items()]
        times += [at + self.limits.longest for at in self.waits.values()]
        return min(times, default=1 << 62)

    def to_ask(self, leases: Leases, term: int, now: int) -> list[Operation]:
        """What one that leads in this term is to put to the record: what is over, each once."""
        over = set(self.over(leases, now))
        before = self.asked if term == self.term else set()
        self.term, self.asked = term, over
        return sorted(over - before, key=repr)

    def over(self, leases: Leases, now: int) -> list[Operation]:
        found: list[Operation] = [] if leases.state.open or now < self.opens() else [Open()]
        for (name, token, renewals), at in self.since.items():
            if now >= at + leases.state.leases[name].ttl:
                found.append(Expire(name, token, renewals))
        for (name, holder, ask, looks), at in self.waits.items():
            # One that waits is there: it asks again and again, and whoever does not is gone.
            if now >= at + self.limits.longest:
                found.append(ExpireWait(name, holder, ask, looks))
        return found
