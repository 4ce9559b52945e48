"""Chooses the next voter list: the leader replaces unavailable voters, one membership change at a time.

Replacing a voter first adds a new voter and then removes the unavailable one, so that the number of healthy
voters never falls. Each identity belongs to one stored state (see raft.py): a node that has lost its state
rejoins under a new identity and is added like any other node.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hazelbend.consensus.identity import address_of


def next_voters(
    voters: Sequence[str],
    leader: str,
    members: Sequence[str],
    replaceable: set[str],
    target_count: int,
    min_healthy: int = 3,
    without_state: frozenset[str] = frozenset(),
) -> tuple[str, ...] | None:
    """The next voter list to commit; None if the list needs no change.

    Args:
        voters: the current list.
        leader: the leader. It never removes itself: it transfers its leadership first.
        members: healthy nodes of this epoch, in the order in which they joined.
        replaceable: voters that count as permanently unavailable.
        target_count: the number of voters to reach.
        min_healthy: a voter is removed only if this many healthy ones are left.
        without_state: those of `replaceable` whose stored state is known to be lost, so that they can never
            vote again. Such a voter is replaced in one step, by the node at its address if there is one. That
            is safe because only the other voters of the old list can still vote: any quorum of the old list
            and any quorum of the new list intersect among them.
    """
    healthy = [voter for voter in voters if voter not in replaceable]
    candidates = [member for member in members if member not in voters and member not in replaceable]
    replaced = next((voter for voter in voters if voter in without_state and voter != leader), None)
    if replaced is not None and candidates:
        return _replace(voters, replaced, candidates)
    if len(healthy) < target_count and candidates:
        return tuple(sorted((*voters, candidates[0])))
    removable = [voter for voter in voters if voter in replaceable and voter != leader]
    # Of an even number of voters, one can be removed without a replacement: with one voter less, the list
    # tolerates as many failures.
    if removable and (len(healthy) >= min(target_count, min_healthy) or len(voters) % 2 == 0):
        return tuple(voter for voter in voters if voter != removable[0])
    if len(healthy) > target_count:
        surplus = next((voter for voter in reversed(voters) if voter != leader), None)
        return tuple(voter for voter in voters if voter != surplus)
    return None


def _replace(voters: Sequence[str], replaced: str, candidates: Sequence[str]) -> tuple[str, ...]:
    same_address = (candidate for candidate in candidates if address_of(candidate) == address_of(replaced))
    successor = next(same_address, candidates[0])
    return tuple(sorted({*voters, successor} - {replaced}))


def includes_majorities(holders: Mapping[str, tuple[str, ...]]) -> bool:
    """Whether these processes include a majority of the voters. `holders`: voter lists by identity.

    During a membership change the holders may know different voter lists. A majority is required of each
    list that a holder knows and in which that holder is a voter.
    """
    lists = _voter_lists(holders)
    return bool(lists) and all(_count(holders, voters) >= _majority(voters) for voters in lists)


def meets_majorities(holders: Mapping[str, tuple[str, ...]]) -> bool:
    """Whether each majority of the voters contains one of these processes, for the same voter lists as in
    `includes_majorities`. Half of an even number of voters suffices for that.
    """
    lists = _voter_lists(holders)
    return bool(lists) and all(_count(holders, voters) > len(voters) - _majority(voters) for voters in lists)


def _voter_lists(holders: Mapping[str, tuple[str, ...]]) -> set[tuple[str, ...]]:
    return {voters for identity, voters in holders.items() if identity in voters}


def _majority(voters: tuple[str, ...]) -> int:
    return len(voters) // 2 + 1


def _count(holders: Mapping[str, tuple[str, ...]], voters: tuple[str, ...]) -> int:
    return len(holders.keys() & set(voters))
