"""The one helper of all parser tests: valid messages in random cuts, and garbage from fixed seeds."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

from hypothesis import strategies as st

SEEDS = st.integers(0, 2**32 - 1)


def random_chunks(data: bytes, seed: int) -> list[bytes]:
    """The data in random cuts, some of them one byte, some of them none."""
    chance = random.Random(seed)
    cuts = sorted(chance.randrange(len(data) + 1) for _ in range(chance.randrange(12)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


def malformed_bytes(valid: bytes, seed: int) -> bytes:
    """Random bytes, or a valid message that was cut short, damaged, or mixed with another part of itself."""
    chance = random.Random(seed)
    kind = chance.randrange(4)
    if kind == 0:
        return chance.randbytes(chance.randrange(200))
    if kind == 1:
        return valid[: chance.randrange(len(valid) + 1)]
    at = chance.randrange(len(valid) + 1)
    part = chance.randbytes(chance.randrange(1, 5)) if kind == 2 else valid[chance.randrange(len(valid)) :]
    return valid[:at] + part + valid[at + chance.randrange(4) :]


def assert_raises_only(parse: Callable[[bytes], object], data: bytes, *allowed: type[Exception]) -> None:
    """The parser gives a value or says no in its own way; any other exception fails the test."""
    with contextlib.suppress(*allowed):
        parse(data)
