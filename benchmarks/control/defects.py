"""Mutations of the code under test, used to test that the checks of histories detect each of them.

A defect replaces one function of the code under test, or of the simulated driver, while the context manager
`planted_defect` is active. `POINTS` maps each of the five points of docs/design/0007 to its defects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from benchmarks.control.fleet import Fleet, Machine
from hazelbend.consensus import replicator
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode, ReadIndexOutcome
from hazelbend.control import (
    announcements,
    cluster_membership,
    config_state_machine,
    outputs,
    worker_recovery,
)
from hazelbend.control.announcements import Announcements
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine, StoredConfig
from hazelbend.control.engine import ControlEngine
from hazelbend.control.messages import WorkerUpdate, WorkerUpdateAck
from hazelbend.control.peers import PeerTable
from hazelbend.control.worker_recovery import WorkerRecovery
from hazelbend.control.worker_sync import WorkerSync
from hazelbend.control.workers import TrackedWorker, WorkerRecord, WorkerRegistry, WorkerState
from hazelbend.placement.worker_replicas import WorkerReplica

STALE_READ_ID_OFFSET = 1_000_000  # keeps the ids of reads without a majority apart from those of other reads
NEVER_HEARTBEATS = 1 << 40  # heartbeat intervals that no history reaches

Patch = tuple[Any, str, Any]


def _commit_before_majority() -> list[Patch]:
    """A leader commits its entries as soon as it has appended them."""
    return [(RaftNode, "_quorum_match_index", lambda self: self.persistent.last_index)]


def _confirm_without_majority() -> list[Patch]:
    """The configuration of a process counts as confirmed although no majority has confirmed it."""
    original = ControlEngine.take_durable_output

    def take_durable_output(self: ControlEngine) -> outputs.DurableOutput:
        output = original(self)
        output.confirmed_at = self._next_hello_at
        return output

    return [(ControlEngine, "take_durable_output", take_durable_output)]


def _lead_without_majority() -> list[Patch]:
    """A leader's rounds count as answered at once, and it never steps down because of a timeout."""

    def confirm(self: RaftNode) -> None:
        started_at = self.rounds.confirm(lambda number: True)
        if started_at is not None:
            self.confirmed_at = started_at

    return [(RaftNode, "_confirm_rounds", confirm), (RaftNode, "_quorum_is_active", lambda self, now: True)]


def _start_rounds_with_heartbeats_only() -> list[Patch]:
    """Messages with entries postpone the heartbeat, but only a heartbeat or a read starts a round."""
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


def _read_without_majority() -> list[Patch]:
    """A read is answered from the local state at once."""

    def read_config(self: ControlEngine, now: int) -> int:
        request_id = self._next_request_id()
        self.raft.outcomes.append(ReadIndexOutcome(request_id + STALE_READ_ID_OFFSET, True))
        self._config_calls._reads[request_id + STALE_READ_ID_OFFSET] = request_id
        return request_id

    return [(ControlEngine, "read_config", read_config)]


def _apply_without_comparing_versions() -> list[Patch]:
    """The state machine accepts every change, whatever its base."""

    def apply(self: ConfigStateMachine, index: int, op: bytes) -> ChangeResult:
        change = config_state_machine._entry_decoder.decode(op)
        self.current = StoredConfig(change.version, change.body)
        return ChangeResult.ACCEPTED

    return [(ConfigStateMachine, "apply", apply)]


def _forget_accepted_changes() -> list[Patch]:
    """No digest of an accepted change is kept, so a resend counts as a new change."""
    return [(ConfigStateMachine, "_remember", lambda self, change: None)]


def _reject_resends_of_dropped_digests() -> list[Patch]:
    """Old digests are dropped, and a resend of such a change is rejected instead of reported as too old."""
    original = ConfigStateMachine._remember

    def remember(self: ConfigStateMachine, change: config_state_machine.ConfigChange) -> None:
        original(self, change)
        self.floor = 0

    return [(config_state_machine, "MAX_ACCEPTED_DIGESTS", 4), (ConfigStateMachine, "_remember", remember)]


def _keep_identity_of_wiped_voter() -> list[Patch]:
    """A voter that has lost its log and its vote continues to vote under its old identity."""
    original = Fleet.wipe

    def wipe(self: Fleet, address: str) -> None:
        persistent = self.machines[address].disk.persistent
        original(self, address)
        if persistent is not None:
            self.machines[address].disk.persistent = PersistentState(persistent.identity, persistent.epoch)

    return [(Fleet, "wipe", wipe)]


