"""Errors of the link to the simulator."""

from __future__ import annotations


class SimulatorLinkError(Exception):
    """Base class of this package's errors."""


class MalformedInputError(SimulatorLinkError):
    """The input violates the protocol; the text names the place and the violation."""


class InstanceFailedError(SimulatorLinkError):
    """The decision module of one instance raised an exception."""

    def __init__(self, instance: int, error: Exception) -> None:
        """`instance`: the number of the instance; `error`: the exception of its decision module."""
        super().__init__(f"{type(error).__name__}: {error}")
        self.instance = instance
