"""A whole fleet before a backend that has just started: what all send it together stays within its budget."""

from __future__ import annotations

import heapq
import random
from collections import deque
from math import sqrt

import pytest

from hazelbend.decisions import interface as face
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import (
    Idempotency,
    JobClass,
    ListKind,
    LoadReport,
    Outcome,
    Settings,
    WorkerEntry,
)

SECOND = 1_000_000
SLOTS, RUN = 4, 200_000  # of a warm backend: so many jobs at once, each so long
WARM = 8  # backends beside the cold one
COLD = WARM + 1
START = 10 * SECOND  # when that one starts, into the play
END = 20 * SECOND


def settings(fleet: int, reports: bool) -> Settings:
    return Settings(
        fleet_size=fleet,
        classes=(JobClass(idempotency=Idempotency.SAFE, objective=600_000),),
        reports_inline=reports,
        reports_job_starts=True,
        collapse_multiple=2.5,
        collapse_window=SECOND,
        initial_capacity=0.3,
        warmup_duration=8 * SECOND,
        max_attempts=3,
    )


class Backend:
    """Slots and a queue in order; a cold one has less of them."""

    def __init__(self) -> None:
        self.free_at = [0] * SLOTS
        self.out = 0

    def run(self, now: int, capacity_fraction: float) -> tuple[int, int]:
        """When a job that comes now starts and ends."""
        at = heapq.heappop(self.free_at)
        start = max(now, at)
        end = start + round(RUN / capacity_fraction)
        heapq.heappush(self.free_at, end)
        return start, end

    def report(self) -> LoadReport:
        queued = max(self.out - SLOTS, 0)
        return LoadReport(float(self.out), float(queued), float(max(SLOTS - self.out, 0)))


class Fleet:
    """Dispatchers that share nothing but their backends, on one clock."""

    def __init__(self, size: int, reports: bool, load: float, seed: int) -> None:
        self.rules, self.chance = settings(size, reports), random.Random(seed)
        self.dispatchers = [Dispatcher(self.rules, seed * 1_000 + each) for each in range(size)]
        self.backends = {number: Backend() for number in range(1, COLD + 1)}
        self.events: list[tuple[int, int, int, object]] = []
        self.counter = 0
        self.sent_to_cold: list[int] = []
        gap = size / (load * WARM * SLOTS / RUN)
        entries = tuple(WorkerEntry(number) for number in range(1, COLD))
        for each in range(size):
            self.at(0, each, face.MembershipUpdate(ListKind.FULL, entries))
            cold = (WorkerEntry(COLD, started_at=START),)
            self.at(START, each, face.MembershipUpdate(ListKind.DELTA, cold))
            at = 0.0
            while (at := at + self.chance.expovariate(1 / gap)) < END:
                self.at(round(at), each, face.RequestArrived(self.next(), 5 * SECOND))

    def next(self) -> int:
        self.counter += 1
        return self.counter

    def at(self, time: int, dispatcher: int, event: object) -> None:
        heapq.heappush(self.events, (time, self.next(), dispatcher, event))

    def play(self) -> None:
        attempts: dict[tuple[int, int], int] = {}
        while self.events and self.events[0][0] < END:
            now, _, number, event = heapq.heappop(self.events)
            if isinstance(event, face.AttemptEnded):
                backend = self.backends[event.worker]
                backend.out -= 1
                if self.rules.reports_inline:
                    event = face.AttemptEnded(
                        event.request, event.worker, event.attempt, Outcome.SERVED, True, 0, backend.report()
                    )
            for action in self.dispatchers[number].handle(event, now):  # type: ignore[arg-type]
                if isinstance(action, face.StartTimer):
                    self.at(now + max(action.delay, 1), number, face.TimerFired(action.token))
                elif isinstance(action, face.Send):
                    attempt = attempts.get((number, action.request), -1) + 1
                    attempts[number, action.request] = attempt
                    self.send(now, number, action, attempt)

    def send(self, now: int, number: int, action: face.Send, attempt: int) -> None:
        backend, started = self.backends[action.worker], START if action.worker == COLD else 0
        if started:
            self.sent_to_cold.append(now)
        backend.out += 1
        start, end = backend.run(now, self.rules.capacity_fraction(started, now))
        self.at(start, number, face.JobStarted(action.request, action.worker, attempt))
        self.at(
            end,
            number,
            face.AttemptEnded(action.request, action.worker, attempt, Outcome.SERVED, True, end - now),
        )


@pytest.mark.parametrize("reports", [True, False], ids=["reports", "nobody reports"])
@pytest.mark.parametrize("fleet", [8, 20, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_together_keep_a_cold_backends_budget(fleet, reports, seed):
    """Guards the operators' term: beyond the budget of N jobs in the window 2 * sqrt(N) + 2 are put down to
    chance, also where twenty or thirty dispatchers each do what is harmless alone."""
    site = Fleet(fleet, reports, load=1.3, seed=seed)
    site.play()
    window: deque[int] = deque()
    for at in site.sent_to_cold:
        window.append(at)
        while window[0] <= at - site.rules.collapse_window:
            window.popleft()
        budget = (
            site.rules.collapse_multiple
            * site.rules.capacity_fraction(START, at)
            * SLOTS
            / RUN
            * site.rules.collapse_window
        )
        assert len(window) <= budget + 2 * sqrt(budget) + 2, f"at {(at - START) / SECOND:.2f} s"
    assert len(site.sent_to_cold) > 20, "it is used"
