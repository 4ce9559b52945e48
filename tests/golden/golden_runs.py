"""Golden runs: digests of what the engines decide for fixed seeds and fixed events.

A run passes events to the engines and hashes their output: encoded messages, or values without the names of
classes and fields. A rename changes no digest; another order of random draws, another timer or another field
does. `checkpoints` hold the digest after some steps, to find where a run diverges. The file was written by
the program of commit a71086c, except `control` and `fleet`, which were written again when each broadcast of a
leader became a round (their messages name the round):

    PYTHONPATH=DIRECTORY_OF_COMMIT:tests PYTHONHASHSEED=0 python tests/golden/golden_runs.py --write
"""

from __future__ import annotations

import heapq
import json
import random
import sys
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

import hazelbend
from benchmarks import quota_sim
from benchmarks.control import fleet as control_fleet
from benchmarks.control import history
from hazelbend.consensus import state_codec
from hazelbend.control import messages
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.configuration import Configuration
from hazelbend.control.load_table import CachedPrefix, Load
from hazelbend.control.phase_planner import PhasePlanner
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.decisions import interface, learned_state
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.gossip.messages import Packet
from hazelbend.job_queue import terms
from hazelbend.job_queue.engine import JobQueueEngine
from hazelbend.leases import lease_table
from hazelbend.leases import operations as lease_operations
from hazelbend.leases.lease_node import LeaseNode, LeaseNodeSettings
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.prompt import parse_prompt
from hazelbend.placement.reliability import AttemptOutcome, FailureCosts
from hazelbend.placement.routes import RouteTable
from hazelbend.placement.worker_replicas import Liveness
from hazelbend.quotas import operations as quota_operations
from hazelbend.system.control_status import control_status
from tests.golden import golden_kit as kit
from tests.golden.golden_shown import plain_values

RUNS_FILE = kit.GOLDEN / "runs.json"
MS, S = 1_000, 1_000_000
CHECKPOINTS = 8
SIGNIFICANT_DIGITS = 9  # of floats: math libraries differ beyond this precision


class Trace:
    """Hashes the output of a run step by step."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self._digest = blake2b(digest_size=8)

    def add(self, *values: Any) -> None:
        text = json.dumps([to_json_value(each) for each in values]).encode()
        self._digest.update(text)
        self.steps.append(self._digest.hexdigest())

    def result(self) -> dict[str, Any]:
        count = len(self.steps)
        places = [count * n // CHECKPOINTS - 1 for n in range(1, CHECKPOINTS + 1)]
        return {"steps": count, "checkpoints": {str(place + 1): self.steps[place] for place in places}}


def to_json_value(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    return floats_to_text(plain_values(value))


def next_random_values(*owners: Any) -> list[float]:
    """Return the next values of these objects' random generators; they differ if a draw was left out."""
    next_values = []
    for owner in owners:
        for value in vars(owner).values():
            if isinstance(value, random.Random):
                copy = random.Random()
                copy.setstate(value.getstate())
                next_values.append(copy.random())
    assert next_values
    return next_values


def floats_to_text(value: Any) -> Any:
    if isinstance(value, float):
        return f"{value:.{SIGNIFICANT_DIGITS}g}"
    if isinstance(value, list):
        return [floats_to_text(each) for each in value]
    if isinstance(value, dict):
        return {key: floats_to_text(each) for key, each in value.items()}
    return value


def control_run() -> Trace:
    """Trace all messages of control processes under faults, in the simulation of benchmarks.control."""
    trace, encode = Trace(), messages.encode

    def recorded(body: Any) -> bytes:
        content = encode(body)
        trace.add(content)
        return content

    messages.encode = recorded
    try:
        recorded_history = history.play(5, length=10 * S)
    finally:
        messages.encode = encode
    trace.add(
        [
            recorded_history.changes,
            recorded_history.reads,
            recorded_history.drains,
            recorded_history.orders,
            recorded_history.messages,
        ]
    )
    return trace


