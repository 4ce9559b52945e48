"""Log replication between Raft nodes: bounds on the bytes in flight, and confirmation by a majority."""

from __future__ import annotations

import random

import pytest

from hazelbend.consensus.messages import AppendEntries, Chunk, InstallSnapshot, Message
from hazelbend.consensus.persistent_state import PersistentState, next_epoch
from hazelbend.consensus.raft import RaftConfig, RaftNode
from hazelbend.consensus.replication import BATCH_BYTES, CHUNK_BYTES

MS, S = 1_000, 1_000_000
CONFIG = RaftConfig(
    heartbeat_us=100 * MS, election_timeout_us=500 * MS, max_batch_entries=32, snapshot_after_entries=48
)


class LastValueStateMachine:
    """A state machine whose state is the last operation."""

    def __init__(self) -> None:
        self.value = b""

    def begin(self, epoch: int) -> None:
        self.value = b""

    def apply(self, index: int, op: bytes) -> object:
        self.value = op
        return index

    def snapshot(self) -> bytes:
        return self.value

    def restore(self, state: bytes) -> None:
        self.value = state


class SimulatedCluster:
    """Voters on simulated links of a given speed; `isolated` names the nodes that are partitioned."""

    def __init__(self, bytes_per_s: float = 1e9, delay: int = 1 * MS, voters: str = "abc") -> None:
        self.now, self.bytes_per_s, self.delay = 0, bytes_per_s, delay
        self.isolated: set[str] = set()
        self.max_bytes_by_type: dict[type, int] = {}
        self.sent_bytes = 0
        self.message_count = 0
        self.nodes: dict[str, RaftNode] = {}
        self._arrivals: list[tuple[int, int, Message]] = []
        self._free_at: dict[tuple[str, str], int] = {}
        for number, name in enumerate(voters):
            persistent = PersistentState(name, 256, 1, "", 1, 1, tuple(voters), b"")
            self.nodes[name] = RaftNode(persistent, LastValueStateMachine(), CONFIG, number + 1, 0)

    @property
    def leader(self) -> RaftNode | None:
        leaders = [
            node
            for name, node in self.nodes.items()
            if node.has_committed_in_term and name not in self.isolated
        ]
        return max(leaders, key=lambda node: node.persistent.current_term, default=None)

    def restart(self, name: str) -> None:
        before = self.nodes[name]
        self.nodes[name] = RaftNode(before.persistent, LastValueStateMachine(), CONFIG, 77, self.now)
        self.nodes[name].restore_commit_index(before.commit_index, self.now)

    def run(self, duration: int, step: int = 1 * MS) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += step
            due = [arrival for arrival in self._arrivals if arrival[0] <= self.now]
            self._arrivals = [arrival for arrival in self._arrivals if arrival[0] > self.now]
            for _, _, message in sorted(due, key=lambda arrival: arrival[:2]):
                if message.to not in self.isolated and message.sender not in self.isolated:
                    self.nodes[message.to].receive(message, self.now)
            for node in self.nodes.values():
                if self.now >= node.next_tick_at:
                    node.tick(self.now)
                self._send_outbox(node)

    def _send_outbox(self, node: RaftNode) -> None:
        out, node.outbox = node.outbox, []
        for message in out:
            body = message.body
            size = (
                sum(len(entry.operation) for entry in body.entries) if isinstance(body, AppendEntries) else 0
            )
            size += len(body.data) if isinstance(body, Chunk) else 0
            self.max_bytes_by_type[type(body)] = max(self.max_bytes_by_type.get(type(body), 0), size)
            self.sent_bytes += size
            self.message_count += 1
            link = (message.sender, message.to)
            start = max(self._free_at.get(link, 0), self.now)
            self._free_at[link] = start + round((size + 100) / self.bytes_per_s * S)
            self._arrivals.append((self._free_at[link] + self.delay, self.sent_bytes, message))

    def run_until(self, condition, timeout: int) -> bool:
        end = self.now + timeout
        while self.now < end and not condition():
            self.run(5 * MS)
        return condition()


def wait_for_leader(cluster: SimulatedCluster) -> RaftNode:
    assert cluster.run_until(lambda: cluster.leader is not None, 5 * S)
    assert cluster.leader is not None
    return cluster.leader


# --- failure: messages or uncommitted entries grow without bound, or delay heartbeats ---


