"""Requests through the forwarder of a router, with scripted workers and a virtual clock."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import msgspec
import pytest

from hazelbend.control.configuration_reader import read_configuration
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.forwarding.errors import (
    NotSentError,
    OutcomeUnknownError,
    SendWithdrawnError,
    WorkerUnreachableError,
)
from hazelbend.forwarding.event_stream import EventSplitter, ends_inside_event
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.forwarder import Forwarder
from hazelbend.forwarding.ports import ClientRequest, ConnectionUse, WorkerCall
from hazelbend.forwarding.prefill import prefill_priority
from hazelbend.placement.engine import PlacementEngine
from hazelbend.placement.retry_budget import RetryBudget
from hazelbend.placement.routes import RouteTable
from tests.support.virtual_loop import VirtualLoop

S = 1_000_000
ENGINE = {"capacity": 64, "kvCapacity": 400_000, "kvTokenBytes": 18_000, "bandwidthMbps": 370_000.0}
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]

KEPT_CONNECTION = ConnectionUse(local_port=4012, earlier_requests=7)


@dataclass
class ScriptedResponse:
    """Implements `WorkerResponse` from a script. `broken`: the body ends prematurely."""

    status: int = 200
    parts: list[bytes] = field(default_factory=lambda: [b"body"])
    headers: tuple[tuple[str, str], ...] = (("Server-Signature", "x"),)
    not_executed: bool = False
    reported_in_flight: int | None = None
    body_bytes: int | None = None
    reason: str = "Busy"
    connection: ConnectionUse = KEPT_CONNECTION
    broken: bool = False
    closed: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self.parts:
            await asyncio.sleep(0.01)
            yield part
        if self.broken:
            raise OutcomeUnknownError("cut")

    async def body(self) -> bytes:
        return b"".join([part async for part in self.chunks()])

    def close(self) -> None:
        self.closed = True


REJECTION = ScriptedResponse(503, not_executed=True)
PREFILL_RESULT = ScriptedResponse(200, [b'{"kvHandle":"h1","tokens":10,"version":1}'])


@dataclass
class RecordedResponse:
    """Implements `ClientResponse` and records what the client gets."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: str = ""

    async def allocate(self, size) -> None: ...

    async def answer(self, status, headers, body) -> None:
        assert not self.ended and not self.status, "a second final response"
        self.status, self.headers, self.body, self.ended = status, dict(headers), body, "complete"

    async def begin(self, status, headers) -> None:
        assert not self.status
        self.status, self.headers = status, dict(headers)

    async def write(self, data) -> None:
        self.body += data

    async def finish(self) -> None:
        self.ended = "complete"

    def abort(self) -> None:
        self.ended = "aborted"


class RouterHarness:
    """A forwarder with scripted workers; implements `WorkerClient`."""

    def __init__(self, **route: object) -> None:
        self.loop = VirtualLoop()
        self.calls: list[WorkerCall] = []
        self.freed: list[str] = []
        self.script: list[object] = []
        self.connect_s = 0.005
        self.on_connect: Callable[[], None] = lambda: None
        placement = PlacementEngine("z", 1)
        self.state = FleetState(placement)
        self.state.has_current_config = lambda: True
        base = {"name": "r", "host": "a.example", "prefix": "/x/", "kind": "safe", "timeoutMs": 1_000,
                "backend": "s", "retries": 3}  # fmt: skip
        services = [{"name": "s"}, {"name": "llm", "engine": ENGINE}]
        document = {"version": 1, "routes": [base | route], "services": services}
        self.state.apply_configuration(RouteTable(read_configuration(json.dumps(document).encode())))
        self.budget = RetryBudget(0.2, 100.0, 10 * S)
        self.forwarder = Forwarder(self.state, self, self.now, lambda: self.budget, 1)
        for number in range(1, 4):
            self.add_worker(number)

    def add_worker(self, number: int, service: str = "s", phase: str = "") -> None:
        address = f"10.9.0.{number}:80"
        record = WorkerRecord(f"i-{number}", service, address, "z", WorkerState.READY, 1, 6, phase)
        self.state.placement.merge(record)

    def add_model_workers(self) -> None:
        for number, phase in enumerate(("prefill", "prefill", "decode", "decode"), 10):
            self.add_worker(number, "llm", phase)

    def now(self) -> int:
        return round(self.loop.time() * 1e6)

    # --- WorkerClient ---

    async def send(self, call, before_first_byte):
        await asyncio.sleep(self.connect_s)
        self.on_connect()
        step = self.script.pop(0)
        if isinstance(step, NotSentError):
            raise step
        if before_first_byte() is None:
            raise SendWithdrawnError
        self.calls.append(call)
        if isinstance(step, float):
            await asyncio.sleep(step)
            step = ScriptedResponse()
        if isinstance(step, Exception):
            raise step
        return step

    async def free_handle(self, address, instance, handle) -> None:
        self.freed.append(handle)

    # --- for tests ---

    def serve(
        self, *script: object, path: str = "/x/1", client_timeout_ms: int = 900, **more: object
    ) -> RecordedResponse:
        """Serve a request while workers respond by `script`, in order; return the recorded response."""
        self.script = list(script)
        reply = RecordedResponse()
        request = ClientRequest(
            id="q1", method="POST", target=path, host="a.example", headers=(), body=b"",
            arrived_at=self.now(), timeout_us=client_timeout_ms * 1_000, **more)  # fmt: skip
        self.loop.run_until_complete(self.forwarder.serve(request, reply))
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.run_until_complete(self.forwarder.close())
        return reply