def control_status_pages() -> list[Any]:
    """Return `GET /status` of all control processes some seconds after the start; one is partitioned."""
    fleet = control_fleet.Fleet(3, machines=4, observers=1)
    fleet.run(8 * S)
    first = fleet.addresses[0]
    for n, state in enumerate(WorkerState):
        record = WorkerRecord(
            f"w{n}", "chat", f"127.0.0.1:800{n}", "a", state, n, 8, ("", "prefill", "decode")[n]
        )
        fleet.send_heartbeat(first, record, lambda held: None)
    leader = fleet.leader
    assert leader is not None
    fleet.put(leader.address, 0, 7, b'{"version": 7}', lambda result: None)
    fleet.run(2 * S)
    partitioned = next(each for each in fleet.addresses if each != leader.address)
    for other in fleet.addresses:
        if other != partitioned:
            fleet.partition(partitioned, other)
    fleet.run(3 * S)
    return [
        json.loads(
            msgspec.json.encode(
                control_status(each.engine, StoredConfig(each.published_version), {}, fleet.now)
            )
        )
        for each in fleet.alive
    ]


def quota_run() -> Trace:
    """Trace dispatchers that draw units from a quota ledger; requests to it are lost or delayed."""
    trace = Trace()
    simulation = quota_sim.QuotaSimulation(4, quota_sim.fault_scenario(3, ""))
    execute = simulation.ledger.execute

    def recorded(operation: Any) -> Any:
        answer = execute(operation)
        trace.add(quota_operations.encode(operation), answer)
        return answer

    simulation.ledger.execute = recorded  # type: ignore[method-assign]
    simulation.run(20 * S)
    trace.add(simulation.ledger.snapshot())
    return trace


