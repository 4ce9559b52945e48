"""The rule for when the endpoint list and SRV disagree about an endpoint.

    endpoint list     SRV: listed, unknown or stale    SRV: not listed
    -------------     -----------------------------    ---------------
    serving           as the endpoint list reports     as the endpoint list reports
    draining          as the endpoint list reports     as the endpoint list reports
    removed           no new jobs                      no new jobs
    never listed      serves, as just started          absent

The site's own list is nearer to the process than a partner's DNS zone, so it takes precedence for each
endpoint that it has ever listed. "Unknown" (the last round of queries gave no answer) and "stale" (nor did
any within the TTL) leave the accepted records in place; past the stale bound the endpoint is "not listed".
While the call for the endpoint list fails, each endpoint is as the last list reported it, and "removed"
stays; otherwise a removal is forgotten after `tombstone_s`, so that a partner may move from one source to the
other.
"""

from __future__ import annotations

from enum import Enum


class ListReport(Enum):
    """What the endpoint list reports about an endpoint. The values are words of the console."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"
    NEVER_LISTED = "never heard of"


class SrvReport(Enum):
    """How an endpoint, or an SRV name, stands with DNS. The values are words of the console."""

    LISTED = "listed"
    UNKNOWN = "unknown"
    STALE = "stale"
    NOT_LISTED = "not listed"


class PrecedenceResult(Enum):
    """What becomes of an endpoint."""

    AS_LISTED = "as the box list says"
    REMOVED = "nothing new goes there"
    BY_SRV = "serves, as just started"
    ABSENT = "is not there"


def apply_precedence(by_list: ListReport, by_srv: SrvReport) -> PrecedenceResult:
    """Apply the rule to one endpoint."""
    if by_list in (ListReport.SERVING, ListReport.DRAINING):
        return PrecedenceResult.AS_LISTED
    if by_list is ListReport.REMOVED:
        return PrecedenceResult.REMOVED
    return PrecedenceResult.ABSENT if by_srv is SrvReport.NOT_LISTED else PrecedenceResult.BY_SRV


def srv_report(*, listed: bool, failing: bool, ttl_expired: bool) -> SrvReport:
    """By whether the accepted records list it, the last round of queries failed, and the TTL is over."""
    if not listed:
        return SrvReport.NOT_LISTED
    if not failing:
        return SrvReport.LISTED
    return SrvReport.STALE if ttl_expired else SrvReport.UNKNOWN