PROMPT = {"token_usage": "17000,90", "prefix_hash": "aa:13000,bb:4000"}


def extra_headers(call: WorkerCall) -> dict[str, str]:
    return dict(call.extra_headers)


# --- one worker ---


def test_worker_response_is_forwarded():
    reply = RouterHarness().serve(ScriptedResponse(404, [b"no"], (("Server-Signature", "s"), ("X-A", "1"))))
    assert (reply.status, reply.body, reply.headers) == (404, b"no", {"Server-Signature": "s", "X-A": "1"})


def test_every_send_has_expect_instance_header():
    harness = RouterHarness()
    harness.serve(ScriptedResponse())
    [call] = harness.calls
    assert extra_headers(call)["Expect-Instance"] == f"i-{call.address[7]}"


def test_request_without_route_gets_404_only_if_configuration_is_current():
    harness = RouterHarness()
    assert harness.serve(path="/other").status == 404
    harness.state.has_current_config = lambda: False
    reply = harness.serve(path="/other")
    assert reply.status == 503 and float(reply.headers["Retry-After"]) > 0


def test_request_waits_for_configuration_and_is_then_rejected():
    harness = RouterHarness()
    table, harness.state.route_table = harness.state.route_table, None
    harness.loop.call_later(0.2, lambda: setattr(harness.state, "route_table", table))
    assert harness.serve(ScriptedResponse()).status == 200
    harness.state.route_table = None
    before = harness.now()
    reply = harness.serve()
    assert reply.status == 503 and "Retry-After" in reply.headers and harness.now() - before < 600_000


def test_retry_after_has_fraction_of_a_second():
    """RFC 9110 allows whole seconds only. If the value were rounded up, a client would wait four times as
    long, or not retry at all if a second is longer than it is willing to wait."""
    harness = RouterHarness()
    harness.state.placement.workers.clear()
    assert harness.serve().headers["Retry-After"] == "0.250"
    harness.state.route_table = None
    assert harness.serve().headers["Retry-After"] == "0.500"


def test_request_waits_for_worker_and_is_then_rejected():
    harness = RouterHarness()
    harness.state.placement.workers.clear()
    harness.loop.call_later(0.1, lambda: harness.add_worker(8))
    assert harness.serve(ScriptedResponse()).status == 200
    harness.state.placement.workers.clear()
    reply = harness.serve()
    assert reply.status == 503 and float(reply.headers["Retry-After"]) > 0


@pytest.mark.parametrize("headers", [(), (("Server-Signature", "x"), ("Content-Encoding", "gzip"))])
@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_success_without_signature_or_with_content_encoding_is_not_forwarded(kind, headers):
    assert RouterHarness(kind=kind).serve(ScriptedResponse(headers=headers)).status == 502


