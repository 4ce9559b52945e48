"""The record: an ordered log of small facts that a majority of its voters has taken. Raft, as in Ongaro and
Ousterhout (2014) and chapters 3, 4, 6 and 9.6 of Ongaro's thesis, told the time and without I/O.

State table (`Role`):

    FOLLOWER  --no leader for an election's time, own vote in the voters--> ASKING
    ASKING    --a majority would vote (pre-vote)-->                         CANDIDATE, term + 1
    CANDIDATE --a majority voted-->                                         LEADER, adds an empty entry
    any       --a message of a higher term-->                               FOLLOWER of that term
    LEADER    --no majority heard for an election's time (check-quorum)-->  FOLLOWER
    LEADER    --an entry without itself among the voters is committed-->    FOLLOWER

Who votes. An identity is one memory: a process that starts without its memory takes a new identity, which no
voter's name is, so it never votes, or counts, as what it was. It comes back by the record: it is added as a
new voter and the old name is removed, one voter at a time, each only when the one before is committed and an
entry of the leader's own term is (Ongaro's correction of 2015). With a store, the memory is written before
any message that rests on it leaves: the driver saves what `unsaved` and `promise_changed` name, then sends
`out`.

Epochs. When a majority's memory is lost at once nothing can be committed any more. `found` starts a new epoch
with one voter, by an operator's word; whoever hears of a higher epoch forgets the lower one's record.

Invariants, checked by the tests after every step:
    election      at most one leader in a term of an epoch
    matching      entries of one index and term are the same, and so are all before them
    completeness  what is committed stands in the log of every later leader
    machine       no two members apply different entries at one index
    single        of two voter lists in a row in a log, one has at most one more, or one less, than the other

Times are microseconds of this process's monotonic clock; nobody compares two processes' times.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from hazelbend.fleet.memory import Memory, founded_by_operator
from hazelbend.fleet.messages import (
    Ask,
    Body,
    Entry,
    Install,
    Message,
    Piece,
    PieceTaken,
    Put,
    Stamp,
    Taken,
    TimeIsUp,
    Vote,
    decode_transfer,
)
from hazelbend.fleet.replication import (
    BATCH_BYTES,
    Assembly,
    Progress,
    batch,
    begin_transfer,
    needs_transfer,
    size_of,
)

PIECE_PATIENCE = 10  # heartbeats without an answer to a piece, after which it is sent again


LIFE_BITS = 53


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Microseconds. `election` is the least time without a leader after which one stands; the most is
    twice."""

    heartbeat: int = 200_000
    election: int = 1_000_000
    batch: int = 64  # entries in a message
    kept: int = 512  # entries that are committed, after which a snapshot takes their place
    kept_bytes: int = 4 * 1024 * 1024  # the same by their size
    pending_bytes: int = 12 * 1024 * 1024  # of entries that are not committed: no more are taken


class Machine(Protocol):
    """What the entries change: the same after the same entries, whatever the time and the process."""

    def begin(self, epoch: int) -> None: ...

    def apply(self, index: int, op: bytes) -> object: ...

    def snapshot(self) -> bytes: ...

    def restore(self, state: bytes) -> None: ...


@dataclass(slots=True)
class Read:
    ticket: int
    round: int


@dataclass(slots=True, frozen=True)
class Done:
    """A proposal or read ended: `result` is the machine's, or None for a read; not `ok`: it was not taken, or
    nobody can say whether it was, so that it may have been."""

    ticket: int
    ok: bool
    result: object = None


