"""Sends the requests of lease clients to the leader, each in its own task, and returns the responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hazelbend.leases.client import LeaseClient, LeaseRequest
from hazelbend.leases.operations import LeaseResponse, Operation


class LeaseRequester:
    """Drives lease clients. `submit` returns None if no leader responds; `clock` returns microseconds."""

    def __init__(
        self,
        submit: Callable[[Operation], Awaitable[LeaseResponse | None]],
        clock: Callable[[], int],
    ) -> None:
        self._submit = submit
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self, client: LeaseClient) -> None:
        """Send the requests of a client that are due now."""
        for request in client.tick(self._clock()):
            task = asyncio.create_task(self._send(client, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, client: LeaseClient, request: LeaseRequest) -> None:
        response = await self._submit(request.operation)
        client.handle_response(request.number, response, self._clock())

    async def finish(self, timeout_s: float) -> None:
        """Wait for the outstanding responses, for at most `timeout_s`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Cancel all requests in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