def fleet_run() -> Trace:
    """Trace four members that share leases on a lossy network.

    A leader transfers its leadership, a leader stops, and a member leaves.
    """
    trace, rng, now = Trace(), random.Random(8), 0
    addresses = [f"127.0.0.{n}:9100" for n in range(1, 5)]
    limits = lease_table.LeaseLimits(min_ttl_us=200 * MS, max_ttl_us=2 * S)
    settings_ = LeaseNodeSettings("blue", tuple(addresses[:2]), 3, limits)
    fleets = {address: LeaseNode(f"n{n}@{address}", settings_, n, 0) for n, address in enumerate(addresses)}
    in_flight: list[tuple[int, int, str, bytes, bool]] = []
    packets = msgspec.msgpack.Decoder(Packet)
    log_messages = kit.CODECS["fleet_tell"]
    encode = msgspec.msgpack.encode
    number = 0

    def flush(address: str) -> None:
        nonlocal number
        fleet = fleets[address]
        saved = state_codec.encode_changes(fleet.raft)
        out, answers = fleet.take_output()
        trace.add(address, saved, answers)
        for to, item in out:
            content = encode(item)
            trace.add(to, content)
            if rng.random() > 0.03:
                number += 1
                at = now + rng.randrange(1 * MS, 40 * MS)
                heapq.heappush(in_flight, (at, number, to, content, isinstance(item, Packet)))

    tokens: dict[str, int] = {}
    for step in range(3_000):
        now += 10 * MS
        if step == 5:
            fleets[addresses[0]].start_new_epoch(1_764_000_000.0, now)
        leading = [address for address, fleet in fleets.items() if fleet.raft.is_leader]
        if step == 1_000:
            fleets[leading[0]].transfer_leadership(now)
        if step == 1_400:
            del fleets[leading[0]]
        if step == 2_000:
            last = next(address for address in fleets if address not in leading)
            fleets[last].leave(now)
            flush(last)
        while in_flight and in_flight[0][0] <= now:
            _, _, to, content, is_packet = heapq.heappop(in_flight)
            if to in fleets:
                item = (
                    packets.decode(content)
                    if is_packet
                    else log_messages.read(encode([[], [msgspec.msgpack.decode(content)]]))[1][0]
                )
                fleets[to].receive(item, now)
                flush(to)
        if step % 29 == 7:  # less often than heartbeats, which are sent with the next message
            address = rng.choice(leading or sorted(fleets))
            name = f"lease-{rng.randrange(3)}"
            holder = f"h{rng.randrange(4)}"
            operation = rng.choice(
                [
                    lease_operations.Acquire(name, holder, step // 400, 1_500 * MS, 900 * MS),
                    lease_operations.Acquire(name, holder, step // 400, 1_800 * MS),
                    lease_operations.Renew(name, tokens.get(name, 1)),
                    lease_operations.Release(name, tokens.get(name, 1)),
                    lease_operations.LeaveQueue(name, holder),
                ]
            )
            fleets[address].submit(step, operation, now)
        for address, fleet in fleets.items():
            if now >= fleet.next_at:
                fleet.tick(now)
            if fleet.has_output:
                flush(address)
            for name, lease in fleet.leases.state.leases.items():
                tokens[name] = max(tokens.get(name, 0), lease.token)
    for fleet in fleets.values():
        trace.add(encode(fleet.view(now)), state_codec.encode_state(fleet.raft.persistent))
        trace.add(next_random_values(fleet.members, fleet.raft))
    return trace


def settings(**more: Any) -> interface.Settings:
    classes = (
        interface.JobClass(200 * MS, 1.0, 1.0, 0.5, interface.Idempotency.SAFE),
        interface.JobClass(
            400 * MS, 0.0, 3.0, 0.0, interface.Idempotency.KEYED, interface.DedupScope.ZONE, 2 * S
        ),
        interface.JobClass(300 * MS, 0.0, 2.0, 0.2, interface.Idempotency.UNSAFE, machine_kind=1),
    )
    return interface.Settings(
        fleet_size=2, classes=classes, collapse_window=500 * MS, warmup_duration=4 * S, **more
    )


DISPATCHERS = {
    "inline": settings(reports_inline=True, reports_job_starts=True, cancel_allowed=True),
    "probes": settings(reports_by_probe=True, probes_allowed=True, hedging_allowed=True),
    "blind": settings(progress_interval=50 * MS, list_is_polled=True, cross_zone_charge=0.1),
    "weights": settings(weights_fall_with_load=True, value_per_work=True, handshake_charge=0.1),
}


def dispatcher_run(conf: interface.Settings) -> Trace:
    """Trace one dispatcher with ten workers of four slots; some workers are cold, slow or failing."""
    trace, rng, now, number = Trace(), random.Random(3), 1 * S, 0
    dispatcher = Dispatcher(conf, 7)
    scheduled: list[tuple[int, int, Any]] = []
    running_jobs = dict.fromkeys(range(1, 11), 0)
    attempts: dict[int, int] = {}

    def at(delay: int, event: Any) -> None:
        nonlocal number
        number += 1
        heapq.heappush(scheduled, (now + max(delay, 0), number, event))

    def load(worker: int) -> interface.LoadReport:
        held = running_jobs[worker]
        return interface.LoadReport(float(held), float(max(held - 4, 0)), float(max(4 - held, 0)))

    def sent(send: Any) -> None:
        attempt = attempts.get(send.request, 0)
        attempts[send.request] = attempt + 1
        running_jobs[send.worker] += 1
        drawn, run = rng.random(), rng.randrange(40 * MS, 200 * MS) * (1 + running_jobs[send.worker] // 4)
        outcome = interface.Outcome.SERVED
        if drawn < 0.1 and send.worker % 3 == 0:
            outcome = rng.choice(
                [interface.Outcome.ERROR, interface.Outcome.RESET, interface.Outcome.CONNECT_FAILED]
            )
        elif running_jobs[send.worker] > 9:
            outcome, run = interface.Outcome.FULL, 5 * MS
        elif drawn > 0.97:
            run += 1 * S
        if send.timeout and run > send.timeout:
            outcome, run = interface.Outcome.TIMED_OUT, send.timeout
        at(run // 3, interface.JobStarted(send.request, send.worker, attempt))
        at(run // 2, interface.JobProgress(send.request, send.worker, attempt, 0.5))
        at(run, ("end", send.request, send.worker, attempt, outcome, run))

    def handle(event: Any) -> None:
        actions = dispatcher.handle(event, now)
        trace.add(now, actions)
        for action in actions:
            if isinstance(action, interface.Send):
                sent(action)
            elif isinstance(action, interface.StartTimer):
                at(action.delay, interface.TimerFired(action.token))
            elif isinstance(action, interface.Probe):
                at(3 * MS, ("probe", action.worker))
            elif isinstance(action, interface.Subscribe):
                at(20 * MS, ("list",))

    def entries() -> tuple[interface.WorkerEntry, ...]:
        return tuple(
            interface.WorkerEntry(
                worker,
                worker % 2,
                worker % 3 // 2,
                worker % 4,
                interface.WorkerState.DRAINING
                if now > 6 * S and worker == 4
                else interface.WorkerState.READY,
                1.0 + worker % 2,
                2 * S if worker > 8 else 0,
            )
            for worker in running_jobs
        )

    at(0, ("list",))
    for request in range(500):
        arrival = interface.RequestArrived(
            request, rng.randrange(300 * MS, 3 * S), request % 3, request % 2, 1.0, 50 * MS, request % 7
        )
        at(request * 20 * MS + rng.randrange(20 * MS), arrival)
    at(3 * S, ("down", 5))
    at(5 * S, interface.ClientGone(200))
    while scheduled and now < 14 * S:
        now, _, event = heapq.heappop(scheduled)
        match event:
            case ("list",):
                handle(interface.MembershipUpdate(interface.ListKind.FULL, entries()))
            case ("down", worker):
                running_jobs.pop(worker)
                handle(interface.MembershipUpdate(interface.ListKind.FULL, entries()))
                running_jobs[worker] = 0
            case ("probe", worker):
                handle(interface.ProbeEnded(worker, interface.Outcome.SERVED, 3 * MS, load(worker)))
            case ("end", request, worker, attempt, outcome, run):
                running_jobs[worker] -= 1
                report = load(worker) if conf.reports_inline else None
                handle(interface.AttemptEnded(request, worker, attempt, outcome, False, run, report))
            case _:
                handle(event)
    trace.add(learned_state.export_state(dispatcher, now), sorted(dispatcher.workers_in_backoff(now)))
    trace.add(next_random_values(dispatcher))
    return trace


def learned_state_after_import() -> dict[str, Any]:
    """Return the learned state that an upgrade hands over, and the same after an import and a new export."""
    dispatcher = Dispatcher(DISPATCHERS["inline"], 7)
    entries = tuple(interface.WorkerEntry(n, started_at=2 * S if n == 3 else 0) for n in range(1, 4))
    dispatcher.handle(interface.MembershipUpdate(interface.ListKind.FULL, entries), 1 * S)
    now = 1 * S
    for request in range(60):
        now += 50 * MS
        for action in dispatcher.handle(
            interface.RequestArrived(request, 5 * S, request % 2, key=request), now
        ):
            if isinstance(action, interface.Send):
                outcome = interface.Outcome.SERVED if action.worker != 2 else interface.Outcome.CONNECT_FAILED
                load = interface.LoadReport(float(action.worker), 1.0, 2.0)
                end = interface.AttemptEnded(request, action.worker, 0, outcome, False, 40 * MS, load)
                dispatcher.handle(end, now + 40 * MS)
    known: dict[str, Any] = json.loads(json.dumps(learned_state.export_state(dispatcher, now)))
    fresh = Dispatcher(DISPATCHERS["inline"], 7)
    fresh.handle(interface.MembershipUpdate(interface.ListKind.FULL, entries), now)
    learned_state.import_state(fresh, known, now)
    passed_on = json.loads(json.dumps(learned_state.export_state(fresh, now)))
    return {"passed": round_floats(known), "passed on": round_floats(passed_on)}


def round_floats(value: Any) -> Any:
    """Round all floats, kept as numbers."""
    if isinstance(value, float):
        return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if isinstance(value, list):
        return [round_floats(each) for each in value]
    if isinstance(value, dict):
        return {key: round_floats(each) for key, each in value.items()}
    return value


def liveness_by_age(ages: dict[str, int], expiry: int, instance: str) -> Liveness:
    """The liveness of a worker by its age, where all others are alive."""
    if instance not in ages:
        return Liveness.ALIVE
    return Liveness.EXPIRED if ages[instance] > expiry else Liveness.SILENT


def placement_run() -> Trace:
    """Trace a router with workers of two phases and workers without.

    It covers prefills, decodes, plain requests, failures, and the load reports of other routers.
    """
    trace, rng, now = Trace(), random.Random(6), 0
    placement = PlacementEngine("a", 11)
    document = kit.ROUTES | {"services": [{"name": "plain"}, {"name": "chat", "engine": ENGINE}]}
    placement.services = RouteTable(msgspec.convert(document, Configuration)).services
    for n in range(8):
        phase = ("prefill", "decode")[n % 2] if n < 5 else ""
        service = "chat" if n < 5 else "plain"
        record = WorkerRecord(
            f"w{n}", service, f"127.0.0.1:80{n:02}", "ab"[n % 3 == 0], WorkerState.READY, 1, 8, phase
        )
        placement.merge(record)
    out: list[tuple[int, int, str, Any, Any]] = []

    def choice_values(choice: Any) -> list[Any] | None:
        if choice is None:
            return None
        return [choice.worker.record.instance, choice.prefill_tokens, choice.cost, choice.expected_delay]

    for step in range(1_500):
        now += rng.randrange(1 * MS, 8 * MS)
        while out and out[0][0] <= now:
            _, _, stage, send, prompt = heapq.heappop(out)
            failed = rng.random() < 0.08
            placement.record_answer(send, now)
            if stage == "read":
                placement.observe_prefill(send, now)
            elif stage == "event":
                placement.observe_first_event(send, now)
                placement.record_kv_transfer(send, prompt)
            else:
                placement.observe_service_time(send, now)
            placement.record_outcome(send, AttemptOutcome.FAILED if failed else AttemptOutcome.SERVED, now)
            placement.end_attempt(send)
        usage, parts = f"{300 + step % 9 * 400},80", f"p{step % 3}:200,q{step % 5}:100,r{step}:50"
        prompt, failure_costs = parse_prompt(usage, parts), FailureCosts(4e5, 1e5, 2e5 * (step % 2))
        tried = {f"w{step % 8}"} if step % 10 == 0 else set()
        if step % 3 == 0:
            chosen = placement.selector.choose("plain", now, tried, failure_costs)
            trace.add(choice_values(chosen))
            if chosen is not None:
                send = placement.begin_attempt(chosen, prompt, now, takes_slot=True)
                heapq.heappush(out, (now + 30 * MS + step % 7 * 9 * MS, step, "run", send, prompt))
        else:
            pair = placement.selector.choose_pair("chat", prompt, now, tried, failure_costs)
            trace.add(
                None if pair is None else [choice_values(pair.prefill), choice_values(pair.decode), pair.cost]
            )
            if pair is not None and pair.prefill is not None:
                send = placement.begin_attempt(pair.prefill, prompt, now, takes_slot=False)
                heapq.heappush(out, (now + 40 * MS + prompt.tokens * 20, step, "read", send, prompt))
            if pair is not None:
                send = placement.begin_attempt(pair.decode, prompt, now, takes_slot=True)
                heapq.heappush(out, (now + 90 * MS + step % 5 * 20 * MS, step, "event", send, prompt))
        if step % 20 == 19:
            loads = {f"w{n}": Load(rng.randrange(6), rng.randrange(3_000)) for n in range(8)}
            placement.apply_load_report(loads, (CachedPrefix("w0", "p1", 200),), now)
            age = step * MS
            placement.update_liveness(lambda name, age=age: liveness_by_age({"w7": age}, 1 * S, name))
            trace.add(placement.own_loads(now), placement.take_outcomes(), placement.newly_cached)
            placement.newly_cached = []
    trace.add(next_random_values(placement.selector))
    return trace


ENGINE = {"capacity": 16, "kvCapacity": 40_000, "kvTokenBytes": 18_000, "bandwidthMbps": 370_000.0}


def phases_run() -> Trace:
    """Trace which workers of a service get the prefill and which the decode phase as loads change."""
    trace, rng, planner = Trace(), random.Random(2), PhasePlanner()
    phases = {f"w{n}": ("prefill", "decode")[n % 2] for n in range(8)}
    for step in range(400):
        records = [
            WorkerRecord(name, "chat", f"127.0.0.1:80{n:02}", "a", WorkerState.READY, step, 8, phase)
            for n, (name, phase) in enumerate(phases.items())
        ]
        heavy = step // 100 % 2
        loads = {
            name: Load(rng.randrange(1, 12) * heavy, rng.randrange(9_000) * (1 - heavy)) for name in phases
        }
        orders = planner.plan(records, loads, step * 200 * MS)
        trace.add(orders, planner.switching)
        for order in orders:
            if rng.random() < 0.8:
                phases[order.instance] = order.phase
            else:
                planner.discard_order(order)
    return trace


def waiting_run() -> Trace:
    """Trace jobs that wait for other jobs, for a start time and for admission."""
    trace, rng, now, wall = Trace(), random.Random(9), 0, 10**15
    bounds = terms.Bounds(
        slots=5,
        by_class=((1, 2),),
        shares=((0, 0.4),),
        aged=2,
        max_waiting=60,
        submission_timeout_us=400 * MS,
    )
    engine = JobQueueEngine(bounds)
    running: list[Any] = []
    for step in range(1_500):
        passed = rng.randrange(1, 20 * MS)
        now, wall = now + passed, wall + passed
        drawn = rng.random()
        effects: list[Any] = []
        if drawn < 0.5:
            after = [
                terms.Dependency(
                    str(rng.randrange(max(step - 30, 0), step + 3)), rng.choice(DEPENDENCY_CONDITIONS)
                )
            ]
            at = wall + rng.randrange(300 * MS) if drawn < 0.1 else None
            wish = terms.JobTerms(tuple(after if drawn < 0.25 else ()), at, 0, drawn < 0.2)
            request = terms.JobRequest(
                ("c", str(step)), step % 3, step % 2, now + rng.randrange(1 * S), 10, wish, 200 * MS, 0.5
            )
            try:
                effects = engine.submit(request, now, wall)
            except terms.TermsError as error:
                trace.add(str(error))
        elif drawn < 0.8 and running:
            key = running.pop(rng.randrange(len(running)))
            end = rng.choice([terms.JobOutcome.SERVED, terms.JobOutcome.SERVED, terms.JobOutcome.FAILED])
            effects = engine.ended(key, end, b"result", now)
        elif drawn < 0.85:
            effects = engine.cancel(("c", str(rng.randrange(step + 1))), terms.JobOutcome.CANCELLED, now)
        else:
            effects = engine.tick(now, wall)
        trace.add(effects, engine.next_at(now, wall), engine.waiting)
        running += [each.key for each in effects if isinstance(each, terms.Release)]
    trace.add(engine.reject_all("over", now))
    return trace


DEPENDENCY_CONDITIONS = tuple(terms.DependencyCondition)
RUNS_BY_NAME: dict[str, Callable[[], Trace]] = {
    "control": control_run,
    "quotas": quota_run,
    "fleet": fleet_run,
    **{
        f"dispatcher {name}": (lambda conf=conf: dispatcher_run(conf))  # type: ignore[misc]
        for name, conf in DISPATCHERS.items()
    },
    "placement": placement_run,
    "phases": phases_run,
    "waiting": waiting_run,
}


def run_all() -> dict[str, Any]:
    results: dict[str, Any] = {name: run().result() for name, run in RUNS_BY_NAME.items()}
    return results | {"learnt": learned_state_after_import(), "control status": control_status_pages()}


if __name__ == "__main__":
    results = json.dumps(run_all(), indent=1) + "\n"
    if "--write" in sys.argv:
        print("written with", Path(hazelbend.__file__).parent)
        RUNS_FILE.write_text(results)
    else:
        print(results, end="")
