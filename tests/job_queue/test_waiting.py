"""The engine of waiting jobs: tables, bounds, ageing, and each job's one end in any order of events."""

import itertools
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.job_queue.invariants import check_invariants
from hazelbend.job_queue.job import JobState
from hazelbend.job_queue.terms import (
    Bounds,
    Dependency,
    DependencyCondition,
    JobOutcome,
    JobRequest,
    JobTerms,
    Rejection,
    Release,
    TermsError,
)

MS = 1_000
WALL = 10**15
RAN = (
    JobOutcome.SERVED,
    JobOutcome.REFUSED,
    JobOutcome.FAILED,
    JobOutcome.CANCELLED,
    JobOutcome.CLIENT_DISCONNECTED,
)


class Run:
    """An engine, the time, and what became of each job; the invariants are evaluated after every event."""

    def __init__(self, checked=True, **bounds):
        self.engine, self.now, self.checked = JobQueueEngine(Bounds(**bounds)), 0, checked
        self.released, self.refused = [], {}
        self.answers = Counter()
        self.wall = WALL

    def took(self, effects):
        for each in effects:
            job = each.key[1]
            if isinstance(each, Release):
                assert job not in self.released
                self.released.append(job)
                self.results = dict(each.results)
            else:
                assert isinstance(each, Rejection)
                self.answers[job] += 1
                self.refused[job] = each
        if self.checked:
            check_invariants(self.engine)
        return self

    def submit(
        self, job, *after, at=None, wanted=0, deadline=10**9, cls=0, tenant=0, late=0.0, size=1, **more
    ):
        edges = tuple(each if isinstance(each, Dependency) else Dependency(each) for each in after)
        terms = JobTerms(edges, at, wanted, **more)
        request = JobRequest(("c", job), cls, tenant, self.now + deadline, size, terms, 0, late)
        return self.took(self.engine.submit(request, self.now, self.wall))

    def end(self, job, end=JobOutcome.SERVED, result=b""):
        self.answers[job] += 1
        return self.took(self.engine.ended(("c", job), end, result, self.now))

    def cancel(self, job, end=JobOutcome.CANCELLED):
        return self.took(self.engine.cancel(("c", job), end, self.now))

    def wait(self, by):
        self.now += by
        self.wall += by
        return self.took(self.engine.tick(self.now, self.wall))


# --- parents ---


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("end", RAN)
def test_what_a_parents_end_means_cell_by_cell(end, edge, before):
    """Whether the child comes before its parent's end or after it."""
    run = Run().submit("p")
    if before:
        run.submit("c", Dependency("p", edge))
    run.end("p", end)
    if not before:
        run.submit("c", Dependency("p", edge))
    if end is JobOutcome.SERVED or edge is DependencyCondition.ENDED:
        assert run.released == ["p", "c"] and not run.refused
    else:
        assert (
            run.released == ["p"] and "p" in run.refused["c"].reason and end.value in run.refused["c"].reason
        )


@pytest.mark.parametrize("edge", DependencyCondition)
def test_a_parent_that_never_comes(edge):
    run = Run(submission_timeout_us=50 * MS).submit("c", Dependency("p", edge)).wait(49 * MS)
    assert not run.refused
    run.wait(1 * MS)
    assert "never came" in run.refused["c"].reason and not run.engine.jobs


def test_a_parent_that_comes_later():
    run = (
        Run(submission_timeout_us=50 * MS).submit("c", "p").wait(40 * MS).submit("p").wait(100 * MS).end("p")
    )
    assert run.released == ["p", "c"]


@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("how", ["cancelled", "left", "expired", "refused for its own parent"])
def test_a_parent_that_ends_while_it_waits(how, edge):
    run = (
        Run(submission_timeout_us=50 * MS)
        .submit("p", "g", deadline=20 * MS)
        .submit("c", Dependency("p", edge))
    )
    match how:
        case "cancelled" | "left":
            run.cancel("p", JobOutcome.CANCELLED if how == "cancelled" else JobOutcome.CLIENT_DISCONNECTED)
        case "expired":
            run.wait(20 * MS)
        case _:
            run.submit("g").end("g", JobOutcome.FAILED)
    assert "p" in run.refused
    assert ("c" in run.refused) is (edge is DependencyCondition.SERVED) and ("c" in run.released) is (
        edge is DependencyCondition.ENDED
    )


