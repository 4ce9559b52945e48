"""Where real servers come from when deploy/srv.toml is enabled: the box list and SRV names, merged.

Imported only then. Between the watch on discovery and the router: what the watch tells goes through
`hear_list`, what names tell goes to the router as changes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from hazelbend.decisions.interface import WorkerState
from hazelbend.dns_discovery import snapshot
from hazelbend.dns_discovery.answers import EndpointKey, Question, RecordType, canonical_name
from hazelbend.dns_discovery.resolver import Resolver
from hazelbend.dns_discovery.settings import SrvName, SrvSettings
from hazelbend.dns_discovery.tracked_names import TrackedName
from hazelbend.endpoints.merger import EndpointMerger, Tombstone
from hazelbend.endpoints.precedence import SrvReport, srv_report
from hazelbend.endpoints.priority_pool import PriorityPool
from hazelbend.endpoints.srv_claims import SrvClaim
from hazelbend.program.log import Sparing
from hazelbend.program.parts import CommandError, Ground, Part, Show, table
from hazelbend.routing.ports import Endpoint, EndpointList
from hazelbend.transport.dns.resolver_driver import ResolverDriver

log = logging.getLogger("hazelbend.names")

LOG_EVERY = 1_000_000  # microseconds between looks at what is unknown, and at what left long ago
LEAST_WEIGHT = 0.1  # an SRV weight of 0 is "a very small chance" (RFC 2782), not none


@dataclass(slots=True, frozen=True)
class NameRow:
    """What operators see of one SRV name."""

    name: str
    state: str  # a SrvReport, or "not asked yet"
    boxes: int
    open: int  # of those, the ones that are not spare
    level: int | None
    lifetime: float  # seconds left; under 0: it ended so long ago
    unknown_for: float  # seconds; 0: its last round of questions was answered
    error: str


class Sources(Part):
    def __init__(self, ground: Ground) -> None:
        self._ground, self._reader = ground, ground.conf.reader
        self.settings = settings = self._wanted()
        self._clock, self._router = ground.router.clock, ground.router
        self.merger = EndpointMerger(round(settings.ttl_bounds.tombstone_s * 1e6))
        self.resolver = Resolver(settings, ground.conf.name)
        self._names: dict[str, SrvName] = {canonical_name(each.name): each for each in settings.names}
        self._pools: dict[str, PriorityPool] = {}
        self._source = ResolverDriver(self.resolver, self._clock.now, self._names_changed)
        self._tiered: set[str] = set()  # names whose boxes have several priorities
        self._looking = self._closed = False
        self._told_at = 0
        self._look_timer: asyncio.TimerHandle | None = None
        self._save_timer: asyncio.TimerHandle | None = None
        self._saving: asyncio.Task[None] | None = None
        self._log = Sparing(log)
        self._was_unknown: set[str] = set()
        self.snapshot_error = ""

    # --- life ---

    def begin(self, known: EndpointList, handed_over: dict[str, Any]) -> EndpointList:
        """The list to begin with: as known, and what was last known of the names."""
        now, self._router.guest_watcher = self._clock.now(), self.hear_guest
        body = self._last_known(handed_over)
        if body is not None:
            gone = {
                each.host: Tombstone(each.removed_at, _box_key(each), each.dial) for each in body.tombstones
            }
            self.merger.restore(gone, body.started)
        self.merger.apply_list(EndpointList(known.entries, whole=True, seq=known.seq), now)
        self.resolver.track_only(self._names, now)
        if body is not None:
            snapshot.restore(self.resolver, body, now)
            names, self.resolver.names.changed = self.resolver.names.changed, set()
            for name in sorted(names):
                self._hear_boxes(name, now)
            self._look(now)
        for server in self._router.table.guests():
            self.merger.apply_connected(server.entry)
        return EndpointList(self.merger.entries(), whole=True, seq=known.seq)

    async def start(self) -> None:
        self._source.run_due()
        self._look_later()

    def _wanted(self) -> SrvSettings:
        assert self._ground.conf.srv is not None
        return self._ground.conf.srv

    def change(self) -> None:
        """SIGHUP: names come and go, bounds and budgets apply, what is known stays."""
        settings, reader = self._wanted(), self._ground.conf.reader
        if (settings, reader) == (self.settings, self._reader):
            return
        now, before = self._clock.now(), self.settings
        self.settings, self._reader = settings, reader
        self._names = {canonical_name(each.name): each for each in settings.names}
        self.merger.tombstone_us = round(settings.ttl_bounds.tombstone_s * 1e6)
        self.resolver.reconfigure(settings, now)
        self.resolver.track_only(self._names, now)
        self.resolver.names.changed |= self._names.keys()  # zone, kind or scale may be others
        if (settings.nameservers, settings.budgets.timeout_s) != (
            before.nameservers,
            before.budgets.timeout_s,
        ):
            self._source.reconnect()
        else:
            self._source.run_due()

    def stop(self) -> None:
        """From here on the list is what discovery says."""
        self._closed = True
        self._router.guest_watcher = lambda entry: None
        self._router.hear(EndpointList(self.merger.listed(), whole=True))

    async def close(self) -> None:
        self._closed = True
        for timer in (self._look_timer, self._save_timer):
            if timer is not None:
                timer.cancel()
        await self._source.close()
        if self._saving is not None:
            await asyncio.gather(self._saving, return_exceptions=True)
        if self.settings.snapshot is not None:
            self._write(Path(self.settings.snapshot.path), self._encoded())

    # --- what sources say ---

    def listed(self) -> EndpointList:
        return EndpointList(self.merger.listed(), whole=True)

    def hear(self, news: EndpointList) -> EndpointList:
        """The box list's news; what the table is to be told instead."""
        told = self.merger.apply_list(news, self._clock.now())
        self._follow_renames()
        self._save_later()
        self._look_soon()  # when the table has it
        return told

    def hear_guest(self, entry: Endpoint) -> None:
        self.merger.apply_connected(entry)

    def servers_changed(self) -> None:
        """A server takes work again, or none: a pool's last may have gone."""
        self._look_soon()

    def _names_changed(self, names: Iterable[str]) -> None:
        now = self._clock.now()
        for name in sorted(names):
            before = len(self.merger.priorities(name))
            self._tell(self._hear_boxes(name, now))
            if before != (boxes := len(self.merger.priorities(name))):
                self._log.info("%s: %d boxes (%d before)", name, boxes, before)
        self._look(now)
        self._save_later()

    def _hear_boxes(self, name: str, now: int) -> EndpointList:
        conf = self._names.get(name)
        if conf is None:
            self._pools.pop(name, None)
            self._tiered.discard(name)
            told = self.merger.apply_srv(name, {}, now)
            self.merger.open_priorities(name, None, now)
            return told
        zone, kind = self._reader.zone_and_kind(conf.zone, conf.kind)
        claims = {
            key: SrvClaim(
                rank, addresses, zone, kind, conf.cell, max(rank.weight, LEAST_WEIGHT) * conf.weight_scale
            )
            for key, (rank, addresses) in self.resolver.names.endpoints(name).items()
        }
        several = len({each.preference.priority for each in claims.values()}) > 1
        (self._tiered.add if several else self._tiered.discard)(name)
        pool, opened = self._pools.setdefault(name, PriorityPool()), EndpointList()
        if not several:
            # All open; and where further priorities come, they are spare from the start.
            level = next((each.preference.priority for each in claims.values()), None)
            pool.level = level
            opened = self.merger.open_priorities(name, level, now)
        elif pool.level is None:
            able = {each.preference.priority: True for each in claims.values()}
            opened = self.merger.open_priorities(name, pool.update(able, now, 0), now)
        told = self.merger.apply_srv(name, claims, now)
        return EndpointList(opened.entries + told.entries)

    def _tell(self, changes: EndpointList) -> None:
        self._follow_renames()
        if changes.entries:
            self._router.hear(changes)

    def _follow_renames(self) -> None:
        renamed, self.merger.renamed = self.merger.renamed, []
        for old, new in renamed:
            self._router.table.hold_back_as(old, new)

    # --- pools ---

    def _look(self, now: int) -> None:
        """Which priorities can take work, and so which boxes are open."""
        if not self._tiered:
            return
        avoided, servers = self._router.decider.avoided(now), self._router.table.by_host
        members = self.merger.view.members
        for name in sorted(self._tiered):
            able: dict[int, bool] = {}
            for host, priority in self.merger.priorities(name).items():
                member, server = members[host], servers(host)
                ready = member.spare or member.entry.state is WorkerState.READY
                held = server is not None and (server.held_back or server.id in avoided)
                able[priority] = able.get(priority, False) or (ready and not held)
            pool = self._pools[name]
            was = pool.level
            level = pool.update(able, now, round(self.settings.pools.failback_delay_s * 1e6))
            if level != was:
                self._log.info("%s: open up to priority %s (%s before)", name, level, was)
            self._tell(self.merger.open_priorities(name, level, now))

    def _look_soon(self) -> None:
        """Not from within the table, which may be telling of a change in the middle of a list."""
        if not self._looking and not self._closed:
            self._looking = True
            asyncio.get_running_loop().call_soon(self._look_now)

    def _look_now(self) -> None:
        self._looking = False
        if not self._closed:
            self._look(self._clock.now())

    def _look_later(self) -> None:
        """Health is the module's, which tells nobody: it is looked at."""
        now = self._clock.now()
        self._look(now)
        if now >= self._told_at + LOG_EVERY:
            self._told_at = now
            self._tell(self.merger.expire_tombstones(now))
            self._log_unknown()
        self._look_timer = asyncio.get_running_loop().call_later(
            self.settings.pools.check_interval_s, self._look_later
        )

    # --- snapshots ---

    def state(self) -> dict[str, Any]:
        """What the next process of an upgrade begins with."""
        return dict(msgspec.to_builtins(self._body()))

    def _body(self) -> snapshot.Snapshot:
        gone = [
            snapshot.TombstoneRecord(
                host, each.removed_at, each.dial, *((each.key.target, each.key.port) if each.key else ())
            )
            for host, each in self.merger.tombstones.items()
        ]
        return snapshot.capture(self.resolver, gone, self.merger.srv_start_times(), self._clock.now())

    def _encoded(self) -> bytes:
        return snapshot.encode(self._body())

    def _last_known(self, handed_over: dict[str, Any]) -> snapshot.Snapshot | None:
        try:
            if handed_over:
                return snapshot.from_object(handed_over)
            if self.settings.snapshot is not None:
                return snapshot.read_file(Path(self.settings.snapshot.path))
        except snapshot.SnapshotError as error:
            self.snapshot_error = str(error)
            log.warning("snapshot: %s; it is not used", error)
        return None

    def _save_later(self) -> None:
        if self.settings.snapshot is not None and self._save_timer is None:
            wait = self.settings.snapshot.interval_s
            self._save_timer = asyncio.get_running_loop().call_later(wait, self._save)

    def _save(self) -> None:
        self._save_timer = None
        if self.settings.snapshot is None:
            return
        if self._saving is not None and not self._saving.done():
            self._save_later()
            return
        path, data = Path(self.settings.snapshot.path), self._encoded()
        self._saving = asyncio.create_task(asyncio.to_thread(self._write, path, data))

    def _write(self, path: Path, data: bytes) -> None:
        try:
            snapshot.write_file(path, data)
        except OSError as error:
            if self.snapshot_error != str(error):
                log.warning("snapshot: cannot be written: %s", error)
            self.snapshot_error = str(error)
        else:
            self.snapshot_error = ""

    # --- what operators see ---

    def shows(self) -> dict[str, Show]:
        return {"sources": self._show_sources, "names": self._show_names}

    def _show_sources(self) -> str:
        members = self.merger.view.members.values()
        heard = "heard" if self._router.listed.is_set() else "as known"
        named = [each for each in members if each.is_srv_only]
        rows: list[tuple[object, ...]] = [
            ("SOURCE", "STATE", "BOXES"),
            ("box list", "failed" if self.merger.list_failed else heard, len(self.merger.listed())),
            ("SRV names", f"{len(self.resolver.names.roots)} followed", len(named)),
            ("stomp", "connected", sum(each.is_connected for each in members)),
            ("gone", "taken off by the box list", len(self.merger.tombstones)),
        ]
        more = f"version {self.merger.view.version} of the view"
        if self.snapshot_error:
            more += f"; snapshot: {self.snapshot_error}"
        servers: list[tuple[object, ...]] = [("NAMESERVER", "STATE", "ASKED", "FAILED", "LAST ERROR")]
        now = self._clock.now()
        for conf, each in zip(self.settings.nameservers, self.resolver.nameservers.health, strict=True):
            state = "rests" if each.is_backing_off(now) else "serves"
            servers.append((conf.address, state, each.queries, each.failures, each.last_error or "-"))
        return "\n".join([table(rows), "", table(servers), "", more])

    def _show_names(self, name: str = "") -> str:
        if name:
            return self._show_records(name)
        rows: list[tuple[object, ...]] = [
            ("NAME", "STATE", "BOXES", "OPEN", "PRIORITY", "LIFETIME", "UNKNOWN FOR", "LAST ERROR")
        ]
        for row in self.rows():
            level = "-" if row.level is None else f"to {row.level}"
            unknown = f"{row.unknown_for:.0f} s" if row.unknown_for else "-"
            kept = f"{row.lifetime:.0f} s"
            rows.append((row.name, row.state, row.boxes, row.open, level, kept, unknown, row.error or "-"))
        return table(rows)

    def _show_records(self, name: str) -> str:
        if name not in self.resolver.names.roots:
            raise CommandError(f"{name!r} is not followed; see: show names")
        head = ("TARGET", "PORT", "PRIORITY", "WEIGHT", "ADDRESSES", "BOX LIST SAYS")
        return table([head, *((key.target, key.port, *rest) for key, *rest in self.records(name))])

    def rows(self) -> list[NameRow]:
        now, members = self._clock.now(), self.merger.view.members
        rows = []
        for name, followed in sorted(self.resolver.names.roots.items()):
            hosts = self.merger.priorities(name)
            rows.append(
                NameRow(
                    name,
                    self._state(followed, now),
                    len(hosts),
                    sum(not members[host].spare for host in hosts),
                    self._pools[name].level if name in self._pools else None,
                    (self._good_until(followed) - now) / 1e6 if followed.fresh_until else 0.0,
                    (now - followed.failing_since) / 1e6 if followed.failing_since else 0.0,
                    followed.last_error,
                )
            )
        return rows

    def records(self, name: str) -> list[tuple[EndpointKey, int, int, str, str]]:
        """Of one name: target and port, priority, weight, addresses, and how it stands with the box list."""
        followed = self.resolver.names.roots[name]
        return [
            (
                key,
                rank.priority,
                rank.weight,
                " ".join(self.resolver.names.addresses(key.target)) or "-",
                self.merger.list_report(key).value,
            )
            for key, rank in sorted(followed.quorum.values.items())
        ]

    def counts(self) -> dict[str, int]:
        """Figures for the operators' door."""
        totals, states = self.resolver.counters, [row.state for row in self.rows()]
        members = self.merger.view.members.values()
        return {
            "names.followed": len(states),
            "names.unknown": states.count(SrvReport.UNKNOWN.value),
            "names.stale": states.count(SrvReport.STALE.value),
            "names.boxes": sum(each.is_srv_only for each in members),
            "names.spare": sum(each.spare for each in members),
            "names.queries": totals.queries,
            "names.retries": totals.retries,
            "names.answers": totals.answers,
            "names.failures": totals.failures,
        }

    def _state(self, followed: TrackedName, now: int) -> str:
        if not followed.fresh_until:
            return "not asked yet" if not followed.failing_since else SrvReport.UNKNOWN.value
        listed = bool(followed.quorum.accepted)
        return srv_report(
            listed=listed, failing=followed.failing_since > 0, ttl_over=followed.fresh_until <= now
        ).value

    def _good_until(self, followed: TrackedName) -> int:
        """The least of the name's own lifetime and those of its targets' addresses."""
        times = [followed.fresh_until]
        for key in followed.quorum.accepted:
            for kind in (RecordType.A, RecordType.AAAA):
                each = self.resolver.names.by_question.get(Question(key.target, kind))
                if each is not None and each.quorum.accepted:
                    times.append(each.fresh_until)
        return min(times)

    def _log_unknown(self) -> None:
        """A line when a name becomes unknown, and when it is answered again."""
        now_unknown = {name for name, each in self.resolver.names.roots.items() if each.failing_since}
        for name in sorted(now_unknown - self._was_unknown):
            self._log.warning("%s: unknown: %s", name, self.resolver.names.roots[name].last_error)
        for name in sorted(self._was_unknown - now_unknown):
            self._log.info("%s: answered again", name)
        self._was_unknown = now_unknown
        self._log.flush()


def _box_key(each: snapshot.TombstoneRecord) -> EndpointKey | None:
    return EndpointKey(each.target, each.port) if each.target else None
