"""Times and shares of quotas. All members of a fleet have the same."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class QuotaParameters:
    """Terms of allocations. Times are microseconds.

    `max_job_time_us`: the longest that a job may still run after its dispatcher is lost.
    `lendable_share`: of idle guaranteed units, that other accounts may have.
    """

    allocation_ttl_us: int = 3_000_000
    max_job_time_us: int = 12_000_000
    max_clock_drift: float = 0.05  # most by which a clock's rate differs from true time's
    lendable_share: float = 1.0

    @property
    def reclaim_after_us(self) -> int:
        """After this time nothing that a lost allocation admitted is in service.

        Its holder may have admitted jobs for an allocation's time yet, and jobs end by clocks that are slow.
        """
        longest = self.allocation_ttl_us + self.max_job_time_us
        return round(longest * (1 + self.max_clock_drift) / (1 - self.max_clock_drift))
