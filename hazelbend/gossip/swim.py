"""Failure detector and membership protocol of a fleet: SWIM with Lifeguard's extensions, without I/O.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", DSN 2018.

In each probe interval a process pings one member, in a shuffled round-robin order. If no ack arrives in time,
it requests that some other members ping that member (`ping-req`), because only the link between the two may
be broken. If no ack arrives through them either, the member becomes a suspect. A suspect that does not refute
the suspicion within a timeout is declared dead.

A process that receives an update in which it is suspect or dead refutes it with a higher incarnation. An
identity belongs to the persistent state of one process: a process that restarts without its persistent state
is a new member.

Lifeguard: before it suspects others, a process considers that it may itself be slow or partitioned. Each
probe without an ack, and each update in which the process itself is suspect or dead, raises its health score.
A higher score lengthens its probe interval and its suspicion timeouts. A process detects by a late tick that
it was paused. It then discards the probes in flight, because acks may have been missed during the pause.

Updates are piggybacked on pings and acks, each on a number of packets that is logarithmic in the fleet's
size. The cost per process therefore does not grow with the fleet, except for the complete member table, which
a process periodically exchanges with one random member. These exchanges, and attempts to reach seeds and dead
members, heal partitions.

Invariants, checked by the tests: a process is never suspect or dead in its own table; a packet of another
fleet changes no member. member_table.py lists the invariants of the table.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelbend.consensus.identity import address_of
from hazelbend.gossip.dissemination import DisseminationQueue
from hazelbend.gossip.member_table import Member, MemberTable
from hazelbend.gossip.messages import (
    NO_LEADER,
    Ack,
    FullState,
    MembershipUpdate,
    MemberStatus,
    Packet,
    PacketBody,
    Ping,
)
from hazelbend.gossip.timing import GossipTiming

FULL_STATE_JITTER = (0.75, 1.25)  # factors of the interval, so that members' exchanges do not synchronize


@dataclass(slots=True)
class PendingProbe:
    """The probe of the current interval: first a direct ping, then indirect pings through relays."""

    target: str
    sequence_number: int
    started_at: int
    indirect: bool = False
    relays: int = 0  # members that were sent a `ping-req`
    nacks: int = 0  # relays that are reachable, but have received no ack from the target either


@dataclass(slots=True, frozen=True)
class RelayedProbe:
    """A ping that this process sent for another member's `ping-req`."""

    requester: str
    requester_sequence_number: int
    nack_at: int


