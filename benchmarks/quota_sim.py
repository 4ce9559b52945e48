"""Quotas on virtual time: dispatchers that admit at the same time, from one ledger, with faults between them.

    python -m benchmarks.quota_sim --schedules 200    random faults; every count that must be 0 is checked
    python -m benchmarks.quota_sim --defect NAME      until the planted mistake is found
    python -m benchmarks.quota_sim --compare          beside a fixed split, asking for each job, and gossip

Checked after every event: the invariants of quotas/invariants.py, and, by the servers' own count, that no
account has more jobs in service than its limit. The ledger stands for the replicated log, which other tests
check: responses are late, lost, repeated and out of order, and the leader changes.
"""

from __future__ import annotations

import argparse
import heapq
import json
import math
import random
import statistics
import sys
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hazelbend.quotas.allocation import AllocationClient, Permit, Request
from hazelbend.quotas.expiry_watcher import AllocationExpiryWatcher
from hazelbend.quotas.invariants import BrokenInvariantError, check_client, check_ledger
from hazelbend.quotas.ledger import QuotaLedger
from hazelbend.quotas.operations import Account, OpenEpoch, QuotaResponse, Reclaim, ReturnUnits, SetAccounts
from hazelbend.quotas.timing import QuotaTerms

S = 1_000_000
HANGS = 0.2  # of jobs, where there are faults: they run for as long as can be
LONG = QuotaTerms()
# So short that many allocations end in a schedule of 20 s.
SHORT = QuotaTerms(allocation_ttl_us=1 * S, max_job_time_us=2 * S)
DEFECTS = (
    "a holder goes on after its time",
    "a unit given back twice",
    "units dropped at the death of their dispatcher",
    "a late gift is carried out",
    "units kept until the gift is answered",
    "a new epoch is open at once",
)


def home_of(account: str, now: int) -> int:
    """Where most of an account's jobs come to in this second, before it is taken modulo the machines."""
    return zlib.crc32(f"{account} {now // S}".encode())


@dataclass(slots=True)
class Machine:
    """One dispatcher, its clock, and whether it runs."""

    identity: str
    rate: float = 1.0  # of its clock
    clients: dict[str, AllocationClient] = field(default_factory=dict)
    stopped_until: int = 0
    cut_until: int = 0
    dead: bool = False
    due: int = 1 << 62  # when it is pumped next
    later: list[tuple[Permit, str]] = field(default_factory=list)  # ends that came while it was stopped

    def clock(self, now: int) -> int:
        return round(now * self.rate)


