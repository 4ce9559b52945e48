"""Tests of the job queue's engine: dependencies, bounds, ageing, and that each job gets one answer."""

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
    """An engine on virtual time, with its effects. The invariants are checked after every event."""

    def __init__(self, checked=True, **bounds):
        self.engine, self.now, self.checked = JobQueueEngine(Bounds(**bounds)), 0, checked
        self.released, self.rejected = [], {}
        self.answers = Counter()
        self.wall = WALL

    def record(self, effects):
        for effect in effects:
            job = effect.key[1]
            if isinstance(effect, Release):
                assert job not in self.released
                self.released.append(job)
                self.results = dict(effect.results)
            else:
                assert isinstance(effect, Rejection)
                self.answers[job] += 1
                self.rejected[job] = effect
        if self.checked:
            check_invariants(self.engine)
        return self

    def submit(
        self, job, *after, at=None, wanted=0, deadline=10**9, cls=0, tenant=0, late=0.0, size=1, **more
    ):
        dependencies = tuple(
            parent if isinstance(parent, Dependency) else Dependency(parent) for parent in after
        )
        terms = JobTerms(dependencies, at, wanted, **more)
        request = JobRequest(("c", job), cls, tenant, self.now + deadline, size, terms, 0, late)
        return self.record(self.engine.submit(request, self.now, self.wall))

    def end(self, job, end=JobOutcome.SERVED, result=b""):
        self.answers[job] += 1
        return self.record(self.engine.ended(("c", job), end, result, self.now))

    def cancel(self, job, end=JobOutcome.CANCELLED):
        return self.record(self.engine.cancel(("c", job), end, self.now))

    def wait(self, by):
        self.now += by
        self.wall += by
        return self.record(self.engine.tick(self.now, self.wall))


# --- parents ---


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("end", RAN)
def test_parent_outcome_releases_or_rejects_child_by_edge_condition(end, edge, before):
    """The child is submitted before its parent has ended, or after it."""
    run = Run().submit("p")
    if before:
        run.submit("c", Dependency("p", edge))
    run.end("p", end)
    if not before:
        run.submit("c", Dependency("p", edge))
    if end is JobOutcome.SERVED or edge is DependencyCondition.ENDED:
        assert run.released == ["p", "c"] and not run.rejected
    else:
        assert (
            run.released == ["p"]
            and "p" in run.rejected["c"].reason
            and end.value in run.rejected["c"].reason
        )


@pytest.mark.parametrize("edge", DependencyCondition)
def test_child_of_a_parent_that_is_never_submitted_is_rejected(edge):
    run = Run(submission_timeout_us=50 * MS).submit("c", Dependency("p", edge)).wait(49 * MS)
    assert not run.rejected
    run.wait(1 * MS)
    assert "never came" in run.rejected["c"].reason and not run.engine.jobs


def test_child_waits_for_a_parent_that_is_submitted_within_the_timeout():
    run = (
        Run(submission_timeout_us=50 * MS).submit("c", "p").wait(40 * MS).submit("p").wait(100 * MS).end("p")
    )
    assert run.released == ["p", "c"]


@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("how", ["cancelled", "left", "expired", "refused for its own parent"])
def test_parent_that_ends_while_waiting_rejects_or_releases_its_child(how, edge):
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
    assert "p" in run.rejected
    assert ("c" in run.rejected) is (edge is DependencyCondition.SERVED) and ("c" in run.released) is (
        edge is DependencyCondition.ENDED
    )


def test_child_receives_parent_results_up_to_the_bound_on_bytes():
    run = Run(result_bytes=5).submit("a").submit("b").submit("c", "a", "b", takes_results=True)
    run.end("a", result=b"1234").end("b", result=b"5678")
    assert run.released[-1] == "c" and run.results == {"a": b"1234"}
    run.submit("late", "a", takes_results=True)
    assert run.results == {"a": b"1234"}, "also to a child that is submitted after its parent has ended"