@pytest.mark.parametrize("size, changes", [(100_000, 300), (4 * 1024 * 1024, 3)])
def test_partitioned_replica_catches_up_on_a_slow_link_without_delaying_heartbeats(size, changes):
    """A replica on a link of 5 Mbit/s is partitioned during many changes. After the partition heals, it
    catches up in the time that the retained bytes take on the link, the leader stays the same, and message
    sizes are bounded."""
    cluster = SimulatedCluster(bytes_per_s=625_000)
    leader = wait_for_leader(cluster)
    follower = next(name for name in cluster.nodes if name != leader.identity)
    cluster.isolated.add(follower)
    rng = random.Random(1)
    for _ in range(changes):
        leader.propose(rng.randbytes(size), cluster.now)
        assert cluster.run_until(lambda: leader.commit_index == leader.persistent.last_index, 60 * S)
    cluster.isolated.clear()
    term = leader.persistent.current_term
    entries_bytes = sum(len(entry.operation) for entry in leader.persistent.entries)
    snapshot_bytes = len(leader.persistent.snapshot_state)
    transfer_us = (entries_bytes + snapshot_bytes) / 625_000 * S
    assert cluster.run_until(
        lambda: cluster.nodes[follower].commit_index == leader.commit_index, round(2 * transfer_us) + 4 * S
    )
    assert (leader.is_leader, leader.persistent.current_term) == (True, term)
    assert max(cluster.max_bytes_by_type.values()) <= max(BATCH_BYTES, CHUNK_BYTES)
    assert (
        entries_bytes <= CONFIG.snapshot_after_bytes + size
        and InstallSnapshot not in cluster.max_bytes_by_type
    )


def test_transfer_starts_over_after_the_replica_restarts_in_the_middle():
    cluster = SimulatedCluster(bytes_per_s=625_000)
    leader = wait_for_leader(cluster)
    other = next(name for name in cluster.nodes if name != leader.identity)
    leader.propose(b"x" * 1_000_000, cluster.now)
    cluster.run(600 * MS)
    assert leader.peers[other].transfer.offset > 0
    cluster.restart(other)
    assert cluster.run_until(
        lambda: cluster.nodes[other].commit_index == leader.persistent.last_index, 10 * S
    )


def test_proposals_are_rejected_beyond_the_limit_of_uncommitted_bytes():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.isolated |= set(cluster.nodes) - {leader.identity}
    proposal_ids = [leader.propose(b"x" * 4_000_000, cluster.now) for _ in range(8)]
    assert sum(proposal_id is not None for proposal_id in proposal_ids) == 3


# --- failure: a node counts as confirmed without a majority, or a busy leader does not ---


def test_confirmed_age_stays_low_with_a_majority_and_grows_on_a_partitioned_node():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.run(1 * S)
    for node in cluster.nodes.values():
        age = node.confirmed_age(cluster.now)
        assert age is not None and age < 450 * MS
    follower = next(name for name in cluster.nodes if name != leader.identity)
    cluster.isolated.add(follower)
    cluster.run(20 * S)
    assert cluster.nodes[follower].confirmed_age(cluster.now) > 19 * S
    assert leader.confirmed_age(cluster.now) < 200 * MS


def test_partitioned_leader_is_not_confirmed_and_steps_down():
    cluster = SimulatedCluster()
    old = wait_for_leader(cluster)
    cluster.isolated.add(old.identity)
    cluster.run(900 * MS)
    assert old.confirmed_age(cluster.now) > 700 * MS
    cluster.run(600 * MS)
    assert not old.is_leader


def test_confirmation_of_an_earlier_incarnation_is_ignored():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.run(1 * S)
    other = next(name for name in cluster.nodes if name != leader.identity)
    confirmed = leader.peers[other].confirmed_timestamp
    late_message = Message(
        leader.identity, other, 256, leader.persistent.current_term,
        AppendEntries(0, 0, (), leader.commit_index, leader.rounds.number, confirmed),
    )  # fmt: skip
    cluster.restart(other)
    cluster.nodes[other].receive(late_message, cluster.now)
    assert cluster.nodes[other].confirmed_age(cluster.now) is None


def test_confirmation_takes_effect_only_after_the_replica_has_committed_up_to_leader_commit():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.run(1 * S)
    other = cluster.nodes[next(name for name in cluster.nodes if name != leader.identity)]
    before = other.confirmed_at
    append = AppendEntries(
        0,
        0,
        (),
        other.commit_index + 1,
        leader.rounds.number,
        leader.peers[other.identity].confirmed_timestamp,
    )
    other.receive(
        Message(leader.identity, other.identity, 256, leader.persistent.current_term, append), cluster.now
    )
    assert other.confirmed_at == before


def propose_every(cluster: SimulatedCluster, leader: RaftNode, interval: int, duration: int) -> list[int]:
    """Propose an operation after each interval; returns the leader's confirmed age before each proposal."""
    ages = []
    end = cluster.now + duration
    while cluster.now < end:
        cluster.run(interval)
        age = leader.confirmed_age(cluster.now)
        assert leader.is_leader and age is not None
        ages.append(age)
        assert leader.propose(b"operation", cluster.now) is not None
    return ages


