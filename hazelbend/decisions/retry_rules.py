"""Decides whether another attempt of a request is allowed, so that no request takes effect twice.

The rules are applied when an attempt is decided, and again when its connection is open and it can be written.
Times in microseconds.
"""

from __future__ import annotations

from hazelbend.decisions.interface import Idempotency, JobClass, Settings
from hazelbend.decisions.request import Attempt, Request

# Margins of the deduplication window: a retry has to reach the worker while it still remembers the key.
CONNECT_MARGIN_US = 300_000  # when an attempt is decided: for connecting, or a pause of the worker
SEND_MARGIN_US = 20_000  # when an attempt is written: for the way to the worker
WINDOW_PARTS = 4  # a margin takes at most 1 / WINDOW_PARTS of a short window


def allows_attempt(request: Request, settings: Settings, now: int) -> bool:
    """Whether the limits of the settings and the rules of the job class allow one more attempt."""
    no_more = len(request.attempts) >= settings.max_attempts
    if no_more or request.closed or request.deadline - now <= 2 * settings.tick:
        return False
    if request.is_in_flight and not settings.hedging_allowed:
        return False
    return _is_harmless(request.job, request.first_possible_run, now + CONNECT_MARGIN_US, CONNECT_MARGIN_US)


def still_allows_attempt(attempt: Attempt, settings: Settings, now: int) -> bool:
    """Whether an attempt that was decided earlier is still allowed when it can be written."""
    others = [other for other in attempt.request.attempts if other is not attempt and other.may_have_run]
    if any(other.outcome is None for other in others) and not settings.hedging_allowed:
        return False
    first = others[0] if others else None
    return _is_harmless(attempt.request.job, first, now + SEND_MARGIN_US, SEND_MARGIN_US)


def _is_harmless(job: JobClass, first: Attempt | None, arrival: int, margin: int) -> bool:
    """Whether an attempt that arrives at `arrival` cannot take effect a second time.

    `first` is the first other attempt that may have run. Workers drop the repeats of a keyed request until
    the end of the deduplication window, which begins when `first` was sent. `arrival` includes `margin`,
    which is shortened where the window is short.
    """
    if first is None or job.idempotency is Idempotency.SAFE:
        return True
    excess_margin = max(margin - job.dedup_window // WINDOW_PARTS, 0)
    return job.idempotency is Idempotency.KEYED and arrival - excess_margin < first.sent_at + job.dedup_window
