"""Keeps the worker registries of all control processes in sync.

Changed records are sent to all peers at once. Together with the ages of workers, peers exchange digests of
their records. A process whose digest differs in consecutive messages requests all records (anti-entropy).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from hazelbend.consensus.raft import RaftNode
from hazelbend.control import messages as m
from hazelbend.control.announcements import AnnouncementOutcome, Announcements
from hazelbend.control.outputs import Outbox
from hazelbend.control.peers import PeerTable
from hazelbend.control.settings import ControlSettings
from hazelbend.control.worker_recovery import HeartbeatRejectedError, WorkerRecovery
from hazelbend.control.workers import (
    EXPIRY_HEARTBEATS,
    RESTORED_HEARTBEATS,
    SILENT_HEARTBEATS,
    WorkerRecord,
    WorkerRegistry,
    WorkerState,
)

# Between two calls of `send_ages`; a longer gap shows that the process stood still.
MAX_AGES_GAP_US = 1_000_000
MAX_DIGEST_MISMATCHES = 2  # consecutive messages with another digest, until all records are requested


class WorkerSync:
    """Merges workers' calls and peers' updates into the registry, and forwards changed records."""

    def __init__(
        self,
        raft: RaftNode,
        settings: ControlSettings,
        peers: PeerTable,
        outbox: Outbox,
        next_request_id: Callable[[], int],
        recovery: WorkerRecovery,
    ) -> None:
        self.registry = WorkerRegistry(settings.heartbeat_us)
        self.recovery = recovery
        self._raft = raft
        self._settings = settings
        self._peers = peers
        self._outbox = outbox
        self._next_request_id = next_request_id
        self._announcements = Announcements(raft.incarnation, settings.tolerance)
        self._reporting_since: int | None = None  # when ready workers were first reported to routers
        self._last_ages_at: int | None = None
        self._in_touch_since: int | None = None  # since when a majority has confirmed this process's state
        # To be sent once the records are stored: the address of the process that announced them, and the ack.
        self._unsent_acks: list[tuple[str, m.WorkerUpdateAck]] = []

    @property
    def next_expiry_at(self) -> int | None:
        """When the next pending call times out; None if none is pending."""
        return self._announcements.next_expiry_at

    # --- calls of workers ---

    def handle_heartbeat(self, record: WorkerRecord, now: int) -> int | None:
        """See `ControlEngine.handle_heartbeat`."""
        if not self.recovery.has_ended(now):
            raise HeartbeatRejectedError
        return self._announce(record, now)

    def _announce(self, record: WorkerRecord, now: int) -> int | None:
        known = self.registry.tracked.get(record.instance)
        self._forward(self.registry.merge(record, now))
        if record.state is WorkerState.READY:
            return None
        if known is not None and known.record.state is WorkerState.GONE:
            record = known.record
        request_id = self._next_request_id()
        update = self._announcements.begin(request_id, record, now)
        self._outbox.broadcast(self._peers.addresses, update)
        self._acknowledge_once_saved(self._settings.address, update)
        return request_id

    def handle_deregistration(self, instance: str, now: int) -> int | None:
        """See `ControlEngine.handle_deregistration`."""
        tombstone = self.registry.tombstone(instance)
        if tombstone is None:
            tombstone = WorkerRecord(instance, "", "", "", WorkerState.GONE, 0)
        return self._announce(tombstone, now)

    def expire_calls(self, now: int) -> None:
        """Fail all calls that have timed out."""
        self._announcements.expire(now)

    def take_outcomes(self) -> list[AnnouncementOutcome]:
        """The outcomes of workers' calls since the last call."""
        return self._announcements.take_outcomes()

    # --- exchange with peers ---

    def restore(self, records: Iterable[WorkerRecord], now: int) -> None:
        """Track the workers that were known before a restart.

        No heartbeat could arrive while this process was down, so each worker gets `RESTORED_HEARTBEATS`
        before it counts as silent. Ended workers are tracked too: another process may restore an older record
        of them, and a heartbeat that was sent before their end may arrive late.
        """
        last_heartbeat_at = now - round(
            (SILENT_HEARTBEATS - RESTORED_HEARTBEATS) * self._settings.heartbeat_us
        )
        for record in records:
            self._forward(self.registry.merge(record, last_heartbeat_at))

    def advance_recovery(self, now: int) -> None:
        """Check whether the recovery has ended. Once it has, report the ready workers to routers."""
        self.recovery.update(self._raft.voters)
        if self._reporting_since is not None or not self.recovery.has_ended(now):
            return
        self._reporting_since = now
        records = self._reportable(self.registry.records())
        self._outbox.report_workers([record for record in records if record.state is WorkerState.READY])

    def records_for_routers(self) -> tuple[WorkerRecord, ...]:
        """The records for a router that subscribes now, without those that `_reportable` excludes."""
        return tuple(self._reportable(self.registry.records()))

    def _reportable(self, records: Iterable[WorkerRecord]) -> list[WorkerRecord]:
        """Exclude superseded workers, and ready ones until the recovery has ended: one that was restored may
        have ended meanwhile.
        """
        return [
            record
            for record in records
            if record.state is not WorkerState.READY
            or (self._reporting_since is not None and not self.registry.is_superseded(record.instance))
        ]

    def registry_status(self, now: int) -> m.RegistryStatus | msgspec.UnsetType:
        """The state of the registry for the comparison with routers' replicas; UNSET until the recovery ends.

        A worker without a record has expired only if its heartbeats would have reached this process: for the
        whole time of an expiry it has run and been in touch with a majority.
        """
        if self._reporting_since is None:
            return msgspec.UNSET
        has_heard_all = False
        if self._in_touch_since is not None and self._is_in_touch(now):
            heard_since = max(self._reporting_since, self._in_touch_since)
            has_heard_all = now - heard_since >= EXPIRY_HEARTBEATS * self._settings.heartbeat_us
        return m.RegistryStatus(self.registry.digest, knows_all=has_heard_all)

    def _is_in_touch(self, now: int) -> bool:
        confirmed_age = self._raft.confirmed_age(now)
        return confirmed_age is not None and confirmed_age <= self._settings.contact_us

    def send_snapshot(self, address: str, now: int) -> None:
        """Send all worker records to a peer that may have missed earlier updates."""
        peer = self._peers.get(address)
        source: m.SnapshotSource | msgspec.UnsetType = msgspec.UNSET
        if peer is not None and peer.stamp is not None:
            source = self.recovery.source_for(peer.stamp.incarnation, self._raft.voters)
        records = self.registry.unexpired_records(now)
        self._outbox.send(address, m.WorkerUpdate(0, records, self.registry.ages(now), source=source))

    def request_snapshots(self, now: int) -> None:
        """Request all records of each peer whose snapshot this process needs and lacks."""
        if self.recovery.has_ended(now):
            return
        for address, peer in self._peers.alive(now).items():
            if not self.recovery.has_snapshot_of(peer.identity):
                self._outbox.send(address, m.WorkerSyncRequest())

    def send_ages(self, routers: tuple[str, ...], switching: tuple[str, ...], now: int) -> None:
        """Send peers the ages of workers with a heartbeat since the last call, and this registry's digest."""
        self._update_contact(now)
        self._expire_workers(now)
        recent_ages = self.registry.take_recent_ages(now)
        ages = m.WorkerAges(recent_ages, routers, switching, self.registry.digest)
        self._outbox.broadcast(self._peers.alive_quorum_peers(now), ages)

    def _update_contact(self, now: int) -> None:
        """Update since when this process has been in touch with a majority."""
        stood_still = self._last_ages_at is not None and now - self._last_ages_at > self._settings.contact_us
        if stood_still or not self._is_in_touch(now):
            self._in_touch_since = None
        elif self._in_touch_since is None:
            self._in_touch_since = now

    def _expire_workers(self, now: int) -> None:
        """Remove workers without a recent heartbeat, and update which ones are superseded.

        Not right after this process stood still: it has not read yet which heartbeats its peers received.
        """
        last_ages_at = self._last_ages_at
        self._last_ages_at = now
        if last_ages_at is not None and now - last_ages_at > MAX_AGES_GAP_US:
            return
        self._outbox.report_expired_workers(self.registry.expire(now))
        changes = self.registry.update_superseded(now)
        self._outbox.report_expired_workers(changes.superseded)
        self._outbox.report_workers(self._reportable(changes.restored))

    def handle_update(self, sender: str, update: m.WorkerUpdate, now: int) -> None:
        """Merge a peer's records, and acknowledge them if the peer waits for that."""
        for record in update.records:
            last_heartbeat_at = now - update.ages.get(record.instance, 0)
            self._forward(self.registry.merge(record, last_heartbeat_at))
        if update.source is not msgspec.UNSET:
            self.recovery.handle_snapshot(update.source)
            self.advance_recovery(now)
        if update.request_id:
            self._acknowledge_once_saved(sender, update)

    def handle_ack(self, ack: m.WorkerUpdateAck) -> None:
        """Record that a process has stored the records of a call."""
        self._announcements.acknowledge(ack)

    def handle_ages(self, sender: str, ages: m.WorkerAges, now: int) -> None:
        """Record the heartbeats that a peer received, and compare its digest."""
        peer = self._peers.get(sender)
        if peer is not None:
            peer.routers = ages.routers
            peer.switching = ages.switching
            # Processes that do not count for the quorum receive no ages, so they remove workers earlier.
            is_comparable = peer.counts_for_quorum and self._settings.counts_for_quorum
            is_equal = not is_comparable or ages.digest == self.registry.digest
            peer.digest_mismatches = 0 if is_equal else peer.digest_mismatches + 1
            # Updates in flight explain fewer mismatches than this: some updates were lost.
            if peer.digest_mismatches >= MAX_DIGEST_MISMATCHES:
                peer.digest_mismatches = 0
                self._outbox.send(sender, m.WorkerSyncRequest())
        for instance, age in ages.ages.items():
            self.registry.record_heartbeat(instance, now - age)

    # --- stored records and the acknowledgements that depend on them ---

    @property
    def has_durable_output(self) -> bool:
        """Whether there are changes of records to store, or acknowledgements to send after that."""
        return self.registry.has_unsaved_changes or bool(self._unsent_acks)

    def take_acks(self) -> tuple[list[tuple[str, m.Body]], list[m.WorkerUpdateAck]]:
        """The acknowledgements since the last call: those to peers, with their addresses, and this process's
        own. They may be sent only after the registry's changes are stored.
        """
        own_address = self._settings.address
        peer_acks: list[tuple[str, m.Body]] = [
            (address, ack) for address, ack in self._unsent_acks if address != own_address
        ]
        own_acks = [ack for address, ack in self._unsent_acks if address == own_address]
        self._unsent_acks = []
        return peer_acks, own_acks

    def _acknowledge_once_saved(self, address: str, update: m.WorkerUpdate) -> None:
        """Acknowledge an announcement of the process at this address, if this process counts."""
        if self._settings.counts_for_quorum:
            self._unsent_acks.append((address, self._ack(update)))

    def _ack(self, update: m.WorkerUpdate) -> m.WorkerUpdateAck:
        return m.WorkerUpdateAck(
            update.request_id, update.incarnation, self._raft.identity, self._raft.voters
        )

    def _forward(self, records: list[WorkerRecord]) -> None:
        """Send changed records to routers and to all peers, which may not have them either."""
        if not records:
            return
        self._outbox.report_workers(self._reportable(records))
        self._outbox.broadcast(self._peers.addresses, m.WorkerUpdate(0, tuple(records)))
