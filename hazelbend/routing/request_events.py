"""What happens to one request: the messages in its inbox, each handled in its turn.

Those of the decision module are its own actions: `Send`, `Refuse`, `Fail` and `Cancel`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hazelbend.decisions import interface as decisions
from hazelbend.routing.ports import AttemptResult, ProgressReport


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has ended. `number` counts the request's attempts from 0."""

    number: int
    result: AttemptResult


@dataclass(slots=True, frozen=True)
class AttemptProgressed:
    """A backend has reported on an attempt."""

    number: int
    report: ProgressReport


class ClientDisconnected:
    """The client has gone."""


class DeadlinePassed:
    """The time of the request is over, with a grace for the decision module."""


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
