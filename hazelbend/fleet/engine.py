"""One dispatcher's part in the fleet: members, the record, the leases and their watch, as one engine told the
time.

The driver calls `tick` when `due` says so, `receive` with what comes from peers, `ask` with what holders
want; then it saves what `unsaved` names, sends `out`, and hands `answers` back. Nothing here waits.

What each part needs of the others is joined here and nowhere else:
    - the leader puts to the record what the watch finds over, once for a state that it has seen;
    - the leader sees to the voters by what the members say, every `TEND`;
    - one that does not lead answers a wish with who does, as far as it knows.

A fleet that is unreachable changes nothing outside: whoever holds a lease ends it by its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from hazelbend.fleet import members as mb
from hazelbend.fleet import record as rc
from hazelbend.fleet.holder import parked
from hazelbend.fleet.leases import Acquire, Answer, Leases, Limits, Operation, Watch, encode
from hazelbend.fleet.memory import Memory, epoch_number
from hazelbend.fleet.messages import Message
from hazelbend.fleet.record import Record
from hazelbend.fleet.voters import next_voters

TEND = 500_000  # microseconds between looks at the voters


@dataclass(slots=True, frozen=True)
class Plan:
    """What the settings say of a fleet."""

    fleet: str
    seeds: tuple[str, ...]
    voters: int = 3
    limits: Limits = Limits()
    asks_per_s: float = 100.0  # wishes for a lease that a leader puts to the record; twice as many at once


class Reply(msgspec.Struct, frozen=True):
    """To one wish: the machine's answer, or, without it, the identity of who leads, if that is known."""

    answer: Answer | None = None
    leader: str = ""


class MemberView(msgspec.Struct, frozen=True):
    identity: str
    status: str
    incarnation: int
    for_s: float


class LeaseView(msgspec.Struct, frozen=True):
    name: str
    holder: str
    token: int
    ttl_s: float
    renewals: int
    renewed_s_ago: float | None  # as far as this process has seen
    waiters: tuple[str, ...]


class View(msgspec.Struct, frozen=True):
    """What one dispatcher knows; `fresh`: it leads and has committed in its own term."""

    fleet: str
    me: str
    role: str
    epoch: int
    term: int
    leader: str
    fresh: bool
    open: bool
    commit: int
    lag: int  # entries that it holds and knows not to be committed
    doubt: int
    voters: tuple[str, ...]
    members: tuple[MemberView, ...]
    leases: tuple[LeaseView, ...]
    strangers: dict[str, str]