def test_impossible_terms_raise_an_error_and_leave_the_engine_unchanged():
    run = Run(parents=3, children=2, depth=3)
    run.submit("a", "b").submit("b", "x")
    for job, after, message in (
        ("s", ["s"], "itself"), ("x", ["a"], "waits for it"), ("a", [], "is open"),
        ("m", ["1", "2", "3", "4"], "at most 3"),
    ):  # fmt: skip
        before = set(run.engine.jobs)
        with pytest.raises(TermsError, match=message):
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


def test_child_of_two_parents_is_released_after_both_have_ended():
    run = Run().submit("top").submit("l", "top").submit("r", "top").submit("low", "l", "r")
    run.end("top").end("l")
    assert "low" not in run.released
    run.end("r")
    assert run.released == ["top", "l", "r", "low"]


@pytest.mark.parametrize("end", [JobOutcome.SERVED, JobOutcome.FAILED])
def test_chain_of_1000_jobs_is_released_or_rejected_completely(end):
    run = Run(checked=False, depth=1_000, by_client=2_000)
    run.submit("0")
    for number in range(1, 1_000):
        run.submit(str(number), str(number - 1))
    if end is JobOutcome.FAILED:
        run.end("0", end)
        assert len(run.rejected) == 999
    else:
        for number in range(1_000):
            run.end(str(number))
        assert len(run.released) == 1_000
    assert set(run.answers.values()) == {1} and not run.engine.jobs


@pytest.mark.parametrize("end", [JobOutcome.SERVED, JobOutcome.FAILED])
def test_10000_children_of_one_parent_are_released_or_rejected(end):
    run = Run(checked=False, children=10_000, by_client=20_000, max_waiting=20_000)
    run.submit("p")
    for number in range(10_000):
        run.submit(str(number), "p")
    run.end("p", end)
    assert len(run.released if end is JobOutcome.SERVED else run.rejected) == 10_000 + (
        end is JobOutcome.SERVED
    )


# --- the clock ---


def test_jobs_with_one_start_time_are_released_in_order_and_one_in_the_past_at_once():
    run = Run(checked=False, by_client=2_000)
    for number in range(1_000):
        run.submit(str(number), at=WALL + 50 * MS)
    run.submit("past", at=WALL - 10**9).wait(49 * MS)
    assert run.released == ["past"]
    run.wait(1 * MS)
    assert run.released[1:] == [str(number) for number in range(1_000)]


def test_wall_clock_step_moves_start_times_but_not_deadlines():
    hour = 3_600 * 10**6
    run = Run().submit("six", at=WALL + hour, deadline=2 * hour).submit("soon", at=WALL + 10, deadline=hour)
    run.wall -= hour
    run.wait(10)
    assert not run.released, "it is not six o'clock yet by the wall clock"
    run.wait(hour - 10)
    assert run.rejected["soon"].end is JobOutcome.EXPIRED
    run.wall += hour
    run.wait(1)
    assert run.released == ["six"]


def test_next_at_is_the_earliest_start_time_or_submission_timeout():
    run = Run(submission_timeout_us=90).submit("a", at=WALL + 50, deadline=1_000)
    assert run.engine.next_at(0, WALL) == 50
    run.submit("b", "never", deadline=1_000)
    assert run.engine.next_at(60, WALL + 60) <= 60
    run.wait(60)
    assert run.engine.next_at(60, WALL + 60) == 90


# --- admission and ageing ---


def test_rejection_of_a_late_job_may_queue_a_child_that_is_the_first_of_its_class():
    """The only slot is in use, and a job passes its latest start. It is rejected, and its child, the first
    job of another class, runs next. Guards against a change of the queues while they are iterated over.
    """
    run = Run(slots=1).submit("long").submit("late", wanted=1_200 * MS)
    assert not run.rejected
    run.submit("child", Dependency("late", DependencyCondition.ENDED), cls=1)
    run.wait(800 * MS)
    assert list(run.rejected) == ["late"]
    run.end("long")
    assert run.released == ["long", "child"]


