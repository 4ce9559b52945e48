"""What the router needs of the decision module, which `hazelbend.decisions` implements."""

from __future__ import annotations

from typing import Protocol

from hazelbend.decisions import interface as decisions


class DecisionModule(Protocol):
    """Decides about requests; it does nothing itself. Times are microseconds."""

    def handle(self, event: decisions.Event, now: int) -> list[decisions.Action]:
        """Take an event in, and return what is to be done."""

    def may_still_send(self, request: decisions.RequestId, attempt: int, now: int) -> bool:
        """Whether an attempt whose connection is established may still be sent."""

    def workers_in_backoff(self, now: int) -> set[decisions.WorkerId]:
        """Return the listed workers that get no requests now."""
