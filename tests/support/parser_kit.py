"""Input for all parser tests, from fixed seeds: valid messages in random chunks, and malformed messages."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

from hypothesis import strategies as st

SEEDS = st.integers(0, 2**32 - 1)


def random_chunks(data: bytes, seed: int) -> list[bytes]:
    """Split the data at random places; some chunks are empty or a single byte."""
    rng = random.Random(seed)
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(12)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


def malformed_bytes(valid: bytes, seed: int) -> bytes:
    """Return random bytes, or a valid message truncated, corrupted or spliced with another part of itself."""
    rng = random.Random(seed)
    kind = rng.randrange(4)
    if kind == 0:
        return rng.randbytes(rng.randrange(200))
    if kind == 1:
        return valid[: rng.randrange(len(valid) + 1)]
    at = rng.randrange(len(valid) + 1)
    part = rng.randbytes(rng.randrange(1, 5)) if kind == 2 else valid[rng.randrange(len(valid)) :]
    return valid[:at] + part + valid[at + rng.randrange(4) :]


def assert_raises_only(parse: Callable[[bytes], object], data: bytes, *allowed: type[Exception]) -> None:
    """Check that the parser returns a value or raises one of `allowed`; any other fails the test."""
    with contextlib.suppress(*allowed):
        parse(data)
