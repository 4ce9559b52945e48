"""Elections: terms, votes, pre-votes and check-quorum (sections 5.2, 5.4.1 of the Raft paper; 9.6 and 6.2 of
Ongaro's thesis).

Transitions of `Role`:

    FOLLOWER      --is a voter, and the election timer expires-->                 PRE_CANDIDATE
    PRE_CANDIDATE --a quorum grants the pre-vote-->                               CANDIDATE, term + 1
    CANDIDATE     --a quorum grants the vote-->                                   LEADER, appends a no-op
    any           --a message of a higher term-->                                 FOLLOWER of that term
    LEADER        --no quorum answers for two election timeouts (check-quorum)--> FOLLOWER
    LEADER        --a voter list without this node is committed-->                FOLLOWER
"""

from __future__ import annotations

import random

from hazelbend.consensus.config import RaftConfig, Role
from hazelbend.consensus.messages import Entry, Message, VoteRequest, VoteResponse
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.replicated_log import StateMachine
from hazelbend.consensus.replicator import Replicator


class Elector(Replicator):
    """Leader election. The subclass commits entries and completes the pending requests of a leader."""

    def __init__(
        self,
        persistent: PersistentState,
        state_machine: StateMachine,
        config: RaftConfig,
        seed: int,
        now: int,
    ) -> None:
        super().__init__(persistent, state_machine, config, seed)
        self.random = random.Random(seed)
        self.leader = ""
        self.hard_state_changed = False  # epoch, term or vote must be stored
        # The last message from a leader. Initially in the past, so that a new node grants votes at once.
        self.last_contact_at = now - 2 * config.election_timeout_us
        self.election_deadline = 0
        self.votes: set[str] = set()
        self.transfer_target = ""  # the voter that is to lead after a leadership transfer
        self.transfer_deadline = 0
        self._reset_election_timer(now)

    @property
    def is_voter(self) -> bool:
        """Whether this node is in the current voter list."""
        return self.identity in self.voters

    def schedule_campaign(self, at: int) -> None:
        """Campaign at this time, unless a leader's message arrives earlier. Nodes that have an active leader
        reject the pre-vote.
        """
        self.election_deadline = min(self.election_deadline, at)

    def _advance_commit_index(self, now: int) -> None:
        raise NotImplementedError

    def _fail_pending_requests(self) -> None:
        """Fail all pending requests after this node lost its leadership. The next leader may still commit the
        proposals.
        """
        raise NotImplementedError

    def _reset_election_timer(self, now: int) -> None:
        timeout = self.config.election_timeout_us
        self.election_deadline = now + self.random.randint(timeout, 2 * timeout)

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        was_leader = self.is_leader
        if term > self.persistent.current_term:
            self.persistent.current_term = term
            self.persistent.voted_for = ""
            self.hard_state_changed = True
        self.role = Role.FOLLOWER
        self.leader = leader
        self.transfer_target = ""
        self.votes = set()
        self.peers = {}
        if was_leader:
            self._fail_pending_requests()
        if leader:
            self.last_contact_at = now
        self._reset_election_timer(now)

    def _campaign(self, now: int, *, pre_vote: bool, is_transfer: bool = False) -> None:
        self._reset_election_timer(now)
        if not self.is_voter:
            return
        persistent = self.persistent
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        self.votes = {self.identity}
        if not pre_vote:
            persistent.current_term += 1
            persistent.voted_for = self.identity
            self.hard_state_changed = True
        request = VoteRequest(pre_vote, persistent.last_index, self._last_term(), is_transfer)
        term = persistent.current_term + 1 if pre_vote else persistent.current_term
        for voter in self.voters:
            if voter != self.identity:
                self._send_to(voter, request, term)
        self._count_votes(now)

    def _last_term(self) -> int:
        term = self.persistent.term_at(self.persistent.last_index)
        assert term is not None
        return term

    def _handle_vote_request(self, message: Message, request: VoteRequest, now: int) -> None:
        persistent = self.persistent
        term = message.term
        has_active_leader = self.is_leader or now < self.last_contact_at + self.config.election_timeout_us
        if has_active_leader and not request.is_leadership_transfer and term > persistent.current_term:
            # A node that was partitioned, or was removed as a voter, must not disrupt a healthy leader.
            return
        if not request.is_pre_vote and term > persistent.current_term:
            self._become_follower(term, "", now)
        candidate_log = (request.last_log_term, request.last_log_index)
        is_up_to_date = candidate_log >= (self._last_term(), persistent.last_index)
        if request.is_pre_vote:
            granted = is_up_to_date and term > persistent.current_term
            # Returns the candidate's term, which identifies the request that this answers.
            answer_term = term if granted else persistent.current_term
            self._send_to(message.sender, VoteResponse(granted, True), answer_term)
            return
        may_vote = term == persistent.current_term and persistent.voted_for in ("", message.sender)
        granted = is_up_to_date and may_vote
        if granted and not persistent.voted_for:
            persistent.voted_for = message.sender
            self.hard_state_changed = True
            self._reset_election_timer(now)
        self._send_to(message.sender, VoteResponse(granted, False))

    def _handle_vote_response(self, message: Message, response: VoteResponse, now: int) -> None:
        role = Role.PRE_CANDIDATE if response.is_pre_vote else Role.CANDIDATE
        term = self.persistent.current_term + 1 if response.is_pre_vote else self.persistent.current_term
        if response.granted and self.role is role and message.term == term:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if not self._has_quorum(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self.append(Entry(self.persistent.current_term))
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role = Role.LEADER
        self.leader = self.identity
        self.peers = {}
        self.learners &= set(self.voters)
        self._update_peers(now)
        self.rounds.restart()
        self._catch_up_target.restart(self.persistent.last_index, now)
        self._broadcast(now)
        self._advance_commit_index(now)

    def _quorum_is_active(self, now: int) -> bool:
        """Check-quorum: whether a quorum has answered within the last two election timeouts. If not, another
        node may already lead.
        """
        since = now - 2 * self.config.election_timeout_us
        active = {name for name, peer in self.peers.items() if peer.last_contact_at > since}
        return self._has_quorum(active | {self.identity})
