"""Formulas that the decisions rest on; nothing is chosen here."""

from hashlib import blake2b
from math import exp, log


def drained(count: int, load: float) -> float:
    """E[(n - D)+] for a known n and D ~ Poisson(load), from E[(n - D)+] = E[(n - 1 - D)+] + P(D < n)."""
    term = below = exp(-load)
    total = 0.0
    for n in range(1, count + 1):
        total += below
        term *= load / n
        below += term
    return total


def key_rank(worker: int, key: int) -> float:
    """Weighted rendezvous hashing: of rank over weight, the least comes first for a key, everywhere."""
    digest = blake2b(b"%d %d" % (key, worker), digest_size=8).digest()
    return -log((int.from_bytes(digest) + 1) / (2**64 + 1))
