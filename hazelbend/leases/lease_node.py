"""A dispatcher's node in the fleet: gossip, the replicated log, the leases and their expiry as one engine.

The driver calls `tick` at the time `next_at`, `receive` with messages from peers, and `submit` with requests
of clients. After each call it first saves what `raft` marks as unsaved, and only then sends the output that
`take_output` returns. Nothing here blocks or does I/O; the driver passes the current time.

Only this module connects the parts:
    - the leader proposes the expiries that the watcher finds, each at most once per term;
    - the leader adapts the set of voters to the fleet's members, every `VOTER_CHECK_INTERVAL_US`;
    - a node that is not the leader answers a request with the identity of the leader, if it knows it.

When the fleet is unreachable, a lease still ends on time: its holder stops by its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from hazelbend.consensus import raft as consensus
from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Message
from hazelbend.consensus.persistent_state import PersistentState, next_epoch
from hazelbend.consensus.raft import RaftNode, ReadIndexOutcome
from hazelbend.consensus.voters import next_voters
from hazelbend.gossip.messages import LeaderHint, Packet
from hazelbend.gossip.swim import SwimNode
from hazelbend.gossip.timing import GossipTiming
from hazelbend.leases.client import long_poll_us
from hazelbend.leases.expiry_watcher import ExpiryWatcher
from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import Acquire, LeaseResponse, Operation, Reason, encode
from hazelbend.leases.token_bucket import TokenBucket
from hazelbend.leases.views import FleetView, LeaseView, MemberView

VOTER_CHECK_INTERVAL_US = 500_000
US_PER_S = 1e6

PeerMessage = Packet | Message  # gossip or consensus


@dataclass(slots=True, frozen=True)
class LeaseNodeSettings:
    """The settings of a fleet that the engine uses."""

    fleet: str
    seeds: tuple[str, ...]
    voters: int = 3
    limits: LeaseLimits = field(default_factory=LeaseLimits)
    acquires_per_s: float = 100.0  # rate limit at the leader, with bursts of twice as many


class Reply(msgspec.Struct, frozen=True, rename={"response": "answer"}):
    """The reply to a request: the state machine's response, or the leader's identity (empty if unknown)."""

    response: LeaseResponse | None = None
    leader: str = ""


class OutgoingMessage(NamedTuple):
    """A message to the process at an address."""

    address: str
    message: PeerMessage


class NumberedReply(NamedTuple):
    """A reply, with the number that the driver gave to the request."""

    number: int
    reply: Reply


@dataclass(slots=True, frozen=True)
class Proposal:
    """A request whose log entry is not committed yet."""

    number: int
    operation: Operation


@dataclass(slots=True, frozen=True)
class LongPoll:
    """A waiter's request whose response is delayed until it is granted the lease, or until `expires_at`."""

    request: Acquire
    response: LeaseResponse  # sent if the lease is not granted by then
    expires_at: int