def test_results_are_handed_on_within_their_bound():
    run = Run(result_bytes=5).submit("a").submit("b").submit("c", "a", "b", takes_results=True)
    run.end("a", result=b"1234").end("b", result=b"5678")
    assert run.released[-1] == "c" and run.results == {"a": b"1234"}
    run.submit("late", "a", takes_results=True)
    assert run.results == {"a": b"1234"}, "also to one that comes after its parent's end"


def test_what_cannot_be_is_told_and_changes_nothing():
    run = Run(parents=3, children=2, depth=3)
    run.submit("a", "b").submit("b", "x")
    for job, after, why in (
        ("s", ["s"], "itself"), ("x", ["a"], "waits for it"), ("a", [], "is open"),
        ("m", ["1", "2", "3", "4"], "at most 3"),
    ):  # fmt: skip
        before = set(run.engine.jobs)
        with pytest.raises(TermsError, match=why):
            run.submit(job, *after)
        assert set(run.engine.jobs) == before
    run.submit("k1", "x")
    with pytest.raises(TermsError, match="wait for 'x' already"):
        run.submit("k2", "x")
    run.submit("c1", "a")
    with pytest.raises(TermsError, match="chain"):
        run.submit("c2", "c1")
    with pytest.raises(TermsError, match="chain"):
        run.submit("x", "y")
    run.submit("x").end("x").end("b").end("a")
    assert run.released == ["x", "k1", "b", "a", "c1"] or set(run.released) == {"x", "k1", "b", "a", "c1"}


def test_a_diamond():
    run = Run().submit("top").submit("l", "top").submit("r", "top").submit("low", "l", "r")
    run.end("top").end("l")
    assert "low" not in run.released
    run.end("r")
    assert run.released == ["top", "l", "r", "low"]


@pytest.mark.parametrize("end", [JobOutcome.SERVED, JobOutcome.FAILED])
def test_a_chain_of_a_thousand(end):
    run = Run(checked=False, depth=1_000, by_client=2_000)
    run.submit("0")
    for number in range(1, 1_000):
        run.submit(str(number), str(number - 1))
    if end is JobOutcome.FAILED:
        run.end("0", end)
        assert len(run.refused) == 999
    else:
        for number in range(1_000):
            run.end(str(number))
        assert len(run.released) == 1_000
    assert set(run.answers.values()) == {1} and not run.engine.jobs


@pytest.mark.parametrize("end", [JobOutcome.SERVED, JobOutcome.FAILED])
def test_a_fan_of_ten_thousand(end):
    run = Run(checked=False, children=10_000, by_client=20_000, waiting=20_000)
    run.submit("p")
    for number in range(10_000):
        run.submit(str(number), "p")
    run.end("p", end)
    assert len(run.released if end is JobOutcome.SERVED else run.refused) == 10_000 + (
        end is JobOutcome.SERVED
    )


# --- the clock ---


def test_a_thousand_jobs_of_one_millisecond_and_one_of_the_past():
    run = Run(checked=False, by_client=2_000)
    for number in range(1_000):
        run.submit(str(number), at=WALL + 50 * MS)
    run.submit("past", at=WALL - 10**9).wait(49 * MS)
    assert run.released == ["past"]
    run.wait(1 * MS)
    assert run.released[1:] == [str(number) for number in range(1_000)]


def test_the_wall_clock_steps_and_deadlines_do_not():
    hour = 3_600 * 10**6
    run = Run().submit("six", at=WALL + hour, deadline=2 * hour).submit("soon", at=WALL + 10, deadline=hour)
    run.wall -= hour
    run.wait(10)
    assert not run.released, "it is not six yet, by the wall"
    run.wait(hour - 10)
    assert run.refused["soon"].end is JobOutcome.EXPIRED
    run.wall += hour
    run.wait(1)
    assert run.released == ["six"]


def test_when_to_look_again():
    run = Run(submission_timeout_us=90).submit("a", at=WALL + 50, deadline=1_000)
    assert run.engine.next_at(0, WALL) == 50
    run.submit("b", "never", deadline=1_000)
    assert run.engine.next_at(60, WALL + 60) <= 60
    run.wait(60)
    assert run.engine.next_at(60, WALL + 60) == 90


# --- admission and ageing ---


def test_the_end_of_a_late_job_may_queue_a_child_that_is_the_first_of_its_class():
    """Given one place that is taken, a job that can't start in time any more, and a child of another class
    that waits for its end, when its latest start passes, then it is refused and the child runs next."""
    run = Run(in_service=1).submit("long").submit("late", wanted=1_200 * MS)
    assert not run.refused
    run.submit("child", Dependency("late", DependencyCondition.ENDED), cls=1)
    run.wait(800 * MS)
    assert list(run.refused) == ["late"]
    run.end("long")
    assert run.released == ["long", "child"]


