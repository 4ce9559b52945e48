"""Fleets whose servers tell nobody what they hold: each dispatcher sees its own jobs, one in many."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from hazelbend.decisions import interface as dy
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.fleet_plan import FleetPlan, work_shares
from hazelbend.decisions.worker import Worker

SLOTS, RUN = 4, 200_000  # of each server; microseconds of a mean job
SAFE = dy.JobClass(idempotency=dy.Idempotency.SAFE, objective=600_000)


@dataclass
class Site:
    """Servers that run what they are sent in order and say no word of it, and a fleet before them."""

    dispatchers: int
    servers: int
    seed: int
    sends: Counter[int] = field(default_factory=Counter)
    waits: list[int] = field(default_factory=list)
    refused: int = 0
    asked: int = 0
    started: dict[int, int] = field(default_factory=dict)  # when a server came that was cold
    came: dict[int, list[int]] = field(default_factory=dict)  # when jobs came to such a one
    now: int = 10_000_000

    def __post_init__(self) -> None:
        settings = self.settings = dy.Settings(
            fleet_size=self.dispatchers,
            classes=(SAFE,),
            reports_job_starts=True,
            collapse_multiple=3.0,
            initial_capacity=0.2,
            warmup_duration=15_000_000,
        )
        self.chance = random.Random(self.seed)
        self.fleet = [Dispatcher(settings, self.seed * 1000 + each) for each in range(self.dispatchers)]
        self.free = {each: [0] * SLOTS for each in range(1, self.servers + 1)}
        self.later: list[tuple[int, int, int, dy.Event]] = []
        entries = tuple(dy.WorkerEntry(each) for each in self.free)
        for number in range(self.dispatchers):
            self.tell(number, dy.MembershipUpdate(dy.ListKind.CACHED, entries), self.now)

    def tell(self, number: int, event: dy.Event, at: int) -> None:
        for action in self.fleet[number].handle(event, at):
            if isinstance(action, dy.StartTimer):
                self.put(at + action.delay, number, dy.TimerFired(action.token))
            elif isinstance(action, dy.Send):
                self.run(number, action, at)
            elif isinstance(action, dy.Refuse):
                self.refused += 1

    def lose(self, servers: int) -> None:
        """So many are taken off the list."""
        for _ in range(servers):
            self.free.popitem()
        self.servers -= servers
        self.list_servers()

    def replace(self, servers: int) -> None:
        """Others take the place of so many, and are cold."""
        for _ in range(servers):
            self.free.pop(next(iter(self.free)))
            new = 1_000 + len(self.started)
            self.free[new], self.started[new], self.came[new] = [self.now] * SLOTS, self.now, []
        self.list_servers()

    def list_servers(self) -> None:
        left = tuple(dy.WorkerEntry(each, started_at=self.started.get(each, 0)) for each in self.free)
        for number in range(self.dispatchers):
            self.tell(number, dy.MembershipUpdate(dy.ListKind.FULL, left), self.now)

    def put(self, at: int, number: int, event: dy.Event) -> None:
        heapq.heappush(self.later, (at, self.chance.getrandbits(60), number, event))

    def run(self, number: int, send: dy.Send, at: int) -> None:
        slots, began = self.free[send.worker], self.started.get(send.worker, 0)
        if began:
            self.came[send.worker].append(at)
        starts = max(at, heapq.heappop(slots))
        ends = starts + round(
            self.chance.expovariate(1 / RUN) / self.settings.capacity_fraction(began, starts)
        )
        heapq.heappush(slots, ends)
        self.sends[send.worker] += 1
        self.waits.append(starts - at)
        served = dy.AttemptEnded(send.request, send.worker, 0, dy.Outcome.SERVED, True)
        self.put(starts, number, dy.JobStarted(send.request, send.worker, 0))
        self.put(ends, number, served)

    def play(self, jobs: int, load: float, keys: int = 0) -> None:
        """So many jobs at this utilization of all slots; keys are asked for as by Zipf's law."""
        weights = [1 / place for place in range(1, keys + 1)]
        for _ in range(jobs):
            self.asked += 1
            self.now += round(self.chance.expovariate(load * self.servers * SLOTS / RUN))
            while self.later and self.later[0][0] <= self.now:
                at, _, number, event = heapq.heappop(self.later)
                self.tell(number, event, at)
            key = self.chance.choices(range(1, keys + 1), weights)[0] if keys else 0
            event = dy.RequestArrived(self.asked, 5_000_000, key=key)
            self.tell(self.chance.randrange(self.dispatchers), event, self.now)


