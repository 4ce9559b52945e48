"""Every order of events of three voters, one of which is replaced: the real record and state machine.

    python -m benchmarks.control.model [--stands 2] [--writes 2] [--resends 1] [--restarts 1] [--wipes 1]
                                       [--late 1] [--most 2000000] [--defect NAME]

Two operators send one change each, on the same version and with the same number; one change is sent again. A
step is one of: a voter stands for election and reaches some of the others; the leader exchanges messages with
one other, of which the first answer may be lost; an operator's call; a process starts again with its memory;
a machine loses its disk and starts as somebody new; the leader, heard by some of the others in this very
round, replaces an erased voter; the leader answers a read, heard by some of the others; one frame is held
back and delivered at any later time, in whatever life its receiver is then. No clock is asked: anybody may
stand at any time and no leader steps down by itself.

Checked in each state: one leader in a term; what two have committed is the same; a leader holds all that was
ever committed; of the two changes at most one is acknowledged; a change that was acknowledged is in force at
whoever answers a read, and is never refused; one that was refused is never in force.

The search is breadth first over all states within the bounds on how often each may happen. The last line is
one JSON object with the number of states and whether it closed; the exit status is 1 if a check fails, with
the fewest steps that lead there.
"""

from __future__ import annotations

import argparse
import copy
import itertools
import json
import sys
import time
from collections.abc import Iterator
from typing import NamedTuple

from benchmarks import breadth_first
from benchmarks.control.defects import DEFECTS, planted_defect
from hazelbend.consensus.messages import Entry, Message, VoteResponse
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import ProposalOutcome, RaftNode, ReadIndexOutcome, Role
from hazelbend.consensus.replication import IncomingTransfer, Progress
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine, encode_config_change
from hazelbend.control.engine import TIMING

EPOCH, VOTERS, NEWCOMER = 256, ("a", "b", "c"), "d"
BODIES = (b'{"version":1,"by":1}', b'{"version":1,"by":2}')
MOST_MESSAGES = 16  # of one exchange


class Left(NamedTuple):
    """How often each may still happen."""

    stands: int = 2
    writes: int = 2
    resends: int = 1
    restarts: int = 1
    wipes: int = 1
    late: int = 1


