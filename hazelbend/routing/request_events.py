"""The events in a request's inbox, which its task handles one after another.

The decision module's events are its actions themselves: `Send`, `Refuse`, `Fail` and `Cancel`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hazelbend.decisions import interface as decisions
from hazelbend.routing.ports import AttemptResult, ProgressReport


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has ended. `number` is its index among the request's attempts."""

    number: int
    result: AttemptResult


@dataclass(slots=True, frozen=True)
class AttemptProgressed:
    """A backend has reported progress on an attempt. `number` is as in `AttemptFinished`."""

    number: int
    report: ProgressReport


class ClientDisconnected:
    """The client has disconnected."""


class DeadlinePassed:
    """The request's deadline and the decision module's grace period after it have passed."""


RequestEvent: TypeAlias = (
    decisions.Send
    | decisions.Refuse
    | decisions.Fail
    | decisions.Cancel
    | AttemptFinished
    | AttemptProgressed
    | ClientDisconnected
    | DeadlinePassed
)
