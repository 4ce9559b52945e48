"""Which records hold, by the votes of several nameservers.

A nameserver may be confused: it answers NXDOMAIN for a zone that it has lost, or with last month's zone.
So an answer is a vote, valid for its lifetime, and a record is

    listed      if a valid vote has it, or it was listed, unless it is outvoted
    outvoted    if as many votes as the quorum lack it, and more than have it

The quorum is two nameservers, or, where only one is configured, two answers in a row. It follows that one
confused nameserver of several takes nothing away and, once the others are asked, adds nothing.

A ballot in which the valid votes have not decided about a record is disputed. So is one in which a single
vote has a record that no other nameserver has ever listed, or says that there are none (for AAAA that is
common, and believed). The resolver then asks the other nameservers at once, and what would be added waits for
them. Where they leave a tie, all stays as it was. What no vote has renewed for its lifetime and the stale
bound (RFC 8767) is dropped: by then the address may be somebody else's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Any

QUORUM = 2


@dataclass(slots=True, frozen=True)
class Vote:
    items: Mapping[Any, Any]
    until: int  # microseconds
    turn: int  # later votes have higher ones


@dataclass(slots=True)
class Held:
    value: Any
    until: int  # the end of the lifetime of the last vote that had it
    by: set[Hashable] = field(default_factory=set)  # nameservers that have listed it, up to the quorum


class Ballot:
    __slots__ = ("_doubts_none", "_missed", "_turn", "held", "servers", "votes")

    def __init__(self, servers: int, doubts_none: bool = True) -> None:
        self.servers = servers  # how many are configured
        self._doubts_none = doubts_none
        self.votes: dict[Hashable, Vote] = {}
        self.held: dict[Any, Held] = {}
        self._missed: dict[Any, int] = {}  # by one nameserver alone: answers in a row that lack it
        self._turn = 0

    @property
    def items(self) -> dict[Any, Any]:
        return {key: each.value for key, each in self.held.items()}

    def cast(self, server: Hashable, items: Mapping[Any, Any], until: int, now: int) -> bool:
        """A nameserver's answer. True if what is listed has changed."""
        self._turn += 1
        self.votes[server] = Vote(items, until, self._turn)
        if self.servers == 1:
            lacking = [key for key in self.held if key not in items]
            self._missed = {key: self._missed.get(key, 0) + 1 for key in lacking}
        for key in items:
            if key in self.held:
                self.held[key].until = max(self.held[key].until, until)
                self._second(self.held[key], server)
        return self.count(now, final=False)

    def count(self, now: int, final: bool) -> bool:
        """Apply the rule. With `final`, what is still disputed is not waited for any longer."""
        self._forget(now)
        before = self.items
        wait = not final and self.disputed(now)
        for key in [each for each in self.held if self._outvoted(each)]:
            del self.held[key]
        named = dict.fromkeys(key for vote in self._newest_first() for key in vote.items)
        for key in named:
            value = self._value(key)
            if key in self.held:
                self.held[key].value = value
            elif not wait and not self._outvoted(key) and (not before or not self._tie(key)):
                until = max(vote.until for vote in self.votes.values() if key in vote.items)
                self.held[key] = Held(value, until)
                for server, vote in self.votes.items():
                    if key in vote.items:
                        self._second(self.held[key], server)
        return self.items != before

    def disputed(self, now: int) -> bool:
        """Whether the answers of further nameservers would decide about a record."""
        self._forget(now)
        if self.servers == 1:
            return False
        for key in {*self.held, *(key for vote in self.votes.values() for key in vote.items)}:
            has, lacks = self._votes(key)
            alone = has == len(self.votes) < QUORUM
            alone = alone and (key not in self.held or len(self.held[key].by) < QUORUM)
            if alone or (lacks and has < QUORUM and not self._outvoted(key)):
                return True
        none = not self.held and not any(vote.items for vote in self.votes.values())
        return self._doubts_none and none and 0 < len(self.votes) < QUORUM

    def expire(self, now: int, stale: int) -> bool:
        """Drop what nobody has renewed within the bound. True if something was."""
        old = [key for key, each in self.held.items() if each.until + stale <= now]
        for key in old:
            del self.held[key]
        return bool(old)

    @property
    def outvoted(self) -> set[Hashable]:
        """The nameservers whose valid vote has a record that is not listed, or lacks one that is."""
        return {
            server
            for server, vote in self.votes.items()
            if any(key not in self.held for key in vote.items)
            or any(key not in vote.items for key in self.held)
        }

    def restore(self, items: Mapping[Any, tuple[Any, int]]) -> None:
        """Records of before: they were agreed upon then."""
        agreed = set(range(-QUORUM, 0))
        self.held = {key: Held(value, until, set(agreed)) for key, (value, until) in items.items()}

    @staticmethod
    def _second(held: Held, server: Hashable) -> None:
        if len(held.by) < QUORUM:
            held.by.add(server)

    def _votes(self, key: Any) -> tuple[int, int]:
        has = sum(key in vote.items for vote in self.votes.values())
        return has, len(self.votes) - has

    def _tie(self, key: Any) -> bool:
        has, lacks = self._votes(key)
        return has <= lacks

    def _outvoted(self, key: Any) -> bool:
        if self.servers == 1:
            return self._missed.get(key, 0) >= QUORUM
        has, lacks = self._votes(key)
        return lacks >= QUORUM and lacks > has

    def _value(self, key: Any) -> Any:
        """What most votes say of it; of equally many, the newest."""
        values = Counter(vote.items[key] for vote in self._newest_first() if key in vote.items)
        return values.most_common(1)[0][0]

    def _newest_first(self) -> list[Vote]:
        return sorted(self.votes.values(), key=lambda vote: -vote.turn)

    def _forget(self, now: int) -> None:
        for server in [each for each, vote in self.votes.items() if vote.until <= now]:
            del self.votes[server]
