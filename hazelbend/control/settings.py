"""The settings of a control engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """The settings of a control process. Addresses are those at which control processes reach each other."""

    address: str
    seeds: tuple[str, ...]
    counts_for_quorum: bool
    may_bootstrap: bool
    tolerance: int  # number of quorum processes that may be lost at the same time
    heartbeat_us: int  # between two heartbeats of a worker
    lease_us: int = 0  # minimum time between orders of two leaders
    contact_us: int = 3_000_000  # without a majority for so long, a process counts as out of touch
