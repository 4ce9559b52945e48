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

from hazelbend.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    InstallSnapshot,
    Message,
    Piece,
    PieceResponse,
    Stamp,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
    decode_transfer,
)
from hazelbend.consensus.persistent_state import PersistentState, founded_by_operator
from hazelbend.consensus.replicated_log import StateMachine
from hazelbend.consensus.replication import Assembly
from hazelbend.consensus.replicator import Replicator, Role, Timing

__all__ = ["Done", "RaftNode", "Read", "Role", "Timing"]


@dataclass(slots=True)
class Read:
    """A read, which ends once a majority has answered this round."""

    ticket: int
    round: int


@dataclass(slots=True, frozen=True)
class Done:
    """A proposal or read ended: `result` is the machine's, or None for a read; not `ok`: it was not taken, or
    nobody can say whether it was, so that it may have been."""

    ticket: int
    ok: bool
    result: object = None


class RaftNode(Replicator):
    """The log of one member, and its part in elections and replication: see the head of the file."""

    def __init__(
        self, memory: PersistentState, machine: StateMachine, timing: Timing, seed: int, now: int
    ) -> None:
        super().__init__(memory, machine, timing, seed)
        self.random = random.Random(seed)
        self.leader = ""
        self.done: list[Done] = []
        self.promise_changed = False  # epoch, term or vote are to be saved
        # Called after entries were applied, or all was replaced.
        self.watcher: Callable[[int], None] = lambda now: None
        self.heard_at = now - 2 * timing.election  # of a leader; not yet
        self.election_due = 0
        self.votes: set[str] = set()
        self.foreign_epoch = 0  # a later one that was not followed, as something may be acknowledged in this
        self.reads: list[Read] = []
        self.tickets: dict[int, int] = {}  # by index, of the own term
        self.last_ticket = 0
        self.handing_to, self.handing_until = "", 0
        self._reset_election_timer(now)

    # --- what its owner asks ---

    @property
    def is_voter(self) -> bool:
        return self.me in self.voters

    @property
    def due(self) -> int:
        """When `tick` has something to do."""
        return self.heartbeat_due if self.leads else self.election_due

    def found(self, epoch: int, now: int) -> None:
        """Start an epoch with this one voter. ValueError unless it is higher than what is known here. No
        number may ever be used twice: see `epoch_number`."""
        if epoch <= self.persistent.epoch:
            raise ValueError(f"epoch {epoch} is not higher than {self.persistent.epoch}")
        self._begin_epoch(epoch, now)
        self.persistent.term, self.persistent.vote = 1, self.me
        self.append(Entry(1, (self.me,)))
        self._become_leader(now)

    def restore_commit(self, index: int, now: int) -> None:
        """After a start: all up to this index of the recalled memory was known to be committed."""
        self._commit(min(index, self.persistent.last), now)

    def campaign_at(self, at: int) -> None:
        """Stand for election at this time, where no leader is heard before. Others that hear one refuse."""
        self.election_due = min(self.election_due, at)

    def propose(self, op: bytes, now: int) -> int | None:
        """A ticket that `done` will name; None: it does not lead, is handing over, or has too many bytes of
        entries that are not committed."""
        if not self.leads or self.handing_to:
            return None
        if self.pending_bytes and self.pending_bytes + len(op) > self.timing.pending_bytes:
            return None
        self.last_ticket += 1
        self.tickets[self.persistent.last + 1] = self.last_ticket
        self._append_and_send(Entry(self.persistent.term, None, op), now)
        return self.last_ticket

    def read(self, now: int) -> int | None:
        """A ticket: once `done` names it, the machine holds all that was committed when this was called."""
        if not self.settled:
            return None
        self.last_ticket += 1
        self._begin_round(now)
        self.reads.append(Read(self.last_ticket, self.round))
        self._broadcast(now)
        self._advance(now)
        return self.last_ticket

    def change_voters(self, voters: tuple[str, ...], now: int, erased: frozenset[str] = frozenset()) -> bool:
        """One more or one less, or one in place of another whose memory is known to be `erased`. False: not
        now (see the head of the file); a new one must have caught up, and a majority of the list in force
        must have confirmed the leader within the last two heartbeats."""
        more, less = set(voters) - set(self.voters), set(self.voters) - set(voters)
        pending = self.persistent.voters_at(self.commit) != self.voters
        one_step = len(more) + len(less) == 1 or (len(more) == len(less) == 1 and less <= erased)
        if not self.settled or self.handing_to or pending or not one_step or not voters:
            return False
        age = self.confirmed_age(now)
        if age is None or age > 2 * self.timing.heartbeat:
            return False
        if more and not self._caught_up(next(iter(more))):
            return False
        self._append_and_send(Entry(self.persistent.term, tuple(sorted(voters))), now)
        return True

    def set_learners(self, learners: set[str], now: int) -> None:
        """Send the record to these too, which do not vote: so that they can be made voters."""
        self.learners = set(learners)
        if self.leads:
            self._update_peers(now)

    def hand_over(self, to: str, now: int) -> bool:
        """Make this voter the leader: it is brought up to date, then told to stand at once."""
        if not self.leads or to not in self.voters or to == self.me:
            return False
        self.handing_to, self.handing_until = to, now + self.timing.election
        self._send(to, now)
        self._finish_hand_over()
        return True

    # --- what happens ---

    def tick(self, now: int) -> None:
        if self.leads:
            if self.handing_to and now >= self.handing_until:
                self.handing_to = ""
            if not self._heard_by_majority(now):
                self._become_follower(self.persistent.term, "", now)  # check-quorum: somebody else may lead
            elif now >= self.heartbeat_due:
                self._begin_round(now)
                self._broadcast(now)
                self._confirm()
        elif now >= self.election_due:
            self._campaign(now, pre=True)

    def receive(self, message: Message, now: int) -> None:
        """Of whatever age, as often as it comes, in whatever order."""
        if message.epoch != self.persistent.epoch:
            if message.epoch < self.persistent.epoch:  # the sender is told of the epoch by any answer
                if not isinstance(message.body, (VoteResponse, AppendResponse, PieceResponse)):
                    self._send_to(message.sender, VoteResponse(granted=False, pre=True))
                return
            if not founded_by_operator(message.epoch) and self.persistent.has_operations:
                self.foreign_epoch = message.epoch
                return  # two fleets were founded; which one goes on is an operator's word
            self._begin_epoch(message.epoch, now)
        body, term = message.body, message.term
        if isinstance(body, VoteRequest):
            self._vote_requested(message, body, now)
            return
        if term > self.persistent.term and not (isinstance(body, VoteResponse) and body.pre and body.granted):
            self._become_follower(term, "", now)
        if isinstance(body, VoteResponse):
            self._vote_answered(message, body, now)
        elif isinstance(body, AppendResponse):
            self._append_answered(message, body, now)
        elif isinstance(body, PieceResponse):
            self._piece_answered(message, body, now)
        elif term < self.persistent.term:
            self._send_to(message.sender, AppendResponse(ok=False, index=0, round=0))
        elif isinstance(body, AppendEntries):
            self._send_to(message.sender, self._append_entries(message, body, now))
        elif isinstance(body, InstallSnapshot):
            self._send_to(message.sender, self._install_snapshot(message, body, now))
        elif isinstance(body, Piece):
            self._receive_piece(message, body, now)
        elif isinstance(body, TimeoutNow) and self.is_voter:
            self._campaign(now, pre=False, handed=True)

    # --- elections ---

    def _reset_election_timer(self, now: int) -> None:
        self.election_due = now + self.random.randint(self.timing.election, 2 * self.timing.election)

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        was_leading = self.leads
        if term > self.persistent.term:
            self.persistent.term, self.persistent.vote = term, ""
            self.promise_changed = True
        self.role, self.leader, self.handing_to = Role.FOLLOWER, leader, ""
        self.votes, self.peers = set(), {}
        if was_leading:  # whether they were taken is for the next leader to know
            self.done += [Done(ticket, False) for ticket in self.tickets.values()]
            self.done += [Done(read.ticket, False) for read in self.reads]
            self.tickets, self.reads = {}, []
        if leader:
            self.heard_at = now
        self._reset_election_timer(now)

    def _campaign(self, now: int, pre: bool, handed: bool = False) -> None:
        self._reset_election_timer(now)
        if not self.is_voter:
            return
        memory = self.persistent
        self.role, self.leader, self.votes = (Role.PRE_CANDIDATE if pre else Role.CANDIDATE), "", {self.me}
        if not pre:
            memory.term, memory.vote = memory.term + 1, self.me
            self.promise_changed = True
        last_term = memory.term_at(memory.last)
        assert last_term is not None
        for other in self.voters:
            if other != self.me:
                term = memory.term + 1 if pre else memory.term
                self._send_to(other, VoteRequest(pre, memory.last, last_term, handed), term)
        self._count_votes(now)

    def _vote_requested(self, message: Message, ask: VoteRequest, now: int) -> None:
        memory, term = self.persistent, message.term
        led = self.leads or now < self.heard_at + self.timing.election
        if led and not ask.handed and term > memory.term:
            return  # its leader is well; who was cut off, or is no voter any more, does not disturb it
        if not ask.pre and term > memory.term:
            self._become_follower(term, "", now)
        last_term = memory.term_at(memory.last)
        assert last_term is not None
        fresh = (ask.last_term, ask.last) >= (last_term, memory.last)
        if ask.pre:
            granted = fresh and term > memory.term
            # Its term comes back to it, so that it knows which of its questions this answers.
            self._send_to(message.sender, VoteResponse(granted, True), term if granted else memory.term)
            return
        granted = fresh and term == memory.term and memory.vote in ("", message.sender)
        if granted and not memory.vote:
            memory.vote, self.promise_changed = message.sender, True
            self._reset_election_timer(now)
        self._send_to(message.sender, VoteResponse(granted, False))

    def _vote_answered(self, message: Message, vote: VoteResponse, now: int) -> None:
        wanted = Role.PRE_CANDIDATE if vote.pre else Role.CANDIDATE
        term = self.persistent.term + 1 if vote.pre else self.persistent.term
        if vote.granted and self.role is wanted and message.term == term:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if not self._majority(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.append(Entry(self.persistent.term))
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader, self.peers = Role.LEADER, self.me, {}
        self.learners &= set(self.voters)
        self._update_peers(now)
        self._rounds.clear()
        self._begin_round(now)
        self._broadcast(now)
        self._advance(now)

    def _heard_by_majority(self, now: int) -> bool:
        since = now - 2 * self.timing.election
        heard = {name for name, peer in self.peers.items() if peer.heard_at > since}
        return self._majority(heard | {self.me})

    # --- the log ---

    def _append_and_send(self, entry: Entry, now: int) -> None:
        """The leader's own."""
        self.append(entry)
        self._update_peers(now)
        self._broadcast(now)
        self._advance(now)

    def _begin_epoch(self, epoch: int, now: int) -> None:
        """Begin another epoch, with nothing."""
        self._become_follower(self.persistent.term, "", now)
        self.clear(epoch)
        self.promise_changed = True
        self.confirmed_at, self._to_confirm, self.foreign_epoch = None, None, 0
        self.watcher(now)

    def _receive_piece(self, message: Message, piece: Piece, now: int) -> None:
        """A part of a message from the leader of this term."""
        self._become_follower(message.term, message.sender, now)
        key = (message.sender, message.term, piece.number)
        if self.assembly.key != key:
            self.assembly = Assembly(key)
        assembly = self.assembly
        assembly.add(piece)
        if assembly.answer is None and len(assembly.content) < piece.total:
            self._send_to(message.sender, PieceResponse(piece.number, len(assembly.content), piece.round))
            return
        if assembly.answer is None:
            body = decode_transfer(bytes(assembly.content))
            assembly.content.clear()
            whole = msgspec.structs.replace(message, body=body)
            if isinstance(body, AppendEntries):
                assembly.answer = self._append_entries(whole, body, now)
            else:
                assembly.answer = self._install_snapshot(whole, body, now)
        self._send_to(message.sender, assembly.answer)

    def _piece_answered(self, message: Message, taken: PieceResponse, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.leads or peer is None or message.term != self.persistent.term:
            return
        peer.heard_at, peer.round = now, max(peer.round, taken.round)
        transfer = peer.transfer
        if transfer is not None and transfer.number == taken.number:
            # Each answer counts once; a replica that holds nothing of it has started again.
            restarted = taken.offset == 0 and transfer.offset > 0
            if taken.offset > transfer.offset or restarted:
                transfer.offset = taken.offset
                self._send_piece(message.sender, now)
        self._advance(now)

    def _append_entries(self, message: Message, append: AppendEntries, now: int) -> AppendResponse:
        """Entries, or none, from the leader of this term."""
        self._become_follower(message.term, message.sender, now)
        stamp = Stamp(self.life, now)
        hint = self.conflict_hint(append)
        if hint is not None:
            return AppendResponse(False, hint, append.round, stamp)
        self.merge(append)
        match = append.before + len(append.entries)
        self._commit(min(append.commit, match), now)
        self._note_confirmation(append)
        return AppendResponse(True, match, append.round, stamp)

    def _install_snapshot(self, message: Message, snapshot: InstallSnapshot, now: int) -> AppendResponse:
        self._become_follower(message.term, message.sender, now)
        if self.install(snapshot):
            self.watcher(now)
        held = max(snapshot.base, self.commit)
        return AppendResponse(True, held, snapshot.round, Stamp(self.life, now))

    def _append_answered(self, message: Message, taken: AppendResponse, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.leads or peer is None or message.term != self.persistent.term:
            return
        peer.heard_at, peer.round = now, max(peer.round, taken.round)
        if taken.stamp is not None and peer.asked is None:
            peer.asked, peer.asked_round = taken.stamp, self.round + 1
        if peer.transfer is not None and not self._ends_transfer(peer, taken):
            peer.match = max(peer.match, taken.index) if taken.ok else peer.match
            self._advance(now)
        elif not taken.ok:
            peer.next = max(min(taken.index, self.persistent.last) + 1, peer.match + 1)
            if taken.index >= peer.match:  # else it is an old answer, or one that has forgotten: no hurry
                self._send(message.sender, now)
        else:
            peer.match = max(peer.match, taken.index)
            peer.next = max(peer.next, peer.match + 1)  # what is lost shows at the next sign of life
            self._advance(now)
            if peer.next <= self.persistent.last and message.sender in self.peers:
                self._send(message.sender, now)
        self._finish_hand_over()

    def _advance(self, now: int) -> None:
        """Commit what a majority has, of the own term; answer what may be read."""
        index = self._majority_holds()
        if index > self.commit and self.persistent.term_at(index) == self.persistent.term:
            self._commit(index, now)
            if self.leads:
                self._broadcast(now)
        if not self.leads:
            return
        self._confirm()
        answered = [read for read in self.reads if self._round_taken(read.round)]
        self.done += [Done(read.ticket, True) for read in answered]
        self.reads = [read for read in self.reads if read not in answered]

    def _commit(self, index: int, now: int) -> None:
        if index <= self.commit:
            return
        for applied in self.apply_to(index):
            if ticket := self.tickets.pop(applied.index, 0):
                self.done.append(Done(ticket, True, applied.result))
        self.watcher(now)
        if self.leads and not self.is_voter and self.persistent.voters_at(self.commit) == self.voters:
            self._become_follower(self.persistent.term, "", now)
        self.compact(self.timing.kept, self.timing.kept_bytes)

    def _finish_hand_over(self) -> None:
        peer = self.peers.get(self.handing_to) if self.leads else None
        if peer is not None and peer.match == self.persistent.last:
            self._send_to(self.handing_to, TimeoutNow())
