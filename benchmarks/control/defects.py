"""Mutations of the code under test, to see that the checks of histories find each.

A defect replaces one function of the code under test, or of the simulated driver, while the context manager
`planted_defect` is active. `POINTS` maps each of the five points of docs/design/0007 to its defects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from benchmarks.control.fleet import Fleet, Machine
from hazelbend.consensus import replicator
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode, ReadIndexOutcome
from hazelbend.control import announcements, cluster_membership, config_state_machine, outputs
from hazelbend.control.announcements import Announcements
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine, StoredConfig
from hazelbend.control.engine import ControlEngine
from hazelbend.control.messages import WorkerUpdateAck
from hazelbend.control.peers import PeerTable

STALE = 1_000_000  # ids of reads that are answered without asking a majority
NEVER = 1 << 40

Patch = tuple[Any, str, Any]


def _acknowledge_before_majority() -> list[Patch]:
    return [(RaftNode, "_quorum_match_index", lambda self: self.persistent.last_index)]


def _unconfirmed_counts() -> list[Patch]:
    """The configuration of a process counts as confirmed though no majority was asked."""
    original = ControlEngine.take_durable_output

    def take_durable_output(self: ControlEngine) -> outputs.DurableOutput:
        output = original(self)
        output.confirmed_at = self._next_hello_at
        return output

    return [(ControlEngine, "take_durable_output", take_durable_output)]


def _leads_without_majority() -> list[Patch]:
    """A leader's rounds count as answered, and it never steps down by itself."""

    def confirm(self: RaftNode) -> None:
        started_at = self.rounds.confirm(lambda number: True)
        if started_at is not None:
            self.confirmed_at = started_at

    return [(RaftNode, "_confirm_rounds", confirm), (RaftNode, "_quorum_is_active", lambda self, now: True)]


def _busy_leader_begins_no_round() -> list[Patch]:
    """Messages with entries put the heartbeat off, and only a heartbeat or a read begins a round."""
    tick = RaftNode.tick
    request_read = RaftNode.request_read

    def broadcast(self: RaftNode, now: int) -> None:
        self.rounds.next_heartbeat_at = now + self.config.heartbeat_us
        for name in self.peers:
            self._send_entries(name, now)

    def tick_with_round(self: RaftNode, now: int) -> None:
        if self.is_leader and now >= self.rounds.next_heartbeat_at:
            self.rounds.begin(now)
            self.rounds.next_heartbeat_at = now
        tick(self, now)

    def read_with_round(self: RaftNode, now: int) -> int | None:
        if self.has_committed_in_term:
            self.rounds.begin(now)
        return request_read(self, now)

    return [
        (RaftNode, "_broadcast", broadcast),
        (RaftNode, "tick", tick_with_round),
        (RaftNode, "request_read", read_with_round),
    ]


def _stale_read() -> list[Patch]:
    def read_config(self: ControlEngine, now: int) -> int:
        number = self._next_request_id()
        self.raft.outcomes.append(ReadIndexOutcome(number + STALE, True))
        self._config_calls._reads[number + STALE] = number
        return number

    return [(ControlEngine, "read_config", read_config)]


def _no_compare() -> list[Patch]:
    def apply(self: ConfigStateMachine, index: int, op: bytes) -> ChangeResult:
        change = config_state_machine._entry_decoder.decode(op)
        self.current = StoredConfig(change.version, change.body)
        return ChangeResult.ACCEPTED

    return [(ConfigStateMachine, "apply", apply)]


def _resend_not_known() -> list[Patch]:
    return [(ConfigStateMachine, "_remember", lambda self, change: None)]


def _old_resend_refused() -> list[Patch]:
    """Digests are dropped, and a resend of a dropped one counts as rejected."""
    original = ConfigStateMachine._remember

    def remember(self: ConfigStateMachine, change: config_state_machine.ConfigChange) -> None:
        original(self, change)
        self.floor = 0

    return [(config_state_machine, "MAX_ACCEPTED_DIGESTS", 4), (ConfigStateMachine, "_remember", remember)]


def _wiped_voter_votes() -> list[Patch]:
    original = Fleet.wipe

    def wipe(self: Fleet, address: str) -> None:
        persistent = self.machines[address].disk.persistent
        original(self, address)
        if persistent is not None:
            self.machines[address].disk.persistent = PersistentState(persistent.identity, persistent.epoch)

    return [(Fleet, "wipe", wipe)]