class World:
    def __init__(
        self,
        seed: int,
        machines: int = 3,
        *,
        accounts: tuple[Account, ...] = (),
        terms: QuotaTerms = LONG,
        load: float = 1.5,
        faults: bool = True,
        defect: str = "",
        run: int = 500_000,
        loss: float = 0.05,
    ) -> None:
        """`load`: jobs that want to be in service at once, over the limits. `run`: mean time in service."""
        self.chance, self.terms, self.defect, self.faults = random.Random(seed), terms, defect, faults
        self.loss = loss if faults else 0.0
        self.accounts = accounts or (
            Account("all", 10),
            Account("a", 8, 4, "all"),
            Account("b", 6, 3, "all"),
            Account("c", 3, 0, "all"),
        )
        self.leaves = [each for each in self.accounts if each.parent]
        self.load, self.run = load, run
        self.now, self.events, self.number = 0, [], 0
        self.ledger, self.watcher = QuotaLedger(terms), AllocationExpiryWatcher(terms)
        self.ledger.begin(1)
        self.ledger.execute(OpenEpoch())  # nothing was written out before
        self.ledger.execute(SetAccounts(self.accounts))
        self.watcher.observe(self.ledger, 0)
        self.machines = [self._machine(number) for number in range(machines)]
        self.running: Counter[str] = Counter()
        self.count: Counter[str] = Counter()
        self.use = 0.0
        self.used_at = 0
        self.before: dict[str, int] = {}
        self.wait: list[int] = []
        self.part = {each.name: 1.0 for each in self.leaves}

    def _machine(self, number: int) -> Machine:
        self.number += 1
        drift = self.terms.max_clock_drift if self.faults else 0.0
        machine = Machine(f"m{number}#{self.number}", self.chance.uniform(1 - drift, 1 + drift))
        for each in self.leaves:
            clock = machine.clock(self.now)
            machine.clients[each.name] = AllocationClient(each.name, machine.identity, self.terms, clock)
        return machine

    # --- time ---

    def at(self, time: int, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (time, self.number, what))

    def play(self, until: int) -> None:
        for each in self.leaves:
            self.at(0, lambda name=each.name: self.arrive(name))
        for index in range(len(self.machines)):
            self.at(0, lambda index=index: self.pump(index))
        self.at(0, self.lead)
        if self.faults:
            self.at(self.chance.randrange(2 * S), self.fault)
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
            self.check()

    def check(self) -> None:
        self.before = check_ledger(self.ledger, self.before)
        for machine in self.machines:
            if not machine.dead and machine.stopped_until <= self.now:
                for client in machine.clients.values() if self.defect != DEFECTS[0] else ():
                    check_client(client, machine.clock(self.now))
        parents: Counter[str] = Counter()
        for each in self.leaves:
            parents[each.parent] += self.running[each.name]
            self._over(each.name, self.running[each.name], each.limit)
        for each in self.accounts:
            if each.name in parents:
                self._over(each.name, parents[each.name], each.limit)

    def _over(self, name: str, running: int, limit: int) -> None:
        self.count["overshoot"] = max(self.count["overshoot"], running - limit)
        if running > limit:
            at = f"{self.now / S:.3f} s"
            raise BrokenInvariantError(
                f"overshoot: {running} of {name} are in service at {at}, {limit} may be"
            )

    # --- jobs ---

    def _come(self, account: str) -> int:
        """A job has come, and the next will: to which machine."""
        leaf = next(each for each in self.leaves if each.name == account)
        rate = self.load * leaf.limit / self.run * self.part[account]
        self.at(self.now + max(round(self.chance.expovariate(rate)), 1), lambda: self.arrive(account))
        # Demand moves: for a second at a time most of an account's jobs come to one of the machines.
        home = home_of(account, self.now) % len(self.machines)
        self.count["jobs"] += 1
        return home if self.chance.random() < 0.7 else self.chance.randrange(len(self.machines))

    def arrive(self, account: str) -> None:
        index = self._come(account)
        machine = self.machines[index]
        if machine.dead or machine.stopped_until > self.now:
            self.count["nobody there"] += 1
            return
        client, clock = machine.clients[account], machine.clock(self.now)
        if self.defect == "a holder goes on after its time":
            clock = min(clock, client.expires_at - 1)
        permit = client.admit(clock)
        if permit is None:
            self.count["refused"] += 1
            self.pump(index)
            return
        self.count["admitted"] += 1
        self._account_use()
        self.running[account] += 1
        longest = self.terms.max_job_time_us
        took = min(round(self.chance.expovariate(1 / self.run)), longest)
        if self.faults and self.chance.random() < HANGS:
            took = longest  # a server that hangs keeps it for as long as can be
        self.at(self.now + took, lambda: self.end(index, machine, account, permit))

    def end(self, index: int, machine: Machine, account: str, permit: Permit) -> None:
        self._account_use()
        self.running[account] -= 1
        if machine.dead:
            return
        if machine.stopped_until > self.now:
            machine.later.append((permit, account))
            return
        self._ended(machine, account, permit)
        self.pump(index)

    def _ended(self, machine: Machine, account: str, permit: Permit) -> None:
        client = machine.clients[account]
        client.release(permit, machine.clock(self.now))
        twice = self.defect == "a unit given back twice" and self.chance.random() < 0.1
        if twice and permit.token == client.token:
            client.used = max(client.used - 1, 0)

    def _account_use(self) -> None:
        span = self.now - self.used_at
        self.use += span * sum(self.running.values())
        self.used_at = self.now

    # --- requests ---

    def pump(self, index: int) -> None:
        machine = self.machines[index]
        if machine.dead or machine.stopped_until > self.now:
            return
        now = machine.clock(self.now)
        for client in machine.clients.values():
            units_before = client.units
            if self.defect == "a holder goes on after its time" and client.token:
                client.expires_at = max(client.expires_at, now + 1)
            request = client.tick(now)
            if request is not None:
                late = self.defect == "units kept until the gift is answered"
                if late and isinstance(request, ReturnUnits):
                    client.units = units_before
                self.send(index, machine, client, request)
        due = min(client.next_at for client in machine.clients.values())
        due = self.now + max(round((due - now) / machine.rate), 1_000) if due < 1 << 62 else due
        if due < 1 << 62 and not self.now < machine.due <= due:
            machine.due = due
            self.at(due, lambda: self.pumped(index, machine, due))

    def pumped(self, index: int, machine: Machine, due: int) -> None:
        if machine.due == due and self.machines[index] is machine:
            machine.due = 1 << 62
            self.pump(index)

    def delay(self) -> int:
        if self.faults and self.chance.random() < 0.03:
            return self.chance.randrange(4 * S)
        return self.chance.randrange(1_000, 20_000)

    def send(self, index: int, machine: Machine, client: AllocationClient, request: Request) -> None:
        self.count["messages"] += 2
        if machine.cut_until > self.now:
            return
        for _ in range(1 + (self.faults and self.chance.random() < 0.05)):
            if self.chance.random() >= self.loss:
                self.at(self.now + self.delay(), lambda: self.taken(index, machine, client, request))

    def taken(self, index: int, machine: Machine, client: AllocationClient, request: Request) -> None:
        if self.defect == "a late gift is carried out" and isinstance(request, ReturnUnits):
            allocation = self.ledger.state.allocations.get(request.account, {}).get(request.holder)
            if allocation is not None and request.request_number <= allocation.request_number:
                allocation.units -= min(request.units, allocation.units)
        response = self.ledger.execute(request)
        self.watcher.observe(self.ledger, self.now)
        if self.chance.random() < self.loss or machine.cut_until > self.now:
            return
        self.at(self.now + self.delay(), lambda: self.answered(index, machine, client, request, response))

    def answered(
        self,
        index: int,
        machine: Machine,
        client: AllocationClient,
        request: Request,
        response: QuotaResponse,
    ) -> None:
        if machine.dead or machine.clients.get(client.account) is not client:
            return
        if machine.stopped_until > self.now:
            self.at(machine.stopped_until, lambda: self.answered(index, machine, client, request, response))
            return
        now = machine.clock(self.now)
        client.handle_response(request.request_number, response, now)
        self.pump(index)

    # --- who leads, and what goes wrong ---

    def lead(self) -> None:
        for operation in self.watcher.expired(self.ledger, self.now):
            self.ledger.execute(operation)
            if self.defect.startswith("units dropped"):
                for account, units_by_token in list(self.ledger.state.in_doubt.items()):
                    for token in list(units_by_token):
                        self.ledger.execute(Reclaim(account, token))
        if self.defect == "a new epoch is open at once":
            self.ledger.state.is_open = True
        self.watcher.observe(self.ledger, self.now)
        # What is applied later may be due earlier.
        due = min(self.watcher.next_at(self.ledger), self.now + 100_000)
        self.at(max(due, self.now + 10_000), self.lead)

    def fault(self) -> None:
        index = self.chance.randrange(len(self.machines))
        machine = self.machines[index]
        kind = self.chance.choice(("kill", "kill", "stop", "cut", "leader", "epoch", "shift"))
        self.count[f"fault {kind}"] += 1
        if kind == "kill":
            machine.dead = True
            self.at(self.now + self.chance.randrange(2 * S), lambda: self.start(index))
        elif kind == "stop":
            machine.stopped_until = self.now + self.chance.randrange(2 * self.terms.allocation_ttl_us)
            self.at(machine.stopped_until, lambda: self.wake(index, machine))
        elif kind == "cut":
            machine.cut_until = self.now + self.chance.randrange(2 * self.terms.allocation_ttl_us)
        elif kind == "leader":
            self.watcher = AllocationExpiryWatcher(self.terms)
            self.watcher.observe(self.ledger, self.now)
        elif kind == "epoch" and self.chance.random() < 0.1:
            self.ledger.begin(self.ledger.state.epoch + 1)
            self.ledger.execute(SetAccounts(self.accounts))
            self.before = {}
            self.watcher.observe(self.ledger, self.now)
        elif kind == "shift":
            self.part = {each.name: self.chance.choice((0.1, 1.0, 2.0)) for each in self.leaves}
        self.at(self.now + self.chance.randrange(5 * S), self.fault)

    def start(self, index: int) -> None:
        self.machines[index] = self._machine(index)
        self.pump(index)

    def wake(self, index: int, machine: Machine) -> None:
        if machine.dead or machine.stopped_until > self.now:
            return
        # What was under way when it stopped goes on first: a job between its check and its send is a job
        # that was admitted before; what comes is checked by the clock as it is now.
        ended, machine.later = machine.later, []
        for permit, account in ended:
            self._ended(machine, account, permit)
        self.pump(index)