class LeaseNode:
    """The engine of one node. Times are microseconds of one monotonic clock."""

    def __init__(
        self,
        identity: str,
        settings: LeaseNodeSettings,
        seed: int,
        now: int,
        persistent: PersistentState | None = None,
    ) -> None:
        """`persistent` is the state saved under this identity. Without it the identity must be new."""
        self.settings = settings
        self.leases = LeaseTable(settings.limits)
        self.expiry_watcher = ExpiryWatcher(settings.limits)
        self.members = SwimNode(identity, settings.fleet, settings.seeds, GossipTiming(), seed, now)
        self.raft = RaftNode(
            persistent or PersistentState(identity), self.leases, consensus.RaftConfig(), seed, now
        )
        self.raft.on_applied = lambda at: self.expiry_watcher.observe(self.leases, at)
        self.raft.on_applied(now)
        self.outbox: list[OutgoingMessage] = []
        self.replies: list[NumberedReply] = []
        self._proposals: dict[int, Proposal] = {}  # by proposal id
        self._long_polls: dict[int, LongPoll] = {}  # by the driver's request number
        self._acquire_rate = TokenBucket(settings.acquires_per_s, 2 * settings.acquires_per_s, now)
        self._next_voter_check_at = now
        self._now = now

    @property
    def identity(self) -> str:
        """This process's identity."""
        return self.members.identity

    @property
    def has_output(self) -> bool:
        """Whether there is state to save, or a message or reply to send."""
        raft = self.raft
        return bool(self.outbox or self.replies or raft.has_unsaved_changes)

    def take_output(self) -> tuple[list[OutgoingMessage], list[NumberedReply]]:
        """Return the messages and replies. The driver saves the unsaved state before it sends them."""
        outbox = self.outbox
        replies = self.replies
        self.outbox = []
        self.replies = []
        return outbox, replies

    @property
    def next_at(self) -> int:
        """When to call `tick` next."""
        times = [self.members.next_at, self.raft.next_tick_at]
        if self.raft.is_leader:
            times.append(self._next_voter_check_at)
            times.append(self.expiry_watcher.next_at(self.leases))
        times += [poll.expires_at for poll in self._long_polls.values()]
        return min(times)

    @property
    def leader(self) -> str:
        """The leader's identity, from Raft; at a node that is not a voter, from gossip. Empty if unknown."""
        raft = self.raft
        if raft.leader or raft.is_voter:
            return raft.leader
        hint = self.members.leader_hint
        if hint.epoch < raft.persistent.epoch or hint.leader in self.members.table.inactive():
            return raft.leader
        return hint.leader

    def tick(self, now: int) -> None:
        """Perform all actions that are due."""
        self._now = now
        if now >= self.members.next_at:
            self.members.tick(now)
        if now >= self.raft.next_tick_at:
            self.raft.tick(now)
        if self.raft.is_leader:
            self._lead(now)
        for number, poll in list(self._long_polls.items()):
            if now >= poll.expires_at:
                self._end_long_poll(number, poll.response)
        self._collect_output()

    def receive(self, message: PeerMessage, now: int) -> None:
        """Handle a message from a peer."""
        self._now = now
        if isinstance(message, Packet):
            self.members.receive(message, now)
        elif message.to == self.identity:  # skips messages to an earlier process at this address
            self.raft.receive(message, now)
        self._collect_output()

    def submit(self, number: int, operation: Operation, now: int) -> None:
        """Handle a client's request. The reply has this number; it is given at once or after the commit."""
        self._now = now
        if isinstance(operation, Acquire) and self.raft.is_leader and not self._acquire_rate.try_take(now):
            # Only acquisitions are rate-limited: a flood of them must not prevent holders from renewing.
            self._reply(number, Reply(LeaseResponse(reason=Reason.BUSY), self.identity))
            return
        proposal_id = self.raft.propose(encode(operation), now)
        if proposal_id is None:
            self._reply(number, Reply(leader="" if self.raft.is_leader else self.leader))
        else:
            self._proposals[proposal_id] = Proposal(number, operation)
        self._collect_output()

    def start_new_epoch(self, unix_s: float, now: int) -> int:
        """Start a new epoch with this node as its only voter, for an operator. Returns the epoch."""
        epoch = next_epoch(self.raft.persistent.epoch, unix_s, self.identity)
        self.raft.force_new_cluster(epoch, now)
        self._collect_output()
        return epoch

    def leave(self, now: int) -> None:
        """Announce to the members that this node leaves the fleet."""
        self.members.leave(now)
        self._collect_output()

    def transfer_leadership(self, now: int) -> bool:
        """Transfer the leadership to another active voter.

        Returns False if this node is not the leader or there is no other active voter. Call it until then.
        """
        active = self.members.table.active()
        others = [voter for voter in self.raft.voters if voter in active and voter != self.identity]
        if not self.raft.is_leader or not others:
            return False
        self.raft.transfer_leadership(others[0], now)
        self._collect_output()
        return True

    def view(self, now: int) -> FleetView:
        """Return a view of the fleet as this node knows it."""
        raft = self.raft
        return FleetView(
            fleet=self.settings.fleet,
            me=self.identity,
            role=raft.role.value if raft.is_voter else "member",
            epoch=raft.persistent.epoch,
            term=raft.persistent.current_term,
            leader=self.leader,
            is_fresh=raft.has_committed_in_term,
            is_open=self.leases.state.is_open,
            commit_index=raft.commit_index,
            uncommitted=raft.persistent.last_index - raft.commit_index,
            health_score=self.members.health_score,
            voters=raft.voters,
            members=self._member_views(now),
            leases=self._lease_views(now),
            foreign_fleets=dict(self.members.foreign_fleets),
        )

    def _member_views(self, now: int) -> tuple[MemberView, ...]:
        members = self.members.table.members.values()
        return tuple(
            MemberView(
                member.identity,
                member.status.name.lower(),
                member.incarnation,
                (now - member.status_since) / US_PER_S,
            )
            for member in sorted(members, key=lambda member: member.identity)
        )

    def _lease_views(self, now: int) -> tuple[LeaseView, ...]:
        renewed_at = {renewal.name: at for renewal, at in self.expiry_watcher.renewed_at.items()}
        return tuple(
            LeaseView(
                name,
                lease.holder,
                lease.token,
                lease.ttl_us / US_PER_S,
                lease.renewals,
                (now - renewed_at[name]) / US_PER_S if name in renewed_at else None,
                tuple(waiter.holder for waiter in lease.waiters),
            )
            for name, lease in sorted(self.leases.state.leases.items())
        )

    # --- as the leader ---

    def _lead(self, now: int) -> None:
        raft = self.raft
        for operation in self.expiry_watcher.new_proposals(self.leases, raft.persistent.current_term, now):
            raft.propose(encode(operation), now)
        if now >= self._next_voter_check_at:
            self._next_voter_check_at = now + VOTER_CHECK_INTERVAL_US
            self._adapt_voters(now)

    def _adapt_voters(self, now: int) -> None:
        raft = self.raft
        active = self.members.table.active()
        inactive_voters = {voter for voter in raft.voters if voter not in active}
        wanted = next_voters(raft.voters, self.identity, active, inactive_voters, self.settings.voters)
        raft.set_learners(set(wanted or ()) - set(raft.voters), now)
        if wanted is not None:
            raft.change_voters(wanted, now)

    # --- output ---

    def _collect_output(self) -> None:
        if self.raft.leader:
            self._update_leader_hint()
        self._collect_messages()
        self._collect_proposals()
        self._check_long_polls()

    def _update_leader_hint(self) -> None:
        persistent = self.raft.persistent
        hint = LeaderHint(persistent.epoch, persistent.current_term, self.raft.leader)
        self.members.leader_hint = max(self.members.leader_hint, hint)

    def _collect_messages(self) -> None:
        for packet in self.members.outbox:
            self.outbox.append(OutgoingMessage(address_of(packet.to) or packet.to, packet))
        self.members.outbox.clear()
        for message in self.raft.outbox:
            self.outbox.append(OutgoingMessage(address_of(message.to), message))
        self.raft.outbox.clear()

    def _collect_proposals(self) -> None:
        outcomes = self.raft.outcomes
        self.raft.outcomes = []
        for outcome in outcomes:
            if isinstance(outcome, ReadIndexOutcome):
                continue
            proposal = self._proposals.pop(outcome.proposal_id, None)
            if proposal is None:
                continue
            response = outcome.result if isinstance(outcome.result, LeaseResponse) else None
            request = proposal.operation
            if response is not None and response.queue_position and isinstance(request, Acquire):
                expires_at = self._now + long_poll_us(request.ttl_us)
                self._long_polls[proposal.number] = LongPoll(request, response, expires_at)
            else:
                self._reply(proposal.number, Reply(response, self.raft.leader))

    def _check_long_polls(self) -> None:
        for number, poll in list(self._long_polls.items()):
            lease = self.leases.state.leases.get(poll.request.name)
            if lease is not None and lease.was_granted_to(poll.request):
                # The grant is later than the request, so the holder may count its TTL from the request.
                self._end_long_poll(number, LeaseResponse(lease.token))
            elif not self.raft.is_leader:
                self._end_long_poll(number, None)

    def _end_long_poll(self, number: int, response: LeaseResponse | None) -> None:
        """Reply to a waiter. The queue position in the response is the one at the time of its request."""
        del self._long_polls[number]
        self._reply(number, Reply(response, self.raft.leader))

    def _reply(self, number: int, reply: Reply) -> None:
        self.replies.append(NumberedReply(number, reply))
