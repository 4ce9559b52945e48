"""When to ask which nameserver what, and what the answers come to. No I/O; told the time.

A question is followed: an SRV name of the settings, or an address of a target that one of them lists. Equal
questions are one, whoever needs them. Each goes round:

    resting   until `due_at`: a part of its lifetime (0.90 to 0.98, by a stable hash of dispatcher and
              question, so that dispatchers do not ask in step), or a rest after failures, which doubles
    waiting   it is due, and waits for the budgets (queries a second, queries at once)
    asking    a query is out. Truncated: again over TCP. Unknown: the next nameserver, while tries and the
              retry budget last; after that it rests, and what is listed stands (quorum.py says how long)
    asking    ... and where the answers dispute: each of the others, once, until the ballot is decided

`due` gives the queries that are to go out now, `heard` takes what came of one, `next_at` is when `due` has
something again. Where every nameserver rests, nothing is asked but the one query that tries one of them:
names that fall due meanwhile wait, and go out by the budget when it has answered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from hazelbend.dns_discovery.answers import (
    MOST_ALIASES,
    Alias,
    BoxKey,
    Good,
    Kind,
    Meaning,
    Nothing,
    Question,
    Rank,
    Truncated,
    Unknown,
    canonical,
)
from hazelbend.dns_discovery.nameservers import Budget, Nameservers, fraction
from hazelbend.dns_discovery.quorum import Ballot
from hazelbend.dns_discovery.settings import SrvSettings

EARLIEST, SPAN = 0.90, 0.08  # of a lifetime: when a question is asked again
BESIDE = 0.995  # and one whose answer came beside another's, which will come again before that
ADDRESSES = (Kind.A, Kind.AAAA)


@dataclass(slots=True, frozen=True)
class Ask:
    """One query to be sent."""

    number: int
    server: int
    question: Question
    name: str  # what is asked: the question's, or that of an alias of it
    tcp: bool
    edns: bool


@dataclass(slots=True, eq=False)
class Followed:
    """A question that is followed, and where it stands."""

    question: Question
    ballot: Ballot
    alive: bool = True  # somebody needs it
    due_at: int = -1  # -1: waiting or asking
    was_due_at: int = 0
    watched: bool = False  # its end by the stale bound stands in the timetable of ends
    turn: int = 0  # of its entry in the timetable; older ones are void
    asked: set[int] = field(default_factory=set)  # nameservers in this round
    heard: bool = False  # one of them has answered
    confirming: bool = False
    tries: int = 0
    rounds_failed: int = 0
    lifetime: int = 0  # of the last good answer, microseconds
    good_until: int = 0
    error: str = ""
    unknown_since: int = 0  # 0: its last round gave an answer
    aliases: tuple[str, ...] = ()
    beside: list[tuple[Question, int, Good, int]] = field(default_factory=list)  # addresses, in this round

    @property
    def is_out(self) -> bool:
        return self.due_at < 0


@dataclass(slots=True)
class Totals:
    queries: int = 0
    retries: int = 0
    confirmations: int = 0
    over_tcp: int = 0
    answers: int = 0
    unknown: int = 0
    lateness: list[int] | None = (
        None  # microseconds past `due_at` of first tries, where somebody collects them
    )


class Resolver:
    def __init__(self, settings: SrvSettings, dispatcher: str) -> None:
        self._dispatcher = dispatcher
        self.totals = Totals()
        self.followed: dict[Question, Followed] = {}
        self.roots: dict[str, Followed] = {}
        self.changed: set[str] = (
            set()
        )  # the SRV names whose boxes have changed; whoever reads them clears them
        self._needed_by: dict[str, set[str]] = {}  # target -> the SRV names that list it
        self._targets: dict[str, set[str]] = {}  # and the other way round
        self._bare: set[str] = set()  # targets newly listed; an address may come beside the record
        self._timetable: list[tuple[int, int, Followed]] = []
        self._ends: list[tuple[int, int, Followed]] = []
        self._turns = 0
        self._waiting: deque[Followed] = deque()
        self._out: dict[int, tuple[Ask, Followed]] = {}
        self._asks = 0
        self._settle(settings)

    def _settle(self, settings: SrvSettings) -> None:
        bounds, budgets = settings.lifetimes, settings.budgets
        self.settings = settings
        self.servers = Nameservers(len(settings.nameserver))
        self._budget = Budget(budgets.per_s, budgets.retry_part)
        self._most_targets = {canonical(each.name): each.most_targets for each in settings.name}
        self._least, self._most = round(bounds.least_s * 1e6), round(bounds.most_s * 1e6)
        self.stale = round(bounds.stale_s * 1e6)

    # --- what is followed ---

    def begin(self, now: int, names: Iterable[str]) -> None:
        """Follow these SRV names (canonical), and no others; first questions are spread over a while."""
        wanted = set(names)
        for name in [each for each in self.roots if each not in wanted]:
            self._unfollow_root(name)
        for name in sorted(wanted - self.roots.keys()):
            self.roots[name] = self._follow(Question(name, Kind.SRV), now)
            self._targets[name] = set()

    def change(self, settings: SrvSettings, now: int) -> None:
        """New settings; what is known stays. Other nameservers begin without a record."""
        others = settings.nameserver != self.settings.nameserver
        before = self.servers
        self._settle(settings)
        if not others:
            self.servers = before
            return
        self._out.clear()  # what is still out speaks of servers that are not asked any more
        self._waiting.clear()
        for followed in self.followed.values():
            followed.ballot.servers = len(settings.nameserver)
            followed.ballot.votes.clear()
            if followed.is_out:
                self._rest(followed, now + self._spread(followed.question))
            else:
                self._rest(followed, min(followed.due_at, now + self._spread(followed.question)))

    def restore(self, question: Question, items: Mapping[Any, tuple[Any, int]], now: int) -> None:
        """A last good answer from before the start: it stands, and is asked for again at once."""
        followed = self.followed.get(question)
        if followed is None and question.kind in ADDRESSES and question.name in self._needed_by:
            followed = self._follow(question, now)
        if followed is not None and not followed.ballot.held:
            followed.ballot.restore(items)
            followed.ballot.expire(now, self.stale)
            self._watch(followed)
            followed.good_until = max((until for _, until in items.values()), default=0)
            self._changed(followed)
            self._ask_addresses(now)

    def boxes(self, name: str) -> dict[BoxKey, tuple[Rank, tuple[str, ...]]]:
        """The boxes of an SRV name, with their addresses; one without an address is not listed yet."""
        found = {}
        items = self.roots[name].ballot.items if name in self.roots else {}
        for key, rank in items.items():
            if addresses := self.addresses(key.target):
                found[key] = rank, addresses
        if len(found) > (most := self._most_targets.get(name, 1_000)):
            # Alike at all dispatchers: by priority, then by a stable hash.
            first = sorted(found, key=lambda key: (found[key][0].priority, fraction(key)))[:most]
            found = {key: found[key] for key in first}
        return found

    def addresses(self, target: str) -> tuple[str, ...]:
        """IPv4 before IPv6, each in order."""
        lists = (self.followed.get(Question(target, kind)) for kind in ADDRESSES)
        return tuple(address for each in lists if each is not None for address in sorted(each.ballot.held))

    # --- asking ---

    def due(self, now: int) -> list[Ask]:
        """The queries that are to go out now. Each must be told of by `heard`, exactly once."""
        self._drop_old(now)
        while self._timetable and self._timetable[0][0] <= now:
            due_at, turn, followed = heappop(self._timetable)
            if turn != followed.turn or followed.is_out:
                continue
            followed.due_at, followed.was_due_at = -1, due_at
            followed.asked, followed.heard, followed.confirming, followed.tries = set(), False, False, 0
            followed.aliases = ()
            self._waiting.append(followed)
        asks: list[Ask] = []
        while self._waiting and len(self._out) < self.settings.budgets.at_once:
            followed = self._waiting[0]
            if not followed.alive:
                self._waiting.popleft()
                continue
            server = self.servers.choose(str(followed.question), followed.asked, now)
            if server is None and followed.asked:
                self._waiting.popleft()
                self._round_over(followed, now)
                continue
            if server is None or not self._budget.take(now):
                break
            self._waiting.popleft()
            if not followed.tries:
                self._budget.first_try()
                if self.totals.lateness is not None and followed.good_until:
                    self.totals.lateness.append(now - followed.was_due_at)
            followed.tries += 1
            asks.append(self._ask(followed, server, tcp=False))
        return asks

    def next_at(self, now: int) -> int | None:
        """When `due` may have something; None: not before something is heard."""
        times = [timetable[0][0] for timetable in (self._timetable, self._ends) if timetable]
        if self._waiting and len(self._out) < self.settings.budgets.at_once:
            released = self.servers.released_at(now)
            times.append(max(released, self._budget.free_at(now)))
        return min(times, default=None)

    def heard(self, number: int, meaning: Meaning, now: int) -> list[Ask]:
        """What came of a query; the queries that follow from it at once."""
        ask, followed = self._out.pop(number, (None, None))
        if ask is None or followed is None:
            return []
        health = self.servers.all[ask.server]
        if isinstance(meaning, Unknown) and meaning.unreachable:
            health.bad(meaning.why, now)
        else:
            health.good()
        if not followed.alive:
            return []
        follow_up: Ask | None = None
        if isinstance(meaning, Truncated):
            if not ask.tcp:
                self.totals.over_tcp += 1
                follow_up = self._ask(followed, ask.server, tcp=True, name=ask.name)
            meaning = Unknown("truncated over TCP")
        elif isinstance(meaning, Alias):
            followed.aliases = (*followed.aliases, ask.name)
            if meaning.to not in followed.aliases and len(followed.aliases) <= MOST_ALIASES:
                follow_up = self._ask(followed, ask.server, tcp=False, name=meaning.to)
            meaning = Unknown(f"a chain of aliases without an end, at {meaning.to}")
        elif isinstance(meaning, Unknown) and meaning.plain and ask.edns:
            health.edns = False
            follow_up = self._ask(followed, ask.server, tcp=ask.tcp, name=ask.name)
        if follow_up is not None:
            self._budget.spend(now)
            return [follow_up]
        followed.aliases = ()
        match meaning:
            case Good():
                self._vote(followed, ask.server, meaning.items, meaning.lifetime, now)
                followed.beside.extend(
                    (question, ask.server, each, now) for question, each in meaning.extra.items()
                )
            case Nothing():
                self._vote(followed, ask.server, {}, meaning.lifetime, now)
                followed.error = meaning.why
            case Unknown():
                self.totals.unknown += 1
                followed.error = f"nameserver {ask.server + 1}: {meaning.why}"
        if followed.heard and followed.ballot.disputed(now):
            followed.confirming = True
            self.totals.confirmations += 1
            self._waiting.append(followed)
        elif followed.heard:
            self._round_over(followed, now)
        elif followed.tries < self.settings.budgets.tries and self._budget.retry():
            self.totals.retries += 1
            self._waiting.appendleft(followed)
        else:
            self._round_over(followed, now)
        return []

    def _ask(self, followed: Followed, server: int, tcp: bool, name: str = "") -> Ask:
        followed.asked.add(server)
        self._asks += 1
        health = self.servers.all[server]
        health.ask()
        question = followed.question
        ask = Ask(self._asks, server, question, name or question.name, tcp, health.edns)
        self._out[ask.number] = ask, followed
        self.totals.queries += 1
        return ask

    def _vote(self, followed: Followed, server: int, items: Any, lifetime: int, now: int) -> None:
        self.totals.answers += 1
        followed.heard, followed.error = True, ""
        followed.lifetime = min(max(lifetime * 1_000_000, self._least), self._most)
        followed.good_until = now + followed.lifetime
        if followed.ballot.cast(server, items, followed.good_until, now):
            self._changed(followed)
        self._watch(followed)

    def _take_extra(self, question: Question, server: int, extra: Good, now: int) -> None:
        """An address that came beside its target's record."""
        if question.name not in self._needed_by:
            return
        followed = self.followed.get(question) or self._follow(question, now)
        if followed.is_out:
            return  # a query of its own is under way
        self._vote(followed, server, extra.items, extra.lifetime, now)
        followed.unknown_since = followed.rounds_failed = 0
        if followed.ballot.disputed(now):
            self._rest(followed, now)
        else:
            self._rest(followed, now + round(followed.lifetime * BESIDE))

    def _round_over(self, followed: Followed, now: int) -> None:
        """All that this round could ask has been heard: the question rests."""
        if followed.heard:
            if followed.confirming and followed.ballot.count(now, final=True):
                self._changed(followed)
            if followed.confirming and not followed.ballot.disputed(now):
                for server in followed.ballot.outvoted:
                    if isinstance(server, int) and server < len(self.servers.all):
                        self.servers.all[server].dissented_at = now
            followed.rounds_failed = followed.unknown_since = 0
            part = EARLIEST + SPAN * fraction(self._dispatcher, followed.question)
            self._rest(followed, now + round(followed.lifetime * part))
            beside, followed.beside = followed.beside, []
            for question, server, extra, at in beside:
                self._take_extra(question, server, extra, at)
            self._ask_addresses(now)
            return
        followed.unknown_since = followed.unknown_since or now
        budgets = self.settings.budgets
        rest = min(budgets.rest_s * 2 ** min(followed.rounds_failed, 32), budgets.longest_rest_s) * 1e6
        followed.rounds_failed += 1
        part = 0.75 + 0.5 * fraction(self._dispatcher, followed.question, followed.rounds_failed)
        self._rest(followed, now + round(rest * part))

    # --- book-keeping ---

    def _follow(self, question: Question, now: int) -> Followed:
        followed = self.followed.get(question)
        if followed is None:
            ballot = Ballot(len(self.servers.all), doubts_none=question.kind is not Kind.AAAA)
            followed = self.followed[question] = Followed(question, ballot)
            self._rest(followed, now + (self._spread(question) if question.kind is Kind.SRV else 0))
        return followed

    def _spread(self, question: Question) -> int:
        return round(
            self.settings.budgets.start_spread_s * 1e6 * fraction(self._dispatcher, question, "start")
        )

    def _rest(self, followed: Followed, until: int) -> None:
        self._turns += 1
        followed.due_at, followed.turn = until, self._turns
        heappush(self._timetable, (until, self._turns, followed))

    def _watch(self, followed: Followed) -> None:
        """Whatever becomes of its queries, what nobody renews ends by the stale bound."""
        if followed.ballot.held and not followed.watched:
            followed.watched = True
            self._turns += 1
            end = min(each.until for each in followed.ballot.held.values()) + self.stale
            heappush(self._ends, (end, self._turns, followed))

    def _drop_old(self, now: int) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, _, followed = heappop(self._ends)
            followed.watched = False
            if followed.alive:
                if followed.ballot.expire(now, self.stale):
                    self._changed(followed)
                self._watch(followed)
        self._ask_addresses(now)

    def _changed(self, followed: Followed) -> None:
        question = followed.question
        if question.kind is Kind.SRV:
            self.changed.add(question.name)
            self._need_targets(question.name)
        else:
            self.changed |= self._needed_by.get(question.name, set())
            self._bare.add(question.name)

    def _need_targets(self, name: str) -> None:
        """Follow the addresses of the targets that are listed, and of no others."""
        before = self._targets[name]
        wanted = {key.target for key in self.roots[name].ballot.held}
        for target in wanted - before:
            self._needed_by.setdefault(target, set()).add(name)
            self._bare.add(target)
        for target in before - wanted:
            self._unneed(target, name)
        self._targets[name] = wanted

    def _ask_addresses(self, now: int) -> None:
        """Both kinds are asked for where no address came beside the record."""
        bare, self._bare = self._bare, set()
        for target in bare:
            if target in self._needed_by and not self.addresses(target):
                for kind in ADDRESSES:
                    self._follow(Question(target, kind), now)

    def _unneed(self, target: str, name: str) -> None:
        users = self._needed_by.get(target, set())
        users.discard(name)
        if not users:
            self._needed_by.pop(target, None)
            for kind in ADDRESSES:
                self._drop(Question(target, kind))

    def _unfollow_root(self, name: str) -> None:
        for target in self._targets.pop(name):
            self._unneed(target, name)
        del self.roots[name]
        self._drop(Question(name, Kind.SRV))
        self.changed.add(name)

    def _drop(self, question: Question) -> None:
        if (followed := self.followed.pop(question, None)) is not None:
            followed.alive, followed.turn = False, -1
