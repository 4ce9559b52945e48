"""Merges the endpoint list and SRV names, if `deploy/srv.toml` is enabled. Imported only then.

The extension sits between the subscription to discovery and the router: updates of the endpoint list pass
through `filter_update`, and changes of SRV names go to the router as changes of the list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

import msgspec

from hazelbend.dispatcher.extensions import ConsoleCommand, Extension, ExtensionContext
from hazelbend.dispatcher.log import RateLimitedLog
from hazelbend.dispatcher.srv_priorities import SrvPriorities
from hazelbend.dispatcher.srv_snapshots import SnapshotSaver
from hazelbend.dispatcher.srv_status import FailingNamesLog, SrvStatus
from hazelbend.dns_discovery import snapshot
from hazelbend.dns_discovery.answers import EndpointKey, canonical_name
from hazelbend.dns_discovery.resolver import Resolver
from hazelbend.dns_discovery.settings import SrvName, SrvSettings
from hazelbend.dns_discovery.snapshot import Snapshot, TombstoneRecord
from hazelbend.endpoints.merger import EndpointMerger, Tombstone
from hazelbend.endpoints.srv_claims import SrvClaim
from hazelbend.routing.ports import EndpointList
from hazelbend.transport.background_work import RepeatingTimer
from hazelbend.transport.dns.resolver_driver import ResolverDriver

log = logging.getLogger("hazelbend.names")

HOUSEKEEPING_INTERVAL_US = 1_000_000  # between checks of failing names and old tombstones
MIN_SRV_WEIGHT = 0.1  # an SRV weight of 0 is "a very small chance of being selected" (RFC 2782), not none


class SourcesExtension(Extension):
    """The resolver, the merger and the router, wired together."""

    def __init__(self, context: ExtensionContext) -> None:
        self._context = context
        self._reader = context.conf.reader
        self._router = context.router
        self._clock = context.router.clock
        self.settings = self._configured()
        self._names = _names_by_canonical(self.settings)
        self._log = RateLimitedLog(log)
        self.merger = EndpointMerger(_tombstone_us(self.settings))
        self.resolver = Resolver(self.settings, context.conf.name)
        self._driver = ResolverDriver(self.resolver, self._clock.now, self._names_changed)
        self._priorities = SrvPriorities(self.merger, self._router, self._send, self._log)
        self._snapshots = SnapshotSaver(self.settings.snapshot, self._capture)
        self.status = SrvStatus(self.resolver, self.merger, self._priorities, self._clock.now)
        self._failing_names = FailingNamesLog(self.resolver, self._log)
        self._check_timer = RepeatingTimer("SRV priorities", self._check_periodically)
        self._check_pending = False
        self._housekeeping_at = 0
        self._closed = False

    @property
    def snapshot_error(self) -> str:
        """Why the last read or write of the snapshot failed; empty if it succeeded."""
        return self._snapshots.error

    @property
    def queries_in_flight(self) -> int:
        """The number of DNS queries in flight."""
        return self._driver.queries_in_flight

    # --- life cycle ---

    def initial_endpoints(self, known: EndpointList, handed_over: dict[str, Any]) -> EndpointList:
        """Return the known list merged with the last known records of the SRV names."""
        now = self._clock.now()
        self._router.on_registered_changed = self.merger.apply_connected
        last_known = self._snapshots.load(handed_over)
        if last_known is not None:
            tombstones = {record.host: _tombstone(record) for record in last_known.tombstones}
            self.merger.restore(tombstones, last_known.started)
        self.merger.apply_list(EndpointList(known.entries, is_complete=True, seq=known.seq), now)
        self.resolver.track_only(self._names, now)
        if last_known is not None:
            self._restore_names(last_known, now)
        for server in self._router.table.registered():
            self.merger.apply_connected(server.entry)
        return EndpointList(self.merger.entries(), is_complete=True, seq=known.seq)

    async def start(self) -> None:
        """Send the first queries."""
        self._driver.run_due()
        self._check_periodically()

    def change(self) -> None:
        """Apply changed settings. The records of names that stay are kept."""
        settings = self._configured()
        reader = self._context.conf.reader
        if (settings, reader) == (self.settings, self._reader):
            return
        now = self._clock.now()
        previous = self.settings
        self.settings = settings
        self._reader = reader
        self._names = _names_by_canonical(settings)
        self._snapshots.settings = settings.snapshot
        self.merger.tombstone_us = _tombstone_us(settings)
        self.resolver.reconfigure(settings, now)
        self.resolver.track_only(self._names, now)
        self.resolver.names.changed |= self._names.keys()  # zone, kind or weight scale may have changed
        same_timeout = settings.budgets.timeout_s == previous.budgets.timeout_s
        if same_timeout and settings.nameservers == previous.nameservers:
            self._driver.run_due()
        else:
            self._driver.reconnect()

    def stop(self) -> None:
        """Remove the endpoints of SRV names: the router gets the endpoint list alone."""
        self._closed = True
        self._router.on_registered_changed = lambda entry: None
        self._router.apply_list(EndpointList(self.merger.listed(), is_complete=True))

    async def close(self) -> None:
        """Cancel the queries and write a last snapshot."""
        self._closed = True
        self._check_timer.cancel()
        self._snapshots.cancel_timer()
        await self._driver.close()
        await self._snapshots.save_last()

    def handover_state(self) -> dict[str, Any]:
        """Return the snapshot, for the next process of an upgrade."""
        return dict(msgspec.to_builtins(self._capture()))

    # --- updates ---

    def discovered_endpoints(self) -> EndpointList:
        """Return the endpoint list, without the endpoints of SRV names."""
        return EndpointList(self.merger.listed(), is_complete=True)

    def filter_update(self, update: EndpointList) -> EndpointList:
        """Merge an update of the endpoint list. Returns the update for the router."""
        changes = self.merger.apply_list(update, self._clock.now())
        self._carry_over_drains()
        self._snapshots.save_later()
        self._check_soon()  # runs after the router has the changes
        return changes

    def on_servers_changed(self) -> None:
        """Check the priorities: as a server's availability has changed, another priority may have to open."""
        self._check_soon()

    def _names_changed(self, names: Iterable[str]) -> None:
        """Merge the endpoints of these SRV names, which may have changed, and send the changes."""
        now = self._clock.now()
        for name in sorted(names):
            previous_count = len(self.merger.priorities(name))
            self._send(self._apply_name(name, now))
            count = len(self.merger.priorities(name))
            if count != previous_count:
                self._log.info("%s: %d endpoints (previously %d)", name, count, previous_count)
        self._check_priorities(now)
        self._snapshots.save_later()

    def _apply_name(self, name: str, now: int) -> EndpointList:
        """Merge the endpoints that an SRV name lists now. Returns the changes."""
        settings = self._names.get(name)
        if settings is None:
            changes = self.merger.apply_srv(name, {}, now)
            self._priorities.remove(name, now)
            return changes
        claims = self._claims(name, settings)
        opened = self._priorities.apply(name, claims, now)
        changes = self.merger.apply_srv(name, claims, now)
        return EndpointList(opened.entries + changes.entries)

    def _claims(self, name: str, settings: SrvName) -> dict[EndpointKey, SrvClaim]:
        zone, kind = self._reader.zone_and_kind(settings.zone, settings.kind)
        claims = {}
        for key, (preference, addresses) in self.resolver.names.endpoints(name).items():
            weight = max(preference.weight, MIN_SRV_WEIGHT) * settings.weight_scale
            claims[key] = SrvClaim(preference, addresses, zone, kind, settings.cell, weight)
        return claims

    def _send(self, changes: EndpointList) -> None:
        self._carry_over_drains()
        if changes.entries:
            self._router.apply_list(changes)

    def _carry_over_drains(self) -> None:
        """Keep manual drains of endpoints whose host name has changed."""
        renamed, self.merger.renamed = self.merger.renamed, []
        for old_host, new_host in renamed:
            self._router.table.rename_manual_drain(old_host, new_host)

    # --- periodic checks ---

    def _check_priorities(self, now: int) -> None:
        self._priorities.update(now, round(self.settings.pools.failback_delay_s * 1e6))

    def _check_soon(self) -> None:
        """Check in the next iteration of the event loop: the caller may be updating the router's table."""
        if not self._check_pending and not self._closed:
            self._check_pending = True
            asyncio.get_running_loop().call_soon(self._check_now)

    def _check_now(self) -> None:
        self._check_pending = False
        if not self._closed:
            self._check_priorities(self._clock.now())

    def _check_periodically(self) -> None:
        """Check the priorities at intervals: the decision module does not report when it ejects a server."""
        now = self._clock.now()
        self._check_priorities(now)
        if now >= self._housekeeping_at + HOUSEKEEPING_INTERVAL_US:
            self._housekeeping_at = now
            self._send(self.merger.expire_tombstones(now))
            self._failing_names.update()
        self._check_timer.set(self.settings.pools.check_interval_s)

    # --- snapshots ---

    def _restore_names(self, last_known: Snapshot, now: int) -> None:
        snapshot.restore(self.resolver, last_known, now)
        names, self.resolver.names.changed = self.resolver.names.changed, set()
        for name in sorted(names):
            self._apply_name(name, now)
        self._check_priorities(now)

    def _capture(self) -> Snapshot:
        tombstones = [
            _tombstone_record(host, tombstone) for host, tombstone in self.merger.tombstones.items()
        ]
        return snapshot.capture(self.resolver, tombstones, self.merger.srv_start_times(), self._clock.now())

    # --- console and figures ---

    def show_commands(self) -> dict[str, ConsoleCommand]:
        """Return `show sources` and `show names` of the console."""
        return {"sources": self._show_sources, "names": self.status.show_names}

    def counts(self) -> dict[str, int]:
        """Return the `names.*` figures."""
        return self.status.counts()

    def _show_sources(self) -> str:
        return self.status.show_sources(
            list_received=self._router.list_received.is_set(), snapshot_error=self.snapshot_error
        )

    def _configured(self) -> SrvSettings:
        # This extension is created and changed only while the configuration has its settings.
        assert self._context.conf.srv is not None
        return self._context.conf.srv


def _names_by_canonical(settings: SrvSettings) -> dict[str, SrvName]:
    return {canonical_name(name.name): name for name in settings.names}


def _tombstone_us(settings: SrvSettings) -> int:
    return round(settings.ttl_bounds.tombstone_s * 1e6)


def _tombstone(record: TombstoneRecord) -> Tombstone:
    key = EndpointKey(record.target, record.port) if record.target else None
    return Tombstone(record.removed_at, key, record.dial)


def _tombstone_record(host: str, tombstone: Tombstone) -> TombstoneRecord:
    if tombstone.key is None:
        return TombstoneRecord(host, tombstone.removed_at, tombstone.dial)
    key = tombstone.key
    return TombstoneRecord(host, tombstone.removed_at, tombstone.dial, key.target, key.port)
