"""The log of the sends of requests that must not run twice."""

from __future__ import annotations

import io
from collections.abc import Iterator

import picologging
import pytest

from hazelbend.forwarding.errors import ResponseBrokenError, WorkerUnreachableError
from hazelbend.forwarding.send_log import log
from tests.forwarding.test_forwarding import RouterHarness, ScriptedResponse

REJECTION = ScriptedResponse(503, not_executed=True)


@pytest.fixture
def log_stream() -> Iterator[io.StringIO]:
    """What the router logs."""
    stream = io.StringIO()
    handler = picologging.StreamHandler(stream)
    log.addHandler(handler)
    log.setLevel(picologging.INFO)
    yield stream
    log.removeHandler(handler)


def test_rejection_is_logged_with_the_request_the_worker_and_the_connection(log_stream):
    harness = RouterHarness(kind="unsafe")
    assert harness.serve(REJECTION, ScriptedResponse()).status == 200
    address = harness.calls[0].address
    assert log_stream.getvalue() == (
        f"router: request q1: not executed by worker i-{address[7]} at {address}: status 503 'Busy', "
        "local port 4012, earlier requests 7\n"
    )


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (WorkerUnreachableError("refused"), "not sent to"),
        (ResponseBrokenError("cut\nhere"), "may have been executed by"),
    ],
)
def test_failed_send_is_logged_with_its_error(log_stream, error, outcome):
    harness = RouterHarness(kind="unsafe")
    harness.serve(error, ScriptedResponse())
    [line] = log_stream.getvalue().splitlines()
    assert line.startswith(f"router: request q1: {outcome} worker i-")
    assert line.endswith(f": {type(error).__name__} {str(error)!r}")


def test_sends_of_idempotent_requests_are_not_logged(log_stream):
    RouterHarness(kind="safe").serve(REJECTION, ResponseBrokenError("cut"), ScriptedResponse())
    assert not log_stream.getvalue()


def test_unknown_outcomes_are_counted_by_error():
    harness = RouterHarness(kind="safe")
    harness.serve(ResponseBrokenError("cut"), ScriptedResponse())
    assert harness.state.placement.statistics.unknown_outcomes == {"ResponseBrokenError": 1}