class World:
    """One state, and what may still happen from it."""

    def __init__(self, left: Left) -> None:
        self.left = left
        self.records = [
            self._make(PersistentState(name, EPOCH, 1, "", 1, 1, VOTERS, _empty())) for name in VOTERS
        ]
        self.outcomes: tuple[ChangeResult | None, ...] = (None, None)  # by change: what its operator knows
        self.sent = 0  # changes
        self.erased: frozenset[str] = frozenset()
        self.held: Message | None = None
        self.leaders: frozenset[tuple[int, str]] = frozenset()
        self.committed: tuple[Entry, ...] = ()  # of whoever has committed most
        self.wrong = ""

    @staticmethod
    def _make(memory: PersistentState) -> RaftNode:
        return RaftNode(memory, ConfigStateMachine(), TIMING, 1, 0)

    def broken(self) -> str:
        """The check that fails here, or nothing."""
        return self.wrong

    # --- identity of a state ---

    def key(self) -> tuple[object, ...]:
        """Two worlds with the same key go on alike."""
        records = tuple(self._record_key(each) for each in self.records)
        return (self.left, records, self.outcomes, self.sent, self.erased, self.held, self.committed)

    @staticmethod
    def _record_key(record: RaftNode) -> tuple[object, ...]:
        memory = record.persistent
        peers = tuple(sorted((name, peer.match_index) for name, peer in record.peers.items()))
        stored = (
            memory.identity,
            memory.epoch,
            memory.current_term,
            memory.voted_for,
            memory.last_included_index,
            tuple(memory.entries),
        )
        proposals = tuple(sorted(record.pending_proposals.items()))
        return (stored, record.role, record.commit_index, peers, proposals, frozenset(record.learners))

    # --- steps ---

    def next(self) -> Iterator[tuple[str, World]]:
        """All that may happen, with a name."""
        for slot, record in enumerate(self.records):
            others = [other for other in range(3) if other != slot]
            if self.left.stands and record.is_voter and not record.is_leader:
                for reached in _subsets(others):
                    yield from self._stand(slot, reached)
            if self.left.restarts:
                yield f"{record.identity} starts again", self._restart(slot)
            if self.left.wipes and record.identity in VOTERS:
                yield f"{record.identity} loses its disk", self._wipe(slot)
            if record.is_leader:
                for other in others:
                    yield from self._exchanges(slot, other)
                yield from self._calls(slot)
                for reached in _subsets(others):
                    yield from self._confirmed(slot, reached)
        if self.held is not None:
            yield f"the held frame reaches {self.held.to}", self._deliver_held()

    def _stand(self, slot: int, reached: tuple[int, ...]) -> Iterator[tuple[str, World]]:
        name = self.records[slot].identity
        names = ",".join(self.records[each].identity for each in reached)
        for holds in (None, *reached) if self.left.late and self.held is None else (None,):
            after = self._copy(stands=1)
            record = after.records[slot]
            record._campaign(0, pre_vote=False, is_transfer=True)
            asked = {message.to: message for message in record.outbox}
            record.outbox.clear()
            for other in reached:
                voter = after.records[other]
                if voter.identity not in asked:
                    continue
                voter.receive(asked[voter.identity], 0)
                for answer in after._take(voter, name):
                    if other == holds and isinstance(answer.body, VoteResponse):
                        after.held, after.left = answer, after.left._replace(late=after.left.late - 1)
                    else:
                        record.receive(answer, 0)
            if holds is not None and after.held is None:
                continue
            yield f"{name} stands, reaches {names}, holds {holds}", after._settled()

    def _exchanges(self, slot: int, other: int) -> Iterator[tuple[str, World]]:
        leader, replica = self.records[slot].identity, self.records[other].identity
        if replica not in self.records[slot].peers and replica != NEWCOMER:
            return
        for lost in ("nothing", "the answer", "held request", "held answer"):
            if "held" in lost and (not self.left.late or self.held is not None):
                continue
            after = self._copy()
            if after._exchange(slot, other, lost):
                yield f"{leader} exchanges with {replica}, lost: {lost}", after._settled()

    def _exchange(self, slot: int, other: int, lost: str) -> bool:
        """Messages both ways until there are none, or until one is lost or held back."""
        leader, replica = self.records[slot], self.records[other]
        if not leader.is_leader:
            return False
        if replica.identity not in leader.peers:
            leader.set_learners({replica.identity}, 0)
        leader._send_entries(replica.identity, 0)
        for _ in range(MOST_MESSAGES):
            requests = self._take(leader, replica.identity)
            if not requests:
                return True
            if lost == "held request":
                return self._hold(requests[-1])
            for request in requests:
                replica.receive(request, 0)
            answers = self._take(replica, leader.identity)
            if lost == "held answer" and answers:
                return self._hold(answers[-1])
            if lost == "the answer":
                return True
            for answer in answers:
                leader.receive(answer, 0)
        return True

    def _hold(self, message: Message) -> bool:
        self.held, self.left = message, self.left._replace(late=self.left.late - 1)
        return True

    def _calls(self, slot: int) -> Iterator[tuple[str, World]]:
        if self.left.writes and self.sent < len(BODIES):
            after = self._copy(writes=1)
            after.sent += 1
            after._propose(slot, self.sent)
            yield f"change {self.sent} is sent to {self.records[slot].identity}", after._settled()
        if self.left.resends:
            for number in range(self.sent):
                after = self._copy(resends=1)
                after._propose(slot, number)
                yield f"change {number} is sent again to {self.records[slot].identity}", after._settled()

    def _propose(self, slot: int, number: int) -> None:
        record = self.records[slot]
        if record.propose(encode_config_change(0, 1, BODIES[number]), 0) is not None:
            record.pending_proposals[record.persistent.last_index] = number + 1  # names the change

    def _confirmed(self, slot: int, reached: tuple[int, ...]) -> Iterator[tuple[str, World]]:
        """The leader is heard by these in this round: it may answer a read, or replace an erased voter."""
        names = ",".join(self.records[each].identity for each in reached)
        after = self._copy()
        leader = after.records[slot]
        if not leader.has_committed_in_term:
            return
        leader.confirmed_at = None
        leader.rounds.restart()
        read_id = leader.request_read(0)
        for other in reached:
            after._exchange(slot, other, "nothing")
        if read_id is None or ReadIndexOutcome(read_id, True) not in leader.outcomes:
            return
        for number, outcome in enumerate(self.outcomes):
            current = leader.state_machine.current
            if outcome is ChangeResult.ACCEPTED and (current.version, BODIES[number]) != (1, _body(leader)):
                after.wrong = f"a read at {leader.identity} does not show the acknowledged change {number}"
        after._settled()
        yield f"{leader.identity} answers a read, heard by {names}", after
        gone = set(leader.voters) & after.erased
        newcomer = next((each for each in after.records if each.identity == NEWCOMER), None)
        if gone and newcomer is not None and NEWCOMER not in leader.voters:
            replaced = copy.copy(after)
            replaced.records = [_copy(each) for each in after.records]
            voters = tuple(sorted({*leader.voters, NEWCOMER} - gone))
            replaced.records[slot].set_learners({NEWCOMER}, 0)
            if replaced.records[slot].change_voters(voters, 0, after.erased):
                yield f"{leader.identity} replaces {min(gone)}, heard by {names}", replaced._settled()

    def _restart(self, slot: int) -> World:
        after = self._copy(restarts=1)
        before = after.records[slot]
        after.records[slot] = self._make(before.persistent)
        after.records[slot].restore_commit_index(before.commit_index, 0)
        return after._settled()

    def _wipe(self, slot: int) -> World:
        after = self._copy(wipes=1)
        after.erased |= {after.records[slot].identity}
        after.records[slot] = self._make(PersistentState(NEWCOMER))
        return after._settled()

    def _deliver_held(self) -> World:
        after = self._copy()
        message, after.held = self.held, None
        assert message is not None
        for record in after.records:
            if record.identity == message.to:
                record.receive(message, 0)
        return after._settled()

    # --- after a step ---

    def _copy(self, **used: int) -> World:
        after = copy.copy(self)
        after.records = [_copy(each) for each in self.records]
        for name, count in used.items():
            after.left = after.left._replace(**{name: getattr(after.left, name) - count})
        return after

    @staticmethod
    def _take(record: RaftNode, to: str) -> list[Message]:
        """Its messages to this one; all others are lost."""
        found = [message for message in record.outbox if message.to == to]
        record.outbox.clear()
        return found

    def _settled(self) -> World:
        """Note what has come of the step, and check it."""
        for record in self.records:
            record.outbox.clear()
            record.first_unsaved_index, record.hard_state_changed = None, False
            for peer in record.peers.values():
                peer.transfer, peer.pending_timestamp, peer.confirmed_timestamp = None, None, None
                match, last = peer.match_index, record.persistent.last_index
                peer.next_index = match + 1 if match else last + 1
            for outcome in record.outcomes:
                if isinstance(outcome, ProposalOutcome) and isinstance(outcome.result, ChangeResult):
                    self._decided(outcome.proposal_id - 1, outcome.result)
            record.outcomes.clear()
            record.pending_reads.clear()
        self.wrong = self.wrong or self._check()
        return self

    def _decided(self, number: int, result: ChangeResult) -> None:
        known = self.outcomes[number]
        if known is ChangeResult.ACCEPTED and result is not known:
            self.wrong = f"change {number} was acknowledged and then refused"
        outcomes = list(self.outcomes)
        outcomes[number] = result
        self.outcomes = tuple(outcomes)
        if outcomes.count(ChangeResult.ACCEPTED) > 1:
            self.wrong = "both changes are acknowledged"

    def _check(self) -> str:
        for record in self.records:
            if record.role is Role.LEADER:
                self.leaders |= {(record.persistent.current_term, record.identity)}
            entries = _committed(record)
            shared = min(len(entries), len(self.committed))
            if entries[:shared] != self.committed[:shared]:
                return f"{record.identity} has committed something else"
            self.committed = max(self.committed, entries, key=len)
        terms = [term for term, _ in self.leaders]
        if len(terms) != len(set(terms)):
            return "two leaders in a term"
        for record in self.records:
            if record.role is Role.LEADER and self._newest_term() == record.persistent.current_term:
                held = tuple(record.persistent.entries[: len(self.committed)])
                if record.persistent.last_included_index == 1 and held != self.committed:
                    return f"{record.identity} leads without all that was committed"
            body = _body(record)
            if any(body == BODIES[n] and _is_refused(each) for n, each in enumerate(self.outcomes)):
                return f"{record.identity} has a change in force that was refused"
        return ""

    def _newest_term(self) -> int:
        return max(term for term, _ in self.leaders)


