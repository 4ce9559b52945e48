"""What a control engine is given at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """The settings of a control process. Addresses are those of control processes for each other."""

    address: str
    seeds: tuple[str, ...]
    counts_for_quorum: bool
    may_bootstrap: bool
    tolerance: int  # processes that count for the quorum and may be lost at one time
    heartbeat_us: int  # between two heartbeats of a worker
    lease_us: int = 0  # that must lie between orders of two leaders