# --- another worker ---


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_rejected_request_is_retried_at_another_worker(kind):
    harness = RouterHarness(kind=kind)
    reply = harness.serve(REJECTION, ScriptedResponse())
    assert reply.status == 200 and len({call.address for call in harness.calls}) == 2


def test_unreachable_worker_does_not_use_retry_budget():
    harness = RouterHarness(kind="unsafe")
    harness.budget = RetryBudget(0.0, 0.0, S)
    assert harness.serve(WorkerUnreachableError(), SendWithdrawnError(), ScriptedResponse()).status == 200


@pytest.mark.parametrize(
    ("kind", "status", "sends"), [("safe", 200, 2), ("unsafe", 502, 1), ("stream", 502, 1)]
)
def test_request_with_unknown_outcome_is_retried_only_if_idempotent(kind, status, sends):
    harness = RouterHarness(kind=kind)
    assert harness.serve(OutcomeUnknownError("reset"), ScriptedResponse()).status == status
    assert len(harness.calls) == sends


def test_truncated_response_is_not_forwarded():
    assert RouterHarness(kind="unsafe").serve(ScriptedResponse(broken=True)).status == 502
    assert RouterHarness(kind="safe").serve(ScriptedResponse(broken=True), ScriptedResponse()).status == 200


def test_route_limits_number_of_executions():
    harness = RouterHarness(kind="safe", retries=1)
    assert (
        harness.serve(OutcomeUnknownError("reset"), ScriptedResponse()).status == 502
        and len(harness.calls) == 1
    )


def test_without_retry_budget_rejected_request_gets_retry_after():
    harness = RouterHarness()
    harness.forwarder.retry_policy.budgets["s"] = RetryBudget(0.0, 0.0, S)
    reply = harness.serve(REJECTION, ScriptedResponse())
    assert reply.status == 503 and "Retry-After" in reply.headers and len(harness.calls) == 1


def test_request_in_flight_at_deadline_gets_504():
    harness = RouterHarness(kind="unsafe")
    before = harness.now()
    assert harness.serve(5.0).status == 504
    assert harness.now() - before <= 900_000


def test_route_timeout_limits_the_deadline():
    harness = RouterHarness(kind="unsafe", timeoutMs=200)
    before = harness.now()
    assert harness.serve(5.0).status == 504 and harness.now() - before <= 200_000


# --- the first byte ---


def test_worker_draining_during_connect_gets_no_request():
    harness = RouterHarness(kind="unsafe")

    def drain() -> None:
        harness.on_connect = lambda: None
        for instance, worker in list(harness.state.placement.workers.items()):
            if worker.requests.own_jobs:
                record = WorkerRecord(
                    instance, "s", worker.record.address, "z", WorkerState.DRAINING, 2, 6)  # fmt: skip
                harness.state.placement.merge(record)

    harness.on_connect = drain
    assert harness.serve(ScriptedResponse(), ScriptedResponse()).status == 200
    [call] = harness.calls
    drained = [i for i, worker in harness.state.placement.workers.items() if not worker.accepts_work]
    assert extra_headers(call)["Expect-Instance"] not in drained and len(drained) == 1


def test_request_with_too_little_time_is_not_sent():
    harness = RouterHarness()
    reply = harness.serve(ScriptedResponse(), client_timeout_ms=20)
    assert reply.status == 503 and harness.calls == []


# Guards against a route whose requests are never sent, since its timeout is below the least time to send.
@pytest.mark.parametrize("timeout_ms", [1, 20, 30, 50])
def test_request_of_a_route_with_a_short_timeout_is_sent(timeout_ms):
    harness = RouterHarness(timeoutMs=timeout_ms)
    harness.connect_s = 0.0
    harness.serve(ScriptedResponse())
    assert len(harness.calls) == 1


def test_request_of_a_route_with_a_short_timeout_is_not_sent_late():
    harness = RouterHarness(timeoutMs=20)
    harness.connect_s = 0.012
    assert harness.serve(ScriptedResponse()).status == 503 and harness.calls == []


# --- prompts ---


