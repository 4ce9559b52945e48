"""A fleet on virtual time: the engines of consensus, gossip and leases unchanged, a network that loses,
doubles, delays and cuts, processes that die with and without their memory, stop and go on, and clocks that
run fast or slow.

    python -m benchmarks.fleet_sim --schedules 1000 --seed 1 [--defect NAME] [--nodes 5] [--seconds 20]

The last line is one JSON object; the exit status is 1 if anything is broken. The same seed is the same run.
Checked after every step: the invariants at the heads of record.py and leases.py, that no two may act at once,
that a store which checks tokens takes none lower than it has seen, and that a read shows all that ended
before it began. `--defect` plants a mistake, which the checks must find.
"""

from __future__ import annotations

import argparse
import heapq
import json
import multiprocessing
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from benchmarks.fleet_defects import Careless, Forgetful, Hasty, Rash, forget_the_wait
from benchmarks.fleet_history import Call, linearizable
from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import Entry, Message
from hazelbend.consensus.persistent_state import PersistentState, next_epoch
from hazelbend.consensus.raft import RaftConfig, RaftNode, ReadIndexOutcome
from hazelbend.consensus.voters import next_voters
from hazelbend.leases.client import LeaseClient, LeaseRequest, Stage
from hazelbend.leases.expiry_watcher import ExpiryWatcher
from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import Acquire, LeaseResponse, OpenEpoch, Operation, encode

S = 1_000_000  # microseconds
LIMITS = LeaseLimits(min_ttl_us=S, max_ttl_us=3 * S, max_clock_drift=0.05)
NAMES = ("snapshot", "export")
LOST_AFTER = S  # a member that is down so long is known to be
DEFECTS = (
    "no token check",
    "time from the answer",
    "no wait by a new leader",
    "vote forgotten",
    "memory forgotten",
    "two voter changes at once",
    "stale read",
    "token reset in a new epoch",
)


class BrokenRuleError(Exception):
    """What should always hold does not."""


@dataclass(eq=False)
class Node:
    """One machine: a process, its clock, and its disk if it has one."""

    number: int
    rate: float
    offset: int
    has_store: bool
    record: RaftNode | None = None
    leases: LeaseTable = field(default_factory=lambda: LeaseTable(LIMITS))
    watcher: ExpiryWatcher = field(default_factory=lambda: ExpiryWatcher(LIMITS))
    clients: list[LeaseClient] = field(default_factory=list)
    disk: bytes | None = None  # a file, as state_codec.py writes it
    lives: int = 0
    last_request_id: int = 0
    paused: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)
    proposals: dict[int, Callable[[bool, object], None]] = field(default_factory=dict)
    reads: dict[int, Callable[[bool], None]] = field(default_factory=dict)
    down_since: int | None = None
    wake_at: int = 0
    checked: tuple[int, int] = (0, 0)  # epoch and index up to which its entries were compared


