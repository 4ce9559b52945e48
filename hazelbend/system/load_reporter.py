"""Reports a router's requests in flight and the outcomes of its attempts to the other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hazelbend.control.load_table import RouterLoad
from hazelbend.placement.engine import PlacementEngine
from hazelbend.system.clock import clock

REPORT_DELAY_S = 0.015  # all changes within this time are sent in one report


class LoadReporter:
    """Batches changes into reports. Each report is passed to `send`; delivery is not guaranteed."""

    def __init__(
        self, node_name: str, placement: PlacementEngine, send: Callable[[RouterLoad], None]
    ) -> None:
        self._node_name = node_name
        self._placement = placement
        self._send = send
        self._timer: asyncio.TimerHandle | None = None
        self._sequence = clock()  # higher than all numbers of this router's earlier processes

    def schedule_report(self) -> None:
        """Send a report after the delay, because the load has changed or is to be reported again."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_report)

    def _send_report(self) -> None:
        self._timer = None
        self._sequence += 1
        cached = tuple(self._placement.newly_cached)
        self._placement.newly_cached = []
        loads = self._placement.own_loads(clock())
        outcomes = self._placement.take_outcomes()
        self._send(RouterLoad(self._node_name, self._sequence, loads, cached, outcomes))
