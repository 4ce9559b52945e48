"""What a router believes of each worker: the delayed-information estimates of its work, its rates, its cache.

A count is that of the decision module: `expected_jobs` of the last report (n0 at t0: the work of all other
routers), own later unfinished sends, and Poisson departures since. Times are microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions.brain import expected_jobs
from hazelbend.decisions.interface import WorkerEntry
from hazelbend.decisions.records import Mean, Worker
from hazelbend.placement.prompt import PrefixSegment
from hazelbend.placement.reliability import Reliability

RATE_MEMORY = 30.0  # samples that a learnt rate rests on
LEVEL_MEMORY = 10.0  # reports that the usual count of others' jobs rests on
FIRST_BACKOFF, LAST_BACKOFF = 500_000, 4_000_000  # microseconds without sends after a failure to connect


@dataclass(slots=True, eq=False)
class Estimate:
    """E[N] of one kind of work at one worker, and mu: the jobs that leave in a microsecond."""

    rate: float
    most: float  # jobs that run at once
    counts: Worker = field(default_factory=lambda: Worker(WorkerEntry(0), 1.0))
    samples: Mean = field(default_factory=Mean)
    own_jobs: int = 0  # unfinished sends

    def expected(self, now: int) -> float:
        """E[N]."""
        self.counts.most = self.most
        self.counts.crowd = self.counts.usual.value / self.rate
        return expected_jobs(self.counts, now, self.rate)

    def delay(self, cost: float, now: int) -> float:
        """(E[N] + cost) / mu."""
        return (self.expected(now) + cost) / self.rate

    def add(self, cost: float) -> None:
        """An own send of so many jobs is on its way."""
        self.counts.load += cost
        self.own_jobs += 1

    def remove(self, cost: float) -> None:
        """It has its end."""
        self.own_jobs -= 1
        self.counts.load = max(self.counts.load - cost, 0.0) if self.own_jobs else 0.0

    def apply_report(self, others: int, now: int) -> None:
        """n0 at t0: jobs of all other routers."""
        self.counts.others, self.counts.counted_at = others, now
        self.counts.usual.add(others, LEVEL_MEMORY)

    def sample(self, rate: float) -> None:
        """A rate that was seen."""
        self.samples.add(rate, RATE_MEMORY)
        self.rate = self.samples.beside(self.rate, 1.0)


@dataclass(slots=True, eq=False)
class WorkerEstimate:
    """One worker. `prefill`: prompts, in `UNIT` tokens; `requests`: requests."""

    record: WorkerRecord
    prefill: Estimate
    requests: Estimate
    silent: bool = False
    expired: bool = False  # silent for so long that it is forgotten once nothing is under way
    slowness: Mean = field(default_factory=Mean)  # of its reads, over what workers of its kind take
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)  # tokens by part, longest unused first
    cached_tokens: int = 0
    reliability: Reliability = field(default_factory=Reliability)
    was_suspect: bool = False  # as was last told to people
    shut_until: int = 0
    backoff: int = 0
    heard_at: int = 0  # when an own send was last answered
    unheard: dict[int, int] = field(default_factory=dict)  # own sends without any answer: when one is overdue

    @property
    def accepts_work(self) -> bool:
        """Whether it is listed as ready."""
        return self.record.state is WorkerState.READY

    @property
    def busy(self) -> bool:
        """Whether own sends to it have no end yet."""
        return bool(self.prefill.own_jobs or self.requests.own_jobs)

    def record_connect_failure(self, now: int) -> None:
        """It could not be reached."""
        self.backoff = min(max(2 * self.backoff, FIRST_BACKOFF), LAST_BACKOFF)
        self.shut_until = now + self.backoff

    def record_answer(self, now: int) -> None:
        """It lives."""
        self.heard_at = now
        self.backoff = self.shut_until = 0

    def is_overdue(self, now: int) -> bool:
        """Whether an answer is long overdue, and nothing was heard since."""
        return any(due < now and due > self.heard_at for due in self.unheard.values())

    def remember(self, parts: Iterable[PrefixSegment], capacity: int) -> list[PrefixSegment]:
        """It reads these parts, and keeps so many tokens; those that are new to this router."""
        new = []
        for part in parts:
            if part.id not in self.cached:
                new.append(part)
                self.cached_tokens += part.tokens
            self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        while self.cached_tokens > capacity and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens
        return new

    def holds(self, parts: Iterable[PrefixSegment]) -> int:
        """Tokens of the leading parts that it is believed to keep."""
        total = 0
        for part in parts:
            if part.id not in self.cached:
                break
            total += part.tokens
        return total
