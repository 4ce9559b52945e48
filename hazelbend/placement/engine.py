"""A router's placement: what comes in of workers and of own sends, and the choices that are made of it."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from hazelbend.control.load_table import CachedPart, Load, Outcomes
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.placement.choices import Attempt, Choice
from hazelbend.placement.estimates import Estimate, WorkerEstimate
from hazelbend.placement.fleet_view import FleetView
from hazelbend.placement.policy import STANDARD, UNIT, Policy
from hazelbend.placement.prompt import PrefixSegment, Prompt
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.placement.routes import Service
from hazelbend.placement.selector import WorkerSelector
from hazelbend.placement.statistics import Statistics


class PlacementEngine:
    """The workers of all services, as this router sees them. Times in microseconds."""

    def __init__(self, zone: str, seed: int, policy: Policy = STANDARD) -> None:
        self._zone, self._policy = zone, policy
        self._known = FleetView(policy)
        self.selector = WorkerSelector(self._known, zone, policy, random.Random(seed))
        self.newly_cached: list[CachedPart] = []  # or used anew, not told to other routers yet
        self._outcomes: dict[str, Counter[AttemptOutcome]] = {}  # by instance, not told to other routers yet
        self.statistics = Statistics()
        self.on_suspicion_changed: Callable[[WorkerRecord, bool], None] = lambda record, suspect: None
        self.on_load_changed: Callable[[], None] = lambda: None  # own work has changed

    @property
    def workers(self) -> dict[str, WorkerEstimate]:
        """All that are known, by instance."""
        return self._known.workers

    @workers.setter
    def workers(self, workers: dict[str, WorkerEstimate]) -> None:
        self._known.workers = workers

    @property
    def services(self) -> dict[str, Service]:
        """As configured, by name."""
        return self._known.services

    @services.setter
    def services(self, services: dict[str, Service]) -> None:
        self._known.services = services

    def set_switching(self, instances: set[str]) -> None:
        """Instances that are changing their part."""
        self._known.switching = instances

    def has_phases(self, service: str) -> bool:
        """See `FleetView`."""
        return self._known.has_phases(service)

    # --- what is known of workers ---

    def merge(self, record: WorkerRecord) -> None:
        """Take a record from the control plane; older ones change nothing."""
        known = self.workers.get(record.instance)
        if known is None:
            if record.state is not WorkerState.GONE:
                self.workers[record.instance] = self._new(record)
        elif record.rank > known.record.rank:
            if record.phase != known.record.phase:  # another part: its counts and rates are another's
                fresh = self._new(record)
                known.prefill.rate, known.requests.rate = fresh.prefill.rate, fresh.requests.rate
            known.record, known.expired = record, False

    def _new(self, record: WorkerRecord) -> WorkerEstimate:
        alike = [
            each
            for each in self.workers.values()
            if (each.record.service, each.record.phase) == (record.service, record.phase)
        ]
        read = 1 / self._known.model(record).pace
        run = _mean([each.requests.rate for each in alike], record.capacity / self._policy.first_run)
        return WorkerEstimate(record, Estimate(read, 1.0), Estimate(run, float(record.capacity)))

    def update_silence(self, silent: dict[str, int], expiry: float) -> None:
        """How long ago each worker was heard that is silent; one that is so for `expiry` microseconds is
        dropped."""
        for instance, each in list(self.workers.items()):
            age = silent.get(instance)
            if age is not None:
                each.silent, each.expired = True, age > expiry
            elif not each.expired:  # control processes forget those that have expired
                each.silent = False
            over = each.expired or each.record.state is WorkerState.GONE
            if over and not each.busy:
                del self.workers[instance]
                self.statistics.forget(instance)

    def apply_load_report(self, loads: dict[str, Load], cached: tuple[CachedPart, ...], now: int) -> None:
        """What all other routers have under way, and what they had read."""
        nothing = Load()
        for instance, each in self.workers.items():
            load = loads.get(instance, nothing)
            each.prefill.apply_report(round(load.tokens / UNIT), now)
            each.requests.apply_report(load.jobs, now)
        self._known.see_readers()
        for part in cached:
            worker = self.workers.get(part.instance)
            if worker is not None:
                worker.remember([PrefixSegment(part.part, part.tokens)], self._known.memory(worker))

    def apply_peer_outcomes(self, outcomes: tuple[Outcomes, ...], now: int) -> None:
        """How sends of other routers have ended."""
        for each in outcomes:
            worker = self.workers.get(each.instance)
            if worker is None:
                continue
            counts = {
                AttemptOutcome.FAILED: each.failed,
                AttemptOutcome.REJECTED: each.rejected,
                AttemptOutcome.SERVED: each.served,
            }
            for end, count in counts.items():
                for _ in range(min(count, self._policy.most_told)):
                    self._see(worker, end, each.zone == self._zone, now)

    def _see(self, worker: WorkerEstimate, end: AttemptOutcome, in_own_zone: bool, now: int) -> None:
        worker.reliability.record(end, in_own_zone, now)
        suspect = worker.reliability.is_suspect(now)
        if suspect != worker.was_suspect:
            worker.was_suspect = suspect
            self.on_suspicion_changed(worker.record, suspect)

    def take_outcomes(self) -> tuple[Outcomes, ...]:
        """How own sends have ended since the last call, where others should know."""
        outcomes, self._outcomes = self._outcomes, {}
        return tuple(
            Outcomes(
                instance,
                self._zone,
                counts[AttemptOutcome.SERVED],
                counts[AttemptOutcome.FAILED],
                counts[AttemptOutcome.REJECTED],
            )
            for instance, counts in outcomes.items()
        )

    def own_loads(self, now: int) -> dict[str, Load]:
        """This router's unfinished work by worker."""
        return {
            instance: Load(each.requests.own_jobs, round(self._known.own_unread(each, now) * UNIT))
            for instance, each in self.workers.items()
            if each.busy
        }

    # --- what happens ---

    def begin_attempt(self, choice: Choice, prompt: Prompt, now: int, *, takes_slot: bool) -> Attempt:
        """The request is on its way to the chosen worker."""
        worker, units = choice.worker, choice.prefill_tokens / UNIT
        cached = prompt.tokens - choice.prefill_tokens
        guessed = bool(cached) and not worker.holds(prompt.shared)
        shared = prompt.shared_tokens if guessed else 0
        whole = prompt.tokens / UNIT
        ahead, pace = self._known.unread(worker, now), 1 / worker.prefill.rate
        expected = max(choice.expected_delay, 0.0)
        send = Attempt(
            worker, units, takes_slot, now, ahead, whole, shared / UNIT, pace, self._policy, expected
        )
        if units:
            self._known.reads.setdefault(worker.record.instance, {})[send] = None
            worker.prefill.add(units)
            if self._policy.tells_all_reads:
                self._use_parts(worker, prompt)
            else:
                self._remember(worker, prompt)
            counts = self.statistics.for_worker(worker.record.instance)
            counts.prefilled_tokens += choice.prefill_tokens
            counts.cached_tokens += prompt.tokens - choice.prefill_tokens
        if takes_slot:
            worker.requests.add(1.0)
        worker.unheard[id(send)] = (
            now + self._policy.overdue + round(self._policy.overdue_times * max(choice.cost, 0.0))
        )
        self.on_load_changed()
        return send

    def end_prefill(self, send: Attempt) -> None:
        """Its prompt is read, or never will be."""
        if send.prefill_units:
            reads = self._known.reads[send.worker.record.instance]
            del reads[send]
            if not reads:
                del self._known.reads[send.worker.record.instance]
            send.worker.prefill.remove(send.prefill_units)
            send.prefill_units = 0.0
            self.on_load_changed()

    def record_answer(self, send: Attempt, now: int) -> None:
        """Its worker has answered, whatever it says."""
        send.worker.unheard.pop(id(send), None)
        send.worker.record_answer(now)

    def record_outcome(self, send: Attempt, end: AttemptOutcome, now: int) -> None:
        """Its end tells this of its worker. A worker that is full rejects without fault."""
        worker = send.worker
        if end is AttemptOutcome.REJECTED and worker.requests.expected(now) >= worker.record.capacity:
            return
        self.statistics.for_worker(worker.record.instance).outcomes[end] += 1
        self._see(worker, end, True, now)
        if end is not AttemptOutcome.SERVED or worker.reliability.is_suspect(now):
            self._outcomes.setdefault(worker.record.instance, Counter())[end] += 1

    def end_attempt(self, send: Attempt) -> None:
        """It has its end."""
        send.worker.unheard.pop(id(send), None)
        self.end_prefill(send)
        if send.takes_slot:
            send.worker.requests.remove(1.0)
            self.on_load_changed()

    def observe_prefill(self, send: Attempt, now: int) -> None:
        """The prompt was read there: a sample of the rate."""
        worker, elapsed = send.worker, now - send.sent_at
        self.statistics.for_worker(worker.record.instance).reads.add(elapsed, send.expected)
        model = self._known.model(worker.record)
        if send.ahead > self._policy.clear * (send.prefill_units + 1):
            return  # what lay before it is an estimate itself
        if send.guessed:
            if send.guessed * UNIT >= self._policy.least_shared:
                present = elapsed < model.expected(send.ahead + send.whole - send.guessed / 2)
                self._known.presence(worker.record.service).add(float(present), self._policy.present_memory)
            return
        read = send.ahead + send.prefill_units
        worker.slowness.add(min(max(elapsed / model.expected(read), 0.3), 3.0), self._policy.slowness_memory)
        model.sample(read, elapsed)

    def observe_first_event(self, send: Attempt, now: int) -> None:
        """Its first event has come, of a prompt that was read elsewhere."""
        self.statistics.for_worker(send.worker.record.instance).first_events.add(
            now - send.sent_at, send.expected
        )
        mean = self._known.first_token(send.worker.record.service)
        mean.add(min(now - send.sent_at, 10 * self._policy.first_token), self._policy.first_token_memory)

    def record_kv_transfer(self, send: Attempt, prompt: Prompt) -> None:
        """The worker that makes the tokens keeps the prompt's parts as well."""
        self._remember(send.worker, prompt)

    def observe_service_time(self, send: Attempt, now: int) -> None:
        """The request was served there."""
        worker = send.worker
        worker.requests.sample(worker.requests.most / max(now - send.sent_at, 1))

    def _use_parts(self, worker: WorkerEstimate, prompt: Prompt) -> None:
        """It reads the parts or has them. All routers hear of it, so that they know which ones it has not
        used for longest, and will drop first."""
        worker.remember(prompt.shared, self._known.memory(worker))
        instance = worker.record.instance
        self.newly_cached += [CachedPart(instance, part.id, part.tokens) for part in prompt.shared]

    def _remember(self, worker: WorkerEstimate, prompt: Prompt) -> None:
        instance = worker.record.instance
        for part in worker.remember(prompt.shared, self._known.memory(worker)):
            self.newly_cached.append(CachedPart(instance, part.id, part.tokens))


def _mean(values: list[float], otherwise: float) -> float:
    return sum(values) / len(values) if values else otherwise
