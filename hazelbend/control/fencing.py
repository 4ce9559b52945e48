"""Fencing tokens of orders to workers, and the lease that a new leader waits for before it sends orders."""

from __future__ import annotations

from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode

TERM_BITS = 16  # low bits of a fencing token, for the term; larger terms carry into the epoch bits above
LEASE_MARGIN_US = 1_500_000  # added to the lease that a new leader waits before its first order


def fencing_token(state: PersistentState) -> int:
    """The fencing token of orders to workers. It increases with each term and with each epoch.

    Tokens of a new epoch exceed those of all terms of the previous one: see
    `ClusterMembership.force_new_cluster`.
    """
    return (state.epoch << TERM_BITS) + state.current_term


class OrderAuthority:
    """Decides whether this process may send orders to workers: it must have been the leader for a lease."""

    def __init__(self, raft: RaftNode, lease_us: int, now: int) -> None:
        self._raft = raft
        self._lease_us = lease_us
        self._leader_term = 0  # the term in which this process leads; 0: it does not lead
        self._leading_since = now

    @property
    def is_leading(self) -> bool:
        """Whether this process was the leader at the last call of `token`."""
        return self._leader_term != 0

    def token(self, now: int) -> int | None:
        """The fencing token of orders that this process may send; None if it may send none. Call regularly.

        The process first waits for a lease, so that orders of two leaders are at least a lease apart. In
        addition, a majority must confirm the leader before each order, and the token must be unchanged after
        that: a process that has stepped down in the meantime may already know the next leader's term.
        """
        term = self._raft.persistent.current_term
        if not self._raft.has_committed_in_term or term != self._leader_term:
            self._leader_term = term if self._raft.has_committed_in_term else 0
            self._leading_since = now
        has_led_for_lease = now - self._leading_since >= self._lease_us + LEASE_MARGIN_US
        return fencing_token(self._raft.persistent) if self.is_leading and has_led_for_lease else None
