"""The interface of the decision module as the router uses it. `hazelbend.decisions` implements it."""

from __future__ import annotations

from typing import Protocol

from hazelbend.decisions import interface as decisions


class DecisionModule(Protocol):
    """Decides how requests are routed. It does no I/O: the router carries out its actions.

    Times are microseconds.
    """

    def handle(self, event: decisions.Event, now: int) -> list[decisions.Action]:
        """Handle an event and return the actions to carry out."""

    def may_still_send(self, request: decisions.RequestId, attempt: int, now: int) -> bool:
        """Whether an attempt may still be sent, now that its connection is established."""

    def workers_in_backoff(self, now: int) -> set[decisions.WorkerId]:
        """Return the listed workers to which the module sends nothing until their backoff ends."""
