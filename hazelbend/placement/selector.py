"""Selects the workers for a request: the least expected delay, plus prices for the costs to other requests.

The rule is Shortest Expected Delay (SED_e of Hyytia and Righter, on delayed information), applied to both
phases of a request. The expected time to the first event is the delay of the prefill, (E[N] + size) / mu at
the prefill worker, where the size is the part of the prompt that is not cached there, plus the transfer of
the KV cache, plus the delay at the decode worker. A decode worker can prefill too, more slowly, which saves
the transfer. Costs other than delay are converted to delay and added.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

from hazelbend.control.workers import WorkerRecord
from hazelbend.decisions.rendezvous import key_rank
from hazelbend.placement.choices import Choice, Stage, WorkerPair
from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.fleet_view import FleetView
from hazelbend.placement.policy import PREFILL_UNIT_TOKENS, Policy
from hazelbend.placement.prompt import PrefixSegment, Prompt
from hazelbend.placement.reliability import NO_FAILURE_COSTS, FailureCosts


@dataclass(slots=True, frozen=True)
class _PrefillContext:
    """The inputs to the cost of one request's prefill that are the same for all workers."""

    prompt: Prompt
    shared_prefix: tuple[PrefixSegment, ...]
    best_cached_tokens: int  # size of the longest prefix that any worker has cached
    recompute_price: float  # microseconds per token that another worker has cached
    now: int


