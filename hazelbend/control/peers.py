"""The peers of a control process: who is alive, which voters can be replaced, who may bootstrap the cluster.

A hello echoes the stamp (incarnation and time) of the last hello that came from its receiver. The receiver
then knows that the sender lived, under the identity that the hello names, after that time. Stamps of another
incarnation count for nothing. Sans-I/O; given the time in microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Timestamp
from hazelbend.control.messages import PeerHello

ALIVE_TIMEOUT_US = 1_000_000  # a peer counts as alive for so long after it was heard
REPLACEMENT_TIMEOUT_US = 2_500_000  # a voter that was silent for so long may be replaced
FORGET_TIMEOUT_US = 60_000_000  # an address that was silent for so long gets no more hellos
BOOTSTRAP_WITHOUT_SEED_US = 2_000_000  # where no seed may vote, others may bootstrap after this


@dataclass(slots=True)
class Peer:
    """Another control process, as it last introduced itself."""

    identity: str = ""
    counts_for_quorum: bool = False
    leaving: bool = False
    last_hello_at: int = 0
    leader: str = ""  # that it follows, if it has a vote
    routers: tuple[str, ...] = ()  # that watch it
    switching: tuple[str, ...] = ()  # workers that it has ordered to another phase
    stamp: Timestamp | None = None  # of its last hello, to be echoed
    verified_identity: str = ""  # that it surely had after `verified_at`
    verified_at: int = 0
    digest_mismatches: int = 0  # messages in a row by which it knows other workers


class PeerTable:
    """All peers, by address."""

    def __init__(
        self, identity: str, address: str, seeds: tuple[str, ...], incarnation: int, now: int
    ) -> None:
        """`identity`, `address`, `incarnation`: this process's own."""
        self.identity = identity
        self.address = address
        self.seeds = seeds
        self._incarnation = incarnation
        self._started_at = now
        self.leaving = False  # this process is about to end
        self._peers = {seed: Peer() for seed in seeds if seed != address}
        self._known_alive_at: dict[str, int] = {}  # by identity: when each was surely there

    def get(self, address: str) -> Peer | None:
        """The peer at this address, if it is known."""
        return self._peers.get(address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Of all peers that get hellos."""
        return tuple(self._peers)

    @property
    def quorum_peer_count(self) -> int:
        """How many peers say that they may vote, alive or not."""
        return sum(peer.counts_for_quorum for peer in self._peers.values())

    def add_addresses(self, addresses: Iterable[str], now: int) -> None:
        """Send hellos to these addresses too, without counting them as alive."""
        for address in addresses:
            if address != self.address:
                self._peers.setdefault(address, Peer(last_hello_at=now - ALIVE_TIMEOUT_US))

    def alive(self, now: int) -> dict[str, Peer]:
        """Peers that were heard within `ALIVE_TIMEOUT_US`."""
        return {
            address: peer
            for address, peer in self._peers.items()
            if now - peer.last_hello_at < ALIVE_TIMEOUT_US
        }

    def alive_quorum_peers(self, now: int) -> tuple[str, ...]:
        """Addresses of the peers alive that hold the replicated log."""
        return tuple(address for address, peer in self.alive(now).items() if peer.counts_for_quorum)

    def reported_leader(self) -> str:
        """The leader, as the voting peer that was heard last reports it."""
        reporters = [peer for peer in self._peers.values() if peer.counts_for_quorum and peer.leader]
        return max(reporters, key=lambda peer: peer.last_hello_at).leader if reporters else ""

    # --- hellos ---

    def hellos(self, now: int, *, counts_for_quorum: bool, leader: str) -> list[tuple[str, PeerHello]]:
        """One hello for each address; drops addresses that are silent for long and no seeds."""
        known_addresses = (self.address, *self.alive(now))
        stamp = Timestamp(self._incarnation, now)
        hellos = []
        for address, peer in list(self._peers.items()):
            is_forgotten = now - max(peer.last_hello_at, self._started_at) > FORGET_TIMEOUT_US
            if is_forgotten and address not in self.seeds:
                del self._peers[address]
                continue
            hello = PeerHello(
                self.identity, counts_for_quorum, known_addresses, leader, self.leaving, stamp, peer.stamp
            )
            hellos.append((address, hello))
        return hellos

    def handle_hello(self, sender: str, hello: PeerHello, now: int) -> bool:
        """Take a hello. True: its sender had not been alive, so it may lack what was sent before."""
        is_new = sender not in self.alive(now)
        peer = self._peers.setdefault(sender, Peer())
        peer.identity = hello.identity
        peer.counts_for_quorum = hello.counts_for_quorum
        peer.leaving = hello.leaving
        peer.leader = hello.leader
        peer.last_hello_at = now
        peer.stamp = hello.stamp
        self._known_alive_at[hello.identity] = now
        echo = hello.echoed_stamp
        # A late hello must not undo a newer proof.
        if echo is not None and echo.incarnation == self._incarnation and echo.time_us >= peer.verified_at:
            peer.verified_identity = hello.identity
            peer.verified_at = echo.time_us
        self.add_addresses(hello.control_addresses, now)
        return is_new

    # --- voters ---

    def track_voters(self, voters: Iterable[str], now: int) -> None:
        """Send hellos to all voters, and note since when each is known to have been there."""
        voter_set = set(voters)
        for identity in voter_set - set(self._known_alive_at):
            self._known_alive_at[identity] = now
        known_voters = {
            identity: at for identity, at in self._known_alive_at.items() if identity in voter_set
        }
        self._known_alive_at = known_voters | {
            peer.identity: self._known_alive_at.get(peer.identity, now) for peer in self._peers.values()
        }
        for identity in voter_set:
            address = address_of(identity)
            if address != self.address:
                self._peers.setdefault(address, Peer(identity, counts_for_quorum=True, last_hello_at=now))

    def has_lost_state(self, identity: str) -> bool:
        """Whether this voter's stored state is surely gone.

        Another identity has answered at its address after it was last known to be there, and only a process
        that starts without stored state takes a new identity.
        """
        if address_of(identity) == self.address:
            return identity != self.identity
        peer = self._peers.get(address_of(identity))
        if peer is None or not peer.verified_identity or peer.verified_identity == identity:
            return False
        return peer.verified_at > self._known_alive_at.get(identity, 0)

    def is_replaceable(self, identity: str, now: int) -> bool:
        """Whether this voter has lost its state, has been silent for long, or is about to end."""
        if self.has_lost_state(identity):
            return True
        peer = self._peers.get(address_of(identity))
        if peer is None:
            return False
        is_leaving = peer.leaving and peer.identity == identity
        return is_leaving or now - peer.last_hello_at > REPLACEMENT_TIMEOUT_US

    def voter_candidates(self, voters: Iterable[str], replaceable: set[str], now: int) -> list[str]:
        """Identities of the peers alive that may vote and stay, sorted.

        A peer at the address of a voter that is not known to be replaceable is no candidate yet: two
        identities of one machine are never voters together.
        """
        voter_by_address = {address_of(voter): voter for voter in voters if voter not in replaceable}
        return sorted(
            peer.identity
            for address, peer in self.alive(now).items()
            if peer.counts_for_quorum
            and not peer.leaving
            and voter_by_address.get(address, peer.identity) == peer.identity
        )

    # --- bootstrap ---

    def may_bootstrap(self, now: int) -> bool:
        """Whether this process is the one that bootstraps the cluster.

        That is the first seed that counts for the quorum or, where none does, the lowest address that counts.
        It bootstraps only while it hears a majority of the seeds, so two that are partitioned never both do,
        and never ahead of a process that it knows of and has not heard yet.
        """
        if not self._hears_seed_majority(now):
            return False
        for seed in self.seeds:
            if seed == self.address:
                return True
            peer = self._peers.get(seed)
            if peer is None or not peer.identity or peer.counts_for_quorum:
                return False  # that seed bootstraps, or has not said yet whether it counts
        if now - self._started_at <= BOOTSTRAP_WITHOUT_SEED_US:
            return False
        lower_peers = [peer for address, peer in self._peers.items() if address < self.address]
        return not any(peer.counts_for_quorum or not peer.identity for peer in lower_peers)

    def _hears_seed_majority(self, now: int) -> bool:
        heard = {address for address, peer in self.alive(now).items() if peer.identity} | {self.address}
        return 2 * len(heard & set(self.seeds)) > len(self.seeds)
