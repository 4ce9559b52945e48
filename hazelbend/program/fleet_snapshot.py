"""The fleet's snapshot: written to a store by one dispatcher at a time, by HTTP PUT with the lease's token.

The store is to refuse a token lower than the highest that it has seen for this URL, with 409 or 412: then
this one gives the lease up, as somebody else has it whatever it believes itself. A write begins only while
its time fits into the lease's.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from yarl import URL

from hazelbend.leases.client import Holder, Stage
from hazelbend.leases.engine import View
from hazelbend.leases.lease_table import Answer, Limits, Operation
from hazelbend.leases.settings import SnapshotSettings
from hazelbend.transport.peer.fleet_peers import UNANSWERED, Asking

log = logging.getLogger("hazelbend.fleet")

LEASE = "hazelbend.snapshot"
TOKEN = "X-Fencing-Token"
REFUSED = (409, 412)
QUEUED = 600_000_000  # microseconds for one wish; then it wishes again
LOOK = 0.05  # seconds between looks at the time, at the shortest
LEAVE_WAIT = 0.2  # seconds for the release to be heard
REST = 1.0  # after a lease that ended


class Snapshot(msgspec.Struct, frozen=True):
    """What is written: `token` and `written_at` (Unix seconds) say by whom and when, `fleet` what it knew."""

    token: int
    written_at: float
    by: str
    fleet: View


class SnapshotTask:
    def __init__(
        self,
        settings: SnapshotSettings,
        limits: Limits,
        me: str,
        clock: Callable[[], int],
        wish: Callable[[Operation], Awaitable[Answer | None]],
        view: Callable[[], View],
    ) -> None:
        self.settings, self.limits, self.me = settings, limits, me
        self._clock, self._view = clock, view
        self._asks = 0
        self._holder = self._next_wish()
        self._asking = Asking(wish, clock)
        self._task: asyncio.Task[None] | None = None
        self.written = self.refused = self.failed = 0

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def leave(self) -> None:
        """Give the lease up, so that another need not wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        self._holder.let_go(self._clock())
        self._asking.tick(self._holder)
        await self._asking.finish(LEAVE_WAIT)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        await self._asking.close()

    def _next_wish(self) -> Holder:
        self._asks += 1
        ttl = round(self.settings.ttl_s * 1e6)
        now = self._clock()
        return Holder(LEASE, self.me, self._asks, self.limits, now, ttl=ttl, wait=QUEUED)

    async def _run(self) -> None:
        write_at = 0
        async with aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            trust_env=False,
            connector=aiohttp.TCPConnector(limit=1, use_dns_cache=False),
        ) as session:
            session._retry_connection = False  # whether it was written is not known: the next one tells
            while True:
                holder = self._holder
                self._asking.tick(holder)
                now = self._clock()
                room = holder.until - now
                if holder.may_act(now) and now >= write_at and room > self.settings.timeout_s * 1e6:
                    write_at = now + round(self.settings.every_s * 1e6)
                    if not await self._put(session, holder.token):
                        holder.let_go(self._clock())
                    continue
                if holder.stage is Stage.ENDED:
                    await asyncio.sleep(REST)
                    self._holder = self._next_wish()
                    continue
                due = min(holder.due, write_at) if holder.stage is Stage.HELD else holder.due
                await asyncio.sleep(max((due - self._clock()) / 1e6, LOOK))

    async def _put(self, session: aiohttp.ClientSession, token: int) -> bool:
        """False: the store has seen a higher token."""
        body = msgspec.json.encode(Snapshot(token, time.time(), self.me, self._view()))
        headers = {TOKEN: str(token), "Content-Type": "application/json"}
        url = URL(self.settings.url, encoded=True)
        try:
            async with (
                asyncio.timeout(self.settings.timeout_s),
                session.put(url, data=body, headers=headers, allow_redirects=False) as response,
            ):
                await response.read()
                status = response.status
        except UNANSWERED as error:
            self.failed += 1
            log.warning("fleet: snapshot: %s", str(error) or type(error).__name__)
            return True
        if status in REFUSED:
            self.refused += 1
            log.warning("fleet: snapshot: the store has seen a higher token than %d", token)
            return False
        if status >= 300:
            self.failed += 1
            log.warning("fleet: snapshot: the store answers %d", status)
        else:
            self.written += 1
        return True