class Fleet:
    def __init__(self, seed: int, nodes: int = 3, seconds: float = 20.0, defect: str = "") -> None:
        self.random, self.torn, self.defect = random.Random(seed), random.Random(seed), defect
        self.now, self.end, self.sequence = 0, round(seconds * S), 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        drift = LIMITS.max_clock_drift
        self.nodes = [
            Node(n, self.random.uniform(1 - drift, 1 + drift), self.random.randrange(10**9), n % 2 == 0)
            for n in range(nodes)
        ]
        self.wanted = 3 if nodes < 7 else 5
        self.cuts: dict[tuple[int, int], int] = {}  # one way, until then
        self.loss = 0.0
        self.slow = 1.0
        self.counts: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.leaders: dict[tuple[int, int], str] = {}
        self.committed: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.highest: dict[str, int] = {}  # token, by lease: as the store has seen it
        self.granted: dict[int, tuple[str, str]] = {}
        self.tokens: dict[int, tuple[int, int]] = {}  # by epoch: the least and the highest
        self.finished: Counter[int] = Counter()  # by epoch: the newest entry whose answer somebody has
        self.epoch = 0
        self.history: dict[str, list[Call]] = {name: [] for name in NAMES}

    # --- time ---

    def at(self, delay: float, act: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + max(round(delay), 1), self.sequence, act))

    def local(self, node: Node) -> int:
        return node.offset + round(node.rate * self.now)

    def run(self) -> None:
        for node in self.nodes:
            self._start(node)
        first = self.nodes[0]
        assert first.record is not None
        self._found(first)
        self.at(S, self._tend)
        self.at(self.random.expovariate(1 / S), self._fault)
        while self.events and self.events[0][0] <= self.end:
            self.now, _, act = heapq.heappop(self.events)
            act()
            self._check()
        for name, calls in self.history.items():
            if not linearizable(calls):
                raise BrokenRuleError(
                    f"history: what callers saw of {name} could not have happened in any order"
                )

    # --- processes ---

    def _start(self, node: Node) -> None:
        """With its disk's memory if it has one, else as somebody new."""
        node.lives += 1
        memory = state_codec.decode_state(node.disk)[0] if node.disk is not None else None
        if memory is None:
            identity = f"n{node.number}.{node.lives}"
            if self.defect == "memory forgotten":
                identity = f"n{node.number}"  # it votes as if it remembered
            memory = PersistentState(identity)
        elif self.defect == "vote forgotten":
            memory.voted_for = ""
        leases = Forgetful(LIMITS) if self.defect.startswith("token") else LeaseTable(LIMITS)
        node.leases, node.watcher = leases, ExpiryWatcher(LIMITS)
        kinds = {"two voter changes at once": Rash, "stale read": Careless}
        now = self.local(node)
        record = kinds.get(self.defect, RaftNode)(
            memory, leases, RaftConfig(), self.random.getrandbits(32), now
        )
        record.on_applied = lambda at: node.watcher.observe(node.leases, at)
        node.record, node.down_since, node.paused, node.inbox = record, None, False, []
        node.checked = (0, 0)
        node.clients, node.proposals, node.reads = [], {}, {}
        record.on_applied(now)
        if node.has_store:
            node.disk = state_codec.encode_state(memory)
        for _ in range(2):
            self._new_client(node)
        self._pump(node)

    def _new_client(self, node: Node) -> None:
        node.last_request_id += 1
        kind = Hasty if self.defect == "time from the answer" else LeaseClient
        name = f"n{node.number}.{node.lives}"
        wait = self.random.choice((0, 5 * S))
        lease, ttl = self.random.choice(NAMES), self.random.randint(S, 3 * S)
        request = Acquire(lease, name, node.last_request_id, ttl, wait)
        node.clients.append(kind(request, LIMITS, self.local(node)))

    def _die(self, node: Node, lives: int, longest: float) -> None:
        if node.record is None or node.lives != lives:
            return
        node.record, node.down_since, node.clients = None, self.now, []
        if node.disk is not None and self.torn.random() < 0.3:  # it was writing: some of a frame is there
            frame = state_codec.encode_frame(state_codec.LogEntries(1, (Entry(1),)))
            node.disk += frame[: self.torn.randrange(1, len(frame))]
        self.at(
            self.random.uniform(0, longest) * S, lambda: self._start(node) if node.record is None else None
        )

    def _found(self, node: Node) -> None:
        assert node.record is not None
        known = max(node.record.persistent.epoch, 0)
        self.epoch = next_epoch(known, self.now / S + 1_000, node.record.identity)
        node.record.force_new_cluster(self.epoch, self.local(node))
        self._pump(node)

    def _do(self, node: Node, act: Callable[[RaftNode, int], None]) -> None:
        """Something comes to a process: a stopped one finds it when it goes on, a dead one never."""
        lives = node.lives

        def later() -> None:
            if node.record is not None and node.lives == lives:
                act(node.record, self.local(node))
                self._pump(node)

        node.inbox.append(later) if node.paused else later()

    def _pump(self, node: Node) -> None:
        """Let a process do all that is due; its memory is on its disk before a message leaves."""
        record, now = node.record, self.local(node)
        if record is None or node.paused:
            return
        if now >= record.next_tick_at:
            record.tick(now)
        if record.is_leader:
            self._lead(node, record, now)
        for client in node.clients:
            for request in client.tick(now):
                self._submit(node, client, request)
        if record.hard_state_changed and self.random.random() < 0.1:
            # The worst moment to die: just after a promise.
            lives = node.lives
            self.at(self.random.uniform(0, 10_000), lambda: self._die(node, lives, 0.03))
        if record.has_unsaved_changes:
            frames = state_codec.encode_changes(record)
            if node.disk is not None:
                node.disk += frames
                if len(node.disk) > 50_000:
                    node.disk = state_codec.encode_state(record.persistent)
        for message in record.outbox:
            self._carry(message)
        record.outbox.clear()
        self._report_outcomes(node, record)
        due = min([record.next_tick_at, *(client.next_at for client in node.clients)])
        self._wake(node, max(due - now, 1000) / node.rate)

    @staticmethod
    def _report_outcomes(node: Node, record: RaftNode) -> None:
        outcomes, record.outcomes = record.outcomes, []
        for outcome in outcomes:
            if isinstance(outcome, ReadIndexOutcome):
                node.reads.pop(outcome.read_id, lambda confirmed: None)(outcome.confirmed)
            else:
                ended = node.proposals.pop(outcome.proposal_id, lambda committed, result: None)
                ended(outcome.committed, outcome.result)

    def _wake(self, node: Node, delay: float) -> None:
        at = self.now + round(delay)
        if self.now < node.wake_at <= at:
            return
        node.wake_at = at
        self.at(delay, lambda: self._pump(node) if node.wake_at <= self.now else None)

    def _lead(self, node: Node, record: RaftNode, now: int) -> None:
        if self.defect == "no wait by a new leader":
            forget_the_wait(node.watcher, record.persistent.current_term)
        for operation in node.watcher.new_proposals(node.leases, record.persistent.current_term, now):
            record.propose(encode(operation), now)

    # --- the network ---

    def _carry(self, message: Message) -> None:
        source, to = self._number(message.sender), self._number(message.to)
        self._deliver(source, to, lambda: self._arrive(self.nodes[to], message))
        if self.random.random() < 0.03:  # doubled, and the other one late
            late = self.random.expovariate(1 / 300_000)
            self.at(late, lambda: self._arrive(self.nodes[to], message))

    def _deliver(self, source: int, to: int, act: Callable[[], None]) -> None:
        """What meets a cut is lost, or, as TCP sends it again and again, comes when the cut is over."""
        delay = 1.0 if source == to else self.random.expovariate(1 / (3_000 * self.slow))
        until = self.cuts.get((source, to), 0)
        if until > self.now:
            if self.random.random() < 0.5:
                return
            delay += until - self.now
        elif source != to and self.random.random() < self.loss:
            return
        self.at(delay, act)

    def _arrive(self, node: Node, message: Message) -> None:
        if node.record is not None and node.record.identity == message.to:
            self._do(node, lambda record, now: record.receive(message, now))

    @staticmethod
    def _number(identity: str) -> int:
        return int(identity[1:].split(".")[0])

    # --- leases ---

    def _submit(self, node: Node, client: LeaseClient, request: LeaseRequest) -> None:
        """To the member that it believes to lead, and back; either way can be lost."""
        record = node.record
        assert record is not None
        target = self._number(record.leader) if record.leader else self.random.randrange(len(self.nodes))
        there, lives = self.nodes[target], node.lives

        start = self.now

        def reply(response: LeaseResponse | None) -> None:
            def back() -> None:
                if response is not None:
                    self._note(start, request.operation, response)
                if node.lives == lives:
                    self._do(node, lambda record, now: client.handle_response(request.number, response, now))

            self._deliver(target, node.number, back)

        def put(record: RaftNode, now: int) -> None:
            proposal_id = record.propose(encode(request.operation), now)
            if proposal_id is None:
                reply(None)
                return

            def ended(committed: bool, result: object) -> None:
                epoch = record.persistent.epoch
                self.finished[epoch] = max(self.finished[epoch], record.commit_index if committed else 0)
                reply(result if committed and isinstance(result, LeaseResponse) else None)

            there.proposals[proposal_id] = ended

        self._deliver(node.number, target, lambda: self._do(there, put))

    def _note(self, start: int, operation: Operation, response: LeaseResponse) -> None:
        """For the history of its lease: what a caller saw."""
        token = response.token or getattr(operation, "token", 0)
        kinds = {"released": "released", "lost": "ended", "free": "ended"}
        kind = "held" if response.token else kinds.get(response.reason)
        if kind is not None and token and not isinstance(operation, OpenEpoch):
            self.history[operation.name].append(Call(start, self.now, kind, token))

    def _tend(self) -> None:
        """Now and then: the leader sees to its voters, tasks begin and end, and somebody reads."""
        self.at(self.random.uniform(0.1, 0.4) * S, self._tend)
        for node in self.nodes:
            if node.record is None or node.paused:
                continue
            now = self.local(node)
            node.clients = [each for each in node.clients if each.stage is not Stage.ENDED]
            if len(node.clients) < 2 and self.random.random() < 0.5:
                self._new_client(node)
            for client in node.clients:
                if client.stage is Stage.HELD and self.random.random() < 0.05:
                    client.release(now)
                if client.may_act(now):
                    self._act(client)
            if node.record.is_leader:
                self._see_to_voters(node, node.record, now)
                self._read(node, node.record, now)
            self._pump(node)

    def _see_to_voters(self, node: Node, record: RaftNode, now: int) -> None:
        up = {each.record.identity: each for each in self.nodes if each.record is not None}
        gone = {
            name
            for name in record.voters
            if name not in up and self.now - (self.nodes[self._number(name)].down_since or 0) > LOST_AFTER
        }
        wanted = next_voters(record.voters, record.identity, sorted(up), gone, self.wanted)
        record.set_learners(set(wanted or ()) - set(record.voters), now)
        if wanted is not None:
            self.counts["voter changes"] += record.change_voters(wanted, now)

    def _read(self, node: Node, record: RaftNode, now: int) -> None:
        epoch = record.persistent.epoch
        finished, read_id = self.finished[epoch], record.request_read(now)
        if read_id is None:
            return

        start = self.now

        def ended(confirmed: bool) -> None:
            self.counts["reads"] += confirmed
            if confirmed:
                for name in NAMES:
                    lease = node.leases.state.leases.get(name)
                    call = Call(start, self.now, "read", lease.token if lease else 0)
                    self.history[name].append(call)
            if confirmed and epoch == record.persistent.epoch and record.commit_index < finished:
                raise BrokenRuleError(
                    f"stale read: {record.identity} shows {record.commit_index} of {finished}"
                )

        node.reads[read_id] = ended

    def _act(self, client: LeaseClient) -> None:
        """A write to the task's store, which comes there some time later: its holder may be stopped on the
        way."""
        self.counts["acts"] += 1
        token, name = client.token, client.request.name

        def arrive() -> None:
            if token < self.highest.get(name, 0):
                if self.defect != "no token check":
                    self.counts["refused by token"] += 1
                    return
                raise BrokenRuleError(f"{name}: the store took {token} after {self.highest[name]}")
            self.highest[name] = token

        late = self.random.random() < 0.1
        self.at(self.random.uniform(0, 6 * S if late else 20_000), arrive)

    # --- faults ---

    def _fault(self) -> None:
        self.at(self.random.expovariate(1 / (1.2 * S)), self._fault)
        node = self.random.choice(self.nodes)
        kind = self.random.choice(
            ("kill", "kill", "pause", "cut", "one way", "loss", "slow", "hand over", "wipe")
        )
        up = [each for each in self.nodes if each.record is not None]
        if kind in ("kill", "wipe"):
            if node.record is None or (2 * len(up) <= len(self.nodes) + 1 and self.random.random() < 0.8):
                return
            if kind == "wipe":
                node.disk = None
            self._die(node, node.lives, 4.0)
        elif kind == "pause":
            if node.record is None or node.paused:
                return
            node.paused, lives = True, node.lives
            self.at(self.random.uniform(0.1, 6) * S, lambda: self._go_on(node, lives))
        elif kind in ("cut", "one way"):
            side = set(
                self.random.sample(range(len(self.nodes)), self.random.randint(1, len(self.nodes) - 1))
            )
            other = set(range(len(self.nodes))) - side
            cut = {(a, b) for a in side for b in other}
            cut |= {(b, a) for a, b in cut} if kind == "cut" else set()
            self.cuts |= dict.fromkeys(cut, self.now + round(self.random.uniform(0.2, 4) * S))
        elif kind == "loss":
            self.loss = self.random.uniform(0.05, 0.4)
            self.at(self.random.uniform(0.2, 3) * S, lambda: setattr(self, "loss", 0.0))
        elif kind == "slow":
            self.slow = self.random.uniform(10, 200)
            self.at(self.random.uniform(0.2, 2) * S, lambda: setattr(self, "slow", 1.0))
        else:
            leader = next(
                (each for each in up if each.record and each.record.is_leader and not each.paused), None
            )
            if leader is None or leader.record is None:
                self._maybe_found(up)
                return
            others = [name for name in leader.record.voters if name != leader.record.identity]
            if others:
                leader.record.transfer_leadership(self.random.choice(others), self.local(leader))
                self._pump(leader)
        self.faults[kind] += 1

    def _maybe_found(self, up: list[Node]) -> None:
        """An operator's word, where it is true: most of the voters' memory is lost for good."""
        known = [
            each
            for each in up
            if each.record and each.record.persistent.epoch == self.epoch and not each.paused
        ]
        voters = max((each.record.voters for each in known if each.record), key=len, default=())
        alive = {each.record.identity for each in up if each.record}
        back = {
            name
            for name in voters
            if (disk := self.nodes[self._number(name)].disk)
            and state_codec.decode_state(disk)[0].identity == name
        }
        if (
            2 * len((alive | back) & set(voters)) <= len(voters)
            and up
            and not any(each.paused for each in up)
        ):
            self.faults["new epoch"] += 1
            node = self.random.choice(known or up)
            self._found(node)

    def _go_on(self, node: Node, lives: int) -> None:
        if node.lives != lives or node.record is None:
            return
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for act in inbox:
            act()
        self._pump(node)

    # --- what must hold ---

    def _check(self) -> None:
        acting: dict[str, tuple[str, int]] = {}
        for node in self.nodes:
            record = node.record
            if record is None:
                continue
            memory = record.persistent
            if record.is_leader:
                before = self.leaders.setdefault((memory.epoch, memory.current_term), record.identity)
                if before != record.identity:
                    raise BrokenRuleError(
                        f"election: {before} and {record.identity} lead in term {memory.current_term}"
                    )
            self._check_applied(node, record)
            now = self.local(node)
            for client in node.clients:
                if client.may_act(now):
                    request, acts_by = client.request, (client.request.holder, client.token)
                    other = acting.setdefault(request.name, acts_by)
                    if other != acts_by:
                        raise BrokenRuleError(f"overlap: {other} and {acts_by} may act on {request.name}")

    def _check_applied(self, node: Node, record: RaftNode) -> None:
        memory = record.persistent
        first = max(node.checked[1] if node.checked[0] == memory.epoch else 0, memory.last_included_index)
        for index in range(first + 1, record.commit_index + 1):
            entry = memory.entries[index - memory.last_included_index - 1]
            known = self.committed.setdefault((memory.epoch, index), (entry.term, entry.operation))
            if known != (entry.term, entry.operation):
                raise BrokenRuleError(
                    f"machine: {record.identity} applies another entry at {index} of epoch {memory.epoch}"
                )
        node_state = node.leases.state
        for name, lease in node_state.leases.items():
            known_holder = self.granted.setdefault(lease.token, (name, lease.holder))
            if known_holder != (name, lease.holder):
                raise BrokenRuleError(
                    f"token {lease.token} granted twice: {known_holder} and {name, lease.holder}"
                )
            if any(each.holder == lease.holder for each in lease.waiters):
                raise BrokenRuleError(f"{lease.holder} waits for {name}, which it holds")
        tokens = [lease.token for lease in node_state.leases.values()]
        low, high = self.tokens.get(memory.epoch, (max(tokens, default=0), 0))
        if tokens:
            self.tokens[memory.epoch] = (min(low, *tokens), max(high, *tokens))
        for epoch, (_, before) in self.tokens.items():
            if epoch < memory.epoch and tokens and min(tokens) <= before:
                raise BrokenRuleError(
                    f"epoch {memory.epoch} grants {min(tokens)}, epoch {epoch} granted {before}"
                )
        node.checked = (memory.epoch, record.commit_index)


