"""Explores all orders of events in a small fleet: the unmodified Raft code with three voters in one epoch.

    python -m benchmarks.fleet_search --stands 2 --puts 1 --restarts 1 --changes 0 [--defect NAME]

From the initial state every possible step is tried, and every state is visited once. Steps: a voter starts
an election (by a TimeoutNow message, so that no clock is involved); a message that was sent at any time is
delivered, whether or not it was delivered before, so that the runs include all losses, duplicates and orders;
the leader proposes an entry or removes a voter; a voter crashes and restarts with its persistent state.
Checked after each step: a term has at most one leader; committed entries of two voters are equal; the leader
of the newest term holds all committed entries.

The options bound how often each kind of step may occur in a run. The last line is one JSON object with the
number of states, and `closed` if no state is left to visit. If an invariant is violated, the exit status is 1
and the object has the fewest steps that lead there.
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
NODE_CLASSES = {DEFECTS[2]: CommitsEarlierTermEntries, DEFECTS[3]: AllowsConcurrentVoterChanges}
OPERATION = encode(OpenEpoch())


class RemainingSteps(NamedTuple):
    """How often each kind of step may still occur."""

    elections: int
    proposals: int
    restarts: int
    voter_changes: int


class ClusterState:
    """One state of the cluster, its messages and the remaining steps; implements `breadth_first.Model`."""

    def __init__(self, defect: str, remaining: RemainingSteps) -> None:
        self.defect, self.remaining = defect, remaining
        self.sent_messages: frozenset[Message] = frozenset()
        self.nodes = {
            name: self._make_node(
                PersistentState(name, 1, 1, "", 1, 1, VOTERS, LeaseTable(LeaseLimits()).snapshot())
            )
            for name in VOTERS
        }
        self.leaders: frozenset[tuple[int, str]] = frozenset()

    def _make_node(self, persistent_state: PersistentState) -> RaftNode:
        return NODE_CLASSES.get(self.defect, RaftNode)(
            persistent_state, LeaseTable(LeaseLimits()), RaftConfig(), 1, 0
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.remaining,
            self.sent_messages,
            tuple(self._node_key(node) for node in self.nodes.values()),
        )

    @staticmethod
    def _node_key(node: RaftNode) -> tuple[object, ...]:
        persistent_state = node.persistent
        peers = tuple((name, peer.next_index, peer.match_index) for name, peer in node.peers.items())
        state = (node.role, node.commit_index, frozenset(node.votes), peers)
        return (
            persistent_state.current_term,
            persistent_state.voted_for,
            tuple(persistent_state.entries),
            *state,
        )

    def next(self) -> Iterator[tuple[str, ClusterState]]:
        remaining = self.remaining
        for name, node in self.nodes.items():
            if remaining.elections and not node.is_leader:
                yield (
                    f"{name} starts an election",
                    self._step(name, remaining._replace(elections=remaining.elections - 1), "elect"),
                )
            if remaining.proposals and node.is_leader:
                yield (
                    f"{name} proposes an entry",
                    self._step(name, remaining._replace(proposals=remaining.proposals - 1), "propose"),
                )
            if remaining.restarts:
                after = remaining._replace(restarts=remaining.restarts - 1)
                yield f"{name} restarts", self._step(name, after, "restart")
            if remaining.voter_changes and node.is_leader:
                after = remaining._replace(voter_changes=remaining.voter_changes - 1)
                for other in node.voters:
                    yield f"{name} removes the voter {other}", self._step(name, after, f"drop {other}")
        for message in self.sent_messages:
            description = (
                f"{message.to} receives {type(message.body).__name__}"
                f" from {message.sender}, term {message.term}"
            )
            yield description, self._step(message.to, self.remaining, message)

    def _step(self, name: str, remaining: RemainingSteps, action: str | Message) -> ClusterState:
        after = copy.copy(self)
        after.remaining = remaining
        node = _copy(self.nodes[name])
        if action == "restart":
            persistent_state = node.persistent
            if self.defect == "vote forgotten":
                persistent_state.voted_for = ""
            elif self.defect == "memory forgotten":
                persistent_state = PersistentState(
                    name, 1, 1, "", 1, 1, VOTERS, persistent_state.snapshot_state
                )
            node = self._make_node(persistent_state)
        elif action == "elect":
            node.receive(Message("", name, 1, node.persistent.current_term, TimeoutNow()), 0)
        elif action == "propose":
            node.propose(OPERATION, 0)
        elif isinstance(action, str):
            node.change_voters(tuple(voter for voter in node.voters if voter != action[-1]), 0)
        else:
            node.receive(action, 0)
        after.sent_messages = self.sent_messages | frozenset(node.outbox)
        node.outbox.clear()
        node.outcomes.clear()
        node.pending_proposals.clear()
        after.nodes = self.nodes | {name: node}
        if node.role is Role.LEADER:
            after.leaders = self.leaders | {(node.persistent.current_term, name)}
        return after

    def broken(self) -> str:
        terms = [term for term, _ in self.leaders]
        if len(terms) != len(set(terms)):
            return f"election: {sorted(self.leaders)}"
        known: dict[int, Entry] = {}
        for name, node in self.nodes.items():
            first = node.persistent.last_included_index + 1
            entries = dict(enumerate(node.persistent.entries, first))
            for index in range(first, node.commit_index + 1):
                if known.setdefault(index, entries[index]) != entries[index]:
                    return f"log: {name} holds another entry at {index}"
        newest = max(node.persistent.current_term for node in self.nodes.values())
        for name, node in self.nodes.items():
            if node.is_leader and node.persistent.current_term == newest:
                for index, entry in known.items():
                    if node.persistent.term_at(index) != entry.term:
                        return f"completeness: {name} leads without the committed entry {index}"
        return ""


def _copy(node: RaftNode) -> RaftNode:
    clone = copy.copy(node)
    clone.persistent = copy.copy(node.persistent)
    clone.persistent.entries = list(node.persistent.entries)
    clone.state_machine = copy.deepcopy(node.state_machine)
    clone.votes, clone.peers = set(node.votes), {name: copy.copy(peer) for name, peer in node.peers.items()}
    clone.outbox, clone.outcomes, clone.pending_reads, clone.pending_proposals = [], [], [], {}
    clone.rounds = node.rounds.copy()
    clone._catch_up_target = copy.copy(node._catch_up_target)
    return clone


def search(defect: str, remaining: RemainingSteps, max_states: int) -> dict[str, object]:
    """Explore all states within these bounds, at most about `max_states`."""
    return breadth_first.search(ClusterState(defect, remaining), max_states)


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
