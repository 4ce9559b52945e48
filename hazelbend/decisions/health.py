"""Health of workers, inferred from own attempts: which are unresponsive, and how long to back off from them.

A signal is any event or report that shows that a worker is alive: a start, progress, a response or a probe's
answer.
"""

from __future__ import annotations

import random

from hazelbend.decisions.interface import Settings
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.worker import Worker

MAX_PAUSE_US = 300_000  # a healthy worker may pause for so long (garbage collection, page faults)
MAX_OVERTAKEN = 3  # an attempt counts as lost once so many later ones have started before it
SUSPICION_DELAY_FACTOR = 3.0  # an attempt counts as lost after so many expected delays without a signal
MAX_RESETS = 1  # consecutive connection resets that are tolerated without a signal in between
# Time before a trial request: short enough to find a recovered worker soon, long enough not to flood it.
MIN_BACKOFF_US = 1_000_000
MAX_BACKOFF_US = 4_000_000


def start_backoff(worker: Worker, rng: random.Random, now: int) -> None:
    """Send a worker nothing until its backoff ends, then one trial request; double the backoff each time."""
    worker.backoff = min(max(2 * worker.backoff, MIN_BACKOFF_US), MAX_BACKOFF_US)
    worker.backoff_until = now + round(worker.backoff * rng.uniform(0.75, 1.25))


def end_backoff(worker: Worker, now: int) -> None:
    """End the backoff of a worker, after a signal that it is healthy."""
    worker.last_signal_at = now
    worker.backoff_until = 0
    worker.backoff = 0
    worker.resets = 0


def suspicion_timeout(delay: float) -> float:
    """Return how long a healthy worker may send no signal after an attempt with this expected delay."""
    return MAX_PAUSE_US + SUSPICION_DELAY_FACTOR * delay


def is_unresponsive(attempt: Attempt, settings: Settings, now: int) -> bool:
    """Whether the worker seems to hang: it accepts attempts, but sends no start, progress or answer."""
    worker = attempt.worker
    if attempt.started_at:
        interval = settings.progress_interval
        return interval > 0 and now - attempt.last_signal_at > interval + MAX_PAUSE_US
    time_since_signal = now - max(worker.last_signal_at, attempt.sent_at)
    is_lost = time_since_signal > attempt.suspicion_timeout or attempt.overtaken_by >= MAX_OVERTAKEN
    return settings.reports_job_starts and is_lost
