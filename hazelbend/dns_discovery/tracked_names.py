"""The names that are tracked: their state, when each is refreshed, and when its records become too old.

Tracked are the SRV names of the settings, and the addresses of the targets that they list. A question is
tracked once, however many SRV names need it. No I/O; the caller gives the time, in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from hazelbend.dns_discovery.answers import (
    ADDRESS_TYPES,
    EndpointKey,
    PositiveAnswer,
    Question,
    RecordType,
    SrvPreference,
    canonical_name,
)
from hazelbend.dns_discovery.quorum import AnswerQuorum
from hazelbend.dns_discovery.settings import SrvSettings
from hazelbend.dns_discovery.stable_hash import stable_fraction
from hazelbend.dns_discovery.target_index import TargetIndex

NOT_SCHEDULED = -1
UNTRACKED = -1  # as a sequence number: its entries in the schedule are void
DEFAULT_MAX_TARGETS = 1_000


@dataclass(slots=True, frozen=True)
class AdditionalAnswer:
    """Addresses that came in the additional section of an answer."""

    question: Question
    server: int
    answer: PositiveAnswer
    received_at: int


@dataclass(slots=True, eq=False)
class TrackedName:
    """State of one question. Its round: the queries from its refresh until it is scheduled again."""

    question: Question
    quorum: AnswerQuorum[Any, Any]
    active: bool = True  # False: it is no longer tracked
    next_refresh_at: int = (
        NOT_SCHEDULED  # of its refresh; NOT_SCHEDULED: it waits for a query or has one in flight
    )
    scheduled_at: int = 0  # when its current round was to begin
    schedule_sequence: int = 0  # of its valid entry in the schedule
    expiry_scheduled: bool = False
    ttl_us: int = 0  # of the last answer, within the bounds of the settings
    ttl_expires_at: int = 0  # end of the TTL of the last answer; 0: it was never answered
    failing_since: int = 0  # 0: its last round gave an answer
    failed_rounds: int = 0  # in a row
    last_error: str = ""

    # Of its current round:
    queried: set[int] = field(default_factory=set)  # nameservers
    answered: bool = False
    confirming: bool = False  # other nameservers are queried because the votes are in dispute
    attempts: int = 0
    cname_chain: tuple[str, ...] = ()
    additional: list[AdditionalAnswer] = field(default_factory=list)

    @property
    def in_round(self) -> bool:
        """Whether it waits for a query, or has one in flight."""
        return self.next_refresh_at < 0

    def begin_round(self) -> None:
        """Its refresh is due."""
        self.scheduled_at = self.next_refresh_at
        self.next_refresh_at = NOT_SCHEDULED
        self.queried = set()
        self.answered = False
        self.confirming = False
        self.attempts = 0
        self.cname_chain = ()


class TrackedNames:
    """All tracked questions of a dispatcher."""

    def __init__(self, settings: SrvSettings, dispatcher: str) -> None:
        self.by_question: dict[Question, TrackedName] = {}
        self.by_srv_name: dict[str, TrackedName] = {}  # the SRV names
        self.changed: set[str] = set()  # SRV names whose endpoints may have changed; the reader clears it
        self._dispatcher = dispatcher
        self._targets = TargetIndex()
        # Their addresses are queried unless the additional section of the current round has brought one.
        self._new_targets: set[str] = set()
        self._refreshes: list[tuple[int, int, TrackedName]] = []  # a heap by time
        self._expiries: list[tuple[int, int, TrackedName]] = []  # a heap by time
        self._sequence = 0
        self.apply(settings)

    def apply(self, settings: SrvSettings) -> None:
        """Use new settings from now on. The tracked names stay."""
        self._max_targets = {canonical_name(name.name): name.max_targets for name in settings.names}
        self._server_count = len(settings.nameservers)
        self._start_spread_us = settings.budgets.start_spread_s * 1e6
        self._stale_us = round(settings.ttl_bounds.stale_s * 1e6)

    # --- what is tracked ---

    def track_only(self, names: Iterable[str], now: int) -> None:
        """Track these SRV names (canonical) and no others. First queries are spread over `start_spread_s`."""
        wanted = set(names)
        for name in [name for name in self.by_srv_name if name not in wanted]:
            self._untrack_root(name)
        for name in sorted(wanted - self.by_srv_name.keys()):
            self.by_srv_name[name] = self._track(Question(name, RecordType.SRV), now)
            self._targets.add_name(name)

    def address_question(self, question: Question, now: int) -> TrackedName | None:
        """The question for an address of a target; None if no SRV name lists the target."""
        if question.name not in self._targets:
            return None
        return self.by_question.get(question) or self._track(question, now)

    def track_new_targets(self, now: int) -> None:
        """Query both address types of the new targets for which the additional section brought no address."""
        targets, self._new_targets = self._new_targets, set()
        for target in targets:
            if target in self._targets and not self.addresses(target):
                for record_type in ADDRESS_TYPES:
                    self._track(Question(target, record_type), now)

    def restore(self, question: Question, records: Mapping[Any, tuple[Any, int]], now: int) -> None:
        """Accept the records of a snapshot, as (value, expires_at). They are refreshed at once."""
        tracked = self.by_question.get(question)
        if tracked is None and question.record_type in ADDRESS_TYPES:
            tracked = self.address_question(question, now)
        if tracked is None or tracked.quorum.accepted:
            return
        tracked.quorum.restore(records)
        tracked.quorum.drop_stale(now, self._stale_us)
        self.schedule_expiry(tracked)
        tracked.ttl_expires_at = max((expires_at for _, expires_at in records.values()), default=0)
        self.mark_changed(tracked)
        self.track_new_targets(now)

    def change_nameservers(self, now: int) -> None:
        """The votes are of nameservers that are no longer configured: refresh all names soon."""
        for tracked in self.by_question.values():
            tracked.quorum.server_count = self._server_count
            tracked.quorum.votes.clear()
            refresh_at = now + self._start_delay(tracked.question)
            self.schedule(
                tracked, refresh_at if tracked.in_round else min(tracked.next_refresh_at, refresh_at)
            )

    # --- what the records say ---

    def endpoints(self, name: str) -> dict[EndpointKey, tuple[SrvPreference, tuple[str, ...]]]:
        """The endpoints of an SRV name, with their addresses. Those without an address are left out."""
        records = self.by_srv_name[name].quorum.values if name in self.by_srv_name else {}
        found = {}
        for key, preference in records.items():
            if addresses := self.addresses(key.target):
                found[key] = preference, addresses
        max_targets = self._max_targets.get(name, DEFAULT_MAX_TARGETS)
        if len(found) > max_targets:
            # All dispatchers choose the same: by priority, then by a stable hash.
            order = sorted(found, key=lambda key: (found[key][0].priority, stable_fraction(key)))
            found = {key: found[key] for key in order[:max_targets]}
        return found

    def addresses(self, target: str) -> tuple[str, ...]:
        """IPv4 addresses, then IPv6 addresses, each in order."""
        names = (self.by_question.get(Question(target, record_type)) for record_type in ADDRESS_TYPES)
        return tuple(
            address for tracked in names if tracked is not None for address in sorted(tracked.quorum.accepted)
        )

    def mark_changed(self, tracked: TrackedName) -> None:
        """The accepted records of a question have changed."""
        question = tracked.question
        if question.record_type is RecordType.SRV:
            self.changed.add(question.name)
            self._update_targets(question.name)
        else:
            self.changed |= self._targets.names_listing(question.name)
            self._new_targets.add(question.name)

    # --- the schedule ---

    def schedule(self, tracked: TrackedName, at: int) -> None:
        """Refresh the name at this time. An earlier entry becomes void."""
        self._sequence += 1
        tracked.next_refresh_at = at
        tracked.schedule_sequence = self._sequence
        heappush(self._refreshes, (at, self._sequence, tracked))

    def pop_due(self, now: int) -> Iterator[TrackedName]:
        """The names whose refresh is due; each is in its round then."""
        while self._refreshes and self._refreshes[0][0] <= now:
            _, sequence, tracked = heappop(self._refreshes)
            if sequence != tracked.schedule_sequence or tracked.in_round:
                continue
            tracked.begin_round()
            yield tracked

    def schedule_expiry(self, tracked: TrackedName) -> None:
        """Have `drop_stale` check the name when its first record may be too old, whatever its queries do."""
        if tracked.quorum.accepted and not tracked.expiry_scheduled:
            tracked.expiry_scheduled = True
            self._sequence += 1
            first = min(record.expires_at for record in tracked.quorum.accepted.values())
            heappush(self._expiries, (first + self._stale_us, self._sequence, tracked))

    def drop_stale(self, now: int) -> None:
        """Drop the records that were not renewed within the stale bound."""
        while self._expiries and self._expiries[0][0] <= now:
            _, _, tracked = heappop(self._expiries)
            tracked.expiry_scheduled = False
            if tracked.active:
                if tracked.quorum.drop_stale(now, self._stale_us):
                    self.mark_changed(tracked)
                self.schedule_expiry(tracked)
        self.track_new_targets(now)

    def event_times(self) -> list[int]:
        """When the next refresh is due, and the next look for stale records, where there are any."""
        return [heap[0][0] for heap in (self._refreshes, self._expiries) if heap]

    # --- steps ---

    def _track(self, question: Question, now: int) -> TrackedName:
        tracked = self.by_question.get(question)
        if tracked is None:
            # Most hosts have no IPv6 address, so one empty answer about it is enough.
            confirm_empty = question.record_type is not RecordType.AAAA
            tracked = TrackedName(question, AnswerQuorum(self._server_count, confirm_empty=confirm_empty))
            self.by_question[question] = tracked
            delay = self._start_delay(question) if question.record_type is RecordType.SRV else 0
            self.schedule(tracked, now + delay)
        return tracked

    def _start_delay(self, question: Question) -> int:
        return round(self._start_spread_us * stable_fraction(self._dispatcher, question, "start"))

    def _update_targets(self, name: str) -> None:
        """Track the addresses of the targets that are listed, and of no others."""
        listed = {key.target for key in self.by_srv_name[name].quorum.accepted}
        added, orphaned = self._targets.replace(name, listed)
        self._new_targets |= added
        self._untrack_addresses(orphaned)

    def _untrack_root(self, name: str) -> None:
        self._untrack_addresses(self._targets.remove_name(name))
        del self.by_srv_name[name]
        self._untrack(Question(name, RecordType.SRV))
        self.changed.add(name)

    def _untrack_addresses(self, targets: Iterable[str]) -> None:
        for target in targets:
            for record_type in ADDRESS_TYPES:
                self._untrack(Question(target, record_type))

    def _untrack(self, question: Question) -> None:
        if (tracked := self.by_question.pop(question, None)) is not None:
            tracked.active = False
            tracked.schedule_sequence = UNTRACKED
