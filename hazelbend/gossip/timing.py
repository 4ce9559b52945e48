"""Intervals and multipliers of the gossip protocol, and the suspicion timeout."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log10


@dataclass(slots=True, frozen=True)
class GossipTiming:
    """Settings of SWIM and Lifeguard. Times are microseconds.

    The minimum suspicion timeout is `suspicion_multiplier` probe intervals times the decimal logarithm of the
    fleet's size. The timeout starts at `max_suspicion_multiplier` times that minimum and shrinks with each
    confirmation.
    """

    probe_interval_us: int = 1_000_000
    ack_timeout_us: int = 300_000  # of a direct probe, after which indirect probes start
    indirect_probes: int = 3
    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 6.0
    suspicion_confirmations: int = 3  # by other members; this many reduce the timeout to its minimum
    full_state_interval_us: int = 30_000_000
    join_interval_us: int = 10_000_000  # between attempts to reach seeds and dead members
    forget_after_us: int = 300_000_000  # how long members that are dead or have left are kept
    updates_per_packet: int = 12
    retransmit_multiplier: float = 3.0  # packets per update, times the natural logarithm of the fleet's size
    max_health_score: int = 8

    def transmit_limit(self, size: int) -> int:
        """The number of packets that carry one update in a fleet of this size."""
        return ceil(self.retransmit_multiplier * log(size + 1))

    def suspicion_timeout_us(self, size: int, confirmations: int, health_score: int) -> int:
        """The time in which a suspect can refute before it is declared dead (Lifeguard, section IV).

        `confirmations`: how many further members suspect it. `health_score`: of this process, whose own
        problems may be the cause of the suspicion; a higher score lengthens the timeout.
        """
        shortest = self.suspicion_multiplier * max(log10(max(size, 1)), 1.0) * self.probe_interval_us
        longest = self.max_suspicion_multiplier * shortest
        if size <= self.suspicion_confirmations + 1:
            timeout = shortest  # there are too few members to confirm the suspicion
        elif confirmations > 0:
            reduction = (longest - shortest) * log(confirmations + 1) / log(self.suspicion_confirmations + 1)
            timeout = longest - reduction
        else:
            timeout = longest
        return round(max(timeout, shortest) * (1 + health_score / self.max_health_score))
