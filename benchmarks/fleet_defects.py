"""Defects that the checks of fleet_sim.py, fleet_search.py and fleet_faults.py must find."""

from __future__ import annotations

from hazelbend.consensus.messages import Entry
from hazelbend.consensus.raft import RaftNode, ReadIndexOutcome
from hazelbend.leases.client import LeaseClient
from hazelbend.leases.expiry_watcher import ExpiryWatcher
from hazelbend.leases.lease_table import LeaseTable, TableState
from hazelbend.leases.operations import LeaseResponse


def skip_expiry_wait(watcher: ExpiryWatcher, term: int) -> None:
    """A new leader treats all leases granted by earlier leaders as expired."""
    if watcher.proposed_in_term != term:
        watcher.renewed_at = dict.fromkeys(watcher.renewed_at, 0)


class RestartsTokensPerEpoch(LeaseTable):
    """The fencing tokens of a new epoch start at the beginning, not above those of the last epoch."""

    def begin(self, epoch: int) -> None:
        self.state = TableState(epoch=epoch & 1)


class CountsTtlFromResponse(LeaseClient):
    """The TTL counts from the arrival of the response in place of the sending of the request."""

    def handle_response(self, number: int, response: LeaseResponse | None, now: int) -> None:
        self.in_flight[number] = now
        super().handle_response(number, response, now)


class AllowsConcurrentVoterChanges(RaftNode):
    """Allows a voter change during another one, and by a leader that has committed no entry."""

    def change_voters(self, voters: tuple[str, ...], now: int, erased: frozenset[str] = frozenset()) -> bool:
        if not self.is_leader or not voters:
            return False
        self._append_and_replicate(Entry(self.persistent.current_term, tuple(sorted(voters))), now)
        return True


class AnswersReadsWithoutQuorum(RaftNode):
    """Answers a read at once, without confirming leadership by a quorum."""

    def request_read(self, now: int) -> int | None:
        if not self.is_leader:
            return None
        self.last_request_id += 1
        self.outcomes.append(ReadIndexOutcome(self.last_request_id, True))
        return self.last_request_id


class CommitsEarlierTermEntries(RaftNode):
    """Counts an entry of an earlier term as committed once a majority has it (figure 8 of the Raft paper)."""

    def _advance_commit_index(self, now: int) -> None:
        if self.is_leader:
            self._apply_committed(self._quorum_match_index(), now)
