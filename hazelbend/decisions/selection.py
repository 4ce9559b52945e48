"""Selects the worker for a request: the least (E[N] + 1) / mu, plus other costs converted to delay."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter, itemgetter
from typing import TypeAlias

from hazelbend.decisions.fleet_plan import FleetPlan, preference_order
from hazelbend.decisions.interface import DedupScope, Idempotency, RequestId, Settings
from hazelbend.decisions.job_count import expected_jobs
from hazelbend.decisions.load_model import LoadModel
from hazelbend.decisions.membership import Membership
from hazelbend.decisions.request import Request
from hazelbend.decisions.slow_start import SlowStart
from hazelbend.decisions.worker import Worker

RATE_LIFETIME_US = 2_000_000  # a rate is cached for this time: computing it takes CPU, and it changes slowly
PLAN_CHOICES = 4  # workers drawn by the plan, of which the best is selected: with more, all select the same

# The fields of an `Option`. One row is created per worker, and a plain tuple is cheaper than an `Option`.
OptionRow: TypeAlias = tuple[float, float, float, Worker]
by_score = itemgetter(0)


@dataclass(slots=True)
class Option:
    """A worker that a request may be sent to. Times in microseconds."""

    score: float  # delay plus all other costs; the least is selected
    delay: float  # expected delay of the request
    run_time: float  # of a mean job at this worker
    worker: Worker


class WorkerSelector:
    """Selection by Shortest Expected Delay (SED_e of Hyytia and Righter). Times in microseconds."""

    def __init__(
        self,
        membership: Membership,
        load_model: LoadModel,
        slow_start: SlowStart,
        plan: FleetPlan,
        requests: dict[RequestId, Request],
        rng: random.Random,
    ) -> None:
        """Select from `membership`. `requests` are the open ones; `rng` breaks ties and draws by the plan."""
        self._membership = membership
        self._load_model = load_model
        self._slow_start = slow_start
        self._plan = plan
        self._requests = requests
        self._random = rng
        self.started_at = -1  # when the dispatcher started

    def select(self, request: Request, now: int) -> Option | None:
        """Select from the request's candidates, or from all ready workers; None if none is eligible."""
        workers = self.eligible(request, request.candidates or self._membership.ready, now)
        request.candidates = []
        if self._load_model.uses_plan and workers:
            if self._random.random() < self._plan.unassigned:
                return None
            weights = self._plan.weights(request.key, workers)
            workers = self._random.choices(workers, weights, k=PLAN_CHOICES)
        first = self._random.randrange(len(workers) or 1)  # breaks ties between equal workers
        rows = self.options(request, workers[first:] + workers[:first], now)
        best = min(rows, key=by_score, default=None)
        return None if best is None else Option(*best)

    def eligible(self, request: Request, workers: Iterable[Worker], now: int) -> list[Worker]:
        """Return those of `workers` that the request may be sent to."""
        job = request.job
        ready = self._membership.ready
        tried = {attempt.worker for attempt in request.attempts}
        healthy = [worker for worker in workers if worker.backoff_until <= now and worker in ready]
        eligible = [
            worker for worker in healthy if self._slow_start.is_selectable(worker) and worker not in tried
        ]
        eligible = [worker for worker in eligible if job.machine_kind in (-1, worker.entry.machine_kind)]
        if job.idempotency is Idempotency.KEYED and job.dedup_scope is not DedupScope.ALL:
            first = request.first_possible_run
            if first is not None:
                # A retry may only go to workers that share idempotency keys with that of the first attempt.
                group = attrgetter("entry.zone" if job.dedup_scope is DedupScope.ZONE else "entry.cell")
                eligible = [worker for worker in eligible if group(worker) == group(first.worker)]
        return eligible

    def options(self, request: Request, workers: list[Worker], now: int) -> list[OptionRow]:
        """Return the options for a request as rows, without workers whose slow-start budget is spent."""
        model = self._load_model
        settings = model.settings
        uses_plan = model.uses_plan
        job = request.job
        # The delay that costs about as much as losing the full value.
        full_value = (job.objective + job.stretch * request.work) * (1 + job.late_value_fraction)
        key_order = preference_order(request.key, workers) if request.key and not uses_plan else {}
        fetch_time = model.fetch_time if key_order else 0.0
        queueing_delay = 0.0
        if uses_plan and settings.reports_job_starts:
            queueing_delay = self._plan.queueing_delay(self._requests.values(), now)
        is_last = job.idempotency is Idempotency.UNSAFE or len(request.attempts) + 1 >= settings.max_attempts
        rows: list[OptionRow] = []
        for worker in workers:
            if now > worker.rated_at + RATE_LIFETIME_US:
                model.update_rate(worker, now)
            rate = worker.rate * settings.capacity_fraction(worker.entry.started_at, now)
            if worker.slow_start_draw and not self.has_budget(worker, request.cost, rate, now):
                continue
            # An error loses the full value where no retry follows. Else it costs the time until the error,
            # and again for each further error.
            risk = worker.reliability.risk(now)
            extra = risk * full_value if is_last else risk / (1 - risk) * model.error_time.value
            if not uses_plan:  # with a plan, charges are ignored
                extra += self._charge(worker, settings, now) * full_value
            if key_order and request.key not in worker.cached_keys:
                extra += fetch_time * key_order[worker]
            run_time = worker.concurrency / rate
            delay = (expected_jobs(worker, now, rate) + 1) / rate
            if uses_plan:
                # The plan fills all workers equally, so the queueing delay is the same everywhere, and the
                # score counts only the delay that own jobs add.
                rows.append((delay - 1 / rate + extra, queueing_delay + run_time, run_time, worker))
            else:
                rows.append((delay + extra, delay, run_time, worker))
        return rows

    def has_budget(self, worker: Worker, cost: float, rate: float, now: int) -> bool:
        """Whether the slow-start budget of a warming-up worker allows a job of this cost now."""
        settings = self._load_model.settings
        return self._slow_start.allows(worker, cost, rate, settings, self.started_at, now)

    @staticmethod
    def _charge(worker: Worker, settings: Settings, now: int) -> float:
        """Return the charge of crossing zones and of opening a connection, as a fraction of the value."""
        is_remote = worker.entry.zone != settings.zone
        opens = worker.attempts or now >= worker.connection_idle_at + settings.keepalive_timeout
        return is_remote * settings.cross_zone_charge + (settings.handshake_charge if opens else 0.0)
