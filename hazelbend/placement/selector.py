"""Which worker reads a prompt, and which makes the tokens: SED over the estimates, over the pair.

For a pair the expected time to the first event is the delay of reading, (E[N] + cost) / mu at the reader, the
cost being the tokens that are not believed to be cached there, then the move of the memory and the delay of
the worker that makes the tokens. A worker that makes tokens may read too, more slowly: a pair of one. The
least wins. What a choice costs beside time is added as the time that it is worth.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from hashlib import blake2b

from hazelbend.control.workers import WorkerRecord
from hazelbend.decisions.formulas import key_rank
from hazelbend.placement.choices import Choice, Stage, WorkerPair
from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.fleet_view import FleetView
from hazelbend.placement.policy import UNIT, Policy
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.reliability import NO_FAILURE_COSTS, FailureCosts


class WorkerSelector:
    """Chooses, and changes nothing of what is known. Times in microseconds."""

    def __init__(self, known: FleetView, zone: str, policy: Policy, chance: random.Random) -> None:
        """`zone`: of this router; `chance`: for choices among equals."""
        self._known, self._zone, self._policy, self._random = known, zone, policy, chance

    def choose(
        self, service: str, now: int, tried: set[str], failure_costs: FailureCosts = NO_FAILURE_COSTS
    ) -> Choice | None:
        """The worker of a service without phases that runs the request soonest."""
        found = []
        for each in self._known.candidates(service, Stage.ANY, now, tried):
            expected = each.requests.delay(1.0, now)
            delay = expected + self._distance(each, now) + self._risk(each, failure_costs, now)
            found.append(Choice(each, 0, delay, expected))
        return min(found, key=lambda each: (each.cost, self._random.random()), default=None)

    def choose_pair(
        self,
        service: str,
        prompt: Prompt,
        now: int,
        tried: set[str],
        failure_costs: FailureCosts = NO_FAILURE_COSTS,
    ) -> WorkerPair | None:
        """The pair that is expected to bring the first event soonest."""
        pairs = list(self._pairs(service, prompt, now, tried, failure_costs))
        return min(pairs, key=lambda each: (each.cost, self._random.random()), default=None)

    def choose_decode_worker(
        self,
        service: str,
        prompt: Prompt,
        source: WorkerRecord | None,
        now: int,
        tried: set[str],
        failure_costs: FailureCosts = NO_FAILURE_COSTS,
    ) -> Choice | None:
        """The worker that makes the tokens: of a prompt that `source` keeps, or that it reads itself."""
        runners = self._known.candidates(service, Stage.DECODE, now, tried)
        runners = runners or self._known.candidates(service, Stage.ANY, now, tried)
        if source is not None:
            by_zone = self._soonest_by_zone(runners, now, failure_costs)
            return self._soonest_after(source, prompt, by_zone)
        kept, again = self._known.kept(service, prompt), self._known.again_price(service)
        found = [self._alone(each, prompt, kept, again, now, failure_costs) for each in runners]
        return min(found, key=lambda each: (each.cost, self._random.random()), default=None)

    def _pairs(
        self, service: str, prompt: Prompt, now: int, tried: set[str], failure_costs: FailureCosts
    ) -> Iterator[WorkerPair]:
        kept = self._known.kept(service, prompt)
        again = self._known.again_price(service)
        runners = self._known.candidates(service, Stage.DECODE, now, tried)
        for each in runners:
            alone = self._alone(each, prompt, kept, again, now, failure_costs)
            yield WorkerPair(None, alone, alone.cost)
        by_zone = self._soonest_by_zone(runners, now, failure_costs)
        # A read that fails is asked elsewhere.
        repeatable = FailureCosts(failure_costs.repeat, failure_costs.rejection, failure_costs.repeat)
        readers = self._known.candidates(service, Stage.PREFILL, now, tried)
        home = _home(readers, prompt.subject)
        for each in readers:
            reader = self._reader(each, prompt, kept, again, home, now, repeatable)
            best = self._soonest_after(each.record, prompt, by_zone)
            if best is not None:
                yield WorkerPair(reader, best, self._together(reader, best, now))

    def _together(self, reader: Choice, runner: Choice, now: int) -> float:
        """Delay of a pair. Two that are suspect are no worse than one: right after a start all of them are,
        and prompts would go to workers that make tokens alone."""
        delay = reader.cost + runner.cost
        if self._is_suspect(reader.worker, now) and self._is_suspect(runner.worker, now):
            delay -= self._policy.silent_penalty
        return delay

    def _reader(
        self,
        worker: WorkerEstimate,
        prompt: Prompt,
        kept: int,
        again: float,
        home: WorkerEstimate | None,
        now: int,
        failure_costs: FailureCosts,
    ) -> Choice:
        cached = worker.holds(prompt.shared)
        bonus = 0.0
        if worker is home:
            bonus = self._policy.home_bonus
            if not kept:
                present = self._known.presence(worker.record.service).beside(
                    self._policy.present_first, self._policy.present_prior
                )
                cached = round(present * prompt.shared_tokens)
        tokens = max(prompt.tokens - cached, 0)
        expected = self._known.read_delay(worker, tokens, now)
        delay = expected + self._distance(worker, now) - bonus + self._risk(worker, failure_costs, now)
        return Choice(worker, tokens, delay + again * max(kept - cached, 0), expected)

    def _soonest_by_zone(
        self, runners: list[WorkerEstimate], now: int, failure_costs: FailureCosts
    ) -> dict[str, Choice]:
        """Of each zone, the worker that makes the first token of a prompt soonest that was read elsewhere,
        the move left out: that depends on the zones alone."""
        found: dict[str, Choice] = {}
        self._random.shuffle(runners)  # among those that are alike, any
        policy = self._policy
        for worker in runners:
            first_token = self._known.first_token(worker.record.service)
            overhead = first_token.beside(policy.first_token, policy.first_token_prior)
            expected = overhead + worker.requests.delay(1.0, now)
            delay = expected + self._distance(worker, now) + self._risk(worker, failure_costs, now)
            known = found.get(worker.record.zone)
            if known is None or delay < known.cost:
                found[worker.record.zone] = Choice(worker, 0, delay, expected)
        return found

    def _soonest_after(
        self, source: WorkerRecord, prompt: Prompt, by_zone: dict[str, Choice]
    ) -> Choice | None:
        """Of these, the one that makes the first token soonest of a prompt that `source` keeps."""
        moved = [
            Choice(each.worker, 0, each.cost + self._move(each.worker, prompt, source), each.expected_delay)
            for each in by_zone.values()
        ]
        return min(moved, key=lambda each: each.cost, default=None)

    def _alone(
        self,
        worker: WorkerEstimate,
        prompt: Prompt,
        kept: int,
        again: float,
        now: int,
        failure_costs: FailureCosts,
    ) -> Choice:
        """A worker that reads the prompt itself and makes its tokens."""
        first_token = worker.requests.delay(1.0, now)
        cached = worker.holds(prompt.shared)
        tokens = max(prompt.tokens - cached, 0)
        units = tokens / UNIT
        read = self._known.read_delay(worker, tokens, now)
        beside = self._policy.read_beside * units / worker.prefill.rate
        excess = max(self._known.unread(worker, now) + units - self._policy.long_read, 0.0)
        price = beside + self._policy.long_read_price * excess + again * max(kept - cached, 0)
        risk = self._risk(worker, failure_costs, now)
        delay = first_token + read + self._distance(worker, now) + price + risk
        return Choice(worker, tokens, delay, first_token + read)

    def _move(self, worker: WorkerEstimate, prompt: Prompt, source: WorkerRecord) -> float:
        engine = self._known.engine(worker.record.service)
        if engine is None or not engine.bandwidth_mbps:
            return 0.0
        size = prompt.tokens * engine.kv_token_bytes
        times = 1.0 if source.zone == worker.record.zone else self._policy.cross_zone_move
        return times * (size * 8 / engine.bandwidth_mbps + self._policy.move_price * size / 1e6)

    def _distance(self, worker: WorkerEstimate, now: int) -> float:
        far = self._policy.cross_zone if worker.record.zone != self._zone else 0.0
        return far + (self._policy.silent_penalty if self._is_suspect(worker, now) else 0.0)

    @staticmethod
    def _is_suspect(worker: WorkerEstimate, now: int) -> bool:
        return worker.silent or worker.is_overdue(now)

    def _risk(self, worker: WorkerEstimate, failure_costs: FailureCosts, now: int) -> float:
        if worker.reliability.has_clean_record:
            return 0.0
        return self._policy.risk_part * worker.reliability.expected_cost(failure_costs, now)


def _home(workers: list[WorkerEstimate], subject: str) -> WorkerEstimate | None:
    """The worker to which all routers send prompts of a subject of which nothing is known."""
    if not subject:
        return None
    key = int.from_bytes(blake2b(subject.encode(), digest_size=8).digest())
    return min(workers, key=lambda each: key_rank(_number(each), key), default=None)


def _number(worker: WorkerEstimate) -> int:
    return int.from_bytes(blake2b(worker.record.instance.encode(), digest_size=8).digest())