def _is_refused(outcome: ChangeResult | None) -> bool:
    return outcome in (ChangeResult.CONFLICT, ChangeResult.VERSION_NOT_NEWER)


def _committed(record: RaftNode) -> tuple[Entry, ...]:
    memory = record.persistent
    if memory.last_included_index != 1:
        return ()
    return tuple(memory.entries[: record.commit_index - memory.last_included_index])


def _body(record: RaftNode) -> bytes:
    from hazelbend.control.config_state_machine import decompress_body

    return decompress_body(record.state_machine.current) if record.state_machine.current.version else b""


def _empty() -> bytes:
    return ConfigStateMachine().snapshot()


def _subsets(others: list[int]) -> list[tuple[int, ...]]:
    return [each for size in (1, 2) for each in itertools.combinations(others, size)]


def _copy(record: RaftNode) -> RaftNode:
    """A record that shares nothing that changes. Field by field: the search makes millions."""
    made = object.__new__(RaftNode)
    made.__dict__.update(record.__dict__)
    memory = record.persistent
    made.persistent = PersistentState(
        memory.identity,
        memory.epoch,
        memory.current_term,
        memory.voted_for,
        memory.last_included_index,
        memory.last_included_term,
        memory.snapshot_voters,
        memory.snapshot_state,
        list(memory.entries),
    )
    made.state_machine = ConfigStateMachine()
    made.state_machine.current = record.state_machine.current
    made.state_machine.floor = record.state_machine.floor
    made.state_machine.accepted = dict(record.state_machine.accepted)
    made.votes, made.learners = set(record.votes), set(record.learners)
    made.peers = {name: Progress(peer.next_index, peer.match_index) for name, peer in record.peers.items()}
    for name, peer in record.peers.items():
        made.peers[name].last_acked_round = peer.last_acked_round
    made.incoming_transfer = IncomingTransfer()  # an exchange that is lost midway begins anew
    made.outbox, made.outcomes, made.pending_reads = [], [], []
    made.pending_proposals = dict(record.pending_proposals)
    made.rounds = record.rounds.copy()
    made._catch_up_target = copy.copy(record._catch_up_target)
    return made


def search(left: Left, most: int) -> dict[str, object]:
    """All states within these bounds."""
    return breadth_first.search(World(left), most)


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, usual in Left()._asdict().items():
        parser.add_argument(f"--{name}", type=int, default=usual)
    parser.add_argument("--most", type=int, default=2_000_000)
    parser.add_argument("--defect", choices=sorted(DEFECTS), default="")
    options = parser.parse_args()
    began = time.monotonic()
    left = Left(*(getattr(options, name) for name in Left._fields))
    with planted_defect(options.defect):
        found = search(left, options.most)
    print(json.dumps(vars(options) | found | {"seconds": round(time.monotonic() - began, 1)}))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
