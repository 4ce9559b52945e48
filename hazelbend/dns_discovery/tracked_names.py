"""The tracked names: their state, when each is refreshed, and when its records become too old.

The SRV names in the settings are tracked, and the addresses of the targets that they list. A question is
tracked once, no matter how many SRV names need it. No I/O; the caller passes the time, in microseconds.
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
UNTRACKED = -1  # as a sequence number: all entries in the schedule are void
DEFAULT_MAX_TARGETS = 1_000


@dataclass(slots=True, frozen=True)
class AdditionalAnswer:
    """Addresses of one target from the additional section of an answer."""

    question: Question
    server: int
    answer: PositiveAnswer
    received_at: int


@dataclass(slots=True, eq=False)
class TrackedName:
    """The state of one question. A round is the queries from a refresh until the next one is scheduled."""

    question: Question
    quorum: AnswerQuorum[Any, Any]
    active: bool = True  # False: it is no longer tracked
    next_refresh_at: int = NOT_SCHEDULED  # NOT_SCHEDULED: it is in a round
    scheduled_at: int = 0  # the scheduled start of its current round
    schedule_sequence: int = 0  # sequence number of its valid entry in the schedule
    expiry_scheduled: bool = False
    ttl_us: int = 0  # of the last answer, within the bounds of the settings
    ttl_expires_at: int = 0  # end of the TTL of the last answer; 0: it was never answered
    failing_since: int = 0  # 0: its last round gave an answer
    failed_rounds: int = 0  # in a row
    last_error: str = ""

    # State of the current round:
    queried: set[int] = field(default_factory=set)  # indexes of nameservers
    answered: bool = False
    confirming: bool = False  # further nameservers are queried because the votes are in dispute
    attempts: int = 0
    cname_chain: tuple[str, ...] = ()
    additional: list[AdditionalAnswer] = field(default_factory=list)

    @property
    def in_round(self) -> bool:
        """Whether it waits for a query, or has one in flight."""
        return self.next_refresh_at < 0

    def begin_round(self) -> None:
        """Start a round, because its refresh is due."""
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
        self.by_srv_name: dict[str, TrackedName] = {}
        # SRV names whose endpoints may have changed. The caller reads and clears the set.
        self.changed: set[str] = set()
        self._dispatcher = dispatcher
        self._targets = TargetIndex()
        # Targets whose addresses are queried after the current round, unless its additional section has one.
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

    # --- which names are tracked ---

    def track_only(self, names: Iterable[str], now: int) -> None:
        """Track these SRV names (canonical) and no others. First queries are spread over `start_spread_s`."""
        wanted = set(names)
        for name in [name for name in self.by_srv_name if name not in wanted]:
            self._untrack_srv_name(name)
        for name in sorted(wanted - self.by_srv_name.keys()):
            self.by_srv_name[name] = self._track(Question(name, RecordType.SRV), now)
            self._targets.add_name(name)

    def address_question(self, question: Question, now: int) -> TrackedName | None:
        """Return the tracked address question of a target; None if no SRV name lists the target."""
        if question.name not in self._targets:
            return None
        return self.by_question.get(question) or self._track(question, now)

    def track_new_targets(self, now: int) -> None:
        """Track both address types of the new targets that still have no address.

        The others got theirs from the additional section of an SRV answer.
        """
        targets, self._new_targets = self._new_targets, set()
        for target in targets:
            if target in self._targets and not self.addresses(target):
                for record_type in ADDRESS_TYPES:
                    self._track(Question(target, record_type), now)

    def restore(self, question: Question, records: Mapping[Any, tuple[Any, int]], now: int) -> None:
        """Accept the records of a snapshot, given as (value, expires_at), without delaying their refresh."""
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
        """Drop all votes, because they are from other nameservers, and refresh all names soon."""
        for tracked in self.by_question.values():
            tracked.quorum.server_count = self._server_count
            tracked.quorum.votes.clear()
            refresh_at = now + self._start_delay(tracked.question)
            self.schedule(
                tracked, refresh_at if tracked.in_round else min(tracked.next_refresh_at, refresh_at)
            )

    # --- endpoints from the records ---

    def endpoints(self, name: str) -> dict[EndpointKey, tuple[SrvPreference, tuple[str, ...]]]:
        """Return the endpoints of an SRV name with their addresses, except those without an address."""
        records = self.by_srv_name[name].quorum.values if name in self.by_srv_name else {}
        found = {}
        for key, preference in records.items():
            if addresses := self.addresses(key.target):
                found[key] = preference, addresses
        max_targets = self._max_targets.get(name, DEFAULT_MAX_TARGETS)
        if len(found) > max_targets:
            # By priority, then by a stable hash, so that all dispatchers choose the same endpoints.
            order = sorted(found, key=lambda key: (found[key][0].priority, stable_fraction(key)))
            found = {key: found[key] for key in order[:max_targets]}
        return found

    def addresses(self, target: str) -> tuple[str, ...]:
        """Return the IPv4 addresses, then the IPv6 addresses of a target, each in sorted order."""
        names = (self.by_question.get(Question(target, record_type)) for record_type in ADDRESS_TYPES)
        return tuple(
            address for tracked in names if tracked is not None for address in sorted(tracked.quorum.accepted)
        )

    def mark_changed(self, tracked: TrackedName) -> None:
        """Record that the accepted records of a question have changed."""
        question = tracked.question
        if question.record_type is RecordType.SRV:
            self.changed.add(question.name)
            self._update_targets(question.name)
        else:
            self.changed |= self._targets.names_listing(question.name)
            self._new_targets.add(question.name)

    # --- the schedule ---

    def schedule(self, tracked: TrackedName, at: int) -> None:
        """Schedule the next refresh of the name. Its earlier entry in the schedule becomes void."""
        self._sequence += 1
        tracked.next_refresh_at = at
        tracked.schedule_sequence = self._sequence
        heappush(self._refreshes, (at, self._sequence, tracked))

    def pop_due(self, now: int) -> Iterator[TrackedName]:
        """Remove the names whose refresh is due from the schedule, start their rounds, and yield them."""
        while self._refreshes and self._refreshes[0][0] <= now:
            _, sequence, tracked = heappop(self._refreshes)
            if sequence != tracked.schedule_sequence or tracked.in_round:
                continue
            tracked.begin_round()
            yield tracked

    def schedule_expiry(self, tracked: TrackedName) -> None:
        """Schedule a check by `drop_stale` for when the name's first record may be too old.

        The check takes place whatever the results of the name's queries are.
        """
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
        """Return the times of the next refresh and of the next check for stale records, if there are any."""
        return [heap[0][0] for heap in (self._refreshes, self._expiries) if heap]

    # --- steps of the above ---

    def _track(self, question: Question, now: int) -> TrackedName:
        tracked = self.by_question.get(question)
        if tracked is None:
            # Most hosts have no IPv6 address, so a single empty answer is enough there.
            confirm_empty = question.record_type is not RecordType.AAAA
            tracked = TrackedName(question, AnswerQuorum(self._server_count, confirm_empty=confirm_empty))
            self.by_question[question] = tracked
            delay = self._start_delay(question) if question.record_type is RecordType.SRV else 0
            self.schedule(tracked, now + delay)
        return tracked

    def _start_delay(self, question: Question) -> int:
        return round(self._start_spread_us * stable_fraction(self._dispatcher, question, "start"))

    def _update_targets(self, name: str) -> None:
        """Track the addresses of the targets that the SRV name lists, and of no others."""
        listed = {key.target for key in self.by_srv_name[name].quorum.accepted}
        added, orphaned = self._targets.replace(name, listed)
        self._new_targets |= added
        self._untrack_addresses(orphaned)

    def _untrack_srv_name(self, name: str) -> None:
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
