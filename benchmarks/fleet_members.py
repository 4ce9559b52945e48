"""Members of a fleet on virtual time: what it costs to know them, and how soon a death is known and a false
alarm ends.

    python -m benchmarks.fleet_members --sizes 3,50,200 --seconds 60 --seed 1

Prints a line for each size: packets and bytes (msgpack) a second of each process when nothing happens, CPU of
the engine as part of a core, and after one process is killed: when the first and the last of the others hold
it dead.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from collections.abc import Callable

import msgspec

from hazelbend.consensus.identity import address_of
from hazelbend.gossip.swim import Members, Packet, Status, Timing

S = 1_000_000


class Crowd:
    """Processes that know each other only by what they tell each other. Time is one clock's."""

    def __init__(self, size: int, seed: int, fleet: str = "f") -> None:
        self.random, self.timing, self.fleet = random.Random(seed), Timing(), fleet
        self.now, self.sequence = 0, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.by_address: dict[str, Members] = {}
        self.paused: dict[str, list[Packet]] = {}
        self.cuts: Callable[[str, str], bool] = lambda source, to: False
        self.loss = 0.0
        self.packets = self.bytes = 0
        self.encoder = msgspec.msgpack.Encoder()
        self.dead_at: dict[tuple[str, str], int] = {}  # who holds whom dead, and since when
        self.alarms = 0  # times that somebody was held dead
        self.seeds = tuple(f"10.0.0.{n}:1" for n in range(3))
        for number in range(size):
            self.start(f"10.0.0.{number}:1")

    def start(self, address: str, life: str = "a", fleet: str = "") -> Members:
        made = Members(
            f"n{life}@{address}",
            fleet or self.fleet,
            self.seeds,
            self.timing,
            self.random.getrandbits(32),
            self.now,
        )
        self.by_address[address] = made
        self._wake(made)
        return made

    def kill(self, address: str) -> None:
        del self.by_address[address]

    def pause(self, address: str) -> None:
        self.paused[address] = []

    def go_on(self, address: str) -> None:
        waiting = self.paused.pop(address)
        member = self.by_address[address]
        self._pump(member)
        for packet in waiting:
            self._arrive(packet)
        self._wake(member)

    def at(self, delay: float, act: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + max(round(delay), 1), self.sequence, act))

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * S)
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = end

    def until(self, done: Callable[[], bool], seconds: float) -> float:
        """How long it took; AssertionError if it did not come about."""
        began = self.now
        while not done():
            assert self.now < began + seconds * S, "it did not come about"
            self.run(0.1)
        return (self.now - began) / S

    def _wake(self, member: Members) -> None:
        self.at(max(member.due - self.now, 1_000), lambda: self._due(member))

    def _due(self, member: Members) -> None:
        address = address_of(member.me)
        if self.by_address.get(address) is member and address not in self.paused:
            self._pump(member)
            self._wake(member)

    def _pump(self, member: Members) -> None:
        member.tick(self.now)
        self._send(member)

    def _send(self, member: Members) -> None:
        for packet in member.out:
            self.packets += 1
            self.bytes += len(self.encoder.encode(packet))
            to = address_of(packet.to) or packet.to
            if not self.cuts(address_of(packet.sender), to) and self.random.random() >= self.loss:
                self.at(self.random.expovariate(1 / 3_000), lambda packet=packet: self._arrive(packet))
        member.out.clear()
        for change in member.changes:
            if change.status is Status.DEAD:
                self.alarms += 1
                self.dead_at.setdefault((member.me, change.identity), self.now)
        member.changes.clear()

    def _arrive(self, packet: Packet) -> None:
        address = address_of(packet.to) or packet.to
        if address in self.paused:
            self.paused[address].append(packet)
        elif (member := self.by_address.get(address)) is not None:
            member.receive(packet, self.now)
            self._send(member)

    def agreed(self) -> bool:
        """Whether all that run know all that run, and nobody else."""
        running = {each.me for each in self.by_address.values()}
        return all(set(each.well()) == running for each in self.by_address.values())


def measure(size: int, seconds: float, seed: int) -> dict[str, float]:
    crowd = Crowd(size, seed)
    joined = crowd.until(crowd.agreed, 120.0)
    crowd.run(40.0)  # what joining has to tell is told
    crowd.packets = crowd.bytes = 0
    began = time.process_time()
    crowd.run(seconds)
    cpu = time.process_time() - began
    calm, bytes_, alarms = crowd.packets, crowd.bytes, crowd.alarms
    gone = crowd.by_address["10.0.0.1:1"].me
    killed = crowd.now
    crowd.kill("10.0.0.1:1")
    crowd.until(crowd.agreed, 300.0)
    known = sorted(at - killed for (_, whom), at in crowd.dead_at.items() if whom == gone)
    return {
        "size": size,
        "all_know_all_s": round(joined, 1),
        "packets_per_s": round(calm / seconds / size, 2),
        "bytes_per_s": round(bytes_ / seconds / size),
        "cpu_percent": round(100 * cpu / seconds / size, 3),
        "false_alarms": alarms,
        "first_knows_s": round(known[0] / S, 1),
        "last_knows_s": round(known[-1] / S, 1),
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
