"""Health of workers, inferred from own attempts: which are silent, and how long they are left alone."""

from __future__ import annotations

import random

from hazelbend.decisions.interface import Settings
from hazelbend.decisions.request import Attempt
from hazelbend.decisions.worker import Worker

PAUSE_US = 300_000  # a healthy worker may stand still so long (garbage collection, page fault)
MAX_OVERTAKEN = 3  # later attempts that start before one, until it counts as lost
SILENCE_FACTOR = 3.0  # expected delays without a sign, until an attempt counts as lost
MAX_RESETS = 1  # connections that may break in a row, without a sign in between
# Waits before a trial request: not left alone for long, not flooded.
MIN_BACKOFF_US = 1_000_000
MAX_BACKOFF_US = 4_000_000


def suspect(worker: Worker, rng: random.Random, now: int) -> None:
    """Send nothing to a worker for a while, then one trial request, and so on with exponential backoff."""
    worker.backoff = min(max(2 * worker.backoff, MIN_BACKOFF_US), MAX_BACKOFF_US)
    worker.backoff_until = now + round(worker.backoff * rng.uniform(0.75, 1.25))


def trust(worker: Worker, now: int) -> None:
    """End the backoff of a worker that has given a sign of health."""
    worker.heard_at = now
    worker.backoff_until = 0
    worker.backoff = 0
    worker.resets = 0


def silence_limit(delay: float) -> float:
    """Return how long a healthy worker may be silent after an attempt with this expected delay."""
    return PAUSE_US + SILENCE_FACTOR * delay


def is_silent(attempt: Attempt, settings: Settings, now: int) -> bool:
    """Whether the worker seems to hang: it takes attempts, and sends neither start, progress nor answer."""
    worker = attempt.worker
    if attempt.started_at:
        interval = settings.progress_interval
        return interval > 0 and now - attempt.heard_at > interval + PAUSE_US
    silence = now - max(worker.heard_at, attempt.sent_at)
    is_lost = silence > attempt.silence_limit or attempt.overtaken_by >= MAX_OVERTAKEN
    return settings.reports_job_starts and is_lost
