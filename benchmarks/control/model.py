"""Model checker: explores every order of events of three voters, one of which may be replaced.

    python -m benchmarks.control.model [--stands 2] [--writes 2] [--resends 1] [--restarts 1] [--wipes 1]
                                       [--late 1] [--most 2000000] [--defect NAME]

The Raft nodes and state machines are the real ones. Two operators send one change each, with the same base
and the same version; a change can be sent again. A step is one of:

- a voter campaigns and reaches some of the others;
- the leader exchanges messages with another node, of which the first answer may be lost;
- an operator sends a change;
- a process restarts with its stored state;
- a machine loses its disk and restarts under a new identity;
- the leader, confirmed by some of the others in the current round, replaces a voter without state;
- the leader, confirmed by some of the others, answers a read;
- one message is delayed and delivered at any later time, in whatever incarnation its receiver is then.

The model has no clock: any voter may campaign at any time, and a leader never steps down because of a
timeout.

Checked in each state: a term has at most one leader; no two nodes have committed different entries; a leader
holds everything that was ever committed; at most one of the two changes is acknowledged; an acknowledged
change is current at any leader that answers a read, and is never rejected; a rejected change is never
current.

The search is breadth first over all states within the budget of each kind of step. The last output line is a
JSON object with the number of states and whether the search was complete. If a check fails, the exit status
is 1 and the object has the shortest sequence of steps that leads there.
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

EPOCH, VOTERS, REPLACEMENT = 256, ("a", "b", "c"), "d"
BODIES = (b'{"version":1,"by":1}', b'{"version":1,"by":2}')
MAX_MESSAGE_ROUNDS = 16  # requests with their answers, in one exchange
OPTION_NAMES = {"campaigns": "stands", "delays": "late"}  # options that differ from their `StepBudget` field


class StepBudget(NamedTuple):
    """How often each kind of step may still happen. Each field is set by a command line option."""

    campaigns: int = 2
    writes: int = 2  # changes that are sent for the first time
    resends: int = 1
    restarts: int = 1
    wipes: int = 1  # disk losses
    delays: int = 1  # messages that are delayed


class ModelState:
    """One state of the model, and the steps that are possible from it."""

    def __init__(self, budget: StepBudget) -> None:
        self.budget = budget
        self.nodes = [
            self._start_node(PersistentState(name, EPOCH, 1, "", 1, 1, VOTERS, _empty_snapshot()))
            for name in VOTERS
        ]
        self.outcomes: tuple[ChangeResult | None, ...] = (None, None)  # of each change; None: unknown
        self.sent_count = 0  # number of changes sent
        self.without_state: frozenset[str] = frozenset()  # identities whose disk was lost
        self.delayed_message: Message | None = None
        self.leaders: frozenset[tuple[int, str]] = frozenset()  # (term, identity) of all leaders so far
        self.committed: tuple[Entry, ...] = ()  # the longest committed log of any node so far
        self.violation = ""

    @staticmethod
    def _start_node(persistent: PersistentState) -> RaftNode:
        return RaftNode(persistent, ConfigStateMachine(), TIMING, 1, 0)

    def failed_check(self) -> str:
        """The check that fails in this state; empty if none does."""
        return self.violation

    # --- identity of a state ---

    def key(self) -> tuple[object, ...]:
        """Two states with the same key have the same future."""
        nodes = tuple(self._node_key(node) for node in self.nodes)
        return (
            self.budget,
            nodes,
            self.outcomes,
            self.sent_count,
            self.without_state,
            self.delayed_message,
            self.committed,
        )

    @staticmethod
    def _node_key(node: RaftNode) -> tuple[object, ...]:
        persistent = node.persistent
        peers = tuple(sorted((name, peer.match_index) for name, peer in node.peers.items()))
        stored = (
            persistent.identity,
            persistent.epoch,
            persistent.current_term,
            persistent.voted_for,
            persistent.last_included_index,
            tuple(persistent.entries),
        )
        proposals = tuple(sorted(node.pending_proposals.items()))
        return (stored, node.role, node.commit_index, peers, proposals, frozenset(node.learners))

    # --- steps ---

    def next(self) -> Iterator[tuple[str, ModelState]]:
        """All possible steps: a description and the state after it."""
        for slot, node in enumerate(self.nodes):
            others = [other for other in range(3) if other != slot]
            if self.budget.campaigns and node.is_voter and not node.is_leader:
                for reached_slots in _subsets(others):
                    yield from self._elections(slot, reached_slots)
            if self.budget.restarts:
                yield f"{node.identity} restarts", self._restart(slot)
            if self.budget.wipes and node.identity in VOTERS:
                yield f"{node.identity} loses its disk", self._wipe(slot)
            if node.is_leader:
                for other in others:
                    yield from self._exchanges(slot, other)
                yield from self._operator_calls(slot)
                for reached_slots in _subsets(others):
                    yield from self._leader_reads(slot, reached_slots)
        if self.delayed_message is not None:
            yield f"the delayed message reaches {self.delayed_message.to}", self._deliver_delayed()

    def _elections(self, slot: int, reached_slots: tuple[int, ...]) -> Iterator[tuple[str, ModelState]]:
        name = self.nodes[slot].identity
        names = ",".join(self.nodes[reached].identity for reached in reached_slots)
        for delayed_from in (
            (None, *reached_slots) if self.budget.delays and self.delayed_message is None else (None,)
        ):
            after = self._copy_state(campaigns=1)
            node = after.nodes[slot]
            node._campaign(0, pre_vote=False, is_transfer=True)
            request_by_voter = {message.to: message for message in node.outbox}
            node.outbox.clear()
            for other in reached_slots:
                voter = after.nodes[other]
                if voter.identity not in request_by_voter:
                    continue
                voter.receive(request_by_voter[voter.identity], 0)
                for answer in after._take_messages(voter, name):
                    if other == delayed_from and isinstance(answer.body, VoteResponse):
                        after.delayed_message, after.budget = (
                            answer,
                            after.budget._replace(delays=after.budget.delays - 1),
                        )
                    else:
                        node.receive(answer, 0)
            if delayed_from is not None and after.delayed_message is None:
                continue
            yield f"{name} campaigns, reaches {names}, delayed answer: {delayed_from}", after._finish_step()

    def _exchanges(self, slot: int, other: int) -> Iterator[tuple[str, ModelState]]:
        leader, replica = self.nodes[slot].identity, self.nodes[other].identity
        if replica not in self.nodes[slot].peers and replica != REPLACEMENT:
            return
        for lost in ("nothing", "the answer", "delayed request", "delayed answer"):
            if "delayed" in lost and (not self.budget.delays or self.delayed_message is not None):
                continue
            after = self._copy_state()
            if after._exchange(slot, other, lost):
                yield f"{leader} exchanges with {replica}, lost: {lost}", after._finish_step()

    def _exchange(self, slot: int, other: int, lost: str) -> bool:
        """Deliver messages in both directions until there are none, or until one is lost or delayed."""
        leader, replica = self.nodes[slot], self.nodes[other]
        if not leader.is_leader:
            return False
        if replica.identity not in leader.peers:
            leader.set_learners({replica.identity}, 0)
        leader._send_entries(replica.identity, 0)
        for _ in range(MAX_MESSAGE_ROUNDS):
            requests = self._take_messages(leader, replica.identity)
            if not requests:
                return True
            if lost == "delayed request":
                return self._delay_message(requests[-1])
            for request in requests:
                replica.receive(request, 0)
            answers = self._take_messages(replica, leader.identity)
            if lost == "delayed answer" and answers:
                return self._delay_message(answers[-1])
            if lost == "the answer":
                return True
            for answer in answers:
                leader.receive(answer, 0)
        return True

    def _delay_message(self, message: Message) -> bool:
        self.delayed_message, self.budget = message, self.budget._replace(delays=self.budget.delays - 1)
        return True

    def _operator_calls(self, slot: int) -> Iterator[tuple[str, ModelState]]:
        if self.budget.writes and self.sent_count < len(BODIES):
            after = self._copy_state(writes=1)
            after.sent_count += 1
            after._propose(slot, self.sent_count)
            yield f"change {self.sent_count} is sent to {self.nodes[slot].identity}", after._finish_step()
        if self.budget.resends:
            for number in range(self.sent_count):
                after = self._copy_state(resends=1)
                after._propose(slot, number)
                yield f"change {number} is sent again to {self.nodes[slot].identity}", after._finish_step()

    def _propose(self, slot: int, number: int) -> None:
        node = self.nodes[slot]
        if node.propose(encode_config_change(0, 1, BODIES[number]), 0) is not None:
            node.pending_proposals[node.persistent.last_index] = number + 1  # identifies the change

    def _leader_reads(self, slot: int, reached_slots: tuple[int, ...]) -> Iterator[tuple[str, ModelState]]:
        """These nodes confirm the leader in this round: it may answer a read, or replace a voter without
        state.
        """
        names = ",".join(self.nodes[reached].identity for reached in reached_slots)
        after = self._copy_state()
        leader = after.nodes[slot]
        if not leader.has_committed_in_term:
            return
        leader.confirmed_at = None
        leader.rounds.restart()
        read_id = leader.request_read(0)
        for other in reached_slots:
            after._exchange(slot, other, "nothing")
        if read_id is None or ReadIndexOutcome(read_id, True) not in leader.outcomes:
            return
        for number, outcome in enumerate(self.outcomes):
            current = leader.state_machine.current
            if outcome is ChangeResult.ACCEPTED and (current.version, BODIES[number]) != (
                1,
                _current_body(leader),
            ):
                after.violation = (
                    f"a read at {leader.identity} does not show the acknowledged change {number}"
                )
        after._finish_step()
        yield f"{leader.identity} answers a read, confirmed by {names}", after
        removable = set(leader.voters) & after.without_state
        replacement = next((node for node in after.nodes if node.identity == REPLACEMENT), None)
        if removable and replacement is not None and REPLACEMENT not in leader.voters:
            replaced = copy.copy(after)
            replaced.nodes = [_copy_node(node) for node in after.nodes]
            voters = tuple(sorted({*leader.voters, REPLACEMENT} - removable))
            replaced.nodes[slot].set_learners({REPLACEMENT}, 0)
            if replaced.nodes[slot].change_voters(voters, 0, after.without_state):
                yield (
                    f"{leader.identity} replaces {min(removable)}, confirmed by {names}",
                    replaced._finish_step(),
                )

    def _restart(self, slot: int) -> ModelState:
        after = self._copy_state(restarts=1)
        before = after.nodes[slot]
        after.nodes[slot] = self._start_node(before.persistent)
        after.nodes[slot].restore_commit_index(before.commit_index, 0)
        return after._finish_step()

    def _wipe(self, slot: int) -> ModelState:
        after = self._copy_state(wipes=1)
        after.without_state |= {after.nodes[slot].identity}
        after.nodes[slot] = self._start_node(PersistentState(REPLACEMENT))
        return after._finish_step()

    def _deliver_delayed(self) -> ModelState:
        after = self._copy_state()
        message, after.delayed_message = self.delayed_message, None
        assert message is not None
        for node in after.nodes:
            if node.identity == message.to:
                node.receive(message, 0)
        return after._finish_step()

    # --- after a step ---

    def _copy_state(self, **used: int) -> ModelState:
        after = copy.copy(self)
        after.nodes = [_copy_node(node) for node in self.nodes]
        for name, count in used.items():
            after.budget = after.budget._replace(**{name: getattr(after.budget, name) - count})
        return after

    @staticmethod
    def _take_messages(node: RaftNode, to: str) -> list[Message]:
        """Take this node's messages to one receiver; all its other messages are lost."""
        found = [message for message in node.outbox if message.to == to]
        node.outbox.clear()
        return found

    def _finish_step(self) -> ModelState:
        """Clear what the model leaves out, record the outcomes of the step, and check the state."""
        for node in self.nodes:
            node.outbox.clear()
            node.first_unsaved_index, node.hard_state_changed = None, False
            for peer in node.peers.values():
                peer.transfer, peer.pending_timestamp, peer.confirmed_timestamp = None, None, None
                match, last = peer.match_index, node.persistent.last_index
                peer.next_index = match + 1 if match else last + 1
            for outcome in node.outcomes:
                if isinstance(outcome, ProposalOutcome) and isinstance(outcome.result, ChangeResult):
                    self._record_result(outcome.proposal_id - 1, outcome.result)
            node.outcomes.clear()
            node.pending_reads.clear()
        self.violation = self.violation or self._check()
        return self

    def _record_result(self, number: int, result: ChangeResult) -> None:
        known = self.outcomes[number]
        if known is ChangeResult.ACCEPTED and result is not known:
            self.violation = f"change {number} was acknowledged and then rejected"
        outcomes = list(self.outcomes)
        outcomes[number] = result
        self.outcomes = tuple(outcomes)
        if outcomes.count(ChangeResult.ACCEPTED) > 1:
            self.violation = "both changes are acknowledged"

    def _check(self) -> str:
        for node in self.nodes:
            if node.role is Role.LEADER:
                self.leaders |= {(node.persistent.current_term, node.identity)}
            committed = _committed(node)
            shared = min(len(committed), len(self.committed))
            if committed[:shared] != self.committed[:shared]:
                return f"{node.identity} has committed other entries"
            self.committed = max(self.committed, committed, key=len)
        terms = [term for term, _ in self.leaders]
        if len(terms) != len(set(terms)):
            return "two leaders in a term"
        for node in self.nodes:
            if node.role is Role.LEADER and self._newest_term() == node.persistent.current_term:
                entries = tuple(node.persistent.entries[: len(self.committed)])
                if node.persistent.last_included_index == 1 and entries != self.committed:
                    return f"{node.identity} leads without all that was committed"
            body = _current_body(node)
            if any(body == BODIES[n] and _is_rejected(outcome) for n, outcome in enumerate(self.outcomes)):
                return f"the current configuration of {node.identity} is a change that was rejected"
        return ""

    def _newest_term(self) -> int:
        return max(term for term, _ in self.leaders)


