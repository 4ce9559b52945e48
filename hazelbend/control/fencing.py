"""Fencing tokens of orders to workers, and the lease that a leader waits for before it gives any."""

from __future__ import annotations

from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode

TERM_BITS = 16  # of a fencing token, below the epoch; more terms carry into it
LEASE_MARGIN_US = 1_500_000  # beyond a lease, from when a process leads until its first order


def fencing_token(state: PersistentState) -> int:
    """The token of orders to workers: rises with each term, and with each epoch.

    An epoch is above all terms of the one before: see `ClusterMembership.force_new_cluster`.
    """
    return (state.epoch << TERM_BITS) + state.current_term


class OrderAuthority:
    """Whether this process may give orders: it has surely led alone for a lease."""

    def __init__(self, raft: RaftNode, lease_us: int, now: int) -> None:
        self._raft = raft
        self._lease_us = lease_us
        self._leader_term = 0  # that this process leads in; 0: none
        self._leading_since = now

    @property
    def is_leading(self) -> bool:
        """Whether this process led at the last call of `token`."""
        return self._leader_term != 0

    def token(self, now: int) -> int | None:
        """The fencing token of orders that this process may give; None if it may give none. Call regularly.

        It waits for a lease, so that no order of an earlier leader falls within a lease of its own. A
        majority must confirm each order besides, and the token must still be the same after that: a process
        that has stepped down meanwhile knows the next leader's term.
        """
        term = self._raft.persistent.current_term
        if not self._raft.has_committed_in_term or term != self._leader_term:
            self._leader_term = term if self._raft.has_committed_in_term else 0
            self._leading_since = now
        has_led_for_lease = now - self._leading_since >= self._lease_us + LEASE_MARGIN_US
        return fencing_token(self._raft.persistent) if self.is_leading and has_led_for_lease else None