def hunt(schedules: int, seconds: float, machines: int, defect: str, first: int = 0) -> dict[str, Any]:
    """Random schedules until something breaks."""
    count: Counter[str] = Counter()
    for seed in range(first, first + schedules):
        world = World(seed, machines, defect=defect, terms=SHORT, load=3.0)
        try:
            world.play(round(seconds * S))
        except BrokenInvariantError as error:
            count += world.count
            return {"schedules": seed - first + 1, "broken": [str(error)], "seed": seed, **count}
        count += world.count
    return {"schedules": schedules, "broken": [], **count}


# --- beside other ways ---


class Split(World):
    """Each has its part for ever."""

    def begin(self) -> None:
        self.own = [Counter() for _ in self.machines]

    def arrive(self, account: str) -> None:
        index = self._come(account)
        leaf = next(each for each in self.leaves if each.name == account)
        mine = leaf.limit // len(self.machines) + (index < leaf.limit % len(self.machines))
        if self.own[index][account] >= mine:
            self.count["refused"] += 1
            return
        self._serve(index, account, 0)

    def _serve(self, index: int, account: str, waited: int) -> None:
        self.count["admitted"] += 1
        self.wait.append(waited)
        self._account_use()
        self.running[account] += 1
        self.own[index][account] += 1
        took = min(round(self.chance.expovariate(1 / self.run)), self.terms.max_job_time_us)
        self.at(self.now + took, lambda: self._over_with(index, account))

    def _over_with(self, index: int, account: str) -> None:
        self._account_use()
        self.running[account] -= 1
        self.own[index][account] -= 1

    def _over(self, name: str, running: int, limit: int) -> None:
        self.count["overshoot"] = max(self.count["overshoot"], running - limit)

    def pump(self, index: int) -> None:
        pass