@pytest.mark.parametrize("seed", range(3))
def test_a_popular_keys_server_is_not_filled_by_all_at_once(seed):
    """Guards a fleet in which each sees one job in 30: by its own jobs each found the first server in a key's
    order idle, and one server got 1.4 to 1.7 times its part while others stood idle."""
    site = Site(dispatchers=30, servers=12, seed=seed)
    site.play(4_000, load=0.5, keys=40)
    late = sum(wait > RUN for wait in site.waits[1_000:]) / 3_000
    assert max(site.sends.values()) < 1.3 * 4_000 / 12
    assert late < 0.03


@pytest.mark.parametrize("seed", range(2))
def test_a_large_fleet_does_not_walk_a_keys_order_in_step(seed):
    """Guards 120 dispatchers that see one job in 120: with their n-th job about a popular key all were at its
    n-th server, and 18 to 24 in 100 jobs waited for longer than a run. What own jobs cannot tell is drawn."""
    site = Site(dispatchers=120, servers=40, seed=seed)
    site.play(4_000, load=0.6, keys=150)
    late = sum(wait > RUN for wait in site.waits[1_000:]) / 3_000
    assert late < 0.1


def test_what_no_server_has_room_for_is_left_out_of_the_plan():
    """A key that would fill every server, and keys that leave too little of a server: no part is below 0."""
    plan, settings = FleetPlan(), dy.Settings()
    workers = [Worker(dy.WorkerEntry(each), 1.0, rate=1.0) for each in range(1, 6)]
    for _ in range(40):
        plan.count_job(7)
    for key in [8] * 5 + [9] * 5 + [10]:
        plan.count_job(key)
    plan.update(workers, settings, 0)
    for worker, part in zip(workers, plan.weights(7, workers), strict=True):
        assert 0.0 <= part <= 0.2 + 1e-9, f"more than its part of the work: {worker.entry.worker}"
    given = [
        sum(parts[worker] for parts in plan.popular_shares.values() if worker in parts) for worker in workers
    ]
    both = [one + plan.other_shares[worker] for one, worker in zip(given, workers, strict=True)]
    assert both == pytest.approx([0.2] * 5)
    assert sum(plan.weights(7, workers)) == pytest.approx(39 / 51)
    assert any(plan.weights(10, workers)), "a key that came once goes to what is left"
    assert plan.weights(7, workers[:1]) != [0.0], "where none of its servers may be used, to any"


def test_of_what_was_asked_long_ago_little_is_remembered():
    plan = FleetPlan()
    for key in range(5_000):
        plan.count_job(key)
        plan.count_job(1)
    assert len(plan.key_counts) <= 1_024
    assert plan.key_counts[1] / plan.job_count == pytest.approx(0.5, abs=0.2)


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_that_has_lost_servers_serves_what_it_can_in_time(seed):
    """Guards the day after a lost zone: nobody knew how long jobs wait, so all were let in, queues grew to
    seconds, and all that was served was late, to the end of the day. Half of the servers go: load 1.3."""
    site = Site(dispatchers=60, servers=20, seed=seed)
    site.play(1_500, load=0.65)
    site.lose(10)
    site.play(3_000, load=1.3)
    before, refused = len(site.waits), site.refused
    site.play(3_000, load=1.3)
    late = sum(wait > 600_000 for wait in site.waits[before:]) / 3_000
    refused = (site.refused - refused) / 3_000
    assert late < 0.12, "what is let in is in time"
    assert 0.2 < refused < 0.45, "and hardly more is refused than there is no room for: 0.23"
    site.play(2_000, load=0.4)
    refused = site.refused
    site.play(2_000, load=0.4)
    assert site.refused - refused < 20, "when there is room again, it is used"


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_uses_servers_that_have_just_come_and_pushes_none_over(seed):
    """Guards a release: each had a lot in 200 for a cold server, and drew it once in a hundred picks
    besides, so that 76 new servers of 130 got next to nothing to the end of the day. Six in ten go."""
    site = Site(dispatchers=60, servers=20, seed=seed)
    site.play(1_000, load=0.5)
    site.replace(12)
    begun = site.now
    site.play(2_500, load=0.5)
    first = sum(each < begun + 4_000_000 for times in site.came.values() for each in times)
    part = 12 * 0.3 / (8 + 12 * 0.3)  # of all that can be done in those seconds, with a warmth of 0.3 or so
    sent = 4_000_000 * 0.5 * site.servers * SLOTS / RUN
    assert 0.5 * part < first / sent < 1.3 * part
    for server, times in site.came.items():
        for at in times:
            capacity_fraction = site.settings.capacity_fraction(site.started[server], at)
            allowed = 3.0 * capacity_fraction * SLOTS / RUN * site.settings.collapse_window
            inside = sum(at - site.settings.collapse_window < each <= at for each in times)
            assert inside <= allowed + 3 * allowed**0.5 + 3, "it falls over"


