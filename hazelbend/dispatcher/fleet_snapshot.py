"""The fleet's snapshot: the holder of a lease writes it to a store, by HTTP PUT with its fencing token.

The store must reject a token lower than the highest that it has seen for this URL, with 409 or 412. A
dispatcher with a rejected token releases the lease, as another one has acquired it since. A write begins only
if its timeout ends before the lease expires.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import aiohttp
import msgspec
from yarl import URL

from hazelbend.leases.client import LeaseClient, Stage
from hazelbend.leases.lease_table import LeaseLimits
from hazelbend.leases.operations import Acquire, LeaseResponse, Operation
from hazelbend.leases.settings import SnapshotSettings
from hazelbend.leases.views import FleetView
from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.http.aiohttp_client import open_session
from hazelbend.transport.peer.lease_requester import LeaseRequester
from hazelbend.transport.peer.peer_links import CALL_ERRORS

log = logging.getLogger("hazelbend.fleet")

LEASE_NAME = "hazelbend.snapshot"
TOKEN_HEADER = "X-Fencing-Token"
TOKEN_REJECTED_STATUSES = (409, 412)
QUEUE_WAIT_US = 600_000_000  # longest wait of one request for the lease; the next request follows it
MIN_POLL_S = 0.05
RELEASE_TIMEOUT_S = 0.2  # for the response to the release at a shutdown
RETRY_DELAY_S = 1.0  # between the end of a lease and the next request
US_PER_S = 1e6


class Snapshot(msgspec.Struct, frozen=True):
    """The body of a write. `token` and `by` identify the writer; `written_at` is in Unix seconds.

    The field names are in the JSON that the store gets.
    """

    token: int
    written_at: float
    by: str
    fleet: FleetView


class WriteResult(Enum):
    """How a write ended."""

    WRITTEN = auto()
    TOKEN_REJECTED = auto()  # the store has seen a higher token
    FAILED = auto()  # whether the snapshot was written is unknown


class SnapshotTask:
    """Requests the lease again after each loss, and writes while it holds it. `clock` is in microseconds."""

    def __init__(
        self,
        settings: SnapshotSettings,
        limits: LeaseLimits,
        me: str,
        clock: Callable[[], int],
        submit: Callable[[Operation], Awaitable[LeaseResponse | None]],
        view: Callable[[], FleetView],
    ) -> None:
        """`submit` sends an operation to the leader. It returns the response; None: no leader answered."""
        self.settings = settings
        self.limits = limits
        self.me = me
        self._clock = clock
        self._view = view
        self._last_request_id = 0
        self._client = self._new_client()
        self._requester = LeaseRequester(submit, clock)
        self._task: asyncio.Task[None] | None = None
        self.written = 0
        self.rejected = 0
        self.failed = 0

    def start(self) -> None:
        """Start the background task."""
        self._task = start_background_task("snapshot of the fleet", self._run)

    async def leave(self) -> None:
        """Release the lease, so that another dispatcher need not wait until it expires."""
        await self._stop()
        self._client.release(self._clock())
        self._requester.tick(self._client)
        await self._requester.finish(RELEASE_TIMEOUT_S)

    async def close(self) -> None:
        """Stop without a release of the lease."""
        await self._stop()
        await self._requester.close()

    async def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def _new_client(self) -> LeaseClient:
        self._last_request_id += 1
        ttl_us = round(self.settings.ttl_s * US_PER_S)
        request = Acquire(LEASE_NAME, self.me, self._last_request_id, ttl_us, QUEUE_WAIT_US)
        return LeaseClient(request, self.limits, self._clock())

    async def _run(self) -> None:
        async with self._open_session() as session:
            next_write_at = 0
            while True:
                client = self._client
                self._requester.tick(client)
                now = self._clock()
                if now >= next_write_at and self._may_write(client, now):
                    next_write_at = now + round(self.settings.interval_s * US_PER_S)
                    if await self._write(session, client.token) is WriteResult.TOKEN_REJECTED:
                        client.release(self._clock())
                elif client.stage is Stage.ENDED:
                    await asyncio.sleep(RETRY_DELAY_S)
                    self._client = self._new_client()
                else:
                    is_held = client.stage is Stage.HELD
                    next_at = min(client.next_at, next_write_at) if is_held else client.next_at
                    await asyncio.sleep(max((next_at - self._clock()) / US_PER_S, MIN_POLL_S))

    @staticmethod
    def _open_session() -> aiohttp.ClientSession:
        # Without automatic retries: the first attempt may have been written. The next write shows the state.
        connector = aiohttp.TCPConnector(limit=1, use_dns_cache=False)
        return open_session(connector, aiohttp.ClientTimeout(total=None))

    def _may_write(self, client: LeaseClient, now: int) -> bool:
        remaining_us = client.expires_at - now
        return client.may_act(now) and remaining_us > self.settings.timeout_s * US_PER_S

    async def _write(self, session: aiohttp.ClientSession, token: int) -> WriteResult:
        try:
            status = await self._put(session, token)
        except CALL_ERRORS as error:
            self.failed += 1
            log.warning("fleet: snapshot: %s", str(error) or type(error).__name__)
            return WriteResult.FAILED
        if status in TOKEN_REJECTED_STATUSES:
            self.rejected += 1
            log.warning("fleet: snapshot: the store has seen a higher token than %d", token)
            return WriteResult.TOKEN_REJECTED
        if status >= 300:
            self.failed += 1
            log.warning("fleet: snapshot: the store responded with status %d", status)
            return WriteResult.FAILED
        self.written += 1
        return WriteResult.WRITTEN

    async def _put(self, session: aiohttp.ClientSession, token: int) -> int:
        """Write a snapshot and return the HTTP status. Raises one of CALL_ERRORS."""
        body = msgspec.json.encode(Snapshot(token, time.time(), self.me, self._view()))
        headers = {TOKEN_HEADER: str(token), "Content-Type": "application/json"}
        url = URL(self.settings.url, encoded=True)
        async with (
            asyncio.timeout(self.settings.timeout_s),
            session.put(url, data=body, headers=headers, allow_redirects=False) as response,
        ):
            await response.read()
            return response.status
