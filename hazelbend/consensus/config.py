"""The roles of a Raft node, and its timing and limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The role of a node in its term. The values are shown in the console and in status output."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """Timing and limits. Each election timeout is random, between `election_timeout_us` and twice that."""

    heartbeat_us: int = 200_000
    election_timeout_us: int = 1_000_000
    max_batch_entries: int = 64  # in one message
    snapshot_after_entries: int = 512  # number of applied entries at which a snapshot replaces them
    snapshot_after_bytes: int = 4 * 1024 * 1024  # size of applied entries above which it does so, too
    max_uncommitted_bytes: int = 12 * 1024 * 1024  # proposals beyond this are rejected
