"""What the router needs of the decision module, which `hazelbend.decisions` implements."""

from __future__ import annotations

from typing import Protocol

from hazelbend.decisions import interface as face


class DecisionModule(Protocol):
    """Decides about requests; it does nothing itself. Times are microseconds."""

    def handle(self, event: face.Event, now: int) -> list[face.Action]:
        """Take an event in, and return what is to be done."""

    def may_begin(self, request: face.RequestId, attempt: int, now: int) -> bool:
        """Whether an attempt whose connection is established may still be sent."""

    def avoided(self, now: int) -> set[face.WorkerId]:
        """Return the listed workers that get no requests now."""