def _silent_is_erased() -> list[Patch]:
    """A voter that is merely unheard is replaced in one step, before its copy is known to be gone."""

    def has_lost_state(self: PeerTable, identity: str) -> bool:
        peer = self._peers.get(identity.rpartition("@")[2])
        return peer is not None and not self._heard(peer)

    def heard(self: PeerTable, peer: Any) -> bool:
        return max(each.last_hello_at for each in self._peers.values()) - peer.last_hello_at < 800_000

    return [
        (PeerTable, "has_lost_state", has_lost_state),
        (PeerTable, "_heard", heard),
        (PeerTable, "is_replaceable", lambda self, identity, now: has_lost_state(self, identity)),
    ]


def _list_shrinks() -> list[Patch]:
    """Voters that are unheard are removed, however few are left, without a majority's confirmation."""

    def next_voters(voters: Any, me: str, members: Any, *rest: Any) -> tuple[str, ...] | None:
        gone = [each for each in voters if each not in members and each != me]
        if gone:
            return tuple(each for each in voters if each != gone[0])
        fresh = [each for each in members if each not in voters]
        return tuple(sorted((*voters, fresh[0]))) if fresh else None

    return [
        (cluster_membership, "next_voters", next_voters),
        (RaftNode, "confirmed_age", lambda self, now: 0),
        (ControlEngine, "quorum_exceeds_tolerance", True),
    ]


def _say_before_save() -> list[Patch]:
    original = Fleet._flush

    def flush(self: Fleet, machine: Machine) -> None:
        process = machine.engine
        if process is not None and not machine.saving and process.has_durable_output:
            self._send_durable(machine, process.take_durable_output())
        original(self, machine)

    return [(Fleet, "_flush", flush)]


def _snapshot_without_digests() -> list[Patch]:
    def snapshot(self: ConfigStateMachine) -> bytes:
        return config_state_machine._encoder.encode(config_state_machine._Snapshot(self.current, []))

    return [(ConfigStateMachine, "snapshot", snapshot)]


def _lost_piece_is_not_sent_again() -> list[Patch]:
    return [(replicator, "CHUNK_RETRY_HEARTBEATS", NEVER)]


def _number_alone() -> list[Patch]:
    """An acknowledgement counts whatever incarnation it is for."""
    original = Announcements.acknowledge

    def acknowledge(self: Announcements, ack: WorkerUpdateAck) -> None:
        original(self, msgspec.structs.replace(ack, incarnation=self._incarnation))

    return [(Announcements, "acknowledge", acknowledge)]


def _drain_by_one() -> list[Patch]:
    """A drain is acknowledged before anybody else holds it."""
    return [(announcements._PendingAnnouncement, "is_durable", lambda self, tolerance: bool(self.holders))]


def _no_lease_before_orders() -> list[Patch]:
    def order_token(self: ControlEngine, now: int) -> int | None:
        return self.fencing_token if self.raft.has_committed_in_term else None

    return [(ControlEngine, "order_token", order_token)]


DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    "acknowledge_before_majority": _acknowledge_before_majority,
    "unconfirmed_counts": _unconfirmed_counts,
    "leads_without_majority": _leads_without_majority,
    "busy_leader_begins_no_round": _busy_leader_begins_no_round,
    "stale_read": _stale_read,
    "no_compare": _no_compare,
    "resend_not_known": _resend_not_known,
    "old_resend_refused": _old_resend_refused,
    "wiped_voter_votes": _wiped_voter_votes,
    "silent_is_erased": _silent_is_erased,
    "list_shrinks": _list_shrinks,
    "say_before_save": _say_before_save,
    "snapshot_without_digests": _snapshot_without_digests,
    "lost_piece_is_not_sent_again": _lost_piece_is_not_sent_again,
    "number_alone": _number_alone,
    "drain_by_one": _drain_by_one,
    "no_lease_before_orders": _no_lease_before_orders,
}

POINTS = {
    1: (
        "acknowledge_before_majority",
        "unconfirmed_counts",
        "leads_without_majority",
        "busy_leader_begins_no_round",
        "stale_read",
    ),
    2: ("no_compare", "resend_not_known", "old_resend_refused"),
    3: ("wiped_voter_votes", "silent_is_erased", "list_shrinks"),
    4: ("say_before_save", "snapshot_without_digests", "lost_piece_is_not_sent_again"),
    5: ("number_alone", "drain_by_one", "no_lease_before_orders"),
}


@contextmanager
def planted_defect(name: str) -> Iterator[None]:
    """With this defect in the code; an empty name: with none."""
    patches = DEFECTS[name]() if name else []
    absent = object()
    before = [(owner, attribute, owner.__dict__.get(attribute, absent)) for owner, attribute, _ in patches]
    for owner, attribute, value in patches:
        setattr(owner, attribute, value)
    try:
        yield
    finally:
        for owner, attribute, value in before:
            if value is absent:
                delattr(owner, attribute)
            else:
                setattr(owner, attribute, value)
