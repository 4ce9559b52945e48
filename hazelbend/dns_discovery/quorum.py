"""Decides from the answers of several nameservers which records are accepted.

A nameserver may be wrong: it may answer NXDOMAIN for a zone that it has lost, or serve an old version of the
zone. Therefore each answer is a vote, which is valid for its TTL, and a record is

    accepted    if a valid vote lists it, or if it was accepted before, unless it is outvoted
    outvoted    if at least QUORUM valid votes lack it, and more votes lack it than list it

The quorum is two nameservers or, if only one is configured, two answers in a row. One wrong nameserver of
several therefore removes no record and, once the others have been queried, adds none.

The votes are in dispute as long as they do not decide about a record. They are also in dispute if the only
vote lists a record that no other nameserver has ever listed, or if the only vote is empty (an empty answer is
usual for AAAA and is accepted there). The resolver then queries the other nameservers at once, and new
records wait for their answers. A tie changes nothing.

A record that no vote has renewed within its TTL and the stale bound (RFC 8767) is dropped, because its
address may belong to another party by then.
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
    """The last answer of one nameserver, as a vote on which records exist."""

    records: Mapping[K, V]
    expires_at: int  # microseconds
    sequence: int  # later votes have higher numbers


@dataclass(slots=True)
class AcceptedRecord(Generic[V]):
    """A record that is accepted now."""

    value: V
    expires_at: int  # end of the TTL of the last vote that listed it, in microseconds
    listed_by: set[Hashable] = field(default_factory=set)  # nameservers that have listed it; at most QUORUM


class AnswerQuorum(Generic[K, V]):
    """The votes and the accepted records of one question.

    A record is a key with a value, such as an SRV endpoint with its priority and weight.
    """

    __slots__ = ("_confirm_empty", "_missed", "_sequence", "accepted", "server_count", "votes")

    def __init__(self, server_count: int, *, confirm_empty: bool = True) -> None:
        self.server_count = server_count  # number of configured nameservers
        self._confirm_empty = confirm_empty  # whether a single empty answer is in dispute
        self.votes: dict[Hashable, AnswerVote[K, V]] = {}
        self.accepted: dict[K, AcceptedRecord[V]] = {}
        self._missed: dict[K, int] = {}  # with one nameserver: answers in a row that lack the key
        self._sequence = 0

    @property
    def values(self) -> dict[K, V]:
        """The accepted records with their values."""
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
        """Count a nameserver's answer; return whether the accepted records have changed."""
        self._sequence += 1
        self.votes[server] = AnswerVote(records, expires_at, self._sequence)
        if self.server_count == 1:
            lacking = [key for key in self.accepted if key not in records]
            self._missed = {key: self._missed.get(key, 0) + 1 for key in lacking}
        for key in records:
            if (record := self.accepted.get(key)) is not None:
                record.expires_at = max(record.expires_at, expires_at)
                self._record_listing(record, server)
        return self.tally(now, final=False)

    def tally(self, now: int, *, final: bool) -> bool:
        """Count the votes again; return whether the accepted records have changed.

        `final`: no more answers are expected, so new records do not wait for the end of a dispute.
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
        """Whether the votes are in dispute, so that further nameservers should be queried."""
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
        """Drop records that no vote has renewed within the stale bound; return whether there were any."""
        stale = [key for key, record in self.accepted.items() if record.expires_at + stale_us <= now]
        for key in stale:
            del self.accepted[key]
        return bool(stale)

    def restore(self, records: Mapping[K, tuple[V, int]]) -> None:
        """Accept the records of a snapshot, given as (value, expires_at).

        They count as confirmed, because a quorum confirmed them before the snapshot was written.
        """
        confirmed = set(range(-QUORUM, 0))  # placeholders: indexes of nameservers are not negative
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
                self._record_listing(record, server)

    @staticmethod
    def _record_listing(record: AcceptedRecord[V], server: Hashable) -> None:
        if len(record.listed_by) < QUORUM:
            record.listed_by.add(server)

    def _count_votes(self, key: K) -> tuple[int, int]:
        """Return how many votes list the key, and how many lack it."""
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
        """Return the value that most votes have; in a tie, that of the newest vote."""
        values = Counter(vote.records[key] for vote in self._votes_newest_first() if key in vote.records)
        return values.most_common(1)[0][0]

    def _votes_newest_first(self) -> list[AnswerVote[K, V]]:
        return sorted(self.votes.values(), key=lambda vote: -vote.sequence)

    def _drop_expired_votes(self, now: int) -> None:
        for server in [server for server, vote in self.votes.items() if vote.expires_at <= now]:
            del self.votes[server]
