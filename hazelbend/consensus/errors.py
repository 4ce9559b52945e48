"""Errors of the consensus package."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base of the errors of this package."""


class CorruptStateError(ConsensusError):
    """The stored state is damaged or in an unknown format: the node must start as a new one."""


class StaleEpochError(ConsensusError, ValueError):
    """A new epoch is not higher than the current one."""
