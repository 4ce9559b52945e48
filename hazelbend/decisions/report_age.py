"""How old a load report is when it arrives: two models, one for each way in which workers make reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.decisions.interface import LoadReport
from hazelbend.decisions.worker import Worker

MEMORY_REPORTS = 60.0  # reports that an estimate of their age rests on
CANDIDATE_AGES_US = (0, 100_000, 200_000, 400_000, 800_000, 1_600_000, 3_200_000)
MAX_GAP_US = 1_000_000  # reports further apart differ in any case, and tell nothing of the period
MAX_SAME_US = 3_200_000  # reports of an idle worker may be equal and yet be new


@dataclass(slots=True, eq=False)
class ReportPeriod:
    """The age of reports that a worker renews periodically and repeats in between.

    Of two reports a time g apart, the second is a new one with probability g / T, where T is the period. So T
    is the sum of such times over the number of changes. A repeated report tells nothing new. A new one was
    made since the last report, or within T: half of that ago on average.
    """

    changes: float = 1.0
    observed: float = 1e6  # microseconds in which the changes were seen

    @property
    def period(self) -> float:
        """Microseconds between two renewals."""
        return self.observed / max(self.changes, 1e-3)

    def age(self, worker: Worker, load: LoadReport, now: int) -> int | None:
        """Return the age of a report in microseconds; None if it repeats the last one."""
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
    """The age of reports that are made for each answer.

    Of some candidates it is the age at which own jobs explain most of what the reports say.
    """

    errors: list[float] = field(default_factory=lambda: [0.0] * len(CANDIDATE_AGES_US))  # mean squares

    def age(self, worker: Worker, jobs: float, now: int) -> int:
        """Return the age, in microseconds, of a report that the worker had so many jobs."""
        if worker.own_jobs.times:
            for index, lag in enumerate(CANDIDATE_AGES_US):
                error = (jobs - worker.own_jobs.at(now - lag - worker.round_trip)) ** 2
                self.errors[index] += (error - self.errors[index]) / MEMORY_REPORTS
        return CANDIDATE_AGES_US[self.errors.index(min(self.errors))]
