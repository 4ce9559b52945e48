"""Every order of events of a small fleet: the record's engine unchanged, three voters of one epoch.

    python -m benchmarks.fleet_search --stands 2 --puts 1 --restarts 1 --changes 0 [--defect NAME]

From the first state all of these are tried wherever they are possible, and every state is seen once: a voter
stands for election (as if told to, so that no clock is asked); a message that was ever sent is delivered,
whether it was before or not, or never (so all losses, repeats and orders are among the runs); the leader adds
an entry, or drops a voter; a voter dies and starts again with its memory. After each step: one leader in a
term; what two have committed is the same; a leader holds all that is committed.

The bounds are on how often each may happen in a run. The last line is one JSON object with the number of
states, and `closed` if there are no more; the exit status is 1 if an invariant breaks, with the fewest steps
that lead there.
"""

from __future__ import annotations

import argparse
import copy
import json
import time
from collections.abc import Iterator
from typing import NamedTuple

from benchmarks import breadth_first
from benchmarks.fleet_defects import AllowsConcurrentVoterChanges, CommitsEarlierTermEntries
from hazelbend.consensus.messages import Entry, Message, TimeoutNow
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftConfig, RaftNode, Role
from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import OpenEpoch, encode

VOTERS = ("a", "b", "c")
DEFECTS = (
    "vote forgotten",
    "memory forgotten",
    "entries of earlier terms are counted",
    "two voter changes at once",
)
KINDS = {DEFECTS[2]: CommitsEarlierTermEntries, DEFECTS[3]: AllowsConcurrentVoterChanges}
OP = encode(OpenEpoch())


class RemainingSteps(NamedTuple):
    """How often each may still happen."""

    stands: int
    puts: int
    restarts: int
    changes: int


class World:
    """One state, and what may still happen from it."""

    def __init__(self, defect: str, left: RemainingSteps) -> None:
        self.defect, self.left = defect, left
        self.sent: frozenset[Message] = frozenset()
        self.records = {
            name: self._make(
                PersistentState(name, 1, 1, "", 1, 1, VOTERS, LeaseTable(LeaseLimits()).snapshot())
            )
            for name in VOTERS
        }
        self.leaders: frozenset[tuple[int, str]] = frozenset()

    def _make(self, memory: PersistentState) -> RaftNode:
        return KINDS.get(self.defect, RaftNode)(memory, LeaseTable(LeaseLimits()), RaftConfig(), 1, 0)

    def key(self) -> tuple[object, ...]:
        return (self.left, self.sent, tuple(self._record_key(each) for each in self.records.values()))

    @staticmethod
    def _record_key(record: RaftNode) -> tuple[object, ...]:
        memory = record.persistent
        peers = tuple((name, peer.next_index, peer.match_index) for name, peer in record.peers.items())
        state = (record.role, record.commit_index, frozenset(record.votes), peers)
        return (memory.current_term, memory.voted_for, tuple(memory.entries), *state)

    def next(self) -> Iterator[tuple[str, World]]:
        left = self.left
        for name, record in self.records.items():
            if left.stands and not record.is_leader:
                yield f"{name} stands", self._step(name, left._replace(stands=left.stands - 1), "stand")
            if left.puts and record.is_leader:
                yield f"{name} adds an entry", self._step(name, left._replace(puts=left.puts - 1), "put")
            if left.restarts:
                after = left._replace(restarts=left.restarts - 1)
                yield f"{name} starts again", self._step(name, after, "restart")
            if left.changes and record.is_leader:
                after = left._replace(changes=left.changes - 1)
                for other in record.voters:
                    yield f"{name} drops the voter {other}", self._step(name, after, f"drop {other}")
        for message in self.sent:
            told = (
                f"{message.to} hears {type(message.body).__name__} of {message.sender}, term {message.term}"
            )
            yield told, self._step(message.to, self.left, message)

    def _step(self, name: str, left: RemainingSteps, what: str | Message) -> World:
        after = copy.copy(self)
        after.left = left
        record = _copy(self.records[name])
        if what == "restart":
            memory = record.persistent
            if self.defect == "vote forgotten":
                memory.voted_for = ""
            elif self.defect == "memory forgotten":
                memory = PersistentState(name, 1, 1, "", 1, 1, VOTERS, memory.snapshot_state)
            record = self._make(memory)
        elif what == "stand":
            record.receive(Message("", name, 1, record.persistent.current_term, TimeoutNow()), 0)
        elif what == "put":
            record.propose(OP, 0)
        elif isinstance(what, str):
            record.change_voters(tuple(each for each in record.voters if each != what[-1]), 0)
        else:
            record.receive(what, 0)
        after.sent = self.sent | frozenset(record.outbox)
        record.outbox.clear()
        record.outcomes.clear()
        record.pending_proposals.clear()
        after.records = self.records | {name: record}
        if record.role is Role.LEADER:
            after.leaders = self.leaders | {(record.persistent.current_term, name)}
        return after

    def failed_check(self) -> str:
        terms = [term for term, _ in self.leaders]
        if len(terms) != len(set(terms)):
            return f"election: {sorted(self.leaders)}"
        known: dict[int, Entry] = {}
        for name, record in self.records.items():
            first = record.persistent.last_included_index + 1
            entries = dict(enumerate(record.persistent.entries, first))
            for index in range(first, record.commit_index + 1):
                if known.setdefault(index, entries[index]) != entries[index]:
                    return f"machine: {name} holds another entry at {index}"
        newest = max(record.persistent.current_term for record in self.records.values())
        for name, record in self.records.items():
            if record.is_leader and record.persistent.current_term == newest:
                for index, entry in known.items():
                    if record.persistent.term_at(index) != entry.term:
                        return f"completeness: {name} leads without what is committed at {index}"
        return ""


def _copy(record: RaftNode) -> RaftNode:
    made = copy.copy(record)
    made.persistent = copy.copy(record.persistent)
    made.persistent.entries = list(record.persistent.entries)
    made.state_machine = copy.deepcopy(record.state_machine)
    made.votes, made.peers = set(record.votes), {name: copy.copy(peer) for name, peer in record.peers.items()}
    made.outbox, made.outcomes, made.pending_reads, made.pending_proposals = [], [], [], {}
    made.rounds = record.rounds.copy()
    made._catch_up_target = copy.copy(record._catch_up_target)
    return made


def search(defect: str, left: RemainingSteps, most: int) -> dict[str, object]:
    """All states within these bounds."""
    return breadth_first.search(World(defect, left), most)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--stands", type=int, default=2)
    parser.add_argument("--puts", type=int, default=1)
    parser.add_argument("--restarts", type=int, default=1)
    parser.add_argument("--changes", type=int, default=0)
    parser.add_argument("--most", type=int, default=200_000)
    parser.add_argument("--defect", choices=DEFECTS, default="")
    args = parser.parse_args()
    began = time.monotonic()
    found = search(
        args.defect, RemainingSteps(args.stands, args.puts, args.restarts, args.changes), args.most
    )
    print(json.dumps(vars(args) | found | {"seconds": round(time.monotonic() - began, 1)}))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    raise SystemExit(main())