class WorkerSelector:
    """Selects workers from a `FleetView`, without changing it. Times in microseconds."""

    def __init__(self, fleet: FleetView, zone: str, policy: Policy, rng: random.Random) -> None:
        """Select for a router of `zone`; `rng` breaks ties."""
        self._fleet = fleet
        self._zone = zone
        self._policy = policy
        self._random = rng

    def choose(
        self, service: str, now: int, tried: set[str], failure_costs: FailureCosts = NO_FAILURE_COSTS
    ) -> Choice | None:
        """Choose the worker for a request of a service without phases; None if there is no candidate."""
        choices = []
        for worker in self._fleet.candidates(service, Stage.ANY, now, tried):
            expected = worker.requests.delay(1.0, now)
            cost = expected + self._penalty(worker, now) + self._failure_cost(worker, failure_costs, now)
            choices.append(Choice(worker, 0, cost, expected))
        return self._cheapest(choices)

    def choose_pair(
        self,
        service: str,
        prompt: Prompt,
        now: int,
        tried: set[str],
        failure_costs: FailureCosts = NO_FAILURE_COSTS,
    ) -> WorkerPair | None:
        """Choose the workers for prefill and decode; None if no worker can decode."""
        context = self._context(service, prompt, now)
        pairs = list(self._pairs(service, context, tried, failure_costs))
        return min(pairs, key=lambda pair: (pair.cost, self._random.random()), default=None)

    def choose_decode_worker(
        self,
        service: str,
        prompt: Prompt,
        source: WorkerRecord | None,
        now: int,
        tried: set[str],
        failure_costs: FailureCosts = NO_FAILURE_COSTS,
    ) -> Choice | None:
        """Choose the worker that decodes; None if there is no candidate.

        Args:
            source: the worker that has prefilled the prompt; None if the decode worker has to prefill it.
        """
        workers = self._fleet.candidates(service, Stage.DECODE, now, tried)
        workers = workers or self._fleet.candidates(service, Stage.ANY, now, tried)
        if source is not None:
            best_by_zone = self._best_decode_by_zone(workers, now, failure_costs)
            return self._best_decode_after(source, prompt, best_by_zone)
        context = self._context(service, prompt, now)
        return self._cheapest([self._combined_choice(worker, context, failure_costs) for worker in workers])

    def _cheapest(self, choices: list[Choice]) -> Choice | None:
        return min(choices, key=lambda choice: (choice.cost, self._random.random()), default=None)

    def _context(self, service: str, prompt: Prompt, now: int) -> _PrefillContext:
        return _PrefillContext(
            prompt=prompt,
            shared_prefix=prompt.shared_prefix,
            best_cached_tokens=self._fleet.best_cached_tokens(service, prompt),
            recompute_price=self._fleet.recompute_price(service),
            now=now,
        )

    # --- pairs ---

    def _pairs(
        self, service: str, context: _PrefillContext, tried: set[str], failure_costs: FailureCosts
    ) -> Iterator[WorkerPair]:
        """Yield each decode worker alone, and each prefill worker with the best decode worker for it."""
        now = context.now
        decode_workers = self._fleet.candidates(service, Stage.DECODE, now, tried)
        for worker in decode_workers:
            combined = self._combined_choice(worker, context, failure_costs)
            yield WorkerPair(None, combined, combined.cost)
        best_by_zone = self._best_decode_by_zone(decode_workers, now, failure_costs)
        # A failed prefill may always be repeated at another worker.
        retry_cost = failure_costs.retryable_failure
        prefill_costs = FailureCosts(retry_cost, failure_costs.rejection, retry_cost)
        prefill_workers = self._fleet.candidates(service, Stage.PREFILL, now, tried)
        preferred = _preferred_worker(prefill_workers, context.prompt.prefix_key)
        for worker in prefill_workers:
            prefill = self._prefill_choice(worker, context, prefill_costs, is_preferred=worker is preferred)
            decode = self._best_decode_after(worker.record, context.prompt, best_by_zone)
            if decode is not None:
                yield WorkerPair(prefill, decode, self._pair_cost(prefill, decode, now))

    def _pair_cost(self, prefill: Choice, decode: Choice, now: int) -> float:
        """Return the sum of the costs of a pair, with the penalty for two unresponsive workers counted once.

        Right after the loss of all control processes every worker is unresponsive. If the penalty were
        counted twice, all prompts would go to the decode workers alone.
        """
        cost = prefill.cost + decode.cost
        if self._is_unresponsive(prefill.worker, now) and self._is_unresponsive(decode.worker, now):
            cost -= self._policy.unresponsive_penalty_us
        return cost

    def _prefill_choice(
        self,
        worker: WorkerEstimate,
        context: _PrefillContext,
        failure_costs: FailureCosts,
        *,
        is_preferred: bool,
    ) -> Choice:
        """Return the choice of a worker that prefills the prompt for another one."""
        prompt, now = context.prompt, context.now
        cached = worker.prefix_cache.cached_tokens(context.shared_prefix)
        bonus = 0.0
        if is_preferred:
            bonus = self._policy.preferred_worker_bonus_us
            if not context.best_cached_tokens:
                cached = self._expected_hit_tokens(worker.record.service, prompt)
        tokens = max(prompt.tokens - cached, 0)
        expected = self._fleet.prefill_delay(worker, tokens, now)
        risk = self._failure_cost(worker, failure_costs, now)
        cost = expected + self._penalty(worker, now) - bonus + risk
        recomputed = max(context.best_cached_tokens - cached, 0)
        return Choice(worker, tokens, cost + context.recompute_price * recomputed, expected)

    def _expected_hit_tokens(self, service: str, prompt: Prompt) -> int:
        """Estimate the tokens cached at the preferred worker, where no router has reported the prefix."""
        hit_rate = self._fleet.hit_rate(service).with_prior(
            self._policy.initial_hit_rate, self._policy.hit_rate_prior_samples
        )
        return round(hit_rate * prompt.shared_prefix_tokens)

    def _best_decode_by_zone(
        self, workers: list[WorkerEstimate], now: int, failure_costs: FailureCosts
    ) -> dict[str, Choice]:
        """Find the best decode worker of each zone for a prompt that was prefilled elsewhere.

        The cost of the transfer is not included, as it depends only on the two zones.
        """
        best: dict[str, Choice] = {}
        self._random.shuffle(workers)  # breaks ties
        policy = self._policy
        for worker in workers:
            first_event = self._fleet.first_event_time(worker.record.service)
            overhead = first_event.with_prior(policy.initial_first_event_us, policy.first_event_prior_samples)
            expected = overhead + worker.requests.delay(1.0, now)
            cost = expected + self._penalty(worker, now) + self._failure_cost(worker, failure_costs, now)
            known = best.get(worker.record.zone)
            if known is None or cost < known.cost:
                best[worker.record.zone] = Choice(worker, 0, cost, expected)
        return best

    def _best_decode_after(
        self, source: WorkerRecord, prompt: Prompt, best_by_zone: dict[str, Choice]
    ) -> Choice | None:
        """Choose the decode worker for a prompt that `source` has prefilled."""
        choices = [
            Choice(
                choice.worker,
                0,
                choice.cost + self._transfer_cost(choice.worker, prompt, source),
                choice.expected_delay,
            )
            for choice in best_by_zone.values()
        ]
        return min(choices, key=lambda choice: choice.cost, default=None)

    def _combined_choice(
        self, worker: WorkerEstimate, context: _PrefillContext, failure_costs: FailureCosts
    ) -> Choice:
        """Return the choice of a worker that prefills the prompt and decodes."""
        prompt, now, policy = context.prompt, context.now, self._policy
        decode_delay = worker.requests.delay(1.0, now)
        cached = worker.prefix_cache.cached_tokens(context.shared_prefix)
        tokens = max(prompt.tokens - cached, 0)
        units = tokens / PREFILL_UNIT_TOKENS
        prefill_delay = self._fleet.prefill_delay(worker, tokens, now)
        interference = policy.prefill_interference * units / worker.prefill.rate
        excess = max(self._fleet.prefill_backlog(worker, now) + units - policy.long_prefill_units, 0.0)
        recomputed = max(context.best_cached_tokens - cached, 0)
        price = interference + policy.long_prefill_price_us * excess + context.recompute_price * recomputed
        risk = self._failure_cost(worker, failure_costs, now)
        cost = decode_delay + prefill_delay + self._penalty(worker, now) + price + risk
        return Choice(worker, tokens, cost, decode_delay + prefill_delay)

    # --- costs ---

    def _transfer_cost(self, worker: WorkerEstimate, prompt: Prompt, source: WorkerRecord) -> float:
        """Return the time plus the price of transferring the prompt's KV cache."""
        engine = self._fleet.model_engine(worker.record.service)
        if engine is None or not engine.bandwidth_mbps:
            return 0.0
        size = prompt.tokens * engine.kv_token_bytes
        factor = 1.0 if source.zone == worker.record.zone else self._policy.cross_zone_transfer_factor
        return factor * (size * 8 / engine.bandwidth_mbps + self._policy.transfer_price_us * size / 1e6)

    def _penalty(self, worker: WorkerEstimate, now: int) -> float:
        """Return the cost of a worker's zone, and of its missing heartbeats or answers."""
        distance = self._policy.cross_zone_us if worker.record.zone != self._zone else 0.0
        return distance + (
            self._policy.unresponsive_penalty_us if self._is_unresponsive(worker, now) else 0.0
        )

    @staticmethod
    def _is_unresponsive(worker: WorkerEstimate, now: int) -> bool:
        return worker.misses_heartbeats or worker.is_answer_overdue(now)

    def _failure_cost(self, worker: WorkerEstimate, failure_costs: FailureCosts, now: int) -> float:
        if worker.reliability.has_clean_record:
            return 0.0
        return self._policy.risk_weight * worker.reliability.expected_cost(failure_costs, now)


def _preferred_worker(workers: list[WorkerEstimate], prefix_key: str) -> WorkerEstimate | None:
    """Return the worker that all routers prefer for an unknown prefix, by rendezvous hashing."""
    if not prefix_key:
        return None
    key = _hash(prefix_key)
    return min(workers, key=lambda worker: key_rank(_hash(worker.record.instance), key), default=None)


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
