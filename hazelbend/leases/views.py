"""A dispatcher's view of its fleet, for the admin calls, the console and the snapshot.

The names in JSON and msgpack differ from the names in the source, so the classes set them explicitly.
"""

from __future__ import annotations

import msgspec


class MemberView(msgspec.Struct, frozen=True, rename={"seconds_in_status": "for_s"}):
    """A member of the fleet, as known by gossip."""

    identity: str
    status: str
    incarnation: int
    seconds_in_status: float


class LeaseView(msgspec.Struct, frozen=True):
    """A held lease. `renewed_s_ago` is the time since this process saw its last renewal."""

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
    """The fleet as one dispatcher knows it.

    `is_fresh`: it is the leader and has committed an entry of its own term. `uncommitted`: number of log
    entries that it does not know to be committed. `health_score`: Lifeguard's, 0 is healthy.
    `foreign_fleets`: ids of other fleets from which messages came, by address.
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
