"""Sends the phase planner's orders to workers while this process is the leader.

An order makes a worker change its phase (prefill or decode). It contains a fencing token, and is sent only
after a majority has confirmed that this process is still the leader, so two leaders never send orders at the
same time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import picologging

from hazelbend.control.load_table import Load
from hazelbend.control.outputs import ReadOutcome
from hazelbend.control.phase_planner import PhaseOrder
from hazelbend.system.clock import clock
from hazelbend.system.control_node import ControlNode
from hazelbend.transport.background_work import start_background_task

log = picologging.getLogger("hazelbend.control")

PLAN_PERIOD_S = 0.5
PLAN_DELAY_S = 0.05  # after a change of workers, so that several changes are planned together
ORDER_OPERATION = "phase"


class PhaseOrderSender:
    """Plans periodically, and shortly after each change of workers.

    `loads` returns the requests in flight by worker. `announce` notifies the routers of the workers that
    change their phase.
    """

    def __init__(
        self, node: ControlNode, loads: Callable[[], dict[str, Load]], announce: Callable[[], None]
    ) -> None:
        self._node = node
        self._loads = loads
        self._announce = announce
        self._task: asyncio.Task[None] | None = None
        self._workers_changed = asyncio.Event()

    def start(self) -> None:
        """Start planning."""
        self._task = start_background_task("phase orders", self._plan_regularly)

    def close(self) -> None:
        """Stop planning and sending orders."""
        if self._task is not None:
            self._task.cancel()

    def workers_changed(self) -> None:
        """Plan soon, since a worker may have started to drain."""
        self._workers_changed.set()

    async def _plan_regularly(self) -> None:
        while True:
            await self._wait_for_change()
            self._workers_changed.clear()
            for order in self._node.engine.phase_orders(self._loads(), clock()):
                await self._send(order)

    async def _wait_for_change(self) -> None:
        """Wait until shortly after a change of workers, or until the end of the period."""
        try:
            async with asyncio.timeout(PLAN_PERIOD_S):
                await self._workers_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(PLAN_DELAY_S)

    async def _send(self, order: PhaseOrder) -> None:
        # Imported here: slow to import, and most processes never send an order.
        from hazelbend.transport.http.worker_orders import OrderResult, WorkerOrder, send_order

        engine = self._node.engine
        token = await self._confirmed_token()
        if token is None:
            log.warning("control: %s not ordered to %s: no quorum", order.instance, order.phase)
            engine.planner.discard_order(order)
            return
        body = WorkerOrder(ORDER_OPERATION, order.phase, engine.identity, token)
        result = await send_order(order.address, order.instance, body)
        log.info("control: %s ordered to %s: %s", order.instance, order.phase, result.value)
        if result is OrderResult.REJECTED:
            engine.planner.discard_order(order)

    async def _confirmed_token(self) -> int | None:
        """Return the fencing token for an order, after a majority has confirmed that this process leads.

        Returns None without that confirmation. The routers are notified while it is pending. The token is
        compared again after it: a process that has stepped down in between knows the next leader's term, and
        must not use the token of that term.
        """
        engine = self._node.engine
        token = engine.order_token(clock())
        self._announce()
        request_id = engine.read_config(clock())
        outcome = await self._node.wait_for_outcome(request_id) if request_id is not None else None
        confirmed = isinstance(outcome, ReadOutcome) and outcome.config is not None
        if not confirmed or engine.order_token(clock()) != token:
            return None
        return token
