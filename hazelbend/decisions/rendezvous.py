"""Weighted rendezvous hashing."""

from hashlib import blake2b
from math import log


def key_rank(worker: int, key: int) -> float:
    """Return a worker's rank for a key, the same in every process.

    The worker with the least rank divided by its weight is the first choice for the key.
    """
    digest = blake2b(b"%d %d" % (key, worker), digest_size=8).digest()
    return -log((int.from_bytes(digest) + 1) / (2**64 + 1))
