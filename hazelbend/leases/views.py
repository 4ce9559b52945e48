"""What a dispatcher shows of its fleet: for the admin calls, the console and the snapshot.

The names in JSON and msgpack are older than the names used here, so the classes pin them.
"""

from __future__ import annotations

import msgspec


class MemberView(msgspec.Struct, frozen=True, rename={"seconds_in_status": "for_s"}):
    """One member of the fleet, as gossip says."""

    identity: str
    status: str
    incarnation: int
    seconds_in_status: float


class LeaseView(msgspec.Struct, frozen=True):
    """One lease that is held. `renewed_s_ago`: as far as this process has seen."""

    name: str
    holder: str
    token: int
    ttl_s: float
    renewals: int
    renewed_s_ago: float | None
    waiters: tuple[str, ...]


class FleetView(
    msgspec.Struct,
    frozen=True,
    rename={
        "is_fresh": "fresh",
        "is_open": "open",
        "commit_index": "commit",
        "uncommitted": "lag",
        "health_score": "doubt",
        "foreign_fleets": "strangers",
    },
):
    """What one dispatcher knows.

    `is_fresh`: it leads and has committed an entry of its own term. `uncommitted`: log entries that it does
    not know to be committed. `health_score`: Lifeguard's, 0 is healthy. `foreign_fleets`: by address.
    """

    fleet: str
    me: str
    role: str
    epoch: int
    term: int
    leader: str
    is_fresh: bool
    is_open: bool
    commit_index: int
    uncommitted: int
    health_score: int
    voters: tuple[str, ...]
    members: tuple[MemberView, ...]
    leases: tuple[LeaseView, ...]
    foreign_fleets: dict[str, str]
