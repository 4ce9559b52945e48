"""The watch on discovery: what has changed since the list that is held, until a call fails.

Discovery works through the calls of a whole fleet one after another, and each line that it sends takes of its
time. So the whole list is asked for only where none is held: a start goes on from the version that the
configuration gave, and a watch that failed from the last that was told.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import aiohttp
from yarl import URL

from hazelbend.decisions import discovery_retry
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.routing.ports import EndpointList
from hazelbend.transport.http.aiohttp_client import open_session

log = logging.getLogger("hazelbend.discovery")

CALL_LIMIT = discovery_retry.CALL_LIMIT / 1e6  # seconds that a call which does not wait may take
HOLD_GRACE = 1.0  # seconds that one which waits may take beyond its wait: 2 s after it all counts as told
LIST_LIMIT = 4 * 1024 * 1024


class DiscoveryWatch:
    """Where discovery is may change: the list stays in force until the new address has answered."""

    def __init__(
        self, address: str | None, reader: EndpointListCodec, fleet: int = 1, pushed: bool = False
    ) -> None:
        self.address, self._reader, self.fleet, self.pushed = address, reader, fleet, pushed
        # The version of the list that is held; None: none is, or one of another service.
        self.held: int | None = None
        self._hold = discovery_retry.WatchHold()
        self._tell: Callable[[EndpointList], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, tell: Callable[[EndpointList], None]) -> None:
        """Tell a list, and its changes until a call fails. A watch that runs already goes on, and tells
        here: it may have been opened at a new address since the failure that this subscription answers."""
        self._tell = tell
        if self._task is None or self._task.done():
            self._open()

    def move(self, address: str | None, reader: EndpointListCodec) -> None:
        """Watch there from now on. It may be another service, so its whole list is asked for."""
        self.address, self._reader, self.held = address, reader, None
        if self._tell is not None:
            self._open()

    async def close(self) -> None:
        """End the watch; nothing more is told."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def _callers(self) -> int:
        """How many share the service: an agent that pushes is one's own."""
        return 1 if self.pushed else self.fleet

    def _open(self) -> None:
        """A new watch takes the place of one that may run yet: nothing more is heard of that."""
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._watch())

    def _hear(self, news: EndpointList) -> None:
        assert self._tell is not None
        self._tell(news)

    async def _watch(self) -> None:
        if self.address is None:
            self._hear(EndpointList())  # a site without discovery stays with the list it has
            return
        hold = self._hold.first_hold(self._callers)
        # Each watch has a connection of its own: one that is dead without a sign ends with its watch.
        connector = aiohttp.TCPConnector(limit=1, use_dns_cache=False)
        async with open_session(connector, aiohttp.ClientTimeout(total=None)) as session:
            while True:
                try:
                    news = await self._call(session, hold)
                except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
                    log.warning("discovery: call failed: %s", str(error) or type(error).__name__)
                    break
                self._hear(news)
                # The next call must come within 200 ms, or what changes in between is lost to this watch.
                hold = self._hold.next_hold(self._callers)
        self._task = None  # who hears of the failure may subscribe at once
        self._hear(EndpointList(failed=True))

    async def _call(self, session: aiohttp.ClientSession, hold: int) -> EndpointList:
        """The whole list, or what is newer than the list that is held, waited for so many microseconds."""
        url, limit, held = f"http://{self.address}/v1/servers", CALL_LIMIT, self.held
        if held is not None:
            url, limit = f"{url}?from={held}&hold_ms={hold // 1_000}", hold / 1e6 + HOLD_GRACE
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(limit):
                status, text = await self._fetch(session, url)
        except TimeoutError:
            self._hold.given_up(self._callers)
            raise
        if held is not None:
            self._hold.answered(round((loop.time() - began) * 1e6) - hold, self._callers)
        if 400 <= status < 500:
            self.held = None  # it knows nothing of that version
        if status != 200:
            raise ValueError(f"status {status}")
        news = self._reader.decode(text)
        if held is not None and news.seq < held and not news.whole:
            self.held = None  # it has started anew: what changed since cannot be told
            raise ValueError(f"changes up to {news.seq}, older than the {held} held")
        self.held = news.seq
        return news

    async def _fetch(self, session: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
        """Status and body of one call."""
        text = bytearray()
        async with session.get(URL(url, encoded=True), allow_redirects=False) as response:
            async for part in response.content.iter_any():
                text += part
                if len(text) > LIST_LIMIT:
                    raise ValueError("a list over the limit")
            return response.status, bytes(text)
