"""Starts the program with a clock that runs fast or slow, or with a planted defect, for fleet_rig.py.

    python -m benchmarks.fleet_launcher RATE DEFECT [COMMAND ...]

`time.monotonic_ns` is scaled, in the dispatcher and in `lease run`, as if the clock of the machine drifted.
"""

from __future__ import annotations

import sys
import time
from typing import Any, cast

DEFECTS = ("time from the answer", "no wait by a new leader", "token reset in a new epoch")


def patch_program(rate: float, defect: str) -> None:
    """Scale the monotonic clock by `rate`, and plant the defect if one is named."""
    started_at, real_monotonic_ns = time.monotonic_ns(), time.monotonic_ns

    def scaled_monotonic_ns() -> int:
        return started_at + round((real_monotonic_ns() - started_at) * rate)

    time.monotonic_ns = scaled_monotonic_ns
    if defect == "time from the answer":
        from benchmarks.fleet_defects import CountsTtlFromResponse
        from hazelbend.cli import lease_run

        lease_run.LeaseClient = CountsTtlFromResponse  # type: ignore[attr-defined]
    elif defect == "token reset in a new epoch":
        from benchmarks.fleet_defects import RestartsTokensPerEpoch
        from hazelbend.leases import lease_node

        lease_node.LeaseTable = RestartsTokensPerEpoch  # type: ignore[attr-defined]
    elif defect == "no wait by a new leader":
        from benchmarks.fleet_defects import skip_expiry_wait
        from hazelbend.leases.lease_node import LeaseNode

        original_lead = LeaseNode._lead

        def lead_without_wait(self: LeaseNode, now: int) -> None:
            skip_expiry_wait(self.expiry_watcher, self.raft.persistent.current_term)
            original_lead(self, now)

        LeaseNode._lead = lead_without_wait  # type: ignore[method-assign]


def main() -> None:
    cast(dict[str, Any], sys.modules)["ssl"] = None  # as in `hazelbend.__main__`; must not happen on import
    rate, defect = float(sys.argv[1]), sys.argv[2]
    sys.argv[1:3] = []
    patch_program(rate, defect)
    if len(sys.argv) > 1:
        from hazelbend.cli.main import main as command

        command()
    else:
        from hazelbend.dispatcher.app import main as program

        sys.exit(program())


if __name__ == "__main__":
    main()
