"""The decision module of a dispatcher that pushes jobs to workers: SED_e on delayed information.

Free of I/O and of clocks: `Dispatcher` is told of events and of the time, and answers with actions.
"""

from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import Settings

__all__ = ["Dispatcher", "Settings"]
