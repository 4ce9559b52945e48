"""Simulates quotas on virtual time: dispatchers admit jobs concurrently from one ledger, under faults.

    python -m benchmarks.quota_sim --schedules 200    random faults; stops at the first violated invariant
    python -m benchmarks.quota_sim --defect NAME      runs until the planted defect is found
    python -m benchmarks.quota_sim --compare          compares a fixed split, a central counter and gossip

Checked after every event: the invariants of quotas/invariants.py, and that no account has more jobs in
service than its limit, as the servers count them. The ledger represents the replicated log, which other tests
check: responses are delayed, lost, duplicated and reordered, and the leader changes.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from hazelbend.leases.time_bounds import NEVER
from hazelbend.quotas.allocation import AllocationClient, Permit, Request
from hazelbend.quotas.expiry_watcher import AllocationExpiryWatcher
from hazelbend.quotas.invariants import BrokenInvariantError, check_client, check_ledger
from hazelbend.quotas.ledger import QuotaLedger
from hazelbend.quotas.operations import Account, OpenEpoch, QuotaResponse, Reclaim, ReturnUnits, SetAccounts
from hazelbend.quotas.timing import QuotaParameters

SECOND_US = 1_000_000
HANGING_JOB_SHARE = 0.2  # of all jobs, with faults: they run for the maximum job time
DEFAULT_PARAMETERS = QuotaParameters()
ACCOUNTS = (
    Account("all", 10),
    Account("a", 8, 4, "all"),
    Account("b", 6, 3, "all"),
    Account("c", 3, 0, "all"),
)
# Short enough that many allocations expire in a schedule of 20 s.
SHORT_TTL_PARAMETERS = QuotaParameters(allocation_ttl_us=1 * SECOND_US, max_job_time_us=2 * SECOND_US)
DEFECTS = (
    "a holder goes on after its time",
    "a unit given back twice",
    "units dropped at the death of their dispatcher",
    "a late gift is carried out",
    "units kept until the gift is answered",
    "a new epoch is open at once",
)


def busiest_machine(account: str, now: int) -> int:
    """The machine where most jobs of an account arrive in this second, modulo the number of machines."""
    return zlib.crc32(f"{account} {now // SECOND_US}".encode())


@dataclass(slots=True)
class Machine:
    """One dispatcher: its clock, its allocation clients, and whether it runs."""

    identity: str
    rate: float = 1.0  # of its clock, relative to virtual time
    clients: dict[str, AllocationClient] = field(default_factory=dict)
    stopped_until: int = 0
    partitioned_until: int = 0
    dead: bool = False
    next_advance_at: int = NEVER
    # Permits and accounts of jobs that ended while the machine was stopped.
    pending_releases: list[tuple[Permit, str]] = field(default_factory=list)

    def clock(self, now: int) -> int:
        return round(now * self.rate)


@dataclass(slots=True, frozen=True)
class Scenario:
    """Parameters of one simulation.

    `load` is the offered load as a multiple of the limits; `loss` is the share of messages that are lost if
    there are faults.
    """

    machines: int = 3
    accounts: tuple[Account, ...] = ACCOUNTS
    parameters: QuotaParameters = DEFAULT_PARAMETERS
    load: float = 1.5
    faults: bool = True
    defect: str = ""
    mean_service_us: int = 500_000
    loss: float = 0.05


class QuotaSimulation:
    """Dispatchers, a ledger and the network between them, on virtual time."""

    def __init__(self, seed: int, scenario: Scenario) -> None:
        self.random = random.Random(seed)
        self.scenario = scenario
        self.parameters = scenario.parameters
        self.defect = scenario.defect
        self.loss = scenario.loss if scenario.faults else 0.0
        self.leaves = [account for account in scenario.accounts if account.parent]
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = 0  # of events and machines
        self.ledger = QuotaLedger(self.parameters)
        self.watcher = AllocationExpiryWatcher(self.parameters)
        self.ledger.begin(1)
        self.ledger.execute(OpenEpoch())  # no allocation is outstanding
        self.ledger.execute(SetAccounts(scenario.accounts))
        self.watcher.observe(self.ledger, 0)
        self.machines = [self._machine(number) for number in range(scenario.machines)]
        self.running: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.busy_us = 0.0  # service time of all jobs, up to `busy_at`
        self.busy_at = 0
        self.allocated_before: dict[str, int] = {}
        self.added_delays: list[int] = []
        self.demand = {account.name: 1.0 for account in self.leaves}  # factor of the load

    def _machine(self, number: int) -> Machine:
        self.sequence += 1
        drift = self.parameters.max_clock_drift if self.scenario.faults else 0.0
        machine = Machine(f"m{number}#{self.sequence}", self.random.uniform(1 - drift, 1 + drift))
        for account in self.leaves:
            clock = machine.clock(self.now)
            client = AllocationClient(account.name, machine.identity, self.parameters, clock)
            machine.clients[account.name] = client
        return machine

    # --- time ---

    def schedule(self, time: int, callback: Callable[[], None]) -> None:
        """Run `callback` at this virtual time."""
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, callback))

    def run(self, until: int) -> None:
        for account in self.leaves:
            self.schedule(0, partial(self.job_arrives, account.name))
        for index in range(len(self.machines)):
            self.schedule(0, partial(self.advance, index))
        self.schedule(0, self.run_leader)
        if self.scenario.faults:
            self.schedule(self.random.randrange(2 * SECOND_US), self.inject_fault)
        while self.events and self.events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
            self.check()

    def check(self) -> None:
        self.allocated_before = check_ledger(self.ledger, self.allocated_before)
        for machine in self.machines:
            if not machine.dead and machine.stopped_until <= self.now:
                for client in machine.clients.values() if self.defect != DEFECTS[0] else ():
                    check_client(client, machine.clock(self.now))
        parents: Counter[str] = Counter()
        for account in self.leaves:
            parents[account.parent] += self.running[account.name]
            self._check_limit(account.name, self.running[account.name], account.limit)
        for account in self.scenario.accounts:
            if account.name in parents:
                self._check_limit(account.name, parents[account.name], account.limit)

    def _check_limit(self, name: str, running: int, limit: int) -> None:
        self.counts["overshoot"] = max(self.counts["overshoot"], running - limit)
        if running > limit:
            at = f"{self.now / SECOND_US:.3f} s"
            raise BrokenInvariantError(
                f"overshoot: {running} jobs of {name} are in service at {at}, the limit is {limit}"
            )

    # --- jobs ---

    def _next_arrival(self, account: str) -> int:
        """Count an arrival and schedule the next one; the index of the machine where the job arrives."""
        rate = (
            self.scenario.load * self._limit(account) / self.scenario.mean_service_us * self.demand[account]
        )
        self.schedule(
            self.now + max(round(self.random.expovariate(rate)), 1), lambda: self.job_arrives(account)
        )
        # Demand moves: in each second most jobs of an account arrive at one machine.
        busiest = busiest_machine(account, self.now) % len(self.machines)
        self.counts["jobs"] += 1
        return busiest if self.random.random() < 0.7 else self.random.randrange(len(self.machines))

    def _limit(self, account: str) -> int:
        return next(leaf.limit for leaf in self.leaves if leaf.name == account)

    def job_arrives(self, account: str) -> None:
        index = self._next_arrival(account)
        machine = self.machines[index]
        if machine.dead or machine.stopped_until > self.now:
            self.counts["nobody there"] += 1
            return
        client, clock = machine.clients[account], machine.clock(self.now)
        if self.defect == "a holder goes on after its time":
            clock = min(clock, client.expires_at - 1)
        permit = client.admit(clock)
        if permit is None:
            self.counts["refused"] += 1
            self.advance(index)
            return
        self.counts["admitted"] += 1
        self._count_busy_time()
        self.running[account] += 1
        longest = self.parameters.max_job_time_us
        service_us = min(round(self.random.expovariate(1 / self.scenario.mean_service_us)), longest)
        if self.scenario.faults and self.random.random() < HANGING_JOB_SHARE:
            service_us = longest  # the server hangs
        self.schedule(self.now + service_us, lambda: self.job_ends(index, machine, account, permit))

    def job_ends(self, index: int, machine: Machine, account: str, permit: Permit) -> None:
        self._count_busy_time()
        self.running[account] -= 1
        if machine.dead:
            return
        if machine.stopped_until > self.now:
            machine.pending_releases.append((permit, account))
            return
        self._release(machine, account, permit)
        self.advance(index)

    def _release(self, machine: Machine, account: str, permit: Permit) -> None:
        client = machine.clients[account]
        client.release(permit, machine.clock(self.now))
        returned_twice = self.defect == "a unit given back twice" and self.random.random() < 0.1
        if returned_twice and permit.token == client.token:
            client.used = max(client.used - 1, 0)

    def _count_busy_time(self) -> None:
        elapsed_us = self.now - self.busy_at
        self.busy_us += elapsed_us * sum(self.running.values())
        self.busy_at = self.now

    # --- requests to the ledger ---

    def advance(self, index: int) -> None:
        """Run the clients of a machine, and send the requests that are due."""
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
                keeps_units = self.defect == "units kept until the gift is answered"
                if keeps_units and isinstance(request, ReturnUnits):
                    client.units = units_before
                self.send(index, machine, client, request)
        next_at = min(client.next_at for client in machine.clients.values())
        if next_at >= NEVER:
            return
        advance_at = self.now + max(round((next_at - now) / machine.rate), 1_000)
        if not self.now < machine.next_advance_at <= advance_at:
            machine.next_advance_at = advance_at
            self.schedule(advance_at, lambda: self.advance_if_due(index, machine, advance_at))

    def advance_if_due(self, index: int, machine: Machine, advance_at: int) -> None:
        if machine.next_advance_at == advance_at and self.machines[index] is machine:
            machine.next_advance_at = NEVER
            self.advance(index)

    def delay(self) -> int:
        if self.scenario.faults and self.random.random() < 0.03:
            return self.random.randrange(4 * SECOND_US)
        return self.random.randrange(1_000, 20_000)

    def send(self, index: int, machine: Machine, client: AllocationClient, request: Request) -> None:
        self.counts["messages"] += 2
        if machine.partitioned_until > self.now:
            return
        for _ in range(1 + (self.scenario.faults and self.random.random() < 0.05)):
            if self.random.random() >= self.loss:
                self.schedule(
                    self.now + self.delay(), lambda: self.request_arrives(index, machine, client, request)
                )

    def request_arrives(
        self, index: int, machine: Machine, client: AllocationClient, request: Request
    ) -> None:
        if self.defect == "a late gift is carried out" and isinstance(request, ReturnUnits):
            allocation = self.ledger.state.allocations.get(request.account, {}).get(request.holder)
            if allocation is not None and request.request_number <= allocation.request_number:
                allocation.units -= min(request.units, allocation.units)
        response = self.ledger.execute(request)
        self.watcher.observe(self.ledger, self.now)
        if self.random.random() < self.loss or machine.partitioned_until > self.now:
            return
        self.schedule(
            self.now + self.delay(), lambda: self.response_arrives(index, machine, client, request, response)
        )

    def response_arrives(
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
            self.schedule(
                machine.stopped_until,
                lambda: self.response_arrives(index, machine, client, request, response),
            )
            return
        now = machine.clock(self.now)
        client.handle_response(request.request_number, response, now)
        self.advance(index)

    # --- leader and faults ---

    def run_leader(self) -> None:
        for operation in self.watcher.expired(self.ledger, self.now):
            self.ledger.execute(operation)
            if self.defect.startswith("units dropped"):
                for account, units_by_token in list(self.ledger.state.in_doubt.items()):
                    for token in list(units_by_token):
                        self.ledger.execute(Reclaim(account, token))
        if self.defect == "a new epoch is open at once":
            self.ledger.state.is_open = True
        self.watcher.observe(self.ledger, self.now)
        # An operation that is applied later may be due earlier.
        next_at = min(self.watcher.next_at(self.ledger), self.now + 100_000)
        self.schedule(max(next_at, self.now + 10_000), self.run_leader)

    def inject_fault(self) -> None:
        index = self.random.randrange(len(self.machines))
        machine = self.machines[index]
        kind = self.random.choice(("kill", "kill", "stop", "cut", "leader", "epoch", "shift"))
        self.counts[f"fault {kind}"] += 1
        if kind == "kill":
            machine.dead = True
            self.schedule(self.now + self.random.randrange(2 * SECOND_US), lambda: self.restart(index))
        elif kind == "stop":
            machine.stopped_until = self.now + self.random.randrange(2 * self.parameters.allocation_ttl_us)
            self.schedule(machine.stopped_until, lambda: self.resume(index, machine))
        elif kind == "cut":
            machine.partitioned_until = self.now + self.random.randrange(
                2 * self.parameters.allocation_ttl_us
            )
        elif kind == "leader":
            self.watcher = AllocationExpiryWatcher(self.parameters)
            self.watcher.observe(self.ledger, self.now)
        elif kind == "epoch" and self.random.random() < 0.1:
            self.ledger.begin(self.ledger.state.epoch + 1)
            self.ledger.execute(SetAccounts(self.scenario.accounts))
            self.allocated_before = {}
            self.watcher.observe(self.ledger, self.now)
        elif kind == "shift":
            self.demand = {account.name: self.random.choice((0.1, 1.0, 2.0)) for account in self.leaves}
        self.schedule(self.now + self.random.randrange(5 * SECOND_US), self.inject_fault)

    def restart(self, index: int) -> None:
        self.machines[index] = self._machine(index)
        self.advance(index)

    def resume(self, index: int, machine: Machine) -> None:
        if machine.dead or machine.stopped_until > self.now:
            return
        # Work that was in progress when the machine stopped continues first: a job between its admission
        # check and its send was admitted before. Later arrivals are checked against the current clock.
        pending_releases = machine.pending_releases
        machine.pending_releases = []
        for permit, account in pending_releases:
            self._release(machine, account, permit)
        self.advance(index)


def fault_scenario(machines: int, defect: str) -> Scenario:
    """Short allocations and a high load, so that many faults of a schedule have an effect."""
    return Scenario(machines=machines, parameters=SHORT_TTL_PARAMETERS, load=3.0, defect=defect)


def run_schedules(schedules: int, seconds: float, scenario: Scenario, first_seed: int = 0) -> dict[str, Any]:
    """Run random schedules until an invariant is violated."""
    counts: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + schedules):
        simulation = QuotaSimulation(seed, scenario)
        try:
            simulation.run(round(seconds * SECOND_US))
        except BrokenInvariantError as error:
            counts += simulation.counts
            return {"schedules": seed - first_seed + 1, "broken": [str(error)], "seed": seed, **counts}
        counts += simulation.counts
    return {"schedules": schedules, "broken": [], **counts}


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--seed", type=int, default=0, help="of the first schedule")
    parser.add_argument("--defect", choices=DEFECTS, default="")
    parser.add_argument("--compare", action="store_true")
    options = parser.parse_args()
    if options.compare:
        from benchmarks.quota_policies import compare

        compare(options.seconds, 2)
        return 0
    scenario = fault_scenario(options.machines, options.defect)
    found = run_schedules(options.schedules, options.seconds, scenario, options.seed)
    print(json.dumps(found))
    return 1 if found["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
