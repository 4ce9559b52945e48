"""Reads a server's reports on a job, which are one JSON object per line, and its load reports."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from math import isfinite

import orjson

from hazelbend.decisions.interface import LoadReport, Outcome
from hazelbend.routing.ports import AttemptResult, ProgressReport

MAX_LINE_BYTES = 128 * 1024  # a result is at most 64 KiB, and JSON may double its size
RETRYABLE_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)

_ENDINGS = {
    "done": Outcome.SERVED,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.RESET,
}


class WorkerLineError(ValueError):
    """A line does not report on the job, or lacks a required field."""


@dataclass(slots=True, frozen=True)
class LoadReportFields:
    """Reads load reports. `names` maps each JSON key to its field of `LoadReport`."""

    names: Mapping[str, str]

    def read(self, value: object) -> LoadReport | None:
        """Return the report in a decoded value; None if it has no known field.

        Fields whose value is not a number are skipped.
        """
        if not isinstance(value, Mapping):
            return None
        known: dict[str, float] = {}
        for name, number in value.items():
            field = self.names.get(name)
            if field and isinstance(number, int | float) and isfinite(number):
                known[field] = max(float(number), 0.0)
        return LoadReport(**known) if known else None

    def read_text(self, text: str | None) -> LoadReport | None:
        """Return the report in a JSON text, as in a header field; None if it has no known field."""
        if not text:
            return None
        try:
            return self.read(orjson.loads(text))
        except orjson.JSONDecodeError:
            return None


def read_line(line: bytes, job_id: str, fields: LoadReportFields) -> ProgressReport | AttemptResult | None:
    """Return a job's progress or its end from a line; None if the state is unknown.

    Raises:
        ValueError: the line is not JSON, or not a valid line about this job (`WorkerLineError`).
    """
    value = orjson.loads(line)
    if not isinstance(value, dict) or value.get("id") != job_id:
        raise WorkerLineError("the line is not about this job")
    state = value.get("state")
    if state == "started":
        return ProgressReport()
    if state == "running":
        share = value.get("share")
        return ProgressReport(float(share) if isinstance(share, int | float) and isfinite(share) else 0.0)
    outcome = _ENDINGS.get(state) if isinstance(state, str) else None
    if outcome is None:
        return None
    result = value.get("result")
    if outcome is Outcome.SERVED and result is None:
        raise WorkerLineError("the state is done, but there is no result")
    body = result.encode() if isinstance(result, str) else orjson.dumps(result)
    return AttemptResult(outcome, body if outcome is Outcome.SERVED else b"", fields.read(value.get("load")))


def outcome_of_status(status: int, not_executed: bool) -> Outcome:
    """Return the outcome of an attempt whose HTTP status is not 200.

    Only `not_executed`, which the server states itself, proves that the job did not run there.
    """
    return Outcome.FULL if status in RETRYABLE_STATUSES and not_executed else Outcome.ERROR
