"""The fleet extension: gossip, leases and the snapshot, and their output on the console."""

from __future__ import annotations

import asyncio
import logging
import time

from hazelbend.dispatcher.extensions import ConsoleCommand, Extension, ExtensionContext
from hazelbend.dispatcher.fleet_snapshot import SnapshotTask
from hazelbend.dispatcher.lease_node_driver import LeaseNodeDriver
from hazelbend.dispatcher.text_table import format_table
from hazelbend.leases.lease_node import LeaseNode
from hazelbend.leases.settings import FleetSettings
from hazelbend.transport.peer.fleet_listener import FleetListener

log = logging.getLogger("hazelbend.fleet")

TRANSFER_TIMEOUT_S = 0.25  # how long a shutdown waits for another member to become leader
TRANSFER_POLL_S = 0.02


class FleetExtension(Extension):
    """Connects this dispatcher with the fleet. Its faults do not affect routing."""

    def __init__(self, context: ExtensionContext) -> None:
        conf = context.conf
        assert conf.fleet is not None
        self.settings: FleetSettings = conf.fleet
        self._clock = context.router.clock.now
        self.driver = LeaseNodeDriver(conf.name, conf.fleet, conf.seed, self._clock)
        self.listener = FleetListener(
            self.driver.receive,
            self.driver.submit,
            self.driver.start_new_epoch,
            self.driver.view,
            context.client_listener.memory,
        )
        self.snapshot: SnapshotTask | None = None

    @property
    def node(self) -> LeaseNode:
        """The current lease node. If its store fails, the driver replaces it by a new one."""
        return self.driver.node

    async def start(self) -> None:
        """Load the state, listen, and begin to join the fleet. Raises OSError if the address is in use."""
        if self.settings.store:
            await self.driver.open_store()
        await self.listener.listen(*self.settings.listen_address)
        log.info("fleet %s: %s", self.settings.id, self.node.identity)
        self.driver.pump()
        if self.settings.snapshot is not None:
            self.snapshot = SnapshotTask(
                self.settings.snapshot,
                self.settings.leases.limits,
                self.node.identity,
                self._clock,
                self.driver.submit_to_leader,
                self.driver.view,
            )
            self.snapshot.start()

    def drain(self) -> None:
        """Transfer leadership, as maintenance of this machine is about to begin."""
        self.driver.transfer_leadership()

    async def leave(self, seconds: float) -> None:
        """Release the snapshot's lease, transfer leadership, and announce the departure to the members."""
        if self.snapshot is not None:
            await self.snapshot.leave()
        deadline = time.monotonic() + TRANSFER_TIMEOUT_S
        # The node has no event for the end of a transfer, so this polls it.
        while self.driver.transfer_leadership() and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(TRANSFER_POLL_S)
        self.driver.leave()

    async def close(self) -> None:
        """Close everything without waiting for other members."""
        if self.snapshot is not None:
            await self.snapshot.close()
        await self.driver.stop()  # first, so that no call waits for a commit
        await self.listener.close()
        await self.driver.close()

    def counts(self) -> dict[str, int]:
        """Return the figures of the fleet."""
        snapshot_counts = {}
        if self.snapshot is not None:
            snapshot_counts = {
                "fleet_snapshots": self.snapshot.written,
                "fleet_snapshots_refused": self.snapshot.rejected,
            }
        return snapshot_counts | {
            "fleet_members": self.node.members.table.size,
            "fleet_leads": int(self.node.raft.is_leader),
            "fleet_epoch": self.node.raft.persistent.epoch,
            "fleet_leases": len(self.node.leases.state.leases),
            "fleet_requests": self.driver.links.requests_sent,
            "fleet_requests_lost": self.driver.links.requests_lost,
        }

    def show_commands(self) -> dict[str, ConsoleCommand]:
        """Return `show fleet` and `show leases` of the console."""
        return {"fleet": self._show_fleet, "leases": self._show_leases}

    def _show_fleet(self) -> str:
        view = self.driver.view()
        rows: list[tuple[object, ...]] = [("MEMBER", "STATE", "FOR", "INCARNATION", "PART")]
        for member in view.members:
            role = "votes" if member.identity in view.voters else "-"
            if member.identity == view.leader:
                role = "leads"
            name = member.identity + (" (this one)" if member.identity == view.me else "")
            duration = f"{member.seconds_in_status:.0f} s"
            rows.append((name, member.status, duration, member.incarnation, role))
        for address, fleet in view.foreign_fleets.items():
            rows.append((address, f"of fleet {fleet}", "-", "-", "-"))
        state = f"{view.uncommitted} entries not agreed on yet" if view.leader else "nobody leads"
        rows.append((f"epoch {view.epoch}", f"term {view.term}", "-", "-", state))
        return format_table(rows)

    def _show_leases(self) -> str:
        rows: list[tuple[object, ...]] = [("LEASE", "HOLDER", "TOKEN", "TTL", "RENEWED", "WAITING")]
        for lease in self.driver.view().leases:
            renewed = "-" if lease.renewed_s_ago is None else f"{lease.renewed_s_ago:.1f} s ago"
            ttl = f"{lease.ttl_s:g} s"
            rows.append((lease.name, lease.holder, lease.token, ttl, renewed, len(lease.waiters)))
        return format_table(rows)
