"""Who is in the fleet: failure detection and its news, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
local health, suspicion times and buddy rule (Dadgar, Phillips, Currey 2018), told the time and without I/O.

State of a member as one process sees it (`Status`), by the news that it takes:

    unknown           --alive-->                    ALIVE
    ALIVE             --suspect of its incarnation-->   SUSPECT, its time runs; each other that suspects
    shortens it SUSPECT           --alive of a higher incarnation--> ALIVE: it has denied it SUSPECT
    --its time is over, or dead--> DEAD ALIVE, SUSPECT    --left, by itself-->          LEFT DEAD
    --alive of a higher incarnation--> ALIVE: it was cut off, or stopped, and goes on any
    --another identity alive at its address--> DEAD: an address has one process LEFT
    --anything-->                 LEFT

A process that hears itself suspected or dead denies it with a higher incarnation. An identity is one memory
of one process, as in record.py: one that starts again is somebody else.

A slow detector distrusts itself first: each probe without an answer, and each suspicion of itself, makes its
own probes slower and its suspicions longer (`doubt`), and a probe that ran while the process itself stood
still, which its own late clock shows, says nothing about anybody.

Each period a process probes one member: directly, then through `helpers` others, so a cut between two is no
death. News rides on probes and answers, each so many times as the logarithm of the fleet's size. So the cost
for a process does not grow with the fleet, but for the length of the list that it exchanges whole now and
then, with a random member: that heals splits, together with a knock at a seed or at one held dead.

Invariants, checked by the tests: news of a member only goes up in (incarnation, status); nobody holds itself
to be other than alive, or left; an identity's address has one that is not dead; a fleet of another id changes
nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, log, log10

import msgspec

from hazelbend.consensus.identity import address_of


class Status(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class News(msgspec.Struct, frozen=True, array_like=True):
    """`by`: who suspects, as several make it surer."""

    member: str
    incarnation: int
    status: Status
    by: str = ""


class Probe(msgspec.Struct, frozen=True, tag=True):
    """Answer, or ask `through`'s target for me. `number` is the asker's own."""

    number: int
    target: str = ""  # probe this one on the sender's behalf; empty: the receiver itself


class Answer(msgspec.Struct, frozen=True, tag=True):
    """`ok` False: the one asked for another says that it has no answer yet, and is itself well."""

    number: int
    ok: bool = True


class Whole(msgspec.Struct, frozen=True, tag=True):
    """The whole list. `answer`: the receiver is to send its own."""

    answer: bool


Head = tuple[int, int, str]  # an epoch and a term of it, and who leads there
NOBODY: Head = (0, 0, "")


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """`to`: an identity, or only an address where nobody there is known."""

    fleet: str
    sender: str
    to: str
    body: Probe | Answer | Whole
    news: tuple[News, ...] = ()
    head: Head = NOBODY


@dataclass(slots=True, frozen=True)
class Timing:
    """Microseconds."""

    period: int = 1_000_000
    answer: int = 300_000  # to a probe; then others are asked to try
    helpers: int = 3
    suspicion: float = 4.0  # periods, times the logarithm to ten of the fleet's size, at least one
    longest: float = 6.0  # times that, while nobody else suspects
    surer: int = 3  # others that make it the shortest
    exchange: int = 30_000_000
    knock: int = 10_000_000  # at a seed, or one that is held dead
    forget: int = 300_000_000  # the dead and those that left
    news: int = 12  # in a packet
    repeats: float = 3.0  # of a piece of news, times the logarithm of the fleet's size
    most_doubt: int = 8


@dataclass(slots=True)
class Member:
    identity: str
    incarnation: int
    status: Status
    since: int  # in this status
    joined: int  # known here
    suspected_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Trial:
    """A probe that is under way."""

    target: str
    number: int
    began: int
    asked: bool = False  # others were asked to try
    helpers: int = 0
    heard: int = 0  # helpers that said that they are well


class Members:
    def __init__(
        self, me: str, fleet: str, seeds: tuple[str, ...], timing: Timing, seed: int, now: int
    ) -> None:
        """`seeds`: addresses to knock at."""
        self.me, self.fleet, self.timing = me, fleet, timing
        self.seeds = [each for each in seeds if each != address_of(me)]
        self.random = random.Random(seed)
        self.table = {me: Member(me, 1, Status.ALIVE, now, now)}
        self.living: dict[str, str] = {}  # by address
        self.out: list[Packet] = []
        self.strangers: dict[str, str] = {}  # address and id of other fleets that spoke here
        self.changes: list[Member] = []  # of status, for whoever watches; to be cleared by it
        self.doubt = 0  # Lifeguard's local health: 0 is well
        self.queue: dict[str, tuple[News, int]] = {}  # by member: news to pass on, and how often it was
        self.order: list[str] = []
        self.trial: Trial | None = None
        self.errands: dict[int, tuple[str, int, int]] = {}  # own number: for whom, its number, until
        self.number = 0
        self.next_probe = now + self.random.randrange(timing.period)
        self.next_exchange = now
        self.next_knock = now
        self.leaving = False
        self.head = NOBODY  # the newest that was heard of: for those that do not vote

    # --- what its owner asks ---

    def well(self) -> list[str]:
        """Those in the fleet, the longest there first; a suspect is in it still."""
        found = [each for each in self.table.values() if each.status <= Status.SUSPECT]
        return [each.identity for each in sorted(found, key=lambda each: (each.joined, each.identity))]

    def lost(self) -> set[str]:
        return {each.identity for each in self.table.values() if each.status > Status.SUSPECT}

    @property
    def size(self) -> int:
        return sum(each.status <= Status.SUSPECT for each in self.table.values())

    @property
    def due(self) -> int:
        times = [self.next_probe, self.next_exchange, self.next_knock]
        if self.trial is not None:
            times.append(self._step())
        times += [self._over(each) for each in self.table.values() if each.status is Status.SUSPECT]
        times += [until for _, _, until in self.errands.values()]
        return min(times)

    def leave(self, now: int) -> None:
        """Tell some at once; the rest hear it from them."""
        self.leaving = True
        self._take(News(self.me, self.table[self.me].incarnation, Status.LEFT), now)
        for other in self._some(self.timing.helpers, set()):
            self._send(other, Whole(answer=False))

    # --- time ---

    def tick(self, now: int) -> None:
        timing = self.timing
        if self.leaving:
            return
        if now - self.due > timing.period:
            self._stood_still(now, now - self.due)
        if self.trial is not None and now >= self._step():
            self._no_answer(self.trial, now)
        for number, (whom, its, until) in list(self.errands.items()):
            if now >= until:
                self._send(whom, Answer(its, ok=False))
                del self.errands[number]
        for each in [each for each in self.table.values() if each.status is Status.SUSPECT]:
            if now >= self._over(each):
                self._take(News(each.identity, each.incarnation, Status.DEAD, self.me), now)
        if now >= self.next_probe:
            self.next_probe = now + timing.period * (1 + self.doubt)
            self._probe(now)
        if now >= self.next_exchange:
            self.next_exchange = now + round(timing.exchange * self.random.uniform(0.75, 1.25))
            for other in self._some(1, set()):
                self._send(other, Whole(answer=True))
            self._forget(now)
        if now >= self.next_knock:
            alone = self.size == 1
            self.next_knock = now + (timing.period if alone else timing.knock)
            self._knock()

    def _stood_still(self, now: int, gap: int) -> None:
        """This process did not run for a while: what did not come meanwhile says nothing."""
        self.trial = None
        self.errands.clear()
        self._doubt(1)
        for each in self.table.values():
            if each.status is Status.SUSPECT:
                each.since += gap

    def _probe(self, now: int) -> None:
        if not self.order:
            self.order = [each for each in self.well() if each != self.me]
            self.random.shuffle(self.order)
        while self.order:
            target = self.order.pop()
            member = self.table.get(target)  # it may have been forgotten since the order was drawn
            if member is not None and member.status <= Status.SUSPECT:
                self.number += 1
                self.trial = Trial(target, self.number, now)
                self._send(target, Probe(self.number))
                break

    def _step(self) -> int:
        """When the probe under way goes on to its next step."""
        trial, timing = self.trial, self.timing
        assert trial is not None
        return trial.began + (timing.period if trial.asked else timing.answer) * (1 + self.doubt)

    def _no_answer(self, trial: Trial, now: int) -> None:
        if not trial.asked:
            trial.asked = True
            for helper in self._some(self.timing.helpers, {trial.target}):
                trial.helpers += 1
                self._send(helper, Probe(trial.number, trial.target))
            return
        self.trial = None
        # Who hears not even from its helpers may be the one that is cut off or slow.
        self._doubt(trial.helpers - trial.heard if trial.helpers else 1)
        member = self.table.get(trial.target)
        if member is not None and member.status <= Status.SUSPECT:
            self._take(News(member.identity, member.incarnation, Status.SUSPECT, self.me), now)

    def _doubt(self, by: int) -> None:
        self.doubt = min(max(self.doubt + by, 0), self.timing.most_doubt)

    def _over(self, member: Member) -> int:
        """When a suspect counts as dead: the longest time, shorter with each other that suspects it."""
        timing = self.timing
        least = timing.suspicion * max(log10(max(self.size, 1)), 1.0) * timing.period
        most, others = timing.longest * least, len(member.suspected_by) - 1
        wait = most - (most - least) * log(others + 1) / log(timing.surer + 1) if others > 0 else most
        if self.size <= timing.surer + 1:
            wait = least  # too few to make it surer
        return member.since + round(max(wait, least) * (1 + self.doubt / timing.most_doubt))

    def _knock(self) -> None:
        """At a seed where nobody is known, or at one held dead: a split heals only if somebody tries."""
        known = {address_of(each) for each in self.well()}
        doors = list(self.seeds)
        doors += [address_of(each.identity) for each in self.table.values() if each.status is Status.DEAD]
        doors = [each for each in doors if each not in known]
        if doors:
            self._send(self.random.choice(doors), Whole(answer=True))

    def _forget(self, now: int) -> None:
        for each in list(self.table.values()):
            if each.status > Status.SUSPECT and now > each.since + self.timing.forget:
                del self.table[each.identity]

    # --- what comes ---

    def receive(self, packet: Packet, now: int) -> None:
        """Of whatever age, as often as it comes. What is meant for another process, or fleet, changes
        nothing."""
        if packet.fleet != self.fleet:
            self.strangers[address_of(packet.sender)] = packet.fleet
            return
        if packet.to not in (self.me, address_of(self.me)) or packet.sender == self.me:
            return
        body = packet.body
        if packet.head[:2] > self.head[:2]:
            self.head = packet.head
        if packet.sender not in self.table:
            self._take(News(packet.sender, 1, Status.ALIVE), now)
        for news in packet.news:
            self._take(news, now)
        if isinstance(body, Answer):
            self._answered(body)
        elif self.leaving:
            return
        elif isinstance(body, Whole):
            if body.answer:
                self._send(packet.sender, Whole(answer=False))
        elif not body.target:
            self._send(packet.sender, Answer(body.number))
        else:
            self.number += 1
            self.errands[self.number] = (packet.sender, body.number, now + self.timing.answer)
            self._send(body.target, Probe(self.number))

    def _answered(self, answer: Answer) -> None:
        errand = self.errands.get(answer.number)
        if errand is not None:
            del self.errands[answer.number]
            self._send(errand[0], Answer(errand[1]))
        elif self.trial is not None and answer.number == self.trial.number:
            if not answer.ok:
                self.trial.heard += 1
            else:  # through a helper it is well too
                self.trial = None
                self._doubt(-1)

    def _take(self, news: News, now: int) -> None:
        if news.member == self.me:
            self._about_me(news, now)
            return
        address = address_of(news.member)
        other = self.living.get(address, news.member)
        taken = address == address_of(self.me) or (other != news.member and news.status is Status.SUSPECT)
        if taken and news.status < Status.DEAD:
            news = News(news.member, news.incarnation, Status.DEAD, self.me)  # one address, one process
        member = self.table.get(news.member)
        if member is None:
            # The dead are taken in as well: older news is not to bring them back.
            member = self.table[news.member] = Member(news.member, news.incarnation, news.status, now, now)
            self._changed(member, news, now)
            return
        if member.status is Status.LEFT and news.incarnation <= member.incarnation:
            return
        if news.status is member.status is Status.SUSPECT and news.incarnation == member.incarnation:
            if news.by not in member.suspected_by and len(member.suspected_by) <= self.timing.surer:
                member.suspected_by.add(news.by)
                self.queue[member.identity + "|" + news.by] = (news, 0)
            return
        newer = (news.incarnation, news.status) > (member.incarnation, member.status)
        if member.status is Status.DEAD and news.status is not Status.LEFT:
            newer = news.incarnation > member.incarnation
        if newer or (news.status is Status.LEFT and news.incarnation >= member.incarnation):
            member.incarnation, member.status, member.since = news.incarnation, news.status, now
            self._changed(member, news, now)

    def _changed(self, member: Member, news: News, now: int) -> None:
        member.suspected_by = {news.by} if news.status is Status.SUSPECT else set()
        self.queue[member.identity] = (news, 0)
        self.changes.append(member)
        address = address_of(member.identity)
        if news.status > Status.SUSPECT:
            if self.living.get(address) == member.identity:
                del self.living[address]
            return
        before = self.living.get(address, member.identity)
        self.living[address] = member.identity
        if before != member.identity:  # of two at one address the one that has just been heard of lives
            self._take(News(before, self.table[before].incarnation, Status.DEAD, self.me), now)

    def _about_me(self, news: News, now: int) -> None:
        me = self.table[self.me]
        if news.status is Status.LEFT and self.leaving:
            me.status, me.since = Status.LEFT, now
            self.queue[self.me] = (news, 0)
        elif news.status is not Status.ALIVE and news.incarnation >= me.incarnation and not self.leaving:
            me.incarnation = news.incarnation + 1
            self.queue[self.me] = (News(self.me, me.incarnation, Status.ALIVE), 0)
            self._doubt(1)  # somebody had no answer from here in time
        elif news.incarnation > me.incarnation:
            me.incarnation = news.incarnation

    # --- what goes ---

    def _some(self, count: int, without: set[str]) -> list[str]:
        """Of those that nobody suspects: a helper that is cut off as well would say nothing of the other."""
        well = [each.identity for each in self.table.values() if each.status is Status.ALIVE]
        others = [each for each in well if each != self.me and each not in without]
        return self.random.sample(others, min(count, len(others)))

    def _send(self, to: str, body: Probe | Answer | Whole) -> None:
        if isinstance(body, Whole):
            news = tuple(
                News(each.identity, each.incarnation, each.status, self.me) for each in self.table.values()
            )
        else:
            news = self._gossip(to)
        self.out.append(Packet(self.fleet, self.me, to, body, news, self.head))

    def _gossip(self, to: str) -> tuple[News, ...]:
        """The least told first; who is suspected, or held dead, hears of it before all else, and can deny
        it."""
        chosen: list[News] = []
        member = self.table.get(to)
        if member is not None and member.status is not Status.ALIVE:
            chosen.append(News(to, member.incarnation, member.status, self.me))
        most = ceil(self.timing.repeats * log(self.size + 1))
        for key, (news, told) in sorted(self.queue.items(), key=lambda item: item[1][1])[: self.timing.news]:
            chosen.append(news)
            if told + 1 >= most:
                del self.queue[key]
            else:
                self.queue[key] = (news, told + 1)
        return tuple(chosen)