def _treat_silent_voter_as_wiped() -> list[Patch]:
    """A silent voter is replaced in one step, before its state is known to be lost."""

    def has_lost_state(self: PeerTable, identity: str) -> bool:
        peer = self._peers.get(identity.rpartition("@")[2])
        return peer is not None and not self._sent_hello_recently(peer)

    def sent_hello_recently(self: PeerTable, peer: Any) -> bool:
        return max(other.last_hello_at for other in self._peers.values()) - peer.last_hello_at < 800_000

    return [
        (PeerTable, "has_lost_state", has_lost_state),
        (PeerTable, "_sent_hello_recently", sent_hello_recently),
        (PeerTable, "is_replaceable", lambda self, identity, now: has_lost_state(self, identity)),
    ]


def _remove_silent_voters() -> list[Patch]:
    """Silent voters are removed, however few are left, without a majority's confirmation."""

    def next_voters(voters: Any, leader: str, members: Any, *rest: Any) -> tuple[str, ...] | None:
        silent = [voter for voter in voters if voter not in members and voter != leader]
        if silent:
            return tuple(voter for voter in voters if voter != silent[0])
        candidates = [member for member in members if member not in voters]
        return tuple(sorted((*voters, candidates[0]))) if candidates else None

    return [
        (cluster_membership, "next_voters", next_voters),
        (RaftNode, "confirmed_age", lambda self, now: 0),
        (ControlEngine, "quorum_exceeds_tolerance", True),
    ]


def _send_before_save() -> list[Patch]:
    """Messages are sent before the state that they depend on is stored."""
    original = Fleet._flush

    def flush(self: Fleet, machine: Machine) -> None:
        engine = machine.engine
        if engine is not None and not machine.saving and engine.has_durable_output:
            self._send_durable(machine, engine.take_durable_output())
        original(self, machine)

    return [(Fleet, "_flush", flush)]


def _drop_digests_from_snapshot() -> list[Patch]:
    """A snapshot has the configuration, but not the digests of the accepted changes."""

    def snapshot(self: ConfigStateMachine) -> bytes:
        return config_state_machine._encoder.encode(config_state_machine._Snapshot(self.current, []))

    return [(ConfigStateMachine, "snapshot", snapshot)]


def _never_resend_chunks() -> list[Patch]:
    """A transfer never continues after a chunk or its answer was lost."""
    return [(replicator, "CHUNK_RETRY_HEARTBEATS", NEVER_HEARTBEATS)]


def _ignore_incarnation_of_acks() -> list[Patch]:
    """An acknowledgement counts even if it is for another incarnation."""
    original = Announcements.acknowledge

    def acknowledge(self: Announcements, ack: WorkerUpdateAck) -> None:
        original(self, msgspec.structs.replace(ack, incarnation=self._incarnation))

    return [(Announcements, "acknowledge", acknowledge)]


def _acknowledge_drain_without_majority() -> list[Patch]:
    """A drain is acknowledged before any other process holds it."""
    return [(announcements._PendingAnnouncement, "is_durable", lambda self, tolerance: bool(self.holders))]


def _acknowledge_announcement_before_save() -> list[Patch]:
    """An announcement of a worker is acknowledged as soon as memory holds it."""

    def acknowledge(self: WorkerSync, address: str, update: WorkerUpdate) -> None:
        if not self._settings.counts_for_quorum:
            return
        if address == self._settings.address:
            self._announcements.acknowledge(self._ack(update))
        else:
            self._outbox.send(address, self._ack(update))

    return [(WorkerSync, "_acknowledge_once_saved", acknowledge)]


def _keep_announcements_in_memory() -> list[Patch]:
    """Records of workers that drain or have ended are never stored."""
    return [
        (WorkerRegistry, "has_unsaved_changes", False),
        (WorkerRegistry, "take_unsaved_changes", lambda self: []),
    ]


def _restore_without_ended_workers() -> list[Patch]:
    """A restart leaves out the records of workers that have ended."""
    original = WorkerSync.restore

    def restore(self: WorkerSync, records: Iterable[WorkerRecord], now: int) -> None:
        original(self, [record for record in records if record.state is not WorkerState.GONE], now)

    return [(WorkerSync, "restore", restore)]


def _take_heartbeats_before_recovery() -> list[Patch]:
    """A process that has started takes heartbeats at once."""
    return [(WorkerRecovery, "has_ended", lambda self, now: True)]


