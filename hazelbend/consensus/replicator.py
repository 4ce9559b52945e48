"""What a leader sends to its replicas, and what a majority has answered.

Replication goes by rounds: each heartbeat begins one, and a majority's answers to a round say that nobody
else led when it began. A replica's stamp that came before the round began is confirmed by it, and goes back
with the next heartbeat: so each replica knows, by its own clock alone, how old its copy is at most.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

from hazelbend.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Body,
    InstallSnapshot,
    Message,
)
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.replicated_log import ReplicatedLog, StateMachine
from hazelbend.consensus.replication import (
    BATCH_BYTES,
    IncomingTransfer,
    Progress,
    begin_transfer,
    first_batch,
    needs_transfer,
    size_of,
)

CHUNK_RETRY_HEARTBEATS = 10  # heartbeats without an answer to a piece, after which it is sent again
LIFE_BITS = 53


class Role(Enum):
    """What a member is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """Microseconds. `election` is the least time without a leader after which one stands; the most is
    twice."""

    heartbeat_us: int = 200_000
    election_timeout_us: int = 1_000_000
    max_batch_entries: int = 64  # entries in a message
    snapshot_after_entries: int = 512  # entries that are committed, after which a snapshot takes their place
    snapshot_after_bytes: int = 4 * 1024 * 1024  # the same by their size
    max_uncommitted_bytes: int = 12 * 1024 * 1024  # of entries that are not committed: no more are taken


