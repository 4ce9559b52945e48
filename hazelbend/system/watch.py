"""A router's watches: connections to control processes over which all news of the fleet comes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.load_table import LoadNews
from hazelbend.transport.peer.frame_link import FrameLink

log = picologging.getLogger("hazelbend.watch")

WATCHES = 2  # control processes that a router listens to, so that the loss of one loses no time
LOOK = 0.2  # seconds between looks at the watches
PING = 0.4  # seconds between signs of life
TURNED_AWAY = 0.1  # seconds within which a watch that ends was not wanted there
SILENT = 1.3  # seconds without a message after which a watch is made anew, elsewhere
CACHES_STALE = 5.0  # seconds without any news of loads after which a router asks for all that workers keep
UNCONFIRMED = 1.5  # seconds without a majority's confirmation, after which a watch is made elsewhere


class News(Protocol):
    """Who hears what comes."""

    def config(self, news: m.ConfigNews) -> None:
        """A configuration is in force."""

    def workers(self, news: m.WorkerNews) -> None:
        """Workers have changed."""

    def fleet(self, news: m.FleetNews) -> None:
        """What is told now and then."""

    def loads(self, news: LoadNews) -> None:
        """What other routers have under way."""

    def confirmed(self, version: int, at: float) -> None:
        """A majority has confirmed that at this time (seconds of the loop's clock) no configuration was newer
        than this version."""

    def version(self) -> int:
        """The configuration that is in force here."""


class _Watch:
    """One connection to one control process."""

    def __init__(
        self, address: str, news: News, opened: Callable[[_Watch], None], now: Callable[[], float]
    ) -> None:
        self.address, self._news, self._now = address, news, now
        self.heard_at = self.begun_at = now()
        self.pinged_at = 0.0
        self.confirmed_at = now()  # when what it told was surely the newest; at first, its beginning
        self.loads = False  # loads are told and heard here
        self.knows_caches = False  # all that workers keep has been told here
        self.opened_at = 0.0
        self.turned_away = False
        self._when_opened = opened
        self.link = FrameLink(address, self._hear, self._opened, self._closed)

    def _opened(self) -> None:
        self.opened_at = self._now()
        self._when_opened(self)

    def _closed(self) -> None:
        """One that ends as soon as it has begun is to be made elsewhere."""
        self.turned_away = self._now() - self.opened_at < TURNED_AWAY

    def _hear(self, frame: bytes) -> None:
        try:
            body = m.decode(frame)
        except msgspec.DecodeError as error:
            log.warning("watch: %s: no message: %s", self.address, error)
            self.link.reconnect()
            return
        self.heard_at = self._now()
        match body:
            case m.ConfigNews():
                self._news.config(body)
            case m.WorkerNews():
                self._news.workers(body)
            case m.FleetNews():
                self._news.fleet(body)
            case m.Pong():
                self._confirmed(body)
            case LoadNews() if self.loads:
                self._news.loads(body)
            case LoadNews():  # changes of loads that are heard elsewhere
                self._news.loads(LoadNews({}, body.cached))
            case m.CacheNews():
                self._take_caches(body)

    def _take_caches(self, news: m.CacheNews) -> None:
        try:
            cached = news.cached()
        except msgspec.DecodeError as error:
            log.warning("watch: %s: no caches: %s", self.address, error)
            return
        self.knows_caches = True
        self._news.loads(LoadNews({}, cached))

    def ping(self) -> None:
        """Ask for a sign of life, and for how fresh what it tells is."""
        self.pinged_at = self._now()
        self.link.send(m.encode(m.Ping(round(self.pinged_at * 1e6))))

    def _confirmed(self, pong: m.Pong) -> None:
        """The answer was made after the ping was sent, so what is so old there is no older here."""
        if pong.confirmed_age is None:
            return
        at = (pong.sent_at - pong.confirmed_age) / 1e6
        self.confirmed_at = max(self.confirmed_at, at)
        self._news.confirmed(pong.version, at)


class Watches:
    """Keeps `WATCHES` of them open, on control processes that answer."""

    def __init__(self, router: str, seeds: tuple[str, ...], news: News, seed: int) -> None:
        self._router, self._news = router, news
        self._random = random.Random(seed)
        self.seeds = seeds
        self._known: tuple[str, ...] = ()  # as control processes tell
        self._open: dict[str, _Watch] = {}
        self._failed_at: dict[str, float] = {}
        self._caches_at: float | None = None  # until when this router has heard what workers keep
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.create_task(self._keep())

    def send(self, body: m.Body) -> None:
        """Tell one control process; it tells the others."""
        frame = m.encode(body)
        primary = self._primary()
        if primary is not None:
            primary.link.send(frame)

    def _primary(self) -> _Watch | None:
        """The watch over which loads are told and heard: the oldest one that is open."""
        found = [watch for watch in self._open.values() if watch.link.is_open]
        return min(found, key=lambda watch: watch.begun_at, default=None)

    def _watch(self, watch: _Watch) -> None:
        """Ask for all news, once more if what it is used for has changed."""
        watch.loads = watch is self._primary()
        caches = watch.loads and not self._knows_caches(asyncio.get_running_loop().time())
        watch.link.send(m.encode(m.Watch(self._router, self._news.version(), watch.loads, caches)))
        watch.ping()

    def _knows_caches(self, now: float) -> bool:
        """Whether this router was told what workers keep, and has heard of the changes since."""
        return self._caches_at is not None and now - self._caches_at <= CACHES_STALE

    def _see_caches(self, now: float) -> None:
        """Changes are heard as long as a watch is open."""
        watches = [watch for watch in self._open.values() if watch.link.is_open]
        told = any(watch.knows_caches for watch in watches)
        if told or (watches and self._knows_caches(now)):
            self._caches_at = now

    def learn(self, controls: tuple[str, ...]) -> None:
        """Control processes that are alive."""
        self._known = controls

    async def _keep(self) -> None:
        while True:
            await self._look(asyncio.get_running_loop().time())
            await asyncio.sleep(LOOK)

    async def _look(self, now: float) -> None:
        self._see_caches(now)
        unconfirmed = self._unconfirmed(now)
        for address, watch in list(self._open.items()):
            if watch.turned_away or now - watch.heard_at > SILENT or watch is unconfirmed:
                del self._open[address]
                self._failed_at[address] = now
                await watch.link.close()
            elif now - watch.pinged_at > PING:
                watch.ping()
                if watch.loads != (watch is self._primary()):
                    self._watch(watch)
        candidates = [each for each in {*self.seeds, *self._known} if each not in self._open]
        self._random.shuffle(candidates)
        # The alive first, then those of which nothing is known; who failed last comes last.
        candidates.sort(key=lambda each: (self._failed_at.get(each, 0.0), each not in self._known))
        for address in candidates[: WATCHES - len(self._open)]:
            clock = asyncio.get_running_loop().time
            self._open[address] = _Watch(address, self._news, self._watch, clock)

    def _unconfirmed(self, now: float) -> _Watch | None:
        """A watch to be made elsewhere, as no majority confirms what its control process tells. Of two such
        the one that is primary stays: where nobody is confirmed, what one hears is better than nothing."""
        stale = [watch for watch in self._open.values() if now - watch.confirmed_at > UNCONFIRMED]
        if not set(self._known) - set(self._open):
            return None
        if len(stale) == len(self._open):
            stale = [watch for watch in stale if watch is not self._primary()]
        return stale[0] if stale else None

    async def close(self) -> None:
        """End all of them."""
        if self._task is not None:
            self._task.cancel()
        for watch in self._open.values():
            await watch.link.close()
