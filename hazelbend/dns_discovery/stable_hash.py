"""A hash that is the same in all processes and after every restart, unlike the built-in `hash`."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 6
NUMBERS = 1 << (8 * DIGEST_BYTES)


def stable_fraction(*parts: object) -> float:
    """Return a hash of these parts as a fraction from 0 to 1."""
    text = "\0".join(map(str, parts)).encode()
    number = int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())
    return number / NUMBERS