def test_slots_go_to_the_earliest_latest_start_within_the_limits_of_classes():
    run = Run(slots=2, by_class=((1, 1),), aged=0).submit("1").submit("2")
    run.submit("slow", wanted=9_000 * MS).submit("soon", wanted=5_000 * MS)
    run.submit("k1", cls=1, wanted=4_000 * MS).submit("k2", cls=1, wanted=4_100 * MS)
    run.end("1").end("2")
    assert run.released[2:] == ["k1", "soon"], "the class of k2 has reached its limit"
    run.end("soon").end("k1")
    assert run.released[4:] == ["slow", "k2"] or run.released[4:] == ["k2", "slow"]


def test_job_that_would_be_late_is_rejected_at_submission_with_retry_after():
    run = Run(slots=2, aged=1)
    for job in "ab":
        run.submit(job)
    run.now = 100 * MS
    run.end("a").submit("a2")
    run.submit("q1", wanted=run.now + 10_000 * MS).submit("q2", wanted=run.now + 10_000 * MS)
    run.submit("tight", wanted=run.now + 150 * MS)
    assert run.rejected["tight"].retry_after > 0 and run.rejected["tight"].end is JobOutcome.REFUSED
    run.submit("late", wanted=run.now + 150 * MS, late=0.3)
    assert "late" not in run.rejected, "it waits, since a late answer has a value"


def test_due_time_of_a_child_is_its_class_objective_counted_from_when_it_is_ready():
    engine = JobQueueEngine(Bounds(slots=1, aged=0))
    engine.admission.mean_run_us = {0: 10.0, 1: 10.0}
    for job, cls, objective, after in (("p", 0, 0, ()), ("c", 1, 50, (Dependency("p"),)), ("x", 0, 200, ())):
        engine.submit(JobRequest(("c", job), cls, 0, 10**9, 1, JobTerms(after), objective), 0, WALL)
    assert [effect.key[1] for effect in engine.ended(("c", "p"), JobOutcome.SERVED, b"", 100)] == ["c"], (
        "it is due at 150, before the other job at 200"
    )


def test_jobs_of_a_tenant_over_its_share_run_only_on_aged_slots():
    run = Run(slots=4, shares=((0, 0.25),), aged=1).submit("x", tenant=0)
    for job in "abc":
        run.submit(job, tenant=1)
    run.submit("over1", tenant=0).submit("over2", tenant=0).submit("in", tenant=1)
    run.end("a").end("b")
    assert run.released[4:] == ["over1", "in"], "one aged slot; the others are for jobs within the share"


def test_full_queue_rejects_by_number_bytes_and_client():
    for bound, more in (("max_waiting", {}), ("by_client", {}), ("max_waiting_bytes", {"size": 10})):
        run = Run(**{bound: 25 if bound == "max_waiting_bytes" else 2})
        for job in "ab":
            run.submit(job, "never", **more)
        run.submit("c", "never", **more)
        assert "too many" in run.rejected["c"].reason and run.rejected["c"].retry_after > 0


def test_aged_jobs_keep_their_bound_during_a_flood_and_delay_no_job_past_its_due_time():
    """Ten seconds of virtual time: 500 short jobs a second, and every 100 ms a job that is late already."""
    slots, aged, run_ms = 20, 2, 30
    run = Run(checked=False, slots=slots, aged=aged, by_client=10**6, max_waiting=10**6)
    ends, due_at, late_waits, delayed = [], {}, [], 0
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
        nonlocal delayed
        while len(started_jobs) < len(run.released):
            job = run.released[len(started_jobs)]
            started_jobs.append(job)
            ends.append((run.now + run_ms * MS, job))
            if job.startswith("r"):
                late_waits.append(run.now - arrived[job])
            elif run.now + run_ms * MS > due_at[job]:
                delayed += 1

    started_jobs = []
    for step in range(0, 10_000, 2):
        play(step * MS)
        number += 1
        job = f"d{number}"
        due_at[job] = run.now + 300 * MS
        run.submit(job, wanted=due_at[job], deadline=1_000 * MS, cls=0)
        if step % 100 == 0:
            arrived[f"r{step}"] = run.now
            run.submit(f"r{step}", wanted=run.now + 1, deadline=60_000 * MS, cls=1, late=0.3)
        started()
    play(11_000 * MS)
    assert delayed == 0 and run.engine.totals.missed == 0 and len(late_waits) == 100
    assert max(late_waits) <= 100 / aged * run_ms * MS
    assert run.engine.totals.rejected[JobOutcome.REFUSED] < number / 10


