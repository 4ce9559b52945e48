"""Fleets without load reports: each dispatcher sees only its own jobs, a small part of all."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from hazelbend.decisions import interface
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.fleet_plan import FleetPlan, work_shares
from hazelbend.decisions.worker import Worker

SLOTS, RUN = 4, 200_000  # slots of each worker, and microseconds of a mean job
SAFE = interface.JobClass(idempotency=interface.Idempotency.SAFE, objective=600_000)


@dataclass
class FleetSimulation:
    """Simulates a fleet of dispatchers, and workers with FIFO queues that report only job starts."""

    dispatchers: int
    worker_count: int
    seed: int
    sends: Counter[int] = field(default_factory=Counter)
    waits: list[int] = field(default_factory=list)
    refused: int = 0
    request_count: int = 0
    started: dict[int, int] = field(default_factory=dict)  # start time of each warming-up worker
    warmup_arrivals: dict[int, list[int]] = field(
        default_factory=dict
    )  # arrival times of jobs at each warming-up worker
    now: int = 10_000_000

    def __post_init__(self) -> None:
        settings = self.settings = interface.Settings(
            fleet_size=self.dispatchers,
            classes=(SAFE,),
            reports_job_starts=True,
            collapse_multiple=3.0,
            initial_capacity=0.2,
            warmup_duration=15_000_000,
        )
        self.rng = random.Random(self.seed)
        self.fleet = [Dispatcher(settings, self.seed * 1000 + number) for number in range(self.dispatchers)]
        self.free = {number: [0] * SLOTS for number in range(1, self.worker_count + 1)}
        self.pending_events: list[tuple[int, int, int, interface.Event]] = []
        entries = tuple(interface.WorkerEntry(number) for number in self.free)
        for number in range(self.dispatchers):
            self.handle(number, interface.MembershipUpdate(interface.ListKind.CACHED, entries), self.now)

    def handle(self, number: int, event: interface.Event, at: int) -> None:
        for action in self.fleet[number].handle(event, at):
            if isinstance(action, interface.StartTimer):
                self.schedule(at + action.delay, number, interface.TimerFired(action.token))
            elif isinstance(action, interface.Send):
                self.run(number, action, at)
            elif isinstance(action, interface.Refuse):
                self.refused += 1

    def remove_workers(self, worker_count: int) -> None:
        """Remove this many workers from the membership list."""
        for _ in range(worker_count):
            self.free.popitem()
        self.worker_count -= worker_count
        self.send_worker_list()

    def replace(self, worker_count: int) -> None:
        """Replace this many workers by new ones, which are warming up."""
        for _ in range(worker_count):
            self.free.pop(next(iter(self.free)))
            new = 1_000 + len(self.started)
            self.free[new], self.started[new], self.warmup_arrivals[new] = [self.now] * SLOTS, self.now, []
        self.send_worker_list()

    def send_worker_list(self) -> None:
        entries = tuple(
            interface.WorkerEntry(number, started_at=self.started.get(number, 0)) for number in self.free
        )
        for number in range(self.dispatchers):
            self.handle(number, interface.MembershipUpdate(interface.ListKind.FULL, entries), self.now)

    def schedule(self, at: int, number: int, event: interface.Event) -> None:
        heapq.heappush(self.pending_events, (at, self.rng.getrandbits(60), number, event))

    def run(self, number: int, send: interface.Send, at: int) -> None:
        slots, started_at = self.free[send.worker], self.started.get(send.worker, 0)
        if started_at:
            self.warmup_arrivals[send.worker].append(at)
        starts = max(at, heapq.heappop(slots))
        ends = starts + round(
            self.rng.expovariate(1 / RUN) / self.settings.capacity_fraction(started_at, starts)
        )
        heapq.heappush(slots, ends)
        self.sends[send.worker] += 1
        self.waits.append(starts - at)
        served = interface.AttemptEnded(send.request, send.worker, 0, interface.Outcome.SERVED, True)
        self.schedule(starts, number, interface.JobStarted(send.request, send.worker, 0))
        self.schedule(ends, number, served)

    def simulate(self, jobs: int, load: float, keys: int = 0) -> None:
        """Send this many jobs at this utilization of all slots; keys are drawn by Zipf's law."""
        weights = [1 / place for place in range(1, keys + 1)]
        for _ in range(jobs):
            self.request_count += 1
            self.now += round(self.rng.expovariate(load * self.worker_count * SLOTS / RUN))
            while self.pending_events and self.pending_events[0][0] <= self.now:
                at, _, number, event = heapq.heappop(self.pending_events)
                self.handle(number, event, at)
            key = self.rng.choices(range(1, keys + 1), weights)[0] if keys else 0
            event = interface.RequestArrived(self.request_count, 5_000_000, key=key)
            self.handle(self.rng.randrange(self.dispatchers), event, self.now)


