"""Weighted rendezvous hashing."""

from hashlib import blake2b
from math import log


def key_rank(worker: int, key: int) -> float:
    """Return a worker's rank for a key, the same everywhere; the least rank over weight comes first."""
    digest = blake2b(b"%d %d" % (key, worker), digest_size=8).digest()
    return -log((int.from_bytes(digest) + 1) / (2**64 + 1))
