"""Identities of processes: a name, the incarnation that a start gives it, and the address."""

from __future__ import annotations


def address_of(identity: str) -> str:
    """An identity ends with its address: `n1#5f3a@127.0.0.1:9100`."""
    return identity.rpartition("@")[2]