def test_places_go_to_the_latest_start_first_and_are_bounded_by_class():
    run = Run(in_service=2, by_class=((1, 1),), aged=0).submit("1").submit("2")
    run.submit("slow", wanted=9_000 * MS).submit("soon", wanted=5_000 * MS)
    run.submit("k1", cls=1, wanted=4_000 * MS).submit("k2", cls=1, wanted=4_100 * MS)
    run.end("1").end("2")
    assert run.released[2:] == ["k1", "soon"], "k2 is of a class that has its place"
    run.end("soon").end("k1")
    assert run.released[4:] == ["slow", "k2"] or run.released[4:] == ["k2", "slow"]


def test_one_that_would_be_late_is_refused_as_it_comes_with_an_honest_time():
    run = Run(in_service=2, aged=1)
    for job in "ab":
        run.submit(job)
    run.now = 100 * MS
    run.end("a").submit("a2")
    run.submit("q1", wanted=run.now + 10_000 * MS).submit("q2", wanted=run.now + 10_000 * MS)
    run.submit("tight", wanted=run.now + 150 * MS)
    assert run.refused["tight"].retry_after > 0 and run.refused["tight"].end is JobOutcome.REFUSED
    run.submit("late", wanted=run.now + 150 * MS, late=0.3)
    assert "late" not in run.refused, "a late answer of it earns something: it waits"


def test_a_child_is_wanted_by_its_classs_objective_from_when_it_is_ready():
    engine = JobQueueEngine(Bounds(in_service=1, aged=0))
    engine.admission.mean_run_us = {0: 10.0, 1: 10.0}
    for job, cls, objective, after in (("p", 0, 0, ()), ("c", 1, 50, (Dependency("p"),)), ("x", 0, 200, ())):
        engine.submit(JobRequest(("c", job), cls, 0, 10**9, 1, JobTerms(after), objective), 0, WALL)
    assert [each.key[1] for each in engine.ended(("c", "p"), JobOutcome.SERVED, b"", 100)] == ["c"], (
        "150, not 200"
    )


def test_a_tenants_excess_goes_behind():
    run = Run(in_service=4, shares=((0, 0.25),), aged=1).submit("x", tenant=0)
    for job in "abc":
        run.submit(job, tenant=1)
    run.submit("over1", tenant=0).submit("over2", tenant=0).submit("in", tenant=1)
    run.end("a").end("b")
    assert run.released[4:] == ["over1", "in"], "one aged place, the others are for what is within its share"


def test_full_queues_refuse_by_number_bytes_and_client():
    for bound, more in (("waiting", {}), ("by_client", {}), ("waiting_bytes", {"size": 10})):
        run = Run(**{bound: 25 if bound == "waiting_bytes" else 2})
        for job in "ab":
            run.submit(job, "never", **more)
        run.submit("c", "never", **more)
        assert "too many" in run.refused["c"].reason and run.refused["c"].retry_after > 0


def test_ageing_keeps_its_bound_beside_a_flood_and_pushes_nothing_past_its_wanted_time():
    """500 `station-detail` a second beside reserves that are late already: ten seconds of virtual time."""
    places, aged, run_ms = 20, 2, 30
    run = Run(checked=False, in_service=places, aged=aged, by_client=10**6, waiting=10**6)
    ends, wanted, late_waits, pushed = [], {}, [], 0
    run.engine.admission.mean_run_us = {0: run_ms * MS, 1: run_ms * MS}
    arrived, number = {}, 0

    def play(until):
        while ends and ends[0][0] <= until:
            at, job = ends.pop(0)
            run.now, run.wall = at, WALL + at
            run.end(job)
            started()
        run.wait(until - run.now)
        started()

    def started():
        nonlocal pushed
        while len(known) < len(run.released):
            job = run.released[len(known)]
            known.append(job)
            ends.append((run.now + run_ms * MS, job))
            if job.startswith("r"):
                late_waits.append(run.now - arrived[job])
            elif run.now + run_ms * MS > wanted[job]:
                pushed += 1

    known = []
    for step in range(0, 10_000, 2):
        play(step * MS)
        number += 1
        job = f"d{number}"
        wanted[job] = run.now + 300 * MS
        run.submit(job, wanted=wanted[job], deadline=1_000 * MS, cls=0)
        if step % 100 == 0:
            arrived[f"r{step}"] = run.now
            run.submit(f"r{step}", wanted=run.now + 1, deadline=60_000 * MS, cls=1, late=0.3)
        started()
    play(11_000 * MS)
    assert pushed == 0 and run.engine.totals.missed == 0 and len(late_waits) == 100
    assert max(late_waits) <= 100 / aged * run_ms * MS
    assert run.engine.totals.rejected[JobOutcome.REFUSED] < number / 10


