"""What clients, workers and control processes have shown in a soak, and the rules that this breaks.

Times are seconds of `time.monotonic`.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

DRAIN_S = 2.0  # `drainMs`
CONTACT_S = 3.0  # `contactMs`
PROMISES = (408, 421, 429, 503)  # statuses which promise that the request has not run and never will


class EndingWorker(Protocol):
    """A worker that may have ended."""

    @property
    def instance(self) -> str:
        """The id of this instance of the worker."""

    @property
    def ended_at(self) -> float | None:
        """When its end was acknowledged; None if it was not."""


@dataclass(slots=True, frozen=True)
class Run:
    """A request that has reached a worker."""

    request_id: str
    worker: EndingWorker


@dataclass(slots=True)
class Observations:
    """What clients and workers have seen."""

    sent_at: dict[str, float] = field(default_factory=dict)  # by request id
    statuses: dict[str, int] = field(default_factory=dict)  # of the answers, by request id
    runs: list[Run] = field(default_factory=list)  # in order
    rejections: int = 0  # requests that a worker has not run, and said so
    late_heartbeats: int = 0  # that a control process has acknowledged soon after its start
    revived: list[str] = field(
        default_factory=list
    )  # workers that had ended, as a control process lists them
    acknowledged_version: int = 1  # of the newest configuration that was acknowledged
    version_at_end: int = 0  # of the configuration that is read back at the end; 0: none
    disturbed: list[tuple[float, float]] = field(default_factory=list)  # from a fault to its end

    def disturb(self, duration: float = 0.0) -> None:
        """Record a fault that starts now."""
        now = time.monotonic()
        self.disturbed.append((now, now + duration))

    def is_calm(self, at: float) -> bool:
        """Whether nothing was disturbed for `CONTACT_S` before this time."""
        return all(end + CONTACT_S < at or at < start for start, end in self.disturbed)

    def broken_rules(self) -> list[str]:
        """A line for each violation of a rule."""
        return [
            *self._late_requests(),
            *self._repeated_runs(),
            *self._refused_runs(),
            *self._revived_workers(),
            *self._lost_configurations(),
        ]

    def _late_requests(self) -> Iterator[str]:
        for run in self.runs:
            sent_at = self.sent_at[run.request_id]
            ended_at = run.worker.ended_at
            if ended_at is not None and sent_at > ended_at + DRAIN_S and self.is_calm(sent_at):
                late_s = sent_at - ended_at
                yield f"DRAIN: {run.request_id} reached {run.worker.instance} {late_s:.2f} s after its end"

    def _repeated_runs(self) -> Iterator[str]:
        for request_id, count in self._run_counts().items():
            if count > 1:
                yield f"TWICE: {request_id} ran {count} times"

    def _refused_runs(self) -> Iterator[str]:
        run_counts = self._run_counts()
        for request_id, status in self.statuses.items():
            if status in PROMISES and run_counts[request_id]:
                yield f"REFUSED: {request_id} was answered {status} and has run"

    def _revived_workers(self) -> Iterator[str]:
        for revived in self.revived:
            yield f"ENDED: {revived}, which lists it as ready"

    def _lost_configurations(self) -> Iterator[str]:
        if self.version_at_end < self.acknowledged_version:
            yield f"CONFIG: version {self.acknowledged_version} is not read back"

    def _run_counts(self) -> Counter[str]:
        return Counter(run.request_id for run in self.runs)