def _recover_from_own_records() -> list[Patch]:
    """A process that has started is content with the records that it has stored itself."""
    return [(worker_recovery, "meets_majorities", bool)]


def _order_without_waiting_for_lease() -> list[Patch]:
    """A new leader sends orders before the lease of its predecessor has expired."""

    def order_token(self: ControlEngine, now: int) -> int | None:
        return self.fencing_token if self.raft.has_committed_in_term else None

    return [(ControlEngine, "order_token", order_token)]


def _end_other_instances_at_an_address() -> list[Patch]:
    """The instance whose record arrives last at an address ends the others there."""
    original = WorkerRegistry.merge

    def merge(self: WorkerRegistry, record: WorkerRecord, last_heartbeat_at: int) -> list[WorkerRecord]:
        changed = original(self, record, last_heartbeat_at)
        if not changed or record.state is WorkerState.GONE:
            return changed
        for other in list(self.tracked.values()):
            is_other = other.record.instance != record.instance and other.record.address == record.address
            if is_other and other.record.state is not WorkerState.GONE:
                ended = msgspec.structs.replace(other.record, state=WorkerState.GONE)
                self._track(TrackedWorker(ended, last_heartbeat_at), differs=True)
                changed.append(ended)
        return changed

    return [(WorkerRegistry, "merge", merge)]


def _expire_by_age() -> list[Patch]:
    """Routers let workers expire by the ages that they are told, before control processes do."""
    return [(WorkerSync, "registry_status", lambda self, now: msgspec.UNSET)]


def _never_compare_workers() -> list[Patch]:
    """A router does not request the records that it lacks."""
    return [(WorkerReplica, "take_resync_request", lambda self: False)]


# Detected by histories with workers that crash and are replaced.
WORKER_DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    "last_record_ends_others": _end_other_instances_at_an_address,
    "routers_expire_by_age": _expire_by_age,
    "workers_not_compared": _never_compare_workers,
}

DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    "acknowledge_before_majority": _commit_before_majority,
    "unconfirmed_counts": _confirm_without_majority,
    "leads_without_majority": _lead_without_majority,
    "busy_leader_begins_no_round": _start_rounds_with_heartbeats_only,
    "stale_read": _read_without_majority,
    "no_compare": _apply_without_comparing_versions,
    "resend_not_known": _forget_accepted_changes,
    "old_resend_refused": _reject_resends_of_dropped_digests,
    "wiped_voter_votes": _keep_identity_of_wiped_voter,
    "silent_is_erased": _treat_silent_voter_as_wiped,
    "list_shrinks": _remove_silent_voters,
    "say_before_save": _send_before_save,
    "snapshot_without_digests": _drop_digests_from_snapshot,
    "lost_piece_is_not_sent_again": _never_resend_chunks,
    "number_alone": _ignore_incarnation_of_acks,
    "drain_by_one": _acknowledge_drain_without_majority,
    "announcement_before_save": _acknowledge_announcement_before_save,
    "announcement_in_memory": _keep_announcements_in_memory,
    "restart_without_ended_workers": _restore_without_ended_workers,
    "heartbeats_before_recovery": _take_heartbeats_before_recovery,
    "recovery_from_own_records": _recover_from_own_records,
    "no_lease_before_orders": _order_without_waiting_for_lease,
}

POINTS = {
    # An acknowledgement, a confirmation, a leadership or a read without a majority.
    1: (
        "acknowledge_before_majority",
        "unconfirmed_counts",
        "leads_without_majority",
        "busy_leader_begins_no_round",
        "stale_read",
    ),
    # A change with an outdated base, or a resend, gets the wrong result.
    2: ("no_compare", "resend_not_known", "old_resend_refused"),
    # The voter list counts a voter without state, or changes without a majority.
    3: ("wiped_voter_votes", "silent_is_erased", "list_shrinks"),
    # State is incomplete: not stored yet, missing in a snapshot, or never transferred.
    4: (
        "say_before_save",
        "snapshot_without_digests",
        "lost_piece_is_not_sent_again",
        "announcement_before_save",
        "announcement_in_memory",
        "restart_without_ended_workers",
        "heartbeats_before_recovery",
        "recovery_from_own_records",
    ),
    # A drain is acknowledged too early, or orders of two leaders are too close.
    5: ("number_alone", "drain_by_one", "no_lease_before_orders"),
}


@contextmanager
def planted_defect(name: str) -> Iterator[None]:
    """Activate this defect for the duration of the context. An empty name activates none."""
    patches = (DEFECTS | WORKER_DEFECTS)[name]() if name else []
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
