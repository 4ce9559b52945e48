"""What a dispatcher learns of the load and the speed of workers, from load reports and own attempts.

A worker's rate mu is the most jobs running at once over their mean run time. Run times are counted as ratios
to what was expected of the job, so that jobs of different size can be compared. Times in microseconds.
"""

from __future__ import annotations

from hazelbend.decisions.discovery_retry import LARGE_FLEET
from hazelbend.decisions.interface import LoadReport, Settings
from hazelbend.decisions.job_count import MAX_JOB_COUNT
from hazelbend.decisions.report_age import ReportLag, ReportPeriod
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import Worker

MEMORY_SAMPLES = 60.0  # that a mean rests on: some seconds' worth, so that a slower worker shows
LEVEL_PRIOR_REPORTS = 2.0  # that the level of a worker's kind counts as
LEVEL_MEMORY_REPORTS = 4.0  # that a worker's own level rests on: the newest count
CLASS_PRIOR_SAMPLES = 2.0  # that the objective counts as, the initial guess of a class's run time
RATE_PRIOR_SAMPLES = 8.0  # that the listed weight counts as: heavy-tailed run times need many samples
FETCH_PRIOR_SAMPLES = 20.0  # that the initial guess of a fetch, half a mean job, counts as
FETCH_PRIOR_RATIO = 1.5  # run time with a fetch, as a ratio to the expected
# Bounds of a run time's ratio to the expected: 4 made rates too optimistic in heavy tails.
MIN_RUN_RATIO = 0.1
MAX_RUN_RATIO = 10.0


def has_reports_of_large_fleet(settings: Settings) -> bool:
    """Whether reports come with answers and on probes, and own jobs are few beside those of peers."""
    return settings.probes_allowed and settings.reports_inline and settings.fleet_size >= LARGE_FLEET


