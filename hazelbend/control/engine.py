"""One control process as a sans-I/O engine: consensus, voters, worker registry, orders to workers.

The driver calls `tick` at `next_tick_at`, and `receive` with each message from another control process. Then
it takes the output: that of `take_immediate_output` may be sent at once, that of `take_durable_output` only
after the changes that it depends on are stored. Times are microseconds of one monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Message
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftConfig, RaftNode
from hazelbend.control import messages as m
from hazelbend.control.cluster_membership import ClusterMembership
from hazelbend.control.config_calls import ConfigCalls
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine
from hazelbend.control.fencing import OrderAuthority, fencing_token
from hazelbend.control.load_table import Load
from hazelbend.control.outputs import (
    CallOutcome,
    DurableOutput,
    ImmediateOutput,
    Outbox,
    PutOutcome,
    ReadOutcome,
)
from hazelbend.control.peers import PeerTable
from hazelbend.control.phase_planner import PhaseOrder, PhasePlanner
from hazelbend.control.settings import ControlSettings
from hazelbend.control.worker_recovery import WorkerRecovery
from hazelbend.control.worker_sync import WorkerSync
from hazelbend.control.workers import WorkerRecord, WorkerRegistry

HELLO_PERIOD_US = 250_000  # between two hellos to a peer
AGES_PERIOD_US = 500_000  # between two messages with the ages of workers' last heartbeats
VOTERS_PERIOD_US = 200_000  # between the leader's checks of the voters
FIRST_ELECTION_RANGE_US = (120_000, 400_000)  # after a restart, until a voter without a leader campaigns
TIMING = RaftConfig(
    heartbeat_us=100_000, election_timeout_us=500_000, max_batch_entries=32, snapshot_after_entries=48
)


class ControlEngine:
    """The engine of one control process; see the module docstring."""

    def __init__(
        self,
        identity: str,
        settings: ControlSettings,
        seed: int,
        now: int,
        unix_seconds: Callable[[], float],
        persistent: PersistentState | None = None,
    ) -> None:
        """`identity`: for a process without stored state; `persistent` state has its own identity."""
        self.settings = settings
        self.config_state = ConfigStateMachine()
        self.raft = RaftNode(persistent or PersistentState(identity), self.config_state, TIMING, seed, now)
        if persistent is not None:
            self.raft.schedule_campaign(now + random.Random(seed).randint(*FIRST_ELECTION_RANGE_US))
        self.peers = PeerTable(
            self.raft.identity, settings.address, settings.seeds, self.raft.incarnation, now
        )
        self.planner = PhasePlanner()
        self.subscribed_routers: set[str] = set()  # routers that are subscribed to this process
        self.peak_router_count = 1  # most routers subscribed to the fleet at one time: they share budgets
        self._outbox = Outbox()
        self._config_calls = ConfigCalls(self.raft, self.config_state, self._next_request_id)
        self.worker_recovery = WorkerRecovery(
            self.raft.identity,
            self.raft.incarnation,
            gives_up_at=now + settings.contact_us,
            has_stored_state=persistent is not None,
        )
        self._workers = WorkerSync(
            self.raft, settings, self.peers, self._outbox, self._next_request_id, self.worker_recovery
        )
        self._membership = ClusterMembership(self.raft, self.config_state, self.peers, settings, unix_seconds)
        self._order_authority = OrderAuthority(self.raft, settings.lease_us, now)
        self._next_hello_at = now
        self._has_sent_hellos = False
        self._next_ages_at = now
        self._next_voters_check_at = now
        self._last_request_id = 0  # unique within this incarnation

    # --- state ---

    @property
    def identity(self) -> str:
        """This process's identity, which is part of its persistent state."""
        return self.raft.identity

    @property
    def registry(self) -> WorkerRegistry:
        """The registry of all known workers."""
        return self._workers.registry

    @property
    def next_tick_at(self) -> int:
        """The time of the next call of `tick`."""
        times = [self.raft.next_tick_at, self._next_hello_at, self._next_ages_at, self._next_voters_check_at]
        if (expiry_at := self._workers.next_expiry_at) is not None:
            times.append(expiry_at)
        return min(times)

    @property
    def has_durable_output(self) -> bool:
        """Whether there are changes to store, or output that is sent after they are stored."""
        raft = self.raft
        return bool(
            raft.hard_state_changed
            or raft.first_unsaved_index is not None
            or raft.outbox
            or raft.outcomes
            or self._workers.has_durable_output
        )

    @property
    def leader(self) -> str:
        """The leader's identity; empty if none is known. An observer uses the leader that voters report."""
        return self.raft.leader if self.settings.counts_for_quorum else self.peers.reported_leader()

    @property
    def fencing_token(self) -> int:
        """The fencing token of this epoch and term."""
        return fencing_token(self.raft.persistent)

    @property
    def quorum_exceeds_tolerance(self) -> bool:
        """Whether a majority of the voters has more replicas than `tolerance`."""
        return len(self.raft.voters) // 2 + 1 > self.settings.tolerance

    def fleet_status(self, now: int) -> m.FleetStatus:
        """The status that is sent to routers periodically."""
        alive = self.peers.alive(now)
        routers = self.subscribed_routers.union(*(peer.routers for peer in alive.values()))
        switching = {*self.planner.switching, *(name for peer in alive.values() for name in peer.switching)}
        own_addresses = (self.settings.address,) if self.settings.counts_for_quorum else ()
        addresses = own_addresses + self.peers.alive_quorum_peers(now)
        self.peak_router_count = max(self.peak_router_count, len(routers))
        silent_ages = self.registry.silent_ages(now)
        registry = self._workers.registry_status(now)
        return m.FleetStatus(addresses, self.peak_router_count, silent_ages, tuple(switching), registry)

    # --- output ---

    def take_immediate_output(self) -> ImmediateOutput:
        """The output that may be sent at once."""
        return self._outbox.take(self._workers.take_outcomes())

    def take_durable_output(self) -> DurableOutput:
        """The output that may be sent only after the changes of the log and of workers' records are stored.

        Once they are, the driver calls `confirm_saved` with this output.
        """
        messages_by_address: dict[str, list[Message]] = {}
        for message in self.raft.outbox:
            messages_by_address.setdefault(address_of(message.to), []).append(message)
        self.raft.outbox.clear()
        peer_acks, own_acks = self._workers.take_acks()
        raft_messages: list[tuple[str, m.Body]] = [
            (address, m.RaftMessages(tuple(messages))) for address, messages in messages_by_address.items()
        ]
        return DurableOutput(
            messages=raft_messages + peer_acks,
            own_acks=own_acks,
            outcomes=self._config_calls.take_outcomes(),
            config=self.config_state.current,
            confirmed_at=self.raft.confirmed_at,
        )

    def confirm_saved(self, output: DurableOutput) -> None:
        """Record that the state that `output` depends on is stored."""
        for ack in output.own_acks:
            self._workers.handle_ack(ack)

    def discard_durable_output(self, unsent: DurableOutput) -> list[CallOutcome]:
        """Drop `unsent` and all later durable output, because the state that they depend on can't be stored.

        Returns the outcomes of the affected operators' calls. Each is unknown: the log entry that decided the
        call may be lost in a crash. Workers' calls stay pending: enough other processes may hold them.
        """
        return [
            PutOutcome(outcome.request_id, None)
            if isinstance(outcome, PutOutcome)
            else ReadOutcome(outcome.request_id, None)
            for outcome in (*unsent.outcomes, *self.take_durable_output().outcomes)
        ]

    # --- calls of operators ---

    def put_config(self, base: int, version: int, body: bytes, now: int) -> int | None:
        """Propose a validated configuration; returns the request id of the outcome to wait for.

        Returns None if this process does not lead, has too many uncommitted proposals, or could not commit
        the configuration on enough replicas.
        """
        return self._config_calls.put(base, version, body, now) if self.quorum_exceeds_tolerance else None

    def result_of_resend(self, base: int, body: bytes) -> ChangeResult | None:
        """The result of a put that may have been accepted before; None if it certainly was not.

        It holds for all puts that were acknowledged before a call of `read_config` whose outcome is known.
        """
        return self.config_state.result_of_resend(base, body)

    def read_config(self, now: int) -> int | None:
        """Read the newest committed configuration; returns the request id of the outcome to wait for.

        Returns None if this process does not lead, or has not yet committed an entry of its own term.
        """
        return self._config_calls.read(now)

    def force_new_cluster(self, now: int) -> int:
        """Start a new cluster from this process's state after the permanent loss of a majority.

        Returns the request id of the outcome to wait for: the new epoch counts once it is stored.

        Raises:
            LeaderKnownError: a leader is known, so no majority is lost.
        """
        return self._config_calls.track_proposal(self._membership.force_new_cluster(now))

    # --- calls of workers ---

    def handle_heartbeat(self, record: WorkerRecord, now: int) -> int | None:
        """Handle a worker's heartbeat; returns the request id of the outcome to wait for.

        Returns None if there is no outcome to wait for.

        Raises:
            HeartbeatRejectedError: this process has started and does not yet know which workers have ended.
        """
        return self._workers.handle_heartbeat(record, now)

    def handle_deregistration(self, instance: str, now: int) -> int | None:
        """Handle a worker's deregistration; returns the request id of the outcome to wait for.

        It is taken at any time, because an end is final.
        """
        return self._workers.handle_deregistration(instance, now)

    def reaches_quorum_peers(self, now: int) -> bool:
        """Whether heartbeats sent to this process reach other processes that serve routers, if any exist.

        A worker should not send its heartbeats to a process that is partitioned from all of them.
        """
        is_only_one = self.settings.counts_for_quorum and not self.peers.quorum_peer_count
        return bool(self.peers.alive_quorum_peers(now)) or is_only_one

    def records_for_routers(self) -> tuple[WorkerRecord, ...]:
        """The worker records for a router that subscribes now; later changes are in the output."""
        return self._workers.records_for_routers()

    def restore_workers(self, records: Iterable[WorkerRecord], now: int) -> None:
        """Track the workers that were known before a restart, also those that had ended."""
        self._workers.restore(records, now)

    # --- orders to workers ---

    def phase_orders(self, loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """The orders to send to workers now; none without an `order_token`."""
        token = self.order_token(now)
        if not self._order_authority.is_leading:
            self.planner.reset()
        if token is None:
            return []
        reachable_workers = [
            worker.record
            for worker in self.registry.tracked.values()
            if not (worker.is_superseded or self.registry.is_silent(worker, now))
        ]
        return self.planner.plan(reachable_workers, loads, now)

    def order_token(self, now: int) -> int | None:
        """The fencing token for orders of this process, or None; see `OrderAuthority.token`."""
        return self._order_authority.token(now)

    # --- time and peers ---

    def tick(self, now: int) -> None:
        """Run everything that is due: consensus, hellos, heartbeat ages, voter checks, call timeouts."""
        self._membership.bootstrap_if_first(now)
        self._workers.advance_recovery(now)
        if now >= self.raft.next_tick_at:
            self.raft.tick(now)
        if now >= self._next_hello_at:
            self._send_hellos(now)
            self._request_missing_snapshots(now)
        if now >= self._next_ages_at:
            self._next_ages_at = now + AGES_PERIOD_US
            self._workers.send_ages(tuple(self.subscribed_routers), self.planner.switching, now)
        if now >= self._next_voters_check_at:
            self._next_voters_check_at = now + VOTERS_PERIOD_US
            self._membership.reconcile_voters(now)
        self._workers.expire_calls(now)

    def receive(self, sender: str, body: m.Body, now: int) -> None:
        """Handle a message from the control process at this address."""
        match body:
            case m.PeerHello():
                self._handle_hello(sender, body, now)
            case m.RaftMessages(messages=messages):
                for message in messages:
                    if message.to == self.identity:
                        self.raft.receive(message, now)
            case m.WorkerUpdate():
                self._workers.handle_update(sender, body, now)
            case m.WorkerUpdateAck():
                self._workers.handle_ack(body)
            case m.WorkerAges():
                self._workers.handle_ages(sender, body, now)
            case m.WorkerSyncRequest():
                self._send_worker_snapshot(sender, now)

    def handle_link_opened(self, address: str, now: int) -> None:
        """Introduce this process over a new link, and send all workers: earlier updates may have been lost.

        A peer ignores all messages on a connection before the first hello.
        """
        for peer_address, hello in self._hellos(now):
            if peer_address == address:
                self._outbox.send(address, hello)
        self._send_worker_snapshot(address, now)

    def _request_missing_snapshots(self, now: int) -> None:
        """Peers send a snapshot at the first hello of this run, so it is requested only at later ones."""
        if self._has_sent_hellos:
            self._workers.request_snapshots(now)
        self._has_sent_hellos = True

    def _send_worker_snapshot(self, address: str, now: int) -> None:
        self._workers.send_snapshot(address, now)

    def add_seed_addresses(self, addresses: tuple[str, ...], now: int) -> None:
        """Send hellos to these control processes too."""
        self.peers.add_addresses(addresses, now)

    def leave(self, now: int) -> bool:
        """Before a planned shutdown: announce it to the peers and transfer the leadership.

        Returns False if this process does not lead, or no other voter can take over.
        """
        self.peers.leaving = True
        self._send_hellos(now)
        return self._membership.transfer_leadership(now)

    def _send_hellos(self, now: int) -> None:
        self._next_hello_at = now + HELLO_PERIOD_US
        for address, hello in self._hellos(now):
            self._outbox.send(address, hello)

    def _hellos(self, now: int) -> list[tuple[str, m.PeerHello]]:
        """One hello for each known control process, with its address."""
        counts_for_quorum = self.settings.counts_for_quorum
        leader = self.raft.leader if counts_for_quorum else ""
        return self.peers.hellos(now, counts_for_quorum=counts_for_quorum, leader=leader)

    def _handle_hello(self, sender: str, hello: m.PeerHello, now: int) -> None:
        # A peer that has restarted may lack records, and one that was partitioned has missed updates.
        if self.peers.handle_hello(sender, hello, now):
            self._send_worker_snapshot(sender, now)

    def _next_request_id(self) -> int:
        self._last_request_id += 1
        return self._last_request_id
