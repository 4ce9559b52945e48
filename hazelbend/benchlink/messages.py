"""What the decoder makes of the simulator's records: events of the decision module, or one of these."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from hazelbend.decisions.interface import Event, Settings


@dataclass(slots=True, frozen=True)
class Configure:
    """An instance begins, with these settings."""

    seed: int
    """Seed of the instance's random numbers."""
    settings: Settings
    columns: tuple[str, ...]
    """`LoadReport` fields that the values of a load report stand for; "" for a value that is not used."""


@dataclass(slots=True, frozen=True)
class Kill:
    """An instance was ended."""


Message: TypeAlias = Configure | Kill | Event
