"""One control process as an engine: agreement, voters, worker registry, told the time and without I/O.

The driver calls `tick` when `due` says so and `receive` with what comes from other control processes. Then it
takes what there is to say (`take`), stores what it rests on, and only then says it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hazelbend.control import messages as m
from hazelbend.control.config_machine import (
    ChangeResult,
    ConfigMachine,
    StoredConfig,
    change_entry,
    refound_entry,
)
from hazelbend.control.load_table import Load
from hazelbend.control.phase_planner import PhaseOrder, PhasePlanner
from hazelbend.control.workers import RECALLED_BEATS, SILENT_BEATS, WorkerRecord, WorkerRegistry, WorkerState
from hazelbend.fleet.members import address_of
from hazelbend.fleet.memory import Memory, epoch_number
from hazelbend.fleet.messages import Message
from hazelbend.fleet.record import Record, Timing
from hazelbend.fleet.voters import next_voters

HELLO_EVERY = 250_000  # microseconds between two greetings to a control process
AGES_EVERY = 500_000  # between two words on when workers were heard
TEND_EVERY = 200_000  # between the leader's looks at the voters
ALIVE = 1_000_000  # since it was heard, a control process counts as alive
LOST = 2_500_000  # after so long without a word it may be replaced as a voter
FORGOTTEN = 60_000_000  # an address that has been silent for so long is not greeted any more
NO_SEED_COUNTS = 2_000_000  # after which one that is no seed may found, where no seed may vote
ACK_WAIT = 900_000  # how long a worker's call waits until enough processes hold its word
FIRST_ELECTION = (120_000, 400_000)  # after a start, until one that hears of no leader stands
TERM_BITS = 16  # of a fencing token, below the epoch
LEASE_MARGIN = 1_500_000  # beyond a lease, from when a process leads until its first order
TIMING = Timing(heartbeat=100_000, election=500_000, batch=32, kept=48)


@dataclass(slots=True, frozen=True)
class ControlPlan:
    """What the settings say of a control process. Addresses are those of control processes for each other."""

    address: str
    seeds: tuple[str, ...]
    counted: bool
    may_found: bool
    tolerance: int  # counted machines that may be lost at one time
    heartbeat: int  # microseconds between two heartbeats of a worker
    lease: int = 0  # microseconds that must lie between orders of two leaders


@dataclass(slots=True)
class Peer:
    """Another control process, as it last named itself."""

    identity: str = ""
    counted: bool = False
    heard_at: int = 0
    leader: str = ""  # that it follows, if it has a vote
    routers: tuple[str, ...] = ()  # that watch it
    switching: tuple[str, ...] = ()  # workers that it has ordered to another part


@dataclass(slots=True, frozen=True)
class PutDone:
    """A change was decided; None: nobody knows whether it was taken."""

    number: int
    result: ChangeResult | None


@dataclass(slots=True, frozen=True)
class ReadDone:
    """The newest committed configuration at some time after the call; None: not known here."""

    number: int
    config: StoredConfig | None


@dataclass(slots=True, frozen=True)
class WorkerDone:
    """Whether enough control processes hold a worker's word."""

    number: int
    held: bool


Answer = PutDone | ReadDone | WorkerDone


@dataclass(slots=True)
class Spoken:
    """What may be said once all that it rests on is stored."""

    out: list[tuple[str, m.Agreement]] = field(default_factory=list)  # to the address of a control process
    answers: list[Answer] = field(default_factory=list)
    config: StoredConfig = StoredConfig()


@dataclass(slots=True)
class SoftSpoken:
    """What rests on nothing that is stored."""

    out: list[tuple[str, m.Body]] = field(default_factory=list)  # to the address of a control process
    answers: list[WorkerDone] = field(default_factory=list)
    news: list[WorkerRecord] = field(default_factory=list)  # for routers


@dataclass(slots=True)
class _Held:
    """A worker's word, and who else holds it."""

    until: int
    holders: set[str] = field(default_factory=set)


