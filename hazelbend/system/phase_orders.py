"""Gives the orders of the phase planner to workers, while this process leads."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import picologging

from hazelbend.control.load_table import Load
from hazelbend.control.outputs import ReadOutcome
from hazelbend.control.phase_planner import PhaseOrder
from hazelbend.system.agreement import Agreement
from hazelbend.system.clock import clock

log = picologging.getLogger("hazelbend.control")

PLAN_PERIOD = 0.5  # seconds between two looks at the parts that workers play
PLAN_DELAY = 0.05  # after a change of workers, so that several at once are one look


class PhaseOrders:
    """Looks, and orders."""

    def __init__(
        self, agreement: Agreement, loads: Callable[[], dict[str, Load]], announce: Callable[[], None]
    ) -> None:
        """`announce` lets routers know of an order before it is given."""
        self._agreement, self._loads, self._announce = agreement, loads, announce
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    def start(self) -> None:
        """Begin to look."""
        self._task = asyncio.create_task(self._plan())

    def close(self) -> None:
        """No further orders."""
        if self._task is not None:
            self._task.cancel()

    def workers_changed(self) -> None:
        """Look soon: a worker may have announced its end."""
        self._changed.set()

    async def _plan(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), PLAN_PERIOD)
                await asyncio.sleep(PLAN_DELAY)
            self._changed.clear()
            for order in self._agreement.engine.phase_orders(self._loads(), clock()):
                await self._order(order)

    async def _order(self, order: PhaseOrder) -> None:
        """Let routers know first, then order, if a majority confirms that this process still leads."""
        # Imported here: it takes time that a start does not have, and most processes never give an order.
        from hazelbend.transport.http.worker_orders import Order, OrderResult, send_order

        engine = self._agreement.engine
        token = engine.order_token(clock())
        self._announce()
        number = engine.read(clock())
        confirmed = await self._agreement.wait_for(number) if number is not None else None
        is_confirmed = isinstance(confirmed, ReadOutcome) and confirmed.config is not None
        if not is_confirmed or token is None or engine.order_token(clock()) != token:
            log.warning("control: %s is not ordered to %s: no majority confirms", order.instance, order.phase)
            engine.planner.refused(order)
            return
        call = Order("phase", order.phase, engine.identity, token)
        result = await send_order(order.address, order.instance, call)
        log.info("control: %s is to %s: %s", order.instance, order.phase, result.value)
        if result is OrderResult.REFUSED:
            engine.planner.refused(order)