def play(seed: int, nodes: int, seconds: float, defect: str) -> dict[str, object]:
    fleet = Fleet(seed, nodes, seconds, defect)
    broken = ""
    try:
        fleet.run()
    except BrokenRuleError as error:
        broken = f"seed {seed}, {fleet.now / S:.3f} s: {error}"
    return {
        "seed": seed,
        "broken": broken,
        "faults": dict(fleet.faults),
        "grants": len(fleet.granted),
        **fleet.counts,
    }


def _ignore(ok: bool, result: object) -> None:
    """Nobody waits for this answer any more."""


def _one(task: tuple[int, int, float, str]) -> dict[str, object]:
    return play(*task)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--defect", choices=DEFECTS, default="")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    tasks = [(args.seed + n, args.nodes, args.seconds, args.defect) for n in range(args.schedules)]
    total: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    broken: list[str] = []
    began, after = time.monotonic(), 0
    with multiprocessing.Pool(args.jobs) as pool:
        for number, each in enumerate(pool.imap(_one, tasks, chunksize=4), 1):
            faults.update(cast(Counter[str], each["faults"]))
            total.update(
                {key: value for key, value in each.items() if isinstance(value, int) and key != "seed"}
            )
            if each["broken"]:
                broken.append(str(each["broken"]))
                after = after or number
                if args.defect:
                    break
    print(
        json.dumps(
            {
                "schedules": args.schedules,
                "nodes": args.nodes,
                "defect": args.defect,
                "found_after": after,
                "faults": dict(faults),
                **total,
                "broken": broken[:5],
                "seconds": round(time.monotonic() - began, 1),
            }
        )
    )
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