def test_jobs_that_wait_for_less_than_some_runs_are_no_sign_of_silence():
    """Guards servers of several slots: the expected delay was a part of a run there, so that in a fleet that
    waits for half a second servers counted as silent, and waits that were longest were not counted."""
    settings = dy.Settings(fleet_size=200, classes=(SAFE,), reports_job_starts=True)
    dispatcher, now = Dispatcher(settings, 1), 10_000_000
    entries = tuple(dy.WorkerEntry(each, weight=6.0) for each in range(1, 5))
    dispatcher.handle(dy.MembershipUpdate(dy.ListKind.CACHED, entries), now)
    dispatcher.handle(dy.TimerFired(0), now)
    dispatcher.handle(dy.RequestArrived(1, 10_000_000), now)
    [attempt] = dispatcher.requests[1].attempts
    run = dispatcher.load_model.run_times[0].value
    assert attempt.worker.concurrency > 3, "several jobs at once, by its listed size"
    assert attempt.silence_limit >= 3 * run
    dispatcher.handle(dy.TimerFired(0), now + round(2 * run))
    assert not attempt.worker.backoff


def test_where_none_is_warm_some_work_is_for_nobody():
    """Guards a zone that returns cold as a whole: all that waited for it would come in one second."""
    settings = dy.Settings(collapse_multiple=2.0, initial_capacity=0.1, warmup_duration=10_000_000)
    now = 100_000_000
    cold = [Worker(dy.WorkerEntry(each, started_at=now), 1.0, rate=1.0) for each in range(1, 5)]
    warm = [Worker(dy.WorkerEntry(each), 1.0, rate=2.0) for each in range(5, 7)]
    assert sum(work_shares(cold, settings, now).values()) == pytest.approx(0.1 * 2.0 * 0.6)
    both = work_shares(cold + warm, settings, now)
    assert sum(both.values()) == pytest.approx(1.0)
    assert both[cold[0]] == pytest.approx(0.1 * 2.0 * 0.6 / 8), (
        "its part as if all were warm, times what is safe"
    )
    assert work_shares(cold, settings, now + 10_000_000) == dict.fromkeys(cold, 0.25)
    plan = FleetPlan()
    plan.update(cold, settings, now)
    assert plan.unassigned == pytest.approx(0.88)
    plan.update([], settings, now)
    assert plan.unassigned == 0.0, "with no server at all nothing is drawn"


def test_a_job_that_was_just_sent_tells_of_no_wait():
    """Guards the small part of a fleet: one own job out, and no start in the last seconds, is no queue."""
    site = Site(dispatchers=200, servers=20, seed=1)
    site.play(3_000, load=0.2)
    assert site.refused < 5


def test_one_that_is_alone_has_nobody_to_count():
    site = Site(dispatchers=1, servers=4, seed=1)
    site.play(200, load=0.5)
    assert all(worker.background_load == 0 for worker in site.fleet[0].workers.values())


@pytest.mark.parametrize("told", [{"reports_inline": True}, {"weights_fall_with_load": True}])
def test_where_servers_tell_nothing_is_taken_from_own_sends(told):
    assert dy.Settings(fleet_size=200, **told).lacks_load_reports is False
    assert dy.Settings(fleet_size=200, reports_by_probe=True, probes_allowed=True).lacks_load_reports is False
    assert dy.Settings(fleet_size=200, reports_by_probe=True).lacks_load_reports is True, (
        "reports that may not be asked for"
    )