class Replicator(ReplicatedLog):
    """See the head of the file. Who leads, and in which term, is for the subclass."""

    def __init__(self, memory: PersistentState, machine: StateMachine, timing: RaftConfig, seed: int) -> None:
        super().__init__(memory, machine)
        self.timing = timing
        self.role = Role.FOLLOWER
        self.outbox: list[Message] = []
        self.peers: dict[str, Progress] = {}
        self.learners: set[str] = set()
        self.incarnation = random.Random(seed + 1).getrandbits(LIFE_BITS)  # names this start of the process
        self.confirmed_at: int | None = None  # when what is committed here was surely all that was committed
        self.incoming_transfer = IncomingTransfer()
        self.last_transfer = 0
        self.round = 0
        self._unconfirmed_rounds: deque[tuple[int, int]] = (
            deque()
        )  # rounds that are not confirmed, and when they began
        self._to_confirm: tuple[int, int] | None = None  # a time, and the index that it is confirmed with
        self.next_heartbeat_at = 0

    @property
    def identity(self) -> str:
        return self.persistent.identity

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it leads and has committed in its own term: what it has applied is all that was
        committed."""
        return self.is_leader and self.persistent.term_at(self.commit_index) == self.persistent.current_term

    def confirmed_age(self, now: int) -> int | None:
        """Microseconds since a time at which all that was committed anywhere was committed here too, as a
        majority has confirmed since. None: no such time is known in this life."""
        return None if self.confirmed_at is None else max(now - self.confirmed_at, 0)

    # --- whom to send to ---

    def _update_peers(self, now: int) -> None:
        """Know those to send to."""
        names = (set(self.voters) | self.learners) - {self.identity}
        for gone in set(self.peers) - names:
            del self.peers[gone]
        for name in sorted(names - set(self.peers)):
            self.peers[name] = Progress(self.persistent.last_index + 1, last_contact_at=now)

    def _caught_up(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.match_index >= self.commit_index

    # --- what is sent ---

    def _broadcast(self, now: int) -> None:
        self.next_heartbeat_at = now + self.timing.heartbeat_us
        for name in self.peers:
            self._send_entries(name, now)

    def _send_entries(self, name: str, now: int) -> None:
        memory, peer = self.persistent, self.peers[name]
        if peer.transfer is not None:
            self._send_to(name, self._heartbeat(peer, 0, 0))  # entries go on once the transfer is over
            if now - peer.transfer.sent_at >= CHUNK_RETRY_HEARTBEATS * self.timing.heartbeat_us:
                self._send_piece(name, now)
            return
        before = memory.term_at(peer.next_index - 1)
        if before is None:
            state = (
                memory.last_included_index,
                memory.last_included_term,
                memory.snapshot_voters,
                memory.snapshot_state,
            )
            self._transfer(name, InstallSnapshot(*state, self.round), now)
            return
        put = self._heartbeat(peer, peer.next_index - 1, before)
        unanswered = memory.entries[
            max(peer.match_index - memory.last_included_index, 0) : peer.next_index
            - 1
            - memory.last_included_index
        ]
        if size_of(unanswered) <= BATCH_BYTES:
            entries = first_batch(
                memory.entries[peer.next_index - 1 - memory.last_included_index :],
                self.timing.max_batch_entries,
            )
            put = msgspec.structs.replace(put, entries=entries)
        if needs_transfer(put):
            self._transfer(name, put, now)
            return
        self._send_to(name, put)
        peer.next_index += len(put.entries)  # what is lost on the way is sent again when the answer shows it

    def _heartbeat(self, peer: Progress, before: int, before_term: int) -> AppendEntries:
        return AppendEntries(before, before_term, (), self.commit_index, self.round, peer.confirmed_timestamp)

    def _transfer(self, name: str, body: AppendEntries | InstallSnapshot, now: int) -> None:
        self.last_transfer += 1
        self.peers[name].transfer = begin_transfer(self.last_transfer, body, now)
        self._send_piece(name, now)

    def _send_piece(self, name: str, now: int) -> None:
        transfer = self.peers[name].transfer
        assert transfer is not None
        transfer.sent_at = now
        self._send_to(name, transfer.next_chunk(self.round))

    def _send_to(self, to: str, body: Body, term: int | None = None) -> None:
        memory = self.persistent
        self.outbox.append(
            Message(self.identity, to, memory.epoch, memory.current_term if term is None else term, body)
        )

    # --- what was answered ---

    def _ends_transfer(self, peer: Progress, taken: AppendResponse) -> bool:
        """Whether this answers what went out in pieces, so that entries can go on. An answer to a heartbeat
        beside it says nothing of it."""
        assert peer.transfer is not None
        refused = not taken.success and taken.round >= peer.transfer.round
        if refused or (taken.success and taken.index > peer.match_index):
            peer.transfer = None
            return True
        return False

    def _has_quorum(self, names: set[str]) -> bool:
        return 2 * len(names & set(self.voters)) > len(self.voters)

    def _quorum_match_index(self) -> int:
        """All up to this index."""
        match = {name: peer.match_index for name, peer in self.peers.items()} | {
            self.identity: self.persistent.last_index
        }
        held = sorted((match.get(name, 0) for name in self.voters), reverse=True)
        return held[len(held) // 2]

    def _begin_round(self, now: int) -> None:
        """A majority's answers to messages of this round say that nobody else led when it began."""
        self.round += 1
        self._unconfirmed_rounds.append((self.round, now))

    def _confirm_rounds(self) -> None:
        """Note which rounds a majority has answered, and which stamps of replicas that confirms."""
        if not self.has_committed_in_term:
            return
        while self._unconfirmed_rounds and self._round_taken(self._unconfirmed_rounds[0][0]):
            began = self._unconfirmed_rounds.popleft()[1]
            self.confirmed_at = max(self.confirmed_at or 0, began)
        for peer in self.peers.values():
            if peer.pending_timestamp is not None and self._round_taken(peer.pending_timestamp_round):
                peer.confirmed_timestamp, peer.pending_timestamp = peer.pending_timestamp, None

    def _round_taken(self, number: int) -> bool:
        return self._has_quorum(
            {name for name, peer in self.peers.items() if peer.answered_round >= number} | {self.identity}
        )

    def _note_confirmation(self, put: AppendEntries) -> None:
        """All that was committed at the stamp's time lies below `put.commit`: once that is committed here,
        the time counts as confirmed."""
        if (
            put.confirmed_timestamp is not None
            and put.confirmed_timestamp.incarnation == self.incarnation
            and self._to_confirm is None
        ):
            self._to_confirm = (put.confirmed_timestamp.time_us, put.leader_commit)
        if self._to_confirm is not None and self.commit_index >= self._to_confirm[1]:
            self.confirmed_at = max(self.confirmed_at or 0, self._to_confirm[0])
            self._to_confirm = None
