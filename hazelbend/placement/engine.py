"""Which worker reads a prompt, and which makes the tokens: SED over the estimates, over the pair.

For a pair the expected time to the first event is the delay of reading, (E[N] + cost) / mu at the reader, the
cost being the tokens that are not believed to be cached there, then the move of the memory and the delay of
the worker that makes the tokens. A worker that makes tokens may read too, more slowly: a pair of one. The
least wins. What a choice costs beside time is added as the time that it is worth.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from hazelbend.control.load_table import CachedPart, Load
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.placement.estimates import UNIT, Estimate, WorkerEstimate
from hazelbend.placement.prompt import Part, Prompt
from hazelbend.placement.routes import Engine, Service

FIRST_READ_RATE = 0.03  # tokens a microsecond, until runs have told
WHOLE_PACE = 0.45  # of that, at a worker that makes tokens in between
FIRST_RUN = 200_000  # microseconds that a request is taken to run until runs have told
READ_OVERHEAD = 22_000  # microseconds of a call to read, whatever it reads
LEAST_SAMPLE = 3 * UNIT  # tokens that a run must have read to tell of a rate
CROSS_ZONE = 3_000  # microseconds that a worker of another zone is further away
CROSS_ZONE_MOVE = 2.0  # times as long, a move between zones
MOVE_PRICE = 40.0  # microseconds that a megabyte of moved memory is worth
AGAIN_PRICE = 10.0  # microseconds that a token is worth which some other worker keeps, read again
SILENT_PENALTY = 60_000_000  # microseconds: one that has gone silent is the last choice
KEPT_SHARED = 0.7  # of a worker's memory that is believed to keep shared parts


class Stage(Enum):
    """What a worker is asked to do."""

    PREFILL = "prefill"
    DECODE = "decode"
    WHOLE = "whole"  # a service without phases


@dataclass(slots=True, frozen=True)
class Choice:
    """A worker, what the request adds to it, and when it is expected to be done with it."""

    worker: WorkerEstimate
    tokens: int  # to be read there
    delay: float  # microseconds


@dataclass(slots=True, frozen=True)
class Pair:
    """Who reads the prompt, None where the other one reads it itself, and who makes the tokens."""

    reader: Choice | None
    runner: Choice
    delay: float  # expected microseconds to the first event, with prices


@dataclass(slots=True, eq=False)
class Send:
    """An own send to a worker that has no end yet."""

    worker: WorkerEstimate
    units: float  # of reading
    runs: bool  # whether it takes a place among the requests that run
    sent_at: int
    ahead: float  # units of reading that were expected before it


class Placement:
    """The workers of all services, as this router sees them."""

    def __init__(self, zone: str, seed: int) -> None:
        self._zone = zone
        self._random = random.Random(seed)
        self.workers: dict[str, WorkerEstimate] = {}  # by instance
        self.services: dict[str, Service] = {}
        self.newly_cached: list[CachedPart] = []  # not told to other routers yet
        self.load_changed: Callable[[], None] = lambda: None  # own work has changed

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
                known.reading.rate, known.running.rate = fresh.reading.rate, fresh.running.rate
            known.record = record

    def _new(self, record: WorkerRecord) -> WorkerEstimate:
        alike = [
            each
            for each in self.workers.values()
            if (each.record.service, each.record.phase) == (record.service, record.phase)
        ]
        pace = 1.0 if record.phase == Stage.PREFILL.value else WHOLE_PACE
        read = _mean([each.reading.rate for each in alike], pace * FIRST_READ_RATE / UNIT)
        run = _mean([each.running.rate for each in alike], record.capacity / FIRST_RUN)
        return WorkerEstimate(record, Estimate(read, 1.0), Estimate(run, float(record.capacity)))

    def heard(self, ages: dict[str, int], heartbeat: int, expiry: float, silence: float) -> None:
        """How long ago each worker was heard; one that has been silent for `expiry` heartbeats is dropped."""
        for instance, each in list(self.workers.items()):
            age = ages.get(instance)
            if age is not None:
                each.silent = age > silence * heartbeat
                if age > expiry * heartbeat and not each.busy:
                    del self.workers[instance]
            elif each.record.state is WorkerState.GONE and not each.busy:
                del self.workers[instance]

    def reported(self, loads: dict[str, Load], cached: tuple[CachedPart, ...], now: int) -> None:
        """What all other routers have under way, and what they had read."""
        nothing = Load()
        for instance, each in self.workers.items():
            load = loads.get(instance, nothing)
            each.reading.reported(round(load.tokens / UNIT), now)
            each.running.reported(load.jobs, now)
        for part in cached:
            worker = self.workers.get(part.instance)
            if worker is not None:
                worker.remember([Part(part.part, part.tokens)], self._memory(worker))

    def own_loads(self) -> dict[str, Load]:
        """This router's unfinished work by worker."""
        return {
            instance: Load(each.running.own, round(each.reading.counts.load * UNIT))
            for instance, each in self.workers.items()
            if each.busy
        }

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

    def choose(self, service: str, now: int, tried: set[str]) -> Choice | None:
        """The worker of a service without phases that runs the request soonest."""
        found = [
            Choice(each, 0, each.running.delay(1.0, now) + self._distance(each))
            for each in self.candidates(service, Stage.WHOLE, now, tried)
        ]
        return min(found, key=lambda each: (each.delay, self._random.random()), default=None)

    def choose_pair(self, service: str, prompt: Prompt, now: int, tried: set[str]) -> Pair | None:
        """The pair that is expected to bring the first event soonest."""
        pairs = list(self._pairs(service, prompt, now, tried))
        return min(pairs, key=lambda each: (each.delay, self._random.random()), default=None)

    def choose_runner(
        self, service: str, prompt: Prompt, source: WorkerRecord | None, now: int, tried: set[str]
    ) -> Choice | None:
        """The worker that makes the tokens: of a prompt that `source` keeps, or that it reads itself."""
        runners = self.candidates(service, Stage.DECODE, now, tried) or self.candidates(
            service, Stage.WHOLE, now, tried
        )
        kept = self._kept(service, prompt)
        found = [self._runner(each, prompt, source, kept, now) for each in runners]
        return min(found, key=lambda each: (each.delay, self._random.random()), default=None)

    def _pairs(self, service: str, prompt: Prompt, now: int, tried: set[str]) -> Iterator[Pair]:
        kept = self._kept(service, prompt)
        runners = self.candidates(service, Stage.DECODE, now, tried)
        for each in runners:
            alone = self._runner(each, prompt, None, kept, now)
            yield Pair(None, alone, alone.delay)
        for each in self.candidates(service, Stage.PREFILL, now, tried):
            reader = self._reader(each, prompt, kept, now)
            moved = [self._runner(runner, prompt, each.record, kept, now) for runner in runners]
            best = min(moved, key=lambda choice: (choice.delay, self._random.random()), default=None)
            if best is not None:
                yield Pair(reader, best, reader.delay + best.delay)

    def _reader(self, worker: WorkerEstimate, prompt: Prompt, kept: int, now: int) -> Choice:
        cached = worker.holds(prompt.shared)
        tokens = max(prompt.tokens - cached, 0)
        delay = worker.reading.delay(tokens / UNIT, now) + READ_OVERHEAD + self._distance(worker)
        return Choice(worker, tokens, delay + AGAIN_PRICE * max(kept - cached, 0))

    def _runner(
        self, worker: WorkerEstimate, prompt: Prompt, source: WorkerRecord | None, kept: int, now: int
    ) -> Choice:
        first_token = worker.running.delay(1.0, now) + self._distance(worker)
        if source is not None:
            return Choice(worker, 0, first_token + self._move(worker, prompt, source))
        cached = worker.holds(prompt.shared)
        tokens = max(prompt.tokens - cached, 0)
        delay = first_token + worker.reading.delay(tokens / UNIT, now)
        return Choice(worker, tokens, delay + AGAIN_PRICE * max(kept - cached, 0))

    def _move(self, worker: WorkerEstimate, prompt: Prompt, source: WorkerRecord) -> float:
        engine = self._engine(worker.record.service)
        if engine is None or not engine.bandwidth_mbps:
            return 0.0
        size = prompt.tokens * engine.kv_token_bytes
        times = 1.0 if source.zone == worker.record.zone else CROSS_ZONE_MOVE
        return times * (size * 8 / engine.bandwidth_mbps + MOVE_PRICE * size / 1e6)

    def _distance(self, worker: WorkerEstimate) -> float:
        far = CROSS_ZONE if worker.record.zone != self._zone else 0.0
        return far + (SILENT_PENALTY if worker.silent else 0.0)

    def _kept(self, service: str, prompt: Prompt) -> int:
        """The most tokens of the prompt that any worker of the service is believed to keep."""
        shared = prompt.shared
        return max(
            (each.holds(shared) for each in self.workers.values() if each.record.service == service),
            default=0,
        )

    def has_phases(self, service: str) -> bool:
        """Whether workers of the service read prompts and make tokens apart."""
        return any(
            each.record.service == service and each.takes_work and each.record.phase
            for each in self.workers.values()
        )

    def _engine(self, service: str) -> Engine | None:
        found = self.services.get(service)
        return found.engine if found is not None else None

    def _memory(self, worker: WorkerEstimate) -> int:
        engine = self._engine(worker.record.service)
        return round(KEPT_SHARED * engine.kv_capacity) if engine is not None else 0

    # --- what happens ---

    def sent(self, choice: Choice, runs: bool, prompt: Prompt, now: int) -> Send:
        """The request is on its way to the chosen worker."""
        worker, units = choice.worker, choice.tokens / UNIT
        send = Send(worker, units, runs, now, worker.reading.expected(now))
        if units:
            worker.reading.add(units)
            self._remember(worker, prompt)
        if runs:
            worker.running.add(1.0)
        self.load_changed()
        return send

    def has_read(self, send: Send) -> None:
        """Its prompt is read, or never will be."""
        if send.units:
            send.worker.reading.remove(send.units)
            send.units = 0.0
            self.load_changed()

    def ended(self, send: Send) -> None:
        """It has its end."""
        self.has_read(send)
        if send.runs:
            send.worker.running.remove(1.0)
            self.load_changed()

    def read(self, send: Send, now: int) -> None:
        """The prompt was read there: a sample of the rate."""
        send.worker.answered()
        if send.units * UNIT >= LEAST_SAMPLE:
            elapsed = max(now - send.sent_at - READ_OVERHEAD, 1_000)
            send.worker.reading.sample((send.ahead + send.units) / elapsed)

    def moved(self, send: Send, prompt: Prompt) -> None:
        """The worker that makes the tokens keeps the prompt's parts as well."""
        self._remember(send.worker, prompt)

    def served(self, send: Send, now: int) -> None:
        """The request was served there."""
        worker = send.worker
        worker.answered()
        worker.running.sample(worker.running.most / max(now - send.sent_at, 1))

    def _remember(self, worker: WorkerEstimate, prompt: Prompt) -> None:
        instance = worker.record.instance
        for part in worker.remember(prompt.shared, self._memory(worker)):
            self.newly_cached.append(CachedPart(instance, part.id, part.tokens))


def _mean(values: list[float], otherwise: float) -> float:
    return sum(values) / len(values) if values else otherwise
