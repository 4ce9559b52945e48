"""Estimates the load and the speed of workers from load reports and own attempts.

A worker's rate mu is its concurrency (the most jobs that run at once) divided by their mean run time. Run
times are measured as ratios to the expected run time of the job, so that jobs of different sizes can be
compared. Times in microseconds.
"""

from __future__ import annotations

from hazelbend.decisions.discovery_retry import LARGE_FLEET
from hazelbend.decisions.interface import LoadReport, Settings
from hazelbend.decisions.job_count import MAX_JOB_COUNT
from hazelbend.decisions.report_age import ReportLag, ReportPeriod
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import Worker

# The number of samples that a mean remembers (`MEMORY`), or that its initial guess counts as (`PRIOR`).
MEMORY_SAMPLES = 60.0  # those of a few seconds, so that a worker that slows down is noticed
LEVEL_PRIOR_REPORTS = 2.0  # of the load level of the worker's kind
LEVEL_MEMORY_REPORTS = 4.0  # of a worker's own load level: only the newest reports count
CLASS_PRIOR_SAMPLES = 2.0  # of a class's run time, initially its objective
RATE_PRIOR_SAMPLES = 8.0  # of the listed weight: heavy-tailed run times need many samples
FETCH_PRIOR_SAMPLES = 20.0  # of the time of a fetch, initially half a mean job
FETCH_PRIOR_RATIO = 1.5  # run time with a fetch, as a ratio to the expected one
# Bounds of a run time's ratio to the expected one. An upper bound of 4 made rates too optimistic where run
# times have a heavy tail.
MIN_RUN_RATIO = 0.1
MAX_RUN_RATIO = 10.0


def has_reports_of_large_fleet(settings: Settings) -> bool:
    """Whether reports come in answers and on probes, in a fleet so large that most jobs are of peers."""
    return settings.probes_allowed and settings.reports_inline and settings.fleet_size >= LARGE_FLEET


class LoadModel:
    """The learnt means, and the estimates for each worker that are computed from them."""

    settings: Settings
    uses_plan: bool  # no load reports: jobs are spread by a plan that all dispatchers compute (`FleetPlan`)
    uses_report_period: bool  # the age of reports is inferred by `ReportPeriod`, else by `ReportLag`

    def __init__(self, settings: Settings) -> None:
        """Start with the initial guesses."""
        self.run_times: list[Mean] = []  # by job class
        self.apply_settings(settings)
        self.work = Mean(1.0, self.run_times[0].value)  # expected run time of requests
        self.request_slots = Mean(1.0, 1.0)  # slots of requests
        # Run time ratios of attempts whose key's data was assumed to be cached at the worker, and of others.
        self.cached_run_ratio = Mean(FETCH_PRIOR_SAMPLES, FETCH_PRIOR_SAMPLES)
        self.fetch_run_ratio = Mean(FETCH_PRIOR_SAMPLES, FETCH_PRIOR_SAMPLES * FETCH_PRIOR_RATIO)
        self.run_ratio = Mean(CLASS_PRIOR_SAMPLES, CLASS_PRIOR_SAMPLES)
        self.error_time = Mean()  # from the send of an attempt to its error
        # Of the workers of served attempts; rates in mean jobs.
        self.rates = Mean(1.0, 1.0)
        self.weights = Mean(1.0, 1.0)
        # By machine kind.
        self.peer_load_levels: dict[int, Mean] = {}  # load levels: jobs of peers divided by `Worker.size`
        self.full_weights: dict[int, float] = {}  # the highest weight that was listed
        self.kind_run_ratios: dict[int, Mean] = {}
        self.report_period = ReportPeriod()
        self.report_lag = ReportLag()

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings. What was learnt about a job class stays with its position."""
        self.settings = settings
        for job in settings.classes[len(self.run_times) :]:
            guess = CLASS_PRIOR_SAMPLES * max(job.objective, 1)
            self.run_times.append(Mean(CLASS_PRIOR_SAMPLES, guess))
        self.uses_plan = settings.lacks_load_reports and settings.fleet_size > 1
        self.uses_report_period = has_reports_of_large_fleet(settings)

    @property
    def fetch_time(self) -> float:
        """Additional time that an attempt is expected to take where its key's data is not cached."""
        return max(self.fetch_run_ratio.value - self.cached_run_ratio.value, 0.0) * self.work.value

    def apply_weight(self, worker: Worker, now: int) -> None:
        """Apply the load that is inferred from a listed weight, where weights fall with load."""
        kind = worker.entry.machine_kind
        self.full_weights[kind] = max(worker.weight, self.full_weights.get(kind, 0.0))
        load = worker.load_from_weight(self.full_weights[kind])
        if load:
            self.apply_report(worker, load, now)

    def apply_report(self, worker: Worker, load: LoadReport, now: int) -> None:
        """Restart a worker's job count from a load report.

        A report of neither jobs nor free slots is ignored: the worker has not measured anything yet.
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
        self.update_rate(worker, now)  # the level below needs the size that follows from this report
        level = worker.peer_jobs / worker.size
        self.peer_load_levels.setdefault(worker.entry.machine_kind, Mean()).add(level, MEMORY_SAMPLES)
        worker.peer_load_level.add(level, LEVEL_MEMORY_REPORTS)
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
        """Recompute a worker's rate, from run times and its listed weight, and its background load."""
        settings = self.settings
        kind = worker.entry.machine_kind
        worker.rated_at = now
        worker.concurrency = max(worker.slots / self.request_slots.value, 1.0)
        listed = worker.concurrency * self.weights.value / (self.rates.value * worker.weight)
        if self.uses_plan or (worker.slots and not settings.weights_enabled):
            # The list has no sizes: reports show the slots, and run times on a kind of worker its speed.
            kind_ratio = self.kind_run_ratios.get(kind, Mean())
            listed = kind_ratio.with_prior(self.run_ratio.value, CLASS_PRIOR_SAMPLES)
        ratio = worker.run_time_ratio.with_prior(listed, RATE_PRIOR_SAMPLES)
        if self.uses_plan and settings.weights_enabled:  # a weight is the concurrency times the speed
            capacity = worker.weight * ratio / self.run_ratio.value / self.request_slots.value
            worker.concurrency = max(capacity, 1.0)
        typical = self.rates.value * self.run_ratio.value  # concurrency of a worker without reports
        worker.size = (worker.concurrency if worker.slots else typical) * listed / ratio
        worker.rate = worker.concurrency / (ratio * self.work.value)
        # A warming-up worker has fewer jobs than the others of its kind.
        is_warming_up = bool(worker.slow_start_draw)
        kind_level = self.peer_load_levels.get(kind, Mean()).value * (not is_warming_up)
        level = worker.peer_load_level.with_prior(kind_level, LEVEL_PRIOR_REPORTS)
        worker.background_load = level * worker.size / worker.rate