def test_shutdown_rejects_the_jobs_that_cannot_start_in_time():
    run = Run().submit("p").submit("c", "p").submit("never", "x").submit("far", at=WALL + 10**9)
    run.submit("near", at=WALL + 5).submit("below", "far")
    run.record(run.engine.reject_all("the dispatcher ends", run.now, WALL + 10))
    assert set(run.rejected) == {"never", "far", "below"}
    run.end("p").wait(5)
    assert run.released == ["p", "c", "near"]


def test_reject_all_releases_no_job_and_gives_each_waiting_job_its_answer():
    """Guards against releasing a job because the rejection of another one unblocked it or made room for it,
    although the process ends and will not run it.
    """
    run = Run(slots=1, checked=False).submit("a").submit("q1", wanted=10**8).submit("q2", wanted=10**8)
    run.submit("b", "q1").submit("e", Dependency("q1", DependencyCondition.ENDED))
    run.record(run.engine.reject_all("the end", run.now))
    assert run.released == ["a"] and set(run.rejected) == {"q1", "q2", "b", "e"}


def test_new_bounds_release_queued_jobs_at_once():
    run = Run(slots=1)
    for job in "abc":
        run.submit(job, wanted=10**8)
    run.record(run.engine.change(Bounds(slots=3), run.now))
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


@pytest.mark.parametrize("slots", [0, 1, 2])
@pytest.mark.parametrize("edge", DependencyCondition)
@pytest.mark.parametrize("graph", GRAPHS)
def test_every_order_of_events_of_small_graphs_gives_each_job_one_answer(graph, edge, slots):
    """Model checking: every order in which jobs are submitted, served, fail and are cancelled."""
    jobs, seen, complete = GRAPHS[graph], set(), 0

    def replay(path):
        run = Run(submission_timeout_us=10**12, slots=slots, aged=1)
        for what, job in path:
            if what == "submit":
                run.submit(job, *(Dependency(parent, edge) for parent in jobs[job]), wanted=10**9)
            elif what == "cancel":
                run.cancel(job)
            else:
                run.end(job, JobOutcome.SERVED if what == "serve" else JobOutcome.FAILED)
        return run

    unexplored = [()]
    while unexplored:
        path = unexplored.pop()
        run = replay(path)
        submitted = {job for what, job in path if what == "submit"}
        ended = {job for job in submitted if run.answers[job]}
        # Two paths lead to the same state if all that may still matter is equal: which jobs were submitted,
        # in which order the open ones were, which jobs run, and how each job ended.
        waits = tuple(job for what, job in path if what == "submit" and not run.answers[job])
        ends = frozenset((what, job) for what, job in path if what != "submit")
        state = (frozenset(submitted), waits, ends, frozenset(run.released), frozenset(run.rejected))
        if state in seen:
            continue
        seen.add(state)
        assert all(count == 1 for count in run.answers.values())
        if submitted == set(jobs) and ended == submitted:
            complete += 1
            assert not run.engine.jobs and not run.engine.waiting
            continue
        options = [("submit", job) for job in jobs if job not in submitted]
        options += [(what, job) for job in run.released if job not in ended for what in ("serve", "fail")]
        waiting = submitted - ended - set(run.released)
        options += [("cancel", job) for job in waiting]
        assert options, f"stuck after {path}"
        unexplored.extend((*path, event) for event in options)
    assert complete


edges = st.lists(st.tuples(st.integers(0, 9), st.sampled_from(DependencyCondition)), max_size=3)
start_times, late_values = st.sampled_from([None, -5, 5, 40]), st.sampled_from([0.0, 0.5])
events = st.one_of(
    st.tuples(
        st.just("submit"), st.integers(0, 9), edges, start_times, st.integers(1, 100), st.integers(0, 2),
        late_values,
    ),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(RAN)),
    st.tuples(st.just("cancel"), st.integers(0, 9)),
    st.tuples(st.just("wait"), st.integers(0, 40)),
    st.tuples(st.just("step"), st.integers(-50, 50)),
)  # fmt: skip