class Fleet:
    def __init__(self, identity: str, plan: Plan, seed: int, now: int, memory: Memory | None = None) -> None:
        self.plan = plan
        self.leases, self.watch = Leases(plan.limits), Watch(plan.limits)
        self.members = mb.Members(identity, plan.fleet, plan.seeds, mb.Timing(), seed, now)
        self.record = Record(memory or Memory(identity), self.leases, rc.Timing(), seed, now)
        self.record.watcher = lambda at: self.watch.look(self.leases, at)
        self.record.watcher(now)
        self.out: list[tuple[str, mb.Packet | Message]] = []  # to an address
        self.answers: list[tuple[int, Reply]] = []
        self._tickets: dict[int, tuple[int, Operation]] = {}  # of the record's: the driver's number, the wish
        self._parked: dict[int, tuple[Acquire, Answer, int]] = {}  # by the driver's number: until when
        self._tend_at = self._now = now
        self._asks, self._asks_at = 2 * plan.asks_per_s, now

    @property
    def me(self) -> str:
        return self.members.me

    @property
    def has_to_say(self) -> bool:
        """Whether something is to be saved or sent."""
        record = self.record
        return bool(self.out or self.answers or record.promise_changed or record.unsaved is not None)

    def take(self) -> tuple[list[tuple[str, mb.Packet | Message]], list[tuple[int, Reply]]]:
        """What is to be sent, and answered, once what it rests on is saved."""
        taken = self.out, self.answers
        self.out, self.answers = [], []
        return taken

    @property
    def due(self) -> int:
        times = [self.members.due, self.record.due]
        if self.record.leads:
            times += [self._tend_at, self.watch.due(self.leases)]
        times += [until for _, _, until in self._parked.values()]
        return min(times)

    @property
    def leader(self) -> str:
        """Who leads, as the record says; to one that does not vote, as the members tell each other."""
        record, (epoch, _, told) = self.record, self.members.head
        if record.leader or record.is_voter or epoch < record.memory.epoch or told in self.members.lost():
            return record.leader
        return told

    def tick(self, now: int) -> None:
        self._now = now
        if now >= self.members.due:
            self.members.tick(now)
        if now >= self.record.due:
            self.record.tick(now)
        if self.record.leads:
            self._lead(now)
        for number, (_, answer, until) in list(self._parked.items()):
            if now >= until:
                self._unpark(number, answer)
        self._collect()

    def receive(self, item: mb.Packet | Message, now: int) -> None:
        self._now = now
        if isinstance(item, mb.Packet):
            self.members.receive(item, now)
        elif item.to == self.me:  # an address that was another's: what was meant for it is not for us
            self.record.receive(item, now)
        self._collect()

    def ask(self, number: int, operation: Operation, now: int) -> None:
        """A reply with this number comes, at once or once the record has taken it."""
        self._now = now
        if isinstance(operation, Acquire) and self.record.leads and not self._may_ask(now):
            # A flood of takers must not keep those that hold from renewing: these alone are held off.
            self.answers.append((number, Reply(Answer(why="busy"), self.me)))
            return
        ticket = self.record.propose(encode(operation), now)
        if ticket is None:
            self.answers.append((number, Reply(leader="" if self.record.leads else self.leader)))
        else:
            self._tickets[ticket] = (number, operation)
        self._collect()

    def _may_ask(self, now: int) -> bool:
        rate = self.plan.asks_per_s
        self._asks = min(self._asks + (now - self._asks_at) * rate / 1e6, 2 * rate)
        self._asks_at = now
        if self._asks < 1.0:
            return False
        self._asks -= 1.0
        return True

    def found(self, unix_s: float, now: int) -> int:
        """An operator's word: a new epoch, with this one voter. Its number."""
        epoch = epoch_number(self.record.memory.epoch, unix_s, self.me)
        self.record.found(epoch, now)
        self._collect()
        return epoch

    def leave(self, now: int) -> None:
        """Tell the members."""
        self.members.leave(now)
        self._collect()

    def hand_over(self, now: int) -> bool:
        """Let another voter lead, if there is one that is well; call it again until it is False: then it does
        not lead, or nobody else can."""
        well = self.members.well()
        others = [each for each in self.record.voters if each in well and each != self.me]
        if not self.record.leads or not others:
            return False
        self.record.hand_over(others[0], now)
        self._collect()
        return True

    def view(self, now: int) -> View:
        record, members = self.record, self.members
        seen = {name: at for (name, _, _), at in self.watch.since.items()}
        return View(
            fleet=self.plan.fleet,
            me=self.me,
            role=record.role.value if record.is_voter else "member",
            epoch=record.memory.epoch,
            term=record.memory.term,
            leader=self.leader,
            fresh=record.settled,
            open=self.leases.state.open,
            commit=record.commit,
            lag=record.memory.last - record.commit,
            doubt=members.doubt,
            voters=record.voters,
            members=tuple(
                MemberView(
                    each.identity, each.status.name.lower(), each.incarnation, (now - each.since) / 1e6
                )
                for each in sorted(members.table.values(), key=lambda each: each.identity)
            ),
            leases=tuple(
                LeaseView(
                    name,
                    each.holder,
                    each.token,
                    each.ttl / 1e6,
                    each.renewals,
                    (now - seen[name]) / 1e6 if name in seen else None,
                    tuple(waiter.holder for waiter in each.waiters),
                )
                for name, each in sorted(self.leases.state.leases.items())
            ),
            strangers=dict(members.strangers),
        )

    def _lead(self, now: int) -> None:
        record = self.record
        for operation in self.watch.to_ask(self.leases, record.memory.term, now):
            record.propose(encode(operation), now)
        if now >= self._tend_at:
            self._tend_at = now + TEND
            well = self.members.well()
            lost = {each for each in record.voters if each not in well}
            wish = next_voters(record.voters, self.me, well, lost, self.plan.voters)
            record.set_learners(set(wish or ()) - set(record.voters), now)
            if wish is not None:
                record.change_voters(wish, now)

    def _collect(self) -> None:
        record = self.record
        if record.leader:
            head = (record.memory.epoch, record.memory.term, record.leader)
            self.members.head = max(self.members.head, head)
        for packet in self.members.out:
            self.out.append((mb.address_of(packet.to) or packet.to, packet))
        self.members.out.clear()
        for message in self.record.out:
            self.out.append((mb.address_of(message.to), message))
        self.record.out.clear()
        done, self.record.done = self.record.done, []
        for each in done:
            number, operation = self._tickets.pop(each.ticket, (None, None))
            if number is None:
                continue
            answer = each.result if each.ok and isinstance(each.result, Answer) else None
            if answer is not None and answer.place and isinstance(operation, Acquire):
                self._parked[number] = (operation, answer, self._now + parked(operation.ttl))
            else:
                self.answers.append((number, Reply(answer, record.leader)))
        for number, (wish, _, _) in list(self._parked.items()):
            lease = self.leases.state.leases.get(wish.name)
            if lease is not None and (lease.holder, lease.ask) == (wish.holder, wish.ask):
                # It was given the lease after its request had left, so its time may count from then.
                self._unpark(number, Answer(lease.token))
            elif not record.leads:
                self._unpark(number, None)

    def _unpark(self, number: int, answer: Answer | None) -> None:
        """Answer one that waits; what it is told of its place may be older than it is."""
        del self._parked[number]
        self.answers.append((number, Reply(answer, self.record.leader)))
