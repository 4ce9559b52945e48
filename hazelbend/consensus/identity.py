"""Identities of nodes: `NAME#INCARNATION@ADDRESS`, or `ID@ADDRESS`."""

from __future__ import annotations


def address_of(identity: str) -> str:
    """The address at the end of an identity: `127.0.0.1:9100` of `n1#5f3a@127.0.0.1:9100`."""
    return identity.rpartition("@")[2]
