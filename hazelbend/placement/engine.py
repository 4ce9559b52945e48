"""Which worker reads a prompt, and which makes the tokens: SED over the estimates, for both stages.

For each candidate the expected delay is (E[N] + cost) / mu, the cost being what the request adds there: of a
prompt, the tokens that are not believed to be cached. The least wins.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions.formulas import key_rank
from hazelbend.placement.estimates import Send, WorkerEstimate
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.routes import Service

MEAN_PROMPT = 1_000.0  # tokens that count as one job of reading
LEAST_COST = 0.1  # of a job, whatever is cached
FIRST_READ_RATE = 20_000 / 1e6 / MEAN_PROMPT  # jobs a microsecond, until runs have told
FIRST_RUN = 200_000  # microseconds that a job is taken to run until runs have told
CROSS_ZONE = 2_000  # microseconds that a worker of another zone is taken to be slower
SILENT_PENALTY = 60_000_000  # microseconds: one that has gone silent is the last choice


class Stage(Enum):
    """What a worker is asked to do."""

    PREFILL = "prefill"
    DECODE = "decode"
    WHOLE = "whole"  # a service without phases


@dataclass(slots=True, frozen=True)
class Choice:
    """A worker, and what the request adds to it."""

    worker: WorkerEstimate
    cost: float


class Placement:
    """The workers of all services, as this router sees them."""

    def __init__(self, zone: str, seed: int) -> None:
        self._zone = zone
        self._random = random.Random(seed)
        self.workers: dict[str, WorkerEstimate] = {}  # by instance
        self.services: dict[str, Service] = {}

    # --- what is known of workers ---

    def merge(self, record: WorkerRecord) -> None:
        """Take a record from the control plane; older ones change nothing."""
        known = self.workers.get(record.instance)
        if known is None:
            if record.state is not WorkerState.GONE:
                self.workers[record.instance] = WorkerEstimate(record, self._first_rate(record))
        elif record.rank > known.record.rank:
            if record.phase != known.record.phase:  # another part: its count and rate are another's
                self.workers[record.instance] = WorkerEstimate(record, self._first_rate(record))
            else:
                known.record = record

    def _first_rate(self, record: WorkerRecord) -> float:
        alike = [
            each.rate
            for each in self.workers.values()
            if (each.record.service, each.record.phase) == (record.service, record.phase) and each.run.count
        ]
        if alike:
            return sum(alike) / len(alike)
        return FIRST_READ_RATE if record.phase == Stage.PREFILL.value else record.capacity / FIRST_RUN

    def heard(self, ages: dict[str, int], heartbeat: int, expiry: float, silence: float) -> None:
        """How long ago each worker was heard; one that has been silent for `expiry` heartbeats is dropped."""
        for instance, each in list(self.workers.items()):
            age = ages.get(instance)
            if age is not None:
                each.silent = age > silence * heartbeat
                if age > expiry * heartbeat and not each.own:
                    del self.workers[instance]
            elif each.record.state is WorkerState.GONE and not each.own:
                del self.workers[instance]

    # --- decisions ---

    def candidates(self, service: str, stage: Stage, now: int, tried: set[str]) -> list[WorkerEstimate]:
        """Workers that may be asked; those that can't be reached only where there is no other."""
        phase = "" if stage is Stage.WHOLE else stage.value
        listed = [
            each
            for instance, each in self.workers.items()
            if each.record.service == service
            and each.takes_work
            and instance not in tried
            and (not phase or each.record.phase == phase)
        ]
        return [each for each in listed if now >= each.shut_until] or listed

    def has_phases(self, service: str) -> bool:
        """Whether workers of the service are there that only read prompts."""
        return self._has(service, Stage.PREFILL)

    def has_decoders(self, service: str) -> bool:
        """Whether workers of the service are there that make tokens of what others have read."""
        return self._has(service, Stage.DECODE)

    def _has(self, service: str, stage: Stage) -> bool:
        return any(
            each.record.service == service and each.takes_work and each.record.phase == stage.value
            for each in self.workers.values()
        )

    def choose_reader(self, service: str, prompt: Prompt, now: int, tried: set[str]) -> Choice | None:
        """The worker that has read the prompt soonest."""
        found = self.candidates(service, Stage.PREFILL, now, tried)
        home = _home(found, prompt.subject)
        choices = []
        for each in found:
            cached = each.holds(prompt.shared)
            if each is home:
                cached = max(cached, sum(part.tokens for part in prompt.shared))
            choices.append(Choice(each, max((prompt.tokens - cached) / MEAN_PROMPT, LEAST_COST)))
        return self._least(choices, now)

    def choose(self, service: str, stage: Stage, now: int, tried: set[str]) -> Choice | None:
        """The worker that runs the request."""
        return self._least([Choice(each, 1.0) for each in self.candidates(service, stage, now, tried)], now)

    def _least(self, choices: list[Choice], now: int) -> Choice | None:
        if not choices:
            return None
        return min(choices, key=lambda choice: (self._delay(choice, now), self._random.random()))

    def _delay(self, choice: Choice, now: int) -> float:
        worker = choice.worker
        delay = worker.delay(choice.cost, now)
        if worker.record.zone != self._zone:
            delay += CROSS_ZONE
        return delay + (SILENT_PENALTY if worker.silent else 0.0)

    # --- what happens ---

    def sent(self, choice: Choice, now: int) -> Send:
        """The request is on its way to the chosen worker."""
        return choice.worker.sent(choice.cost, now)

    def read(self, send: Send, prompt: Prompt, now: int) -> None:
        """The prompt was read there."""
        worker = send.worker
        worker.answered()
        worker.served(now - send.sent_at, send.ahead + send.cost, 1.0)
        service = self.services.get(worker.record.service)
        capacity = service.engine.kv_capacity if service is not None and service.engine is not None else 0
        worker.remember(prompt.shared, capacity)

    def served(self, send: Send, now: int) -> None:
        """The request was served there."""
        worker = send.worker
        worker.answered()
        worker.served(now - send.sent_at, send.cost, float(worker.record.capacity))


def _home(workers: list[WorkerEstimate], subject: str) -> WorkerEstimate | None:
    """The worker to which all routers, without asking, send prompts of this subject."""
    if not subject:
        return None
    key = int.from_bytes(blake2b(subject.encode(), digest_size=8).digest())
    return min(workers, key=lambda each: key_rank(_number(each), key), default=None)


def _number(worker: WorkerEstimate) -> int:
    return int.from_bytes(worker.record.instance.encode()[-8:])
