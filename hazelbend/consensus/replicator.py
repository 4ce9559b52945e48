"""The leader's side of replication: the messages to its replicas, and the rounds that a quorum has answered.

Each broadcast starts a round (rounds.py). Answers of a quorum to messages of a round prove that no other node
led when the round started. The round confirms each replica's timestamp that arrived before it. The next
broadcast returns the confirmed timestamp, from which a replica computes by its own clock the maximum age of
its state.
"""

from __future__ import annotations

import random

import msgspec

from hazelbend.consensus.config import RaftConfig, Role
from hazelbend.consensus.messages import AppendEntries, AppendResponse, Body, InstallSnapshot, Message
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.replicated_log import ReplicatedLog, StateMachine
from hazelbend.consensus.replication import (
    BATCH_BYTES,
    CatchUpTarget,
    IncomingTransfer,
    Progress,
    begin_transfer,
    first_batch,
    needs_transfer,
    size_of,
)
from hazelbend.consensus.rounds import HeartbeatRounds

CHUNK_RETRY_HEARTBEATS = 10  # heartbeat intervals without an answer after which a chunk is sent again
INCARNATION_BITS = 53


class Replicator(ReplicatedLog):
    """Replicates the log and confirms heartbeat rounds. Subclasses elect the leader and set its term."""

    def __init__(
        self, persistent: PersistentState, state_machine: StateMachine, config: RaftConfig, seed: int
    ) -> None:
        super().__init__(persistent, state_machine)
        self.config = config
        self.role = Role.FOLLOWER
        self.outbox: list[Message] = []
        self.peers: dict[str, Progress] = {}  # by identity; only the leader has any
        self.learners: set[str] = set()
        # Identifies this run of the process: timestamps of other incarnations are not comparable.
        self.incarnation = random.Random(seed + 1).getrandbits(INCARNATION_BITS)
        # The latest time up to which this node is known to hold everything that was committed anywhere.
        self.confirmed_at: int | None = None
        self.incoming_transfer = IncomingTransfer()
        self.last_transfer_id = 0
        self.rounds = HeartbeatRounds(config.heartbeat_us)
        self._catch_up_target = CatchUpTarget(config.heartbeat_us)
        # The time that `confirmed_at` advances to, and the commit index that this replica must reach first.
        self._pending_confirmation: tuple[int, int] | None = None

    @property
    def identity(self) -> str:
        """This node's identity."""
        return self.persistent.identity

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this node leads and has committed an entry of its own term. Only then is it known to have
        applied everything that was committed earlier (section 6.4 of the thesis).
        """
        return self.is_leader and self.persistent.term_at(self.commit_index) == self.persistent.current_term

    def confirmed_age(self, now: int) -> int | None:
        """Microseconds since `confirmed_at`; None if nothing was confirmed in this incarnation."""
        return None if self.confirmed_at is None else max(now - self.confirmed_at, 0)

    # --- replicas ---

    def _update_peers(self, now: int) -> None:
        """Track the progress of exactly the other voters and learners."""
        names = (set(self.voters) | self.learners) - {self.identity}
        for removed in set(self.peers) - names:
            del self.peers[removed]
        for name in sorted(names - set(self.peers)):
            self.peers[name] = Progress(self.persistent.last_index + 1, last_contact_at=now)

    def _is_caught_up(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.match_index >= self._catch_up_target.index

    def is_recently_active(self, peer: Progress, now: int) -> bool:
        """Whether this replica has answered during this leadership, and within the last two heartbeats."""
        return peer.last_acked_round > 0 and now - peer.last_contact_at <= 2 * self.config.heartbeat_us

    # --- sending ---

    def _broadcast(self, now: int) -> None:
        """Start a new round and send each replica the entries that it lacks."""
        self.rounds.begin(now)
        self._catch_up_target.observe(self.commit_index, now)
        for name in self.peers:
            self._send_entries(name, now)

    def _send_entries(self, name: str, now: int) -> None:
        persistent = self.persistent
        peer = self.peers[name]
        if peer.transfer is not None:
            # Only heartbeats and chunks until the transfer has ended.
            self._send_to(name, self._heartbeat(peer, 0, 0))
            if now - peer.transfer.sent_at >= CHUNK_RETRY_HEARTBEATS * self.config.heartbeat_us:
                self._send_chunk(name, now)
            return
        prev_index = peer.next_index - 1
        prev_term = persistent.term_at(prev_index)
        if prev_term is None:
            self._start_transfer(name, self._snapshot_message(), now)
            return
        append = self._heartbeat(peer, prev_index, prev_term)
        base = persistent.last_included_index
        in_flight = persistent.entries[max(peer.match_index - base, 0) : prev_index - base]
        if size_of(in_flight) <= BATCH_BYTES:
            entries = first_batch(persistent.entries[prev_index - base :], self.config.max_batch_entries)
            append = msgspec.structs.replace(append, entries=entries)
        if needs_transfer(append):
            self._start_transfer(name, append, now)
            return
        self._send_to(name, append)
        # Optimistic: entries that are lost on the way are sent again after the next answer.
        peer.next_index += len(append.entries)

    def _heartbeat(self, peer: Progress, prev_index: int, prev_term: int) -> AppendEntries:
        return AppendEntries(
            prev_index, prev_term, (), self.commit_index, self.rounds.number, peer.confirmed_timestamp
        )

    def _snapshot_message(self) -> InstallSnapshot:
        persistent = self.persistent
        return InstallSnapshot(
            persistent.last_included_index,
            persistent.last_included_term,
            persistent.snapshot_voters,
            persistent.snapshot_state,
            self.rounds.number,
        )

    def _start_transfer(self, name: str, body: AppendEntries | InstallSnapshot, now: int) -> None:
        self.last_transfer_id += 1
        self.peers[name].transfer = begin_transfer(self.last_transfer_id, body, now)
        self._send_chunk(name, now)

    def _send_chunk(self, name: str, now: int) -> None:
        transfer = self.peers[name].transfer
        assert transfer is not None
        transfer.sent_at = now
        self._send_to(name, transfer.next_chunk(self.rounds.number))

    def _send_to(self, to: str, body: Body, term: int | None = None) -> None:
        persistent = self.persistent
        if term is None:
            term = persistent.current_term
        self.outbox.append(Message(self.identity, to, persistent.epoch, term, body))

    # --- answers ---

    def _end_transfer(self, peer: Progress, response: AppendResponse) -> bool:
        """End the transfer if this response answers it; returns whether it did.

        The response may instead answer a heartbeat that was sent between two chunks.
        """
        assert peer.transfer is not None
        is_rejected = not response.success and response.round >= peer.transfer.round
        is_installed = response.success and response.index > peer.match_index
        if is_rejected or is_installed:
            peer.transfer = None
            return True
        return False

    def _has_quorum(self, names: set[str]) -> bool:
        return 2 * len(names & set(self.voters)) > len(self.voters)

    def _quorum_match_index(self) -> int:
        """The highest index up to which a quorum of the voters has the leader's log."""
        match = {name: peer.match_index for name, peer in self.peers.items()}
        match[self.identity] = self.persistent.last_index
        indexes = sorted((match.get(name, 0) for name in self.voters), reverse=True)
        return indexes[len(indexes) // 2]

    def _confirm_rounds(self) -> None:
        """Record the rounds that a quorum has answered, and the replica timestamps that they confirm."""
        if not self.has_committed_in_term:
            return
        started_at = self.rounds.confirm(self._is_round_confirmed)
        if started_at is not None:
            self.confirmed_at = max(self.confirmed_at or 0, started_at)
        for peer in self.peers.values():
            if peer.pending_timestamp is not None and self._is_round_confirmed(peer.pending_timestamp_round):
                peer.confirmed_timestamp = peer.pending_timestamp
                peer.pending_timestamp = None

    def _is_round_confirmed(self, number: int) -> bool:
        answered = {name for name, peer in self.peers.items() if peer.last_acked_round >= number}
        return self._has_quorum(answered | {self.identity})

    def _record_confirmation(self, append: AppendEntries) -> None:
        """Handle the timestamp of this replica that the leader returned, if the message has one.

        Everything that was committed at that time is at or below `leader_commit`, so `confirmed_at` advances
        to it once this replica has committed up to that index.
        """
        timestamp = append.confirmed_timestamp
        if (
            timestamp is not None
            and timestamp.incarnation == self.incarnation
            and self._pending_confirmation is None
        ):
            self._pending_confirmation = (timestamp.time_us, append.leader_commit)
        if self._pending_confirmation is not None:
            time_us, commit_index = self._pending_confirmation
            if self.commit_index >= commit_index:
                self.confirmed_at = max(self.confirmed_at or 0, time_us)
                self._pending_confirmation = None
