"""Membership of the Raft cluster: bootstrap, voter list, forced new cluster, leadership transfer."""

from __future__ import annotations

from collections.abc import Callable

from hazelbend.consensus.persistent_state import next_epoch
from hazelbend.consensus.raft import RaftNode
from hazelbend.consensus.voters import next_voters
from hazelbend.control.config_state_machine import ConfigStateMachine, encode_force_new_cluster
from hazelbend.control.fencing import TERM_BITS
from hazelbend.control.peers import PeerTable
from hazelbend.control.settings import ControlSettings


class LeaderKnownError(ValueError):
    """A new cluster can't be forced because a leader is known, so no majority is lost."""


class ClusterMembership:
    """Bootstraps the cluster and, on the leader, maintains its voter list."""

    def __init__(
        self,
        raft: RaftNode,
        state_machine: ConfigStateMachine,
        peers: PeerTable,
        settings: ControlSettings,
        unix_seconds: Callable[[], float],
    ) -> None:
        self._raft = raft
        self._state_machine = state_machine
        self._peers = peers
        self._settings = settings
        self._unix_seconds = unix_seconds

    def bootstrap_if_first(self, now: int) -> None:
        """Bootstrap the cluster, if this process was never part of one and `PeerTable` permits it."""
        settings = self._settings
        if self._raft.persistent.epoch or not settings.may_bootstrap or not settings.counts_for_quorum:
            return
        if self._peers.may_bootstrap(now):
            epoch = next_epoch(0, self._unix_seconds(), self._raft.identity, by_operator=False)
            self._raft.force_new_cluster(epoch, now)

    def force_new_cluster(self, now: int) -> int:
        """Start a new cluster from this process's state by order of an operator.

        Returns the id of the proposal that is decided once the new epoch is stored.

        Raises:
            LeaderKnownError: a leader is known, so no majority is lost.
        """
        if self._raft.leader:
            raise LeaderKnownError(f"{self._raft.leader} leads: no majority is lost")
        self._raft.commit_all_stored(now)
        snapshot = self._state_machine.snapshot()
        persistent = self._raft.persistent
        # Above all fencing tokens of this epoch, whose terms may carry into the epoch bits.
        known_epoch = persistent.epoch + (persistent.current_term >> TERM_BITS) + 1
        epoch = next_epoch(known_epoch, self._unix_seconds(), self._raft.identity)
        self._raft.force_new_cluster(epoch, now)
        proposal_id = self._raft.propose(encode_force_new_cluster(snapshot), now)
        assert proposal_id is not None, "a node that has just become the leader takes a proposal"
        return proposal_id

    def reconcile_voters(self, now: int) -> None:
        """On the leader, propose one step towards a voter list of alive quorum processes."""
        raft = self._raft
        if not raft.is_leader:
            return
        self._peers.track_voters(raft.voters, now)
        replaceable = {voter for voter in raft.voters if self._peers.is_replaceable(voter, now)}
        members = [raft.identity] if self._settings.counts_for_quorum else []
        members += self._peers.voter_candidates(raft.voters, replaceable, now)
        without_state = frozenset(voter for voter in replaceable if self._peers.has_lost_state(voter))
        min_voters = 2 * self._settings.tolerance + 1
        # A voter without a recent hello is not surplus yet: only replaceable voters are removed.
        wanted_voters = max(min_voters, len({*members, *raft.voters} - replaceable))
        voters = next_voters(
            raft.voters, raft.identity, members, replaceable, wanted_voters, min_voters, without_state
        )
        raft.set_learners(set(voters or ()) - set(raft.voters), now)
        if voters is not None:
            raft.change_voters(voters, now, without_state)

    def transfer_leadership(self, now: int) -> bool:
        """Transfer the leadership to another voter.

        Returns False if this process does not lead, or no other voter can take over.
        """
        staying = {peer.identity for peer in self._peers.alive(now).values() if not peer.leaving}
        successors = [voter for voter in self._raft.voters if voter in staying]
        return bool(successors) and self._raft.transfer_leadership(successors[0], now)
