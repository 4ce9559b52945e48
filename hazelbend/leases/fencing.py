"""Fencing tokens: numbers that increase with every grant, across leaders and epochs.

A store that rejects a token lower than the highest one it has seen rejects writes of a holder whose lease has
expired. See M. Kleppmann, "How to do distributed locking" (2016).
"""

from __future__ import annotations

TOKEN_BITS = 28  # low bits of a token, for the grant's number; the epoch is above them; 63 bits in all
MAX_GRANTS = (1 << TOKEN_BITS) - 1  # in one epoch; enough for one grant a second for 8 years


def fencing_token(epoch: int, grant: int) -> int:
    """Return the token of an epoch's n-th grant. Epochs only increase, and so do tokens."""
    return (epoch << TOKEN_BITS) + grant
