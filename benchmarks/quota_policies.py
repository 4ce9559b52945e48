"""Compares policies that enforce quotas, on the same jobs: fixed split, central counter, gossip, allocations.

Use: python -m benchmarks.quota_sim --compare
"""

from __future__ import annotations

import json
import math
import statistics
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import Any

from benchmarks.quota_sim import SECOND_US, QuotaSimulation, Scenario
from hazelbend.quotas.operations import Account

GOSSIP_INTERVAL_US = 200_000
FLEET_SIZES = (3, 12, 40, 200)
UNITS_PER_MACHINE = 12


class FixedSplit(QuotaSimulation):
    """Each dispatcher has a fixed share of each limit."""

    def __init__(self, seed: int, scenario: Scenario) -> None:
        super().__init__(seed, scenario)
        self.own_counts: list[Counter[str]] = [Counter() for _ in self.machines]

    def job_arrives(self, account: str) -> None:
        index = self._next_arrival(account)
        share, remainder = divmod(self._limit(account), len(self.machines))
        if self.own_counts[index][account] >= share + (index < remainder):
            self.counts["refused"] += 1
            return
        self._serve(index, account, 0)

    def _serve(self, index: int, account: str, added_delay: int) -> None:
        self.counts["admitted"] += 1
        self.added_delays.append(added_delay)
        self._count_busy_time()
        self.running[account] += 1
        self.own_counts[index][account] += 1
        drawn_us = round(self.random.expovariate(1 / self.scenario.mean_service_us))
        service_us = min(drawn_us, self.parameters.max_job_time_us)
        self.schedule(self.now + service_us, lambda: self._served(index, account))

    def _served(self, index: int, account: str) -> None:
        self._count_busy_time()
        self.running[account] -= 1
        self.own_counts[index][account] -= 1

    def _check_limit(self, name: str, running: int, limit: int) -> None:
        self.counts["overshoot"] = max(self.counts["overshoot"], running - limit)

    def advance(self, index: int) -> None:
        pass


class CentralCounter(FixedSplit):
    """One counter in the replicated log: each job waits for a request and a quorum round trip."""

    def job_arrives(self, account: str) -> None:
        index = self._next_arrival(account)
        self.counts["messages"] += 4
        delay = sum(self.delay() for _ in range(4)) // 2
        self.schedule(self.now + delay, lambda: self._counted(index, account, delay))

    def _counted(self, index: int, account: str, delay: int) -> None:
        if self.running[account] >= self._limit(account):
            self.counts["refused"] += 1
            return
        self._serve(index, account, delay)


class GossipedCounts(FixedSplit):
    """Each dispatcher periodically sends its counts to all others, and sums up the counts it received."""

    def __init__(self, seed: int, scenario: Scenario) -> None:
        super().__init__(seed, scenario)
        self.received = [dict[int, Counter[str]]() for _ in self.machines]
        for index in range(len(self.machines)):
            self.schedule(self.random.randrange(GOSSIP_INTERVAL_US), partial(self.send_counts, index))

    def send_counts(self, index: int) -> None:
        counts = Counter(self.own_counts[index])
        for other in range(len(self.machines)):
            if other != index:
                self.counts["messages"] += 1
                self.schedule(self.now + self.delay(), partial(self.receive_counts, other, index, counts))
        self.schedule(self.now + GOSSIP_INTERVAL_US, lambda: self.send_counts(index))

    def receive_counts(self, index: int, sender: int, counts: Counter[str]) -> None:
        self.received[index][sender] = counts

    def job_arrives(self, account: str) -> None:
        index = self._next_arrival(account)
        others = sum(counts[account] for counts in self.received[index].values())
        if self.own_counts[index][account] + others >= self._limit(account):
            self.counts["refused"] += 1
            return
        self._serve(index, account, 0)


POLICIES: dict[type[QuotaSimulation], str] = {
    FixedSplit: "fixed split",
    CentralCounter: "asked for each job",
    GossipedCounts: "gossip",
    QuotaSimulation: "allocations",
}


@dataclass(frozen=True)
class PolicyResult:
    """Result of one run. `use` is the average share of the limits that was in service."""

    overshoot: int
    use: float
    messages_per_job: float
    added_delays: list[int]


def accounts_for(machines: int) -> tuple[Account, ...]:
    """Accounts with limits proportional to the fleet, and one with a constant limit."""
    return (
        Account("all", UNITS_PER_MACHINE * machines),
        Account("large", 8 * machines, 4 * machines, "all"),
        Account("small", 4 * machines, 2 * machines, "all"),
        Account("tiny", 2, 1, "all"),
    )


def measure(policy: type[QuotaSimulation], seed: int, scenario: Scenario, seconds: float) -> PolicyResult:
    simulation = policy(seed, scenario)
    simulation.run(round(seconds * SECOND_US))
    simulation._count_busy_time()
    return PolicyResult(
        simulation.counts["overshoot"],
        simulation.busy_us / (seconds * SECOND_US) / (UNITS_PER_MACHINE * scenario.machines),
        simulation.counts["messages"] / max(simulation.counts["jobs"], 1),
        simulation.added_delays,
    )


def compare(seconds: float, seeds: int) -> list[dict[str, Any]]:
    """Run each policy at 1.5 times the limits, and print one row for each policy and fleet size."""
    rows = []
    for machines in FLEET_SIZES:
        scenario = Scenario(machines=machines, accounts=accounts_for(machines), faults=False)
        for policy, name in POLICIES.items():
            runs = [measure(policy, seed, scenario, seconds) for seed in range(seeds)]
            delays = sorted(delay for run in runs for delay in run.added_delays) or [0]
            rows.append(
                {
                    "dispatchers": machines,
                    "way": name,
                    "overshoot": max(run.overshoot for run in runs),
                    "use": round(statistics.mean(run.use for run in runs), 3),
                    "added_ms_p50": round(delays[len(delays) // 2] / 1e3, 1),
                    "added_ms_p99": round(delays[math.floor(0.99 * (len(delays) - 1))] / 1e3, 1),
                    "messages_a_job": round(statistics.mean(run.messages_per_job for run in runs), 2),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    return rows
