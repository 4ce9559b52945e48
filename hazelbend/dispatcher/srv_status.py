"""What operators see of SRV names and of the sources of endpoints: console, figures and log.

The words on the console, such as "BOXES", and the names of the figures are an interface to operators.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hazelbend.dispatcher.extensions import CommandError
from hazelbend.dispatcher.log import RateLimitedLog
from hazelbend.dispatcher.srv_priorities import SrvPriorities
from hazelbend.dispatcher.text_table import format_table
from hazelbend.dns_discovery.answers import ADDRESS_TYPES, EndpointKey, Question
from hazelbend.dns_discovery.nameservers import NameserverHealth
from hazelbend.dns_discovery.resolver import Resolver
from hazelbend.dns_discovery.tracked_names import TrackedName
from hazelbend.endpoints.merger import EndpointMerger
from hazelbend.endpoints.precedence import SrvReport, srv_report

NOT_QUERIED = "not asked yet"


@dataclass(slots=True, frozen=True)
class SrvNameStatus:
    """One SRV name."""

    name: str
    state: str  # a value of SrvReport, or NOT_QUERIED
    endpoints: int
    open: int  # endpoints that are not spare
    level: int | None  # up to which priority it is open
    ttl_left_s: float  # negative: the TTL ended so long ago
    failing_for_s: float  # 0: its last round of queries was answered
    last_error: str


@dataclass(slots=True, frozen=True)
class SrvRecordStatus:
    """One record of an SRV name."""

    key: EndpointKey
    priority: int
    weight: int
    addresses: str
    list_report: str  # a value of ListReport


class SrvStatus:
    """Status of the resolver and of the merged endpoints. `now` gives the time in microseconds."""

    def __init__(
        self, resolver: Resolver, merger: EndpointMerger, priorities: SrvPriorities, now: Callable[[], int]
    ) -> None:
        self._resolver = resolver
        self._merger = merger
        self._priorities = priorities
        self._now = now

    def names(self) -> list[SrvNameStatus]:
        """All SRV names, by name."""
        now = self._now()
        return [self._name_status(name, now) for name in sorted(self._resolver.names.by_srv_name)]

    def records(self, name: str) -> list[SrvRecordStatus]:
        """The accepted records of an SRV name, by target and port."""
        records = sorted(self._resolver.names.by_srv_name[name].quorum.values.items())
        return [
            SrvRecordStatus(
                key,
                preference.priority,
                preference.weight,
                " ".join(self._resolver.names.addresses(key.target)) or "-",
                self._merger.list_report(key).value,
            )
            for key, preference in records
        ]

    def counts(self) -> dict[str, int]:
        """Figures for the administrators' interface."""
        counters = self._resolver.counters
        states = [status.state for status in self.names()]
        members = self._merger.view.members.values()
        return {
            "names.followed": len(states),
            "names.unknown": states.count(SrvReport.UNKNOWN.value),
            "names.stale": states.count(SrvReport.STALE.value),
            "names.boxes": sum(member.is_srv_only for member in members),
            "names.spare": sum(member.spare for member in members),
            "names.queries": counters.queries,
            "names.retries": counters.retries,
            "names.answers": counters.answers,
            "names.failures": counters.failures,
        }

    # --- console ---

    def show_sources(self, *, list_received: bool, snapshot_error: str) -> str:
        """Text of `show sources`."""
        view = self._merger.view
        members = view.members.values()
        received = "heard" if list_received else "as known"
        list_state = "failed" if self._merger.list_failed else received
        srv_state = f"{len(self._resolver.names.by_srv_name)} followed"
        sources: list[tuple[object, ...]] = [
            ("SOURCE", "STATE", "BOXES"),
            ("box list", list_state, len(self._merger.listed())),
            ("SRV names", srv_state, sum(member.is_srv_only for member in members)),
            ("stomp", "connected", sum(member.is_connected for member in members)),
            ("gone", "taken off by the box list", len(self._merger.tombstones)),
        ]
        footer = f"version {view.version} of the view"
        if snapshot_error:
            footer += f"; snapshot: {snapshot_error}"
        return "\n".join([format_table(sources), "", self._nameserver_table(), "", footer])

    def show_names(self, name: str = "") -> str:
        """Text of `show names`, or of `show names NAME`.

        Raises:
            CommandError: the name is not tracked.
        """
        return self._record_table(name) if name else self._name_table()

    def _nameserver_table(self) -> str:
        now = self._now()
        rows: list[tuple[object, ...]] = [("NAMESERVER", "STATE", "ASKED", "FAILED", "LAST ERROR")]
        nameservers = self._resolver.settings.nameservers
        for nameserver, health in zip(nameservers, self._resolver.nameservers.health, strict=True):
            rows.append((nameserver.address, *_health_columns(health, now)))
        return format_table(rows)

    def _name_table(self) -> str:
        rows: list[tuple[object, ...]] = [
            ("NAME", "STATE", "BOXES", "OPEN", "PRIORITY", "LIFETIME", "UNKNOWN FOR", "LAST ERROR")
        ]
        for status in self.names():
            level = "-" if status.level is None else f"to {status.level}"
            ttl = f"{status.ttl_left_s:.0f} s"
            failing = f"{status.failing_for_s:.0f} s" if status.failing_for_s else "-"
            error = status.last_error or "-"
            counts = (status.endpoints, status.open)
            rows.append((status.name, status.state, *counts, level, ttl, failing, error))
        return format_table(rows)

    def _record_table(self, name: str) -> str:
        if name not in self._resolver.names.by_srv_name:
            raise CommandError(f"{name!r} is not followed; see: show names")
        rows: list[tuple[object, ...]] = [
            ("TARGET", "PORT", "PRIORITY", "WEIGHT", "ADDRESSES", "BOX LIST SAYS")
        ]
        for record in self.records(name):
            preference = (record.priority, record.weight)
            rows.append(
                (record.key.target, record.key.port, *preference, record.addresses, record.list_report)
            )
        return format_table(rows)

    # --- one name ---

    def _name_status(self, name: str, now: int) -> SrvNameStatus:
        tracked = self._resolver.names.by_srv_name[name]
        members = self._merger.view.members
        hosts = self._merger.priorities(name)
        failing_since = tracked.failing_since
        return SrvNameStatus(
            name,
            _state(tracked, now),
            len(hosts),
            sum(not members[host].spare for host in hosts),
            self._priorities.level(name),
            (self._ttl_expires_at(tracked) - now) / 1e6 if tracked.ttl_expires_at else 0.0,
            (now - failing_since) / 1e6 if failing_since else 0.0,
            tracked.last_error,
        )

    def _ttl_expires_at(self, tracked: TrackedName) -> int:
        """The first end of the TTLs of the name and of its targets' addresses."""
        times = [tracked.ttl_expires_at]
        for key in tracked.quorum.accepted:
            for record_type in ADDRESS_TYPES:
                address = self._resolver.names.by_question.get(Question(key.target, record_type))
                if address is not None and address.quorum.accepted:
                    times.append(address.ttl_expires_at)
        return min(times)


