"""The Raft consensus algorithm, as in Ongaro and Ousterhout (2014) and chapters 3, 4, 6 and 9.6 of Ongaro's
thesis. No I/O; the caller passes the time. Elections: election.py; replication: replicator.py.

Identities. Each identity belongs to one stored state. A process that starts without its stored state takes a
new identity, so it neither votes nor is counted under its old one. It rejoins through a membership change:
the new voter is added and the old one is removed, one at a time. Each change requires that the previous
change and an entry of the leader's own term are committed (Ongaro's correction of 2015), and that a quorum of
the current voter list confirms the leader. A voter whose state is known to be lost is replaced in one step,
because only the other voters of the old list can still vote.

Storage. The driver first stores the changes that `hard_state_changed` and `first_unsaved_index` indicate, and
sends `outbox` only after that.

Epochs. After a quorum has lost its state, nothing can be committed any more: `force_new_cluster` starts a new
epoch with one voter. A node that receives a message of a higher epoch drops its log if the log holds no
operation, or if an operator started the higher epoch. Otherwise it keeps its log and sets
`conflicting_epoch`.

Invariants, which the tests check after each step:
    election safety      at most one leader in a term of an epoch
    log matching         entries of one index and term are equal, and so are all entries before them
    leader completeness  a committed entry is in the log of each later leader
    state machine safety no two nodes apply different entries at one index
    single change        two consecutive voter lists in a log differ by one voter that is added, removed, or
                         that replaces a voter whose state is lost

Times are microseconds of this process's monotonic clock. Times of different processes are never compared.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hazelbend.consensus.config import RaftConfig, Role
from hazelbend.consensus.election import Elector
from hazelbend.consensus.errors import StaleEpochError
from hazelbend.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Chunk,
    ChunkResponse,
    Entry,
    InstallSnapshot,
    Message,
    TimeoutNow,
    Timestamp,
    VoteRequest,
    VoteResponse,
    decode_transfer,
)
from hazelbend.consensus.persistent_state import PersistentState, started_by_operator
from hazelbend.consensus.replicated_log import StateMachine
from hazelbend.consensus.replication import IncomingTransfer, Progress

__all__ = ["Outcome", "ProposalOutcome", "RaftConfig", "RaftNode", "ReadIndexOutcome", "Role"]


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """The outcome of a proposal. `result` is the state machine's result.

    If `committed` is False the outcome is unknown: the next leader may still commit the proposal.
    """

    proposal_id: int
    committed: bool
    result: object = None


@dataclass(slots=True, frozen=True)
class ReadIndexOutcome:
    """The outcome of a read. `confirmed`: the state machine has applied everything that was committed when
    the read was requested.
    """

    read_id: int
    confirmed: bool


Outcome = ProposalOutcome | ReadIndexOutcome


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits until a quorum has answered `round`."""

    read_id: int
    round: int