@pytest.mark.parametrize("seed", range(3))
def test_popular_key_does_not_overload_its_first_worker(seed):
    """Guards a fleet in which each dispatcher sees one job in 30.

    By its own jobs, each found the first worker in a key's order idle, and one worker got 1.4 to 1.7 times
    its share while others were idle.
    """
    simulation = FleetSimulation(dispatchers=30, worker_count=12, seed=seed)
    simulation.simulate(4_000, load=0.5, keys=40)
    late_fraction = sum(wait > RUN for wait in simulation.waits[1_000:]) / 3_000
    assert max(simulation.sends.values()) < 1.3 * 4_000 / 12
    assert late_fraction < 0.03


@pytest.mark.parametrize("seed", range(2))
def test_large_fleet_does_not_follow_key_order_in_step(seed):
    """Guards 120 dispatchers that each see one job in 120.

    All sent their n-th job of a popular key to its n-th worker, and 18 to 24 % of the jobs waited for longer
    than a run. Therefore workers are drawn at random where own jobs give no information.
    """
    simulation = FleetSimulation(dispatchers=120, worker_count=40, seed=seed)
    simulation.simulate(4_000, load=0.6, keys=150)
    late_fraction = sum(wait > RUN for wait in simulation.waits[1_000:]) / 3_000
    assert late_fraction < 0.1


def test_plan_limits_each_worker_to_its_share():
    """A key that would fill every worker, and keys that nearly fill a worker: no share is negative."""
    plan, settings = FleetPlan(), interface.Settings()
    workers = [Worker(interface.WorkerEntry(number), 1.0, rate=1.0) for number in range(1, 6)]
    for _ in range(40):
        plan.count_job(7)
    for key in [8] * 5 + [9] * 5 + [10]:
        plan.count_job(key)
    plan.update(workers, settings, 0)
    for worker, share in zip(workers, plan.weights(7, workers), strict=True):
        assert 0.0 <= share <= 0.2 + 1e-9, f"more than the share of worker {worker.entry.worker}"
    popular = [
        sum(parts[worker] for parts in plan.popular_shares.values() if worker in parts) for worker in workers
    ]
    both = [one + plan.other_shares[worker] for one, worker in zip(popular, workers, strict=True)]
    assert both == pytest.approx([0.2] * 5)
    assert sum(plan.weights(7, workers)) == pytest.approx(39 / 51)
    assert any(plan.weights(10, workers)), "a key that was seen once gets the remaining shares"
    assert plan.weights(7, workers[:1]) != [0.0], "if none of the key's workers may be used, any other one is"


def test_key_counts_are_bounded_and_fade():
    plan = FleetPlan()
    for key in range(5_000):
        plan.count_job(key)
        plan.count_job(1)
    assert len(plan.key_counts) <= 1_024
    assert plan.key_counts[1] / plan.job_count == pytest.approx(0.5, abs=0.2)


@pytest.mark.parametrize("seed", range(2))
def test_fleet_with_lost_workers_rejects_excess_load_and_serves_the_rest_in_time(seed):
    """Guards the time after the loss of a zone.

    No dispatcher knew how long jobs wait, so all jobs were admitted, queues grew to seconds, and every answer
    was late to the end of the run. Here half of the workers are lost, for a load of 1.3.
    """
    simulation = FleetSimulation(dispatchers=60, worker_count=20, seed=seed)
    simulation.simulate(1_500, load=0.65)
    simulation.remove_workers(10)
    simulation.simulate(3_000, load=1.3)
    before, refused = len(simulation.waits), simulation.refused
    simulation.simulate(3_000, load=1.3)
    late_fraction = sum(wait > 600_000 for wait in simulation.waits[before:]) / 3_000
    refused = (simulation.refused - refused) / 3_000
    assert late_fraction < 0.12, "admitted jobs are served in time"
    assert 0.2 < refused < 0.45, "hardly more is rejected than exceeds the capacity: 0.23"
    simulation.simulate(2_000, load=0.4)
    refused = simulation.refused
    simulation.simulate(2_000, load=0.4)
    assert simulation.refused - refused < 20, "free capacity is used again"


