"""Which worker reads a prompt, and which makes the tokens: SED over the estimates, over the pair.

For a pair the expected time to the first event is the delay of reading, (E[N] + cost) / mu at the reader, the
cost being the tokens that are not believed to be cached there, then the move of the memory and the delay of
the worker that makes the tokens. A worker that makes tokens may read too, more slowly: a pair of one. The
least wins. What a choice costs beside time is added as the time that it is worth.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from hazelbend.control.load_table import CachedPart, Load, Outcomes
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions.formulas import key_rank
from hazelbend.decisions.records import Mean
from hazelbend.placement.estimates import UNIT, Estimate, WorkerEstimate
from hazelbend.placement.prompt import Part, Prompt
from hazelbend.placement.read_model import ReadModel
from hazelbend.placement.reliability import SendEnd, Stakes
from hazelbend.placement.routes import Engine, Service
from hazelbend.placement.statistics import Statistics

FIRST_PACE = UNIT / 0.03  # microseconds to read a unit, until runs have told
FIRST_OVERHEAD = 22_000  # microseconds of a call to read, whatever it reads, until runs have told
WHOLE_PACE = 2.2  # times as long, at a worker that makes tokens in between
FIRST_RUN = 200_000  # microseconds that a request is taken to run until runs have told
SLOWNESS_MEMORY, SLOWNESS_PRIOR = 20.0, 4.0  # samples that a worker's slowness rests on
FIRST_TOKEN = 20_000  # microseconds from a send whose prompt is read to its first event, until runs tell
FIRST_TOKEN_PRIOR, FIRST_TOKEN_MEMORY = 4.0, 30.0  # samples that this rests on
CLEAR = 0.25  # part of a sample's reading that may have been estimated to lie before it
PRESENT_PRIOR, PRESENT_MEMORY = 3.0, 20.0  # samples of whether a home has what nobody has told of
PRESENT_FIRST = 0.5  # the part of homes that have it, until runs have told
LEAST_SHARED = 2 * UNIT  # tokens that must be shared for a run to tell of that
OVERDUE, OVERDUE_TIMES = 600_000, 2.0  # microseconds, and times the expected, after which silence is suspect
LATE, LATE_TIMES = 150_000, 3.0  # microseconds, and times the expected, from which a first sign is late
MOST_READ = 0.9  # of a prompt that counts as read before its worker has said so
HOME_BONUS = 4_000  # microseconds: of workers that are alike, all routers take the same
READ_BESIDE = 0.5  # of the time of a read at a worker that makes tokens, that it costs others there
LONG_READ, LONG_READ_PRICE = 6.0, 20_000  # units before streams there pause; microseconds a unit beyond
CROSS_ZONE = 3_000  # microseconds that a worker of another zone is further away
CROSS_ZONE_MOVE = 2.0  # times as long, a move between zones
MOVE_PRICE = 40.0  # microseconds that a megabyte of moved memory is worth
AGAIN_TIMES = 2.0  # times its reading, that a part costs which another worker keeps: others wait too
KEEPER_JOBS = 4.0  # requests more that a maker of tokens may have which keeps the parts already
HOME_JOBS = 0.5  # and one to which all routers send what no maker of tokens keeps
SILENT_PENALTY = 60_000_000  # microseconds: one that has gone silent is the last choice
MOST_TOLD = 20  # ends of one kind that one word of another router counts as
KEPT_SHARED = 0.85  # of a worker's memory that is believed to keep shared parts


NO_STAKES = Stakes()


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
    delay: float  # microseconds, with what it costs beside time
    expected: float = 0.0  # microseconds to the first sign of the worker, if it is well


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
    whole: float  # units of its whole prompt
    guessed: float  # units of shared parts that its worker may have had, without anybody having told
    pace: float  # microseconds a unit that were expected there
    expected: float = 0.0  # microseconds to its first sign
    sign_at: int | None = None  # when its first sign came: its prompt was read, or its first event was there

    def is_late(self, sign_at: int) -> bool:
        """Whether a first sign at this time is far later than expected."""
        return sign_at - self.sent_at > LATE + LATE_TIMES * self.expected

    def remaining(self, now: int) -> float:
        """Units that are still to be read, as far as the worker reads in the order of arrival."""
        read = (now - self.sent_at) / self.pace - self.ahead
        return self.units - min(max(read, 0.0), MOST_READ * self.units)


class Placement:
    """The workers of all services, as this router sees them."""

    def __init__(self, zone: str, seed: int) -> None:
        self._zone = zone
        self._random = random.Random(seed)
        self._models: dict[tuple[str, str], ReadModel] = {}  # by service and phase
        self._reads: dict[str, dict[Send, None]] = {}  # own reads under way, by instance
        self._first_tokens: dict[str, Mean] = {}  # by service: from a send with its prompt read to its event
        self._present: dict[str, Mean] = {}  # by service: whether homes have what nobody has told of
        self.workers: dict[str, WorkerEstimate] = {}  # by instance
        self.services: dict[str, Service] = {}
        self.switching: set[str] = set()  # instances that are changing their part
        self.newly_cached: list[CachedPart] = []  # or used anew, not told to other routers yet
        self._outcomes: dict[str, Counter[SendEnd]] = {}  # by instance, not told to other routers yet
        self.statistics = Statistics()
        self.suspicion_changed: Callable[[WorkerRecord, bool], None] = lambda record, suspect: None
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
            known.record, known.expired = record, False

    def _new(self, record: WorkerRecord) -> WorkerEstimate:
        alike = [
            each
            for each in self.workers.values()
            if (each.record.service, each.record.phase) == (record.service, record.phase)
        ]
        read = 1 / self._model(record).pace
        run = _mean([each.running.rate for each in alike], record.capacity / FIRST_RUN)
        return WorkerEstimate(record, Estimate(read, 1.0), Estimate(run, float(record.capacity)))

    def heard(self, silent: dict[str, int], expiry: float) -> None:
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

    def told(self, outcomes: tuple[Outcomes, ...], now: int) -> None:
        """How sends of other routers have ended."""
        for each in outcomes:
            worker = self.workers.get(each.instance)
            if worker is None:
                continue
            counts = {
                SendEnd.FAILED: each.failed,
                SendEnd.REJECTED: each.rejected,
                SendEnd.LATE: each.late,
                SendEnd.SERVED: each.served,
            }
            for end, count in counts.items():
                for _ in range(min(count, MOST_TOLD)):
                    self._see(worker, end, each.zone == self._zone, now)

    def _see(self, worker: WorkerEstimate, end: SendEnd, in_own_zone: bool, now: int) -> None:
        worker.reliability.see(end, in_own_zone, now)
        suspect = worker.reliability.is_suspect(now)
        if suspect != worker.was_suspect:
            worker.was_suspect = suspect
            self.suspicion_changed(worker.record, suspect)

    def take_outcomes(self) -> tuple[Outcomes, ...]:
        """How own sends have ended since the last call, where others should know."""
        outcomes, self._outcomes = self._outcomes, {}
        return tuple(
            Outcomes(
                instance,
                self._zone,
                counts[SendEnd.SERVED],
                counts[SendEnd.FAILED],
                counts[SendEnd.REJECTED],
                counts[SendEnd.LATE],
            )
            for instance, counts in outcomes.items()
        )

    def own_loads(self, now: int) -> dict[str, Load]:
        """This router's unfinished work by worker."""
        return {
            instance: Load(each.running.own, round(self._own_unread(each, now) * UNIT))
            for instance, each in self.workers.items()
            if each.busy
        }

    def _own_unread(self, worker: WorkerEstimate, now: int) -> float:
        return sum(send.remaining(now) for send in self._reads.get(worker.record.instance, ()))

    def _unread(self, worker: WorkerEstimate, now: int) -> float:
        """E[N] of reading: own sends less what has been read of them, and what others have there."""
        worker.reading.counts.load = self._own_unread(worker, now)
        return worker.reading.expected(now)

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
            and instance not in self.switching
            and (not phase or each.record.phase == phase)
        ]
        return [each for each in listed if now >= each.shut_until] or listed

    def choose(self, service: str, now: int, tried: set[str], stakes: Stakes = NO_STAKES) -> Choice | None:
        """The worker of a service without phases that runs the request soonest."""
        found = []
        for each in self.candidates(service, Stage.WHOLE, now, tried):
            expected = each.running.delay(1.0, now)
            delay = expected + self._distance(each, now) + each.reliability.cost(stakes, now)
            found.append(Choice(each, 0, delay, expected))
        return min(found, key=lambda each: (each.delay, self._random.random()), default=None)

    def choose_pair(
        self, service: str, prompt: Prompt, now: int, tried: set[str], stakes: Stakes = NO_STAKES
    ) -> Pair | None:
        """The pair that is expected to bring the first event soonest."""
        pairs = list(self._pairs(service, prompt, now, tried, stakes))
        return min(pairs, key=lambda each: (each.delay, self._random.random()), default=None)

    def choose_runner(
        self,
        service: str,
        prompt: Prompt,
        source: WorkerRecord | None,
        now: int,
        tried: set[str],
        stakes: Stakes = NO_STAKES,
    ) -> Choice | None:
        """The worker that makes the tokens: of a prompt that `source` keeps, or that it reads itself."""
        runners = self.candidates(service, Stage.DECODE, now, tried)
        runners = runners or self.candidates(service, Stage.WHOLE, now, tried)
        if source is not None:
            by_zone = self._soonest_by_zone(runners, prompt, now, stakes)
            return self._soonest_after(source, prompt, by_zone)
        kept = self._kept(service, prompt)
        found = [self._alone(each, prompt, kept, now, stakes) for each in runners]
        return min(found, key=lambda each: (each.delay, self._random.random()), default=None)

    def _pairs(
        self, service: str, prompt: Prompt, now: int, tried: set[str], stakes: Stakes
    ) -> Iterator[Pair]:
        kept = self._kept(service, prompt)
        runners = self.candidates(service, Stage.DECODE, now, tried)
        for each in runners:
            alone = self._alone(each, prompt, kept, now, stakes)
            yield Pair(None, alone, alone.delay)
        by_zone = self._soonest_by_zone(runners, prompt, now, stakes)
        # A read that fails is asked elsewhere.
        repeatable = Stakes(stakes.lateness, stakes.rejection, stakes.lateness)
        readers = self.candidates(service, Stage.PREFILL, now, tried)
        home = _home(readers, prompt.subject)
        for each in readers:
            reader = self._reader(each, prompt, kept, home, now, repeatable)
            best = self._soonest_after(each.record, prompt, by_zone)
            if best is not None:
                yield Pair(reader, best, self._together(reader, best, now))

    def _together(self, reader: Choice, runner: Choice, now: int) -> float:
        """Delay of a pair. Two that are suspect are no worse than one: right after a start all of them are,
        and prompts would go to workers that make tokens alone."""
        delay = reader.delay + runner.delay
        if self._is_suspect(reader.worker, now) and self._is_suspect(runner.worker, now):
            delay -= SILENT_PENALTY
        return delay

    def _reader(
        self,
        worker: WorkerEstimate,
        prompt: Prompt,
        kept: int,
        home: WorkerEstimate | None,
        now: int,
        stakes: Stakes,
    ) -> Choice:
        cached = worker.holds(prompt.shared)
        bonus = 0.0
        if worker is home:
            bonus = HOME_BONUS
            if not kept:
                present = self._presence(worker.record.service).beside(PRESENT_FIRST, PRESENT_PRIOR)
                cached = round(present * prompt.shared_tokens)
        tokens = max(prompt.tokens - cached, 0)
        expected = self._read_delay(worker, tokens, now)
        delay = expected + self._distance(worker, now) - bonus + worker.reliability.cost(stakes, now)
        again = self._again_price(worker.record.service) * max(kept - cached, 0)
        return Choice(worker, tokens, delay + again, expected)

    def _read_delay(self, worker: WorkerEstimate, tokens: int, now: int) -> float:
        """Microseconds until a prompt is read of which so many tokens are not cached."""
        model = self._model(worker.record)
        slowness = worker.slowness.beside(1.0, SLOWNESS_PRIOR)
        worker.reading.rate = 1 / (model.pace * slowness)
        return model.overhead + (self._unread(worker, now) + tokens / UNIT) / worker.reading.rate

    def _model(self, record: WorkerRecord) -> ReadModel:
        return self._phase_model(record.service, record.phase)

    def _phase_model(self, service: str, phase: str) -> ReadModel:
        key = (service, phase)
        if key not in self._models:
            times = 1.0 if phase == Stage.PREFILL.value else WHOLE_PACE
            self._models[key] = ReadModel(FIRST_OVERHEAD, times * FIRST_PACE)
        return self._models[key]

    def _again_price(self, service: str) -> float:
        """Microseconds that a token is worth which is read though another worker keeps it."""
        return AGAIN_TIMES * self._phase_model(service, Stage.PREFILL.value).pace / UNIT

    def _first_token(self, service: str) -> Mean:
        return self._first_tokens.setdefault(service, Mean())

    def _presence(self, service: str) -> Mean:
        return self._present.setdefault(service, Mean())

    def _soonest_by_zone(
        self, runners: list[WorkerEstimate], prompt: Prompt, now: int, stakes: Stakes
    ) -> dict[str, Choice]:
        """Of each zone, the worker that makes the first token of a prompt soonest that was read elsewhere,
        the move left out: that depends on the zones alone."""
        by_zone: dict[str, list[WorkerEstimate]] = {}
        for worker in runners:
            by_zone.setdefault(worker.record.zone, []).append(worker)
        return {zone: self._soonest(found, prompt, now, stakes) for zone, found in by_zone.items()}

    def _soonest(self, runners: list[WorkerEstimate], prompt: Prompt, now: int, stakes: Stakes) -> Choice:
        """Of these workers of one zone. One that keeps the shared parts is preferred by some requests: its
        memory takes nothing but the rest, and the next prompt of the subject can be read there alone."""
        overhead = self._first_token(runners[0].record.service).beside(FIRST_TOKEN, FIRST_TOKEN_PRIOR)
        home = _home(runners, prompt.subject)
        self._random.shuffle(runners)  # among those that are alike, any
        found = []
        for worker in runners:
            expected = overhead + worker.running.delay(1.0, now)
            preferred = HOME_JOBS if worker is home else 0.0
            if prompt.shared and worker.holds(prompt.shared) == prompt.shared_tokens:
                preferred = KEEPER_JOBS
            delay = expected + self._distance(worker, now) + worker.reliability.cost(stakes, now)
            found.append(Choice(worker, 0, delay - preferred / worker.running.rate, expected))
        return min(found, key=lambda each: each.delay)

    def _soonest_after(
        self, source: WorkerRecord, prompt: Prompt, by_zone: dict[str, Choice]
    ) -> Choice | None:
        """Of these, the one that makes the first token soonest of a prompt that `source` keeps."""
        moved = [
            Choice(each.worker, 0, each.delay + self._move(each.worker, prompt, source), each.expected)
            for each in by_zone.values()
        ]
        return min(moved, key=lambda each: each.delay, default=None)

    def _alone(self, worker: WorkerEstimate, prompt: Prompt, kept: int, now: int, stakes: Stakes) -> Choice:
        """A worker that reads the prompt itself and makes its tokens."""
        first_token = worker.running.delay(1.0, now)
        cached = worker.holds(prompt.shared)
        tokens = max(prompt.tokens - cached, 0)
        units = tokens / UNIT
        read = self._read_delay(worker, tokens, now)
        beside = READ_BESIDE * units / worker.reading.rate
        excess = max(self._unread(worker, now) + units - LONG_READ, 0.0)
        again = self._again_price(worker.record.service) * max(kept - cached, 0)
        price = beside + LONG_READ_PRICE * excess + again
        risk = worker.reliability.cost(stakes, now)
        delay = first_token + read + self._distance(worker, now) + price + risk
        return Choice(worker, tokens, delay, first_token + read)

    def _move(self, worker: WorkerEstimate, prompt: Prompt, source: WorkerRecord) -> float:
        engine = self._engine(worker.record.service)
        if engine is None or not engine.bandwidth_mbps:
            return 0.0
        size = prompt.tokens * engine.kv_token_bytes
        times = 1.0 if source.zone == worker.record.zone else CROSS_ZONE_MOVE
        return times * (size * 8 / engine.bandwidth_mbps + MOVE_PRICE * size / 1e6)

    def _distance(self, worker: WorkerEstimate, now: int) -> float:
        far = CROSS_ZONE if worker.record.zone != self._zone else 0.0
        return far + (SILENT_PENALTY if self._is_suspect(worker, now) else 0.0)

    @staticmethod
    def _is_suspect(worker: WorkerEstimate, now: int) -> bool:
        return worker.silent or worker.is_overdue(now)

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
        cached = prompt.tokens - choice.tokens
        guessed = bool(cached) and not worker.holds(prompt.shared)
        shared = prompt.shared_tokens if guessed else 0
        whole = prompt.tokens / UNIT
        ahead, pace = self._unread(worker, now), 1 / worker.reading.rate
        expected = max(choice.expected, 0.0)
        send = Send(worker, units, runs, now, ahead, whole, shared / UNIT, pace, expected)
        if units:
            self._reads.setdefault(worker.record.instance, {})[send] = None
            worker.reading.add(units)
            self._use_parts(worker, prompt)
            counts = self.statistics.of(worker.record.instance)
            counts.read_tokens += choice.tokens
            counts.kept_tokens += prompt.tokens - choice.tokens
        if runs:
            worker.running.add(1.0)
        worker.unheard[id(send)] = now + OVERDUE + round(OVERDUE_TIMES * max(choice.delay, 0.0))
        self.load_changed()
        return send

    def has_read(self, send: Send) -> None:
        """Its prompt is read, or never will be."""
        if send.units:
            reads = self._reads[send.worker.record.instance]
            del reads[send]
            if not reads:
                del self._reads[send.worker.record.instance]
            send.worker.reading.remove(send.units)
            send.units = 0.0
            self.load_changed()

    def heard_of(self, send: Send, now: int) -> None:
        """Its worker has answered, whatever it says."""
        send.worker.unheard.pop(id(send), None)
        send.worker.answered(now)
        if not send.worker.record.phase:
            send.sign_at = now

    def tells_of(self, send: Send, end: SendEnd, now: int) -> None:
        """Its end tells this of its worker. A worker that is full rejects without fault."""
        worker = send.worker
        if end is SendEnd.REJECTED and worker.running.expected(now) >= worker.record.capacity:
            return
        if end is SendEnd.SERVED and send.is_late(now if send.sign_at is None else send.sign_at):
            end = SendEnd.LATE
        self.statistics.of(worker.record.instance).ends[end] += 1
        self._see(worker, end, True, now)
        if end is not SendEnd.SERVED or worker.reliability.is_suspect(now):
            self._outcomes.setdefault(worker.record.instance, Counter())[end] += 1

    def ended(self, send: Send) -> None:
        """It has its end."""
        send.worker.unheard.pop(id(send), None)
        self.has_read(send)
        if send.runs:
            send.worker.running.remove(1.0)
            self.load_changed()

    def read(self, send: Send, now: int) -> None:
        """The prompt was read there: a sample of the rate."""
        worker, elapsed = send.worker, now - send.sent_at
        send.sign_at = now
        self.statistics.of(worker.record.instance).reads.add(elapsed, send.expected)
        model = self._model(worker.record)
        if send.ahead > CLEAR * (send.units + 1):
            return  # what lay before it is an estimate itself
        if send.guessed:
            if send.guessed * UNIT >= LEAST_SHARED:
                present = elapsed < model.expected(send.ahead + send.whole - send.guessed / 2)
                self._presence(worker.record.service).add(float(present), PRESENT_MEMORY)
            return
        read = send.ahead + send.units
        worker.slowness.add(min(max(elapsed / model.expected(read), 0.3), 3.0), SLOWNESS_MEMORY)
        model.sample(read, elapsed)

    def first_event(self, send: Send, now: int) -> None:
        """Its first event has come, of a prompt that was read elsewhere."""
        send.sign_at = now
        self.statistics.of(send.worker.record.instance).first_events.add(now - send.sent_at, send.expected)
        mean = self._first_token(send.worker.record.service)
        mean.add(min(now - send.sent_at, 10 * FIRST_TOKEN), FIRST_TOKEN_MEMORY)

    def moved(self, send: Send, prompt: Prompt) -> None:
        """The worker that makes the tokens keeps the prompt's parts as well."""
        self._remember(send.worker, prompt)

    def served(self, send: Send, now: int) -> None:
        """The request was served there."""
        worker = send.worker
        worker.running.sample(worker.running.most / max(now - send.sent_at, 1))

    def _use_parts(self, worker: WorkerEstimate, prompt: Prompt) -> None:
        """It reads the parts or has them. All routers hear of it, so that they know which ones it has not
        used for longest, and will drop first."""
        worker.remember(prompt.shared, self._memory(worker))
        instance = worker.record.instance
        self.newly_cached += [CachedPart(instance, part.id, part.tokens) for part in prompt.shared]

    def _remember(self, worker: WorkerEstimate, prompt: Prompt) -> None:
        instance = worker.record.instance
        for part in worker.remember(prompt.shared, self._memory(worker)):
            self.newly_cached.append(CachedPart(instance, part.id, part.tokens))


def _home(workers: list[WorkerEstimate], subject: str) -> WorkerEstimate | None:
    """The worker to which all routers send prompts of a subject of which nothing is known."""
    if not subject:
        return None
    key = int.from_bytes(blake2b(subject.encode(), digest_size=8).digest())
    return min(workers, key=lambda each: key_rank(_number(each), key), default=None)


def _number(worker: WorkerEstimate) -> int:
    return int.from_bytes(blake2b(worker.record.instance.encode(), digest_size=8).digest())


def _mean(values: list[float], otherwise: float) -> float:
    return sum(values) / len(values) if values else otherwise
