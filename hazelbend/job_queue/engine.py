"""The engine of waiting jobs: a graph, a clock, admission and ageing. No I/O; told the time.

A job is in one state, and moves only downwards:

    state     what it waits for                      leaves it by
    -------   ------------------------------------   -------------------------------------------------
    BLOCKED   parents, or its time                   the last parent's end, its time: to QUEUED
    QUEUED    a place in service                     a free place: to RUNNING (told by `Release`)
    RUNNING   its answer, which the core gives       `ended`
    (ended)   remembered for a while, for children   time, or the bound on their number

From BLOCKED and QUEUED it may also end at once, by `Refusal`: it has not run, so that is always true. What a
parent's end means for its children:

    parent's end                        edge SERVED             edge ENDED
    ---------------------------------   ---------------------   ----------
    served                              one parent less         one less
    refused, failed, cancelled,
    its client left, expired            refused, names parent   one less
    never came                          refused, names parent   refused

A parent that is not known yet is expected for `come_within`. Chains, fans, bytes and numbers are bounded.

Admission. At most `in_service` jobs run, and of a class so many. Of those that queue

    in time   latest start first: wanted_by less the expected run. New jobs of short classes have later times
              than old ones of long classes, so that a flood of them cannot hold an old one back past its own
    aged      what will not be in time (if a late answer earns anything; else it is refused at once), and
              what a tenant has over its share: first come, first served, on at most `aged` places while
              anything in time queues

A job whose wait, by what queues in time on the `in_service - aged` places that are never lent, would miss its
wanted time is not in time as it comes; a refusal then tells when that line will have drained.

Two claims, argued in docs/design/0002-waiting.md and held by tests: ageing takes nothing from jobs in time,
as they are admitted against places that it does not use; and no aged job waits longer than those before it in
its line, one run after the other on `aged` places.

Invariants (`check` evaluates them; tests do after every event):
    1. A job is in one state; the counts of places, clients, tenants and bytes are those of the jobs.
    2. A BLOCKED job has a parent that has not ended or a time that has not come; a QUEUED one neither.
    3. RUNNING is within the bounds, and if a place is free for a queued job, it has it.
    4. The graph has no cycle, and each edge is known at both ends.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from hazelbend.job_queue.terms import (
    Bounds,
    Edge,
    Effect,
    End,
    Key,
    Refusal,
    Release,
    Request,
    TermsError,
)

FIRST_RUN = 500_000.0  # microseconds: a class's run, before one has been seen
MEMORY = 50.0  # runs that a class's mean rests on


class State(Enum):
    EXPECTED = "not come yet"
    BLOCKED = "blocked"
    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class Node:
    key: Key
    state: State
    request: Request | None = None  # None: EXPECTED
    arrived_at: int = 0
    queued_at: int = 0
    started_at: int = 0
    parents: dict[Key, Edge] = field(default_factory=dict)  # that have not ended
    children: dict[Key, None] = field(default_factory=dict)
    results: dict[str, bytes] = field(default_factory=dict)
    depth: int = 0  # of the chain above it, as it came
    clock: int | None = None  # wall time that has not come
    aged: bool = False
    turn: int = 0  # of its entry in a line; others are void
    ends_at: int = 0  # EXPECTED: when it has not come


@dataclass(slots=True)
class Totals:
    waited: int = 0
    released: int = 0
    missed: int = 0  # were in time as they queued, and were not as they would have started
    refused: Counter[End] = field(default_factory=Counter)
    longest: dict[int, int] = field(
        default_factory=dict
    )  # by class: the longest wait of one that was released


class Engine:
    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.nodes: dict[Key, Node] = {}
        self.ended_jobs: OrderedDict[Key, tuple[End, bytes, int]] = OrderedDict()
        self.totals = Totals()
        self.running: Counter[int] = Counter()  # by class
        self.running_by_tenant: Counter[int] = Counter()
        self.running_aged = 0
        self.waiting = self.waiting_bytes = 0
        self.by_client: Counter[str] = Counter()
        self.runs: dict[int, float] = {}
        self._turns = 0
        self._clock: list[tuple[int, int, Key]] = []  # wall time
        self._times: list[tuple[int, int, Key]] = []  # monotonic: deadlines, and ids that never came
        self._in_time: dict[int, list[tuple[int, int, Key]]] = {}  # by class: latest start
        self._aged: dict[int, list[tuple[int, int, Key]]] = {}  # by class: when it queued
        self._queued_in_time: Counter[int] = Counter()  # by class
        self._out: list[Effect] = []

    # --- events ---

    def submit(self, request: Request, now: int, wall: int) -> list[Effect]:
        """A job has come. TermsError, and nothing changed, if its terms cannot be."""
        self._out = []
        known = self.nodes.get(request.key)
        if known is not None and known.state is not State.EXPECTED:
            raise TermsError("a job of this id is open")
        parents = self._parents(request, known)
        crowded = 0 < self.bounds.in_service <= self._busy and not request.passes
        if (request.terms.waits or crowded) and (refusal := self._no_room(request)) is not None:
            self._out.append(refusal)
            self._remember(request.key, End.REFUSED, b"", now)
            if known is not None:
                self._parent_ended(known, End.REFUSED, b"", now)
                del self.nodes[request.key]
            return self._out
        node = known or Node(request.key, State.BLOCKED)
        node.state, node.request, node.arrived_at = State.BLOCKED, request, now
        self.nodes[request.key] = node
        self._count(node, 1)
        self._deepen(node, max((self._depth_of(each) + 1 for each in parents), default=0))
        failed: tuple[Key, End] | None = None
        for key, edge in parents.items():
            failed = failed or self._add_parent(node, key, edge, now)
        if failed is not None:
            self._refuse(node, *self._because(*failed), now)
            return self._out
        if request.terms.not_before is not None and request.terms.not_before > wall:
            node.clock = request.terms.not_before
            self._push(self._clock, node.clock, request.key)
        self._push(self._times, request.deadline, request.key)
        if node.parents or node.clock is not None:
            self.totals.waited += 1
        elif request.passes:
            self._count(node, -1)
            node.state, node.started_at = State.RUNNING, now
            self._out.append(Release(node.key))
        else:
            self._queue(node, now)
        self._admit(now)
        return self._out

    def ended(self, key: Key, end: End, result: bytes, now: int) -> list[Effect]:
        """A released job has its final answer."""
        self._out = []
        node = self.nodes.get(key)
        if node is None or node.state is not State.RUNNING:
            return self._out
        if end is End.SERVED and node.request is not None:
            index, run = node.request.class_index, max(now - node.started_at, 1)
            mean = self.runs.get(index, float(run))
            self.runs[index] = mean + (run - mean) / MEMORY
        self._finish(node, end, result, now)
        self._admit(now)
        return self._out

    def cancel(self, key: Key, end: End, now: int, reason: str = "") -> list[Effect]:
        """Its client takes it back, or has left. One that runs is the core's to end."""
        self._out = []
        node = self.nodes.get(key)
        if node is not None and node.state in (State.BLOCKED, State.QUEUED):
            self._refuse(node, end, reason or end.value, now)
            self._admit(now)
        return self._out

    def refuse_all(self, reason: str, now: int, unless_by: int | None = None) -> list[Effect]:
        """The program ends: what waits for a time after `unless_by` (wall clock) or for a parent that has not
        come cannot run any more, nor what waits for that. Without it, nothing that waits will."""
        self._out = []
        for node in list(self.nodes.values()):
            if self.nodes.get(node.key) is not node or node.state not in (State.BLOCKED, State.QUEUED):
                continue
            never = any(self.nodes[key].state is State.EXPECTED for key in node.parents)
            far = unless_by is not None and node.clock is not None and node.clock > unless_by
            if unless_by is None or never or far:
                self._refuse(node, End.REFUSED, reason, now)
        if unless_by is not None:
            self._admit(now)
        return self._out

    def tick(self, now: int, wall: int) -> list[Effect]:
        """Times that have come."""
        self._out = []
        while self._clock and self._clock[0][0] <= wall:
            _, _, key = heapq.heappop(self._clock)
            node = self.nodes.get(key)
            if node is not None and node.clock is not None and node.clock <= wall:
                node.clock = None
                if not node.parents:
                    self._queue(node, now)
        while self._times and self._times[0][0] <= now:
            _, _, key = heapq.heappop(self._times)
            node = self.nodes.get(key)
            if node is None:
                continue
            if node.state is State.EXPECTED and node.ends_at <= now:
                self._remember(key, End.NEVER_CAME, b"", now)
                self._parent_ended(node, End.NEVER_CAME, b"", now)
                del self.nodes[key]
            elif (
                node.state in (State.BLOCKED, State.QUEUED) and node.request and node.request.deadline <= now
            ):
                self._refuse(node, End.EXPIRED, "its time is over", now)
        while self.ended_jobs and next(iter(self.ended_jobs.values()))[2] + self.bounds.remember_for <= now:
            self.ended_jobs.popitem(last=False)
        self._admit(now)
        return self._out

    def change(self, bounds: Bounds, now: int) -> list[Effect]:
        """Other bounds: what waits stays, and new room is used at once."""
        self._out, self.bounds = [], bounds
        self._admit(now)
        return self._out

    def next_at(self, now: int, wall: int) -> int | None:
        """When `tick` may have something, on the monotonic clock as it stands to the wall's now."""
        times = [self._times[0][0]] if self._times else []
        if self._clock:
            times.append(now + self._clock[0][0] - wall)
        lines = [line[0][0] for line in self._in_time.values() if line]
        return min([*times, *(max(at, now) + 1 for at in lines)], default=None)

    # --- the graph ---

    def _parents(self, request: Request, known: Node | None) -> dict[Key, Edge]:
        """The parents by their keys, checked against cycles and bounds before anything changes."""
        client, own = request.key
        found: dict[Key, Edge] = {}
        for each in request.terms.after:
            if each.id == own:
                raise TermsError("it waits for itself")
            # Named twice: the stricter edge.
            key = client, each.id
            found[key] = Edge.SERVED if Edge.SERVED in (each.edge, found.get(key)) else each.edge
        if len(found) > self.bounds.parents:
            raise TermsError(f"it waits for {len(found)} jobs; at most {self.bounds.parents} may be named")
        for key in found:
            parent = self.nodes.get(key)
            if parent is not None and len(parent.children) >= self.bounds.children:
                raise TermsError(f"{self.bounds.children} jobs wait for {key[1]!r} already")
        above = max((self._depth_of(key) + 1 for key in found), default=0)
        below = 0
        if known is not None and known.children:
            if self._reaches(found, request.key):
                raise TermsError("it waits for a job that waits for it")
            below = self._height(known)
        if above + below > self.bounds.depth:
            raise TermsError(f"a chain of over {self.bounds.depth} jobs that wait for each other")
        return found

    def _depth_of(self, key: Key) -> int:
        node = self.nodes.get(key)
        return node.depth if node is not None else 0

    def _deepen(self, node: Node, depth: int) -> None:
        """What waits below a job that comes late is deeper by then."""
        level = {node.key: depth}
        while level:
            below: dict[Key, int] = {}
            for key, least in level.items():
                each = self.nodes[key]
                if each is node or each.depth < least:
                    each.depth = least
                    below.update(dict.fromkeys(each.children, least + 1))
            level = below

    def _reaches(self, found: dict[Key, Edge], wanted: Key) -> bool:
        """Whether one of these waits, over however many others, for `wanted`."""
        seen, ahead = set(found), list(found)
        while ahead:
            key = ahead.pop()
            if key == wanted:
                return True
            node = self.nodes.get(key)
            for parent in node.parents if node is not None else ():
                if parent not in seen:
                    seen.add(parent)
                    ahead.append(parent)
        return False

    def _height(self, node: Node) -> int:
        """The longest chain below it."""
        level, height = {node.key}, 0
        while level := {child for key in level for child in self.nodes[key].children}:
            height += 1
            if height > self.bounds.depth:
                break
        return height

    def _add_parent(self, node: Node, key: Key, edge: Edge, now: int) -> tuple[Key, End] | None:
        """Wait for it; or, where it has ended already in a way that fails the child, say so."""
        if (past := self.ended_jobs.get(key)) is not None and key not in self.nodes:
            end, result, _ = past
            if _fails(end, edge):
                return key, end
            self._hand(node, key, end, result)
            return None
        parent = self.nodes.get(key)
        if parent is None:
            parent = self.nodes[key] = Node(key, State.EXPECTED, ends_at=now + self.bounds.come_within)
            self._push(self._times, parent.ends_at, key)
        parent.children[node.key] = None
        node.parents[key] = edge
        return None

    def _parent_ended(self, parent: Node, end: End, result: bytes, now: int) -> None:
        """Not by recursion: a chain may be long."""
        ends: list[tuple[Node, End, bytes]] = [(parent, end, result)]
        while ends:
            ended, how, result = ends.pop()
            for key in ended.children:
                child = self.nodes.get(key)
                if child is None or ended.key not in child.parents:
                    continue
                edge = child.parents.pop(ended.key)
                if _fails(how, edge):
                    why, reason = self._because(ended.key, how)
                    self._take_out(child, why, reason, now)
                    ends.append((child, why, b""))
                    continue
                self._hand(child, ended.key, how, result)
                if not child.parents and child.clock is None:
                    self._queue(child, now)
            ended.children.clear()

    @staticmethod
    def _because(key: Key, end: End) -> tuple[End, str]:
        return End.REFUSED, f"{key[1]}, for which it waited: {end.value}"

    def _hand(self, node: Node, key: Key, end: End, result: bytes) -> None:
        if node.request is None or not node.request.terms.takes_results or end is not End.SERVED:
            return
        if sum(map(len, node.results.values())) + len(result) <= self.bounds.result_bytes:
            node.results[key[1]] = result

    # --- admission ---

    def expected_run(self, class_index: int) -> float:
        return self.runs.get(class_index, FIRST_RUN)

    def _queue(self, node: Node, now: int) -> None:
        """It is ready. It goes into a line, or is told at once that it would be late."""
        assert node.request is not None
        request = node.request
        node.state, node.queued_at = State.QUEUED, now
        run = self.expected_run(request.class_index)
        objective = now + request.objective if request.objective else request.deadline
        wanted = min(request.terms.wanted_by or objective, request.deadline)
        if self.bounds.in_service:
            wait = self._wait_ahead(request.class_index)
            late = now + wait + run > wanted and not self._fits(node)
            if late and not request.late_worth:
                self._refuse(node, End.REFUSED, "its wanted time would be missed", now, round(wait) or 1)
                return
            # It would push others that were promised theirs: it goes behind.
            node.aged = late or self._over_share(request.tenant)
        self._line_up(node, round(wanted - run))

    def _line_up(self, node: Node, latest: int) -> None:
        assert node.request is not None
        lines = self._aged if node.aged else self._in_time
        line = lines.setdefault(node.request.class_index, [])
        self._turns += 1
        node.turn = self._turns
        heapq.heappush(line, (node.queued_at if node.aged else latest, node.turn, node.key))
        if not node.aged:
            self._queued_in_time[node.request.class_index] += 1

    def _wait_ahead(self, class_index: int) -> float:
        """About how long what queues in time takes on the places that ageing does not use."""
        places = max(self.bounds.in_service - self.bounds.aged, 1)
        work = sum(count * self.expected_run(each) for each, count in self._queued_in_time.items())
        if not work and self._busy < self.bounds.in_service:
            return 0.0
        return work / places + self.expected_run(class_index) / places

    @property
    def _busy(self) -> int:
        return sum(self.running.values())

    def _fits(self, node: Node) -> bool:
        """Whether there is a place for it now."""
        assert node.request is not None
        limit = dict(self.bounds.by_class).get(node.request.class_index)
        if limit is not None and self.running[node.request.class_index] >= limit:
            return False
        return not self.bounds.in_service or self._busy < self.bounds.in_service

    def _over_share(self, tenant: int) -> bool:
        share = dict(self.bounds.shares).get(tenant)
        return share is not None and self.running_by_tenant[tenant] >= share * self.bounds.in_service

    def _admit(self, now: int) -> None:
        """Fill the free places."""
        while (node := self._next(now)) is not None:
            assert node.request is not None
            if not node.aged:
                self._queued_in_time[node.request.class_index] -= 1
            self._count(node, -1)
            node.state, node.started_at, node.turn = State.RUNNING, now, 0
            self.running[node.request.class_index] += 1
            self.running_by_tenant[node.request.tenant] += 1
            self.running_aged += node.aged
            self.totals.released += 1
            index, waited = node.request.class_index, now - node.arrived_at
            self.totals.longest[index] = max(self.totals.longest.get(index, 0), waited)
            self._out.append(Release(node.key, tuple(node.results.items())))
            node.results = {}

    def _next(self, now: int) -> Node | None:
        self._age(now)
        in_time, aged = self._head(self._in_time), self._head(self._aged)
        if aged is not None and (in_time is None or self.running_aged < self.bounds.aged):
            return self._pop(self._aged, aged)
        return self._pop(self._in_time, in_time) if in_time is not None else None

    def _age(self, now: int) -> None:
        """What can no longer be in time, and has to wait on, goes to the other line."""
        for line in self._in_time.values():
            while line and (line[0][0] < now or self._is_void(line[0])):
                latest, _, key = line[0]
                node = self.nodes.get(key)
                if node is None or self._is_void(line[0]):
                    heapq.heappop(line)
                    continue
                if self._fits(node):
                    break
                heapq.heappop(line)
                assert node.request is not None
                self._queued_in_time[node.request.class_index] -= 1
                node.aged, node.turn = True, 0
                self.totals.missed += 1
                if not node.request.late_worth and self.bounds.in_service:
                    wait = round(self._wait_ahead(node.request.class_index))
                    self._refuse(node, End.REFUSED, "its wanted time would be missed", now, wait or 1)
                else:
                    self._line_up(node, latest)

    def _is_void(self, entry: tuple[int, int, Key]) -> bool:
        node = self.nodes.get(entry[2])
        return node is None or node.turn != entry[1]

    def _head(self, lines: dict[int, list[tuple[int, int, Key]]]) -> Node | None:
        """The first of all classes' lines that there is a place for."""
        best: tuple[int, int, Key] | None = None
        for line in lines.values():
            while line and self._is_void(line[0]):
                heapq.heappop(line)
            if line and (best is None or line[0] < best) and self._fits(self.nodes[line[0][2]]):
                best = line[0]
        return self.nodes[best[2]] if best is not None else None

    @staticmethod
    def _pop(lines: dict[int, list[tuple[int, int, Key]]], node: Node) -> Node:
        assert node.request is not None
        heapq.heappop(lines[node.request.class_index])
        return node

    # --- book-keeping ---

    def _no_room(self, request: Request) -> Refusal | None:
        bounds, client = self.bounds, request.key[0]
        full = self.waiting >= bounds.waiting or self.waiting_bytes + request.size > bounds.waiting_bytes
        if not full and self.by_client[client] < bounds.by_client:
            return None
        self.totals.refused[End.REFUSED] += 1
        reason = "too many jobs wait" if full else "too many jobs of this client wait"
        return Refusal(request.key, End.REFUSED, reason, round(FIRST_RUN))

    def _count(self, node: Node, by: int) -> None:
        assert node.request is not None
        self.waiting += by
        self.waiting_bytes += by * node.request.size
        self.by_client[node.key[0]] += by
        if not self.by_client[node.key[0]]:
            del self.by_client[node.key[0]]

    def _refuse(self, node: Node, end: End, reason: str, now: int, retry_after: int = 0) -> None:
        self._take_out(node, end, reason, now, retry_after)
        self._parent_ended(node, end, b"", now)

    def _take_out(self, node: Node, end: End, reason: str, now: int, retry_after: int = 0) -> None:
        """A job that has not run gets its answer; its children hear of it from the caller."""
        assert node.request is not None
        if node.state is State.QUEUED and not node.aged and node.turn:
            self._queued_in_time[node.request.class_index] -= 1
        node.turn = 0
        for key in node.parents:
            parent = self.nodes.get(key)
            if parent is not None:
                parent.children.pop(node.key, None)
                if parent.state is State.EXPECTED and not parent.children:
                    del self.nodes[key]
        node.parents = {}
        self._count(node, -1)
        self.totals.refused[end] += 1
        del self.nodes[node.key]
        self._remember(node.key, end, b"", now)
        self._out.append(Refusal(node.key, end, reason, retry_after))

    def _finish(self, node: Node, end: End, result: bytes, now: int) -> None:
        assert node.request is not None
        if not node.request.passes:
            self.running[node.request.class_index] -= 1
            self.running_by_tenant[node.request.tenant] -= 1
            self.running_aged -= node.aged
        del self.nodes[node.key]
        self._remember(node.key, end, result, now)
        self._parent_ended(node, end, result, now)

    def _remember(self, key: Key, end: End, result: bytes, now: int) -> None:
        kept = result if len(result) <= self.bounds.result_bytes else b""
        self.ended_jobs.pop(key, None)
        self.ended_jobs[key] = end, kept, now
        while len(self.ended_jobs) > self.bounds.remember:
            self.ended_jobs.popitem(last=False)

    def _push(self, line: list[tuple[int, int, Key]], at: int, key: Key) -> None:
        self._turns += 1
        heapq.heappush(line, (at, self._turns, key))

    def check(self, wall: int) -> None:
        """The invariants. AssertionError names the one that is broken."""
        waiting = [each for each in self.nodes.values() if each.state in (State.BLOCKED, State.QUEUED)]
        running = [each for each in self.nodes.values()
                   if each.state is State.RUNNING and each.request and not each.request.passes]  # fmt: skip
        assert self.waiting == len(waiting), "1: the number that waits"
        assert self.waiting_bytes == sum(each.request.size for each in waiting if each.request), "1: bytes"
        assert +self.by_client == Counter(each.key[0] for each in waiting), "1: clients"
        assert +self.running == Counter(each.request.class_index for each in running if each.request), "1"
        assert self.running_aged == sum(each.aged for each in running), "1: aged"
        in_time = Counter(each.request.class_index for each in waiting
                          if each.request and each.state is State.QUEUED and not each.aged)  # fmt: skip
        assert +self._queued_in_time == in_time, "1: the lines"
        for each in waiting:
            blocked = bool(each.parents) or (each.clock is not None)
            assert blocked is (each.state is State.BLOCKED), "2"
            assert all(each.key in self.nodes[key].children for key in each.parents), "4: edges"
        if self.bounds.in_service:
            assert len(running) <= self.bounds.in_service, "3: places"
        assert not any(each.state is State.QUEUED and self._fits(each) for each in waiting), "3: a free place"
        for each in self.nodes.values():
            assert each.state is not State.EXPECTED or each.children, "4: expected by nobody"
            assert not self._reaches(dict(each.parents), each.key), "4: a cycle"


def _fails(end: End, edge: Edge) -> bool:
    if end is End.SERVED:
        return False
    return edge is Edge.SERVED or end is End.NEVER_CAME
