"""What a placement decides, and what it keeps of each send: values only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hazelbend.placement.estimates import WorkerEstimate
from hazelbend.placement.policy import Policy


class Stage(Enum):
    """What a worker is asked to do."""

    PREFILL = "prefill"
    DECODE = "decode"
    ANY = ""  # a service without phases


@dataclass(slots=True, frozen=True)
class Choice:
    """A worker, what the request adds to it, and when it is expected to be done with it."""

    worker: WorkerEstimate
    prefill_tokens: int  # to be read there
    cost: float  # microseconds, with what it costs beside time
    expected_delay: float = 0.0  # microseconds to the first sign of the worker, if it is well


@dataclass(slots=True, frozen=True)
class WorkerPair:
    """Who reads the prompt, None where the other one reads it itself, and who makes the tokens."""

    prefill: Choice | None
    decode: Choice
    cost: float  # expected microseconds to the first event, with prices


@dataclass(slots=True, eq=False)
class Attempt:
    """An own send to a worker that has no end yet."""

    worker: WorkerEstimate
    prefill_units: float  # of reading
    takes_slot: bool  # whether it takes a place among the requests that run
    sent_at: int
    ahead: float  # units of reading that were expected before it
    whole: float  # units of its whole prompt
    guessed: float  # units of shared parts that its worker may have had, without anybody having told
    pace: float  # microseconds a unit that were expected there
    policy: Policy
    expected: float = 0.0  # microseconds to its first sign

    def remaining(self, now: int) -> float:
        """Units that are still to be read, as far as the worker reads in the order of arrival."""
        read = (now - self.sent_at) / self.pace - self.ahead
        return self.prefill_units - min(max(read, 0.0), self.policy.most_read * self.prefill_units)