class SwimNode:
    """One process's gossip protocol engine.

    The driver calls `tick` at `next_at` and `receive` for each packet, and then sends the packets in
    `outbox`. Times are microseconds of one monotonic clock.
    """

    def __init__(
        self, identity: str, fleet: str, seeds: tuple[str, ...], timing: GossipTiming, seed: int, now: int
    ) -> None:
        """`identity`: of this process. `seeds`: addresses to join the fleet at. `seed`: of random numbers."""
        self.identity = identity
        self.fleet = fleet
        self.timing = timing
        self.seeds = [address for address in seeds if address != address_of(identity)]
        self.random = random.Random(seed)
        self.updates = DisseminationQueue()
        self.table = MemberTable(identity, timing.suspicion_confirmations, self.updates, now)
        self.outbox: list[Packet] = []
        self.foreign_fleets: dict[str, str] = {}  # fleet id by sender's address, of packets from other fleets
        self.leader_hint = NO_LEADER
        self.health_score = 0  # Lifeguard's local health multiplier; 0 is healthy
        self.leaving = False
        self.probe_order: list[str] = []  # identities; the last one is probed next
        self.pending_probe: PendingProbe | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}  # by the sequence number of this process's ping
        self.sequence_number = 0
        self.next_probe_at = now + self.random.randrange(timing.probe_interval_us)
        self.next_full_state_at = now
        self.next_join_at = now

    @property
    def next_at(self) -> int:
        """The time of the next call of `tick`."""
        times = [self.next_probe_at, self.next_full_state_at, self.next_join_at]
        if self.pending_probe is not None:
            times.append(self._probe_deadline(self.pending_probe))
        times += [
            self._suspicion_deadline(suspect) for suspect in self.table.with_status(MemberStatus.SUSPECT)
        ]
        times += [relayed.nack_at for relayed in self.relayed_probes.values()]
        return min(times)

    def leave(self, now: int) -> None:
        """Announce to some members that this process leaves; they disseminate it."""
        self.leaving = True
        me = self.table.members[self.identity]
        self._apply(MembershipUpdate(self.identity, me.incarnation, MemberStatus.LEFT), now)
        for member in self._random_alive(self.timing.indirect_probes, without=set()):
            self._send(member, FullState(reply_wanted=False))

    # --- timers ---

    def tick(self, now: int) -> None:
        """Handle all timers that are due."""
        if self.leaving:
            return
        if now - self.next_at > self.timing.probe_interval_us:
            self._resume_after_stall(now - self.next_at)
        self._check_pending_probe(now)
        self._send_due_nacks(now)
        self._expire_suspicions(now)
        if now >= self.next_probe_at:
            self.next_probe_at = now + self.timing.probe_interval_us * (1 + self.health_score)
            self._start_probe(now)
        if now >= self.next_full_state_at:
            self._exchange_full_state(now)
        if now >= self.next_join_at:
            interval = self.timing.probe_interval_us if self.table.size == 1 else self.timing.join_interval_us
            self.next_join_at = now + interval
            self._try_to_join()

    def _resume_after_stall(self, gap: int) -> None:
        """Recover after this process was paused for `gap` microseconds, in which it may have missed acks."""
        self.pending_probe = None
        self.relayed_probes.clear()
        self._change_health(1)
        for suspect in self.table.with_status(MemberStatus.SUSPECT):
            suspect.status_since += gap

    def _check_pending_probe(self, now: int) -> None:
        probe = self.pending_probe
        if probe is None or now < self._probe_deadline(probe):
            return
        if probe.indirect:
            self._probe_failed(probe, now)
        else:
            self._send_indirect_probes(probe)

    def _probe_deadline(self, probe: PendingProbe) -> int:
        """When the probe's current step times out."""
        timeout = self.timing.probe_interval_us if probe.indirect else self.timing.ack_timeout_us
        return probe.started_at + timeout * (1 + self.health_score)

    def _send_indirect_probes(self, probe: PendingProbe) -> None:
        probe.indirect = True
        for relay in self._random_alive(self.timing.indirect_probes, without={probe.target}):
            probe.relays += 1
            self._send(relay, Ping(probe.sequence_number, probe.target))

    def _probe_failed(self, probe: PendingProbe, now: int) -> None:
        self.pending_probe = None
        # Without nacks from the relays, this process may itself be partitioned or slow.
        missing_nacks = probe.relays - probe.nacks
        self._change_health(missing_nacks if probe.relays else 1)
        member = self.table.members.get(probe.target)
        if member is not None and member.is_active:
            self._declare(member, MemberStatus.SUSPECT, now)

    def _send_due_nacks(self, now: int) -> None:
        for sequence_number, relayed in list(self.relayed_probes.items()):
            if now >= relayed.nack_at:
                self._send(relayed.requester, Ack(relayed.requester_sequence_number, ok=False))
                del self.relayed_probes[sequence_number]

    def _expire_suspicions(self, now: int) -> None:
        for suspect in self.table.with_status(MemberStatus.SUSPECT):
            if now >= self._suspicion_deadline(suspect):
                self._declare(suspect, MemberStatus.DEAD, now)

    def _suspicion_deadline(self, suspect: Member) -> int:
        confirmations = len(suspect.suspected_by) - 1
        return suspect.status_since + self.timing.suspicion_timeout_us(
            self.table.size, confirmations, self.health_score
        )

    def _declare(self, member: Member, status: MemberStatus, now: int) -> None:
        self._apply(MembershipUpdate(member.identity, member.incarnation, status, self.identity), now)

    def _start_probe(self, now: int) -> None:
        if not self.probe_order:
            self.probe_order = [identity for identity in self.table.active() if identity != self.identity]
            self.random.shuffle(self.probe_order)
        while self.probe_order:
            target = self.probe_order.pop()
            member = self.table.members.get(target)  # may have been removed since the shuffle
            if member is not None and member.is_active:
                self.sequence_number += 1
                self.pending_probe = PendingProbe(target, self.sequence_number, now)
                self._send(target, Ping(self.sequence_number))
                break

    def _exchange_full_state(self, now: int) -> None:
        interval = self.timing.full_state_interval_us * self.random.uniform(*FULL_STATE_JITTER)
        self.next_full_state_at = now + round(interval)
        for member in self._random_alive(1, without=set()):
            self._send(member, FullState(reply_wanted=True))
        self.table.forget_inactive(before=now - self.timing.forget_after_us)

    def _try_to_join(self) -> None:
        """Contact a seed without an active member at its address, or a dead member; this heals partitions."""
        known = {address_of(identity) for identity in self.table.active()}
        addresses = list(self.seeds)
        addresses += [address_of(member.identity) for member in self.table.with_status(MemberStatus.DEAD)]
        addresses = [address for address in addresses if address not in known]
        if addresses:
            self._send(self.random.choice(addresses), FullState(reply_wanted=True))

    def _change_health(self, by: int) -> None:
        self.health_score = min(max(self.health_score + by, 0), self.timing.max_health_score)

    # --- packets in ---

    def receive(self, packet: Packet, now: int) -> None:
        """Handle one packet, which may be late or duplicated. Packets for other processes or from other
        fleets change no member.
        """
        if packet.fleet != self.fleet:
            self.foreign_fleets[address_of(packet.sender)] = packet.fleet
            return
        if packet.to not in (self.identity, address_of(self.identity)) or packet.sender == self.identity:
            return
        if packet.leader_hint[:2] > self.leader_hint[:2]:
            self.leader_hint = packet.leader_hint
        if packet.sender not in self.table.members:
            self._apply(MembershipUpdate(packet.sender, 1, MemberStatus.ALIVE), now)
        for update in packet.updates:
            self._apply(update, now)
        self._receive_body(packet.sender, packet.body, now)

    def _receive_body(self, sender: str, body: PacketBody, now: int) -> None:
        if isinstance(body, Ack):
            self._receive_ack(body)
        elif self.leaving:
            return
        elif isinstance(body, FullState):
            if body.reply_wanted:
                self._send(sender, FullState(reply_wanted=False))
        elif body.target:
            self._relay_ping(sender, body, now)
        else:
            self._send(sender, Ack(body.sequence_number))

    def _receive_ack(self, ack: Ack) -> None:
        relayed = self.relayed_probes.get(ack.sequence_number)
        if relayed is not None:
            del self.relayed_probes[ack.sequence_number]
            self._send(relayed.requester, Ack(relayed.requester_sequence_number))
            return
        probe = self.pending_probe
        if probe is None or ack.sequence_number != probe.sequence_number:
            return
        if ack.ok:
            self.pending_probe = None
            self._change_health(-1)
        else:
            probe.nacks += 1

    def _relay_ping(self, requester: str, ping: Ping, now: int) -> None:
        self.sequence_number += 1
        nack_at = now + self.timing.ack_timeout_us
        self.relayed_probes[self.sequence_number] = RelayedProbe(requester, ping.sequence_number, nack_at)
        self._send(ping.target, Ping(self.sequence_number))

    def _apply(self, update: MembershipUpdate, now: int) -> None:
        if update.member == self.identity:
            self._apply_about_self(update, now)
        else:
            self.table.apply(update, now)

    def _apply_about_self(self, update: MembershipUpdate, now: int) -> None:
        me = self.table.members[self.identity]
        if update.status is MemberStatus.LEFT and self.leaving:
            me.status = MemberStatus.LEFT
            me.status_since = now
            self.updates.add(update)
        elif (
            update.status is not MemberStatus.ALIVE
            and update.incarnation >= me.incarnation
            and not self.leaving
        ):
            self._refute(me, update)
        elif update.incarnation > me.incarnation:
            me.incarnation = update.incarnation

    def _refute(self, me: Member, update: MembershipUpdate) -> None:
        me.incarnation = update.incarnation + 1
        self.updates.add(MembershipUpdate(self.identity, me.incarnation, MemberStatus.ALIVE))
        self._change_health(1)  # another process has not received this process's ack in time

    # --- packets out ---

    def _random_alive(self, count: int, without: set[str]) -> list[str]:
        """Random alive members, without this process. Suspects are omitted: a suspect relay may be
        partitioned together with the target.
        """
        alive = [member.identity for member in self.table.with_status(MemberStatus.ALIVE)]
        others = [identity for identity in alive if identity != self.identity and identity not in without]
        return self.random.sample(others, min(count, len(others)))

    def _send(self, to: str, body: PacketBody) -> None:
        updates = self._all_updates() if isinstance(body, FullState) else self._piggybacked_updates(to)
        self.outbox.append(Packet(self.fleet, self.identity, to, body, updates, self.leader_hint))

    def _all_updates(self) -> tuple[MembershipUpdate, ...]:
        return tuple(
            MembershipUpdate(member.identity, member.incarnation, member.status, self.identity)
            for member in self.table.members.values()
        )

    def _piggybacked_updates(self, to: str) -> tuple[MembershipUpdate, ...]:
        """Queued updates for this receiver. If it is suspect or dead, the first update is its own status, so
        that it can refute it (Lifeguard's buddy system).
        """
        updates: list[MembershipUpdate] = []
        member = self.table.members.get(to)
        if member is not None and member.status is not MemberStatus.ALIVE:
            updates.append(MembershipUpdate(to, member.incarnation, member.status, self.identity))
        transmit_limit = self.timing.transmit_limit(self.table.size)
        updates += self.updates.take(self.timing.updates_per_packet, transmit_limit)
        return tuple(updates)
