"""The results of worker selection, and the record of an attempt in flight."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.policy import Policy


class Stage(Enum):
    """The phase of a request for which a worker is selected; the value is the phase in a worker record."""

    PREFILL = "prefill"
    DECODE = "decode"
    ANY = ""  # whole requests, at workers of any phase


@dataclass(slots=True, frozen=True)
class Choice:
    """A worker, and the expected cost of the request there."""

    worker: WorkerEstimate
    prefill_tokens: int  # tokens of the prompt that it has to prefill
    cost: float  # microseconds: expected delay plus prices
    expected_delay: float = 0.0  # microseconds until the first response of a healthy worker


@dataclass(slots=True, frozen=True)
class WorkerPair:
    """The workers of a request's two phases."""

    prefill: Choice | None  # None: the decode worker prefills the prompt itself
    decode: Choice
    cost: float  # microseconds: expected time to the first event, plus prices


@dataclass(slots=True, eq=False)
class Attempt:
    """A request of this router that is in flight at a worker."""

    worker: WorkerEstimate
    prefill_units: float  # left to prefill at the worker; 0 once that is done
    takes_slot: bool  # whether it counts as one of the worker's running requests
    sent_at: int
    queued_units: float  # prefill units that were expected ahead of it in the queue
    prompt_units: float  # size of the whole prompt
    unconfirmed_units: float  # of a shared prefix that is assumed to be cached but was never reported
    unit_time: float  # expected microseconds per prefill unit
    policy: Policy
    expected_delay: float = 0.0  # microseconds to the worker's first response

    def remaining_units(self, now: int) -> float:
        """Estimate the units left to prefill, for a worker that serves in order of arrival."""
        done = (now - self.sent_at) / self.unit_time - self.queued_units
        return self.prefill_units - min(
            max(done, 0.0), self.policy.max_inferred_progress * self.prefill_units
        )