@pytest.mark.parametrize("seed", range(2))
def test_fleet_uses_replaced_workers_within_their_warmup_budget(seed):
    """Guards a release that replaces workers.

    Each dispatcher won the draw for a warming-up worker once in 200 windows, and selected it once in a
    hundred requests, so that 76 new workers of 130 got almost no jobs to the end of the run. Here six in ten
    workers are replaced.
    """
    simulation = FleetSimulation(dispatchers=60, worker_count=20, seed=seed)
    simulation.simulate(1_000, load=0.5)
    simulation.replace(12)
    replaced_at = simulation.now
    simulation.simulate(2_500, load=0.5)
    first = sum(at < replaced_at + 4_000_000 for times in simulation.warmup_arrivals.values() for at in times)
    capacity_share = (
        12 * 0.3 / (8 + 12 * 0.3)
    )  # fraction of all capacity in those seconds, where the new workers have about 0.3 of theirs
    sent = 4_000_000 * 0.5 * simulation.worker_count * SLOTS / RUN
    assert 0.5 * capacity_share < first / sent < 1.3 * capacity_share
    for server, times in simulation.warmup_arrivals.items():
        for at in times:
            capacity_fraction = simulation.settings.capacity_fraction(simulation.started[server], at)
            allowed = 3.0 * capacity_fraction * SLOTS / RUN * simulation.settings.collapse_window
            inside = sum(at - simulation.settings.collapse_window < other <= at for other in times)
            assert inside <= allowed + 3 * allowed**0.5 + 3, "the worker would collapse"


def test_suspicion_timeout_is_at_least_three_run_times():
    """Guards workers with several slots.

    Their expected delay was a fraction of a run time, so in a fleet with waits of half a second workers
    counted as unresponsive, and the longest waits were not counted in the queueing delay.
    """
    settings = interface.Settings(fleet_size=200, classes=(SAFE,), reports_job_starts=True)
    dispatcher, now = Dispatcher(settings, 1), 10_000_000
    entries = tuple(interface.WorkerEntry(number, weight=6.0) for number in range(1, 5))
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.CACHED, entries), now)
    dispatcher.handle(interface.TimerFired(0), now)
    dispatcher.handle(interface.RequestArrived(1, 10_000_000), now)
    [attempt] = dispatcher.requests[1].attempts
    run = dispatcher.load_model.run_times[0].value
    assert attempt.worker.concurrency > 3, "several jobs run at once, by the listed weight"
    assert attempt.suspicion_timeout >= 3 * run
    dispatcher.handle(interface.TimerFired(0), now + round(2 * run))
    assert not attempt.worker.backoff


def test_warming_up_workers_get_only_a_safe_share_of_the_work():
    """Guards a zone in which all workers have restarted: all waiting jobs would arrive within a second."""
    settings = interface.Settings(collapse_multiple=2.0, initial_capacity=0.1, warmup_duration=10_000_000)
    now = 100_000_000
    warming = [Worker(interface.WorkerEntry(number, started_at=now), 1.0, rate=1.0) for number in range(1, 5)]
    warm = [Worker(interface.WorkerEntry(number), 1.0, rate=2.0) for number in range(5, 7)]
    assert sum(work_shares(warming, settings, now).values()) == pytest.approx(0.1 * 2.0 * 0.6)
    both = work_shares(warming + warm, settings, now)
    assert sum(both.values()) == pytest.approx(1.0)
    assert both[warming[0]] == pytest.approx(0.1 * 2.0 * 0.6 / 8), (
        "its share as if all were warm, times the safe multiple"
    )
    assert work_shares(warming, settings, now + 10_000_000) == dict.fromkeys(warming, 0.25)
    plan = FleetPlan()
    plan.update(warming, settings, now)
    assert plan.unassigned == pytest.approx(0.88)
    plan.update([], settings, now)
    assert plan.unassigned == 0.0, "without workers no share is unassigned"


def test_recently_sent_job_does_not_indicate_a_queue():
    """Guards a dispatcher with few jobs: one own job in flight and no recent start does not mean a queue."""
    simulation = FleetSimulation(dispatchers=200, worker_count=20, seed=1)
    simulation.simulate(3_000, load=0.2)
    assert simulation.refused < 5


def test_single_dispatcher_has_no_background_load():
    simulation = FleetSimulation(dispatchers=1, worker_count=4, seed=1)
    simulation.simulate(200, load=0.5)
    assert all(worker.background_load == 0 for worker in simulation.fleet[0].workers.values())


@pytest.mark.parametrize("reporting", [{"reports_inline": True}, {"weights_fall_with_load": True}])
def test_settings_without_load_reports_are_recognized(reporting):
    assert interface.Settings(fleet_size=200, **reporting).lacks_load_reports is False
    assert (
        interface.Settings(fleet_size=200, reports_by_probe=True, probes_allowed=True).lacks_load_reports
        is False
    )
    assert interface.Settings(fleet_size=200, reports_by_probe=True).lacks_load_reports is True, (
        "reports come on probes only, and no probe is allowed"
    )
