"""The peers of a control process: which are alive, which voters are replaceable, which process may bootstrap.

A hello echoes the stamp (incarnation and time) of the last hello that its sender got from the receiver. The
echo proves to the receiver that the sender was running under the identity in the hello after that time.
Stamps of other incarnations are ignored. Sans-I/O; times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Timestamp
from hazelbend.control.messages import PeerHello

ALIVE_TIMEOUT_US = 1_000_000  # since its last hello, until a peer no longer counts as alive
REPLACEMENT_TIMEOUT_US = 2_500_000  # since its last hello, until a voter may be replaced
FORGET_TIMEOUT_US = 60_000_000  # since its last hello, until an address is no longer sent hellos
BOOTSTRAP_WITHOUT_SEED_US = (
    2_000_000  # since the start, until another process may bootstrap if no seed may vote
)


@dataclass(slots=True)
class Peer:
    """Another control process, as its last hello describes it."""

    identity: str = ""
    counts_for_quorum: bool = False
    leaving: bool = False
    last_hello_at: int = 0
    leader: str = ""  # the leader that it follows, if it may vote
    routers: tuple[str, ...] = ()  # routers that are subscribed to it
    switching: tuple[str, ...] = ()  # workers that it has ordered to switch to another phase
    stamp: Timestamp | None = None  # stamp of its last hello, which the next hello to it echoes
    verified_identity: str = ""  # its identity at some time after `verified_at`, proven by an echo
    verified_at: int = 0
    digest_mismatches: int = 0  # consecutive messages with another digest of workers than this process has


class PeerTable:
    """All peers, by address."""

    def __init__(
        self, identity: str, address: str, seeds: tuple[str, ...], incarnation: int, now: int
    ) -> None:
        """`identity`, `address`, `incarnation`: those of this process."""
        self.identity = identity
        self.address = address
        self.seeds = seeds
        self._incarnation = incarnation
        self._started_at = now
        self.leaving = False  # this process is about to shut down
        self._peers = {seed: Peer() for seed in seeds if seed != address}
        self._known_alive_at: dict[str, int] = {}  # by identity: the last time at which it was known to run

    def get(self, address: str) -> Peer | None:
        """The peer at this address; None if it is unknown."""
        return self._peers.get(address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of all peers that are sent hellos."""
        return tuple(self._peers)

    @property
    def quorum_peer_count(self) -> int:
        """The number of peers that count for the quorum, alive or not."""
        return sum(peer.counts_for_quorum for peer in self._peers.values())

    def add_addresses(self, addresses: Iterable[str], now: int) -> None:
        """Send hellos to these addresses too, without counting them as alive."""
        for address in addresses:
            if address != self.address:
                self._peers.setdefault(address, Peer(last_hello_at=now - ALIVE_TIMEOUT_US))

    def alive(self, now: int) -> dict[str, Peer]:
        """The peers whose last hello is not older than `ALIVE_TIMEOUT_US`, by address."""
        return {
            address: peer
            for address, peer in self._peers.items()
            if now - peer.last_hello_at < ALIVE_TIMEOUT_US
        }

    def alive_quorum_peers(self, now: int) -> tuple[str, ...]:
        """The addresses of the alive peers that count for the quorum: those that hold the replicated log."""
        return tuple(address for address, peer in self.alive(now).items() if peer.counts_for_quorum)

    def reported_leader(self) -> str:
        """The leader in the most recent hello of a voting peer that follows one; empty if there is none."""
        reporters = [peer for peer in self._peers.values() if peer.counts_for_quorum and peer.leader]
        return max(reporters, key=lambda peer: peer.last_hello_at).leader if reporters else ""

    # --- hellos ---

    def hellos(self, now: int, *, counts_for_quorum: bool, leader: str) -> list[tuple[str, PeerHello]]:
        """One hello for each address. Removes addresses without a recent hello, unless they are seeds."""
        known_addresses = (self.address, *self.alive(now))
        stamp = Timestamp(self._incarnation, now)
        hellos = []
        for address, peer in list(self._peers.items()):
            is_expired = now - max(peer.last_hello_at, self._started_at) > FORGET_TIMEOUT_US
            if is_expired and address not in self.seeds:
                del self._peers[address]
                continue
            hello = PeerHello(
                self.identity, counts_for_quorum, known_addresses, leader, self.leaving, stamp, peer.stamp
            )
            hellos.append((address, hello))
        return hellos

    def handle_hello(self, sender: str, hello: PeerHello, now: int) -> bool:
        """Handle a hello. Returns True if its sender may have missed messages: it was not alive before, or
        has restarted.
        """
        peer = self._peers.setdefault(sender, Peer())
        has_restarted = _incarnation(peer.stamp) != _incarnation(hello.stamp)
        may_lack_messages = has_restarted or sender not in self.alive(now)
        peer.identity = hello.identity
        peer.counts_for_quorum = hello.counts_for_quorum
        peer.leaving = hello.leaving
        peer.leader = hello.leader
        peer.last_hello_at = now
        peer.stamp = hello.stamp
        self._known_alive_at[hello.identity] = now
        echo = hello.echoed_stamp
        # A late hello must not replace a newer verified identity.
        if echo is not None and echo.incarnation == self._incarnation and echo.time_us >= peer.verified_at:
            peer.verified_identity = hello.identity
            peer.verified_at = echo.time_us
        self.add_addresses(hello.control_addresses, now)
        return may_lack_messages

    # --- voters ---

    def track_voters(self, voters: Iterable[str], now: int) -> None:
        """Send hellos to all voters, and record for each voter when it was last known to run."""
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
        """Whether this voter's stored state is known to be lost.

        That is so if another identity is verified at its address for a later time than the voter was last
        known to run: only a process that starts without stored state takes a new identity.
        """
        if address_of(identity) == self.address:
            return identity != self.identity
        peer = self._peers.get(address_of(identity))
        if peer is None or not peer.verified_identity or peer.verified_identity == identity:
            return False
        return peer.verified_at > self._known_alive_at.get(identity, 0)

    def is_replaceable(self, identity: str, now: int) -> bool:
        """Whether this voter has lost its state, is about to shut down, or has sent no hello for too long."""
        if self.has_lost_state(identity):
            return True
        peer = self._peers.get(address_of(identity))
        if peer is None:
            return False
        is_leaving = peer.leaving and peer.identity == identity
        return is_leaving or now - peer.last_hello_at > REPLACEMENT_TIMEOUT_US

    def voter_candidates(self, voters: Iterable[str], replaceable: set[str], now: int) -> list[str]:
        """The sorted identities of the alive peers that count for the quorum and are not leaving.

        A peer at the address of a voter that is not known to be replaceable is not a candidate yet: two
        identities of one machine must never be voters at the same time.
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

        That is the first seed that counts for the quorum or, if no seed does, the process with the lowest
        address that counts. It bootstraps only while a majority of the seeds is alive, so that two
        partitioned processes never both bootstrap. It waits for the first hello of any known process that
        comes before it in this order.
        """
        if not self._is_seed_majority_alive(now):
            return False
        for seed in self.seeds:
            if seed == self.address:
                return True
            peer = self._peers.get(seed)
            if peer is None or not peer.identity or peer.counts_for_quorum:
                return False  # that seed bootstraps, or has sent no hello yet
        if now - self._started_at <= BOOTSTRAP_WITHOUT_SEED_US:
            return False
        lower_peers = [peer for address, peer in self._peers.items() if address < self.address]
        return not any(peer.counts_for_quorum or not peer.identity for peer in lower_peers)

    def _is_seed_majority_alive(self, now: int) -> bool:
        alive = {address for address, peer in self.alive(now).items() if peer.identity} | {self.address}
        return 2 * len(alive & set(self.seeds)) > len(self.seeds)


def _incarnation(stamp: Timestamp | None) -> int | None:
    return None if stamp is None else stamp.incarnation
