"""What a router knows of the workers of all services: the estimates, and what is learnt of each kind."""

from __future__ import annotations

from hazelbend.control.workers import WorkerRecord
from hazelbend.decisions.records import Mean
from hazelbend.placement.choices import Attempt, Stage
from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.policy import UNIT, Policy
from hazelbend.placement.prefill_model import PrefillTimeModel
from hazelbend.placement.prompt import Prompt
from hazelbend.placement.routes import ModelEngine, Service


class FleetView:
    """Kept up to date by `PlacementEngine`, read by `WorkerSelector`. Times in microseconds."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._models: dict[tuple[str, str], PrefillTimeModel] = {}  # by service and phase
        self._first_tokens: dict[str, Mean] = {}  # by service: from a send with its prompt read to its event
        self._present: dict[str, Mean] = {}  # by service: whether homes have what nobody has told of
        self._busy: dict[str, Mean] = {}  # by service: the part of its readers that have something to read
        self.reads: dict[str, dict[Attempt, None]] = {}  # own reads under way, by instance
        self.workers: dict[str, WorkerEstimate] = {}  # by instance
        self.services: dict[str, Service] = {}
        self.switching: set[str] = set()  # instances that are changing their part

    def candidates(self, service: str, stage: Stage, now: int, tried: set[str]) -> list[WorkerEstimate]:
        """Workers that may be asked; those that can't be reached only where there is no other."""
        phase = stage.value
        listed = [
            each
            for instance, each in self.workers.items()
            if each.record.service == service
            and each.accepts_work
            and instance not in tried
            and instance not in self.switching
            and (not phase or each.record.phase == phase)
        ]
        return [each for each in listed if now >= each.shut_until] or listed

    def model(self, record: WorkerRecord) -> PrefillTimeModel:
        """How long workers of this kind take to read."""
        return self._phase_model(record.service, record.phase)

    def _phase_model(self, service: str, phase: str) -> PrefillTimeModel:
        key = (service, phase)
        if key not in self._models:
            times = 1.0 if phase == Stage.PREFILL.value else self._policy.whole_pace
            self._models[key] = PrefillTimeModel(self._policy.first_overhead, times * self._policy.first_pace)
        return self._models[key]

    def first_token(self, service: str) -> Mean:
        """Microseconds from a send with its prompt read to its first event, of a service."""
        return self._first_tokens.setdefault(service, Mean())

    def presence(self, service: str) -> Mean:
        """Whether homes have what nobody has told of, of a service."""
        return self._present.setdefault(service, Mean())

    def own_unread(self, worker: WorkerEstimate, now: int) -> float:
        """Units of own reads at a worker that are not read yet."""
        return sum(send.remaining(now) for send in self.reads.get(worker.record.instance, ()))

    def unread(self, worker: WorkerEstimate, now: int) -> float:
        """E[N] of reading: own sends less what has been read of them, and what others have there."""
        worker.prefill.counts.load = self.own_unread(worker, now)
        return worker.prefill.expected(now)

    def read_delay(self, worker: WorkerEstimate, tokens: int, now: int) -> float:
        """Microseconds until a prompt is read of which so many tokens are not cached."""
        model = self.model(worker.record)
        slowness = worker.slowness.beside(1.0, self._policy.slowness_prior)
        worker.prefill.rate = 1 / (model.pace * slowness)
        return model.overhead + (self.unread(worker, now) + tokens / UNIT) / worker.prefill.rate

    def kept(self, service: str, prompt: Prompt) -> int:
        """The most tokens of the prompt that any worker of the service is believed to keep."""
        shared = prompt.shared
        return max(
            (each.holds(shared) for each in self.workers.values() if each.record.service == service),
            default=0,
        )

    def see_readers(self) -> None:
        """How many readers of each service have something to read, by the reports that have just come."""
        readers: dict[str, list[bool]] = {}
        for each in self.workers.values():
            if each.record.phase == Stage.PREFILL.value and each.accepts_work:
                busy = each.prefill.own_jobs > 0 or each.prefill.counts.others > 0
                readers.setdefault(each.record.service, []).append(busy)
        for service, busy_ones in readers.items():
            mean = self._busy.setdefault(service, Mean())
            mean.add(sum(busy_ones) / len(busy_ones), self._policy.busy_memory)

    def again_price(self, service: str) -> float:
        """Microseconds that a token costs others which is read though another worker keeps it: work of a time
        w delays those who come after it by w * use / (1 - use), as in a queue with one server."""
        mean = self._busy.get(service, Mean())
        use = mean.beside(self._policy.busy_first, self._policy.busy_prior)
        crowding = self._policy.max_crowding
        if use < 1.0:
            crowding = min(use / (1.0 - use), crowding)
        return crowding * self._phase_model(service, Stage.PREFILL.value).pace / UNIT

    def has_phases(self, service: str) -> bool:
        """Whether workers of the service read prompts and make tokens apart."""
        return any(
            each.record.service == service and each.accepts_work and each.record.phase
            for each in self.workers.values()
        )

    def engine(self, service: str) -> ModelEngine | None:
        """What the configuration says of a service's model workers."""
        found = self.services.get(service)
        return found.engine if found is not None else None

    def memory(self, worker: WorkerEstimate) -> int:
        """Tokens of shared parts that a worker is believed to keep."""
        engine = self.engine(worker.record.service)
        return round(self._policy.kept_shared * engine.kv_capacity) if engine is not None else 0
