"""Whether one more attempt of a request is allowed: it must not take effect a second time.

The rules are applied when an attempt is decided, and again when its connection is open. Times in
microseconds.
"""

from __future__ import annotations

from hazelbend.decisions.interface import Idempotency, JobClass, Settings
from hazelbend.decisions.request import Attempt, Request

# Margins of the repeat window: a retry has to reach the worker while that still knows the key.
CONNECT_MARGIN_US = 300_000  # when it is decided: to connect, or for a pause of the worker
SEND_MARGIN_US = 20_000  # when it is written: the way to the worker
WINDOW_PARTS = 4  # of a short window a margin takes no more than one of so many parts


def allows_attempt(request: Request, settings: Settings, now: int) -> bool:
    """Whether the limits of the site and the job class allow one more attempt."""
    no_more = len(request.attempts) >= settings.max_attempts
    if no_more or request.closed or request.deadline - now <= 2 * settings.tick:
        return False
    if request.is_in_flight and not settings.hedging_allowed:
        return False
    return _is_harmless(request.job, request.first_possible_run, now + CONNECT_MARGIN_US, CONNECT_MARGIN_US)


def still_allows_attempt(attempt: Attempt, settings: Settings, now: int) -> bool:
    """Whether an attempt that was decided is still allowed, now that it can be written."""
    others = [other for other in attempt.request.attempts if other is not attempt and other.may_have_run]
    if any(other.outcome is None for other in others) and not settings.hedging_allowed:
        return False
    first = others[0] if others else None
    return _is_harmless(attempt.request.job, first, now + SEND_MARGIN_US, SEND_MARGIN_US)


def _is_harmless(job: JobClass, first: Attempt | None, arrival: int, margin: int) -> bool:
    """Whether an attempt that arrives at `arrival` can't take effect a second time.

    Workers drop the repeats of a keyed request until some time after `first` was sent, the first other
    attempt that may have run. `arrival` includes `margin`, of which a short window can't spare all.
    """
    if first is None or job.idempotency is Idempotency.SAFE:
        return True
    spared = max(margin - job.dedup_window // WINDOW_PARTS, 0)
    return job.idempotency is Idempotency.KEYED and arrival - spared < first.sent_at + job.dedup_window
