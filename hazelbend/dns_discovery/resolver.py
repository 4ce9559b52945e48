"""Decides when to send which query to which nameserver, and what follows from each result.

The resolver does no I/O. The caller passes the time, in microseconds.

Each tracked question (see `tracked_names`) goes through rounds, in these states:

    scheduled   Waits until `next_refresh_at`: 0.90 to 0.98 of the TTL after the last answer. The fraction is
                a stable hash of dispatcher and question, so that dispatchers do not query in step. After a
                failed round it waits for a backoff instead, which doubles with each failed round.
    waiting     Its refresh is due, and it waits for the budgets: queries per second and queries in flight.
    in flight   A query was sent. TruncatedAnswer: the query is repeated over TCP. QueryFailure: the next
                nameserver is queried while attempts and the retry budget last; otherwise the round fails and
                the accepted records stay.
    confirming  The votes are in dispute: the other nameservers are queried, each at most once, until the
                votes decide.

`take_due_queries` returns the queries to send now, `handle_result` takes the result of one query, and
`next_due_at` returns when `take_due_queries` may have queries again. While every nameserver is backing off,
only the trial query of a nameserver is sent. Names whose refresh becomes due in the meantime wait, and are
queried within the budgets after the answer to the trial query.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hazelbend.dns_discovery.answers import (
    MAX_CNAME_CHAIN,
    CnameAlias,
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    QueryResult,
    Question,
    Records,
    TruncatedAnswer,
)
from hazelbend.dns_discovery.nameservers import NameserverHealth, Nameservers
from hazelbend.dns_discovery.query_budget import QueryBudget
from hazelbend.dns_discovery.settings import SrvSettings
from hazelbend.dns_discovery.stable_hash import stable_fraction
from hazelbend.dns_discovery.tracked_names import AdditionalAnswer, TrackedName, TrackedNames

REFRESH_AT = 0.90  # earliest refresh, as a fraction of the TTL
REFRESH_SPREAD = 0.08  # range of refresh times, as a fraction of the TTL
# Later than the refresh of the SRV question, whose answer renews the addresses by its additional section.
ADDITIONAL_REFRESH_AT = 0.995
BACKOFF_JITTER_MIN = 0.75
BACKOFF_JITTER_SPREAD = 0.5
MAX_BACKOFF_DOUBLINGS = 32


@dataclass(slots=True, frozen=True)
class Query:
    """One query to send."""

    id: int
    server: int  # index of the nameserver
    question: Question
    name: str  # the name to query: that of the question, or the target of a CNAME chain from it
    over_tcp: bool = field(kw_only=True)
    edns: bool = field(kw_only=True)


@dataclass(slots=True)
class ResolverCounters:
    """Counters since the start of the process."""

    queries: int = 0
    retries: int = 0
    confirmations: int = 0
    over_tcp: int = 0
    answers: int = 0
    failures: int = 0
    # Delay from the scheduled time of each refresh to its query, in microseconds. None: not collected.
    refresh_delays_us: list[int] | None = None


class Resolver:
    """Schedules the queries of one dispatcher and handles their results."""

    def __init__(self, settings: SrvSettings, dispatcher: str) -> None:
        self.counters = ResolverCounters()
        self.names = TrackedNames(settings, dispatcher)
        self._dispatcher = dispatcher
        self._waiting: deque[TrackedName] = deque()
        self._in_flight: dict[int, tuple[Query, TrackedName]] = {}
        self._last_id = 0
        self._apply(settings)

    def _apply(self, settings: SrvSettings) -> None:
        self.settings = settings
        self.nameservers = Nameservers(len(settings.nameservers))
        self._budget = QueryBudget(settings.budgets.queries_per_s, settings.budgets.retry_ratio)
        self._min_ttl_us = round(settings.ttl_bounds.min_s * 1e6)
        self._max_ttl_us = round(settings.ttl_bounds.max_s * 1e6)
        self.names.apply(settings)

    def track_only(self, names: Iterable[str], now: int) -> None:
        """Track these SRV names (canonical) and no others."""
        self.names.track_only(names, now)

    def reconfigure(self, settings: SrvSettings, now: int) -> None:
        """Use new settings. The accepted records stay; health is reset if the nameservers have changed."""
        same_nameservers = settings.nameservers == self.settings.nameservers
        nameservers = self.nameservers
        self._apply(settings)
        if same_nameservers:
            self.nameservers = nameservers
            return
        self._in_flight.clear()  # their results would be attributed to the new nameservers
        self._waiting.clear()
        self.names.change_nameservers(now)

    def restore(self, question: Question, records: Mapping[Any, tuple[Any, int]], now: int) -> None:
        """Accept the records of a snapshot, given as (value, expires_at)."""
        self.names.restore(question, records, now)

    def take_due_queries(self, now: int) -> list[Query]:
        """Return the queries to send now.

        The caller must pass the result of each one to `handle_result` exactly once.
        """
        self.names.drop_stale(now)
        self._waiting.extend(self.names.pop_due(now))
        queries: list[Query] = []
        while self._waiting and self._may_send_more():
            tracked = self._waiting[0]
            if not tracked.active:
                self._waiting.popleft()
                continue
            server = self.nameservers.choose(str(tracked.question), tracked.queried, now)
            if server is None and tracked.queried:
                self._waiting.popleft()
                self._end_round(tracked, now)
                continue
            if server is None or not self._budget.try_acquire(now):
                break
            self._waiting.popleft()
            self._count_attempt(tracked, now)
            queries.append(self._query(tracked, server, over_tcp=False))
        return queries

    def next_due_at(self, now: int) -> int | None:
        """Return when `take_due_queries` may have queries; None: not before a result arrives."""
        times = self.names.event_times()
        if self._waiting and self._may_send_more():
            available_at = self.nameservers.available_at(now)
            times.append(max(available_at, self._budget.next_token_at(now)))
        return min(times, default=None)

    def handle_result(self, query_id: int, result: QueryResult, now: int) -> list[Query]:
        """Handle the result of a query. Returns the queries that must be sent next because of it."""
        query, tracked = self._in_flight.pop(query_id, (None, None))
        if query is None or tracked is None:
            return []  # the query was to a nameserver that is no longer configured
        server = self.nameservers.health[query.server]
        if isinstance(result, QueryFailure) and result.server_unreachable:
            server.record_failure(result.reason, now)
        else:
            server.record_success()
        if not tracked.active:
            return []
        if (follow_up := self._follow_up(query, tracked, result, server)) is not None:
            self._budget.acquire_in_debt(now)
            return [follow_up]
        tracked.cname_chain = ()
        self._apply_result(query, tracked, result, now)
        self._continue_round(tracked, now)
        return []

    # --- results ---

    def _follow_up(
        self, query: Query, tracked: TrackedName, result: QueryResult, server: NameserverHealth
    ) -> Query | None:
        """Return the further query to the same nameserver that the result requires; None if it is final."""
        match result:
            case TruncatedAnswer() if not query.over_tcp:
                self.counters.over_tcp += 1
                return self._query(tracked, query.server, over_tcp=True, query_name=query.name)
            case CnameAlias(target=target):
                tracked.cname_chain = (*tracked.cname_chain, query.name)
                if target not in tracked.cname_chain and len(tracked.cname_chain) <= MAX_CNAME_CHAIN:
                    return self._query(tracked, query.server, over_tcp=False, query_name=target)
            case QueryFailure(edns_suspected=True) if query.edns:
                server.supports_edns = False
                return self._query(tracked, query.server, over_tcp=query.over_tcp, query_name=query.name)
        return None

    def _apply_result(self, query: Query, tracked: TrackedName, result: QueryResult, now: int) -> None:
        match result:
            case PositiveAnswer():
                self._add_vote(tracked, query.server, result.records, result.ttl_s, now)
                tracked.additional.extend(
                    AdditionalAnswer(question, query.server, answer, now)
                    for question, answer in result.additional.items()
                )
            case NegativeAnswer():
                self._add_vote(tracked, query.server, {}, result.ttl_s, now)
                tracked.last_error = result.reason
            case TruncatedAnswer():
                self._record_failure(tracked, query, "truncated over TCP")
            case CnameAlias(target=target):
                self._record_failure(tracked, query, f"a chain of aliases without an end, at {target}")
            case QueryFailure(reason=reason):
                self._record_failure(tracked, query, reason)

    def _add_vote(self, tracked: TrackedName, server: int, records: Records, ttl_s: int, now: int) -> None:
        self.counters.answers += 1
        tracked.answered = True
        tracked.last_error = ""
        tracked.ttl_us = min(max(ttl_s * 1_000_000, self._min_ttl_us), self._max_ttl_us)
        tracked.ttl_expires_at = now + tracked.ttl_us
        if tracked.quorum.add_vote(server, records, tracked.ttl_expires_at, now):
            self.names.mark_changed(tracked)
        self.names.schedule_expiry(tracked)

    def _record_failure(self, tracked: TrackedName, query: Query, reason: str) -> None:
        self.counters.failures += 1
        tracked.last_error = f"nameserver {query.server + 1}: {reason}"

    def _apply_additional(self, additional: AdditionalAnswer, now: int) -> None:
        """Count addresses from an additional section as an answer to the address question of the target."""
        tracked = self.names.address_question(additional.question, now)
        if tracked is None or tracked.in_round:
            return  # no SRV name lists the target now, or the address question has a round of its own
        answer = additional.answer
        self._add_vote(tracked, additional.server, answer.records, answer.ttl_s, now)
        tracked.failing_since = 0
        tracked.failed_rounds = 0
        disputed = tracked.quorum.is_disputed(now)
        self.names.schedule(tracked, now if disputed else now + round(tracked.ttl_us * ADDITIONAL_REFRESH_AT))

    # --- rounds ---

    def _continue_round(self, tracked: TrackedName, now: int) -> None:
        """Query the next nameserver, or end the round."""
        if tracked.answered:
            if tracked.quorum.is_disputed(now):
                tracked.confirming = True
                self.counters.confirmations += 1
                self._waiting.append(tracked)
            else:
                self._end_round(tracked, now)
        elif tracked.attempts < self.settings.budgets.max_attempts and self._budget.try_retry():
            self.counters.retries += 1
            self._waiting.appendleft(tracked)
        else:
            self._end_round(tracked, now)

    def _end_round(self, tracked: TrackedName, now: int) -> None:
        if tracked.answered:
            self._end_answered_round(tracked, now)
        else:
            self._end_failed_round(tracked, now)

    def _end_answered_round(self, tracked: TrackedName, now: int) -> None:
        if tracked.confirming:
            if tracked.quorum.tally(now, final=True):
                self.names.mark_changed(tracked)
            if not tracked.quorum.is_disputed(now):
                self._record_outvoted(tracked, now)
        tracked.failed_rounds = 0
        tracked.failing_since = 0
        fraction = REFRESH_AT + REFRESH_SPREAD * stable_fraction(self._dispatcher, tracked.question)
        self.names.schedule(tracked, now + round(tracked.ttl_us * fraction))
        additional_answers, tracked.additional = tracked.additional, []
        for additional in additional_answers:
            self._apply_additional(additional, additional.received_at)
        self.names.track_new_targets(now)

    def _end_failed_round(self, tracked: TrackedName, now: int) -> None:
        tracked.failing_since = tracked.failing_since or now
        budgets = self.settings.budgets
        doubled_s = budgets.backoff_s * 2 ** min(tracked.failed_rounds, MAX_BACKOFF_DOUBLINGS)
        backoff_us = min(doubled_s, budgets.max_backoff_s) * 1e6
        tracked.failed_rounds += 1
        jitter = stable_fraction(self._dispatcher, tracked.question, tracked.failed_rounds)
        factor = BACKOFF_JITTER_MIN + BACKOFF_JITTER_SPREAD * jitter
        self.names.schedule(tracked, now + round(backoff_us * factor))

    def _record_outvoted(self, tracked: TrackedName, now: int) -> None:
        for server in tracked.quorum.outvoted_servers:
            # Votes from a snapshot have no nameserver, and a reload may have removed a nameserver.
            if isinstance(server, int) and server < len(self.nameservers.health):
                self.nameservers.health[server].outvoted_at = now

    # --- queries ---

    def _may_send_more(self) -> bool:
        return len(self._in_flight) < self.settings.budgets.max_in_flight

    def _count_attempt(self, tracked: TrackedName, now: int) -> None:
        if not tracked.attempts:
            self._budget.record_first_attempt()
            if self.counters.refresh_delays_us is not None and tracked.ttl_expires_at:
                self.counters.refresh_delays_us.append(now - tracked.scheduled_at)
        tracked.attempts += 1

    def _query(self, tracked: TrackedName, server: int, *, over_tcp: bool, query_name: str = "") -> Query:
        """Create a query and record it as in flight. `query_name` defaults to the name of the question."""
        tracked.queried.add(server)
        self._last_id += 1
        health = self.nameservers.health[server]
        health.record_query()
        query = Query(
            self._last_id,
            server,
            tracked.question,
            query_name or tracked.question.name,
            over_tcp=over_tcp,
            edns=health.supports_edns,
        )
        self._in_flight[query.id] = query, tracked
        self.counters.queries += 1
        return query
