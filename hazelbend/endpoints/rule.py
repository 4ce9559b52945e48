"""The rule for when the box list and SRV disagree.

    box list says      SRV: listed, unknown or stale      SRV: not listed
    ---------------    -------------------------------    ----------------
    serving            as the box list says               as the box list says
    draining           as the box list says               as the box list says
    gone               nothing new goes there             nothing new goes there
    never heard of     serves, as just started            is not there

The site's own list is nearer to the process than a partner's zone is, so where it has ever spoken of a box it
has the last word. "Unknown" (the last round of questions gave no answer) and "stale" (nor did any within the
lifetime) leave the last good answer standing; past the stale bound the box is "not listed". Where the call
for the box list failed, each box is as its last list said, and "gone" stays so; otherwise it is forgotten
after `gone_s`, so that a partner may move from the one source to the other.
"""

from __future__ import annotations

from enum import Enum


class ListSays(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"
    NEVER = "never heard of"


class SrvSays(Enum):
    LISTED = "listed"
    UNKNOWN = "unknown"
    STALE = "stale"
    NOT_LISTED = "not listed"


class Verdict(Enum):
    BY_LIST = "as the box list says"
    GONE = "nothing new goes there"
    BY_SRV = "serves, as just started"
    ABSENT = "is not there"


def decide(by_list: ListSays, by_srv: SrvSays) -> Verdict:
    if by_list in (ListSays.SERVING, ListSays.DRAINING):
        return Verdict.BY_LIST
    if by_list is ListSays.GONE:
        return Verdict.GONE
    return Verdict.ABSENT if by_srv is SrvSays.NOT_LISTED else Verdict.BY_SRV


def srv_says(listed: bool, unknown: bool, past_lifetime: bool) -> SrvSays:
    """Of a box that the last good answer lists or not, and how the name itself stands."""
    if not listed:
        return SrvSays.NOT_LISTED
    if not unknown:
        return SrvSays.LISTED
    return SrvSays.STALE if past_lifetime else SrvSays.UNKNOWN
