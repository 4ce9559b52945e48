"""What a server reports of a job, one JSON object a line, and its load reports."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from math import isfinite

import orjson

from hazelbend.decisions.interface import LoadReport, Outcome
from hazelbend.routing.ports import AttemptResult, ProgressReport

MAX_LINE_BYTES = 128 * 1024  # a result is at most 64 KiB, and JSON may double what it holds
RETRYABLE_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)

_ENDINGS = {
    "done": Outcome.SERVED,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.RESET,
}


class WorkerLineError(ValueError):
    """A line that does not report on the job, or leaves out what it must have."""


@dataclass(slots=True, frozen=True)
class LoadReportFields:
    """Reads load reports. `names`: the field of `LoadReport` that each JSON key stands for."""

    names: Mapping[str, str]

    def read(self, value: object) -> LoadReport | None:
        """The report in a decoded value; None where it holds nothing known. What is no number is skipped."""
        if not isinstance(value, Mapping):
            return None
        known: dict[str, float] = {}
        for name, number in value.items():
            field = self.names.get(name)
            if field and isinstance(number, int | float) and isfinite(number):
                known[field] = max(float(number), 0.0)
        return LoadReport(**known) if known else None

    def read_text(self, text: str | None) -> LoadReport | None:
        """The report in a JSON text, as in a header field; None where it holds nothing known."""
        if not text:
            return None
        try:
            return self.read(orjson.loads(text))
        except orjson.JSONDecodeError:
            return None


def read_line(line: bytes, job_id: str, fields: LoadReportFields) -> ProgressReport | AttemptResult | None:
    """What a line says of the job: its progress or its end. None for a state that is not known.

    Raises:
        ValueError: the line is no JSON, or no line on this job (`WorkerLineError`).
    """
    value = orjson.loads(line)
    if not isinstance(value, dict) or value.get("id") != job_id:
        raise WorkerLineError("a line that does not speak of this job")
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
        raise WorkerLineError("done, but without a result")
    body = result.encode() if isinstance(result, str) else orjson.dumps(result)
    return AttemptResult(outcome, body if outcome is Outcome.SERVED else b"", fields.read(value.get("load")))


def outcome_of_status(status: int, not_executed: bool) -> Outcome:
    """How an attempt ended whose HTTP status is not 200.

    Only the server's own mark (`not_executed`) proves that the job never ran there.
    """
    return Outcome.FULL if status in RETRYABLE_STATUSES and not_executed else Outcome.ERROR