class FailingNamesLog:
    """Logs once when the queries for an SRV name begin to fail, and when they are answered again."""

    def __init__(self, resolver: Resolver, log: RateLimitedLog) -> None:
        self._resolver = resolver
        self._log = log
        self._failing: set[str] = set()

    def update(self) -> None:
        """Log what has changed since the last call."""
        by_srv_name = self._resolver.names.by_srv_name
        failing = {name for name, tracked in by_srv_name.items() if tracked.failing_since}
        for name in sorted(failing - self._failing):
            self._log.warning("%s: unknown: %s", name, by_srv_name[name].last_error)
        for name in sorted(self._failing - failing):
            self._log.info("%s: answered again", name)
        self._failing = failing
        self._log.flush()


def _health_columns(health: NameserverHealth, now: int) -> tuple[object, ...]:
    state = "rests" if health.is_backing_off(now) else "serves"
    return state, health.queries, health.failures, health.last_error or "-"


def _state(tracked: TrackedName, now: int) -> str:
    if not tracked.ttl_expires_at:
        return SrvReport.UNKNOWN.value if tracked.failing_since else NOT_QUERIED
    return srv_report(
        listed=bool(tracked.quorum.accepted),
        failing=tracked.failing_since > 0,
        ttl_expired=tracked.ttl_expires_at <= now,
    ).value
