"""All decisions of a dispatcher that pushes jobs to workers. Types, events and actions: see interface.py.

The ordinary path is SED_e of Hyytia and Righter: a worker's job count is estimated from its last report, own
unfinished sends and Poisson departures; a request goes to the least (E[N] + 1) / mu. Times in microseconds.
"""

import random
from heapq import nsmallest
from itertools import takewhile
from math import exp
from operator import attrgetter, itemgetter
from typing import Any

from hazelbend.decisions import interface as face
from hazelbend.decisions.discovery_retry import LARGE_FLEET, DiscoveryRetry
from hazelbend.decisions.fleet_plan import FleetPlan, preference_order
from hazelbend.decisions.formulas import drained
from hazelbend.decisions.interface import Effect, Group, Outcome, WorkerState
from hazelbend.decisions.reliability import FailureEstimate
from hazelbend.decisions.report_age import CANDIDATE_AGES_US, ReportLag, ReportPeriod
from hazelbend.decisions.request import Attempt, Request, find_attempt
from hazelbend.decisions.retry_rules import allows_attempt, still_allows_attempt
from hazelbend.decisions.slow_start import SlowStart, release_budget, spend_budget
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import Worker

K_MAX = 20  # the paper's truncation of a worker's job count
MEMORY = 60.0  # samples a mean rests on: some seconds' worth, so that a worker that has slowed down shows
LEVEL_PRIOR, LEVEL_MEMORY = 2.0, 4.0  # reports the kind's level stands for; an own level's: the newest count
CLASS_PRIOR = 2.0  # samples that the objective stands for as a first guess of a class's run time
RATE_PRIOR = 8.0  # samples that the listed weight stands for: heavy-tailed run times need that many to speak
FETCH_PRIOR = 20.0  # runs that the first guess of a fetch, half a mean job, stands for
RATED = 2_000_000  # after which a rate is set anew for a pick: it costs CPU and changes slowly
SHORTEST_RATIO, LONGEST_RATIO = 0.1, 10.0  # of an expected run: 4 made rates too hopeful in heavy tails
PAUSE = 300_000  # a worker may stand still so long (collector, page fault) and yet be well
OVERTAKEN, SILENCE = 3, 3.0  # later jobs that start before one, expected delays without a sign: it is lost
RESETS = 1  # connections that may break in a row, with no sign in between, ere their worker is suspected
FIRST_BACKOFF, LAST_BACKOFF = 1_000_000, 4_000_000  # waits before a trial: not shut out long, not flooded
LATE_MARGIN = 2.0  # a wait may well be twice the expected: waits are about exponential
PROBE_POINTS, MOST_PROBES = 0.01, 2  # part of the result to spend on probes; probes a request at most
SAMPLE, DRAWN = 8, 4  # workers a pick that asks, or goes by a plan, is among: with more all pick alike
REPORT_OLD, PRICE_OLD = 1_000_000, 0.002  # old by then; part of the result to spend on asking
ASK_OLD, PRICE_PICK = 400_000, 0.004  # and the same for those that a pick is about to go by
ASK_PART = 0.1  # part of a mean job that a request waits for probes at most: what they tell is worth no more
FIRST_UPKEEP, LAST_UPKEEP = 100_000, 500_000  # how often health and held requests are seen to: by job length
UPKEEP_TIMER, SUBSCRIBE_TIMER, REQUEST_TIMERS = 0, 1, 2  # tokens; a request has two, for its end and its pick

Row = tuple[float, float, float, Worker]  # what a pick goes by, expected delay, a mean job's run, worker


def expected_jobs(worker: Worker, now: int, rate: float) -> float:
    """E[N] in mean jobs. Own unfinished jobs are known not to have left, so they are a floor; departures fall
    on all jobs alike, and free slots let none go. What peers have sent since nears the usual level.
    """
    age, level = max(now - worker.peer_jobs_at, 0), worker.background_load * rate
    came = level * (1 - exp(-age * rate / max(worker.concurrency, level + 1)))
    leaving = rate * age * worker.peer_jobs / max(worker.peer_jobs + worker.own_load, worker.concurrency)
    return worker.own_load + came + drained(worker.peer_jobs, leaving)


