"""Runs seeded histories of the real router code with simulated workers and clients, on virtual time.

    python -m benchmarks.router_sim [--seeds 100] [--first N] [--defect NAME]

The forwarder, placement, retry budget and handler of control updates are those of a router. Workers reject
requests, are unreachable, close the connection before or after the execution, fail, are slow, hang, drain and
are replaced; new configurations move a route to another service. Prints one JSON line; the exit status is 1
if a rule was broken. The rules:

- each client gets exactly one final response, before its deadline;
- a request of an `unsafe` route is executed at most once, any other at most as often as its route allows;
- a request that is answered 503 with Retry-After is never executed;
- in each sliding window the retries stay within the retry budget;
- no new request is sent to a worker or a service after the router has received its drain or its replacement.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from hazelbend.control import messages as m
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.forwarding.errors import OutcomeUnknownError, SendWithdrawnError, WorkerUnreachableError
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.forwarding.ports import (
    UNKNOWN_CONNECTION,
    BeforeFirstByte,
    ClientRequest,
    ConnectionUse,
    Headers,
    WorkerCall,
)
from hazelbend.forwarding.retry_policy import RetryPolicy
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.system.router_update_handler import RouterUpdateHandler
from tests.support.virtual_loop import VirtualLoop

SECOND_US = 1_000_000
HISTORY_LENGTH_S = 30.0
ARRIVALS_PER_S = 40.0
CHANGES_PER_S = 1.5  # of the behaviour of workers
RETRY_RATIO = 0.2
RETRY_SLACK = 5.0
RETRY_WINDOW_US = 10 * SECOND_US
CONTROL_ADDRESS = "10.0.1.1:7000"  # of the control process that sends all updates
TIMEOUT_MS = 1_500
LATE_US = 50_000  # tolerance of final responses after the deadline
WORKERS = 6  # of each service
SERVICES = ("one", "two")
RETRIES = {"safe": 3, "unsafe": 3, "stream": 2}  # executions that a route of this kind allows
PATHS = {kind: f"/{kind}/" for kind in RETRIES}
BAD_BEHAVIOURS = ("full", "unreachable", "reset_before", "reset_after", "error", "slow", "hang", "cut")
BAD_SHARES = (0.2, 0.5, 0.9)  # of behaviour changes; each history draws one of these
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]


class BrokenRuleError(AssertionError):
    """A history broke one of the rules."""


@dataclass
class SimulatedResponse:
    """Implements `WorkerResponse`."""

    status: int = 200
    parts: tuple[bytes, ...] = (b"body",)
    headers: Headers = (("Server-Signature", "x"),)
    not_executed: bool = False
    reported_in_flight: int | None = None
    body_bytes: int | None = None
    is_cut: bool = False
    reason: str = ""
    connection: ConnectionUse = UNKNOWN_CONNECTION

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body; half of it if the worker closes the connection early."""
        parts = self.parts[: len(self.parts) // 2] if self.is_cut else self.parts
        for part in parts:
            await asyncio.sleep(0.01)
            yield part
        if self.is_cut:
            raise OutcomeUnknownError("cut")

    async def body(self) -> bytes:
        """The whole body."""
        return b"".join([part async for part in self.chunks()])

    def close(self) -> None:
        """Has no resource to release."""


@dataclass
class SimulatedClient:
    """Implements `ClientResponse`, and checks that there is exactly one final response."""

    request: ClientRequest
    kind: str
    now: Callable[[], int]
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    ended_at: int | None = None

    async def allocate(self, size: int) -> None:
        """There is always room."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Receive a complete response."""
        self._begin(status, headers)
        self._end()

    async def begin(self, status: int, headers: Headers) -> None:
        """Receive the head of a response."""
        self._begin(status, headers)

    async def write(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self.ended_at is not None:
            raise BrokenRuleError(f"{self.request.id}: data after the end")

    async def finish(self) -> None:
        """Receive the end of the body."""
        self._end()

    def abort(self) -> None:
        """Receive the end of the connection without the end of the body."""
        self._end()

    def _begin(self, status: int, headers: Headers) -> None:
        if self.status:
            raise BrokenRuleError(f"{self.request.id}: a second response, {status} after {self.status}")
        self.status = status
        self.headers = dict(headers)

    def _end(self) -> None:
        if self.ended_at is not None:
            raise BrokenRuleError(f"{self.request.id}: a second end")
        self.ended_at = self.now()


class SimulatedWorker:
    """One worker with a behaviour that changes; counts executions by request id."""

    def __init__(self, number: int, service: str, executed: Counter[str]) -> None:
        self.number = number
        self.instance = f"i-{number}"
        self.service = service
        self.address = f"10.9.0.{number}:80"
        self.behaviour = "healthy"
        self.sequence = 1
        self.drained_at: int | None = None  # when the router received the drain
        self._executed = executed

    def record(self, state: WorkerState) -> WorkerRecord:
        """The record of its next heartbeat."""
        self.sequence += 1
        return WorkerRecord(self.instance, self.service, self.address, "z", state, self.sequence, 6, "")

    async def respond(self, call: WorkerCall) -> SimulatedResponse:
        """Respond, by the current behaviour, to a request that was written completely."""
        behaviour = self.behaviour
        if behaviour == "full":
            return SimulatedResponse(503, not_executed=True)
        if behaviour == "reset_before":
            raise OutcomeUnknownError("reset")
        self._executed[call.request.id] += 1
        if behaviour == "hang":
            await asyncio.sleep(60)
        await asyncio.sleep(0.3 if behaviour == "slow" else 0.02)
        if behaviour == "reset_after":
            raise OutcomeUnknownError("reset")
        if behaviour == "error":
            return SimulatedResponse(500)
        is_stream = call.request.target.startswith(PATHS["stream"])
        parts = tuple(EVENTS) if is_stream else (b"body",)
        return SimulatedResponse(parts=parts, is_cut=behaviour == "cut")


class RouterHistory:
    """A seeded run of one router with its workers and clients."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.bad_share = self.random.choice(BAD_SHARES)
        self.loop = VirtualLoop()
        self.executed: Counter[str] = Counter()
        self.sends: list[tuple[int, str]] = []  # time and id of each request that was written
        self.arrivals: list[int] = []
        self.clients: list[SimulatedClient] = []
        self.statuses: Counter[int] = Counter()
        self.state = FleetState(PlacementEngine("z", seed))
        self.state.has_current_config = lambda: True
        settings: Any = SimpleNamespace(
            config_apply_us=2 * SECOND_US, heartbeat_us=SECOND_US
        )  # the handler reads no other settings
        self.handler = RouterUpdateHandler(
            settings, self.state, on_limits=lambda limits: None, on_fleet_status=lambda status: None
        )
        self.forwarder = Forwarder(
            self.state, self, self.now, lambda: RetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_US), seed
        )
        self.workers: dict[str, SimulatedWorker] = {}
        self.service = SERVICES[0]
        self.replaced_at: dict[str, int] = {}  # by service: when the router received its replacement
        self.version = 0

    def now(self) -> int:
        """Virtual microseconds."""
        seconds: float = self.loop.time()
        return round(seconds * SECOND_US)

    def run(self) -> None:
        """Run the history.

        Raises:
            BrokenRuleError: a rule was broken.
        """
        try:
            self.loop.run_until_complete(self._run())
        finally:
            self._end_tasks()
            self.loop.close()
        self._check_executions()
        self._check_retry_budget()

    def _end_tasks(self) -> None:
        """Cancel the requests that a broken rule leaves in flight."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))

    async def _run(self) -> None:
        for number in range(WORKERS * len(SERVICES)):
            worker = SimulatedWorker(number + 1, SERVICES[number % len(SERVICES)], self.executed)
            self.workers[worker.address] = worker
            self._send_worker_update(worker, WorkerState.READY)
        self._apply_configuration(self.service)
        end = self.loop.time() + HISTORY_LENGTH_S
        changes = asyncio.create_task(self._change_until(end))
        requests: list[asyncio.Task[None]] = []
        while self.loop.time() < end:
            await asyncio.sleep(self.random.expovariate(ARRIVALS_PER_S))
            requests.append(asyncio.create_task(self._serve(len(requests))))
        await asyncio.gather(*requests)
        await changes
        await self.forwarder.close()

    async def _serve(self, number: int) -> None:
        kind = self.random.choice(tuple(RETRIES))
        arrived_at = self.now()
        request = ClientRequest(
            id=f"q{number}",
            method="POST",
            target=f"{PATHS[kind]}{number}",
            host="a.example",
            headers=(),
            body=b"",
            arrived_at=arrived_at,
            timeout_us=self.random.choice((None, 300_000, 900_000)),
        )
        client = SimulatedClient(request, kind, self.now)
        self.arrivals.append(arrived_at)
        self.clients.append(client)
        await self.forwarder.serve(request, client)
        if client.ended_at is None:
            raise BrokenRuleError(f"{request.id}: no final response")
        deadline = arrived_at + min(request.timeout_us or TIMEOUT_MS * 1_000, TIMEOUT_MS * 1_000)
        if client.ended_at > deadline + LATE_US:
            raise BrokenRuleError(
                f"{request.id}: answered {client.ended_at - deadline} us after its deadline"
            )
        self.statuses[client.status] += 1

    # --- WorkerClient ---

    async def send(self, call: WorkerCall, before_first_byte: BeforeFirstByte) -> SimulatedResponse:
        """Connect, run the check before the first byte, and pass the request to the worker."""
        worker = self.workers[call.address]
        await asyncio.sleep(self.random.uniform(0.001, 0.08))
        if worker.behaviour == "unreachable":
            await asyncio.sleep(0.2)
            raise WorkerUnreachableError("unreachable")
        if before_first_byte() is None:
            raise SendWithdrawnError
        now = self.now()
        if worker.drained_at is not None and worker.drained_at < now:
            raise BrokenRuleError(f"{call.request.id}: sent to {worker.instance}, which drains")
        replaced_at = self.replaced_at.get(worker.service)
        if replaced_at is not None and replaced_at < call.request.arrived_at:
            raise BrokenRuleError(f"{call.request.id}: sent by a configuration that was replaced")
        self.sends.append((now, call.request.id))
        return await worker.respond(call)

    async def free_handle(self, address: str, instance: str, handle: str) -> None:
        """Does nothing, as no handles are used."""

    # --- changes of workers and configuration ---

    async def _change_until(self, end: float) -> None:
        while self.loop.time() < end:
            await asyncio.sleep(self.random.expovariate(CHANGES_PER_S))
            draw = self.random.random()
            if draw < 0.1:
                self._move_route()
            elif draw < 0.3:
                self._drain_or_return()
            else:
                worker = self.random.choice(sorted(self.workers.values(), key=lambda worker: worker.address))
                is_bad = self.random.random() < self.bad_share
                worker.behaviour = self.random.choice(BAD_BEHAVIOURS) if is_bad else "healthy"

    def _move_route(self) -> None:
        old_service = self.service
        self.service = next(service for service in SERVICES if service != old_service)
        self._apply_configuration(self.service)
        self.replaced_at[old_service] = self.now()
        self.replaced_at.pop(self.service, None)

    def _drain_or_return(self) -> None:
        draining = [worker for worker in self.workers.values() if worker.drained_at is not None]
        serving = [worker for worker in self.workers.values() if worker.drained_at is None]
        if draining and self.random.random() < 0.5:
            removed = self.random.choice(draining)
            del self.workers[removed.address]  # another instance takes its address
            worker = SimulatedWorker(
                int(removed.address.split(".")[3].split(":")[0]), removed.service, self.executed
            )
            worker.instance = f"{removed.instance}x"
            self._send_worker_update(removed, WorkerState.GONE)
            self.workers[worker.address] = worker
            self._send_worker_update(worker, WorkerState.READY)
        elif len(serving) > WORKERS:
            worker = self.random.choice(serving)
            self._send_worker_update(worker, WorkerState.DRAINING)
            worker.drained_at = self.now()

    def _send_worker_update(self, worker: SimulatedWorker, state: WorkerState) -> None:
        self.handler.apply_workers(CONTROL_ADDRESS, m.WorkerUpdate(0, (worker.record(state),)))

    def _apply_configuration(self, service: str) -> None:
        self.version += 1
        routes = [
            {"name": kind, "host": "a.example", "prefix": PATHS[kind], "kind": kind, "timeoutMs": TIMEOUT_MS,
             "backend": service, "retries": retries, "resume": kind == "stream"}
            for kind, retries in RETRIES.items()
        ]  # fmt: skip
        services = [{"name": name} for name in SERVICES]
        document = json.dumps({"version": self.version, "routes": routes, "services": services}).encode()
        self.handler.apply_config(m.ConfigUpdate(self.version, zlib.compress(document)))

    # --- rules that are checked at the end ---

    def _check_executions(self) -> None:
        for client in self.clients:
            executed = self.executed[client.request.id]
            allowed = 1 if client.kind == "unsafe" else RETRIES[client.kind]
            if executed > allowed:
                raise BrokenRuleError(f"{client.request.id} ({client.kind}) was executed {executed} times")
            if client.status == 503 and "Retry-After" in client.headers and executed:
                raise BrokenRuleError(f"{client.request.id} was rejected, but executed")

    def _check_retry_budget(self) -> None:
        seen: set[str] = set()
        retries = []
        for at, request_id in self.sends:
            if request_id in seen:
                retries.append(at)
            seen.add(request_id)
        for last in retries:
            first = last - RETRY_WINDOW_US
            retry_count = sum(first < at <= last for at in retries)
            allowed = RETRY_RATIO * sum(first < at <= last for at in self.arrivals) + RETRY_SLACK
            if retry_count > allowed:
                raise BrokenRuleError(f"{retry_count} retries in a window that allows {allowed:.1f}")


def run_history(seed: int) -> RouterHistory:
    """Run the history of one seed.

    Raises:
        BrokenRuleError: a rule was broken.
    """
    history = RouterHistory(seed)
    history.run()
    return history


# --- planted defects ---


def _always(value: object) -> Callable[..., object]:
    return lambda *arguments, **options: value


def _time_without_checks(self: FleetState, context: Any, choice: Any, now: int) -> int:
    remaining: int = context.deadline - now
    return max(remaining, 1)


DEFECTS: dict[str, tuple[Any, str, Any]] = {
    "no_recheck": (FleetState, "time_to_send", _time_without_checks),
    "executes_again": (RetryPolicy, "may_execute_again", staticmethod(_always(True))),
    "no_budget": (RetryBudget, "allows_retry", _always(True)),
    "configuration_is_kept": (
        FleetState,
        "apply_configuration",
        lambda self, table: _keep_first_configuration(self, table),
    ),
}


def _keep_first_configuration(self: FleetState, table: Any) -> bool:
    """Apply only the first configuration."""
    if self.route_table is not None:
        return False
    self.route_table = table
    self.placement.services = table.services
    return True


@contextmanager
def planted_defect(name: str) -> Iterator[None]:
    """Plant this defect in the code for the duration of the context; an empty name plants none."""
    if not name:
        yield
        return
    owner, attribute, value = DEFECTS[name]
    original = owner.__dict__[attribute]
    setattr(owner, attribute, value)
    try:
        yield
    finally:
        setattr(owner, attribute, original)


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--defect", choices=sorted(DEFECTS), default="")
    options = parser.parse_args()
    began = time.monotonic()
    broken: dict[int, str] = {}
    totals: Counter[str] = Counter()
    with planted_defect(options.defect):
        for seed in range(options.first, options.first + options.seeds):
            try:
                history = run_history(seed)
            except BrokenRuleError as error:
                broken[seed] = str(error)
                continue
            totals["requests"] += len(history.clients)
            totals["sends"] += len(history.sends)
            totals.update({f"status {status}": count for status, count in history.statuses.items()})
    seconds = round(time.monotonic() - began, 1)
    print(json.dumps({"seeds": options.seeds, **totals, "broken": broken, "seconds": seconds}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