def _is_rejected(outcome: ChangeResult | None) -> bool:
    return outcome in (ChangeResult.CONFLICT, ChangeResult.VERSION_NOT_NEWER)


def _committed(node: RaftNode) -> tuple[Entry, ...]:
    persistent = node.persistent
    if persistent.last_included_index != 1:
        return ()
    return tuple(persistent.entries[: node.commit_index - persistent.last_included_index])


def _current_body(node: RaftNode) -> bytes:
    from hazelbend.control.config_state_machine import decompress_body

    return decompress_body(node.state_machine.current) if node.state_machine.current.version else b""


def _empty_snapshot() -> bytes:
    return ConfigStateMachine().snapshot()


def _subsets(others: list[int]) -> list[tuple[int, ...]]:
    return [subset for size in (1, 2) for subset in itertools.combinations(others, size)]


def _copy_node(node: RaftNode) -> RaftNode:
    """A copy that shares no mutable state. It copies field by field, because a search makes millions of
    copies.
    """
    copied = object.__new__(RaftNode)
    copied.__dict__.update(node.__dict__)
    persistent = node.persistent
    copied.persistent = PersistentState(
        persistent.identity,
        persistent.epoch,
        persistent.current_term,
        persistent.voted_for,
        persistent.last_included_index,
        persistent.last_included_term,
        persistent.snapshot_voters,
        persistent.snapshot_state,
        list(persistent.entries),
    )
    copied.state_machine = ConfigStateMachine()
    copied.state_machine.current = node.state_machine.current
    copied.state_machine.floor = node.state_machine.floor
    copied.state_machine.accepted = dict(node.state_machine.accepted)
    copied.votes, copied.learners = set(node.votes), set(node.learners)
    copied.peers = {name: Progress(peer.next_index, peer.match_index) for name, peer in node.peers.items()}
    for name, peer in node.peers.items():
        copied.peers[name].last_acked_round = peer.last_acked_round
    copied.incoming_transfer = IncomingTransfer()  # a transfer that was interrupted starts over
    copied.outbox, copied.outcomes, copied.pending_reads = [], [], []
    copied.pending_proposals = dict(node.pending_proposals)
    copied.rounds = node.rounds.copy()
    copied._catch_up_target = copy.copy(node._catch_up_target)
    return copied


def search(budget: StepBudget, max_states: int) -> dict[str, object]:
    """Search all states within this budget, at most `max_states` of them."""
    return breadth_first.search(ModelState(budget), max_states)


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in StepBudget()._asdict().items():
        parser.add_argument(f"--{OPTION_NAMES.get(name, name)}", type=int, default=default)
    parser.add_argument("--most", type=int, default=2_000_000)
    parser.add_argument("--defect", choices=sorted(DEFECTS), default="")
    options = parser.parse_args()
    started_at = time.monotonic()
    budget = StepBudget(*(getattr(options, OPTION_NAMES.get(name, name)) for name in StepBudget._fields))
    with planted_defect(options.defect):
        found = search(budget, options.most)
    print(json.dumps(vars(options) | found | {"seconds": round(time.monotonic() - started_at, 1)}))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
