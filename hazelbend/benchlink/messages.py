"""The messages that the decoder returns: events of the decision module, `Configure` and `Kill`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hazelbend.decisions.interface import Event, Settings


@dataclass(slots=True, frozen=True)
class Configure:
    """An instance starts with these settings."""

    seed: int
    """Seed of the instance's random numbers."""
    settings: Settings
    columns: tuple[str, ...]
    """The `LoadReport` field of each value of a load report; "" if the value is unused."""


@dataclass(slots=True, frozen=True)
class Kill:
    """The simulator has ended an instance."""


Message: TypeAlias = Configure | Kill | Event