@settings(max_examples=150)
@given(st.lists(events, max_size=40), st.integers(0, 3), st.integers(0, 1))
def test_random_events_keep_the_invariants_and_give_each_job_one_answer(steps, slots, aged):
    run = Run(
        submission_timeout_us=30,
        slots=slots,
        aged=aged,
        depth=3,
        by_class=((2, 1),),
        shares=((1, 0.4),),
    )
    accepted, running = set(), set()
    numbers = itertools.count()
    names = {}

    def settle():
        nonlocal running
        running = {job for job in run.released if not run.answers[job]}

    for what, *rest in steps:
        match what, rest:
            case "submit", [number, after, at, deadline, cls, late]:
                job = names.get(number)
                if job in accepted and run.answers[job]:
                    names[number] = None  # this job has ended, so the client uses another id
                job = names[number] = names.get(number) or f"{number}.{next(numbers)}"
                parents = [Dependency(names.get(parent) or f"x{parent}", edge) for parent, edge in after]
                try:
                    more = {"at": None if at is None else run.wall + at, "wanted": run.now + deadline // 2}
                    run.submit(job, *parents, deadline=deadline, cls=cls, tenant=cls % 2, late=late, **more)
                    accepted.add(job)
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
    assert {job: count for job, count in run.answers.items() if count} == dict.fromkeys(accepted, 1)
    assert not [job for job in run.engine.jobs.values() if job.state is not JobState.EXPECTED]


class Model:
    """A simple reference model without admission: after an event it updates all jobs until none changes."""

    def __init__(self):
        self.jobs, self.ends, self.released, self.rejected, self.wall = {}, {}, set(), set(), WALL

    def settle(self):
        changed = True
        while changed:
            changed = False
            for job, (parents, at) in self.jobs.items():
                if job in self.released or job in self.rejected:
                    continue
                ends = [(self.ends.get(parent), edge) for parent, edge in parents]
                if any(
                    end not in (None, JobOutcome.SERVED) and edge is DependencyCondition.SERVED
                    for end, edge in ends
                ):
                    self.rejected.add(job)
                    self.ends[job] = JobOutcome.REFUSED
                    changed = True
                elif all(end is not None for end, _ in ends) and (at is None or at <= self.wall):
                    self.released.add(job)
                    changed = True


@settings(max_examples=150)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("submit"), st.integers(0, 7), edges, st.sampled_from([None, None, 5, 40])),
            st.tuples(st.just("end"), st.integers(0, 7), st.sampled_from(RAN)),
            st.tuples(st.just("cancel"), st.integers(0, 7)),
            st.tuples(st.just("wait"), st.integers(0, 30)),
        ),
        max_size=40,
    )
)
def test_engine_behaves_like_a_simple_reference_model(steps):
    run, model = Run(submission_timeout_us=10**12, ended_job_ttl_us=10**12), Model()
    for what, *rest in steps:
        match what, rest:
            case "submit", [number, after, at] if str(number) not in model.jobs:
                parents = {str(parent): edge for parent, edge in after}
                parents |= {
                    str(parent): DependencyCondition.SERVED
                    for parent, edge in after
                    if edge is DependencyCondition.SERVED
                }
                at = None if at is None else run.wall + at
                try:
                    run.submit(str(number), *(Dependency(*item) for item in parents.items()), at=at)
                except TermsError:
                    continue  # a cycle
                model.jobs[str(number)] = (list(parents.items()), at)
            case "end", [number, end] if str(number) in model.released - model.ends.keys():
                run.end(str(number), end)
                model.ends[str(number)] = end
            case "cancel", [number] if str(number) in model.jobs.keys() - model.released - model.rejected:
                run.cancel(str(number))
                model.rejected.add(str(number))
                model.ends[str(number)] = JobOutcome.CANCELLED
            case "wait", [by]:
                run.wait(by)
                model.wall += by
        model.settle()
        assert (set(run.released), set(run.rejected)) == (model.released, model.rejected)
