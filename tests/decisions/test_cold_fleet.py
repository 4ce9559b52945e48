"""Slow start: the jobs that a whole fleet sends to a warming-up backend stay within its budget."""

from __future__ import annotations

import heapq
import random
from collections import deque
from math import sqrt

import pytest

from hazelbend.decisions import interface
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
SLOTS, RUN = 4, 200_000  # of a warm backend: jobs at once, and microseconds per job
WARM = 8  # number of warm backends
NEW_BACKEND = WARM + 1  # identifier of the warming-up backend
START = 10 * SECOND  # simulated time at which the warming-up backend starts
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
    """A FIFO queue before SLOTS servers, which are slower while the backend warms up."""

    def __init__(self) -> None:
        self.free_at = [0] * SLOTS
        self.in_flight = 0

    def run(self, now: int, capacity_fraction: float) -> tuple[int, int]:
        """Return when a job that arrives now starts and ends."""
        free_at = heapq.heappop(self.free_at)
        start = max(now, free_at)
        end = start + round(RUN / capacity_fraction)
        heapq.heappush(self.free_at, end)
        return start, end

    def report(self) -> LoadReport:
        queued = max(self.in_flight - SLOTS, 0)
        return LoadReport(float(self.in_flight), float(queued), float(max(SLOTS - self.in_flight, 0)))


class Fleet:
    """Simulates dispatchers that share only their backends, on one clock."""

    def __init__(self, size: int, reports: bool, load: float, seed: int) -> None:
        self.settings, self.rng = settings(size, reports), random.Random(seed)
        self.dispatchers = [Dispatcher(self.settings, seed * 1_000 + index) for index in range(size)]
        self.backends = {number: Backend() for number in range(1, NEW_BACKEND + 1)}
        self.events: list[tuple[int, int, int, object]] = []
        self.counter = 0
        self.warmup_sends: list[int] = []
        gap = size / (load * WARM * SLOTS / RUN)
        entries = tuple(WorkerEntry(number) for number in range(1, NEW_BACKEND))
        for index in range(size):
            self.schedule(0, index, interface.MembershipUpdate(ListKind.FULL, entries))
            started_entries = (WorkerEntry(NEW_BACKEND, started_at=START),)
            self.schedule(START, index, interface.MembershipUpdate(ListKind.DELTA, started_entries))
            at = 0.0
            while (at := at + self.rng.expovariate(1 / gap)) < END:
                self.schedule(round(at), index, interface.RequestArrived(self.next_id(), 5 * SECOND))

    def next_id(self) -> int:
        self.counter += 1
        return self.counter

    def schedule(self, time: int, dispatcher: int, event: object) -> None:
        heapq.heappush(self.events, (time, self.next_id(), dispatcher, event))

    def simulate(self) -> None:
        attempts: dict[tuple[int, int], int] = {}
        while self.events and self.events[0][0] < END:
            now, _, number, event = heapq.heappop(self.events)
            if isinstance(event, interface.AttemptEnded):
                backend = self.backends[event.worker]
                backend.in_flight -= 1
                if self.settings.reports_inline:
                    event = interface.AttemptEnded(
                        event.request, event.worker, event.attempt, Outcome.SERVED, True, 0, backend.report()
                    )
            for action in self.dispatchers[number].handle(event, now):  # type: ignore[arg-type]
                if isinstance(action, interface.StartTimer):
                    self.schedule(now + max(action.delay, 1), number, interface.TimerFired(action.token))
                elif isinstance(action, interface.Send):
                    attempt = attempts.get((number, action.request), -1) + 1
                    attempts[number, action.request] = attempt
                    self.send(now, number, action, attempt)

    def send(self, now: int, number: int, action: interface.Send, attempt: int) -> None:
        backend, started_at = self.backends[action.worker], START if action.worker == NEW_BACKEND else 0
        if started_at:
            self.warmup_sends.append(now)
        backend.in_flight += 1
        start, end = backend.run(now, self.settings.capacity_fraction(started_at, now))
        self.schedule(start, number, interface.JobStarted(action.request, action.worker, attempt))
        self.schedule(
            end,
            number,
            interface.AttemptEnded(action.request, action.worker, attempt, Outcome.SERVED, True, end - now),
        )


@pytest.mark.parametrize("reports", [True, False], ids=["reports", "no reports"])
@pytest.mark.parametrize("fleet", [8, 20, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fleet_stays_within_slow_start_budget_of_started_backend(fleet, reports, seed):
    """Guards against dispatchers that index send a harmless number of jobs which together exceed the budget.

    The operators' requirement tolerates 2 * sqrt(N) + 2 jobs beyond the budget of N in a window as chance.
    """
    site = Fleet(fleet, reports, load=1.3, seed=seed)
    site.simulate()
    window: deque[int] = deque()
    for at in site.warmup_sends:
        window.append(at)
        while window[0] <= at - site.settings.collapse_window:
            window.popleft()
        budget = (
            site.settings.collapse_multiple
            * site.settings.capacity_fraction(START, at)
            * SLOTS
            / RUN
            * site.settings.collapse_window
        )
        assert len(window) <= budget + 2 * sqrt(budget) + 2, f"at {(at - START) / SECOND:.2f} s"
    assert len(site.warmup_sends) > 20, "the warming-up backend gets jobs"
