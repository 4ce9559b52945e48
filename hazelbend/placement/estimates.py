"""What a router believes of each worker: the delayed-information estimate of its jobs, its rate, its cache.

The count is that of the decision module: `expected_jobs` of the last report (n0 at t0), own later unfinished
sends, and Poisson departures since. Jobs are counted in mean jobs of a stage; times are microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions.brain import expected_jobs
from hazelbend.decisions.interface import WorkerEntry
from hazelbend.decisions.records import Mean, Worker
from hazelbend.placement.prompt import Part

RATE_MEMORY = 30.0  # samples that a learnt rate rests on
LEVEL_MEMORY = 6.0  # reports that the usual count of others' jobs rests on
FIRST_BACKOFF, LAST_BACKOFF = 500_000, 4_000_000  # microseconds without sends after a failure to connect


@dataclass(slots=True, eq=False)
class Send:
    """An own send to a worker that has no end yet."""

    worker: WorkerEstimate
    cost: float  # in mean jobs
    sent_at: int
    ahead: float  # jobs that were expected there


@dataclass(slots=True, eq=False)
class WorkerEstimate:
    """One worker."""

    record: WorkerRecord
    rate: float  # mean jobs a microsecond, all that run together
    silent: bool = False
    counts: Worker = field(default_factory=lambda: Worker(WorkerEntry(0), 1.0))
    run: Mean = field(default_factory=Mean)
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)  # tokens by part, longest unused first
    cached_tokens: int = 0
    own: int = 0  # unfinished sends
    shut_until: int = 0
    backoff: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether it is listed as ready."""
        return self.record.state is WorkerState.READY

    def expected(self, now: int) -> float:
        """E[N] in mean jobs."""
        self.counts.most = max(float(self.record.capacity), 1.0)
        self.counts.crowd = self.counts.usual.value / self.rate if self.rate else 0.0
        return expected_jobs(self.counts, now, self.rate)

    def delay(self, cost: float, now: int) -> float:
        """(E[N] + cost) / mu, in microseconds."""
        return (self.expected(now) + cost) / self.rate

    def sent(self, cost: float, now: int) -> Send:
        """An own send is on its way."""
        send = Send(self, cost, now, self.expected(now))
        self.counts.load += cost
        self.own += 1
        return send

    def ended(self, send: Send) -> None:
        """It has its end."""
        self.own -= 1
        self.counts.load = max(self.counts.load - send.cost, 0.0) if self.own else 0.0

    def served(self, elapsed: int, cost: float, slots: float) -> None:
        """A send that was served took so long: a sample of the rate, where `slots` jobs run at once."""
        sample = slots * max(cost, 0.05) / max(elapsed, 1)
        self.run.add(sample, RATE_MEMORY)
        self.rate = self.run.beside(self.rate, 1.0)

    def reported(self, held: int, now: int) -> None:
        """The worker has said how many requests it holds, all senders together."""
        self.counts.others = max(held - self.own, 0)
        self.counts.counted_at = now
        self.counts.usual.add(self.counts.others, LEVEL_MEMORY)

    def failed(self, now: int) -> None:
        """It could not be reached."""
        self.backoff = min(max(2 * self.backoff, FIRST_BACKOFF), LAST_BACKOFF)
        self.shut_until = now + self.backoff

    def answered(self) -> None:
        """It lives."""
        self.backoff = self.shut_until = 0

    def remember(self, parts: Iterable[Part], capacity: int) -> None:
        """It has read these parts, and keeps so many tokens."""
        for part in parts:
            if part.id not in self.cached:
                self.cached_tokens += part.tokens
            self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        while self.cached_tokens > capacity and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

    def holds(self, parts: Iterable[Part]) -> int:
        """Tokens of the leading parts that it is believed to keep."""
        total = 0
        for part in parts:
            if part.id not in self.cached:
                break
            total += part.tokens
        return total
