"""Merges the endpoint list, SRV names and endpoints that connected over STOMP into one view of all endpoints.

Identity. The endpoint list names an endpoint by its host name, SRV by a target and a port. Both name the same
endpoint if the host name equals the target (apart from case and a final dot) and the ports are equal, or if
the address and port in the list are among those of the target. The endpoint's host in the view is the host
name in the list if the list has the endpoint, otherwise `target:port`. That depends only on the present
reports, so all dispatchers use the same host. If the host of an endpoint changes from one form to the other,
the rest of the program sees one endpoint leave and another one join. `renamed` reports such changes, so that
a manual drain can be carried over.

Conflicts within the endpoint list. A key or an address belongs to the endpoint that is listed with it now,
even if another endpoint with the same key or address was removed in the same report or in an earlier one. Of
two rows for one host the last one counts; apart from that the order of rows has no meaning.

Start times. An endpoint that only SRV lists counts as just started when it appears, when it returns, and when
its address changes, because a new address means another process. If SRV lists several addresses, the endpoint
keeps its present one as long as that is listed.

Cost. Each method takes the report of one source and returns the changes to the view, in time proportional to
the endpoints in the report, not to all endpoints (a complete list reports all endpoints).

Invariants after each method, which tests/endpoints/test_endpoints.py checks:
    1. An endpoint that the list drains or has removed is not ready, whatever SRV reports.
    2. The serving endpoints of the list are in the view as the list reports them.
    3. Any other endpoint is in the view if, and only if, an SRV name lists it. No endpoint is in it twice.
    4. Applied one after another, the returned changes give the view.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from immutables import Map, MapMutation

from hazelbend.decisions.interface import WorkerState
from hazelbend.dns_discovery.answers import EndpointKey, canonical_name
from hazelbend.endpoints.host_index import HostIndex
from hazelbend.endpoints.precedence import ListReport, PrecedenceResult, SrvReport, apply_precedence
from hazelbend.endpoints.srv_claims import SrvClaim, SrvClaims
from hazelbend.endpoints.view import LIST_SOURCE, STOMP_SOURCE, EndpointView, MergedEndpoint
from hazelbend.routing.ports import Endpoint, EndpointList

ALL_OPEN = 65_536  # above every SRV priority
NONE_OPEN = -1  # below every SRV priority


@dataclass(slots=True, frozen=True)
class Tombstone:
    """An endpoint that the endpoint list removed."""

    removed_at: int  # microseconds
    key: EndpointKey | None
    dial: str


class EndpointMerger:
    """Holds the reports of all sources and the view that results from them. Times are microseconds."""

    def __init__(self, tombstone_us: int) -> None:
        self.tombstone_us = tombstone_us  # how long a removal is remembered
        self.view = EndpointView()
        self.list_failed = False
        self.tombstones: dict[str, Tombstone] = {}  # by host
        self.renamed: list[tuple[str, str]] = []  # old and new host; the caller reads and clears it
        self._listed: dict[str, Endpoint] = {}  # by host
        self._listed_index = HostIndex()
        self._tombstone_index = HostIndex()
        self._claims = SrvClaims()
        self._open_priorities: dict[str, int] = {}  # by SRV name: the highest priority number that is open
        self._restored_start_times: dict[str, int] = {}

    # --- reports of sources ---

    def apply_list(self, update: EndpointList, now: int) -> EndpointList:
        """Apply an update of the endpoint list. Returns the update to pass to the router."""
        self.list_failed = update.failed
        if update.failed:
            return update
        before = self.view.members
        rows = {entry.host: entry for entry in update.entries}
        removed = {host for host, entry in rows.items() if entry.state is WorkerState.GONE}
        if update.is_complete:
            removed |= self._listed.keys() - rows.keys()
        # Only the changed entries are processed, because most of a complete list is known already.
        changed = [
            entry for host, entry in rows.items() if host not in removed and self._listed.get(host) != entry
        ]
        hosts = removed | {entry.host for entry in changed}
        keys: set[EndpointKey] = set()
        gone = [self._listed[host] for host in removed if host in self._listed]
        for entry in gone:
            del self._listed[entry.host]
            keys |= self._unindex(entry)
        for entry in changed:
            keys |= self._set_listed(entry)
        # This comes last because an endpoint that is listed now may have the address of a removed one.
        for entry in gone:
            self._add_tombstone(entry.host, Tombstone(now, _srv_key(entry), entry.dial))
        self._recompute(hosts, keys, now)
        if update.is_complete:
            return EndpointList(self.entries(), is_complete=True, seq=update.seq)
        return EndpointList(self._changes(before, hosts, keys), seq=update.seq)

    def apply_srv(self, name: str, claims: Mapping[EndpointKey, SrvClaim], now: int) -> EndpointList:
        """Set the endpoints that an SRV name lists. Returns the changes to the view."""
        before = self.view.members
        keys = self._claims.changed_keys(name, claims)
        hosts = {host for host in map(self._listed_host, keys) if host is not None}
        self._claims.replace(name, claims, keys)
        self._recompute(hosts, keys, now)
        return EndpointList(self._changes(before, hosts, keys))

    def apply_connected(self, entry: Endpoint) -> None:
        """Add an endpoint that connected over STOMP, or remove it if its entry is `GONE`.

        No other source reports on such an endpoint.
        """
        members = self.view.members
        if entry.state is not WorkerState.GONE:
            members = members.set(entry.host, MergedEndpoint(entry, (STOMP_SOURCE,)))
        elif entry.host in members:
            members = members.delete(entry.host)
        self._publish(members)

    def open_priorities(self, name: str, highest: int | None, now: int) -> EndpointList:
        """Open the SRV name's endpoints up to this priority number; the others become spare.

        None opens all endpoints, for a name whose endpoints do not differ in priority. Returns the changes to
        the view.
        """
        previous = self._open_priorities.get(name)
        if previous == highest:
            return EndpointList()
        before = self.view.members
        if highest is None:
            self._open_priorities.pop(name, None)
        else:
            self._open_priorities[name] = highest
        low, high = sorted(NONE_OPEN if level is None else level for level in (previous, highest))
        keys = {
            key
            for key, claim in self._claims.claims_of_name(name).items()
            if low < claim.preference.priority <= high or previous is None or highest is None
        }
        self._recompute((), keys, now)
        return EndpointList(self._changes(before, (), keys))

    def expire_tombstones(self, now: int) -> EndpointList:
        """Drop expired tombstones, so that SRV may list the endpoints again. Returns the changes to the view.

        While calls for the endpoint list fail no tombstone is dropped, because the list could not remove the
        endpoint again.
        """
        if self.list_failed:
            return EndpointList()
        before = self.view.members
        keys: set[EndpointKey] = set()
        for host, tombstone in list(self.tombstones.items()):
            if tombstone.removed_at + self.tombstone_us <= now:
                affected = self._remove_tombstone(host)
                self.renamed.extend((host, str(key)) for key in affected)
                keys |= affected
        self._recompute((), keys, now)
        return EndpointList(self._changes(before, (), keys))

    def restore(self, tombstones: Mapping[str, Tombstone], start_times: Mapping[str, int]) -> None:
        """Restore tombstones, and the start times of endpoints that only SRV lists, from a snapshot."""
        for host, tombstone in tombstones.items():
            known = self.tombstones.get(host)
            if host not in self._listed and (known is None or known.removed_at < tombstone.removed_at):
                self._add_tombstone(host, tombstone)
        self._restored_start_times.update(start_times)

    # --- queries ---

    def entries(self) -> tuple[Endpoint, ...]:
        """Return all endpoints except those that connected over STOMP.

        The router knows the latter from their connections.
        """
        return tuple(member.entry for member in self.view.members.values() if not member.is_connected)

    def listed(self) -> tuple[Endpoint, ...]:
        """Return the entries of the endpoint list as last reported."""
        return tuple(self._listed.values())

    def srv_start_times(self) -> dict[str, int]:
        """Return the start times of the endpoints that only SRV lists, by host."""
        return {
            host: member.entry.started_at for host, member in self.view.members.items() if member.is_srv_only
        }

    def list_report(self, key: EndpointKey) -> ListReport:
        """Return what the endpoint list reports about an SRV endpoint."""
        host = self._listed_host(key)
        if host is not None:
            ready = self._listed[host].state is WorkerState.READY
            return ListReport.SERVING if ready else ListReport.DRAINING
        removed = self._tombstone_index.find(key, self._claims.dial_addresses(key)) is not None
        return ListReport.REMOVED if removed else ListReport.NEVER_LISTED

    def host_of(self, key: EndpointKey) -> str | None:
        """Return the host of an SRV endpoint in the view; None if it is not in the view."""
        host = self._listed_host(key) or str(key)
        return host if host in self.view.members else None

    def priorities(self, name: str) -> dict[str, int]:
        """Return the hosts of an SRV name that are in the view, with their priorities.

        If several targets are on one host, the lowest number counts, which clients prefer (RFC 2782).
        """
        found: dict[str, int] = {}
        for key, claim in self._claims.claims_of_name(name).items():
            if (host := self.host_of(key)) is not None:
                priority = claim.preference.priority
                found[host] = min(found.get(host, priority), priority)
        return found

    # --- the endpoint list. Methods that return a set return the SRV endpoints that may be affected ---

    def _set_listed(self, entry: Endpoint) -> set[EndpointKey]:
        key = _srv_key(entry)
        old = self._listed.get(entry.host)
        self._listed[entry.host] = entry
        if old is not None and old.dial == entry.dial:
            return self._claims.matching_keys(key, entry.dial)
        affected = self._unindex(old) if old is not None else set()
        self._listed_index.add(entry.host, key, entry.dial)
        if entry.host in self.tombstones:
            affected |= self._remove_tombstone(entry.host)
        # A removed endpoint may have had this key or address, which now belongs to the listed one.
        for host in self._tombstone_index.hosts(key, entry.dial):
            affected |= self._remove_tombstone(host)
        return affected | self._claims.matching_keys(key, entry.dial)

    def _unindex(self, entry: Endpoint) -> set[EndpointKey]:
        key = _srv_key(entry)
        self._listed_index.remove(entry.host, key, entry.dial)
        return self._claims.matching_keys(key, entry.dial)

    def _add_tombstone(self, host: str, tombstone: Tombstone) -> None:
        """Add a tombstone, unless a listed endpoint has its key or its address."""
        if self._listed_index.hosts(tombstone.key, tombstone.dial):
            return
        if host in self.tombstones:
            self._remove_tombstone(host)
        self.tombstones[host] = tombstone
        self._tombstone_index.add(host, tombstone.key, tombstone.dial)

    def _remove_tombstone(self, host: str) -> set[EndpointKey]:
        tombstone = self.tombstones.pop(host)
        self._tombstone_index.remove(host, tombstone.key, tombstone.dial)
        return self._claims.matching_keys(tombstone.key, tombstone.dial)

    def _listed_host(self, key: EndpointKey) -> str | None:
        return self._listed_index.find(key, self._claims.dial_addresses(key))

    # --- the view ---

    def _recompute(self, hosts: Iterable[str], keys: Iterable[EndpointKey], now: int) -> None:
        """Update these hosts of the list and these SRV endpoints in the view."""
        listed_hosts = {host for host in map(self._listed_host, keys) if host is not None}
        members = self.view.members
        with members.mutate() as mutation:
            for host in listed_hosts.union(hosts):
                self._recompute_listed(mutation, host)
            for key in keys:
                self._recompute_srv(mutation, key, members.get(str(key)), now)
            members = mutation.finish()
        self._publish(members)

    def _recompute_listed(self, mutation: MapMutation[str, MergedEndpoint], host: str) -> None:
        entry = self._listed.get(host)
        if entry is not None:
            key = _srv_key(entry)
            names: set[str] = set()
            for claimed in self._claims.matching_keys(key, entry.dial):
                names.update(self._claims.claims_of_endpoint(claimed))
            mutation[host] = MergedEndpoint(entry, (LIST_SOURCE, *sorted(names)), key)
        elif host in mutation and LIST_SOURCE in mutation[host].sources:
            del mutation[host]

    def _recompute_srv(
        self,
        mutation: MapMutation[str, MergedEndpoint],
        key: EndpointKey,
        before: MergedEndpoint | None,
        now: int,
    ) -> None:
        host = str(key)
        listed_host = self._listed_host(key)
        if listed_host not in (None, host) and before is not None and LIST_SOURCE not in before.sources:
            self.renamed.append((host, str(listed_host)))
        by_srv = SrvReport.LISTED if key in self._claims else SrvReport.NOT_LISTED
        if apply_precedence(self.list_report(key), by_srv) is PrecedenceResult.BY_SRV:
            mutation[host] = self._srv_member(key, before, now)
        elif host in mutation and LIST_SOURCE not in mutation[host].sources:
            del mutation[host]

    def _srv_member(self, key: EndpointKey, before: MergedEndpoint | None, now: int) -> MergedEndpoint:
        """Return the member for an endpoint that only SRV lists.

        If several SRV names list it, the first one by name sets its zone, kind and weight.
        """
        claims = self._claims.claims_of_endpoint(key)
        names = tuple(sorted(claims))
        claim = claims[names[0]]
        host = str(key)
        dial_addresses = claim.dial_addresses(key.port)
        dial = dial_addresses[0]
        started_at = self._restored_start_times.pop(host, now)
        if before is not None and before.key == key and LIST_SOURCE not in before.sources:
            if before.entry.dial in dial_addresses:
                dial = before.entry.dial
                started_at = before.entry.started_at
            else:
                started_at = now
        spare = all(self._is_spare(name, claims[name]) for name in names)
        state = WorkerState.DRAINING if spare else WorkerState.READY
        entry = Endpoint(host, dial, claim.zone, claim.kind, claim.cell, state, claim.weight, started_at)
        return MergedEndpoint(entry, names, key, spare)

    def _is_spare(self, name: str, claim: SrvClaim) -> bool:
        return claim.preference.priority > self._open_priorities.get(name, ALL_OPEN)

    def _changes(
        self, before: Map[str, MergedEndpoint], hosts: Iterable[str], keys: Iterable[EndpointKey]
    ) -> tuple[Endpoint, ...]:
        """Return the changes to these endpoints as list entries: first the removed, then the changed ones."""
        removed = []
        changed = []
        for host in dict.fromkeys(hosts) | dict.fromkeys(map(str, keys)):
            old = before.get(host)
            new = self.view.members.get(host)
            if new is not None:
                if old is None or old.entry != new.entry:
                    changed.append(new.entry)
            elif old is not None:
                removed.append(replace(old.entry, state=WorkerState.GONE))
        return (*removed, *changed)

    def _publish(self, members: Map[str, MergedEndpoint]) -> None:
        if members is not self.view.members:
            self.view = EndpointView(self.view.version + 1, members)


def _srv_key(entry: Endpoint) -> EndpointKey | None:
    """Return the key by which SRV would list this endpoint; None if its host and address do not give one."""
    _, _, port = entry.dial.rpartition(":")
    if not port.isdecimal():
        return None
    try:
        return EndpointKey(canonical_name(entry.host.removesuffix(f":{port}")), int(port))
    except ValueError:
        return None
