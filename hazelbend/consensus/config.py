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
    # A snapshot replaces the applied entries if there are this many, or if they are larger than this.
    snapshot_after_entries: int = 512
    snapshot_after_bytes: int = 4 * 1024 * 1024
    max_uncommitted_bytes: int = 12 * 1024 * 1024  # proposals that would exceed this are rejected
