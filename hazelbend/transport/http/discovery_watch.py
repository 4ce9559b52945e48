"""Watch on the discovery service: long polls for changes since the known version, until a call fails.

Discovery serves the calls of the whole fleet one after another, and each line that it sends takes time. The
complete list is therefore requested only if no version is known: at startup the watch continues from the
version in the configuration, and a new watch continues from the last version that the previous one received.
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
from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.http.aiohttp_client import open_session

log = logging.getLogger("hazelbend.discovery")

CALL_TIMEOUT_S = discovery_retry.CALL_TIMEOUT_US / 1e6  # of a call without a hold time
HOLD_GRACE_S = 1.0  # added to the hold time of a call; 2 s after that time a change counts as announced
MAX_LIST_BYTES = 4 * 1024 * 1024


class DiscoveryWatch:
    """Implements `routing.ports.Discovery`. The known list stays valid until a new address has answered."""

    def __init__(
        self,
        address: str | None,
        codec: EndpointListCodec,
        fleet_size: int = 1,
        *,
        is_pushed: bool = False,
    ) -> None:
        """`is_pushed`: the service is a local agent that no other dispatcher calls."""
        self.address = address
        self._codec = codec
        self.fleet_size = fleet_size
        self.is_pushed = is_pushed
        self.known_version: int | None = None  # None: no list is known, or only that of another service
        self._hold = discovery_retry.WatchHold()
        self._on_list: Callable[[EndpointList], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, on_list: Callable[[EndpointList], None]) -> None:
        """See the Protocol.

        A watch in progress continues for the new subscriber: it may have been opened at a new address since
        the failure that led to this subscription.
        """
        self._on_list = on_list
        if self._task is None or self._task.done():
            self._open()

    def change_address(self, address: str | None, codec: EndpointListCodec) -> None:
        """Watch a new address. It may be another service, so its complete list is requested."""
        self.address = address
        self._codec = codec
        self.known_version = None
        if self._on_list is not None:
            self._open()

    async def close(self) -> None:
        """End the watch; the subscriber receives nothing more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def _callers(self) -> int:
        """The number of dispatchers that call the service."""
        return 1 if self.is_pushed else self.fleet_size

    def _open(self) -> None:
        """Start a watch, replacing the one in progress."""
        if self._task is not None:
            self._task.cancel()
        self._task = start_background_task("discovery watch", self._watch)

    def _publish(self, endpoints: EndpointList) -> None:
        assert self._on_list is not None
        self._on_list(endpoints)

    async def _watch(self) -> None:
        if self.address is None:
            self._publish(EndpointList())  # without discovery the known list stays valid
            return
        hold = self._hold.first_hold(self._callers)
        # Each watch opens its own connection, so that a dead connection is not reused by the next watch.
        connector = aiohttp.TCPConnector(limit=1, use_dns_cache=False)
        async with open_session(connector, aiohttp.ClientTimeout(total=None)) as session:
            while True:
                try:
                    endpoints = await self._call(session, hold)
                except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
                    log.warning("discovery: call failed: %s", str(error) or type(error).__name__)
                    break
                self._publish(endpoints)
                # The next call must arrive within 200 ms, or this watch misses the changes in between.
                hold = self._hold.next_hold(self._callers)
        self._task = None  # the subscriber may subscribe again from within its callback for the failure
        self._publish(EndpointList(failed=True))

    async def _call(self, session: aiohttp.ClientSession, hold: int) -> EndpointList:
        """Return the complete list, or the changes since the known version.

        Discovery waits for changes for up to `hold` microseconds before it answers.
        """
        known_version = self.known_version
        url = f"http://{self.address}/v1/servers"
        timeout_s = CALL_TIMEOUT_S
        if known_version is not None:
            url = f"{url}?from={known_version}&hold_ms={hold // 1_000}"
            timeout_s = hold / 1e6 + HOLD_GRACE_S
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                status, text = await self._fetch(session, url)
        except TimeoutError:
            self._hold.record_timeout(self._callers)
            raise
        if known_version is not None:
            elapsed = round((loop.time() - started_at) * 1e6)
            self._hold.record_answer(elapsed - hold, self._callers)
        if 400 <= status < 500:
            self.known_version = None  # discovery does not know this version
        if status != 200:
            raise ValueError(f"status {status}")
        endpoints = self._codec.decode(text)
        if known_version is not None and endpoints.seq < known_version and not endpoints.is_complete:
            self.known_version = None  # discovery has restarted: the changes in between are unknown
            raise ValueError(f"changes up to version {endpoints.seq}, older than the known {known_version}")
        self.known_version = endpoints.seq
        return endpoints

    @staticmethod
    async def _fetch(session: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
        """Return the status and the body of one call."""
        body = bytearray()
        async with session.get(URL(url, encoded=True), allow_redirects=False) as response:
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_LIST_BYTES:
                    raise ValueError(f"the list is larger than {MAX_LIST_BYTES} bytes")
            return response.status, bytes(body)
