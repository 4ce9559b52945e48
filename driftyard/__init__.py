"""driftyard: the decisions of a dispatcher that pushes jobs to workers (SED_e with delayed information)."""

from driftyard.brain import Dispatcher
from driftyard.interface import Settings

__all__ = ["Dispatcher", "Settings"]
