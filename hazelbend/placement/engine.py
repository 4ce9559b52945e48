"""The placement engine of a router: keeps its view of the workers up to date and selects workers from it.

The view has three sources: worker records and load reports from the control processes, outcomes reported by
peer routers, and the router's own attempts from start to end.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from hazelbend.control.configuration import Service
from hazelbend.control.load_table import CachedPrefix, Load, Outcomes
from hazelbend.control.workers import WorkerRecord, WorkerState, differs
from hazelbend.placement.choices import Attempt, Choice
from hazelbend.placement.ended_workers import EndedWorkers
from hazelbend.placement.estimates import QueueEstimate, WorkerEstimate
from hazelbend.placement.fleet_view import FleetView
from hazelbend.placement.policy import DEFAULT_POLICY, PREFILL_UNIT_TOKENS, Policy
from hazelbend.placement.prompt import PrefixSegment, Prompt
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.selector import WorkerSelector
from hazelbend.placement.statistics import Statistics
from hazelbend.placement.worker_replicas import Liveness

# Bounds of one sample of a worker's slowness: more extreme prefill times are mostly chance.
MIN_SLOWNESS_SAMPLE = 0.3
MAX_SLOWNESS_SAMPLE = 3.0
MAX_FIRST_EVENT_FACTOR = 10  # upper bound of a sample of the time to a first event, over the initial guess


class PlacementEngine:
    """Placement of the requests of one router. Times in microseconds.

    Attributes:
        selector: chooses workers.
        statistics: counters of the router's own decisions.
        newly_cached: prefix segments that own attempts have put into a worker's cache, or used there, and
            that are not reported to peers yet. The caller reports and removes them.
        on_suspicion_changed: called with a worker's record when it becomes suspect (True) or recovers.
        on_load_changed: called when the work of own attempts has changed.
    """

    def __init__(self, zone: str, seed: int, policy: Policy = DEFAULT_POLICY) -> None:
        """Start without workers, for a router of `zone`; `seed` initializes the tie-breaking."""
        self._zone = zone
        self._policy = policy
        self._fleet = FleetView(policy)
        self._unreported_outcomes: dict[str, Counter[AttemptOutcome]] = {}  # by instance
        self._ended = EndedWorkers()
        self.selector = WorkerSelector(self._fleet, zone, policy, random.Random(seed))
        self.statistics = Statistics()
        self.newly_cached: list[CachedPrefix] = []
        self.on_suspicion_changed: Callable[[WorkerRecord, bool], None] = lambda record, suspect: None
        self.on_load_changed: Callable[[], None] = lambda: None

    @property
    def workers(self) -> dict[str, WorkerEstimate]:
        """All known workers, by instance."""
        return self._fleet.workers

    @workers.setter
    def workers(self, workers: dict[str, WorkerEstimate]) -> None:
        self._fleet.workers = workers

    @property
    def services(self) -> dict[str, Service]:
        """The configured services, by name."""
        return self._fleet.services

    @services.setter
    def services(self, services: dict[str, Service]) -> None:
        self._fleet.services = services

    def set_phase_changing(self, instances: set[str]) -> None:
        """Set the instances that are changing their phase and therefore get no requests."""
        self._fleet.changing_phase = instances

    def has_phases(self, service: str) -> bool:
        """Whether the service has separate workers for prefill and decode."""
        return self._fleet.has_phases(service)

    # --- updates from control processes ---

    def merge(self, record: WorkerRecord) -> None:
        """Apply a worker record, unless it is older than the known one or the worker has ended."""
        known = self.workers.get(record.instance)
        if record.state is WorkerState.GONE:
            self._ended.add(record.instance)
        if known is None:
            if record.instance not in self._ended:
                self.workers[record.instance] = self._new_estimate(record)
        elif record.rank > known.record.rank:
            self._replace_record(known, record)

    def reconcile(self, record: WorkerRecord) -> None:
        """Apply the newest record that control processes have of a worker, also if an older one differs.

        A record of a process that was out of touch may have come before. A worker that drains stays so.
        """
        known = self.workers.get(record.instance)
        if known is not None and known.record == record:
            return
        if known is not None and record.state is known.record.state and differs(known.record, record):
            self._replace_record(known, record)
        else:
            self.merge(record)

    def _replace_record(self, known: WorkerEstimate, record: WorkerRecord) -> None:
        if record.phase != known.record.phase:  # the rates of the old phase are no longer valid
            fresh = self._new_estimate(record)
            known.prefill.rate = fresh.prefill.rate
            known.requests.rate = fresh.requests.rate
        known.record = record
        known.expired = False

    def _new_estimate(self, record: WorkerRecord) -> WorkerEstimate:
        """Create an estimate that starts from the mean rates of the workers of the same kind."""
        prefill_rate = 1 / self._fleet.prefill_model(record).unit_time
        request_rates = [
            worker.requests.rate
            for worker in self.workers.values()
            if worker.record.service == record.service and worker.record.phase == record.phase
        ]
        request_rate = record.capacity / self._policy.initial_run_time_us
        if request_rates:
            request_rate = sum(request_rates) / len(request_rates)
        return WorkerEstimate(
            record,
            prefill=QueueEstimate(prefill_rate, concurrency=1.0),
            requests=QueueEstimate(request_rate, concurrency=float(record.capacity)),
        )

    def update_liveness(self, liveness_of: Callable[[str], Liveness]) -> list[str]:
        """Update which workers miss heartbeats; returns the instances of the workers that were dropped.

        `liveness_of` gives what the control processes report of an instance. A worker that has expired or
        ended is dropped once no own attempt is in flight there, unless it is reported as alive until then.
        """
        dropped = []
        for instance, worker in list(self.workers.items()):
            liveness = liveness_of(instance)
            if liveness is not Liveness.UNKNOWN:
                worker.misses_heartbeats = liveness is not Liveness.ALIVE
                worker.expired = liveness is Liveness.EXPIRED
            has_left = worker.expired or worker.record.state is WorkerState.GONE
            if has_left and not worker.has_attempts:
                del self.workers[instance]
                self.statistics.forget(instance)
                dropped.append(instance)
        return dropped

    def apply_load_report(self, loads: dict[str, Load], cached: tuple[CachedPrefix, ...], now: int) -> None:
        """Apply the unfinished work of all peers by instance, and the prefix segments they have prefilled."""
        no_load = Load()
        for instance, worker in self.workers.items():
            load = loads.get(instance, no_load)
            worker.prefill.apply_report(round(load.tokens / PREFILL_UNIT_TOKENS), now)
            worker.requests.apply_report(load.jobs, now)
        self._fleet.update_prefill_utilization()
        for entry in cached:
            known = self.workers.get(entry.instance)
            if known is not None:
                segment = PrefixSegment(entry.prefix_id, entry.tokens)
                known.prefix_cache.add([segment], self._fleet.prefix_cache_capacity(known))

    # --- exchange with peer routers ---

    def apply_peer_outcomes(self, outcomes: tuple[Outcomes, ...], now: int) -> None:
        """Apply the outcomes of other routers' attempts."""
        for report in outcomes:
            worker = self.workers.get(report.instance)
            if worker is None:
                continue
            counts = {
                AttemptOutcome.FAILED: report.failed,
                AttemptOutcome.REJECTED: report.rejected,
                AttemptOutcome.SERVED: report.served,
            }
            in_own_zone = report.zone == self._zone
            for outcome, count in counts.items():
                for _ in range(min(count, self._policy.max_peer_outcomes)):
                    self._update_reliability(worker, outcome, now, in_own_zone=in_own_zone)

    def take_outcomes(self) -> tuple[Outcomes, ...]:
        """Return the outcomes of own attempts that are to be reported to peers, and clear them."""
        unreported = self._unreported_outcomes
        self._unreported_outcomes = {}
        return tuple(
            Outcomes(
                instance,
                self._zone,
                counts[AttemptOutcome.SERVED],
                counts[AttemptOutcome.FAILED],
                counts[AttemptOutcome.REJECTED],
            )
            for instance, counts in unreported.items()
        )

    def own_loads(self, now: int) -> dict[str, Load]:
        """Return the unfinished work of own attempts, by instance."""
        return {
            instance: Load(
                worker.requests.own_jobs,
                round(self._fleet.own_prefill_backlog(worker, now) * PREFILL_UNIT_TOKENS),
            )
            for instance, worker in self.workers.items()
            if worker.has_attempts
        }

    # --- own attempts ---

    def begin_attempt(self, choice: Choice, prompt: Prompt, now: int, *, takes_slot: bool) -> Attempt:
        """Count an attempt that is about to be sent to the chosen worker.

        Args:
            choice: the worker, and what it has to prefill.
            prompt: the whole prompt.
            now: the time.
            takes_slot: True for a request that runs at the worker, False for a prefill alone.
        """
        worker = choice.worker
        attempt = Attempt(
            worker,
            prefill_units=choice.prefill_tokens / PREFILL_UNIT_TOKENS,
            takes_slot=takes_slot,
            sent_at=now,
            queued_units=self._fleet.prefill_backlog(worker, now),
            prompt_units=prompt.tokens / PREFILL_UNIT_TOKENS,
            unconfirmed_units=_unconfirmed_tokens(choice, prompt) / PREFILL_UNIT_TOKENS,
            unit_time=1 / worker.prefill.rate,
            policy=self._policy,
            expected_delay=max(choice.expected_delay, 0.0),
        )
        if attempt.prefill_units:
            self._begin_prefill(attempt, choice, prompt)
        if takes_slot:
            worker.requests.add(1.0)
        allowance = round(self._policy.answer_overdue_factor * max(choice.cost, 0.0))
        worker.answer_deadlines[attempt] = now + self._policy.answer_overdue_us + allowance
        self.on_load_changed()
        return attempt

    def _begin_prefill(self, attempt: Attempt, choice: Choice, prompt: Prompt) -> None:
        worker = attempt.worker
        instance = worker.record.instance
        self._fleet.prefills.setdefault(instance, {})[attempt] = None
        worker.prefill.add(attempt.prefill_units)
        self._use_prefix_cache(worker, prompt, report_all=self._policy.reports_every_prefill)
        counts = self.statistics.for_worker(instance)
        counts.prefilled_tokens += choice.prefill_tokens
        counts.cached_tokens += prompt.tokens - choice.prefill_tokens

    def end_prefill(self, attempt: Attempt) -> None:
        """Record that the prefill has finished or was abandoned. Repeated calls do nothing."""
        if not attempt.prefill_units:
            return
        instance = attempt.worker.record.instance
        prefills = self._fleet.prefills[instance]
        del prefills[attempt]
        if not prefills:
            del self._fleet.prefills[instance]
        attempt.worker.prefill.remove(attempt.prefill_units)
        attempt.prefill_units = 0.0
        self.on_load_changed()

    def record_answer(self, attempt: Attempt, now: int) -> None:
        """Record that the worker has answered, with any status."""
        attempt.worker.answer_deadlines.pop(attempt, None)
        attempt.worker.record_answer(now)

    def record_outcome(self, attempt: Attempt, outcome: AttemptOutcome, now: int) -> None:
        """Update the worker's reliability by the outcome of an attempt.

        A rejection counts only if the worker is estimated to have free capacity. Successes are reported to
        peers only for suspect workers, since those of other workers are no new information.
        """
        worker = attempt.worker
        if outcome is AttemptOutcome.REJECTED and worker.requests.expected(now) >= worker.record.capacity:
            return
        instance = worker.record.instance
        self.statistics.for_worker(instance).outcomes[outcome] += 1
        self._update_reliability(worker, outcome, now, in_own_zone=True)
        if outcome is not AttemptOutcome.SERVED or worker.reliability.is_suspect(now):
            self._unreported_outcomes.setdefault(instance, Counter())[outcome] += 1

    def _update_reliability(
        self, worker: WorkerEstimate, outcome: AttemptOutcome, now: int, *, in_own_zone: bool
    ) -> None:
        worker.reliability.record(outcome, now, in_own_zone=in_own_zone)
        suspect = worker.reliability.is_suspect(now)
        if suspect != worker.was_suspect:
            worker.was_suspect = suspect
            self.on_suspicion_changed(worker.record, suspect)

    def end_attempt(self, attempt: Attempt) -> None:
        """Remove the attempt from all counts."""
        attempt.worker.answer_deadlines.pop(attempt, None)
        self.end_prefill(attempt)
        if attempt.takes_slot:
            attempt.worker.requests.remove(1.0)
            self.on_load_changed()

    # --- measured times of own attempts ---

    def observe_prefill(self, attempt: Attempt, now: int) -> None:
        """Update the prefill model, or the cache hit rate, by the time of a prefill that has just ended."""
        elapsed = now - attempt.sent_at
        counts = self.statistics.for_worker(attempt.worker.record.instance)
        counts.prefill_ratios.add(elapsed, attempt.expected_delay)
        if attempt.queued_units > self._policy.max_queued_fraction * (attempt.prefill_units + 1):
            return  # the time depends too much on the backlog, which is itself an estimate
        if attempt.unconfirmed_units:
            self._learn_hit_rate(attempt, elapsed)
        else:
            self._learn_prefill_time(attempt, elapsed)

    def _learn_hit_rate(self, attempt: Attempt, elapsed: int) -> None:
        """Infer from the time of a prefill whether its worker had the unreported prefix cached."""
        policy = self._policy
        if attempt.unconfirmed_units * PREFILL_UNIT_TOKENS < policy.min_shared_tokens:
            return
        model = self._fleet.prefill_model(attempt.worker.record)
        # The threshold is halfway between the times with and without the cached prefix.
        units = attempt.queued_units + attempt.prompt_units - attempt.unconfirmed_units / 2
        was_hit = elapsed < model.expected_time(units)
        hit_rate = self._fleet.hit_rate(attempt.worker.record.service)
        hit_rate.add(float(was_hit), policy.hit_rate_memory_samples)

    def _learn_prefill_time(self, attempt: Attempt, elapsed: int) -> None:
        worker = attempt.worker
        model = self._fleet.prefill_model(worker.record)
        units = attempt.queued_units + attempt.prefill_units
        slowness = elapsed / model.expected_time(units)
        slowness = min(max(slowness, MIN_SLOWNESS_SAMPLE), MAX_SLOWNESS_SAMPLE)
        worker.slowness.add(slowness, self._policy.slowness_memory_samples)
        model.add_sample(units, elapsed)

    def observe_first_event(self, attempt: Attempt, now: int) -> None:
        """Update the time to the first event of prompts that were prefilled elsewhere."""
        elapsed = now - attempt.sent_at
        record = attempt.worker.record
        counts = self.statistics.for_worker(record.instance)
        counts.first_event_ratios.add(elapsed, attempt.expected_delay)
        longest = MAX_FIRST_EVENT_FACTOR * self._policy.initial_first_event_us
        mean = self._fleet.first_event_time(record.service)
        mean.add(min(elapsed, longest), self._policy.first_event_memory_samples)

    def observe_service_time(self, attempt: Attempt, now: int) -> None:
        """Update the worker's rate by the time of a request that was served."""
        requests = attempt.worker.requests
        requests.add_rate_sample(requests.concurrency / max(now - attempt.sent_at, 1))

    def record_kv_transfer(self, attempt: Attempt, prompt: Prompt) -> None:
        """Record that the decode worker has received the prompt's KV cache, and so has the prefix cached."""
        self._use_prefix_cache(attempt.worker, prompt, report_all=False)

    def _use_prefix_cache(self, worker: WorkerEstimate, prompt: Prompt, *, report_all: bool) -> None:
        """Mark the shared prefix as used at a worker, and queue its segments for the report to peers.

        With `report_all` every use is reported, so that peers know which segments the worker will evict
        first; without it, only segments that are new there.
        """
        shared = prompt.shared_prefix
        new = worker.prefix_cache.add(shared, self._fleet.prefix_cache_capacity(worker))
        instance = worker.record.instance
        for segment in shared if report_all else new:
            self.newly_cached.append(CachedPrefix(instance, segment.id, segment.tokens))


def _unconfirmed_tokens(choice: Choice, prompt: Prompt) -> int:
    """Return the shared tokens that the choice assumes to be cached though no router has reported them."""
    expects_hit = choice.prefill_tokens < prompt.tokens
    if expects_hit and not choice.worker.prefix_cache.cached_tokens(prompt.shared_prefix):
        return prompt.shared_prefix_tokens
    return 0
