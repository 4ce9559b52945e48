"""Checks that the calls on one lease are linearizable: the search of Wing and Gong (1993) with the cache of
visited states of Lowe (2017).

A call takes effect at one moment between its start and its end. The state of the object is the highest
granted token and whether its holder still holds the lease. Between calls a lease may expire or be granted to
a waiter, so these events need no call of their own. A call without a response can only have had an effect
that may also occur without a call, and is left out.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Call:
    """One completed call.

    `kind` is one of
    - "held": the response names the token;
    - "ended": the response says that the lease has ended, by expiry or by an earlier release;
    - "released": the caller released the lease, and held it until then;
    - "read": a read of the lease; `token` 0: the lease is free.
    """

    start: int
    end: int
    kind: str
    token: int


State = tuple[int, bool]


def step(state: State, call: Call) -> State | None:
    """The state after the call, or None if the call is impossible in this state."""
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
    # The lease has ended; it may have expired without a call.
    return (highest, holds and token not in (0, highest)) if token <= highest else (token, False)


def linearizable(calls: list[Call]) -> bool:
    """Whether some sequential order of the calls explains all responses."""
    calls = sorted(calls, key=lambda call: (call.start, call.end))
    tried: set[tuple[int, frozenset[int], State]] = set()
    # All calls before `first` and those in `done_ahead` have taken effect.
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
                    # The call changes nothing and is possible now, so it need not be tried later.
                    successors = [(first, done_ahead | {index}, state)]
                    break
                if after is not None:
                    successors.append((first, done_ahead | {index}, after))
            index += 1
        stack += successors
    return False
