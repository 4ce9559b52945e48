"""Measures gossip membership on virtual time: its cost, and how soon a crash is detected.

    python -m benchmarks.fleet_members --sizes 3,50,200 --seconds 60 --seed 1

Prints one line for each cluster size: packets and bytes (msgpack) per second and process while membership
does not change, CPU of the gossip code as a share of a core, and after one process is killed, the time until
the first and the last of the others declare it dead.
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
    """Processes on one virtual clock that discover each other by gossip."""

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
        self.deaths_declared = 0  # by any member about any other
        self.seeds = tuple(f"10.0.0.{n}:1" for n in range(3))
        for number in range(size):
            self.start(f"10.0.0.{number}:1")

    def start(self, address: str, incarnation: str = "a", fleet: str = "") -> SwimNode:
        node = SwimNode(
            f"n{incarnation}@{address}",
            fleet or self.fleet,
            self.seeds,
            self.timing,
            self.random.getrandbits(32),
            self.now,
        )
        self.nodes_by_address[address] = node
        self._wake(node)
        return node

    def kill(self, address: str) -> None:
        del self.nodes_by_address[address]

    def pause(self, address: str) -> None:
        self.paused[address] = []

    def resume(self, address: str) -> None:
        queued_packets = self.paused.pop(address)
        member = self.nodes_by_address[address]
        self._tick(member)
        for packet in queued_packets:
            self._receive(packet)
        self._wake(member)

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + max(round(delay), 1), self.sequence, callback))

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND_US)
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    def run_until(self, done: Callable[[], bool], seconds: float) -> float:
        """Run until `done`, and return the seconds it took.

        Raises:
            AssertionError: it took longer than `seconds`.
        """
        began = self.now
        while not done():
            assert self.now < began + seconds * SECOND_US, f"the condition did not become true in {seconds} s"
            self.run(0.1)
        return (self.now - began) / SECOND_US

    def _wake(self, member: SwimNode) -> None:
        self.schedule(max(member.next_at - self.now, 1_000), lambda: self._run_due(member))

    def _run_due(self, member: SwimNode) -> None:
        address = address_of(member.identity)
        if self.nodes_by_address.get(address) is member and address not in self.paused:
            self._tick(member)
            self._wake(member)

    def _tick(self, member: SwimNode) -> None:
        member.tick(self.now)
        self._send(member)

    def _send(self, member: SwimNode) -> None:
        for packet in member.outbox:
            self.packets += 1
            self.bytes += len(self.encoder.encode(packet))
            to = address_of(packet.to) or packet.to
            if not self.is_partitioned(address_of(packet.sender), to) and self.random.random() >= self.loss:
                self.schedule(self.random.expovariate(1 / 3_000), partial(self._receive, packet))
        member.outbox.clear()
        for change in member.table.status_changes:
            if change.status is MemberStatus.DEAD:
                self.deaths_declared += 1
                self.dead_at.setdefault((member.identity, change.identity), self.now)
        member.table.status_changes.clear()

    def _receive(self, packet: Packet) -> None:
        address = address_of(packet.to) or packet.to
        if address in self.paused:
            self.paused[address].append(packet)
        elif (member := self.nodes_by_address.get(address)) is not None:
            member.receive(packet, self.now)
            self._send(member)

    def converged(self) -> bool:
        """Whether the active members of every running process are exactly the running processes."""
        running = {node.identity for node in self.nodes_by_address.values()}
        return all(set(node.table.active()) == running for node in self.nodes_by_address.values())


def measure(size: int, seconds: float, seed: int) -> dict[str, float]:
    """Cost of gossip for this cluster size, and the delay until a crash is detected."""
    cluster = GossipCluster(size, seed)
    joined_s = cluster.run_until(cluster.converged, 120.0)
    cluster.run(40.0)  # until the updates of joining are disseminated
    cluster.packets = cluster.bytes = 0
    began = time.process_time()
    cluster.run(seconds)
    cpu = time.process_time() - began
    packets, bytes_, false_alarms = cluster.packets, cluster.bytes, cluster.deaths_declared
    killed_identity = cluster.nodes_by_address["10.0.0.1:1"].identity
    killed = cluster.now
    cluster.kill("10.0.0.1:1")
    cluster.run_until(cluster.converged, 300.0)
    detection_delays = sorted(
        at - killed for (_, member), at in cluster.dead_at.items() if member == killed_identity
    )
    return {
        "size": size,
        "all_know_all_s": round(joined_s, 1),
        "packets_per_s": round(packets / seconds / size, 2),
        "bytes_per_s": round(bytes_ / seconds / size),
        "cpu_percent": round(100 * cpu / seconds / size, 3),
        "false_alarms": false_alarms,
        "first_knows_s": round(detection_delays[0] / SECOND_US, 1),
        "last_knows_s": round(detection_delays[-1] / SECOND_US, 1),
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