class Counted(Split):
    """One counter in the record, asked for every job: an ask there and back, a majority's round between."""

    def arrive(self, account: str) -> None:
        index = self._come(account)
        self.count["messages"] += 4
        asked = sum(self.delay() for _ in range(4)) // 2
        self.at(self.now + asked, lambda: self._asked(index, account, asked))

    def _asked(self, index: int, account: str, waited: int) -> None:
        leaf = next(each for each in self.leaves if each.name == account)
        if self.running[account] >= leaf.limit:
            self.count["refused"] += 1
            return
        self._serve(index, account, waited)


class Gossip(Split):
    """Each tells all others its counts every 0.2 s, and adds up what it has heard."""

    def begin(self) -> None:
        super().begin()
        self.heard = [dict[int, Counter[str]]() for _ in self.machines]
        for index in range(len(self.machines)):
            self.at(self.chance.randrange(200_000), lambda index=index: self.tell(index))

    def tell(self, index: int) -> None:
        said = Counter(self.own[index])
        for other in range(len(self.machines)):
            if other != index:
                self.count["messages"] += 1
                self.at(self.now + self.delay(), lambda other=other: self.heard[other].update({index: said}))
        self.at(self.now + 200_000, lambda: self.tell(index))

    def arrive(self, account: str) -> None:
        index = self._come(account)
        leaf = next(each for each in self.leaves if each.name == account)
        known = self.own[index][account] + sum(each[account] for each in self.heard[index].values())
        if known >= leaf.limit:
            self.count["refused"] += 1
            return
        self._serve(index, account, 0)


WAYS = {Split: "fixed split", Counted: "asked for each job", Gossip: "gossip", World: "allocations"}


def compare(seconds: float, seeds: int) -> list[dict[str, Any]]:
    """Limits that go with the fleet's size and one that does not; demand for one and a half of each."""
    rows = []
    for machines in (3, 12, 40, 200):
        accounts = (
            Account("all", 12 * machines),
            Account("large", 8 * machines, 4 * machines, "all"),
            Account("small", 4 * machines, 2 * machines, "all"),
            Account("tiny", 2, 1, "all"),
        )
        for kind in WAYS:
            found: list[tuple[int, float, float, list[int]]] = []
            for seed in range(seeds):
                world = kind(seed, machines, accounts=accounts, faults=False)
                if isinstance(world, Split):
                    world.begin()
                world.play(round(seconds * S))
                world._account_use()
                messages = world.count["messages"] / max(world.count["jobs"], 1)
                use = world.use / (seconds * S) / (12 * machines)
                found.append((world.count["overshoot"], use, messages, world.wait))
            waits = sorted(wait for each in found for wait in each[3]) or [0]
            rows.append(
                {
                    "dispatchers": machines,
                    "way": WAYS[kind],
                    "overshoot": max(each[0] for each in found),
                    "use": round(statistics.mean(each[1] for each in found), 3),
                    "added_ms_p50": round(waits[len(waits) // 2] / 1e3, 1),
                    "added_ms_p99": round(waits[math.floor(0.99 * (len(waits) - 1))] / 1e3, 1),
                    "messages_a_job": round(statistics.mean(each[2] for each in found), 2),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    return rows


def main() -> int:
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--seed", type=int, default=0, help="of the first schedule")
    parser.add_argument("--defect", choices=DEFECTS, default="")
    parser.add_argument("--compare", action="store_true")
    options = parser.parse_args()
    if options.compare:
        compare(options.seconds, 2)
        return 0
    found = hunt(options.schedules, options.seconds, options.machines, options.defect, options.seed)
    print(json.dumps(found))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
