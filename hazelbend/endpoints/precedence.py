"""Which source takes precedence if the endpoint list and SRV records disagree about an endpoint.

    endpoint list     SRV: listed, unknown or stale    SRV: not listed
    -------------     -----------------------------    ---------------
    serving           as the endpoint list reports     as the endpoint list reports
    draining          as the endpoint list reports     as the endpoint list reports
    removed           no new jobs                      no new jobs
    never listed      serves, as just started          absent

The site's own list is closer to the process than a partner's DNS zone, so it takes precedence for each
endpoint that it has ever listed.

"Unknown" means that the last round of queries gave no answer, "stale" that the TTL of the last answer has
expired as well. Both leave the accepted records in place; past the stale bound the endpoint is "not listed".

While the call for the endpoint list fails, each endpoint keeps its state from the last list, and "removed"
does not expire. Otherwise a removal is forgotten after `tombstone_s`, so that a partner may move an endpoint
from one source to the other.
"""

from __future__ import annotations

from enum import Enum


class ListReport(Enum):
    """What the endpoint list reports about an endpoint. The console shows the values."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"
    NEVER_LISTED = "never heard of"


class SrvReport(Enum):
    """What DNS reports about an endpoint or an SRV name. The console shows the values."""

    LISTED = "listed"
    UNKNOWN = "unknown"
    STALE = "stale"
    NOT_LISTED = "not listed"


class PrecedenceResult(Enum):
    """The state of an endpoint that results from both reports."""

    AS_LISTED = "as the endpoint list reports"
    REMOVED = "no new jobs"
    BY_SRV = "serves, as just started"
    ABSENT = "absent"


def apply_precedence(by_list: ListReport, by_srv: SrvReport) -> PrecedenceResult:
    """Return the result for one endpoint, by the table above."""
    if by_list in (ListReport.SERVING, ListReport.DRAINING):
        return PrecedenceResult.AS_LISTED
    if by_list is ListReport.REMOVED:
        return PrecedenceResult.REMOVED
    return PrecedenceResult.ABSENT if by_srv is SrvReport.NOT_LISTED else PrecedenceResult.BY_SRV


def srv_report(*, listed: bool, failing: bool, ttl_expired: bool) -> SrvReport:
    """Return the report on an endpoint or a name.

    `listed`: the accepted records list it. `failing`: the last round of queries gave no answer.
    `ttl_expired`: the TTL of the last answer has expired.
    """
    if not listed:
        return SrvReport.NOT_LISTED
    if not failing:
        return SrvReport.LISTED
    return SrvReport.STALE if ttl_expired else SrvReport.UNKNOWN