class Dispatcher:
    """Decides for one dispatcher: told of events and the time, it answers with actions."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self.random, self.born = random.Random(seed), -1
        self.retry, self.may_ask = (
            DiscoveryRetry(),
            0.0,
        )  # of calls for the list; servers that may be asked for a report
        self.workers: dict[int, Worker] = {}
        self.ready: dict[Worker, None] = {}
        self.requests: dict[int, Request] = {}
        self.held: dict[int, Request] = {}
        self.runs: list[Mean] = []
        self._settle(settings)
        self.work, self.width = Mean(1.0, self.runs[0].value), Mean(1.0, 1.0)  # of what arrives
        self.runs_with, self.runs_without = (Mean(FETCH_PRIOR, FETCH_PRIOR * part) for part in (1.0, 1.5))
        self.slow_start = SlowStart(Mean(MEMORY, MEMORY / settings.fleet_size))
        self.usuals: dict[int, Mean] = {}  # by machine kind: others' jobs over the size, by reports
        self.sizes: dict[int, float] = {}  # by machine kind: the highest weight listed
        self.paces: dict[int, Mean] = {}  # by machine kind: run times over the expected
        self.refresh, self.lag, self.fleet = ReportPeriod(), ReportLag(), FleetPlan()
        self.slowness, self.erring = Mean(CLASS_PRIOR, CLASS_PRIOR), Mean()  # run times; times to an error
        self.rates, self.weights = Mean(1.0, 1.0), Mean(1.0, 1.0)  # of workers that served, in mean jobs
        self.out: list[face.Action] = []
        self.handlers: dict[type, Any] = {
            face.RequestArrived: self._arrived, face.AttemptEnded: self._ended, face.JobProgress: self._heard,
            face.JobStarted: self._heard, face.StreamStarted: self._heard, face.TimerFired: self._timer,
            face.MembershipUpdate: self._members, face.ClientGone: self._gone, face.ProbeEnded: self._probed,
            face.SettingsChanged: self._changed,
        }  # fmt: skip

    def _settle(self, settings: face.Settings) -> None:
        """Go by these settings; what was learnt of a class stays with its place."""
        self.settings = settings
        new = settings.classes[len(self.runs) :]
        self.runs += [Mean(CLASS_PRIOR, CLASS_PRIOR * max(job.objective, 1)) for job in new]
        asks = settings.probes_allowed and settings.reports_by_probe
        spoken = settings.probes_allowed and settings.reports_inline and settings.fleet_size >= LARGE_FLEET
        self.asks = PRICE_OLD / max(settings.probe_charge, PRICE_OLD) if spoken else 0.0
        points = PROBE_POINTS if asks else PRICE_PICK if spoken else 0.0
        self.probes = min(MOST_PROBES, int(points / max(settings.probe_charge, 1e-6)))
        self.plans = settings.blind and settings.fleet_size > 1  # others' jobs are known by what all do alike

    def _changed(self, event: face.SettingsChanged, now: int) -> None:
        watched = self.settings.list_is_watched
        self._settle(event.settings)
        if self.settings.list_is_watched and not watched:
            self.out.append(face.Subscribe())
        self._try_held(now)

    def handle(self, event: face.Event, now: int) -> list[face.Action]:
        """What is to be done about this event."""
        self.out = []
        if self.born < 0:
            self.born = now
            self.out.append(face.StartTimer(self.random.randrange(FIRST_UPKEEP), UPKEEP_TIMER))
            if self.settings.list_is_watched:
                wait = self.retry.first_delay(self.settings, self.random)
                self.out.append(face.StartTimer(wait, SUBSCRIBE_TIMER) if wait else face.Subscribe())
        self.handlers[type(event)](event, now)
        return self.out

    def avoided(self, now: int) -> set[face.WorkerId]:
        """The listed workers that are shut out now."""
        return {number for number, worker in self.workers.items() if worker.backoff_until > now}

    def _members(self, event: face.MembershipUpdate, now: int) -> None:
        if event.kind is face.ListKind.FAILED:
            wait = self.retry.retry_delay(self.settings, self.random)
            self.out.append(face.StartTimer(wait, SUBSCRIBE_TIMER))
            return
        if self.retry.failures == 0 and not self.workers and self.asks:
            self.may_ask = float(len(event.entries))
        self.retry.failures = 0
        if event.kind is not face.ListKind.DELTA:
            named = {entry.worker for entry in event.entries}
            self.workers = {each: held for each, held in self.workers.items() if each in named}
        for entry in event.entries:
            self._listed(entry, now)
        self.ready = {each: None for each in self.workers.values() if each.entry.state is WorkerState.READY}
        self._try_held(now)

    def _listed(self, entry: face.WorkerEntry, now: int) -> None:
        if entry.state is WorkerState.GONE:
            self.workers.pop(entry.worker, None)
            return
        if (worker := self.workers.get(entry.worker)) is None:
            worker = self.workers[entry.worker] = Worker(entry, 0.0, peer_jobs_at=now)
        elif entry.started_at > worker.entry.started_at:  # a fresh process: nothing runs there
            worker.peer_jobs, worker.peer_jobs_at, worker.cached_keys, worker.reliability = (
                0,
                now,
                {},
                FailureEstimate(),
            )
            self._trust(worker, now)
        worker.entry, worker.weight = entry, max(entry.weight, 1e-6)
        worker.lottery_number = float(not self.plans and self.settings.warmth(entry.started_at, now) < 1.0)
        if self.settings.weights_fall_with_load:
            self._weigh(worker, now)
        self._set_rate(worker, now)

    def _weigh(self, worker: Worker, now: int) -> None:
        """A weight that falls with load reports it too: a kind's highest, over 1 and the jobs held a core."""
        kind = worker.entry.machine_kind
        self.sizes[kind] = max(worker.weight, self.sizes.get(kind, 0.0))
        if load := worker.load_from_weight(self.sizes[kind]):
            self._report(worker, load, now)

    def _report(self, worker: Worker, load: face.LoadReport, now: int) -> None:
        """A report restarts the estimate. One of neither jobs nor free slots was not measured yet."""
        if not (load.in_flight or load.queued) and load.free_slots == 0:
            return
        queued, held = load.queued or 0.0, load.in_flight
        held = queued + min(worker.slots, queued) if held is None else held
        refreshed = self.refresh.age(worker, load, now)  # in a large fleet own jobs explain too little
        age = refreshed if self.asks else self.lag.age(worker, held, now)
        worker.reported_at = now
        if age is None:
            return
        worker.peer_jobs_at = now - age - worker.round_trip // 2
        worker.peer_jobs = max(round(min(held, K_MAX)) - worker.own_jobs.at(worker.peer_jobs_at), 0)
        worker.observe_slots(held - queued + (load.free_slots or 0.0))
        self._set_rate(worker, now)  # its size is to be that of this report
        self.usuals.setdefault(worker.entry.machine_kind, Mean()).add(worker.peer_jobs / worker.size, MEMORY)
        worker.usual_level.add(worker.peer_jobs / worker.size, LEVEL_MEMORY)
        self._set_rate(worker, now)

    def _learn(self, attempt: Attempt, now: int) -> None:
        """mu: most jobs running at once over their mean run time, each against what was expected."""
        worker, request, started_at = attempt.worker, attempt.request, attempt.started_at or attempt.sent_at
        self.runs[request.class_index].add(run := max(now - started_at, 1))
        ratio = min(run / request.work, LONGEST_RATIO)
        (self.runs_without if attempt.fetches else self.runs_with).add(ratio)
        worker.run_time_ratio.add(ratio, MEMORY)
        self.rates.add(worker.concurrency / max(worker.run_time_ratio.value, SHORTEST_RATIO))
        self.slowness.add(ratio, MEMORY)
        self.paces.setdefault(worker.entry.machine_kind, Mean()).add(ratio, MEMORY)
        self.weights.add(worker.weight)

    def _set_rate(self, worker: Worker, now: int) -> None:
        """By own runs and what a unit of listed weight is worth; then how much of others usually is there."""
        worker.rated_at, kind = now, self.usuals.get(worker.entry.machine_kind, Mean())
        worker.concurrency = max(worker.slots / self.width.value, 1.0)
        listed = worker.concurrency * self.weights.value / (self.rates.value * worker.weight)
        if self.plans or (worker.slots and not self.settings.weights_tell):
            # The list tells no sizes: reports do, and runs on all of a kind tell how fast its cores are.
            pace = self.paces.get(worker.entry.machine_kind, Mean())
            listed = pace.with_prior(self.slowness.value, CLASS_PRIOR)
        ratio = worker.run_time_ratio.with_prior(listed, RATE_PRIOR)
        if self.plans and self.settings.weights_tell:  # a listed size: jobs at once, times their speed
            worker.concurrency = max(worker.weight * ratio / self.slowness.value / self.width.value, 1.0)
        typical = self.rates.value * self.slowness.value  # jobs at once, of one that has said nothing yet
        worker.size = (worker.concurrency if worker.slots else typical) * listed / ratio
        worker.rate = worker.concurrency / (ratio * self.work.value)
        usual = kind.value * (not worker.lottery_number)  # a cold one is not as full as its kind
        worker.background_load = worker.usual_level.with_prior(usual, LEVEL_PRIOR) * worker.size / worker.rate

    def _in_budget(self, worker: Worker, cost: float, rate: float, now: int) -> bool:
        return self.slow_start.allows(worker, cost, rate, self.settings, self.born, now)

    def _able(self, request: Request, among: list[Worker] | dict[Worker, None], now: int) -> list[Worker]:
        job, tried = request.job, {attempt.worker for attempt in request.attempts}
        well = [worker for worker in among if worker.backoff_until <= now and worker in self.ready]
        able = [worker for worker in well if self.slow_start.may_use(worker) and worker not in tried]
        able = [worker for worker in able if job.machine_kind in (-1, worker.entry.machine_kind)]
        if (
            job.effect is Effect.KEYED
            and job.group is not Group.ALL
            and (first := request.first_possible_run)
        ):
            # A repeat may only go where the first attempt's runner shares its keys.
            part = attrgetter("entry.zone" if job.group is Group.ZONE else "entry.cell")
            able = [worker for worker in able if part(worker) == part(first.worker)]
        return able

    def _charge(self, worker: Worker, now: int) -> float:
        """What sending there costs of the result: another zone, a connection to be opened."""
        rules, away = self.settings, worker.entry.zone != self.settings.zone
        opens = worker.attempts or now >= worker.connection_idle_at + rules.keepalive
        return away * rules.cross_zone_charge + (rules.handshake_charge if opens else 0.0)

    def _delays(self, request: Request, workers: list[Worker], now: int) -> list[Row]:
        """(E[N] + 1) / mu, behind what charges (as delays that cost as much) and a key's data make of it."""
        job, rows = request.job, []
        worth = (job.objective + job.stretch * request.work) * (1 + job.late_worth)  # about over what is lost
        order = preference_order(request.key, workers) if request.key and not self.plans else {}
        fetch = max(self.runs_without.value - self.runs_with.value, 0.0) * self.work.value
        told = self.plans and self.settings.tells_start
        waits = self.fleet.queueing_delay(self.requests.values(), now) if told else 0.0
        last = job.effect is Effect.UNSAFE or len(request.attempts) + 1 >= self.settings.max_attempts
        for worker in workers:
            if now > worker.rated_at + RATED:
                self._set_rate(worker, now)
            # An error loses what can't be tried again; else it takes its time, over and over.
            risk = worker.reliability.risk(now)
            lost = risk * worth if last else risk / (1 - risk) * self.erring.value
            rate = worker.rate * self.settings.warmth(worker.entry.started_at, now)
            if worker.lottery_number and not self._in_budget(worker, request.cost, rate, now):
                continue
            extra = lost if self.plans else lost + self._charge(worker, now) * worth  # a plan goes first
            if order and request.key not in worker.cached_keys:
                extra += fetch * order[worker]
            run, delay = worker.concurrency / rate, (expected_jobs(worker, now, rate) + 1) / rate
            # By a plan all are alike full: jobs wait as long anywhere, and what own ones add decides.
            row = (delay - 1 / rate + extra, waits + run) if self.plans else (delay + extra, delay)
            rows.append((*row, run, worker))
        return rows

    def _ask(self, request: Request, now: int) -> bool:
        """A pick waits for the best workers' word: of many old estimates the least is most often wrong."""
        wait = round(self.work.value * ASK_PART)
        if not self.probes or request.deadline - now < 2 * wait:
            return False
        able, near = self._able(request, self.ready, now), self.settings.zone
        if self.settings.reports_inline:
            rows = nsmallest(self.probes + 1, self._delays(request, able, now), key=itemgetter(0))
            request.candidates = [row[-1] for row in rows]
            asked = [each for each in request.candidates if now > each.reported_at + ASK_OLD][: self.probes]
        else:
            idle = now - self.settings.keepalive  # since when a connection is still open
            cheap = [
                w for w in able if w.connection_idle_at > idle and not w.attempts and w.entry.zone == near
            ]
            of = (
                (cheap, SAMPLE // 2),
                (able, SAMPLE),
                ([worker for worker in able if worker.lottery_number], SAMPLE),
            )
            drawn = [each for some, most in of for each in self.random.sample(some, min(most, len(some)))]
            rows = self._delays(request, list(dict.fromkeys(drawn)), now)
            request.candidates = [row[-1] for row in nsmallest(SAMPLE, rows, key=itemgetter(0))]
            fresh = now - self.refresh.period / 2  # who answered since would hardly say anything else
            asked = [each for each in request.candidates[: self.probes] if each.reported_at < fresh]
        request.pending_probes = len(asked)
        for worker in asked:
            if not worker.waiting_requests:
                self._probe(worker, now)
            worker.waiting_requests.append(request)
        if asked:
            self.out.append(face.StartTimer(wait, REQUEST_TIMERS + 2 * request.id + 1))
        return bool(asked)

    def _pick(self, request: Request, now: int) -> Row | None:
        """Argmin (E[N] + 1) / mu over the ready workers that can run the job: all, or those it has drawn."""
        able, request.candidates = self._able(request, request.candidates or self.ready, now), []
        if self.plans and able:
            if self.random.random() < self.fleet.unassigned:
                return None
            able = self.random.choices(able, self.fleet.weights(request.key, able), k=DRAWN)
        turn = self.random.randrange(len(able) or 1)  # of equals not always the first
        return min(self._delays(request, able[turn:] + able[:turn], now), key=itemgetter(0), default=None)

    def _ask_silent(self, now: int) -> None:
        """In a large fleet own answers bring few reports: a worker that is sent nothing would seem full."""
        for worker in self.ready:
            old = now - max(worker.reported_at, worker.probed_at) > REPORT_OLD
            if old and worker.backoff_until <= now and self.may_ask >= 1:
                self.may_ask -= 1
                self._probe(worker, now)

    def _too_late(self, request: Request, choice: Row, now: int) -> bool:
        """Work that will be late makes the next late too: it waits here for a free slot, or is refused."""
        _, delay, run, worker = choice
        waits = delay > run and (worker.slots > 0 or self.plans)
        return waits and delay - run > self._room(request, choice, request.target - now)

    def _room(self, request: Request, choice: Row, left: float) -> float:
        """The longest wait there that lets it be in time; the less it is worth for its work beside a dearer
        class, the nearer to what lets such a job after it be in time: in overload it takes its place.
        """
        _, _, run, worker = choice
        pace, adds = run / self.work.value, request.cost * run / worker.concurrency
        own, worth = (left - pace * request.work) / LATE_MARGIN, self._worth(request.job, request.class_index)
        rooms = [own]
        for index, job in enumerate(self.settings.classes):
            if (dear := self._worth(job, index)) > worth:
                room = (job.objective + (job.stretch - pace) * self.runs[index].value) / LATE_MARGIN - adds
                rooms.append(room + (own - room) * worth / dear)
        return min(rooms)

    def _worth(self, job: face.JobClass, index: int) -> float:
        return job.worth if self.settings.worth_by_work else job.worth / self.runs[index].value

    def _arrived(self, event: face.RequestArrived, now: int) -> None:
        job = self.settings.classes[event.job_class]
        work = event.expected_work or self.runs[event.job_class].value
        deadline, aim = now + event.patience, now + job.objective + job.stretch * work
        self.work.add(work)
        self.width.add(event.slots)
        self.may_ask = min(self.may_ask + self.asks, 2.0 * len(self.workers))
        cost = work / self.work.value * event.slots / self.width.value
        request = Request(event.request, job, event.job_class, deadline, aim, work, cost, event.key)
        self.requests[request.id] = request
        if self.plans:
            self.fleet.count_job(event.key)
        if not self._ask(request, now):
            self._dispatch(request, now)

    def _dispatch(self, request: Request, now: int) -> None:
        choice = (
            self._pick(request, now) if (allowed := allows_attempt(request, self.settings, now)) else None
        )
        if choice and not self._too_late(request, choice, now):
            self._send(request, choice, now)
        elif not request.is_in_flight and (not allowed or (choice and not request.job.late_worth)):
            # Where a late answer earns nothing, a client that tries again may get one in time.
            self._close(request, now, choice)
        elif not request.is_in_flight:
            if request.id not in self.held:
                # Where a late answer earns nothing, what is late is given up, and told so at once.
                until = request.deadline - 2 * self.settings.tick
                until = until if request.job.late_worth else min(until, round(request.target))
                self.out.append(face.StartTimer(max(until - now, 0), REQUEST_TIMERS + 2 * request.id))
            self.held[request.id] = request

    def _send(self, request: Request, choice: Row, now: int) -> None:
        self.held.pop(request.id, None)
        _, delay, _, worker = choice
        fetches, patience = (
            request.key != 0 and request.key not in worker.cached_keys,
            PAUSE + SILENCE * delay,
        )
        attempt = Attempt(request, len(request.attempts), worker, now, patience, request.cost, fetches)
        attempt.process_started_at = worker.entry.started_at
        request.attempts.append(attempt)
        request.pending_probes = (
            0  # one that was held may be sent before all it asked have answered: no copy then
        )
        worker.add(attempt)
        if worker.backoff:  # one trial at a time: the next goes after another wait, unless there is a sign
            self._suspect(worker, now)
        if request.key:
            worker.use_key(request.key, max(worker.slots, 1.0))  # it keeps at least the data its slots need
        if worker.lottery_number:
            spend_budget(attempt, now)
        self.out.append(face.Send(request.id, worker.entry.worker))

    def may_begin(self, request: face.RequestId, number: int, now: int) -> bool:
        """Whether an attempt may still be sent, now that its connection has come up."""
        if (held := self.requests.get(request)) is None or held.closed:
            return False
        attempt = held.attempts[number]
        worker, late = attempt.worker, now > attempt.sent_at + self.settings.tick
        if (
            attempt.outcome is not None
            or worker not in self.ready
            or worker.entry.started_at != attempt.process_started_at
        ):
            return False
        if not still_allows_attempt(attempt, self.settings, now):
            return False
        if not late or not worker.lottery_number:
            return True
        release_budget(attempt)  # its budget is that of the window in which it arrives
        rate = worker.rate * self.settings.warmth(worker.entry.started_at, now)
        if allowed := self._in_budget(worker, attempt.cost, rate, now):
            spend_budget(attempt, now)
        return allowed

    def _ended(self, event: face.AttemptEnded, now: int) -> None:
        if not (attempt := find_attempt(self.requests, event)):
            return
        attempt.outcome, worker, request = event.outcome, attempt.worker, attempt.request
        if event.outcome in face.NEVER_ARRIVED:
            release_budget(attempt)
        worker.remove(attempt, now, CANDIDATE_AGES_US[-1] + worker.round_trip)
        if event.load is not None:
            self._report(worker, event.load, now)
        if event.outcome is Outcome.ERROR:
            self.erring.add(now - attempt.sent_at, MEMORY)
            if all(each.outcome is not Outcome.ERROR for each in request.attempts if each is not attempt):
                worker.reliability.record(
                    now, is_error=True
                )  # a request that fails everywhere says nothing of them
        elif event.outcome is Outcome.SERVED:
            worker.reliability.record(now, is_error=False)
            self._trust(worker, now)
            self._learn(attempt, now)
            self._try_held(now, worker)
        elif event.outcome is Outcome.TIMED_OUT:  # it may have left unseen, so it drains: no shut-out
            worker.peer_jobs, worker.peer_jobs_at = worker.peer_jobs + 1, now
        elif event.outcome is Outcome.FULL:  # as good as a report that it holds all that are counted
            self._trust(worker, now)
            worker.peer_jobs, worker.peer_jobs_at = max(K_MAX - len(worker.attempts), 0), now
        elif event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED) and not event.stale:
            worker.resets += 1  # one may be the connection's own; a process that died fails the next as well
            if worker.resets > RESETS or worker.backoff or event.outcome is Outcome.CONNECT_FAILED:
                self._suspect(worker, now)
        if event.closed or request.closed:
            self._finish(request)
        elif not request.is_in_flight:
            self._dispatch(request, now)

    def _finish(self, request: Request) -> None:
        """The request is answered: copies still out are called back, and it is forgotten with the last."""
        self.held.pop(request.id, None)
        if not request.closed and self.settings.cancel_allowed:
            self.out += [face.Cancel(request.id, each.number) for each in request.in_flight]
        request.closed = True
        if not request.is_in_flight:
            self.requests.pop(request.id, None)

    def _close(self, request: Request, now: int, choice: Row | None = None) -> None:
        """The final answer: a refusal where it is true that trying again does no harm."""
        job, ran = request.job, request.first_possible_run
        repeats = job.effect is Effect.SAFE or (job.effect is Effect.KEYED and job.group is Group.ALL)
        after = self._retry_after(request, choice, now)
        self.out.append(face.Refuse(request.id, after) if repeats or not ran else face.Fail(request.id))
        self._finish(request)

    def _retry_after(self, request: Request, choice: Row | None, now: int) -> int:
        """When one more try may be taken: the best wait has drained, or a worker gets its trial."""
        if choice is None:
            trials = [worker.backoff_until - now for worker in self.ready if worker.backoff_until > now]
            return round(max(min(trials, default=self.work.value), self.settings.tick))
        room = self._room(request, choice, request.job.objective + request.job.stretch * request.work)
        return round(max(choice[1] - choice[2] - max(room, 0.0), self.settings.tick))

    def _gone(self, event: face.ClientGone, now: int) -> None:
        if event.request in self.requests:
            self._finish(self.requests[event.request])

    def _timer(self, event: face.TimerFired, now: int) -> None:
        number, for_pick = divmod(event.token - REQUEST_TIMERS, 2)
        if event.token == UPKEEP_TIMER:
            self._upkeep(now)
        elif event.token == SUBSCRIBE_TIMER:
            self.out.append(face.Subscribe())
        elif not for_pick and number in self.held:
            self._close(self.held[number], now)
        elif for_pick and number in self.requests and self.requests[number].pending_probes > 0:
            self.requests[number].pending_probes = 0
            self._dispatch(self.requests[number], now)

    def _try_held(self, now: int, freed: Worker | None = None) -> None:
        request = next(reversed(self.held.values()), None)  # under overload the newest alone can be in time
        if request and request.pending_probes <= 0 and (freed or not self._ask(request, now)):
            request.candidates = [freed] if freed else []  # nothing new is known of the others
            self._dispatch(request, now)

    def _upkeep(self, now: int) -> None:
        pause = round(min(max(self.work.value / 2, FIRST_UPKEEP), LAST_UPKEEP))
        self.out.append(face.StartTimer(pause, UPKEEP_TIMER))
        for attempt in [each for request in self.requests.values() for each in request.in_flight]:
            if not self._silent(attempt, now) or self._is_asked(attempt, now):
                continue
            heard = max(attempt.heard_at, attempt.sent_at)  # where its worker speaks, it is that connection
            if not attempt.worker.backoff and attempt.worker.heard_at <= heard:
                self._suspect(attempt.worker, now)
            if attempt is attempt.request.attempts[-1] and allows_attempt(
                attempt.request, self.settings, now
            ):
                self._dispatch(attempt.request, now)  # a second copy elsewhere, where the class allows it
        if self.plans:
            self.fleet.update([each for each in self.ready if each.backoff_until <= now], self.settings, now)
        elif now >= self.slow_start.drawn_at + self.settings.fall_window:
            self.slow_start.draw(self.workers.values(), self.settings, self.random, now)
        self._ask_silent(now)
        self._try_held(now)

    def _is_asked(self, attempt: Attempt, now: int) -> bool:
        """In a large fleet silence may mean full of others' jobs: the worker is asked, and may answer."""
        worker = attempt.worker
        if not self.asks or attempt.started_at or attempt.overtaken_by >= OVERTAKEN:
            return False
        if worker.probed_at <= max(worker.heard_at, attempt.sent_at):
            self._probe(worker, now)
        return now <= worker.probed_at + PAUSE

    def _probe(self, worker: Worker, now: int) -> None:
        worker.probed_at = now
        self.out.append(face.Probe(worker.entry.worker))

    def _silent(self, attempt: Attempt, now: int) -> bool:
        """A worker that hangs takes jobs and says nothing: no start, no progress, no answer since a send."""
        every, worker = self.settings.progress_interval, attempt.worker
        if attempt.started_at:
            return every > 0 and now - attempt.heard_at > every + PAUSE
        unheard = now - max(worker.heard_at, attempt.sent_at) > attempt.silence_limit
        return self.settings.tells_start and (unheard or attempt.overtaken_by >= OVERTAKEN)

    def _suspect(self, worker: Worker, now: int) -> None:
        """Nothing goes there for a while, then one trial job, and so on, each time after a longer wait."""
        worker.backoff = min(max(2 * worker.backoff, FIRST_BACKOFF), LAST_BACKOFF)
        worker.backoff_until = now + round(worker.backoff * self.random.uniform(0.75, 1.25))

    def _trust(self, worker: Worker, now: int) -> None:
        worker.heard_at, worker.backoff_until, worker.backoff, worker.resets = now, 0, 0, 0

    def _heard(self, event: face.JobStarted | face.JobProgress | face.StreamStarted, now: int) -> None:
        if not (attempt := find_attempt(self.requests, event)):
            return
        attempt.heard_at = now
        if isinstance(event, face.JobStarted):
            attempt.started_at = now
            if self.plans:
                self.fleet.count_start(now)
            for earlier in takewhile(lambda each: each is not attempt, attempt.worker.attempts):
                earlier.overtaken_by += 1
        self._trust(attempt.worker, now)

    def _probed(self, event: face.ProbeEnded, now: int) -> None:
        if not (worker := self.workers.get(event.worker)):
            return
        if event.outcome is Outcome.SERVED:
            worker.heard_at = now
        if event.load is not None:
            worker.round_trip = min(worker.round_trip or event.elapsed, event.elapsed)
            self._report(worker, event.load, now)
        askers, worker.waiting_requests = worker.waiting_requests, []
        for request in askers:
            request.pending_probes -= 1
            if request.pending_probes == 0 and not request.closed:
                self._dispatch(request, now)
        if worker.peer_jobs + worker.own_load + 1 <= worker.concurrency:
            self._try_held(now, worker)
