"""Measures confirmation and recovery in simulated time: links of 0.2 to 3 ms, a disk of 1 ms per sync.

    python -m benchmarks.control.measure [--seeds 20] [--machines 3]

Prints one JSON object with:

- the milliseconds from a partition of the leader to its step-down and to a new leader, and from the end of
  the partition until the old leader has caught up;
- the milliseconds of puts and of reads at p50 and p99;
- the bytes per second that each process sends without any load;
- the bytes of the store on a real disk after 10,000 changes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
from pathlib import Path

from benchmarks.control.fleet import Fleet, has_formed
from benchmarks.control.network import MS, S
from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.consensus.raft import RaftNode
from hazelbend.control.config_state_machine import ConfigStateMachine, encode_config_change
from hazelbend.control.engine import TIMING
from hazelbend.transport.storage.control_store import ControlStore

CHANGES = 10_000
BODY_BYTES = 2_000  # of a change, a third of them random
CALLS = 200  # puts, and as many reads, of each seed
STEP_US = 5 * MS


def _form_fleet(seed: int, machines: int) -> Fleet:
    fleet = Fleet(seed, machines, (machines - 1) // 2)
    assert fleet.run_until(lambda: has_formed(fleet, machines), 10 * S)
    return fleet


def _partition_leader(seed: int, machines: int) -> dict[str, int]:
    """Partition the leader for 20 s, with changes on the other side; returns the times in microseconds."""
    fleet = _form_fleet(seed, machines)
    old_leader = fleet.leader
    started_at = fleet.now
    fleet.network.isolate([old_leader.address], fleet.machines)
    times: dict[str, int] = {}

    def has_failed_over() -> bool:
        if not old_leader.engine.raft.is_leader:
            times.setdefault("step_down", fleet.now - started_at)
        if fleet.leader is not None and fleet.leader is not old_leader:
            times.setdefault("new_leader", fleet.now - started_at)
        return len(times) == 2

    fleet.run_until(has_failed_over, 5 * S)
    version = 0
    while fleet.now < started_at + 20 * S:
        version += 1
        fleet.put(fleet.leader.address, version - 1, version, b"%d" % version, lambda result: None)
        fleet.run(200 * MS)
    healed_at = fleet.now
    fleet.heal()
    caught_up = fleet.run_until(
        lambda: old_leader.engine.raft.commit_index == fleet.leader.engine.raft.commit_index, 10 * S
    )
    assert caught_up
    times["caught_up"] = fleet.now - healed_at
    return times


def _calls(seed: int, machines: int) -> tuple[list[int], list[int]]:
    """The durations of puts and of reads at the leader, in microseconds."""
    fleet = _form_fleet(seed, machines)
    puts: list[int] = []
    reads: list[int] = []
    for version in range(1, CALLS + 1):
        started_at = fleet.now
        body = b"%d" % version
        leader = fleet.leader.address
        fleet.put(
            leader,
            version - 1,
            version,
            body,
            lambda _, started_at=started_at: puts.append(fleet.now - started_at),
        )
        fleet.run(50 * MS)
        started_at = fleet.now
        fleet.read(leader, lambda _, started_at=started_at: reads.append(fleet.now - started_at))
        fleet.run(50 * MS)
    return puts, reads


def _bytes_at_rest(seed: int, machines: int) -> float:
    fleet = _form_fleet(seed, machines)
    fleet.run(5 * S)
    before = fleet.network.bytes
    fleet.run(20 * S)
    return (fleet.network.bytes - before) / 20 / machines


async def _store_changes(folder: Path) -> None:
    """Write the store of a single voter, with a save after each change as in `system.control_node`."""
    raft = RaftNode(PersistentState("a@10.0.0.1:7"), ConfigStateMachine(), TIMING, 1, 0)
    raft.force_new_cluster(256, 0)
    store = ControlStore(folder)
    await store.open("10.0.0.1:7")
    rng = random.Random(1)
    for version in range(1, CHANGES + 1):
        body = b'{"version":%d,"x":"%s"}' % (version, rng.randbytes(BODY_BYTES // 3).hex().encode())
        raft.propose(encode_config_change(version - 1, version, body), 0)
        await store.save(state_codec.take_changed_records(raft), raft.commit_index)
    await store.close()


def _folder_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def _quantiles(times: list[int]) -> dict[str, float]:
    times = sorted(times)
    return {"p50": times[len(times) // 2] / MS, "p99": times[len(times) * 99 // 100] / MS}


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--machines", type=int, default=3)
    options = parser.parse_args()
    partitions = [_partition_leader(seed, options.machines) for seed in range(1, options.seeds + 1)]
    calls = [_calls(seed, options.machines) for seed in range(1, 4)]
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_store_changes(Path(folder)))
        store_bytes = _folder_bytes(Path(folder))
    found = {
        name: {"middle": sorted(times[name] for times in partitions)[len(partitions) // 2] / MS,
               "longest": max(times[name] for times in partitions) / MS}
        for name in ("step_down", "new_leader", "caught_up")
    }  # fmt: skip
    found |= {
        "put": _quantiles([duration for puts, _ in calls for duration in puts]),
        "read": _quantiles([duration for _, reads in calls for duration in reads]),
        "bytes_a_second_at_rest": round(_bytes_at_rest(1, options.machines)),
        "disk_after_10000_changes": store_bytes,
    }
    print(json.dumps(vars(options) | found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
