"""The control processes that one knows: greetings, who is alive, whose memory is erased, who may found.

A greeting answers the last one that came: it gives back the other's stamp (its life and its time), so that
who hears it knows that the sender lived, under the identity that it names, after that time. Stamps of
another life are not heeded. Pure; it is told the time, in microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Stamp
from hazelbend.control.messages import PeerHello

ALIVE = 1_000_000  # since it was heard, a control process counts as alive
LOST = 2_500_000  # after so long without a word it may be replaced as a voter
FORGOTTEN = 60_000_000  # an address that has been silent for so long is not greeted any more
NO_SEED_COUNTS = 2_000_000  # after which one that is no seed may found, where no seed may vote


@dataclass(slots=True)
class Peer:
    """Another control process, as it last named itself."""

    identity: str = ""
    counts_for_quorum: bool = False
    leaving: bool = False
    heard_at: int = 0
    leader: str = ""  # that it follows, if it has a vote
    routers: tuple[str, ...] = ()  # that watch it
    switching: tuple[str, ...] = ()  # workers that it has ordered to another part
    stamp: Stamp | None = None  # of its last greeting, to be given back
    proven: str = ""  # the identity that it surely had after `proven_at`
    proven_at: int = 0
    differs: int = 0  # messages in a row by which it knows other workers


class PeerTable:
    """All of them, by address."""

    def __init__(self, identity: str, address: str, seeds: tuple[str, ...], life: int, now: int) -> None:
        """`identity`, `address`: this process's own; `life`: names this start of it."""
        self.identity, self.address, self.seeds, self._life, self._born = identity, address, seeds, life, now
        self.leaving = False  # this process is about to end
        self._table = {each: Peer() for each in seeds if each != address}
        self._known_alive: dict[str, int] = {}  # voters, by identity: when each was surely there

    def get(self, address: str) -> Peer | None:
        """The process at this address, if it is known."""
        return self._table.get(address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """All that are greeted."""
        return tuple(self._table)

    @property
    def quorum_peer_count(self) -> int:
        """How many of the others say that they may vote, alive or not."""
        return sum(peer.counts_for_quorum for peer in self._table.values())

    def learn(self, addresses: Iterable[str], now: int) -> None:
        """Greet these too, without taking them for alive."""
        for address in addresses:
            if address != self.address:
                self._table.setdefault(address, Peer(heard_at=now - ALIVE))

    def alive(self, now: int) -> dict[str, Peer]:
        """Those that were heard of late."""
        return {address: peer for address, peer in self._table.items() if now - peer.heard_at < ALIVE}

    def alive_quorum_peers(self, now: int) -> tuple[str, ...]:
        """Addresses of those alive that keep the record."""
        return tuple(address for address, peer in self.alive(now).items() if peer.counts_for_quorum)

    def reported_leader(self) -> str:
        """Who leads, as the counted process that was heard last says."""
        told = [peer for peer in self._table.values() if peer.counts_for_quorum and peer.leader]
        return max(told, key=lambda peer: peer.heard_at).leader if told else ""

    # --- greetings ---

    def greetings(self, counted: bool, leader: str, now: int) -> list[tuple[str, PeerHello]]:
        """One to each address; those that have been silent for long are dropped."""
        known = (self.address, *self.alive(now))
        stamp = Stamp(self._life, now)
        greetings = []
        for address, peer in list(self._table.items()):
            silent = now - max(peer.heard_at, self._born) > FORGOTTEN
            if silent and address not in self.seeds:
                del self._table[address]
                continue
            hello = PeerHello(self.identity, counted, known, leader, self.leaving, stamp, peer.stamp)
            greetings.append((address, hello))
        return greetings

    def greeted(self, sender: str, hello: PeerHello, now: int) -> bool:
        """Take a greeting. True: its sender had not been heard of late."""
        new = sender not in self.alive(now)
        peer = self._table.setdefault(sender, Peer())
        peer.identity, peer.counts_for_quorum, peer.leaving = (
            hello.identity,
            hello.counts_for_quorum,
            hello.leaving,
        )
        peer.leader, peer.heard_at, peer.stamp = hello.leader, now, hello.stamp
        self._known_alive[hello.identity] = now
        answered = hello.answers
        if answered is not None and answered.life == self._life and answered.at >= peer.proven_at:
            peer.proven, peer.proven_at = hello.identity, answered.at
        self.learn(hello.controls, now)
        return new

    # --- voters ---

    def note_voters(self, voters: Iterable[str], now: int) -> None:
        """These are listed: greet them all, and remember since when each is known to have been there."""
        listed = set(voters)
        for identity in listed - set(self._known_alive):
            self._known_alive[identity] = now
        known = {identity: at for identity, at in self._known_alive.items() if identity in listed}
        self._known_alive = known | {
            peer.identity: self._known_alive.get(peer.identity, now) for peer in self._table.values()
        }
        for identity in listed:
            address = address_of(identity)
            if address != self.address:
                self._table.setdefault(address, Peer(identity, True, heard_at=now))

    def has_lost_state(self, identity: str) -> bool:
        """Whether the memory of this voter is surely gone: another identity has answered at its address
        after it was last known there, and only one that starts without a memory takes a new identity."""
        if address_of(identity) == self.address:
            return identity != self.identity
        peer = self._table.get(address_of(identity))
        if peer is None or not peer.proven or peer.proven == identity:
            return False
        return peer.proven_at > self._known_alive.get(identity, 0)

    def is_replaceable(self, identity: str, now: int) -> bool:
        """Whether this voter is erased, silent for long, or about to end."""
        if self.has_lost_state(identity):
            return True
        peer = self._table.get(address_of(identity))
        if peer is None:
            return False
        return (peer.leaving and peer.identity == identity) or now - peer.heard_at > LOST

    def candidates(self, voters: Iterable[str], lost: set[str], now: int) -> list[str]:
        """Identities of those alive that count and stay. One at the address of a voter that is not known to
        be lost is none yet: two of one machine are never listed together."""
        taken = {address_of(each): each for each in voters if each not in lost}
        found = [
            peer.identity
            for address, peer in self.alive(now).items()
            if peer.counts_for_quorum
            and not peer.leaving
            and taken.get(address, peer.identity) == peer.identity
        ]
        return sorted(found)

    # --- the first start ---

    def may_bootstrap(self, now: int) -> bool:
        """Whether this process is the one that founds the fleet: the first seed that counts, or, where none
        does, the lowest address that counts. It founds only while it hears a majority of the seeds, so two
        that are cut apart never both do; and never past one that it knows of and has not heard yet.
        """
        if not self._hears_most_seeds(now):
            return False
        for seed in self.seeds:
            if seed == self.address:
                return True
            peer = self._table.get(seed)
            if peer is None or not peer.identity or peer.counts_for_quorum:
                return False  # it founds, or has not said yet whether it may
        if now - self._born <= NO_SEED_COUNTS:
            return False
        lower = [peer for address, peer in self._table.items() if address < self.address]
        return not any(peer.counts_for_quorum or not peer.identity for peer in lower)

    def _hears_most_seeds(self, now: int) -> bool:
        alive = self.alive(now)
        heard = {address for address, peer in alive.items() if peer.identity} | {self.address}
        return 2 * len(heard & set(self.seeds)) > len(self.seeds)
