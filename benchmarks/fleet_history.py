"""Whether what callers saw of one lease could have happened one call after another: Wing and Gong's search
(1993), with Lowe's memory of what was tried (2017).

A call takes effect at one moment between its start and its end. The object: the highest token that was
granted, and whether it still holds. Between calls a lease may end by itself, or go to one that waits, so that
these never have to be seen. A call without an answer may have done only what may happen by itself, and is
left out.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Call:
    """`kind`: "held" (an answer that names the token), "ended" (one that says it is over, or that the caller
    ended it), "released" (the caller ended it, so it held until then), "read" (`token` 0: free)."""

    start: int
    end: int
    kind: str
    token: int


State = tuple[int, bool]


def step(state: State, call: Call) -> State | None:
    """The state after it, or None if it cannot be next."""
    highest, holds = state
    token = call.token
    if call.kind == "held" or (call.kind == "read" and token):
        if token == highest:
            return state if holds else None
        return (token, True) if token > highest else None
    if call.kind == "released":
        if token == highest:
            return (token, False) if holds else None
        return (token, False) if token > highest else None
    # It is over: by itself, if by nothing else.
    return (highest, holds and token not in (0, highest)) if token <= highest else (token, False)


def linearizable(calls: list[Call]) -> bool:
    calls = sorted(calls, key=lambda call: (call.start, call.end))
    tried: set[tuple[int, frozenset[int], State]] = set()
    # All before `first` are done, and those of `done_ahead`.
    stack: list[tuple[int, frozenset[int], State]] = [(0, frozenset(), (0, False))]
    while stack:
        first, done_ahead, state = stack.pop()
        while first in done_ahead:
            done_ahead, first = done_ahead - {first}, first + 1
        if first == len(calls):
            return True
        if (first, done_ahead, state) in tried:
            continue
        tried.add((first, done_ahead, state))
        successors = []
        earliest, index = calls[first].end, first
        while index < len(calls) and calls[index].start <= earliest:
            if index not in done_ahead:
                earliest = min(earliest, calls[index].end)
                after = step(state, calls[index])
                if after == state:
                    # It changes nothing and is possible now, so that to wait with it gains nothing.
                    successors = [(first, done_ahead | {index}, state)]
                    break
                if after is not None:
                    successors.append((first, done_ahead | {index}, after))
            index += 1
        stack += successors
    return False
