"""The decisions of a dispatcher that pushes jobs to real servers (SED_e with delayed information)."""

from hazelbend.decisions.brain import Dispatcher
from hazelbend.decisions.interface import Settings

__all__ = ["Dispatcher", "Settings"]