def test_the_end_refuses_what_cannot_run_any_more():
    run = Run().submit("p").submit("c", "p").submit("never", "x").submit("far", at=WALL + 10**9)
    run.submit("near", at=WALL + 5).submit("below", "far")
    run.took(run.engine.reject_all("the dispatcher ends", run.now, WALL + 10))
    assert set(run.refused) == {"never", "far", "below"}
    run.end("p").wait(5)
    assert run.released == ["p", "c", "near"]


def test_at_the_very_end_nothing_is_released_and_each_has_its_answer():
    """Guards jobs that a refusal of others would have let in, when nobody runs them any more."""
    run = Run(in_service=1, checked=False).submit("a").submit("q1", wanted=10**8).submit("q2", wanted=10**8)
    run.submit("b", "q1").submit("e", Dependency("q1", DependencyCondition.ENDED))
    run.took(run.engine.reject_all("the end", run.now))
    assert run.released == ["a"] and set(run.refused) == {"q1", "q2", "b", "e"}


def test_new_bounds_under_a_full_queue():
    run = Run(in_service=1)
    for job in "abc":
        run.submit(job, wanted=10**8)
    run.took(run.engine.change(Bounds(in_service=3), run.now))
    assert run.released == ["a", "b", "c"]
    run.end("a").end("b").end("c")
    assert not run.engine.jobs


# --- every order of events ---

GRAPHS = {
    "two in a row": {"a": [], "b": ["a"]},
    "a fan": {"a": [], "b": ["a"], "c": ["a"]},
    "a join": {"a": [], "b": [], "c": ["a", "b"]},
    "a diamond": {"a": [], "b": ["a"], "c": ["a"], "d": ["b", "c"]},
    "a row of three": {"a": [], "b": ["a"], "c": ["b"]},
    "five jobs": {"a": [], "b": [], "c": ["a", "b"], "d": ["c"], "e": ["b"]},
}


@pytest.mark.parametrize("places", [0, 1, 2])
@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("graph", GRAPHS)
def test_every_order_of_events_of_small_graphs_gives_each_job_one_end(graph, edge, places):
    """Model checking: every order in which jobs come, end, fail, and are cancelled, to the end of each."""
    jobs, seen, complete = GRAPHS[graph], set(), 0

    def replay(path):
        run = Run(submission_timeout_us=10**12, in_service=places, aged=1)
        for what, job in path:
            if what == "come":
                run.submit(job, *(Dependency(each, edge) for each in jobs[job]), wanted=10**9)
            elif what == "cancel":
                run.cancel(job)
            else:
                run.end(job, JobOutcome.SERVED if what == "serve" else JobOutcome.FAILED)
        return run

    ahead = [()]
    while ahead:
        path = ahead.pop()
        run = replay(path)
        came = {job for what, job in path if what == "come"}
        ended = {job for job in came if run.answers[job]}
        # Two orders are one state if all that may still matter is alike: who came in which order, who runs,
        # and how each ended.
        waits = tuple(job for what, job in path if what == "come" and not run.answers[job])
        ends = frozenset((what, job) for what, job in path if what != "come")
        state = (frozenset(came), waits, ends, frozenset(run.released), frozenset(run.refused))
        if state in seen:
            continue
        seen.add(state)
        assert all(count == 1 for count in run.answers.values())
        if came == set(jobs) and ended == came:
            complete += 1
            assert not run.engine.jobs and not run.engine.waiting
            continue
        options = [("come", job) for job in jobs if job not in came]
        options += [(what, job) for job in run.released if job not in ended for what in ("serve", "fail")]
        waiting = came - ended - set(run.released)
        options += [("cancel", job) for job in waiting]
        assert options, f"stuck after {path}"
        ahead.extend((*path, each) for each in options)
    assert complete


edges = st.lists(st.tuples(st.integers(0, 9), st.sampled_from(DependencyCondition)), max_size=3)
clocks, worths = st.sampled_from([None, -5, 5, 40]), st.sampled_from([0.0, 0.5])
events = st.one_of(
    st.tuples(
        st.just("come"), st.integers(0, 9), edges, clocks, st.integers(1, 100), st.integers(0, 2), worths
    ),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(RAN)),
    st.tuples(st.just("cancel"), st.integers(0, 9)),
    st.tuples(st.just("wait"), st.integers(0, 40)),
    st.tuples(st.just("step"), st.integers(-50, 50)),
)  # fmt: skip


