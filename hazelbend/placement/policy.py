"""The tunable constants of worker selection, with their units.

`PlacementEngine` takes a complete `Policy`; operators' settings do not change it. Experiments and tests pass
their own: a field at its neutral value disables its mechanism. The measured runs behind the values are in
`docs/policy.md`.
"""

from __future__ import annotations

from dataclasses import dataclass

PREFILL_UNIT_TOKENS = 500  # tokens of prefill that the estimates count as one job


@dataclass(slots=True, frozen=True)
class Policy:
    """Units are in the names: `_us` microseconds, `_units` of prefill, `_samples` and `_reports` counts."""

    # Initial guesses. They describe no particular deployment; measurements replace each of them.
    initial_prefill_unit_us: float = PREFILL_UNIT_TOKENS / 0.03  # prefill time of one unit
    initial_prefill_overhead_us: float = 22_000  # fixed time of a prefill call
    decode_worker_slowdown: float = 2.2  # factor of a prefill's time at a worker that decodes as well
    initial_run_time_us: float = 200_000  # from the start of a request to its end
    initial_first_event_us: float = 20_000  # from a send to the first event of a prefilled prompt
    initial_hit_rate: float = 0.5  # cache hit rate of preferred workers for prefixes that no router reported

    # Learning: the number of samples that an estimate remembers (memory), or that its initial guess counts as
    # (prior).
    slowness_memory_samples: float = 20.0
    slowness_prior_samples: float = 4.0
    first_event_memory_samples: float = 30.0
    first_event_prior_samples: float = 4.0
    hit_rate_memory_samples: float = 20.0
    hit_rate_prior_samples: float = 3.0
    max_queued_fraction: float = 0.25  # of a prefill, that may be queued ahead of it in a valid sample
    min_shared_tokens: int = 2 * PREFILL_UNIT_TOKENS  # with fewer, the time does not show a hit or a miss
    max_inferred_progress: float = 0.9  # of a prompt that counts as prefilled before its worker has answered

    # Prices: the cost of a choice beyond its own delay, expressed as time.
    preferred_worker_bonus_us: float = 4_000  # makes all routers prefer the same one of equal workers
    prefill_interference: float = 0.5  # cost to other requests of a prefill at a decode worker, over its time
    long_prefill_units: float = 6.0  # longer prefills stall the streams of a decode worker
    long_prefill_price_us: float = 20_000  # for each unit beyond `long_prefill_units`
    cross_zone_us: float = 3_000  # round trip to a worker of another zone
    cross_zone_transfer_factor: float = 2.0  # slowdown of a KV transfer between zones (PROTOCOL.md)
    transfer_price_us: float = 40.0  # for each megabyte of KV cache that is transferred
    max_queueing_factor: float = 4.0  # bound of utilization / (1 - utilization); 0: recomputing has no price
    initial_utilization: float = 0.3  # of prefill workers, before the first load report
    utilization_memory_reports: float = 60.0
    utilization_prior_reports: float = 10.0

    # Caches.
    shared_cache_fraction: float = 0.7  # of a worker's KV cache, assumed to hold shared prefix segments
    reports_every_prefill: bool = True  # False: only the first prefill of a segment is reported to peers

    # Unhealthy workers.
    unresponsive_penalty_us: float = 60_000_000  # makes an unresponsive worker the last choice
    # A worker is unresponsive after `answer_overdue_us` plus `answer_overdue_factor` times the expected cost
    # without an answer.
    answer_overdue_us: int = 600_000
    answer_overdue_factor: float = 2.0
    risk_weight: float = 1.0  # weight of the expected cost of failures (`Reliability`); 0: no price
    max_peer_outcomes: int = 20  # outcomes of one kind that are applied from one message of a peer


DEFAULT_POLICY = Policy()
