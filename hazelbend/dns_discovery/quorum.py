"""Which records are accepted, by the answers of several nameservers.

A nameserver may be wrong: it answers NXDOMAIN for a zone that it has lost, or serves an old version of the
zone. So each answer is a vote, valid for its TTL, and a record is

    accepted    if a valid vote has it, or it was accepted before, unless it is outvoted
    outvoted    if at least QUORUM valid votes lack it, and more lack it than have it

The quorum is two nameservers, or, where only one is configured, two answers in a row. So one wrong nameserver
of several removes no record and, once the others are queried, adds none.

The votes are in dispute while they have not decided about a record. They are also in dispute if a single vote
has a record that no other nameserver has ever listed, or says that there are none (for AAAA that is usual,
and accepted). The resolver then queries the other nameservers at once, and new records wait for the answers.
A tie changes nothing. A record that no vote has renewed within its TTL and the stale bound (RFC 8767) is
dropped: by then its address may belong to somebody else.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

QUORUM = 2

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@dataclass(slots=True, frozen=True)
class AnswerVote(Generic[K, V]):
    """The last answer of one nameserver."""

    records: Mapping[K, V]
    expires_at: int  # microseconds
    sequence: int  # later votes have higher numbers


@dataclass(slots=True)
class AcceptedRecord(Generic[V]):
    """A record that is accepted now."""

    value: V
    expires_at: int  # end of the TTL of the last vote that had it, microseconds
    listed_by: set[Hashable] = field(default_factory=set)  # nameservers, up to the quorum


class AnswerQuorum(Generic[K, V]):
    """Votes and accepted records of one question. A record is a key with a value, such as the SRV weight."""

    __slots__ = ("_confirm_empty", "_missed", "_sequence", "accepted", "server_count", "votes")

    def __init__(self, server_count: int, *, confirm_empty: bool = True) -> None:
        self.server_count = server_count  # nameservers that are configured
        self._confirm_empty = confirm_empty  # whether a single answer without records is in dispute
        self.votes: dict[Hashable, AnswerVote[K, V]] = {}
        self.accepted: dict[K, AcceptedRecord[V]] = {}
        self._missed: dict[K, int] = {}  # with one nameserver: answers in a row that lack the key
        self._sequence = 0

    @property
    def values(self) -> dict[K, V]:
        """The accepted records."""
        return {key: record.value for key, record in self.accepted.items()}

    @property
    def outvoted_servers(self) -> set[Hashable]:
        """The nameservers whose valid vote differs from the accepted records."""
        return {
            server
            for server, vote in self.votes.items()
            if any(key not in self.accepted for key in vote.records)
            or any(key not in vote.records for key in self.accepted)
        }

    def add_vote(self, server: Hashable, records: Mapping[K, V], expires_at: int, now: int) -> bool:
        """Count a nameserver's answer. True if the accepted records have changed."""
        self._sequence += 1
        self.votes[server] = AnswerVote(records, expires_at, self._sequence)
        if self.server_count == 1:
            lacking = [key for key in self.accepted if key not in records]
            self._missed = {key: self._missed.get(key, 0) + 1 for key in lacking}
        for key in records:
            if (record := self.accepted.get(key)) is not None:
                record.expires_at = max(record.expires_at, expires_at)
                self._note_listing(record, server)
        return self.tally(now, final=False)

    def tally(self, now: int, *, final: bool) -> bool:
        """Apply the rule. True if the accepted records have changed.

        With `final`, no more answers are expected, so new records no longer wait for a dispute to end.
        """
        self._drop_expired_votes(now)
        before = self.values
        wait = not final and self.is_disputed(now)
        for key in [key for key in self.accepted if self._is_outvoted(key)]:
            del self.accepted[key]
        for key in dict.fromkeys(key for vote in self._votes_newest_first() for key in vote.records):
            if key in self.accepted:
                self.accepted[key].value = self._majority_value(key)
            elif not wait and not self._is_outvoted(key) and (not before or not self._is_tied(key)):
                self._accept(key)
        return self.values != before

    def is_disputed(self, now: int) -> bool:
        """Whether the answers of further nameservers would decide about a record."""
        self._drop_expired_votes(now)
        if self.server_count == 1:
            return False
        for key in {*self.accepted, *(key for vote in self.votes.values() for key in vote.records)}:
            listing, lacking = self._count_votes(key)
            only_vote = listing == len(self.votes) < QUORUM
            unconfirmed = key not in self.accepted or len(self.accepted[key].listed_by) < QUORUM
            if only_vote and unconfirmed:
                return True
            if lacking and listing < QUORUM and not self._is_outvoted(key):
                return True
        empty = not self.accepted and not any(vote.records for vote in self.votes.values())
        return self._confirm_empty and empty and 0 < len(self.votes) < QUORUM

    def drop_stale(self, now: int, stale_us: int) -> bool:
        """Drop records that no vote has renewed within the stale bound. True if there were any."""
        stale = [key for key, record in self.accepted.items() if record.expires_at + stale_us <= now]
        for key in stale:
            del self.accepted[key]
        return bool(stale)

    def restore(self, records: Mapping[K, tuple[V, int]]) -> None:
        """Accept records of a snapshot, given as (value, expires_at). The quorum confirmed them then."""
        confirmed = set(range(-QUORUM, 0))  # stands for nameservers, whose indexes are not negative
        self.accepted = {
            key: AcceptedRecord(value, expires_at, set(confirmed))
            for key, (value, expires_at) in records.items()
        }

    def _accept(self, key: K) -> None:
        expires_at = max(vote.expires_at for vote in self.votes.values() if key in vote.records)
        record = AcceptedRecord(self._majority_value(key), expires_at)
        self.accepted[key] = record
        for server, vote in self.votes.items():
            if key in vote.records:
                self._note_listing(record, server)

    @staticmethod
    def _note_listing(record: AcceptedRecord[V], server: Hashable) -> None:
        if len(record.listed_by) < QUORUM:
            record.listed_by.add(server)

    def _count_votes(self, key: K) -> tuple[int, int]:
        """How many votes list the key, and how many lack it."""
        listing = sum(key in vote.records for vote in self.votes.values())
        return listing, len(self.votes) - listing

    def _is_tied(self, key: K) -> bool:
        listing, lacking = self._count_votes(key)
        return listing <= lacking

    def _is_outvoted(self, key: K) -> bool:
        if self.server_count == 1:
            return self._missed.get(key, 0) >= QUORUM
        listing, lacking = self._count_votes(key)
        return lacking >= QUORUM and lacking > listing

    def _majority_value(self, key: K) -> V:
        """The value in most votes; of equally many, in the newest."""
        values = Counter(vote.records[key] for vote in self._votes_newest_first() if key in vote.records)
        return values.most_common(1)[0][0]

    def _votes_newest_first(self) -> list[AnswerVote[K, V]]:
        return sorted(self.votes.values(), key=lambda vote: -vote.sequence)

    def _drop_expired_votes(self, now: int) -> None:
        for server in [server for server, vote in self.votes.items() if vote.expires_at <= now]:
            del self.votes[server]
