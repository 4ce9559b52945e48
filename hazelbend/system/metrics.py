"""A router's statistics in the text format of Prometheus, by its client library.

The library takes longer to load than a router takes to start, so it is loaded when metrics are first
asked for.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hazelbend.placement.statistics import RatioHistogram, Statistics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def render(statistics: Statistics) -> bytes:
    """All metrics of this router as they stand."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(statistics))
    return generate_latest(registry)


class _Collector:
    """Implements the library's collector protocol over the plain counts."""

    def __init__(self, statistics: Statistics) -> None:
        self._statistics = statistics

    def collect(self) -> Iterable[Any]:
        """The families, built anew at each call."""
        yield self._ends()
        yield self._tokens()
        yield self._histogram("reads", "Time of prompts' reads as a multiple of the expected")
        yield self._histogram("first_events", "Time to first events as a multiple of the expected")
        yield self._refusals()
        yield self._repeats()

    def _ends(self) -> Any:
        from prometheus_client.core import CounterMetricFamily

        text = "Sends to workers by how they ended"
        family = CounterMetricFamily("hazelbend_sends", text, labels=("worker", "end"))
        for instance, each in self._statistics.workers.items():
            for end, count in each.outcomes.items():
                family.add_metric((instance, end.value), count)
        return family

    def _tokens(self) -> Any:
        from prometheus_client.core import CounterMetricFamily

        text = "Prompt tokens that were sent to be read, and believed to be kept"
        family = CounterMetricFamily("hazelbend_prompt_tokens", text, labels=("worker", "as"))
        for instance, each in self._statistics.workers.items():
            family.add_metric((instance, "read"), each.prefilled_tokens)
            family.add_metric((instance, "kept"), each.cached_tokens)
        return family

    def _histogram(self, kind: str, text: str) -> Any:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(f"hazelbend_{kind}_ratio", text, labels=("worker",))
        for instance, each in self._statistics.workers.items():
            histogram: RatioHistogram = getattr(each, kind)
            buckets = [(_bound(bound), count) for bound, count in histogram.cumulative()]
            family.add_metric((instance,), buckets, histogram.total)
        return family

    def _refusals(self) -> Any:
        from prometheus_client.core import CounterMetricFamily

        text = "Requests that the router itself gave up, by reason"
        family = CounterMetricFamily("hazelbend_refusals", text, labels=("reason",))
        for reason, count in self._statistics.refusals.items():
            family.add_metric((reason.value,), count)
        return family

    def _repeats(self) -> Any:
        from prometheus_client.core import CounterMetricFamily

        text = "Sends after one that may have run"
        return CounterMetricFamily("hazelbend_repeats", text, value=self._statistics.retries)


def _bound(bound: float) -> str:
    return "+Inf" if bound == float("inf") else str(bound)
