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

from hazelbend.consensus import raft as rc
from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Message
from hazelbend.consensus.persistent_state import PersistentState, epoch_number
from hazelbend.consensus.raft import RaftNode
from hazelbend.consensus.voters import next_voters
from hazelbend.gossip.messages import LeaderHint, Packet
from hazelbend.gossip.swim import SwimNode
from hazelbend.gossip.timing import GossipTiming
from hazelbend.leases.client import parked
from hazelbend.leases.lease_table import Acquire, Answer, Leases, Limits, Operation, Watch, encode

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
    health_score: int = msgspec.field(name="doubt")
    voters: tuple[str, ...]
    members: tuple[MemberView, ...]
    leases: tuple[LeaseView, ...]
    foreign_fleets: dict[str, str] = msgspec.field(name="strangers")  # by address


class Fleet:
    def __init__(
        self, identity: str, plan: Plan, seed: int, now: int, memory: PersistentState | None = None
    ) -> None:
        self.plan = plan
        self.leases, self.watch = Leases(plan.limits), Watch(plan.limits)
        self.members = SwimNode(identity, plan.fleet, plan.seeds, GossipTiming(), seed, now)
        self.raft = RaftNode(memory or PersistentState(identity), self.leases, rc.Timing(), seed, now)
        self.raft.watcher = lambda at: self.watch.look(self.leases, at)
        self.raft.watcher(now)
        self.out: list[tuple[str, Packet | Message]] = []  # to an address
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
        record = self.raft
        return bool(self.out or self.answers or record.promise_changed or record.unsaved is not None)

    def take(self) -> tuple[list[tuple[str, Packet | Message]], list[tuple[int, Reply]]]:
        """What is to be sent, and answered, once what it rests on is saved."""
        taken = self.out, self.answers
        self.out, self.answers = [], []
        return taken

    @property
    def due(self) -> int:
        times = [self.members.next_at, self.raft.due]
        if self.raft.leads:
            times += [self._tend_at, self.watch.due(self.leases)]
        times += [until for _, _, until in self._parked.values()]
        return min(times)

    @property
    def leader(self) -> str:
        """Who leads, as the record says; to one that does not vote, as the members tell each other."""
        record, (epoch, _, told) = self.raft, self.members.leader_hint
        if (
            record.leader
            or record.is_voter
            or epoch < record.persistent.epoch
            or told in self.members.table.inactive()
        ):
            return record.leader
        return told

    def tick(self, now: int) -> None:
        self._now = now
        if now >= self.members.next_at:
            self.members.tick(now)
        if now >= self.raft.due:
            self.raft.tick(now)
        if self.raft.leads:
            self._lead(now)
        for number, (_, answer, until) in list(self._parked.items()):
            if now >= until:
                self._unpark(number, answer)
        self._collect()

    def receive(self, item: Packet | Message, now: int) -> None:
        self._now = now
        if isinstance(item, Packet):
            self.members.receive(item, now)
        elif item.to == self.me:  # an address that was another's: what was meant for it is not for us
            self.raft.receive(item, now)
        self._collect()

    def ask(self, number: int, operation: Operation, now: int) -> None:
        """A reply with this number comes, at once or once the record has taken it."""
        self._now = now
        if isinstance(operation, Acquire) and self.raft.leads and not self._may_ask(now):
            # A flood of takers must not keep those that hold from renewing: these alone are held off.
            self.answers.append((number, Reply(Answer(why="busy"), self.me)))
            return
        ticket = self.raft.propose(encode(operation), now)
        if ticket is None:
            self.answers.append((number, Reply(leader="" if self.raft.leads else self.leader)))
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
        epoch = epoch_number(self.raft.persistent.epoch, unix_s, self.me)
        self.raft.found(epoch, now)
        self._collect()
        return epoch

    def leave(self, now: int) -> None:
        """Tell the members."""
        self.members.leave(now)
        self._collect()

    def hand_over(self, now: int) -> bool:
        """Let another voter lead, if there is one that is well; call it again until it is False: then it does
        not lead, or nobody else can."""
        well = self.members.table.active()
        others = [each for each in self.raft.voters if each in well and each != self.me]
        if not self.raft.leads or not others:
            return False
        self.raft.hand_over(others[0], now)
        self._collect()
        return True

    def view(self, now: int) -> View:
        record, members = self.raft, self.members
        seen = {name: at for (name, _, _), at in self.watch.since.items()}
        return View(
            fleet=self.plan.fleet,
            me=self.me,
            role=record.role.value if record.is_voter else "member",
            epoch=record.persistent.epoch,
            term=record.persistent.term,
            leader=self.leader,
            fresh=record.settled,
            open=self.leases.state.open,
            commit=record.commit,
            lag=record.persistent.last - record.commit,
            health_score=members.health_score,
            voters=record.voters,
            members=tuple(
                MemberView(
                    each.identity, each.status.name.lower(), each.incarnation, (now - each.since) / 1e6
                )
                for each in sorted(members.table.members.values(), key=lambda each: each.identity)
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
            foreign_fleets=dict(members.foreign_fleets),
        )

    def _lead(self, now: int) -> None:
        record = self.raft
        for operation in self.watch.to_ask(self.leases, record.persistent.term, now):
            record.propose(encode(operation), now)
        if now >= self._tend_at:
            self._tend_at = now + TEND
            well = self.members.table.active()
            lost = {each for each in record.voters if each not in well}
            wish = next_voters(record.voters, self.me, well, lost, self.plan.voters)
            record.set_learners(set(wish or ()) - set(record.voters), now)
            if wish is not None:
                record.change_voters(wish, now)

    def _collect(self) -> None:
        record = self.raft
        if record.leader:
            hint = LeaderHint(record.persistent.epoch, record.persistent.term, record.leader)
            self.members.leader_hint = max(self.members.leader_hint, hint)
        for packet in self.members.outbox:
            self.out.append((address_of(packet.to) or packet.to, packet))
        self.members.outbox.clear()
        for message in self.raft.out:
            self.out.append((address_of(message.to), message))
        self.raft.out.clear()
        done, self.raft.done = self.raft.done, []
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
        self.answers.append((number, Reply(answer, self.raft.leader)))
