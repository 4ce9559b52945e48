"""Fencing tokens: numbers that grow with every grant, whichever leader or epoch grants.

A store that refuses a token lower than the highest it has seen keeps out a holder whose lease is over. See
M. Kleppmann, "How to do distributed locking" (2016).
"""

from __future__ import annotations

TOKEN_BITS = 28  # of a token below its epoch; a token has 63 bits
MAX_GRANTS = (1 << TOKEN_BITS) - 1  # in one epoch: one a second for 8 years


def fencing_token(epoch: int, grant: int) -> int:
    """The token of an epoch's n-th grant. Epochs only grow, so tokens do."""
    return (epoch << TOKEN_BITS) + grant
