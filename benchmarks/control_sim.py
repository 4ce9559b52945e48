"""Plays histories of control processes under faults, and shrinks those that break a rule.

    python -m benchmarks.control_sim --seeds 100 [--first N] [--machines 3] [--tolerance 1] [--defect NAME]
    python -m benchmarks.control_sim --shrink SEED [--defect NAME]

Prints one JSON line; the exit status is 1 where a rule was broken. Faults: SIGKILL, loss of power, of disks,
cuts both and one way, freezes, disks that stall or are full, lost messages. Checked: what is acknowledged is
never lost, of two changes on one version one is taken, reads are as new as what was acknowledged before they
began, nobody goes back within a life, a machine is replaced within `SYNC`.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter

from benchmarks.control_faults import play, shrink
from benchmarks.control_fleet import BrokenRuleError, Fleet, Machine
from hazelbend.control import engine as ce
from hazelbend.control.config_machine import ChangeResult, StoredConfig
from hazelbend.fleet.memory import Memory
from hazelbend.fleet.record import Done

STALE = 1_000_000  # tickets of reads that a planted defect answers without asking a majority


def _plant(defect: str) -> None:
    """Break the code on purpose, to see that it is found."""
    if defect == "acknowledge_before_majority":
        ce.Record._majority_holds = lambda self: self.memory.last
    elif defect == "wiped_voter_votes":
        original = Fleet.wipe

        def wipe(self: Fleet, address: str) -> None:
            memory = self.machines[address].disk.memory
            original(self, address)
            if memory is not None:
                self.machines[address].disk.memory = Memory(memory.identity, memory.epoch)

        Fleet.wipe = wipe
    elif defect == "say_before_save":
        original_flush = Fleet._flush

        def flush(self: Fleet, machine: Machine) -> None:
            engine = machine.engine
            if engine is not None and not machine.saving and engine.has_stable_output:
                said = engine.take_stable()
                self._say(machine, said)
            original_flush(self, machine)

        Fleet._flush = flush
    elif defect == "no_compare":
        from hazelbend.control import config_machine

        def apply(self: config_machine.ConfigMachine, index: int, op: bytes) -> ChangeResult:
            change = config_machine._entries.decode(op)
            self.current = StoredConfig(change.version, change.body)
            return ChangeResult.ACCEPTED

        config_machine.ConfigMachine.apply = apply
    elif defect == "stale_read":
        ce.ControlEngine.read = _stale_read
    else:
        raise SystemExit(f"no such defect: {defect}")


def _stale_read(self: ce.ControlEngine, now: int) -> int:
    self._number += 1
    self.record.done.append(Done(self._number + STALE, True))
    self._reads[self._number + STALE] = self._number
    return self._number


DEFECTS = (
    "acknowledge_before_majority",
    "wiped_voter_votes",
    "say_before_save",
    "no_compare",
    "stale_read",
)


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--tolerance", type=int, default=1)
    parser.add_argument("--defect", choices=DEFECTS)
    parser.add_argument("--shrink", type=int, metavar="SEED")
    options = parser.parse_args()
    if options.defect:
        _plant(options.defect)
    if options.shrink is not None:
        rule, fewest = shrink(options.shrink, options.machines, options.tolerance)
        print(json.dumps({"seed": options.shrink, "broken": rule, "faults": [str(each) for each in fewest]}))
        return 1
    began = time.monotonic()
    faults: Counter[str] = Counter()
    broken: dict[int, str] = {}
    changes = reads = played = 0
    for seed in range(options.first, options.first + options.seeds):
        played += 1
        try:
            done = play(seed, options.machines, options.tolerance)
        except BrokenRuleError as error:
            broken[seed] = str(error)
            if options.defect:
                break
            continue
        changes, reads = changes + done.changes, reads + done.reads
        faults.update(fault.kind for fault in done.faults)
    seconds = round(time.monotonic() - began, 1)
    line = {"seeds": played, "changes": changes, "reads": reads, "faults": faults, "broken": broken}
    print(json.dumps(line | {"seconds": seconds}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
