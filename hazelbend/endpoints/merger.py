"""One view of all boxes, from the box list, SRV names and boxes that connected by themselves.

Identity. The box list knows a box by its host name, SRV by a target and a port. They are the same box when
the host name is the target (case and last dot aside) and the ports are equal, or when the list's address and
port are among the target's. The box has the list's name where the list has it, and `target:port` otherwise:
a function of what is said now, so that all dispatchers know it by one id. A box that changes its name between
the two is, for the rest of the program, one that left and one that came; a drain by hand goes along.

A box that SRV alone names is as just started when it first appears, when it comes back, and when its address
moves, as there is another process then. Of several addresses it keeps the one it has while that is listed.

Every step takes one source's word and gives the difference to the view before, in the number of boxes that it
speaks of and not of all (a whole list speaks of all). Versions of the view are persistent maps: a reader that
has one sees all of it, whatever comes next.

Invariants, after every step (tests/test_membership.py evaluates them):
    1. A box that the box list drains or knows to be gone is not ready, whatever SRV says.
    2. The box list's serving boxes are there as it says.
    3. Every other box is there if, and only if, a name lists it; no box is there twice.
    4. The differences told, added up, are the view.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias, TypeVar

from immutables import Map

from hazelbend.decisions.interface import WorkerState
from hazelbend.dns_discovery.answers import EndpointKey, SrvPreference, canonical_name
from hazelbend.endpoints.rule import ListSays, SrvSays, Verdict, decide
from hazelbend.routing.ports import Endpoint, EndpointList


@dataclass(slots=True, frozen=True)
class Claim:
    """What an SRV name says of a box."""

    rank: SrvPreference
    addresses: tuple[str, ...]
    zone: int
    kind: int
    cell: int
    weight: float

    def dials(self, port: int) -> tuple[str, ...]:
        return tuple(f"[{each}]:{port}" if ":" in each else f"{each}:{port}" for each in self.addresses)


@dataclass(slots=True, frozen=True)
class Gone:
    """A box that the box list took off."""

    at: int
    key: EndpointKey | None
    dial: str


@dataclass(slots=True, frozen=True)
class Member:
    entry: Endpoint
    sources: tuple[str, ...]  # "box list", "stomp", or SRV names
    key: EndpointKey | None = None
    spare: bool = False


@dataclass(slots=True, frozen=True)
class View:
    version: int = 0
    members: Map[str, Member] = Map()


LIST, STOMP = "box list", "stomp"
K = TypeVar("K")
V = TypeVar("V")
Index: TypeAlias = Map[K, frozenset[str]]  # to the names of boxes
NONE: frozenset[str] = frozenset()


class Membership:
    def __init__(self, gone_for: int) -> None:
        self.gone_for = gone_for  # microseconds
        self.view = View()
        self.list_failed = False
        self._listed: Map[str, Endpoint] = Map()
        self._by_key: Index[EndpointKey] = Map()  # of what is listed
        self._by_dial: Index[str] = Map()
        self.gone: Map[str, Gone] = Map()
        self._gone_keys: Index[EndpointKey] = Map()
        self._gone_dials: Index[str] = Map()
        self._claims: Map[EndpointKey, Map[str, Claim]] = Map()
        self._names: Map[str, Map[EndpointKey, Claim]] = Map()
        self._claimed_dials: Map[str, frozenset[EndpointKey]] = Map()
        self._open: dict[str, int] = {}  # of an SRV name: the worst priority that is open
        self._started: dict[str, int] = {}  # remembered from before a start
        self.renamed: list[tuple[str, str]] = []  # boxes known by another name now; whoever reads clears it

    # --- what sources say ---

    def hear_list(self, news: EndpointList, now: int) -> EndpointList:
        """The box list's word; what the table is to be told instead of it."""
        if news.failed:
            self.list_failed = True
            return news
        self.list_failed = False
        before, touched = self.view.members, set[str]()
        keys: set[EndpointKey] = set()
        if news.whole:
            named = {entry.host for entry in news.entries}
            for host in [each for each in self._listed if each not in named]:
                keys |= self._unlist(host, now)
                touched.add(host)
        for entry in news.entries:
            if self._listed.get(entry.host) == entry:
                continue  # a whole list is mostly what was known
            touched.add(entry.host)
            if entry.state is WorkerState.GONE:
                keys |= self._unlist(entry.host, now)
            else:
                keys |= self._list(entry)
        self._renew(touched, keys, now)
        if news.whole:
            return EndpointList(self.entries(), whole=True, seq=news.seq)
        return EndpointList(self._difference(before, touched, keys), seq=news.seq)

    def hear_name(self, name: str, boxes: Mapping[EndpointKey, Claim], now: int) -> EndpointList:
        """The boxes that an SRV name lists now, and no others; the changes."""
        before, old = self.view.members, self._names.get(name, Map())
        keys = {key for key in old if key not in boxes}
        keys |= {key for key, claim in boxes.items() if old.get(key) != claim}
        hosts = {host for host in map(self._list_host, keys) if host is not None}
        for key in keys:
            claims = self._claims.get(key, Map())
            self._forget_dials(key, claims)
            if (claim := boxes.get(key)) is not None:
                claims, old = claims.set(name, claim), old.set(key, claim)
            else:
                claims, old = claims.delete(name), old.delete(key)
            self._claims = self._claims.set(key, claims) if claims else self._claims.delete(key)
            for dial in {dial for each in claims.values() for dial in each.dials(key.port)}:
                held = self._claimed_dials.get(dial, frozenset())
                self._claimed_dials = self._claimed_dials.set(dial, held | {key})
        self._names = self._names.set(name, old) if old else _without(self._names, name)
        self._renew(hosts, keys, now)
        return EndpointList(self._difference(before, hosts, keys))

    def hear_guest(self, entry: Endpoint) -> None:
        """A box that connected by itself, or left. It is the proof of itself: no other source has a say."""
        members = self.view.members
        if entry.state is WorkerState.GONE:
            members = _without(members, entry.host)
        else:
            members = members.set(entry.host, Member(entry, (STOMP,)))
        self._publish(members)

    def open_to(self, name: str, priority: int | None, now: int) -> EndpointList:
        """A name's boxes up to this priority are open, the rest is spare; the changes."""
        if self._open.get(name) == priority:
            return EndpointList()
        before, was = self.view.members, self._open.get(name)
        if priority is None:
            self._open.pop(name, None)
        else:
            self._open[name] = priority
        low, high = sorted((-1 if was is None else was, -1 if priority is None else priority))
        keys = {key for key, claim in self._names.get(name, Map()).items()
                if low < claim.rank.priority <= high or was is None or priority is None}  # fmt: skip
        self._renew((), keys, now)
        return EndpointList(self._difference(before, (), keys))

    def forget_gone(self, now: int) -> EndpointList:
        """Boxes that the list took off long ago may come by SRV again, unless the list cannot be heard."""
        if self.list_failed:
            return EndpointList()
        before, keys = self.view.members, set[EndpointKey]()
        for host, gone in list(self.gone.items()):
            if gone.at + self.gone_for <= now:
                named = self._unmark(host, gone)
                self.renamed.extend((host, str(key)) for key in named)
                keys |= named
        self._renew((), keys, now)
        return EndpointList(self._difference(before, (), keys))

    def restore(self, gone: Mapping[str, Gone], started: Mapping[str, int]) -> None:
        """From before a start: what the list took off, and since when boxes of SRV run."""
        for host, each in gone.items():
            if host not in self._listed:
                self._mark(host, each)
        self._started.update(started)

    # --- what readers ask ---

    def entries(self) -> tuple[Endpoint, ...]:
        """All but the boxes that connected by themselves, which the table has from their connections."""
        return tuple(each.entry for each in self.view.members.values() if each.sources != (STOMP,))

    def listed(self) -> tuple[Endpoint, ...]:
        return tuple(self._listed.values())

    def by_srv(self) -> dict[str, int]:
        """Boxes that SRV alone names, and since when they run."""
        return {
            host: each.entry.started_at
            for host, each in self.view.members.items()
            if LIST not in each.sources and each.key is not None
        }

    def list_says(self, key: EndpointKey) -> ListSays:
        host = self._list_host(key)
        if host is not None:
            state = self._listed[host].state
            return ListSays.SERVING if state is WorkerState.READY else ListSays.DRAINING
        return ListSays.GONE if self._gone_host(key) is not None else ListSays.NEVER

    def member_name(self, key: EndpointKey) -> str | None:
        """By which name the view has a box of SRV; None if it does not."""
        host = self._list_host(key) or str(key)
        return host if host in self.view.members else None

    def priorities(self, name: str) -> dict[str, int]:
        """The boxes of an SRV name that are in the view, and their priorities."""
        found = {}
        for key, claim in self._names.get(name, Map()).items():
            if (host := self.member_name(key)) is not None:
                found[host] = claim.rank.priority
        return found

    # --- steps ---

    def _list(self, entry: Endpoint) -> set[EndpointKey]:
        """Take an entry of the box list; the boxes of SRV that this may concern."""
        old = self._listed.get(entry.host)
        if old is not None and old.dial == entry.dial:
            self._listed = self._listed.set(entry.host, entry)
            return self._related(_key(entry), entry.dial)
        keys = self._unindex(old) if old is not None else set()
        if (gone := self.gone.get(entry.host)) is not None:
            keys |= self._unmark(entry.host, gone)
        self._listed = self._listed.set(entry.host, entry)
        key = _key(entry)
        if key is not None:
            self._by_key = _with(self._by_key, key, entry.host)
        self._by_dial = _with(self._by_dial, entry.dial, entry.host)
        # Another box by the same address was taken off: this one stands there now.
        marks = self._gone_dials.get(entry.dial, NONE) | (self._gone_keys.get(key, NONE) if key else NONE)
        for mark in marks:
            keys |= self._unmark(mark, self.gone[mark])
        return keys | self._related(key, entry.dial)

    def _unlist(self, host: str, now: int) -> set[EndpointKey]:
        """The list has taken it off. One that it never had, and says is gone, is gone as well."""
        entry = self._listed.get(host)
        if entry is None:
            return set()
        keys = self._unindex(entry)
        self._listed = self._listed.delete(host)
        self._mark(host, Gone(now, _key(entry), entry.dial))
        return keys

    def _unindex(self, entry: Endpoint) -> set[EndpointKey]:
        key = _key(entry)
        if key is not None:
            self._by_key = _less(self._by_key, key, entry.host)
        self._by_dial = _less(self._by_dial, entry.dial, entry.host)
        return self._related(key, entry.dial)

    def _mark(self, host: str, gone: Gone) -> None:
        self.gone = self.gone.set(host, gone)
        if gone.key is not None:
            self._gone_keys = _with(self._gone_keys, gone.key, host)
        self._gone_dials = _with(self._gone_dials, gone.dial, host)

    def _unmark(self, host: str, gone: Gone) -> set[EndpointKey]:
        self.gone = _without(self.gone, host)
        if gone.key is not None:
            self._gone_keys = _less(self._gone_keys, gone.key, host)
        self._gone_dials = _less(self._gone_dials, gone.dial, host)
        return self._related(gone.key, gone.dial)

    def _related(self, key: EndpointKey | None, dial: str) -> set[EndpointKey]:
        found = set(self._claimed_dials.get(dial, frozenset()))
        if key is not None and key in self._claims:
            found.add(key)
        return found

    def _forget_dials(self, key: EndpointKey, claims: Map[str, Claim]) -> None:
        for dial in {dial for each in claims.values() for dial in each.dials(key.port)}:
            held = self._claimed_dials.get(dial, frozenset()) - {key}
            self._claimed_dials = (
                self._claimed_dials.set(dial, held) if held else _without(self._claimed_dials, dial)
            )

    def _dials(self, key: EndpointKey) -> Iterable[str]:
        for claim in self._claims.get(key, Map()).values():
            yield from claim.dials(key.port)

    def _list_host(self, key: EndpointKey) -> str | None:
        """Of several that it may be, the first by name: alike at all dispatchers."""
        if hosts := self._by_key.get(key):
            return min(hosts)
        return min(
            (min(self._by_dial[each]) for each in self._dials(key) if each in self._by_dial), default=None
        )

    def _gone_host(self, key: EndpointKey) -> str | None:
        if hosts := self._gone_keys.get(key):
            return min(hosts)
        dials = (each for each in self._dials(key) if each in self._gone_dials)
        return min((min(self._gone_dials[each]) for each in dials), default=None)

    def _renew(self, hosts: Iterable[str], keys: Iterable[EndpointKey], now: int) -> None:
        """Work these boxes out anew."""
        members, hosts, keys = self.view.members, set(hosts), set(keys)
        hosts |= {found for found in map(self._list_host, keys) if found is not None}
        by_host: dict[str, set[str]] = {}
        for host in hosts:
            if (entry := self._listed.get(host)) is not None:
                for key in self._related(_key(entry), entry.dial):
                    by_host.setdefault(host, set()).update(self._claims.get(key, Map()))
        with members.mutate() as change:
            for host in hosts:
                if (entry := self._listed.get(host)) is not None:
                    names = tuple(sorted(by_host.get(host, ())))
                    change[host] = Member(entry, (LIST, *names), _key(entry))
                elif host in change and LIST in change[host].sources:
                    del change[host]
            for key in keys:
                listed = SrvSays.LISTED if key in self._claims else SrvSays.NOT_LISTED
                name, verdict = str(key), decide(self.list_says(key), listed)
                old, as_listed = members.get(name), self._list_host(key)
                if as_listed not in (None, name) and old is not None and LIST not in old.sources:
                    self.renamed.append((name, str(as_listed)))
                if verdict is Verdict.BY_SRV:
                    change[name] = self._srv_member(key, old, now)
                elif name in change and LIST not in change[name].sources:
                    del change[name]
            members = change.finish()
        self._publish(members)

    def _srv_member(self, key: EndpointKey, old: Member | None, now: int) -> Member:
        claims = self._claims[key]
        names = tuple(sorted(claims))
        claim = claims[names[0]]
        spare = all(claims[each].rank.priority > self._open.get(each, 65_536) for each in names)
        dials = claim.dials(key.port)
        name, dial = str(key), dials[0]
        started_at = self._started.pop(name, now)
        if old is not None and old.key == key and LIST not in old.sources:
            moved = old.entry.dial not in dials
            dial = dial if moved else old.entry.dial
            started_at = now if moved else old.entry.started_at
        entry = Endpoint(
            name,
            dial,
            claim.zone,
            claim.kind,
            claim.cell,
            WorkerState.DRAINING if spare else WorkerState.READY,
            claim.weight,
            started_at,
        )
        return Member(entry, names, key, spare)

    def _difference(
        self, before: Map[str, Member], hosts: Iterable[str], keys: Iterable[EndpointKey]
    ) -> tuple[Endpoint, ...]:
        """What has changed of these, as changes of a list: what left is gone."""
        names = dict.fromkeys(hosts) | dict.fromkeys(map(str, keys))
        left, others = [], []
        for name in names:
            old, new = before.get(name), self.view.members.get(name)
            if new is None and old is not None:
                left.append(replace(old.entry, state=WorkerState.GONE))
            elif new is not None and (old is None or old.entry != new.entry):
                others.append(new.entry)
        return (*left, *others)

    def _publish(self, members: Map[str, Member]) -> None:
        if members is not self.view.members:
            self.view = View(self.view.version + 1, members)


def _key(entry: Endpoint) -> EndpointKey | None:
    """What SRV would call this box."""
    _host, _, port = entry.dial.rpartition(":")
    if not port.isdecimal():
        return None
    try:
        return EndpointKey(canonical_name(entry.host.removesuffix(f":{port}")), int(port))
    except ValueError:
        return None


def _with(index: Index[K], key: K, host: str) -> Index[K]:
    return index.set(key, index.get(key, NONE) | {host})


def _less(index: Index[K], key: K, host: str) -> Index[K]:
    hosts = index.get(key, NONE) - {host}
    return index.set(key, hosts) if hosts else _without(index, key)


def _without(values: Map[K, V], key: K) -> Map[K, V]:
    return values.delete(key) if key in values else values
