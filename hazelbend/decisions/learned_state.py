"""Exports and imports what a dispatcher has learnt, as plain values, for the process that replaces it.

Own attempts in flight are exported as jobs of peers, since another process goes on to handle them. The keys
of the exported values are a stored format that program versions share, and are older than the names in the
code.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import astuple
from math import isfinite
from typing import Any

from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.health import MAX_BACKOFF_US
from hazelbend.decisions.job_count import MAX_JOB_COUNT, expected_jobs
from hazelbend.decisions.reliability import FailureEstimate
from hazelbend.decisions.statistics import Mean
from hazelbend.decisions.worker import WarmupAttempt, Worker

# Attributes of the load model and of workers, by their stored keys.
MEANS = {
    "work": "work",
    "width": "request_slots",
    "runs_with": "cached_run_ratio",
    "runs_without": "fetch_run_ratio",
    "rates": "rates",
    "weights": "weights",
    "slowness": "run_ratio",
    "erring": "error_time",
}
WORKER_NUMBERS = {
    "slots": "slots",
    "crowd": "background_load",
    "rate": "rate",
    "most": "concurrency",
}
WORKER_TIMES = {
    "rated_at": "rated_at",
    "heard_at": "last_signal_at",
    "shut_until": "backoff_until",
    "backoff": "backoff",
    "resets": "resets",
    "round_trip": "round_trip",
}


def export_state(dispatcher: Dispatcher, now: int) -> dict[str, Any]:
    """Return the learnt state that the next process can use, as plain values."""
    return {
        "means": {key: _export_mean(getattr(dispatcher.load_model, name)) for key, name in MEANS.items()},
        "share": _export_mean(dispatcher.slow_start.own_traffic),
        "runs": [_export_mean(mean) for mean in dispatcher.load_model.run_times],
        "usuals": [
            [kind, _export_mean(mean)] for kind, mean in dispatcher.load_model.peer_load_levels.items()
        ],
        "paces": [[kind, _export_mean(mean)] for kind, mean in dispatcher.load_model.kind_run_ratios.items()],
        "misses": dispatcher.load_model.report_lag.errors,
        "part": dispatcher.slow_start.share,
        "workers": [_export_worker(number, worker, now) for number, worker in dispatcher.workers.items()],
    }


def _export_worker(number: int, worker: Worker, now: int) -> dict[str, Any]:
    return {
        "worker": number,
        "started_at": worker.entry.started_at,
        "others": min(round(expected_jobs(worker, now, worker.rate)), MAX_JOB_COUNT),
        "keys": list(worker.cached_keys),
        "spent": [(attempt.at, attempt.cost) for attempt in worker.warmup_attempts],
        "ratio": _export_mean(worker.run_time_ratio),
        **{key: getattr(worker, name) for key, name in (WORKER_NUMBERS | WORKER_TIMES).items()},
        "usual": _export_mean(worker.peer_load_level),
        "size": worker.size,
        "soundness": astuple(worker.reliability),
    }


def import_state(dispatcher: Dispatcher, state: dict[str, Any], now: int) -> None:
    """Import what another process has exported, for the workers that are listed.

    Raises:
        ValueError: the values are malformed or do not fit this dispatcher; nothing is changed.
    """
    try:
        means = {name: _mean(state["means"][key]) for key, name in MEANS.items() if key in state["means"]}
        # An earlier version stores the share of own traffic among the means.
        stored_traffic = state.get("share", state["means"].get("share"))
        own_traffic = (
            _mean(stored_traffic) if stored_traffic is not None else dispatcher.slow_start.own_traffic
        )
        run_times = [_mean(value) for value in state["runs"]]
        # An earlier version exports levels relative to the rate, under another key: not comparable.
        peer_load_levels = {int(kind): _mean(value) for kind, value in state.get("usuals", [])}
        kind_run_ratios = {int(kind): _mean(value) for kind, value in state.get("paces", [])}
        lag_errors = [_number(value) for value in state["misses"]]
        share = _number(state["part"])
        listed = [(_find_worker(dispatcher, values), values) for values in state["workers"]]
        workers = [
            (worker, _worker_attributes(values, now)) for worker, values in listed if worker is not None
        ]
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed dispatcher state: {error!r}") from None
    model = dispatcher.load_model
    if len(run_times) != len(model.run_times) or len(lag_errors) != len(model.report_lag.errors):
        raise ValueError("dispatcher state has another number of job classes or report ages")
    for name, mean in means.items():
        setattr(model, name, mean)
    model.run_times = run_times
    model.peer_load_levels = peer_load_levels
    model.kind_run_ratios = kind_run_ratios
    model.report_lag.errors = lag_errors
    dispatcher.slow_start.own_traffic = own_traffic
    dispatcher.slow_start.share = share
    for worker, attributes in workers:
        for name, value in attributes.items():
            setattr(worker, name, value)


def _find_worker(dispatcher: Dispatcher, values: dict[str, Any]) -> Worker | None:
    """Return the worker that the values describe, unless its process has restarted since."""
    worker = dispatcher.workers.get(values["worker"])
    return worker if worker and worker.entry.started_at == values["started_at"] else None


def _worker_attributes(values: dict[str, Any], now: int) -> dict[str, Any]:
    attributes: dict[str, Any] = {"run_time_ratio": _mean(values["ratio"])}
    attributes |= {name: _number(values[key]) for key, name in WORKER_NUMBERS.items()}
    attributes |= {name: int(_number(values[key])) for key, name in WORKER_TIMES.items()}
    if attributes["rate"] <= 0 or attributes["concurrency"] < 1:
        raise ValueError("worker state: the rate must be positive and the concurrency at least 1")
    attributes["rated_at"] = min(attributes["rated_at"], now)
    attributes["last_signal_at"] = min(attributes["last_signal_at"], now)
    attributes["backoff_until"] = min(attributes["backoff_until"], now + 2 * MAX_BACKOFF_US)
    attributes["backoff"] = min(attributes["backoff"], MAX_BACKOFF_US)
    attributes["peer_jobs"] = int(_number(values["others"]))
    attributes["peer_jobs_at"] = now
    attributes["peer_load_level"] = _mean(values.get("usual", (0.0, 0.0)))
    attributes["size"] = _number(values.get("size", 1.0))
    if attributes["size"] <= 0:
        raise ValueError("worker state: the size must be positive")
    attributes["reliability"] = _failure_estimate(values.get("soundness"), now)
    attributes["cached_keys"] = {int(_number(key)): None for key in values["keys"]}
    attributes["warmup_attempts"] = deque(
        WarmupAttempt(int(_number(at)), _number(cost)) for at, cost in values["spent"]
    )
    return attributes


def _failure_estimate(value: object, now: int) -> FailureEstimate:
    """Import an estimate; an earlier version of the program exports none."""
    if value is None:
        return FailureEstimate()
    failing, errors, successes, updated_at = (_number(number) for number in _sequence(value))
    if failing > 1:
        raise ValueError("failure estimate: a probability above 1")
    return FailureEstimate(failing, errors, successes, min(int(updated_at), now))


def _export_mean(mean: Mean) -> tuple[float, float]:
    return mean.count, mean.total


def _mean(value: object) -> Mean:
    count, total = _sequence(value)
    return Mean(_number(count), _number(total))


def _sequence(value: object) -> Iterable[object]:
    if not isinstance(value, Iterable):
        raise TypeError(f"not a sequence: {value!r}")
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise ValueError(f"not a finite, non-negative number: {value!r}")
    return value