class LoadModel:
    """The learnt means, and the updates of workers that follow from them."""

    settings: Settings
    uses_plan: bool  # jobs of peers are known by a plan that all dispatchers make alike (`FleetPlan`)
    uses_report_period: bool  # the age of reports is inferred by `ReportPeriod`

    def __init__(self, settings: Settings) -> None:
        """Start with the initial guesses."""
        self.run_times: list[Mean] = []  # by job class
        self.apply_settings(settings)
        self.work = Mean(1.0, self.run_times[0].value)  # expected run time of requests
        self.width = Mean(1.0, 1.0)  # slots of requests
        # Run time ratios of attempts whose key's data was believed to be cached there, and of others.
        self.cached_run_ratio = Mean(FETCH_PRIOR_SAMPLES, FETCH_PRIOR_SAMPLES)
        self.fetch_run_ratio = Mean(FETCH_PRIOR_SAMPLES, FETCH_PRIOR_SAMPLES * FETCH_PRIOR_RATIO)
        self.run_ratio = Mean(CLASS_PRIOR_SAMPLES, CLASS_PRIOR_SAMPLES)
        self.error_time = Mean()  # from the send of an attempt to its error
        # Of workers that served, in mean jobs.
        self.rates = Mean(1.0, 1.0)
        self.weights = Mean(1.0, 1.0)
        # By machine kind.
        self.usual_levels: dict[int, Mean] = {}  # jobs of peers over the size
        self.full_weights: dict[int, float] = {}  # the highest weight listed
        self.kind_run_ratios: dict[int, Mean] = {}
        self.report_period = ReportPeriod()
        self.report_lag = ReportLag()

    def apply_settings(self, settings: Settings) -> None:
        """Take new settings; what was learnt of a class stays with its position."""
        self.settings = settings
        for job in settings.classes[len(self.run_times) :]:
            guess = CLASS_PRIOR_SAMPLES * max(job.objective, 1)
            self.run_times.append(Mean(CLASS_PRIOR_SAMPLES, guess))
        self.uses_plan = settings.lacks_load_reports and settings.fleet_size > 1
        self.uses_report_period = has_reports_of_large_fleet(settings)

    @property
    def fetch_time(self) -> float:
        """Expected time that an attempt takes longer where its key's data is not cached."""
        return max(self.fetch_run_ratio.value - self.cached_run_ratio.value, 0.0) * self.work.value

    def apply_weight(self, worker: Worker, now: int) -> None:
        """Take the load that a worker reports by a weight that falls with it."""
        kind = worker.entry.machine_kind
        self.full_weights[kind] = max(worker.weight, self.full_weights.get(kind, 0.0))
        load = worker.load_from_weight(self.full_weights[kind])
        if load:
            self.apply_report(worker, load, now)

    def apply_report(self, worker: Worker, load: LoadReport, now: int) -> None:
        """Restart a worker's job count from a report.

        A report of neither jobs nor free slots was not measured yet.
        """
        if not (load.in_flight or load.queued) and load.free_slots == 0:
            return
        queued = load.queued or 0.0
        jobs = load.in_flight
        if jobs is None:
            jobs = queued + min(worker.slots, queued)
        age = self.report_period.age(worker, load, now)
        if not self.uses_report_period:
            age = self.report_lag.age(worker, jobs, now)
        worker.reported_at = now
        if age is None:
            return
        worker.peer_jobs_at = now - age - worker.round_trip // 2
        own_jobs = worker.own_jobs.at(worker.peer_jobs_at)
        worker.peer_jobs = max(round(min(jobs, MAX_JOB_COUNT)) - own_jobs, 0)
        worker.observe_slots(jobs - queued + (load.free_slots or 0.0))
        self.update_rate(worker, now)  # the level is counted in the size by this report
        level = worker.peer_jobs / worker.size
        self.usual_levels.setdefault(worker.entry.machine_kind, Mean()).add(level, MEMORY_SAMPLES)
        worker.usual_level.add(level, LEVEL_MEMORY_REPORTS)
        self.update_rate(worker, now)

    def learn_run_time(self, attempt: Attempt, now: int) -> None:
        """Learn from the run time of an attempt that was served."""
        worker, request = attempt.worker, attempt.request
        run_time = max(now - (attempt.started_at or attempt.sent_at), 1)
        self.run_times[request.class_index].add(run_time)
        ratio = min(run_time / request.work, MAX_RUN_RATIO)
        (self.fetch_run_ratio if attempt.fetches else self.cached_run_ratio).add(ratio)
        worker.run_time_ratio.add(ratio, MEMORY_SAMPLES)
        self.rates.add(worker.concurrency / max(worker.run_time_ratio.value, MIN_RUN_RATIO))
        self.run_ratio.add(ratio, MEMORY_SAMPLES)
        kind_ratio = self.kind_run_ratios.setdefault(worker.entry.machine_kind, Mean())
        kind_ratio.add(ratio, MEMORY_SAMPLES)
        self.weights.add(worker.weight)

    def update_rate(self, worker: Worker, now: int) -> None:
        """Compute a worker's rate, from own run times and the listed weight, and the usual load of peers."""
        settings = self.settings
        kind = worker.entry.machine_kind
        worker.rated_at = now
        worker.concurrency = max(worker.slots / self.width.value, 1.0)
        listed = worker.concurrency * self.weights.value / (self.rates.value * worker.weight)
        if self.uses_plan or (worker.slots and not settings.weights_enabled):
            # The list tells no sizes: reports do, and runs on all workers of a kind tell their speed.
            kind_ratio = self.kind_run_ratios.get(kind, Mean())
            listed = kind_ratio.with_prior(self.run_ratio.value, CLASS_PRIOR_SAMPLES)
        ratio = worker.run_time_ratio.with_prior(listed, RATE_PRIOR_SAMPLES)
        if self.uses_plan and settings.weights_enabled:  # a weight tells jobs at once, times their speed
            capacity = worker.weight * ratio / self.run_ratio.value / self.width.value
            worker.concurrency = max(capacity, 1.0)
        typical = self.rates.value * self.run_ratio.value  # jobs at once, of a worker without reports
        worker.size = (worker.concurrency if worker.slots else typical) * listed / ratio
        worker.rate = worker.concurrency / (ratio * self.work.value)
        is_cold = bool(worker.lottery_number)  # a cold worker is not as full as its kind
        kind_level = self.usual_levels.get(kind, Mean()).value * (not is_cold)
        level = worker.usual_level.with_prior(kind_level, LEVEL_PRIOR_REPORTS)
        worker.background_load = level * worker.size / worker.rate
