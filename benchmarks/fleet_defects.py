"""Mistakes that the checks of fleet_sim.py and fleet_search.py must find, planted nowhere else."""

from __future__ import annotations

from hazelbend.consensus.messages import Entry
from hazelbend.consensus.raft import Done, RaftNode
from hazelbend.leases.client import LeaseClient
from hazelbend.leases.expiry_watcher import ExpiryWatcher
from hazelbend.leases.lease_table import LeaseTable, TableState
from hazelbend.leases.operations import LeaseResponse


def forget_the_wait(watcher: ExpiryWatcher, term: int) -> None:
    """A new leader takes all that was granted for over."""
    if watcher.proposed_in_term != term:
        watcher.held_since = dict.fromkeys(watcher.held_since, 0)


class Forgetful(LeaseTable):
    """The tokens of a new epoch start anew."""

    def begin(self, epoch: int) -> None:
        self.state = TableState(epoch=epoch & 1)


class Hasty(LeaseClient):
    """Its time counts from when the answer came."""

    def handle_response(self, number: int, response: LeaseResponse | None, now: int) -> None:
        self.in_flight[number] = now
        super().handle_response(number, response, now)


class Rash(RaftNode):
    """Voters are changed while a change is under way, and by a leader that has committed nothing."""

    def change_voters(self, voters: tuple[str, ...], now: int) -> bool:
        if not self.leads or not voters:
            return False
        self._append_and_send(Entry(self.persistent.term, tuple(sorted(voters))), now)
        return True


class Careless(RaftNode):
    """A read is answered at once."""

    def read(self, now: int) -> int | None:
        if not self.leads:
            return None
        self.last_ticket += 1
        self.done.append(Done(self.last_ticket, True))
        return self.last_ticket


class Hopeful(RaftNode):
    """An entry of an earlier term is held to be committed once a majority has it (Raft's figure 8)."""

    def _advance(self, now: int) -> None:
        if self.leads:
            self._commit(self._majority_holds(), now)