class Record:
    def __init__(self, memory: Memory, machine: Machine, timing: Timing, seed: int, now: int) -> None:
        self.memory, self.machine, self.timing = memory, machine, timing
        self.random = random.Random(seed)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = memory.base  # all up to it is applied
        machine.begin(memory.epoch)
        if memory.base:
            machine.restore(memory.base_state)
        self.voters = memory.voters_at(memory.last)
        self.out: list[Message] = []
        self.done: list[Done] = []
        self.unsaved: int | None = None  # entries from this index on, and what is under them, are to be saved
        self.promise_changed = False  # epoch, term or vote are to be saved
        # Called after entries were applied, or all was replaced.
        self.watcher: Callable[[int], None] = lambda now: None
        self.heard_at = now - 2 * timing.election  # of a leader; not yet
        self.stands_at = 0
        self.votes: set[str] = set()
        self.peers: dict[str, Progress] = {}
        self.learners: set[str] = set()
        self.life = random.Random(seed + 1).getrandbits(LIFE_BITS)  # names this start of the process
        self.confirmed_at: int | None = None  # when what is committed here was surely all that was committed
        self.foreign_epoch = 0  # a later one that was not followed, as something may be acknowledged in this
        self.assembly = Assembly()
        self.last_transfer = 0
        self.round = 0
        self._rounds: deque[tuple[int, int]] = deque()  # rounds that are not confirmed, and when they began
        self._to_confirm: tuple[int, int] | None = None  # a time, and the index that it is confirmed with
        self.beat_at = 0
        self.reads: list[Read] = []
        self.tickets: dict[int, int] = {}  # by index, of the own term
        self.last_ticket = 0
        self.handing_to, self.handing_until = "", 0
        self._wait(now)

    # --- what its owner asks ---

    @property
    def me(self) -> str:
        return self.memory.identity

    @property
    def is_voter(self) -> bool:
        return self.me in self.voters

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER

    @property
    def settled(self) -> bool:
        """Whether it leads and has committed in its own term: what it has applied is all that was
        committed."""
        return self.leads and self.memory.term_at(self.commit) == self.memory.term

    @property
    def due(self) -> int:
        """When `tick` has something to do."""
        return self.beat_at if self.leads else self.stands_at

    def found(self, epoch: int, now: int) -> None:
        """Start an epoch with this one voter. ValueError unless it is higher than what is known here. No
        number may ever be used twice: see `epoch_number`."""
        if epoch <= self.memory.epoch:
            raise ValueError(f"epoch {epoch} is not higher than {self.memory.epoch}")
        self._forget(epoch, now)
        self.memory.term, self.memory.vote = 1, self.me
        self._append(Entry(1, (self.me,)))
        self._lead(now)

    def recall_commit(self, index: int, now: int) -> None:
        """After a start: all up to this index of the recalled memory was known to be committed."""
        self._commit(min(index, self.memory.last), now)

    def stand_by(self, at: int) -> None:
        """Stand for election at this time, where no leader is heard before. Others that hear one refuse."""
        self.stands_at = min(self.stands_at, at)

    def propose(self, op: bytes, now: int) -> int | None:
        """A ticket that `done` will name; None: it does not lead, is handing over, or has too many bytes of
        entries that are not committed."""
        if not self.leads or self.handing_to:
            return None
        pending = size_of(self.memory.entries[self.commit - self.memory.base :])
        if pending and pending + len(op) > self.timing.pending_bytes:
            return None
        self.last_ticket += 1
        self.tickets[self.memory.last + 1] = self.last_ticket
        self._add(Entry(self.memory.term, None, op), now)
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
        pending = self.memory.voters_at(self.commit) != self.voters
        one_step = len(more) + len(less) == 1 or (len(more) == len(less) == 1 and less <= erased)
        if not self.settled or self.handing_to or pending or not one_step or not voters:
            return False
        age = self.confirmed_age(now)
        if age is None or age > 2 * self.timing.heartbeat:
            return False
        if more and not self._caught_up(next(iter(more))):
            return False
        self._add(Entry(self.memory.term, tuple(sorted(voters))), now)
        return True

    def confirmed_age(self, now: int) -> int | None:
        """Microseconds since a time at which all that was committed anywhere was committed here too, as a
        majority has confirmed since. None: no such time is known in this life."""
        if self.leads and self.settled and self.voters == (self.me,):
            return 0
        return None if self.confirmed_at is None else max(now - self.confirmed_at, 0)

    def teach(self, learners: set[str], now: int) -> None:
        """Send the record to these too, which do not vote: so that they can be made voters."""
        self.learners = set(learners)
        if self.leads:
            self._meet(now)

    def hand_over(self, to: str, now: int) -> bool:
        """Make this voter the leader: it is brought up to date, then told to stand at once."""
        if not self.leads or to not in self.voters or to == self.me:
            return False
        self.handing_to, self.handing_until = to, now + self.timing.election
        self._send(to, now)
        self._hand_on()
        return True

    # --- what happens ---

    def tick(self, now: int) -> None:
        if self.leads:
            if self.handing_to and now >= self.handing_until:
                self.handing_to = ""
            if not self._heard_by_majority(now):
                self._follow(self.memory.term, "", now)  # check-quorum: somebody else may lead
            elif now >= self.beat_at:
                self._begin_round(now)
                self._broadcast(now)
                self._confirm()
        elif now >= self.stands_at:
            self._stand(now, pre=True)

    def receive(self, message: Message, now: int) -> None:
        """Of whatever age, as often as it comes, in whatever order."""
        if message.epoch != self.memory.epoch:
            if message.epoch < self.memory.epoch:  # the sender is told of the epoch by any answer
                if not isinstance(message.body, (Vote, Taken, PieceTaken)):
                    self._tell(message.sender, Vote(granted=False, pre=True))
                return
            if not founded_by_operator(message.epoch) and self.memory.has_operations:
                self.foreign_epoch = message.epoch
                return  # two fleets were founded; which one goes on is an operator's word
            self._forget(message.epoch, now)
        body, term = message.body, message.term
        if isinstance(body, Ask):
            self._asked(message, body, now)
            return
        if term > self.memory.term and not (isinstance(body, Vote) and body.pre and body.granted):
            self._follow(term, "", now)
        if isinstance(body, Vote):
            self._voted(message, body, now)
        elif isinstance(body, Taken):
            self._taken(message, body, now)
        elif isinstance(body, PieceTaken):
            self._piece_taken(message, body, now)
        elif term < self.memory.term:
            self._tell(message.sender, Taken(ok=False, index=0, round=0))
        elif isinstance(body, Put):
            self._tell(message.sender, self._put(message, body, now))
        elif isinstance(body, Install):
            self._tell(message.sender, self._install(message, body, now))
        elif isinstance(body, Piece):
            self._piece(message, body, now)
        elif isinstance(body, TimeIsUp) and self.is_voter:
            self._stand(now, pre=False, handed=True)

    # --- elections ---

    def _wait(self, now: int) -> None:
        self.stands_at = now + self.random.randint(self.timing.election, 2 * self.timing.election)

    def _follow(self, term: int, leader: str, now: int) -> None:
        was_leading = self.leads
        if term > self.memory.term:
            self.memory.term, self.memory.vote = term, ""
            self.promise_changed = True
        self.role, self.leader, self.handing_to = Role.FOLLOWER, leader, ""
        self.votes, self.peers = set(), {}
        if was_leading:  # whether they were taken is for the next leader to know
            self.done += [Done(ticket, False) for ticket in self.tickets.values()]
            self.done += [Done(read.ticket, False) for read in self.reads]
            self.tickets, self.reads = {}, []
        if leader:
            self.heard_at = now
        self._wait(now)

    def _stand(self, now: int, pre: bool, handed: bool = False) -> None:
        self._wait(now)
        if not self.is_voter:
            return
        memory = self.memory
        self.role, self.leader, self.votes = (Role.ASKING if pre else Role.CANDIDATE), "", {self.me}
        if not pre:
            memory.term, memory.vote = memory.term + 1, self.me
            self.promise_changed = True
        last_term = memory.term_at(memory.last)
        assert last_term is not None
        for other in self.voters:
            if other != self.me:
                term = memory.term + 1 if pre else memory.term
                self._tell(other, Ask(pre, memory.last, last_term, handed), term)
        self._count(now)

    def _asked(self, message: Message, ask: Ask, now: int) -> None:
        memory, term = self.memory, message.term
        led = self.leads or now < self.heard_at + self.timing.election
        if led and not ask.handed and term > memory.term:
            return  # its leader is well; who was cut off, or is no voter any more, does not disturb it
        if not ask.pre and term > memory.term:
            self._follow(term, "", now)
        last_term = memory.term_at(memory.last)
        assert last_term is not None
        fresh = (ask.last_term, ask.last) >= (last_term, memory.last)
        if ask.pre:
            granted = fresh and term > memory.term
            # Its term comes back to it, so that it knows which of its questions this answers.
            self._tell(message.sender, Vote(granted, True), term if granted else memory.term)
            return
        granted = fresh and term == memory.term and memory.vote in ("", message.sender)
        if granted and not memory.vote:
            memory.vote, self.promise_changed = message.sender, True
            self._wait(now)
        self._tell(message.sender, Vote(granted, False))

    def _voted(self, message: Message, vote: Vote, now: int) -> None:
        wanted = Role.ASKING if vote.pre else Role.CANDIDATE
        term = self.memory.term + 1 if vote.pre else self.memory.term
        if vote.granted and self.role is wanted and message.term == term:
            self.votes.add(message.sender)
            self._count(now)

    def _count(self, now: int) -> None:
        if not self._majority(self.votes):
            return
        if self.role is Role.ASKING:
            self._stand(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._append(Entry(self.memory.term))
            self._lead(now)

    def _lead(self, now: int) -> None:
        self.role, self.leader, self.peers = Role.LEADER, self.me, {}
        self.learners &= set(self.voters)
        self._meet(now)
        self._rounds.clear()
        self._begin_round(now)
        self._broadcast(now)
        self._advance(now)

    def _majority(self, names: set[str]) -> bool:
        return 2 * len(names & set(self.voters)) > len(self.voters)

    def _heard_by_majority(self, now: int) -> bool:
        since = now - 2 * self.timing.election
        heard = {name for name, peer in self.peers.items() if peer.heard_at > since}
        return self._majority(heard | {self.me})

    # --- the log ---

    def _append(self, entry: Entry) -> None:
        self._dirty(self.memory.last + 1)
        self.memory.entries.append(entry)
        if entry.voters is not None:
            self.voters = entry.voters

    def _add(self, entry: Entry, now: int) -> None:
        """The leader's own."""
        self._append(entry)
        self._meet(now)
        self._broadcast(now)
        self._advance(now)

    def _dirty(self, index: int) -> None:
        self.unsaved = index if self.unsaved is None else min(self.unsaved, index)

    def _forget(self, epoch: int, now: int) -> None:
        """Begin another epoch, with nothing."""
        self._follow(self.memory.term, "", now)
        self.memory = Memory(self.memory.identity, epoch)
        self.commit = 0
        self.voters, self.promise_changed = (), True
        self.confirmed_at, self._to_confirm, self.foreign_epoch = None, None, 0
        self._dirty(1)
        self.machine.begin(epoch)
        self.watcher(now)

    def _meet(self, now: int) -> None:
        """Know those to send to."""
        names = (set(self.voters) | self.learners) - {self.me}
        for gone in set(self.peers) - names:
            del self.peers[gone]
        for name in sorted(names - set(self.peers)):
            self.peers[name] = Progress(self.memory.last + 1, heard_at=now)

    def _caught_up(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.match >= self.commit

    def _broadcast(self, now: int) -> None:
        self.beat_at = now + self.timing.heartbeat
        for name in self.peers:
            self._send(name, now)

    def _send(self, name: str, now: int) -> None:
        memory, peer = self.memory, self.peers[name]
        if peer.transfer is not None:
            self._tell(name, self._heartbeat(peer, 0, 0))  # entries go on once the transfer is over
            if now - peer.transfer.sent_at >= PIECE_PATIENCE * self.timing.heartbeat:
                self._send_piece(name, now)
            return
        before = memory.term_at(peer.next - 1)
        if before is None:
            state = (memory.base, memory.base_term, memory.base_voters, memory.base_state)
            self._transfer(name, Install(*state, self.round), now)
            return
        put = self._heartbeat(peer, peer.next - 1, before)
        unanswered = memory.entries[max(peer.match - memory.base, 0) : peer.next - 1 - memory.base]
        if size_of(unanswered) <= BATCH_BYTES:
            entries = batch(memory.entries[peer.next - 1 - memory.base :], self.timing.batch)
            put = msgspec.structs.replace(put, entries=entries)
        if needs_transfer(put):
            self._transfer(name, put, now)
            return
        self._tell(name, put)
        peer.next += len(put.entries)  # what is lost on the way is sent again when the answer shows it

    def _heartbeat(self, peer: Progress, before: int, before_term: int) -> Put:
        return Put(before, before_term, (), self.commit, self.round, peer.confirmed)

    def _transfer(self, name: str, body: Put | Install, now: int) -> None:
        self.last_transfer += 1
        self.peers[name].transfer = begin_transfer(self.last_transfer, body, now)
        self._send_piece(name, now)

    def _send_piece(self, name: str, now: int) -> None:
        transfer = self.peers[name].transfer
        assert transfer is not None
        transfer.sent_at = now
        self._tell(name, transfer.piece(self.round))

    def _piece(self, message: Message, piece: Piece, now: int) -> None:
        """A part of a message from the leader of this term."""
        self._follow(message.term, message.sender, now)
        key = (message.sender, message.term, piece.number)
        if self.assembly.key != key:
            self.assembly = Assembly(key)
        assembly = self.assembly
        assembly.add(piece)
        if assembly.answer is None and len(assembly.content) < piece.total:
            self._tell(message.sender, PieceTaken(piece.number, len(assembly.content), piece.round))
            return
        if assembly.answer is None:
            body = decode_transfer(bytes(assembly.content))
            assembly.content.clear()
            whole = msgspec.structs.replace(message, body=body)
            if isinstance(body, Put):
                assembly.answer = self._put(whole, body, now)
            else:
                assembly.answer = self._install(whole, body, now)
        self._tell(message.sender, assembly.answer)

    def _piece_taken(self, message: Message, taken: PieceTaken, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.leads or peer is None or message.term != self.memory.term:
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

    def _put(self, message: Message, put: Put, now: int) -> Taken:
        """Entries, or none, from the leader of this term."""
        memory = self.memory
        self._follow(message.term, message.sender, now)
        stamp = Stamp(self.life, now)
        before = memory.term_at(put.before) if put.before >= memory.base else put.before_term
        if before != put.before_term:
            # It need not try one by one: all of a term that differs is passed over.
            hint = min(put.before, memory.last + 1)
            while hint > self.commit + 1 and memory.term_at(hint - 1) == before and before is not None:
                hint -= 1
            return Taken(False, max(hint - 1, self.commit), put.round, stamp)
        for index, entry in enumerate(put.entries, put.before + 1):
            if index <= memory.base or memory.term_at(index) == entry.term:
                continue
            if index <= memory.last:
                assert index > self.commit, "what is committed is never taken back"
                del memory.entries[index - memory.base - 1 :]
                self.voters = memory.voters_at(memory.last)
            self._append(entry)
        match = put.before + len(put.entries)
        self._commit(min(put.commit, match), now)
        self._heed_confirmation(put)
        return Taken(True, match, put.round, stamp)

    def _heed_confirmation(self, put: Put) -> None:
        """All that was committed at the stamp's time lies below `put.commit`: once that is committed here,
        the time counts as confirmed."""
        if put.confirmed is not None and put.confirmed.life == self.life and self._to_confirm is None:
            self._to_confirm = (put.confirmed.at, put.commit)
        if self._to_confirm is not None and self.commit >= self._to_confirm[1]:
            self.confirmed_at = max(self.confirmed_at or 0, self._to_confirm[0])
            self._to_confirm = None

    def _install(self, message: Message, install: Install, now: int) -> Taken:
        memory = self.memory
        self._follow(message.term, message.sender, now)
        if install.base > self.commit:
            keeps = memory.term_at(install.base) == install.base_term
            memory.entries = memory.entries[install.base - memory.base :] if keeps else []
            memory.base, memory.base_term = install.base, install.base_term
            memory.base_voters, memory.base_state = install.voters, install.state
            self.commit = install.base
            self.voters = memory.voters_at(memory.last)
            self._dirty(install.base)
            self.machine.restore(install.state)
            self.watcher(now)
        return Taken(True, max(install.base, self.commit), install.round, Stamp(self.life, now))

    def _taken(self, message: Message, taken: Taken, now: int) -> None:
        peer = self.peers.get(message.sender)
        if not self.leads or peer is None or message.term != self.memory.term:
            return
        peer.heard_at, peer.round = now, max(peer.round, taken.round)
        if taken.stamp is not None and peer.asked is None:
            peer.asked, peer.asked_round = taken.stamp, self.round + 1
        if peer.transfer is not None and not self._ends_transfer(peer, taken):
            peer.match = max(peer.match, taken.index) if taken.ok else peer.match
            self._advance(now)
        elif not taken.ok:
            peer.next = max(min(taken.index, self.memory.last) + 1, peer.match + 1)
            if taken.index >= peer.match:  # else it is an old answer, or one that has forgotten: no hurry
                self._send(message.sender, now)
        else:
            peer.match = max(peer.match, taken.index)
            peer.next = max(peer.next, peer.match + 1)  # what is lost shows at the next sign of life
            self._advance(now)
            if peer.next <= self.memory.last and message.sender in self.peers:
                self._send(message.sender, now)
        self._hand_on()

    def _ends_transfer(self, peer: Progress, taken: Taken) -> bool:
        """Whether this answers what went out in pieces, so that entries can go on. An answer to a heartbeat
        beside it says nothing of it."""
        assert peer.transfer is not None
        refused = not taken.ok and taken.round >= peer.transfer.round
        if refused or (taken.ok and taken.index > peer.match):
            peer.transfer = None
            return True
        return False

    def _majority_holds(self) -> int:
        """All up to this index."""
        match = {name: peer.match for name, peer in self.peers.items()} | {self.me: self.memory.last}
        held = sorted((match.get(name, 0) for name in self.voters), reverse=True)
        return held[len(held) // 2]

    def _advance(self, now: int) -> None:
        """Commit what a majority has, of the own term; answer what may be read."""
        index = self._majority_holds()
        if index > self.commit and self.memory.term_at(index) == self.memory.term:
            self._commit(index, now)
            if self.leads:
                self._broadcast(now)
        if not self.leads:
            return
        self._confirm()
        answered = [read for read in self.reads if self._round_taken(read.round)]
        self.done += [Done(read.ticket, True) for read in answered]
        self.reads = [read for read in self.reads if read not in answered]

    def _begin_round(self, now: int) -> None:
        """A majority's answers to messages of this round say that nobody else led when it began."""
        self.round += 1
        self._rounds.append((self.round, now))

    def _confirm(self) -> None:
        """Note which rounds a majority has answered, and which stamps of replicas that confirms."""
        if not self.settled:
            return
        while self._rounds and self._round_taken(self._rounds[0][0]):
            began = self._rounds.popleft()[1]
            self.confirmed_at = max(self.confirmed_at or 0, began)
        for peer in self.peers.values():
            if peer.asked is not None and self._round_taken(peer.asked_round):
                peer.confirmed, peer.asked = peer.asked, None

    def _round_taken(self, number: int) -> bool:
        return self._majority({name for name, peer in self.peers.items() if peer.round >= number} | {self.me})

    def _commit(self, index: int, now: int) -> None:
        if index <= self.commit:
            return
        first, self.commit = self.commit + 1, index
        for at in range(first, index + 1):
            entry = self.memory.entries[at - self.memory.base - 1]
            result = self.machine.apply(at, entry.op) if entry.op else None
            if ticket := self.tickets.pop(at, 0):
                self.done.append(Done(ticket, True, result))
        self.watcher(now)
        if self.leads and not self.is_voter and self.memory.voters_at(self.commit) == self.voters:
            self._follow(self.memory.term, "", now)
        self._compact()

    def _compact(self) -> None:
        memory, base = self.memory, self.commit
        applied = memory.entries[: base - memory.base]
        if len(applied) < self.timing.kept and size_of(applied) <= self.timing.kept_bytes:
            return
        term = memory.term_at(base)
        assert term is not None
        state, voters = self.machine.snapshot(), memory.voters_at(base)
        # A snapshot is of what is applied; entries before it go at once, and who is behind gets the snapshot.
        del memory.entries[: base - memory.base]
        memory.base, memory.base_term, memory.base_voters, memory.base_state = base, term, voters, state
        self._dirty(base)

    def _hand_on(self) -> None:
        peer = self.peers.get(self.handing_to) if self.leads else None
        if peer is not None and peer.match == self.memory.last:
            self._tell(self.handing_to, TimeIsUp())

    def _tell(self, to: str, body: Body, term: int | None = None) -> None:
        memory = self.memory
        self.out.append(Message(self.me, to, memory.epoch, memory.term if term is None else term, body))
