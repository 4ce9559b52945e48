"""Who votes: a few of the fleet, replaced one at a time by the record itself.

The leader asks `next_voters` now and then. A voter that is gone for good, or long enough, is replaced: first
one more, then one less, so that at no time fewer are left to vote than before. An identity is one memory (see
record.py), so one that started again is another member and is taken in as any other.
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
    """The list to agree on next, or None.

    `members`: those well and known to be of this epoch, the longest there first; `lost`: those held to be
    gone; `erased`: those of them whose memory is surely gone, which can never vote again. `wanted`: how many
    are to vote; `least`: how many must be left that are well for one to be removed. The leader never removes
    itself: it hands over first.

    An erased voter is replaced in one step, by the one at its address if that is there. Of the old list only
    the others can still vote, so two majorities of old and new meet among them.
    """
    well = [each for each in voters if each not in lost]
    fresh = [each for each in members if each not in voters and each not in lost]
    replaced = next((each for each in voters if each in erased and each != me), None)
    if replaced is not None and fresh:
        successor = next((each for each in fresh if address_of(each) == address_of(replaced)), fresh[0])
        return tuple(sorted({*voters, successor} - {replaced}))
    if len(well) < wanted and fresh:
        return tuple(sorted((*voters, fresh[0])))
    gone = [each for each in voters if each in lost and each != me]
    # Less only where enough are left, or nobody can take the place and the number is even, which gains
    # nothing.
    if gone and (len(well) >= min(wanted, least) or len(voters) % 2 == 0):
        return tuple(each for each in voters if each != gone[0])
    if len(well) > wanted:
        last = next((each for each in reversed(voters) if each != me), None)
        return tuple(each for each in voters if each != last)
    return None
