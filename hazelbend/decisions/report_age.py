"""Estimates how old a load report is when it arrives, for workers that make reports in two different ways."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.decisions.interface import LoadReport
from hazelbend.decisions.worker import Worker

MEMORY_REPORTS = 60.0  # number of reports that an estimate of their age remembers
CANDIDATE_AGES_US = (0, 100_000, 200_000, 400_000, 800_000, 1_600_000, 3_200_000)
MAX_GAP_US = 1_000_000  # reports further apart almost always differ, and say nothing about the period
# After this time an equal report counts as a new one, since the reports of an idle worker are all equal.
MAX_SAME_US = 3_200_000


@dataclass(slots=True, eq=False)
class ReportPeriod:
    """The age of reports that a worker renews periodically and repeats in between.

    Of two reports at a distance g in time, the second is a new one with probability g / T, where T is the
    period. T is therefore the sum of these distances divided by the number of changes. A repeated report has
    no new information. A new one was made after the previous report arrived, and at most T ago: on average
    half of the shorter time.
    """

    changes: float = 1.0
    observed: float = 1e6  # microseconds in which the changes were counted

    @property
    def period(self) -> float:
        """Estimated microseconds between two renewals."""
        return self.observed / max(self.changes, 1e-3)

    def age(self, worker: Worker, load: LoadReport, now: int) -> int | None:
        """Return the age of a report in microseconds, or None if it repeats the previous one."""
        gap = now - worker.reported_at
        is_repeated = load == worker.last_report
        if gap <= MAX_GAP_US:
            self.changes += (not is_repeated) - self.changes / MEMORY_REPORTS
            self.observed += gap - self.observed / MEMORY_REPORTS
        if is_repeated and now < worker.last_report_at + MAX_SAME_US:
            return None
        worker.last_report = load
        worker.last_report_at = now
        return round(min(gap, self.period) / 2)


@dataclass(slots=True, eq=False)
class ReportLag:
    """The age of reports that a worker makes anew for each answer.

    It is the one of `CANDIDATE_AGES_US` at which reported job counts differ least from own job counts.
    """

    errors: list[float] = field(default_factory=lambda: [0.0] * len(CANDIDATE_AGES_US))  # mean squares

    def age(self, worker: Worker, jobs: float, now: int) -> int:
        """Return the age, in microseconds, of a report of `jobs` jobs at the worker."""
        if worker.own_jobs.times:
            for index, lag in enumerate(CANDIDATE_AGES_US):
                error = (jobs - worker.own_jobs.at(now - lag - worker.round_trip)) ** 2
                self.errors[index] += (error - self.errors[index]) / MEMORY_REPORTS
        return CANDIDATE_AGES_US[self.errors.index(min(self.errors))]
