"""Parameters of quotas. All members of a fleet must have the same."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class QuotaParameters:
    """Parameters of allocations. Times are microseconds.

    `max_job_time_us` is the longest time that a job may still run after its dispatcher has failed.
    `lendable_share` is the share of idle guaranteed units that other accounts may get.
    """

    allocation_ttl_us: int = 3_000_000
    max_job_time_us: int = 12_000_000
    max_clock_drift: float = 0.05  # greatest relative error of a clock's rate
    lendable_share: float = 1.0

    @property
    def reclaim_after_us(self) -> int:
        """Time after which no job that was admitted from an expired allocation is still in service.

        The holder may have admitted jobs for one more TTL, and the clocks that end the jobs may be slow.
        """
        longest = self.allocation_ttl_us + self.max_job_time_us
        return round(longest * (1 + self.max_clock_drift) / (1 - self.max_clock_drift))
