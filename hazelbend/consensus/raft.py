"""The record: an ordered log of small facts that a majority of its voters has taken. Raft, as in Ongaro and
Ousterhout (2014) and chapters 3, 4, 6 and 9.6 of Ongaro's thesis, told the time and without I/O.

State table (`Role`):

    FOLLOWER      --no leader for an election's time, own vote in the voters--> PRE_CANDIDATE
    PRE_CANDIDATE --a majority would vote (pre-vote)-->                         CANDIDATE, term + 1
    CANDIDATE     --a majority voted-->                                         LEADER, adds an empty entry
    any           --a message of a higher term-->                               FOLLOWER of that term
    LEADER        --no majority heard for two election times (check-quorum)-->  FOLLOWER
    LEADER        --an entry without itself among the voters is committed-->    FOLLOWER

Who votes. An identity is one memory: a process that starts without its memory takes a new identity, which no
voter's name is, so it never votes, or counts, as what it was. It comes back by the record: it is added as a
new voter and the old name is removed, one voter at a time, each only when the one before is committed and an
entry of the leader's own term is (Ongaro's correction of 2015), and while a majority of the list in force
confirms the leader. One whose memory is known to be erased is replaced in one step, as of the old list only
the others can still vote. With a store, the memory is written before
any message that rests on it leaves: the driver saves what `unsaved` and `promise_changed` name, then sends
`out`.

Epochs. When a majority's memory is lost at once nothing can be committed any more. `found` starts a new epoch
with one voter. Whoever hears of a higher epoch forgets the lower one's record if it holds no operation, or if
an operator has founded the higher one; else it keeps its own and notes `foreign_epoch`.

Invariants, checked by the tests after every step:
    election      at most one leader in a term of an epoch
    matching      entries of one index and term are the same, and so are all before them
    completeness  what is committed stands in the log of every later leader
    machine       no two members apply different entries at one index
    single        of two voter lists in a row in a log, one has at most one more, or one less, than the other,
                  or one in place of an erased one

Times are microseconds of this process's monotonic clock; nobody compares two processes' times.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

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
from hazelbend.consensus.replication import IncomingTransfer
from hazelbend.consensus.replicator import RaftConfig, Replicator, Role

__all__ = ["ProposalOutcome", "RaftConfig", "RaftNode", "ReadIndexOutcome", "Role"]


@dataclass(slots=True)
class PendingRead:
    """A read, which ends once a majority has answered this round."""

    read_id: int
    round: int


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """How a proposal ended. `result` is what the state machine returned. One that is not `committed` may
    still be committed by the next leader: nobody can say."""

    proposal_id: int
    committed: bool
    result: object = None


@dataclass(slots=True, frozen=True)
class ReadIndexOutcome:
    """How a read ended. `confirmed`: the state machine holds all that was committed when it was requested."""

    read_id: int
    confirmed: bool


Outcome = ProposalOutcome | ReadIndexOutcome


class RaftNode(Replicator):
    """The log of one member, and its part in elections and replication: see the head of the file."""

    def __init__(
        self, memory: PersistentState, machine: StateMachine, timing: RaftConfig, seed: int, now: int
    ) -> None:
        super().__init__(memory, machine, timing, seed)
        self.random = random.Random(seed)
        self.leader = ""
        self.outcomes: list[Outcome] = []
        self.hard_state_changed = False  # epoch, term or vote are to be saved
        # Called after entries were applied, or all was replaced.
        self.on_applied: Callable[[int], None] = lambda now: None
        self.last_contact_at = now - 2 * timing.election_timeout_us  # of a leader; not yet
        self.election_deadline = 0
        self.votes: set[str] = set()
        self.conflicting_epoch = (
            0  # a later one that was not followed, as something may be acknowledged in this
        )
        self.pending_reads: list[PendingRead] = []
        self.pending_proposals: dict[int, int] = {}  # by index, of the own term
        self.last_request_id = 0
        self.transfer_target, self.transfer_deadline = "", 0
        self._reset_election_timer(now)

    # --- what its owner asks ---

    @property
    def is_voter(self) -> bool:
        return self.identity in self.voters

    @property
    def next_tick_at(self) -> int:
        """When `tick` has something to do."""
        return self.next_heartbeat_at if self.is_leader else self.election_deadline

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether something is to be stored before `outbox` may be sent."""
        return self.hard_state_changed or self.first_unsaved_index is not None

    def force_new_cluster(self, epoch: int, now: int) -> None:
        """Start an epoch with this one voter. ValueError unless it is higher than what is known here. No
        number may ever be used twice: see `epoch_number`."""
        if epoch <= self.persistent.epoch:
            raise StaleEpochError(f"epoch {epoch} is not higher than {self.persistent.epoch}")
        self._begin_epoch(epoch, now)
        self.persistent.current_term, self.persistent.voted_for = 1, self.identity
        self.append(Entry(1, (self.identity,)))
        self._become_leader(now)

    def restore_commit_index(self, index: int, now: int) -> None:
        """After a start: all up to this index of the recalled memory was known to be committed."""
        self._apply_committed(min(index, self.persistent.last_index), now)

    def schedule_campaign(self, at: int) -> None:
        """Stand for election at this time, where no leader is heard before. Others that hear one refuse."""
        self.election_deadline = min(self.election_deadline, at)

    def propose(self, op: bytes, now: int) -> int | None:
        """A ticket that `done` will name; None: it does not lead, is handing over, or has too many bytes of
        entries that are not committed."""
        if not self.is_leader or self.transfer_target:
            return None
        if self.uncommitted_bytes and self.uncommitted_bytes + len(op) > self.timing.max_uncommitted_bytes:
            return None
        self.last_request_id += 1
        self.pending_proposals[self.persistent.last_index + 1] = self.last_request_id
        self._append_and_replicate(Entry(self.persistent.current_term, None, op), now)
        return self.last_request_id

    def request_read(self, now: int) -> int | None:
        """A ticket: once `done` names it, the machine holds all that was committed when this was called."""
        if not self.has_committed_in_term:
            return None
        self.last_request_id += 1
        self._begin_round(now)
        self.pending_reads.append(PendingRead(self.last_request_id, self.round))
        self._broadcast(now)
        self._advance_commit_index(now)
        return self.last_request_id

    def change_voters(self, voters: tuple[str, ...], now: int, erased: frozenset[str] = frozenset()) -> bool:
        """One more or one less, or one in place of another whose memory is known to be `erased`. False: not
        now (see the head of the file); a new one must have caught up, and a majority of the list in force
        must have confirmed the leader within the last two heartbeats."""
        more, less = set(voters) - set(self.voters), set(self.voters) - set(voters)
        pending = self.persistent.voters_at(self.commit_index) != self.voters
        one_step = len(more) + len(less) == 1 or (len(more) == len(less) == 1 and less <= erased)
        if not self.has_committed_in_term or self.transfer_target or pending or not one_step or not voters:
            return False
        age = self.confirmed_age(now)
        if age is None or age > 2 * self.timing.heartbeat_us:
            return False
        if more and not self._caught_up(next(iter(more))):
            return False
        self._append_and_replicate(Entry(self.persistent.current_term, tuple(sorted(voters))), now)
        return True

    def set_learners(self, learners: set[str], now: int) -> None:
        """Send the record to these too, which do not vote: so that they can be made voters."""
        self.learners = set(learners)
        if self.is_leader:
            self._update_peers(now)

    def transfer_leadership(self, to: str, now: int) -> bool:
        """Make this voter the leader: it is brought up to date, then told to stand at once."""
        if not self.is_leader or to not in self.voters or to == self.identity:
            return False
        self.transfer_target, self.transfer_deadline = to, now + self.timing.election_timeout_us
        self._send_entries(to, now)
        self._finish_hand_over()
        return True

    # --- what happens ---

    def tick(self, now: int) -> None:
        if self.is_leader:
            if self.transfer_target and now >= self.transfer_deadline:
                self.transfer_target = ""
            if not self._quorum_is_active(now):
                self._become_follower(
                    self.persistent.current_term, "", now
                )  # check-quorum: somebody else may lead
            elif now >= self.next_heartbeat_at:
                self._begin_round(now)
                self._broadcast(now)
                self._confirm_rounds()
        elif now >= self.election_deadline:
            self._campaign(now, pre=True)

    def receive(self, message: Message, now: int) -> None:
        """Of whatever age, as often as it comes, in whatever order."""
        if message.epoch != self.persistent.epoch:
            if message.epoch < self.persistent.epoch:  # the sender is told of the epoch by any answer
                if not isinstance(message.body, (VoteResponse, AppendResponse, ChunkResponse)):
                    self._send_to(message.sender, VoteResponse(granted=False, is_pre_vote=True))
                return
            if not started_by_operator(message.epoch) and self.persistent.has_operations:
                self.conflicting_epoch = message.epoch
                return  # two fleets were founded; which one goes on is an operator's word
            self._begin_epoch(message.epoch, now)
        body, term = message.body, message.term
        if isinstance(body, VoteRequest):
            self._vote_requested(message, body, now)
            return
        if term > self.persistent.current_term and not (
            isinstance(body, VoteResponse) and body.is_pre_vote and body.granted
        ):
            self._become_follower(term, "", now)
        if isinstance(body, VoteResponse):
            self._vote_answered(message, body, now)
        elif isinstance(body, AppendResponse):
            self._append_answered(message, body, now)
        elif isinstance(body, ChunkResponse):
            self._piece_answered(message, body, now)
        elif term < self.persistent.current_term:
            self._send_to(message.sender, AppendResponse(success=False, index=0, round=0))
        elif isinstance(body, AppendEntries):
            self._send_to(message.sender, self._append_entries(message, body, now))
        elif isinstance(body, InstallSnapshot):
            self._send_to(message.sender, self._install_snapshot(message, body, now))
        elif isinstance(body, Chunk):
            self._receive_piece(message, body, now)
        elif isinstance(body, TimeoutNow) and self.is_voter:
            self._campaign(now, pre=False, handed=True)

    # --- elections ---

    def _reset_election_timer(self, now: int) -> None:
        self.election_deadline = now + self.random.randint(
            self.timing.election_timeout_us, 2 * self.timing.election_timeout_us
        )

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        was_leading = self.is_leader
        if term > self.persistent.current_term:
            self.persistent.current_term, self.persistent.voted_for = term, ""
            self.hard_state_changed = True
        self.role, self.leader, self.transfer_target = Role.FOLLOWER, leader, ""
        self.votes, self.peers = set(), {}
        if was_leading:  # whether they were taken is for the next leader to know
            self.outcomes += [
                ProposalOutcome(proposal_id, False) for proposal_id in self.pending_proposals.values()
            ]
            self.outcomes += [ReadIndexOutcome(read.read_id, False) for read in self.pending_reads]
            self.pending_proposals, self.pending_reads = {}, []
        if leader:
            self.last_contact_at = now
        self._reset_election_timer(now)

    def _campaign(self, now: int, pre: bool, handed: bool = False) -> None:
        self._reset_election_timer(now)
        if not self.is_voter:
            return
        memory = self.persistent
        self.role, self.leader, self.votes = (
            (Role.PRE_CANDIDATE if pre else Role.CANDIDATE),
            "",
            {self.identity},
        )
        if not pre:
            memory.current_term, memory.voted_for = memory.current_term + 1, self.identity
            self.hard_state_changed = True
        last_term = memory.term_at(memory.last_index)
        assert last_term is not None
        for other in self.voters:
            if other != self.identity:
                term = memory.current_term + 1 if pre else memory.current_term
                self._send_to(other, VoteRequest(pre, memory.last_index, last_term, handed), term)
        self._count_votes(now)

    def _vote_requested(self, message: Message, ask: VoteRequest, now: int) -> None:
        memory, term = self.persistent, message.term
        led = self.is_leader or now < self.last_contact_at + self.timing.election_timeout_us
        if led and not ask.is_leadership_transfer and term > memory.current_term:
            return  # its leader is well; who was cut off, or is no voter any more, does not disturb it
        if not ask.is_pre_vote and term > memory.current_term:
            self._become_follower(term, "", now)
        last_term = memory.term_at(memory.last_index)
        assert last_term is not None
        fresh = (ask.last_log_term, ask.last_log_index) >= (last_term, memory.last_index)
        if ask.is_pre_vote:
            granted = fresh and term > memory.current_term
            # Its term comes back to it, so that it knows which of its questions this answers.
            self._send_to(
                message.sender, VoteResponse(granted, True), term if granted else memory.current_term
            )
            return
        granted = fresh and term == memory.current_term and memory.voted_for in ("", message.sender)
        if granted and not memory.voted_for:
            memory.voted_for, self.hard_state_changed = message.sender, True
            self._reset_election_timer(now)
        self._send_to(message.sender, VoteResponse(granted, False))

    def _vote_answered(self, message: Message, vote: VoteResponse, now: int) -> None:
        wanted = Role.PRE_CANDIDATE if vote.is_pre_vote else Role.CANDIDATE
        term = self.persistent.current_term + 1 if vote.is_pre_vote else self.persistent.current_term
        if vote.granted and self.role is wanted and message.term == term:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if not self._has_quorum(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.append(Entry(self.persistent.current_term))
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader, self.peers = Role.LEADER, self.identity, {}
        self.learners &= set(self.voters)
        self._update_peers(now)
        self._unconfirmed_rounds.clear()
        self._begin_round(now)
        self._broadcast(now)
        self._advance_commit_index(now)

    def _quorum_is_active(self, now: int) -> bool:
        since = now - 2 * self.timing.election_timeout_us
        heard = {name for name, peer in self.peers.items() if peer.last_contact_at > since}
        return self._has_quorum(heard | {self.identity})

    # --- the log ---

    def _append_and_replicate(self, entry: Entry, now: int) -> None:
        """The leader's own."""
        self.append(entry)
        self._update_peers(now)
        self._broadcast(now)
        self._advance_commit_index(now)

    def _begin_epoch(self, epoch: int, now: int) -> None:
        """Begin another epoch, with nothing."""
        self._become_follower(self.persistent.current_term, "", now)
        self.clear(epoch)
        self.hard_state_changed = True
        self.confirmed_at, self._to_confirm, self.conflicting_epoch = None, None, 0
        self.on_applied(now)

    def _receive_piece(self, message: Message, piece: Chunk, now: int) -> None:
        """A part of a message from the leader of this term."""
        self._become_follower(message.term, message.sender, now)
        key = (message.sender, message.term, piece.transfer_id)
        if self.incoming_transfer.key != key:
            self.incoming_transfer = IncomingTransfer(key)
        assembly = self.incoming_transfer
        assembly.add(piece)
        if assembly.response is None and len(assembly.content) < piece.total_bytes:
            self._send_to(
                message.sender, ChunkResponse(piece.transfer_id, len(assembly.content), piece.round)
            )
            return
        if assembly.response is None:
            body = decode_transfer(bytes(assembly.content))
            assembly.content.clear()
            whole = msgspec.structs.replace(message, body=body)
            if isinstance(body, AppendEntries):
                assembly.response = self._append_entries(whole, body, now)
            else:
                assembly.response = self._install_snapshot(whole, body, now)
        self._send_to(message.sender, assembly.response)

    def _piece_answered(self, message: Message, taken: ChunkResponse, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.is_leader or peer is None or message.term != self.persistent.current_term:
            return
        peer.last_contact_at, peer.answered_round = now, max(peer.answered_round, taken.round)
        transfer = peer.transfer
        if transfer is not None and transfer.transfer_id == taken.transfer_id:
            # Each answer counts once; a replica that holds nothing of it has started again.
            restarted = taken.offset == 0 and transfer.offset > 0
            if taken.offset > transfer.offset or restarted:
                transfer.offset = taken.offset
                self._send_piece(message.sender, now)
        self._advance_commit_index(now)

    def _append_entries(self, message: Message, append: AppendEntries, now: int) -> AppendResponse:
        """Entries, or none, from the leader of this term."""
        self._become_follower(message.term, message.sender, now)
        stamp = Timestamp(self.incarnation, now)
        hint = self.conflict_hint(append)
        if hint is not None:
            return AppendResponse(False, hint, append.round, stamp)
        self.merge(append)
        match = append.prev_log_index + len(append.entries)
        self._apply_committed(min(append.leader_commit, match), now)
        self._note_confirmation(append)
        return AppendResponse(True, match, append.round, stamp)

    def _install_snapshot(self, message: Message, snapshot: InstallSnapshot, now: int) -> AppendResponse:
        self._become_follower(message.term, message.sender, now)
        if self.install(snapshot):
            self.on_applied(now)
        held = max(snapshot.last_included_index, self.commit_index)
        return AppendResponse(True, held, snapshot.round, Timestamp(self.incarnation, now))

    def _append_answered(self, message: Message, taken: AppendResponse, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.is_leader or peer is None or message.term != self.persistent.current_term:
            return
        peer.last_contact_at, peer.answered_round = now, max(peer.answered_round, taken.round)
        if taken.timestamp is not None and peer.pending_timestamp is None:
            peer.pending_timestamp, peer.pending_timestamp_round = taken.timestamp, self.round + 1
        if peer.transfer is not None and not self._ends_transfer(peer, taken):
            peer.match_index = max(peer.match_index, taken.index) if taken.success else peer.match_index
            self._advance_commit_index(now)
        elif not taken.success:
            peer.next_index = max(min(taken.index, self.persistent.last_index) + 1, peer.match_index + 1)
            if (
                taken.index >= peer.match_index
            ):  # else it is an old answer, or one that has forgotten: no hurry
                self._send_entries(message.sender, now)
        else:
            peer.match_index = max(peer.match_index, taken.index)
            peer.next_index = max(
                peer.next_index, peer.match_index + 1
            )  # what is lost shows at the next sign of life
            self._advance_commit_index(now)
            if peer.next_index <= self.persistent.last_index and message.sender in self.peers:
                self._send_entries(message.sender, now)
        self._finish_hand_over()

    def _advance_commit_index(self, now: int) -> None:
        """Commit what a majority has, of the own term; answer what may be read."""
        index = self._quorum_match_index()
        if index > self.commit_index and self.persistent.term_at(index) == self.persistent.current_term:
            self._apply_committed(index, now)
            if self.is_leader:
                self._broadcast(now)
        if not self.is_leader:
            return
        self._confirm_rounds()
        answered = [read for read in self.pending_reads if self._round_taken(read.round)]
        self.outcomes += [ReadIndexOutcome(read.read_id, True) for read in answered]
        self.pending_reads = [read for read in self.pending_reads if read not in answered]

    def _apply_committed(self, index: int, now: int) -> None:
        if index <= self.commit_index:
            return
        for applied in self.apply_to(index):
            if proposal_id := self.pending_proposals.pop(applied.index, 0):
                self.outcomes.append(ProposalOutcome(proposal_id, True, applied.result))
        self.on_applied(now)
        if (
            self.is_leader
            and not self.is_voter
            and self.persistent.voters_at(self.commit_index) == self.voters
        ):
            self._become_follower(self.persistent.current_term, "", now)
        self.compact(self.timing.snapshot_after_entries, self.timing.snapshot_after_bytes)

    def _finish_hand_over(self) -> None:
        peer = self.peers.get(self.transfer_target) if self.is_leader else None
        if peer is not None and peer.match_index == self.persistent.last_index:
            self._send_to(self.transfer_target, TimeoutNow())