def model_harness(**route: object) -> RouterHarness:
    harness = RouterHarness(kind="stream", backend="llm", timeoutMs=8_000, **route)
    harness.add_model_workers()
    return harness


def test_prompt_is_prefilled_by_one_worker_and_decoded_by_another():
    harness = model_harness()
    reply = harness.serve(PREFILL_RESULT, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    prefill_call, decode_call = harness.calls
    assert extra_headers(prefill_call)["Phase"] == "prefill" and "Kv-From" not in extra_headers(prefill_call)
    assert extra_headers(decode_call)["Kv-From"] == f"{prefill_call.address}/h1"
    assert reply.body == b"".join(EVENTS) and reply.ended == "complete" and harness.freed == []


@pytest.mark.parametrize(
    "failure", [REJECTION, OutcomeUnknownError("reset"), ScriptedResponse(200, [b"nonsense"])]
)
def test_decode_worker_prefills_after_failed_prefill_calls(failure):
    harness = model_harness()
    reply = harness.serve(failure, failure, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    assert reply.body == b"".join(EVENTS) and "Kv-From" not in extra_headers(harness.calls[-1])
    assert [extra_headers(call).get("Phase") for call in harness.calls] == ["prefill", "prefill", None]


@pytest.mark.parametrize(
    "handle",
    ["", "h 1", "h\r\nA: b", "h\n", "h/../../order", "..", "h?a", "h#a", "%68", "h\x00", "hö", "h" * 257],
)
def test_handle_that_cannot_be_sent_to_a_worker_counts_as_a_failed_prefill_call(handle):
    harness = model_harness()
    body = msgspec.json.encode({"kvHandle": handle, "tokens": 1})
    failure = ScriptedResponse(200, [body])
    reply = harness.serve(failure, failure, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    assert reply.body == b"".join(EVENTS) and "Kv-From" not in extra_headers(harness.calls[-1])
    assert harness.freed == []


DEEPLY_NESTED = b'{"kvHandle":"h1","a":' + b"[" * 30_000 + b"]" * 30_000 + b"}"
MANY_PARTS = 100


@pytest.mark.parametrize(
    "parts",
    [[DEEPLY_NESTED], [b'{"kvHandle":"\xff"}'], [b'{"kvHandle":"h1"}', *[b" " * 65_536] * MANY_PARTS]],
    ids=["deeply nested", "not UTF-8", "large"],
)
def test_prefill_call_has_failed_if_its_result_cannot_be_read(parts):
    harness = model_harness()
    results = [ScriptedResponse(200, list(parts)) for _ in range(2)]
    reply = harness.serve(*results, ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    assert reply.body == b"".join(EVENTS) and "Kv-From" not in extra_headers(harness.calls[-1])


def test_without_retry_budget_no_prefill_call_is_sent():
    harness = model_harness()
    harness.forwarder.retry_policy.budgets["llm"] = RetryBudget(0.0, 0.0, S)
    reply = harness.serve(ScriptedResponse(parts=EVENTS), client_timeout_ms=6_000, **PROMPT)
    assert reply.ended == "complete" and [extra_headers(call).get("Phase") for call in harness.calls] == [
        None
    ]


def test_rejected_prefill_call_is_charged_to_retry_budget():
    harness = model_harness()
    budget = harness.forwarder.retry_policy.budgets["llm"] = RetryBudget(0.0, 2.6, S)
    harness.serve(
        REJECTION,
        ScriptedResponse(parts=EVENTS),
        ScriptedResponse(parts=EVENTS),
        client_timeout_ms=6_000,
        **PROMPT,
    )
    assert not budget.allows_retry(harness.now(), 1)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_not_executed_status_without_confirmation_is_not_forwarded(status):
    harness = RouterHarness(kind="unsafe")
    assert harness.serve(ScriptedResponse(status)).status == 502


def test_unused_kv_handle_is_freed():
    harness = model_harness()
    harness.forwarder.retry_policy.budgets["llm"] = RetryBudget(0.0, 1.3, S)  # allows one more send
    assert (
        harness.serve(PREFILL_RESULT, REJECTION, REJECTION, client_timeout_ms=6_000, **PROMPT).status == 503
    )
    assert harness.freed == ["h1"]


def test_broken_stream_is_aborted():
    reply = model_harness().serve(
        PREFILL_RESULT, ScriptedResponse(parts=EVENTS[:2], broken=True), client_timeout_ms=6_000, **PROMPT
    )
    assert reply.ended == "aborted" and reply.body == b"".join(EVENTS[:2])


@pytest.mark.parametrize("resume", [False, True])
def test_stream_ending_inside_event_is_aborted(resume):
    reply = RouterHarness(kind="stream", resume=resume, retries=1).serve(
        ScriptedResponse(parts=[EVENTS[0], EVENTS[1][:9]])
    )
    assert reply.ended == "aborted" and reply.body.startswith(EVENTS[0])


def test_resumable_stream_continues_after_last_complete_event():
    harness = model_harness(resume=True)
    broken = ScriptedResponse(parts=[EVENTS[0], EVENTS[1][:7]], broken=True)
    rest = ScriptedResponse(parts=EVENTS[1:], headers=(("Server-Signature", "y"),))
    reply = harness.serve(PREFILL_RESULT, broken, rest, client_timeout_ms=6_000, **PROMPT)
    assert reply.body == b"".join(EVENTS) and reply.ended == "complete"
    assert reply.headers == {"Server-Signature": "x"}, "the head of the first worker's response"
    assert extra_headers(harness.calls[-1])["Last-Event-Id"] == "1"


def test_cancelled_request_leaves_no_state():
    harness = model_harness()
    harness.script = [PREFILL_RESULT, ScriptedResponse(parts=EVENTS * 100)]
    request = ClientRequest(
        id="q", method="POST", target="/x/", host="a.example", headers=(), body=b"",
        arrived_at=harness.now(), timeout_us=6 * S, **PROMPT)  # fmt: skip

    async def leave() -> None:
        task = asyncio.create_task(harness.forwarder.serve(request, RecordedResponse()))
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    harness.loop.run_until_complete(leave())
    assert harness.forwarder.in_flight == 0
    assert harness.state.placement.own_loads(harness.now()) == {}


def test_event_splitter_returns_complete_events_and_keeps_last_id():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 4\nda") == b"" and splitter.has_partial_event
    assert splitter.feed(b"ta: x\n\nid: 5") == b"id: 4\ndata: x\n\n"
    assert splitter.last_event_id == "4"
    splitter.discard_partial_event()
    assert not splitter.has_partial_event and splitter.last_event_id == "4"


STREAM = [
    b"id: 1",
    b"data: a",
    b"",
    b"",
    b"id: 2",
    b"data: b",
    b"",
    b": a remark",
    b"id: 3",
    b"data: c",
    b"",
    b"",
]


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 1_000])
def test_event_splitter_handles_all_line_ends_and_chunk_sizes(line_end, size):
    """WHATWG HTML, 9.2.5: a line ends with CR LF, LF or CR. All bytes are forwarded, events as they end."""
    stream = line_end.join(STREAM)
    splitter, forwarded, ids = EventSplitter(), b"", []
    for offset in range(0, len(stream), size):
        forwarded += splitter.feed(stream[offset : offset + size])
        ids.append(splitter.last_event_id)
    assert forwarded.rstrip() == stream.rstrip() and not splitter.has_partial_event
    assert splitter.last_event_id == "3" and (size > 1 or "2" in ids)
    splitter.feed(b"data: d" + line_end)
    assert splitter.has_partial_event


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_single_line_end_does_not_end_event(line_end):
    splitter = EventSplitter()
    assert splitter.feed(b"data: a" + line_end) == b"" and splitter.has_partial_event
    assert splitter.feed(b"data: b" + line_end) == b""
    assert ends_inside_event((b"data: a" + line_end)[-4:]) and not ends_inside_event(line_end * 2)
    assert not ends_inside_event(b"")


def test_shorter_prefills_have_higher_priority():
    priorities = [prefill_priority(tokens) for tokens in (0, 1_500, 3_000, 8_000, 20_000, 60_000)]
    assert priorities == sorted(priorities) and priorities[0] == 0 and priorities[-1] <= 9
