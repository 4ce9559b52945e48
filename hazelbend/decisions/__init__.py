"""The decision module of a dispatcher that pushes jobs to workers: SED_e on delayed information.

It does no I/O and reads no clock: the caller passes events and the current time to `Dispatcher.handle`, which
returns the actions to carry out.
"""

from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import Settings

__all__ = ["Dispatcher", "Settings"]
