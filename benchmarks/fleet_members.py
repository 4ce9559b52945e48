"""Gossip membership on virtual time: its cost, and how soon a crash is detected.

    python -m benchmarks.fleet_members --sizes 3,50,200 --seconds 60 --seed 1

Prints a line for each size: packets and bytes (msgpack) a second of each process when nothing happens, CPU of
the engine as part of a core, and after one process is killed: when the first and the last of the others
declare it dead.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from collections.abc import Callable
from functools import partial

import msgspec

from hazelbend.consensus.identity import address_of
from hazelbend.gossip.messages import MemberStatus, Packet
from hazelbend.gossip.swim import SwimNode
from hazelbend.gossip.timing import GossipTiming

SECOND_US = 1_000_000


class GossipCluster:
    """Processes on one virtual clock that know each other only by gossip."""

    def __init__(self, size: int, seed: int, fleet: str = "f") -> None:
        self.random, self.timing, self.fleet = random.Random(seed), GossipTiming(), fleet
        self.now, self.sequence = 0, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.nodes_by_address: dict[str, SwimNode] = {}
        self.paused: dict[str, list[Packet]] = {}
        self.is_partitioned: Callable[[str, str], bool] = lambda source, to: False
        self.loss = 0.0
        self.packets = self.bytes = 0
        self.encoder = msgspec.msgpack.Encoder()
        self.dead_at: dict[tuple[str, str], int] = {}  # by observer and member
        self.deaths_declared = 0  # by any member, of any other
        self.seeds = tuple(f"10.0.0.{n}:1" for n in range(3))
        for number in range(size):
            self.start(f"10.0.0.{number}:1")

    def start(self, address: str, incarnation: str = "a", fleet: str = "") -> SwimNode:
        made = SwimNode(
            f"n{incarnation}@{address}",
            fleet or self.fleet,
            self.seeds,
            self.timing,
            self.random.getrandbits(32),
            self.now,
        )
        self.nodes_by_address[address] = made
        self._wake(made)
        return made

    def kill(self, address: str) -> None:
        del self.nodes_by_address[address]

    def pause(self, address: str) -> None:
        self.paused[address] = []

    def resume(self, address: str) -> None:
        waiting = self.paused.pop(address)
        member = self.nodes_by_address[address]
        self._pump(member)
        for packet in waiting:
            self._arrive(packet)
        self._wake(member)

    def at(self, delay: float, act: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + max(round(delay), 1), self.sequence, act))

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND_US)
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = end

    def run_until(self, done: Callable[[], bool], seconds: float) -> float:
        """Seconds until `done`; AssertionError if it takes longer."""
        began = self.now
        while not done():
            assert self.now < began + seconds * SECOND_US, "it did not come about"
            self.run(0.1)
        return (self.now - began) / SECOND_US

    def _wake(self, member: SwimNode) -> None:
        self.at(max(member.next_at - self.now, 1_000), lambda: self._due(member))

    def _due(self, member: SwimNode) -> None:
        address = address_of(member.identity)
        if self.nodes_by_address.get(address) is member and address not in self.paused:
            self._pump(member)
            self._wake(member)

    def _pump(self, member: SwimNode) -> None:
        member.tick(self.now)
        self._send(member)

    def _send(self, member: SwimNode) -> None:
        for packet in member.outbox:
            self.packets += 1
            self.bytes += len(self.encoder.encode(packet))
            to = address_of(packet.to) or packet.to
            if not self.is_partitioned(address_of(packet.sender), to) and self.random.random() >= self.loss:
                self.at(self.random.expovariate(1 / 3_000), partial(self._arrive, packet))
        member.outbox.clear()
        for change in member.table.status_changes:
            if change.status is MemberStatus.DEAD:
                self.deaths_declared += 1
                self.dead_at.setdefault((member.identity, change.identity), self.now)
        member.table.status_changes.clear()

    def _arrive(self, packet: Packet) -> None:
        address = address_of(packet.to) or packet.to
        if address in self.paused:
            self.paused[address].append(packet)
        elif (member := self.nodes_by_address.get(address)) is not None:
            member.receive(packet, self.now)
            self._send(member)

    def converged(self) -> bool:
        """Whether every running process knows exactly the running processes."""
        running = {each.identity for each in self.nodes_by_address.values()}
        return all(set(each.table.active()) == running for each in self.nodes_by_address.values())


def measure(size: int, seconds: float, seed: int) -> dict[str, float]:
    cluster = GossipCluster(size, seed)
    joined = cluster.run_until(cluster.converged, 120.0)
    cluster.run(40.0)  # until the updates of joining are disseminated
    cluster.packets = cluster.bytes = 0
    began = time.process_time()
    cluster.run(seconds)
    cpu = time.process_time() - began
    calm, bytes_, alarms = cluster.packets, cluster.bytes, cluster.deaths_declared
    gone = cluster.nodes_by_address["10.0.0.1:1"].identity
    killed = cluster.now
    cluster.kill("10.0.0.1:1")
    cluster.run_until(cluster.converged, 300.0)
    known = sorted(at - killed for (_, whom), at in cluster.dead_at.items() if whom == gone)
    return {
        "size": size,
        "all_know_all_s": round(joined, 1),
        "packets_per_s": round(calm / seconds / size, 2),
        "bytes_per_s": round(bytes_ / seconds / size),
        "cpu_percent": round(100 * cpu / seconds / size, 3),
        "false_alarms": alarms,
        "first_knows_s": round(known[0] / SECOND_US, 1),
        "last_knows_s": round(known[-1] / SECOND_US, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="3,50,200")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for size in map(int, args.sizes.split(",")):
        print(json.dumps(measure(size, args.seconds, args.seed)), flush=True)


if __name__ == "__main__":
    main()