@pytest.mark.parametrize("interval_ms", [5, 20, 50, 90, 110, 150])
@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcd", "abcde"])
def test_busy_leader_stays_confirmed_and_can_replace_a_voter(voters, interval_ms):
    """During seconds of proposals at intervals shorter or longer than a heartbeat, the leader's confirmed age
    stays below two heartbeats and that of a follower below four and a half. A voter can be added and another
    removed at the same time."""
    cluster = SimulatedCluster(voters=voters)
    leader = wait_for_leader(cluster)
    cluster.run(300 * MS)
    heartbeat = CONFIG.heartbeat_us
    assert max(propose_every(cluster, leader, interval_ms * MS, 3 * S)) < 2 * heartbeat
    for node in cluster.nodes.values():
        assert node.confirmed_age(cluster.now) < 4.5 * heartbeat
    cluster.nodes["z"] = RaftNode(PersistentState("z", 256), LastValueStateMachine(), CONFIG, 9, cluster.now)
    leader.set_learners({"z"}, cluster.now)
    propose_every(cluster, leader, interval_ms * MS, 500 * MS)
    with_new_voter = tuple(sorted({*leader.voters, "z"}))
    assert leader.change_voters(with_new_voter, cluster.now)
    assert max(propose_every(cluster, leader, interval_ms * MS, 500 * MS)) < 2 * heartbeat
    assert leader.persistent.voters_at(leader.commit_index) == with_new_voter
    removed = next(voter for voter in with_new_voter if voter != leader.identity)
    assert leader.change_voters(tuple(voter for voter in with_new_voter if voter != removed), cluster.now)
    propose_every(cluster, leader, interval_ms * MS, 500 * MS)
    assert removed not in leader.persistent.voters_at(leader.commit_index)


def test_no_separate_heartbeats_are_sent_while_proposals_are_more_frequent():
    """With three voters and a proposal every half heartbeat, each proposal takes eight messages: the entry
    and the commit index to two followers, and their answers."""
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.run(CONFIG.heartbeat_us)
    before = cluster.message_count
    proposals = len(propose_every(cluster, leader, CONFIG.heartbeat_us // 2, 2 * S))
    assert cluster.message_count - before <= 8 * proposals


# --- failure: the voter list changes although a majority may be lost by that ---


def test_voter_list_changes_only_while_a_majority_confirms_the_leader():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    removed = next(name for name in leader.voters if name != leader.identity)
    without_removed = tuple(voter for voter in leader.voters if voter != removed)
    cluster.isolated |= set(cluster.nodes) - {leader.identity}
    cluster.run(300 * MS)
    assert leader.is_leader and not leader.change_voters(without_removed, cluster.now)
    cluster.isolated.clear()
    cluster.run(300 * MS)
    assert leader.change_voters(without_removed, cluster.now)


def test_voter_is_replaced_in_one_step_only_if_its_state_is_known_to_be_lost():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    cluster.run(300 * MS)
    wiped = next(name for name in leader.voters if name != leader.identity)
    cluster.nodes["d"] = RaftNode(PersistentState("d", 256), LastValueStateMachine(), CONFIG, 9, cluster.now)
    replaced = tuple(sorted({*leader.voters, "d"} - {wiped}))
    leader.set_learners({"d"}, cluster.now)
    cluster.run(500 * MS)
    assert not leader.change_voters(replaced, cluster.now)
    assert leader.change_voters(replaced, cluster.now, frozenset({wiped}))
    cluster.run(200 * MS)
    assert leader.persistent.voters_at(leader.commit_index) == replaced


# --- failure: a node drops acknowledged operations for the epoch of another cluster ---


def test_node_with_operations_adopts_a_higher_epoch_only_if_an_operator_started_it():
    cluster = SimulatedCluster()
    leader = wait_for_leader(cluster)
    leader.propose(b"op", cluster.now)
    cluster.run(300 * MS)
    bootstrap_epoch = next_epoch(256, 5_000.0, "x", by_operator=False)
    operator_epoch = next_epoch(256, 5_000.0, "x")
    other = cluster.nodes[next(name for name in cluster.nodes if name != leader.identity)]
    for epoch, is_adopted in ((bootstrap_epoch, False), (operator_epoch, True)):
        heartbeat = AppendEntries(0, 0, (), 0, 1)
        other.receive(Message("x", other.identity, epoch, 1, heartbeat), cluster.now)
        assert (other.persistent.epoch == epoch) is is_adopted
        assert (other.conflicting_epoch == epoch) is not is_adopted


def test_empty_node_adopts_the_first_epoch_that_it_receives():
    node = RaftNode(PersistentState("a"), LastValueStateMachine(), CONFIG, 1, 0)
    epoch = next_epoch(0, 5_000.0, "x", by_operator=False)
    node.receive(Message("x", "a", epoch, 1, AppendEntries(0, 0, (), 0, 1)), 0)
    assert node.persistent.epoch == epoch
