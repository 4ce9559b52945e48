"""A router's statistics in the text format of Prometheus, created by its client library.

The library takes longer to import than a router takes to start, so this module must be imported only when
metrics are first requested.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

from hazelbend.placement.statistics import RatioHistogram, Statistics, WorkerStatistics
from hazelbend.transport.background_work import FAILURES
from hazelbend.transport.connection_memory import ConnectionMemory

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(slots=True, frozen=True)
class ConfigVersions:
    """The configurations of a router. A version of 0 means that there is none."""

    in_force: int
    unreadable: int  # a newer one that could not be read


def render(statistics: Statistics, config: ConfigVersions, memory: ConnectionMemory) -> bytes:
    """Return all metrics of this router with their current values."""
    registry = CollectorRegistry()
    registry.register(_StatisticsCollector(statistics, config))
    registry.register(_MemoryCollector(memory))
    return generate_latest(registry)


class _MemoryCollector:
    """Implements the library's collector protocol for what the connections of the process hold."""

    def __init__(self, memory: ConnectionMemory) -> None:
        self._memory = memory

    def collect(self) -> Iterator[Metric]:
        """Create all metric families."""
        memory = self._memory
        yield GaugeMetricFamily(
            "hazelbend_connection_memory_bytes",
            "What all connections of clients hold together",
            value=memory.held_bytes,
        )
        yield GaugeMetricFamily(
            "hazelbend_connection_memory_peak_bytes",
            "The most that they have held",
            value=memory.peak_bytes,
        )
        yield GaugeMetricFamily(
            "hazelbend_connection_memory_limit_bytes",
            "The most that they may hold",
            value=memory.limits.held_bytes,
        )
        yield CounterMetricFamily(
            "hazelbend_connection_evictions",
            "Connections that made no progress and were ended to make room for others",
            value=memory.evictions,
        )
        yield CounterMetricFamily(
            "hazelbend_connection_memory_refusals",
            "Times that there was no room: requests were rejected, or responses had to wait",
            value=memory.refusals,
        )


class _StatisticsCollector:
    """Implements the library's collector protocol for the router's own counters."""

    def __init__(self, statistics: Statistics, config: ConfigVersions) -> None:
        self._statistics = statistics
        self._config = config

    def collect(self) -> Iterator[Metric]:
        """Create all metric families."""
        yield self._attempts()
        yield self._prompt_tokens()
        yield self._histogram(
            "reads",
            "Time of prompts' reads as a multiple of the expected",
            lambda worker: worker.prefill_ratios,
        )
        yield self._histogram(
            "first_events",
            "Time to first events as a multiple of the expected",
            lambda worker: worker.first_event_ratios,
        )
        yield self._refusals()
        yield self._retries()
        yield self._unknown_outcomes()
        yield self._unexpected_errors()
        yield GaugeMetricFamily(
            "hazelbend_config_version",
            "Version of the configuration in force, 0 if there is none",
            value=self._config.in_force,
        )
        yield GaugeMetricFamily(
            "hazelbend_unreadable_config_version",
            "Version of a newer configuration that could not be read, 0 if there is none",
            value=self._config.unreadable,
        )

    def _attempts(self) -> Metric:
        help_text = "Sends to workers by how they ended"
        family = CounterMetricFamily("hazelbend_sends", help_text, labels=("worker", "end"))
        for instance, worker in self._statistics.workers.items():
            for outcome, count in worker.outcomes.items():
                family.add_metric((instance, outcome.value), count)
        return family

    def _prompt_tokens(self) -> Metric:
        help_text = "Prompt tokens that were sent to be read, and believed to be kept"
        family = CounterMetricFamily("hazelbend_prompt_tokens", help_text, labels=("worker", "as"))
        for instance, worker in self._statistics.workers.items():
            family.add_metric((instance, "read"), worker.prefilled_tokens)
            family.add_metric((instance, "kept"), worker.cached_tokens)
        return family

    def _histogram(
        self, name: str, help_text: str, select: Callable[[WorkerStatistics], RatioHistogram]
    ) -> Metric:
        family = HistogramMetricFamily(f"hazelbend_{name}_ratio", help_text, labels=("worker",))
        for instance, worker in self._statistics.workers.items():
            histogram = select(worker)
            buckets = [(_bucket_label(bound), count) for bound, count in histogram.cumulative()]
            family.add_metric((instance,), buckets, histogram.total)
        return family

    def _refusals(self) -> Metric:
        help_text = "Requests that the router itself gave up, by reason"
        family = CounterMetricFamily("hazelbend_refusals", help_text, labels=("reason",))
        for reason, count in self._statistics.refusals.items():
            family.add_metric((reason.value,), count)
        return family

    def _retries(self) -> Metric:
        help_text = "Sends after one that may have run"
        return CounterMetricFamily("hazelbend_repeats", help_text, value=self._statistics.retries)

    def _unknown_outcomes(self) -> Metric:
        help_text = "Sends that may have been executed and gave no response for the client, by error"
        family = CounterMetricFamily("hazelbend_unknown_outcomes", help_text, labels=("error",))
        for error, count in self._statistics.unknown_outcomes.items():
            family.add_metric((error,), count)
        return family

    @staticmethod
    def _unexpected_errors() -> Metric:
        help_text = "Unexpected errors of background work, by its name"
        family = CounterMetricFamily("hazelbend_unexpected_errors", help_text, labels=("work",))
        for name, failure in FAILURES.by_name.items():
            family.add_metric((name,), failure.count)
        return family


def _bucket_label(bound: float) -> str:
    """Return the value of the label `le` for a bucket's upper bound."""
    return "+Inf" if bound == float("inf") else str(bound)
