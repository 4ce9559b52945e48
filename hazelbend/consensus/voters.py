"""Who votes: the leader replaces voters that are lost, one change of the configuration at a time.

A lost voter is replaced by adding a voter first and removing the lost one after that, so that the number of
healthy voters never falls. An identity stands for one stored state (see raft.py): a node that has lost its
state comes back under a new identity and is added like any other.
"""

from __future__ import annotations

from collections.abc import Sequence

from hazelbend.consensus.identity import address_of


def next_voters(
    voters: Sequence[str],
    me: str,
    members: Sequence[str],
    lost: set[str],
    wanted: int,
    least: int = 3,
    erased: frozenset[str] = frozenset(),
) -> tuple[str, ...] | None:
    """The next list of voters to commit. None: no change.

    Args:
        voters: the list in force.
        me: the leader. It never removes itself: it transfers its leadership first.
        members: healthy nodes of this epoch, those that joined first first.
        lost: voters that are taken for gone.
        wanted: the number of voters.
        least: a voter is removed only if this many healthy ones are left.
        erased: those of `lost` whose stored state is surely lost, so that they can never vote again. Such a
            voter is replaced in one step, by the node at its address if there is one: as of the old list only
            the others can still vote, a quorum of the old list and one of the new list meet among them.
    """
    healthy = [voter for voter in voters if voter not in lost]
    candidates = [member for member in members if member not in voters and member not in lost]
    replaced = next((voter for voter in voters if voter in erased and voter != me), None)
    if replaced is not None and candidates:
        return _replace(voters, replaced, candidates)
    if len(healthy) < wanted and candidates:
        return tuple(sorted((*voters, candidates[0])))
    removable = [voter for voter in voters if voter in lost and voter != me]
    # One of an even number of voters can go without a successor: it adds no tolerance of faults.
    if removable and (len(healthy) >= min(wanted, least) or len(voters) % 2 == 0):
        return tuple(voter for voter in voters if voter != removable[0])
    if len(healthy) > wanted:
        surplus = next((voter for voter in reversed(voters) if voter != me), None)
        return tuple(voter for voter in voters if voter != surplus)
    return None


def _replace(voters: Sequence[str], replaced: str, candidates: Sequence[str]) -> tuple[str, ...]:
    same_address = (each for each in candidates if address_of(each) == address_of(replaced))
    successor = next(same_address, candidates[0])
    return tuple(sorted({*voters, successor} - {replaced}))
