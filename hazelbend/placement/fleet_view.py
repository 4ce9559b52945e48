"""A router's view of the workers of all services: estimates for each worker, and means for each service."""

from __future__ import annotations

from hazelbend.control.configuration import ModelEngine, Service
from hazelbend.control.workers import WorkerRecord
from hazelbend.decisions.statistics import Mean
from hazelbend.placement.choices import Attempt, Stage
from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.policy import PREFILL_UNIT_TOKENS, Policy
from hazelbend.placement.prefill_model import PrefillTimeModel
from hazelbend.placement.prompt import Prompt


class FleetView:
    """The view that `PlacementEngine` updates and `WorkerSelector` reads. Times in microseconds."""

    def __init__(self, policy: Policy) -> None:
        """Start without workers and services."""
        self._policy = policy
        self._prefill_models: dict[tuple[str, str], PrefillTimeModel] = {}  # by service and phase
        self._first_event_times: dict[str, Mean] = {}  # by service
        self._hit_rates: dict[str, Mean] = {}  # by service
        self._prefill_utilization: dict[str, Mean] = {}  # by service
        self.prefills: dict[str, dict[Attempt, None]] = {}  # own prefills in flight, by instance
        self.workers: dict[str, WorkerEstimate] = {}  # by instance
        self.services: dict[str, Service] = {}  # by name
        self.changing_phase: set[str] = set()  # instances that are changing their phase

    # --- workers and services ---

    def candidates(self, service: str, stage: Stage, now: int, tried: set[str]) -> list[WorkerEstimate]:
        """Return the workers that a request may be sent to.

        Workers in backoff after a failure to connect are returned only if there are no others.
        """
        phase = stage.value
        ready = [
            worker
            for instance, worker in self.workers.items()
            if worker.record.service == service
            and worker.accepts_work
            and instance not in tried
            and instance not in self.changing_phase
            and (not phase or worker.record.phase == phase)
        ]
        return [worker for worker in ready if now >= worker.backoff_until] or ready

    def has_phases(self, service: str) -> bool:
        """Whether the service has separate workers for prefill and decode."""
        return any(
            worker.record.service == service and worker.accepts_work and worker.record.phase
            for worker in self.workers.values()
        )

    def model_engine(self, service: str) -> ModelEngine | None:
        """Return the configured model engine of a service, or None."""
        service_settings = self.services.get(service)
        return service_settings.engine if service_settings is not None else None

    # --- prefill: times and backlog ---

    def prefill_model(self, record: WorkerRecord) -> PrefillTimeModel:
        """Return the model of prefill times of workers of this kind."""
        return self._phase_model(record.service, record.phase)

    def _phase_model(self, service: str, phase: str) -> PrefillTimeModel:
        key = (service, phase)
        if key not in self._prefill_models:
            slowdown = 1.0 if phase == Stage.PREFILL.value else self._policy.decode_worker_slowdown
            self._prefill_models[key] = PrefillTimeModel(
                self._policy.initial_prefill_overhead_us,
                slowdown * self._policy.initial_prefill_unit_us,
            )
        return self._prefill_models[key]

    def own_prefill_backlog(self, worker: WorkerEstimate, now: int) -> float:
        """Estimate the units of this router's prefills that a worker still has to do."""
        attempts = self.prefills.get(worker.record.instance, ())
        return sum(attempt.remaining_units(now) for attempt in attempts)

    def prefill_backlog(self, worker: WorkerEstimate, now: int) -> float:
        """Estimate E[N] of a worker's prefill queue, in units, including the prefills of all routers."""
        worker.prefill.jobs.own_load = self.own_prefill_backlog(worker, now)
        return worker.prefill.expected(now)

    def prefill_delay(self, worker: WorkerEstimate, tokens: int, now: int) -> float:
        """Estimate the microseconds until a worker has prefilled `tokens` new tokens."""
        model = self.prefill_model(worker.record)
        slowness = worker.slowness.with_prior(1.0, self._policy.slowness_prior_samples)
        worker.prefill.rate = 1 / (model.unit_time * slowness)
        units = self.prefill_backlog(worker, now) + tokens / PREFILL_UNIT_TOKENS
        return model.overhead + units / worker.prefill.rate

    # --- prefix caches ---

    def prefix_cache_capacity(self, worker: WorkerEstimate) -> int:
        """Return the assumed capacity of a worker's cache of shared prefix segments, in tokens."""
        engine = self.model_engine(worker.record.service)
        return round(self._policy.shared_cache_fraction * engine.kv_capacity) if engine is not None else 0

    def best_cached_tokens(self, service: str, prompt: Prompt) -> int:
        """Return the tokens of the longest prefix of the prompt that any worker is assumed to cache."""
        shared = prompt.shared_prefix
        return max(
            (
                worker.prefix_cache.cached_tokens(shared)
                for worker in self.workers.values()
                if worker.record.service == service
            ),
            default=0,
        )

    def hit_rate(self, service: str) -> Mean:
        """Return the cache hit rate of preferred workers for prefixes that no router has reported."""
        return self._hit_rates.setdefault(service, Mean())

    def recompute_price(self, service: str) -> float:
        """Return the cost to other requests of each recomputed token, in microseconds.

        A token is recomputed if it is prefilled although another worker has it cached. As in a queue with one
        server, work of duration w delays later arrivals by w * utilization / (1 - utilization).
        """
        mean = self._prefill_utilization.get(service, Mean())
        utilization = mean.with_prior(
            self._policy.initial_utilization, self._policy.utilization_prior_reports
        )
        factor = self._policy.max_queueing_factor
        if utilization < 1.0:
            factor = min(utilization / (1.0 - utilization), factor)
        return factor * self._phase_model(service, Stage.PREFILL.value).unit_time / PREFILL_UNIT_TOKENS

    def update_prefill_utilization(self) -> None:
        """Update the fraction of each service's prefill workers that are busy, from the last load reports."""
        busy_by_service: dict[str, list[bool]] = {}
        for worker in self.workers.values():
            if worker.record.phase == Stage.PREFILL.value and worker.accepts_work:
                is_busy = worker.prefill.own_jobs > 0 or worker.prefill.jobs.peer_jobs > 0
                busy_by_service.setdefault(worker.record.service, []).append(is_busy)
        for service, busy in busy_by_service.items():
            mean = self._prefill_utilization.setdefault(service, Mean())
            mean.add(sum(busy) / len(busy), self._policy.utilization_memory_reports)

    # --- decode ---

    def first_event_time(self, service: str) -> Mean:
        """Return the mean microseconds to the first event of a prompt that was prefilled elsewhere."""
        return self._first_event_times.setdefault(service, Mean())