class RaftNode(Elector):
    """One Raft node. See the module docstring."""

    def __init__(
        self,
        persistent: PersistentState,
        state_machine: StateMachine,
        config: RaftConfig,
        seed: int,
        now: int,
    ) -> None:
        super().__init__(persistent, state_machine, config, seed, now)
        self.outcomes: list[Outcome] = []
        # Called with the current time after entries were applied or the state was replaced.
        self.on_applied: Callable[[int], None] = lambda now: None
        # A higher epoch that this node does not adopt, because its own epoch may hold acknowledged
        # operations. 0: none.
        self.conflicting_epoch = 0
        self.pending_reads: list[PendingRead] = []
        self.pending_proposals: dict[int, int] = {}  # proposal id by log index, in this node's own term
        self.last_request_id = 0  # of proposals and reads

    # --- requests ---

    @property
    def next_tick_at(self) -> int:
        """The time of the next call of `tick`."""
        return self.rounds.next_heartbeat_at if self.is_leader else self.election_deadline

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether changes must be stored before `outbox` may be sent."""
        return self.hard_state_changed or self.first_unsaved_index is not None

    def force_new_cluster(self, epoch: int, now: int) -> None:
        """Start an epoch with this node as its only voter. An epoch number must never be reused: see
        `next_epoch`.

        Raises:
            StaleEpochError: the epoch is not higher than the current one.
        """
        if epoch <= self.persistent.epoch:
            raise StaleEpochError(f"epoch {epoch} is not higher than {self.persistent.epoch}")
        self._begin_epoch(epoch, now)
        self.persistent.current_term = 1
        self.persistent.voted_for = self.identity
        self.append(Entry(1, (self.identity,)))
        self._become_leader(now)

    def restore_commit_index(self, index: int, now: int) -> None:
        """After a restart, apply the stored entries up to this index, which were known to be committed."""
        self._apply_committed(min(index, self.persistent.last_index), now)

    def commit_all_stored(self, now: int) -> None:
        """Apply the whole log, before an operator starts a new epoch from this node's state.

        The lost majority may have acknowledged entries that this node does not know to be committed.
        """
        self._apply_committed(self.persistent.last_index, now)

    def propose(self, operation: bytes, now: int) -> int | None:
        """Propose an operation; returns the proposal id of the `ProposalOutcome` that follows.

        Returns None if this node does not lead, transfers its leadership, or has too many uncommitted bytes.
        """
        if not self.is_leader or self.transfer_target:
            return None
        uncommitted = self.uncommitted_bytes
        if uncommitted and uncommitted + len(operation) > self.config.max_uncommitted_bytes:
            return None
        self.last_request_id += 1
        proposal_id = self.last_request_id
        self.pending_proposals[self.persistent.last_index + 1] = proposal_id
        self._append_and_replicate(Entry(self.persistent.current_term, None, operation), now)
        return proposal_id

    def request_read(self, now: int) -> int | None:
        """Start a linearizable read (ReadIndex, section 6.4 of the thesis); returns the read id of the
        `ReadIndexOutcome` that follows.

        Returns None if this node does not lead, or has not yet committed an entry of its own term.
        """
        if not self.has_committed_in_term:
            return None
        self.last_request_id += 1
        read_id = self.last_request_id
        self._broadcast(now)
        self.pending_reads.append(PendingRead(read_id, self.rounds.number))
        self._advance_commit_index(now)
        return read_id

    def change_voters(
        self, voters: tuple[str, ...], now: int, without_state: frozenset[str] = frozenset()
    ) -> bool:
        """Propose a voter list that adds, removes or replaces one voter; returns whether it was proposed.

        A voter can be replaced only if it is in `without_state`: its stored state is known to be lost. The
        module docstring has the other conditions. In addition, a new voter must have caught up, and a quorum
        of the current list must have confirmed the leader within the last two heartbeats.
        """
        added = set(voters) - set(self.voters)
        removed = set(self.voters) - set(voters)
        is_pending = self.persistent.voters_at(self.commit_index) != self.voters
        is_replacement = len(added) == len(removed) == 1 and removed <= without_state
        is_single_change = len(added) + len(removed) == 1 or is_replacement
        if not self.has_committed_in_term or self.transfer_target or is_pending:
            return False
        if not is_single_change or not voters:
            return False
        age = self.confirmed_age(now)
        if age is None or age > 2 * self.config.heartbeat_us:
            return False
        if added and not self._is_caught_up(next(iter(added))):
            return False
        self._append_and_replicate(Entry(self.persistent.current_term, tuple(sorted(voters))), now)
        return True

    def set_learners(self, learners: set[str], now: int) -> None:
        """Replicate to these nodes too. They do not vote, but can become voters once they have caught up."""
        self.learners = set(learners)
        if self.is_leader:
            self._update_peers(now)

    def transfer_leadership(self, to: str, now: int) -> bool:
        """Start a leadership transfer to this voter; returns whether the transfer was started.

        Once the voter's log is complete, this node sends it `TimeoutNow`, which makes it campaign.
        """
        if not self.is_leader or to not in self.voters or to == self.identity:
            return False
        self.transfer_target = to
        self.transfer_deadline = now + self.config.election_timeout_us
        self._send_entries(to, now)
        self._finish_leadership_transfer()
        return True

    # --- events ---

    def tick(self, now: int) -> None:
        """Campaign, step down or send heartbeats, if that is due."""
        if not self.is_leader:
            if now >= self.election_deadline:
                self._campaign(now, pre_vote=True)
            return
        if self.transfer_target and now >= self.transfer_deadline:
            self.transfer_target = ""
        if not self._quorum_is_active(now):
            self._become_follower(self.persistent.current_term, "", now)
        elif now >= self.rounds.next_heartbeat_at:
            self._broadcast(now)
            self._confirm_rounds()

    def receive(self, message: Message, now: int) -> None:
        """Handle a message, which may be late, duplicated or reordered."""
        if message.epoch != self.persistent.epoch and not self._adopt_epoch(message, now):
            return
        body = message.body
        if isinstance(body, VoteRequest):
            self._handle_vote_request(message, body, now)
            return
        if message.term > self.persistent.current_term:
            # A granted pre-vote carries the term of an election that has not started yet.
            is_granted_pre_vote = isinstance(body, VoteResponse) and body.is_pre_vote and body.granted
            if not is_granted_pre_vote:
                self._become_follower(message.term, "", now)
        if isinstance(body, VoteResponse):
            self._handle_vote_response(message, body, now)
        elif isinstance(body, AppendResponse):
            self._handle_append_response(message, body, now)
        elif isinstance(body, ChunkResponse):
            self._handle_chunk_response(message, body, now)
        else:
            self._receive_from_leader(message, body, now)

    def _receive_from_leader(
        self, message: Message, body: AppendEntries | InstallSnapshot | Chunk | TimeoutNow, now: int
    ) -> None:
        if message.term < self.persistent.current_term:
            self._send_to(message.sender, AppendResponse(success=False, index=0, round=0))
        elif isinstance(body, AppendEntries):
            self._send_to(message.sender, self._append_entries(message, body, now))
        elif isinstance(body, InstallSnapshot):
            self._send_to(message.sender, self._install_snapshot(message, body, now))
        elif isinstance(body, Chunk):
            self._receive_chunk(message, body, now)
        elif self.is_voter:
            self._campaign(now, pre_vote=False, is_transfer=True)

    # --- epochs ---

    def _adopt_epoch(self, message: Message, now: int) -> bool:
        """Adopt the message's epoch if it is higher and may be adopted; returns whether the epochs match."""
        if message.epoch < self.persistent.epoch:
            # Any answer makes the sender adopt this node's higher epoch.
            if not isinstance(message.body, (VoteResponse, AppendResponse, ChunkResponse)):
                self._send_to(message.sender, VoteResponse(granted=False, is_pre_vote=True))
            return False
        if not started_by_operator(message.epoch) and self.persistent.has_operations:
            # Two clusters were bootstrapped; an operator must decide which of them to keep.
            self.conflicting_epoch = message.epoch
            return False
        self._begin_epoch(message.epoch, now)
        return True

    def _begin_epoch(self, epoch: int, now: int) -> None:
        self._become_follower(self.persistent.current_term, "", now)
        self.clear(epoch)
        self.hard_state_changed = True
        self.confirmed_at = None
        self._pending_confirmation = None
        self.conflicting_epoch = 0
        self.on_applied(now)

    # --- at a follower ---

    def _append_entries(self, message: Message, append: AppendEntries, now: int) -> AppendResponse:
        self._become_follower(message.term, message.sender, now)
        timestamp = Timestamp(self.incarnation, now)
        hint = self.conflict_hint(append)
        if hint is not None:
            return AppendResponse(False, hint, append.round, timestamp)
        self.merge(append)
        match_index = append.prev_log_index + len(append.entries)
        self._apply_committed(min(append.leader_commit, match_index), now)
        self._record_confirmation(append)
        return AppendResponse(True, match_index, append.round, timestamp)

    def _install_snapshot(self, message: Message, snapshot: InstallSnapshot, now: int) -> AppendResponse:
        self._become_follower(message.term, message.sender, now)
        if self.install(snapshot):
            self.on_applied(now)
        match_index = max(snapshot.last_included_index, self.commit_index)
        return AppendResponse(True, match_index, snapshot.round, Timestamp(self.incarnation, now))

    def _receive_chunk(self, message: Message, chunk: Chunk, now: int) -> None:
        self._become_follower(message.term, message.sender, now)
        key = (message.sender, message.term, chunk.transfer_id)
        if self.incoming_transfer.key != key:
            self.incoming_transfer = IncomingTransfer(key)
        transfer = self.incoming_transfer
        transfer.add(chunk)
        if transfer.response is None:
            if len(transfer.content) < chunk.total_bytes:
                received = ChunkResponse(chunk.transfer_id, len(transfer.content), chunk.round)
                self._send_to(message.sender, received)
                return
            transfer.response = self._complete_transfer(message, transfer, now)
        self._send_to(message.sender, transfer.response)

    def _complete_transfer(self, message: Message, transfer: IncomingTransfer, now: int) -> AppendResponse:
        body = decode_transfer(bytes(transfer.content))
        transfer.content.clear()
        complete = msgspec.structs.replace(message, body=body)
        if isinstance(body, AppendEntries):
            return self._append_entries(complete, body, now)
        return self._install_snapshot(complete, body, now)

    # --- at the leader ---

    def _append_and_replicate(self, entry: Entry, now: int) -> None:
        self.append(entry)
        self._update_peers(now)
        self._broadcast(now)
        self._advance_commit_index(now)

    def _progress_of_sender(self, message: Message) -> Progress | None:
        """The progress of the replica that sent this answer; None if this node does not lead in its term."""
        if not self.is_leader or message.term != self.persistent.current_term:
            return None
        return self.peers.get(message.sender)

    def _handle_chunk_response(self, message: Message, response: ChunkResponse, now: int) -> None:
        peer = self._progress_of_sender(message)
        if peer is None:
            return
        peer.last_contact_at = now
        peer.last_acked_round = max(peer.last_acked_round, response.round)
        transfer = peer.transfer
        if transfer is not None and transfer.transfer_id == response.transfer_id:
            # A duplicate answer must not make this node send a chunk twice. A replica that has no bytes of
            # the transfer any more has restarted.
            is_restarted = response.offset == 0 and transfer.offset > 0
            if response.offset > transfer.offset or is_restarted:
                transfer.offset = response.offset
                self._send_chunk(message.sender, now)
        self._advance_commit_index(now)

    def _handle_append_response(self, message: Message, response: AppendResponse, now: int) -> None:
        peer = self._progress_of_sender(message)
        if peer is None:
            return
        peer.last_contact_at = now
        peer.last_acked_round = max(peer.last_acked_round, response.round)
        self._confirm_rounds()  # first: confirming a timestamp frees `pending_timestamp` for the next one
        if response.timestamp is not None and peer.pending_timestamp is None:
            peer.pending_timestamp = response.timestamp
            peer.pending_timestamp_round = self.rounds.number + 1
        if peer.transfer is not None and not self._end_transfer(peer, response):
            if response.success:
                peer.match_index = max(peer.match_index, response.index)
            self._advance_commit_index(now)
        elif response.success:
            self._handle_match(message.sender, peer, response, now)
        else:
            peer.next_index = max(min(response.index, self.persistent.last_index) + 1, peer.match_index + 1)
            # Below `match_index` the answer is stale, or the replica has lost its log. Neither needs an
            # immediate reply: the next heartbeat sends the entries.
            if response.index >= peer.match_index:
                self._send_entries(message.sender, now)
        self._finish_leadership_transfer()

    def _handle_match(self, name: str, peer: Progress, response: AppendResponse, now: int) -> None:
        peer.match_index = max(peer.match_index, response.index)
        # Entries that were lost on the way are detected by the answer to the next heartbeat.
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit_index(now)
        # Advancing the commit index may have made this node step down.
        if peer.next_index <= self.persistent.last_index and name in self.peers:
            self._send_entries(name, now)

    def _advance_commit_index(self, now: int) -> None:
        """Commit the entries that a quorum has, if the last of them is of this node's own term (section 5.4.2
        of the paper), and complete pending reads.
        """
        index = self._quorum_match_index()
        if index > self.commit_index and self.persistent.term_at(index) == self.persistent.current_term:
            self._apply_committed(index, now)
            if self.is_leader:
                self._broadcast(now)
        if not self.is_leader:
            return
        self._confirm_rounds()
        confirmed = [read for read in self.pending_reads if self._is_round_confirmed(read.round)]
        self.outcomes += [ReadIndexOutcome(read.read_id, True) for read in confirmed]
        self.pending_reads = [read for read in self.pending_reads if read not in confirmed]

    def _apply_committed(self, index: int, now: int) -> None:
        if index <= self.commit_index:
            return
        for applied in self.commit_and_apply(index):
            proposal_id = self.pending_proposals.pop(applied.index, None)
            if proposal_id is not None:
                self.outcomes.append(ProposalOutcome(proposal_id, True, applied.result))
        self.on_applied(now)
        if self.is_leader and not self.is_voter:
            is_committed = self.persistent.voters_at(self.commit_index) == self.voters
            if is_committed:
                self._become_follower(self.persistent.current_term, "", now)
        self.compact(self.config.snapshot_after_entries, self.config.snapshot_after_bytes)

    def _fail_pending_requests(self) -> None:
        self.outcomes += [
            ProposalOutcome(proposal_id, False) for proposal_id in self.pending_proposals.values()
        ]
        self.outcomes += [ReadIndexOutcome(read.read_id, False) for read in self.pending_reads]
        self.pending_proposals = {}
        self.pending_reads = []

    def _finish_leadership_transfer(self) -> None:
        peer = self.peers.get(self.transfer_target) if self.is_leader else None
        if peer is not None and peer.match_index == self.persistent.last_index:
            self._send_to(self.transfer_target, TimeoutNow())