class ControlEngine:
    """See the head of the file."""

    def __init__(
        self,
        identity: str,
        plan: ControlPlan,
        seed: int,
        now: int,
        unix_seconds: Callable[[], float],
        memory: Memory | None = None,
    ) -> None:
        self.plan, self._unix_seconds = plan, unix_seconds
        self.machine = ConfigMachine()
        self.record = Record(memory or Memory(identity), self.machine, TIMING, seed, now)
        if memory is not None:
            self.record.stand_by(now + random.Random(seed).randint(*FIRST_ELECTION))
        self.registry = WorkerRegistry(plan.heartbeat)
        self.peers: dict[str, Peer] = {each: Peer() for each in plan.seeds if each != plan.address}
        self.own_routers: set[str] = set()  # those that watch this process
        self.most_routers = (
            1  # that have watched the fleet at a time: what they may spend is shared by so many
        )
        self.planner = PhasePlanner()
        self._led_term, self._led_since = 0, now
        self._said = SoftSpoken()
        self._born = now
        self._hello_at = self._ages_at = self._tend_at = now
        self._number = 0
        self._puts: dict[int, int] = {}  # by the record's ticket: the caller's number
        self._reads: dict[int, int] = {}
        self._held: dict[int, _Held] = {}

    # --- what the driver asks ---

    @property
    def me(self) -> str:
        """This process's identity: that of its memory."""
        return self.record.me

    @property
    def due(self) -> int:
        """When `tick` has something to do."""
        waiting = [each.until for each in self._held.values()]
        return min([self.record.due, self._hello_at, self._ages_at, self._tend_at, *waiting])

    @property
    def has_to_say(self) -> bool:
        """Whether something is to be stored, or said after that."""
        record = self.record
        return bool(record.promise_changed or record.unsaved is not None or record.out or record.done)

    @property
    def leader(self) -> str:
        """The identity of the leader, as far as it is known; an observer knows what voters have told."""
        if self.plan.counted:
            return self.record.leader
        told = [peer for peer in self.peers.values() if peer.counted and peer.leader]
        return max(told, key=lambda peer: peer.heard_at).leader if told else ""

    @property
    def fencing_token(self) -> int:
        """Of orders to workers: rises with each leader, also where the record was founded anew."""
        memory = self.record.memory
        return (memory.epoch << TERM_BITS) + min(memory.term, (1 << TERM_BITS) - 1)

    @property
    def acknowledges(self) -> bool:
        """Whether a majority of the voters is more copies than may be lost."""
        return len(self.record.voters) // 2 + 1 > self.plan.tolerance

    def alive(self, now: int) -> dict[str, Peer]:
        """The other control processes that were heard of late, by address."""
        return {address: peer for address, peer in self.peers.items() if now - peer.heard_at < ALIVE}

    def other_counted(self, now: int) -> tuple[str, ...]:
        """Addresses of the other control processes that keep the record, as far as they are alive."""
        return tuple(address for address, peer in self.alive(now).items() if peer.counted)

    def fleet_news(self, now: int) -> m.FleetNews:
        """What routers are told now and then."""
        alive = self.alive(now)
        routers = self.own_routers.union(*(peer.routers for peer in alive.values()))
        switching = {*self.planner.switching, *(name for peer in alive.values() for name in peer.switching)}
        own = (self.plan.address,) if self.plan.counted else ()
        addresses = own + self.other_counted(now)
        self.most_routers = max(self.most_routers, len(routers))
        return m.FleetNews(addresses, self.most_routers, self.registry.silent_ages(now), tuple(switching))

    def recall_workers(self, records: tuple[WorkerRecord, ...], now: int) -> None:
        """Workers known before a restart. Nothing was heard because nobody listened: they have a little more
        than a heartbeat to be heard before they count as silent."""
        heard_at = now - round((SILENT_BEATS - RECALLED_BEATS) * self.plan.heartbeat)
        for record in records:
            if record.state is not WorkerState.GONE:
                self._tell(self.registry.merge(record, heard_at))

    def phase_orders(self, loads: dict[str, Load], now: int) -> list[PhaseOrder]:
        """Orders to give to workers now; none unless this process has surely led alone for a lease."""
        if not self.record.settled or self.record.memory.term != self._led_term:
            self._led_term = self.record.memory.term if self.record.settled else 0
            self._led_since = now
        if not self._led_term:
            self.planner.forget()
            return []
        if now - self._led_since < self.plan.lease + LEASE_MARGIN:
            return []
        heard = [each for each in self.registry.listed.values() if not self.registry.is_silent(each, now)]
        return self.planner.plan([each.record for each in heard], loads, now)

    def take_soft(self) -> SoftSpoken:
        """What may be said at once."""
        said, self._said = self._said, SoftSpoken()
        return said

    def take(self) -> Spoken:
        """What is to be said once the record's changes are stored."""
        said = Spoken(config=self.machine.current)
        self._collect(said)
        return said

    def drop_unsaid(self) -> list[Answer]:
        """What this process was about to say can't be stored: messages are lost, answers unknown."""
        return [
            PutDone(each.number, None) if isinstance(each, PutDone) else ReadDone(each.number, None)
            for each in self.take().answers
        ]

    # --- calls from outside ---

    def put(self, base: int, version: int, body: bytes, now: int) -> int | None:
        """Propose a checked configuration; the number of the answer, or None: this process does not lead."""
        if not self.acknowledges:
            return None
        ticket = self.record.propose(change_entry(base, version, body), now)
        if ticket is None:
            return None
        self._number += 1
        self._puts[ticket] = self._number
        return self._number

    def read(self, now: int) -> int | None:
        """Ask for the newest committed configuration; None: this process does not lead."""
        ticket = self.record.read(now)
        if ticket is None:
            return None
        self._number += 1
        self._reads[ticket] = self._number
        return self._number

    def can_spread(self, now: int) -> bool:
        """Whether a worker's word that comes here reaches those that tell routers. An observer that is cut
        off from all of them is not where a worker should speak."""
        return self.plan.counted or bool(self.other_counted(now))

    def worker_heard(self, record: WorkerRecord, now: int) -> int | None:
        """A worker has spoken: the number of the answer to wait for, or None where it needs no other."""
        known = self.registry.listed.get(record.instance)
        self._tell(self.registry.merge(record, now))
        if record.state is WorkerState.READY or not self._copies_needed:
            return None
        if known is not None and known.record.state is WorkerState.GONE:
            record = known.record
        self._number += 1
        self._held[self._number] = _Held(now + ACK_WAIT)
        for address in self.peers:
            self._said.out.append((address, m.WorkerNews(self._number, (record,))))
        return self._number

    @property
    def _copies_needed(self) -> int:
        """Counted control processes beside this one that must hold what is acknowledged."""
        return self.plan.tolerance if self.plan.counted else self.plan.tolerance + 1

    def worker_left(self, instance: str, now: int) -> int | None:
        """A worker has deregistered; as `worker_heard`."""
        ended = self.registry.ended(instance)
        if ended is None:
            ended = WorkerRecord(instance, "", "", "", WorkerState.GONE, 0)
        return self.worker_heard(ended, now)

    # --- what happens ---

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._found_if_first(now)
        if now >= self.record.due:
            self.record.tick(now)
        if now >= self._hello_at:
            self._hello_at = now + HELLO_EVERY
            self._greet(now)
        if now >= self._ages_at:
            self._ages_at = now + AGES_EVERY
            self.registry.expire(now)
            fresh = self.registry.take_fresh_ages(now)
            ages = m.Ages(fresh, tuple(self.own_routers), self.planner.switching)
            self._said.out += [(address, ages) for address in self.other_counted(now)]
        if now >= self._tend_at:
            self._tend_at = now + TEND_EVERY
            self._tend_voters(now)
        for number, held in list(self._held.items()):
            if now >= held.until:
                self._settle(number, held)

    def receive(self, sender: str, body: m.Body, now: int) -> None:
        """A message of the control process at this address."""
        match body:
            case m.Hello():
                self._greeted(sender, body, now)
            case m.Agreement(messages=messages):
                for message in messages:
                    if message.to == self.me:
                        self.record.receive(message, now)
            case m.WorkerNews(number=number, records=records, ages=ages):
                for record in records:
                    heard_at = now - ages.get(record.instance, 0)
                    self._tell(self.registry.merge(record, heard_at))
                if number:
                    self._said.out.append((sender, m.WorkerNewsTaken(number)))
            case m.WorkerNewsTaken(number=number) if number in self._held:
                held = self._held[number]
                peer = self.peers.get(sender)
                if peer is not None and peer.counted:
                    held.holders.add(sender)
                if len(held.holders) >= self._copies_needed:
                    self._settle(number, held)
            case m.Ages(ages=ages, routers=routers, switching=switching):
                if sender in self.peers:
                    self.peers[sender].routers, self.peers[sender].switching = routers, switching
                for instance, age in ages.items():
                    self.registry.hear(instance, now - age)

    def refound(self, now: int) -> int:
        """An operator's word that a majority is lost for good: a new record, founded here, that begins with
        what this process holds. Its epoch. ValueError: a leader is known, so nothing is lost.
        """
        if self.record.leader:
            raise ValueError(f"{self.record.leader} leads: no majority is lost")
        state = self.machine.snapshot()
        epoch = epoch_number(self.record.memory.epoch, self._unix_seconds(), self.me)
        self.record.found(epoch, now)
        self.record.propose(refound_entry(state), now)
        return epoch

    def greet_also(self, addresses: tuple[str, ...]) -> None:
        """Other control processes to look for: the seeds have changed."""
        for address in addresses:
            if address != self.plan.address:
                self.peers.setdefault(address, Peer())

    def hand_over(self, now: int) -> bool:
        """Let another voter lead, before a planned end. False: nothing to hand over, or nobody to take it."""
        alive = {peer.identity for peer in self.alive(now).values()}
        others = [each for each in self.record.voters if each in alive]
        return bool(others) and self.record.hand_over(others[0], now)

    # --- parts ---

    def _found_if_first(self, now: int) -> None:
        record, plan = self.record, self.plan
        if not plan.may_found or not plan.counted or record.memory.epoch:
            return
        for seed in plan.seeds:
            if seed == plan.address:
                record.found(epoch_number(0, self._unix_seconds(), self.me), now)
                return
            peer = self.peers.get(seed)
            if peer is None or not peer.identity or peer.counted:
                return  # it founds, or has not said yet whether it may
        counted = [address for address, peer in self.peers.items() if peer.counted]
        if now - self._born > NO_SEED_COUNTS and plan.address < min(counted, default="~"):
            record.found(epoch_number(0, self._unix_seconds(), self.me), now)

    def _greet(self, now: int) -> None:
        known = [self.plan.address, *self.alive(now)]
        leader = self.record.leader if self.plan.counted else ""
        hello = m.Hello(self.me, self.plan.counted, tuple(known), leader)
        for address, peer in list(self.peers.items()):
            silent = now - max(peer.heard_at, self._born) > FORGOTTEN
            if silent and address not in self.plan.seeds:
                del self.peers[address]
            else:
                self._said.out.append((address, hello))

    def _greeted(self, sender: str, hello: m.Hello, now: int) -> None:
        new = sender not in self.alive(now)
        peer = self.peers.setdefault(sender, Peer())
        peer.identity, peer.counted, peer.heard_at = hello.identity, hello.counted, now
        peer.leader = hello.leader
        for address in hello.controls:
            if address != self.plan.address:
                self.peers.setdefault(address, Peer(heard_at=now - ALIVE))
        if new:  # it may have started with nothing, or was cut off
            records = self.registry.records()
            self._said.out.append((sender, m.WorkerNews(0, records, self.registry.ages(now))))

    def _tend_voters(self, now: int) -> None:
        record = self.record
        if not record.leads:
            return
        members = [self.me] if self.plan.counted else []
        members += sorted(peer.identity for peer in self.alive(now).values() if peer.counted)
        current = {peer.identity for peer in self.peers.values()} | {self.me}
        lost = {
            voter
            for voter in record.voters
            if voter not in members and (voter not in current or self._silent(voter, now))
        }
        for voter in record.voters:
            if voter != self.me:
                self.peers.setdefault(address_of(voter), Peer(voter, True, now))
        least = 2 * self.plan.tolerance + 1
        wish = next_voters(record.voters, self.me, members, lost, max(len(members), least), least)
        record.teach(set(wish or ()) - set(record.voters), now)
        if wish is not None:
            record.change_voters(wish, now)

    def _silent(self, voter: str, now: int) -> bool:
        peer = self.peers.get(address_of(voter))
        return peer is not None and now - peer.heard_at > LOST

    def _tell(self, records: list[WorkerRecord]) -> None:
        """What is new here is new to others as well."""
        if not records:
            return
        self._said.news += records
        news = m.WorkerNews(0, tuple(records))
        self._said.out += [(address, news) for address in self.peers]

    def _settle(self, number: int, held: _Held) -> None:
        del self._held[number]
        self._said.answers.append(WorkerDone(number, len(held.holders) >= self._copies_needed))

    def _collect(self, said: Spoken) -> None:
        record = self.record
        by_address: dict[str, list[Message]] = {}
        for message in record.out:
            by_address.setdefault(address_of(message.to), []).append(message)
        record.out.clear()
        for address, messages in by_address.items():
            said.out.append((address, m.Agreement(tuple(messages))))
        done, record.done = record.done, []
        for each in done:
            if (number := self._puts.pop(each.ticket, None)) is not None:
                result = each.result if each.ok and isinstance(each.result, ChangeResult) else None
                said.answers.append(PutDone(number, result))
            elif (number := self._reads.pop(each.ticket, None)) is not None:
                config = self.machine.current if each.ok else None
                said.answers.append(ReadDone(number, config))
