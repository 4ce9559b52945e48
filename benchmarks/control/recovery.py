"""Measures recovery in simulated time, for clusters of 3 to 7 machines: links of 0.2 to 3 ms, 1 ms per sync.

    python -m benchmarks.control.recovery [--seeds 10]

Prints one JSON object: for each kind of loss and each cluster size, the median and the maximum over all seeds
of the milliseconds until the first change is acknowledged, and until all routers are current. The time starts
with the last restart of a process or, if an operator must act, with the operator's new epoch.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control.fleet import Fleet, has_formed
from benchmarks.control.network import MS, S
from benchmarks.control.observers import RouterMonitor
from hazelbend.control.config_state_machine import ChangeResult

SIZES = (3, 4, 5, 6, 7)
ROUTERS = 3
START_SPREAD_US = 300 * MS  # range of the random delays of the restarts after a loss
DOWN_US = 2 * S
RETRY_US = 20 * MS  # between two attempts of the operator's change
TIMEOUT_US = 30 * S
OPERATOR_DELAY_US = 1 * S  # from the last start until an operator starts a new epoch


@dataclass(slots=True, frozen=True)
class Recovery:
    """The recovery times in microseconds."""

    first_change: int
    routers_current: int


class RecoveryRun:
    """One fleet that suffers a loss and recovers."""

    def __init__(self, seed: int, machines: int) -> None:
        self.fleet = Fleet(seed, machines, (machines - 1) // 2, loss=0.0)
        self.random = random.Random(seed)
        assert self.fleet.run_until(lambda: has_formed(self.fleet, machines), 10 * S)
        self.routers = [RouterMonitor(self.fleet, number) for number in range(ROUTERS)]
        self.version = 0
        assert self._change_until_acknowledged(TIMEOUT_US)
        self.fleet.run(2 * S)

    def measure(self, lose: Callable[[RecoveryRun], int]) -> Recovery:
        """`lose` causes the loss and restarts all processes; it returns the time from which to measure."""
        started_at = lose(self)
        changed = None
        while self.fleet.now < started_at + TIMEOUT_US:
            if changed is None and self._change_until_acknowledged(RETRY_US):
                changed = self.fleet.now
            if changed is not None and all(router.confirmed_at > started_at for router in self.routers):
                return Recovery(changed - started_at, self.fleet.now - started_at)
            self.fleet.run(RETRY_US)
        raise AssertionError(f"not recovered after {TIMEOUT_US // S} s")

    def kill_all(self) -> int:
        """Kill all processes, and restart them one after the other with their disks."""
        addresses = [machine.address for machine in self.fleet.alive]
        for address in addresses:
            self.fleet.kill(address)
        return self._start_all(addresses)

    def lose_majority(self) -> int:
        """Power off all machines, a majority of which lose their disks. Then an operator starts a new epoch
        on a machine that still has its disk.
        """
        addresses = [machine.address for machine in self.fleet.alive]
        wiped = self.random.sample(addresses, len(addresses) // 2 + 1)
        for address in addresses:
            if address in wiped:
                self.fleet.wipe(address)
            else:
                self.fleet.kill(address)
        self._start_all(addresses)
        self.fleet.run(OPERATOR_DELAY_US)
        survivor = next(address for address in addresses if address not in wiped)
        engine = self.fleet.machines[survivor].engine
        assert engine is not None
        self.fleet.operator_started_epoch = True
        engine.force_new_cluster(self.fleet.now)
        return self.fleet.now

    def _start_all(self, addresses: list[str]) -> int:
        self.fleet.run(DOWN_US)
        delays = sorted(self.random.randrange(START_SPREAD_US) for _ in addresses)
        last = self.fleet.now + delays[-1]
        for delay, address in zip(delays, addresses, strict=True):
            self.fleet.call_later(delay, lambda address=address: self.fleet.start(address))
        self.fleet.run(last - self.fleet.now)
        return last

    def _change_until_acknowledged(self, timeout: int) -> bool:
        """Send one change to the leader repeatedly; returns whether it was acknowledged in time."""
        end = self.fleet.now + timeout
        acknowledged = False

        def on_result(result: ChangeResult | None) -> None:
            nonlocal acknowledged
            acknowledged = acknowledged or result is ChangeResult.ACCEPTED

        while not acknowledged and self.fleet.now < end:
            leader = self.fleet.leader
            if leader is not None:
                body = b'{"version":%d}' % (self.version + 1)
                self.fleet.put(leader.address, self.version, self.version + 1, body, on_result)
            self.fleet.run(min(RETRY_US, end - self.fleet.now))
        self.version += acknowledged
        return acknowledged


LOSSES: dict[str, Callable[[RecoveryRun], int]] = {
    "all processes": RecoveryRun.kill_all,
    "a majority's disks": RecoveryRun.lose_majority,
}


def measure(loss: str, machines: int, seeds: int) -> dict[str, list[float]]:
    """The median and the maximum of each recovery time, in milliseconds."""
    results = [RecoveryRun(seed, machines).measure(LOSSES[loss]) for seed in range(1, seeds + 1)]
    times = {
        "first change": [recovery.first_change for recovery in results],
        "routers current": [recovery.routers_current for recovery in results],
    }
    return {name: [statistics.median(times_us) / MS, max(times_us) / MS] for name, times_us in times.items()}


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    results = {loss: {size: measure(loss, size, options.seeds) for size in SIZES} for loss in LOSSES}
    print(json.dumps({"seeds": options.seeds} | results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
