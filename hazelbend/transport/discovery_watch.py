"""The watch on discovery: one whole list, then its changes, until a call fails."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import aiohttp
from yarl import URL

from hazelbend.protocol.discovery import ListReader
from hazelbend.routing.ports import ServiceList

log = logging.getLogger("hazelbend.discovery")

HOLD_MS = 10_000
CALL_LIMIT = 6.0  # seconds that a call which does not wait may take
HOLD_GRACE = 2.0  # seconds that one which waits may take beyond its wait
LIST_LIMIT = 4 * 1024 * 1024


class DiscoveryWatch:
    def __init__(self, address: str, reader: ListReader) -> None:
        self._base, self._reader = f"http://{address}/v1/servers", reader
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, tell: Callable[[ServiceList], None]) -> None:
        """Exactly one result for each call; a watch that still runs is given up for the new one."""
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._watch(tell))

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _watch(self, tell: Callable[[ServiceList], None]) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                trust_env=False,
                connector=aiohttp.TCPConnector(limit=4, use_dns_cache=False),
            )
            self._session._retry_connection = False
        query, limit = "", CALL_LIMIT
        while True:
            try:
                async with asyncio.timeout(limit):
                    news = await self._call(self._session, query)
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
                log.warning("discovery: call failed: %s", str(error) or type(error).__name__)
                # Its connections may be dead without a sign: the next call must not be lost to one of them.
                session, self._session = self._session, None
                await session.close()
                tell(ServiceList(failed=True))
                return
            tell(news)
            # The next call must come within 200 ms, or what changes in between is lost to this watch.
            query, limit = f"?from={news.seq}&hold_ms={HOLD_MS}", HOLD_MS / 1e3 + HOLD_GRACE

    async def _call(self, session: aiohttp.ClientSession, query: str) -> ServiceList:
        async with session.get(URL(self._base + query, encoded=True), allow_redirects=False) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            text = bytearray()
            async for part in response.content.iter_any():
                text += part
                if len(text) > LIST_LIMIT:
                    raise ValueError("a list over the limit")
        return self._reader.read(bytes(text))