@settings(max_examples=150)
@given(st.lists(events, max_size=40), st.integers(0, 3), st.integers(0, 1))
def test_any_events_leave_the_invariants_and_one_end_for_each(steps, places, aged):
    run = Run(
        submission_timeout_us=30,
        in_service=places,
        aged=aged,
        depth=3,
        by_class=((2, 1),),
        shares=((1, 0.4),),
    )
    taken, running = set(), set()
    numbers = itertools.count()
    names = {}

    def settle():
        nonlocal running
        running = {job for job in run.released if not run.answers[job]}

    for what, *rest in steps:
        match what, rest:
            case "come", [number, after, at, deadline, cls, late]:
                job = names.get(number)
                if job in taken and run.answers[job]:
                    names[number] = None  # it has ended: the client uses another id
                job = names[number] = names.get(number) or f"{number}.{next(numbers)}"
                parents = [Dependency(names.get(each) or f"x{each}", edge) for each, edge in after]
                try:
                    more = {"at": None if at is None else run.wall + at, "wanted": run.now + deadline // 2}
                    run.submit(job, *parents, deadline=deadline, cls=cls, tenant=cls % 2, late=late, **more)
                    taken.add(job)
                except TermsError:
                    pass
            case "end", [number, end]:
                settle()
                if names.get(number) in running:
                    run.end(names[number], end)
            case "cancel", [number]:
                if names.get(number):
                    run.cancel(names[number])
            case "wait", [by]:
                run.wait(by)
            case "step", [by]:
                run.wall += by
    settle()
    while running:
        run.end(running.pop())
        settle()
    run.wait(1_000)
    settle()
    while running:
        run.end(running.pop())
        settle()
    assert {job: count for job, count in run.answers.items() if count} == dict.fromkeys(taken, 1)
    assert not [each for each in run.engine.jobs.values() if each.state is not JobState.EXPECTED]


class Model:
    """Slow and obvious, without admission: after each event all jobs are looked at until nothing changes."""

    def __init__(self):
        self.jobs, self.ends, self.released, self.refused, self.wall = {}, {}, set(), set(), WALL

    def settle(self):
        changed = True
        while changed:
            changed = False
            for job, (parents, at) in self.jobs.items():
                if job in self.released or job in self.refused:
                    continue
                ends = [(self.ends.get(parent), edge) for parent, edge in parents]
                if any(
                    end not in (None, JobOutcome.SERVED) and edge is DependencyCondition.SERVED
                    for end, edge in ends
                ):
                    self.refused.add(job)
                    self.ends[job] = JobOutcome.REFUSED
                    changed = True
                elif all(end is not None for end, _ in ends) and (at is None or at <= self.wall):
                    self.released.add(job)
                    changed = True


@settings(max_examples=150)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("come"), st.integers(0, 7), edges, st.sampled_from([None, None, 5, 40])),
            st.tuples(st.just("end"), st.integers(0, 7), st.sampled_from(RAN)),
            st.tuples(st.just("cancel"), st.integers(0, 7)),
            st.tuples(st.just("wait"), st.integers(0, 30)),
        ),
        max_size=40,
    )
)
def test_the_engine_does_as_a_slow_and_obvious_model(steps):
    run, model = Run(submission_timeout_us=10**12, ended_job_ttl_us=10**12), Model()
    for what, *rest in steps:
        match what, rest:
            case "come", [number, after, at] if str(number) not in model.jobs:
                parents = {str(each): edge for each, edge in after}
                parents |= {
                    str(each): DependencyCondition.SERVED
                    for each, edge in after
                    if edge is DependencyCondition.SERVED
                }
                at = None if at is None else run.wall + at
                try:
                    run.submit(str(number), *(Dependency(*each) for each in parents.items()), at=at)
                except TermsError:
                    continue  # a circle
                model.jobs[str(number)] = (list(parents.items()), at)
            case "end", [number, end] if str(number) in model.released - model.ends.keys():
                run.end(str(number), end)
                model.ends[str(number)] = end
            case "cancel", [number] if str(number) in model.jobs.keys() - model.released - model.refused:
                run.cancel(str(number))
                model.refused.add(str(number))
                model.ends[str(number)] = JobOutcome.CANCELLED
            case "wait", [by]:
                run.wait(by)
                model.wall += by
        model.settle()
        assert (set(run.released), set(run.refused)) == (model.released, model.refused)
