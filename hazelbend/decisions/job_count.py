"""The expected number of jobs at a worker, E[N], from delayed information (SED_e of Hyytia and Righter)."""

from math import exp

from hazelbend.decisions.worker import Worker

MAX_JOB_COUNT = 20  # a worker's job count is truncated here, as in the paper


def expected_jobs(worker: Worker, now: int, rate: float) -> float:
    """Return E[N], in mean jobs, for a worker with this rate in jobs per microsecond.

    Own attempts in flight are known not to have departed, so they are a lower bound. Departures are equally
    likely for all jobs; free slots complete none. The number of jobs that peers have sent since the report
    approaches their usual level.
    """
    age = max(now - worker.peer_jobs_at, 0)
    level = worker.background_load * rate
    arrived = level * (1 - exp(-age * rate / max(worker.concurrency, level + 1)))
    total = worker.peer_jobs + worker.own_load
    departures = rate * age * worker.peer_jobs / max(total, worker.concurrency)
    return worker.own_load + arrived + expected_remaining(worker.peer_jobs, departures)


def expected_remaining(count: int, departures: float) -> float:
    """Return E[(n - D)+] for a known n and D ~ Poisson(departures).

    By E[(n - D)+] = E[(n - 1 - D)+] + P(D < n).
    """
    probability = exp(-departures)  # P(D = n)
    below = probability  # P(D <= n)
    total = 0.0
    for n in range(1, count + 1):
        total += below
        probability *= departures / n
        below += probability
    return total
