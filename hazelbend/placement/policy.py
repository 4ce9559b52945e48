"""All constants of the placement's decisions, in one place, with their units and where they come from.

A policy is handed to `PlacementEngine` whole; there is no setting for any of it. Trials and tests hand over
others: a field at its neutral value switches its mechanism off. Found "by trial" means: by plays of
`docs/policy.md`.
"""

from __future__ import annotations

from dataclasses import dataclass

UNIT = 500  # tokens of reading that count as one job


@dataclass(slots=True, frozen=True)
class Policy:
    """Times in microseconds."""

    # First guesses, until runs have told. Of no deployment: each is replaced by what is seen.
    first_pace: float = UNIT / 0.03  # to read a unit
    first_overhead: float = 22_000  # of a call to read, whatever it reads
    whole_pace: float = 2.2  # times as long, at a worker that makes tokens in between
    first_run: float = 200_000  # that a request runs
    first_token: float = 20_000  # from a send whose prompt is read to its first event
    present_first: float = 0.5  # part of homes that keep what nobody has told of

    # How much is learnt: samples that an estimate rests on, and that its first guess counts as.
    slowness_memory: float = 20.0
    slowness_prior: float = 4.0
    first_token_memory: float = 30.0
    first_token_prior: float = 4.0
    present_memory: float = 20.0
    present_prior: float = 3.0
    clear: float = 0.25  # part of a sample's reading that may have been estimated to lie before it
    least_shared: int = 2 * UNIT  # tokens that must be shared for a run to tell whether they were kept
    most_read: float = 0.9  # of a prompt that counts as read before its worker has said so

    # Prices: what a choice costs beside its own time, as time. By trial on the first two deployments.
    home_bonus: float = 4_000  # of workers that are alike, all routers take the same
    read_beside: float = 0.5  # of a read's time at a worker that makes tokens, that it costs others there
    long_read: float = 6.0  # units before streams there pause
    long_read_price: float = 20_000  # a unit beyond
    cross_zone: float = 3_000  # that a worker of another zone is further away
    cross_zone_move: float = 2.0  # times as long, a move between zones (PROTOCOL.md)
    move_price: float = 40.0  # a megabyte of moved memory
    max_crowding: float = 4.0  # most times its own time that work costs those who come after it; 0: none
    busy_first: float = 0.3  # part of readers that are busy, until reports have told
    busy_memory: float = 60.0  # reports that this rests on
    busy_prior: float = 10.0

    # Caches.
    kept_shared: float = 0.7  # of a worker's memory that is believed to keep shared parts
    tells_all_reads: bool = True  # whether others hear of each read of a part, or of the first one alone

    # Workers that are not well.
    silent_penalty: float = 60_000_000  # one that has gone silent is the last choice
    overdue: int = 600_000  # after which silence is suspect,
    overdue_times: float = 2.0  # and times the expected delay
    risk_part: float = 1.0  # of what `Reliability` says that a choice costs; 0: nothing
    most_told: int = 20  # ends of one kind that one word of another router counts as


STANDARD = Policy()
