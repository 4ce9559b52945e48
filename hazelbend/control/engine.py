"""One control process as a sans-I/O engine: consensus, membership of voters, the worker registry.

The driver calls `tick` at `next_tick_at` and `receive` with each message from another control process.
Then it takes the output: `take_immediate_output` may be sent at once, `take_durable_output` only once the
changes of the log that it rests on are stored.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Message
from hazelbend.consensus.persistent_state import PersistentState, epoch_number
from hazelbend.consensus.raft import RaftNode, Timing
from hazelbend.consensus.voters import next_voters
from hazelbend.control import messages as m
from hazelbend.control.announcements import Announcements
from hazelbend.control.config_state_machine import (
    ChangeResult,
    ConfigStateMachine,
    encode_config_change,
    encode_force_new_cluster,
)
from hazelbend.control.load_table import Load
from hazelbend.control.outputs import (
    Answer,
    ControlSettings,
    DurableOutput,
    ImmediateOutput,
    PutOutcome,
    ReadOutcome,
)
from hazelbend.control.peers import PeerTable
from hazelbend.control.phase_planner import PhaseOrder, PhasePlanner
from hazelbend.control.workers import (
    RESTORED_HEARTBEATS,
    SILENT_HEARTBEATS,
    WorkerRecord,
    WorkerRegistry,
    WorkerState,
)

GREETING_PERIOD = 250_000  # microseconds between two greetings to a control process
AGES_PERIOD = 500_000  # between two messages on when workers were heard
VOTERS_PERIOD = 200_000  # between the leader's looks at the voters
FIRST_ELECTION = (120_000, 400_000)  # after a start, until one that hears of no leader stands
TERM_BITS = 16  # of a fencing token, below the epoch; more terms carry into it
DIFFERS_LONG = (
    2  # messages in a row by which another one knows other workers, until all of them are asked for
)
LEASE_MARGIN = 1_500_000  # beyond a lease, from when a process leads until its first order
TIMING = Timing(heartbeat=100_000, election=500_000, batch=32, kept=48)


class ControlEngine:
    """See the head of the file."""

    def __init__(
        self,
        identity: str,
        settings: ControlSettings,
        seed: int,
        now: int,
        unix_seconds: Callable[[], float],
        memory: PersistentState | None = None,
    ) -> None:
        self.settings = settings
        self._unix_seconds = unix_seconds
        self.machine = ConfigStateMachine()
        self.raft = RaftNode(memory or PersistentState(identity), self.machine, TIMING, seed, now)
        if memory is not None:
            self.raft.campaign_at(now + random.Random(seed).randint(*FIRST_ELECTION))
        self.registry = WorkerRegistry(settings.heartbeat_us)
        self.peers = PeerTable(self.raft.me, settings.address, settings.seeds, self.raft.life, now)
        self.announcements = Announcements(self.raft.life, settings.tolerance)
        self.watching_routers: set[str] = set()  # those that watch this process
        self.peak_router_count = 1  # that have watched the fleet at a time: they share what may be spent
        self.planner = PhasePlanner()
        self._led_term, self._led_since = 0, now
        self._volatile = ImmediateOutput()
        self._greet_at = self._ages_at = self._voters_at = now
        self._number = 0  # of answers, within this life
        self._puts: dict[int, int] = {}  # by the record's ticket: the caller's number
        self._reads: dict[int, int] = {}

    # --- what the driver asks ---

    @property
    def identity(self) -> str:
        """This process's identity: that of its memory."""
        return self.raft.me

    @property
    def next_tick_at(self) -> int:
        """When `tick` has something to do."""
        times = [self.raft.due, self._greet_at, self._ages_at, self._voters_at]
        if (announcement := self.announcements.due) is not None:
            times.append(announcement)
        return min(times)

    @property
    def has_durable_output(self) -> bool:
        """Whether something is to be stored, or sent after that."""
        record = self.raft
        return bool(record.promise_changed or record.unsaved is not None or record.out or record.done)

    @property
    def leader(self) -> str:
        """The identity of the leader, as far as it is known; an observer knows what voters have told."""
        return self.raft.leader if self.settings.counts_for_quorum else self.peers.reported_leader()

    @property
    def fencing_token(self) -> int:
        """Of orders to workers: rises with each term, and with each epoch beyond all terms of the one before
        (`refound` sees to that)."""
        memory = self.raft.persistent
        return (memory.epoch << TERM_BITS) + memory.term

    @property
    def quorum_exceeds_tolerance(self) -> bool:
        """Whether a majority of the voters is more copies than may be lost."""
        return len(self.raft.voters) // 2 + 1 > self.settings.tolerance

    def fleet_status(self, now: int) -> m.FleetStatus:
        """What routers are told now and then."""
        alive = self.peers.alive(now)
        routers = self.watching_routers.union(*(peer.routers for peer in alive.values()))
        switching = {*self.planner.switching, *(name for peer in alive.values() for name in peer.switching)}
        own = (self.settings.address,) if self.settings.counts_for_quorum else ()
        addresses = own + self.peers.alive_quorum_peers(now)
        self.peak_router_count = max(self.peak_router_count, len(routers))
        return m.FleetStatus(
            addresses, self.peak_router_count, self.registry.silent_ages(now), tuple(switching)
        )

    def restore_workers(self, records: tuple[WorkerRecord, ...], now: int) -> None:
        """Workers known before a restart. Nothing was heard because nobody listened: they have a little more
        than a heartbeat to be heard before they count as silent."""
        heard_at = now - round((SILENT_HEARTBEATS - RESTORED_HEARTBEATS) * self.settings.heartbeat_us)
        for record in records:
            if record.state is not WorkerState.GONE:
                self._spread(self.registry.merge(record, heard_at))

    def phase_orders(self, loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """Orders to give to workers now; none unless there is an `order_token`."""
        token = self.order_token(now)
        if not self._led_term:
            self.planner.forget()
        if token is None:
            return []
        heard = [each for each in self.registry.tracked.values() if not self.registry.is_silent(each, now)]
        return self.planner.plan([each.record for each in heard], loads, now)

    def order_token(self, now: int) -> int | None:
        """The fencing token of orders that this process may give; None unless it has surely led alone for a
        lease, so that no order of an earlier leader falls within a lease of its own. Ask regularly. A
        majority must confirm each order besides, and the token must still be the same after that: a process
        that has stepped down meanwhile knows the next leader's term."""
        if not self.raft.settled or self.raft.persistent.term != self._led_term:
            self._led_term = self.raft.persistent.term if self.raft.settled else 0
            self._led_since = now
        waited = now - self._led_since >= self.settings.lease_us + LEASE_MARGIN
        return self.fencing_token if self._led_term and waited else None

    def take_immediate_output(self) -> ImmediateOutput:
        """What may be sent at once."""
        self._volatile.answers += self.announcements.take_done()
        output, self._volatile = self._volatile, ImmediateOutput()
        return output

    def take_durable_output(self) -> DurableOutput:
        """What is to be sent once the record's changes are stored."""
        output = DurableOutput(config=self.machine.current, confirmed_at=self.raft.confirmed_at)
        by_address: dict[str, list[Message]] = {}
        for message in self.raft.out:
            by_address.setdefault(address_of(message.to), []).append(message)
        self.raft.out.clear()
        output.out = [(address, m.RaftMessages(tuple(each))) for address, each in by_address.items()]
        output.answers = self._take_answers()
        return output

    def discard_durable_output(self) -> list[Answer]:
        """What is to be sent can't be stored: messages are lost, answers unknown."""
        return [
            PutOutcome(each.number, None) if isinstance(each, PutOutcome) else ReadOutcome(each.number, None)
            for each in self.take_durable_output().answers
        ]

    # --- calls from outside ---

    def put(self, base: int, version: int, body: bytes, now: int) -> int | None:
        """Propose a checked configuration; the number of the answer, or None: this process does not lead, or
        holds more than it may that no majority has taken."""
        if not self.quorum_exceeds_tolerance:
            return None
        ticket = self.raft.propose(encode_config_change(base, version, body), now)
        if ticket is None:
            return None
        self._puts[ticket] = self._next_number()
        return self._puts[ticket]

    def read(self, now: int) -> int | None:
        """Ask for the newest committed configuration; None: this process does not lead."""
        ticket = self.raft.read(now)
        if ticket is None:
            return None
        self._reads[ticket] = self._next_number()
        return self._reads[ticket]

    def reaches_quorum_peers(self, now: int) -> bool:
        """Whether a heartbeat that comes here reaches other control processes that tell routers, if there are
        any. One that is cut off from all of them is not where a worker should call."""
        return bool(self.peers.alive_quorum_peers(now)) or (
            self.settings.counts_for_quorum and not self.peers.quorum_peer_count
        )

    def handle_heartbeat(self, record: WorkerRecord, now: int) -> int | None:
        """A worker has called: the number of the answer to wait for, or None where it needs no other."""
        known = self.registry.tracked.get(record.instance)
        self._spread(self.registry.merge(record, now))
        if record.state is WorkerState.READY:
            return None
        if known is not None and known.record.state is WorkerState.GONE:
            record = known.record
        number = self._next_number()
        news = self.announcements.begin(number, record, now)
        self._volatile.out += [(address, news) for address in self.peers.addresses]
        if self.settings.counts_for_quorum:
            self.announcements.taken(self._holds(news))
        return number

    def _holds(self, news: m.WorkerUpdate) -> m.WorkerUpdateAck:
        return m.WorkerUpdateAck(news.number, news.life, self.identity, self.raft.voters)

    def send_worker_snapshot(self, address: str, now: int) -> None:
        """What was sent to this control process before may be lost: it is sent all workers."""
        news = m.WorkerUpdate(0, self.registry.lasting(now), self.registry.ages(now))
        self._volatile.out.append((address, news))

    def handle_deregistration(self, instance: str, now: int) -> int | None:
        """A worker has deregistered; as `handle_heartbeat`."""
        ended = self.registry.ended(instance)
        if ended is None:
            ended = WorkerRecord(instance, "", "", "", WorkerState.GONE, 0)
        return self.handle_heartbeat(ended, now)

    # --- what happens ---

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._found_if_first(now)
        if now >= self.raft.due:
            self.raft.tick(now)
        if now >= self._greet_at:
            self._greet(now)
        if now >= self._ages_at:
            self._ages_at = now + AGES_PERIOD
            self.registry.expire(now)
            fresh = self.registry.take_fresh_ages(now)
            digest = self.registry.digest
            ages = m.WorkerAges(fresh, tuple(self.watching_routers), self.planner.switching, digest)
            self._volatile.out += [(address, ages) for address in self.peers.alive_quorum_peers(now)]
        if now >= self._voters_at:
            self._voters_at = now + VOTERS_PERIOD
            self._look_at_voters(now)
        self.announcements.expire(now)

    def receive(self, sender: str, body: m.Body, now: int) -> None:
        """A message of the control process at this address."""
        match body:
            case m.PeerHello():
                self._greeted(sender, body, now)
            case m.RaftMessages(messages=messages):
                for message in messages:
                    if message.to == self.identity:
                        self.raft.receive(message, now)
            case m.WorkerUpdate():
                self._worker_news(sender, body, now)
            case m.WorkerUpdateAck():
                self.announcements.taken(body)
            case m.WorkerAges():
                self._ages(sender, body, now)
            case m.WorkerSyncRequest():
                self.send_worker_snapshot(sender, now)

    def force_new_cluster(self, now: int) -> int:
        """An operator's word that a majority is lost for good: a new record, founded here, that begins with
        what this process holds. Its epoch. ValueError: a leader is known, so nothing is lost.
        """
        if self.raft.leader:
            raise ValueError(f"{self.raft.leader} leads: no majority is lost")
        state, memory = self.machine.snapshot(), self.raft.persistent
        highest = memory.epoch + (memory.term >> TERM_BITS) + 1  # what its fencing tokens have reached
        epoch = epoch_number(highest, self._unix_seconds(), self.identity)
        self.raft.found(epoch, now)
        self.raft.propose(encode_force_new_cluster(state), now)
        return epoch

    def learn_seeds(self, addresses: tuple[str, ...], now: int) -> None:
        """Other control processes to look for."""
        self.peers.learn(addresses, now)

    def leave(self, now: int) -> bool:
        """Before a planned end: tell the others, and let another voter lead. False: nothing to hand over, or
        nobody to take it."""
        self.peers.leaving = True
        self._greet(now)
        alive = {peer.identity for peer in self.peers.alive(now).values() if not peer.leaving}
        others = [each for each in self.raft.voters if each in alive]
        return bool(others) and self.raft.hand_over(others[0], now)

    # --- parts ---

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _found_if_first(self, now: int) -> None:
        settings = self.settings
        if self.raft.persistent.epoch or not settings.may_bootstrap or not settings.counts_for_quorum:
            return
        if self.peers.may_bootstrap(now):
            self.raft.found(epoch_number(0, self._unix_seconds(), self.identity, by_operator=False), now)

    def _greet(self, now: int) -> None:
        self._greet_at = now + GREETING_PERIOD
        leader = self.raft.leader if self.settings.counts_for_quorum else ""
        self._volatile.out += self.peers.greetings(self.settings.counts_for_quorum, leader, now)

    def _greeted(self, sender: str, hello: m.PeerHello, now: int) -> None:
        if self.peers.greeted(sender, hello, now):  # it may have started with nothing, or was cut off
            self.send_worker_snapshot(sender, now)

    def _worker_news(self, sender: str, news: m.WorkerUpdate, now: int) -> None:
        for record in news.records:
            heard_at = now - news.ages.get(record.instance, 0)
            self._spread(self.registry.merge(record, heard_at))
        if news.number and self.settings.counts_for_quorum:
            self._volatile.out.append((sender, self._holds(news)))

    def _ages(self, sender: str, news: m.WorkerAges, now: int) -> None:
        peer = self.peers.get(sender)
        if peer is not None:
            peer.routers, peer.switching = news.routers, news.switching
            # Those that do not count are told no ages, so they forget workers earlier.
            same = (
                not peer.counts_for_quorum
                or not self.settings.counts_for_quorum
                or news.digest == self.registry.digest
            )
            peer.differs = 0 if same else peer.differs + 1
            if peer.differs >= DIFFERS_LONG:  # more than news on their way: some were lost
                peer.differs = 0
                self._volatile.out.append((sender, m.WorkerSyncRequest()))
        for instance, age in news.ages.items():
            self.registry.hear(instance, now - age)

    def _look_at_voters(self, now: int) -> None:
        """The leader keeps as voters all that count and are alive."""
        record = self.raft
        if not record.leads:
            return
        self.peers.note_voters(record.voters, now)
        lost = {each for each in record.voters if self.peers.is_replaceable(each, now)}
        members = [self.identity] if self.settings.counts_for_quorum else []
        members += self.peers.candidates(record.voters, lost, now)
        erased = frozenset(each for each in lost if self.peers.has_lost_state(each))
        least = 2 * self.settings.tolerance + 1
        # None that is merely unheard is surplus: a list shrinks only by those that are lost.
        wanted = max(least, len({*members, *record.voters} - lost))
        wish = next_voters(record.voters, self.identity, members, lost, wanted, least, erased)
        record.set_learners(set(wish or ()) - set(record.voters), now)
        if wish is not None:
            record.change_voters(wish, now, erased)

    def _spread(self, records: list[WorkerRecord]) -> None:
        """What is new here is new to others as well."""
        if not records:
            return
        self._volatile.news += records
        news = m.WorkerUpdate(0, tuple(records))
        self._volatile.out += [(address, news) for address in self.peers.addresses]

    def _take_answers(self) -> list[Answer]:
        answers: list[Answer] = []
        done, self.raft.done = self.raft.done, []
        for each in done:
            if (number := self._puts.pop(each.ticket, None)) is not None:
                result = each.result if each.ok and isinstance(each.result, ChangeResult) else None
                answers.append(PutOutcome(number, result))
            elif (number := self._reads.pop(each.ticket, None)) is not None:
                answers.append(ReadOutcome(number, self.machine.current if each.ok else None))
        return answers
